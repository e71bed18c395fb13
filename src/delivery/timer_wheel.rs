//! The only timers: coarse ticks on a wheel. A sleep ends at the first tick at or after its time,
//! never before.

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::{future, Future, FutureExt};
use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Length of a tick; the module's own world moves in steps of this size.
const TICK: Duration = Duration::from_millis(5);
/// Ticks in one turn of the wheel.
const SLOTS: u64 = 512;

struct Entry {
    tick: u64,
    key: u64,
    waker: Waker,
}

#[derive(Default)]
struct Slots {
    ring: Vec<Vec<Entry>>,
    /// The last tick whose sleepers were woken.
    passed: u64,
    /// The tick that the turning task waits for.
    next: Option<u64>,
    key: u64,
}

impl Slots {
    fn insert(&mut self, tick: u64, waker: Waker) -> u64 {
        self.key += 1;
        self.ring[(tick % SLOTS) as usize].push(Entry {
            tick,
            key: self.key,
            waker,
        });
        self.key
    }

    fn remove(&mut self, tick: u64, key: u64) {
        self.ring[(tick % SLOTS) as usize].retain(|e| e.key != key);
    }

    /// The next tick worth stopping at: one with sleepers, or a whole turn on if all of them are
    /// further off.
    fn ahead(&self) -> Option<u64> {
        let turn = self.passed + 1..=self.passed + SLOTS;
        let due = turn
            .clone()
            .find(|t| self.ring[(t % SLOTS) as usize].iter().any(|e| e.tick == *t));
        due.or_else(|| {
            self.ring
                .iter()
                .any(|s| !s.is_empty())
                .then_some(*turn.end())
        })
    }

    fn pass(&mut self, now: u64) -> Vec<Entry> {
        let mut due = Vec::new();
        for tick in (self.passed + 1..=now).take(SLOTS as usize) {
            let slot = &mut self.ring[(tick % SLOTS) as usize];
            let (over, rest) = std::mem::take(slot)
                .into_iter()
                .partition(|e| e.tick <= now);
            *slot = rest;
            due.extend::<Vec<Entry>>(over);
        }
        self.passed = self.passed.max(now);
        due
    }
}

/// Owner of all sleeps.
pub struct TimerWheel {
    start: Instant,
    slots: RefCell<Slots>,
    sooner: (Sender<()>, Receiver<()>),
}

impl TimerWheel {
    /// A wheel that stands still until [`TimerWheel::turn`] runs.
    pub fn new() -> Rc<Self> {
        let ring = (0..SLOTS).map(|_| Vec::new()).collect();
        let slots = RefCell::new(Slots {
            ring,
            ..Slots::default()
        });
        Rc::new(TimerWheel {
            start: Instant::now(),
            slots,
            sooner: async_channel::bounded(1),
        })
    }

    /// Sleeps that have not ended.
    pub fn sleeping(&self) -> usize {
        self.slots.borrow().ring.iter().map(Vec::len).sum()
    }

    /// Turns the wheel for ever.
    pub async fn run(&self) {
        loop {
            let next = self.slots.borrow().ahead();
            self.slots.borrow_mut().next = next;
            let tick = async {
                match next {
                    Some(t) => drop(Timer::at(self.start + ticks(t)).await),
                    None => future::pending().await,
                }
            };
            let sooner = async {
                let _ = self.sooner.1.recv().await;
            };
            tick.or(sooner).await;
            let now = (self.start.elapsed().as_nanos() / TICK.as_nanos()) as u64;
            let due = self.slots.borrow_mut().pass(now);
            due.into_iter().for_each(|e| e.waker.wake());
        }
    }

    /// Sleeps for a while, to the next tick.
    pub fn sleep(self: &Rc<Self>, time: Duration) -> Sleep {
        self.sleep_until(Instant::now() + time)
    }

    /// Sleeps to the first tick at or after a moment.
    pub fn sleep_until(self: &Rc<Self>, at: Instant) -> Sleep {
        let tick = at
            .saturating_duration_since(self.start)
            .as_nanos()
            .div_ceil(TICK.as_nanos());
        Sleep {
            wheel: self.clone(),
            tick: tick as u64,
            key: None,
        }
    }

    /// Runs work, which is dropped if the time ends first.
    pub async fn timeout<T>(
        self: &Rc<Self>,
        time: Duration,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let sleep = self.sleep(time);
        let late = async {
            sleep.await;
            None
        };
        async { Some(work.await) }.or(late).await
    }
}

/// One sleep; dropped, it leaves the wheel.
pub struct Sleep {
    wheel: Rc<TimerWheel>,
    tick: u64,
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
        if self.tick <= slots.passed {
            return Poll::Ready(());
        }
        self.key = Some(slots.insert(self.tick, cx.waker().clone()));
        if slots.next.is_none_or(|n| self.tick < n) {
            // A full channel means that the turning task is about to look anyway.
            let _ = wheel.sooner.0.try_send(());
        }
        Poll::Pending
    }
}

/// A multiplication of durations takes 32 bits, which 250 days of ticks would leave.
fn ticks(n: u64) -> Duration {
    Duration::from_nanos(TICK.as_nanos() as u64 * n)
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.wheel.slots.borrow_mut().remove(self.tick, key);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn on_wheel<T>(work: impl Future<Output = T>, wheel: &TimerWheel) -> T {
        let turning = async {
            wheel.run().await;
            unreachable!("the wheel turns for ever")
        };
        async_io::block_on(work.or(turning))
    }

    #[test]
    fn sleeps_end_in_order_and_never_early() {
        let wheel = TimerWheel::new();
        let start = Instant::now();
        let slept = |ms: u64| {
            let sleep = wheel.sleep(Duration::from_millis(ms));
            async move {
                sleep.await;
                assert!(start.elapsed() >= Duration::from_millis(ms));
                ms
            }
        };
        on_wheel(
            async {
                let (long, short) = (slept(60), slept(12));
                assert_eq!(long.or(short).await, 12);
                assert_eq!(slept(30).await, 30);
            },
            &wheel,
        );
    }

    #[test]
    fn a_sleep_longer_than_a_turn_waits_for_its_own_round() {
        let mut slots = Slots {
            ring: (0..SLOTS).map(|_| Vec::new()).collect(),
            ..Slots::default()
        };
        slots.insert(SLOTS + 3, Waker::noop().clone());
        assert_eq!(slots.ahead(), Some(SLOTS));
        assert!(slots.pass(3).is_empty() && slots.pass(SLOTS).is_empty());
        assert_eq!(slots.ahead(), Some(SLOTS + 3));
        assert_eq!(slots.pass(SLOTS + 3).len(), 1);
        assert_eq!(slots.ahead(), None);
    }

    #[test]
    fn a_wheel_that_was_held_up_for_turns_wakes_all_that_is_due() {
        let mut slots = Slots {
            ring: (0..SLOTS).map(|_| Vec::new()).collect(),
            ..Slots::default()
        };
        for tick in [1, 7, SLOTS + 1, 2 * SLOTS] {
            slots.insert(tick, Waker::noop().clone());
        }
        assert_eq!(slots.pass(3 * SLOTS).len(), 4);
    }

    #[test]
    fn a_year_of_ticks_is_a_year() {
        assert_eq!(ticks(200 * 86_400 * 366), Duration::from_secs(86_400 * 366));
    }

    #[test]
    fn a_dropped_sleep_leaves_the_wheel() {
        let wheel = TimerWheel::new();
        on_wheel(wheel.timeout(Duration::from_secs(60), async {}), &wheel)
            .expect("work ends first");
        assert_eq!(wheel.slots.borrow().ahead(), None);
    }
}
