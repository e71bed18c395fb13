//! When one of many senders asks the directory for its list, and what it may do meanwhile.
//!
//! The directory serves asks one after another, fails those that wait too long and works them off all the same. Senders that ask
//! in step get nothing from it, and neither do those that ask again before it is through. So asks are spread over the time that
//! the directory needs for all of them, with as much of its own patience taken off as chance leaves; what asks cost, and whether
//! it is too much, is learned from the answers. No I/O, no clock; the caller brings time and randomness.

use crate::fleet::MANY;
use crate::measure::{secs, to_secs, SEC};
use crate::{Settings, Time};
use std::time::Duration;

/// What one ask costs the directory until an answer has shown more, in seconds: 55 ms seen.
const COST: f64 = 0.055;
/// Least and most that is believed of it. Under the least the spread is of no use, over the most a fleet would never be told.
const COSTS: (f64, f64) = (0.002, 1.0);
/// How long asks may stand in the directory's line, in seconds: it gives up after 3 s, and the way there takes some of it.
const LINE: f64 = 2.9;
/// Standard deviations, in the middle of the span, by which asks may come earlier than evenly before some of them fail: the line
/// of one start in 460 is longer somewhere (exp(-CHANCE^2 / 2)).
const CHANCE: f64 = 3.5;
/// An ask that failed after so long stood in a line (s); one that failed sooner found nobody there.
const STOOD: f64 = 1.0;
/// How many times dearer asks are taken to be once one failed in the line. Twice leaves a directory at a third of its speed with
/// a line that never ends for minutes (told after 231 s, ideal 50 s), four times makes the quick ones wait: 120 s and 162 s.
const DEARER: f64 = 3.0;
/// What one of few waits after its first failure, and at most, in seconds; it doubles with each.
const GAPS: (f64, f64) = (0.5, 4.0);
/// How many times longer a list counts as true after an ask that failed than after none, by the settings' page.
const FAILED: Time = 4;
/// What changes counts as told so long after a move of the directory, by the operators' page on new configurations; asking does not
/// change that.
const MOVED: Time = 4 * SEC;
/// A watch that has a beat tells within so many beats, whatever the settings say: the one that is silent for longer is given up.
const WATCHED: Time = 2;
/// A change counts as told so long after the directory had it and could be reached, by the operators' page: whatever became of asks, and
/// whether or not anything was asked.
const CHANGE_COUNTS: Time = 6 * SEC;
/// A watch that ended so long after its next word was due had fallen silent: what holds a word up.
const NO_WORD: Time = SEC;
/// How long the answer to an ask is waited for, in seconds: least, and most where many ask. The directory gives up after 3 s and
/// says so: an ask that is given up later than that has met silence and no line.
const ANSWER: (f64, f64) = (3.5, 6.0);

/// Seconds over which `relays` senders spread asks that cost the directory so many seconds each.
pub fn span(relays: u32, cost: f64) -> f64 {
    if relays < MANY {
        return 0.0;
    }
    let all = f64::from(relays) * cost;
    // After a part u of the span, asks that are drawn evenly are behind by u * spared on an average, and by chance * sqrt(u - u^2)
    // more. The largest sum of both is (spared + sqrt(spared^2 + chance^2)) / 2, which is to be no more than the line.
    let chance = CHANCE * cost * f64::from(relays).sqrt();
    let spared = LINE - chance * chance / (4.0 * LINE);
    // With a tenth to spare the line is as short as it gets.
    (all - spared).clamp(all / 2.0, all * 1.1)
}

/// How long the answer to an ask is waited for, in seconds. One that stands in a long line is not given up early: it would be
/// worked off all the same, and the next one stood behind it.
pub fn patience(relays: u32) -> f64 {
    (f64::from(relays) * COST).clamp(ANSWER.0, ANSWER.1)
}

/// What an ask that took so long says of what asks cost the directory, in seconds, for a later start. A line before it is no cost;
/// and a directory that has just started itself may be slower than it was, by half of what is usual at the most.
pub fn kept_cost(took: Duration) -> f64 {
    took.as_secs_f64().clamp(COST / 2.0, COST)
}

/// One sender's asks.
#[derive(Debug, Default)]
pub struct Asking {
    relays: u32,
    /// How many of them a planned restart, or a move of the directory, takes at once.
    staggered: u32,
    /// How many ask together with this one, until an ask has shown that there are more.
    together: u32,
    /// Longest time without an ask or a watch (0: no bound), by the settings.
    within: Time,
    /// How often a watch says something at the least (0: it tells changes alone).
    beat: Time,
    /// What an ask costs the directory, as far as seen (s).
    cost: f64,
    /// Failures in a row, since the last answer.
    failures: i32,
    /// When to ask next.
    next: Option<Time>,
    /// When the ask that is out began.
    asked: Option<Time>,
    /// The list is told as it changes.
    watching: bool,
    /// When the last word came over the watch; each is one that nothing else has changed until then.
    word: Time,
    /// From when on what has changed counts as told, though nobody told it.
    told_at: Option<Time>,
    /// When a change that nobody told begins to count: [`CHANGE_COUNTS`] after the last word or, while the directory is known to be
    /// down, after the next ask. No ask changes it before it has ended.
    changes_count_at: Time,
}

impl Asking {
    /// A sender that starts at `now`. `draw` gives a number evenly from 0 to 1.
    pub fn start(now: Time, settings: &Settings, draw: impl FnOnce() -> f64) -> Self {
        let (relays, within, earlier) = (settings.relays, settings.ask_within, settings.earlier);
        let staggered = match settings.staggered {
            0 => relays,
            some => some.min(relays),
        };
        let together = if earlier.planned { staggered } else { relays };
        let cost = earlier.cost.unwrap_or(COST);
        let beat = settings.watch_beat;
        let mut asking = Asking { relays, staggered, together, within, beat, cost, ..Asking::default() };
        asking.next = Some(now + asking.spread(draw));
        asking.changes_count_at = (now + CHANGE_COUNTS).saturating_sub(earlier.list_age);
        asking.counts_from(now, 1);
        asking
    }

    /// The directory is at another place from now on; whoever has a watch at the old one has lost it.
    pub fn moved(&mut self, now: Time, draw: impl FnOnce() -> f64) {
        (self.together, self.watching, self.asked, self.failures) = (self.staggered, false, None, 0);
        self.next = Some(now + self.spread(draw));
        self.told_at = (self.within > 0).then(|| now + self.within.min(MOVED));
        self.changes_count_at = now + MOVED;
    }

    /// A line for the log where the directory needs longer for all asks than the settings leave time for.
    pub fn too_many(&self) -> Option<String> {
        let span = span(self.relays, self.cost);
        let relays = self.relays;
        (self.within > 0 && span > to_secs(self.within))
            .then(|| format!("asks of {relays} senders take the directory {span:.1} s, more than mustAskIn"))
    }

    fn spread(&self, draw: impl FnOnce() -> f64) -> Time {
        match span(self.together, self.cost) {
            0.0 => 0,
            span => secs(draw() * span),
        }
    }

    fn counts_from(&mut self, now: Time, times: Time) {
        self.told_at = (self.within > 0).then(|| now + times * self.within);
    }

    /// Whether an ask is due; it is out from then on.
    pub fn due(&mut self, now: Time) -> bool {
        let due = self.next.take_if(|t| *t <= now).is_some();
        if due {
            // Asking counts, but what is too old already is no truer before the answer.
            if !self.blind(now) {
                self.counts_from(now, 1);
            }
            self.asked = Some(now);
        }
        due
    }

    /// The directory answered, or said over the watch that there is a change, or none. A list that was there from the start is no word
    /// of it.
    pub fn heard(&mut self, now: Time) {
        if let Some(asked) = self.asked.take() {
            let took = to_secs(now - asked);
            self.cost = self.cost.min(took).max(COSTS.0);
            (self.watching, self.next, self.failures) = (true, None, 0);
            self.told_at = None;
        }
        if self.watching {
            (self.word, self.changes_count_at) = (now, now + CHANGE_COUNTS);
        }
    }

    /// An ask failed, or a watch ended.
    pub fn failed(&mut self, now: Time, draw: impl FnOnce() -> f64) {
        let (asked, together) = (self.asked.take(), self.together);
        if asked.is_none() && self.next.is_some() {
            return; // nothing was out, and the next ask is settled
        }
        let gap = secs((GAPS.0 * 2f64.powi(self.failures)).min(GAPS.1));
        self.failures = (self.failures + 1).min(8);
        let Some(asked) = asked else {
            // All may have lost their watches at once. A machine that stood still may hear of it much later than it was; where a
            // watch tells changes alone nothing says for how long.
            self.watching = false;
            self.together = self.relays;
            let told = if self.beat > 0 { self.word } else { now };
            self.counts_from(told, 1);
            let next = now + gap + self.spread(draw);
            self.next = Some(next);
            let fell_silent = self.beat > 0 && now >= self.word + self.beat + NO_WORD;
            // A watch that ends, rather than fall silent, does so because the directory went down.
            self.changes_count_at = if fell_silent { told } else { next } + CHANGE_COUNTS;
            return;
        };
        self.counts_from(asked, FAILED);
        if to_secs(now - asked) >= patience(self.relays) {
            // Nothing is said of a line. It may be everyone's, and each second without an answer may be a blind one.
            self.together = self.relays;
            self.next = Some(now + gap + self.spread(draw));
        } else if to_secs(now - asked) >= STOOD {
            // The line was too long: more asked than was thought, or the asks cost more.
            // What stands in it is worked off first, also the asks that failed.
            self.together = self.relays;
            if together == self.relays {
                self.cost = (self.cost * DEARER).min(COSTS.1);
            }
            self.next = Some(now + gap + secs(span(self.relays, self.cost)) + self.spread(draw));
        } else {
            // Nobody is there. Since the last word, as far as is known, so nothing that has changed counts before the next ask; but a
            // list that is too old already gets no younger. Each keeps its place in the row, so that the line is no longer when
            // somebody is there.
            let next = (asked + secs(span(self.together, self.cost))).max(now + gap);
            if !self.blind(now) {
                self.changes_count_at = next + CHANGE_COUNTS;
            }
            self.next = Some(next);
        }
    }

    /// When the next ask is due.
    pub fn next(&self) -> Option<Time> {
        self.next
    }

    /// Whether the list has gone without a word for so long that whatever changed counts as told. What may be called is not
    /// known then, and nothing new is called.
    pub fn blind(&self, now: Time) -> bool {
        match self.watching {
            // Whatever stood still, this machine or the directory: a watch that has a beat is as good as its last word.
            true => {
                let least = (WATCHED * self.beat).min(CHANGE_COUNTS);
                self.beat > 0 && self.within > 0 && now >= self.word + self.within.clamp(least, CHANGE_COUNTS)
            }
            false => {
                let changes_count = self.within > 0 && now >= self.changes_count_at;
                self.told_at.is_some_and(|at| now >= at) || changes_count
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::measure::Random;
    use crate::Earlier;

    fn start(now: Time, relays: u32, ask_within: Time, draw: impl FnOnce() -> f64) -> Asking {
        let settings = Settings { relays, ask_within, watch_beat: 2 * SEC, ..Settings::default() };
        Asking::start(now, &settings, draw)
    }

    #[test]
    fn few_ask_at_once_and_wait_longer_with_each_failure() {
        let never = || unreachable!("few draw nothing");
        let mut asking = start(SEC, 3, 10 * SEC, never);
        let mut now = SEC;
        for gap in [500, 1_000, 2_000, 4_000, 4_000] {
            assert!(asking.due(now) && !asking.due(now), "once each");
            asking.failed(now, never);
            assert_eq!(asking.next(), Some(now + gap * crate::measure::MS));
            now = asking.next().expect("due");
        }
        assert!(asking.due(now));
        asking.heard(now);
        assert_eq!(asking.next(), None);
        asking.failed(now + SEC, never);
        assert_eq!(asking.next(), Some(now + SEC + SEC / 2), "an answer ends the row of failures");
    }

    #[test]
    fn asks_are_spread_over_the_time_that_all_need_less_what_may_stand_in_line() {
        for (relays, most) in [(10, 0.3), (100, 3.0), (300, 14.5), (3_000, 172.0)] {
            let mut random = Random::new(7);
            let mut at: Vec<Time> =
                (0..relays).map(|_| start(0, relays, 0, || random.draw()).next().expect("due")).collect();
            at.sort();
            let last = to_secs(*at.last().expect("one"));
            assert!(last <= most && last > 0.7 * most, "{relays}: {last}");
        }
    }

    #[test]
    fn what_asks_cost_is_learned_and_bounded() {
        let ask = |asking: &mut Asking, after: f64, answered: bool| {
            let now = asking.next().expect("settled");
            assert!(asking.due(now));
            if answered {
                asking.heard(now + secs(after));
            }
            asking.failed(now + secs(after), || 1.0);
            to_secs(asking.next().expect("settled") - now)
        };
        let mut asking = start(0, 300, 0, || 0.5);
        assert!(
            (100.0..120.0).contains(&ask(&mut asking, 3.0, false)),
            "a line too long is let go and made far less dense"
        );
        (0..20).for_each(|_| _ = ask(&mut asking, 3.0, false));
        assert!(ask(&mut asking, 3.0, false) < 670.0);
        assert!(ask(&mut asking, 0.010, true) < 3.0, "a quick directory needs less");
        (0..20).for_each(|_| _ = ask(&mut asking, 0.0, true));
        assert!(ask(&mut asking, 0.0, true) >= 0.5);
    }

    #[test]
    fn a_planned_restart_waits_for_its_own_share_and_a_line_shows_that_more_ask() {
        let start = |staggered, planned| {
            let earlier = Earlier { planned, ..Earlier::default() };
            Asking::start(0, &Settings { relays: 300, staggered, earlier, ..Settings::default() }, || 1.0)
        };
        let first = |staggered, planned| to_secs(start(staggered, planned).next().expect("due"));
        assert!(first(30, true) < 1.0 && first(5, true) == 0.0);
        assert!(first(900, true) == first(0, true) && first(0, true) == first(30, false));
        let mut asking = start(30, true);
        let next = |asking: &mut Asking, failed_after: f64| {
            let now = asking.next().expect("due");
            assert!(asking.due(now));
            asking.failed(now + secs(failed_after), || 1.0);
            to_secs(asking.next().expect("due") - now)
        };
        assert!(next(&mut asking, 0.1) < 1.0, "nobody is there, which says nothing of a line");
        // All that stood in line are let through, then all ask anew, at the cost that was thought.
        assert!((30.0..35.0).contains(&next(&mut asking, 3.0)));
        assert!(next(&mut asking, 3.0) > 80.0, "now they cost more");
        // A lost watch may be everyone's.
        let mut asking = start(30, true);
        assert!(asking.due(SEC));
        asking.heard(SEC + secs(COST));
        asking.failed(2 * SEC, || 1.0);
        assert!(to_secs(asking.next().expect("due")) > 10.0);
    }

    #[test]
    fn a_move_is_asked_about_in_its_share_and_blinds_those_whose_turn_is_later_than_it_counts_as_told() {
        let moved = |relays, staggered, part| {
            let settings = Settings { relays, staggered, ask_within: 10 * SEC, ..Settings::default() };
            let mut asking = Asking::start(0, &settings, || 0.0);
            assert!(asking.due(0));
            asking.heard(secs(COST));
            asking.moved(SEC, || part);
            asking
        };
        assert_eq!(moved(3, 0, 1.0).next(), Some(SEC), "few ask at once");
        assert!(moved(300, 30, 1.0).next().is_some_and(|t| t < 2 * SEC));
        let mut last = moved(300, 0, 1.0);
        assert!(!last.blind(5 * SEC - 1) && last.blind(5 * SEC));
        let next = last.next().expect("settled");
        assert!((14.0..17.0).contains(&to_secs(next)) && last.due(next));
        assert!(last.blind(next), "until it is answered");
        last.failed(next + 3 * SEC, || 1.0);
        assert!(
            last.blind(next + 3 * SEC),
            "an ask that stood in line to its end found a directory that could be reached"
        );
        let mut first = moved(300, 30, 0.0);
        assert!(
            first.due(SEC) && !first.blind(5 * SEC - 1) && first.blind(5 * SEC),
            "asking takes nothing back"
        );
        first.heard(5 * SEC);
        assert!(!first.blind(11 * SEC), "the answer does");
    }

    #[test]
    fn a_directory_that_is_not_there_is_asked_in_the_same_row_again_and_again() {
        let mut random = Random::new(7);
        let mut all: Vec<Asking> = (0..300).map(|_| start(0, 300, 0, || random.draw())).collect();
        let mut asks = vec![0; 60];
        for ms in (0..60_000).step_by(10) {
            let now = ms * crate::measure::MS;
            for asking in &mut all {
                if asking.due(now) {
                    asks[ms as usize / 1_000] += 1;
                    asking.failed(now, || unreachable!("nothing is drawn"));
                }
            }
        }
        assert!(asks.iter().all(|n| (8..35).contains(n)), "{asks:?}");
    }

    #[test]
    fn a_change_counts_six_seconds_after_the_last_word_or_sooner_by_the_settings_whatever_becomes_of_asks() {
        let mut short = start(0, 300, 4 * SEC, || 0.9);
        assert!(!short.blind(4 * SEC - 1) && short.blind(4 * SEC), "the settings say less");
        assert!(short.due(14 * SEC) && short.blind(15 * SEC), "too late");
        let mut asking = start(0, 300, 10 * SEC, || 0.3);
        assert!(
            asking.due(5 * SEC) && !asking.blind(6 * SEC - 1) && asking.blind(6 * SEC),
            "asking changes nothing"
        );
        asking.failed(8 * SEC, || 0.0);
        assert!(asking.blind(8 * SEC), "nor does an ask that failed in the line");
        let next = asking.next().expect("settled");
        assert!(asking.due(next));
        asking.heard(next + SEC);
        for s in (1..900).step_by(2) {
            assert!(!asking.blind(next + s * SEC), "a watch tells, also that there is nothing");
            asking.heard(next + s * SEC);
        }
        asking.failed(next + 901 * SEC, || 1.0);
        assert!(
            !asking.blind(next + 909 * SEC - 1) && asking.blind(next + 909 * SEC),
            "from its last word on, by the settings: it ended as the directory went down"
        );
    }

    #[test]
    fn a_machine_that_stood_still_knows_nothing_until_it_hears_something() {
        let mut asking = start(0, 3, 10 * SEC, || 0.0);
        assert!(asking.due(0));
        asking.heard(SEC);
        assert!(!asking.blind(7 * SEC - 1) && asking.blind(7 * SEC), "the watch looks whole");
        asking.heard(20 * SEC);
        assert!(!asking.blind(20 * SEC), "it was");
        let mut quick = start(0, 3, SEC, || 0.0);
        assert!(quick.due(0));
        quick.heard(SEC);
        assert!(!quick.blind(4 * SEC) && quick.blind(5 * SEC), "a watch is not to say more than it does");
        asking.failed(40 * SEC, || 0.0);
        assert!(asking.blind(40 * SEC), "it ended meanwhile");
        let next = asking.next().expect("settled");
        assert!(asking.due(next) && asking.blind(next));
        asking.heard(next + 1);
        assert!(!asking.blind(next + 1));
        let mut early = start(0, 300, 10 * SEC, || 0.3);
        assert!(early.due(5 * SEC) && early.blind(6 * SEC), "asking in time is no word");
        assert!(!start(0, 300, 0, || 1.0).blind(900 * SEC), "no bound is set");
    }

    #[test]
    fn the_silence_of_a_watch_that_tells_changes_alone_says_nothing() {
        let settings = Settings { relays: 3, ask_within: 10 * SEC, ..Settings::default() };
        let mut asking = Asking::start(0, &settings, || 0.0);
        assert!(asking.due(0));
        asking.heard(SEC);
        assert!(!asking.blind(900 * SEC), "nothing has changed");
        asking.failed(900 * SEC, || 0.0);
        assert!(
            !asking.blind(906 * SEC + SEC / 2 - 1) && asking.blind(906 * SEC + SEC / 2),
            "from when it is asked again"
        );
    }

    #[test]
    fn what_a_silent_watch_or_ask_missed_counts_six_seconds_later_however_often_it_is_asked_again() {
        let mut asking = start(0, 3, 10 * SEC, || 0.0);
        assert!(asking.due(0));
        asking.heard(SEC);
        asking.failed(SEC + secs(3.5), || 0.0);
        assert!(asking.due(5 * SEC));
        assert!(!asking.blind(7 * SEC - 1) && asking.blind(7 * SEC), "from the last word of the watch");
        asking.failed(9 * SEC, || 0.0);
        let next = asking.next().expect("settled");
        assert!(asking.due(next) && asking.blind(next), "no ask takes it back");
        asking.heard(next + 1);
        assert!(!asking.blind(next + 1), "the answer does");
        let mut asked = start(0, 3, 10 * SEC, || 0.0);
        assert!(asked.due(SEC));
        asked.failed(5 * SEC, || 0.0);
        assert!(
            !asked.blind(6 * SEC - 1) && asked.blind(6 * SEC),
            "from the last word, which came before it was asked"
        );
        let mut refused = start(0, 3, 10 * SEC, || 0.0);
        assert!(refused.due(SEC));
        refused.failed(SEC + secs(0.1), || 0.0);
        let counts = refused.next().expect("settled") + 6 * SEC;
        assert!(!refused.blind(counts - 1) && refused.blind(counts), "what cannot be reached tells nobody");
        let mut late = start(0, 3, 10 * SEC, || 0.0);
        assert!(late.due(7 * SEC));
        late.failed(7 * SEC + secs(0.1), || 0.0);
        assert!(late.blind(8 * SEC), "a list that was too old stays so");
        let mut many = start(0, 60, 10 * SEC, || 0.0);
        assert!(many.due(0));
        many.failed(secs(3.5), || 1.0);
        assert!(many.next().is_some_and(|t| t < 6 * SEC), "silence is no line");
        refused.moved(41 * SEC, || 0.0);
        assert!(!refused.blind(45 * SEC - 1) && refused.blind(45 * SEC));
    }

    #[test]
    fn a_list_of_an_earlier_process_is_as_old_as_its_last_word() {
        let start = |list_age| {
            let earlier = Earlier { list_age, ..Earlier::default() };
            let settings = Settings { relays: 300, ask_within: 10 * SEC, earlier, ..Settings::default() };
            Asking::start(60 * SEC, &settings, || 0.9)
        };
        let mut killed = start(2 * SEC);
        assert!(!killed.blind(64 * SEC - 1) && killed.blind(64 * SEC));
        assert!(killed.due(74 * SEC));
        killed.heard(75 * SEC);
        assert!(!killed.blind(76 * SEC), "it is told");
        assert!(start(6 * SEC).blind(60 * SEC) && start(Time::MAX).blind(60 * SEC), "too old from the start");
        assert!(!start(0).blind(66 * SEC - 1), "none was before it");
    }

    #[test]
    fn a_fleet_that_the_directory_cannot_bear_in_time_is_told_of() {
        let of = |relays| start(0, relays, 10 * SEC, || 0.0);
        assert_eq!(of(200).too_many(), None);
        assert!(of(300)
            .too_many()
            .is_some_and(|told| told.contains("300 senders take the directory 14.6 s")));
        assert_eq!((patience(3), patience(100), patience(3_000)), (3.5, 5.5, 6.0));
    }
}
