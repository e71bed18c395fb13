use crate::coordination::policy_rollout::register::*;

fn plan(stages: &[&[&str]]) -> Plan {
    let zones = |zones: &&[&str]| zones.iter().map(|z| z.to_string()).collect();
    let stage = stages
        .iter()
        .map(|s| super::super::plan::Stage { zones: zones(s) })
        .collect();
    Plan {
        stage,
        ..Plan::default()
    }
}

fn propose(n: u8) -> Change {
    Change::Propose {
        text: format!("# {n}"),
        digest: [n; 32],
        plan: plan(&[&["a"], &["b", "c"]]),
    }
}

fn apply_all(p: &mut Policies, changes: &[Change]) {
    for change in changes {
        let (turn, at) = (p.turn, p.at);
        p.apply(at + 1, 10 * at, turn, change);
        assert_eq!(p.turn, turn + 1, "{change:?}");
    }
}

const STAGE: [Change; 3] = [Change::Pause, Change::Commit, Change::Next];

#[test]
fn a_change_based_on_an_earlier_turn_has_no_effect() {
    let mut p = Policies::default();
    apply_all(&mut p, &[propose(1), Change::Pause]);
    let before = p.clone();
    for (base, change) in [
        (1, Change::Commit),
        (2, propose(2)),
        (2, Change::Pause),
        (2, Change::Resume),
    ] {
        p.apply(9, 9, base, &change);
        assert_eq!(p, before, "{change:?} on {base}");
    }
    assert_eq!(
        p.register("a"),
        Register {
            number: 0,
            paused: true,
            turn: 2
        }
    );
    assert_eq!(p.register("b"), Register::default());
    apply_all(
        &mut p,
        &[Change::TakeBack {
            silent: "n1".into(),
        }],
    );
    assert_eq!(
        p.register("a"),
        Register {
            number: 0,
            paused: false,
            turn: 3
        }
    );
    assert_eq!(
        p.rollout.as_ref().map(|r| (r.step, r.tries)),
        Some((Step::Ready, 1))
    );
}

#[test]
fn stages_change_in_order_and_roll_back_in_reverse_under_a_new_number() {
    let mut p = Policies::default();
    apply_all(&mut p, &[propose(1)]);
    apply_all(&mut p, &STAGE);
    assert_eq!((p.register("a").number, p.register("b").number), (1, 0));
    apply_all(&mut p, &STAGE);
    assert!(p.rollout.is_none() && p.last.is_some());
    assert_eq!(
        (
            p.register("c").number,
            p.past[0].end.as_str(),
            p.past[0].stages
        ),
        (1, "done", (2, 2))
    );
    apply_all(&mut p, &[propose(2)]);
    apply_all(&mut p, &STAGE);
    apply_all(
        &mut p,
        &[
            Change::Pause,
            Change::Halt {
                why: "x".repeat(2_000),
            },
        ],
    );
    let r = p.rollout.clone().expect("it runs");
    assert_eq!(
        (r.step, r.halted.map(|w| w.len()), p.register("b").paused),
        (Step::Ready, Some(MAX_REASON_BYTES), false)
    );
    apply_all(&mut p, &[Change::Back { own: [0; 32] }]);
    let r = p.rollout.clone().expect("it goes back");
    assert_eq!(
        (r.number, r.back_of, r.plan.stage.len(), &p.texts[&3].text),
        (3, 2, 1, &"# 1".to_string())
    );
    apply_all(&mut p, &STAGE);
    assert_eq!((p.register("a").number, p.register("b").number), (3, 1));
    assert!(p.rollout.is_none() && p.last.is_none());
}

#[test]
fn a_completed_rollout_can_be_rolled_back_with_each_zone_to_its_own_policy() {
    let mut p = Policies::default();
    apply_all(
        &mut p,
        &[Change::Propose {
            text: "# 0".into(),
            digest: [9; 32],
            plan: plan(&[&["a"]]),
        }],
    );
    apply_all(&mut p, &STAGE);
    apply_all(&mut p, &[propose(2)]);
    apply_all(&mut p, &STAGE);
    apply_all(&mut p, &STAGE);
    apply_all(&mut p, &[Change::Back { own: [0; 32] }]);
    let r = p.rollout.clone().expect("it goes back");
    assert_eq!(
        r.plan
            .stage
            .iter()
            .map(|s| s.zones.len())
            .collect::<Vec<_>>(),
        [2, 1]
    );
    assert_eq!((r.to["a"], r.to["b"], r.to["c"]), (4, 3, 3));
    assert_eq!(
        (
            p.texts[&4].digest,
            p.texts[&3].digest,
            p.texts[&3].text.as_str()
        ),
        ([9; 32], [0; 32], "")
    );
}

#[test]
fn an_ended_proposal_changes_nothing_and_texts_and_history_are_bounded() {
    let mut p = Policies::default();
    for n in 0..80 {
        apply_all(
            &mut p,
            &[
                propose(n),
                Change::End {
                    why: "n1: no".into(),
                },
            ],
        );
    }
    assert!(p.zones.is_empty() && p.rollout.is_none());
    assert_eq!(
        (p.texts.len(), p.past.len(), p.past[0].number),
        (MAX_TEXTS, MAX_PAST_ROLLOUTS, 31)
    );
    apply_all(&mut p, &[propose(81)]);
    apply_all(&mut p, &[Change::Pause, Change::Commit]);
    let turn = p.turn;
    p.apply(99, 0, turn, &Change::End { why: "late".into() });
    assert_eq!(p.turn, turn, "what is in force does not end so");
    apply_all(
        &mut p,
        &[
            Change::Halt { why: "w".into() },
            Change::Resume,
            Change::Back { own: [0; 32] },
        ],
    );
    assert!(
        p.check_capacity(&plan(&[&["a"]]), 200).is_ok()
            && p.check_capacity(&plan(&[&["z"]]), 1).is_err()
    );
}
