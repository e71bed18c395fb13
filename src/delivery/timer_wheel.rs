//! Timer wheel with coarse ticks, which is used for every timed wait of a sender.
//!
//! The wheel owns all sleeps of the process's only thread and the task that wakes them
//! ([`TimerWheel::run`]). A sleep ends at the first tick at or after its time, never before.

use crate::delivery::signal::Signal;
use async_io::Timer;
use futures_lite::{future, Future, FutureExt};
use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Length of a tick. The dispatcher's times have no finer resolution either.
const TICK: Duration = Duration::from_millis(5);
/// Ticks in one round of the wheel.
const SLOT_COUNT: u64 = 512;

/// A sleep that has not ended.
struct Sleeper {
    tick: u64,
    key: u64,
    waker: Waker,
}

/// The sleepers by the tick at which they are due, modulo [`SLOT_COUNT`].
struct Slots {
    ring: Vec<Vec<Sleeper>>,
    /// Last tick whose sleepers were woken.
    last_tick: u64,
    /// Tick that [`TimerWheel::run`] waits for; `None` while there are no sleepers.
    next_stop: Option<u64>,
    last_key: u64,
}

impl Slots {
    fn new() -> Self {
        Slots {
            ring: (0..SLOT_COUNT).map(|_| Vec::new()).collect(),
            last_tick: 0,
            next_stop: None,
            last_key: 0,
        }
    }

    fn slot(&self, tick: u64) -> &Vec<Sleeper> {
        &self.ring[(tick % SLOT_COUNT) as usize]
    }

    fn slot_mut(&mut self, tick: u64) -> &mut Vec<Sleeper> {
        &mut self.ring[(tick % SLOT_COUNT) as usize]
    }

    fn insert(&mut self, tick: u64, waker: Waker) -> u64 {
        self.last_key += 1;
        let key = self.last_key;
        self.slot_mut(tick).push(Sleeper { tick, key, waker });
        key
    }

    fn remove(&mut self, tick: u64, key: u64) {
        self.slot_mut(tick).retain(|sleeper| sleeper.key != key);
    }

    /// Returns the next tick to stop at: the first one with a due sleeper, or the end of this round
    /// if all sleepers are due later.
    fn find_next_stop(&self) -> Option<u64> {
        let round_end = self.last_tick + SLOT_COUNT;
        let is_due = |tick: &u64| self.slot(*tick).iter().any(|s| s.tick == *tick);
        let due = (self.last_tick + 1..=round_end).find(is_due);
        if due.is_some() {
            return due;
        }
        let has_sleepers = self.ring.iter().any(|slot| !slot.is_empty());
        has_sleepers.then_some(round_end)
    }

    /// Advances to a tick, and removes and returns all sleepers that are due by then.
    fn advance(&mut self, now: u64) -> Vec<Sleeper> {
        let mut due = Vec::new();
        // One round visits every slot, however many ticks have passed.
        for tick in (self.last_tick + 1..=now).take(SLOT_COUNT as usize) {
            let slot = self.slot_mut(tick);
            let (ended, later): (Vec<_>, Vec<_>) = std::mem::take(slot)
                .into_iter()
                .partition(|s| s.tick <= now);
            *slot = later;
            due.extend(ended);
        }
        self.last_tick = self.last_tick.max(now);
        due
    }
}

/// The timer wheel.
pub struct TimerWheel {
    started_at: Instant,
    slots: RefCell<Slots>,
    /// Set when a new sleep ends before the tick that [`TimerWheel::run`] waits for.
    sooner_stop: Signal,
}

impl TimerWheel {
    /// Creates a wheel that wakes no sleeper until [`TimerWheel::run`] runs.
    pub fn new() -> Rc<Self> {
        Rc::new(TimerWheel {
            started_at: Instant::now(),
            slots: RefCell::new(Slots::new()),
            sooner_stop: Signal::new(),
        })
    }

    /// Returns the number of sleeps that have not ended.
    pub fn sleeping(&self) -> usize {
        self.slots.borrow().ring.iter().map(Vec::len).sum()
    }

    /// Wakes the sleepers when they are due; runs forever.
    pub async fn run(&self) {
        loop {
            let next_stop = self.slots.borrow().find_next_stop();
            self.slots.borrow_mut().next_stop = next_stop;
            let stop = async {
                match next_stop {
                    Some(tick) => drop(Timer::at(self.started_at + tick_offset(tick)).await),
                    None => future::pending().await,
                }
            };
            stop.or(self.sooner_stop.wait()).await;
            let now = (self.started_at.elapsed().as_nanos() / TICK.as_nanos()) as u64;
            let due = self.slots.borrow_mut().advance(now);
            for sleeper in due {
                sleeper.waker.wake();
            }
        }
    }

    /// Sleeps for a duration, rounded up to the next tick.
    pub fn sleep(self: &Rc<Self>, time: Duration) -> Sleep {
        self.sleep_until(Instant::now() + time)
    }

    /// Sleeps until the first tick at or after a moment.
    pub fn sleep_until(self: &Rc<Self>, moment: Instant) -> Sleep {
        let offset = moment.saturating_duration_since(self.started_at);
        Sleep {
            wheel: self.clone(),
            tick: offset.as_nanos().div_ceil(TICK.as_nanos()) as u64,
            key: None,
        }
    }

    /// Runs work for a limited time. Returns `None`, and drops the work, if it takes longer.
    pub async fn timeout<T>(
        self: &Rc<Self>,
        time: Duration,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let sleep = self.sleep(time);
        let timed_out = async {
            sleep.await;
            None
        };
        async { Some(work.await) }.or(timed_out).await
    }
}

/// Future that ends at a tick. Dropping it removes the sleeper from the wheel.
pub struct Sleep {
    wheel: Rc<TimerWheel>,
    tick: u64,
    /// Key of its sleeper on the wheel, while it waits.
    key: Option<u64>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let wheel = self.wheel.clone();
        let mut slots = wheel.slots.borrow_mut();
        if let Some(key) = self.key.take() {
            slots.remove(self.tick, key);
        }
        if self.tick <= slots.last_tick {
            return Poll::Ready(());
        }
        self.key = Some(slots.insert(self.tick, cx.waker().clone()));
        if slots.next_stop.is_none_or(|stop| self.tick < stop) {
            wheel.sooner_stop.set();
        }
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.wheel.slots.borrow_mut().remove(self.tick, key);
        }
    }
}

/// Returns the time from the start of the wheel to a tick. It is computed in nanoseconds because
/// `Duration` can only be multiplied by a 32-bit number, and tick numbers exceed 32 bits after 250
/// days.
fn tick_offset(tick: u64) -> Duration {
    Duration::from_nanos(TICK.as_nanos() as u64 * tick)
}
