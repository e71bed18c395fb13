//! Tables that are added, activated and removed.

use super::*;
use crate::dispatch::routing::{RouteSpec, WeightedZones};

#[test]
fn at_most_three_tables_are_known_and_the_current_one_is_neither_removed_nor_replaced() {
    let tables = RoutingTables::default();
    let to = |zone: &str| {
        let tiers = vec![vec![WeightedZones {
            share: 1,
            zones: vec![zone.to_string()],
        }]];
        Routes::new(
            1,
            1,
            vec![RouteSpec {
                tiers,
                ..RouteSpec::default()
            }],
        )
    };
    let number = |zone: &str| if zone == "a" { 7 } else { 8 };
    let message = Envelope {
        dest: 1,
        ..Envelope::default()
    };
    assert!(!tables.add(0, to("a")) && tables.add(4, to("a")) && tables.add(4, to("b")));
    assert!(tables.activate(5, number).is_none() && tables.activate(4, number).is_some());
    assert_eq!(
        (
            tables.current_number(),
            tables.allows_zone(&message, 7),
            tables.allows_zone(&message, 8)
        ),
        (4, false, true)
    );
    assert!(!tables.add(4, to("a")) && !tables.remove(4));
    assert!(tables.add(5, to("a")) && tables.add(6, to("a")) && !tables.add(7, to("a")));
    assert!(tables.remove(5) && !tables.remove(5) && tables.add(7, to("a")));
    assert!(
        tables.activate(0, number).is_some() && tables.remove(4) && tables.allows_zone(&message, 9)
    );
    assert_eq!(
        (tables.numbers(), tables.current_routes().is_empty()),
        (vec![6, 7], true)
    );
}
