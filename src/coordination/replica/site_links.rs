//! Single connections to other sites: the handshake, what is said, and attempts to reach whichever
//! replica of a site leads it.
//!
//! A site is reached at whichever of its keepers leads it. The addresses are tried in turn; one
//! that does not lead says who does, where it knows.

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

/// Longest frame between voices: a snapshot of the federation's record, and what is said with it.
pub(super) const MAX_SITE_FRAME_BYTES: usize = 256 * 1024;

/// What is said on a connection between voices.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum SiteMessage {
    /// The record of the site that connected, and the term of its voice there.
    Hello { incarnation: u64, term: u64 },
    /// It is known, and written down. And the same of the one that answers.
    Admitted {
        number: u64,
        incarnation: u64,
        term: u64,
    },
    /// This keeper is not its site's voice, or not ready to be; where that is, if it is known.
    NotLeader(Option<String>),
    /// It is not heard, and why.
    Rejected(String),
    /// A sign of life.
    Heartbeat,
    /// What a voice says.
    Member(MemberMessage),
}

/// What comes in of other sites.
pub(super) enum SiteEvent {
    /// A voice connected.
    Connected {
        site: u64,
        incarnation: u64,
        term: u64,
        answer: Sender<SiteMessage>,
        connection_guard: Sender<()>,
    },
    /// One answered, at this address.
    Responded {
        site: u64,
        at: SocketAddr,
        response: SiteMessage,
    },
    /// One says something.
    Message { site: u64, message: MemberMessage },
    /// One was asked for its incarnation, in order to add it.
    IncarnationReceived {
        site: u64,
        incarnation: Result<u64, String>,
    },
}

/// Who this site is to others.
#[derive(Clone)]
pub(super) struct OwnSite {
    pub(super) federation: Rc<str>,
    pub(super) number: u64,
    pub(super) incarnation: u64,
    pub(super) term: u64,
}

/// What is known of the connection to another site.
#[derive(Default)]
pub(super) struct LinkState {
    pub(super) connection: transport::LinkState,
    /// The term of the voice that answers.
    pub(super) term: Cell<u64>,
    pub(super) address: Cell<Option<SocketAddr>>,
    /// When it last gave a sign of life.
    pub(super) last_heartbeat: Cell<Option<Instant>>,
}

pub(super) struct OutgoingLink {
    pub(super) queue: Sender<Vec<u8>>,
    pub(super) addresses: Vec<SocketAddr>,
    pub(super) state: Rc<LinkState>,
    /// Ends the connection when it is dropped.
    pub(super) _task: Task<()>,
}

/// A connection that another site's voice opened.
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
            "{other:?} from a site"
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

/// Tells one that came to the wrong federation what it came to.
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
        framing::write(&mut stream, &SiteMessage::Rejected(what), MAX_SITE_FRAME_BYTES),
    )
    .await?;
    Err(FrameError::Io(std::io::ErrorKind::PermissionDenied.into()))
}

/// Introduces this site to another one's keeper.
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

/// Speaks to another site's voice, wherever that is.
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
            // What waited for the last connection is late by now.
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
            // One that is not the site that it should be is left; another one may answer there by
            // now.
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
