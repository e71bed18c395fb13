//! When a sender polls the directory for its endpoint list, and how long its present list may be
//! trusted.
//!
//! Decides: the time of the next poll and whether the list is stale. Inputs: responses, failures
//! and watch events of the directory, the number of senders, and the state noted by the previous
//! process. Callers: the dispatcher; the platform's watch takes its time-out from here, and the
//! restart note records the cost of a poll. No I/O and no clock: the caller passes the time and
//! random numbers.
//!
//! The directory serves polls one after another. It fails those that wait too long in its queue,
//! but still processes them. Senders that all poll at the same time get no response, and neither do
//! senders that poll again before the queue is processed. Polls are therefore spread over the time
//! that the directory needs for all senders, less the time that polls may wait in its queue and
//! with an allowance for random bunching. The cost of a poll, and whether polls overload the
//! directory, is learned from the responses.
//!
//! By the operators' rules a sender must know a change of the list a certain time after the
//! directory has it, whether or not a poll succeeded. A list that may lack such a change is stale,
//! and no new call is made while it is.

use crate::dispatch::rate_quota::MANY_SENDERS;
use crate::dispatch::statistics::{from_secs, to_secs, MS, SEC};
use crate::{Nanos, Settings};
use std::fmt;

/// Assumed cost of one poll to the directory before a response has shown a lower one, in seconds;
/// observed: 55 ms.
const INITIAL_POLL_COST_SECONDS: f64 = 0.055;
/// Lower bound of the assumed cost, in seconds; below it spreading polls has no effect.
const MIN_POLL_COST_SECONDS: f64 = 0.002;
/// Upper bound of the assumed cost, in seconds; above it a large fleet would never receive a list.
const MAX_POLL_COST_SECONDS: f64 = 1.0;
/// Time that polls may wait in the directory's queue, in seconds. The directory gives up after 3 s,
/// and the network takes some of that.
const MAX_QUEUE_SECONDS: f64 = 2.9;
/// Standard deviations, in the middle of the span, by which polls may arrive earlier than evenly
/// spread before some of them fail. At 3.5 the queue exceeds its limit at some point in one start
/// in 460 (`exp(-CHANCE_DEVIATIONS^2 / 2)`).
const CHANCE_DEVIATIONS: f64 = 3.5;
/// Time in seconds from which on a failed poll is taken to have waited in the queue until the
/// directory gave it up.
const MIN_QUEUED_SECONDS: f64 = 2.5;
/// Time in seconds below which a failed poll is taken as rejected by a directory that is running.
const REJECTED_BELOW_SECONDS: f64 = 1.0;
/// Factor on the assumed cost after a poll failed in the queue. At 2, a directory at a third of its
/// speed keeps an overlong queue for minutes: senders had the list after 231 s, against 50 s at
/// best. At 4, senders of fast directories wait too long: 120 s and 162 s.
const COST_FACTOR_AFTER_QUEUE_FAILURE: f64 = 3.0;
/// Delay before the poll that follows a first failure, in seconds; it doubles with each further
/// failure. It is added to the random delay that spreads the polls of many senders.
const MIN_RETRY_DELAY_SECONDS: f64 = 0.5;
/// Upper bound of that delay, in seconds. Nothing is sent while the list is stale, so a directory
/// that is available again has to be found soon.
const MAX_RETRY_DELAY_SECONDS: f64 = 1.0;
/// Consecutive failures are counted up to this number, to prevent an overflow.
const MAX_COUNTED_FAILURES: i32 = 8;
/// Number of poll deadlines for which a list stays fresh after the start of a failed poll, by the
/// documentation of the settings. After the start of a poll that has not failed it stays fresh for
/// one.
const DEADLINES_AFTER_FAILURE: Nanos = 4;
/// Longest time after a change of the directory's address until a change of the list must be known,
/// by the operators' rules on new configurations; polling does not extend it.
const MAX_FRESH_AFTER_MOVE: Nanos = 4 * SEC;
/// Heartbeat intervals that a watch may be silent before it is given up, whatever the settings say.
const MAX_SILENT_HEARTBEATS: Nanos = 2;
/// Longest time after a change of the list until a sender must know it, counted from when the
/// directory had the change and could be reached, by the operators' rules. Polls, and their
/// results, do not change it.
const MAX_CHANGE_DELAY: Nanos = 6 * SEC;
/// Margin for a delayed event of a watch: a watch that ended later than this after an event was due
/// had fallen silent before.
const SILENCE_MARGIN: Nanos = SEC;
/// Lower bound of the time-out of a poll, in seconds. The directory gives up after 3 s and reports
/// that; a poll that times out later met a silent directory, not a queue.
const MIN_POLL_TIMEOUT_SECONDS: f64 = 3.5;
/// Upper bound of the time-out of a poll where many senders poll, in seconds.
const MAX_POLL_TIMEOUT_SECONDS: f64 = 6.0;

/// Returns the time in seconds over which `senders` spread their polls, where each poll costs the
/// directory `cost` seconds.
pub fn poll_spread(senders: u32, cost: f64) -> f64 {
    if senders < MANY_SENDERS {
        return 0.0;
    }
    let all = f64::from(senders) * cost;
    // After a part u of the span, evenly drawn polls lag by u * spare on average, and by chance *
    // sqrt(u - u^2) more. The maximum of the sum is (spare + sqrt(spare^2 + chance^2)) / 2, which
    // must not exceed the queue.
    let chance = CHANCE_DEVIATIONS * cost * f64::from(senders).sqrt();
    let spare = MAX_QUEUE_SECONDS - chance * chance / (4.0 * MAX_QUEUE_SECONDS);
    // A span a tenth longer than all polls take gives the shortest possible queue.
    (all - spare).clamp(all / 2.0, all * 1.1)
}

/// Returns how many simultaneous polls of `cost` seconds each fit into the directory's queue.
///
/// Until a poll has failed in the queue, a planned restart is assumed to involve no more senders
/// than that, as its real size is unknown. A sender that restarts alone, or with a few others, then
/// hardly waits. Where all senders restart, those that do not fit into the queue have one failed
/// poll each and are then spread over all senders.
fn queue_capacity(cost: f64) -> u32 {
    (MAX_QUEUE_SECONDS / cost) as u32
}

/// Returns the number of senders that poll the same source as this one, itself included.
pub fn senders_polling_together(settings: &Settings) -> u32 {
    if settings.list_pushed {
        1
    } else {
        settings.senders
    }
}

/// Returns the time-out of a poll in seconds. A poll that waits in a long queue is not cancelled
/// early: the directory would still process it, and the next poll would wait behind it.
pub fn poll_timeout(senders: u32) -> f64 {
    (f64::from(senders) * INITIAL_POLL_COST_SECONDS)
        .clamp(MIN_POLL_TIMEOUT_SECONDS, MAX_POLL_TIMEOUT_SECONDS)
}

/// Returns the cost of a poll, in seconds, that a later start may assume after a poll took
/// `took_seconds`. Time in a queue is no part of the cost; and a directory that has just started
/// may be slower than before, so that at least half of the usual cost is assumed.
pub fn plausible_poll_cost(took_seconds: f64) -> f64 {
    took_seconds.clamp(INITIAL_POLL_COST_SECONDS / 2.0, INITIAL_POLL_COST_SECONDS)
}

/// The event that the freshness of the list is based on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FreshnessBasis {
    /// The start of this process; there was no previous process.
    #[default]
    Start,
    /// The note of the previous process.
    RestartNote,
    /// The directory's last response or watch event.
    DirectoryEvent,
    /// A poll during which the directory seemed to be down, in a fleet too large to learn of its
    /// recovery in time.
    SeemingOutage,
    /// A change of the directory's address.
    SourceMoved,
}

/// How fresh the list is, and when the directory is polled, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListStatus {
    /// Whether the list is stale, so that no new call may be made.
    pub is_stale: bool,
    /// Time that the list stays fresh without a further event.
    pub remaining: Nanos,
    /// The event that the freshness is based on.
    pub basis: FreshnessBasis,
    /// Consecutive failures of polls and watches, as far as they are counted.
    pub failures: u32,
    /// Time until the next poll; none during a poll or an open watch.
    pub next_poll_in: Option<Nanos>,
}

impl fmt::Display for ListStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = if self.is_stale { "stale" } else { "fresh" };
        let left_ms = self.remaining / MS;
        write!(f, "{state} basis={:?} left_ms={left_ms}", self.basis)?;
        write!(f, " failures={}", self.failures)?;
        match self.next_poll_in {
            Some(next) => write!(f, " next_poll_ms={}", next / MS),
            None => Ok(()),
        }
    }
}

/// Polls the directory for one sender, and judges how fresh the list is.
#[derive(Debug, Default)]
pub struct EndpointListPoller {
    senders: u32,
    /// Whether an agent pushes the list: then a change must be known as soon as the agent has it.
    list_pushed: bool,
    /// Number of senders, this one included, that are assumed to poll at the same time; all of them
    /// once a poll has shown that there are more.
    polling_together: u32,
    /// Longest time without a poll or a watch (0: unlimited), by the settings.
    deadline: Nanos,
    /// Longest interval between events of a watch (0: it sends changes only).
    heartbeat: Nanos,
    /// Cost of a poll to the directory, as far as observed, in seconds.
    cost: f64,
    /// Consecutive failures since the last response.
    failures: i32,
    /// Time of the next poll.
    next_poll_at: Option<Nanos>,
    /// Start of the poll in progress.
    poll_started_at: Option<Nanos>,
    /// Whether a watch is open that sends changes.
    watching: bool,
    /// Time of the last event of the watch, or the start of the poll that an event answered. Each
    /// event states that nothing else had changed by then.
    last_event_at: Nanos,
    /// Time from which on the list is stale: a change must be known by then, though none was
    /// reported.
    stale_at: Option<Nanos>,
    /// Time until which the list is fresh: [`MAX_CHANGE_DELAY`] after the last event. A failed
    /// poll or an ended watch says nothing of changes and does not extend it, except as in
    /// [`Self::seems_down`].
    fresh_until: Nanos,
    /// The event that [`Self::fresh_until`] is based on.
    freshness_basis: FreshnessBasis,
    /// Whether the directory was running after its last event and may have had a change to report:
    /// a poll was rejected, waited in its queue or was never answered.
    may_have_missed_change: bool,
}

/// Reason why a poll failed, inferred from the time it took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollFailure {
    /// A running directory rejected it.
    Rejected,
    /// The directory was down, or its queue is shorter than assumed.
    Unclear,
    /// The directory gave it up after it had waited in the queue.
    Queued,
    /// No response.
    Unanswered,
}

impl EndpointListPoller {
    /// Creates the poller of a sender that starts at `now`. `draw` returns a uniform random number
    /// from 0 to 1.
    pub fn new(now: Nanos, settings: &Settings, draw: impl FnOnce() -> f64) -> Self {
        let restart = settings.restart_state;
        // Over sockets, where a watch has a heartbeat, changes must be known even where the
        // settings set no deadline for polls.
        let needs_deadline = settings.list_pushed || settings.watch_heartbeat > 0;
        let deadline = if needs_deadline && settings.poll_deadline == 0 {
            MAX_CHANGE_DELAY
        } else {
            settings.poll_deadline
        };
        let senders = senders_polling_together(settings);
        let cost = restart
            .poll_cost_seconds
            .unwrap_or(INITIAL_POLL_COST_SECONDS);
        let polling_together = if restart.planned {
            queue_capacity(cost).min(senders)
        } else {
            senders
        };
        let mut poller = EndpointListPoller {
            senders,
            list_pushed: settings.list_pushed,
            polling_together,
            deadline,
            heartbeat: settings.watch_heartbeat,
            cost,
            ..EndpointListPoller::default()
        };
        poller.next_poll_at = Some(now + poller.random_delay(draw));
        let remaining = restart.remaining_freshness;
        poller.fresh_until = now + remaining.unwrap_or(MAX_CHANGE_DELAY);
        if remaining.is_some() {
            poller.freshness_basis = FreshnessBasis::RestartNote;
        }
        // A change that an agent has must be known even before the first poll: no call is made
        // until the agent has sent its list or reported that it cannot.
        poller.stale_after_deadlines(now, if settings.list_pushed { 0 } else { 1 });
        poller
    }

    /// Records that the directory has another address from now on; a watch at the old address is
    /// lost.
    pub fn source_moved(&mut self, now: Nanos, draw: impl FnOnce() -> f64) {
        // All senders learn of it at the same time.
        self.polling_together = self.senders;
        self.watching = false;
        self.poll_started_at = None;
        self.failures = 0;
        self.next_poll_at = Some(now + self.random_delay(draw));
        if self.deadline > 0 {
            let stale_at = now + self.deadline.min(MAX_FRESH_AFTER_MOVE);
            self.stale_at = Some(self.stale_at.map_or(stale_at, |at| at.min(stale_at)));
        }
        if now + MAX_FRESH_AFTER_MOVE < self.fresh_until {
            self.fresh_until = now + MAX_FRESH_AFTER_MOVE;
            self.freshness_basis = FreshnessBasis::SourceMoved;
        }
        self.may_have_missed_change = false;
    }

    /// Returns a log line if the directory needs longer for the polls of all senders than the
    /// settings allow.
    pub fn overload_warning(&self) -> Option<String> {
        let span = poll_spread(self.senders, self.cost);
        let senders = self.senders;
        (self.deadline > 0 && span > to_secs(self.deadline)).then(|| {
            format!("asks of {senders} senders take the directory {span:.1} s, more than mustAskIn")
        })
    }

    fn random_delay(&self, draw: impl FnOnce() -> f64) -> Nanos {
        match poll_spread(self.polling_together, self.cost) {
            0.0 => 0,
            span => from_secs(draw() * span),
        }
    }

    fn stale_after_deadlines(&mut self, now: Nanos, deadlines: Nanos) {
        self.stale_at = (self.deadline > 0).then(|| now + deadlines * self.deadline);
    }

    /// Starts a poll if one is due, and returns whether it did.
    pub fn begin_due_poll(&mut self, now: Nanos) -> bool {
        let is_due = self.next_poll_at.take_if(|at| *at <= now).is_some();
        if is_due {
            // A poll extends the freshness, but a stale list stays stale until the response.
            if !self.is_stale(now) {
                self.stale_after_deadlines(now, 1);
            }
            self.poll_started_at = Some(now);
        }
        is_due
    }

    /// Records that the directory answered a poll, or sent a change or a heartbeat over the watch.
    /// A cached list that is available from the start is no such event.
    pub fn record_event(&mut self, now: Nanos) {
        // The response may describe the list as of the start of the poll, and nothing later.
        let holds_at = self.poll_started_at.unwrap_or(now);
        if let Some(started) = self.poll_started_at.take() {
            let took = to_secs(now - started);
            self.cost = self.cost.min(took).max(MIN_POLL_COST_SECONDS);
            self.watching = true;
            self.next_poll_at = None;
            self.failures = 0;
            self.stale_at = None;
        }
        if self.watching {
            self.last_event_at = holds_at;
            self.fresh_until = holds_at + MAX_CHANGE_DELAY;
            self.freshness_basis = FreshnessBasis::DirectoryEvent;
            self.may_have_missed_change = false;
        }
    }

    /// Records a failed poll or an ended watch.
    pub fn record_failure(&mut self, now: Nanos, draw: impl FnOnce() -> f64) {
        let started = self.poll_started_at.take();
        if started.is_none() && self.next_poll_at.is_some() {
            return; // no poll was in progress, and the next one is scheduled
        }
        let seconds = MIN_RETRY_DELAY_SECONDS * 2f64.powi(self.failures);
        let gap = from_secs(seconds.min(MAX_RETRY_DELAY_SECONDS));
        self.failures = (self.failures + 1).min(MAX_COUNTED_FAILURES);
        match started {
            Some(started) => self.poll_failed(now, started, gap, draw),
            None => self.watch_ended(now, gap, draw),
        }
    }

    /// Handles the end of a watch, which all senders may have lost at once. A machine that was
    /// suspended may learn of it much later than it happened; where a watch sends changes only,
    /// nothing shows how much later.
    fn watch_ended(&mut self, now: Nanos, gap: Nanos, draw: impl FnOnce() -> f64) {
        self.watching = false;
        self.polling_together = self.senders;
        if self.heartbeat == 0 {
            self.last_event_at = now;
            self.fresh_until = now + MAX_CHANGE_DELAY;
        }
        self.stale_after_deadlines(self.last_event_at, 1);
        let silent_from = self.last_event_at + self.heartbeat + SILENCE_MARGIN;
        if self.list_pushed && now < silent_from {
            self.record_missed_push(now);
        }
        self.next_poll_at = Some(now + gap + self.random_delay(draw));
    }

    fn poll_failed(&mut self, now: Nanos, started: Nanos, gap: Nanos, draw: impl FnOnce() -> f64) {
        let failure = self.poll_failure(to_secs(now - started));
        if self.list_pushed && (failure != PollFailure::Unanswered || self.may_have_missed_change) {
            self.record_missed_push(now);
        } else {
            self.stale_after_deadlines(started, DEADLINES_AFTER_FAILURE);
        }
        self.may_have_missed_change |= failure != PollFailure::Unclear;
        let outage_until = started + MAX_CHANGE_DELAY;
        if self.seems_down() && outage_until > self.fresh_until {
            self.fresh_until = outage_until;
            self.freshness_basis = FreshnessBasis::SeemingOutage;
        }
        let next = match failure {
            PollFailure::Unanswered => {
                // This says nothing of a queue. All senders may be affected, and the list may be
                // stale for as long as no response arrives.
                self.polling_together = self.senders;
                now + gap + self.random_delay(draw)
            }
            PollFailure::Queued => self.after_queue_failure(now, gap, draw),
            PollFailure::Rejected | PollFailure::Unclear => {
                // Each sender keeps its place in the order, so that the queue is no longer than
                // before when polls are served again.
                let span = poll_spread(self.polling_together, self.cost);
                (started + from_secs(span)).max(now + gap)
            }
        };
        self.next_poll_at = Some(next);
    }

    /// Records that a running agent did not send its list: a change must then be known but is not.
    fn record_missed_push(&mut self, now: Nanos) {
        self.may_have_missed_change = true;
        self.stale_after_deadlines(now, 0);
    }

    fn poll_failure(&self, waited_seconds: f64) -> PollFailure {
        if waited_seconds >= poll_timeout(self.senders) {
            PollFailure::Unanswered
        } else if waited_seconds >= MIN_QUEUED_SECONDS {
            PollFailure::Queued
        } else if waited_seconds >= REJECTED_BELOW_SECONDS {
            PollFailure::Unclear
        } else {
            PollFailure::Rejected
        }
    }

    /// Whether the list stays trusted after a failed poll because the directory was down during it
    /// and had reported a change to no sender.
    ///
    /// This applies only in a fleet too large to learn of the directory's recovery before changes
    /// must be known: all its senders would stop together. Smaller fleets learn of it in time and
    /// do without this rule.
    fn seems_down(&self) -> bool {
        let polls_of_all = f64::from(self.senders) * self.cost.min(INITIAL_POLL_COST_SECONDS);
        polls_of_all > to_secs(MAX_CHANGE_DELAY) && !self.may_have_missed_change
    }

    /// Returns the time of the next poll after the queue was too long: more senders polled than
    /// assumed, or a poll costs more. The directory first processes everything in its queue, the
    /// failed polls as well.
    fn after_queue_failure(&mut self, now: Nanos, gap: Nanos, draw: impl FnOnce() -> f64) -> Nanos {
        if self.polling_together == self.senders {
            self.cost = (self.cost * COST_FACTOR_AFTER_QUEUE_FAILURE).min(MAX_POLL_COST_SECONDS);
        }
        self.polling_together = self.senders;
        let queue = from_secs(poll_spread(self.senders, self.cost));
        now + gap + queue + self.random_delay(draw)
    }

    /// Returns how long the list may still be trusted without a further event, in nanoseconds.
    pub fn remaining_freshness(&self, now: Nanos) -> Nanos {
        self.fresh_until.saturating_sub(now)
    }

    /// Returns how fresh the list is, and when the directory is polled next.
    pub fn status(&self, now: Nanos) -> ListStatus {
        ListStatus {
            is_stale: self.is_stale(now),
            remaining: self.remaining_freshness(now),
            basis: self.freshness_basis,
            failures: self.failures.unsigned_abs(),
            next_poll_in: self.next_poll_at.map(|at| at.saturating_sub(now)),
        }
    }

    /// Returns the time of the next poll.
    pub fn next_poll_at(&self) -> Option<Nanos> {
        self.next_poll_at
    }

    /// Whether the list has been without an event for so long that it may lack a change that must
    /// be known by now. The callable endpoints are not known then, and no new call is made.
    pub fn is_stale(&self, now: Nanos) -> bool {
        if self.watching {
            return self.is_watch_stale(now);
        }
        let has_expired = self.deadline > 0 && now >= self.fresh_until;
        self.stale_at.is_some_and(|at| now >= at) || has_expired
    }

    /// Whether the list is stale during an open watch. A watch with a heartbeat is only as fresh as
    /// its last event, whether this machine or the directory was suspended.
    fn is_watch_stale(&self, now: Nanos) -> bool {
        if self.heartbeat == 0 || self.deadline == 0 {
            return false;
        }
        let least = (MAX_SILENT_HEARTBEATS * self.heartbeat).min(MAX_CHANGE_DELAY);
        now >= self.last_event_at + self.deadline.clamp(least, MAX_CHANGE_DELAY)
    }
}
