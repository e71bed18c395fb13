//! A port that stops listening and takes it up again, always the same one: who connects meanwhile
//! is turned away by the system.

use rustix::net::sockopt::set_socket_reuseaddr;
use rustix::net::{bind, getsockname, listen, shutdown, socket_with};
use rustix::net::{AddressFamily, Shutdown, SocketFlags, SocketType};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// Connections that may wait to be accepted.
const WAITING: i32 = 1024;
/// After an accept that failed, for want of descriptors for instance.
const AGAIN: Duration = Duration::from_millis(5);

/// One.
pub(crate) struct Port {
    pub address: SocketAddr,
    listener: TcpListener,
    open: Mutex<bool>,
    changed: Condvar,
}

impl Port {
    /// One of the loopback's that is free, and listens.
    pub fn open() -> io::Result<Port> {
        let first = bound(0)?;
        let number = SocketAddr::try_from(getsockname(&first)?)
            .map_err(io::Error::other)?
            .port();
        // A number that the system chose is given up when the socket stops to listen; one that was
        // asked for is not.
        let listener = TcpListener::from(bound(number)?);
        drop(first);
        listen(&listener, WAITING)?;
        let address = listener.local_addr()?;
        Ok(Port {
            address,
            listener,
            open: Mutex::new(true),
            changed: Condvar::new(),
        })
    }

    fn is_open(&self) -> MutexGuard<'_, bool> {
        self.open.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Listens from now on, or turns away who connects and who has connected and was not accepted
    /// yet.
    pub fn set(&self, open: bool) -> io::Result<()> {
        let mut is_open = self.is_open();
        match (*is_open, open) {
            (true, false) => shutdown(&self.listener, Shutdown::Read)?,
            (false, true) => listen(&self.listener, WAITING)?,
            _ => return Ok(()),
        }
        *is_open = open;
        self.changed.notify_all();
        Ok(())
    }

    /// The next connection; while the port is shut there is none.
    pub fn accept(&self) -> TcpStream {
        loop {
            let shut = |open: &mut bool| !*open;
            drop(
                self.changed
                    .wait_while(self.is_open(), shut)
                    .unwrap_or_else(|e| e.into_inner()),
            );
            match self.listener.accept() {
                Ok((stream, _)) => return stream,
                Err(_) => thread::sleep(AGAIN),
            }
        }
    }
}

fn bound(number: u16) -> io::Result<OwnedFd> {
    let socket = socket_with(
        AddressFamily::INET,
        SocketType::STREAM,
        SocketFlags::CLOEXEC,
        None,
    )?;
    set_socket_reuseaddr(&socket, true)?;
    bind(&socket, &SocketAddr::from((Ipv4Addr::LOCALHOST, number)))?;
    Ok(socket)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::Arc;

    #[test]
    fn a_port_that_is_shut_turns_away_and_is_the_same_when_it_is_back() {
        let port = Arc::new(Port::open().expect("a port"));
        let (accepts, connect) = (port.clone(), || TcpStream::connect(port.address));
        thread::spawn(move || loop {
            drop(accepts.accept());
        });
        for _ in 0..20 {
            assert!(connect().is_ok());
            port.set(false).expect("shut");
            let why = connect().expect_err("turned away").kind();
            assert_eq!(why, io::ErrorKind::ConnectionRefused);
            port.set(true).expect("open");
        }
        assert!(connect().is_ok());
    }
}
