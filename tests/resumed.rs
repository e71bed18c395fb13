//! What the module does with a message that an earlier process took on.

mod common;

use common::*;
use raildeal::*;

/// Two zones, one endpoint each, and repeats dropped only within a zone.
fn driver() -> Driver {
    let mut s = settings();
    s.classes[1].scope = DedupScope::Zone;
    let mut d = Driver::new(s, vec![Listing { zone: 0, ..ready(1, 1) }, Listing { zone: 1, ..ready(2, 1) }]);
    d.now += 100 * SEC;
    d
}

fn resume(d: &mut Driver, ttl: Time, past: Past) -> Vec<Action> {
    let message = Message { ttl, ..d.message(1, 1, 1) };
    d.give(Event::Resumed { message, past })
}

#[test]
fn one_that_may_have_run_stays_in_its_zone() {
    for zone in [0, 1] {
        let mut d = driver();
        let actions = resume(&mut d, 10 * SEC, Past { attempts: 2, ran: Some((SEC, zone)) });
        assert_eq!(targets(&actions), [at(zone as u8 + 1)]);
    }
}

#[test]
fn one_whose_window_is_over_fails_and_is_not_refused() {
    let mut d = driver();
    let window = d.message(1, 1, 1).ttl;
    let actions = resume(&mut d, 5 * SEC, Past { attempts: 1, ran: Some((window, 0)) });
    assert_eq!((sends(&actions), failed(&actions), refused(&actions)), (vec![], vec![1], vec![]));
}

#[test]
fn one_that_never_ran_goes_anywhere_and_may_be_refused() {
    let mut d = driver();
    assert_eq!(sends(&resume(&mut d, 10 * SEC, Past { attempts: 2, ran: None })), [1]);
    // With all its attempts gone, or its time, it ends at once.
    for (ttl, attempts) in [(10 * SEC, 5), (0, 0)] {
        let mut d = driver();
        let actions = resume(&mut d, ttl, Past { attempts, ran: None });
        assert_eq!((sends(&actions).len(), refused(&actions).len()), (0, 1));
    }
}

#[test]
fn its_attempts_go_on_being_numbered() {
    let mut d = driver();
    resume(&mut d, 10 * SEC, Past { attempts: 3, ran: None });
    let ended = |attempt| Event::Ended {
        id: 1,
        attempt,
        outcome: Outcome::Full { wait: 0 },
        took: MS,
        finished: false,
        report: Vec::new(),
    };
    // One more is left of five; a report on a number that was never sent is nobody's.
    d.give(ended(0));
    assert!(sends(&d.pass(2 * SEC)).is_empty());
    d.give(ended(3));
    assert_eq!(sends(&d.pass(2 * SEC)), [1]);
    assert_eq!(refused(&d.give(ended(4))).len(), 1);
}

#[test]
fn room_made_for_others_does_not_refuse_one_that_may_have_run() {
    let mut d = driver();
    let mut actions = Vec::new();
    for id in 0..70 {
        let message = Message { ttl: 10 * SEC, ..d.message(id, 1, 1) };
        actions.extend(d.give(Event::Resumed { message, past: Past { attempts: 1, ran: Some((SEC, 0)) } }));
    }
    assert!(refused(&actions).is_empty());
}

/// One of so many senders, with three routes to each of ten destinations, as a restart finds it: forty messages of three
/// effects that were taken on and never tried, each with three quarters of its time left.
fn restarted(relays: u32, seed: u64) -> Driver {
    let s = Settings { relays, listed: ListedRates::Rough, slots: 12, room: 86, ..settings() };
    let route = |n: u8| Listing { rate: 4.0, ..line(n, u16::from(n % 10), 2, Condition::Ready) };
    let mut d = Driver::seeded(s, (0..30).map(route).collect(), seed);
    for id in 0..40 {
        let message = Message { ttl: 15 * SEC, ..d.message(id, (id % 3) as u16, (id / 3 % 10) as u16) };
        d.give(Event::Resumed { message, past: Past::default() });
    }
    d
}

/// Lets its time pass while every call is taken, with a new message each second; tells which of the forty were called.
fn tried(d: &mut Driver) -> Vec<MessageId> {
    let (mut called, mut sent) = (Vec::new(), sends(&d.seen));
    for round in 0..1_500 {
        sent.extend(sends(&d.pass(10 * MS)));
        if round % 100 == 0 {
            sent.extend(sends(&d.arrive(1_000 + round, (round / 100 % 3) as u16, (round / 100 % 10) as u16)));
        }
        while let Some(id) = sent.pop() {
            called.push(id);
            sent.extend(sends(&d.end(id, Outcome::Ok)));
        }
    }
    called.retain(|id| *id < 40);
    called
}

#[test]
fn what_a_restart_finds_untried_is_tried_whatever_its_effect_and_however_many_senders_there_are() {
    let mut short = Vec::new();
    for (relays, seed) in [(1, 1), (3, 1), (30, 1), (300, 1), (300, 2), (300, 3)] {
        let called = tried(&mut restarted(relays, seed));
        for effect in 0..3 {
            let of: Vec<MessageId> = (0..40).filter(|id| id % 3 == effect).collect();
            let done = of.iter().filter(|id| called.contains(id)).count();
            if done * 10 < of.len() * 9 {
                short.push(format!(
                    "{relays} senders, seed {seed}, effect {effect}: {done} of {} tried",
                    of.len()
                ));
            }
        }
    }
    assert!(short.is_empty(), "{short:#?}");
}

#[test]
fn time_spent_dead_counts_against_a_window_of_a_second() {
    #[derive(Debug, PartialEq)]
    enum Then {
        Called,
        Refused,
        Failed,
    }
    // Classes: pure, token within a zone, side effect; the last is one of a token that all endpoints know.
    let cases = [
        (0, DedupScope::Zone, 30 * SEC, Then::Called),
        (1, DedupScope::Zone, 999 * MS, Then::Called),
        (1, DedupScope::Zone, SEC, Then::Failed),
        (1, DedupScope::Zone, 30 * SEC, Then::Failed),
        (1, DedupScope::All, 999 * MS, Then::Called),
        (1, DedupScope::All, SEC, Then::Refused),
        (2, DedupScope::Zone, 0, Then::Failed),
        (2, DedupScope::All, 30 * SEC, Then::Failed),
    ];
    for (class, scope, age, then) in cases {
        let mut s = settings();
        (s.classes[1].scope, s.classes[1].window) = (scope, SEC);
        let mut d = Driver::new(s, vec![ready(1, 1), Listing { zone: 1, ..ready(2, 1) }]);
        d.now += 100 * SEC;
        let message = Message { ttl: 10 * SEC, ..d.message(1, class, 1) };
        let actions = d.give(Event::Resumed { message, past: Past { attempts: 1, ran: Some((age, 0)) } });
        let seen = if !sends(&actions).is_empty() {
            Then::Called
        } else if !refused(&actions).is_empty() {
            Then::Refused
        } else {
            assert_eq!(failed(&actions), [1]);
            Then::Failed
        };
        assert_eq!(seen, then, "class {class}, {scope:?}, {age}");
    }
}

#[test]
fn a_window_that_ends_while_no_endpoint_of_its_zone_wants_calls_ends_the_message_uncalled() {
    let mut s = settings();
    (s.classes[1].scope, s.classes[1].window) = (DedupScope::Zone, SEC);
    let mut d = Driver::new(s, vec![line(1, 1, 0, Condition::Draining), Listing { zone: 1, ..ready(2, 1) }]);
    d.now += 100 * SEC;
    let actions = resume(&mut d, 10 * SEC, Past { attempts: 1, ran: Some((400 * MS, 0)) });
    assert!(sends(&actions).is_empty() && failed(&actions).is_empty());
    let actions = d.pass(599 * MS);
    assert!(sends(&actions).is_empty() && failed(&actions).is_empty());
    d.pass(2 * MS);
    d.give(Event::ListChanges(vec![ready(1, 1)]));
    assert!(sends(&d.seen).is_empty());
    assert_eq!((failed(&d.seen), refused(&d.seen)), (vec![1], vec![]));
}

#[test]
fn what_is_new_makes_no_room_by_what_an_earlier_process_left_untried() {
    let mut d = Driver::new(Settings { room: 20, ..settings() }, vec![ready(1, 1)]);
    d.warm_up(1);
    // The destination tells all to wait, so that lines grow. A tenth of the room is kept free.
    d.arrive(99, 0, 1);
    d.end(99, Outcome::Full { wait: 5 * SEC });
    (0..12).for_each(|id| resume_as(&mut d, id, 14 * SEC));
    let mut actions = Vec::new();
    (100..140).for_each(|id| actions.extend(d.arrive(id, 0, 1)));
    let out: Vec<MessageId> = refused(&actions).iter().map(|r| r.0).collect();
    assert_eq!(out.len(), 12 + 1 + 40 - 18);
    assert!(out.iter().all(|id| *id >= 99), "{out:?}");
}

fn resume_as(d: &mut Driver, id: MessageId, ttl: Time) {
    let message = Message { ttl, ..d.message(id, 0, 1) };
    d.give(Event::Resumed { message, past: Past::default() });
}
