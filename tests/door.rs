//! Who gets a place: whatever comes in whatever order, no cap is exceeded, the reserve is never
//! starved, and no table grows. Seeds are fixed.

use ipnet::IpNet;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use raildeal::admission_control::accept_queue::{Comes, Lobby, Rank};
use raildeal::admission_control::connection_rate::Rate;
use raildeal::admission_control::connection_slots::{Places, Rules, Seating, Use};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

fn fixed() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(0x0000_d007);
    ProptestConfig {
        rng_seed,
        failure_persistence: None,
        cases: 300,
        ..ProptestConfig::default()
    }
}

#[derive(Clone, Debug)]
enum Event {
    Comes(u8, Comes),
    Used(usize, Use),
    Leaves(usize),
    Identified(usize),
    Passes(u64),
}

fn event() -> impl Strategy<Value = Event> {
    const USES: &[Use] = &[Use::Silent, Use::Begun, Use::Resting, Use::Kept, Use::Busy];
    let used = proptest::sample::select(USES);
    prop_oneof![
        6 => (any::<u8>(), comes()).prop_map(|(n, comes)| Event::Comes(n, comes)),
        3 => (any::<usize>(), used).prop_map(|(n, u)| Event::Used(n, u)),
        2 => any::<usize>().prop_map(Event::Leaves),
        1 => any::<usize>().prop_map(Event::Identified),
        2 => (0u64..300).prop_map(Event::Passes),
    ]
}

fn comes() -> impl Strategy<Value = Comes> {
    const ALL: &[Comes] = &[Comes::Silent, Comes::Begun, Comes::Whole, Comes::Known];
    proptest::sample::select(ALL)
}

/// A few addresses that come often, in IPv4, IPv6 and IPv4 written as IPv6, and many that come
/// once; 192.0.2.0/28 is known.
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
        address_rate: caps.then_some(Rate {
            per_second: 50.0,
            burst: 20,
        }),
        prefix_rate: caps.then_some(Rate {
            per_second: 80.0,
            burst: 30,
        }),
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
                Event::Comes(n, comes) => {
                    let from = address(n);
                    prop_assert_eq!(door.knows(from), n <= 15);
                    let known = n <= 15 || comes == Comes::Known;
                    if door.come(now, from, comes).is_err() {
                        prop_assert!(caps && !known);
                        continue;
                    }
                    let known_held = taken.values().filter(|t| t.1).count();
                    match door.seat(now, from, comes) {
                        Seating::Seated(no) => {
                            prop_assert_eq!(door.is_known(no), known);
                            taken.insert(no, (from, known, Use::Silent, now, false));
                        }
                        Seating::After(no) => {
                            let spared = taken.get_mut(&no).expect("a place that is taken");
                            prop_assert!(!spared.4, "told to leave once");
                            prop_assert_ne!(spared.2, Use::Busy);
                            // Fewer come here than would shorten it below a tenth.
                            let patience = match spared.2 {
                                Use::Begun => 8,
                                Use::Kept => 50,
                                _ => 2,
                            };
                            prop_assert!(now - spared.3 >= Duration::from_millis(patience));
                            prop_assert!(known || !spared.1, "the unknown take nothing from the known");
                            spared.4 = true;
                        }
                        Seating::None(_) => {
                            let part = if comes < Comes::Whole { places - places / 8 } else { places };
                            let reserved = known && known_held < part.min(places - open);
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
            let unknown = taken.values().filter(|t| !t.1).count();
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

proptest! {
    #![proptest_config(fixed())]

    /// Whatever comes, no more wait than may, nobody goes for one who ranks below, and one with a
    /// request only for a known client.
    #[test]
    fn the_lobby_stays_in_its_bound_and_keeps_those_who_brought_most(
        most in 1usize..8,
        events in vec((any::<bool>(), comes(), proptest::option::of(any::<usize>())), 1..100),
    ) {
        let mut lobby = Lobby::new(most);
        let mut waiting: BTreeMap<u64, Rank> = BTreeMap::new();
        for (n, (known, brought, earlier)) in events.into_iter().enumerate() {
            let (now, rank) = (Duration::from_millis(n as u64), Rank(known, brought));
            if let Some(no) = earlier.and_then(|e| waiting.keys().nth(e % most).copied()) {
                let more = rank.max(waiting[&no]);
                waiting.insert(no, more);
                lobby.brought(no, more);
                continue;
            }
            let mut entered = lobby.enter(now, rank);
            prop_assert_eq!(entered.is_some(), waiting.len() < most);
            if entered.is_none() {
                if let Some(out) = lobby.least(rank) {
                    let had = waiting.remove(&out).expect("one who waits");
                    prop_assert!(waiting.values().all(|w| *w >= had), "somebody ranked below");
                    prop_assert!(had < rank || (had == rank && had.1 < Comes::Whole));
                    prop_assert!(had.1 < Comes::Whole || (!had.0 && known) || brought == Comes::Known);
                    lobby.leave(out);
                    entered = lobby.enter(now, rank);
                    prop_assert!(entered.is_some());
                } else {
                    prop_assert!(waiting.values().all(|w| *w >= rank));
                }
            }
            waiting.extend(entered.map(|no| (no, rank)));
            prop_assert_eq!(lobby.len(), waiting.len());
            prop_assert!(lobby.len() <= most);
            // One without a request passes nobody of its sort that has one, and one with a request
            // waits for none.
            prop_assert!(!lobby.is_ahead(Rank(known, Comes::Whole)));
            let whole = waiting.values().any(|w| w.0 && w.1 >= Comes::Whole);
            prop_assert!(!whole || waiting.values().max().is_some_and(|m| m.1 < Comes::Whole)
                || lobby.is_ahead(Rank(true, Comes::Silent)));
        }
    }
}

/// What only begins to speak leaves the last places to whole requests, whoever it is.
#[test]
fn half_requests_do_not_take_the_last_places() {
    let mut door = Places::new(Rules {
        known: vec!["192.0.2.0/28".parse().expect("a prefix")],
        ..Rules::open(16)
    });
    for (from, last) in [("198.51.100.1", 2), ("192.0.2.1", 2)] {
        let begun: Vec<u64> =
            std::iter::from_fn(|| match door.seat(Duration::ZERO, at(from), Comes::Begun) {
                Seating::Seated(no) => Some(no),
                _ => None,
            })
            .collect();
        let whole: Vec<u64> =
            std::iter::from_fn(|| match door.seat(Duration::ZERO, at(from), Comes::Whole) {
                Seating::Seated(no) => Some(no),
                _ => None,
            })
            .collect();
        assert_eq!((begun.len(), whole.len()), (16 - last, last), "{from}");
        begun.iter().chain(&whole).for_each(|no| door.left(*no));
    }
}

fn at(text: &str) -> IpAddr {
    text.parse().expect("an address")
}

#[test]
fn where_more_come_than_there_is_time_for_each_has_its_part_of_it() {
    let mut door = Places::new(Rules::open(10));
    let (ms, from) = (Duration::from_millis, at("198.51.100.1"));
    let mut seats = Vec::new();
    let mut went = Vec::new();
    // One each millisecond: there is a place for ten of them.
    for n in 0..1000 {
        door.come(ms(n), from, Comes::Silent)
            .expect("no rate is set");
        if n < 500 {
            continue;
        }
        match door.seat(ms(n), from, Comes::Silent) {
            Seating::Seated(no) => seats.push(no),
            Seating::After(no) => went.push((no, n - 500)),
            Seating::None(_) => {}
        }
        if seats.len() == 3 {
            door.used(ms(n), seats[0], Use::Kept);
            door.used(ms(n), seats[1], Use::Kept);
            door.used(ms(n), seats[2], Use::Begun);
        }
    }
    let after = |no: u64| went.iter().find(|w| w.0 == no).map(|w| w.1).expect("went");
    let silent = seats[3..].iter().map(|no| after(*no)).max().expect("some");
    assert!(
        (10..25).contains(&silent),
        "the silent go first, after their part: {went:?}"
    );
    assert!(
        (40..60).contains(&after(seats[2])),
        "what began has four times as long: {went:?}"
    );
    assert!(
        seats[..2].iter().all(|no| after(*no) >= 50),
        "what is of use has its whole time: {went:?}"
    );
}

#[test]
fn what_says_nothing_does_not_use_up_the_rate_of_what_does() {
    let mut door = Places::new(rules(20, 0, true));
    let (now, from) = (Duration::from_secs(1), at("198.51.100.9"));
    while door.come(now, from, Comes::Silent).is_ok() {}
    assert!(door.come(now, from, Comes::Begun).is_err());
    assert!(
        door.come(now, from, Comes::Whole).is_ok(),
        "it has a rate of its own"
    );
    while door.come(now, from, Comes::Whole).is_ok() {}
    assert!(door.come(now, from, Comes::Known).is_ok());
}

#[test]
fn the_address_that_holds_most_gives_one_up_and_not_to_itself_alone() {
    let mut door = Places::new(Rules::open(10));
    let (flood, other) = (at("198.51.100.1"), at("198.51.100.2"));
    let ms = Duration::from_millis;
    for _ in 0..10 {
        assert!(matches!(
            door.seat(ms(0), flood, Comes::Whole),
            Seating::Seated(_)
        ));
    }
    assert!(
        matches!(door.seat(ms(10), other, Comes::Whole), Seating::None(_)),
        "they have their patience"
    );
    for held in 0..5 {
        let Seating::After(no) = door.seat(ms(60), other, Comes::Whole) else {
            panic!("none to be had after {held}")
        };
        door.left(no);
        assert!(matches!(
            door.seat(ms(60), other, Comes::Whole),
            Seating::Seated(_)
        ));
    }
    // Both hold five: neither takes from the other.
    assert!(matches!(door.seat(ms(200), other, Comes::Whole), Seating::After(no) if no >= 10));
}

#[test]
fn of_those_that_hold_as_many_the_one_that_can_best_be_spared_goes() {
    let mut door = Places::new(Rules::open(4));
    let ms = Duration::from_millis;
    for (n, what) in [
        (1, Use::Busy),
        (4, Use::Kept),
        (3, Use::Silent),
        (2, Use::Resting),
    ] {
        let Seating::Seated(no) = door.seat(ms(0), at(&format!("198.51.100.{n}")), Comes::Whole)
        else {
            panic!("no place")
        };
        door.used(ms(n), no, what);
    }
    let mut went = Vec::new();
    for _ in 0..4 {
        match door.seat(ms(500), at("203.0.113.1"), Comes::Whole) {
            Seating::After(no) => went.push(no),
            other => assert_eq!(
                (other, went.len()),
                (
                    Seating::None(raildeal::admission_control::connection_slots::Why::Places),
                    3
                )
            ),
        }
    }
    assert_eq!(
        went,
        [2, 3, 1],
        "silent, resting, of use; and never the busy one"
    );
}
