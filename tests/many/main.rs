//! Several processes of the program with faults between them, judged by what the stand-ins saw.

use raildeal_rig::cold_start::{plan, play, Plan, Played};
use raildeal_rig::record::Verdict;
use std::path::Path;
use std::time::Duration;

const SENDERS: usize = 12;

fn by(change: impl FnOnce(&mut Plan)) -> Played {
    let mut plan = plan(Path::new(env!("CARGO_BIN_EXE_raildeal")), SENDERS, 7);
    plan.patience = Duration::from_secs(40);
    plan.rate = 20.0;
    change(&mut plan);
    let played = play(&plan).expect("played");
    assert_eq!((played.verdict, played.crashed), (Verdict::default(), 0), "{played:?}");
    assert_eq!((played.start.told, played.back.told), (SENDERS, 9), "{played:?}");
    assert!(played.delivered > 0 && played.delivered * 10 >= played.taken_on * 8, "{played:?}");
    played
}

#[test]
fn a_fleet_that_starts_at_once_and_comes_back_from_kills_is_told_and_loses_nothing() {
    let played = by(|_| ());
    assert_eq!((played.start.failed, played.back.failed), (0, 0), "{played:?}");
}

#[test]
fn a_fleet_that_starts_without_a_directory_is_told_when_it_is_back() {
    let played = by(|p| p.down = Duration::from_secs(3));
    assert!(played.start.last_s < 10.0, "{played:?}");
}

#[test]
fn a_directory_that_cannot_bear_all_asks_at_once_is_not_asked_without_end() {
    // Twelve asks need 6 s of it, those that wait for 3 s fail: more than half of them do, once.
    let played = by(|p| p.ask = Duration::from_millis(500));
    assert!(played.start.asks <= 3 * SENDERS as u32, "{played:?}");
}

#[test]
fn a_fleet_killed_again_in_its_take_up_and_a_machine_that_stands_still_lose_nothing() {
    let played = by(|p| (p.twice, p.stopped) = (true, Duration::from_secs(4)));
    assert!(played.back.asks >= 9, "{played:?}");
}
