//! Thirty processes and endpoints that come back cold: each call that arrives is counted, whoever
//! sends it.

use crate::standing::{ms, Fleet, Shape};
use raildeal_test_harness::limits::{Death, Terms};

/// Thirty senders; two endpoints for each of two destinations, with their true rates in the list.
const SHAPE: Shape = Shape {
    senders: 30,
    dests: 2,
    endpoints: 4,
    weights: "nominal",
};

/// Plays an outage of the first destination's endpoints, each of which bears so many calls a second
/// when it is warm. The worst window of each after its return, and how often one fell.
fn comes_back(listed: f64, death: Death) -> (Vec<String>, usize) {
    let mut fleet = Fleet::of(
        SHAPE,
        ms(20),
        Terms {
            listed,
            factor: Some(1.0),
            ..Terms::default()
        },
    );
    fleet.hands_in(ms(2_000));
    // All endpoints of a destination, so that its messages wait for them.
    let away = [0, 2];
    away.iter()
        .for_each(|n| fleet.partners[*n].dies(death).expect("shut"));
    fleet.hands_in(ms(9_000));
    away.iter()
        .for_each(|n| fleet.partners[*n].lives().expect("opened"));
    fleet.hands_in(ms(12_000));
    fleet.judge(0.4);
    let peak = |n: &usize| {
        let peak = fleet.partners[*n].peak();
        format!(
            "{} calls of {:.1}, {:.2} of the bound",
            peak.calls,
            peak.budget,
            peak.part()
        )
    };
    let peaks: Vec<String> = away.iter().map(peak).collect();
    println!("{listed} a second, {death:?}: {peaks:?}");
    let fell = fleet.record.seen().toppled.len();
    (peaks, fell)
}

#[test]
fn thirty_processes_together_keep_the_bound_of_endpoints_that_come_back_cold() {
    // 14 calls in 3 s while it is cold, 60 when it is warm: both forms of the bound.
    for death in [Death::Unconnected, Death::Hangs] {
        let (peaks, fell) = comes_back(10.0, death);
        assert_eq!(fell, 0, "{death:?}: {peaks:?}");
    }
}
