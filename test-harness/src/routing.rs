//! Routing tables as stand-ins see them. Each table of a play sends all messages to some zones
//! alone, so that where a call comes to tells what it may have been made under. What may never be
//! seen, judged by that alone, by what clients sent and heard, and by when which order was given.
//!
//! The list alone sends to any zone. It is over for certain where a second table was taken as a
//! proposal, as that waits for all sites to go by the first one; from then on each call tells its
//! table where tables that follow each other have no zone in common.

use crate::record::Life;
use crate::rules::Switch;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

/// How a proposal ends, as far as the play knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ends {
    /// All sites go by it.
    #[default]
    Decided,
    /// Nobody ever does: it is refused, ended by a person, or too late.
    Nowhere,
    /// One of the two.
    Either,
}

/// A proposal, and when it was given.
#[derive(Clone, Debug)]
pub struct Proposed {
    /// The table's name.
    pub name: String,
    /// The zones that it sends to.
    pub zones: BTreeSet<String>,
    /// When a person gave it.
    pub given: Instant,
    /// When that person heard that the federation's record has it.
    pub taken: Option<Instant>,
    /// How it ends.
    pub ends: Ends,
}

/// A while in which nothing comes to a site from others, nor from it.
#[derive(Clone, Debug)]
struct Away {
    site: String,
    from: Instant,
    till: Option<Instant>,
}

/// What is known of tables.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// The sites of senders.
    sites: BTreeMap<String, String>,
    /// In the order in which they were taken.
    proposed: Vec<Proposed>,
    /// A site that is away takes nothing new on after so long.
    lease: Option<Duration>,
    away: Vec<Away>,
    /// Sites that are off the roster: when a person heard so, and when an order to join again was
    /// given.
    off: Vec<Away>,
}

/// Why a call can be under no earlier table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Since {
    /// Its own site called under this one before.
    Here,
    /// Another site called under the next one before.
    Elsewhere,
    /// The next proposal had been taken.
    Ordered,
}

/// A call and what it was made under.
#[derive(Clone, Debug)]
struct Placed<'a> {
    id: &'a str,
    life: &'a Life,
    site: &'a str,
    called: Instant,
    zone: &'a str,
    /// The earliest table that it can be, as a position among those that may come into force;
    /// nothing where it can be none.
    at: Option<usize>,
    /// What forbids earlier ones, and which they are.
    floor: (usize, Option<Since>),
}

/// A table that may come into force; the list alone where nothing is proposed.
struct Table<'a>(Option<&'a Proposed>);

impl Table<'_> {
    fn name(&self) -> &str {
        self.0.map_or("the list alone", |p| &p.name)
    }

    fn fits(&self, zone: &str, at: Instant) -> bool {
        self.0
            .is_none_or(|p| p.given <= at && p.zones.contains(zone))
    }

    fn is_sure(&self) -> bool {
        self.0.is_none_or(|p| p.ends == Ends::Decided)
    }
}

impl Routing {
    /// A sender stands at a site.
    pub fn stands(&mut self, sender: &str, site: &str) {
        self.sites.insert(sender.into(), site.into());
    }

    /// A table was proposed, after all that were before.
    pub fn proposed(&mut self, proposed: Proposed) {
        self.proposed.push(proposed);
    }

    /// A site that hears nobody takes nothing new on after so long.
    pub fn lease(&mut self, lease: Duration) {
        self.lease = Some(lease);
    }

    /// A site is away from now on, or is no more.
    pub fn away(&mut self, site: &str, away: bool, now: Instant) {
        let open = self
            .away
            .iter_mut()
            .find(|a| a.site == site && a.till.is_none());
        match (open, away) {
            (Some(open), false) => open.till = Some(now),
            (None, true) => self.away.push(Away {
                site: site.into(),
                from: now,
                till: None,
            }),
            _ => {}
        }
    }

    /// A site is off the roster.
    pub fn off(&mut self, site: &str, now: Instant) {
        self.off.push(Away {
            site: site.into(),
            from: now,
            till: None,
        });
    }

    /// An order that it joins again is given.
    pub fn joins(&mut self, site: &str, now: Instant) {
        let of_site = self
            .off
            .iter_mut()
            .filter(|o| o.site == site && o.till.is_none());
        of_site.for_each(|o| o.till = Some(now));
    }

    fn tables(&self) -> Vec<Table<'_>> {
        let may = self.proposed.iter().filter(|p| p.ends != Ends::Nowhere);
        std::iter::once(Table(None))
            .chain(may.map(|p| Table(Some(p))))
            .collect()
    }

    /// From when on no site goes by what comes before which position: proposals wait for all sites.
    fn over(&self, tables: &[Table]) -> Vec<(Instant, usize)> {
        let taken = self
            .proposed
            .iter()
            .enumerate()
            .filter_map(|(n, p)| Some((n, p.taken?)));
        let floor = |n: usize| {
            let is_before = |t: &Proposed| self.proposed[..n].iter().any(|p| std::ptr::eq(p, t));
            tables
                .iter()
                .rposition(|t| t.is_sure() && t.0.is_none_or(is_before))
                .unwrap_or(0)
        };
        taken.map(|(n, taken)| (taken, floor(n))).collect()
    }

    /// All calls, by when their messages were handed in, each at the earliest table that it can be
    /// under.
    fn placed<'a>(&'a self, lives: &'a BTreeMap<String, Life>) -> Vec<Placed<'a>> {
        let tables = self.tables();
        let over = self.over(&tables);
        let before = |at: usize| (0..at).rev().find(|n| tables[*n].is_sure()).unwrap_or(0);
        let mut messages: Vec<(Instant, &str, &Life, &str)> = lives
            .iter()
            .filter_map(|(id, life)| {
                Some((
                    life.handed_at?,
                    id.as_str(),
                    life,
                    self.sites.get(&life.by)?.as_str(),
                ))
            })
            .collect();
        messages.sort_by_key(|(handed, id, ..)| (*handed, *id));
        let (mut here, mut elsewhere) = (BTreeMap::<&str, usize>::new(), 0);
        // Calls that no message that was looked at could know of.
        let mut to_come: BinaryHeap<Reverse<(Instant, &str, usize)>> = BinaryHeap::new();
        let mut placed = Vec::new();
        for (handed, id, life, site) in messages {
            while let Some(Reverse((called, of, at))) = to_come.pop() {
                if called >= handed {
                    to_come.push(Reverse((called, of, at)));
                    break;
                }
                let known = here.entry(of).or_default();
                *known = at.max(*known);
                elsewhere = elsewhere.max(before(at));
            }
            let ordered = over
                .iter()
                .filter(|(taken, _)| *taken < handed)
                .map(|(_, at)| *at)
                .max();
            let known = [
                (here.get(site).copied().unwrap_or(0), Since::Here),
                (elsewhere, Since::Elsewhere),
                (ordered.unwrap_or(0), Since::Ordered),
            ];
            let floor =
                known
                    .into_iter()
                    .filter(|(at, _)| *at > 0)
                    .fold(
                        (0, None),
                        |f, (at, why)| {
                            if at > f.0 {
                                (at, Some(why))
                            } else {
                                f
                            }
                        },
                    );
            for (called, zone) in &life.calls {
                let fits = tables
                    .iter()
                    .skip(floor.0)
                    .position(|t| t.fits(zone, *called));
                let at = fits.map(|n| floor.0 + n);
                to_come.extend(
                    at.filter(|at| *at > 0)
                        .map(|at| Reverse((*called, site, at))),
                );
                placed.push(Placed {
                    id,
                    life,
                    site,
                    called: *called,
                    zone,
                    at,
                    floor,
                });
            }
        }
        placed
    }

    /// All that must not have been seen.
    pub fn breaches(&self, lives: &BTreeMap<String, Life>) -> Vec<String> {
        let tables = self.tables();
        let mut breaches = Vec::new();
        for placed in self.placed(lives) {
            let Placed { id, site, zone, .. } = placed;
            let by = &placed.life.by;
            let Some(at) = placed.at else {
                let (known, why) = (tables[placed.floor.0].name(), placed.floor.1);
                let nowhere = self
                    .proposed
                    .iter()
                    .find(|p| p.ends == Ends::Nowhere && p.zones.contains(zone));
                let nowhere = nowhere.map_or(String::new(), |p| {
                    format!("; {}, which is nowhere, would", p.name)
                });
                let why = match why {
                    Some(Since::Here) => "its site had called by before",
                    Some(Since::Elsewhere) => {
                        "all sites had gone by before another called by the next"
                    }
                    Some(Since::Ordered) => "all sites had gone by before the next was proposed",
                    None => "is all that there is",
                };
                breaches.push(format!(
                    "{by} of {site} sends {id} to zone {zone}, where neither {known}, which {why}, nor a later one \
                     sends{nowhere}"
                ));
                continue;
            };
            breaches.extend(self.before_all_accepted(&placed, &tables[at]));
        }
        for (id, life) in lives {
            let Some(site) = self.sites.get(&life.by) else {
                continue;
            };
            breaches.extend(self.without_lease(id, life, site));
        }
        breaches
    }

    /// Whether a site that stands on the roster cannot have accepted what it was called by.
    fn before_all_accepted(&self, placed: &Placed, table: &Table) -> Option<String> {
        let given = table.0?.given;
        let could_not = self.away.iter().find(|a| {
            let off = self
                .off
                .iter()
                .any(|o| o.site == a.site && o.from < placed.called && o.from > a.from);
            a.from < given && a.till.is_none_or(|till| placed.called < till) && !off
        })?;
        let (by, id, zone, name) = (&placed.life.by, placed.id, placed.zone, table.name());
        Some(format!(
            "{by} of {} sends {id} to zone {zone} by {name}, which {} cannot have accepted yet",
            placed.site, could_not.site
        ))
    }

    /// Whether it was taken on at a site that had no lease any more, or that is off the roster.
    fn without_lease(&self, id: &str, life: &Life, site: &str) -> Option<String> {
        let lease = self.lease?;
        let (handed, by) = (life.handed_at?, &life.by);
        let answered = life.answered_at.filter(|_| life.taken_on);
        let heard = answered
            .into_iter()
            .chain(life.calls.iter().map(|(called, _)| *called))
            .min()?;
        let known = |a: &&Away, from: Instant| {
            a.site == site && handed > from && a.till.is_none_or(|till| heard < till)
        };
        if let Some(away) = self.away.iter().find(|a| known(a, a.from + lease)) {
            let ago = handed - away.from;
            return Some(format!(
                "{by} of {site} takes {id} on, though its site is away for {ago:?}"
            ));
        }
        let off = self.off.iter().find(|o| known(o, o.from))?;
        let ago = handed - off.from;
        Some(format!(
            "{by} of {site} takes {id} on, though its site is off the roster for {ago:?}"
        ))
    }

    /// How clients fared around the first call of each site by each table: its `zone` is the site's
    /// name.
    pub fn switches(&self, lives: &BTreeMap<String, Life>) -> Vec<Switch> {
        const AROUND: Duration = Duration::from_secs(1);
        let (tables, placed) = (self.tables(), self.placed(lives));
        let mut first: BTreeMap<(&str, usize), Instant> = BTreeMap::new();
        for placed in &placed {
            if let Some(at) = placed.at.filter(|at| *at > 0) {
                let known = first.entry((placed.site, at)).or_insert(placed.called);
                *known = placed.called.min(*known);
            }
        }
        let mut switches = Vec::new();
        for ((site, at), first) in first {
            let of_site = lives
                .values()
                .filter(|l| self.sites.get(&l.by).is_some_and(|s| s == site));
            let around = of_site.filter_map(|l| Some((l.handed_at?, l)));
            let around =
                around.filter(|(handed, _)| *handed + AROUND >= first && *handed <= first + AROUND);
            let around: Vec<(Instant, &Life)> = around.collect();
            let waited = |(handed, l): &(Instant, &Life)| {
                Some(l.answered_at?.saturating_duration_since(*handed))
            };
            let taken = around.iter().filter(|(_, l)| l.taken_on);
            let before = placed.iter().filter(|p| p.site == site && p.called < first);
            let quiet = before.map(|p| first - p.called).min().unwrap_or_default();
            switches.push(Switch {
                zone: site.to_string(),
                to: tables[at].name().to_string(),
                quiet_ms: quiet.as_millis() as u64,
                longest_ms: taken
                    .clone()
                    .filter_map(waited)
                    .max()
                    .unwrap_or_default()
                    .as_millis() as u64,
                refused: around.iter().filter(|(_, l)| !l.taken_on).count(),
                waits: taken.filter_map(waited).collect(),
                at: Some(first),
            });
        }
        switches.sort_by_key(|s| s.at);
        switches
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    /// Messages that are made up, by when in milliseconds they were handed in and called. Sites are
    /// `n` with `n0` and `n1`, and `s` with `s0`; `t1` sends to a, `t2` to b, and `t3` to a.
    struct Made {
        begun: Instant,
        routing: Routing,
        lives: BTreeMap<String, Life>,
    }

    impl Made {
        fn new() -> Made {
            let mut routing = Routing::default();
            for (sender, site) in [("n0", "n"), ("n1", "n"), ("s0", "s")] {
                routing.stands(sender, site);
            }
            Made {
                begun: Instant::now(),
                routing,
                lives: BTreeMap::new(),
            }
        }

        fn at(&self, ms: u32) -> Instant {
            self.begun + ms * MS
        }

        fn table(&mut self, name: &str, zone: &str, given: u32, ends: Ends) {
            let (zones, given) = ([zone.to_string()].into(), self.at(given));
            let taken = Some(given + 10 * MS);
            self.routing.proposed(Proposed {
                name: name.into(),
                zones,
                given,
                taken,
                ends,
            });
        }

        fn calls(&mut self, by: &str, id: &str, zone: &str, handed: u32, called: u32) {
            let (handed, called) = (self.at(handed), self.at(called));
            let life = self.lives.entry(id.into()).or_default();
            (life.by, life.handed_at) = (by.into(), Some(handed));
            life.calls.push((called, zone.into()));
        }

        fn told(&self, count: usize, why: &str, words: &str) {
            let told = self.routing.breaches(&self.lives);
            assert!(
                told.len() == count && told.iter().all(|t| t.contains(words)),
                "{why}: {told:?}"
            );
        }
    }

    #[test]
    fn a_call_by_an_earlier_table_is_seen_where_its_site_went_by_a_later_one() {
        let mut made = Made::new();
        made.table("t1", "a", 100, Ends::Decided);
        made.calls("n0", "m0", "c", 50, 60);
        made.calls("n0", "m1", "a", 200, 210);
        made.calls("n1", "m2", "c", 300, 310);
        made.told(0, "the list alone sends anywhere, as far as is known", "");
        made.table("t2", "b", 1_000, Ends::Decided);
        made.calls("n0", "m3", "b", 1_200, 1_250);
        made.calls("n1", "m4", "a", 1_240, 1_400);
        made.calls("s0", "m5", "a", 1_300, 1_310);
        made.told(0, "handed in before it was seen, and at another site", "");
        made.calls("n1", "m6", "a", 1_260, 1_270);
        made.told(
            1,
            "after it was seen",
            "n1 of n sends m6 to zone a, where neither t2, which its site had",
        );
        made.lives.remove("m6");
        made.calls("s0", "m7", "c", 1_300, 1_310);
        made.told(
            1,
            "the list alone is over",
            "neither t1, which all sites had gone by before",
        );
        made.lives.remove("m7");
        made.calls("s0", "m8", "b", 990, 995);
        made.told(0, "the list alone", "");
    }

    #[test]
    fn three_tables_in_overlapping_spans_are_seen() {
        let mut made = Made::new();
        made.table("t1", "a", 100, Ends::Decided);
        made.table("t2", "b", 1_000, Ends::Decided);
        made.table("t3", "c", 2_000, Ends::Decided);
        made.routing.proposed[2].taken = None;
        made.calls("n0", "m1", "c", 2_100, 2_150);
        made.calls("s0", "m2", "b", 2_200, 2_210);
        made.calls("s0", "m3", "a", 2_140, 2_300);
        made.told(0, "they follow each other", "");
        made.calls("s0", "m4", "a", 2_160, 2_300);
        made.told(
            1,
            "t1 beside t3",
            "neither t2, which all sites had gone by before another called",
        );
        made.routing.proposed[1].ends = Ends::Either;
        made.told(0, "t3 may have followed t1", "");
    }

    #[test]
    fn a_call_by_what_not_all_can_have_accepted_or_what_ended_nowhere_is_seen() {
        let mut made = Made::new();
        made.table("t1", "a", 100, Ends::Decided);
        let (cut, healed) = (made.at(900), made.at(3_000));
        made.routing.away("s", true, cut);
        made.table("t2", "b", 1_000, Ends::Decided);
        made.calls("n0", "m1", "a", 1_100, 1_200);
        made.calls("n0", "m2", "b", 2_900, 3_010);
        made.told(
            1,
            "it is away for good, as far as is known",
            "which s cannot have accepted yet",
        );
        made.routing.away("s", false, healed);
        made.told(0, "it is back", "");
        made.calls("n0", "m3", "b", 1_100, 1_200);
        made.told(
            1,
            "before it was back",
            "n0 of n sends m3 to zone b by t2, which s cannot have",
        );
        let off = made.at(1_050);
        made.routing.off("s", off);
        made.told(0, "it is off the roster", "");
        made.routing.proposed[1].ends = Ends::Nowhere;
        made.told(2, "t2 ended nowhere", "; t2, which is nowhere, would");
    }

    #[test]
    fn work_without_a_lease_or_off_the_roster_is_seen() {
        let mut made = Made::new();
        made.routing.lease(500 * MS);
        let (cut, healed) = (made.at(0), made.at(2_000));
        made.routing.away("s", true, cut);
        made.routing.away("s", false, healed);
        made.calls("s0", "m1", "a", 490, 700);
        made.calls("n0", "m2", "a", 900, 910);
        made.calls("s0", "m3", "a", 900, 2_010);
        made.told(
            0,
            "within its lease, elsewhere, and heard of when it was back",
            "",
        );
        made.calls("s0", "m4", "a", 900, 910);
        let life = made.lives.entry("m5".into()).or_default();
        (life.by, life.handed_at) = ("s0".into(), Some(made.begun + 600 * MS));
        (life.answered_at, life.taken_on) = (Some(made.begun + 610 * MS), true);
        made.told(
            2,
            "taken on, by a call and by an answer",
            "though its site is away for",
        );
        made.lives.clear();
        let (off, joins) = (made.at(3_000), made.at(4_000));
        made.routing.off("s", off);
        made.calls("s0", "m6", "a", 2_990, 3_500);
        made.told(0, "before", "");
        made.calls("s0", "m7", "a", 3_010, 3_020);
        made.told(1, "after", "though its site is off the roster for 10ms");
        made.routing.joins("s", joins);
        made.calls("s0", "m8", "a", 4_010, 4_020);
        made.told(1, "it joined again", "m7");
    }
}
