//! Rollouts in virtual time: worse policies halt in their first stage, equal ones nowhere, and none
//! is lost with its leaders.

use raildeal::coordination::messages::{OperatorRequest, OperatorResponse};
use raildeal::coordination::policy_rollout::register::{Change, Step};
use raildeal_simulator::policy::{play, Does, Play, Played, Trouble, When, SECOND};

fn short(does: Does) -> Play {
    let plan = "watch_s = 1\nsoak_s = 4\nleast = 100\n[health]\nsees = 1.0\n".to_string();
    Play {
        plan,
        lasts: 120 * SECOND,
        ..Play::new(40, 4, 3, does)
    }
}

fn sound(played: &Played) {
    assert_eq!(
        (played.two, played.unchecked),
        (0, 0),
        "{:?}",
        played.changes
    );
}

fn count(played: &Played, what: fn(&Change) -> bool) -> usize {
    played.changes.iter().filter(|(_, c)| what(c)).count()
}

#[test]
fn worse_policies_halt_in_their_first_stage_and_equal_ones_nowhere() {
    let figures = raildeal_simulator::policy::figures(100, 3, 5, 2);
    assert_eq!((figures.broken, figures.false_halts), (0, 0), "{figures:?}");
    assert!(
        figures.gap_ms < 400 && figures.gap_p50_ms < 100,
        "{figures:?}"
    );
}

#[test]
fn a_leader_that_dies_at_any_step_loses_nothing() {
    for stage in 0..3 {
        for step in [Step::Ready, Step::Paused, Step::Soaking] {
            let mut plan = short(Does::Nothing);
            plan.troubles = vec![(
                When::Step(stage, step, 1_000_000),
                Trouble::Leader(2 * SECOND),
            )];
            let played = play(&plan);
            sound(&played);
            assert!(
                played.done.is_some() && played.halted.is_none(),
                "{stage} {step:?}: {:?}",
                played.changes
            );
            let policies = &played.record.policies;
            assert_eq!(
                (
                    policies.last_number,
                    count(&played, |c| *c == Change::Commit)
                ),
                (1, 3),
                "{stage} {step:?}"
            );
            assert!(policies.zones.values().all(|r| r.number == 1 && !r.paused));
        }
    }
}

#[test]
fn nobody_leads_for_long_and_it_halts_until_a_person_says_so() {
    let mut plan = short(Does::Nothing);
    plan.troubles = vec![
        (
            When::Step(1, Step::Soaking, SECOND),
            Trouble::Leader(15 * SECOND),
        ),
        (
            When::At(60 * SECOND),
            Trouble::Person(OperatorRequest::ResumeRollout),
        ),
        (
            When::At(61 * SECOND),
            Trouble::Person(OperatorRequest::ResumeRollout),
        ),
    ];
    let played = play(&plan);
    sound(&played);
    assert!(
        played
            .halted
            .as_ref()
            .is_some_and(|h| h.1 == 2 && h.2.contains("no keeper led")),
        "{:?}",
        played.halted
    );
    assert!(played.done.is_some(), "{:?}", played.changes);
    assert_eq!(
        played
            .answers
            .iter()
            .filter(|a| matches!(a, OperatorResponse::Done(_)))
            .count(),
        3,
        "{:?}",
        played.answers
    );
}

#[test]
fn a_refusal_ends_it_nowhere_and_names_the_sender() {
    let plan = Play {
        refuses: vec![7],
        ..short(Does::Nothing)
    };
    let played = play(&plan);
    assert!(
        played
            .end
            .as_ref()
            .is_some_and(|why| why.contains("n7") && why.contains("too little memory")),
        "{played:?}"
    );
    assert!(played.record.policies.zones.is_empty() && played.record.policies.rollout.is_none());
}

#[test]
fn a_pause_that_is_not_answered_is_taken_back_and_tried_again() {
    let mut plan = short(Does::Nothing);
    // It answers again before its lease has lapsed, or it does not and the others go on without it.
    for silent in [2, 30] {
        plan.troubles = vec![(
            When::Step(1, Step::Ready, SECOND / 2),
            Trouble::Silent(3, silent * SECOND),
        )];
        let played = play(&plan);
        sound(&played);
        assert!(
            count(
                &played,
                |c| matches!(c, Change::TakeBack { silent } if silent == "n3")
            ) >= 1,
            "{:?}",
            played.changes
        );
        assert!(played.done.is_some(), "{:?}", played.changes);
    }
}

#[test]
fn senders_that_die_in_a_stage_halt_it_and_it_goes_back() {
    let mut plan = short(Does::Nothing);
    plan.troubles = vec![
        (When::Step(0, Step::Soaking, SECOND), Trouble::Dies(0, None)),
        (
            When::At(40 * SECOND),
            Trouble::Person(OperatorRequest::RollBack),
        ),
        (
            When::At(41 * SECOND),
            Trouble::Person(OperatorRequest::RollBack),
        ),
    ];
    let played = play(&plan);
    sound(&played);
    let why = played
        .halted
        .as_ref()
        .map(|h| h.2.clone())
        .unwrap_or_default();
    assert!(
        why.contains("senders of the stage lapsed: n0"),
        "{why} {:?}",
        played.changes
    );
    let policies = &played.record.policies;
    assert!(policies.rollout.is_none(), "{:?}", policies.rollout);
    assert_eq!(policies.register("z0").number, 2, "{policies:?}");
    assert!(policies
        .past
        .back()
        .is_some_and(|p| p.back_of == 1 && p.end == "done"));
    assert_eq!(
        played
            .answers
            .iter()
            .filter(|a| matches!(a, OperatorResponse::Done(_)))
            .count(),
        3,
        "{:?}",
        played.answers
    );
}

#[test]
fn a_second_rollout_gets_a_clear_no() {
    let mut plan = short(Does::Nothing);
    let other = OperatorRequest::ProposePolicy {
        text: "limits.slots = 9".into(),
        plan: raildeal_simulator::policy::plan(&plan),
    };
    let same = OperatorRequest::ProposePolicy {
        text: "limits = { max_attempts = 9 }".into(),
        plan: raildeal_simulator::policy::plan(&plan),
    };
    plan.troubles = vec![
        (When::At(4 * SECOND), Trouble::Person(other)),
        (When::At(5 * SECOND), Trouble::Person(same)),
    ];
    let played = play(&plan);
    assert!(
        matches!(&played.answers[1], OperatorResponse::Rejected(why) if why.contains("policy 1 is rolled out")),
        "{:?}",
        played.answers
    );
    assert!(
        matches!(&played.answers[2], OperatorResponse::Done(_)),
        "the same is done already: {:?}",
        played.answers
    );
}
