//! Owner of the zone in use: which zone a process begins with, and how it changes.
//!
//! A zone comes from the operator's zone file, at the start and at SIGHUP, or from a signed update.
//! It counts only if all of it can be used and its serial is newer than that of the zone in use;
//! the copy in the state folder ([`ZoneCache`]) extends this rule to the next process.
//!
//! Files are read and written by a thread of their own, so that neither a slow disk nor a large zone
//! delays a message.

use super::update::{self, is_newer};
use super::zone::Zone;
use super::zone_cache::{ZoneCache, ZoneCacheError};
use super::zone_file::{self, ZoneFileError};
use crate::delivery::driver::DispatcherDriver;
use crate::delivery::endpoint::EndpointListUpdate;
use crate::delivery::timer_wheel::TimerWheel;
use async_lock::Mutex;
use hickory_proto::op::{Message, ResponseCode};
use std::cell::{Cell, RefCell};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::thread;
use std::time::{Duration, SystemTime};

/// Interval at which the copy's time of use is noted, and a copy that failed is written again.
const CACHE_INTERVAL: Duration = Duration::from_secs(60);

/// Reason why a process has no zone to begin with.
#[derive(Debug, thiserror::Error)]
pub enum NoZoneError {
    /// The zone file cannot be used, and there is no copy.
    #[error("dns.zone_file: {0}")]
    ZoneFile(ZoneFileError),
    /// Neither the zone file nor the copy can be used.
    #[error("dns.zone_file: {file}; its copy: {copy}")]
    ZoneFileAndCopy {
        /// What is wrong with the zone file.
        file: ZoneFileError,
        /// What is wrong with the copy.
        copy: ZoneCacheError,
    },
}

/// The zone in use, its file and its copy.
pub struct Zones {
    path: PathBuf,
    cache: ZoneCache,
    /// `None` until a zone can be read.
    zone: RefCell<Option<Zone>>,
    revision: Cell<u64>,
    /// Held during a change, which waits for the disk.
    changing: Mutex<()>,
}

impl Zones {
    /// Returns the zone that the process begins with: the zone file's, or the copy where the file
    /// cannot be used or is older.
    ///
    /// A process that owes final answers begins without any zone where there is neither, and then
    /// takes the first one that it is given.
    ///
    /// # Errors
    /// There is neither, and no final answer is owed.
    pub fn open(
        path: &Path,
        cache: ZoneCache,
        owes_answers: bool,
    ) -> Result<Rc<Self>, NoZoneError> {
        let zone = match first_zone(path, &cache) {
            Ok(zone) => Some(zone),
            Err(e) if owes_answers => {
                log::error!("{e}; no endpoint is listed until SIGHUP brings a zone");
                None
            }
            Err(e) => return Err(e),
        };
        if let Some(zone) = &zone {
            log_cached(cache.write(zone));
        }
        Ok(Rc::new(Zones {
            path: path.into(),
            cache,
            zone: RefCell::new(zone),
            revision: Cell::new(1),
            changing: Mutex::new(()),
        }))
    }

    /// The list as it stands; `None` as long as there is no zone.
    pub fn list_update(&self) -> Option<EndpointListUpdate> {
        let zone = self.zone.borrow();
        // A zone is only kept once its endpoints could be read.
        let entries = zone.as_ref()?.providers().unwrap_or_default();
        Some(EndpointListUpdate {
            revision: self.revision.get(),
            complete: true,
            entries,
        })
    }

    /// Reads the file again. One that is wrong, or not newer by its serial, changes nothing.
    pub async fn reload(&self, driver: &DispatcherDriver) {
        let _changing = self.changing.lock().await;
        let path = self.path.clone();
        let read = in_background(move || Ok(zone_file::read(&path))).await;
        match read {
            Ok(Ok(zone)) if self.has_newer_serial(&zone) => self.apply(zone, driver).await,
            Ok(Ok(zone)) => log::warn!(
                "dns: serial {} is not newer; the old list stays",
                zone.serial()
            ),
            Ok(Err(e)) => log::error!("dns: {e}; the old list stays"),
            Err(e) => log::error!("dns: {e}; the old list stays"),
        }
    }

    /// Carries an update out: on file first, then for all to see.
    ///
    /// # Errors
    /// The update is not allowed, or the file cannot be written. Nothing has changed.
    pub async fn update(
        &self,
        message: &Message,
        driver: &DispatcherDriver,
    ) -> Result<(), ResponseCode> {
        let _changing = self.changing.lock().await;
        let held = self.zone.borrow().clone().ok_or(ResponseCode::ServFail)?;
        let (path, message) = (self.path.clone(), message.clone());
        let updated = in_background(move || Ok(update_file(&path, &held, &message))).await;
        let updated = updated.map_err(|e| {
            log::error!("dns: {}: {e}", self.path.display());
            ResponseCode::ServFail
        })?;
        if let Some(zone) = updated? {
            self.apply(zone, driver).await;
        }
        Ok(())
    }

    /// Keeps the copy in the state folder current, for as long as the process lives.
    pub async fn maintain_cache(&self, wheel: &Rc<TimerWheel>) {
        loop {
            wheel.sleep(CACHE_INTERVAL).await;
            let _changing = self.changing.lock().await;
            self.write_cache().await;
        }
    }

    fn has_newer_serial(&self, zone: &Zone) -> bool {
        let held = self.zone.borrow();
        held.as_ref()
            .is_none_or(|held| is_newer(zone.serial(), held.serial()))
    }

    async fn apply(&self, zone: Zone, driver: &DispatcherDriver) {
        log::info!("dns: zone {} at serial {}", zone.origin, zone.serial());
        *self.zone.borrow_mut() = Some(zone);
        self.revision.set(self.revision.get() + 1);
        if let Some(list) = self.list_update() {
            driver.apply_list_update(&list);
        }
        self.write_cache().await;
    }

    async fn write_cache(&self) {
        let Some(zone) = self.zone.borrow().clone() else {
            return;
        };
        let cache = self.cache.clone();
        let written = in_background(move || Ok(cache.write(&zone))).await;
        log_cached(written.unwrap_or_else(|e| Err(e.into())));
    }
}

/// Returns the zone to begin with.
fn first_zone(path: &Path, cache: &ZoneCache) -> Result<Zone, NoZoneError> {
    let copy = cache.read(SystemTime::now());
    match (zone_file::read(path), copy) {
        (Ok(zone), Ok(Some(copy))) if !replaces(&zone, &copy) && zone.text() != copy.text() => {
            log::error!(
                "dns: {}: serial {} is not newer than {}, which was in use; that list stays",
                path.display(),
                zone.serial(),
                copy.serial()
            );
            Ok(copy)
        }
        (Ok(zone), copy) => {
            if let Err(e) = copy {
                log::warn!("state: {e}; the zone file counts");
            }
            Ok(zone)
        }
        (Err(e), Ok(Some(copy))) => {
            let serial = copy.serial();
            log::error!("dns: {e}; the list of serial {serial}, which was in use, stays");
            Ok(copy)
        }
        (Err(e), Ok(None)) => Err(NoZoneError::ZoneFile(e)),
        (Err(file), Err(copy)) => Err(NoZoneError::ZoneFileAndCopy { file, copy }),
    }
}

/// Whether a zone file's zone takes the place of the zone in use: its serial is newer, or it has
/// another origin and so serials that cannot be compared.
fn replaces(zone: &Zone, held: &Zone) -> bool {
    zone.origin != held.origin || is_newer(zone.serial(), held.serial())
}

/// Applies an update to the zone in use and writes the result to the zone file. Returns the new
/// zone; `None` where the update changes nothing.
fn update_file(path: &Path, held: &Zone, message: &Message) -> Result<Option<Zone>, ResponseCode> {
    let Some(zone) = update::apply(held, message)? else {
        return Ok(None);
    };
    check_file_is_not_ahead(path, held)?;
    zone_file::replace(path, &zone).map_err(|e| {
        log::error!("dns: {}: {e}", path.display());
        ResponseCode::ServFail
    })?;
    Ok(Some(zone))
}

/// Checks that an update does not write over a change of the operator's that does not count yet: a
/// file that is being written, or one that waits for its SIGHUP.
fn check_file_is_not_ahead(path: &Path, held: &Zone) -> Result<(), ResponseCode> {
    match zone_file::read(path) {
        Ok(zone) if replaces(&zone, held) => {
            let (path, serial) = (path.display(), zone.serial());
            log::error!("dns: update refused: {path} has serial {serial}, which waits for SIGHUP");
            Err(ResponseCode::ServFail)
        }
        Ok(_) => Ok(()),
        Err(e) if e.is_not_found() => Ok(()),
        Err(e) => {
            log::error!("dns: update refused: {e}");
            Err(ResponseCode::ServFail)
        }
    }
}

fn log_cached(written: Result<(), ZoneCacheError>) {
    if let Err(e) = written {
        log::warn!("state: {e}; a restart relies on the zone file alone");
    }
}

/// Runs work that waits for the disk on a thread of its own.
async fn in_background<T: Send + 'static>(
    work: impl FnOnce() -> io::Result<T> + Send + 'static,
) -> io::Result<T> {
    let (done, result) = async_channel::bounded(1);
    thread::Builder::new()
        .name("zone".into())
        .spawn(move || drop(done.try_send(work())))?;
    result.recv().await.map_err(io::Error::other)?
}
