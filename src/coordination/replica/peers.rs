//! Connections to the other replicas of the site, one in each direction.

use crate::coordination::framing::{self, FrameError};
use crate::coordination::messages::{Handshake, PeerRole, MAX_FRAME_BYTES, PROTOCOL_VERSION};
use crate::coordination::raft_group::RaftGroup;
use crate::coordination::raft_log::MAX_CHECKPOINT_BYTES;
use crate::coordination::replica::transport::{
    receive_messages, retry_delay, send_messages, with_timeout, LinkState, HANDSHAKE_TIMEOUT,
    WRITE_TIMEOUT,
};
use crate::coordination::replica::{Context, Incoming, Replica, Stage, PEER_QUEUE};
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
pub(super) const PEER_MOST: usize = MAX_CHECKPOINT_BYTES + 64 * 1024;

/// What keepers say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum PeerMessage {
    /// The folder of the one that connected.
    Me { incarnation: u64 },
    /// It is known, and written down. And the folder of the one that answers.
    Known { incarnation: u64 },
    /// It is not heard, and why.
    Refused(String),
    /// A sign of life.
    Pulse,
    /// A message of the group.
    Raft(ByteBuf),
}

/// Another keeper that this one sends to.
pub(super) struct OutgoingLink {
    pub(super) queue: Sender<Vec<u8>>,
    pub(super) at: SocketAddr,
    pub(super) reach: Rc<LinkState>,
    /// Ends the connection when it is dropped.
    pub(super) _task: Task<()>,
}

/// Tells a keeper that came to the wrong one what it came to: it would try again without a word.
pub(super) async fn refuse(
    context: &Context,
    mut stream: Async<TcpStream>,
    why: FrameError,
    what: String,
) -> Result<(), FrameError> {
    let word = PeerMessage::Refused(format!(
        "it came to a keeper {what}, form {PROTOCOL_VERSION}"
    ));
    with_timeout(
        &context.wheel,
        WRITE_TIMEOUT,
        framing::write(&mut stream, &word, PEER_MOST),
    )
    .await?;
    Err(why)
}

/// Another keeper's connection: it sends, and this one says that it lives.
pub(super) async fn serve_peer(
    context: Context,
    mut stream: Async<TcpStream>,
    keeper: u64,
) -> Result<(), FrameError> {
    let me = with_timeout(
        &context.wheel,
        HANDSHAKE_TIMEOUT,
        framing::read(&mut stream, PEER_MOST),
    )
    .await?;
    let PeerMessage::Me { incarnation } = me else {
        return Ok(());
    };
    let (answer, answered) = async_channel::bounded(1);
    let (alive, ended) = async_channel::bounded::<()>(1);
    let came = Incoming::Came {
        keeper,
        incarnation,
        answer,
        alive,
    };
    let _ = context.inbox.send(came).await;
    let Ok(word) = answered.recv().await else {
        return Ok(());
    };
    with_timeout(
        &context.wheel,
        WRITE_TIMEOUT,
        framing::write(&mut stream, &word, PEER_MOST),
    )
    .await?;
    if !matches!(word, PeerMessage::Known { .. }) {
        return Ok(());
    }
    let raft = |word| match word {
        PeerMessage::Raft(bytes) => Ok(Incoming::Raft {
            keeper,
            bytes: bytes.into_vec(),
        }),
        other => Err(FrameError::Io(std::io::Error::other(format!(
            "{other:?} from a keeper"
        )))),
    };
    receive_messages(
        &context,
        stream,
        (&PeerMessage::Pulse, PEER_MOST),
        &ended,
        raft,
    )
    .await
}

/// Introduces itself to another keeper.
pub(super) async fn handshake(
    context: &Context,
    at: SocketAddr,
) -> Result<(Async<TcpStream>, PeerMessage), FrameError> {
    let meeting = async {
        let mut stream = Async::<TcpStream>::connect(at).await?;
        stream.get_ref().set_nodelay(true)?;
        let hello = Handshake {
            version: PROTOCOL_VERSION,
            site: context.site.to_string(),
            role: PeerRole::Replica(context.keeper),
        };
        framing::write(&mut stream, &hello, MAX_FRAME_BYTES).await?;
        framing::write(
            &mut stream,
            &PeerMessage::Me {
                incarnation: context.incarnation,
            },
            PEER_MOST,
        )
        .await?;
        let word = framing::read(&mut stream, PEER_MOST).await?;
        Ok((stream, word))
    };
    with_timeout(&context.wheel, HANDSHAKE_TIMEOUT, meeting).await
}

/// Sends to another keeper for as long as that is one.
async fn send_to_peer(
    context: Context,
    keeper: u64,
    at: SocketAddr,
    going: Receiver<Vec<u8>>,
    reach: Rc<LinkState>,
) {
    let who = format!(
        "keeper {} of {}: keeper {keeper} at {at}",
        context.keeper, context.site
    );
    loop {
        let ended = async {
            let (stream, word) = handshake(&context, at).await?;
            let known = matches!(word, PeerMessage::Known { .. });
            // What waited for the last connection is late by now.
            while going.try_recv().is_ok() {}
            reach.up.set(known);
            let _ = context
                .inbox
                .send(Incoming::Answered { keeper, word })
                .await;
            if !known {
                return Ok(());
            }
            // One that is not the keeper that it should be is left; another one may answer there by
            // now.
            send_messages::<PeerMessage>(&context, stream, PEER_MOST, &going, &reach.up, || ())
                .await
        };
        let ended: Result<(), FrameError> = ended.await;
        let was_up = reach.up.replace(false);
        reach.ended(&who, ended, was_up);
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
        let connection = outgoing.get(&to).filter(|o| o.reach.up.get());
        let bytes = message.write_to_bytes().map_err(|e| e.to_string());
        let framed = bytes.and_then(|b| {
            framing::encode(&PeerMessage::Raft(ByteBuf::from(b)), PEER_MOST)
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
    pub(super) fn address_of(&self, keeper: u64) -> Option<SocketAddr> {
        let known = match &self.stage {
            Stage::Takes(group) => group
                .state()
                .members
                .get(&keeper)
                .and_then(|m| m.at.parse().ok()),
            Stage::Begins(_) => None,
        };
        self.config.peers.get(&keeper).copied().or(known)
    }

    /// Has a connection to each other keeper, and to nobody else.
    pub(super) fn connect_replicas(&mut self) {
        let mut wanted: BTreeSet<u64> = self.config.peers.keys().copied().collect();
        if let Stage::Takes(group) = &self.stage {
            let held = group.state();
            if !held.members.is_empty() {
                wanted = held.members.keys().copied().collect();
            }
        }
        wanted.remove(&self.config.replica);
        let at: BTreeMap<u64, SocketAddr> = wanted
            .iter()
            .filter_map(|id| Some((*id, self.address_of(*id)?)))
            .collect();
        // One that joins is spoken to from addresses that its file names.
        let named = self.config.peers.values();
        *self.allowed.borrow_mut() = at
            .values()
            .chain(named)
            .map(|at| at.ip().to_canonical())
            .collect();
        self.outgoing.retain(|id, o| at.get(id) == Some(&o.at));
        self.incoming.retain(|id, _| wanted.contains(id));
        for (keeper, at) in at {
            if !self.outgoing.contains_key(&keeper) {
                let (queue, going) = async_channel::bounded(PEER_QUEUE);
                let reach: Rc<LinkState> = Rc::default();
                let task = send_to_peer(self.context.clone(), keeper, at, going, reach.clone());
                let task = self.executor.spawn(task);
                self.outgoing.insert(
                    keeper,
                    OutgoingLink {
                        queue,
                        at,
                        reach,
                        _task: task,
                    },
                );
            }
        }
    }
}
