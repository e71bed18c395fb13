//! What a sender has checked and written down in its state folder, policies and routing tables: for
//! itself, and for a later process that ends what was taken on under them.
//!
//! A thread of its own reads, compiles and writes: none of it may keep the one that serves from its
//! sockets.

use crate::config::Door;
use crate::coordination::messages::Digest;
use crate::coordination::policy_rollout::document as policy;
use crate::coordination::routing_table::document as table;
use crate::coordination::routing_table::federation::MOST_TEXT as MOST_TABLE;
use crate::delivery::endpoint::ZoneCapacity;
use crate::delivery::policies::{self, Policy, PolicySet};
use crate::delivery::routing_tables::{self, RoutingTables};
use crate::delivery::script_hook::ScriptHook;
use crate::dispatch::routing::Routes;
use crate::store::worker::Worker;
use crate::Settings;
use data_encoding::HEXLOWER;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;

/// How a file is named while it is written.
const NEW: &str = "new";
/// The number of what was gone by last.
const LAST: &str = "last";
/// Files take whole blocks.
const BLOCK: u64 = 4096;
/// Fewest bytes that a message takes in the state folder: a policy that has more held than fit is a
/// mistake.
const LEAST_MESSAGE: u64 = 256;

/// A kind of text that is checked and kept, by its owner in this process.
pub trait Kept: 'static {
    /// The folder, in the sender's own.
    const FOLDER: &'static str;
    /// What one is called; files are named so behind their number.
    const NAME: &'static str;
    /// As many are kept.
    const MOST: usize;
    /// Bytes of one's text.
    const MOST_TEXT: usize;
    /// What they are checked against.
    type Ground: Send + Sync + 'static;
    /// One that is ready for use.
    type Ready: Send + 'static;

    /// Makes one ready.
    ///
    /// # Errors
    /// All for which this sender cannot go by it, a line each.
    fn ready(
        ground: &Self::Ground,
        number: u64,
        digest: Digest,
        text: &str,
    ) -> Result<Self::Ready, String>;

    /// Knows one more; false where there is no place for it.
    fn add(&self, number: u64, ready: Self::Ready) -> bool;

    /// Forgets one; false where it is needed.
    fn forget(&self, number: u64) -> bool;

    /// Whether one is in use.
    fn needs(&self, number: u64) -> bool;
}

impl Kept for PolicySet {
    const FOLDER: &'static str = "policies";
    const NAME: &'static str = "policy";
    const MOST: usize = policies::MAX_POLICIES;
    const MOST_TEXT: usize = policy::MOST_TEXT;
    type Ground = Ground;
    type Ready = Policy;

    fn ready(ground: &Ground, number: u64, digest: Digest, text: &str) -> Result<Policy, String> {
        ground.ready(number, digest, text)
    }

    fn add(&self, _: u64, policy: Policy) -> bool {
        PolicySet::add(self, policy)
    }

    fn forget(&self, number: u64) -> bool {
        PolicySet::remove(self, number)
    }

    fn needs(&self, number: u64) -> bool {
        PolicySet::is_in_use(self, number)
    }
}

impl Kept for RoutingTables {
    const FOLDER: &'static str = "tables";
    const NAME: &'static str = "table";
    const MOST: usize = routing_tables::MAX_TABLES;
    const MOST_TEXT: usize = MOST_TABLE;
    type Ground = List;
    type Ready = Routes;

    fn ready(list: &List, _: u64, digest: Digest, text: &str) -> Result<Routes, String> {
        list.ready(digest, text)
    }

    fn add(&self, number: u64, routes: Routes) -> bool {
        RoutingTables::add(self, number, routes)
    }

    fn forget(&self, number: u64) -> bool {
        RoutingTables::remove(self, number)
    }

    fn needs(&self, number: u64) -> bool {
        number == self.current_number()
    }
}

/// What routing tables are checked against.
pub struct List {
    /// Names of the sender's classes.
    pub classes: Vec<String>,
    /// How many tenants its settings have.
    pub tenants: usize,
    /// What its list has, zone by zone. Nothing at a start: what was checked once and is gone by is
    /// not refused for a list that has changed.
    pub offers: Option<Vec<ZoneCapacity>>,
}

impl List {
    /// Makes a table ready for use here.
    ///
    /// # Errors
    /// All for which this sender cannot go by it, a line each.
    pub fn ready(&self, digest: Digest, text: &str) -> Result<Routes, String> {
        let lines = |faults: Vec<_>| {
            faults
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join("\n")
        };
        let document = table::Document::parse(text).map_err(lines)?;
        if document.digest() != digest {
            return Err("its text is not what its print says".into());
        }
        let (classes, tenants) = (&self.classes, self.tenants);
        let lacks = self
            .offers
            .as_ref()
            .map_or(Vec::new(), |o| document.lacks(classes, tenants, o));
        match lacks.is_empty() {
            true => Ok(document.routes(classes, tenants)),
            false => Err(lacks.join("\n")),
        }
    }
}

/// What policies are laid over, and the bounds of this machine.
pub struct Ground {
    /// The sender's own settings.
    pub settings: Settings,
    /// Names of its classes.
    pub classes: Vec<String>,
    /// Its door.
    pub door: Door,
    /// Places for clients.
    pub places: usize,
    /// Calls that there are descriptors for.
    pub calls: usize,
    /// Bytes of the state folder that are for messages.
    pub disk: u64,
}

impl Ground {
    /// Makes a policy ready for use here.
    ///
    /// # Errors
    /// All for which this sender cannot go by it, a line each.
    pub fn ready(&self, number: u64, digest: Digest, text: &str) -> Result<Policy, String> {
        let lines = |faults: Vec<_>| {
            faults
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join("\n")
        };
        let document = policy::Document::parse(text).map_err(lines)?;
        if document.digest() != digest {
            return Err("its text is not what its print says".into());
        }
        let laid = document.lay_over(&self.settings, &self.classes, &self.door);
        let (settings, door) = laid.map_err(lines)?;
        let mut faults = Vec::new();
        let (slots, room) = (
            settings.max_in_flight_calls as usize,
            u64::from(settings.max_held_messages),
        );
        if slots > self.calls {
            let calls = self.calls;
            faults.push(format!(
                "limits.slots: {slots} calls at once; there are descriptors for {calls} here"
            ));
        }
        let most = self.disk / LEAST_MESSAGE;
        if room > most && settings.max_held_messages > self.settings.max_held_messages {
            faults.push(format!(
                "limits.room: {room} messages; there is disk for {most} of the smallest here"
            ));
        }
        let own = || document.hook.as_deref().filter(|text| !text.is_empty());
        let hook = own()
            .map(ScriptHook::compile)
            .transpose()
            .unwrap_or_else(|e| {
                faults.push(format!("hook: {e}"));
                None
            });
        if !faults.is_empty() {
            return Err(faults.join("\n"));
        }
        Ok(door.policy(number, &settings, &self.classes, self.places, hook))
    }
}

/// Bytes of one's file at the most: its text and a line.
const fn file<K: Kept>() -> u64 {
    K::MOST_TEXT as u64 + BLOCK
}

/// Bytes of a state folder that are not for messages, where these are followed, or some are there
/// that were: as many as are kept, one more while it is written, the last one's number and the
/// folder.
///
/// # Errors
/// The folder cannot be read.
pub fn reserved<K: Kept>(state: &Path, follows: bool) -> io::Result<u64> {
    if follows {
        return Ok((K::MOST as u64 + 1) * file::<K>() + 2 * BLOCK);
    }
    let files = files::<K>(&state.join(K::FOLDER))?;
    Ok(files
        .iter()
        .map(|(_, size)| size.next_multiple_of(BLOCK))
        .sum())
}

/// Owner of a folder.
pub struct Shelf<K: Kept> {
    folder: PathBuf,
    worker: Worker,
    /// What is checked against, as it stands when it is asked for.
    ground: Box<dyn Fn() -> Arc<K::Ground>>,
    owner: Rc<K>,
    stored: RefCell<BTreeMap<u64, Digest>>,
    last: u64,
}

impl<K: Kept> Shelf<K> {
    /// Opens that of a state folder: all that is there and can be used is made ready, on the ground
    /// that is there at a start.
    ///
    /// # Errors
    /// The folder cannot be made or read, or there is no thread to be had.
    pub fn open(
        state: &Path,
        start: &K::Ground,
        ground: Box<dyn Fn() -> Arc<K::Ground>>,
        owner: Rc<K>,
    ) -> io::Result<Shelf<K>> {
        let folder = state.join(K::FOLDER);
        match fs::create_dir(&folder) {
            Err(e) if e.kind() != io::ErrorKind::AlreadyExists => return Err(e),
            _ => {}
        }
        let mut stored = BTreeMap::new();
        for (name, _) in files::<K>(&folder)? {
            if name == LAST {
                continue;
            }
            let read = read::<K>(&folder.join(&name), &name).and_then(|(number, digest, text)| {
                let ready = K::ready(start, number, digest, &text)?;
                let known = owner.add(number, ready);
                known
                    .then_some((number, digest))
                    .ok_or("there is no place for it".into())
            });
            match read {
                Ok((number, digest)) => _ = stored.insert(number, digest),
                Err(e) => {
                    let e: String = e;
                    log::error!(
                        "fleet: {}/{name} cannot be used: {}",
                        K::FOLDER,
                        e.replace('\n', "; ")
                    );
                    // Its number may be offered again, and the file is in the way of nothing else.
                    fs::remove_file(folder.join(&name))?;
                }
            }
        }
        let last = fs::read_to_string(folder.join(LAST)).ok();
        let last = last
            .and_then(|text| text.strip_suffix('\n')?.parse().ok())
            .unwrap_or(0);
        let (stored, worker) = (RefCell::new(stored), Worker::start()?);
        Ok(Shelf {
            folder,
            worker,
            ground,
            owner,
            stored,
            last,
        })
    }

    /// What is written down, by number.
    pub fn stored(&self) -> BTreeMap<u64, Digest> {
        self.stored.borrow().clone()
    }

    /// The one that an earlier process went by last; 0 for none.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Makes room for one of this number: forgets the oldest that nothing needs, if there is no
    /// other way. Gives what was forgotten.
    ///
    /// # Errors
    /// All that are known are needed.
    pub fn make_room(&self, number: u64, needs: [u64; 2]) -> Result<Vec<u64>, String> {
        let mut stored = self.stored.borrow_mut();
        let others = stored.keys().filter(|n| **n != number).count();
        let mut forgotten = Vec::new();
        // Of one number there is one: another text under it replaces one that is not needed.
        let same = stored.contains_key(&number).then_some(number);
        let oldest = stored
            .keys()
            .copied()
            .find(|n| !needs.contains(n) && !self.owner.needs(*n));
        for number in same
            .into_iter()
            .chain(oldest.filter(|_| others >= K::MOST && same.is_none()))
        {
            if needs.contains(&number) || !self.owner.forget(number) {
                return Err(format!("another {} {number} is in use here", K::NAME));
            }
            stored.remove(&number);
            forgotten.push(number);
        }
        if stored.len() >= K::MOST {
            return Err(format!(
                "as many are needed here already as are kept: {}",
                K::MOST
            ));
        }
        Ok(forgotten)
    }

    /// Checks one and writes it down, for which there has to be room; removes what was forgotten
    /// before.
    ///
    /// # Errors
    /// All for which this sender cannot go by it, a line each.
    pub async fn add(
        &self,
        number: u64,
        digest: Digest,
        text: String,
        forgotten: Vec<u64>,
    ) -> Result<(), String> {
        let (ground, folder) = ((self.ground)(), self.folder.clone());
        let checked = self.worker.run(move || {
            for old in forgotten {
                let removed = fs::remove_file(folder.join(name::<K>(old)));
                removed.map_err(|e| format!("{} {old} cannot be removed: {e}", K::NAME))?;
            }
            let ready = K::ready(&ground, number, digest, &text)?;
            let written = write::<K>(&folder, number, digest, &text);
            written.map_err(|e| format!("it cannot be written down: {e}"))?;
            Ok(ready)
        });
        let ready = checked.await.unwrap_or_else(|e| Err(e.to_string()))?;
        if !self.owner.add(number, ready) {
            return Err("there is no place for it".into());
        }
        self.stored.borrow_mut().insert(number, digest);
        Ok(())
    }

    /// Notes which one is gone by, for a later process that hears of no keeper.
    pub async fn goes_by(&self, number: u64) {
        let folder = self.folder.clone();
        let noted = self
            .worker
            .run(move || replace(&folder, LAST, format!("{number}\n").as_bytes()));
        if let Err(e) = noted.await.and_then(|written| written) {
            log::warn!("fleet: {}/{LAST} cannot be written: {e}", K::FOLDER);
        }
    }
}

fn name<K: Kept>(number: u64) -> String {
    format!("{number}.{}", K::NAME)
}

/// What a file begins with; its number, and the print of what follows, stand behind it.
fn form<K: Kept>() -> String {
    format!("raildeal {} 1", K::NAME)
}

/// Files and their sizes; none where there is no folder. What was being written when a process
/// ended is removed.
fn files<K: Kept>(folder: &Path) -> io::Result<Vec<(String, u64)>> {
    let entries = match fs::read_dir(folder) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        entries => entries?,
    };
    let mut files = Vec::new();
    for entry in entries {
        let entry = entry?;
        let name = entry.file_name().to_string_lossy().into_owned();
        if name.ends_with(&format!(".{NEW}")) {
            fs::remove_file(entry.path())?;
        } else if name == LAST || name.ends_with(&format!(".{}", K::NAME)) {
            files.push((name, entry.metadata()?.len()));
        }
    }
    files.sort();
    Ok(files)
}

fn write<K: Kept>(folder: &Path, number: u64, digest: Digest, text: &str) -> io::Result<()> {
    let head = format!("{} {number} {}\n", form::<K>(), HEXLOWER.encode(&digest));
    replace(
        folder,
        &name::<K>(number),
        &[head.as_bytes(), text.as_bytes()].concat(),
    )
}

/// Writes a file through, in one step for whoever reads it.
fn replace(folder: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
    let new = folder.join(format!("{name}.{NEW}"));
    let mut file = File::create(&new)?;
    let written = file.write_all(bytes).and_then(|()| file.sync_all());
    let placed = written.and_then(|()| fs::rename(&new, folder.join(name)));
    if placed.is_err() {
        // A disk that is full keeps nothing of it.
        let _ = fs::remove_file(&new);
    }
    placed.and_then(|()| File::open(folder)?.sync_all())
}

/// Reads a file: its number, its print and its text.
fn read<K: Kept>(path: &Path, name: &str) -> Result<(u64, Digest, String), String> {
    let all = fs::read_to_string(path).map_err(|e| e.to_string())?;
    let (head, text) = all.split_once('\n').ok_or("it has no first line")?;
    let words = head
        .strip_prefix(&form::<K>())
        .map(|rest| rest.split_whitespace().collect::<Vec<_>>());
    let read = match words.as_deref() {
        Some([number, digest]) => number
            .parse()
            .ok()
            .zip(HEXLOWER.decode(digest.as_bytes()).ok()),
        _ => None,
    };
    let (number, digest) = read.ok_or("its first line cannot be read")?;
    let digest = Digest::try_from(digest).map_err(|_| "its print cannot be read")?;
    if name != self::name::<K>(number) {
        return Err(format!("it is {} {number}", K::NAME));
    }
    Ok((number, digest, text.to_string()))
}
