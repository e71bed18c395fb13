use super::*;

/// Loads the notes, with faults as log texts.
fn loaded(folder: &Path, now_unix_ms: u64) -> (RestartState, Vec<String>) {
    let notes = load(folder, now_unix_ms, None);
    let faults = notes.faults.iter().map(ToString::to_string).collect();
    (notes.state, faults)
}

#[test]
fn a_planned_end_counts_once_and_for_a_minute() {
    let folder = tempfile::tempdir().expect("a folder");
    let load_at = |now| loaded(folder.path(), now);
    let nothing = RestartState::default();
    let planned = RestartState {
        planned: true,
        ..RestartState::default()
    };
    assert_eq!(load_at(5), (nothing, vec![]));
    for (now, found) in [(1_700, planned), (61_000, planned), (61_001, nothing)] {
        note_planned_end(folder.path(), 1_000).expect("written");
        assert_eq!((load_at(now).0, load_at(now)), (found, (nothing, vec![])));
    }
    note_planned_end(folder.path(), 1_000).expect("written");
    assert_eq!(
        load_at(999),
        (nothing, vec!["ended: from the future".to_string()])
    );
}

#[test]
fn a_torn_or_unreadable_note_is_ignored_and_reported() {
    let folder = tempfile::tempdir().expect("a folder");
    for torn in ["", "17", "17 \n", "17\n\n", "-1\n", "soon\n", "17 18 19\n"] {
        fs::write(folder.path().join(PLANNED_END.name), torn).expect("written");
        fs::write(folder.path().join(LIST_POLL.name), torn).expect("written");
        let (found, faults) = loaded(folder.path(), 18);
        assert_eq!(
            (found, faults),
            (
                RestartState::default(),
                vec!["ended: torn".into(), "asked: torn".into()]
            ),
            "{torn:?}"
        );
    }
    fs::create_dir(folder.path().join(PLANNED_END.name)).expect("a folder");
    assert!(note_planned_end(folder.path(), 1).is_err());
    assert!(!load(folder.path(), 18, None).state.planned);
}

#[test]
fn a_list_is_trusted_for_the_noted_time_and_not_at_all_with_a_damaged_note() {
    const MS: Nanos = 1_000_000;
    let folder = tempfile::tempdir().expect("a folder");
    let left = |now| load(folder.path(), now, None).state.remaining_freshness;
    assert_eq!(left(5), None, "there was no previous process");
    for at in [1_000, 99_000] {
        note_list_freshness(folder.path(), at, Duration::from_secs(6)).expect("written");
        assert_eq!(
            [left(at), left(at + 600), left(at + 60_000)],
            [Some(6_000 * MS), Some(5_400 * MS), Some(0)]
        );
    }
    for torn in ["", "17", "17 18", "17\n", "soon 17\n"] {
        fs::write(folder.path().join(LIST_FRESHNESS.name), torn).expect("written");
        assert_eq!(left(18), Some(0), "{torn:?}");
    }
    note_list_freshness(folder.path(), 1_000, Duration::from_secs(6)).expect("written");
    assert_eq!(left(999), Some(0), "from the future");
}

/// Guards against new attempts to drained endpoints after a restart with an older list than the one
/// that the previous process trusted.
#[test]
fn noted_freshness_applies_only_from_the_noted_revision_on() {
    const MS: Nanos = 1_000_000;
    let folder = tempfile::tempdir().expect("a folder");
    note_list_freshness(folder.path(), 1_000, Duration::from_secs(6)).expect("written");
    let left = |held| load(folder.path(), 1_000, held).state.remaining_freshness;
    assert_eq!(
        left(Some(40)),
        Some(6_000 * MS),
        "earlier versions note no revision"
    );
    note_list_revision(folder.path(), 1_000, 41).expect("written");
    let lefts = [None, Some(40), Some(41), Some(42)].map(left);
    assert_eq!(lefts, [0, 0, 6_000 * MS, 6_000 * MS].map(Some));
    fs::write(folder.path().join(LIST_REVISION.name), "1000 4").expect("written");
    assert_eq!(left(Some(41)), Some(0), "torn");
}

#[test]
fn no_list_is_trusted_once_a_newer_revision_could_not_be_noted() {
    // The freshness of the older list stayed, and a restart with that list went by it.
    let folder = tempfile::tempdir().expect("a folder");
    let held = Some(8);
    let remaining = |now| load(folder.path(), now, held).state.remaining_freshness;
    note_list_revision(folder.path(), 1_000, 8).expect("written");
    note_list_freshness(folder.path(), 1_000, Duration::from_secs(40)).expect("written");
    assert_eq!(remaining(2_000), Some(39_000_000_000));
    // A folder stands where the note is written before it replaces the old one.
    fs::create_dir(folder.path().join("listed.new")).expect("created");
    note_list_revision(folder.path(), 2_000, 9).expect_err("not written");
    assert_eq!(remaining(2_000), Some(0));
    // Once the revision is noted, its own freshness counts again.
    fs::remove_dir(folder.path().join("listed.new")).expect("removed");
    note_list_revision(folder.path(), 3_000, 9).expect("written");
    note_list_freshness(folder.path(), 3_000, Duration::from_secs(40)).expect("written");
    assert_eq!(remaining(3_000), Some(0), "the older list");
    let newer = load(folder.path(), 3_000, Some(9)).state;
    assert_eq!(newer.remaining_freshness, Some(40_000_000_000));
}

#[test]
fn the_noted_poll_cost_counts_for_an_hour_and_within_bounds() {
    let folder = tempfile::tempdir().expect("a folder");
    let cost = |took_ms, now| {
        let took = Duration::from_millis(took_ms);
        note_list_poll(folder.path(), 1_000, took).expect("written");
        load(folder.path(), now, None).state.poll_cost_seconds
    };
    assert_eq!(cost(36, 1_000), Some(0.036));
    assert_eq!(
        (cost(36, 3_601_000), cost(36, 3_601_001)),
        (Some(0.036), None)
    );
    // Upper bound: time in a queue is not part of the cost. Lower bound: a directory that has just
    // started may be slower than before.
    assert_eq!(
        (cost(2_900, 1_000), cost(1, 1_000)),
        (Some(0.055), Some(0.0275))
    );
}
