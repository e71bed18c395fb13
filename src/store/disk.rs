//! Where segments lie: a folder of files that are allocated in full when they are made.
//!
//! [`Folder`] is the real one, [`super::faulty::FaultyDisk`] one in memory that fails as it is told.

use rustix::fs::{fallocate, statvfs, FallocateFlags};
use rustix::io::Errno;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::sync::Arc;

/// Bytes written at once where a file system cannot allocate.
const ZEROS: usize = 64 * 1024;

/// A file of fixed size, read and written by position.
pub trait DiskFile: Send + Sync {
    /// Its size in bytes.
    fn size(&self) -> io::Result<u64>;
    /// Reads some bytes; as many as come at once, none at the end.
    fn read_at(&self, into: &mut [u8], at: u64) -> io::Result<usize>;
    /// Writes some of these bytes and says how many.
    fn write_at(&self, bytes: &[u8], at: u64) -> io::Result<usize>;
    /// Returns once what was written outlasts the machine.
    fn sync(&self) -> io::Result<()>;
}

/// A folder of such files.
pub trait Disk: Send + Sync {
    /// Names of all files with their sizes.
    fn list(&self) -> io::Result<Vec<(String, u64)>>;
    /// Opens a file. A folder that may only be read gives one that fails to write.
    fn open(&self, name: &str) -> io::Result<Arc<dyn DiskFile>>;
    /// Makes a file of zeros, with all its room allocated. Where that fails, there is no such file.
    fn create(&self, name: &str, size: u64) -> io::Result<Arc<dyn DiskFile>>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Bytes that the file system could still give.
    fn free_bytes(&self) -> io::Result<u64>;
    /// Returns once names that were made or removed outlast the machine.
    fn sync(&self) -> io::Result<()>;
}

/// Reads until the buffer is full or the file ends; says how many bytes came.
pub fn read_full(area: &dyn DiskFile, into: &mut [u8], at: u64) -> io::Result<usize> {
    let mut got = 0;
    while got < into.len() {
        match area.read_at(&mut into[got..], at + got as u64) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(got)
}

/// Writes all bytes. After an error any part of them may have been written.
pub fn write_full(area: &dyn DiskFile, mut bytes: &[u8], mut at: u64) -> io::Result<()> {
    while !bytes.is_empty() {
        match area.write_at(bytes, at) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => (bytes, at) = (&bytes[n..], at + n as u64),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// A folder of the file system.
pub struct Folder {
    path: PathBuf,
    read_only: bool,
}

impl Folder {
    /// A folder that is there.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Folder {
            path: path.into(),
            read_only: false,
        }
    }

    /// The same, and nothing in it is changed.
    pub fn read_only(path: impl Into<PathBuf>) -> Self {
        Folder {
            path: path.into(),
            read_only: true,
        }
    }
}

impl DiskFile for File {
    fn size(&self) -> io::Result<u64> {
        Ok(self.metadata()?.len())
    }

    fn read_at(&self, into: &mut [u8], at: u64) -> io::Result<usize> {
        FileExt::read_at(self, into, at)
    }

    fn write_at(&self, bytes: &[u8], at: u64) -> io::Result<usize> {
        FileExt::write_at(self, bytes, at)
    }

    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }
}

impl Disk for Folder {
    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let entry = entry?;
            // A file that goes while the folder is read is not there.
            if let (Ok(meta), Ok(name)) = (entry.metadata(), entry.file_name().into_string()) {
                files.extend(meta.is_file().then_some((name, meta.len())));
            }
        }
        Ok(files)
    }

    fn open(&self, name: &str) -> io::Result<Arc<dyn DiskFile>> {
        let file = OpenOptions::new()
            .read(true)
            .write(!self.read_only)
            .open(self.path.join(name))?;
        Ok(Arc::new(file))
    }

    fn create(&self, name: &str, size: u64) -> io::Result<Arc<dyn DiskFile>> {
        if self.read_only {
            return Err(io::ErrorKind::ReadOnlyFilesystem.into());
        }
        let path = self.path.join(name);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create_new(true)
            .open(&path)?;
        let allocated = loop {
            match fallocate(&file, FallocateFlags::empty(), 0, size) {
                Err(Errno::INTR) => {}
                Err(Errno::OPNOTSUPP | Errno::NOSYS) => break zeros(&file, size),
                other => break other.map_err(io::Error::from),
            }
        };
        if let Err(e) = allocated {
            drop(file);
            let _ = fs::remove_file(&path);
            return Err(e);
        }
        Ok(Arc::new(file))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        if self.read_only {
            return Err(io::ErrorKind::ReadOnlyFilesystem.into());
        }
        fs::remove_file(self.path.join(name))
    }

    fn free_bytes(&self) -> io::Result<u64> {
        let told = statvfs(&self.path)?;
        Ok(told.f_bavail.saturating_mul(told.f_frsize))
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

fn zeros(file: &File, size: u64) -> io::Result<()> {
    let block = vec![0; ZEROS];
    let mut at = 0;
    while at < size {
        let part = &block[..(size - at).min(ZEROS as u64) as usize];
        write_full(file, part, at)?;
        at += part.len() as u64;
    }
    Ok(())
}
