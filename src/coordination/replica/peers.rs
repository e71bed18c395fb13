//! Connections to the other replicas of the site, one in each direction.

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

/// Longest frame between keepers: a snapshot, and what is said with it.
pub(super) const MAX_PEER_FRAME_BYTES: usize = MAX_CHECKPOINT_BYTES + 64 * 1024;

/// What keepers say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum PeerMessage {
    /// The folder of the one that connected.
    Hello { incarnation: u64 },
    /// It is known, and written down. And the folder of the one that answers.
    Admitted { incarnation: u64 },
    /// It is not heard, and why.
    Rejected(String),
    /// A sign of life.
    Heartbeat,
    /// A message of the group.
    Raft(ByteBuf),
}

/// Another keeper that this one sends to.
pub(super) struct OutgoingLink {
    pub(super) queue: Sender<Vec<u8>>,
    pub(super) address: SocketAddr,
    pub(super) state: Rc<LinkState>,
    /// Ends the connection when it is dropped.
    pub(super) _task: Task<()>,
}

/// Tells a keeper that came to the wrong one what it came to: it would try again without a word.
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

/// Another keeper's connection: it sends, and this one says that it lives.
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
            "{other:?} from a keeper"
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

/// Introduces itself to another keeper.
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

/// Sends to another keeper for as long as that is one.
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
            // What waited for the last connection is late by now.
            while outbox.try_recv().is_ok() {}
            state.up.set(known);
            let _ = context
                .inbox
                .send(Event::PeerResponded { replica, message })
                .await;
            if !known {
                return Ok(());
            }
            // One that is not the keeper that it should be is left; another one may answer there by
            // now.
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

/// Sends messages of the group, each as far as there is a connection for it.
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
                log::error!("keeper {}: a message to keeper {to}: {e}", group.id());
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
    /// Where a keeper is reached: the file goes before what the group knows.
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

    /// Has a connection to each other keeper, and to nobody else.
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
        // One that joins is spoken to from addresses that its file names.
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
