//! Policies as stand-ins see them: each message that comes to an endpoint bears a stamp that its
//! policy's script put on it. What may never be seen, judged by that alone and by what clients sent
//! and heard.

use crate::record::Life;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

/// The header in which scripts of the rig say under which policy a message was taken on.
pub(crate) const STAMP: &str = "x-note-policy";
/// What stands for a sender's own settings.
pub const OWN: &str = "0";
/// The class that is rare, where there is one.
pub(crate) const RARE_CLASS: &str = "rare";
/// Ids of its messages begin with this.
pub(crate) const RARE: char = 'r';

/// The script that stamps, and does this before.
pub fn script(stamp: &str, before: &str) -> String {
    format!("fn ingress(message) {{ {before} #{{ notes: #{{ policy: \"{stamp}\" }} }} }}\n")
}

/// Endpoints fail what bears this stamp.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fails {
    /// The stamp.
    pub stamp: String,
    /// From so long after the first such message came to any of them.
    pub after: Duration,
    /// Only messages of the class that is rare.
    pub rare: bool,
    first: Option<Instant>,
}

/// A while in which a sender can hear no keeper, or does not run.
#[derive(Clone, Debug)]
struct Cut {
    sender: String,
    from: Instant,
    till: Option<Instant>,
}

/// What is known of policies.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Where senders stand.
    zones: BTreeMap<String, String>,
    /// The stamps of what may come into force, in this order, in each zone. One may come twice.
    order: Vec<String>,
    /// Stamps that only senders of these zones may put on a message.
    only: BTreeMap<String, BTreeSet<String>>,
    /// A sender that hears no keeper takes nothing new on after so long.
    lease: Option<Duration>,
    cuts: Vec<Cut>,
    fails: Vec<Fails>,
}

/// Where a message stands among the policies of its zone.
#[derive(Clone, Debug)]
struct Placed<'a> {
    id: &'a str,
    life: &'a Life,
    zone: &'a str,
    handed: Instant,
    /// When it was first known that it was taken on, and under what.
    heard: Instant,
    /// Position in the order; nothing where there is none that it can have.
    at: Option<usize>,
}

/// How clients of a zone fared when it went from one policy to the next.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Switch {
    /// The zone.
    pub zone: String,
    /// The stamp of the policy that it went to.
    pub to: String,
    /// From the last that was taken on before to the first after, as clients heard it, in
    /// milliseconds.
    pub quiet_ms: u64,
    /// Longest wait of a client for its answer around it, in milliseconds.
    pub longest_ms: u64,
    /// Clients that were turned away or heard nothing in time around it.
    pub refused: usize,
    /// Waits of those whose messages were handed in between the last that was taken on before and
    /// the first after.
    #[serde(skip)]
    pub waits: Vec<Duration>,
    /// When the first that was taken on after it was heard of.
    #[serde(skip)]
    pub at: Option<Instant>,
}

/// Around a switch: a client waits for an answer no longer.
const BEFORE: Duration = crate::sender::ANSWER;
/// See above.
const AFTER: Duration = Duration::from_secs(1);

impl Life {
    /// The stamp under which it was taken on, and when that was first known.
    fn taken(&self) -> Option<(&str, Instant)> {
        let (called, stamp) = self.stamps.first()?;
        let answered = self.answered_at.filter(|_| self.taken_on);
        Some((stamp, answered.map_or(*called, |a| a.min(*called))))
    }

    /// How long its client waited; nothing if it heard no answer.
    fn waited(&self) -> Option<Duration> {
        Some(self.answered_at?.saturating_duration_since(self.handed_at?))
    }
}

impl Rules {
    /// A sender stands in a zone.
    pub fn stands(&mut self, sender: &str, zone: &str) {
        self.zones.insert(sender.into(), zone.into());
        if self.order.is_empty() {
            self.order.push(OWN.into());
        }
    }

    /// This may come into force from now on, after all that was named before.
    pub fn may_follow(&mut self, stamp: &str) {
        self.order.push(stamp.into());
    }

    /// What may come into force last, and the one before that.
    pub fn last_two(&self) -> (Option<&str>, Option<&str>) {
        let from_end = |n: usize| self.order.iter().rev().nth(n).map(String::as_str);
        (from_end(0), from_end(1))
    }

    /// Only senders of these zones may ever put this on a message; nobody, where none is named.
    pub fn only_in(&mut self, stamp: &str, zones: &[String]) {
        self.only
            .insert(stamp.into(), zones.iter().cloned().collect());
    }

    /// A sender that hears no keeper takes nothing new on after so long.
    pub fn lease(&mut self, lease: Duration) {
        self.lease = Some(lease);
    }

    /// Senders hear no keeper from now on, or may hear one again.
    pub fn cut<'a>(&mut self, senders: impl IntoIterator<Item = &'a str>, cut: bool, now: Instant) {
        for sender in senders {
            let open = self
                .cuts
                .iter_mut()
                .find(|c| c.sender == sender && c.till.is_none());
            match (open, cut) {
                (Some(open), false) => open.till = Some(now),
                (None, true) => self.cuts.push(Cut {
                    sender: sender.into(),
                    from: now,
                    till: None,
                }),
                _ => {}
            }
        }
    }

    /// Endpoints fail what bears this stamp, of the class that is rare alone if `rare`.
    pub fn fail(&mut self, stamp: &str, after: Duration, rare: bool) {
        self.fails.push(Fails {
            stamp: stamp.into(),
            after,
            rare,
            first: None,
        });
    }

    /// Whether an endpoint fails this message.
    pub(crate) fn fails(&mut self, stamp: &str, id: &str, now: Instant) -> bool {
        self.fails.iter_mut().filter(|f| f.stamp == stamp).any(|f| {
            let first = *f.first.get_or_insert(now);
            (!f.rare || id.starts_with(RARE)) && now >= first + f.after
        })
    }

    /// All messages that were taken on, by zone and when they were handed in, each at the earliest
    /// place that it can have.
    fn placed<'a>(&'a self, lives: &'a BTreeMap<String, Life>) -> Vec<Placed<'a>> {
        let mut all: Vec<Placed> = lives
            .iter()
            .filter_map(|(id, life)| {
                let (zone, (_, heard)) = (self.zones.get(&life.by)?, life.taken()?);
                Some(Placed {
                    id,
                    life,
                    zone,
                    handed: life.handed_at?,
                    heard,
                    at: None,
                })
            })
            .collect();
        all.sort_by(|a, b| (a.zone, a.handed).cmp(&(b.zone, b.handed)));
        let (mut zone, mut floor) = ("", 0);
        // Those that nobody who is looked at could know of yet.
        let mut to_come = BinaryHeap::new();
        for placed in &mut all {
            if placed.zone != zone {
                (zone, floor) = (placed.zone, 0);
                to_come.clear();
            }
            while let Some(Reverse((heard, at))) = to_come.pop() {
                if heard >= placed.handed {
                    to_come.push(Reverse((heard, at)));
                    break;
                }
                floor = floor.max(at);
            }
            let stamp = placed.life.taken().map(|(stamp, _)| stamp);
            let place = self
                .order
                .iter()
                .skip(floor)
                .position(|s| Some(s.as_str()) == stamp);
            placed.at = place.map(|n| floor + n);
            to_come.extend(placed.at.map(|at| Reverse((placed.heard, at))));
        }
        all
    }

    /// All that must not have been seen.
    pub fn breaches(&self, lives: &BTreeMap<String, Life>) -> Vec<String> {
        let mut breaches = Vec::new();
        for placed in self.placed(lives) {
            let (id, zone, by) = (placed.id, placed.zone, &placed.life.by);
            let stamp = placed.life.taken().map_or("", |(stamp, _)| stamp);
            if placed.at.is_none() {
                breaches.push(format!(
                    "{by} takes {id} on under {stamp} in {zone}, though a later one was heard of before it was handed in"
                ));
            }
            if self
                .only
                .get(stamp)
                .is_some_and(|zones| !zones.contains(zone))
            {
                breaches.push(format!(
                    "{by} takes {id} on under {stamp}, which never came to {zone}"
                ));
            }
            let other = placed.life.stamps.iter().find(|(_, s)| s != stamp);
            breaches.extend(
                other.map(|(_, s)| format!("{by} sends {id} under {s}, taken on under {stamp}")),
            );
            breaches.extend(self.after_lease(&placed));
        }
        breaches
    }

    /// Whether its sender took it on when it could not have a lease any more.
    fn after_lease(&self, placed: &Placed) -> Option<String> {
        let lease = self.lease?;
        let by = &placed.life.by;
        let cut = self.cuts.iter().find(|c| {
            let known_before_it_was_over = c.till.is_none_or(|till| placed.heard < till);
            c.sender == *by && placed.handed > c.from + lease && known_before_it_was_over
        })?;
        let ago = placed.handed - cut.from;
        Some(format!(
            "{by} takes {} on though it has heard no keeper for {ago:?}",
            placed.id
        ))
    }

    /// How clients fared at each switch that messages show.
    pub fn switches(&self, lives: &BTreeMap<String, Life>) -> Vec<Switch> {
        let placed = self.placed(lives);
        let mut handed: BTreeMap<&str, Vec<(Instant, &Life)>> = BTreeMap::new();
        for life in lives.values() {
            let zone = self.zones.get(&life.by);
            if let (Some(zone), Some(at)) = (zone, life.handed_at) {
                handed.entry(zone).or_default().push((at, life));
            }
        }
        let mut switches = Vec::new();
        for (zone, handed) in &handed {
            let here = || placed.iter().filter(|p| p.zone == *zone && p.life.taken_on);
            let places: BTreeSet<usize> = here().filter_map(|p| p.at).collect();
            for at in places.into_iter().skip(1) {
                let of = |is: &dyn Fn(usize) -> bool| {
                    here()
                        .filter(|p| p.at.is_some_and(is))
                        .map(|p| p.heard)
                        .collect::<Vec<_>>()
                };
                let Some(first) = of(&|n| n == at).into_iter().min() else {
                    continue;
                };
                let before = of(&|n| n < at)
                    .into_iter()
                    .filter(|heard| *heard <= first)
                    .max();
                let last = before.unwrap_or(first);
                let around = handed
                    .iter()
                    .filter(|(at, _)| *at + BEFORE >= last && *at <= first + AFTER);
                let around: Vec<_> = around.collect();
                let met = around.iter().filter(|(at, _)| *at >= last && *at <= first);
                let longest = around
                    .iter()
                    .filter(|(_, l)| l.taken_on)
                    .filter_map(|(_, l)| l.waited())
                    .max();
                switches.push(Switch {
                    zone: zone.to_string(),
                    to: self.order[at].clone(),
                    quiet_ms: (first - last).as_millis() as u64,
                    longest_ms: longest.unwrap_or_default().as_millis() as u64,
                    refused: around.iter().filter(|(_, l)| !l.taken_on).count(),
                    waits: met.map(|(_, l)| l.waited().unwrap_or(BEFORE)).collect(),
                    at: Some(first),
                });
            }
        }
        switches.sort_by_key(|s| s.at);
        switches
    }
}

#[cfg(test)]
mod tests;
