//! The program on real sockets, against stand-ins for clients, providers and discovery. Each
//! scenario is written once and runs unchanged on every front.

mod bad_clients;
mod clock_steps;
mod discovery;
mod dns_only;
mod final_answers;
mod held_log;
mod hook_only;
mod http;
mod large_zones;
mod lists;
mod long_day;
mod mqtt;
mod mqtt_only;
mod platform_only;
mod program;
mod reload;
mod repeats;
mod replaced_endpoints;
mod rig;
mod scenarios;
mod spoilt;
mod start_files;
mod store;
mod tenants;

/// Runs the scenarios on one front.
macro_rules! on_front {
    ($front:ident, $wire:ty, $($scenario:ident),+ $(,)?) => {
        mod $front {
            $(#[test]
            fn $scenario() {
                crate::scenarios::$scenario::<$wire>();
            })+
        }
    };
}

macro_rules! on_every_front {
    ($($scenario:ident),+ $(,)?) => {
        on_front!(platform, crate::http::Http, $($scenario),+);
        on_front!(mqtt_front, crate::mqtt::Mqtt, $($scenario),+);
    };
}

on_every_front!(
    a_message_is_delivered_unchanged,
    a_told_wait_is_kept_for_all_messages,
    an_error_is_followed_by_the_same_zone_only,
    a_drop_before_the_acknowledgement_may_have_run,
    a_drop_before_the_last_byte_never_ran,
    an_acknowledgement_after_16_s_counts_for_nothing,
    a_draining_provider_gets_nothing_new,
    what_was_taken_on_outlives_a_kill,
    what_was_taken_on_outlives_a_planned_end,
    a_message_out_of_time_at_the_start_ends_at_once,
    a_full_sender_rejects_with_a_wait,
    a_message_given_up_is_answered_at_once,
    garbage_from_a_provider_counts_as_a_lost_call,
    garbage_from_a_client_harms_nobody_else,
    without_room_what_is_new_is_refused_and_what_is_held_ends,
    one_client_does_not_fill_the_room,
    a_class_does_not_fill_the_room,
    unknown_clients_do_not_fill_the_room,
    a_client_that_hands_in_too_often_is_told_when_to_come_back,
    what_is_held_follows_what_is_delivered,
);
