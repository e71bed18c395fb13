use crate::coordination::policy_rollout::plan::*;

#[test]
fn a_plan_with_only_stages_gets_defaults() {
    let plan =
        Plan::parse("[[stage]]\nzones = ['a']\n[[stage]]\nzones = ['b', 'c']\n").expect("good");
    assert_eq!(
        (plan.stage.len(), plan.stage_of("c"), plan.stage_of("d")),
        (2, Some(1), None)
    );
    assert_eq!((plan.max_soak_s(), plan.bounds("any").failed), (240, 0.01));
    let text =
        "soak_s = 5\n[[stage]]\nzones = ['a']\n[health.class.bulk]\nlate = 0.3\n[health.all]\nfailed = 0.1\n";
    let plan = Plan::parse(text).expect("good");
    assert_eq!(
        (
            plan.bounds("bulk").late,
            plan.bounds("bulk").failed,
            plan.bounds("x").late
        ),
        (0.3, 0.1, 0.02)
    );
}

#[test]
fn all_faults_are_reported_with_their_line() {
    let text = "soak_s = 0\npause_ms = 'long'\nspeed = 1\n[[stage]]\nzones = []\n[[stage]]\nzone = 'a'\n[health]\nlapsed = 2.0\n";
    let reported: Vec<String> = Plan::parse(text)
        .expect_err("bad")
        .iter()
        .map(Fault::to_string)
        .collect();
    for named in [
        "line 2: pause_ms: invalid type",
        "line 3: speed: unknown field",
        "line 7: stage[1].zone: unknown",
    ] {
        assert!(
            reported.iter().any(|t| t.starts_with(named)),
            "{named}: {reported:#?}"
        );
    }
    let text = "soak_s = 0\nmost_soak_s = 0\n[[stage]]\nzones = []\n[[stage]]\nzones = ['a', 'b', 'a']\n[health]\nlapsed = 2.0\n";
    let reported: Vec<String> = Plan::parse(text)
        .expect_err("bad")
        .iter()
        .map(Fault::to_string)
        .collect();
    let named = [
        "line 1: soak_s",
        "line 2: most_soak_s",
        "line 4: stage[0].zones",
        "line 6: stage[1].zones: zone",
        "line 8: health.lapsed",
    ];
    for named in named {
        assert!(
            reported.iter().any(|t| t.starts_with(named)),
            "{named}: {reported:#?}"
        );
    }
    assert!(Plan::parse("").expect_err("none")[0]
        .to_string()
        .starts_with("stage: not set"));
}
