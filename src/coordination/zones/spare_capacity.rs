//! What each zone lists, and how much of a zone's traffic the rest can take when it is evacuated.
//!
//! Senders report the endpoint lists that they hold. [`EndpointLists`] keeps equal lists once, and
//! has for each zone and destination the median of all senders' values, so that one that lies, or
//! is late, moves nothing. [`movable_share`] compares what a zone carries with what is free
//! elsewhere.
//!
//! The leader owns one [`EndpointLists`] for its term and is the only caller. Which zone is
//! evacuated is decided by [`leader`](crate::coordination::leader).

use crate::coordination::messages::ListedZoneCapacity;
use crate::coordination::zones::ZoneRules;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Most lines of one list that count: 50 zones with 80 destinations.
pub const MAX_LINES_PER_LIST: usize = 4_000;
/// Most lines of all lists that differ. A sender whose list exceeds it counts as one without.
const MAX_LINES: usize = 100_000;
/// Share of the senders below which evacuating a zone for a destination is not worth an order.
const LEAST_MOVABLE_SHARE: f64 = 0.05;

/// A zone and a destination there.
type Route = (String, u16);

/// What most lists say of a zone and destination.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ListedCapacity {
    /// Endpoints that want calls.
    pub endpoints: u32,
    /// Calls a second that they take together; 0 where no rate is listed.
    pub rate_per_second: f64,
}

/// One list, and how many senders hold it.
#[derive(Clone, Debug)]
struct SharedList {
    lines: Vec<ListedZoneCapacity>,
    senders: usize,
}

/// What some senders' list says of a zone and destination.
struct ReportedCapacity {
    capacity: ListedCapacity,
    senders: usize,
}

/// The endpoint lists of all senders, and what most of them say.
#[derive(Clone, Debug, Default)]
pub struct EndpointLists {
    by_digest: BTreeMap<u64, SharedList>,
    digest_of: BTreeMap<u32, u64>,
    /// Lines of all lists that differ.
    line_count: usize,
    /// Something was reported since the medians were worked out.
    is_stale: bool,
    capacities: BTreeMap<Route, ListedCapacity>,
    /// Zones that are listed, with the number of their destinations.
    destination_counts: BTreeMap<String, usize>,
}

impl EndpointLists {
    /// Takes the list that a sender holds, in place of the one that it reported before.
    ///
    /// Counts from the next [`EndpointLists::refresh`] on.
    pub fn report(&mut self, sender: u32, listed: &[ListedZoneCapacity]) {
        self.remove_sender(sender);
        self.is_stale = true;
        let lines = normalized(listed);
        let digest = Digest::of_list(&lines).0;
        match self.by_digest.get_mut(&digest) {
            Some(shared) if shared.lines == lines => shared.senders += 1,
            // Two lists with one digest: the later one is dropped, as one of very many.
            Some(_) => return,
            None if self.line_count + lines.len() > MAX_LINES => return,
            None => {
                self.line_count += lines.len();
                self.by_digest
                    .insert(digest, SharedList { lines, senders: 1 });
            }
        }
        self.digest_of.insert(sender, digest);
    }

    /// Forgets the list of a sender whose session is over.
    pub fn remove_sender(&mut self, sender: u32) {
        let Some(digest) = self.digest_of.remove(&sender) else {
            return;
        };
        self.is_stale = true;
        let Some(shared) = self.by_digest.get_mut(&digest) else {
            return;
        };
        shared.senders -= 1;
        if shared.senders == 0 {
            self.line_count -= shared.lines.len();
            self.by_digest.remove(&digest);
        }
    }

    /// Works out what most lists say, if any list has changed since.
    pub fn refresh(&mut self) {
        if !std::mem::take(&mut self.is_stale) {
            return;
        }
        let senders = self.digest_of.len();
        let mut capacities = BTreeMap::new();
        for ((zone, destination), reported) in self.reported_capacities() {
            if let Some(capacity) = median_capacity(reported, senders) {
                capacities.insert((zone.to_string(), destination), capacity);
            }
        }
        self.destination_counts.clear();
        for (zone, _) in capacities.keys() {
            *self.destination_counts.entry(zone.clone()).or_insert(0) += 1;
        }
        self.capacities = capacities;
    }

    /// What each list says of each zone and destination that it names.
    fn reported_capacities(&self) -> BTreeMap<(&str, u16), Vec<ReportedCapacity>> {
        let mut reported: BTreeMap<(&str, u16), Vec<ReportedCapacity>> = BTreeMap::new();
        for shared in self.by_digest.values() {
            for line in &shared.lines {
                let of_route = reported.entry((&line.zone, line.dest)).or_default();
                of_route.push(ReportedCapacity {
                    capacity: ListedCapacity {
                        endpoints: line.endpoints,
                        rate_per_second: f64::from(line.calls_per_second),
                    },
                    senders: shared.senders,
                });
            }
        }
        reported
    }

    /// What is listed of a zone for a destination; nothing where most lists name none.
    pub fn capacity(&self, zone: &str, destination: u16) -> Option<ListedCapacity> {
        self.capacities
            .get(&(zone.to_string(), destination))
            .copied()
    }

    /// Destinations that a zone lists, in ascending order.
    pub fn destinations<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = u16> + 'a {
        let first = (zone.to_string(), 0);
        self.capacities
            .range(first..)
            .map(|((listed_zone, destination), _)| (listed_zone, *destination))
            .take_while(move |(listed_zone, _)| *listed_zone == zone)
            .map(|(_, destination)| destination)
    }

    /// How many destinations a zone lists; 0 where nobody lists it.
    pub fn destination_count(&self, zone: &str) -> usize {
        self.destination_counts.get(zone).copied().unwrap_or(0)
    }

    /// The zones that are listed, in order of their names.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.destination_counts.keys().map(String::as_str)
    }
}

/// A list in a form that is the same for all senders that hold it: sorted, without lines that
/// come twice or have an impossible rate, and cut to the length that counts.
fn normalized(listed: &[ListedZoneCapacity]) -> Vec<ListedZoneCapacity> {
    let mut lines: Vec<ListedZoneCapacity> =
        listed.iter().take(MAX_LINES_PER_LIST).cloned().collect();
    lines.retain(|line| line.calls_per_second.is_finite() && line.calls_per_second >= 0.0);
    lines.sort_by(|a, b| (&a.zone, a.dest).cmp(&(&b.zone, b.dest)));
    lines.dedup_by(|a, b| a.zone == b.zone && a.dest == b.dest);
    lines
}

/// The median over all senders of what their lists say of one zone and destination; nothing where
/// that is no endpoint.
fn median_capacity(mut reported: Vec<ReportedCapacity>, senders: usize) -> Option<ListedCapacity> {
    // Senders whose list does not name the route say that it has no endpoint.
    let naming: usize = reported.iter().map(|value| value.senders).sum();
    reported.push(ReportedCapacity {
        capacity: ListedCapacity::default(),
        senders: senders - naming,
    });
    reported.sort_by(|a, b| by_endpoints_then_rate(&a.capacity, &b.capacity));
    let mut passed = 0;
    let median = reported.iter().find(|value| {
        passed += value.senders;
        passed * 2 > senders
    })?;
    Some(median.capacity).filter(|capacity| capacity.endpoints > 0)
}

fn by_endpoints_then_rate(a: &ListedCapacity, b: &ListedCapacity) -> Ordering {
    let key = |capacity: &ListedCapacity| (capacity.endpoints, capacity.rate_per_second);
    key(a).partial_cmp(&key(b)).unwrap_or(Ordering::Equal)
}

/// Digest of a list (FNV-1a): equal lists have equal digests in every process.
struct Digest(u64);

/// FNV-1a's offset basis and prime for 64 bits.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Ends each field in a digest, so that bytes which move from one field to the next change it.
const FIELD_END: u8 = 0xff;

impl Digest {
    fn of_list(lines: &[ListedZoneCapacity]) -> Digest {
        let mut digest = Digest(FNV_OFFSET_BASIS);
        for line in lines {
            digest.add_field(line.zone.as_bytes());
            digest.add_field(&line.dest.to_be_bytes());
            digest.add_field(&line.endpoints.to_be_bytes());
            digest.add_field(&line.calls_per_second.to_bits().to_be_bytes());
        }
        digest
    }

    fn add_field(&mut self, bytes: &[u8]) {
        for byte in bytes.iter().chain([&FIELD_END]) {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
}

/// What another zone can take for a destination, as it stands before the evacuation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AlternativeZone {
    /// Calls a second that are listed; 0 where none are.
    pub rate_per_second: f64,
    /// Calls a second that it carries.
    pub load_per_second: f64,
    /// Share of recent calls that it rejected.
    pub rejected_share: f64,
    /// Share of the senders that has been moved out of it already.
    pub evacuated_share: f64,
    /// Whether calls to it for this destination fail.
    pub is_failing: bool,
}

impl AlternativeZone {
    /// Whether it may get any of the traffic.
    fn is_usable(&self, rules: &ZoneRules) -> bool {
        self.evacuated_share < 1.0
            && !self.is_failing
            && self.rejected_share <= rules.rejected_share
    }

    /// Calls a second that it can take beyond what it carries.
    fn spare_per_second(&self, rules: &ZoneRules) -> f64 {
        let usable = self.rate_per_second * rules.headroom * (1.0 - self.evacuated_share);
        (usable - self.load_per_second).max(0.0)
    }
}

/// The share of the senders that can be moved out of a zone for a destination, which carried
/// `load_per_second` there: as much as the other zones have spare capacity for.
///
/// 0 where there is no other route: the last one is never evacuated.
pub fn movable_share(
    rules: &ZoneRules,
    load_per_second: f64,
    alternatives: &[AlternativeZone],
) -> f64 {
    let mut spare = 0.0;
    for alternative in alternatives.iter().filter(|zone| zone.is_usable(rules)) {
        if alternative.rate_per_second <= 0.0 {
            // No rate is listed and next to nothing is rejected.
            return 1.0;
        }
        spare += alternative.spare_per_second(rules);
    }
    if spare <= 0.0 {
        return 0.0;
    }
    let share = (spare / load_per_second.max(1e-9)).min(1.0);
    // In hundredths: a share that moves with each report would be another order each time.
    let share = (share * 100.0).floor() / 100.0;
    if share < LEAST_MOVABLE_SHARE {
        return 0.0;
    }
    share
}

#[cfg(test)]
mod tests;
