//! What was taken on outlives the process: accounts of messages, kept in a [`crate::store`] before
//! anything is promised or sent.
//!
//! A line that cannot be written is not forgotten: what follows it on the same message waits until
//! it is, and what depends on it is not told.

pub mod inspect;
pub mod legacy_v1;
pub mod record;
pub mod restart_state;
pub mod wall_clock;

use crate::delivery::timer_wheel::TimerWheel;
use crate::delivery::{unix_ms, Envelope, Verdict};
use crate::store::capacity::{GateChange, Occupancy};
use crate::store::disk::{Disk, Folder};
use crate::store::log::{
    LegacyFile, LogOptions, LogStatistics, PendingSync, PutError, SegmentLog, SnapshotSource,
};
use crate::store::recover::Replay;
use crate::store::worker::Worker;
use event_listener::Event as Bell;
use legacy_v1 as v1;
pub use record::{AttemptStart, MessageRecord};
use rustix::fs::{flock, FlockOperation};
use rustix::io::Errno;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fs::{self, File};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wall_clock::WallClock;

/// What calls and a verdict may add to a message: two zones' names above all.
const GROWTH: u64 = 192;
/// Between two looks at the store while there is something to clean, and otherwise.
const TEND: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(100));
/// A line that failed is tried again after this time.
pub const WRITE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How often a folder that is in use is looked at again at the start, and how soon.
const LOOKS: (usize, Duration) = (5, Duration::from_millis(20));
/// Reads of a body that was moved meanwhile.
const READS: usize = 4;

/// Something that happened to a message.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum JournalEvent {
    AttemptStarted(AttemptStart),
    AttemptEnded { may_have_run: bool },
    Decided(Verdict),
}

impl JournalEvent {
    fn apply(self, account: &mut MessageRecord) {
        match self {
            JournalEvent::AttemptStarted(sent) => account.sent(sent),
            JournalEvent::AttemptEnded { may_have_run } => account.back(may_have_run),
            JournalEvent::Decided(verdict) => account.ended(verdict),
        }
    }
}

/// What has to outlast what.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(rename_all = "lowercase")]
pub enum Durability {
    /// The process: what is written is kept.
    #[default]
    Process,
    /// The machine: what is synced is kept.
    Machine,
}

/// How a journal is to be.
#[derive(Clone, Copy, Debug)]
pub struct JournalOptions {
    /// Bytes that its folder may hold.
    pub limit_bytes: u64,
    /// What it outlasts.
    pub durability: Durability,
    /// Bytes of bodies that are kept in memory; those of further messages are read when they are
    /// sent.
    pub cached_body_bytes: u64,
    /// For the store's salts; a client must not be able to know it.
    pub seed: u64,
}

impl JournalOptions {
    /// For a folder that may hold so many bytes; the rest at its simplest.
    pub fn new(limit_bytes: u64) -> Self {
        JournalOptions {
            limit_bytes,
            durability: Durability::Process,
            cached_body_bytes: u64::MAX,
            seed: 0,
        }
    }
}

/// One message's account, and what this process knows beside it.
struct RecordEntry {
    account: MessageRecord,
    /// Bytes that it counts for in the store.
    size: u64,
    /// When the first call that may have run went, where that is known.
    ran_at: Option<Instant>,
    out_at: Option<Instant>,
    /// Lines that could not be written yet.
    unwritten: VecDeque<JournalEvent>,
}

#[derive(Default)]
struct RecordTable {
    open: BTreeMap<u64, RecordEntry>,
    /// Bytes of bodies in memory.
    bodies: u64,
    newest_ms: u64,
}

impl SnapshotSource for RecordTable {
    fn snapshot(
        &self,
        no: u64,
        old: &mut dyn FnMut() -> io::Result<Vec<u8>>,
    ) -> io::Result<Vec<u8>> {
        let entry = self.open.get(&no).ok_or(io::ErrorKind::NotFound)?;
        if entry.account.envelope.stored_body_bytes == 0 {
            return Ok(entry.account.encode());
        }
        let before = MessageRecord::decode(&old()?).map_err(io::Error::other)?;
        let mut account = entry.account.clone();
        Rc::make_mut(&mut account.envelope).body = before.envelope.body.clone();
        Ok(account.encode())
    }
}

impl RecordTable {
    fn insert(&mut self, no: u64, account: MessageRecord, size: u64, most: u64) {
        let mut entry = RecordEntry {
            account,
            size,
            ran_at: None,
            out_at: None,
            unwritten: VecDeque::new(),
        };
        let envelope = &mut entry.account.envelope;
        let len = envelope.body.len() as u64;
        if self.bodies + len > most {
            let envelope = Rc::make_mut(envelope);
            envelope.stored_body_bytes = envelope.body.len();
            envelope.body = Vec::new();
        } else {
            self.bodies += len;
        }
        self.open.insert(no, entry);
    }

    fn remove(&mut self, no: u64) -> Option<RecordEntry> {
        let entry = self.open.remove(&no)?;
        self.bodies -= entry.account.envelope.body.len() as u64;
        Some(entry)
    }
}

/// Time since any start, that the store's decisions go by.
pub type MonotonicClock = Box<dyn Fn() -> Duration>;

/// Replays a store into accounts.
pub(super) struct JournalReplay {
    accounts: RecordTable,
    bodies: u64,
    /// What was open where lines may be lost.
    doubts: Vec<Vec<u64>>,
    doubted: usize,
}

impl JournalReplay {
    /// Nothing yet; so many bytes of bodies may be in memory.
    pub(super) fn new(bodies: u64) -> Self {
        JournalReplay {
            accounts: RecordTable::default(),
            bodies,
            doubts: Vec::new(),
            doubted: 0,
        }
    }

    /// Takes accounts of the first form in, and gives their numbers.
    pub(super) fn first_form(&mut self, open: BTreeMap<u64, MessageRecord>) -> Vec<u64> {
        let numbers = open.keys().copied().collect();
        for (no, account) in open {
            self.newest(&account);
            let size = counted(&account.encode());
            // There is no reading a body from that form later.
            self.accounts.insert(no, account, size, u64::MAX);
        }
        numbers
    }

    fn newest(&mut self, account: &MessageRecord) {
        let sent = account.ran.iter().chain(&account.out).map(|s| s.at_ms);
        let newest = sent
            .chain([account.taken_ms, self.accounts.newest_ms])
            .max();
        self.accounts.newest_ms = newest.unwrap_or_default();
    }

    /// What is open.
    pub(super) fn open(&self) -> impl Iterator<Item = (u64, &MessageRecord)> {
        self.accounts
            .open
            .iter()
            .map(|(no, entry)| (*no, &entry.account))
    }

    /// A message that turned out to be over.
    pub(super) fn forget(&mut self, no: u64) {
        self.accounts.remove(no);
    }

    /// Messages of which lines may be lost.
    pub(super) fn doubted(&self) -> usize {
        self.doubted
    }
}

impl Replay for JournalReplay {
    fn on_put(&mut self, no: u64, data: &[u8]) -> Result<(), String> {
        let account = MessageRecord::decode(data).map_err(|e| e.to_string())?;
        self.newest(&account);
        self.accounts.remove(no);
        self.accounts
            .insert(no, account, counted(data), self.bodies);
        Ok(())
    }

    fn on_update(&mut self, no: u64, data: &[u8]) -> Result<(), String> {
        let event: JournalEvent = postcard::from_bytes(data).map_err(|e| e.to_string())?;
        if let JournalEvent::AttemptStarted(sent) = &event {
            self.accounts.newest_ms = self.accounts.newest_ms.max(sent.at_ms);
        }
        let RecordTable { open, bodies, .. } = &mut self.accounts;
        if let Some(entry) = open.get_mut(&no) {
            happened(entry, event, bodies);
        }
        Ok(())
    }

    fn on_remove(&mut self, no: u64) {
        self.accounts.remove(no);
    }

    fn on_possible_loss(&mut self) {
        self.doubts
            .push(self.accounts.open.keys().copied().collect());
    }

    fn on_losses_known(&mut self, lost: &[bool]) {
        let doubts = std::mem::take(&mut self.doubts);
        let real = doubts.into_iter().zip(lost).filter(|(_, lost)| **lost);
        let doubted: BTreeSet<u64> = real.flat_map(|(open, _)| open).collect();
        for no in doubted {
            if let Some(entry) = self.accounts.open.get_mut(&no) {
                entry.account.doubt();
                self.doubted += 1;
            }
        }
    }
}

/// Applies an event to an entry, and counts what becomes of its body.
fn happened(entry: &mut RecordEntry, event: JournalEvent, bodies: &mut u64) {
    let (held, size) = (
        entry.account.envelope.body.len(),
        entry.account.envelope.body_size(),
    );
    event.apply(&mut entry.account);
    *bodies -= (held - entry.account.envelope.body.len()) as u64;
    entry.size -= (size - entry.account.envelope.body_size()) as u64;
}

struct JournalState {
    log: SegmentLog,
    accounts: RecordTable,
    /// Messages that are over, which could not be written yet.
    unclosed: BTreeSet<u64>,
}

/// The journal.
pub struct Journal {
    /// Held for as long as the process lives; a second one in this folder would send everything
    /// once more.
    _locks: Vec<File>,
    book: RefCell<JournalState>,
    setup: JournalOptions,
    time: MonotonicClock,
    clock: WallClock,
    worker: Option<Worker>,
    /// How far it is synced, how many syncs failed, and who wants to know.
    synced: Cell<u64>,
    failures: Cell<u64>,
    wanted: Bell,
    reached: Bell,
}

impl Journal {
    /// Opens the journal of a folder, and gives the records that an earlier process left open.
    pub fn open(folder: &Path, setup: JournalOptions) -> io::Result<(Rc<Self>, Vec<OpenRecord>)> {
        let locks = lock(folder)?;
        let old = match fs::read(folder.join(v1::NAME)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => None,
            other => Some(other?),
        };
        let _ = fs::remove_file(folder.join(v1::UNFINISHED));
        let start = Instant::now();
        Journal::open_on(
            Arc::new(Folder::new(folder)),
            setup,
            old,
            locks,
            Box::new(move || start.elapsed()),
        )
    }

    /// Opens it on any disk. `old` is what the file of the first form holds, if there is one.
    pub fn open_on(
        disk: Arc<dyn Disk>,
        setup: JournalOptions,
        old: Option<Vec<u8>>,
        locks: Vec<File>,
        time: MonotonicClock,
    ) -> io::Result<(Rc<Self>, Vec<OpenRecord>)> {
        let mut replayed = JournalReplay::new(setup.cached_body_bytes);
        let legacy = old
            .map(|bytes| upgrade(&bytes, &mut replayed))
            .transpose()?;
        let options = LogOptions {
            limit_bytes: setup.limit_bytes,
            seed: setup.seed,
            sync_required: setup.durability == Durability::Machine,
        };
        let size = |r: &JournalReplay, no: u64| r.accounts.open.get(&no).map_or(0, |e| e.size);
        let opened = SegmentLog::open(disk, options, legacy, &mut replayed, size)?;
        for damage in &opened.damage {
            log::error!("store: damaged: {damage}");
        }
        if !opened.damage.is_empty() {
            log::error!(
                "store: {} messages were open where lines may be lost; they are taken for ones that may have run",
                replayed.doubted
            );
        }
        if opened.torn > 0 {
            log::warn!(
                "store: {} bytes at its end are part of a line that was not finished",
                opened.torn
            );
        }
        let accounts = replayed.accounts;
        let clock = WallClock {
            now_ms: unix_ms(),
            newest_ms: accounts.newest_ms,
        };
        if clock.went_back() {
            let by = clock.newest_ms - clock.now_ms;
            log::warn!(
                "store: the clock was set back by {by} ms or more: calls that may have run are not repeated"
            );
        }
        let needs_thread =
            setup.durability == Durability::Machine || setup.cached_body_bytes < u64::MAX;
        let worker = needs_thread.then(Worker::start).transpose()?;
        let mut book = JournalState {
            log: opened.log,
            accounts,
            unclosed: BTreeSet::new(),
        };
        let now = Instant::now();
        for entry in book.accounts.open.values_mut() {
            let age = entry
                .account
                .may_have_run()
                .and_then(|s| clock.age(s.at_ms));
            entry.ran_at = age.and_then(|age| now.checked_sub(age));
            entry.out_at = entry.ran_at;
        }
        let open: Vec<u64> = book.accounts.open.keys().copied().collect();
        let journal = Rc::new(Journal {
            _locks: locks,
            book: RefCell::new(book),
            setup,
            time,
            clock,
            worker,
            synced: Cell::new(0),
            failures: Cell::new(0),
            wanted: Bell::new(),
            reached: Bell::new(),
        });
        let records = open
            .into_iter()
            .map(|no| OpenRecord {
                journal: journal.clone(),
                no,
            })
            .collect();
        Ok((journal, records))
    }

    /// Writes a message down that is taken on under a policy and a routing table; from now on it is
    /// owed its end. With [`Durability::Machine`] that counts once [`OpenRecord::settled`] says so.
    pub fn append_accepted(
        self: &Rc<Self>,
        envelope: Envelope,
        left: Duration,
        policy: u64,
        table: u64,
    ) -> Result<OpenRecord, PutError> {
        let taken_ms = unix_ms();
        let account = MessageRecord {
            envelope: Rc::new(envelope),
            taken_ms,
            expires_ms: taken_ms + left.as_millis() as u64,
            attempts: 0,
            ran: None,
            out: None,
            verdict: None,
            policy,
            table,
        };
        let data = account.encode();
        let size = counted(&data);
        let JournalState { log, accounts, .. } = &mut *self.book.borrow_mut();
        let put = log.put((self.time)(), &data, size, accounts);
        tell(put.gate_change);
        let no = put.result?;
        accounts.insert(no, account, size, self.setup.cached_body_bytes);
        Ok(OpenRecord {
            journal: self.clone(),
            no,
        })
    }

    /// When a client that was refused for want of room may come back.
    pub fn retry_after(&self) -> Duration {
        self.book.borrow().log.capacity_gate().retry_after()
    }

    /// Keeps the store clean and writes what could not be written before; runs for ever.
    pub async fn maintain(self: Rc<Self>, wheel: Rc<TimerWheel>) {
        loop {
            let rest = if self.maintain_once() { TEND.0 } else { TEND.1 };
            wheel.sleep(rest).await;
        }
    }

    /// One step of that; says whether the next one should come soon.
    pub fn maintain_once(&self) -> bool {
        let mut book = self.book.borrow_mut();
        let left: Vec<u64> = book.unclosed.iter().copied().collect();
        for no in left {
            if book.close(no).is_err() {
                break;
            }
        }
        if self.setup.durability == Durability::Machine && book.log.position() != self.synced.get()
        {
            // Nobody waits for it, but files may be free only then.
            self.wanted.notify(1);
        }
        let JournalState { log, accounts, .. } = &mut *book;
        match log.maintain((self.time)(), accounts) {
            Ok(busy) => busy,
            Err(e) => {
                log::debug!("store: {e}");
                false
            }
        }
    }

    /// Syncs in groups whenever somebody waits for it; runs for ever. Nothing to do, but where the
    /// machine may fail.
    pub async fn run_sync(self: Rc<Self>) {
        let Some(worker) = self
            .worker
            .as_ref()
            .filter(|_| self.setup.durability == Durability::Machine)
        else {
            return;
        };
        loop {
            let wanted = self.wanted.listen();
            if self.book.borrow().log.position() == self.synced.get() {
                wanted.await;
            }
            let unsynced = self.book.borrow_mut().log.take_unsynced();
            let synced = worker.run(move || (unsynced.sync(), unsynced)).await;
            let (result, unsynced) = match synced {
                Ok(synced) => synced,
                Err(e) => return log::error!("store: {e}"),
            };
            if let Err(e) = self.was_synced(result, unsynced) {
                log::error!("store: sync: {e}; what it was for is written again elsewhere");
                async_io::Timer::after(WRITE_RETRY_DELAY).await;
            }
            self.reached.notify(usize::MAX);
        }
    }

    /// Syncs all that is written so far, on this thread; for the end of a process, when nothing
    /// else has to go on.
    pub fn sync_now(&self) -> io::Result<()> {
        if self.setup.durability == Durability::Process {
            return Ok(());
        }
        let unsynced = self.book.borrow_mut().log.take_unsynced();
        self.was_synced(unsynced.sync(), unsynced)
    }

    /// What came of a sync.
    fn was_synced(&self, result: io::Result<()>, unsynced: PendingSync) -> io::Result<()> {
        let log = &mut self.book.borrow_mut().log;
        match &result {
            Ok(()) => {
                self.synced.set(unsynced.position);
                log.mark_synced(&unsynced);
            }
            Err(_) => {
                self.failures.set(self.failures.get() + 1);
                tell(log.sync_failed((self.time)(), unsynced));
            }
        }
        result
    }

    /// What the store has done so far.
    pub fn statistics(&self) -> LogStatistics {
        self.book.borrow().log.statistics()
    }

    /// The store as it stands.
    pub fn occupancy(&self) -> Occupancy {
        self.book.borrow().log.occupancy()
    }

    /// Waits until all that is written so far is as durable as it is to be. Fails if a sync did,
    /// meanwhile.
    async fn durable(&self) -> io::Result<()> {
        if self.setup.durability == Durability::Process {
            return Ok(());
        }
        let (position, failures) = (self.book.borrow().log.position(), self.failures.get());
        loop {
            let reached = self.reached.listen();
            if self.synced.get() >= position {
                return Ok(());
            }
            if self.failures.get() != failures {
                return Err(io::Error::other("a sync failed"));
            }
            self.wanted.notify(usize::MAX);
            reached.await;
        }
    }
}

impl JournalState {
    /// Writes what is still unwritten of a message, then one more line. What is not written stays
    /// noted.
    fn write(&mut self, no: u64, event: JournalEvent) -> io::Result<()> {
        self.flush(no)?;
        self.log.append_update(
            no,
            &postcard::to_stdvec(&event).expect("plain data always encodes"),
            &self.accounts,
        )
    }

    fn flush(&mut self, no: u64) -> io::Result<()> {
        while let Some(event) = self
            .accounts
            .open
            .get(&no)
            .and_then(|e| e.unwritten.front())
        {
            let data = postcard::to_stdvec(event).expect("plain data always encodes");
            self.log.append_update(no, &data, &self.accounts)?;
            self.accounts
                .open
                .get_mut(&no)
                .and_then(|e| e.unwritten.pop_front());
        }
        Ok(())
    }

    fn apply(&mut self, no: u64, event: JournalEvent) {
        let RecordTable { open, bodies, .. } = &mut self.accounts;
        if let Some(entry) = open.get_mut(&no) {
            let before = entry.size;
            happened(entry, event, bodies);
            if entry.size != before {
                self.log.set_reserved_size(no, entry.size);
            }
        }
    }

    fn close(&mut self, no: u64) -> io::Result<()> {
        let written = self.log.remove(no, &self.accounts);
        match &written {
            Ok(()) => {
                self.unclosed.remove(&no);
                self.accounts.remove(no);
            }
            Err(_) => drop(self.unclosed.insert(no)),
        }
        written
    }
}

/// The open account of one message. Dropped unclosed, it stays open for the next process.
pub struct OpenRecord {
    journal: Rc<Journal>,
    no: u64,
}

impl OpenRecord {
    fn entry<T>(&self, of: impl FnOnce(&RecordEntry) -> T) -> T {
        of(&self.journal.book.borrow().accounts.open[&self.no])
    }

    /// What is known of the message.
    pub fn snapshot(&self) -> MessageRecord {
        self.entry(|e| e.account.clone())
    }

    /// The message; its body may be away.
    pub fn envelope(&self) -> Rc<Envelope> {
        self.entry(|e| e.account.envelope.clone())
    }

    /// The message with its body.
    pub async fn load_envelope(&self) -> io::Result<Rc<Envelope>> {
        let mut failed = io::ErrorKind::NotFound.into();
        for _ in 0..READS {
            let envelope = self.envelope();
            if envelope.stored_body_bytes == 0 {
                return Ok(envelope);
            }
            let place = self
                .journal
                .book
                .borrow()
                .log
                .reader(self.no)
                .ok_or(io::ErrorKind::NotFound)?;
            let read = match &self.journal.worker {
                Some(worker) => worker.run(move || place.read()).await?,
                None => place.read(),
            };
            match read.and_then(|data| MessageRecord::decode(&data).map_err(io::Error::other)) {
                Ok(before) => {
                    let mut whole = (*envelope).clone();
                    (whole.body, whole.stored_body_bytes) = (before.envelope.body.clone(), 0);
                    return Ok(Rc::new(whole));
                }
                // Cleaning may have moved it; then it is found where it is now.
                Err(e) => failed = e,
            }
        }
        Err(failed)
    }

    /// Zone of the first call that may have run, and how long ago it went; nothing for the age
    /// where that is not known.
    pub fn first_possible_run(&self) -> Option<(String, Option<Duration>)> {
        self.entry(|e| {
            let sent = e.account.ran.as_ref()?;
            Some((sent.zone.clone(), e.ran_at.map(|at| at.elapsed())))
        })
    }

    /// The time that the message has left, as an earlier process wrote it down.
    pub fn time_left(&self) -> Duration {
        self.entry(|e| {
            self.journal
                .clock
                .left(e.account.taken_ms, e.account.expires_ms)
        })
    }

    /// Waits until all that was written of it is as durable as it is to be.
    pub async fn durable(&self) -> io::Result<()> {
        self.journal.durable().await
    }

    /// Whether what is written has to be waited for.
    pub fn requires_sync(&self) -> bool {
        self.journal.setup.durability == Durability::Machine
    }

    /// A call is about to go. It must not, where this fails.
    pub fn attempt_started(&self, zone: &str) -> io::Result<()> {
        let sent = JournalEvent::AttemptStarted(AttemptStart {
            at_ms: unix_ms(),
            zone: zone.to_string(),
        });
        let mut book = self.journal.book.borrow_mut();
        book.write(self.no, sent.clone())?;
        book.apply(self.no, sent);
        if let Some(entry) = book.accounts.open.get_mut(&self.no) {
            entry.out_at = Some(Instant::now());
        }
        Ok(())
    }

    /// The call that was out has ended. Where that cannot be written now, no further call goes
    /// before it is.
    pub fn attempt_ended(&self, may_have_run: bool) {
        let event = JournalEvent::AttemptEnded { may_have_run };
        let mut book = self.journal.book.borrow_mut();
        let written = book.write(self.no, event.clone());
        let ran = book
            .accounts
            .open
            .get(&self.no)
            .is_some_and(|e| e.account.ran.is_some());
        book.apply(self.no, event.clone());
        let Some(entry) = book.accounts.open.get_mut(&self.no) else {
            return;
        };
        if !ran {
            entry.ran_at = entry.out_at.take().filter(|_| may_have_run);
        }
        if let Err(e) = written {
            log::debug!("store: {}: {e}", entry.account.envelope.id);
            entry.unwritten.push_back(event);
        }
    }

    /// The final answer is decided. It must not be told while this fails, unless the message's time
    /// is up.
    pub fn decided(&self, verdict: Verdict) -> io::Result<()> {
        let mut book = self.journal.book.borrow_mut();
        book.write(self.no, JournalEvent::Decided(verdict))?;
        book.apply(self.no, JournalEvent::Decided(verdict));
        Ok(())
    }

    /// The message is over. Where that cannot be written now, it will be as soon as it can.
    pub fn close(self) -> io::Result<()> {
        self.journal.book.borrow_mut().close(self.no)
    }
}

fn tell(turned: Option<GateChange>) {
    match turned {
        Some(turned @ GateChange::Closed(_)) => log::warn!("store: {turned}"),
        Some(turned @ GateChange::Reopened(_)) => log::info!("store: {turned}"),
        None => {}
    }
}

/// What a message with this data counts for, from its first line to its last.
fn counted(data: &[u8]) -> u64 {
    crate::store::frame::encoded_len(data.len()) + GROWTH
}

/// Takes the accounts of a file of the first form in. It counts as the oldest segment until they
/// were copied.
fn upgrade(bytes: &[u8], into: &mut JournalReplay) -> io::Result<LegacyFile> {
    let form = || io::Error::new(io::ErrorKind::InvalidData, "a journal of another form");
    let (open, good) = v1::replay(bytes).ok_or_else(form)?;
    if good < bytes.len() {
        log::warn!(
            "journal: {} bytes at its end are not whole and are left out",
            bytes.len() - good
        );
    }
    let items = into.first_form(open);
    Ok(LegacyFile {
        name: v1::NAME.into(),
        size: bytes.len() as u64,
        items,
    })
}

/// Locks a folder: the folder itself, which takes no room, and the file by which earlier versions
/// did.
fn lock(folder: &Path) -> io::Result<Vec<File>> {
    let mut locks = vec![File::open(folder)?];
    match File::options().write(true).open(folder.join("lock")) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => {}
        other => locks.push(other?),
    }
    for file in &locks {
        // Who only looks whether a folder is in use holds it for a moment.
        let mut taken = flock(file, FlockOperation::NonBlockingLockExclusive);
        for _ in 0..LOOKS.0 {
            if taken == Err(Errno::WOULDBLOCK) {
                std::thread::sleep(LOOKS.1);
                taken = flock(file, FlockOperation::NonBlockingLockExclusive);
            }
        }
        match taken {
            Err(Errno::WOULDBLOCK) => {
                return Err(io::Error::new(
                    io::ErrorKind::WouldBlock,
                    "in use by another process",
                ))
            }
            Err(e) => log::warn!("journal: no lock: {e}"),
            Ok(()) => {}
        }
    }
    Ok(locks)
}
