//! Frames on a line: a length of four bytes (big end first), then a [`postcard`] body. One that is
//! torn, too long or makes no sense is an error of its line, and of nothing else.

use crate::coordination::messages::{Handshake, PROTOCOL_VERSION};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::{self, Read, Write};

/// Bytes before a body.
const HEAD: usize = 4;

/// Why a line is ended.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The other side ended it between two frames.
    #[error("the line was ended")]
    Closed,
    /// It failed, or ended in the middle of a frame.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A frame is longer than may be.
    #[error("a frame of {0} bytes, of {1} that may be")]
    TooLong(usize, usize),
    /// A frame makes no sense.
    #[error("a frame that makes no sense: {0}")]
    Malformed(#[from] postcard::Error),
    /// The other side speaks another form.
    #[error("it speaks form {0}, this one speaks {PROTOCOL_VERSION}")]
    VersionMismatch(u16),
    /// It is of another site.
    #[error("it is of site {0:?}")]
    SiteMismatch(String),
}

/// The bytes of a word, with its length before it; refused where it is longer than `most` bytes.
pub fn bytes<T: Serialize>(word: &T, most: usize) -> Result<Vec<u8>, FrameError> {
    let mut bytes = postcard::to_extend(word, vec![0; HEAD])?;
    let len = bytes.len() - HEAD;
    match u32::try_from(len) {
        Ok(told) if len <= most => bytes[..HEAD].copy_from_slice(&told.to_be_bytes()),
        _ => return Err(FrameError::TooLong(len, most)),
    }
    Ok(bytes)
}

/// How long the body is, if it may be.
fn length(head: [u8; HEAD], most: usize) -> Result<usize, FrameError> {
    let len = u32::from_be_bytes(head) as usize;
    if len > most {
        return Err(FrameError::TooLong(len, most));
    }
    Ok(len)
}

/// A body as a word. Bytes behind it are a fault.
fn word<T: DeserializeOwned>(body: &[u8]) -> Result<T, FrameError> {
    match postcard::take_from_bytes(body)? {
        (word, []) => Ok(word),
        _ => Err(FrameError::Malformed(
            postcard::Error::DeserializeBadEncoding,
        )),
    }
}

/// Reads a word of at most so many bytes.
pub async fn read<T: DeserializeOwned>(
    from: &mut (impl AsyncRead + Unpin),
    most: usize,
) -> Result<T, FrameError> {
    let mut head = [0; HEAD];
    // An end before the first byte is in order.
    if from.read(&mut head[..1]).await? == 0 {
        return Err(FrameError::Closed);
    }
    from.read_exact(&mut head[1..]).await?;
    let mut body = vec![0; length(head, most)?];
    from.read_exact(&mut body).await?;
    word(&body)
}

/// Writes a word of at most so many bytes.
pub async fn write<T: Serialize>(
    to: &mut (impl AsyncWrite + Unpin),
    word: &T,
    most: usize,
) -> Result<(), FrameError> {
    Ok(to.write_all(&bytes(word, most)?).await?)
}

/// The same as [`read`], for a client that waits.
pub fn read_blocking<T: DeserializeOwned>(
    from: &mut impl Read,
    most: usize,
) -> Result<T, FrameError> {
    let mut head = [0; HEAD];
    if from.read(&mut head[..1])? == 0 {
        return Err(FrameError::Closed);
    }
    from.read_exact(&mut head[1..])?;
    let mut body = vec![0; length(head, most)?];
    from.read_exact(&mut body)?;
    word(&body)
}

/// The same as [`write`](fn@write), for a client that waits.
pub fn write_blocking<T: Serialize>(
    to: &mut impl Write,
    word: &T,
    most: usize,
) -> Result<(), FrameError> {
    Ok(to.write_all(&bytes(word, most)?)?)
}

impl Handshake {
    /// Whether one who says so may go on, at this site.
    pub fn admit(&self, site: &str) -> Result<(), FrameError> {
        match self {
            Handshake { version, .. } if *version != PROTOCOL_VERSION => {
                Err(FrameError::VersionMismatch(*version))
            }
            Handshake { site: theirs, .. } if theirs != site => {
                Err(FrameError::SiteMismatch(theirs.clone()))
            }
            _ => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
