//! Accepts connections, bounded in number, and serves each by who opened it: an agent, a person, another replica or another site.

use super::peers::{hear_keeper, shut_out};
use super::transport::{within, INTRODUCTION, STUCK};
use super::{sites, Door, In, LATER};
use crate::keeper::config::Config;
use crate::keeper::frames::{self, Broken};
use crate::keeper::leader::Line;
use crate::keeper::wire::{Hello, Who, MOST};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::io::split;
use futures_lite::{AsyncWriteExt, FutureExt};
use serde::de::DeserializeOwned;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::{IpAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Words that wait for a line: an agent that reads so slowly is dropped.
const QUEUE: usize = 32;
/// A line on which nobody says anything for so long is ended; sessions hold for less.
const IDLE: Duration = Duration::from_secs(60);

/// Counts a line for as long as it lives.
struct Seat(Rc<Cell<u64>>);

impl Seat {
    fn take(door: &Door) -> Option<Seat> {
        let open = door.open.get();
        (open < door.most).then(|| {
            door.open.set(open + 1);
            Seat(door.open.clone())
        })
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Takes connections.
pub(super) struct Gate {
    pub(super) door: Door,
    pub(super) config: Config,
    pub(super) allowed: Rc<RefCell<BTreeSet<IpAddr>>>,
    pub(super) sites: Rc<RefCell<BTreeSet<IpAddr>>>,
}

/// Who may speak from an address.
#[derive(Clone, Copy)]
struct May {
    agent: bool,
    keeper: bool,
    site: bool,
}

impl Gate {
    pub(super) async fn accept(self, listener: Async<TcpListener>, executor: Rc<LocalExecutor<'static>>) {
        loop {
            let (stream, from) = match listener.accept().await {
                Ok(come) => come,
                Err(e) => {
                    log::warn!("keeper: accept: {e}");
                    self.door.wheel.sleep(LATER).await;
                    continue;
                }
            };
            let from = from.ip().to_canonical();
            let (agent, keeper) = (self.config.may_ask(from), self.allowed.borrow().contains(&from));
            let may = May { agent, keeper, site: self.sites.borrow().contains(&from) };
            if !may.agent && !may.keeper && !may.site {
                log::warn!("keeper: {from} may not speak here");
                continue;
            }
            let Some(seat) = Seat::take(&self.door) else {
                log::warn!("keeper: {} lines are open, more may not be", self.door.most);
                continue;
            };
            let _ = stream.get_ref().set_nodelay(true);
            let door = self.door.clone();
            let line = async move {
                let _seat = seat;
                if let Err(e) = hear(door, stream, may).await {
                    log::debug!("keeper: a line of {from}: {e}");
                }
            };
            executor.spawn(line).detach();
        }
    }
}

/// A line that somebody opened.
async fn hear(door: Door, mut stream: Async<TcpStream>, may: May) -> Result<(), Broken> {
    let May { agent, keeper, site } = may;
    let hello: Hello = within(&door.wheel, INTRODUCTION, frames::read(&mut stream, MOST)).await?;
    if let Who::Site(number) = hello.who {
        let here = door.federation.as_ref().filter(|(name, me)| hello.admit(name).is_ok() && number != *me);
        return match here {
            Some(_) if site => sites::hear_site(door, stream, number).await,
            _ => sites::shut_out(&door, stream).await,
        };
    }
    let admitted = hello.admit(&door.site);
    let denied = || Broken::Io(std::io::ErrorKind::PermissionDenied.into());
    match (hello.who, admitted) {
        (Who::Keeper(_), Err(e)) => shut_out(&door, stream, e, format!("of site {:?}", door.site)).await,
        (_, Err(e)) => Err(e),
        (Who::Keeper(n), _) if keeper => hear_keeper(door, stream, n).await,
        (Who::Keeper(_), _) => {
            shut_out(&door, stream, denied(), "that knows no keeper at its address".into()).await
        }
        (Who::Agent, _) if agent => hear_line(door, stream, In::Agent).await,
        (Who::Person, _) if agent => hear_line(door, stream, In::Person).await,
        _ => Err(denied()),
    }
}

/// The line of an agent or a person.
async fn hear_line<T: DeserializeOwned>(
    door: Door,
    stream: Async<TcpStream>,
    bring: fn(Line, T) -> In,
) -> Result<(), Broken> {
    let line = door.next.get() + 1;
    door.next.set(line);
    let (queue, going) = async_channel::bounded::<Vec<u8>>(QUEUE);
    let _ = door.inbox.send(In::Opened { line, queue }).await;
    let (mut from, mut to) = split(stream);
    let (inbox, wheel) = (door.inbox.clone(), door.wheel.clone());
    let reading = async {
        loop {
            let word = within(&wheel, IDLE, frames::read(&mut from, MOST)).await?;
            let _ = inbox.send(bring(line, word)).await;
        }
    };
    let writing = async {
        while let Ok(bytes) = going.recv().await {
            within(&wheel, STUCK, async { Ok(to.write_all(&bytes).await?) }).await?;
        }
        Ok(())
    };
    let ended = writing.or(reading).await;
    let _ = door.inbox.send(In::Gone(line)).await;
    ended
}
