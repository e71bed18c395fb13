//! Which zones may serve a destination, in which order and shares. No decision on providers is made
//! here: the module asks where a message may go and where it should go first.
//!
//! **Order.** A message goes by one route, the most specific one that is for it: one that names its
//! destination before one for all destinations; where that is the same, one that names its class;
//! then one that names its tenant. A route has tiers. Within a tier the message's lot draws one
//! part by the shares and one of that part's zones evenly: that zone comes first, then the part's
//! others, then the tier's others, then the next tier.

use std::collections::BTreeSet;

/// Most tiers of a route: what is farther back than this is no order any more.
pub const MOST_TIERS: usize = 8;
/// Places within a tier: the zone that the lot drew, others of its part, all others.
const PLACES: u16 = 3;
/// Turns a lot into that of the next tier: else whom one tier's lots send on would all go to the
/// same part of the next. A prime, and small enough that 18 bits are left of a lot in the last
/// tier.
const NEXT_TIER: f64 = 31.0;

/// A message, as far as its way depends on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Traveller {
    /// Its destination.
    pub dest: u16,
    /// Its class, as a position in the sender's own settings, or beyond them: there they begin
    /// again.
    pub class: u16,
    /// Its tenant, by position.
    pub tenant: u16,
    /// Its lot, evenly from 0 to 1: the same for all its attempts.
    pub lot: f64,
}

/// What a route says, by names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Said {
    /// Destinations, from and to; nothing for all.
    pub dests: Option<Vec<(u16, u16)>>,
    /// Classes, by position; nothing for all.
    pub classes: Option<Vec<u16>>,
    /// Tenants, by position; nothing for all.
    pub tenants: Option<Vec<u16>>,
    /// Tiers, each of parts with their share and zones. None at all: nobody serves them, on
    /// purpose.
    pub tiers: Vec<Vec<(u32, Vec<String>)>>,
}

/// The routes of a table; without any, all go where the list says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routes {
    /// Classes and tenants of the sender.
    bounds: (u16, u16),
    /// Names of the zones; routes name them by these places until [`Routes::numbered`].
    zones: Vec<String>,
    /// The most specific first.
    routes: Vec<Route>,
    /// Where another set of routes begins to count, by destination, and the routes that name these
    /// destinations.
    spans: Vec<(u16, Vec<u16>)>,
    /// Those for all destinations.
    rest: Vec<u16>,
}

#[derive(Clone, Debug, PartialEq)]
struct Route {
    classes: Option<BTreeSet<u16>>,
    tenants: Option<BTreeSet<u16>>,
    tiers: Vec<Vec<Part>>,
    /// Zones in their order, with tier and part.
    stands: Vec<Stand>,
}

#[derive(Clone, Debug, PartialEq)]
struct Part {
    /// Where its share of the tier ends, of 1.
    upto: f64,
    zones: Vec<u16>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Stand {
    zone: u16,
    tier: u16,
    part: u16,
}

/// The way of one message.
#[derive(Clone, Copy, Debug)]
pub struct Way<'a> {
    /// Its place among the routes.
    at: Option<u16>,
    route: Option<&'a Route>,
    lot: f64,
}

/// The lot of a message, evenly from 0 to 1, by its number and a salt: the same each time. Numbers
/// that follow each other are spread by splitmix64's last steps.
pub fn lot_of(salt: u64, number: u32) -> f64 {
    let mut x = salt.wrapping_add(u64::from(number).wrapping_mul(0x9E37_79B9_7F4A_7C15));
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

impl Routes {
    /// Routes for a sender with so many classes and tenants; one at least of each.
    pub fn new(classes: usize, tenants: usize, mut said: Vec<Said>) -> Routes {
        let most = |n: usize| u16::try_from(n).unwrap_or(u16::MAX).max(1);
        let mut routes = Routes {
            bounds: (most(classes), most(tenants)),
            ..Routes::default()
        };
        // The sort is stable, and no two of the same rank are for one message.
        said.sort_by_key(|s| (s.dests.is_none(), s.classes.is_none(), s.tenants.is_none()));
        let mut edges = BTreeSet::new();
        for s in &said {
            for (from, to) in s.dests.iter().flatten() {
                edges.insert(*from);
                edges.extend(to.checked_add(1));
            }
            let route = routes.route(s);
            routes.routes.push(route);
        }
        let at = |of: &dyn Fn(&Said) -> bool| {
            let all = said.iter().enumerate().filter(|(_, s)| of(s));
            all.map(|(at, _)| at as u16).collect::<Vec<u16>>()
        };
        let names = |dest: u16, s: &Said| {
            s.dests
                .iter()
                .flatten()
                .any(|(from, to)| (*from..=*to).contains(&dest))
        };
        routes.spans = edges
            .into_iter()
            .map(|dest| (dest, at(&|s| names(dest, s))))
            .collect();
        routes.rest = at(&|s| s.dests.is_none());
        routes
    }

    fn route(&mut self, said: &Said) -> Route {
        let (mut tiers, mut stands): (Vec<Vec<Part>>, Vec<Stand>) = (Vec::new(), Vec::new());
        for (tier, parts) in said.tiers.iter().enumerate() {
            let sum: f64 = parts.iter().map(|(share, _)| f64::from(*share)).sum();
            let (mut upto, mut drawn) = (0.0, Vec::new());
            for (part, (share, zones)) in parts.iter().enumerate() {
                let zones: Vec<u16> = zones.iter().map(|zone| self.place(zone)).collect();
                for zone in zones.iter().copied() {
                    // Where a zone stands farther back once more, the first place counts.
                    if stands.iter().all(|s| s.zone != zone) {
                        stands.push(Stand {
                            zone,
                            tier: tier as u16,
                            part: part as u16,
                        });
                    }
                }
                upto += f64::from(*share) / sum;
                drawn.push(Part { upto, zones });
            }
            // Rounding leaves no lot without a part.
            drawn
                .last_mut()
                .into_iter()
                .for_each(|last| last.upto = 1.0);
            tiers.push(drawn);
        }
        stands.sort_by_key(|s| s.zone);
        let set = |named: &Option<Vec<u16>>| named.as_ref().map(|n| n.iter().copied().collect());
        Route {
            classes: set(&said.classes),
            tenants: set(&said.tenants),
            tiers,
            stands,
        }
    }

    fn place(&mut self, zone: &str) -> u16 {
        let at = self
            .zones
            .iter()
            .position(|z| z == zone)
            .unwrap_or_else(|| {
                self.zones.push(zone.into());
                self.zones.len() - 1
            });
        at as u16
    }

    /// Whether nothing is narrowed.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Names of the zones that any route names, in the order of their numbers until
    /// [`Routes::numbered`].
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// The same with the numbers that the sender has for its zones.
    pub fn numbered(&self, mut number: impl FnMut(&str) -> u16) -> Routes {
        let numbers: Vec<u16> = self.zones.iter().map(|zone| number(zone)).collect();
        let mut same = self.clone();
        for route in &mut same.routes {
            route
                .stands
                .iter_mut()
                .for_each(|s| s.zone = numbers[usize::from(s.zone)]);
            route.stands.sort_by_key(|s| s.zone);
            let parts = route.tiers.iter_mut().flatten();
            parts.for_each(|p| {
                p.zones
                    .iter_mut()
                    .for_each(|zone| *zone = numbers[usize::from(*zone)])
            });
        }
        same
    }

    /// The way of a message.
    pub fn way(&self, message: &Traveller) -> Way<'_> {
        let (class, tenant) = (message.class % self.bounds.0.max(1), message.tenant);
        let at = self
            .of(message.dest)
            .find(|at| self.routes[usize::from(*at)].is_for(class, tenant));
        Way {
            at,
            route: at.map(|at| &self.routes[usize::from(at)]),
            lot: message.lot,
        }
    }

    /// How far back a zone stands for a message: it goes to the lowest that takes it. Nothing where
    /// it may not go there.
    pub fn rank(&self, message: &Traveller, zone: u16) -> Option<u16> {
        if self.is_empty() {
            return Some(0);
        }
        self.way(message).rank(zone)
    }

    /// Ways of all messages for a destination: one for each route that is gone by, and one that
    /// leads nowhere where some class and tenant has none.
    pub fn ways(&self, dest: u16) -> Vec<Way<'_>> {
        let (classes, tenants) = self.bounds;
        let mut ways: Vec<Way<'_>> = Vec::new();
        for class in 0..classes {
            for tenant in 0..tenants {
                let way = self.way(&Traveller {
                    dest,
                    class,
                    tenant,
                    lot: 0.0,
                });
                if ways.iter().all(|w| w.at != way.at) {
                    ways.push(way);
                }
            }
        }
        ways
    }

    /// Routes that may be for messages of a destination, the most specific first.
    fn of(&self, dest: u16) -> impl Iterator<Item = u16> + '_ {
        let span = self
            .spans
            .partition_point(|(from, _)| *from <= dest)
            .checked_sub(1);
        let named = span.map_or(&[][..], |at| &self.spans[at].1);
        named.iter().chain(&self.rest).copied()
    }
}

impl Route {
    fn is_for(&self, class: u16, tenant: u16) -> bool {
        let named =
            |names: &Option<BTreeSet<u16>>, name| names.as_ref().is_none_or(|n| n.contains(&name));
        named(&self.classes, class) && named(&self.tenants, tenant)
    }
}

impl Way<'_> {
    /// How far back a zone stands on it. Nothing where it does not lead there.
    pub fn rank(&self, zone: u16) -> Option<u16> {
        let route = self.route?;
        let at = route.stands.binary_search_by_key(&zone, |s| s.zone).ok()?;
        let stand = route.stands[at];
        let (part, first) = self.drawn(&route.tiers[usize::from(stand.tier)], stand.tier);
        let place = match (first == zone, part == usize::from(stand.part)) {
            (true, true) => 0,
            (false, true) => 1,
            _ => 2,
        };
        Some(stand.tier * PLACES + place)
    }

    /// Whether it leads anywhere.
    pub fn leads(&self) -> bool {
        self.route.is_some_and(|r| !r.stands.is_empty())
    }

    /// Whether a table says on purpose that nobody serves.
    pub fn nobody(&self) -> bool {
        self.route.is_some_and(|r| r.stands.is_empty())
    }

    /// Whether another message goes by the same route: both may go to the same zones.
    pub fn same(&self, other: &Way<'_>) -> bool {
        self.at == other.at
    }

    /// Zones that it leads to, by number.
    pub fn leads_to(&self) -> impl Iterator<Item = u16> + '_ {
        self.route
            .into_iter()
            .flat_map(|r| r.stands.iter().map(|s| s.zone))
    }

    /// The part and the zone that its lot draws in a tier.
    fn drawn(&self, parts: &[Part], tier: u16) -> (usize, u16) {
        let lot = (self.lot.clamp(0.0, 1.0) * NEXT_TIER.powi(i32::from(tier))).fract();
        let at = parts
            .iter()
            .position(|p| lot < p.upto)
            .unwrap_or(parts.len() - 1);
        let from = if at == 0 { 0.0 } else { parts[at - 1].upto };
        let (zones, within) = (&parts[at].zones, (lot - from) / (parts[at].upto - from));
        let zone = (within * zones.len() as f64) as usize;
        (at, zones[zone.min(zones.len() - 1)])
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::{Config, RngSeed};

    fn zones(names: &[&str]) -> Vec<String> {
        names.iter().map(|n| n.to_string()).collect()
    }

    fn to(zone: &str) -> Vec<Vec<(u32, Vec<String>)>> {
        vec![vec![(1, zones(&[zone]))]]
    }

    fn traveller(dest: u16, class: u16, tenant: u16) -> Traveller {
        Traveller {
            dest,
            class,
            tenant,
            lot: 0.0,
        }
    }

    #[test]
    fn the_most_specific_route_counts_by_destination_then_class_then_tenant() {
        let said = vec![
            Said {
                tiers: to("all"),
                ..Said::default()
            },
            Said {
                tenants: Some(vec![1]),
                tiers: to("tenant"),
                ..Said::default()
            },
            Said {
                classes: Some(vec![1]),
                tiers: to("class"),
                ..Said::default()
            },
            Said {
                dests: Some(vec![(7, 7), (100, 199)]),
                tiers: to("dest"),
                ..Said::default()
            },
            Said {
                dests: Some(vec![(7, 7)]),
                classes: Some(vec![0]),
                ..Said::default()
            },
            Said {
                dests: Some(vec![(65_535, 65_535)]),
                tiers: to("last"),
                ..Said::default()
            },
        ];
        let routes = Routes::new(2, 2, said);
        let goes = |dest, class, tenant| {
            let way = routes.way(&traveller(dest, class, tenant));
            let names: Vec<&str> = way
                .leads_to()
                .map(|z| routes.zones()[usize::from(z)].as_str())
                .collect();
            names.join(" ")
        };
        assert_eq!(
            [goes(3, 0, 0), goes(3, 0, 1), goes(3, 1, 1)],
            ["all", "tenant", "class"]
        );
        assert_eq!(
            [
                goes(99, 1, 0),
                goes(100, 1, 1),
                goes(199, 0, 0),
                goes(200, 0, 0)
            ],
            ["class", "dest", "dest", "all"]
        );
        assert_eq!(
            [goes(7, 1, 1), goes(7, 0, 1), goes(65_535, 1, 1)],
            ["dest", "", "last"]
        );
        // A class under a policy is one of the sender's own again.
        assert_eq!(
            (goes(3, 5, 0), goes(3, 4, 0)),
            ("class".into(), "all".into())
        );
        assert!(
            routes.way(&traveller(7, 0, 0)).nobody() && routes.way(&traveller(7, 1, 0)).leads()
        );
        assert_eq!(
            (
                routes.ways(7).len(),
                routes.ways(3).len(),
                routes.ways(150).len()
            ),
            (2, 3, 1)
        );
        assert_eq!(Routes::default().rank(&traveller(7, 0, 0), 9), Some(0));
    }

    #[test]
    fn a_lot_draws_a_part_and_a_zone_of_it_and_the_rest_stands_behind() {
        let tiers = vec![
            vec![(3, zones(&["a", "b"])), (1, zones(&["c"]))],
            vec![(1, zones(&["d", "a"]))],
        ];
        let routes = Routes::new(
            1,
            1,
            vec![Said {
                tiers,
                ..Said::default()
            }],
        );
        let ranks = |lot| {
            let way = Traveller {
                lot,
                ..traveller(1, 0, 0)
            };
            [0, 1, 2, 3, 4].map(|zone| routes.rank(&way, zone))
        };
        let some = |ranks: [u16; 4]| {
            [
                Some(ranks[0]),
                Some(ranks[1]),
                Some(ranks[2]),
                Some(ranks[3]),
                None,
            ]
        };
        // Of the second tier's lot, 0.1 x 31 draws the first zone, and 0.8 x 31 the second, which
        // stands in the first tier.
        assert_eq!(ranks(0.1), some([0, 1, 2, 3]));
        assert_eq!(ranks(0.5), some([1, 0, 2, 4]));
        assert_eq!(ranks(0.8), some([2, 2, 0, 4]));
        assert_eq!(ranks(1.0), some([0, 1, 2, 3]));
        // The sender's own numbers of the zones change nothing.
        let own = routes.numbered(|name| 50 - u16::from(name.as_bytes()[0] - b'a'));
        let way = Traveller {
            lot: 0.5,
            ..traveller(1, 0, 0)
        };
        assert_eq!(
            [50, 49, 48, 47, 46].map(|zone| own.rank(&way, zone)),
            ranks(0.5)
        );
    }

    /// Tiers over zones `z0` to `z11`; no zone stands twice in a tier.
    fn tiers() -> impl Strategy<Value = Vec<Vec<(u32, Vec<String>)>>> {
        let order = Just((0..12).collect::<Vec<u32>>()).prop_shuffle();
        let tier = (order, prop::collection::vec((1u32..40, 1usize..4), 1..4)).prop_map(
            |(order, parts)| {
                let mut names = order.into_iter().map(|z| format!("z{z}"));
                parts
                    .into_iter()
                    .map(|(share, n)| (share, names.by_ref().take(n).collect()))
                    .collect()
            },
        );
        prop::collection::vec(tier, 1..MOST_TIERS)
    }

    proptest! {
        #![proptest_config(Config { cases: 24, rng_seed: RngSeed::Fixed(41), failure_persistence: None, ..Config::default() })]

        #[test]
        fn shares_are_kept_in_each_tier_and_no_zone_that_is_not_named_is_given(tiers in tiers(), salt in any::<u64>()) {
            let routes = Routes::new(1, 1, vec![Said { tiers: tiers.clone(), ..Said::default() }]);
            let mut first: Vec<Vec<u32>> = tiers.iter().map(|parts| vec![0; parts.len()]).collect();
            let named: BTreeSet<&String> = tiers.iter().flatten().flat_map(|(_, z)| z).collect();
            for number in 0..10_000 {
                let way = routes.way(&Traveller { lot: lot_of(salt, number), ..traveller(1, 0, 0) });
                let given: BTreeSet<&String> = way.leads_to().map(|z| &routes.zones()[usize::from(z)]).collect();
                prop_assert_eq!(&given, &named);
                prop_assert_eq!(way.rank(named.len() as u16), None);
                for (tier, parts) in routes.routes[0].tiers.iter().enumerate() {
                    let (part, zone) = way.drawn(parts, tier as u16);
                    prop_assert!(parts[part].zones.contains(&zone));
                    first[tier][part] += 1;
                }
            }
            for (parts, first) in tiers.iter().zip(&first) {
                let sum: f64 = parts.iter().map(|(share, _)| f64::from(*share)).sum();
                for ((share, _), drawn) in parts.iter().zip(first) {
                    let (share, seen) = (f64::from(*share) / sum, f64::from(*drawn) / 10_000.0);
                    prop_assert!((share - seen).abs() < 0.02, "{} of {:?}", seen, parts);
                }
            }
        }
    }
}
