//! Routing tables that all sites agree on, with faults at each step.

use super::schedule;

#[test]
fn keepers_of_the_site_that_leads_killed_at_each_step_change_nothing_of_a_table() {
    schedule("table_leader.toml");
}

#[test]
fn nobody_goes_by_a_table_that_a_site_that_is_cut_off_has_not_accepted() {
    schedule("table_cut.toml");
}

#[test]
fn a_sender_that_refuses_ends_a_table_at_all_sites_and_of_two_proposals_one_is_first() {
    schedule("table_two.toml");
}

#[test]
fn a_site_that_is_not_heard_for_longer_than_its_lease_takes_nothing_on_until_it_is() {
    schedule("table_lease.toml");
}

#[test]
fn all_keepers_of_all_sites_dead_lose_nothing_of_a_table() {
    schedule("table_all.toml");
}

#[test]
fn a_site_that_is_off_the_roster_works_under_no_table_and_joins_as_a_new_one() {
    schedule("table_off.toml");
}

#[test]
fn senders_that_stood_still_died_or_heard_nothing_go_by_no_earlier_table() {
    schedule("table_stopped.toml");
}
