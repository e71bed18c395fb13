use super::*;
use std::time::Duration;
use tempfile::TempDir;

const BOOT: &str = "7d3c";

fn readings(wall_unix_ms: u64, boot_id: &str, ms: u64) -> ClockReadings {
    let monotonic = MonotonicTime {
        boot_id: boot_id.into(),
        ms,
    };
    ClockReadings {
        wall_unix_ms,
        monotonic: Some(monotonic),
    }
}

/// Opens a clock at these readings, writes its note, and returns the time at which it starts.
fn opened(folder: &TempDir, newest_unix_ms: u64, now: &ClockReadings) -> u64 {
    let clock = PersistentClock::open_at(folder.path(), newest_unix_ms, now);
    let _ = note_at(folder.path(), clock.unix_ms_at_start, now);
    clock.unix_ms_at_start
}

#[test]
fn the_monotonic_clock_is_read_and_advances() {
    let before = monotonic_ms().expect("seconds in the text of an Instant");
    std::thread::sleep(Duration::from_millis(20));
    let passed = monotonic_ms().expect("seconds in the text of an Instant") - before;
    assert!((20..2_000).contains(&passed), "{passed} ms");
}

#[test]
fn a_wall_clock_step_between_two_processes_does_not_change_the_time() {
    for stepped_to in [0, 6_400, 400_000, 4_600_000] {
        let folder = TempDir::new().expect("a folder");
        assert_eq!(
            opened(&folder, 0, &readings(1_000_000, BOOT, 500)),
            1_000_000
        );
        let next = readings(stepped_to, BOOT, 700);
        assert_eq!(opened(&folder, 1_000_150, &next), 1_000_200);
        let last = readings(1_000_000, BOOT, 900);
        assert_eq!(opened(&folder, 1_000_250, &last), 1_000_400);
    }
}

#[test]
fn another_boot_or_an_outdated_note_starts_from_the_wall_clock() {
    let folder = TempDir::new().expect("a folder");
    assert_eq!(
        opened(&folder, 0, &readings(1_000_000, BOOT, 500)),
        1_000_000
    );
    assert_eq!(
        opened(&folder, 0, &readings(2_000_000, "8e", 900)),
        2_000_000
    );
    // Each of these starts writes a note from which the next start continues.
    assert_eq!(opened(&folder, 0, &readings(9, "8e", 950)), 2_000_050);
    assert_eq!(
        opened(&folder, 0, &readings(3_000_000, "8e", 100)),
        3_000_000
    );
    // The newest written time is later than the time that the note gives.
    assert_eq!(
        opened(&folder, 3_000_500, &readings(3_000_600, "8e", 101)),
        3_000_600
    );
}

#[test]
fn without_a_monotonic_clock_the_wall_clock_is_used() {
    let folder = TempDir::new().expect("a folder");
    assert_eq!(
        opened(&folder, 0, &readings(1_000_000, BOOT, 500)),
        1_000_000
    );
    let now = ClockReadings {
        wall_unix_ms: 5_000_000,
        monotonic: None,
    };
    assert_eq!(opened(&folder, 0, &now), 5_000_000);
}

#[test]
fn an_incomplete_or_unwritable_note_is_ignored() {
    let folder = TempDir::new().expect("a folder");
    let begin = readings(1_000_000, BOOT, 500);
    let file = folder.path().join(FILE_NAME);
    opened(&folder, 0, &begin);
    let whole = fs::read_to_string(&file).expect("a note");
    for length in 0..whole.len() {
        fs::write(&file, &whole[..length]).expect("written");
        let next = readings(7_000_000, BOOT, 600);
        assert_eq!(opened(&folder, 0, &next), 7_000_000, "{length} bytes");
    }
    fs::write(&file, whole.replace("1000000", "1000001")).expect("written");
    assert_eq!(
        opened(&folder, 0, &readings(7_000_000, BOOT, 600)),
        7_000_000
    );
    // Where the new note cannot be written, the old one is removed all the same.
    fs::write(&file, &whole).expect("written");
    fs::create_dir(folder.path().join("clock.new")).expect("a folder");
    let other_boot = readings(8_000_000, "8e", 600);
    assert_eq!(opened(&folder, 0, &other_boot), 8_000_000);
    assert!(!file.exists());
}

#[test]
fn opening_the_clock_leaves_the_folder_unchanged() {
    let folder = TempDir::new().expect("a folder");
    let _ = PersistentClock::open(folder.path(), 0);
    assert_eq!(fs::read_dir(folder.path()).expect("a folder").count(), 0);
}
