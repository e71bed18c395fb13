//! One small test for each rule, each exception and each failure found, through the public API.

mod common;
use common::*;
use raildeal::*;

fn one() -> Driver {
    let mut d = Driver::new(settings(), vec![ready(1, 1)]);
    d.warm_up(1);
    d
}

// ---- Retry-After and limits of calls in flight
// ------------------------------------------------------------------------------------

#[test]
fn a_retry_after_pauses_every_send_and_the_rejected_message_is_retried_first() {
    let mut d = one();
    d.arrive(1, 0, 1);
    assert!(sends(&d.end(1, Outcome::Rejected { wait: 700 * MS })).is_empty());
    assert!(sends(&d.arrive(2, 0, 1)).is_empty());
    assert!(sends(&d.pass(690 * MS)).is_empty());
    assert_eq!(sends(&d.pass(2 * SEC))[0], 1);
}

#[test]
fn the_longest_retry_after_applies() {
    let mut d = one();
    d.arrive(1, 0, 1);
    d.arrive(2, 0, 1);
    d.end(1, Outcome::Rejected { wait: 900 * MS });
    d.end(2, Outcome::Rejected { wait: 200 * MS });
    assert!(sends(&d.pass(890 * MS)).is_empty());
}

#[test]
fn the_longest_retry_after_of_one_call_applies() {
    // Guards against a Retry-After that is ignored: only that of a call's first outcome was read.
    let mut d = Driver::new(settings(), vec![line(1, 1, 1, Condition::Ready)]);
    d.warm_up(1);
    let batch = [
        Event::Arrived(d.message(1, 0, 1)),
        Event::Arrived(d.message(2, 0, 1)),
    ];
    assert_eq!(sends(&d.give_all(&batch)).len(), 2);
    let ends = [
        d.ending(1, Outcome::Rejected { wait: 100 * MS }),
        d.ending(2, Outcome::Rejected { wait: 900 * MS }),
    ];
    d.give_all(&ends);
    assert!(sends(&d.pass(890 * MS)).is_empty());
}

#[test]
fn a_message_that_expires_during_the_pause_is_rejected_at_once_with_the_retry_after() {
    let mut d = one();
    d.arrive(1, 0, 1);
    d.give(Event::Arrived(Message {
        ttl: 2 * SEC,
        ..d.message(2, 1, 1)
    }));
    d.end(2, Outcome::Delivered);
    let out = d.end(1, Outcome::Rejected { wait: 25 * SEC });
    assert_eq!(refused(&out), [(1, 25 * SEC)]);
    assert_eq!(refused(&d.arrive(3, 0, 1)), [(3, 25 * SEC)]);
}

#[test]
fn separate_routes_pause_independently() {
    let mut d = Driver::new(
        settings(),
        vec![
            line(1, 1, 2, Condition::Ready),
            line(2, 1, 2, Condition::Ready),
        ],
    );
    d.warm_up(1);
    let first = targets(&d.arrive(1, 0, 1))[0];
    let then = targets(&d.end(1, Outcome::Rejected { wait: 5 * SEC }));
    assert!(!then.is_empty() && then.iter().all(|e| *e != first));
    d.arrive(2, 0, 1);
    assert!(targets(&d.pass(SEC)).iter().all(|e| *e != first));
}

#[test]
fn calls_of_one_destination_stay_under_three_quarters_of_the_slots() {
    for (slots, most) in [(3, 2), (4, 2), (8, 5), (9, 6)] {
        let mut d = Driver::new(
            Settings {
                max_in_flight_calls: slots,
                ..settings()
            },
            vec![ready(1, 1)],
        );
        d.warm_up(1);
        let mut out = Vec::new();
        for id in 0..20 {
            out.extend(d.arrive(id, 0, 1));
        }
        assert_eq!(sends(&out).len(), most, "{slots} slots");
    }
}

#[test]
fn an_impaired_destination_uses_at_most_half_of_the_slots() {
    let mut d = one();
    for id in 0..20 {
        d.arrive(id, 0, 1);
    }
    d.end(0, Outcome::Timeout);
    d.end(1, Outcome::Timeout);
    // Three calls are in flight; half of eight slots leaves one more at most.
    assert!(sends(&d.pass(SEC)).len() <= 1);
}

// ---- backoff, outages, recovery
// ---------------------------------------------------------------------------

#[test]
fn rejections_without_retry_after_cause_a_growing_backoff() {
    let mut d = one();
    d.arrive(1, 0, 1);
    let mut gaps = Vec::new();
    for _ in 0..3 {
        let start = d.now;
        d.end(1, Outcome::Rejected { wait: 0 });
        while sends(&d.pass(10 * MS)).is_empty() {
            assert!(d.now < start + 10 * SEC);
        }
        gaps.push(d.now - start);
    }
    assert!(gaps[0] >= 100 * MS && gaps[2] > gaps[0], "{gaps:?}");
}

fn take_down(d: &mut Driver) {
    for id in 1..4 {
        d.arrive(id, 0, 1);
    }
    d.pass(150 * MS);
    let ends: Vec<Event> = (1..4)
        .map(|id| d.ending(id, Outcome::ConnectFailed))
        .collect();
    d.give_all(&ends);
}

#[test]
fn after_an_outage_one_trial_goes_first_and_then_the_slow_start_budget_applies() {
    let mut d = one();
    d.give_all(
        &(100..140)
            .map(|id| Event::Arrived(d.message(id, 0, 1)))
            .collect::<Vec<_>>(),
    );
    let mut out = d.seen.clone();
    d.seen.clear();
    for _ in 0..60 {
        let ids = sends(&out);
        out = Vec::new();
        let ends: Vec<Event> = ids
            .iter()
            .map(|id| d.ending(*id, Outcome::ConnectFailed))
            .collect();
        out.extend(d.give_all(&ends));
        out.extend(d.pass(100 * MS));
    }
    // During the outage: single trials only.
    let tried = sends(&out).len();
    assert!(tried <= 1, "{tried}");
    // After the recovery: in the first two seconds only the slow-start budget is sent, though forty
    // messages wait.
    while sends(&out).is_empty() {
        out = d.pass(10 * MS);
    }
    let back = d.now;
    let mut sent = 0;
    while d.now < back + 2 * SEC {
        let ids = sends(&out);
        sent += ids.len();
        let ends: Vec<Event> = ids
            .iter()
            .map(|id| d.ending(*id, Outcome::Delivered))
            .collect();
        out = d.give_all(&ends);
        out.extend(d.pass(10 * MS));
    }
    assert!((5..=22).contains(&sent), "{sent}");
}

#[test]
fn budgets_and_tokens_do_not_go_into_debt_in_normal_operation() {
    // Guards against limits that go into debt: in normal operation the slow-start budget and the
    // rate's tokens sank far below zero, and a recovering endpoint got no calls for tens of
    // seconds.
    let mut d = one();
    for id in 0..200 {
        d.arrive(id, 0, 1);
        d.pass(20 * MS);
        d.end(id, Outcome::Delivered);
    }
    d.arrive(300, 0, 1);
    d.end(300, Outcome::Rejected { wait: 200 * MS });
    assert_eq!(sends(&d.pass(SEC)), [300]);
}

#[test]
fn a_long_retry_after_ejects_the_endpoint_and_a_trial_goes_first() {
    // Guards against simultaneous returns: every sender got the same time of return, and all sent
    // at once.
    let mut d = one();
    d.give_all(
        &(1..20)
            .map(|id| Event::Arrived(d.message(id, 0, 1)))
            .collect::<Vec<_>>(),
    );
    let ends: Vec<Event> = sends(&d.seen)
        .iter()
        .map(|id| d.ending(*id, Outcome::Rejected { wait: 8 * SEC }))
        .collect();
    d.give_all(&ends);
    assert!(sends(&d.pass(8 * SEC - 10 * MS)).is_empty());
    assert_eq!(sends(&d.pass(2 * SEC)).len(), 1);
}

#[test]
fn a_short_series_of_failures_is_no_outage() {
    let mut d = one();
    take_down(&mut d);
    let out = d.pass(SEC);
    assert_eq!(sends(&out).len(), 1);
    let mut all = d.end(sends(&out)[0], Outcome::Delivered);
    all.extend(d.pass(100 * MS));
    assert!(
        sends(&all).len() >= 2,
        "all messages are sent at once: {all:?}"
    );
}

#[test]
fn calls_lost_while_later_ones_are_answered_are_no_outage() {
    // Guards against ejection by random loss: a third of all calls were lost everywhere, and every
    // endpoint was ejected.
    let mut d = one();
    let mut lost = 0;
    for id in 0..30 {
        d.arrive(3 * id, 2, 1);
        for answered in [3 * id + 1, 3 * id + 2] {
            d.arrive(answered, 0, 1);
            d.pass(200 * MS);
            d.end(answered, Outcome::Delivered);
        }
        d.pass(50 * MS);
        let Event::AttemptEnded { id, attempt, .. } = d.ending(3 * id, Outcome::Timeout) else {
            panic!()
        };
        let (outcome, took) = (Outcome::Timeout, 450 * MS);
        let out = d.give(Event::AttemptEnded {
            id,
            attempt,
            outcome,
            took,
            finished: false,
            report: vec![],
        });
        lost += failed(&out).len();
    }
    assert_eq!(lost, 30);
    assert!(!d
        .seen
        .iter()
        .any(|a| matches!(a, Action::Log(t) if t.contains("Ejected"))));
}

#[test]
fn where_calls_are_frequent_only_a_repeatable_message_is_used_as_a_trial() {
    let mut d = one();
    take_down(&mut d);
    for id in 1..4 {
        d.give(Event::ClientGone(id));
    }
    d.arrive(9, 2, 1);
    assert!(sends(&d.pass(SEC)).is_empty());
    assert_eq!(sends(&d.arrive(10, 0, 1)), [10]);
}

#[test]
fn for_rare_callers_an_outage_persists_when_endpoints_are_replaced() {
    // Guards against a burst to new endpoints: replacements of endpoints that were down got every
    // pending message at once.
    let mut d = Driver::new(
        Settings {
            senders: 400,
            ..settings()
        },
        vec![ready(1, 1)],
    );
    d.pass(20 * SEC);
    d.arrive(1, 0, 1);
    d.end(1, Outcome::ConnectFailed);
    for id in 2..8 {
        d.arrive(id, 0, 1);
    }
    d.seen.clear();
    d.give(Event::ListChanges(vec![line(1, 1, 0, Condition::Gone)]));
    d.give(Event::ListChanges(vec![ready(7, 1)]));
    d.pass(SEC);
    assert!(sends(&d.seen).len() <= 1, "{:?}", sends(&d.seen));
}

#[test]
fn a_rate_controller_counts_its_last_answer_from_the_start_of_the_sender() {
    // Guards against simultaneous returns in a fleet of 208 senders: after a first call was
    // rejected with a long Retry-After, all returned right at its end.
    let mut latest = 0;
    for seed in 1..30 {
        let mut d = Driver::new(settings(), vec![]);
        d.dispatcher = Dispatcher::new(
            Settings {
                senders: 208,
                ..settings()
            },
            u64::wrapping_mul(seed, 0x09E3_779B_97F4_A7C1),
        )
        .expect("valid settings");
        d.give(Event::CachedList(vec![ready(1, 1)]));
        d.pass(20 * SEC);
        d.arrive(1, 0, 1);
        d.end(1, Outcome::Rejected { wait: 2 * SEC });
        let from = d.now;
        while sends(&d.pass(10 * MS)).is_empty() && d.now < from + 19 * SEC {}
        latest = latest.max(d.now - from);
    }
    assert!(latest > 3 * SEC, "{latest}");
}

#[test]
fn an_ejected_endpoint_leaves_its_healthy_sibling_in_service() {
    let mut d = Driver::new(settings(), vec![ready(1, 1), ready(2, 1)]);
    d.warm_up(1);
    let (mut bad, mut served) = (0, 0);
    let mut out = Vec::new();
    for id in 0..60 {
        out.extend(d.arrive(id, 0, 1));
        out.extend(d.pass(50 * MS));
        let mut ends = Vec::new();
        for a in std::mem::take(&mut out) {
            if let Action::Send { id, endpoint, .. } = a {
                let down = endpoint == at(1);
                (bad, served) = if down {
                    (bad + 1, served)
                } else {
                    (bad, served + 1)
                };
                ends.push(d.ending(
                    id,
                    if down {
                        Outcome::ConnectFailed
                    } else {
                        Outcome::Delivered
                    },
                ));
            }
        }
        out = d.give_all(&ends);
    }
    assert!(served >= 50 && bad <= 10, "served {served}, bad {bad}");
}

#[test]
fn idle_connections_are_closed_only_while_calls_on_them_get_lost() {
    // Guards against calls on stale connections: connections that were lost unnoticed after some
    // idle time cost a time-out for nearly every call of a sender that calls rarely.
    let mut d = Driver::new(
        settings(),
        (1..7).map(|n| ready(n, DestinationId::from(n))).collect(),
    );
    let closes = |out: &[Action]| {
        out.iter()
            .filter(|a| matches!(a, Action::CloseIdle { .. }))
            .count()
    };
    for n in 1..7 {
        d.arrive(u32::from(n), 0, n);
        d.pass(100 * MS);
        d.end(u32::from(n), Outcome::Delivered);
    }
    d.pass(2 * SEC);
    assert_eq!(closes(&d.arrive(11, 0, 1)), 0, "there is no suspicion yet");
    d.pass(2 * SEC);
    let mut again = d.end(11, Outcome::Timeout);
    again.extend(d.pass(2 * SEC));
    assert_eq!(
        (sends(&again), closes(&again)),
        (vec![11], 1),
        "the retry uses a new connection"
    );
    d.end(11, Outcome::Delivered);
    assert_eq!(
        closes(&d.arrive(12, 0, 2)),
        1,
        "and so do calls to other destinations"
    );
    d.end(12, Outcome::Delivered);
    d.pass(60 * SEC);
    d.arrive(13, 0, 3);
    d.end(13, Outcome::Delivered);
    d.pass(2 * SEC);
    assert_eq!(closes(&d.arrive(14, 0, 3)), 0, "the suspicion decays");
}

#[test]
fn no_connection_is_kept_idle_while_endpoints_of_the_kind_reject_connections() {
    // Guards against idle connections that use up the connection slots of an endpoint: with 200 to
    // 480 senders a fifth of all attempts got none.
    let mut d = Driver::new(
        settings(),
        vec![ready(1, 1), ready(2, 2), line(3, 3, 2, Condition::Ready)],
    );
    let closed = |out: &[Action]| -> Vec<EndpointAddress> {
        let close = |a: &Action| {
            if let Action::CloseIdle { endpoint } = a {
                Some(*endpoint)
            } else {
                None
            }
        };
        out.iter().filter_map(close).collect()
    };
    for n in 1..4 {
        d.warm_up(n);
    }
    d.arrive(1, 0, 2);
    assert_eq!(
        closed(&d.end(1, Outcome::Delivered)),
        [],
        "there is no suspicion yet"
    );
    d.arrive(2, 0, 1);
    assert_eq!(
        closed(&d.end(2, Outcome::ConnectFailed)),
        [],
        "the endpoint may be down"
    );
    assert_eq!(sends(&d.pass(SEC)), [2]);
    assert_eq!(
        closed(&d.end(2, Outcome::Delivered)),
        [at(1), at(2)],
        "the endpoint was not down: idle connections of its kind are closed"
    );
    d.arrive(3, 0, 2);
    d.arrive(4, 0, 2);
    assert_eq!(
        closed(&d.end(3, Outcome::Delivered)),
        [],
        "a call is still in flight there"
    );
    assert_eq!(
        closed(&d.end(4, Outcome::Delivered)),
        [at(2)],
        "no idle connection is kept"
    );
    d.arrive(5, 0, 3);
    assert_eq!(closed(&d.end(5, Outcome::Delivered)), [], "another kind");
    d.pass(60 * SEC);
    d.arrive(6, 0, 2);
    assert_eq!(
        closed(&d.end(6, Outcome::Delivered)),
        [],
        "the suspicion decays"
    );
}

#[test]
fn a_shortage_of_connections_is_no_outage_unless_it_lasts() {
    // Guards against an ejection by one rejected connection: with 200 to 480 senders a rare caller
    // took it for an outage, and its queue waited for a slow-start budget until the messages
    // expired.
    let s = Settings {
        senders: 300,
        listed_rates: ListedRates::Approximate,
        max_in_flight_calls: 60,
        ..settings()
    };
    let line = |n: u8| Listing {
        rate: 300.0,
        ..ready(n, DestinationId::from(n))
    };
    let mut d = Driver::new(s, (1..30).map(line).collect());
    for n in 1..30 {
        d.arrive(u32::from(n), 0, n);
    }
    d.pass(2 * SEC);
    for id in sends(&d.seen.clone()) {
        d.end(id, Outcome::Delivered);
    }
    let ejected = |out: &[Action]| {
        out.iter()
            .any(|a| matches!(a, Action::Log(t) if t.contains("Ejected")))
    };
    let sent = |d: &mut Driver, id| (0..100).any(|_| sends(&d.pass(100 * MS)).contains(&id));
    d.pass(10 * SEC);
    d.arrive(101, 0, 1);
    assert!(
        ejected(&d.end(101, Outcome::ConnectFailed)),
        "one rejected connection may be an outage"
    );
    // Others reject a connection and answer the next.
    let unaffected = (2..30).find(|n| {
        let id = 100 + u32::from(*n);
        d.arrive(id, 0, *n);
        let was_ejected = ejected(&d.end(id, Outcome::ConnectFailed));
        if was_ejected {
            assert!(sent(&mut d, id));
            d.end(id, Outcome::Delivered);
        }
        !was_ejected
    });
    let id = 100 + u32::from(unaffected.expect("a rejected connection is no outage"));
    assert!(
        sends(&d.pass(SEC)).contains(&id),
        "the message is retried soon"
    );
    d.end(id, Outcome::ConnectFailed);
    d.pass(SEC);
    assert!(
        ejected(&d.end(id, Outcome::ConnectFailed)),
        "three consecutive failures are an outage"
    );
}

/// Runs a rare caller in a fleet of 300 whose only message is rejected repeatedly, with this
/// report. Returns the seconds until each next send, and whether the endpoint was ejected.
fn repeated_rejections(report: [f32; 2]) -> (Vec<f64>, bool) {
    let s = Settings {
        senders: 300,
        report_left: Some(0),
        report_limit: Some(1),
        ..settings()
    };
    let mut d = Driver::new(s, vec![ready(1, 1)]);
    d.pass(10 * SEC);
    d.give(Event::Arrived(Message {
        ttl: 90 * SEC,
        ..d.message(1, 0, 1)
    }));
    let mut gaps = Vec::new();
    for _ in 0..if report[0] > 0.5 { 5 } else { 3 } {
        let mut out = d.end_with(1, Outcome::Rejected { wait: 0 }, report);
        let from = d.now;
        while sends(&out).is_empty() && d.now < from + 60 * SEC {
            out = d.pass(50 * MS);
        }
        gaps.push((d.now - from) as f64 / SEC as f64);
    }
    (
        gaps,
        d.seen
            .iter()
            .any(|a| matches!(a, Action::Log(t) if t.contains("Ejected"))),
    )
}

#[test]
fn a_rejection_by_a_used_up_limit_is_no_outage() {
    // Guards against an ejection by a used-up limit: in a fleet of 261 a burst used up a limit that
    // rejected calls count against; senders took that for an outage and kept to a slow-start budget
    // for the rest of the day, with hundreds of messages pending.
    assert!(!repeated_rejections([0.0, 30.0]).1);
    let (gaps, ejected) = repeated_rejections([0.8, 30.0]);
    assert!(ejected, "rejected with the limit unused: closed; {gaps:?}");
}

#[test]
fn senders_do_not_all_choose_the_same_endpoint_and_every_endpoint_is_used() {
    // Guards against the same choice by all senders: in a fleet of 361, nine tenths of all calls
    // went to the first of three routes.
    let mut firsts = [0; 3];
    for seed in 1..31 {
        let mut d = Driver::new(settings(), vec![]);
        d.dispatcher = Dispatcher::new(settings(), seed * 7919).expect("valid settings");
        d.give(Event::CachedList(
            (1..4).map(|n| line(n, 1, 2, Condition::Ready)).collect(),
        ));
        let to = targets(&d.arrive(1, 0, 1))[0];
        firsts[usize::from(to.addr[3]) - 1] += 1;
        d.end(1, Outcome::Rejected { wait: 0 });
        d.pass(100 * MS);
        let second = targets(&d.seen)[1];
        assert_ne!(second, to, "a rejected message goes to another route");
    }
    assert!(firsts.iter().all(|n| *n > 3), "{firsts:?}");
}

#[test]
fn all_senders_together_keep_the_slow_start_limit_of_a_destination_with_a_known_limit() {
    // Guards against an overload after an outage: 51 senders, each by the highest throughput it had
    // observed, sent a recovering destination 3.2 times its capacity. Here ten frequent callers
    // share a limit of 20 per second, and the outage lasts five seconds.
    let limit = 20.0;
    let s = Settings {
        senders: 10,
        report_left: Some(0),
        report_limit: Some(1),
        ..settings()
    };
    let mut fleet: Vec<Driver> = (1..11)
        .map(|n| {
            let mut d = Driver::new(s.clone(), vec![ready(1, 1)]);
            d.dispatcher = Dispatcher::new(s.clone(), n * 104_729).expect("valid settings");
            d.give(Event::CachedList(vec![ready(1, 1)]));
            for id in 100..140 {
                d.arrive(id, 0, 1);
                d.pass(50 * MS);
                d.end_with(id, Outcome::Delivered, [0.9, limit]);
            }
            d
        })
        .collect();
    let mut after = 0;
    for d in &mut fleet {
        for id in 0..30 {
            d.arrive(id, 0, 1);
        }
        for step in 0..130 {
            let back = step >= 100;
            let out: Vec<Action> = std::mem::take(&mut d.seen);
            let open: Vec<MessageId> = sends(&out);
            after += if back { open.len() } else { 0 };
            for id in open {
                let outcome = if back {
                    Outcome::Delivered
                } else {
                    Outcome::Timeout
                };
                d.end_with(id, outcome, [0.9, limit]);
            }
            d.pass(50 * MS);
        }
    }
    // 1.5 s, a margin of 1.2, and the warmed-up fraction by then.
    let max_calls = s.overload_factor * f64::from(limit) * 1.5 * 1.2 * 0.4;
    assert!(
        (after as f64) < max_calls,
        "{after} calls in 1.5 s, {max_calls} at most"
    );
}

#[test]
fn invalid_rates_in_the_list_and_in_reports_are_ignored() {
    for rate in [0.0, -3.0, f32::NAN, f32::INFINITY, f32::NEG_INFINITY] {
        for listed in [
            ListedRates::Absent,
            ListedRates::Exact,
            ListedRates::Approximate,
        ] {
            let s = Settings {
                senders: 40,
                listed_rates: listed,
                report_left: Some(0),
                report_limit: Some(1),
                ..settings()
            };
            let sent = |rate: f32| {
                let mut d = Driver::new(
                    s.clone(),
                    vec![Listing {
                        rate,
                        ..ready(1, 1)
                    }],
                );
                d.warm_up(1);
                d.arrive(1, 0, 1);
                d.end_with(1, Outcome::Rejected { wait: 0 }, [rate, rate]);
                for id in 2..9 {
                    d.arrive(id, 0, 1);
                }
                d.pass(5 * SEC);
                sends(&d.seen)
            };
            let odd = sent(rate);
            assert!(
                !odd.is_empty() && odd.len() < 10,
                "{rate} {listed:?}: {odd:?}"
            );
            assert_eq!(
                odd,
                sent(-1.0),
                "{rate} {listed:?}: as with any other invalid rate"
            );
        }
    }
}

#[test]
fn a_rare_caller_rejected_with_the_limit_unused_ejects_the_endpoint_at_once() {
    // Guards against an overload of a closed route: in a fleet of 78 it was overloaded by senders
    // that had been rejected only once or twice.
    let s = Settings {
        senders: 300,
        report_left: Some(0),
        report_limit: Some(1),
        ..settings()
    };
    for (left, ejected) in [(1.0, true), (0.6, false), (0.0, false)] {
        let mut d = Driver::new(s.clone(), vec![ready(1, 1)]);
        d.pass(10 * SEC);
        d.arrive(1, 0, 1);
        let out = d.end_with(1, Outcome::Rejected { wait: 0 }, [left, 30.0]);
        assert_eq!(
            out.iter()
                .any(|a| matches!(a, Action::Log(t) if t.contains("Ejected"))),
            ejected,
            "{left}"
        );
    }
}

#[test]
fn a_used_up_limit_slows_a_rare_caller_to_its_part_and_an_unused_limit_restores_its_rate() {
    // Guards against a limit that does not recover: in the same fleet of 78 all senders together
    // sent as much as the limit allows, and rejected calls used it up.
    let (gaps, _) = repeated_rejections([0.0, 30.0]);
    assert!(
        gaps.iter().all(|g| (5.0..25.0).contains(g)),
        "half a token at half of 30 / 300 per second: {gaps:?}"
    );
    let s = Settings {
        senders: 300,
        report_left: Some(0),
        report_limit: Some(1),
        ..settings()
    };
    let mut d = Driver::new(s, vec![ready(1, 1)]);
    d.pass(10 * SEC);
    for id in 1..9 {
        d.arrive(id, 0, 1);
    }
    let mut out = d.seen.clone();
    let mut load = [0.0, 30.0];
    let mut served = Vec::new();
    for _ in 0..200 {
        for id in sends(&out) {
            served.push((id, d.now));
            let outcome = if load[0] > 0.5 {
                Outcome::Delivered
            } else {
                Outcome::Rejected { wait: 0 }
            };
            out = d.end_with(id, outcome, load);
            load[0] = 0.9;
        }
        out.extend(d.pass(100 * MS));
        out.drain(..out.len().saturating_sub(3));
    }
    assert!(
        served.len() >= 6,
        "a report of an unused limit releases the queue: {served:?}"
    );
}

#[test]
fn a_wake_up_is_requested_in_whole_milliseconds_and_only_when_something_is_due() {
    // Guards against a lost message: a wake-up requested in nanoseconds came slightly early, and
    // was not requested again.
    let mut d = one();
    d.arrive(1, 0, 1);
    d.end(1, Outcome::Rejected { wait: 700 * MS });
    let spans: Vec<Nanos> = d
        .seen
        .iter()
        .filter_map(|a| {
            if let Action::WakeAfter(t) = a {
                Some(*t)
            } else {
                None
            }
        })
        .collect();
    assert!(
        spans.len() <= 2 && spans.iter().all(|t| t % MS == 0),
        "{spans:?}"
    );
}

#[test]
fn a_rejected_rare_caller_of_a_large_fleet_spreads_its_return_and_a_frequent_one_does_not() {
    let returns = |senders, rare: bool| {
        let mut all = Vec::new();
        for seed in 1..20 {
            let mut dispatcher = Dispatcher::new(
                Settings {
                    senders,
                    ..settings()
                },
                seed * 7919,
            )
            .expect("valid settings");
            let mut d = Driver::new(settings(), vec![]);
            std::mem::swap(&mut d.dispatcher, &mut dispatcher);
            d.give(Event::CachedList(vec![ready(1, 1)]));
            if rare {
                d.pass(30 * SEC);
            } else {
                d.warm_up(1);
            }
            let mut out = d.give(Event::Arrived(Message {
                ttl: 90 * SEC,
                ..d.message(1, 0, 1)
            }));
            for _ in 0..2 {
                assert_eq!(sends(&out), [1]);
                d.end(1, Outcome::Rejected { wait: SEC });
                out = Vec::new();
                let from = d.now;
                while sends(&out).is_empty() && d.now < from + 60 * SEC {
                    out = d.pass(10 * MS);
                }
                all.push(d.now - from);
            }
        }
        assert!(
            all.iter().all(|t| *t >= SEC),
            "never before the Retry-After has passed"
        );
        all.iter().max().unwrap_or(&0) - all.iter().min().unwrap_or(&0)
    };
    for senders in [40, 440] {
        let (rare, often) = (returns(senders, true), returns(senders, false));
        assert!(
            rare > 600 * MS && often < rare / 2,
            "{senders} senders: rare {rare}, often {often}"
        );
    }
}

// ---- effects
// --------------------------------------------------------------------------------------------------

#[test]
fn the_rejections_of_one_burst_do_not_add_up_their_pauses() {
    // Guards against pauses that add up (simulator seed 1012): an endpoint that was replaced while
    // many messages were pending got 19 calls at once, rejected 17 of them, and got no call for a
    // minute, in which all its messages expired.
    let mut late = 0;
    for seed in 0..20 {
        let old = line(1, 1, 2, Condition::Ready);
        let mut d = Driver::new(settings(), vec![]);
        d.dispatcher = Dispatcher::new(
            Settings {
                max_in_flight_calls: 60,
                max_held_messages: 60,
                ..settings()
            },
            seed,
        )
        .expect("valid settings");
        d.give(Event::CachedList(vec![old]));
        d.warm_up(1);
        d.pass(30 * SEC);
        d.give(Event::ListChanges(vec![
            line(2, 1, 2, Condition::Ready),
            line(1, 1, 2, Condition::Gone),
        ]));
        let mut out = Vec::new();
        for id in 1..=30 {
            out.extend(sends(&d.arrive(id, 0, 1)));
        }
        let sent = out.len();
        assert!(sent > 2, "{sent} calls are not a burst");
        out.into_iter()
            .for_each(|id| drop(d.end(id, Outcome::Rejected { wait: 800 * MS })));
        // A spread return takes at most the warm-up time of a destination, during which other
        // senders may call.
        let (start, most) = (d.now, settings().slow_start_duration + 2 * SEC);
        let mut id = 100;
        while d.now < start + most
            && sends(&d.arrive(id, 0, 1)).is_empty()
            && sends(&d.pass(SEC)).is_empty()
        {
            id += 1;
        }
        late += u32::from(d.now >= start + most);
    }
    assert_eq!(late, 0, "senders of 20 that make no call for too long");
}

#[test]
fn a_non_idempotent_message_is_retried_only_if_it_never_ran() {
    for (outcome, again) in [
        (Outcome::ConnectFailed, true),
        (Outcome::Rejected { wait: 0 }, true),
        (Outcome::NotSent, true),
        (Outcome::Error, false),
        (Outcome::Timeout, false),
        (Outcome::Reset, false),
        (Outcome::Cancelled, false),
    ] {
        let mut d = one();
        d.arrive(1, 2, 1);
        let mut out = d.end(1, outcome);
        out.extend(d.pass(2 * SEC));
        assert_eq!(sends(&out) == [1], again, "{outcome:?}");
        assert_eq!(failed(&out) == [1], !again, "{outcome:?}");
        assert!(refused(&out).is_empty());
    }
}

#[test]
fn a_message_with_idempotency_key_is_retried_only_within_its_dedup_window() {
    let mut d = one();
    d.arrive(1, 1, 1);
    d.pass(2 * SEC);
    assert_eq!(
        sends(&{
            let mut o = d.end(1, Outcome::Timeout);
            o.extend(d.pass(SEC));
            o
        }),
        [1]
    );
    d.pass(6 * SEC);
    let out = d.end(1, Outcome::Timeout);
    assert!(sends(&out).is_empty());
    assert_eq!(refused(&out).len(), 1);
}

#[test]
fn a_message_with_zone_dedup_stays_in_its_zone_and_is_not_rejected_once_it_may_have_run() {
    let mut s = settings();
    s.classes[1].dedup_scope = DedupScope::Zone;
    let mut d = Driver::new(
        s,
        vec![
            ready(1, 1),
            Listing {
                zone: 1,
                ..ready(2, 1)
            },
        ],
    );
    let first = targets(&d.arrive(1, 1, 1))[0];
    let mut out = d.end(1, Outcome::Error);
    out.extend(d.pass(3 * SEC));
    assert!(targets(&out).iter().all(|e| *e == first) && !out.is_empty());
    d.pass(8 * SEC);
    let mut out = d.end(1, Outcome::Timeout);
    out.extend(d.pass(20 * SEC));
    assert_eq!(failed(&out), [1]);
    assert!(refused(&out).is_empty());
}

#[test]
fn attempts_are_limited() {
    let mut d = one();
    let mut out = d.arrive(1, 0, 1);
    for _ in 0..20 {
        if sends(&out).is_empty() {
            break;
        }
        out = d.end(1, Outcome::Error);
        out.extend(d.pass(3 * SEC));
    }
    assert_eq!(sends(&d.seen).len(), 5);
    assert_eq!(refused(&d.seen).len(), 1);
}

// ---- one final answer
// -----------------------------------------------------------------------------------------------

#[test]
fn a_message_pending_until_its_deadline_gets_one_answer_in_time() {
    let mut d = Driver::new(settings(), vec![]);
    d.arrive(1, 2, 1);
    let start = d.now;
    d.pass(25 * SEC);
    assert_eq!(refused(&d.seen).len() + failed(&d.seen).len(), 1);
    assert!(d.now > start + 20 * SEC);
}

#[test]
fn a_time_out_at_the_deadline_is_answered_in_the_same_turn() {
    let mut d = one();
    let out = d.give(Event::Arrived(Message {
        ttl: SEC,
        ..d.message(1, 2, 1)
    }));
    let Some(Action::Send { timeout, .. }) = out.first() else {
        panic!("not sent")
    };
    assert!(*timeout <= SEC);
    d.now += SEC;
    assert_eq!(failed(&d.end(1, Outcome::Timeout)), [1]);
}

#[test]
fn a_clock_that_steps_back_does_not_stop_sends() {
    let mut d = one();
    d.arrive(1, 0, 1);
    d.now -= SEC;
    d.arrive(2, 0, 1);
    d.end(1, Outcome::Rejected { wait: 0 });
    d.pass(3 * SEC);
    assert!(sends(&d.seen).contains(&2));
}

#[test]
fn no_further_attempt_or_answer_follows_a_withdrawn_message() {
    let mut d = one();
    d.arrive(1, 0, 1);
    d.give_all(&[Event::ClientGone(1), d.ending(1, Outcome::Timeout)]);
    d.pass(25 * SEC);
    assert_eq!(sends(&d.seen), [1]);
    assert!(refused(&d.seen).is_empty() && failed(&d.seen).is_empty());
}

#[test]
fn events_about_unknown_messages_and_endpoints_are_ignored() {
    let mut d = Driver::new(settings(), vec![]);
    let stray = Event::AttemptEnded {
        id: 99,
        attempt: 3,
        outcome: Outcome::Delivered,
        took: 0,
        finished: true,
        report: vec![f32::NAN; 4],
    };
    d.give_all(&[
        stray,
        Event::ClientGone(5),
        Event::TimerFired,
        Event::ListFailed,
    ]);
    d.give(Event::HealthCheckEnded {
        endpoint: at(9),
        outcome: Outcome::Timeout,
        report: Vec::new(),
    });
    d.give(Event::Arrived(Message {
        ttl: 0,
        class: 77,
        tenant: 77,
        ..d.message(1, 0, 500)
    }));
    assert_eq!(refused(&d.seen).len() + failed(&d.seen).len(), 1);
}

// ---- the endpoint list
// ---------------------------------------------------------------------------------------------------

#[test]
fn no_new_call_goes_to_a_draining_or_gone_endpoint() {
    for condition in [Condition::Draining, Condition::Gone] {
        let mut d = Driver::new(settings(), vec![ready(1, 1), ready(2, 1)]);
        d.warm_up(1);
        d.give(Event::ListChanges(vec![line(1, 1, 0, condition)]));
        for id in 0..10 {
            d.arrive(id, 0, 1);
        }
        assert!(targets(&d.seen).iter().all(|e| *e == at(2)) && !sends(&d.seen).is_empty());
    }
}

#[test]
fn a_whole_list_replaces_the_old_one_and_all_endpoints_may_change_during_a_pause() {
    let mut d = one();
    d.arrive(1, 0, 1);
    d.end(1, Outcome::Rejected { wait: 500 * MS });
    d.give(Event::List(vec![ready(7, 1)]));
    assert!(
        sends(&d.pass(490 * MS)).is_empty(),
        "the Retry-After applies to the destination, not to the endpoint"
    );
    assert_eq!(targets(&d.pass(SEC)), [at(7)]);
}

#[test]
fn the_list_is_polled_where_required_and_again_after_a_failure() {
    let mut d = Driver::new(
        Settings {
            poll_list: true,
            ..settings()
        },
        vec![ready(1, 1)],
    );
    assert!(d.seen.contains(&Action::WatchList));
    d.seen.clear();
    d.give(Event::ListFailed);
    d.pass(SEC);
    assert!(d.seen.contains(&Action::WatchList));
    d.give(Event::ListChanges(vec![]));
    d.seen.clear();
    d.pass(5 * SEC);
    assert!(!d.seen.contains(&Action::WatchList));
}

// ---- order
// --------------------------------------------------------------------------------------------------

#[test]
fn messages_of_one_key_are_sent_one_at_a_time_in_the_order_accepted() {
    let mut d = one();
    assert_eq!(sends(&d.arrive_keyed(1, 5)), [1]);
    assert!(sends(&d.arrive_keyed(2, 5)).is_empty());
    assert_eq!(sends(&d.arrive_keyed(3, 6)), [3]);
    assert_eq!(sends(&d.end(1, Outcome::Delivered)), [2]);
}

#[test]
fn a_key_is_paused_after_an_attempt_that_may_still_run() {
    let mut d = one();
    d.arrive_keyed(1, 5);
    d.arrive_keyed(2, 5);
    d.give(Event::ClientGone(1));
    assert!(
        sends(&d.pass(SEC)).is_empty(),
        "an attempt without an outcome blocks the key"
    );
    assert!(sends(&d.end(1, Outcome::Timeout)).is_empty());
    assert!(sends(&d.pass(290 * MS)).is_empty());
    assert_eq!(sends(&d.pass(100 * MS)), [2]);
}

// ---- shares and batches
// ------------------------------------------------------------------------------------------------

#[test]
fn the_queue_of_one_destination_does_not_use_up_the_message_limit() {
    let mut d = Driver::new(settings(), vec![ready(1, 1), ready(2, 2)]);
    d.warm_up(2);
    for id in 0..100 {
        d.arrive(id, 0, 1);
    }
    let rejected_count = refused(&d.seen).len();
    assert!(rejected_count >= 100 - 60, "{rejected_count}");
    assert_eq!(sends(&d.arrive(500, 0, 2)), [500]);
}

#[test]
fn messages_over_a_tenants_share_are_sent_last() {
    let mut d = one();
    for id in 0..8 {
        d.give(Event::Arrived(Message {
            tenant: 1,
            ..d.message(id, 0, 1)
        }));
        d.pass(200 * MS);
        d.end(id, Outcome::Delivered);
    }
    let flood: Vec<Event> = (100..130)
        .map(|id| Event::Arrived(d.message(id, 0, 1)))
        .collect();
    d.seen.clear();
    d.give_all(&flood);
    d.give(Event::Arrived(Message {
        tenant: 1,
        ..d.message(400, 0, 1)
    }));
    let out = d.end(*sends(&d.seen).first().expect("sent"), Outcome::Delivered);
    let mut next = sends(&out);
    next.extend(sends(&d.pass(100 * MS)));
    assert_eq!(next.first(), Some(&400));
}

/// Guards against messages that name no tenant and so get priority over those within their tenant's
/// share.
#[test]
fn messages_of_no_tenant_are_sent_last_where_there_are_tenants() {
    let first_of = |none: u16, some: u16| {
        let mut d = one();
        let arrival = |id| {
            Event::Arrived(Message {
                tenant: none,
                ..d.message(id, 0, 1)
            })
        };
        let queue: Vec<Event> = (100..115).map(arrival).collect();
        d.give_all(&queue);
        d.give(Event::Arrived(Message {
            tenant: some,
            ..d.message(400, 0, 1)
        }));
        let out = d.end(*sends(&d.seen).first().expect("sent"), Outcome::Delivered);
        let mut next = sends(&out);
        next.extend(sends(&d.pass(100 * MS)));
        next.first().copied()
    };
    assert_eq!(first_of(NO_TENANT, 1), Some(400));
    assert_ne!(
        first_of(NO_TENANT, NO_TENANT),
        Some(400),
        "no message is within a share"
    );
}

#[test]
fn a_call_carries_several_messages_where_the_kind_allows() {
    let mut d = Driver::new(settings(), vec![line(1, 1, 1, Condition::Ready)]);
    d.warm_up(1);
    let many: Vec<Event> = (0..12)
        .map(|id| Event::Arrived(d.message(id, 0, 1)))
        .collect();
    assert_eq!(sends(&d.give_all(&many)).len(), 5);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut d = Driver::new(settings(), vec![ready(1, 1), ready(2, 1)]);
        for id in 0..30 {
            d.arrive(id, (id % 3) as u16, 1);
            d.pass(30 * MS);
        }
        d.seen
    };
    assert_eq!(run(), run());
}

#[test]
fn invalid_settings_are_reported_by_name() {
    let name = |s| Dispatcher::new(s, 1).expect_err("invalid settings").setting;
    assert_eq!(
        name(Settings {
            classes: vec![],
            ..settings()
        }),
        "classes"
    );
    assert_eq!(
        name(Settings {
            max_in_flight_calls: 0,
            ..settings()
        }),
        "slots"
    );
    assert_eq!(
        name(Settings {
            max_held_messages: 0,
            ..settings()
        }),
        "room"
    );
    let mut s = settings();
    s.classes[0].deadline = 0;
    assert_eq!(name(s), "classes.deadline");
}

/// Largest number of non-blank lines in a file of the decision module, and its widest line.
const MAX_LINES: usize = 500;
const MAX_COLUMNS: usize = 100;

/// Returns every file below a folder.
fn files_below(folder: &str) -> Vec<std::path::PathBuf> {
    let mut files = Vec::new();
    let mut folders = vec![std::path::PathBuf::from(folder)];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(&folder).expect("a folder of the module") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                folders.push(path);
            } else {
                files.push(path);
            }
        }
    }
    files
}

#[test]
fn each_file_of_the_module_keeps_the_limits_of_lines_and_columns() {
    let files = files_below("src/dispatch");
    assert!(files.len() >= 10);
    for path in files {
        let text = std::fs::read_to_string(&path).expect("text");
        let code = text.split("#[cfg(test)]\nmod tests {").next();
        let code = code.unwrap_or_default();
        let lines = code.lines().filter(|l| !l.trim().is_empty()).count();
        assert!(lines <= MAX_LINES, "{path:?}: {lines} lines");
        let wide = code.lines().find(|l| l.chars().count() > MAX_COLUMNS);
        assert_eq!(wide, None, "{path:?}");
    }
}

// ---- fees
// ----------------------------------------------------------------------------------------------------------

#[test]
fn the_cheaper_route_is_preferred_while_it_has_free_calls() {
    // Guards against a choice that ignores the fees of zones.
    let s = Settings {
        zone_fees: vec![0.06, 0.0],
        ..settings()
    };
    let routes = |kind| {
        (1..=2).map(move |n| Listing {
            zone: u16::from(n) - 1,
            ..line(n, 1, kind, Condition::Ready)
        })
    };
    let mut d = Driver::new(s.clone(), routes(2).collect());
    d.warm_up(1);
    assert_eq!(targets(&d.arrive(1, 0, 1)), [at(2)]);
    assert_eq!(targets(&d.arrive(2, 0, 1)), [at(2)]);
    // After a Retry-After there, the other one serves.
    d.end(1, Outcome::Rejected { wait: 2 * SEC });
    assert_eq!(targets(&d.arrive(3, 0, 1)), [at(1)]);
    // With few slots left, an idle endpoint serves: the cheaper one, with calls in flight, would
    // hold a slot for longer.
    let wide = Settings {
        max_in_flight_calls: 16,
        zone_fees: vec![0.02, 0.0],
        ..settings()
    };
    for (elsewhere, uses_costlier) in [(0, false), (11, true)] {
        let mut d = Driver::new(wide.clone(), routes(2).chain([ready(3, 2)]).collect());
        d.warm_up(1);
        d.warm_up(2);
        (0..elsewhere).for_each(|id| drop(d.arrive(100 + id, 0, 2)));
        let to: Vec<_> = (1..=4)
            .flat_map(|id| targets(&d.arrive(id, 0, 1)))
            .collect();
        assert_eq!(to.contains(&at(1)), uses_costlier, "{to:?}");
    }
    // Endpoints that share one limit have no fee: the idle one is chosen.
    let mut d = Driver::new(s, routes(0).collect());
    d.warm_up(1);
    let both = [targets(&d.arrive(1, 0, 1)), targets(&d.arrive(2, 0, 1))].concat();
    assert!(both.contains(&at(1)) && both.contains(&at(2)));
}

// ---- growth over time
// -----------------------------------------------------------------------------------------------

#[test]
fn state_does_not_grow_with_the_endpoints_ever_listed() {
    // Guards against growth over time: the rate controller of a dropped route stayed with its
    // destination.
    let mut d = Driver::new(settings(), vec![line(0, 1, 2, Condition::Ready)]);
    d.warm_up(1);
    let size = |d: &Driver| format!("{:?}", d.dispatcher).len();
    let mut early = 0;
    for n in 0..200u8 {
        // The next endpoint is listed; the old one drains with a call in flight, is rejected and
        // dropped.
        d.give(Event::ListChanges(vec![line(
            n + 1,
            1,
            2,
            Condition::Ready,
        )]));
        let id = 20_000 + MessageId::from(n);
        d.arrive(id, 0, 1);
        d.give(Event::ListChanges(vec![line(n, 1, 2, Condition::Draining)]));
        d.end(id, Outcome::Rejected { wait: 100 * MS });
        d.pass(300 * MS);
        if d.seen
            .iter()
            .filter(|a| matches!(a, Action::Send { id: i, .. } if *i == id))
            .count()
            > 1
        {
            d.end(id, Outcome::Delivered);
        }
        d.give(Event::ClientGone(id));
        d.give(Event::ListChanges(vec![line(n, 1, 2, Condition::Gone)]));
        d.pass(2 * SEC);
        if n == 20 {
            early = size(&d);
        }
    }
    let late = size(&d);
    assert!(
        late < early + early / 5,
        "{early} bytes of state early, {late} late"
    );
}

#[test]
fn an_outage_is_no_shortage_of_connections() {
    // Guards against an outage that counts as a shortage of connections: with a hundred senders an
    // outage of 5 s closed every idle connection of its kind for 20 s more, and each call needed a
    // handshake.
    let s = Settings {
        senders: 100,
        ..settings()
    };
    let mut d = Driver::new(
        s,
        (1..5).map(|n| ready(n, DestinationId::from(n))).collect(),
    );
    for n in 1..5 {
        d.arrive(u32::from(n), 0, n);
        d.end(u32::from(n), Outcome::Delivered);
    }
    d.seen.clear();
    let mut sent = sends(&d.arrive(11, 0, 1));
    for _ in 0..50 {
        for id in sent {
            d.end(id, Outcome::ConnectFailed);
        }
        sent = sends(&d.pass(100 * MS));
    }
    for id in 12..15 {
        d.arrive(id, 0, 2);
        d.end(id, Outcome::Delivered);
    }
    assert!(
        !d.seen.iter().any(|a| matches!(a, Action::CloseIdle { .. })),
        "{:?}",
        d.seen
    );
}

#[test]
fn a_message_without_an_endpoint_is_rejected_a_quarter_of_a_second_before_its_deadline() {
    let mut d = Driver::new(settings(), vec![]);
    d.arrive(1, 0, 1);
    let over = d.now + d.message(1, 0, 1).ttl;
    while refused(&d.seen).is_empty() && d.now < over {
        d.pass(5 * MS);
    }
    assert_eq!(refused(&d.seen).len(), 1);
    assert!(
        (240 * MS..=260 * MS).contains(&(over - d.now)),
        "{} ms left",
        (over - d.now) / MS
    );
}
