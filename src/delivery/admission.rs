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
pub const MAX_WAIT: Duration = Duration::from_millis(300);
/// What a client is told that waited so long in vain: a pause is over soon, or taken back.
const PAUSED: Duration = Duration::from_millis(500);
/// What one is told while the sender may take nothing on: nobody knows for how long.
const FENCED: Duration = Duration::from_secs(2);

/// Who may take on now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AdmissionState {
    /// This sender, under its own settings: it follows nobody.
    #[default]
    Standalone,
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
pub enum AdmissionClosed {
    /// It has waited for as long as may be, or as many wait as may be.
    #[error("between two policies")]
    Paused,
    /// Others may go by another policy.
    #[error("the sender may have missed a change of policy")]
    Fenced,
}

impl AdmissionClosed {
    /// When to come back.
    pub fn retry_after(self) -> Duration {
        match self {
            AdmissionClosed::Paused => PAUSED,
            AdmissionClosed::Fenced => FENCED,
        }
    }
}

/// Owner of the door, and of the line before it.
#[derive(Default)]
pub struct Admission {
    door: Cell<AdmissionState>,
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
    pub fn set(&self, door: AdmissionState) {
        self.door.set(door);
        self.next();
    }

    /// How the door stands: one that was open until a moment that has passed is fenced.
    pub fn state(&self) -> AdmissionState {
        match self.door.get() {
            AdmissionState::Open { until: Some(until) } if Instant::now() >= until => {
                AdmissionState::Fenced
            }
            door => door,
        }
    }

    /// Whether a message may be taken on in this moment.
    ///
    /// # Errors
    /// It may not.
    pub fn check(&self) -> Result<(), AdmissionClosed> {
        match self.state() {
            AdmissionState::Standalone | AdmissionState::Open { .. } => Ok(()),
            AdmissionState::Paused => Err(AdmissionClosed::Paused),
            AdmissionState::Fenced => Err(AdmissionClosed::Fenced),
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
    pub async fn wait_for_turn(
        self: &Rc<Self>,
        wheel: &Rc<TimerWheel>,
        most: usize,
    ) -> Result<bool, AdmissionClosed> {
        match self.check() {
            Ok(()) if self.line.borrow().is_empty() => return Ok(false),
            Ok(()) | Err(AdmissionClosed::Paused) => {}
            Err(shut) => return Err(shut),
        }
        if self.waiting() >= most {
            return Err(AdmissionClosed::Paused);
        }
        let (end, place) = (Instant::now() + MAX_WAIT, Place::new(self));
        if self.check().is_ok() {
            self.next();
        }
        loop {
            let rest = end.saturating_duration_since(Instant::now());
            match wheel.timeout(rest, place.turn.recv()).await {
                None => return Err(AdmissionClosed::Paused),
                Some(_) => match self.check() {
                    Ok(()) => return Ok(true),
                    Err(AdmissionClosed::Fenced) => return Err(AdmissionClosed::Fenced),
                    Err(AdmissionClosed::Paused) => {}
                },
            }
        }
    }

    /// The first in line is woken, unless it has to wait on.
    fn next(&self) {
        if self.state() != AdmissionState::Paused {
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
        door: AdmissionState,
        count: usize,
        most: usize,
        then: &[(u64, AdmissionState)],
    ) -> (Vec<(usize, String)>, Duration) {
        let (executor, wheel, admission) = (
            LocalExecutor::new(),
            TimerWheel::new(),
            Rc::new(Admission::default()),
        );
        admission.set(door);
        let (ended, begun) = (Rc::new(RefCell::new(Vec::new())), Instant::now());
        let turning = wheel.clone();
        executor.spawn(async move { turning.run().await }).detach();
        let tasks: Vec<_> = (0..count)
            .map(|n| {
                let (admission, wheel, ended) = (admission.clone(), wheel.clone(), ended.clone());
                executor.spawn(async move {
                    let came = admission.wait_for_turn(&wheel, most).await;
                    ended.borrow_mut().push((n, format!("{came:?}")));
                })
            })
            .collect();
        let (changing, timing) = (admission.clone(), wheel.clone());
        let then = then.to_vec();
        executor
            .spawn(async move {
                for (ms, door) in then {
                    timing.sleep_until(begun + Duration::from_millis(ms)).await;
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
        let open = AdmissionState::Open { until: None };
        let (ended, _) = come(
            AdmissionState::Paused,
            50,
            100,
            &[(40, AdmissionState::Paused), (80, open)],
        );
        assert_eq!(
            ended,
            (0..50)
                .map(|n| (n, "Ok(true)".to_string()))
                .collect::<Vec<_>>()
        );
        for (door, told) in [
            (AdmissionState::Standalone, "Ok(false)"),
            (open, "Ok(false)"),
            (AdmissionState::Fenced, "Err(Fenced)"),
        ] {
            let (ended, took) = come(door, 3, 100, &[]);
            assert!(
                ended.iter().all(|(_, e)| e == told) && took < MAX_WAIT / 2,
                "{door:?} {ended:?} {took:?}"
            );
        }
    }

    #[test]
    fn a_pause_that_lasts_refuses_in_time_and_a_line_that_is_full_at_once() {
        let (ended, took) = come(AdmissionState::Paused, 5, 3, &[]);
        assert!(ended.iter().all(|(_, e)| e == "Err(Paused)"), "{ended:?}");
        assert_eq!(
            ended[..2].iter().map(|(n, _)| *n).collect::<Vec<_>>(),
            [3, 4]
        );
        assert!(
            took >= MAX_WAIT && took < MAX_WAIT + Duration::from_millis(90),
            "{took:?}"
        );
    }

    #[test]
    fn a_lease_that_ends_fences_those_who_come_and_those_who_wait() {
        let past = AdmissionState::Open {
            until: Some(Instant::now()),
        };
        assert!(come(past, 2, 9, &[])
            .0
            .iter()
            .all(|(_, e)| e == "Err(Fenced)"));
        let (ended, took) = come(
            AdmissionState::Paused,
            3,
            9,
            &[(30, AdmissionState::Fenced)],
        );
        assert!(
            ended.iter().all(|(_, e)| e == "Err(Fenced)") && took < MAX_WAIT / 2,
            "{ended:?}"
        );
    }
}
