//! Frames on a stream: a length of four bytes in big-endian order, then a body that [`postcard`]
//! encodes.
//!
//! This module owns the encoding and its limits. It opens no connection and does not interpret
//! messages: agents, the `fleet` commands and the replicas call it with the types of
//! [`super::messages`]. A frame that is truncated, too long or malformed ends its connection and
//! has no other effect.

use crate::coordination::messages::{Handshake, PROTOCOL_VERSION};
use futures_lite::{future, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::{self, Read, Write};

/// Bytes of the length prefix.
const LENGTH_BYTES: usize = 4;

/// Reason for which a connection is closed.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The other side closed the connection between two frames.
    #[error("the other side closed the connection")]
    Closed,
    /// The connection failed, or ended in the middle of a frame.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A frame has more bytes than the limit.
    #[error("a frame of {0} bytes is longer than the limit of {1}")]
    TooLong(usize, usize),
    /// The body cannot be decoded as the expected message.
    #[error("a frame cannot be decoded: {0}")]
    Malformed(#[from] postcard::Error),
    /// The other side uses another version of the protocol.
    #[error("the other side uses protocol version {0}, this one uses {PROTOCOL_VERSION}")]
    VersionMismatch(u16),
    /// The other side belongs to another site.
    #[error("the other side is of site {0:?}")]
    SiteMismatch(String),
}

/// Encodes a message as a frame, with its length.
///
/// # Errors
/// The body is longer than `max_bytes`.
pub fn encode<T: Serialize>(message: &T, max_bytes: usize) -> Result<Vec<u8>, FrameError> {
    let mut frame = postcard::to_extend(message, vec![0; LENGTH_BYTES])?;
    let len = frame.len() - LENGTH_BYTES;
    match u32::try_from(len) {
        Ok(length) if len <= max_bytes => {
            frame[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
            Ok(frame)
        }
        _ => Err(FrameError::TooLong(len, max_bytes)),
    }
}

/// Decodes the length of a body and checks it against the limit.
fn decode_length(head: [u8; LENGTH_BYTES], max_bytes: usize) -> Result<usize, FrameError> {
    let len = u32::from_be_bytes(head) as usize;
    if len > max_bytes {
        return Err(FrameError::TooLong(len, max_bytes));
    }
    Ok(len)
}

/// Decodes a body. Bytes after the message are an error.
fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, FrameError> {
    match postcard::take_from_bytes(body)? {
        (message, []) => Ok(message),
        _ => Err(FrameError::Malformed(
            postcard::Error::DeserializeBadEncoding,
        )),
    }
}

/// Converts a failure to read the first byte of a frame.
fn closed_at_end(e: io::Error) -> FrameError {
    match e.kind() {
        io::ErrorKind::UnexpectedEof => FrameError::Closed,
        _ => FrameError::Io(e),
    }
}

/// Reads until the buffer is full. A read that a signal interrupts is repeated, as that is no
/// failure of the connection.
async fn fill(from: &mut (impl AsyncRead + Unpin), mut into: &mut [u8]) -> io::Result<()> {
    while !into.is_empty() {
        match from.read(into).await {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(n) => into = &mut into[n..],
            Err(e) if e.kind() == io::ErrorKind::Interrupted => future::yield_now().await,
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Writes encoded frames completely, also where single writes are short or interrupted.
///
/// # Errors
/// The connection failed; a part may have been sent.
pub async fn write_encoded(
    to: &mut (impl AsyncWrite + Unpin),
    mut frames: &[u8],
) -> Result<(), FrameError> {
    while !frames.is_empty() {
        match to.write(frames).await {
            Ok(0) => return Err(FrameError::Io(io::ErrorKind::WriteZero.into())),
            Ok(n) => frames = &frames[n..],
            Err(e) if e.kind() == io::ErrorKind::Interrupted => future::yield_now().await,
            Err(e) => return Err(FrameError::Io(e)),
        }
    }
    Ok(())
}

/// Reads a message with a body of at most `max_bytes`. Other tasks have their turn before each, also
/// where the other side always has more to say.
///
/// # Errors
/// The connection ended or failed, or the frame is not the expected message.
pub async fn read<T: DeserializeOwned>(
    from: &mut (impl AsyncRead + Unpin),
    max_bytes: usize,
) -> Result<T, FrameError> {
    future::yield_now().await;
    let mut head = [0; LENGTH_BYTES];
    // The other side may close the connection before the first byte of a frame.
    fill(from, &mut head[..1]).await.map_err(closed_at_end)?;
    fill(from, &mut head[1..]).await?;
    let mut body = vec![0; decode_length(head, max_bytes)?];
    fill(from, &mut body).await?;
    decode_body(&body)
}

/// Writes a message with a body of at most `max_bytes`.
///
/// # Errors
/// The connection failed, or the body is longer.
pub async fn write<T: Serialize>(
    to: &mut (impl AsyncWrite + Unpin),
    message: &T,
    max_bytes: usize,
) -> Result<(), FrameError> {
    write_encoded(to, &encode(message, max_bytes)?).await
}

/// Reads a message like [`read`], for a blocking client.
///
/// # Errors
/// As [`read`].
pub fn read_blocking<T: DeserializeOwned>(
    from: &mut impl Read,
    max_bytes: usize,
) -> Result<T, FrameError> {
    let mut head = [0; LENGTH_BYTES];
    // Unlike a single read, `read_exact` continues after a signal.
    from.read_exact(&mut head[..1]).map_err(closed_at_end)?;
    from.read_exact(&mut head[1..])?;
    let mut body = vec![0; decode_length(head, max_bytes)?];
    from.read_exact(&mut body)?;
    decode_body(&body)
}

/// Writes a message like [`write`](fn@write), for a blocking client.
///
/// # Errors
/// As [`write`](fn@write).
pub fn write_blocking<T: Serialize>(
    to: &mut impl Write,
    message: &T,
    max_bytes: usize,
) -> Result<(), FrameError> {
    Ok(to.write_all(&encode(message, max_bytes)?)?)
}

impl Handshake {
    /// Checks the version and the site of the side that opens a connection to a replica of `site`.
    ///
    /// # Errors
    /// The version or the site is another one.
    pub fn admit(&self, site: &str) -> Result<(), FrameError> {
        if self.version != PROTOCOL_VERSION {
            return Err(FrameError::VersionMismatch(self.version));
        }
        if self.site != site {
            return Err(FrameError::SiteMismatch(self.site.clone()));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
