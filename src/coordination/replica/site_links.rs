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
use crate::coordination::replica::{Context, Incoming};
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
pub(super) const SITE_MOST: usize = 256 * 1024;

/// What is said on a connection between voices.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Said {
    /// The record of the site that connected, and the term of its voice there.
    Me { incarnation: u64, term: u64 },
    /// It is known, and written down. And the same of the one that answers.
    Known {
        number: u64,
        incarnation: u64,
        term: u64,
    },
    /// This keeper is not its site's voice, or not ready to be; where that is, if it is known.
    Elsewhere(Option<String>),
    /// It is not heard, and why.
    Refused(String),
    /// A sign of life.
    Pulse,
    /// What a voice says.
    Word(MemberMessage),
}

/// What comes in of other sites.
pub(super) enum Site {
    /// A voice connected.
    Came {
        site: u64,
        incarnation: u64,
        term: u64,
        answer: Sender<Said>,
        alive: Sender<()>,
    },
    /// One answered, at this address.
    Answered {
        site: u64,
        at: SocketAddr,
        said: Said,
    },
    /// One says something.
    Word { site: u64, word: MemberMessage },
    /// One was asked for its incarnation, in order to add it.
    Met {
        site: u64,
        folder: Result<u64, String>,
    },
}

/// Who this site is to others.
#[derive(Clone)]
pub(super) struct Me {
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
    pub(super) at: Cell<Option<SocketAddr>>,
    /// When it last gave a sign of life.
    pub(super) lives: Cell<Option<Instant>>,
}

pub(super) struct OutgoingLink {
    pub(super) queue: Sender<Vec<u8>>,
    pub(super) at: Vec<SocketAddr>,
    pub(super) reach: Rc<LinkState>,
    /// Ends the connection when it is dropped.
    pub(super) _task: Task<()>,
}

/// A connection that another site's voice opened.
pub(super) async fn serve_site(
    context: Context,
    mut stream: Async<TcpStream>,
    site: u64,
) -> Result<(), FrameError> {
    let me = with_timeout(
        &context.wheel,
        HANDSHAKE_TIMEOUT,
        framing::read(&mut stream, SITE_MOST),
    )
    .await?;
    let Said::Me { incarnation, term } = me else {
        return Ok(());
    };
    let (answer, answered) = async_channel::bounded(1);
    let (alive, ended) = async_channel::bounded::<()>(1);
    let _ = context
        .inbox
        .send(Incoming::Site(Site::Came {
            site,
            incarnation,
            term,
            answer,
            alive,
        }))
        .await;
    let Ok(said) = answered.recv().await else {
        return Ok(());
    };
    with_timeout(
        &context.wheel,
        WRITE_TIMEOUT,
        framing::write(&mut stream, &said, SITE_MOST),
    )
    .await?;
    if !matches!(said, Said::Known { .. }) {
        return Ok(());
    }
    let word = |said| match said {
        Said::Word(word) => Ok(Incoming::Site(Site::Word { site, word })),
        other => Err(FrameError::Io(std::io::Error::other(format!(
            "{other:?} from a site"
        )))),
    };
    receive_messages(&context, stream, (&Said::Pulse, SITE_MOST), &ended, word).await
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
        framing::write(&mut stream, &Said::Refused(what), SITE_MOST),
    )
    .await?;
    Err(FrameError::Io(std::io::ErrorKind::PermissionDenied.into()))
}

/// Introduces this site to another one's keeper.
pub(super) async fn handshake(
    context: &Context,
    me: &Me,
    at: SocketAddr,
) -> Result<(Async<TcpStream>, Said), FrameError> {
    let meeting = async {
        let mut stream = Async::<TcpStream>::connect(at).await?;
        stream.get_ref().set_nodelay(true)?;
        let hello = Handshake {
            version: PROTOCOL_VERSION,
            site: me.federation.to_string(),
            role: PeerRole::Site(me.number),
        };
        framing::write(&mut stream, &hello, MAX_FRAME_BYTES).await?;
        let word = Said::Me {
            incarnation: me.incarnation,
            term: me.term,
        };
        framing::write(&mut stream, &word, SITE_MOST).await?;
        let said = framing::read(&mut stream, SITE_MOST).await?;
        Ok((stream, said))
    };
    with_timeout(&context.wheel, HANDSHAKE_TIMEOUT, meeting).await
}

/// Speaks to another site's voice, wherever that is.
pub(super) async fn send_to_site(
    context: Context,
    me: Me,
    site: u64,
    places: Vec<SocketAddr>,
    going: Receiver<Vec<u8>>,
    reach: Rc<LinkState>,
) {
    let who = format!("federation {}: site {site}", me.federation);
    let (mut next, mut tried) = (fastrand::usize(..places.len().max(1)), 0);
    loop {
        let Some(at) = places.get(next).copied() else {
            return;
        };
        let mut elsewhere = None;
        let ended = async {
            let (stream, said) = handshake(&context, &me, at).await?;
            if let Said::Elsewhere(hint) = said {
                elsewhere = hint;
                return Err(FrameError::Io(std::io::Error::other(
                    "no keeper there leads its site",
                )));
            }
            let known = matches!(said, Said::Known { .. });
            // What waited for the last connection is late by now.
            while going.try_recv().is_ok() {}
            if let Said::Known { term, .. } = &said {
                reach.term.set(*term);
                reach.at.set(Some(at));
                reach.lives.set(Some(Instant::now()));
            }
            reach.connection.up.set(known);
            let refused = match &said {
                Said::Refused(why) => Some(why.clone()),
                _ => None,
            };
            let _ = context
                .inbox
                .send(Incoming::Site(Site::Answered { site, at, said }))
                .await;
            if let Some(why) = refused {
                return Err(FrameError::Io(std::io::Error::other(why)));
            }
            // One that is not the site that it should be is left; another one may answer there by
            // now.
            let lives = || reach.lives.set(Some(Instant::now()));
            send_messages::<Said>(
                &context,
                stream,
                SITE_MOST,
                &going,
                &reach.connection.up,
                lives,
            )
            .await
        };
        let ended: Result<(), FrameError> = ended.await;
        let was_up = reach.connection.up.replace(false);
        tried = if was_up { 0 } else { tried + 1 };
        let hint = elsewhere.and_then(|hint| places.iter().position(|at| at.to_string() == hint));
        next = hint.unwrap_or(next + 1) % places.len();
        if tried < places.len() && !was_up {
            continue;
        }
        tried = 0;
        reach.connection.ended(&who, ended, false);
        context.wheel.sleep(retry_delay()).await;
    }
}
