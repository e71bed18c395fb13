use super::*;

#[test]
fn the_printed_text_of_a_final_answer_does_not_change() {
    let deferred = Verdict::Deferred {
        retry_after_ms: 500,
    };
    let printed = [Verdict::Delivered, deferred, Verdict::Undeliverable].map(verdict_text);
    let before = ["Delivered", "Deferred { again_ms: 500 }", "Undeliverable"];
    assert_eq!(printed, before);
}

#[test]
fn json_keys_are_those_that_scripts_read() {
    let inspection = JournalInspection {
        in_use: false,
        segments: vec![SegmentSummary {
            file: "0000.seg".into(),
            sequence: 1,
            size_bytes: 2,
            used_bytes: 3,
            frames: 4,
            messages: 5,
            live_bytes: 6,
        }],
        free_files: FreeFiles { count: 7, bytes: 8 },
        legacy_bytes: None,
        messages: vec![MessageSummary {
            item: 9,
            id: "m".into(),
            policy: 10,
            table: 11,
            class: 12,
            tenant: 13,
            destination: 14,
            body_bytes: 15,
            attempts: 16,
            may_have_run: None,
            verdict: None,
            time_left_ms: 17,
        }],
        garbage_fraction: 0.5,
        damage: Vec::new(),
        anomalies: Vec::new(),
        torn_bytes: 18,
        messages_in_doubt: 19,
        took_ms: 20,
    };
    let expected = r#"{"in_use":false,"segments":[{"file":"0000.seg","seq":1,"size":2,"used":3,"frames":4,"messages":5,"live":6}],"free":[7,8],"first_form":null,"messages":[{"no":9,"id":"m","policy":10,"table":11,"class":12,"tenant":13,"dest":14,"body":15,"attempts":16,"may_have_run":null,"verdict":null,"left_ms":17}],"garbage":0.5,"damage":[],"torn":18,"doubted":19,"took_ms":20}"#;
    assert_eq!(
        serde_json::to_string(&inspection).expect("encodes"),
        expected
    );
}
