use crate::agent::call_statistics::*;
use crate::dispatch::statistics::SEC;

#[test]
fn every_call_counts_once_and_what_hangs_is_as_it_is_now() {
    let mut ledger = Ledger::default();
    let call = ledger.out(0, "a", 1);
    assert_eq!(
        ledger.take(SEC),
        [],
        "nothing tells yet how long calls take"
    );
    let hangs = |n| CallCounts {
        hanging: n,
        ..CallCounts::default()
    };
    let told = |counts| {
        vec![ZoneCallCounts {
            zone: "a".into(),
            dest: 1,
            counts,
        }]
    };
    assert_eq!(ledger.take(2 * SEC), told(hangs(1)));
    assert_eq!(ledger.take(3 * SEC), told(hangs(1)));
    ledger.ended("a", 1, Outcome::Timeout, 3 * SEC);
    ledger.back(call);
    assert_eq!(
        ledger.take(3 * SEC),
        told(CallCounts {
            timed_out: 1,
            ..CallCounts::default()
        })
    );
    assert_eq!(ledger.take(3 * SEC), []);
    ledger.ended("a", 1, Outcome::NotSent, 0);
    assert_eq!(ledger.take(3 * SEC), []);
}

#[test]
fn what_hangs_is_told_by_what_calls_take_there_or_else_anywhere() {
    let mut ledger = Ledger::default();
    let hang = |ledger: &mut Ledger, now| {
        ledger
            .take(now)
            .iter()
            .map(|s| s.counts.hanging)
            .sum::<u32>()
    };
    ledger.ended("a", 1, Outcome::Delivered, 50 * MS);
    let quick = ledger.out(SEC, "b", 2);
    assert_eq!(
        (hang(&mut ledger, 1_400 * MS), hang(&mut ledger, 1_401 * MS)),
        (0, 1)
    );
    ledger.back(quick);
    // One answer tells that this one is slow, whatever others are.
    ledger.ended("b", 3, Outcome::Delivered, 500 * MS);
    ledger.out(2 * SEC, "b", 3);
    assert_eq!(
        (hang(&mut ledger, 4 * SEC), hang(&mut ledger, 4_001 * MS)),
        (0, 1)
    );
}

#[test]
fn the_table_is_bounded_and_loses_nothing_that_is_untold() {
    let mut ledger = Ledger::default();
    for dest in 0..3_000 {
        ledger.ended("a", dest, Outcome::Delivered, SEC);
    }
    ledger.ended(&"z".repeat(NAME + 1), 1, Outcome::Delivered, SEC);
    let seen = ledger.take(0);
    assert_eq!(
        (
            seen.len(),
            seen.iter().map(|s| s.counts.delivered).sum::<u32>()
        ),
        (GROUPS, GROUPS as u32)
    );
    ledger.ended("b", 1, Outcome::Delivered, SEC);
    assert_eq!(ledger.take(0).len(), 1, "there is room again");
}
