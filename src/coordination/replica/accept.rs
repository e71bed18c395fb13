//! Accepts a bounded number of connections and serves each according to the role of the process
//! that opened it: an agent, an operator, another replica or another site.

use crate::coordination::config::Config;
use crate::coordination::framing::{self, FrameError};
use crate::coordination::leader::ConnectionId;
use crate::coordination::messages::{Handshake, PeerRole, MAX_FRAME_BYTES};
use crate::coordination::replica::peers::{refuse, serve_peer};
use crate::coordination::replica::transport::{with_timeout, HANDSHAKE_TIMEOUT, WRITE_TIMEOUT};
use crate::coordination::replica::{site_links, Context, Event, RESOURCE_RETRY_DELAY};
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

/// Number of messages queued for one connection; a client that reads too slowly to stay below it is
/// disconnected.
const CONNECTION_QUEUE_LENGTH: usize = 32;
/// Time without a message from the client after which its connection is closed. Sessions expire
/// sooner.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Share of the connection limit that one open connection holds until it is dropped.
struct ConnectionSlot(Rc<Cell<u64>>);

impl ConnectionSlot {
    fn take(context: &Context) -> Option<ConnectionSlot> {
        let open_connections = context.open_connections.get();
        (open_connections < context.max_connections).then(|| {
            context.open_connections.set(open_connections + 1);
            ConnectionSlot(context.open_connections.clone())
        })
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Accepts connections and starts a task for each.
pub(super) struct Acceptor {
    pub(super) context: Context,
    pub(super) config: Config,
    pub(super) allowed_peers: Rc<RefCell<BTreeSet<IpAddr>>>,
    pub(super) allowed_sites: Rc<RefCell<BTreeSet<IpAddr>>>,
}

/// Roles that a process at an address may have.
#[derive(Clone, Copy)]
struct Permissions {
    agent: bool,
    replica: bool,
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
                Ok(accepted) => accepted,
                Err(e) => {
                    log::warn!("keeper: accept: {e}");
                    self.context.wheel.sleep(RESOURCE_RETRY_DELAY).await;
                    continue;
                }
            };
            let from = from.ip().to_canonical();
            let (agent, replica) = (
                self.config.may_connect(from),
                self.allowed_peers.borrow().contains(&from),
            );
            let permissions = Permissions {
                agent,
                replica,
                site: self.allowed_sites.borrow().contains(&from),
            };
            if !permissions.agent && !permissions.replica && !permissions.site {
                log::warn!("keeper: connection from {from} rejected: address is not allowed");
                continue;
            }
            let Some(slot) = ConnectionSlot::take(&self.context) else {
                log::warn!(
                    "keeper: connection rejected: {} connections are open, which is the limit",
                    self.context.max_connections
                );
                continue;
            };
            let _ = stream.get_ref().set_nodelay(true);
            let context = self.context.clone();
            let connection = async move {
                let _slot = slot;
                if let Err(e) = serve_connection(context, stream, permissions).await {
                    log::debug!("keeper: connection from {from} ended: {e}");
                }
            };
            executor.spawn(connection).detach();
        }
    }
}

/// Reads the handshake of an accepted connection and serves it according to its role.
async fn serve_connection(
    context: Context,
    mut stream: Async<TcpStream>,
    permissions: Permissions,
) -> Result<(), FrameError> {
    let Permissions {
        agent,
        replica,
        site,
    } = permissions;
    let hello: Handshake = with_timeout(
        &context.wheel,
        HANDSHAKE_TIMEOUT,
        framing::read(&mut stream, MAX_FRAME_BYTES),
    )
    .await?;
    if let PeerRole::Site(number) = hello.role {
        let same_federation = context
            .federation
            .as_ref()
            .filter(|(name, own_number)| hello.admit(name).is_ok() && number != *own_number);
        return match same_federation {
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
        (PeerRole::Replica(n), _) if replica => serve_peer(context, stream, n).await,
        (PeerRole::Replica(_), _) => {
            refuse(
                &context,
                stream,
                denied(),
                "that knows no keeper at its address".into(),
            )
            .await
        }
        (PeerRole::Agent, _) if agent => serve_client(context, stream, Event::AgentMessage).await,
        (PeerRole::Operator, _) if agent => {
            serve_client(context, stream, Event::OperatorRequest).await
        }
        _ => Err(denied()),
    }
}

/// Serves the connection of an agent or an operator.
async fn serve_client<T: DeserializeOwned>(
    context: Context,
    stream: Async<TcpStream>,
    to_event: fn(ConnectionId, T) -> Event,
) -> Result<(), FrameError> {
    let connection = context.last_connection.get() + 1;
    context.last_connection.set(connection);
    let (queue, outbox) = async_channel::bounded::<Vec<u8>>(CONNECTION_QUEUE_LENGTH);
    let _ = context
        .inbox
        .send(Event::ConnectionOpened { connection, queue })
        .await;
    let (mut from, mut to) = split(stream);
    let (inbox, wheel) = (context.inbox.clone(), context.wheel.clone());
    let reading = async {
        loop {
            let message = with_timeout(
                &wheel,
                IDLE_TIMEOUT,
                framing::read(&mut from, MAX_FRAME_BYTES),
            )
            .await?;
            let _ = inbox.send(to_event(connection, message)).await;
        }
    };
    let writing = async {
        while let Ok(bytes) = outbox.recv().await {
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
    let _ = context
        .inbox
        .send(Event::ConnectionClosed(connection))
        .await;
    ended
}
