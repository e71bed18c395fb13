//! A socket with what was read from it and not yet used.

use crate::delivery::timer_wheel::TimerWheel;
use async_io::Async;
use async_lock::Mutex;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Most bytes read and dropped on a connection that is to close.
const LEFTOVERS: usize = 64 << 20;

/// One connection.
pub struct Stream {
    socket: Rc<Async<TcpStream>>,
    /// What was read and not yet used.
    pub buf: Vec<u8>,
    filled_at: Instant,
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
        }
    }

    /// Reads more; false at the end of what the other side sends.
    pub async fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 8192];
        let n = read(&self.socket, &mut chunk).await?;
        self.buf.extend_from_slice(&chunk[..n]);
        self.filled_at = Instant::now();
        Ok(n > 0)
    }

    /// When it was last read from: what is in [`Stream::buf`] came then or before.
    pub fn filled_at(&self) -> Instant {
        self.filled_at
    }

    /// Writes all of it.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
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
    pub async fn part(self) {
        let _ = self.socket.get_ref().shutdown(Shutdown::Write);
        let (mut chunk, mut left) = (vec![0; 64 * 1024], LEFTOVERS);
        while let Ok(n @ 1..) = read(&self.socket, &mut chunk).await {
            left = left.saturating_sub(n);
            if left == 0 {
                return;
            }
            future::yield_now().await;
        }
    }

    /// Whether an idle connection can be used: still open, and with nothing on it that nobody asked
    /// for.
    pub fn is_quiet(&self) -> bool {
        let unread = self.socket.get_ref().peek(&mut [0]);
        self.buf.is_empty() && matches!(unread, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Reads once. A signal may interrupt that, which says nothing of the connection.
async fn read(socket: &Async<TcpStream>, into: &mut [u8]) -> io::Result<usize> {
    let mut socket = socket;
    loop {
        match socket.read(into).await {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}

/// Writes all of it, however short and interrupted the writes are.
async fn write_all(socket: &Async<TcpStream>, mut bytes: &[u8]) -> io::Result<()> {
    let mut socket = socket;
    while !bytes.is_empty() {
        match socket.write(bytes).await {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => bytes = &bytes[n..],
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
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
