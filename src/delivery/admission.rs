//! Whether messages are taken on now. Asked in the turn in which a message is written down, and
//! once more before its client hears.
//!
//! Between two policies nothing is taken on for a moment: what comes then waits, in order, for less
//! than its client does. For nothing else does anybody wait here.

use crate::delivery::timer_wheel::TimerWheel;
use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A message waits so long for the next policy, at the most: its client hangs up after 400 ms.
pub const WAIT: Duration = Duration::from_millis(300);
/// What a client is told that waited so long in vain: a pause is over soon, or taken back.
const PAUSED: Duration = Duration::from_millis(500);
/// What one is told while the sender may take nothing on: nobody knows for how long.
const FENCED: Duration = Duration::from_secs(2);

/// Who may take on now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Door {
    /// This sender, under its own settings: it follows nobody.
    #[default]
    Free,
    /// This sender, under the current policy.
    Open {
        /// No longer than this; nothing where it gives up the promise that all go by one policy.
        until: Option<Instant>,
    },
    /// Nobody, for the moment between two policies.
    Paused,
    /// Others, perhaps: this sender may have missed a change.
    Fenced,
}

/// Why a message is not taken on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Shut {
    /// It has waited for as long as may be, or as many wait as may be.
    #[error("between two policies")]
    Paused,
    /// Others may go by another policy.
    #[error("the sender may have missed a change of policy")]
    Fenced,
}

impl Shut {
    /// When to come back.
    pub fn wait(self) -> Duration {
        match self {
            Shut::Paused => PAUSED,
            Shut::Fenced => FENCED,
        }
    }
}

/// Owner of the door, and of the line before it.
#[derive(Default)]
pub struct Admission {
    door: Cell<Door>,
    line: RefCell<VecDeque<(u64, Sender<()>)>>,
    named: Cell<u64>,
}

/// A place in the line; dropped, the next one's turn has come.
struct Place {
    admission: Rc<Admission>,
    no: u64,
    turn: Receiver<()>,
}

impl Admission {
    /// Sets the door.
    pub fn set(&self, door: Door) {
        self.door.set(door);
        self.next();
    }

    /// How the door stands: one that was open until a moment that has passed is fenced.
    pub fn door(&self) -> Door {
        match self.door.get() {
            Door::Open { until: Some(until) } if Instant::now() >= until => Door::Fenced,
            door => door,
        }
    }

    /// Whether a message may be taken on in this moment.
    ///
    /// # Errors
    /// It may not.
    pub fn look(&self) -> Result<(), Shut> {
        match self.door() {
            Door::Free | Door::Open { .. } => Ok(()),
            Door::Paused => Err(Shut::Paused),
            Door::Fenced => Err(Shut::Fenced),
        }
    }

    /// Messages that wait.
    pub fn waiting(&self) -> usize {
        self.line.borrow().len()
    }

    /// Comes in when it is this message's turn, behind `most` others at the most. True where it
    /// waited.
    ///
    /// # Errors
    /// It may not be taken on.
    pub async fn enter(self: &Rc<Self>, wheel: &Rc<TimerWheel>, most: usize) -> Result<bool, Shut> {
        match self.look() {
            Ok(()) if self.line.borrow().is_empty() => return Ok(false),
            Ok(()) | Err(Shut::Paused) => {}
            Err(shut) => return Err(shut),
        }
        if self.waiting() >= most {
            return Err(Shut::Paused);
        }
        let (end, place) = (Instant::now() + WAIT, Place::new(self));
        if self.look().is_ok() {
            self.next();
        }
        loop {
            let rest = end.saturating_duration_since(Instant::now());
            match wheel.limit(rest, place.turn.recv()).await {
                None => return Err(Shut::Paused),
                Some(_) => match self.look() {
                    Ok(()) => return Ok(true),
                    Err(Shut::Fenced) => return Err(Shut::Fenced),
                    Err(Shut::Paused) => {}
                },
            }
        }
    }

    /// The first in line is woken, unless it has to wait on.
    fn next(&self) {
        if self.door() != Door::Paused {
            // One that was woken before is on its way.
            if let Some((_, turn)) = self.line.borrow().front() {
                let _ = turn.try_send(());
            }
        }
    }
}

impl Place {
    fn new(admission: &Rc<Admission>) -> Place {
        let no = admission.named.get();
        admission.named.set(no + 1);
        let (sender, turn) = async_channel::bounded(1);
        admission.line.borrow_mut().push_back((no, sender));
        Place {
            admission: admission.clone(),
            no,
            turn,
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut line = self.admission.line.borrow_mut();
        if let Ok(at) = line.binary_search_by_key(&self.no, |(no, _)| *no) {
            line.remove(at);
        }
        drop(line);
        self.admission.next();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use async_executor::LocalExecutor;

    /// What becomes of so many messages that come at once, in the order in which it was known.
    fn come(
        door: Door,
        count: usize,
        most: usize,
        then: &[(u64, Door)],
    ) -> (Vec<(usize, String)>, Duration) {
        let (executor, wheel, admission) = (
            LocalExecutor::new(),
            TimerWheel::new(),
            Rc::new(Admission::default()),
        );
        admission.set(door);
        let (ended, begun) = (Rc::new(RefCell::new(Vec::new())), Instant::now());
        let turning = wheel.clone();
        executor.spawn(async move { turning.turn().await }).detach();
        let tasks: Vec<_> = (0..count)
            .map(|n| {
                let (admission, wheel, ended) = (admission.clone(), wheel.clone(), ended.clone());
                executor.spawn(async move {
                    let came = admission.enter(&wheel, most).await;
                    ended.borrow_mut().push((n, format!("{came:?}")));
                })
            })
            .collect();
        let (changing, timing) = (admission.clone(), wheel.clone());
        let then = then.to_vec();
        executor
            .spawn(async move {
                for (ms, door) in then {
                    timing.until(begun + Duration::from_millis(ms)).await;
                    changing.set(door);
                }
            })
            .detach();
        async_io::block_on(executor.run(async {
            for task in tasks {
                task.await;
            }
        }));
        assert_eq!(admission.waiting(), 0);
        let ended = ended.borrow().clone();
        (ended, begun.elapsed())
    }

    #[test]
    fn messages_wait_through_a_pause_in_order_and_none_waits_otherwise() {
        let open = Door::Open { until: None };
        let (ended, _) = come(Door::Paused, 50, 100, &[(40, Door::Paused), (80, open)]);
        assert_eq!(
            ended,
            (0..50)
                .map(|n| (n, "Ok(true)".to_string()))
                .collect::<Vec<_>>()
        );
        for (door, told) in [
            (Door::Free, "Ok(false)"),
            (open, "Ok(false)"),
            (Door::Fenced, "Err(Fenced)"),
        ] {
            let (ended, took) = come(door, 3, 100, &[]);
            assert!(
                ended.iter().all(|(_, e)| e == told) && took < WAIT / 2,
                "{door:?} {ended:?} {took:?}"
            );
        }
    }

    #[test]
    fn a_pause_that_lasts_refuses_in_time_and_a_line_that_is_full_at_once() {
        let (ended, took) = come(Door::Paused, 5, 3, &[]);
        assert!(ended.iter().all(|(_, e)| e == "Err(Paused)"), "{ended:?}");
        assert_eq!(
            ended[..2].iter().map(|(n, _)| *n).collect::<Vec<_>>(),
            [3, 4]
        );
        assert!(
            took >= WAIT && took < WAIT + Duration::from_millis(90),
            "{took:?}"
        );
    }

    #[test]
    fn a_lease_that_ends_fences_those_who_come_and_those_who_wait() {
        let past = Door::Open {
            until: Some(Instant::now()),
        };
        assert!(come(past, 2, 9, &[])
            .0
            .iter()
            .all(|(_, e)| e == "Err(Fenced)"));
        let (ended, took) = come(Door::Paused, 3, 9, &[(30, Door::Fenced)]);
        assert!(
            ended.iter().all(|(_, e)| e == "Err(Fenced)") && took < WAIT / 2,
            "{ended:?}"
        );
    }
}
