//! A connection to a coordination replica: writes and reads frames until the connection breaks or
//! is closed.
//!
//! Owns the socket of the open connection. The messages are chosen by [`super::session`].

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

/// Time after which a connection attempt fails: a machine that does not accept within it counts as
/// absent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of messages in a connection's queue: the opening of the session, a report, a
/// leave, and replies on policies and tables, some of them twice.
const MAX_QUEUED_OUTGOING: usize = 20;

/// Event of a connection.
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
    /// Opens the connection of that number to a replica. Messages that are sent before it is
    /// established wait.
    pub(super) fn connect(self: &Rc<Self>, connection: u64, replica: u64) {
        let Some(address) = self.config.replicas.get(&replica).copied() else {
            return;
        };
        let (sender, outgoing) = async_channel::bounded(MAX_QUEUED_OUTGOING);
        *self.outgoing.borrow_mut() = Some(sender);
        let handshake = Handshake {
            version: PROTOCOL_VERSION,
            site: self.config.site.clone(),
            role: PeerRole::Agent,
        };
        let incoming = self.incoming_sender.clone();
        let wheel = self.parts.delivery.wheel.clone();
        let task = async move {
            let ended =
                run_connection(address, handshake, connection, outgoing, &incoming, &wheel).await;
            let lost = ended.err().unwrap_or(FrameError::Closed);
            let event = ConnectionEvent {
                connection,
                kind: ConnectionEventKind::Lost(lost),
            };
            let _ = incoming.send(event).await;
        };
        self.parts.executor.spawn(task).detach();
    }

    /// Passes an event of a connection to the session.
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

/// Connects, sends the outgoing messages and passes on the received ones, until the connection
/// breaks or `outgoing` is closed.
async fn run_connection(
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
        // Messages that were sent before the connection was closed are still written.
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
