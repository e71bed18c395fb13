//! Accepts connections, bounded in number, and serves each by who opened it: an agent, a person,
//! another replica or another site.

use crate::coordination::config::Config;
use crate::coordination::framing::{self, FrameError};
use crate::coordination::leader::ConnectionId;
use crate::coordination::messages::{Handshake, PeerRole, MAX_FRAME_BYTES};
use crate::coordination::replica::peers::{refuse, serve_peer};
use crate::coordination::replica::transport::{with_timeout, HANDSHAKE_TIMEOUT, WRITE_TIMEOUT};
use crate::coordination::replica::{site_links, Context, Incoming, RESOURCE_RETRY_DELAY};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::io::split;
use futures_lite::FutureExt;
use serde::de::DeserializeOwned;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::{IpAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Words that wait for a connection: an agent that reads so slowly is dropped.
const CONNECTION_QUEUE: usize = 32;
/// A connection on which nobody says anything for so long is ended; sessions hold for less.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Counts a connection for as long as it lives.
struct ConnectionSlot(Rc<Cell<u64>>);

impl ConnectionSlot {
    fn take(context: &Context) -> Option<ConnectionSlot> {
        let open = context.open.get();
        (open < context.most).then(|| {
            context.open.set(open + 1);
            ConnectionSlot(context.open.clone())
        })
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Takes connections.
pub(super) struct Acceptor {
    pub(super) context: Context,
    pub(super) config: Config,
    pub(super) allowed: Rc<RefCell<BTreeSet<IpAddr>>>,
    pub(super) sites: Rc<RefCell<BTreeSet<IpAddr>>>,
}

/// Who may speak from an address.
#[derive(Clone, Copy)]
struct Permissions {
    agent: bool,
    keeper: bool,
    site: bool,
}

impl Acceptor {
    pub(super) async fn accept(
        self,
        listener: Async<TcpListener>,
        executor: Rc<LocalExecutor<'static>>,
    ) {
        loop {
            let (stream, from) = match listener.accept().await {
                Ok(come) => come,
                Err(e) => {
                    log::warn!("keeper: accept: {e}");
                    self.context.wheel.sleep(RESOURCE_RETRY_DELAY).await;
                    continue;
                }
            };
            let from = from.ip().to_canonical();
            let (agent, keeper) = (
                self.config.may_connect(from),
                self.allowed.borrow().contains(&from),
            );
            let permissions = Permissions {
                agent,
                keeper,
                site: self.sites.borrow().contains(&from),
            };
            if !permissions.agent && !permissions.keeper && !permissions.site {
                log::warn!("keeper: {from} may not speak here");
                continue;
            }
            let Some(slot) = ConnectionSlot::take(&self.context) else {
                log::warn!(
                    "keeper: {} lines are open, more may not be",
                    self.context.most
                );
                continue;
            };
            let _ = stream.get_ref().set_nodelay(true);
            let context = self.context.clone();
            let connection = async move {
                let _slot = slot;
                if let Err(e) = serve_connection(context, stream, permissions).await {
                    log::debug!("keeper: a line of {from}: {e}");
                }
            };
            executor.spawn(connection).detach();
        }
    }
}

/// A connection that somebody opened.
async fn serve_connection(
    context: Context,
    mut stream: Async<TcpStream>,
    permissions: Permissions,
) -> Result<(), FrameError> {
    let Permissions {
        agent,
        keeper,
        site,
    } = permissions;
    let hello: Handshake = with_timeout(
        &context.wheel,
        HANDSHAKE_TIMEOUT,
        framing::read(&mut stream, MAX_FRAME_BYTES),
    )
    .await?;
    if let PeerRole::Site(number) = hello.role {
        let here = context
            .federation
            .as_ref()
            .filter(|(name, me)| hello.admit(name).is_ok() && number != *me);
        return match here {
            Some(_) if site => site_links::serve_site(context, stream, number).await,
            _ => site_links::refuse(&context, stream).await,
        };
    }
    let admitted = hello.admit(&context.site);
    let denied = || FrameError::Io(std::io::ErrorKind::PermissionDenied.into());
    match (hello.role, admitted) {
        (PeerRole::Replica(_), Err(e)) => {
            refuse(&context, stream, e, format!("of site {:?}", context.site)).await
        }
        (_, Err(e)) => Err(e),
        (PeerRole::Replica(n), _) if keeper => serve_peer(context, stream, n).await,
        (PeerRole::Replica(_), _) => {
            refuse(
                &context,
                stream,
                denied(),
                "that knows no keeper at its address".into(),
            )
            .await
        }
        (PeerRole::Agent, _) if agent => serve_client(context, stream, Incoming::Agent).await,
        (PeerRole::Operator, _) if agent => serve_client(context, stream, Incoming::Person).await,
        _ => Err(denied()),
    }
}

/// The connection of an agent or a person.
async fn serve_client<T: DeserializeOwned>(
    context: Context,
    stream: Async<TcpStream>,
    bring: fn(ConnectionId, T) -> Incoming,
) -> Result<(), FrameError> {
    let connection = context.next.get() + 1;
    context.next.set(connection);
    let (queue, going) = async_channel::bounded::<Vec<u8>>(CONNECTION_QUEUE);
    let _ = context
        .inbox
        .send(Incoming::Opened { connection, queue })
        .await;
    let (mut from, mut to) = split(stream);
    let (inbox, wheel) = (context.inbox.clone(), context.wheel.clone());
    let reading = async {
        loop {
            let word = with_timeout(
                &wheel,
                IDLE_TIMEOUT,
                framing::read(&mut from, MAX_FRAME_BYTES),
            )
            .await?;
            let _ = inbox.send(bring(connection, word)).await;
        }
    };
    let writing = async {
        while let Ok(bytes) = going.recv().await {
            with_timeout(
                &wheel,
                WRITE_TIMEOUT,
                framing::write_encoded(&mut to, &bytes),
            )
            .await?;
        }
        Ok(())
    };
    let ended = writing.or(reading).await;
    let _ = context.inbox.send(Incoming::Gone(connection)).await;
    ended
}
