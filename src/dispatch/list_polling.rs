//! When one of many senders polls the directory for its endpoint list, and how long the list that
//! it has may be trusted.
//!
//! Decides: the time of the next poll and whether the list is stale. Inputs: answers, failures and
//! watch events of the directory, the number of senders, what the process before knew. Callers: the
//! dispatcher; the watch of the platform takes its time-out from here, and the restart notes the
//! cost of a poll. No I/O, no clock; the caller brings time and randomness.
//!
//! The directory serves polls one after another, fails those that wait too long and works them off
//! all the same. Senders that poll in step get nothing from it, and neither do those that poll
//! again before it is through. So polls are spread over the time that the directory needs for all
//! of them, less what it lets polls wait in its queue, as far as chance leaves that. What polls
//! cost, and whether it is too much, is learned from the answers.

use crate::dispatch::rate_quota::MANY_SENDERS;
use crate::dispatch::statistics::{from_secs, to_secs, MS, SEC};
use crate::{Nanos, Settings};
use std::fmt;

/// What one poll costs the directory until an answer has shown more, in seconds: 55 ms seen.
const INITIAL_COST: f64 = 0.055;
/// Least that is believed of the cost, in seconds: under it the spread is of no use.
const MIN_COST: f64 = 0.002;
/// Most that is believed of the cost, in seconds: over it a fleet would never be told.
const MAX_COST: f64 = 1.0;
/// How long polls may wait in the directory's queue, in seconds: it gives up after 3 s, and the way
/// there takes some of it.
const QUEUE_SECONDS: f64 = 2.9;
/// Standard deviations, in the middle of the span, by which polls may come earlier than evenly
/// before some of them fail: the queue of one start in 460 is longer somewhere
/// (`exp(-CHANCE_DEVIATIONS^2 / 2)`).
const CHANCE_DEVIATIONS: f64 = 3.5;
/// A poll that failed after so many seconds waited in the queue until the directory gave it up.
const QUEUED_SECONDS: f64 = 2.5;
/// A poll that failed sooner than this, in seconds, was refused by a directory that is there.
const REFUSED_SECONDS: f64 = 1.0;
/// How many times dearer polls are taken to be once one failed in the queue. Twice leaves a
/// directory at a third of its speed with a queue that never ends for minutes (told after 231 s,
/// ideal 50 s), four times makes the quick ones wait: 120 s and 162 s.
const COST_AFTER_QUEUE_FAILURE: f64 = 3.0;
/// What one of few waits after its first failure, in seconds; it doubles with each further one.
const MIN_RETRY_GAP: f64 = 0.5;
/// What one waits at most beside its turn, in seconds. Nothing is sent by a stale list, so that a
/// directory that is back has to be found soon.
const MAX_RETRY_GAP: f64 = 1.0;
/// Failures in a row that are counted at most, against an overflow.
const MAX_FAILURES: i32 = 8;
/// How many times longer a list counts as true after a poll that failed than after none, by the
/// settings' page.
const DEADLINES_AFTER_FAILURE: Nanos = 4;
/// Changes count as told so long after a move of the directory at the latest, by the operators'
/// page on new configurations; polling does not change that.
const FRESH_AFTER_MOVE: Nanos = 4 * SEC;
/// A watch that has a heartbeat tells within so many beats, whatever the settings say: the one that
/// is silent for longer is given up.
const HEARTBEATS: Nanos = 2;
/// A change counts as told so long after the directory had it and could be reached, by the
/// operators' page: whatever became of polls, and whether or not anything was polled.
const CHANGE_COUNTS_AFTER: Nanos = 6 * SEC;
/// A watch that ended so long after its next event was due had fallen silent: what delays an event.
const SILENCE_MARGIN: Nanos = SEC;
/// Least time that the answer to a poll is waited for, in seconds. The directory gives up after 3 s
/// and says so: a poll that is given up later than that has met silence and no queue.
const MIN_POLL_TIMEOUT: f64 = 3.5;
/// Most that an answer is waited for where many poll, in seconds.
const MAX_POLL_TIMEOUT: f64 = 6.0;

/// Seconds over which so many senders spread polls that cost the directory so many seconds each.
pub fn poll_spread(senders: u32, cost: f64) -> f64 {
    if senders < MANY_SENDERS {
        return 0.0;
    }
    let all = f64::from(senders) * cost;
    // After a part u of the span, polls that are drawn evenly are behind by u * spared on an
    // average, and by chance * sqrt(u - u^2) more. The largest sum of both is (spared +
    // sqrt(spared^2 + chance^2)) / 2, which is to be no more than the queue.
    let chance = CHANCE_DEVIATIONS * cost * f64::from(senders).sqrt();
    let spared = QUEUE_SECONDS - chance * chance / (4.0 * QUEUE_SECONDS);
    // With a tenth to spare the queue is as short as it gets.
    (all - spared).clamp(all / 2.0, all * 1.1)
}

/// How many polls of so many seconds each the directory's queue takes in the same moment.
///
/// A planned restart is thought to take no more senders than that until a poll has failed in the
/// queue: nothing tells how many it takes. A sender that restarts alone, or with a few, hardly
/// waits; where all restart, those that the queue does not take have one failed poll each and are
/// then spread over all.
fn queue_capacity(cost: f64) -> u32 {
    (QUEUE_SECONDS / cost) as u32
}

/// Senders that poll where this one does, itself included.
pub fn senders_polling_together(settings: &Settings) -> u32 {
    if settings.list_pushed {
        1
    } else {
        settings.senders
    }
}

/// How long the answer to a poll is waited for, in seconds. One that waits in a long queue is not
/// given up early: it would be worked off all the same, and the next one waited behind it.
pub fn poll_timeout(senders: u32) -> f64 {
    (f64::from(senders) * INITIAL_COST).clamp(MIN_POLL_TIMEOUT, MAX_POLL_TIMEOUT)
}

/// What a poll that took so long says of the cost of polls, in seconds, for a later start. A queue
/// before it is no cost; and a directory that has just started itself may be slower than it was, by
/// half of what is usual at the most.
pub fn plausible_poll_cost(took_seconds: f64) -> f64 {
    took_seconds.clamp(INITIAL_COST / 2.0, INITIAL_COST)
}

/// What the freshness of the list rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FreshnessBasis {
    /// Nothing but the start: no process was before this one.
    #[default]
    Start,
    /// What the process before noted.
    RestartNote,
    /// The directory's last word: an answer, or an event of the watch.
    DirectoryEvent,
    /// A poll by which the directory seemed to be down, in a fleet that it cannot tell in time.
    SeemingOutage,
    /// The directory is at another address.
    SourceMoved,
}

/// How fresh the list is, and when the directory is polled, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListStatus {
    /// Nothing new may be sent by it.
    pub is_stale: bool,
    /// It may be relied on for so long, if nothing is heard.
    pub remaining: Nanos,
    /// What that rests on.
    pub basis: FreshnessBasis,
    /// Polls and watches that failed in a row, as far as they are counted.
    pub failures: u32,
    /// Until the next poll; nothing while one is out, or a watch is open.
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
    /// An agent pushes the list: whatever it has counts as told at once.
    list_pushed: bool,
    /// How many are thought to poll together with this one, until a poll has shown that there are
    /// more.
    polling_together: u32,
    /// Longest time without a poll or a watch (0: no bound), by the settings.
    deadline: Nanos,
    /// How often a watch says something at the least (0: it tells changes alone).
    heartbeat: Nanos,
    /// What a poll costs the directory, as far as seen, in seconds.
    cost: f64,
    /// Failures in a row, since the last answer.
    failures: i32,
    /// When to poll next.
    next_poll_at: Option<Nanos>,
    /// When the poll that is out began.
    poll_started_at: Option<Nanos>,
    /// The list is told as it changes.
    watching: bool,
    /// When the last event came over the watch, or the poll began that it answered; each is one
    /// that nothing else has changed until then.
    last_event_at: Nanos,
    /// From when on what has changed counts as told, though nobody told it.
    stale_at: Option<Nanos>,
    /// When a change that nobody told begins to count: [`CHANGE_COUNTS_AFTER`] after the last
    /// event. That a poll failed or a watch ended says nothing of changes and does not put it off,
    /// but see [`Self::seems_down`].
    fresh_until: Nanos,
    /// What [`Self::fresh_until`] rests on.
    freshness_basis: FreshnessBasis,
    /// The directory was there after its last event, and may have had something to tell: a poll was
    /// refused, waited in its queue or was never answered.
    may_have_missed_change: bool,
}

/// How a poll failed, as far as the time that it took tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollFailure {
    /// A directory that is there said no.
    Refused,
    /// The directory was down, or its queue is shorter than is thought.
    Unclear,
    /// The directory gave up what waited in its queue.
    Queued,
    /// Nothing came.
    Unanswered,
}

impl EndpointListPoller {
    /// The poller of a sender that starts at `now`. `draw` gives a number evenly from 0 to 1.
    pub fn new(now: Nanos, settings: &Settings, draw: impl FnOnce() -> f64) -> Self {
        let restart = settings.restart_state;
        // On sockets, where a watch has a heartbeat, changes count also where the settings need no
        // time for polling.
        let counts_anyway = settings.list_pushed || settings.watch_heartbeat > 0;
        let deadline = if counts_anyway && settings.poll_deadline == 0 {
            CHANGE_COUNTS_AFTER
        } else {
            settings.poll_deadline
        };
        let senders = senders_polling_together(settings);
        let cost = restart.poll_cost_seconds.unwrap_or(INITIAL_COST);
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
        poller.fresh_until = now + remaining.unwrap_or(CHANGE_COUNTS_AFTER);
        if remaining.is_some() {
            poller.freshness_basis = FreshnessBasis::RestartNote;
        }
        // What an agent has counts before it is polled: nobody is called until it has said what
        // that is, or that it can't.
        poller.stale_after_deadlines(now, if settings.list_pushed { 0 } else { 1 });
        poller
    }

    /// The directory is at another place from now on; whoever has a watch at the old one has lost
    /// it.
    pub fn source_moved(&mut self, now: Nanos, draw: impl FnOnce() -> f64) {
        // All are told of it in the same moment.
        self.polling_together = self.senders;
        self.watching = false;
        self.poll_started_at = None;
        self.failures = 0;
        self.next_poll_at = Some(now + self.random_delay(draw));
        if self.deadline > 0 {
            let stale_at = now + self.deadline.min(FRESH_AFTER_MOVE);
            self.stale_at = Some(self.stale_at.map_or(stale_at, |at| at.min(stale_at)));
        }
        if now + FRESH_AFTER_MOVE < self.fresh_until {
            self.fresh_until = now + FRESH_AFTER_MOVE;
            self.freshness_basis = FreshnessBasis::SourceMoved;
        }
        self.may_have_missed_change = false;
    }

    /// A line for the log where the directory needs longer for all polls than the settings leave
    /// time for.
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

    /// Whether a poll is due; it is out from then on.
    pub fn begin_due_poll(&mut self, now: Nanos) -> bool {
        let is_due = self.next_poll_at.take_if(|at| *at <= now).is_some();
        if is_due {
            // Polling counts, but what is too old already is no truer before the answer.
            if !self.is_stale(now) {
                self.stale_after_deadlines(now, 1);
            }
            self.poll_started_at = Some(now);
        }
        is_due
    }

    /// The directory answered, or said over the watch that there is a change, or none. A list that
    /// was there from the start is no event of it.
    pub fn record_event(&mut self, now: Nanos) {
        // What is answered may have held when the poll began, and no longer.
        let holds_at = self.poll_started_at.unwrap_or(now);
        if let Some(started) = self.poll_started_at.take() {
            let took = to_secs(now - started);
            self.cost = self.cost.min(took).max(MIN_COST);
            self.watching = true;
            self.next_poll_at = None;
            self.failures = 0;
            self.stale_at = None;
        }
        if self.watching {
            self.last_event_at = holds_at;
            self.fresh_until = holds_at + CHANGE_COUNTS_AFTER;
            self.freshness_basis = FreshnessBasis::DirectoryEvent;
            self.may_have_missed_change = false;
        }
    }

    /// A poll failed, or a watch ended.
    pub fn record_failure(&mut self, now: Nanos, draw: impl FnOnce() -> f64) {
        let started = self.poll_started_at.take();
        if started.is_none() && self.next_poll_at.is_some() {
            return; // nothing was out, and the next poll is settled
        }
        let seconds = MIN_RETRY_GAP * 2f64.powi(self.failures);
        let gap = from_secs(seconds.min(MAX_RETRY_GAP));
        self.failures = (self.failures + 1).min(MAX_FAILURES);
        match started {
            Some(started) => self.poll_failed(now, started, gap, draw),
            None => self.watch_ended(now, gap, draw),
        }
    }

    /// All senders may have lost their watches at once. A machine that stood still may hear of it
    /// much later than it was; where a watch tells changes alone nothing says for how long.
    fn watch_ended(&mut self, now: Nanos, gap: Nanos, draw: impl FnOnce() -> f64) {
        self.watching = false;
        self.polling_together = self.senders;
        if self.heartbeat == 0 {
            self.last_event_at = now;
            self.fresh_until = now + CHANGE_COUNTS_AFTER;
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
        let outage_until = started + CHANGE_COUNTS_AFTER;
        if self.seems_down() && outage_until > self.fresh_until {
            self.fresh_until = outage_until;
            self.freshness_basis = FreshnessBasis::SeemingOutage;
        }
        let next = match failure {
            PollFailure::Unanswered => {
                // Nothing is said of a queue. It may be everyone's, and each second without an
                // answer may be a stale one.
                self.polling_together = self.senders;
                now + gap + self.random_delay(draw)
            }
            PollFailure::Queued => self.after_queue_failure(now, gap, draw),
            PollFailure::Refused | PollFailure::Unclear => {
                // Each keeps its place in the order, so that the queue is no longer when polls are
                // served again.
                let span = poll_spread(self.polling_together, self.cost);
                (started + from_secs(span)).max(now + gap)
            }
        };
        self.next_poll_at = Some(next);
    }

    /// An agent that is not silent did not say what it has: that counts, and is not known.
    fn record_missed_push(&mut self, now: Nanos) {
        self.may_have_missed_change = true;
        self.stale_after_deadlines(now, 0);
    }

    fn poll_failure(&self, waited_seconds: f64) -> PollFailure {
        if waited_seconds >= poll_timeout(self.senders) {
            PollFailure::Unanswered
        } else if waited_seconds >= QUEUED_SECONDS {
            PollFailure::Queued
        } else if waited_seconds >= REFUSED_SECONDS {
            PollFailure::Unclear
        } else {
            PollFailure::Refused
        }
    }

    /// Whether the list is relied on after a poll that failed, as the directory was down then and
    /// had told nobody of a change.
    ///
    /// Only in a fleet too large to be told of its return before changes count: such a fleet would
    /// stand still together. Others are told in time, and go without.
    fn seems_down(&self) -> bool {
        let polls_of_all = f64::from(self.senders) * self.cost.min(INITIAL_COST);
        polls_of_all > to_secs(CHANGE_COUNTS_AFTER) && !self.may_have_missed_change
    }

    /// When to poll after the queue was too long: more polled than was thought, or the polls cost
    /// more. What waits in it is worked off first, also the polls that failed.
    fn after_queue_failure(&mut self, now: Nanos, gap: Nanos, draw: impl FnOnce() -> f64) -> Nanos {
        if self.polling_together == self.senders {
            self.cost = (self.cost * COST_AFTER_QUEUE_FAILURE).min(MAX_COST);
        }
        self.polling_together = self.senders;
        let queue = from_secs(poll_spread(self.senders, self.cost));
        now + gap + queue + self.random_delay(draw)
    }

    /// How long the list may still be trusted, if nothing is heard, in nanoseconds.
    pub fn remaining_freshness(&self, now: Nanos) -> Nanos {
        self.fresh_until.saturating_sub(now)
    }

    /// How fresh the list is, and when the directory is polled next.
    pub fn status(&self, now: Nanos) -> ListStatus {
        ListStatus {
            is_stale: self.is_stale(now),
            remaining: self.remaining_freshness(now),
            basis: self.freshness_basis,
            failures: self.failures.unsigned_abs(),
            next_poll_in: self.next_poll_at.map(|at| at.saturating_sub(now)),
        }
    }

    /// When the next poll is due.
    pub fn next_poll_at(&self) -> Option<Nanos> {
        self.next_poll_at
    }

    /// Whether the list has gone without an event for so long that whatever changed counts as told.
    /// What may be called is not known then, and nothing new is called.
    pub fn is_stale(&self, now: Nanos) -> bool {
        if self.watching {
            return self.is_watch_stale(now);
        }
        let is_past_freshness = self.deadline > 0 && now >= self.fresh_until;
        self.stale_at.is_some_and(|at| now >= at) || is_past_freshness
    }

    /// Whatever stood still, this machine or the directory: a watch that has a heartbeat is as good
    /// as its last event.
    fn is_watch_stale(&self, now: Nanos) -> bool {
        if self.heartbeat == 0 || self.deadline == 0 {
            return false;
        }
        let least = (HEARTBEATS * self.heartbeat).min(CHANGE_COUNTS_AFTER);
        now >= self.last_event_at + self.deadline.clamp(least, CHANGE_COUNTS_AFTER)
    }
}
