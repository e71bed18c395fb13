//! The documents that a sender has checked and stored in its state folder: policies and routing
//! tables.
//!
//! Owns the folder of one kind of document ([`files`]) and knows its content. Documents are stored
//! for this process and for a later one, which finishes the messages that were accepted under them.
//! The [`StoredDocument`] implementation checks and applies a document ([`validation`]).
//!
//! Documents are read, validated and written on a separate thread, so that the main thread never
//! blocks. The agent's document tasks ([`super::documents`]) call this module; `main` opens the
//! store.

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

/// In-memory owner of one kind of document.
pub trait StoredDocument: 'static {
    /// Name of the folder within the sender's state folder.
    const FOLDER: &'static str;
    /// Name of the kind in the singular; also the extension of the files.
    const NAME: &'static str;
    /// Maximum number of stored documents.
    const MAX_DOCUMENTS: usize;
    /// Maximum length of a document's text, in bytes.
    const MAX_TEXT_BYTES: usize;
    /// Data that documents are validated against.
    type ValidationContext: Send + Sync + 'static;
    /// A validated document.
    type Validated: Send + 'static;

    /// Validates a document.
    ///
    /// # Errors
    /// All reasons for which this sender cannot use it.
    fn validate(
        context: &Self::ValidationContext,
        number: u64,
        digest: Digest,
        text: &str,
    ) -> Result<Self::Validated, DocumentError>;

    /// Adds a document; returns false where there is no space for it.
    fn add(&self, number: u64, document: Self::Validated) -> bool;

    /// Removes a document; returns false where it is in use.
    fn forget(&self, number: u64) -> bool;

    /// Whether a document is in use.
    fn is_in_use(&self, number: u64) -> bool;
}

/// Reason for which a document cannot be used or stored. The text is sent to the leader, which
/// shows it to operators.
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// Errors in the text, or settings that do not fit this sender; one line each.
    #[error("{}", .0.join("\n"))]
    Faults(Vec<String>),
    /// The text does not match the agreed digest.
    #[error("its text is not what its print says")]
    DigestMismatch,
    /// The owner of this kind of document has no space.
    #[error("there is no place for it")]
    NoRoom,
    /// Another document of that number is in use.
    #[error("another {kind} {number} is in use here")]
    NumberInUse {
        /// Name of the kind.
        kind: &'static str,
        /// Number of the document.
        number: u64,
    },
    /// All stored documents are needed and the store is full.
    #[error("as many are needed here already as are kept: {max}")]
    AllNeeded {
        /// Maximum number of stored documents.
        max: usize,
    },
    /// The file of a document that is no longer needed cannot be removed.
    #[error("{kind} {number} cannot be removed: {source}")]
    Remove {
        /// Name of the kind.
        kind: &'static str,
        /// Number of the document.
        number: u64,
        /// Error of the file system.
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
    /// The digest in the file's first line has a wrong length.
    #[error("its print cannot be read")]
    BadDigest,
    /// The file's name does not match the number in its first line.
    #[error("it is {kind} {number}")]
    WrongFileName {
        /// Name of the kind.
        kind: &'static str,
        /// Number in the file's first line.
        number: u64,
    },
    /// The thread that validates and writes has ended.
    #[error("{0}")]
    Worker(#[source] io::Error),
}

/// Returns the bytes of a state folder that are not available for messages.
///
/// Where documents of this kind are followed: the space for the maximum number of documents, one
/// more while it is written, the number of the last applied one, and the folder. Otherwise: the
/// size of the files that exist, in whole blocks.
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
    /// Returns the data that documents are validated against, as of now.
    context: Box<dyn Fn() -> Arc<K::ValidationContext>>,
    owner: Rc<K>,
    /// Digests of the documents that are stored, by number.
    stored: RefCell<BTreeMap<u64, Digest>>,
    last_applied: u64,
}

impl<K: StoredDocument> DocumentStore<K> {
    /// Opens the store in a state folder. Every document there that can be used is validated in the
    /// start context and added to its owner.
    ///
    /// # Errors
    /// The folder cannot be created or read, or the thread cannot be started.
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
                    // The number may be offered again, so the unusable file is removed.
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

    /// Returns the digests of the stored documents, by number.
    pub fn stored(&self) -> BTreeMap<u64, Digest> {
        self.stored.borrow().clone()
    }

    /// Returns the number of the document that an earlier process applied last; 0 for none.
    pub fn last_applied(&self) -> u64 {
        self.last_applied
    }

    /// Makes space for a document of that number: removes the document that has the number, or
    /// where the store is full the oldest one that is not in use. Returns the removed numbers.
    ///
    /// # Errors
    /// The document that would have to be removed is needed.
    pub fn make_room(&self, number: u64, needed: [u64; 2]) -> Result<Vec<u64>, DocumentError> {
        let mut stored = self.stored.borrow_mut();
        let mut forgotten = Vec::new();
        // Each number has one document: another text under it replaces one that is not needed.
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

    /// Validates a document and stores it, after [`DocumentStore::make_room`]. Removes the files of
    /// the documents that were removed there.
    ///
    /// # Errors
    /// All reasons for which this sender cannot use or store it.
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

/// Reads a stored document and adds it to its owner. Returns its number and its digest.
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
