//! Policies that are added, activated and removed while messages hold them.

use super::*;
use crate::{DedupScope, Effect};

fn policy(number: u64, classes: usize) -> Policy {
    let class = Class {
        latency_objective: 1,
        deadline: 100 + number,
        effect: Effect::Idempotent,
        dedup_scope: DedupScope::All,
        dedup_window: 0,
        priority_weight: 1.0,
        late_weight: 0.0,
        ordered_by_key: false,
    };
    Policy {
        number,
        classes: vec![class; classes],
        class_limits: ClassLimits {
            max_attempts: number as u32,
            max_retry_after: 0,
        },
        max_in_flight_calls: 1 + number as u32,
        max_held_messages: 1,
        hook: None,
        message_limits: Limits::default(),
        connection_rules: Rules::open(1),
        known_client_names: Vec::new(),
    }
}

#[test]
fn a_held_message_keeps_the_classes_of_its_policy_when_others_are_activated() {
    let policies = PolicySet::new(policy(0, 2));
    let activated = Rc::new(Cell::new(0));
    let listener = activated.clone();
    policies.on_activation(move |p| listener.set(p.number));
    let first = policies.hold_current();
    assert!(
        policies.add(policy(5, 2))
            && !policies.add(policy(6, 3))
            && !policies.activate(6)
            && policies.activate(5)
    );
    assert_eq!((activated.get(), policies.current().number), (5, 5));
    let second = policies.hold_current();
    assert_eq!(
        (
            first.class(1),
            second.class(0),
            second.class(1),
            second.class(9)
        ),
        (1, 2, 3, 3)
    );
    assert!(policies.add(policy(7, 2)) && policies.activate(7));
    assert!(!policies.remove(5), "a message holds it");
    let settings = policies.merged_runtime_settings();
    let deadlines: Vec<u64> = settings.classes.iter().map(|c| c.deadline).collect();
    assert_eq!(deadlines, [100, 100, 105, 105, 107, 107]);
    assert_eq!(
        (
            settings.class_limits[3].max_attempts,
            settings.max_in_flight_calls
        ),
        (5, 8)
    );
    drop(second);
    // The next policy reuses its position.
    assert!(policies.remove(5) && policies.hold_number(5).is_none() && policies.add(policy(8, 2)));
    assert_eq!(policies.hold_number(8).map(|h| h.class(0)), Some(2));
    assert_eq!(policies.merged_runtime_settings().classes.len(), 6);
}

#[test]
fn the_number_of_policies_is_limited_and_those_in_use_are_not_removed() {
    let policies = PolicySet::new(policy(0, 1));
    let held: Vec<PolicyHold> = (1..=MAX_POLICIES as u64)
        .map(|n| {
            assert!(policies.add(policy(n, 1)) && policies.activate(n));
            policies.hold_current()
        })
        .collect();
    assert!(!policies.add(policy(9, 1)) && !policies.remove(0));
    assert_eq!(policies.numbers(), (1..=8).collect::<Vec<_>>());
    // A policy of the same number replaces the known one only after that is no longer in use.
    assert!(!policies.add(policy(3, 1)));
    drop(held);
    assert!(policies.add(policy(3, 1)) && policies.remove(3) && policies.add(policy(9, 1)));
    assert!(!policies.remove(8), "it is current");
}
