//! Where segments lie: a folder of files that are allocated in full when they are made.
//!
//! [`Folder`] is the real one, [`super::faulty::FaultyDisk`] one in memory that fails as it is
//! told.

use rustix::fs::{fallocate, statvfs, FallocateFlags};
use rustix::io::Errno;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::sync::Arc;

/// Bytes written at once where a file system cannot allocate.
const ZERO_BLOCK_BYTES: usize = 64 * 1024;

/// A file of fixed size, read and written by position.
pub trait DiskFile: Send + Sync {
    /// Its size in bytes.
    ///
    /// # Errors
    /// It is not there any more, or the device fails.
    fn size(&self) -> io::Result<u64>;
    /// Reads some bytes; as many as come at once, none at the end.
    ///
    /// # Errors
    /// The device fails.
    fn read_at(&self, into: &mut [u8], offset: u64) -> io::Result<usize>;
    /// Writes some of these bytes and says how many.
    ///
    /// # Errors
    /// The device fails; any part may have been written.
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<usize>;
    /// Returns once what was written outlasts the machine.
    ///
    /// # Errors
    /// What was written may be lost, whatever a later sync says.
    fn sync(&self) -> io::Result<()>;
}

/// A folder of such files.
pub trait Disk: Send + Sync {
    /// Names of all files with their sizes in bytes.
    ///
    /// # Errors
    /// The folder cannot be read.
    fn list(&self) -> io::Result<Vec<(String, u64)>>;
    /// Opens a file. A folder that may only be read gives one that fails to write.
    ///
    /// # Errors
    /// There is no such file, or the process has no descriptor left.
    fn open(&self, name: &str) -> io::Result<Arc<dyn DiskFile>>;
    /// Makes a file of zeros, with all its room allocated.
    ///
    /// # Errors
    /// There is no room for it, or a file of that name; it is not there then.
    fn create(&self, name: &str, size: u64) -> io::Result<Arc<dyn DiskFile>>;
    /// Removes a file.
    ///
    /// # Errors
    /// There is no such file, or the device fails.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Bytes that the file system could still give.
    ///
    /// # Errors
    /// The file system does not say.
    fn free_bytes(&self) -> io::Result<u64>;
    /// Returns once names that were made or removed outlast the machine.
    ///
    /// # Errors
    /// They may be lost.
    fn sync(&self) -> io::Result<()>;
}

/// Reads until the buffer is full or the file ends; says how many bytes came.
///
/// # Errors
/// The device fails.
pub fn read_full(file: &dyn DiskFile, into: &mut [u8], offset: u64) -> io::Result<usize> {
    let mut read = 0;
    while read < into.len() {
        match file.read_at(&mut into[read..], offset + read as u64) {
            Ok(0) => break,
            Ok(n) => read += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(read)
}

/// Writes all bytes.
///
/// # Errors
/// The device fails; any part of them may have been written.
pub fn write_full(file: &dyn DiskFile, bytes: &[u8], offset: u64) -> io::Result<()> {
    let mut written = 0;
    while written < bytes.len() {
        match file.write_at(&bytes[written..], offset + written as u64) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => written += n,
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

    fn check_writable(&self) -> io::Result<()> {
        if self.read_only {
            return Err(io::ErrorKind::ReadOnlyFilesystem.into());
        }
        Ok(())
    }
}

impl DiskFile for File {
    fn size(&self) -> io::Result<u64> {
        Ok(self.metadata()?.len())
    }

    fn read_at(&self, into: &mut [u8], offset: u64) -> io::Result<usize> {
        FileExt::read_at(self, into, offset)
    }

    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<usize> {
        FileExt::write_at(self, bytes, offset)
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
        self.check_writable()?;
        let path = self.path.join(name);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create_new(true)
            .open(&path)?;
        if let Err(e) = allocate(&file, size) {
            drop(file);
            let _ = fs::remove_file(&path);
            return Err(e);
        }
        Ok(Arc::new(file))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.check_writable()?;
        fs::remove_file(self.path.join(name))
    }

    fn free_bytes(&self) -> io::Result<u64> {
        let stats = statvfs(&self.path)?;
        Ok(stats.f_bavail.saturating_mul(stats.f_frsize))
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

/// Has the file system set the room aside; where it cannot, zeros are written.
fn allocate(file: &File, size: u64) -> io::Result<()> {
    loop {
        match fallocate(file, FallocateFlags::empty(), 0, size) {
            Err(Errno::INTR) => {}
            Err(Errno::OPNOTSUPP | Errno::NOSYS) => return write_zeros(file, size),
            allocated => return allocated.map_err(io::Error::from),
        }
    }
}

fn write_zeros(file: &File, size: u64) -> io::Result<()> {
    let block = vec![0; ZERO_BLOCK_BYTES];
    let mut offset = 0;
    while offset < size {
        let part = &block[..(size - offset).min(ZERO_BLOCK_BYTES as u64) as usize];
        write_full(file, part, offset)?;
        offset += part.len() as u64;
    }
    Ok(())
}
