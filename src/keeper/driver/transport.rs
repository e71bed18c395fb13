//! What connections to other replicas and to other sites have in common: limits of time, signs of life, attempts to connect.

use super::{Door, In, LASTS};
use crate::core::wheel::Wheel;
use crate::keeper::frames::{self, Broken};
use async_channel::Receiver;
use async_io::Async;
use futures_lite::io::split;
use futures_lite::{AsyncWriteExt, FutureExt};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// To say who one is, and to connect.
pub(super) const INTRODUCTION: Duration = Duration::from_secs(2);
/// One that does not take a word for so long is ended.
pub(super) const STUCK: Duration = Duration::from_secs(5);
/// Between two signs of life to a keeper that sends, and how long it waits for one.
pub(super) const PULSE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(2_500));
/// Between two attempts to reach a keeper; the real time is drawn from there to twice as long.
const AGAIN: Duration = Duration::from_millis(100);

/// What is known of the line to another keeper.
#[derive(Default)]
pub(super) struct Reach {
    pub(super) up: Cell<bool>,
    /// Why there is none.
    pub(super) why: RefCell<String>,
    /// When that was last told, and what.
    pub(super) told: RefCell<Option<(Instant, String)>>,
}

impl Reach {
    /// The line has ended, and why if it broke: told once, and again where that is `new`.
    pub(super) fn ended(&self, who: &str, ended: Result<(), Broken>, new: bool) {
        let why = ended.err().map(|e| e.to_string());
        *self.why.borrow_mut() = why.clone().unwrap_or_default();
        let Some(why) = why else { return };
        let known = |(at, before): &(Instant, String)| *before == why || at.elapsed() < LASTS;
        let mut told = self.told.borrow_mut();
        if new || !told.as_ref().is_some_and(known) {
            log::info!("{who}: is not reached: {why}");
            *told = Some((Instant::now(), why));
        }
    }
}

/// Work that has to be done in time.
pub(super) async fn within<T>(
    wheel: &Rc<Wheel>,
    time: Duration,
    work: impl std::future::Future<Output = Result<T, Broken>>,
) -> Result<T, Broken> {
    let late = || Broken::Io(std::io::ErrorKind::TimedOut.into());
    wheel.limit(time, work).await.unwrap_or_else(|| Err(late()))
}

/// Brings in what another one says, and tells it that this one lives, until the line breaks or another one takes its place.
pub(super) async fn hear_words<T: Serialize + DeserializeOwned>(
    door: &Door,
    stream: Async<TcpStream>,
    (pulse, most): (&T, usize),
    ended: &Receiver<()>,
    bring: impl Fn(T) -> Result<In, Broken>,
) -> Result<(), Broken> {
    let (mut from, mut to) = split(stream);
    let reading = async {
        loop {
            let word = bring(frames::read(&mut from, most).await?)?;
            let _ = door.inbox.send(word).await;
        }
    };
    let living = async {
        loop {
            within(&door.wheel, STUCK, frames::write(&mut to, pulse, most)).await?;
            door.wheel.sleep(PULSE.0).await;
        }
    };
    let replaced = async {
        let _ = ended.recv().await;
        Ok(())
    };
    reading.or(living).or(replaced).await
}

/// Sends what is to be said, for as long as there are signs of life and the other one is who it should be; tells of each of those signs.
pub(super) async fn send_words<T: DeserializeOwned>(
    door: &Door,
    stream: Async<TcpStream>,
    most: usize,
    going: &Receiver<Vec<u8>>,
    up: &Cell<bool>,
    lives: impl Fn(),
) -> Result<(), Broken> {
    let (mut from, mut to) = split(stream);
    let writing = async {
        while let Ok(bytes) = going.recv().await {
            within(&door.wheel, STUCK, async { Ok(to.write_all(&bytes).await?) }).await?;
        }
        Ok(())
    };
    let listening = async {
        while up.get() {
            within(&door.wheel, PULSE.1, frames::read::<T>(&mut from, most)).await?;
            lives();
        }
        Ok(())
    };
    writing.or(listening).await
}

/// When another attempt is made to reach somebody.
pub(super) fn again() -> Duration {
    AGAIN + Duration::from_millis(fastrand::u64(0..=AGAIN.as_millis() as u64))
}
