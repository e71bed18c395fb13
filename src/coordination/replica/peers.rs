//! Connections to the other replicas of the site, one for each direction.

use crate::coordination::framing::{self, FrameError};
use crate::coordination::messages::{Handshake, PeerRole, MAX_FRAME_BYTES, PROTOCOL_VERSION};
use crate::coordination::raft_group::RaftGroup;
use crate::coordination::raft_log::MAX_CHECKPOINT_BYTES;
use crate::coordination::replica::transport::{
    receive_messages, retry_delay, send_messages, with_timeout, LinkState, HANDSHAKE_TIMEOUT,
    WRITE_TIMEOUT,
};
use crate::coordination::replica::{Context, Event, Replica, Stage, PEER_QUEUE_LENGTH};
use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_io::Async;
use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Largest frame between replicas: a snapshot with the message around it.
pub(super) const MAX_PEER_FRAME_BYTES: usize = MAX_CHECKPOINT_BYTES + 64 * 1024;

/// Message between two replicas of a site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum PeerMessage {
    /// First message of the replica that connected, with the incarnation of its folder.
    Hello { incarnation: u64 },
    /// The replica that connected is admitted and saved. Has the incarnation of the one that
    /// answers.
    Admitted { incarnation: u64 },
    /// The replica that connected is rejected, with the reason.
    Rejected(String),
    /// A heartbeat.
    Heartbeat,
    /// A Raft message of the group.
    Raft(ByteBuf),
}

/// Connection over which this replica sends to another one.
pub(super) struct OutgoingLink {
    pub(super) queue: Sender<Vec<u8>>,
    pub(super) address: SocketAddr,
    pub(super) state: Rc<LinkState>,
    /// Ends the connection when it is dropped.
    pub(super) _task: Task<()>,
}

/// Rejects a replica that connected to the wrong one, and names this one in the answer. Without an
/// answer, the other would retry and never learn the reason.
pub(super) async fn refuse(
    context: &Context,
    mut stream: Async<TcpStream>,
    reason: FrameError,
    what: String,
) -> Result<(), FrameError> {
    let message = PeerMessage::Rejected(format!(
        "it came to a keeper {what}, form {PROTOCOL_VERSION}"
    ));
    with_timeout(
        &context.wheel,
        WRITE_TIMEOUT,
        framing::write(&mut stream, &message, MAX_PEER_FRAME_BYTES),
    )
    .await?;
    Err(reason)
}

/// Serves the connection of another replica: receives its messages and sends it heartbeats.
pub(super) async fn serve_peer(
    context: Context,
    mut stream: Async<TcpStream>,
    replica: u64,
) -> Result<(), FrameError> {
    let hello = with_timeout(
        &context.wheel,
        HANDSHAKE_TIMEOUT,
        framing::read(&mut stream, MAX_PEER_FRAME_BYTES),
    )
    .await?;
    let PeerMessage::Hello { incarnation } = hello else {
        return Ok(());
    };
    let (answer, answered) = async_channel::bounded(1);
    let (connection_guard, ended) = async_channel::bounded::<()>(1);
    let connected = Event::PeerConnected {
        replica,
        incarnation,
        answer,
        connection_guard,
    };
    let _ = context.inbox.send(connected).await;
    let Ok(message) = answered.recv().await else {
        return Ok(());
    };
    with_timeout(
        &context.wheel,
        WRITE_TIMEOUT,
        framing::write(&mut stream, &message, MAX_PEER_FRAME_BYTES),
    )
    .await?;
    if !matches!(message, PeerMessage::Admitted { .. }) {
        return Ok(());
    }
    let to_event = |message| match message {
        PeerMessage::Raft(bytes) => Ok(Event::RaftMessage {
            replica,
            bytes: bytes.into_vec(),
        }),
        other => Err(FrameError::Io(std::io::Error::other(format!(
            "unexpected message {other:?} from a keeper"
        )))),
    };
    receive_messages(
        &context,
        stream,
        (&PeerMessage::Heartbeat, MAX_PEER_FRAME_BYTES),
        &ended,
        to_event,
    )
    .await
}

/// Connects to another replica and exchanges the first messages.
pub(super) async fn handshake(
    context: &Context,
    address: SocketAddr,
) -> Result<(Async<TcpStream>, PeerMessage), FrameError> {
    let exchange = async {
        let mut stream = Async::<TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        let hello = Handshake {
            version: PROTOCOL_VERSION,
            site: context.site.to_string(),
            role: PeerRole::Replica(context.replica),
        };
        framing::write(&mut stream, &hello, MAX_FRAME_BYTES).await?;
        framing::write(
            &mut stream,
            &PeerMessage::Hello {
                incarnation: context.incarnation,
            },
            MAX_PEER_FRAME_BYTES,
        )
        .await?;
        let message = framing::read(&mut stream, MAX_PEER_FRAME_BYTES).await?;
        Ok((stream, message))
    };
    with_timeout(&context.wheel, HANDSHAKE_TIMEOUT, exchange).await
}

/// Keeps a connection to another replica and sends it the queued messages. Runs until its task is
/// dropped.
async fn send_to_peer(
    context: Context,
    replica: u64,
    address: SocketAddr,
    outbox: Receiver<Vec<u8>>,
    state: Rc<LinkState>,
) {
    let log_prefix = format!(
        "keeper {} of {}: keeper {replica} at {address}",
        context.replica, context.site
    );
    loop {
        let ended = async {
            let (stream, message) = handshake(&context, address).await?;
            let known = matches!(message, PeerMessage::Admitted { .. });
            // Messages that were queued for the previous connection are out of date.
            while outbox.try_recv().is_ok() {}
            state.up.set(known);
            let _ = context
                .inbox
                .send(Event::PeerResponded { replica, message })
                .await;
            if !known {
                return Ok(());
            }
            // The connection ends when `up` is cleared because another process than the expected
            // replica answered. The next attempt may reach the right one.
            send_messages::<PeerMessage>(
                &context,
                stream,
                MAX_PEER_FRAME_BYTES,
                &outbox,
                &state.up,
                || (),
            )
            .await
        };
        let ended: Result<(), FrameError> = ended.await;
        let was_up = state.up.replace(false);
        state.on_disconnected(&log_prefix, ended, was_up);
        context.wheel.sleep(retry_delay()).await;
    }
}

/// Queues Raft messages for the replicas that are connected, and reports to the group which were
/// not sent.
pub(super) fn send(
    group: &mut RaftGroup,
    outgoing: &BTreeMap<u64, OutgoingLink>,
    messages: Vec<Message>,
) {
    for message in messages {
        let (to, snapshot) = (
            message.to,
            message.get_msg_type() == MessageType::MsgSnapshot,
        );
        let connection = outgoing.get(&to).filter(|link| link.state.up.get());
        let bytes = message.write_to_bytes().map_err(|e| e.to_string());
        let framed = bytes.and_then(|b| {
            framing::encode(&PeerMessage::Raft(ByteBuf::from(b)), MAX_PEER_FRAME_BYTES)
                .map_err(|e| e.to_string())
        });
        let sent = match (framed, connection) {
            (Ok(bytes), Some(connection)) => connection.queue.try_send(bytes).is_ok(),
            (Ok(_), None) => false,
            (Err(e), _) => {
                log::error!(
                    "keeper {}: cannot encode a message to keeper {to}: {e}",
                    group.id()
                );
                false
            }
        };
        match (sent, snapshot) {
            (true, true) => group.report_snapshot_sent(to),
            (true, false) => {}
            (false, snapshot) => group.report_unreachable(to, snapshot),
        }
    }
}

impl Replica {
    /// Returns the address of a replica. The configuration file takes precedence over the address
    /// that the group has.
    pub(super) fn address_of(&self, replica: u64) -> Option<SocketAddr> {
        let known = match &self.stage {
            Stage::InGroup(group) => group
                .state()
                .members
                .get(&replica)
                .and_then(|m| m.at.parse().ok()),
            Stage::Bootstrapping(_) => None,
        };
        self.config.peers.get(&replica).copied().or(known)
    }

    /// Opens a connection to each other replica of the group, and closes all others.
    pub(super) fn connect_replicas(&mut self) {
        let mut wanted: BTreeSet<u64> = self.config.peers.keys().copied().collect();
        if let Stage::InGroup(group) = &self.stage {
            let group_state = group.state();
            if !group_state.members.is_empty() {
                wanted = group_state.members.keys().copied().collect();
            }
        }
        wanted.remove(&self.config.replica);
        let addresses: BTreeMap<u64, SocketAddr> = wanted
            .iter()
            .filter_map(|id| Some((*id, self.address_of(*id)?)))
            .collect();
        // A replica that joins is not a member yet: it accepts connections from the addresses in
        // its configuration file.
        let configured = self.config.peers.values();
        *self.allowed_peers.borrow_mut() = addresses
            .values()
            .chain(configured)
            .map(|address| address.ip().to_canonical())
            .collect();
        self.outgoing
            .retain(|id, link| addresses.get(id) == Some(&link.address));
        self.incoming.retain(|id, _| wanted.contains(id));
        for (replica, address) in addresses {
            if !self.outgoing.contains_key(&replica) {
                let (queue, outbox) = async_channel::bounded(PEER_QUEUE_LENGTH);
                let state: Rc<LinkState> = Rc::default();
                let task = send_to_peer(
                    self.context.clone(),
                    replica,
                    address,
                    outbox,
                    state.clone(),
                );
                let task = self.executor.spawn(task);
                self.outgoing.insert(
                    replica,
                    OutgoingLink {
                        queue,
                        address,
                        state,
                        _task: task,
                    },
                );
            }
        }
    }
}
