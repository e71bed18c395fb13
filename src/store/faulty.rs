//! A disk in memory that fails as it is told: at the nth operation, for want of room, or by the end
//! of process or machine in the middle of a write. Everything about it is decided by its script and
//! a seed, so a run can be repeated.

use super::disk::{Disk, DiskFile};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

/// What happens at an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No room.
    NoSpace,
    /// The device fails.
    Io,
    /// A write writes only its first half, and says so.
    Short,
    /// The process ends before the operation; nothing works from then on.
    Kill,
    /// The process ends in the middle of the operation: a write leaves so many sixteenths of its
    /// bytes.
    Torn(u8),
}

/// Operations that change something: writes, syncs, files made or removed. Reads are not counted.
#[derive(Default)]
struct DiskState {
    files: BTreeMap<String, FileContent>,
    done: u64,
    faults: BTreeMap<u64, Fault>,
    dead: bool,
    quota: Option<u64>,
    /// Bytes that were written, for write amplification.
    written: u64,
}

#[derive(Clone, Default)]
struct FileContent {
    now: Vec<u8>,
    synced: Vec<u8>,
    /// Writes since the last sync, in order.
    pending: Vec<(usize, Vec<u8>)>,
}

/// The disk. Clones are the same disk.
#[derive(Clone, Default)]
pub struct FaultyDisk(Arc<Mutex<DiskState>>);

/// What a disk holds: names and bytes.
pub type DiskImage = BTreeMap<String, Vec<u8>>;

impl FaultyDisk {
    /// An empty disk without faults.
    pub fn new() -> Self {
        FaultyDisk::default()
    }

    /// A disk that holds these files, synced.
    pub fn from_image(image: DiskImage) -> Self {
        let disk = FaultyDisk::new();
        let files = image.into_iter().map(|(name, now)| {
            let synced = now.clone();
            (
                name,
                FileContent {
                    now,
                    synced,
                    pending: Vec::new(),
                },
            )
        });
        disk.state().files.extend(files);
        disk
    }

    fn state(&self) -> MutexGuard<'_, DiskState> {
        // A test that panicked elsewhere changes nothing here.
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Has the nth operation from now fail, counted from 0.
    pub fn fail(&self, nth: u64, fault: Fault) {
        let mut state = self.state();
        let at = state.done + nth;
        state.faults.insert(at, fault);
    }

    /// The most bytes that all files may have together from now on; others may have taken the rest.
    pub fn quota(&self, bytes: Option<u64>) {
        self.state().quota = bytes;
    }

    /// Operations so far.
    pub fn operations(&self) -> u64 {
        self.state().done
    }

    /// Bytes written so far.
    pub fn written(&self) -> u64 {
        self.state().written
    }

    /// Whether the process has ended.
    pub fn is_killed(&self) -> bool {
        self.state().dead
    }

    /// Bytes that all files have together.
    pub fn size(&self) -> u64 {
        self.state().size()
    }

    /// What the next process finds.
    pub fn after_kill(&self) -> DiskImage {
        self.state()
            .files
            .iter()
            .map(|(name, c)| (name.clone(), c.now.clone()))
            .collect()
    }

    /// What is found after a power cut: all that was synced, and of other writes those that `kept`
    /// says, in order.
    pub fn after_power_cut(&self, mut kept: impl FnMut() -> bool) -> DiskImage {
        let mut left = |c: &FileContent| {
            let mut bytes = c.synced.clone();
            bytes.resize(c.now.len(), 0);
            for (at, write) in &c.pending {
                if kept() {
                    bytes[*at..at + write.len()].copy_from_slice(write);
                }
            }
            bytes
        };
        self.state()
            .files
            .iter()
            .map(|(name, c)| (name.clone(), left(c)))
            .collect()
    }
}

impl DiskState {
    fn size(&self) -> u64 {
        self.files.values().map(|c| c.now.len() as u64).sum()
    }

    /// Counts an operation, and says what part of it is done.
    fn begin(&mut self) -> io::Result<Option<Fault>> {
        if self.dead {
            return Err(killed());
        }
        let at = self.done;
        self.done += 1;
        match self.faults.remove(&at) {
            Some(Fault::NoSpace) => Err(io::ErrorKind::StorageFull.into()),
            Some(Fault::Io) => Err(io::Error::from_raw_os_error(5)),
            Some(Fault::Kill) => {
                self.dead = true;
                Err(killed())
            }
            Some(Fault::Torn(n)) => {
                self.dead = true;
                Ok(Some(Fault::Torn(n)))
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
        let state = self.disk.state();
        Ok(state
            .files
            .get(&self.name)
            .ok_or(io::ErrorKind::NotFound)?
            .now
            .len() as u64)
    }

    fn read_at(&self, into: &mut [u8], at: u64) -> io::Result<usize> {
        let state = self.disk.state();
        if state.dead {
            return Err(killed());
        }
        let bytes = &state
            .files
            .get(&self.name)
            .ok_or(io::ErrorKind::NotFound)?
            .now;
        let from = bytes.get(at as usize..).unwrap_or_default();
        let n = from.len().min(into.len());
        into[..n].copy_from_slice(&from[..n]);
        Ok(n)
    }

    fn write_at(&self, bytes: &[u8], at: u64) -> io::Result<usize> {
        let mut state = self.disk.state();
        let fault = state.begin()?;
        let n = match fault {
            Some(Fault::Short) => bytes.len().div_ceil(2),
            Some(Fault::Torn(n)) => bytes.len() * usize::from(n.min(16)) / 16,
            _ => bytes.len(),
        };
        state.written += n as u64;
        let file = state
            .files
            .get_mut(&self.name)
            .ok_or(io::ErrorKind::NotFound)?;
        let at = at as usize;
        // Files have all their room from the start; one that grows would escape the reserve.
        let place = file
            .now
            .get_mut(at..at + n)
            .ok_or(io::ErrorKind::FileTooLarge)?;
        place.copy_from_slice(&bytes[..n]);
        file.pending.push((at, bytes[..n].to_vec()));
        match fault {
            Some(Fault::Torn(_)) => Err(killed()),
            _ => Ok(n),
        }
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.disk.state();
        state.begin()?;
        let file = state
            .files
            .get_mut(&self.name)
            .ok_or(io::ErrorKind::NotFound)?;
        file.synced.clone_from(&file.now);
        file.pending.clear();
        Ok(())
    }
}

impl Disk for FaultyDisk {
    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        let state = self.state();
        if state.dead {
            return Err(killed());
        }
        Ok(state
            .files
            .iter()
            .map(|(name, c)| (name.clone(), c.now.len() as u64))
            .collect())
    }

    fn open(&self, name: &str) -> io::Result<Arc<dyn DiskFile>> {
        let opened = FaultyFile {
            disk: self.clone(),
            name: name.into(),
        };
        opened.size()?;
        Ok(Arc::new(opened))
    }

    fn create(&self, name: &str, size: u64) -> io::Result<Arc<dyn DiskFile>> {
        let mut state = self.state();
        let fault = state.begin()?;
        if state.files.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        if state.quota.is_some_and(|most| state.size() + size > most) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        // A process that ends while it allocates leaves a file that is too short.
        let (size, ends) = match fault {
            Some(Fault::Torn(n)) => (size * u64::from(n.min(16)) / 16, true),
            _ => (size, false),
        };
        state.files.insert(
            name.into(),
            FileContent {
                now: vec![0; size as usize],
                ..FileContent::default()
            },
        );
        match ends {
            true => Err(killed()),
            false => Ok(Arc::new(FaultyFile {
                disk: self.clone(),
                name: name.into(),
            })),
        }
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.begin()?;
        state
            .files
            .remove(name)
            .map(drop)
            .ok_or(io::ErrorKind::NotFound.into())
    }

    fn free_bytes(&self) -> io::Result<u64> {
        let state = self.state();
        Ok(state
            .quota
            .map_or(u64::MAX / 2, |most| most.saturating_sub(state.size())))
    }

    fn sync(&self) -> io::Result<()> {
        self.state().begin().map(drop)
    }
}
