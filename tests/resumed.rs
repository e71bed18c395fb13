//! Handling of a message that an earlier process accepted.

mod common;

use common::*;
use raildeal::*;

/// Creates a driver with two zones of one endpoint each, where repeats are discarded only within a
/// zone.
fn driver() -> Driver {
    let mut s = settings();
    s.classes[1].dedup_scope = DedupScope::Zone;
    let mut d = Driver::new(
        s,
        vec![
            Listing {
                zone: 0,
                ..ready(1, 1)
            },
            Listing {
                zone: 1,
                ..ready(2, 1)
            },
        ],
    );
    d.now += 100 * SEC;
    d
}

fn resume(d: &mut Driver, ttl: Nanos, prior: PriorAttempts) -> Vec<Action> {
    let message = Message {
        ttl,
        ..d.message(1, 1, 1)
    };
    d.give(Event::Resumed { message, prior })
}

#[test]
fn a_message_that_may_have_run_stays_in_its_zone() {
    for zone in [0, 1] {
        let mut d = driver();
        let actions = resume(
            &mut d,
            10 * SEC,
            PriorAttempts {
                attempts: 2,
                may_have_run: Some(PossibleRun { age: SEC, zone }),
            },
        );
        assert_eq!(targets(&actions), [at(zone as u8 + 1)]);
    }
}

#[test]
fn a_message_whose_dedup_window_has_passed_fails_and_is_not_rejected() {
    let mut d = driver();
    let window = d.message(1, 1, 1).ttl;
    let actions = resume(
        &mut d,
        5 * SEC,
        PriorAttempts {
            attempts: 1,
            may_have_run: Some(PossibleRun {
                age: window,
                zone: 0,
            }),
        },
    );
    assert_eq!(
        (sends(&actions), failed(&actions), refused(&actions)),
        (vec![], vec![1], vec![])
    );
}

#[test]
fn a_message_that_never_ran_goes_to_any_zone_and_may_be_rejected() {
    let mut d = driver();
    assert_eq!(
        sends(&resume(
            &mut d,
            10 * SEC,
            PriorAttempts {
                attempts: 2,
                may_have_run: None
            }
        )),
        [1]
    );
    // Without attempts or time left, it ends at once.
    for (ttl, attempts) in [(10 * SEC, 5), (0, 0)] {
        let mut d = driver();
        let actions = resume(
            &mut d,
            ttl,
            PriorAttempts {
                attempts,
                may_have_run: None,
            },
        );
        assert_eq!((sends(&actions).len(), refused(&actions).len()), (0, 1));
    }
}

#[test]
fn the_numbering_of_attempts_continues_after_a_restart() {
    let mut d = driver();
    resume(
        &mut d,
        10 * SEC,
        PriorAttempts {
            attempts: 3,
            may_have_run: None,
        },
    );
    let ended = |attempt| Event::AttemptEnded {
        id: 1,
        attempt,
        outcome: Outcome::Rejected { wait: 0 },
        took: MS,
        finished: false,
        report: Vec::new(),
    };
    // One of five attempts is left; the result of an attempt number that was never sent is ignored.
    d.give(ended(0));
    assert!(sends(&d.pass(2 * SEC)).is_empty());
    d.give(ended(3));
    assert_eq!(sends(&d.pass(2 * SEC)), [1]);
    assert_eq!(refused(&d.give(ended(4))).len(), 1);
}

#[test]
fn load_shedding_does_not_reject_messages_that_may_have_run() {
    let mut d = driver();
    let mut actions = Vec::new();
    for id in 0..70 {
        let message = Message {
            ttl: 10 * SEC,
            ..d.message(id, 1, 1)
        };
        actions.extend(d.give(Event::Resumed {
            message,
            prior: PriorAttempts {
                attempts: 1,
                may_have_run: Some(PossibleRun { age: SEC, zone: 0 }),
            },
        }));
    }
    assert!(refused(&actions).is_empty());
}
