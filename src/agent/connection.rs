//! A connection to a coordination replica: frames out and in, until it breaks or is closed.
//!
//! Owns the socket of the connection that is open. What is said on it is [`super::session`]'s
//! choice.

use super::Agent;
use crate::coordination::framing::{self, FrameError};
use crate::coordination::messages::{
    AgentToReplica, Handshake, PeerRole, ReplicaToAgent, MAX_FRAME_BYTES, PROTOCOL_VERSION,
};
use crate::delivery::timer_wheel::TimerWheel;
use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::FutureExt;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A replica's machine that has not taken a connection within this time is not there.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Messages that may wait for a connection: an open, a report, a leave, and replies on policies and
/// tables, some of them twice.
const MAX_OUTGOING: usize = 20;

/// Something that happened on a connection.
pub(super) struct ConnectionEvent {
    /// Number of the connection.
    connection: u64,
    kind: ConnectionEventKind,
}

enum ConnectionEventKind {
    Received(ReplicaToAgent),
    Lost(FrameError),
}

impl Agent {
    /// Opens a connection of that number to a replica. What is sent before it is up waits.
    pub(super) fn connect(self: &Rc<Self>, connection: u64, replica: u64) {
        let Some(address) = self.config.replicas.get(&replica).copied() else {
            return;
        };
        let (sender, outgoing) = async_channel::bounded(MAX_OUTGOING);
        *self.outgoing.borrow_mut() = Some(sender);
        let handshake = Handshake {
            version: PROTOCOL_VERSION,
            site: self.config.site.clone(),
            role: PeerRole::Agent,
        };
        let incoming = self.incoming_sender.clone();
        let wheel = self.parts.delivery.wheel.clone();
        let task = async move {
            let ended = converse(address, handshake, connection, outgoing, &incoming, &wheel).await;
            let lost = ended.err().unwrap_or(FrameError::Closed);
            let event = ConnectionEvent {
                connection,
                kind: ConnectionEventKind::Lost(lost),
            };
            let _ = incoming.send(event).await;
        };
        self.parts.executor.spawn(task).detach();
    }

    /// Hands what happened on a connection to the session.
    pub(super) fn on_connection_event(self: &Rc<Self>, event: ConnectionEvent) {
        let connection = event.connection;
        let now = self.now();
        let mut effects = Vec::new();
        match event.kind {
            ConnectionEventKind::Received(message) => {
                self.session
                    .borrow_mut()
                    .on_message(now, connection, message, &mut effects);
            }
            ConnectionEventKind::Lost(e) => {
                log::debug!("fleet: connection {connection}: {e}");
                self.session
                    .borrow_mut()
                    .on_connection_lost(now, connection);
            }
        }
        self.perform(effects);
    }
}

/// Connects, sends what it is given and passes on what it receives, until the connection breaks or
/// `outgoing` is closed.
async fn converse(
    address: SocketAddr,
    handshake: Handshake,
    connection: u64,
    outgoing: Receiver<AgentToReplica>,
    incoming: &Sender<ConnectionEvent>,
    wheel: &Rc<TimerWheel>,
) -> Result<(), FrameError> {
    let connecting = Async::<TcpStream>::connect(address);
    let connected = wheel.timeout(CONNECT_TIMEOUT, connecting).await;
    let stream = connected.ok_or(io::Error::from(io::ErrorKind::TimedOut))??;
    stream.get_ref().set_nodelay(true)?;
    let (mut reader, mut writer) = (&stream, &stream);
    let sending = async {
        framing::write(&mut writer, &handshake, MAX_FRAME_BYTES).await?;
        // What was sent before the connection was closed is still written.
        while let Ok(message) = outgoing.recv().await {
            framing::write(&mut writer, &message, MAX_FRAME_BYTES).await?;
        }
        Ok(())
    };
    let receiving = async {
        loop {
            let message = framing::read(&mut reader, MAX_FRAME_BYTES).await?;
            let event = ConnectionEvent {
                connection,
                kind: ConnectionEventKind::Received(message),
            };
            if incoming.send(event).await.is_err() {
                return Ok(());
            }
        }
    };
    sending.or(receiving).await
}
