//! Listed capacity of each zone, and the share of a zone's traffic that the others can take when it
//! is evacuated.
//!
//! Senders report the endpoint lists that they hold. [`EndpointLists`] stores equal lists once, and
//! computes for each zone and destination the median of all senders' values, so that a single wrong
//! or outdated list has no effect. [`movable_share`] compares the load of a zone with the spare
//! capacity of the others.
//!
//! The leader owns one [`EndpointLists`] for its term and is the only caller. The
//! [leader](crate::coordination::leader) decides which zone is evacuated.

use crate::coordination::messages::ListedZoneCapacity;
use crate::coordination::zones::ZoneRules;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Maximum number of lines that count of one list: 50 zones with 80 destinations.
pub const MAX_LINES_PER_LIST: usize = 4_000;
/// Maximum number of lines of all distinct lists together. A sender whose list would exceed it
/// counts as one without a list.
const MAX_LINES: usize = 100_000;
/// Share of the senders below which evacuating a zone for a destination is not worth an order.
const MIN_MOVABLE_SHARE: f64 = 0.05;

/// A zone and a destination in it.
type Route = (String, u16);

/// Capacity of a zone and destination, as the median of all senders' lists.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ListedCapacity {
    /// Number of endpoints that accept calls.
    pub endpoints: u32,
    /// Calls per second that they take together; 0 if no rate is listed.
    pub rate_per_second: f64,
}

/// A list and the number of senders that hold it.
#[derive(Clone, Debug)]
struct SharedList {
    lines: Vec<ListedZoneCapacity>,
    senders: usize,
}

/// Capacity of a zone and destination in one list, and the number of senders that hold the list.
struct ReportedCapacity {
    capacity: ListedCapacity,
    senders: usize,
}

/// Endpoint lists of all senders, and their medians.
#[derive(Clone, Debug, Default)]
pub struct EndpointLists {
    by_digest: BTreeMap<u64, SharedList>,
    digest_of: BTreeMap<u32, u64>,
    /// Number of lines of all distinct lists.
    line_count: usize,
    /// Whether a list has changed since the medians were computed.
    is_stale: bool,
    capacities: BTreeMap<Route, ListedCapacity>,
    /// Number of destinations of each listed zone.
    destination_counts: BTreeMap<String, usize>,
}

impl EndpointLists {
    /// Records the list that a sender holds and replaces the one that it reported before.
    ///
    /// Takes effect with the next [`EndpointLists::refresh`].
    pub fn report(&mut self, sender: u32, listed: &[ListedZoneCapacity]) {
        self.remove_sender(sender);
        self.is_stale = true;
        let lines = normalized(listed);
        let digest = Digest::of_list(&lines).0;
        match self.by_digest.get_mut(&digest) {
            Some(shared) if shared.lines == lines => shared.senders += 1,
            // Digest collision: the later list is dropped, as it is only one of very many.
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

    /// Removes the list of a sender whose session has ended.
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

    /// Recomputes the medians if any list has changed.
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

    /// Returns the capacities in all lists, by zone and destination.
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

    /// Returns the listed capacity of a zone for a destination; `None` if the median list has no
    /// endpoint for it.
    pub fn capacity(&self, zone: &str, destination: u16) -> Option<ListedCapacity> {
        self.capacities
            .get(&(zone.to_string(), destination))
            .copied()
    }

    /// Returns the destinations that a zone lists, in ascending order.
    pub fn destinations<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = u16> + 'a {
        let first = (zone.to_string(), 0);
        self.capacities
            .range(first..)
            .map(|((listed_zone, destination), _)| (listed_zone, *destination))
            .take_while(move |(listed_zone, _)| *listed_zone == zone)
            .map(|(_, destination)| destination)
    }

    /// Returns the number of destinations that a zone lists; 0 if the zone is not listed.
    pub fn destination_count(&self, zone: &str) -> usize {
        self.destination_counts.get(zone).copied().unwrap_or(0)
    }

    /// Returns the listed zones, in order of their names.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.destination_counts.keys().map(String::as_str)
    }
}

/// Returns the canonical form of a list, which is the same for all senders that hold it: sorted,
/// without duplicate lines or invalid rates, and cut to the length that counts.
fn normalized(listed: &[ListedZoneCapacity]) -> Vec<ListedZoneCapacity> {
    let mut lines: Vec<ListedZoneCapacity> =
        listed.iter().take(MAX_LINES_PER_LIST).cloned().collect();
    lines.retain(|line| line.calls_per_second.is_finite() && line.calls_per_second >= 0.0);
    lines.sort_by(|a, b| (&a.zone, a.dest).cmp(&(&b.zone, b.dest)));
    lines.dedup_by(|a, b| a.zone == b.zone && a.dest == b.dest);
    lines
}

/// Returns the median over all senders of the capacities that they list for one zone and
/// destination; `None` if the median has no endpoint.
fn median_capacity(mut reported: Vec<ReportedCapacity>, senders: usize) -> Option<ListedCapacity> {
    // A list that does not name the route counts as one that has no endpoint there.
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

/// FNV-1a digest of a list: equal lists have equal digests in every process.
struct Digest(u64);

/// Offset basis of 64-bit FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Separator of the fields in a digest, so that bytes which move from one field to the next change
/// the digest.
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

/// Capacity and load of another zone for a destination, before the evacuation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AlternativeZone {
    /// Listed calls per second; 0 if no rate is listed.
    pub rate_per_second: f64,
    /// Calls per second that it accepts.
    pub load_per_second: f64,
    /// Share of recent calls that it rejected.
    pub rejected_share: f64,
    /// Share of the senders that has already been moved out of it.
    pub evacuated_share: f64,
    /// Whether calls to it for this destination fail.
    pub is_failing: bool,
}

impl AlternativeZone {
    /// Whether it may receive any of the traffic.
    fn is_usable(&self, rules: &ZoneRules) -> bool {
        self.evacuated_share < 1.0
            && !self.is_failing
            && self.rejected_share <= rules.rejected_share
    }

    /// Returns the calls per second that it can take in addition to its load.
    fn spare_per_second(&self, rules: &ZoneRules) -> f64 {
        let usable = self.rate_per_second * rules.headroom * (1.0 - self.evacuated_share);
        (usable - self.load_per_second).max(0.0)
    }
}

/// Returns the share of the senders that can be moved out of a zone for a destination with a load
/// of `load_per_second`: as much as the other zones have spare capacity for.
///
/// Returns 0 if there is no other route: the last one is never evacuated.
pub fn movable_share(
    rules: &ZoneRules,
    load_per_second: f64,
    alternatives: &[AlternativeZone],
) -> f64 {
    let mut spare = 0.0;
    for alternative in alternatives.iter().filter(|zone| zone.is_usable(rules)) {
        if alternative.rate_per_second <= 0.0 {
            // No rate is listed and almost no call is rejected, so that the zone takes everything.
            return 1.0;
        }
        spare += alternative.spare_per_second(rules);
    }
    if spare <= 0.0 {
        return 0.0;
    }
    let share = (spare / load_per_second.max(1e-9)).min(1.0);
    // Rounded down to hundredths: a share that changes with each report would cause an order each
    // time.
    let share = (share * 100.0).floor() / 100.0;
    if share < MIN_MOVABLE_SHARE {
        return 0.0;
    }
    share
}

#[cfg(test)]
mod tests;
