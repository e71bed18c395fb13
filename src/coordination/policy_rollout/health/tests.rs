use crate::coordination::policy_rollout::health::estimate::ShareEstimate;
use crate::coordination::policy_rollout::health::*;

fn plan(stages: usize) -> Plan {
    let text: String = (0..stages)
        .map(|n| format!("[[stage]]\nzones = ['z{n}']\n"))
        .collect();
    Plan::parse(&text).expect("a plan")
}

/// Counts of a class's messages in a span, some of which failed.
fn report_line(
    policy: u64,
    class: &str,
    taken: u32,
    failed: u32,
) -> messages::MessageOutcomeCounts {
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

/// Judges a stage after twenty spans before the change and `spans` after it. The pairs are the
/// percentages of messages that fail in the stage and in the others.
fn judge_after(
    stages: usize,
    stage: usize,
    before: (u32, u32),
    then: impl Fn(u64) -> (u32, u32),
    spans: u64,
) -> (u64, StageVerdict) {
    let (mut health, plan) = (RolloutHealth::default(), plan(stages));
    let mut rng = fastrand::Rng::with_seed(7);
    let mut draw = |n: u32, part: u32| (0..n).filter(|_| rng.u32(..100) < part).count() as u32;
    for span in 0..20 + spans {
        let now = span * SPAN;
        if span == 20 {
            health.on_stage_changed(now - 1);
        }
        let (own, others) = if span < 20 { before } else { then(span - 20) };
        for s in 0..stages {
            let failed = draw(200, if s == stage { own } else { others });
            health.record_report(now, s, None, &[report_line(1, "a", 200, failed)]);
        }
        if span > 20 {
            let verdict = health.judge(now, stage, &plan);
            if matches!(verdict, StageVerdict::Worse(_)) || span + 1 == 20 + spans {
                return (span - 20, verdict);
            }
        }
    }
    unreachable!("spans are looked at")
}

#[test]
fn a_worse_stage_is_detected_and_a_disturbance_of_both_sides_is_not() {
    let worse = |(at, verdict): (u64, StageVerdict), by: u64| {
        assert!(
            matches!(&verdict, StageVerdict::Worse(why) if why.contains("not delivered in time")),
            "{verdict:?}"
        );
        assert!(at <= by, "after {at} spans");
    };
    let well = |(_, verdict): (u64, StageVerdict)| assert_eq!(verdict, StageVerdict::Healthy);
    worse(judge_after(3, 0, (1, 1), |_| (20, 1), 30), 4);
    worse(
        judge_after(3, 0, (1, 1), |n| (if n < 15 { 1 } else { 20 }, 1), 40),
        21,
    );
    well(judge_after(3, 0, (1, 1), |_| (1, 1), 100));
    // An outage affects both sides, and another fault in the stage's zones existed before the
    // change.
    well(judge_after(
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
    well(judge_after(3, 0, (12, 2), |_| (12, 2), 60));
    // The last stage is compared with itself before, less the increase in the other stages.
    worse(judge_after(3, 2, (1, 1), |_| (20, 1), 30), 5);
    well(judge_after(
        3,
        2,
        (1, 1),
        |n| if n > 5 { (40, 40) } else { (1, 1) },
        40,
    ));
    worse(judge_after(1, 0, (1, 1), |_| (20, 1), 30), 5);
    well(judge_after(1, 0, (5, 5), |_| (5, 5), 60));
}

#[test]
fn messages_accepted_under_the_earlier_policy_do_not_count() {
    let (mut health, plan) = (RolloutHealth::default(), plan(2));
    health.on_stage_changed(0);
    for span in 1..40 {
        health.record_report(
            span * SPAN,
            0,
            Some(2),
            &[report_line(1, "a", 200, 200), report_line(2, "a", 100, 1)],
        );
        health.record_report(span * SPAN, 1, None, &[report_line(1, "a", 200, 2)]);
    }
    assert_eq!(
        (
            health.judge(40 * SPAN, 0, &plan),
            health.messages_since_change(0)
        ),
        (StageVerdict::Healthy, 3_900)
    );
}

#[test]
fn too_few_messages_are_reported_by_class() {
    let (mut health, plan) = (RolloutHealth::default(), plan(2));
    health.on_stage_changed(0);
    let few = |verdict: StageVerdict, what: &str| {
        assert!(
            matches!(&verdict, StageVerdict::TooFewMessages(w) if w.contains(what)),
            "{verdict:?}"
        )
    };
    for span in 1..20 {
        health.record_report(span * SPAN, 0, Some(2), &[report_line(2, "a", 10, 0)]);
        health.record_report(
            span * SPAN,
            1,
            None,
            &[report_line(1, "a", 100, 0), report_line(1, "b", 20, 0)],
        );
    }
    few(health.judge(20 * SPAN, 0, &plan), "190 messages of 1000");
    health.record_report(20 * SPAN, 0, Some(2), &[report_line(2, "a", 1_000, 0)]);
    few(
        health.judge(21 * SPAN, 0, &plan),
        "class b of tenant 0: 0 messages of 20",
    );
    health.record_report(21 * SPAN, 0, Some(2), &[report_line(2, "b", 20, 0)]);
    // With twenty messages that were all delivered, up to 40 in 100 could still fail.
    few(
        health.judge(22 * SPAN, 0, &plan),
        "class b of tenant 0: by 20 messages up to 40 in 100",
    );
    health.record_report(22 * SPAN, 0, Some(2), &[report_line(2, "b", 200, 0)]);
    assert_eq!(health.judge(23 * SPAN, 0, &plan), StageVerdict::Healthy);
}

#[test]
fn bounds_hold_in_the_tails_and_for_few_messages() {
    // Three failures of three messages: with an error of one in 1,000 they show no more than that
    // over a tenth of the messages fail.
    let all = ShareEstimate {
        bad: 3.0,
        total: 3.0,
        effective_total: 3.0,
    };
    let low = all.lower_bound(1_000f64.ln());
    assert!(
        (low - 0.1).abs() < 1e-6,
        "{low}: its third power is one in 1,000"
    );
    let none = ShareEstimate {
        bad: 0.0,
        total: 100.0,
        effective_total: 100.0,
    };
    assert!((none.upper_bound(100f64.ln()) - (1.0 - 0.01f64.powf(0.01))).abs() < 1e-6);
    assert_eq!(
        (ShareEstimate {
            bad: 0.0,
            total: 0.0,
            effective_total: 0.0
        })
        .upper_bound(1.0),
        1.0
    );
}
