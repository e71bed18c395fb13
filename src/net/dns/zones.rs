//! Owner of the zone in use: which zone a process begins with, and how it changes.
//!
//! A zone comes from the operator's zone file, at the start and at SIGHUP, or from a signed update.
//! It counts only if all of it can be used, its serial is newer than that of the zone in use, and
//! the state folder keeps no earlier zone ([`ZoneCache`]): so the rule also holds for the next
//! process.
//!
//! Files are read and written by a thread of their own, so that neither a slow disk nor a large zone
//! delays a message.

use super::update;
use super::zone::{ListedZone, Zone};
use super::zone_cache::{Kept, LastZone, ZoneCache, ZoneCacheError};
use super::zone_file::{self, ZoneFileError};
use super::zone_identity::{Succession, TextDigest, ZoneIdentity};
use crate::delivery::driver::DispatcherDriver;
use crate::delivery::endpoint::{EndpointEntry, EndpointListUpdate};
use crate::delivery::timer_wheel::TimerWheel;
use async_lock::Mutex;
use hickory_proto::op::{Message, ResponseCode};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime};

/// Interval at which the copy's time of use is noted, and a copy that failed is written again.
const CACHE_INTERVAL: Duration = Duration::from_secs(60);

/// Reason why a process has no zone to begin with, and no earlier one had.
#[derive(Debug, thiserror::Error)]
pub enum NoZoneError {
    /// The zone file cannot be used, and there is no copy.
    #[error("dns.zone_file: {0}")]
    ZoneFile(ZoneFileError),
    /// The zone file cannot be used, and the copy is of another one.
    #[error("dns.zone_file: {file}; its copy: {copy}")]
    ZoneFileAndCopy {
        /// What is wrong with the zone file.
        file: ZoneFileError,
        /// What is wrong with the copy.
        copy: ZoneCacheError,
    },
}

/// Reason why a zone does not count.
#[derive(Debug, thiserror::Error)]
enum NotAppliedError {
    /// The zone file cannot be used.
    #[error(transparent)]
    File(#[from] ZoneFileError),
    /// It does not replace the zone that was in use last.
    #[error(transparent)]
    NotNewer(#[from] NotNewerError),
    /// An earlier zone stays in the state folder.
    #[error("{0}; an earlier zone is kept in the state folder")]
    EarlierZoneKept(ZoneCacheError),
    /// No thread could be started.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A zone does not replace the one that was in use last.
#[derive(Debug)]
struct NotNewerError {
    serial: u32,
    last_serial: u32,
    succession: Succession,
}

impl std::error::Error for NotNewerError {}

impl fmt::Display for NotNewerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (serial, last) = (self.serial, self.last_serial);
        match self.succession {
            Succession::SameSerial => write!(
                f,
                "serial {serial} is not newer than {last}, which was in use with another content: \
                 raise the serial"
            ),
            _ => write!(
                f,
                "serial {serial} is not newer than {last}, which was in use"
            ),
        }
    }
}

/// A zone that may be taken into use.
struct NextZone {
    zone: Arc<Zone>,
    text: String,
    identity: ZoneIdentity,
    entries: Vec<EndpointEntry>,
    /// Digest of the zone file.
    file: TextDigest,
}

impl NextZone {
    /// Returns the zone of the zone file, which has this text.
    fn of_file(path: &Path, file: &str) -> Result<Self, ZoneFileError> {
        let listed = zone_file::parse(path, file)?;
        let text = listed.zone.text();
        Ok(NextZone::new(listed, text, TextDigest::new(file)))
    }

    /// Returns a zone that is written to the zone file as it is.
    fn written(listed: ListedZone) -> Self {
        let text = listed.zone.text();
        let file = TextDigest::new(&text);
        NextZone::new(listed, text, file)
    }

    fn new(listed: ListedZone, text: String, file: TextDigest) -> Self {
        NextZone {
            identity: ZoneIdentity::new(&listed.zone, &text),
            text,
            entries: listed.endpoints,
            zone: Arc::new(listed.zone),
            file,
        }
    }

    /// Keeps the zone for the next process, before it counts. Its text is of no use after that.
    fn keep(&mut self, cache: &ZoneCache) -> Result<(), ZoneCacheError> {
        let text = std::mem::take(&mut self.text);
        let kept = cache.write_text(&self.identity, &text)?;
        log_kept(Ok(kept));
        Ok(())
    }
}

/// The zone in use, its file and its copy.
pub struct Zones {
    path: PathBuf,
    cache: ZoneCache,
    /// `None` until a zone can be read.
    zone: RefCell<Option<Arc<Zone>>>,
    /// The zone that was in use last, by this process or the one before; `None` where that is not
    /// known.
    last: RefCell<Option<ZoneIdentity>>,
    /// Digest of the zone file that the zone in use was read from or written to.
    file: Cell<Option<TextDigest>>,
    revision: Cell<u64>,
    /// Held during a change, which waits for the disk.
    changing: Mutex<()>,
}

impl Zones {
    /// Returns the zone that the process begins with: the zone file's, or the copy where the file
    /// cannot be used or is older.
    ///
    /// A process begins without any zone where neither can be used, if an earlier process had one
    /// or if it owes final answers. It then takes the first one that it is given.
    ///
    /// # Errors
    /// There is neither, nothing tells of an earlier process, and no final answer is owed.
    pub fn open(
        path: &Path,
        cache: ZoneCache,
        owes_answers: bool,
    ) -> Result<Rc<Self>, NoZoneError> {
        let first = match first_zone(path, &cache) {
            Ok(first) => first,
            Err(e) if owes_answers => {
                log_no_zone(&e);
                FirstZone::default()
            }
            Err(e) => return Err(e),
        };
        let mut last = first.last;
        if let Some(zone) = &first.zone {
            let text = zone.text();
            let identity = ZoneIdentity::new(zone, &text);
            log_kept(cache.write_text(&identity, &text));
            last = Some(identity);
        }
        Ok(Rc::new(Zones {
            path: path.into(),
            cache,
            zone: RefCell::new(first.zone.map(Arc::new)),
            last: RefCell::new(last),
            file: Cell::new(first.file),
            revision: Cell::new(1),
            changing: Mutex::new(()),
        }))
    }

    /// The list as it stands; `None` as long as there is no zone.
    pub fn list_update(&self) -> Option<EndpointListUpdate> {
        let zone = self.zone.borrow();
        // A zone is only kept once its endpoints could be read.
        let entries = zone.as_ref()?.providers().unwrap_or_default();
        Some(self.complete_list(entries))
    }

    /// Reads the file again. One that is wrong, or not newer by its serial, changes nothing.
    pub async fn reload(&self, driver: &DispatcherDriver) {
        let _changing = self.changing.lock().await;
        let (path, cache) = (self.path.clone(), self.cache.clone());
        let last = self.last.borrow().clone();
        let has_zone = self.zone.borrow().is_some();
        let read_last = self.file.get();
        let read = in_background(move || {
            let file = zone_file::read_text(&path)?;
            let mut next = NextZone::of_file(&path, &file)?;
            let has_grown = read_last.is_some_and(|last| last.has_grown_to(&file));
            drop(file);
            check_succession(&next.identity, last.as_ref(), has_zone, has_grown)?;
            next.keep(&cache)
                .map_err(NotAppliedError::EarlierZoneKept)?;
            Ok(next)
        });
        match read.await {
            Ok(next) => self.apply(next, driver),
            Err(e @ NotAppliedError::NotNewer(_)) => log::warn!("dns: {e}; {}", self.what_stays()),
            Err(e) => log::error!("dns: {e}; {}", self.what_stays()),
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
        let change = FileChange {
            path: self.path.clone(),
            cache: self.cache.clone(),
            held,
            file: self.file.get(),
        };
        let message = message.clone();
        let updated = in_background(move || Ok::<_, io::Error>(change.update(&message)));
        let updated = updated.await.map_err(|e| {
            log::error!("dns: {}: {e}", self.path.display());
            ResponseCode::ServFail
        })?;
        if let Some(next) = updated? {
            self.apply(next, driver);
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

    fn apply(&self, next: NextZone, driver: &DispatcherDriver) {
        let (origin, serial) = (&next.identity.origin, next.identity.serial);
        log::info!("dns: zone {origin} at serial {serial}");
        *self.zone.borrow_mut() = Some(next.zone);
        *self.last.borrow_mut() = Some(next.identity);
        self.file.set(Some(next.file));
        self.revision.set(self.revision.get() + 1);
        driver.apply_list_update(&self.complete_list(next.entries));
    }

    fn complete_list(&self, entries: Vec<EndpointEntry>) -> EndpointListUpdate {
        EndpointListUpdate {
            revision: self.revision.get(),
            complete: true,
            entries,
        }
    }

    /// Returns, for the log, what is in use after a zone did not count.
    fn what_stays(&self) -> &'static str {
        match self.zone.borrow().is_some() {
            true => "the old list stays",
            false => "no endpoint is listed until SIGHUP brings a zone",
        }
    }

    async fn write_cache(&self) {
        let Some(zone) = self.zone.borrow().clone() else {
            return;
        };
        let cache = self.cache.clone();
        log_kept(in_background(move || cache.write(&zone)).await);
    }
}

/// What a process begins with.
#[derive(Default)]
struct FirstZone {
    zone: Option<Zone>,
    /// Digest of the zone file, where the zone is the file's.
    file: Option<TextDigest>,
    /// The zone that the process before had in use, where that is known.
    last: Option<ZoneIdentity>,
}

/// Returns the zone to begin with; none where an earlier process had one that cannot be used now.
fn first_zone(path: &Path, cache: &ZoneCache) -> Result<FirstZone, NoZoneError> {
    let file = zone_file::read_text(path)
        .and_then(|text| Ok((zone_file::parse(path, &text)?.zone, TextDigest::new(&text))));
    let (file, last) = match (file, cache.read(SystemTime::now())) {
        (file, Ok(Some(last))) => (file, last),
        (Ok((zone, file)), last) => {
            if let Err(e) = last {
                log::warn!("state: {e}; the zone file counts");
            }
            return Ok(FirstZone {
                zone: Some(zone),
                file: Some(file),
                last: None,
            });
        }
        (Err(file), Ok(None)) => return Err(NoZoneError::ZoneFile(file)),
        (Err(file), Err(copy @ ZoneCacheError::OtherZoneFile(_))) => {
            return Err(NoZoneError::ZoneFileAndCopy { file, copy })
        }
        (Err(file), Err(copy)) => {
            // An earlier process had a zone in use, so this is no first start.
            log_no_zone(&NoZoneError::ZoneFileAndCopy { file, copy });
            return Ok(FirstZone::default());
        }
    };
    let file = file
        .map_err(NotAppliedError::File)
        .and_then(|(zone, file)| {
            let identity = ZoneIdentity::new(&zone, &zone.text());
            check_succession(&identity, Some(&last.identity), false, false)?;
            Ok((zone, file))
        });
    Ok(match file {
        Ok((zone, file)) => FirstZone {
            zone: Some(zone),
            file: Some(file),
            last: Some(last.identity),
        },
        Err(e) => begin_with_copy(path, &e, last),
    })
}

/// Returns the copy of the zone that was in use, to begin with in place of a zone file.
fn begin_with_copy(path: &Path, file: &NotAppliedError, last: LastZone) -> FirstZone {
    let serial = last.identity.serial;
    let file = match file {
        // The others name the file themselves.
        NotAppliedError::NotNewer(e) => format!("{}: {e}", path.display()),
        other => other.to_string(),
    };
    match &last.copy {
        Ok(_) => log::error!("dns: {file}; the list of serial {serial}, which was in use, stays"),
        Err(copy) => log_no_zone(&format_args!("dns: {file}; its copy: {copy}")),
    }
    FirstZone {
        zone: last.copy.ok(),
        file: None,
        last: Some(last.identity),
    }
}

/// Checks that a zone may take the place of the one that was in use last, if that is known. The very
/// zone that was in use may be taken into use again by a process that has none; one of the same
/// serial counts if its file has grown at its end since it was read, as one does that was cut.
fn check_succession(
    next: &ZoneIdentity,
    last: Option<&ZoneIdentity>,
    has_zone: bool,
    has_grown: bool,
) -> Result<(), NotNewerError> {
    let Some(last) = last else {
        return Ok(());
    };
    let succession = last.succession(next);
    let counts = match succession {
        Succession::Newer | Succession::OtherZone => true,
        Succession::Same => !has_zone,
        Succession::SameSerial => has_grown,
        Succession::Older => false,
    };
    if counts {
        return Ok(());
    }
    Err(NotNewerError {
        serial: next.serial,
        last_serial: last.serial,
        succession,
    })
}

/// What a change of the zone file by an update goes by.
struct FileChange {
    path: PathBuf,
    cache: ZoneCache,
    /// The zone in use.
    held: Arc<Zone>,
    /// The zone file of the zone in use.
    file: Option<TextDigest>,
}

impl FileChange {
    /// Applies an update to the zone in use and writes the result to the zone file and the state
    /// folder. Returns the new zone; `None` where the update changes nothing.
    fn update(&self, message: &Message) -> Result<Option<NextZone>, ResponseCode> {
        let Some(zone) = update::apply_and_list(&self.held, message)? else {
            return Ok(None);
        };
        self.check_file_is_not_ahead()?;
        let mut next = NextZone::written(zone);
        self.replace(&next.text)?;
        if let Err(e) = next.keep(&self.cache) {
            log::error!("dns: update refused: {e}; an earlier zone is kept in the state folder");
            self.replace(&self.held.text())?;
            return Err(ResponseCode::ServFail);
        }
        Ok(Some(next))
    }

    fn replace(&self, text: &str) -> Result<(), ResponseCode> {
        zone_file::replace(&self.path, text).map_err(|e| {
            log::error!("dns: {}: {e}", self.path.display());
            ResponseCode::ServFail
        })
    }

    /// Checks that an update does not write over a change of the operator's that does not count yet:
    /// a file that is being written, or one that waits for its SIGHUP.
    fn check_file_is_not_ahead(&self) -> Result<(), ResponseCode> {
        let text = match zone_file::read_text(&self.path) {
            Err(e) if e.is_not_found() => return Ok(()),
            Ok(text) if self.file == Some(TextDigest::new(&text)) => return Ok(()),
            text => text,
        };
        match text.and_then(|text| zone_file::parse(&self.path, &text)) {
            Ok(file) if replaces(&file.zone, &self.held) => {
                let (path, serial) = (self.path.display(), file.zone.serial());
                log::error!(
                    "dns: update refused: {path} has serial {serial}, which waits for SIGHUP"
                );
                Err(ResponseCode::ServFail)
            }
            Ok(_) => Ok(()),
            Err(e) => {
                log::error!("dns: update refused: {e}");
                Err(ResponseCode::ServFail)
            }
        }
    }
}

/// Whether a zone file's zone takes the place of the zone in use.
fn replaces(zone: &Zone, held: &Zone) -> bool {
    zone.origin != held.origin || update::is_newer(zone.serial(), held.serial())
}

fn log_kept(kept: Result<Kept, ZoneCacheError>) {
    match kept {
        Ok(Kept::Copy) => {}
        Ok(Kept::Less(e)) => log::warn!("state: {e}; a restart relies on the zone file alone"),
        Err(e) => log::error!("state: {e}; an earlier zone is kept in the state folder"),
    }
}

fn log_no_zone(fault: &dyn fmt::Display) {
    log::error!("{fault}; no endpoint is listed until SIGHUP brings a zone");
}

/// Runs work that waits for the disk on a thread of its own.
async fn in_background<T, E>(work: impl FnOnce() -> Result<T, E> + Send + 'static) -> Result<T, E>
where
    T: Send + 'static,
    E: From<io::Error> + Send + 'static,
{
    let (done, result) = async_channel::bounded(1);
    thread::Builder::new()
        .name("zone".into())
        .spawn(move || drop(done.try_send(work())))?;
    result.recv().await.map_err(io::Error::other)?
}
