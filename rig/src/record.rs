//! What all stand-ins saw, in one place, and the check of the rules over it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Nothing new goes out so long after a drain is told: 250 ms by the rules, and what a shared machine may add.
const GRACE: Duration = Duration::from_millis(250 + 500);

/// A message, as the stand-ins saw it.
#[derive(Clone, Debug, Default)]
pub struct Life {
    /// A sender said that it takes it on.
    pub taken_on: bool,
    /// The sender that it was handed to.
    by: String,
    /// Calls that are out.
    out: u32,
    /// Deliveries: answers of 200 that were written.
    pub delivered: u32,
    /// Notices, by status.
    pub told: Vec<String>,
    /// Times that it was out twice at once.
    pub two_out: u32,
    /// Deliveries after a final answer had been told.
    pub too_late: u32,
}

impl Life {
    /// It was taken on and has no end yet.
    fn is_open(&self) -> bool {
        self.taken_on && self.delivered == 0 && self.told.is_empty()
    }
}

/// What the stand-ins saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Messages, by id.
    pub lives: BTreeMap<String, Life>,
    /// When each list was written to a sender that asked for it.
    pub told: Vec<Instant>,
    /// Asks for the list.
    pub asks: u32,
    /// Those that failed.
    pub failed: u32,
    /// Connections to partners.
    pub connections: u32,
    /// Most connections that were open at one partner.
    pub most_open: u32,
    /// Calls to an endpoint by a sender that had been told to send nothing new there.
    pub after_drain: u32,
    /// When a sender was told that an endpoint drains or is gone.
    drains: BTreeMap<(String, String), Instant>,
    /// Senders that hear nothing, or later than it is said: their lines are broken, or they stand still.
    deaf: BTreeSet<String>,
}

/// The record.
#[derive(Debug, Default)]
pub struct Record(Mutex<Seen>);

/// What the rules say of a record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Verdict {
    /// Rules that were broken: a message out twice at once, or with more than one end, or a call after a drain was told.
    pub broken: u32,
    /// Messages taken on that have neither been delivered nor told.
    pub lost: u32,
    /// Messages told two different final answers, or delivered after one. A notice for one that had been delivered does no harm: a
    /// sender that was killed can't know.
    pub doubled: u32,
}

impl Record {
    /// What was seen so far.
    pub fn seen(&self) -> MutexGuard<'_, Seen> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn life(&self, id: &str, change: impl FnOnce(&mut Life)) {
        change(self.seen().lives.entry(id.to_string()).or_default());
    }

    /// A sender takes a message on.
    pub fn taken_on(&self, id: &str) {
        self.life(id, |l| l.taken_on = true);
    }

    /// A message is handed to a sender, which may take it on.
    pub fn handed(&self, id: &str, to: &str) {
        self.life(id, |l| l.by = to.to_string());
    }

    /// A call came in whole at an endpoint.
    pub fn called(&self, id: &str, uid: &str) {
        self.called_at(id, uid, Instant::now());
    }

    fn called_at(&self, id: &str, uid: &str, now: Instant) {
        let mut seen = self.seen();
        let life = seen.lives.entry(id.to_string()).or_default();
        life.two_out += u32::from(life.out > 0);
        life.out += 1;
        let by = life.by.clone();
        let late = !seen.deaf.contains(&by)
            && seen.drains.get(&(by, uid.to_string())).is_some_and(|told| now > *told + GRACE);
        seen.after_drain += u32::from(late);
    }

    /// A sender is told which endpoints want calls, and which do not.
    pub fn told_of<'a>(&self, sender: &str, endpoints: impl IntoIterator<Item = (&'a str, bool)>) {
        let mut seen = self.seen();
        for (uid, wants) in endpoints {
            let key = (sender.to_string(), uid.to_string());
            if wants || seen.deaf.contains(sender) {
                seen.drains.remove(&key);
            } else {
                seen.drains.entry(key).or_insert_with(Instant::now);
            }
        }
    }

    /// A sender hears nothing for a while, or does again: what it was told just before may never have come.
    pub fn deaf(&self, sender: &str, deaf: bool) {
        let mut seen = self.seen();
        if deaf {
            seen.deaf.insert(sender.to_string());
            seen.drains.retain(|(s, _), told| s != sender || told.elapsed() > GRACE);
        } else {
            seen.deaf.remove(sender);
        }
    }

    /// A call is over.
    pub fn ended(&self, id: &str, delivered: bool) {
        self.life(id, |l| {
            l.out -= 1;
            l.delivered += u32::from(delivered);
            l.too_late += u32::from(delivered && !l.told.is_empty());
        });
    }

    /// A notice came.
    pub fn told(&self, id: &str, status: &str) {
        self.life(id, |l| l.told.push(status.to_string()));
    }

    /// Messages that were taken on and have no end yet.
    pub fn open(&self) -> usize {
        self.seen().lives.values().filter(|l| l.is_open()).count()
    }

    /// Waits until each message taken on has its end, or for so long.
    pub fn settle(&self, most: Duration) {
        let end = Instant::now() + most;
        while self.open() > 0 && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Judges all lives.
    pub fn verdict(&self) -> Verdict {
        let seen = self.seen();
        let mut verdict = Verdict { broken: seen.after_drain, ..Verdict::default() };
        for l in seen.lives.values().filter(|l| l.taken_on) {
            let doubled = l.too_late > 0 || l.told.iter().any(|t| *t != l.told[0]);
            verdict.lost += u32::from(l.is_open());
            verdict.doubled += u32::from(doubled);
            verdict.broken += l.two_out + u32::from(doubled);
        }
        verdict
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_check_fires_on_a_planted_breach_and_on_nothing_else() {
        let record = Record::default();
        for id in ["delivered", "told", "lost", "twice", "late", "out"] {
            record.taken_on(id);
        }
        let deliver = |id| {
            record.called(id, "s1");
            record.ended(id, true);
        };
        deliver("delivered");
        record.told("delivered", "deferred");
        record.told("late", "deferred");
        (0..2).for_each(|_| record.told("told", "deferred"));
        assert_eq!(record.verdict(), Verdict { broken: 0, lost: 3, doubled: 0 });
        deliver("late");
        record.told("twice", "deferred");
        record.told("twice", "undeliverable");
        (0..2).for_each(|_| record.called("out", "s1"));
        (0..2).for_each(|_| record.ended("out", true));
        assert_eq!(record.verdict(), Verdict { broken: 3, lost: 1, doubled: 2 });
        assert_eq!(record.open(), 1);
    }

    #[test]
    fn a_call_after_a_drain_was_told_is_seen() {
        let record = Record::default();
        let later = Instant::now() + 2 * GRACE;
        let call = |id: &str, uid: &str, at| {
            record.called_at(id, uid, at);
            record.ended(id, false);
            record.seen().after_drain
        };
        record.handed("m1", "n1");
        record.handed("m2", "n2");
        assert_eq!(call("m1", "s1", later), 0, "nothing was told");
        record.told_of("n1", [("s1", false), ("s2", true)]);
        assert_eq!(call("m1", "s1", Instant::now()), 0, "soon after");
        assert_eq!(
            call("m1", "s2", later) + call("m2", "s1", later),
            0,
            "elsewhere, and by one who was not told"
        );
        assert_eq!(call("m1", "s1", later), 1);
        assert_eq!(record.verdict().broken, 1);
        record.told_of("n1", [("s1", true)]);
        assert_eq!(call("m1", "s1", later), 1, "it wants calls again");
        record.deaf("n1", true);
        record.told_of("n1", [("s1", false)]);
        record.deaf("n1", false);
        assert_eq!(call("m1", "s1", later), 1, "it can't have heard");
        record.told_of("n1", [("s1", false)]);
        assert_eq!(call("m1", "s1", later), 2);
    }
}
