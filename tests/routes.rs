//! The module with a routing table: where messages go, which go on to the next tier, and which
//! actions a table does not change.

mod common;

use common::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use raildeal::dispatch::routing::{DestinationRange, RouteKey, RouteSpec, Routes, WeightedZones};
use raildeal::*;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Returns endpoint `n` of destination 1 in a zone: a route of its own, or one that takes five
/// messages per call, by its kind.
fn in_zone(n: u8, zone: u16, kind: u16) -> Listing {
    Listing {
        zone,
        ..line(n, 1, kind, Condition::Ready)
    }
}

/// A tier of zones with their shares.
type Tier = Vec<WeightedZones>;

fn tier(parts: &[(u32, u16)]) -> Tier {
    parts
        .iter()
        .map(|(share, zone)| WeightedZones {
            share: *share,
            zones: vec![zone.to_string()],
        })
        .collect()
}

fn all(tiers: &[&[(u32, u16)]]) -> RouteSpec {
    RouteSpec {
        tiers: tiers.iter().map(|t| tier(t)).collect(),
        ..RouteSpec::default()
    }
}

/// Creates routes for four classes, with zones that are named by their numbers.
fn routes(specs: Vec<RouteSpec>) -> Rc<Routes> {
    let routes = Routes::new(4, 2, specs);
    Rc::new(routes.with_zone_numbers(|name| name.parse().expect("a number")))
}

/// Creates a driver with routes and known endpoints of destination 1.
fn driver(list: Vec<Listing>, specs: Vec<RouteSpec>) -> Driver {
    let mut d = Driver::new(settings(), list);
    d.give(Event::RoutesChanged(routes(specs)));
    d
}

/// Hands in one message after another, each of which gets the outcome that `by` gives for its
/// endpoint. Returns the endpoints called.
fn send_each(
    d: &mut Driver,
    ids: std::ops::Range<MessageId>,
    by: impl Fn(EndpointAddress) -> Outcome,
) -> Vec<EndpointAddress> {
    let mut called = Vec::new();
    for id in ids {
        let mut sent = d.arrive(id, 0, 1);
        while let Some(Action::Send { endpoint, .. }) =
            sent.iter().find(|a| matches!(a, Action::Send { .. }))
        {
            let end = by(*endpoint);
            called.push(*endpoint);
            d.now += 100 * MS;
            sent = d.end(id, end);
            if end == Outcome::Delivered {
                break;
            }
            sent.extend(if sends(&sent).is_empty() {
                d.pass(2 * SEC)
            } else {
                vec![]
            });
        }
        d.pass(100 * MS);
    }
    called
}

#[test]
fn messages_that_the_first_tier_cannot_accept_go_to_the_next_at_once_and_return_later() {
    let list = vec![in_zone(1, 1, 2), in_zone(2, 2, 2), in_zone(3, 3, 2)];
    let mut d = driver(list, vec![all(&[&[(1, 1)], &[(1, 2)]])]);
    let first = send_each(&mut d, 1..30, |_| Outcome::Delivered);
    assert!(first.iter().all(|e| *e == at(1)), "{first:?}");
    // With a Retry-After there, the same message goes on in the same turn, and so do all that
    // arrive until it ends.
    d.arrive(30, 0, 1);
    assert_eq!(
        targets(&d.end(30, Outcome::Rejected { wait: 3 * SEC })),
        [at(2)]
    );
    d.end(30, Outcome::Delivered);
    let during_wait = send_each(&mut d, 31..40, |_| Outcome::Delivered);
    assert!(during_wait.iter().all(|e| *e == at(2)), "{during_wait:?}");
    d.pass(3 * SEC);
    // In an outage there, a few calls test it and the others go on; it serves again after its
    // recovery.
    let down = |e| {
        if e == at(1) {
            Outcome::Timeout
        } else {
            Outcome::Delivered
        }
    };
    let out = send_each(&mut d, 40..140, down);
    let trials = out.iter().filter(|e| **e == at(1)).count();
    assert!(
        (2..40).contains(&trials) && out.iter().filter(|e| **e == at(2)).count() == 100,
        "{out:?}"
    );
    d.pass(20 * SEC);
    send_each(&mut d, 140..300, |_| Outcome::Delivered);
    let back = send_each(&mut d, 300..330, |_| Outcome::Delivered);
    assert!(back.iter().all(|e| *e == at(1)), "{back:?}");
}

#[test]
fn shares_determine_the_first_zone_and_an_ejection_does_not_affect_rarely_called_zones() {
    let list = vec![in_zone(1, 1, 2), in_zone(2, 2, 2), in_zone(3, 3, 2)];
    let mut d = driver(list, vec![all(&[&[(3, 1), (1, 2)], &[(1, 3)]])]);
    let called = send_each(&mut d, 1..401, |_| Outcome::Delivered);
    let first = called.iter().filter(|e| **e == at(1)).count();
    assert!(
        (260..340).contains(&first) && !called.contains(&at(3)),
        "{first}"
    );
    let down = send_each(&mut d, 401..440, |e| {
        if e == at(3) {
            Outcome::Delivered
        } else {
            Outcome::ConnectFailed
        }
    });
    // The third has never answered, and is still trusted: it takes several calls at once.
    assert!(
        down.iter().filter(|e| **e == at(3)).count() >= 36,
        "{down:?}"
    );
    let sent: Vec<Action> = (500..504).flat_map(|id| d.arrive(id, 0, 1)).collect();
    assert!(
        targets(&sent).iter().filter(|e| **e == at(3)).count() >= 2,
        "{sent:?}"
    );
}

#[test]
fn only_a_retry_after_on_its_own_route_ends_a_message_early() {
    let list = vec![in_zone(1, 1, 2), in_zone(2, 2, 2)];
    let only = RouteSpec {
        classes: Some(vec![1]),
        ..all(&[&[(1, 2)]])
    };
    let mut d = driver(list, vec![all(&[&[(1, 1)]]), only]);
    d.arrive(1, 0, 1);
    // The Retry-After of its only zone lasts for all its time; the second zone is free, but not on
    // its route.
    assert_eq!(
        refused(&d.end(1, Outcome::Rejected { wait: 25 * SEC })).len(),
        1
    );
    assert_eq!(targets(&d.arrive(2, 1, 1)), [at(2)]);
    // A message of the other class is not held up by one that waits before it.
    d.end(2, Outcome::Delivered);
    d.give(Event::Arrived(Message {
        ttl: 19 * SEC,
        ..d.message(3, 0, 1)
    }));
    assert_eq!(refused(&d.seen).last().map(|r| r.0), Some(3));
}

#[test]
fn a_blocked_first_message_blocks_no_other_route_and_a_batch_takes_only_allowed_messages() {
    let list = vec![in_zone(1, 1, 2), in_zone(2, 2, 1)];
    let only = RouteSpec {
        classes: Some(vec![1]),
        ..all(&[&[(1, 2)]])
    };
    let mut d = driver(list, vec![all(&[&[(1, 1)]]), only]);
    d.arrive(1, 0, 1);
    d.end(1, Outcome::Rejected { wait: 4 * SEC });
    // Rejected messages are sent first, and wait for the first zone.
    let both = [2, 3].map(|id| Event::Arrived(d.message(id, 0, 1)));
    d.give_all(&both);
    let others: Vec<Event> = (4..8)
        .map(|id| Event::Arrived(d.message(id, (id % 2) as u16, 1)))
        .collect();
    let sent = d.give_all(&others);
    assert_eq!((sends(&sent), targets(&sent)), (vec![5, 7], vec![at(2); 2]));
    let later = d.pass(5 * SEC);
    assert!(!sends(&later).is_empty() && targets(&later).iter().all(|e| *e == at(1)));
}

#[test]
fn pending_messages_follow_a_new_table_at_their_next_attempt_or_are_rejected_without_zones() {
    let list = vec![in_zone(1, 1, 2), in_zone(2, 2, 2)];
    let mut d = driver(list, vec![all(&[&[(1, 1)]])]);
    d.arrive(1, 0, 1);
    d.end(1, Outcome::Rejected { wait: 8 * SEC });
    d.arrive(2, 0, 1);
    assert!(sends(&d.pass(SEC)).is_empty());
    // A call in flight ends as it would have.
    let sent = d.give(Event::RoutesChanged(routes(vec![all(&[&[(1, 2)]])])));
    assert_eq!((sends(&sent).len(), targets(&sent)), (2, vec![at(2); 2]));
    d.end(1, Outcome::Delivered);
    d.end(2, Outcome::Error);
    let nobody = d.give(Event::RoutesChanged(routes(vec![RouteSpec::default()])));
    assert_eq!(
        refused(&nobody).iter().map(|r| r.0).collect::<Vec<_>>(),
        [2]
    );
    assert_eq!(
        refused(&d.arrive(3, 0, 1))
            .iter()
            .map(|r| r.0)
            .collect::<Vec<_>>(),
        [3]
    );
    d.give(Event::RoutesChanged(Rc::default()));
    assert_eq!(sends(&d.arrive(4, 0, 1)), [4]);
}

/// A step of a generated run.
#[derive(Clone, Debug)]
enum Step {
    Arrives { class: u16, dest: u16, tenant: u16 },
    Ends { which: usize, how: usize },
    Lists { n: u8, ready: bool },
    Routes(usize),
    Passes(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0u16..8, 1u16..4, 0u16..2).prop_map(|(class, dest, tenant)| Step::Arrives { class, dest, tenant }),
        6 => (any::<usize>(), 0usize..6).prop_map(|(which, how)| Step::Ends { which, how }),
        1 => (0u8..9, any::<bool>()).prop_map(|(n, ready)| Step::Lists { n, ready }),
        1 => (0usize..3).prop_map(Step::Routes),
        3 => (1u64..900).prop_map(Step::Passes),
    ]
}

/// Returns routes for destinations 1 to 3 over zones 0 to 4, of which 0 to 2 have endpoints.
fn specs() -> impl Strategy<Value = RouteSpec> {
    let order = Just((0u16..5).collect::<Vec<_>>()).prop_shuffle();
    let tiers = vec((order, 1usize..4, 1u32..9), 0..3).prop_map(|tiers| {
        let tier = |(zones, n, share): (Vec<u16>, usize, u32)| {
            tier(
                &zones
                    .into_iter()
                    .take(n)
                    .zip([share, 2, 3])
                    .map(|(z, s)| (s, z))
                    .collect::<Vec<_>>(),
            )
        };
        tiers.into_iter().map(tier).collect::<Vec<Tier>>()
    });
    let range = |(first, more): (u16, u16)| {
        vec![DestinationRange {
            first,
            last: first + more,
        }]
    };
    let dests = proptest::option::of((1u16..4, 0u16..2).prop_map(range));
    let classes = proptest::option::of(vec(0u16..4, 1..3));
    let tenants = proptest::option::of(vec(0u16..2, 1..2));
    (dests, classes, tenants, tiers).prop_map(|(dests, classes, tenants, tiers)| RouteSpec {
        destinations: dests,
        classes,
        tenants,
        tiers,
    })
}

fn endpoint(n: u8) -> Listing {
    let kind = u16::from(n / 3);
    Listing {
        zone: u16::from(n % 3),
        ..line(n + 1, 1 + u16::from(n / 3), kind, Condition::Ready)
    }
}

/// Runs the steps and returns all actions, turn by turn.
fn run_steps(steps: &[Step], tables: &[Rc<Routes>], with_routes: bool) -> Vec<Vec<Action>> {
    let own = settings();
    let twice = RuntimeSettings {
        classes: [&own.classes[..], &own.classes[..]].concat(),
        class_limits: Vec::new(),
        max_in_flight_calls: own.max_in_flight_calls,
        max_held_messages: own.max_held_messages,
    };
    let list: Vec<Listing> = (0..9).map(endpoint).collect();
    let zone_of: BTreeMap<EndpointAddress, u16> =
        list.iter().map(|l| (l.endpoint, l.zone)).collect();
    let (mut d, mut turns) = (Driver::new(own, list), Vec::new());
    turns.push(d.give(Event::SettingsChanged(Box::new(twice))));
    let mut messages: BTreeMap<MessageId, Message> = BTreeMap::new();
    let (mut out, mut current): (BTreeSet<MessageId>, Rc<Routes>) = Default::default();
    for step in steps {
        let event = match step {
            Step::Arrives {
                class,
                dest,
                tenant,
            } => {
                let id = messages.len() as MessageId + 1;
                let key = u64::from(id % 3);
                let message = Message {
                    tenant: *tenant,
                    key,
                    ..d.message(id, *class, *dest)
                };
                messages.insert(id, message);
                Event::Arrived(message)
            }
            Step::Ends { which, how } if !out.is_empty() => {
                let id = *out.iter().nth(which % out.len()).expect("in flight");
                out.remove(&id);
                let full = Outcome::Rejected { wait: 700 * MS };
                let all = [
                    Outcome::Delivered,
                    Outcome::Delivered,
                    full,
                    Outcome::Timeout,
                    Outcome::ConnectFailed,
                    Outcome::Error,
                ];
                d.ending(id, all[*how])
            }
            Step::Lists { n, ready } => {
                let condition = if *ready {
                    Condition::Ready
                } else {
                    Condition::Draining
                };
                Event::ListChanges(vec![Listing {
                    condition,
                    ..endpoint(*n)
                }])
            }
            Step::Routes(n) if with_routes => {
                current = tables[n % tables.len()].clone();
                Event::RoutesChanged(current.clone())
            }
            Step::Passes(ms) => {
                d.now += ms * MS;
                Event::TimerFired
            }
            Step::Ends { .. } | Step::Routes(_) => Event::TimerFired,
        };
        let actions = d.give(event);
        for action in &actions {
            if let Action::Send { id, endpoint, .. } = action {
                let Message {
                    dest,
                    class,
                    tenant,
                    ..
                } = messages[id];
                let rank = current.rank(
                    &RouteKey {
                        dest,
                        class,
                        tenant,
                        draw: 0.0,
                    },
                    zone_of[endpoint],
                );
                assert!(
                    rank.is_some(),
                    "message {id} of class {class} goes to {endpoint:?}"
                );
                out.insert(*id);
            }
        }
        turns.push(actions);
    }
    turns
}

proptest! {
    #![proptest_config(Config { cases: 300, rng_seed: RngSeed::Fixed(43), failure_persistence: None, ..Config::default() })]

    #[test]
    fn no_call_goes_to_a_zone_outside_the_route(steps in vec(step(), 1..150), tables in vec(vec(specs(), 0..6), 1..4)) {
        let tables: Vec<Rc<Routes>> = tables.into_iter().map(routes).collect();
        run_steps(&steps, &tables, true);
    }

    #[test]
    fn an_empty_table_changes_no_action(steps in vec(step(), 1..150)) {
        let none = [Rc::<Routes>::default()];
        prop_assert_eq!(run_steps(&steps, &none, true), run_steps(&steps, &none, false));
    }
}
