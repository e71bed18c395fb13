//! The files of a document store.
//!
//! A document is stored in the file `NUMBER.KIND`. Its first line is
//! `raildeal KIND 1 NUMBER DIGEST`, with the digest in lower-case hexadecimal; the text follows.
//! The file `last` holds the number of the document that was applied last. While a file is written
//! it has the additional extension `new`.
//!
//! Earlier and later versions read the same names and bytes.

use super::{DocumentError, StoredDocument};
use crate::coordination::messages::Digest;
use crate::durable_file::{self, UNFINISHED_EXTENSION};
use data_encoding::HEXLOWER;
use std::fs;
use std::io;
use std::path::Path;

/// The file with the number of the document that was applied last.
pub(super) const LAST_APPLIED_FILE: &str = "last";
/// Block size of the file system, in bytes: files occupy whole blocks.
pub(super) const BLOCK_BYTES: u64 = 4096;

/// A file in the folder.
pub(super) struct ListedFile {
    pub(super) name: String,
    pub(super) bytes: u64,
}

/// Content of a document's file.
pub(super) struct DocumentFile {
    pub(super) number: u64,
    pub(super) digest: Digest,
    pub(super) text: String,
}

/// Returns the maximum size of a document's file, in bytes: its text and a block for the first
/// line.
pub(super) const fn max_file_bytes<K: StoredDocument>() -> u64 {
    K::MAX_TEXT_BYTES as u64 + BLOCK_BYTES
}

/// Returns the name of a document's file.
pub(super) fn file_name<K: StoredDocument>(number: u64) -> String {
    format!("{number}.{}", K::NAME)
}

/// Returns the beginning of a file; the document's number and digest follow on the same line.
fn header_start<K: StoredDocument>() -> String {
    format!("raildeal {} 1", K::NAME)
}

/// Lists the files of a folder by name; empty where the folder does not exist. Removes files that
/// an earlier process did not finish writing.
pub(super) fn list<K: StoredDocument>(folder: &Path) -> io::Result<Vec<ListedFile>> {
    let entries = match fs::read_dir(folder) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        entries => entries?,
    };
    let mut files = Vec::new();
    for entry in entries {
        let entry = entry?;
        let name = entry.file_name().to_string_lossy().into_owned();
        if name.ends_with(&format!(".{UNFINISHED_EXTENSION}")) {
            fs::remove_file(entry.path())?;
        } else if name == LAST_APPLIED_FILE || name.ends_with(&format!(".{}", K::NAME)) {
            let bytes = entry.metadata()?.len();
            files.push(ListedFile { name, bytes });
        }
    }
    files.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(files)
}

/// Writes a document's file.
pub(super) fn write<K: StoredDocument>(
    folder: &Path,
    number: u64,
    digest: Digest,
    text: &str,
) -> io::Result<()> {
    let start = header_start::<K>();
    let header = format!("{start} {number} {}\n", HEXLOWER.encode(&digest));
    let bytes = [header.as_bytes(), text.as_bytes()].concat();
    durable_file::replace(&folder.join(file_name::<K>(number)), &bytes)
}

/// Reads a document's file.
pub(super) fn read<K: StoredDocument>(
    path: &Path,
    name: &str,
) -> Result<DocumentFile, DocumentError> {
    let content = fs::read_to_string(path).map_err(DocumentError::Read)?;
    let (header, text) = content.split_once('\n').ok_or(DocumentError::NoHeader)?;
    let (number, digest) = parse_header::<K>(header).ok_or(DocumentError::BadHeader)?;
    let digest = Digest::try_from(digest).map_err(|_| DocumentError::BadDigest)?;
    if name != file_name::<K>(number) {
        let kind = K::NAME;
        return Err(DocumentError::WrongFileName { kind, number });
    }
    Ok(DocumentFile {
        number,
        digest,
        text: text.to_string(),
    })
}

/// Parses the number and the digest in a first line.
fn parse_header<K: StoredDocument>(header: &str) -> Option<(u64, Vec<u8>)> {
    let rest = header.strip_prefix(&header_start::<K>())?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let [number, digest] = fields.as_slice() else {
        return None;
    };
    let digest = HEXLOWER.decode(digest.as_bytes()).ok()?;
    Some((number.parse().ok()?, digest))
}

/// Reads the number of the document that was applied last; 0 where it is unknown.
pub(super) fn read_last_applied(folder: &Path) -> u64 {
    let number = || {
        let content = fs::read_to_string(folder.join(LAST_APPLIED_FILE)).ok()?;
        content.strip_suffix('\n')?.parse().ok()
    };
    number().unwrap_or(0)
}

/// Writes the number of the applied document.
pub(super) fn write_last_applied(folder: &Path, number: u64) -> io::Result<()> {
    let text = format!("{number}\n");
    durable_file::replace(&folder.join(LAST_APPLIED_FILE), text.as_bytes())
}
