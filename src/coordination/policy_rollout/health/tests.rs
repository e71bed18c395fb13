use crate::coordination::policy_rollout::health::*;

fn plan(stages: usize) -> Plan {
    let text: String = (0..stages)
        .map(|n| format!("[[stage]]\nzones = ['z{n}']\n"))
        .collect();
    Plan::parse(&text).expect("a plan")
}

/// Messages of a class in a span, of which some fail.
fn told(policy: u64, class: &str, taken: u32, failed: u32) -> messages::MessageOutcomeCounts {
    let delivered = taken - failed;
    messages::MessageOutcomeCounts {
        policy,
        class: class.into(),
        accepted: taken,
        delivered,
        failed,
        ..messages::MessageOutcomeCounts::default()
    }
}

/// Twenty spans before the change, then as many as wanted: shares that fail, in 100, of the stage
/// and of the others.
fn look(
    stages: usize,
    stage: usize,
    before: (u32, u32),
    then: impl Fn(u64) -> (u32, u32),
    spans: u64,
) -> (u64, Verdict) {
    let (mut health, plan) = (Health::default(), plan(stages));
    let mut rng = fastrand::Rng::with_seed(7);
    let mut draw = |n: u32, part: u32| (0..n).filter(|_| rng.u32(..100) < part).count() as u32;
    for span in 0..20 + spans {
        let now = span * SPAN;
        if span == 20 {
            health.change(now - 1, false);
        }
        let (own, others) = if span < 20 { before } else { then(span - 20) };
        for s in 0..stages {
            let failed = draw(200, if s == stage { own } else { others });
            health.hear(now, s, None, &[told(1, "a", 200, failed)]);
        }
        if span > 20 {
            let verdict = health.judge(now, stage, &plan);
            if matches!(verdict, Verdict::Worse(_)) || span + 1 == 20 + spans {
                return (span - 20, verdict);
            }
        }
    }
    unreachable!("spans are looked at")
}

#[test]
fn a_worse_stage_is_found_and_what_strikes_both_is_not() {
    let worse = |(at, verdict): (u64, Verdict), by: u64| {
        assert!(
            matches!(&verdict, Verdict::Worse(why) if why.contains("not delivered in time")),
            "{verdict:?}"
        );
        assert!(at <= by, "after {at} spans");
    };
    let well = |(_, verdict): (u64, Verdict)| assert_eq!(verdict, Verdict::Well);
    worse(look(3, 0, (1, 1), |_| (20, 1), 30), 4);
    worse(
        look(3, 0, (1, 1), |n| (if n < 15 { 1 } else { 20 }, 1), 40),
        21,
    );
    well(look(3, 0, (1, 1), |_| (1, 1), 100));
    // An outage strikes both, and one more in the stage's zones was there before.
    well(look(
        3,
        1,
        (1, 1),
        |n| {
            if (5..20).contains(&n) {
                (60, 60)
            } else {
                (1, 1)
            }
        },
        60,
    ));
    well(look(3, 0, (12, 2), |_| (12, 2), 60));
    // The last stage is compared with itself before, less what the others got worse by.
    worse(look(3, 2, (1, 1), |_| (20, 1), 30), 5);
    well(look(
        3,
        2,
        (1, 1),
        |n| if n > 5 { (40, 40) } else { (1, 1) },
        40,
    ));
    worse(look(1, 0, (1, 1), |_| (20, 1), 30), 5);
    well(look(1, 0, (5, 5), |_| (5, 5), 60));
}

#[test]
fn messages_of_the_earlier_policy_say_nothing_of_the_new_one() {
    let (mut health, plan) = (Health::default(), plan(2));
    health.change(0, false);
    for span in 1..40 {
        health.hear(
            span * SPAN,
            0,
            Some(2),
            &[told(1, "a", 200, 200), told(2, "a", 100, 1)],
        );
        health.hear(span * SPAN, 1, None, &[told(1, "a", 200, 2)]);
    }
    assert_eq!(
        (health.judge(40 * SPAN, 0, &plan), health.came(0)),
        (Verdict::Well, 3_900)
    );
}

#[test]
fn too_few_are_told_by_class() {
    let (mut health, plan) = (Health::default(), plan(2));
    health.change(0, false);
    let few = |verdict: Verdict, what: &str| {
        assert!(
            matches!(&verdict, Verdict::TooFew(w) if w.contains(what)),
            "{verdict:?}"
        )
    };
    for span in 1..20 {
        health.hear(span * SPAN, 0, Some(2), &[told(2, "a", 10, 0)]);
        health.hear(
            span * SPAN,
            1,
            None,
            &[told(1, "a", 100, 0), told(1, "b", 20, 0)],
        );
    }
    few(health.judge(20 * SPAN, 0, &plan), "190 messages of 1000");
    health.hear(20 * SPAN, 0, Some(2), &[told(2, "a", 1_000, 0)]);
    few(
        health.judge(21 * SPAN, 0, &plan),
        "class b of tenant 0: 0 messages of 20",
    );
    health.hear(21 * SPAN, 0, Some(2), &[told(2, "b", 20, 0)]);
    // Of twenty messages that came well up to 40 in 100 may be bad all the same.
    few(
        health.judge(22 * SPAN, 0, &plan),
        "class b of tenant 0: by 20 messages up to 40 in 100",
    );
    health.hear(22 * SPAN, 0, Some(2), &[told(2, "b", 200, 0)]);
    assert_eq!(health.judge(23 * SPAN, 0, &plan), Verdict::Well);
}

#[test]
fn bounds_hold_far_out_and_for_few() {
    // Three of three: one in 1,000 says no more than that over a tenth of them fail.
    let all = Share {
        bad: 3.0,
        of: 3.0,
        worth: 3.0,
    };
    let low = all.low(1_000f64.ln());
    assert!(
        (low - 0.1).abs() < 1e-6,
        "{low}: its third power is one in 1,000"
    );
    let none = Share {
        bad: 0.0,
        of: 100.0,
        worth: 100.0,
    };
    assert!((none.high(100f64.ln()) - (1.0 - 0.01f64.powf(0.01))).abs() < 1e-6);
    assert_eq!(
        (Share {
            bad: 0.0,
            of: 0.0,
            worth: 0.0
        })
        .high(1.0),
        1.0
    );
}
