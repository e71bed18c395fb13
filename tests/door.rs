//! Who gets a place: whatever comes in whatever order, no cap is exceeded, the reserve is never starved, and no table
//! grows. Seeds are fixed.

use ipnet::IpNet;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use raildeal::door::places::{Places, Rules, Seating, Use};
use raildeal::door::rate::Rate;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

fn fixed() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(0x0000_d007);
    ProptestConfig { rng_seed, failure_persistence: None, cases: 300, ..ProptestConfig::default() }
}

#[derive(Clone, Debug)]
enum Event {
    Comes(u8),
    Used(usize, Use),
    Leaves(usize),
    Identified(usize),
    Passes(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let used = prop_oneof![Just(Use::Silent), Just(Use::Begun), Just(Use::Resting), Just(Use::Busy)];
    prop_oneof![
        6 => any::<u8>().prop_map(Event::Comes),
        3 => (any::<usize>(), used).prop_map(|(n, u)| Event::Used(n, u)),
        2 => any::<usize>().prop_map(Event::Leaves),
        1 => any::<usize>().prop_map(Event::Identified),
        2 => (0u64..300).prop_map(Event::Passes),
    ]
}

/// A few addresses that come often, in IPv4, IPv6 and IPv4 written as IPv6, and many that come once; 192.0.2.0/28 is
/// known.
fn address(n: u8) -> IpAddr {
    let text = match n {
        0..=15 => format!("192.0.2.{n}"),
        16..=99 => format!("198.51.100.{}", n % 3),
        100..=129 => format!("::ffff:198.51.100.{}", n % 3),
        130..=180 => format!("2001:db8:0:{:x}::{:x}", n % 2, n % 5),
        _ => format!("203.0.113.{n}"),
    };
    text.parse().expect("an address")
}

fn rules(places: usize, reserve: usize, caps: bool) -> Rules {
    Rules {
        reserve,
        per_address: caps.then_some(4),
        per_prefix: caps.then_some(6),
        address_rate: caps.then_some(Rate { per_second: 50.0, burst: 20 }),
        prefix_rate: caps.then_some(Rate { per_second: 80.0, burst: 30 }),
        known: vec!["192.0.2.0/28".parse::<IpNet>().expect("a prefix")],
        remembered: 5,
        ..Rules::open(places)
    }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn no_sequence_exceeds_a_cap_starves_the_reserve_or_grows_a_table(
        places in 2usize..20,
        reserve in 0usize..20,
        caps in any::<bool>(),
        events in vec(event(), 1..200),
    ) {
        let rules = rules(places, reserve, caps);
        let open = places - reserve.min(places - 1);
        let mut door = Places::new(rules.clone());
        let mut now = Duration::from_secs(1);
        // Address, whether it was identified, use and since when, and whether it was told to leave.
        let mut taken: BTreeMap<u64, (IpAddr, bool, Use, Duration, bool)> = BTreeMap::new();
        for event in events {
            let nth = |n: usize| taken.keys().nth(n % taken.len().max(1)).copied();
            match event {
                Event::Comes(n) => {
                    let from = address(n);
                    let known = door.knows(from);
                    prop_assert_eq!(known, n <= 15);
                    if door.come(now, from).is_err() {
                        prop_assert!(caps && !known);
                        continue;
                    }
                    let known_held = taken.values().filter(|t| door.knows(t.0) || t.1).count();
                    match door.seat(now, from) {
                        Seating::Seated(no) => drop(taken.insert(no, (from, false, Use::Silent, now, false))),
                        Seating::After(no) => {
                            let spared = taken.get_mut(&no).expect("a place that is taken");
                            prop_assert!(!spared.4, "told to leave once");
                            prop_assert_ne!(spared.2, Use::Busy);
                            let patience = if spared.2 == Use::Begun { 400 } else { 50 };
                            prop_assert!(now - spared.3 >= Duration::from_millis(patience));
                            prop_assert!(known || !door.knows(spared.0), "the unknown take nothing from the known");
                            spared.4 = true;
                        }
                        Seating::None(_) => {
                            let reserved = known && known_held < places - open;
                            prop_assert!(!reserved, "a place of the reserve was free");
                        }
                    }
                }
                Event::Used(n, what) => if let Some(no) = nth(n) {
                    let place = taken.get_mut(&no).expect("taken");
                    if !place.4 {
                        (place.2, place.3) = (what, now);
                    }
                    door.used(now, no, what);
                },
                Event::Leaves(n) => if let Some(no) = nth(n) {
                    taken.remove(&no);
                    door.left(no);
                },
                Event::Identified(n) => if let Some(no) = nth(n) {
                    taken.get_mut(&no).expect("taken").1 = true;
                    door.identified(no);
                },
                Event::Passes(ms) => now += Duration::from_millis(ms),
            }
            prop_assert_eq!(door.len(), taken.len());
            prop_assert!(door.len() <= places);
            let unknown = taken.values().filter(|t| !door.knows(t.0) && !t.1).count();
            for (from, ..) in taken.values() {
                let (held, own, near) = door.held(*from);
                prop_assert_eq!(held, unknown);
                prop_assert!(held <= open);
                prop_assert!(!caps || (own <= 4 && near <= 6), "{} {}", own, near);
            }
            prop_assert!(door.remembered() <= 2 * 5 + 2 * places);
        }
        // Nothing is left behind.
        taken.keys().for_each(|no| door.left(*no));
        prop_assert!(door.is_empty() && door.remembered() <= 10);
    }
}

#[test]
fn the_address_that_holds_most_gives_one_up_and_not_to_itself_alone() {
    let mut door = Places::new(Rules::open(10));
    let at = |text: &str| -> IpAddr { text.parse().expect("an address") };
    let (flood, other) = (at("198.51.100.1"), at("198.51.100.2"));
    let ms = Duration::from_millis;
    for _ in 0..10 {
        assert!(matches!(door.seat(ms(0), flood), Seating::Seated(_)));
    }
    assert!(matches!(door.seat(ms(10), other), Seating::None(_)), "they have their patience");
    for held in 0..5 {
        let Seating::After(no) = door.seat(ms(60), other) else { panic!("none to be had after {held}") };
        door.left(no);
        assert!(matches!(door.seat(ms(60), other), Seating::Seated(_)));
    }
    // Both hold five: neither takes from the other.
    assert!(matches!(door.seat(ms(200), other), Seating::After(no) if no >= 10));
}
