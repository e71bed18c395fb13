//! An in-memory disk with fault injection for tests: it fails at the nth operation, when space runs
//! out, or with the end of the process or the machine in the middle of a write.
//!
//! Its behavior is determined by the injected faults, so a run can be repeated. Operations are
//! writes, syncs, and the creation and removal of files. Reads are not counted.

use super::disk::{Disk, DiskFile};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

/// Errno of a failing device.
const EIO: i32 = 5;

/// Fault injected at an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No space is left.
    NoSpace,
    /// The device returns an error.
    Io,
    /// A write writes only its first half, and reports the shorter length.
    Short,
    /// A write writes this number of bytes, and then the device returns an error.
    Cut(usize),
    /// The process ends before the operation; all later operations fail.
    Kill,
    /// The process ends in the middle of the operation: a write writes this number of sixteenths of
    /// its bytes.
    Torn(u8),
}

#[derive(Default)]
struct DiskState {
    files: BTreeMap<String, FileContent>,
    /// Number of operations so far.
    operations: u64,
    /// Faults by the number of the operation that they are injected at.
    faults: BTreeMap<u64, Fault>,
    killed: bool,
    quota_bytes: Option<u64>,
    /// Number of bytes written, to compute write amplification.
    written_bytes: u64,
}

#[derive(Clone, Default)]
struct FileContent {
    current: Vec<u8>,
    durable: Vec<u8>,
    /// Writes since the last sync, oldest first.
    unsynced_writes: Vec<UnsyncedWrite>,
}

#[derive(Clone)]
struct UnsyncedWrite {
    offset: usize,
    bytes: Vec<u8>,
}

/// An in-memory disk with fault injection. Clones share the same state.
#[derive(Clone, Default)]
pub struct FaultyDisk(Arc<Mutex<DiskState>>);

/// Content of a disk: file names and bytes.
pub type DiskImage = BTreeMap<String, Vec<u8>>;

impl FaultyDisk {
    /// Returns an empty disk without faults.
    pub fn new() -> Self {
        FaultyDisk::default()
    }

    /// Returns a disk that contains these files, synced.
    pub fn from_image(image: DiskImage) -> Self {
        let disk = FaultyDisk::new();
        let files = image.into_iter().map(|(name, bytes)| {
            let content = FileContent {
                durable: bytes.clone(),
                current: bytes,
                unsynced_writes: Vec::new(),
            };
            (name, content)
        });
        disk.state().files.extend(files);
        disk
    }

    fn state(&self) -> MutexGuard<'_, DiskState> {
        // A panic of a test while it held the lock leaves the state consistent.
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Injects a fault at the nth operation from now, counted from 0.
    pub fn fail(&self, nth: u64, fault: Fault) {
        let mut state = self.state();
        let at = state.operations + nth;
        state.faults.insert(at, fault);
    }

    /// Limits the total size of all files from now on, as if other users of the file system had
    /// filled the rest.
    pub fn set_quota(&self, bytes: Option<u64>) {
        self.state().quota_bytes = bytes;
    }

    /// Returns the number of operations so far.
    pub fn operations(&self) -> u64 {
        self.state().operations
    }

    /// Returns the number of bytes written so far.
    pub fn written_bytes(&self) -> u64 {
        self.state().written_bytes
    }

    /// Returns whether a fault has ended the process.
    pub fn is_killed(&self) -> bool {
        self.state().killed
    }

    /// Returns the total size of all files, in bytes.
    pub fn total_bytes(&self) -> u64 {
        self.state().total_bytes()
    }

    /// Returns the content that the next process finds.
    pub fn after_kill(&self) -> DiskImage {
        self.state()
            .files
            .iter()
            .map(|(name, content)| (name.clone(), content.current.clone()))
            .collect()
    }

    /// Returns the content after a power cut: everything that was synced, and those other writes
    /// for which `is_kept` returns true. It is called for each write, oldest first within a file.
    pub fn after_power_cut(&self, mut is_kept: impl FnMut() -> bool) -> DiskImage {
        self.state()
            .files
            .iter()
            .map(|(name, content)| (name.clone(), content.after_power_cut(&mut is_kept)))
            .collect()
    }
}

impl FileContent {
    fn after_power_cut(&self, is_kept: &mut impl FnMut() -> bool) -> Vec<u8> {
        let mut bytes = self.durable.clone();
        bytes.resize(self.current.len(), 0);
        for write in &self.unsynced_writes {
            if is_kept() {
                bytes[write.offset..write.offset + write.bytes.len()].copy_from_slice(&write.bytes);
            }
        }
        bytes
    }
}

impl DiskState {
    fn total_bytes(&self) -> u64 {
        self.files.values().map(|c| c.current.len() as u64).sum()
    }

    fn file(&self, name: &str) -> io::Result<&FileContent> {
        Ok(self.files.get(name).ok_or(io::ErrorKind::NotFound)?)
    }

    fn file_mut(&mut self, name: &str) -> io::Result<&mut FileContent> {
        Ok(self.files.get_mut(name).ok_or(io::ErrorKind::NotFound)?)
    }

    /// Checks that the process has not ended. Reads make only this check; they are not counted as
    /// operations.
    fn check_alive(&self) -> io::Result<()> {
        if self.killed {
            return Err(killed());
        }
        Ok(())
    }

    /// Counts an operation. Returns an error for a fault that prevents the operation, and the fault
    /// itself if it only alters the operation.
    fn begin_operation(&mut self) -> io::Result<Option<Fault>> {
        self.check_alive()?;
        let at = self.operations;
        self.operations += 1;
        match self.faults.remove(&at) {
            Some(Fault::NoSpace) => Err(io::ErrorKind::StorageFull.into()),
            Some(Fault::Io) => Err(io::Error::from_raw_os_error(EIO)),
            Some(Fault::Kill) => {
                self.killed = true;
                Err(killed())
            }
            Some(Fault::Torn(sixteenths)) => {
                self.killed = true;
                Ok(Some(Fault::Torn(sixteenths)))
            }
            other => Ok(other),
        }
    }
}

fn killed() -> io::Error {
    io::Error::other("the process has ended")
}

struct FaultyFile {
    disk: FaultyDisk,
    name: String,
}

impl DiskFile for FaultyFile {
    fn size(&self) -> io::Result<u64> {
        Ok(self.disk.state().file(&self.name)?.current.len() as u64)
    }

    fn read_at(&self, into: &mut [u8], offset: u64) -> io::Result<usize> {
        let state = self.disk.state();
        state.check_alive()?;
        let bytes = &state.file(&self.name)?.current;
        let from = bytes.get(offset as usize..).unwrap_or_default();
        let len = from.len().min(into.len());
        into[..len].copy_from_slice(&from[..len]);
        Ok(len)
    }

    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<usize> {
        let mut state = self.disk.state();
        let fault = state.begin_operation()?;
        let len = match fault {
            Some(Fault::Short) => bytes.len().div_ceil(2),
            Some(Fault::Cut(len)) => bytes.len().min(len),
            Some(Fault::Torn(sixteenths)) => bytes.len() * usize::from(sixteenths.min(16)) / 16,
            _ => bytes.len(),
        };
        state.written_bytes += len as u64;
        let file = state.file_mut(&self.name)?;
        let offset = offset as usize;
        // Files have their full size from the start. A file that grew would exceed the space that
        // was reserved for it.
        let place = file
            .current
            .get_mut(offset..offset + len)
            .ok_or(io::ErrorKind::FileTooLarge)?;
        place.copy_from_slice(&bytes[..len]);
        file.unsynced_writes.push(UnsyncedWrite {
            offset,
            bytes: bytes[..len].to_vec(),
        });
        match fault {
            Some(Fault::Torn(_)) => Err(killed()),
            Some(Fault::Cut(_)) => Err(io::Error::from_raw_os_error(EIO)),
            _ => Ok(len),
        }
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.disk.state();
        state.begin_operation()?;
        let file = state.file_mut(&self.name)?;
        file.durable.clone_from(&file.current);
        file.unsynced_writes.clear();
        Ok(())
    }
}

impl Disk for FaultyDisk {
    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        let state = self.state();
        state.check_alive()?;
        let files = state.files.iter();
        Ok(files
            .map(|(name, content)| (name.clone(), content.current.len() as u64))
            .collect())
    }

    fn open(&self, name: &str) -> io::Result<Arc<dyn DiskFile>> {
        let file = FaultyFile {
            disk: self.clone(),
            name: name.into(),
        };
        file.size()?;
        Ok(Arc::new(file))
    }

    fn create(&self, name: &str, size: u64) -> io::Result<Arc<dyn DiskFile>> {
        let mut state = self.state();
        let fault = state.begin_operation()?;
        if state.files.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        let total_bytes = state.total_bytes() + size;
        if state.quota_bytes.is_some_and(|quota| total_bytes > quota) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        // A process that ends during an allocation leaves a file that is too short.
        let allocated = match fault {
            Some(Fault::Torn(sixteenths)) => size * u64::from(sixteenths.min(16)) / 16,
            _ => size,
        };
        let content = FileContent {
            current: vec![0; allocated as usize],
            ..FileContent::default()
        };
        state.files.insert(name.into(), content);
        if let Some(Fault::Torn(_)) = fault {
            return Err(killed());
        }
        Ok(Arc::new(FaultyFile {
            disk: self.clone(),
            name: name.into(),
        }))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.begin_operation()?;
        match state.files.remove(name) {
            Some(_) => Ok(()),
            None => Err(io::ErrorKind::NotFound.into()),
        }
    }

    fn free_bytes(&self) -> io::Result<u64> {
        let state = self.state();
        Ok(match state.quota_bytes {
            Some(quota) => quota.saturating_sub(state.total_bytes()),
            None => u64::MAX / 2,
        })
    }

    fn sync(&self) -> io::Result<()> {
        self.state().begin_operation().map(drop)
    }
}
