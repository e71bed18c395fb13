use crate::coordination::record::*;

fn join(sender: &str, boot: u64) -> Command {
    Command::AddSender {
        sender: sender.into(),
        boot,
        zone: "a".into(),
    }
}

fn order(base: u64, phase: Phase) -> Command {
    Command::SetZonePhase {
        base,
        zone: "z".into(),
        phase,
        out: vec![(1, 1.0)],
        return_attempts: 0,
        reason: String::new(),
    }
}

#[test]
fn an_expiry_of_an_earlier_process_does_not_end_a_later_one() {
    let mut record = Record::default();
    record.apply(1, &join("n", 1));
    record.apply(2, &join("n", 2));
    record.apply(
        3,
        &Command::ExpireSender {
            sender: "n".into(),
            boot: 1,
        },
    );
    assert!(record.roster["n"].live);
    record.apply(
        4,
        &Command::ExpireSender {
            sender: "n".into(),
            boot: 2,
        },
    );
    assert!(!record.roster["n"].live);
}

#[test]
fn an_order_based_on_an_old_epoch_is_void() {
    let mut record = Record::default();
    record.apply(1, &order(0, Phase::Left));
    record.apply(2, &order(0, Phase::Returning));
    assert_eq!(
        (record.zones["z"].phase, record.epoch, record.changed),
        (Phase::Left, 1, 1)
    );
    record.apply(3, &order(1, Phase::Used));
    assert!(record.zones.is_empty() && record.view().zones.is_empty());
    assert!(record.is_view_outdated(2) && !record.is_view_outdated(3));
    record.apply(4, &order(2, Phase::Left));
    assert_eq!(
        record.zones["z"].epoch, 3,
        "the epoch grows although the zone was in use in between"
    );
}

#[test]
fn an_operators_request_expires_by_the_clock_of_the_record() {
    let mut record = Record::default();
    record.apply(
        1,
        &Command::RequestZoneState {
            zone: "z".into(),
            state: RequestedZoneState::Hold,
            for_ms: 1_000,
        },
    );
    record.apply(
        2,
        &Command::AdvanceClock {
            term: 1,
            beat: 1,
            ms: 999,
        },
    );
    assert!(record.zones["z"].request.is_some());
    record.apply(
        3,
        &Command::AdvanceClock {
            term: 2,
            beat: 1,
            ms: 1,
        },
    );
    assert!(record.zones.is_empty());
}

#[test]
fn a_full_roster_replaces_expired_senders_only() {
    let mut record = Record::default();
    for n in 0..MAX_SENDERS as u64 {
        record.apply(n + 1, &join(&format!("n{n}"), 1));
    }
    let at = record.version;
    record.apply(at + 1, &join("one more", 1));
    assert!(!record.roster.contains_key("one more"));
    record.apply(
        at + 2,
        &Command::ExpireSender {
            sender: "n7".into(),
            boot: 1,
        },
    );
    record.apply(at + 3, &join("one more", 1));
    assert!(record.roster.contains_key("one more") && !record.roster.contains_key("n7"));
    assert_eq!(record.roster.len(), MAX_SENDERS);
}
