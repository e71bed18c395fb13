//! Rules that go out zone by zone, with faults at each step.

use super::schedule;

#[test]
fn a_leader_killed_at_each_step_changes_nothing_of_what_is_rolled_out() {
    schedule("policy_leader.toml");
}

#[test]
fn a_leader_cut_off_in_a_pause_and_one_that_wakes_and_believes_it_leads_are_void() {
    schedule("policy_apart.toml");
}

#[test]
fn senders_that_stood_still_died_or_heard_nothing_go_by_no_earlier_rules() {
    schedule("policy_stopped.toml");
}

#[test]
fn a_sender_that_refuses_ends_it_nowhere_and_one_of_two_proposals_gets_a_clear_no() {
    schedule("policy_two.toml");
}

#[test]
fn all_keepers_dead_in_a_soak_lose_nothing_of_a_rollout() {
    schedule("policy_keepers.toml");
}

#[test]
fn rules_go_out_in_an_outage_of_a_zone_and_a_mass_restart() {
    schedule("policy_outage.toml");
}

#[test]
fn rules_that_are_worse_for_one_small_class_halt_in_their_first_stage_and_go_back() {
    schedule("policy_worse.toml");
}
