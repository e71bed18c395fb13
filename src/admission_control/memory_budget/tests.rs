//! The parts of the limits that the platform names.

use super::*;

const DEMAND: Demand = Demand {
    connections: 330,
    calls: 19,
    messages: 109,
    state_folder_bytes: 2_000_000,
};

#[test]
fn the_least_memory_of_the_platform_leaves_room_for_several_long_messages() {
    let budget = MemoryBudget::split(32_000_000, DEMAND);
    assert!(!budget.is_short);
    assert!(budget.reading_bytes >= 20 * 82_000, "{budget:?}");
    assert!(budget.reading_bytes < 32_000_000 - OWN_BYTES);
}

#[test]
fn a_limit_that_is_too_low_is_said_and_still_leaves_room_for_a_long_message() {
    let budget = MemoryBudget::split(8_000_000, DEMAND);
    assert!(budget.is_short);
    assert_eq!(budget.reading_bytes, LEAST_READING_BYTES);
}
