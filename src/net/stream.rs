//! A socket with what was read from it and not yet used.

use crate::admission_control::memory_budget::FREE_BYTES;
use crate::admission_control::memory_pool::MemoryHold;
use crate::delivery::timer_wheel::TimerWheel;
use async_io::Async;
use async_lock::Mutex;
use futures_lite::{future, AsyncWriteExt};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Most bytes read and dropped on a connection that is to close.
const LEFTOVERS: usize = 64 << 20;
/// Most bytes taken off a socket at once.
const READ_BYTES: usize = 8 * 1024;
/// A buffer grows by whole multiples of so many bytes.
const GROWTH_BYTES: usize = 2 * 1024;
/// Reads, writes and messages of one connection after which all others have their turn.
const STEPS_PER_TURN: u32 = 4;

/// One connection.
pub struct Stream {
    socket: Rc<Async<TcpStream>>,
    /// What was read and not yet used.
    pub buf: Vec<u8>,
    filled_at: Instant,
    /// Bounds what others make this connection hold; nothing bounds it where its wire does.
    memory: Option<Rc<MemoryHold>>,
    /// Steps of the present turn.
    steps: u32,
}

impl Stream {
    /// Opens a connection.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Stream::new(Async::<TcpStream>::connect(address).await?))
    }

    /// Takes a connection that was made.
    pub fn new(socket: Async<TcpStream>) -> Self {
        // Each message is one write and waits for its answer: there is nothing to gather. Refused,
        // that costs some time; a connection that was made is served all the same.
        if let Err(e) = socket.get_ref().set_nodelay(true) {
            log::debug!("stream: {e}");
        }
        Stream {
            socket: Rc::new(socket),
            buf: Vec::new(),
            filled_at: Instant::now(),
            memory: None,
            steps: 0,
        }
    }

    /// The same for a peer that is not trusted: beyond [`FREE_BYTES`] it holds only what its part
    /// of the pool allows.
    pub fn bounded(socket: Async<TcpStream>, memory: Rc<MemoryHold>) -> Self {
        Stream {
            memory: Some(memory),
            ..Stream::new(socket)
        }
    }

    /// Lets others have their turn, once this connection has had its own. Whoever takes several
    /// messages out of what was read at once calls this before each: a peer that always has more
    /// to say would never let its task wait, and nothing else would run.
    pub async fn turn(&mut self) {
        self.steps += 1;
        if self.steps >= STEPS_PER_TURN {
            self.steps = 0;
            future::yield_now().await;
        }
    }

    /// Reads more; false at the end of what the other side sends.
    ///
    /// # Errors
    /// The connection failed, or there is no memory for more ([`io::ErrorKind::OutOfMemory`]).
    pub async fn fill(&mut self) -> io::Result<bool> {
        self.turn().await;
        let most = self.readable_bytes()?;
        loop {
            let buf = &mut self.buf;
            let read = self.socket.read_with(|socket| read_into(socket, buf, most));
            match read.await {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => future::yield_now().await,
                read => {
                    self.filled_at = Instant::now();
                    return Ok(read? > 0);
                }
            }
        }
    }

    /// How many bytes may be read now. A buffer within [`FREE_BYTES`] needs no part of the pool.
    fn readable_bytes(&self) -> io::Result<usize> {
        let Some(memory) = &self.memory else {
            return Ok(READ_BYTES);
        };
        let held = self.buf.len();
        let allowed = memory.bytes().max(FREE_BYTES);
        if held < allowed {
            return Ok(READ_BYTES.min(allowed - held));
        }
        memory.grow_to(held + READ_BYTES)?;
        Ok(READ_BYTES)
    }

    /// Makes room for a message of so many bytes, which has begun to come.
    ///
    /// # Errors
    /// There is no memory for it.
    pub fn expect(&mut self, bytes: usize) -> io::Result<()> {
        if bytes > FREE_BYTES {
            if let Some(memory) = &self.memory {
                memory.grow_to(bytes)?;
            }
        }
        self.buf.reserve_exact(bytes.saturating_sub(self.buf.len()));
        Ok(())
    }

    /// Takes a message of so many bytes off what was read, without its first `skipped`, and gives
    /// the room of its buffer up with it.
    pub fn take(&mut self, bytes: usize, skipped: usize) -> Vec<u8> {
        let rest = self.buf[bytes..].to_vec();
        let mut message = std::mem::replace(&mut self.buf, rest);
        message.truncate(bytes);
        message.drain(..skipped);
        message.shrink_to_fit();
        message
    }

    /// Returns what was held for the message before, as it has its answer. What was read behind it
    /// stays.
    pub fn release(&mut self) {
        if self.buf.is_empty() {
            self.buf = Vec::new();
        }
        if self.buf.len() <= FREE_BYTES {
            self.buf.shrink_to(FREE_BYTES);
            self.memory.iter().for_each(|memory| memory.release());
        }
    }

    /// When it was last read from: what is in [`Stream::buf`] came then or before.
    pub fn filled_at(&self) -> Instant {
        self.filled_at
    }

    /// Writes all of it.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.steps += 1;
        write_all(&self.socket, bytes).await
    }

    /// A second hand on the connection, for writing while this one reads. What it writes goes
    /// whole; a write that is stuck for `patience` ends the connection.
    pub fn writer(&self, wheel: Rc<TimerWheel>, patience: Duration) -> Writer {
        Writer {
            socket: self.socket.clone(),
            turn: Mutex::new(()),
            wheel,
            patience,
        }
    }

    /// Writes a last word if the socket takes it at once; what does not go is not missed.
    pub fn try_send(&self, bytes: &[u8]) {
        write_at_once(self.socket.get_ref(), bytes);
    }

    /// Ends what this side sends and drops the rest as it comes, so that a last answer is read
    /// before the close: closed on unread bytes, a connection is reset and the answer lost. Nothing
    /// of it is kept, and others have their turn between any two reads, however fast it comes.
    pub async fn part(mut self) {
        let _ = self.socket.get_ref().shutdown(Shutdown::Write);
        self.buf = Vec::new();
        self.release();
        let mut left = LEFTOVERS;
        while left > 0 {
            match self.socket.read_with(discard).await {
                Ok(0) => return,
                Ok(n) => left = left.saturating_sub(n),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return,
            }
            future::yield_now().await;
        }
    }

    /// Whether the other side does not just wait for an answer: it has ended what it sends, or sent
    /// more.
    pub fn has_ended_or_sent_more(&self) -> bool {
        let unread = self.socket.get_ref().peek(&mut [0]);
        !self.buf.is_empty() || unread.is_ok()
    }

    /// Whether the other side has reset the connection. After the end of what it sends, a read does
    /// not tell that.
    pub fn is_reset(&self) -> bool {
        matches!(self.socket.get_ref().take_error(), Ok(Some(_)))
    }

    /// Whether an idle connection can be used: still open, and with nothing on it that nobody asked
    /// for.
    pub fn is_quiet(&self) -> bool {
        let unread = self.socket.get_ref().peek(&mut [0]);
        self.buf.is_empty() && matches!(unread, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Reads once, up to so many bytes. The place for them is on the stack only while it reads: kept by
/// each task that waits, it would be held for each connection.
fn read_into(mut socket: &TcpStream, buf: &mut Vec<u8>, most: usize) -> io::Result<usize> {
    let mut bytes = [0; READ_BYTES];
    let n = socket.read(&mut bytes[..most])?;
    let needed = buf.len() + n;
    if needed > buf.capacity() {
        buf.reserve_exact(needed.next_multiple_of(GROWTH_BYTES) - buf.len());
    }
    buf.extend_from_slice(&bytes[..n]);
    Ok(n)
}

/// Reads once and keeps nothing of it.
fn discard(mut socket: &TcpStream) -> io::Result<usize> {
    socket.read(&mut [0; READ_BYTES])
}

/// Writes all of it, however short and interrupted the writes are.
async fn write_all(socket: &Async<TcpStream>, mut bytes: &[u8]) -> io::Result<()> {
    let mut socket = socket;
    while !bytes.is_empty() {
        match socket.write(bytes).await {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => bytes = &bytes[n..],
            Err(e) if e.kind() == io::ErrorKind::Interrupted => future::yield_now().await,
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Writes what a socket that does not block takes at once, however short and interrupted the writes
/// are. Gives how many bytes went.
pub fn write_at_once(mut socket: &TcpStream, bytes: &[u8]) -> usize {
    let mut written = 0;
    while written < bytes.len() {
        match socket.write(&bytes[written..]) {
            Ok(0) => break,
            Ok(n) => written += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => break,
        }
    }
    written
}

/// Writes to a connection that another hand reads from.
pub struct Writer {
    socket: Rc<Async<TcpStream>>,
    /// One write at a time, or they would cut into each other.
    turn: Mutex<()>,
    wheel: Rc<TimerWheel>,
    patience: Duration,
}

impl Writer {
    /// Writes all of it, after what was written before.
    pub async fn send(&self, bytes: &[u8]) -> io::Result<()> {
        let _turn = self.turn.lock().await;
        let sent = self
            .wheel
            .timeout(self.patience, write_all(&self.socket, bytes))
            .await;
        sent.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
            .inspect_err(|_| self.end())
    }

    /// Writes a last word if the socket takes it at once and nothing is half written. One that goes
    /// in part ends the connection.
    pub fn try_send(&self, bytes: &[u8]) {
        let Some(_turn) = self.turn.try_lock() else {
            return;
        };
        let written = write_at_once(self.socket.get_ref(), bytes);
        if (1..bytes.len()).contains(&written) {
            self.end();
        }
    }

    /// Ends the connection after a part of something: whatever followed would be read as its rest.
    fn end(&self) {
        // It fails where the other side has ended the connection already.
        let _ = self.socket.get_ref().shutdown(Shutdown::Both);
    }
}

#[cfg(test)]
mod tests;
