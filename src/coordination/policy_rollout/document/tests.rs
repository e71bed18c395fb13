use crate::coordination::policy_rollout::document::*;

const GOOD: &str = r#"
# Bulk waits longer.
hook = "fn ingress(message) { true }"
[limits]
slots = 40
[class.bulk]
deadline_ms = 60_000
effect = "token"
points = 1
[door]
known = ["10.1.2.3/16", "127.0.0.1"]
class_room = { bulk = 0.5 }
"#;

fn own() -> (Settings, Vec<String>) {
    let class = |latency_objective: u64| Class {
        latency_objective: latency_objective * MS,
        deadline: 16_000 * MS,
        effect: Effect::Idempotent,
        dedup_scope: DedupScope::All,
        dedup_window: 0,
        priority_weight: 1.0,
        late_weight: 0.5,
        ordered_by_key: false,
    };
    let classes = vec![class(3_000), class(9_000)];
    let settings = Settings {
        classes,
        max_in_flight_calls: 8,
        max_held_messages: 60,
        max_attempts: 12,
        ..Settings::default()
    };
    (settings, vec!["quick".into(), "bulk".into()])
}

#[test]
fn all_faults_are_reported_at_once_with_line_and_setting() {
    let text = "listen = 3\nhook = 'fn nothing() {}'\n[limits]\nslots = 0\nroom = \"much\"\nspeed = 3\n\
                [class.bulk]\npromise_ms = 9\ndeadline_ms = 8\nlate_worth = nan\neffect = \"maybe\"\n\
                [door]\nclient_share = 2.0\nknown = [\"nowhere\"]\nrate_per_address = -1.0\n";
    let faults = Document::parse(text).expect_err("refused");
    let reported: Vec<String> = faults.iter().map(Fault::to_string).collect();
    for named in [
        "line 1: listen: no policy",
        "line 2: hook: defines neither",
        "line 4: limits.slots: ",
        "line 5: limits.room: invalid type",
        "line 6: limits.speed: unknown field",
        "line 8: class.bulk.promise_ms: 9 is later",
        "line 10: class.bulk.late_worth: NaN",
        "line 11: class.bulk.effect: unknown variant",
        "line 14: door.known: 'nowhere' is neither",
        "line 15: door.rate_per_address: -1 is not",
    ] {
        assert!(
            reported.iter().any(|t| t.starts_with(named)),
            "{named}: {reported:#?}"
        );
    }
    assert!(
        reported.iter().any(|t| t.contains("door.client_share")),
        "{reported:#?}"
    );
    assert_eq!(reported.len(), 11, "{reported:#?}");
    let torn = Document::parse("[limits\nslots = = 3\n").expect_err("no TOML");
    assert!(
        torn.iter().any(|f| f.line == Some(1)) && torn.iter().any(|f| f.line == Some(2)),
        "{torn:?}"
    );
    let long = format!("hook = \"{}\"", "x".repeat(MAX_TEXT_BYTES));
    assert!(Document::parse(&long).expect_err("long")[0]
        .problem
        .contains("may be"));
}

#[test]
fn texts_of_the_same_meaning_have_the_same_digest() {
    let one = Document::parse(GOOD).expect("good");
    let other = "class.bulk = { points = 1.0, effect = 'token', deadline_ms = 60000 }\nclass.quick = {}\n\
                 door.known = ['127.0.0.1', '10.1.0.0/16', '127.0.0.1/32']\ndoor.class_room.bulk = 0.5\n\
                 limits.slots = 0x28\nhook = 'fn ingress(message) { true }'\n";
    let other = Document::parse(other).expect("good");
    assert_eq!(
        (one.canonical(), one.digest()),
        (other.canonical(), other.digest())
    );
    assert_eq!(one.diff(&other), vec![]);
    let third = Document::parse(
        &GOOD
            .replace("60_000", "60_001")
            .replace("[limits]\nslots = 40", ""),
    )
    .expect("good");
    assert_ne!(one.digest(), third.digest());
    let changed: Vec<String> = one
        .diff(&third)
        .iter()
        .map(|(name, ..)| name.clone())
        .collect();
    assert_eq!(changed, ["class.bulk.deadline_ms", "limits.slots"]);
    // The digest must not change: senders and keepers of different program versions compare it.
    let shown = data_encoding::HEXLOWER.encode(&Document::default().digest());
    assert_eq!(
        shown,
        "716ee05c4854b1d7952c6a504e987d9410c861f1764bf02249dd2a92ef60c90c"
    );
}

#[test]
fn a_policy_replaces_the_settings_it_names_and_keeps_all_others() {
    let (own, classes) = own();
    let policy = Document::parse(GOOD).expect("good");
    let own_door = Door {
        per_address: Some(7),
        ..Door::default()
    };
    let (settings, door) = policy
        .merge_into(&own, &classes, &own_door)
        .expect("usable");
    assert_eq!(
        (
            settings.max_in_flight_calls,
            settings.max_held_messages,
            settings.max_attempts
        ),
        (40, 60, 12)
    );
    let bulk = &settings.classes[1];
    assert_eq!(
        (bulk.latency_objective, bulk.deadline, bulk.effect),
        (9_000 * MS, 60_000 * MS, Effect::IdempotentWithKey)
    );
    assert_eq!(settings.classes[0].deadline, 16_000 * MS);
    assert_eq!(
        (door.per_address, door.known.len(), door.class_room["bulk"]),
        (Some(7), 2, 0.5)
    );
    let (same, _) = Document::default()
        .merge_into(&own, &classes, &own_door)
        .expect("nothing changes");
    assert_eq!(format!("{same:?}"), format!("{own:?}"));
}

#[test]
fn a_sender_reports_every_reason_why_it_cannot_apply_a_policy() {
    let (own, classes) = own();
    let text = "[class.quick]\ndeadline_ms = 1000\n[class.odd]\npoints = 2.0\n[door]\nreserve = 3\nclass_room = { rare = 0.5 }\n";
    let policy = Document::parse(text).expect("good as such");
    let faults = policy
        .merge_into(&own, &classes, &Door::default())
        .expect_err("not here");
    let reported: Vec<String> = faults.iter().map(Fault::to_string).collect();
    for named in [
        "line 1: class.quick: wanted within 3000 ms",
        "line 3: class.odd: this sender",
        "line 6: door.reserve: nobody",
        "line 7: door.class_room: settings",
    ] {
        assert!(
            reported.iter().any(|t| t.starts_with(named)),
            "{named}: {reported:#?}"
        );
    }
    assert_eq!(reported.len(), 4, "{reported:#?}");
    let none = Settings {
        max_in_flight_calls: 0,
        ..own
    };
    let faults = Document::default()
        .merge_into(&none, &classes, &Door::default())
        .expect_err("no slots");
    assert_eq!(faults[0].setting, "limits.slots");
}
