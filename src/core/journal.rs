//! What was taken on outlives the process: a file of checksummed lines, written before anything is promised or sent.
//!
//! There is no sync: the file has to outlast the process, not the machine. The file and its successor during a
//! compaction together stay under the limit; when they could not, no further message is taken on.

use super::{unix_ms, Envelope, Verdict};
use rustix::fs::{flock, FlockOperation};
use rustix::io::Errno;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// What a journal of this form begins with.
const FORM: &[u8] = b"raildeal journal 1\n";
/// Bytes before a line's payload: its length and its checksum.
const HEAD: usize = 8;
/// What calls and a verdict may add to a message's line: two zones' names above all.
const SLACK: u64 = 576;
/// What files take beyond their bytes, counted in whole blocks.
const ROUNDING: u64 = 2048;

/// A call that may have run: when it was sent and to which zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sent {
    /// Unix time in milliseconds.
    pub at_ms: u64,
    /// Zone of the provider, by name.
    pub zone: String,
}

/// What the journal knows of one message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The message.
    pub envelope: Rc<Envelope>,
    /// Unix time in milliseconds at which it is given up.
    pub expires_ms: u64,
    /// Calls sent.
    pub attempts: u16,
    /// The first call that may have run.
    pub ran: Option<Sent>,
    /// The call that is out.
    pub out: Option<Sent>,
    /// Its final answer, decided and perhaps not yet heard.
    pub verdict: Option<Verdict>,
}

#[derive(Serialize, Deserialize)]
enum Line<'a> {
    Open(u64, Cow<'a, Account>),
    Sent(u64, Cow<'a, Sent>),
    Back { no: u64, may_have_run: bool },
    Ended(u64, Verdict),
    Closed(u64),
}

struct Book {
    file: File,
    /// Bytes in the file.
    len: u64,
    /// Bytes that the open accounts would take, slack included.
    live: u64,
    open: BTreeMap<u64, (Account, u64)>,
    next: u64,
}

/// The journal.
pub struct Journal {
    /// Held for as long as the process lives; a second one in this folder would send everything once more.
    _lock: File,
    path: PathBuf,
    limit: u64,
    book: RefCell<Book>,
}

/// Why a message could not be written down.
#[derive(Debug)]
pub enum Unwritten {
    /// There is no room.
    Full,
    /// The file system failed.
    Io(io::Error),
}

impl Journal {
    /// Opens the journal of a folder, and gives the records that an earlier process left open.
    pub fn open(folder: &Path, limit: u64) -> io::Result<(Rc<Self>, Vec<Record>)> {
        let lock = lock(&folder.join("lock"))?;
        let path = folder.join("journal");
        let bytes = match fs::read(&path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            other => other?,
        };
        if !bytes.starts_with(FORM) && !FORM.starts_with(&bytes) {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "a journal of another form"));
        }
        let (accounts, good) = replay(&bytes);
        if good < bytes.len() {
            log::warn!("journal: {} bytes at its end are not whole and are left out", bytes.len() - good);
        }
        let mut book =
            Book { file: File::create(next_path(&path))?, len: 0, live: 0, open: BTreeMap::new(), next: 0 };
        for (no, account) in accounts {
            let size = line(&Line::Open(no, Cow::Borrowed(&account))).len() as u64 + SLACK;
            book.next = no + 1;
            book.live += size;
            book.open.insert(no, (account, size));
        }
        let journal = Rc::new(Journal { _lock: lock, path, limit, book: RefCell::new(book) });
        journal.compact(&mut journal.book.borrow_mut())?;
        let open: Vec<u64> = journal.book.borrow().open.keys().copied().collect();
        let records = open.into_iter().map(|no| Record { journal: journal.clone(), no }).collect();
        Ok((journal, records))
    }

    /// Writes a message down; from now on it is owed its end.
    pub fn take_on(self: &Rc<Self>, envelope: Rc<Envelope>, expires_ms: u64) -> Result<Record, Unwritten> {
        let mut book = self.book.borrow_mut();
        let account = Account { envelope, expires_ms, attempts: 0, ran: None, out: None, verdict: None };
        let no = book.next;
        let bytes = line(&Line::Open(no, Cow::Borrowed(&account)));
        let size = bytes.len() as u64 + SLACK;
        // A third for what is open leaves a third to append to before the next compaction needs its third.
        if book.live + size > self.limit / 3 {
            return Err(Unwritten::Full);
        }
        self.append(&mut book, &bytes).map_err(Unwritten::Io)?;
        book.next += 1;
        book.live += size;
        book.open.insert(no, (account, size));
        Ok(Record { journal: self.clone(), no })
    }

    /// Appends a line that is already in the book's account, or is about to be.
    fn append(&self, book: &mut Book, bytes: &[u8]) -> io::Result<()> {
        let room = self.limit.saturating_sub(ROUNDING);
        if book.len + bytes.len() as u64 + book.live > room {
            self.compact(book)?;
        }
        if let Err(e) = book.file.write_all(bytes) {
            log::error!("journal: {e}");
            // Half a line would hide all that follows it from the next replay.
            book.file.set_len(book.len)?;
            book.file.seek(SeekFrom::Start(book.len))?;
            return Err(e);
        }
        book.len += bytes.len() as u64;
        Ok(())
    }

    /// Writes what is open to a new file and puts it in the old one's place.
    fn compact(&self, book: &mut Book) -> io::Result<()> {
        let next = next_path(&self.path);
        let lines = book.open.iter().map(|(no, (account, _))| line(&Line::Open(*no, Cow::Borrowed(account))));
        let bytes: Vec<u8> = FORM.iter().copied().chain(lines.flatten()).collect();
        let mut file = OpenOptions::new().create(true).write(true).truncate(true).open(&next)?;
        file.write_all(&bytes)?;
        fs::rename(&next, &self.path)?;
        log::debug!("journal: compacted from {} to {} bytes", book.len, bytes.len());
        (book.file, book.len) = (file, bytes.len() as u64);
        Ok(())
    }
}

/// The open account of one message. Dropped unclosed, it stays open for the next process.
pub struct Record {
    journal: Rc<Journal>,
    no: u64,
}

impl Record {
    /// What is known of the message.
    pub fn account(&self) -> Account {
        self.journal.book.borrow().open[&self.no].0.clone()
    }

    /// The first call that may have run.
    pub fn ran(&self) -> Option<Sent> {
        self.journal.book.borrow().open[&self.no].0.ran.clone()
    }

    /// A call is about to go. It must not, where this fails.
    pub fn sent(&self, zone: &str) -> io::Result<()> {
        let sent = Sent { at_ms: unix_ms(), zone: zone.to_string() };
        self.note(Line::Sent(self.no, Cow::Owned(sent)))
    }

    /// The call that was out has ended.
    pub fn back(&self, may_have_run: bool) {
        // Unwritten, the call counts as one that may have run: the safe side.
        let _ = self.note(Line::Back { no: self.no, may_have_run });
    }

    /// The final answer is decided.
    pub fn ended(&self, verdict: Verdict) {
        let _ = self.note(Line::Ended(self.no, verdict));
    }

    /// The final answer was heard: the message is over.
    pub fn close(self) {
        let mut book = self.journal.book.borrow_mut();
        if let Some((_, size)) = book.open.remove(&self.no) {
            book.live -= size;
        }
        let _ = self.journal.append(&mut book, &line(&Line::Closed(self.no)));
    }

    fn note(&self, entry: Line<'_>) -> io::Result<()> {
        let bytes = line(&entry);
        let mut book = self.journal.book.borrow_mut();
        let sent = matches!(entry, Line::Sent(..));
        let written = sent.then(|| self.journal.append(&mut book, &bytes)).transpose()?;
        if let Some((account, size)) = book.open.get_mut(&self.no) {
            let body = account.envelope.body.len();
            account.apply(entry);
            let spared = (body - account.envelope.body.len()) as u64;
            *size -= spared;
            book.live -= spared;
        }
        // What ends something is true whether or not it can be written; a compaction may write it by the account.
        written.map_or_else(|| self.journal.append(&mut book, &bytes), Ok)
    }
}

impl Account {
    fn apply(&mut self, line: Line<'_>) {
        match line {
            Line::Sent(_, sent) => {
                self.attempts += 1;
                self.out = Some(sent.into_owned());
            }
            Line::Back { may_have_run, .. } => {
                let sent = self.out.take().filter(|_| may_have_run);
                self.ran = self.ran.take().or(sent);
            }
            Line::Ended(_, verdict) => {
                self.verdict = Some(verdict);
                // An answer may wait long for its client; the message itself goes nowhere any more.
                Rc::make_mut(&mut self.envelope).body = Vec::new();
            }
            Line::Open(..) | Line::Closed(_) => {}
        }
    }

    /// The first call that may have run, where a call that was out when the process ended may have.
    pub fn may_have_run(&self) -> Option<&Sent> {
        self.ran.as_ref().or(self.out.as_ref())
    }
}

fn lock(path: &Path) -> io::Result<File> {
    let file = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
    match flock(&file, FlockOperation::NonBlockingLockExclusive) {
        Err(Errno::WOULDBLOCK) => Err(io::Error::new(io::ErrorKind::WouldBlock, "in use by another process")),
        Err(e) => {
            log::warn!("journal: no lock: {e}");
            Ok(file)
        }
        Ok(()) => Ok(file),
    }
}

fn next_path(path: &Path) -> PathBuf {
    path.with_extension("new")
}

fn line(entry: &Line<'_>) -> Vec<u8> {
    let payload = postcard::to_stdvec(entry).expect("plain data always encodes");
    let mut bytes = Vec::with_capacity(HEAD + payload.len());
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(&payload).to_le_bytes());
    bytes.extend(payload);
    bytes
}

/// The accounts still open after these lines, and how many bytes were whole. Stops at the first line that is not.
pub fn replay(bytes: &[u8]) -> (BTreeMap<u64, Account>, usize) {
    let mut open: BTreeMap<u64, Account> = BTreeMap::new();
    let mut at = if bytes.starts_with(FORM) { FORM.len() } else { return (open, 0) };
    while let Some((payload, len)) = whole_line(&bytes[at..]) {
        let Ok(entry) = postcard::from_bytes::<Line<'_>>(payload) else { break };
        match entry {
            Line::Open(no, account) => drop(open.insert(no, account.into_owned())),
            Line::Closed(no) => drop(open.remove(&no)),
            Line::Sent(no, _) | Line::Back { no, .. } | Line::Ended(no, _) => {
                if let Some(account) = open.get_mut(&no) {
                    account.apply(entry);
                }
            }
        }
        at += len;
    }
    (open, at)
}

fn whole_line(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let (head, rest) = bytes.split_first_chunk::<HEAD>()?;
    let word = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let payload = rest.get(..word(0) as usize)?;
    (crc32fast::hash(payload) == word(4)).then_some((payload, HEAD + payload.len()))
}
