//! Zones that die under a fleet whose senders follow an agreed record.

use super::schedule;

#[test]
fn a_zone_that_dies_is_left_by_all_and_returned_to_without_a_fall() {
    schedule("zone.toml");
}

#[test]
fn a_leader_that_is_killed_at_the_leave_changes_nothing_of_it() {
    schedule("leader.toml");
}

#[test]
fn two_keepers_of_three_leave_a_zone_without_the_one_that_led() {
    schedule("apart.toml");
}

#[test]
fn a_zone_that_flaps_is_not_toppled() {
    schedule("flaps.toml");
}

#[test]
fn reporters_that_are_cut_off_with_their_zone_go_on_alone_and_the_others_leave_it() {
    schedule("half.toml");
}

#[test]
fn senders_whose_keepers_are_all_killed_go_on_alone() {
    schedule("alone.toml");
}

#[test]
fn a_zone_that_fails_while_another_one_is_left_is_left_too() {
    schedule("another.toml");
}

#[test]
fn a_zone_that_fails_again_when_half_have_returned_is_left_again() {
    schedule("again.toml");
}

#[test]
fn a_zone_that_is_slow_is_not_left() {
    schedule("slow.toml");
}

#[test]
fn a_zone_that_the_directory_drops_while_it_is_left_is_returned_to_when_it_is_listed_again() {
    schedule("unlisted.toml");
}

#[test]
fn a_zone_is_left_while_the_directory_is_down() {
    schedule("unasked.toml");
}

#[test]
fn keepers_that_were_all_killed_come_back_with_what_was_agreed() {
    schedule("all.toml");
}

#[test]
fn a_keeper_without_its_folder_does_not_vote_under_its_old_number() {
    schedule("forgets.toml");
}

#[test]
fn a_keeper_without_its_folder_is_replaced_under_a_new_number() {
    schedule("replaced.toml");
}

#[test]
fn a_keeper_whose_folder_is_torn_harms_nobody() {
    schedule("torn.toml");
}

#[test]
fn five_keepers_cut_into_two_two_and_one_agree_on_nothing_until_they_hear_each_other() {
    schedule("five.toml");
}

#[test]
fn a_leader_that_slept_for_20_s_is_obeyed_by_nobody() {
    schedule("sleeps.toml");
}

#[test]
fn a_leader_that_hears_nobody_leads_no_more() {
    schedule("unhearing.toml");
}

#[test]
fn a_leader_whose_disk_is_full_hands_on() {
    schedule("full.toml");
}

#[test]
fn lines_to_endpoints_that_fail_in_all_ways_double_nothing() {
    schedule("lines.toml");
}

#[test]
fn frames_between_keepers_that_are_torn_or_late_change_nothing() {
    schedule("frames.toml");
}
