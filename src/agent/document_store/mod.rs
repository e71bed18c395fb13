//! The documents that a sender has checked and stored in its state folder: policies and routing
//! tables.
//!
//! Owns the folder of one kind of document ([`files`]) and knows what is in it. A stored document
//! is there for this process and for a later one, which finishes what was accepted under it. What
//! checks and applies a document is its [`StoredDocument`] owner ([`validation`]).
//!
//! Reading, validating and writing happen on a thread of their own, so that the thread that serves
//! is never kept from its sockets. The agent's document worker ([`super::documents`]) calls this;
//! `main` opens it.

mod files;
mod validation;

pub use validation::{PolicyValidationContext, TableValidationContext};

use crate::coordination::messages::Digest;
use crate::store::worker::Worker;
use files::{file_name, LAST_APPLIED_FILE};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;

/// The owner, in this process, of one kind of document.
pub trait StoredDocument: 'static {
    /// Name of the folder, in the sender's state folder.
    const FOLDER: &'static str;
    /// What one document is called; also the extension of its file.
    const NAME: &'static str;
    /// Most documents that are stored.
    const MAX_DOCUMENTS: usize;
    /// Longest text of a document, in bytes.
    const MAX_TEXT_BYTES: usize;
    /// What documents are validated against.
    type ValidationContext: Send + Sync + 'static;
    /// A document that is ready for use.
    type Validated: Send + 'static;

    /// Makes a document ready for use.
    ///
    /// # Errors
    /// Everything for which this sender cannot use it.
    fn validate(
        context: &Self::ValidationContext,
        number: u64,
        digest: Digest,
        text: &str,
    ) -> Result<Self::Validated, DocumentError>;

    /// Adds a document; false where there is no room for it.
    fn add(&self, number: u64, document: Self::Validated) -> bool;

    /// Forgets a document; false where it is in use.
    fn forget(&self, number: u64) -> bool;

    /// Whether a document is in use.
    fn is_in_use(&self, number: u64) -> bool;
}

/// Why a document cannot be used or stored. The text goes to the leader, which shows it to
/// operators.
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// The text has faults, or does not fit this sender; a line each.
    #[error("{}", .0.join("\n"))]
    Faults(Vec<String>),
    /// The text is another one than was agreed.
    #[error("its text is not what its print says")]
    DigestMismatch,
    /// The owner of these documents has no room.
    #[error("there is no place for it")]
    NoRoom,
    /// Another document of that number is in use.
    #[error("another {kind} {number} is in use here")]
    NumberInUse {
        /// What one document is called.
        kind: &'static str,
        /// The number.
        number: u64,
    },
    /// All documents that may be stored are needed.
    #[error("as many are needed here already as are kept: {max}")]
    AllNeeded {
        /// Most documents that are stored.
        max: usize,
    },
    /// The file of a document that is not needed any more cannot be removed.
    #[error("{kind} {number} cannot be removed: {source}")]
    Remove {
        /// What one document is called.
        kind: &'static str,
        /// Its number.
        number: u64,
        /// What the file system says.
        source: io::Error,
    },
    /// The file cannot be written.
    #[error("it cannot be written down: {0}")]
    Write(#[source] io::Error),
    /// The file cannot be read.
    #[error("{0}")]
    Read(#[source] io::Error),
    /// The file has no first line.
    #[error("it has no first line")]
    NoHeader,
    /// The file's first line is not `raildeal KIND 1 NUMBER DIGEST`.
    #[error("its first line cannot be read")]
    BadHeader,
    /// The digest in the file's first line has another length.
    #[error("its print cannot be read")]
    BadDigest,
    /// The file's name says another number than its first line.
    #[error("it is {kind} {number}")]
    WrongFileName {
        /// What one document is called.
        kind: &'static str,
        /// The number in the file.
        number: u64,
    },
    /// The thread that validates and writes has ended.
    #[error("{0}")]
    Worker(#[source] io::Error),
}

/// Bytes of a state folder that are not for messages: where documents of this kind are followed, as
/// many as are stored, one more while it is written, the number of the last one, and the folder;
/// else those that are there.
///
/// # Errors
/// The folder cannot be read.
pub fn reserved_bytes<K: StoredDocument>(state: &Path, is_followed: bool) -> io::Result<u64> {
    if is_followed {
        let documents = K::MAX_DOCUMENTS as u64 + 1;
        return Ok(documents * files::max_file_bytes::<K>() + 2 * files::BLOCK_BYTES);
    }
    let files = files::list::<K>(&state.join(K::FOLDER))?;
    Ok(files
        .iter()
        .map(|file| file.bytes.next_multiple_of(files::BLOCK_BYTES))
        .sum())
}

/// The stored documents of one kind.
pub struct DocumentStore<K: StoredDocument> {
    folder: PathBuf,
    worker: Worker,
    /// Gives what documents are validated against, as of now.
    context: Box<dyn Fn() -> Arc<K::ValidationContext>>,
    owner: Rc<K>,
    /// Digests of the documents that are stored, by number.
    stored: RefCell<BTreeMap<u64, Digest>>,
    last_applied: u64,
}

impl<K: StoredDocument> DocumentStore<K> {
    /// Opens the store in a state folder: every document that is there and can be used is made
    /// ready, in the context of the start.
    ///
    /// # Errors
    /// The folder cannot be made or read, or the thread cannot be started.
    pub fn open(
        state: &Path,
        start_context: &K::ValidationContext,
        context: Box<dyn Fn() -> Arc<K::ValidationContext>>,
        owner: Rc<K>,
    ) -> io::Result<DocumentStore<K>> {
        let folder = state.join(K::FOLDER);
        match fs::create_dir(&folder) {
            Err(e) if e.kind() != io::ErrorKind::AlreadyExists => return Err(e),
            _ => {}
        }
        let mut stored = BTreeMap::new();
        for file in files::list::<K>(&folder)? {
            if file.name == LAST_APPLIED_FILE {
                continue;
            }
            match load(&folder, &file.name, start_context, &*owner) {
                Ok((number, digest)) => _ = stored.insert(number, digest),
                Err(e) => {
                    log::error!(
                        "fleet: {}/{} cannot be used: {}",
                        K::FOLDER,
                        file.name,
                        e.to_string().replace('\n', "; ")
                    );
                    // Its number may be offered again, and the file is in the way of nothing else.
                    fs::remove_file(folder.join(&file.name))?;
                }
            }
        }
        let last_applied = files::read_last_applied(&folder);
        Ok(DocumentStore {
            folder,
            worker: Worker::start()?,
            context,
            owner,
            stored: RefCell::new(stored),
            last_applied,
        })
    }

    /// Digests of the documents that are stored, by number.
    pub fn stored(&self) -> BTreeMap<u64, Digest> {
        self.stored.borrow().clone()
    }

    /// Number of the document that an earlier process applied last; 0 for none.
    pub fn last_applied(&self) -> u64 {
        self.last_applied
    }

    /// Makes room for a document of that number: forgets the one that has the number, or where the
    /// store is full the oldest that is not in use. Gives the numbers that were forgotten.
    ///
    /// # Errors
    /// What would have to be forgotten is needed.
    pub fn make_room(&self, number: u64, needed: [u64; 2]) -> Result<Vec<u64>, DocumentError> {
        let mut stored = self.stored.borrow_mut();
        let mut forgotten = Vec::new();
        // Of one number there is one: another text under it replaces one that is not needed.
        let replaced = if stored.contains_key(&number) {
            Some(number)
        } else if stored.len() >= K::MAX_DOCUMENTS {
            let is_needed = |n: &u64| needed.contains(n) || self.owner.is_in_use(*n);
            stored.keys().copied().find(|n| !is_needed(n))
        } else {
            None
        };
        if let Some(number) = replaced {
            if needed.contains(&number) || !self.owner.forget(number) {
                let kind = K::NAME;
                return Err(DocumentError::NumberInUse { kind, number });
            }
            stored.remove(&number);
            forgotten.push(number);
        }
        if stored.len() >= K::MAX_DOCUMENTS {
            let max = K::MAX_DOCUMENTS;
            return Err(DocumentError::AllNeeded { max });
        }
        Ok(forgotten)
    }

    /// Validates a document and stores it, after [`DocumentStore::make_room`]; removes the files of
    /// those that were forgotten there.
    ///
    /// # Errors
    /// Everything for which this sender cannot use or store it.
    pub async fn add(
        &self,
        number: u64,
        digest: Digest,
        text: String,
        forgotten: Vec<u64>,
    ) -> Result<(), DocumentError> {
        let context = (self.context)();
        let folder = self.folder.clone();
        let validated = self.worker.run(move || {
            remove_files::<K>(&folder, forgotten)?;
            let document = K::validate(&context, number, digest, &text)?;
            files::write::<K>(&folder, number, digest, &text).map_err(DocumentError::Write)?;
            Ok(document)
        });
        let document = validated
            .await
            .unwrap_or_else(|e| Err(DocumentError::Worker(e)))?;
        if !self.owner.add(number, document) {
            return Err(DocumentError::NoRoom);
        }
        self.stored.borrow_mut().insert(number, digest);
        Ok(())
    }

    /// Notes which document is applied, for a later process that reaches no replica. A failure is
    /// logged.
    pub async fn note_applied(&self, number: u64) {
        let folder = self.folder.clone();
        let noted = self
            .worker
            .run(move || files::write_last_applied(&folder, number));
        if let Err(e) = noted.await.and_then(|written| written) {
            log::warn!(
                "fleet: {}/{LAST_APPLIED_FILE} cannot be written: {e}",
                K::FOLDER
            );
        }
    }
}

/// Reads a stored document and hands it to its owner. Gives its number and its digest.
fn load<K: StoredDocument>(
    folder: &Path,
    name: &str,
    context: &K::ValidationContext,
    owner: &K,
) -> Result<(u64, Digest), DocumentError> {
    let file = files::read::<K>(&folder.join(name), name)?;
    let document = K::validate(context, file.number, file.digest, &file.text)?;
    if !owner.add(file.number, document) {
        return Err(DocumentError::NoRoom);
    }
    Ok((file.number, file.digest))
}

fn remove_files<K: StoredDocument>(folder: &Path, numbers: Vec<u64>) -> Result<(), DocumentError> {
    for number in numbers {
        let kind = K::NAME;
        fs::remove_file(folder.join(file_name::<K>(number))).map_err(|source| {
            DocumentError::Remove {
                kind,
                number,
                source,
            }
        })?;
    }
    Ok(())
}
