//! Single connections to other sites: the handshake, the messages, and the attempts to connect.
//!
//! Messages for a site go to the replica that leads it, which runs the site's federation member.
//! The addresses of the site's replicas are tried in turn; a replica that does not lead answers
//! with the address of the leader, if it knows it.

use crate::coordination::framing::{self, FrameError};
use crate::coordination::messages::{Handshake, PeerRole, MAX_FRAME_BYTES, PROTOCOL_VERSION};
use crate::coordination::replica::transport::{
    self, receive_messages, retry_delay, send_messages, with_timeout, HANDSHAKE_TIMEOUT,
    WRITE_TIMEOUT,
};
use crate::coordination::replica::{Context, Event};
use crate::coordination::routing_table::member::MemberMessage;
use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_io::Async;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// Largest frame between federation members: a snapshot of the federation's record with the message
/// around it.
pub(super) const MAX_SITE_FRAME_BYTES: usize = 256 * 1024;

/// Message between the federation members of two sites.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum SiteMessage {
    /// First message of the site that connected: the incarnation of its record, and the term in
    /// which the sender leads its site.
    Hello { incarnation: u64, term: u64 },
    /// The site that connected is admitted and saved. Has the same data of the site that answers.
    Admitted {
        number: u64,
        incarnation: u64,
        term: u64,
    },
    /// This replica does not lead its site, or is not ready to. Has the leader's address, if known.
    NotLeader(Option<String>),
    /// The site that connected is rejected, with the reason.
    Rejected(String),
    /// A heartbeat.
    Heartbeat,
    /// A message of the federation member.
    Member(MemberMessage),
}

/// Event that concerns another site.
pub(super) enum SiteEvent {
    /// The federation member of another site connected.
    Connected {
        site: u64,
        incarnation: u64,
        term: u64,
        answer: Sender<SiteMessage>,
        connection_guard: Sender<()>,
    },
    /// A replica of another site answered at this address.
    Responded {
        site: u64,
        at: SocketAddr,
        response: SiteMessage,
    },
    /// A message from the federation member of another site.
    Message { site: u64, message: MemberMessage },
    /// Incarnation of a site that is to be added, or the reason why it is not known.
    IncarnationReceived {
        site: u64,
        incarnation: Result<u64, String>,
    },
}

/// Identity that this site presents to others.
#[derive(Clone)]
pub(super) struct OwnSite {
    pub(super) federation: Rc<str>,
    pub(super) number: u64,
    pub(super) incarnation: u64,
    pub(super) term: u64,
}

/// State of the connection to another site.
#[derive(Default)]
pub(super) struct LinkState {
    pub(super) connection: transport::LinkState,
    /// Term of the federation member that answered.
    pub(super) term: Cell<u64>,
    /// Address of the replica that answered.
    pub(super) address: Cell<Option<SocketAddr>>,
    /// Time of the last heartbeat.
    pub(super) last_heartbeat: Cell<Option<Instant>>,
}

/// Connection over which this site sends to another one.
pub(super) struct OutgoingLink {
    pub(super) queue: Sender<Vec<u8>>,
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) state: Rc<LinkState>,
    /// Ends the connection when it is dropped.
    pub(super) _task: Task<()>,
}

/// Serves a connection that the federation member of another site opened.
pub(super) async fn serve_site(
    context: Context,
    mut stream: Async<TcpStream>,
    site: u64,
) -> Result<(), FrameError> {
    let hello = with_timeout(
        &context.wheel,
        HANDSHAKE_TIMEOUT,
        framing::read(&mut stream, MAX_SITE_FRAME_BYTES),
    )
    .await?;
    let SiteMessage::Hello { incarnation, term } = hello else {
        return Ok(());
    };
    let (answer, answered) = async_channel::bounded(1);
    let (connection_guard, ended) = async_channel::bounded::<()>(1);
    let _ = context
        .inbox
        .send(Event::Site(SiteEvent::Connected {
            site,
            incarnation,
            term,
            answer,
            connection_guard,
        }))
        .await;
    let Ok(response) = answered.recv().await else {
        return Ok(());
    };
    with_timeout(
        &context.wheel,
        WRITE_TIMEOUT,
        framing::write(&mut stream, &response, MAX_SITE_FRAME_BYTES),
    )
    .await?;
    if !matches!(response, SiteMessage::Admitted { .. }) {
        return Ok(());
    }
    let to_event = |message| match message {
        SiteMessage::Member(message) => Ok(Event::Site(SiteEvent::Message { site, message })),
        other => Err(FrameError::Io(std::io::Error::other(format!(
            "unexpected message {other:?} from a site"
        )))),
    };
    receive_messages(
        &context,
        stream,
        (&SiteMessage::Heartbeat, MAX_SITE_FRAME_BYTES),
        &ended,
        to_event,
    )
    .await
}

/// Rejects a site that connected to the wrong federation, and names this one in the answer.
pub(super) async fn refuse(
    context: &Context,
    mut stream: Async<TcpStream>,
) -> Result<(), FrameError> {
    let what = match &context.federation {
        Some((name, number)) => {
            format!("it came to site {number} of federation {name:?}, form {PROTOCOL_VERSION}, which may not know its address")
        }
        None => format!("it came to a keeper in no federation, form {PROTOCOL_VERSION}"),
    };
    with_timeout(
        &context.wheel,
        WRITE_TIMEOUT,
        framing::write(
            &mut stream,
            &SiteMessage::Rejected(what),
            MAX_SITE_FRAME_BYTES,
        ),
    )
    .await?;
    Err(FrameError::Io(std::io::ErrorKind::PermissionDenied.into()))
}

/// Connects to a replica of another site and exchanges the first messages.
pub(super) async fn handshake(
    context: &Context,
    own_site: &OwnSite,
    at: SocketAddr,
) -> Result<(Async<TcpStream>, SiteMessage), FrameError> {
    let exchange = async {
        let mut stream = Async::<TcpStream>::connect(at).await?;
        stream.get_ref().set_nodelay(true)?;
        let hello = Handshake {
            version: PROTOCOL_VERSION,
            site: own_site.federation.to_string(),
            role: PeerRole::Site(own_site.number),
        };
        framing::write(&mut stream, &hello, MAX_FRAME_BYTES).await?;
        let message = SiteMessage::Hello {
            incarnation: own_site.incarnation,
            term: own_site.term,
        };
        framing::write(&mut stream, &message, MAX_SITE_FRAME_BYTES).await?;
        let response = framing::read(&mut stream, MAX_SITE_FRAME_BYTES).await?;
        Ok((stream, response))
    };
    with_timeout(&context.wheel, HANDSHAKE_TIMEOUT, exchange).await
}

/// Keeps a connection to the replica that leads another site, and sends it the queued messages.
pub(super) async fn send_to_site(
    context: Context,
    own_site: OwnSite,
    site: u64,
    addresses: Vec<SocketAddr>,
    outbox: Receiver<Vec<u8>>,
    state: Rc<LinkState>,
) {
    let log_prefix = format!("federation {}: site {site}", own_site.federation);
    let (mut next, mut failed_attempts) = (fastrand::usize(..addresses.len().max(1)), 0);
    loop {
        let Some(at) = addresses.get(next).copied() else {
            return;
        };
        let mut leader_hint = None;
        let ended = async {
            let (stream, response) = handshake(&context, &own_site, at).await?;
            if let SiteMessage::NotLeader(hint) = response {
                leader_hint = hint;
                return Err(FrameError::Io(std::io::Error::other(
                    "no keeper there leads its site",
                )));
            }
            let known = matches!(response, SiteMessage::Admitted { .. });
            // Messages that were queued for the previous connection are out of date.
            while outbox.try_recv().is_ok() {}
            if let SiteMessage::Admitted { term, .. } = &response {
                state.term.set(*term);
                state.address.set(Some(at));
                state.last_heartbeat.set(Some(Instant::now()));
            }
            state.connection.up.set(known);
            let refused = match &response {
                SiteMessage::Rejected(reason) => Some(reason.clone()),
                _ => None,
            };
            let _ = context
                .inbox
                .send(Event::Site(SiteEvent::Responded { site, at, response }))
                .await;
            if let Some(reason) = refused {
                return Err(FrameError::Io(std::io::Error::other(reason)));
            }
            // The connection ends when `up` is cleared because another site than the expected one
            // answered. The next attempt may reach the right one.
            let on_heartbeat = || state.last_heartbeat.set(Some(Instant::now()));
            send_messages::<SiteMessage>(
                &context,
                stream,
                MAX_SITE_FRAME_BYTES,
                &outbox,
                &state.connection.up,
                on_heartbeat,
            )
            .await
        };
        let ended: Result<(), FrameError> = ended.await;
        let was_up = state.connection.up.replace(false);
        failed_attempts = if was_up { 0 } else { failed_attempts + 1 };
        let hint =
            leader_hint.and_then(|hint| addresses.iter().position(|at| at.to_string() == hint));
        next = hint.unwrap_or(next + 1) % addresses.len();
        if failed_attempts < addresses.len() && !was_up {
            continue;
        }
        failed_attempts = 0;
        state.connection.on_disconnected(&log_prefix, ended, false);
        context.wheel.sleep(retry_delay()).await;
    }
}
