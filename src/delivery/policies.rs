//! The policies that messages are accepted under, and that each message ends under its own.
//!
//! A policy here is a sender's own settings with a document laid over them, ready for use; number
//! 0 is those settings alone. Owns the known policies, which one is current, and how many messages
//! are held under each. The agent adds, removes and activates policies; `delivery::message` holds
//! them for messages.
//!
//! The dispatcher knows no policies: the classes of all of them lie side by side in its runtime
//! settings, and a message's class points to those that it was accepted under. A policy that no
//! message is held under may be removed, and its place is used again.

use crate::admission_control::connection_slots::Rules;
use crate::admission_control::message_limits::Limits;
use crate::delivery::script_hook::ScriptHook;
use crate::{Class, ClassLimits, RuntimeSettings};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// Most policies known beside the sender's own settings.
pub const MAX_POLICIES: usize = 8;

/// A policy, ready for use.
pub struct Policy {
    /// Its number; 0 for the sender's own settings.
    pub number: u64,
    /// Classes, by position; as many in each policy.
    pub classes: Vec<Class>,
    /// What holds for messages of all classes.
    pub class_limits: ClassLimits,
    /// Attempts that may be in flight at once.
    pub max_in_flight_calls: u32,
    /// Messages that may be held.
    pub max_held_messages: u32,
    /// The operator's script, if there is one.
    pub hook: Option<ScriptHook>,
    /// Whose messages are accepted.
    pub message_limits: Limits,
    /// Who may connect.
    pub connection_rules: Rules,
    /// Names by which known clients identify themselves, where their protocol has names.
    pub known_client_names: Vec<String>,
}

impl Policy {
    /// What holds for a class; nothing where there is none at that position.
    pub fn class(&self, class: u16) -> Option<&Class> {
        self.classes.get(usize::from(class))
    }
}

/// A policy in its place.
struct PolicyEntry {
    policy: Rc<Policy>,
    /// Messages that are held under it.
    held_count: usize,
}

/// Is told of the policy that is current from now on.
type ActivationListener = Box<dyn Fn(&Policy)>;

/// Owner of the known policies, and of which is current.
pub struct PolicySet {
    /// By place; the first is the sender's own settings. A place that was given up is empty.
    entries: RefCell<Vec<Option<PolicyEntry>>>,
    /// Place of the current one, which is never removed.
    current: Cell<usize>,
    listeners: RefCell<Vec<ActivationListener>>,
}

/// One message that is held under a policy; dropped, the message is closed.
pub struct PolicyHold {
    policies: Rc<PolicySet>,
    place: usize,
    /// The policy.
    pub policy: Rc<Policy>,
}

impl PolicySet {
    /// The sender's own settings, which are current.
    pub fn new(own_settings: Policy) -> Rc<Self> {
        let own_settings = PolicyEntry {
            policy: Rc::new(Policy {
                number: 0,
                ..own_settings
            }),
            held_count: 0,
        };
        Rc::new(PolicySet {
            entries: RefCell::new(vec![Some(own_settings)]),
            current: Cell::default(),
            listeners: RefCell::default(),
        })
    }

    /// Calls a listener with each policy that becomes current.
    pub fn on_activation(&self, listener: impl Fn(&Policy) + 'static) {
        self.listeners.borrow_mut().push(Box::new(listener));
    }

    /// The policy that messages are accepted under, if any are.
    pub fn current(&self) -> Rc<Policy> {
        self.policy_at(self.current.get())
            .expect("the current policy is never removed")
    }

    /// Holds the current policy for a message.
    pub fn hold_current(self: &Rc<Self>) -> PolicyHold {
        self.hold_at(self.current.get())
            .expect("the current policy is never removed")
    }

    /// Holds a policy by its number for a message that was accepted under it; nothing where it is
    /// not known here.
    pub fn hold_number(self: &Rc<Self>, number: u64) -> Option<PolicyHold> {
        self.hold_at(self.place_of(number)?)
    }

    /// Numbers of all policies, but for the sender's own settings.
    pub fn numbers(&self) -> Vec<u64> {
        let entries = self.entries.borrow();
        entries
            .iter()
            .skip(1)
            .flatten()
            .map(|entry| entry.policy.number)
            .collect()
    }

    /// Whether a policy is current, or messages are held under it.
    pub fn is_in_use(&self, number: u64) -> bool {
        let Some(place) = self.place_of(number) else {
            return false;
        };
        let is_held = |entry: &PolicyEntry| entry.held_count > 0;
        place == self.current.get() || self.entries.borrow()[place].as_ref().is_some_and(is_held)
    }

    /// Adds a policy, in place of one of its number that is not in use; false where there is no
    /// place, or its classes are not those of the sender.
    pub fn add(&self, policy: Policy) -> bool {
        let number = policy.number;
        let is_usable = number > 0 && policy.classes.len() == self.current().classes.len();
        if !is_usable || self.place_of(number).is_some() && !self.remove(number) {
            return false;
        }
        let entry = Some(PolicyEntry {
            policy: Rc::new(policy),
            held_count: 0,
        });
        let mut entries = self.entries.borrow_mut();
        match entries.iter().position(Option::is_none) {
            Some(free) => entries[free] = entry,
            // The sender's own settings take a place as well.
            None if entries.len() <= MAX_POLICIES => entries.push(entry),
            None => return false,
        }
        true
    }

    /// Removes a policy; false where it is in use, or not known.
    pub fn remove(&self, number: u64) -> bool {
        if number == 0 || self.is_in_use(number) {
            return false;
        }
        let Some(place) = self.place_of(number) else {
            return false;
        };
        self.entries.borrow_mut()[place].take().is_some()
    }

    /// Makes a policy current and calls all listeners; false where it is not known.
    pub fn activate(&self, number: u64) -> bool {
        let Some(place) = self.place_of(number) else {
            return false;
        };
        self.current.set(place);
        let policy = self.current();
        for listener in self.listeners.borrow().iter() {
            listener(&policy);
        }
        true
    }

    /// What the dispatcher decides by: the classes of all policies side by side, by place, and the
    /// capacities of the current one.
    pub fn merged_runtime_settings(&self) -> RuntimeSettings {
        let current = self.current();
        let (mut classes, mut class_limits) = (Vec::new(), Vec::new());
        for entry in self.entries.borrow().iter() {
            // No message points to the classes of an empty place.
            let policy = entry.as_ref().map_or(&current, |entry| &entry.policy);
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

    fn place_of(&self, number: u64) -> Option<usize> {
        let has_number = |entry: &PolicyEntry| entry.policy.number == number;
        let entries = self.entries.borrow();
        entries
            .iter()
            .position(|entry| entry.as_ref().is_some_and(has_number))
    }

    fn policy_at(&self, place: usize) -> Option<Rc<Policy>> {
        let entries = self.entries.borrow();
        Some(entries.get(place)?.as_ref()?.policy.clone())
    }

    fn hold_at(self: &Rc<Self>, place: usize) -> Option<PolicyHold> {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(place)?.as_mut()?;
        entry.held_count += 1;
        Some(PolicyHold {
            policies: self.clone(),
            place,
            policy: entry.policy.clone(),
        })
    }
}

impl PolicyHold {
    /// The position at which the dispatcher knows a class of this policy.
    pub fn class(&self, class: u16) -> u16 {
        let class_count = self.policy.classes.len();
        // What an earlier process accepted may name a class that the settings have lost.
        let class = usize::from(class).min(class_count.saturating_sub(1));
        u16::try_from(self.place * class_count + class).unwrap_or(u16::MAX)
    }
}

impl Drop for PolicyHold {
    fn drop(&mut self) {
        if let Some(entry) = &mut self.policies.entries.borrow_mut()[self.place] {
            entry.held_count -= 1;
        }
    }
}
