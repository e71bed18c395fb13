//! A socket with what was read from it and not yet used.

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};

/// Most bytes read and dropped on a connection that is to close.
const LEFTOVERS: usize = 256 * 1024;

/// One connection.
pub struct Stream {
    socket: Async<TcpStream>,
    /// What was read and not yet used.
    pub buf: Vec<u8>,
}

impl Stream {
    /// Opens a connection.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        Stream::new(Async::<TcpStream>::connect(address).await?)
    }

    /// Takes a connection that was made.
    pub fn new(socket: Async<TcpStream>) -> io::Result<Self> {
        // Each message is one write and waits for its answer: there is nothing to gather.
        socket.get_ref().set_nodelay(true)?;
        Ok(Stream { socket, buf: Vec::new() })
    }

    /// Reads more; false at the end of what the other side sends.
    pub async fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 8192];
        let n = self.socket.read(&mut chunk).await?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n > 0)
    }

    /// Writes all of it.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes).await
    }

    /// Ends what this side sends and takes no notice of the rest, so that a last answer is read before the close:
    /// closed on unread bytes, a connection is reset and the answer lost.
    pub async fn part(mut self) {
        let _ = self.socket.get_ref().shutdown(Shutdown::Write);
        while self.buf.len() < LEFTOVERS && self.fill().await.unwrap_or(false) {}
    }

    /// Whether an idle connection can be used: still open, and with nothing on it that nobody asked for.
    pub fn is_quiet(&self) -> bool {
        let unread = self.socket.get_ref().peek(&mut [0]);
        self.buf.is_empty() && matches!(unread, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}
