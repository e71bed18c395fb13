//! Several processes of the program with faults between them, judged by what the stand-ins saw.

#[cfg(feature = "fleet")]
mod policies;
mod signals;
mod slow_start;
mod soak;
mod standing;
#[cfg(feature = "fleet")]
mod tables;
#[cfg(feature = "fleet")]
mod zones;

use raildeal_test_harness::cold_start::{plan, play, Ends, Plan, Played};
use raildeal_test_harness::record::Verdict;
use raildeal_test_harness::scenario::{self, Scenario};
use std::path::Path;
use std::sync::{Condvar, Mutex};
use std::time::Duration;

const SENDERS: usize = 12;
/// Plays at once, however many tests are: each has a dozen processes, and a thread for each message
/// and connection.
const PLAYS: usize = 4;

/// A place among the plays that run.
struct Turn;

static RUN: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

impl Turn {
    fn wait() -> Turn {
        let run = RUN.0.lock().unwrap_or_else(|e| e.into_inner());
        let full = |run: &mut usize| *run >= PLAYS;
        *RUN.1
            .wait_while(run, full)
            .unwrap_or_else(|e| e.into_inner()) += 1;
        Turn
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *RUN.0.lock().unwrap_or_else(|e| e.into_inner()) -= 1;
        RUN.1.notify_one();
    }
}

fn by(change: impl FnOnce(&mut Plan)) -> Played {
    let mut plan = plan(Path::new(env!("CARGO_BIN_EXE_raildeal")), SENDERS, 7);
    plan.patience = Duration::from_secs(40);
    plan.rate = 20.0;
    change(&mut plan);
    let _turn = Turn::wait();
    let played = play(&plan).expect("played");
    assert_eq!(
        (played.verdict, played.crashed),
        (Verdict::default(), 0),
        "{played:?}"
    );
    let (began, told) = played
        .back
        .iter()
        .fold((0, 0), |s, b| (s.0 + b.began, s.1 + b.told));
    assert_eq!((played.start.told, told), (SENDERS, began), "{played:?}");
    assert!(
        played.delivered > 0 && played.delivered * 10 >= played.taken_on * 8,
        "{played:?}"
    );
    played
}

#[test]
fn a_fleet_that_starts_at_once_and_comes_back_from_kills_is_told_and_loses_nothing() {
    let played = by(|_| ());
    assert_eq!(
        (played.start.failed, played.back[0].failed),
        (0, 0),
        "{played:?}"
    );
}

#[test]
fn a_fleet_that_starts_without_a_directory_is_told_when_it_is_back() {
    let played = by(|p| p.down = Duration::from_secs(3));
    assert!(played.start.last_s < 10.0, "{played:?}");
}

#[test]
fn a_directory_that_cannot_bear_all_asks_at_once_is_not_asked_without_end() {
    // Twelve asks need 4.8 s of it, those that wait for 3 s fail: four of them do, once.
    let played = by(|p| p.ask = Duration::from_millis(400));
    assert!(played.start.asks <= 3 * SENDERS as u32, "{played:?}");
}

#[test]
fn a_fleet_killed_again_in_its_take_up_and_a_machine_that_stands_still_lose_nothing() {
    let played = by(|p| (p.twice, p.stopped) = (true, Duration::from_secs(4)));
    assert!(played.back[0].asks >= 9, "{played:?}");
}

#[test]
fn a_planned_restart_waits_as_long_as_the_line_bears_and_one_after_a_kill_for_all() {
    // Twelve of a fleet of three hundred: a start of all is spread over 8 to 15 s, a planned one
    // over 1.5 s.
    let roll = |ends| {
        by(|p| {
            (p.balancers, p.of_ten, p.ends) = (300, 10, ends);
            p.after = Duration::from_millis(500);
        })
    };
    let (told, killed) = (roll(Ends::Told), roll(Ends::Killed));
    assert!(
        killed.back[0].last_s > 2.0 * told.back[0].last_s,
        "{told:?} {killed:?}"
    );
}

#[test]
fn restarts_of_more_than_the_line_bears_wait_longer_and_lose_nothing() {
    // All twelve come back at once and ask at once: 4.8 s of work for the directory.
    let played = by(|p| {
        (p.of_ten, p.ends) = (10, Ends::Both);
        p.ask = Duration::from_millis(400);
    });
    assert!(played.back[0].asks <= 3 * SENDERS as u32, "{played:?}");
}

fn schedule(file: &str) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/multi_process")
        .join(file);
    let scenario = Scenario::read(&file).expect("a scenario");
    let _turn = Turn::wait();
    let played =
        scenario::play(&scenario, Path::new(env!("CARGO_BIN_EXE_raildeal")), 7).expect("played");
    assert!(played.is_good(), "{played:?}");
}

#[test]
fn a_fleet_half_of_which_is_cut_off_obeys_the_drains_that_it_is_told_and_loses_nothing() {
    schedule("cut.toml");
}

#[test]
fn processes_that_die_and_stand_still_at_the_worst_moments_lose_nothing() {
    schedule("kills.toml");
}

#[test]
fn a_directory_that_moves_twice_for_all_at_once_is_followed_and_its_drains_are_obeyed() {
    schedule("move.toml");
}

/// Guards against new work at drained endpoints by a list that refusals kept fresh.
#[test]
fn a_directory_that_refuses_after_a_move_keeps_no_list_fresh() {
    schedule("refuses_hang_up.toml");
}

/// The same where the directory moves again and again: no move makes the list fresh.
#[test]
fn a_directory_that_moves_and_refuses_keeps_no_list_fresh() {
    schedule("refuses_moves.toml");
}

/// The same for few senders, which poll without spreading.
#[test]
fn a_directory_that_refuses_few_senders_keeps_no_list_fresh() {
    schedule("refuses_few.toml");
}

/// The same where refusals take a while, as those of a directory that is down may.
#[test]
fn a_directory_that_refuses_after_a_while_keeps_no_list_fresh() {
    schedule("refuses_slowly.toml");
}

/// The same across a kill: the next process must not trust the list for longer.
#[test]
fn a_directory_that_refuses_across_a_restart_keeps_no_list_fresh() {
    schedule("refuses_restart.toml");
}

#[test]
fn machines_that_stood_still_call_nobody_that_drained_meanwhile() {
    schedule("stop.toml");
}

#[test]
fn a_power_cut_with_a_thousand_messages_held_loses_none_of_them() {
    schedule("held.toml");
}
