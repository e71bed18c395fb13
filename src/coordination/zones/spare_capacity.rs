//! What the rest can bear when a zone is left.
//!
//! Senders tell the lists that they hold. Those that are alike are kept once; of each zone and
//! destination the value in the middle of all senders' counts, so that one that lies, or is late,
//! moves nothing.

use crate::coordination::messages::Listed;
use crate::coordination::zones::Rules;
use std::collections::BTreeMap;

/// Lines of one list that count at the most: 50 zones with 80 destinations.
pub const MOST_LINES: usize = 4_000;
/// Lines of all lists that differ, at the most. A sender whose list finds no room tells none.
const MOST_ALL: usize = 100_000;
/// Part of the senders under which a zone is not worth leaving for a destination.
const LEAST: f64 = 0.05;

type Key = (String, u16);
/// A rate, endpoints, and the senders that say so.
type Said = (f64, u32, usize);

/// What most lists say of a zone and destination.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Route {
    /// Endpoints that want calls.
    pub endpoints: u32,
    /// Calls a second; 0 where none is listed.
    pub rate: f64,
}

#[derive(Clone, Debug)]
struct Held {
    lines: Vec<Listed>,
    senders: usize,
}

/// The lists of all senders.
#[derive(Clone, Debug, Default)]
pub struct Lists {
    held: BTreeMap<u64, Held>,
    of: BTreeMap<u32, u64>,
    kept: usize,
    stale: bool,
    routes: BTreeMap<Key, Route>,
    zones: BTreeMap<String, usize>,
}

impl Lists {
    /// A sender tells the list that it holds.
    pub fn tell(&mut self, id: u32, listed: &[Listed]) {
        self.part(id);
        let mut lines: Vec<Listed> = listed.iter().take(MOST_LINES).cloned().collect();
        lines.retain(|l| l.rate.is_finite() && l.rate >= 0.0);
        lines.sort_by(|a, b| (&a.zone, a.dest).cmp(&(&b.zone, b.dest)));
        lines.dedup_by(|a, b| a.zone == b.zone && a.dest == b.dest);
        let mut print = Print(0xcbf2_9ce4_8422_2325);
        for l in &lines {
            print.add(l.zone.as_bytes());
            print.add(&l.dest.to_be_bytes());
            print.add(&l.endpoints.to_be_bytes());
            print.add(&l.rate.to_bits().to_be_bytes());
        }
        self.stale = true;
        match self.held.get_mut(&print.0) {
            Some(held) if held.lines == lines => held.senders += 1,
            // Two lists of one print: the later one is not told, as one of very many.
            Some(_) => return,
            None if self.kept + lines.len() > MOST_ALL => return,
            None => {
                self.kept += lines.len();
                self.held.insert(print.0, Held { lines, senders: 1 });
            }
        }
        self.of.insert(id, print.0);
    }

    /// A sender's session is over.
    pub fn part(&mut self, id: u32) {
        let Some(print) = self.of.remove(&id) else {
            return;
        };
        self.stale = true;
        if let Some(held) = self.held.get_mut(&print) {
            held.senders -= 1;
            if held.senders == 0 {
                self.kept -= held.lines.len();
                self.held.remove(&print);
            }
        }
    }

    /// Works out what most say, if anything has changed.
    pub fn settle(&mut self) {
        if !std::mem::take(&mut self.stale) {
            return;
        }
        let all = self.of.len();
        let mut said: BTreeMap<(&str, u16), Vec<Said>> = BTreeMap::new();
        for held in self.held.values() {
            for l in &held.lines {
                let of = said.entry((&l.zone, l.dest)).or_default();
                of.push((f64::from(l.rate), l.endpoints, held.senders));
            }
        }
        let mut routes = BTreeMap::new();
        for ((zone, dest), mut values) in said {
            // Those that don't name it say that it has none.
            let silent = all - values.iter().map(|(_, _, n)| n).sum::<usize>();
            values.push((0.0, 0, silent));
            values.sort_by(|a, b| {
                (a.1, a.0)
                    .partial_cmp(&(b.1, b.0))
                    .unwrap_or(std::cmp::Ordering::Equal)
            });
            let mut past = 0;
            let middle = values.iter().find(|(_, _, n)| {
                past += n;
                past * 2 > all
            });
            if let Some((rate, endpoints, _)) = middle.filter(|(_, endpoints, _)| *endpoints > 0) {
                routes.insert(
                    (zone.to_string(), dest),
                    Route {
                        endpoints: *endpoints,
                        rate: *rate,
                    },
                );
            }
        }
        self.zones.clear();
        routes
            .keys()
            .for_each(|(zone, _)| *self.zones.entry(zone.clone()).or_insert(0) += 1);
        self.routes = routes;
    }

    /// What is listed of a zone for a destination.
    pub fn route(&self, zone: &str, dest: u16) -> Option<Route> {
        self.routes.get(&(zone.to_string(), dest)).copied()
    }

    /// Destinations that a zone lists.
    pub fn dests<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = (u16, Route)> + 'a {
        let from = (zone.to_string(), 0);
        let of = self
            .routes
            .range(from..)
            .take_while(move |((z, _), _)| z == zone);
        of.map(|((_, dest), route)| (*dest, *route))
    }

    /// How many destinations a zone lists; 0 where nobody lists it.
    pub fn count(&self, zone: &str) -> usize {
        self.zones.get(zone).copied().unwrap_or(0)
    }

    /// The zones that are listed.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.zones.keys().map(String::as_str)
    }
}

/// A print of a list (FNV-1a): what is alike has the same one in each process.
struct Print(u64);

impl Print {
    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes.iter().chain([&0xff]) {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// A zone's part in one destination, as it stands before another zone is left.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rest {
    /// Calls a second that are listed; 0 where none are.
    pub rate: f64,
    /// Calls a second that it took.
    pub carried: f64,
    /// Part of the calls that it refused lately.
    pub refused: f64,
    /// Part of the senders that is out of it already.
    pub out: f64,
    /// Whether calls to it for this destination fail.
    pub fails: bool,
}

/// The part of the senders that may leave a zone for a destination, which carried so many calls a
/// second there: as much as the rest has room for. 0 where there is no other route, which is never
/// left.
pub fn bearable(rules: &Rules, carried: f64, rest: &[Rest]) -> f64 {
    let mut room = 0.0;
    for r in rest.iter().filter(|r| r.out < 1.0 && !r.fails) {
        if r.refused > rules.refused_share {
            continue;
        }
        if r.rate <= 0.0 {
            // No rate is listed and next to nothing is refused.
            return 1.0;
        }
        room += (r.rate * rules.headroom * (1.0 - r.out) - r.carried).max(0.0);
    }
    let part = if room <= 0.0 {
        0.0
    } else {
        (room / carried.max(1e-9)).min(1.0)
    };
    // Told in hundredths: a part that moves with each report would be another order each time.
    let part = (part * 100.0).floor() / 100.0;
    if part < LEAST {
        0.0
    } else {
        part
    }
}

#[cfg(test)]
mod tests;
