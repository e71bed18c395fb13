//! Selection of the zones that may serve a message, with their order and shares.
//!
//! Decides: the route of a message and the rank of each zone on it. Inputs: the routing table's
//! routes ([`RouteSpec`]) and the message's routing attributes ([`RouteKey`]). Callers: the
//! dispatcher for each choice of an endpoint, the delivery of a message right before its first byte
//! is sent, and the coordination part, which turns a table into [`Routes`]. Endpoints and their
//! health are not known here.
//!
//! **Order.** A message takes one route, the most specific one that matches it: a route that names
//! its destination before one for all destinations; among those, one that names its class; then one
//! that names its tenant. A route has tiers, each with groups of zones that have a share. Within a
//! tier the message's draw picks one group by the shares, and one zone of that group with equal
//! probability: that zone comes first, then the others of its group, then the others of the tier,
//! then the next tier.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;

/// Largest number of tiers of a route: zones beyond have no useful order.
pub const MOST_TIERS: usize = 8;
/// Ranks within a tier: the drawn zone, the others of its group, all others.
const RANKS_PER_TIER: u16 = 3;
/// Factor that turns a message's draw into its draw in the next tier. Without it all messages that
/// one group of a tier passes on would go to the same group of the next tier. It is a prime, and
/// small enough that 18 bits of a draw are left in the last tier.
const NEXT_TIER_FACTOR: f64 = 31.0;

/// Attributes of a message that determine its route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteKey {
    /// The message's destination.
    pub dest: u16,
    /// Its class, as a position in the sender's own settings. Positions beyond them wrap around to
    /// the first: these are the classes of a policy.
    pub class: u16,
    /// Its tenant, by position.
    pub tenant: u16,
    /// A uniform random number from 0 to 1, the same for all attempts of the message.
    pub draw: f64,
}

/// A route of the routing table, with zones by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteSpec {
    /// Ranges of destinations; none for all.
    pub destinations: Option<Vec<DestinationRange>>,
    /// Classes, by position; none for all.
    pub classes: Option<Vec<u16>>,
    /// Tenants, by position; none for all.
    pub tenants: Option<Vec<u16>>,
    /// Tiers, each with groups of zones. Empty: no zone serves the messages, on purpose.
    pub tiers: Vec<Vec<WeightedZones>>,
}

impl RouteSpec {
    fn names_destination(&self, dest: u16) -> bool {
        let mut ranges = self.destinations.iter().flatten();
        ranges.any(|range| (range.first..=range.last).contains(&dest))
    }
}

/// A range of destinations, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DestinationRange {
    /// The first destination.
    pub first: u16,
    /// The last destination.
    pub last: u16,
}

/// Zones that together receive a share of a tier's messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedZones {
    /// Their share, relative to the tier's other shares.
    pub share: u32,
    /// Their names.
    pub zones: Vec<String>,
}

/// The routes of a table; without any, the endpoint list alone decides where messages go.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routes {
    /// Number of classes of the sender.
    classes: u16,
    /// Number of tenants of the sender.
    tenants: u16,
    /// Names of the zones. Routes refer to zones by position until [`Routes::with_zone_numbers`].
    zones: Vec<String>,
    /// Routes, the most specific first.
    routes: Vec<Route>,
    /// Routes that name destinations, by spans of destinations that are named by the same routes.
    spans: Vec<DestinationSpan>,
    /// Positions of the routes for all destinations.
    for_all_destinations: Vec<u16>,
}

/// Destinations from `first` up to the next span, and the routes that name them.
#[derive(Clone, Debug, PartialEq)]
struct DestinationSpan {
    first: u16,
    /// Positions in [`Routes::routes`].
    routes: Vec<u16>,
}

#[derive(Clone, Debug, PartialEq)]
struct Route {
    classes: Option<BTreeSet<u16>>,
    tenants: Option<BTreeSet<u16>>,
    tiers: Vec<Vec<ZoneGroup>>,
    /// Tier and group of each zone, sorted by zone.
    ranks: Vec<ZoneRank>,
}

#[derive(Clone, Debug, PartialEq)]
struct ZoneGroup {
    /// Upper end of the group's share of the tier, as a part of 1.
    upper_bound: f64,
    zones: Vec<u16>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct ZoneRank {
    zone: u16,
    tier: u16,
    /// Position of the zone's group in its tier.
    group: u16,
}

/// The route of one message, if there is one.
#[derive(Clone, Copy, Debug)]
pub struct RouteMatch<'a> {
    /// Position among the routes.
    position: Option<u16>,
    route: Option<&'a Route>,
    draw: f64,
}

/// Group and zone that a message draws in one tier.
struct Drawn {
    /// Position of the group.
    group: usize,
    zone: u16,
}

/// Returns the draw of a message, uniform from 0 to 1, from its number and a salt: the same each
/// time.
///
/// Consecutive numbers are mixed by the final steps of splitmix64.
pub fn message_draw(salt: u64, number: u32) -> f64 {
    let mut x = salt.wrapping_add(u64::from(number).wrapping_mul(0x9E37_79B9_7F4A_7C15));
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

impl Routes {
    /// Creates the routes of a sender with `classes` and `tenants`; at least one of each.
    pub fn new(classes: usize, tenants: usize, mut specs: Vec<RouteSpec>) -> Routes {
        let count = |n: usize| u16::try_from(n).unwrap_or(u16::MAX).max(1);
        let mut routes = Routes {
            classes: count(classes),
            tenants: count(tenants),
            ..Routes::default()
        };
        // The sort is stable, and no two routes of the same specificity match one message.
        specs.sort_by_key(|spec| {
            (
                spec.destinations.is_none(),
                spec.classes.is_none(),
                spec.tenants.is_none(),
            )
        });
        for spec in &specs {
            let route = routes.route(spec);
            routes.routes.push(route);
        }
        routes.spans = spans(&specs);
        routes.for_all_destinations = positions(&specs, |spec| spec.destinations.is_none());
        routes
    }

    fn route(&mut self, spec: &RouteSpec) -> Route {
        let mut tiers = Vec::new();
        let mut ranks: Vec<ZoneRank> = Vec::new();
        for (tier, groups) in spec.tiers.iter().enumerate() {
            let groups = self.zone_groups(groups);
            for (group, zone_group) in groups.iter().enumerate() {
                for &zone in &zone_group.zones {
                    // If a zone appears again in a later tier, its first position counts.
                    if ranks.iter().all(|rank| rank.zone != zone) {
                        ranks.push(ZoneRank {
                            zone,
                            tier: tier as u16,
                            group: group as u16,
                        });
                    }
                }
            }
            tiers.push(groups);
        }
        ranks.sort_by_key(|rank| rank.zone);
        let set =
            |listed: &Option<Vec<u16>>| listed.as_ref().map(|all| all.iter().copied().collect());
        Route {
            classes: set(&spec.classes),
            tenants: set(&spec.tenants),
            tiers,
            ranks,
        }
    }

    /// Returns the groups of a tier, with the part of 1 that each receives.
    fn zone_groups(&mut self, groups: &[WeightedZones]) -> Vec<ZoneGroup> {
        let sum: f64 = groups.iter().map(|group| f64::from(group.share)).sum();
        let mut upper_bound = 0.0;
        let mut drawn = Vec::new();
        for group in groups {
            upper_bound += f64::from(group.share) / sum;
            let zones = group.zones.iter().map(|zone| self.zone_position(zone));
            drawn.push(ZoneGroup {
                upper_bound,
                zones: zones.collect(),
            });
        }
        // Rounding must not leave a draw without a group.
        if let Some(last) = drawn.last_mut() {
            last.upper_bound = 1.0;
        }
        drawn
    }

    /// Returns the position of a zone by its name; a new zone is appended.
    fn zone_position(&mut self, name: &str) -> u16 {
        if let Some(position) = self.zones.iter().position(|zone| zone == name) {
            return position as u16;
        }
        self.zones.push(name.into());
        (self.zones.len() - 1) as u16
    }

    /// Whether there are no routes, so that the endpoint list alone decides.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Returns the names of all zones in the routes, in the order of their numbers until
    /// [`Routes::with_zone_numbers`].
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// Returns the same routes with the sender's numbers of the zones.
    pub fn with_zone_numbers(&self, mut number: impl FnMut(&str) -> u16) -> Routes {
        let numbers: Vec<u16> = self.zones.iter().map(|zone| number(zone)).collect();
        let mut renumbered = self.clone();
        for route in &mut renumbered.routes {
            for rank in &mut route.ranks {
                rank.zone = numbers[usize::from(rank.zone)];
            }
            route.ranks.sort_by_key(|rank| rank.zone);
            for group in route.tiers.iter_mut().flatten() {
                for zone in &mut group.zones {
                    *zone = numbers[usize::from(*zone)];
                }
            }
        }
        renumbered
    }

    /// Returns the route of a message.
    pub fn find(&self, message: &RouteKey) -> RouteMatch<'_> {
        let class = message.class % self.classes.max(1);
        let position = self
            .candidates(message.dest)
            .find(|position| self.routes[usize::from(*position)].is_for(class, message.tenant));
        RouteMatch {
            position,
            route: position.map(|position| &self.routes[usize::from(position)]),
            draw: message.draw,
        }
    }

    /// Returns the rank of a zone for a message, which goes to the available zone with the lowest
    /// rank. None where the message may not go there.
    pub fn rank(&self, message: &RouteKey, zone: u16) -> Option<u16> {
        if self.is_empty() {
            return Some(0);
        }
        self.find(message).rank(zone)
    }

    /// Returns the matches of all messages for a destination: one for each route that is taken, and
    /// one without a route where some class and tenant has none.
    pub fn matches_for(&self, dest: u16) -> Vec<RouteMatch<'_>> {
        let mut matches: Vec<RouteMatch<'_>> = Vec::new();
        for class in 0..self.classes {
            for tenant in 0..self.tenants {
                let found = self.find(&RouteKey {
                    dest,
                    class,
                    tenant,
                    draw: 0.0,
                });
                if !matches.iter().any(|other| other.is_same_route(&found)) {
                    matches.push(found);
                }
            }
        }
        matches
    }

    /// Returns the positions of the routes that may match messages of a destination, the most
    /// specific first.
    fn candidates(&self, dest: u16) -> impl Iterator<Item = u16> + '_ {
        let span = self
            .spans
            .partition_point(|span| span.first <= dest)
            .checked_sub(1);
        let named = span.map_or(&[][..], |span| &self.spans[span].routes);
        named.iter().chain(&self.for_all_destinations).copied()
    }
}

/// Returns the spans of destinations that are named by the same routes.
fn spans(specs: &[RouteSpec]) -> Vec<DestinationSpan> {
    let mut edges = BTreeSet::new();
    for range in specs.iter().flat_map(|spec| &spec.destinations).flatten() {
        edges.insert(range.first);
        edges.extend(range.last.checked_add(1));
    }
    let span = |first| DestinationSpan {
        first,
        routes: positions(specs, |spec| spec.names_destination(first)),
    };
    edges.into_iter().map(span).collect()
}

fn positions(specs: &[RouteSpec], which: impl Fn(&RouteSpec) -> bool) -> Vec<u16> {
    let all = specs.iter().enumerate().filter(|(_, spec)| which(spec));
    all.map(|(position, _)| position as u16).collect()
}

impl Route {
    fn is_for(&self, class: u16, tenant: u16) -> bool {
        let is_named = |names: &Option<BTreeSet<u16>>, name| {
            names.as_ref().is_none_or(|names| names.contains(&name))
        };
        is_named(&self.classes, class) && is_named(&self.tenants, tenant)
    }
}

impl RouteMatch<'_> {
    /// Returns the rank of a zone on the route. None where the route does not lead there.
    pub fn rank(&self, zone: u16) -> Option<u16> {
        let route = self.route?;
        let found = route.ranks.binary_search_by_key(&zone, |rank| rank.zone);
        let rank = route.ranks[found.ok()?];
        let drawn = self.draw_in_tier(&route.tiers[usize::from(rank.tier)], rank.tier);
        let same_group = drawn.group == usize::from(rank.group);
        let within_tier = match (drawn.zone == zone, same_group) {
            (true, true) => 0,
            (false, true) => 1,
            _ => 2,
        };
        Some(rank.tier * RANKS_PER_TIER + within_tier)
    }

    /// Whether the route leads to any zone.
    pub fn has_zones(&self) -> bool {
        self.route.is_some_and(|route| !route.ranks.is_empty())
    }

    /// Whether the route has no zones on purpose.
    pub fn serves_nobody(&self) -> bool {
        self.route.is_some_and(|route| route.ranks.is_empty())
    }

    /// Whether another message takes the same route, so that both may go to the same zones.
    pub fn is_same_route(&self, other: &RouteMatch<'_>) -> bool {
        self.position == other.position
    }

    /// Returns the zones of the route, by number.
    pub fn zones(&self) -> impl Iterator<Item = u16> + '_ {
        let ranks = self.route.into_iter().flat_map(|route| &route.ranks);
        ranks.map(|rank| rank.zone)
    }

    /// Returns the group and the zone that the message draws in a tier.
    fn draw_in_tier(&self, groups: &[ZoneGroup], tier: u16) -> Drawn {
        let draw = (self.draw.clamp(0.0, 1.0) * NEXT_TIER_FACTOR.powi(i32::from(tier))).fract();
        let group = groups
            .iter()
            .position(|group| draw < group.upper_bound)
            .unwrap_or(groups.len() - 1);
        let lower_bound = match group {
            0 => 0.0,
            _ => groups[group - 1].upper_bound,
        };
        let zones = &groups[group].zones;
        let within = (draw - lower_bound) / (groups[group].upper_bound - lower_bound);
        let zone = (within * zones.len() as f64) as usize;
        Drawn {
            group,
            zone: zones[zone.min(zones.len() - 1)],
        }
    }
}
