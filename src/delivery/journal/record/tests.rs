use super::*;

/// Format of a record before messages had a policy.
#[derive(Serialize)]
struct RecordWithoutPolicy {
    envelope: Rc<Envelope>,
    accepted_unix_ms: u64,
    expires_unix_ms: u64,
    attempts: u16,
    possible_run: Option<AttemptStart>,
    in_flight: Option<AttemptStart>,
    verdict: Option<Verdict>,
}

fn record(policy: u64, table: u64, tenant: u16) -> MessageRecord {
    let envelope = Envelope {
        frontend: 1,
        id: "m1".to_string(),
        key: Some("k1".to_string()),
        class: 2,
        dest: 7,
        reply_to: vec![1, 2],
        notes: vec![("origin".to_string(), "x".to_string())],
        body: vec![9; 5],
        stored_body_bytes: 0,
        tenant,
    };
    MessageRecord {
        envelope: Rc::new(envelope),
        accepted_unix_ms: 1_700_000_000_000,
        expires_unix_ms: 1_700_000_016_000,
        attempts: 3,
        possible_run: Some(AttemptStart {
            at_unix_ms: 1_700_000_000_500,
            zone: "a".into(),
        }),
        in_flight: None,
        verdict: Some(Verdict::Deferred {
            retry_after_ms: 500,
        }),
        policy,
        table,
    }
}

/// Bytes of a record that was written before messages had a policy.
const OLD_RECORD_HEX: &str =
    "01026d3101026b31020702010201066f726967696e017805090909090980d095ffbc3180cd96\
                       ffbc310301f4d395ffbc310161000101f403";

#[test]
fn records_without_trailing_numbers_keep_their_bytes_and_old_readers_read_newer_records() {
    let MessageRecord {
        envelope,
        accepted_unix_ms,
        expires_unix_ms,
        attempts,
        possible_run,
        in_flight,
        verdict,
        ..
    } = record(0, 0, 0);
    let old = RecordWithoutPolicy {
        envelope,
        accepted_unix_ms,
        expires_unix_ms,
        attempts,
        possible_run,
        in_flight,
        verdict,
    };
    let old = postcard::to_stdvec(&old).expect("encodes");
    assert_eq!(record(0, 0, 0).encode(), old);
    assert_eq!(MessageRecord::decode(&old), Ok(record(0, 0, 0)));
    let new = record(300, 0, 0).encode();
    assert_eq!(
        (new.len(), MessageRecord::decode(&new)),
        (old.len() + 2, Ok(record(300, 0, 0)))
    );
    // The oldest readers ignored the bytes after a record.
    assert_eq!(
        postcard::from_bytes::<MessageRecord>(&new),
        Ok(record(0, 0, 0))
    );
    for (policy, table, tenant, added_bytes) in [
        (0, 7, 0, 2),
        (300, 7, 0, 3),
        (0, 0, 1, 3),
        (300, 7, 1, 4),
        (0, 0, u16::MAX, 5),
    ] {
        let newest = record(policy, table, tenant).encode();
        assert_eq!(newest.len(), old.len() + added_bytes);
        assert_eq!(
            MessageRecord::decode(&newest),
            Ok(record(policy, table, tenant))
        );
        // A reader that knows only policies reads the number after the record; one that also knows
        // tables reads the number after that.
        let (_, rest) = postcard::take_from_bytes::<MessageRecord>(&newest).expect("a record");
        let (read, rest) = postcard::take_from_bytes::<u64>(rest).expect("a policy");
        assert_eq!(
            (read, postcard::from_bytes::<u64>(rest)),
            (policy, Ok(table))
        );
    }
    assert!(MessageRecord::decode(&new[..old.len() - 1]).is_err());
    assert_eq!(data_encoding::HEXLOWER.encode(&old), OLD_RECORD_HEX);
}
