//! Under which policy messages are taken on, and that each ends under its own.
//!
//! A policy here is what a sender's own settings say with a document laid over them, ready for use;
//! number 0 is those settings alone. The module knows no policies: the classes of all of them lie
//! side by side in its settings, and a message's class points to the terms that it was taken on
//! under. A policy that no message is held under may be forgotten, and its place is used again.

use crate::admission_control::connection_slots::Rules;
use crate::admission_control::message_limits::Limits;
use crate::delivery::script_hook::ScriptHook;
use crate::{Class, ClassLimits, RuntimeSettings};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Most policies beside the sender's own settings.
pub const MAX_POLICIES: usize = 8;

/// A policy, ready for use.
pub struct Policy {
    /// Its number; 0 for the sender's own settings.
    pub number: u64,
    /// Classes, by position; as many in each policy.
    pub classes: Vec<Class>,
    /// What holds for messages of all classes.
    pub class_limits: ClassLimits,
    /// Calls that may be out at once.
    pub max_in_flight_calls: u32,
    /// Messages that may be held.
    pub max_held_messages: u32,
    /// The script, if there is one.
    pub hook: Option<ScriptHook>,
    /// Whose messages are taken on.
    pub message_limits: Limits,
    /// Who may connect.
    pub connection_rules: Rules,
    /// Names by which known clients tell themselves, where their protocol has names.
    pub known_client_names: Vec<String>,
}

impl Policy {
    /// The terms of a class; nothing where there is none at that position.
    pub fn class(&self, class: u16) -> Option<&Class> {
        self.classes.get(usize::from(class))
    }
}

/// A policy in its place.
struct Row {
    policy: Rc<Policy>,
    /// Messages that are held under it.
    held: usize,
}

/// Told of the policy that counts from now on.
type Watcher = Box<dyn Fn(&Policy)>;

/// Owner of the table of policies, and of which is current.
pub struct PolicySet {
    /// The first is the sender's own.
    rows: RefCell<Vec<Option<Row>>>,
    current: Cell<usize>,
    watchers: RefCell<Vec<Watcher>>,
}

/// One message that is held under a policy; dropped, it is over.
pub struct PolicyHold {
    terms: Rc<PolicySet>,
    row: usize,
    /// The policy.
    pub policy: Rc<Policy>,
}

impl PolicySet {
    /// The sender's own settings, which are current.
    pub fn new(own: Policy) -> Rc<PolicySet> {
        let own = Row {
            policy: Rc::new(Policy { number: 0, ..own }),
            held: 0,
        };
        let rows = RefCell::new(vec![Some(own)]);
        Rc::new(PolicySet {
            rows,
            current: Cell::default(),
            watchers: RefCell::default(),
        })
    }

    /// Tells somebody of each policy that becomes current.
    pub fn on_activation(&self, watcher: impl Fn(&Policy) + 'static) {
        self.watchers.borrow_mut().push(Box::new(watcher));
    }

    /// The policy under which messages are taken on, if any are.
    pub fn current(&self) -> Rc<Policy> {
        self.policy(self.current.get())
            .expect("the current one is never forgotten")
    }

    /// A message is held under the current one.
    pub fn hold_current(self: &Rc<Self>) -> PolicyHold {
        self.hold_row(self.current.get())
            .expect("the current one is never forgotten")
    }

    /// One is that was taken on under this policy; nothing where that is not known here.
    pub fn hold_number(self: &Rc<Self>, number: u64) -> Option<PolicyHold> {
        self.hold_row(self.row(number)?)
    }

    /// Numbers of all, but for the sender's own settings.
    pub fn numbers(&self) -> Vec<u64> {
        let rows = self.rows.borrow();
        rows.iter()
            .skip(1)
            .flatten()
            .map(|r| r.policy.number)
            .collect()
    }

    /// Whether a policy is current, or messages are held under it.
    pub fn is_in_use(&self, number: u64) -> bool {
        let held = |at: usize| self.rows.borrow()[at].as_ref().is_some_and(|r| r.held > 0);
        self.row(number)
            .is_some_and(|at| at == self.current.get() || held(at))
    }

    /// Knows one more, in place of one of its number that nothing needs; false where there is no
    /// place, or its classes are not those of the sender.
    pub fn add(&self, policy: Policy) -> bool {
        let number = policy.number;
        let fits = policy.classes.len() == self.current().classes.len() && number > 0;
        if !fits || self.row(number).is_some() && !self.remove(number) {
            return false;
        }
        let mut rows = self.rows.borrow_mut();
        let row = Some(Row {
            policy: Rc::new(policy),
            held: 0,
        });
        match rows.iter().position(Option::is_none) {
            Some(free) => rows[free] = row,
            None if rows.len() <= MAX_POLICIES => rows.push(row),
            None => return false,
        }
        true
    }

    /// Forgets one; false where it is needed.
    pub fn remove(&self, number: u64) -> bool {
        let row = self
            .row(number)
            .filter(|_| number > 0 && !self.is_in_use(number));
        row.is_some_and(|at| self.rows.borrow_mut()[at].take().is_some())
    }

    /// Makes one current and tells all who want to know; false where it is not known.
    pub fn activate(&self, number: u64) -> bool {
        let Some(row) = self.row(number) else {
            return false;
        };
        self.current.set(row);
        let policy = self.current();
        self.watchers.borrow().iter().for_each(|told| told(&policy));
        true
    }

    /// What the module goes by: classes of all policies side by side, pools of the current one.
    pub fn merged_runtime_settings(&self) -> RuntimeSettings {
        let current = self.current();
        let (mut classes, mut class_limits) = (Vec::new(), Vec::new());
        for row in self.rows.borrow().iter() {
            // Nobody points to terms that were forgotten.
            let policy = row.as_ref().map_or(&current, |r| &r.policy);
            classes.extend(policy.classes.iter().cloned());
            class_limits.extend(policy.classes.iter().map(|_| policy.class_limits));
        }
        RuntimeSettings {
            classes,
            class_limits,
            max_in_flight_calls: current.max_in_flight_calls,
            max_held_messages: current.max_held_messages,
        }
    }

    fn row(&self, number: u64) -> Option<usize> {
        let is = |row: &Option<Row>| row.as_ref().is_some_and(|r| r.policy.number == number);
        self.rows.borrow().iter().position(is)
    }

    fn policy(&self, row: usize) -> Option<Rc<Policy>> {
        Some(self.rows.borrow().get(row)?.as_ref()?.policy.clone())
    }

    fn hold_row(self: &Rc<Self>, row: usize) -> Option<PolicyHold> {
        let policy = self.policy(row)?;
        self.rows.borrow_mut()[row]
            .iter_mut()
            .for_each(|r| r.held += 1);
        Some(PolicyHold {
            terms: self.clone(),
            row,
            policy,
        })
    }
}

impl PolicyHold {
    /// What the module calls a class under this policy.
    pub fn class(&self, class: u16) -> u16 {
        let classes = self.policy.classes.len();
        // What an earlier process held may name a class that the settings have lost.
        let class = usize::from(class).min(classes.saturating_sub(1));
        u16::try_from(self.row * classes + class).unwrap_or(u16::MAX)
    }
}

impl Drop for PolicyHold {
    fn drop(&mut self) {
        self.terms.rows.borrow_mut()[self.row]
            .iter_mut()
            .for_each(|r| r.held -= 1);
    }
}

#[cfg(test)]
mod tests {
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
    fn a_message_points_to_its_own_terms_whatever_comes_after_it() {
        let terms = PolicySet::new(policy(0, 2));
        let told = Rc::new(Cell::new(0));
        let watcher = told.clone();
        terms.on_activation(move |p| watcher.set(p.number));
        let first = terms.hold_current();
        assert!(
            terms.add(policy(5, 2))
                && !terms.add(policy(6, 3))
                && !terms.activate(6)
                && terms.activate(5)
        );
        assert_eq!((told.get(), terms.current().number), (5, 5));
        let second = terms.hold_current();
        assert_eq!(
            (
                first.class(1),
                second.class(0),
                second.class(1),
                second.class(9)
            ),
            (1, 2, 3, 3)
        );
        assert!(terms.add(policy(7, 2)) && terms.activate(7));
        assert!(!terms.remove(5), "a message is held under it");
        let side = terms.merged_runtime_settings();
        let deadlines: Vec<u64> = side.classes.iter().map(|c| c.deadline).collect();
        assert_eq!(deadlines, [100, 100, 105, 105, 107, 107]);
        assert_eq!(
            (side.class_limits[3].max_attempts, side.max_in_flight_calls),
            (5, 8)
        );
        drop(second);
        // Its place is the next one's.
        assert!(terms.remove(5) && terms.hold_number(5).is_none() && terms.add(policy(8, 2)));
        assert_eq!(terms.hold_number(8).map(|h| h.class(0)), Some(2));
        assert_eq!(terms.merged_runtime_settings().classes.len(), 6);
    }

    #[test]
    fn the_table_is_bounded_and_what_is_needed_stays() {
        let terms = PolicySet::new(policy(0, 1));
        let held: Vec<PolicyHold> = (1..=MAX_POLICIES as u64)
            .map(|n| {
                (terms.add(policy(n, 1)) && terms.activate(n))
                    .then(|| terms.hold_current())
                    .expect("room")
            })
            .collect();
        assert!(!terms.add(policy(9, 1)) && !terms.remove(0));
        assert_eq!(terms.numbers(), (1..=8).collect::<Vec<_>>());
        // One of the same number is not replaced under a message, and is once nothing needs it.
        assert!(!terms.add(policy(3, 1)));
        drop(held);
        assert!(terms.add(policy(3, 1)) && terms.remove(3) && terms.add(policy(9, 1)));
        assert!(!terms.remove(8), "it is current");
    }
}
