//! A short soak: a few processes under all faults at once, by fixed seeds. The long one is started
//! by hand (`raildeal-simulator fleet soak`).

use super::Turn;
use raildeal_test_harness::soak::{plan, play};
use std::path::Path;

/// Schedules that are played, one after another.
const SEEDS: [u64; 3] = [1, 2, 3];

#[test]
fn whatever_fails_at_once_each_message_has_its_final_answer_in_time() {
    for seed in SEEDS {
        let _turn = Turn::wait();
        let plan = plan(Path::new(env!("CARGO_BIN_EXE_raildeal")), seed);
        let outcome = play(&plan).expect("played");
        assert!(outcome.is_good(), "{outcome:#?}");
        assert!(
            outcome.delivered > 0 && outcome.notified > 0,
            "{outcome:#?}"
        );
    }
}
