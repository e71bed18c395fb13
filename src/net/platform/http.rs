//! HTTP/1.1 as far as the platform speaks it: heads by httparse, bodies by length, by chunks or to
//! the end.

use crate::delivery::MAX_BODY_BYTES;
use crate::net::stream::Stream;
use std::io;

/// Longest head taken.
const MAX_HEAD: usize = 16 * 1024;
/// Most answers that only announce another.
const MAX_INTERIM: usize = 32;
/// Longest line of a chunked body that only tells a size.
const MAX_CHUNK_LINE: usize = 1024;
/// Most bytes of the lines after the last chunk, as of a head.
const MAX_TRAILERS: usize = MAX_HEAD;

/// Input that breaks the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Bad {
    /// No head of a request or an answer.
    #[error("not HTTP")]
    NotHttp,
    /// A head of too many bytes or headers.
    #[error("head too large")]
    HeadTooLarge,
    /// A header whose value is not UTF-8.
    #[error("a header is not text")]
    HeaderNotText,
    /// A header that must stand alone does not.
    #[error("a header stands there twice")]
    HeaderTwice,
    /// Content-Length is no number, or two of them differ.
    #[error("Content-Length cannot be read")]
    Length,
    /// Content-Length and Transfer-Encoding in one request: who reads on might go by the other one
    /// (RFC 9112, 6.3).
    #[error("Content-Length beside Transfer-Encoding")]
    TwoLengths,
    /// A request whose body has no length beforehand.
    #[error("a body needs its length")]
    NoLength,
    /// A body that is longer than any may be.
    #[error("body too long")]
    BodyTooLong,
    /// A chunked body that cannot be taken apart.
    #[error("chunks cannot be read")]
    Chunks,
    /// Answers that only announce another one, without end.
    #[error("answers announced without end")]
    Announced,
}

impl Bad {
    /// The status that says so to a client.
    pub fn status(self) -> u16 {
        match self {
            Bad::NoLength => 411,
            Bad::BodyTooLong => 413,
            Bad::HeadTooLarge => 431,
            _ => 400,
        }
    }
}

impl From<Bad> for io::Error {
    fn from(bad: Bad) -> Self {
        io::Error::new(io::ErrorKind::InvalidData, bad)
    }
}

/// Headers by lower-case name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    fn read(lines: &[httparse::Header<'_>]) -> Result<Self, Bad> {
        let read = |h: &httparse::Header<'_>| {
            let value = std::str::from_utf8(h.value).map_err(|_| Bad::HeaderNotText)?;
            Ok((h.name.to_ascii_lowercase(), value.trim().to_string()))
        };
        lines
            .iter()
            .map(read)
            .collect::<Result<_, _>>()
            .map(Headers)
    }

    /// The first header of a name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    /// The header of a name that must not stand there twice: who reads on might go by the other
    /// one.
    pub fn only(&self, name: &str) -> Result<Option<&str>, Bad> {
        match self.0.iter().filter(|(n, _)| n == name).count() {
            0 | 1 => Ok(self.get(name)),
            _ => Err(Bad::HeaderTwice),
        }
    }

    fn says(&self, name: &str, word: &str) -> bool {
        let mut values = self.0.iter().filter(|(n, _)| n == name);
        values.any(|(_, v)| v.split(',').any(|w| w.trim().eq_ignore_ascii_case(word)))
    }

    fn length(&self) -> Result<Option<usize>, Bad> {
        let mut lengths = self
            .0
            .iter()
            .filter(|(n, _)| n == "content-length")
            .map(|(_, v)| v);
        let Some(first) = lengths.next() else {
            return Ok(None);
        };
        let digits = !first.is_empty() && first.bytes().all(|b| b.is_ascii_digit());
        if !digits || lengths.any(|l| l != first) {
            return Err(Bad::Length);
        }
        // All digits, so that only size can be wrong.
        first.parse().map(Some).map_err(|_| Bad::BodyTooLong)
    }
}

/// A request without its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The headers.
    pub headers: Headers,
    /// Bytes of body to come.
    pub length: usize,
    /// The connection may carry another request.
    pub keep_alive: bool,
}

/// How the body of an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// After so many bytes.
    Length(usize),
    /// With its last chunk.
    Chunked,
    /// With the connection.
    ToEnd,
}

/// An answer without its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: Headers,
    /// How its body ends.
    pub body: Body,
    /// The connection may carry another request.
    pub keep_alive: bool,
}

impl Response {
    /// It only announces another one.
    pub fn is_interim(&self) -> bool {
        self.status < 200
    }
}

/// Reads the head of a request, and how many bytes it took; `None` while it is not whole.
pub fn request(bytes: &[u8]) -> Result<Option<(Request, usize)>, Bad> {
    let mut lines = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Request::new(&mut lines);
    let Some(len) = whole(head.parse(bytes), bytes.len())? else {
        return Ok(None);
    };
    let headers = Headers::read(head.headers)?;
    headers.only("host")?;
    let length = headers.length()?;
    if headers.get("transfer-encoding").is_some() {
        return Err(length.map_or(Bad::NoLength, |_| Bad::TwoLengths));
    }
    let length = length.unwrap_or(0);
    if length > MAX_BODY_BYTES {
        return Err(Bad::BodyTooLong);
    }
    let old = head.version == Some(0);
    let keep_alive = !headers.says("connection", "close") && !old;
    let (method, path) = (
        head.method.unwrap_or("").to_string(),
        head.path.unwrap_or("").to_string(),
    );
    Ok(Some((
        Request {
            method,
            path,
            headers,
            length,
            keep_alive,
        },
        len,
    )))
}

/// The status that the first line of an answer says, whatever may follow it; nothing while that
/// line is not whole, or where it says none.
pub fn status(bytes: &[u8]) -> Option<u16> {
    let line = &bytes[..bytes.iter().position(|b| *b == b'\n')?];
    match line.strip_prefix(b"HTTP/1.")? {
        [b'0' | b'1', b' ', code @ ..] => {
            let (code, rest) = code.split_at_checked(3)?;
            let ends = rest.first().is_none_or(|b| b" \r".contains(b));
            std::str::from_utf8(code)
                .ok()?
                .parse()
                .ok()
                .filter(|_| ends && code.iter().all(u8::is_ascii_digit))
        }
        _ => None,
    }
}

/// Reads the head of an answer, and how many bytes it took; `None` while it is not whole.
pub fn response(bytes: &[u8]) -> Result<Option<(Response, usize)>, Bad> {
    let mut lines = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut lines);
    let Some(len) = whole(head.parse(bytes), bytes.len())? else {
        return Ok(None);
    };
    let headers = Headers::read(head.headers)?;
    let status = head.code.unwrap_or(0);
    let body = match headers.length()? {
        _ if status == 204 || status == 304 || status < 200 => Body::Length(0),
        _ if headers.says("transfer-encoding", "chunked") => Body::Chunked,
        Some(n) => Body::Length(n),
        None => Body::ToEnd,
    };
    let old = head.version == Some(0);
    let keep_alive = body != Body::ToEnd && !headers.says("connection", "close") && !old;
    Ok(Some((
        Response {
            status,
            headers,
            body,
            keep_alive,
        },
        len,
    )))
}

fn whole(parsed: httparse::Result<usize>, read: usize) -> Result<Option<usize>, Bad> {
    match parsed {
        Ok(httparse::Status::Complete(len)) if len <= MAX_HEAD => Ok(Some(len)),
        Ok(httparse::Status::Partial) if read < MAX_HEAD => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(Bad::HeadTooLarge),
        Err(_) => Err(Bad::NotHttp),
    }
}

/// Takes a chunked body apart as it comes.
#[derive(Debug, Default)]
pub struct Chunks {
    state: Chunk,
    /// Bytes of the lines after the last chunk, so far.
    trailer_bytes: usize,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Chunk {
    #[default]
    Size,
    Data(usize),
    /// The line end after data.
    After,
    /// Lines after the last chunk, up to an empty one.
    Trailer,
    Done,
}

impl Chunks {
    /// Moves what can be read from `from` to `into`; true once the body has ended.
    pub fn take(&mut self, from: &mut Vec<u8>, into: &mut Vec<u8>) -> Result<bool, Bad> {
        let mut taken = 0;
        let ended = self.take_from(from, &mut taken, into);
        from.drain(..taken);
        ended
    }

    /// The same, with how far `from` was read in `taken`: each byte is moved once.
    fn take_from(
        &mut self,
        from: &[u8],
        taken: &mut usize,
        into: &mut Vec<u8>,
    ) -> Result<bool, Bad> {
        loop {
            let rest = &from[*taken..];
            match self.state {
                Chunk::Done => return Ok(true),
                Chunk::Data(0) => self.state = Chunk::After,
                Chunk::Data(left) => {
                    let n = left.min(rest.len());
                    into.extend_from_slice(&rest[..n]);
                    *taken += n;
                    self.state = Chunk::Data(left - n);
                    if n < left {
                        return Ok(false);
                    }
                }
                Chunk::Size | Chunk::After | Chunk::Trailer => {
                    let Some((line, length)) = next_line(rest)? else {
                        return Ok(false);
                    };
                    *taken += length;
                    self.state = self.after_line(line, length)?;
                }
            }
        }
    }

    /// What follows a whole line, which took so many bytes.
    fn after_line(&mut self, line: &[u8], length: usize) -> Result<Chunk, Bad> {
        match self.state {
            Chunk::After if line.is_empty() => Ok(Chunk::Size),
            Chunk::After => Err(Bad::Chunks),
            Chunk::Trailer if line.is_empty() => Ok(Chunk::Done),
            Chunk::Trailer => {
                self.trailer_bytes += length;
                if self.trailer_bytes > MAX_TRAILERS {
                    return Err(Bad::Chunks);
                }
                Ok(Chunk::Trailer)
            }
            _ => Ok(match chunk_size(line).ok_or(Bad::Chunks)? {
                0 => Chunk::Trailer,
                n => Chunk::Data(n),
            }),
        }
    }
}

fn chunk_size(line: &[u8]) -> Option<usize> {
    let digits = line.split(|b| *b == b';').next()?.trim_ascii();
    let hex = !digits.is_empty() && digits.len() <= 8 && digits.iter().all(u8::is_ascii_hexdigit);
    hex.then(|| usize::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok())?
}

/// The first line, without its end, and the bytes that it takes; nothing while it is not whole.
fn next_line(from: &[u8]) -> Result<Option<(&[u8], usize)>, Bad> {
    let looked_at = &from[..from.len().min(MAX_CHUNK_LINE + 1)];
    let Some(end) = looked_at.iter().position(|b| *b == b'\n') else {
        let is_long = from.len() > MAX_CHUNK_LINE;
        return if is_long { Err(Bad::Chunks) } else { Ok(None) };
    };
    let line = &from[..end];
    Ok(Some((line.strip_suffix(b"\r").unwrap_or(line), end + 1)))
}

/// Reads the head of an answer off a connection, be it one that only announces another.
pub async fn read_head(stream: &mut Stream) -> io::Result<Response> {
    loop {
        if let Some((response, len)) = response(&stream.buf)? {
            stream.buf.drain(..len);
            return Ok(response);
        }
        if !stream.fill().await? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Reads the head of an answer off a connection, past those that only announce it.
pub async fn read_response(stream: &mut Stream) -> io::Result<Response> {
    for _ in 0..MAX_INTERIM {
        let response = read_head(stream).await?;
        if !response.is_interim() {
            return Ok(response);
        }
    }
    Err(Bad::Announced.into())
}

/// Reads the body of an answer off a connection, up to `most` bytes, and keeps nothing of it: no
/// body means anything here.
pub async fn skip_body(stream: &mut Stream, body: Body, most: usize) -> io::Result<()> {
    let (mut skipped, mut part, mut chunks) = (0, Vec::new(), Chunks::default());
    loop {
        let done = match body {
            Body::Length(n) => {
                let more = stream.buf.len().min(n.saturating_sub(skipped));
                part.extend(stream.buf.drain(..more));
                skipped + part.len() >= n
            }
            Body::Chunked => chunks.take(&mut stream.buf, &mut part)?,
            Body::ToEnd => {
                part.append(&mut stream.buf);
                false
            }
        };
        skipped += part.len();
        part.clear();
        if done {
            return Ok(());
        }
        if skipped > most {
            return Err(Bad::BodyTooLong.into());
        }
        if !stream.fill().await? {
            return if body == Body::ToEnd {
                Ok(())
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
    }
}
