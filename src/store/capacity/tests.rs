use super::*;

const KB: u64 = 1024;
const MS: Duration = Duration::from_millis(1);

fn occupancy(segments: u32, free_segments: u32, live_bytes: u64) -> Occupancy {
    Occupancy {
        segment_bytes: 190 * KB,
        segments,
        max_segments: 15,
        free_segments,
        tail_bytes: 0,
        live_bytes,
        largest_item_bytes: 2 * KB,
    }
}

#[test]
fn layout_stays_within_the_limit_for_limits_from_kilobytes_to_gigabytes() {
    for (limit, available) in [
        (3_000_000, u64::MAX),
        (3_000_000, 1_000_000),
        (3_000_000, 0),
        (1_000_000, 1 << 30),
        (100_000, 1 << 30),
        (20_000, 0),
        (1 << 30, 1 << 40),
        (64 << 30, 1 << 40),
    ] {
        let layout = SegmentLayout::for_folder(limit, available);
        assert!(
            layout.segment_bytes * u64::from(layout.max_segments) <= limit,
            "{limit} {available}: {layout:?}"
        );
        assert!(
            layout.segment_bytes >= SEGMENT_GRANULARITY
                && layout.segment_bytes <= MAX_SEGMENT_BYTES,
            "{limit} {available}: {layout:?}"
        );
        assert!(
            limit < 100_000 || layout.max_segments >= 7,
            "{limit} {available}: {layout:?}"
        );
    }
    assert!(
        SegmentLayout::for_folder(3_000_000, u64::MAX).segment_bytes >= 2 * 66 * KB,
        "a segment holds two bodies of maximum length"
    );
    assert!(
        SegmentLayout::for_folder(3_000_000, 1_100_000).segment_bytes * 7 <= 1_100_000,
        "the available bytes bound the layout, not the limit"
    );
}

#[test]
fn cleaning_starts_when_free_segments_are_low_and_copies_all_live_bytes_in_time() {
    assert_eq!(occupancy(15, 9, 500 * KB).cleaning_quota(1000), None);
    // Under continuous writes, all live bytes are copied before the cleaner's reserve is used.
    let mut store = occupancy(15, 4, 1300 * KB);
    let mut copied = 0;
    let mut left = 2 * store.segment_bytes;
    while copied < store.live_bytes {
        store.free_segments = CLEANER_RESERVE + (left / store.segment_bytes) as u32;
        store.tail_bytes = left % store.segment_bytes;
        copied += store.cleaning_quota(500).expect("low");
        left = left.checked_sub(500).expect("cleaned in time");
    }
}

#[test]
fn gate_reports_closing_once_and_reopens_after_a_delay_with_spare_capacity() {
    let mut gate = CapacityGate::default();
    let size = 1000;
    let capacity = occupancy(15, 9, 0).live_capacity(size);
    let full = occupancy(15, 9, capacity);
    let limit = CapacityDecision::Reject(RejectReason::FolderLimit);
    assert_eq!(
        gate.request(Duration::ZERO, &occupancy(15, 9, capacity - size), size),
        (CapacityDecision::Admit, None)
    );
    let closed = Some(GateChange::Closed(RejectReason::FolderLimit));
    assert_eq!(gate.request(MS, &full, size), (limit, closed));
    assert_eq!(gate.request(2 * MS, &full, size), (limit, None));
    // A little free capacity, or a lot of it before the minimum time, does not reopen the gate.
    assert_eq!(
        gate.request(700 * MS, &occupancy(15, 9, capacity - size), size)
            .0,
        limit
    );
    assert_eq!(gate.request(90 * MS, &occupancy(15, 9, 0), size).0, limit);
    let (decision, change) = gate.request(701 * MS, &occupancy(15, 9, capacity / 2), size);
    assert_eq!(
        (decision, change),
        (
            CapacityDecision::Admit,
            Some(GateChange::Reopened(700 * MS))
        )
    );
}

#[test]
fn full_file_system_is_retried_twice_a_second_and_logged_once() {
    let mut gate = CapacityGate::default();
    let full = occupancy(4, 2, 150 * KB);
    let file_system = RejectReason::FileSystemFull;
    let (mut attempts, mut changes) = (0, 0);
    for ms in 0..3000 {
        let (decision, change) = gate.request(ms * MS, &full, 1000);
        changes += u32::from(change.is_some());
        if decision == CapacityDecision::AddSegment {
            attempts += 1;
            changes += u32::from(gate.on_growth(ms * MS, Some(file_system)).is_some());
            assert_eq!(
                gate.request(ms * MS, &full, 1000).0,
                CapacityDecision::Reject(file_system)
            );
        }
    }
    assert_eq!((attempts, changes), (6, 1));
    assert_eq!(
        gate.request(3000 * MS, &full, 1000).0,
        CapacityDecision::AddSegment
    );
    assert_eq!(gate.on_growth(3000 * MS, None), None);
    assert_eq!(
        gate.request(3000 * MS, &occupancy(9, 5, 150 * KB), 1000).0,
        CapacityDecision::Admit
    );
}

#[test]
fn surplus_segments_are_released_one_per_second_after_a_minute() {
    let mut gate = CapacityGate::default();
    let ample = occupancy(15, 13, 10 * KB);
    let mut releases =
        |ms: u32, occupancy: &Occupancy| gate.should_release_segment(ms * MS, occupancy);
    assert!(!releases(0, &ample) && !releases(59_000, &ample));
    assert!(releases(60_000, &ample) && !releases(60_500, &ample));
    assert!(releases(61_000, &ample));
    assert!(
        !releases(70_000, &occupancy(15, 4, 900 * KB)),
        "segments in use are not released"
    );
    assert!(!releases(71_000, &ample), "the grace period starts again");
}
