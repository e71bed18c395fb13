//! Tests of routes for a destination, class and tenant, and of ranks and shares of zones.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn zones(names: &[&str]) -> Vec<String> {
    names.iter().map(|n| n.to_string()).collect()
}

fn group(share: u32, names: &[&str]) -> WeightedZones {
    WeightedZones {
        share,
        zones: zones(names),
    }
}

fn to(zone: &str) -> Vec<Vec<WeightedZones>> {
    vec![vec![group(1, &[zone])]]
}

fn range(first: u16, last: u16) -> DestinationRange {
    DestinationRange { first, last }
}

fn key(dest: u16, class: u16, tenant: u16) -> RouteKey {
    RouteKey {
        dest,
        class,
        tenant,
        draw: 0.0,
    }
}

/// Returns routes of each specificity, with a zone that is named after it.
fn specs_of_each_specificity() -> Vec<RouteSpec> {
    vec![
        RouteSpec {
            tiers: to("all"),
            ..RouteSpec::default()
        },
        RouteSpec {
            tenants: Some(vec![1]),
            tiers: to("tenant"),
            ..RouteSpec::default()
        },
        RouteSpec {
            classes: Some(vec![1]),
            tiers: to("class"),
            ..RouteSpec::default()
        },
        RouteSpec {
            destinations: Some(vec![range(7, 7), range(100, 199)]),
            tiers: to("dest"),
            ..RouteSpec::default()
        },
        RouteSpec {
            destinations: Some(vec![range(7, 7)]),
            classes: Some(vec![0]),
            ..RouteSpec::default()
        },
        RouteSpec {
            destinations: Some(vec![range(65_535, 65_535)]),
            tiers: to("last"),
            ..RouteSpec::default()
        },
    ]
}

#[test]
fn the_most_specific_route_applies_by_destination_then_class_then_tenant() {
    let routes = Routes::new(2, 2, specs_of_each_specificity());
    let goes = |dest, class, tenant| {
        let found = routes.find(&key(dest, class, tenant));
        let names: Vec<&str> = found
            .zones()
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
    // A class of a policy maps to one of the sender's own classes.
    assert_eq!(
        (goes(3, 5, 0), goes(3, 4, 0)),
        ("class".into(), "all".into())
    );
    assert!(routes.find(&key(7, 0, 0)).serves_nobody() && routes.find(&key(7, 1, 0)).has_zones());
    assert_eq!(
        (
            routes.matches_for(7).len(),
            routes.matches_for(3).len(),
            routes.matches_for(150).len()
        ),
        (2, 3, 1)
    );
    assert_eq!(Routes::default().rank(&key(7, 0, 0), 9), Some(0));
}

#[test]
fn a_draw_picks_a_group_and_one_of_its_zones_and_ranks_the_others_after_it() {
    let tiers = vec![
        vec![group(3, &["a", "b"]), group(1, &["c"])],
        vec![group(1, &["d", "a"])],
    ];
    let routes = Routes::new(
        1,
        1,
        vec![RouteSpec {
            tiers,
            ..RouteSpec::default()
        }],
    );
    let ranks = |draw| {
        let found = RouteKey {
            draw,
            ..key(1, 0, 0)
        };
        [0, 1, 2, 3, 4].map(|zone| routes.rank(&found, zone))
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
    // In the second tier, 0.1 x 31 draws the first zone, and 0.8 x 31 the second, which is also in
    // the first tier.
    assert_eq!(ranks(0.1), some([0, 1, 2, 3]));
    assert_eq!(ranks(0.5), some([1, 0, 2, 4]));
    assert_eq!(ranks(0.8), some([2, 2, 0, 4]));
    assert_eq!(ranks(1.0), some([0, 1, 2, 3]));
    // The sender's own zone numbers do not change the ranks.
    let own = routes.with_zone_numbers(|name| 50 - u16::from(name.as_bytes()[0] - b'a'));
    let found = RouteKey {
        draw: 0.5,
        ..key(1, 0, 0)
    };
    assert_eq!(
        [50, 49, 48, 47, 46].map(|zone| own.rank(&found, zone)),
        ranks(0.5)
    );
}

/// Tiers over zones `z0` to `z11`; no zone appears twice in a tier.
fn tiers() -> impl Strategy<Value = Vec<Vec<WeightedZones>>> {
    let order = Just((0..12).collect::<Vec<u32>>()).prop_shuffle();
    let tier =
        (order, prop::collection::vec((1u32..40, 1usize..4), 1..4)).prop_map(|(order, groups)| {
            let mut names = order.into_iter().map(|z| format!("z{z}"));
            groups
                .into_iter()
                .map(|(share, n)| WeightedZones {
                    share,
                    zones: names.by_ref().take(n).collect(),
                })
                .collect()
        });
    prop::collection::vec(tier, 1..MOST_TIERS)
}

proptest! {
    #![proptest_config(Config {
        cases: 24,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn shares_hold_in_each_tier_and_only_named_zones_are_returned(
        tiers in tiers(),
        salt in any::<u64>(),
    ) {
        let spec = RouteSpec { tiers: tiers.clone(), ..RouteSpec::default() };
        let routes = Routes::new(1, 1, vec![spec]);
        let mut first: Vec<Vec<u32>> = tiers.iter().map(|groups| vec![0; groups.len()]).collect();
        let groups = tiers.iter().flatten();
        let named: BTreeSet<&String> = groups.flat_map(|group| &group.zones).collect();
        for number in 0..10_000 {
            let found = routes.find(&RouteKey { draw: message_draw(salt, number), ..key(1, 0, 0) });
            let given = found.zones().map(|zone| &routes.zones()[usize::from(zone)]);
            let given: BTreeSet<&String> = given.collect();
            prop_assert_eq!(&given, &named);
            prop_assert_eq!(found.rank(named.len() as u16), None);
            for (tier, groups) in routes.routes[0].tiers.iter().enumerate() {
                let drawn = found.draw_in_tier(groups, tier as u16);
                prop_assert!(groups[drawn.group].zones.contains(&drawn.zone));
                first[tier][drawn.group] += 1;
            }
        }
        for (groups, first) in tiers.iter().zip(&first) {
            let sum: f64 = groups.iter().map(|group| f64::from(group.share)).sum();
            for (group, drawn) in groups.iter().zip(first) {
                let (share, seen) = (f64::from(group.share) / sum, f64::from(*drawn) / 10_000.0);
                prop_assert!((share - seen).abs() < 0.02, "{} of {:?}", seen, groups);
            }
        }
    }
}
