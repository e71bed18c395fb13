//! The wall clock is stepped, and the process is killed: what it accepted keeps its real time.
//!
//! Found beside the incident of `final_answers.rs`, by asking where else a message's time is
//! reckoned by something other than time that passes: a restarted process took the wall clock for
//! what had passed. Stepped back, it held messages past their end; stepped forward, it gave them up
//! at once. These tests failed on the program of then in each run.

use crate::http::Http;
use crate::program::Program;
use crate::rig::{message, Answer, Message, Rig};
use raildeal_test_harness::syscall_faults::SyscallFaults;
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const MS: Duration = Duration::from_millis(1);
const HOUR_MS: i64 = 3_600_000;
/// The time that the message of these tests has.
const LEFT: Duration = Duration::from_secs(5);

/// A rig whose program was started so that its wall clock can be stepped, with a message that is
/// held.
struct Stepped {
    rig: Rig<Http>,
    faults: SyscallFaults,
    sent_at: Instant,
    _control: TempDir,
}

impl Stepped {
    fn start() -> Stepped {
        let control = TempDir::new().expect("a folder");
        let faults = SyscallFaults::new(control.path(), 1).expect("the library for faults");
        let mut rig = Rig::<Http>::start(&[("p", "a")]);
        rig.program.kill();
        start_with(&mut rig, &faults);
        let sent_at = Instant::now();
        rig.take_on(&Message {
            left: LEFT,
            ..message("m1")
        });
        Stepped {
            rig,
            faults,
            sent_at,
            _control: control,
        }
    }

    /// Steps the clock after some time, and starts the process again.
    fn step_and_restart(&mut self, after: Duration, ahead_ms: i64) {
        thread::sleep((self.sent_at + after).saturating_duration_since(Instant::now()));
        self.faults.wall_clock_ahead(ahead_ms).expect("stepped");
        self.rig.program.kill();
        start_with(&mut self.rig, &self.faults);
    }
}

fn start_with(rig: &mut Rig<Http>, faults: &SyscallFaults) {
    let mut command = Program::command();
    command.arg(rig.config_file()).envs(faults.environment());
    rig.started(Program::spawn(&mut command));
    let loaded = faults.check_loaded(rig.program.pid());
    loaded.expect("the library for faults");
}

#[test]
fn a_wall_clock_that_is_stepped_back_holds_no_message_past_its_time() {
    let mut stepped = Stepped::start();
    let calls = stepped.rig.providers.take_calls();
    thread::spawn(move || calls.iter().for_each(|c| c.answer(Answer::Full(Some(300)))));
    stepped.step_and_restart(3_000 * MS, -HOUR_MS);
    let overdue_at = stepped.sent_at + LEFT + 350 * MS;
    let left = overdue_at.saturating_duration_since(Instant::now());
    let end = stepped.rig.end_within("m1", left);
    assert!(end.is_some(), "no final answer in time");
    stepped.rig.finish(&[]);
}

#[test]
fn a_wall_clock_that_is_stepped_forward_takes_no_time_from_a_message() {
    let mut stepped = Stepped::start();
    stepped.rig.call().answer(Answer::Full(Some(3_000)));
    stepped.rig.program.says("m1: p Rejected");
    stepped.step_and_restart(1_000 * MS, HOUR_MS);
    let call = stepped.rig.call();
    assert_eq!(call.message.id, "m1");
    call.answer(Answer::Delivered);
    stepped.rig.program.says("m1: p Delivered");
    stepped.rig.finish(&["m1"]);
}

/// Guards against a test under faults that passes because none of them was ever made.
#[test]
fn a_process_without_the_library_for_faults_fails_the_test_that_asked_for_it() {
    let control = TempDir::new().expect("a folder");
    let faults = SyscallFaults::new(control.path(), 1).expect("the library for faults");
    let rig = Rig::<Http>::start(&[("p", "a")]);

    assert!(faults.check_loaded(rig.program.pid()).is_err());

    rig.finish(&[]);
}
