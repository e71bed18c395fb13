//! Storage for segments: a folder of files whose space is allocated in full on creation.
//!
//! [`Folder`] is a folder of the file system; [`super::faulty::FaultyDisk`] is an in-memory
//! implementation with fault injection.

use rustix::fs::{fallocate, statvfs, FallocateFlags};
use rustix::io::Errno;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::sync::Arc;

/// Size of the blocks of zeros written where a file system does not support `fallocate`.
const ZERO_BLOCK_BYTES: usize = 64 * 1024;

/// A file of fixed size, read and written by position.
pub trait DiskFile: Send + Sync {
    /// Returns the file's size in bytes.
    ///
    /// # Errors
    /// The file no longer exists, or the device fails.
    fn size(&self) -> io::Result<u64>;
    /// Reads up to `into.len()` bytes and returns how many were read; 0 at the end of the file.
    ///
    /// # Errors
    /// The device fails.
    fn read_at(&self, into: &mut [u8], offset: u64) -> io::Result<usize>;
    /// Writes some of these bytes and returns how many were written.
    ///
    /// # Errors
    /// The device fails; any part may have been written.
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<usize>;
    /// Returns once everything written is durable, that is, survives a failure of the machine.
    ///
    /// # Errors
    /// Data written before may be lost, even if a later sync succeeds.
    fn sync(&self) -> io::Result<()>;
}

/// A folder of files of fixed size.
pub trait Disk: Send + Sync {
    /// Returns the names of all files with their sizes in bytes.
    ///
    /// # Errors
    /// The folder cannot be read.
    fn list(&self) -> io::Result<Vec<(String, u64)>>;
    /// Opens a file. In a read-only folder, writes to the file fail.
    ///
    /// # Errors
    /// There is no such file, or the process has no descriptor left.
    fn open(&self, name: &str) -> io::Result<Arc<dyn DiskFile>>;
    /// Creates a file of zeros with its space allocated in full.
    ///
    /// # Errors
    /// There is not enough space, or a file of that name exists. No file is created.
    fn create(&self, name: &str, size: u64) -> io::Result<Arc<dyn DiskFile>>;
    /// Removes a file.
    ///
    /// # Errors
    /// There is no such file, or the device fails.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Returns the bytes available in the file system.
    ///
    /// # Errors
    /// The file system does not report its free space.
    fn free_bytes(&self) -> io::Result<u64>;
    /// Returns once the creation and removal of files is durable.
    ///
    /// # Errors
    /// Creations and removals may be lost.
    fn sync(&self) -> io::Result<()>;
}

/// Reads until the buffer is full or the file ends, and returns the number of bytes read.
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
/// The device fails; any part of the bytes may have been written.
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
    /// Returns an existing folder.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Folder {
            path: path.into(),
            read_only: false,
        }
    }

    /// Returns an existing folder in which every change fails.
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
            // A file that is removed while the folder is being read is skipped.
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

/// Allocates the file's space, by writing zeros where the file system does not support
/// `fallocate`.
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
