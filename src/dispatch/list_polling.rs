//! When one of many senders asks the directory for its list, and what it may do meanwhile.
//!
//! The directory serves asks one after another, fails those that wait too long and works them off
//! all the same. Senders that ask in step get nothing from it, and neither do those that ask again
//! before it is through. So asks are spread over the time that the directory needs for all of them,
//! with as much of its own patience taken off as chance leaves; what asks cost, and whether it is
//! too much, is learned from the answers. No I/O, no clock; the caller brings time and randomness.

use crate::dispatch::rate_quota::MANY;
use crate::dispatch::statistics::{secs, to_secs, SEC};
use crate::{Nanos, Settings};
use std::time::Duration;

/// What one ask costs the directory until an answer has shown more, in seconds: 55 ms seen.
const COST: f64 = 0.055;
/// Least and most that is believed of it. Under the least the spread is of no use, over the most a
/// fleet would never be told.
const COSTS: (f64, f64) = (0.002, 1.0);
/// How long asks may stand in the directory's line, in seconds: it gives up after 3 s, and the way
/// there takes some of it.
const LINE: f64 = 2.9;
/// Standard deviations, in the middle of the span, by which asks may come earlier than evenly
/// before some of them fail: the line of one start in 460 is longer somewhere (exp(-CHANCE^2 / 2)).
const CHANCE: f64 = 3.5;
/// An ask that failed after so long stood in a line (s); one that failed sooner found nobody there.
const STOOD: f64 = 1.0;
/// How many times dearer asks are taken to be once one failed in the line. Twice leaves a directory
/// at a third of its speed with a line that never ends for minutes (told after 231 s, ideal 50 s),
/// four times makes the quick ones wait: 120 s and 162 s.
const DEARER: f64 = 3.0;
/// What one of few waits after its first failure, and at most, in seconds; it doubles with each.
const GAPS: (f64, f64) = (0.5, 4.0);
/// How many times longer a list counts as true after an ask that failed than after none, by the
/// settings' page.
const FAILED: Nanos = 4;
/// What changes counts as told so long after a move of the directory, by the operators' page on new
/// configurations; asking does not change that.
const MOVED: Nanos = 4 * SEC;
/// A watch that has a beat tells within so many beats, whatever the settings say: the one that is
/// silent for longer is given up.
const WATCHED: Nanos = 2;
/// A change counts as told so long after the directory had it and could be reached, by the
/// operators' page: whatever became of asks, and whether or not anything was asked.
const CHANGE_COUNTS: Nanos = 6 * SEC;
/// A watch that ended so long after its next word was due had fallen silent: what holds a word up.
const NO_WORD: Nanos = SEC;
/// How long the answer to an ask is waited for, in seconds: least, and most where many ask. The
/// directory gives up after 3 s and says so: an ask that is given up later than that has met
/// silence and no line.
const ANSWER: (f64, f64) = (3.5, 6.0);

/// Seconds over which `senders` senders spread asks that cost the directory so many seconds each.
pub fn poll_spread(senders: u32, cost: f64) -> f64 {
    if senders < MANY {
        return 0.0;
    }
    let all = f64::from(senders) * cost;
    // After a part u of the span, asks that are drawn evenly are behind by u * spared on an
    // average, and by chance * sqrt(u - u^2) more. The largest sum of both is (spared +
    // sqrt(spared^2 + chance^2)) / 2, which is to be no more than the line.
    let chance = CHANCE * cost * f64::from(senders).sqrt();
    let spared = LINE - chance * chance / (4.0 * LINE);
    // With a tenth to spare the line is as short as it gets.
    (all - spared).clamp(all / 2.0, all * 1.1)
}

/// How many asks of so many seconds each the directory's line bears in the same moment. A planned
/// restart is thought to take no more senders than that until an ask has failed in the line:
/// nothing tells how many it takes. A sender that restarts alone, or with a few, hardly waits;
/// where all restart, those that the line does not bear have one failed ask each and are then
/// spread over all.
fn borne(cost: f64) -> u32 {
    (LINE / cost) as u32
}

/// Senders that ask where this one does, itself included.
pub fn senders_polling_together(settings: &Settings) -> u32 {
    if settings.list_pushed {
        1
    } else {
        settings.senders
    }
}

/// How long the answer to an ask is waited for, in seconds. One that stands in a long line is not
/// given up early: it would be worked off all the same, and the next one stood behind it.
pub fn poll_timeout(senders: u32) -> f64 {
    (f64::from(senders) * COST).clamp(ANSWER.0, ANSWER.1)
}

/// What an ask that took so long says of what asks cost the directory, in seconds, for a later
/// start. A line before it is no cost; and a directory that has just started itself may be slower
/// than it was, by half of what is usual at the most.
pub fn plausible_poll_cost(took: Duration) -> f64 {
    took.as_secs_f64().clamp(COST / 2.0, COST)
}

/// One sender's asks.
#[derive(Debug, Default)]
pub struct EndpointListPoller {
    senders: u32,
    /// How many are thought to ask together with this one, until an ask has shown that there are
    /// more.
    together: u32,
    /// Longest time without an ask or a watch (0: no bound), by the settings.
    within: Nanos,
    /// How often a watch says something at the least (0: it tells changes alone).
    beat: Nanos,
    /// What an ask costs the directory, as far as seen (s).
    cost: f64,
    /// Failures in a row, since the last answer.
    failures: i32,
    /// When to ask next.
    next: Option<Nanos>,
    /// When the ask that is out began.
    asked: Option<Nanos>,
    /// The list is told as it changes.
    watching: bool,
    /// When the last word came over the watch; each is one that nothing else has changed until
    /// then.
    word: Nanos,
    /// From when on what has changed counts as told, though nobody told it.
    told_at: Option<Nanos>,
    /// When a change that nobody told begins to count: [`CHANGE_COUNTS`] after the last word or,
    /// while the directory is known to be down (or, one of many, was refused by it), after the next
    /// ask. No ask changes it before it has ended.
    changes_count_at: Nanos,
    /// The directory was there after its last word, and may have had something to tell, as an ask
    /// that was not answered in its time shows; where many ask, only one that was never answered.
    missed: bool,
}

impl EndpointListPoller {
    /// A sender that starts at `now`. `draw` gives a number evenly from 0 to 1.
    pub fn start(now: Nanos, settings: &Settings, draw: impl FnOnce() -> f64) -> Self {
        let restart_state = settings.restart_state;
        // The clock for silence runs also where the settings need no time for asking.
        let within = if settings.list_pushed && settings.poll_deadline == 0 {
            CHANGE_COUNTS
        } else {
            settings.poll_deadline
        };
        let senders = senders_polling_together(settings);
        let cost = restart_state.poll_cost_seconds.unwrap_or(COST);
        let together = if restart_state.planned {
            borne(cost).min(senders)
        } else {
            senders
        };
        let beat = settings.watch_heartbeat;
        let mut asking = EndpointListPoller {
            senders,
            together,
            within,
            beat,
            cost,
            ..EndpointListPoller::default()
        };
        asking.next = Some(now + asking.spread(draw));
        asking.changes_count_at = now + restart_state.remaining_freshness.unwrap_or(CHANGE_COUNTS);
        // What an agent has counts before it is asked: nobody is called until it has said what that
        // is, or that it can't.
        asking.counts_from(now, if settings.list_pushed { 0 } else { 1 });
        asking
    }

    /// The directory is at another place from now on; whoever has a watch at the old one has lost
    /// it.
    pub fn moved(&mut self, now: Nanos, draw: impl FnOnce() -> f64) {
        // All are told of it in the same moment.
        (self.together, self.watching, self.asked, self.failures) = (self.senders, false, None, 0);
        self.next = Some(now + self.spread(draw));
        self.told_at = (self.within > 0).then(|| now + self.within.min(MOVED));
        (self.changes_count_at, self.missed) = (now + MOVED, false);
    }

    /// A line for the log where the directory needs longer for all asks than the settings leave
    /// time for.
    pub fn too_many(&self) -> Option<String> {
        let span = poll_spread(self.senders, self.cost);
        let senders = self.senders;
        (self.within > 0 && span > to_secs(self.within)).then(|| {
            format!("asks of {senders} senders take the directory {span:.1} s, more than mustAskIn")
        })
    }

    fn spread(&self, draw: impl FnOnce() -> f64) -> Nanos {
        match poll_spread(self.together, self.cost) {
            0.0 => 0,
            span => secs(draw() * span),
        }
    }

    fn counts_from(&mut self, now: Nanos, times: Nanos) {
        self.told_at = (self.within > 0).then(|| now + times * self.within);
    }

    /// Whether an ask is due; it is out from then on.
    pub fn due(&mut self, now: Nanos) -> bool {
        let due = self.next.take_if(|t| *t <= now).is_some();
        if due {
            // Asking counts, but what is too old already is no truer before the answer.
            if !self.is_stale(now) {
                self.counts_from(now, 1);
            }
            self.asked = Some(now);
        }
        due
    }

    /// The directory answered, or said over the watch that there is a change, or none. A list that
    /// was there from the start is no word of it.
    pub fn heard(&mut self, now: Nanos) {
        if let Some(asked) = self.asked.take() {
            let took = to_secs(now - asked);
            self.cost = self.cost.min(took).max(COSTS.0);
            (self.watching, self.next, self.failures) = (true, None, 0);
            self.told_at = None;
        }
        if self.watching {
            (self.word, self.changes_count_at, self.missed) = (now, now + CHANGE_COUNTS, false);
        }
    }

    /// An ask failed, or a watch ended.
    pub fn failed(&mut self, now: Nanos, draw: impl FnOnce() -> f64) {
        let (asked, together) = (self.asked.take(), self.together);
        if asked.is_none() && self.next.is_some() {
            return; // nothing was out, and the next ask is settled
        }
        let gap = secs((GAPS.0 * 2f64.powi(self.failures)).min(GAPS.1));
        self.failures = (self.failures + 1).min(8);
        let Some(asked) = asked else {
            // All may have lost their watches at once. A machine that stood still may hear of it
            // much later than it was; where a watch tells changes alone nothing says for how long.
            self.watching = false;
            self.together = self.senders;
            if self.beat == 0 {
                self.word = now;
            }
            self.counts_from(self.word, 1);
            let next = now + gap + self.spread(draw);
            self.next = Some(next);
            let fell_silent = self.beat > 0 && now >= self.word + self.beat + NO_WORD;
            // A watch that ends, rather than fall silent, does so because the directory went down.
            self.changes_count_at = if fell_silent { self.word } else { next } + CHANGE_COUNTS;
            return;
        };
        self.counts_from(asked, FAILED);
        let (many, waited) = (self.senders >= MANY, to_secs(now - asked));
        let silent = waited >= poll_timeout(self.senders);
        self.missed |= silent || waited >= STOOD && !many;
        // Many cannot all be told within six seconds by a directory that works asks off one after
        // another: without any trust they would stand still together, so a no to one of them is
        // trusted until its next ask, four times `mustAskIn` at the most.
        let trusted = !self.missed && (many || !self.is_stale(now));
        if silent {
            // Nothing is said of a line. It may be everyone's, and each second without an answer
            // may be a blind one.
            self.together = self.senders;
            self.next = Some(now + gap + self.spread(draw));
        } else if waited >= STOOD {
            // The line was too long: more asked than was thought, or the asks cost more.
            // What stands in it is worked off first, also the asks that failed.
            self.together = self.senders;
            if together == self.senders {
                self.cost = (self.cost * DEARER).min(COSTS.1);
            }
            self.next =
                Some(now + gap + secs(poll_spread(self.senders, self.cost)) + self.spread(draw));
        } else {
            // Nobody is there. Each keeps its place in the row, so that the line is no longer when
            // somebody is.
            self.next = Some((asked + secs(poll_spread(self.together, self.cost))).max(now + gap));
        }
        if let Some(next) = self.next.filter(|_| trusted) {
            // Since the last word, as far as is known, nobody was there to tell what has changed.
            self.changes_count_at = next + CHANGE_COUNTS;
        }
    }

    /// How long the list may still be trusted, if nothing is heard.
    pub fn remaining_freshness(&self, now: Nanos) -> Nanos {
        self.changes_count_at.saturating_sub(now)
    }

    /// When the next ask is due.
    pub fn next(&self) -> Option<Nanos> {
        self.next
    }

    /// Whether the list has gone without a word for so long that whatever changed counts as told.
    /// What may be called is not known then, and nothing new is called.
    pub fn is_stale(&self, now: Nanos) -> bool {
        match self.watching {
            // Whatever stood still, this machine or the directory: a watch that has a beat is as
            // good as its last word.
            true => {
                let least = (WATCHED * self.beat).min(CHANGE_COUNTS);
                self.beat > 0
                    && self.within > 0
                    && now >= self.word + self.within.clamp(least, CHANGE_COUNTS)
            }
            false => {
                let changes_count = self.within > 0 && now >= self.changes_count_at;
                self.told_at.is_some_and(|at| now >= at) || changes_count
            }
        }
    }
}
