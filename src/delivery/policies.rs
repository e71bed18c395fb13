//! Policies: each message ends under the policy that it was accepted under.
//!
//! A [`Policy`] is ready for use: the sender's own settings with those of a policy document applied
//! over them. Number 0 is the sender's own settings alone. The module owns the known policies,
//! which of them is current, and the number of messages that hold each. The agent adds, removes and
//! activates policies; `delivery::message` holds them for messages.
//!
//! The dispatcher has no notion of policies. Its runtime settings contain the classes of all
//! policies one after the other. The dispatcher's class of a message is an index into these, which
//! depends on the policy under which the message was accepted. A policy that is neither current nor
//! held may be removed; its position is then reused.

use crate::admission_control::connection_slots::Rules;
use crate::admission_control::message_limits::Limits;
use crate::delivery::script_hook::ScriptHook;
use crate::{Class, ClassLimits, RuntimeSettings};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// Maximum number of known policies, not counting the sender's own settings.
pub const MAX_POLICIES: usize = 8;

/// A policy, ready for use.
pub struct Policy {
    /// Its number; 0 for the sender's own settings.
    pub number: u64,
    /// Classes, by position; every policy has the same number of them.
    pub classes: Vec<Class>,
    /// Limits that apply to messages of all classes.
    pub class_limits: ClassLimits,
    /// Maximum number of attempts in flight at once.
    pub max_in_flight_calls: u32,
    /// Maximum number of messages held at once.
    pub max_held_messages: u32,
    /// The operator's script, if there is one.
    pub hook: Option<ScriptHook>,
    /// Limits of the messages that are accepted from each client.
    pub message_limits: Limits,
    /// Rules for accepting connections.
    pub connection_rules: Rules,
    /// Names of known clients, for protocols in which clients identify themselves by name.
    pub known_client_names: Vec<String>,
}

impl Policy {
    /// Returns the class at a position, if there is one.
    pub fn class(&self, class: u16) -> Option<&Class> {
        self.classes.get(usize::from(class))
    }
}

/// A known policy and its use.
struct PolicyEntry {
    policy: Rc<Policy>,
    /// Number of messages that hold the policy.
    held_count: usize,
}

/// Callback that receives each policy that becomes current.
type ActivationListener = Box<dyn Fn(&Policy)>;

/// The known policies, one of which is current.
pub struct PolicySet {
    /// Policies by position; the first is the sender's own settings. The position of a removed
    /// policy is `None` until it is reused.
    entries: RefCell<Vec<Option<PolicyEntry>>>,
    /// Position of the current policy, which is never removed.
    current: Cell<usize>,
    listeners: RefCell<Vec<ActivationListener>>,
}

/// Keeps a policy in use on behalf of one message; dropped when the message is closed.
pub struct PolicyHold {
    policies: Rc<PolicySet>,
    place: usize,
    /// The policy that is held.
    pub policy: Rc<Policy>,
}

impl PolicySet {
    /// Creates a set that contains only the sender's own settings, which are current.
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

    /// Registers a listener that is called with each policy that becomes current.
    pub fn on_activation(&self, listener: impl Fn(&Policy) + 'static) {
        self.listeners.borrow_mut().push(Box::new(listener));
    }

    /// Returns the policy under which messages are accepted now, if any are.
    pub fn current(&self) -> Rc<Policy> {
        self.policy_at(self.current.get())
            .expect("the current policy is never removed")
    }

    /// Holds the current policy for a message.
    pub fn hold_current(self: &Rc<Self>) -> PolicyHold {
        self.hold_at(self.current.get())
            .expect("the current policy is never removed")
    }

    /// Holds a policy by its number for a message that was accepted under it. Returns `None` if the
    /// policy is not known.
    pub fn hold_number(self: &Rc<Self>, number: u64) -> Option<PolicyHold> {
        self.hold_at(self.place_of(number)?)
    }

    /// Returns the numbers of all known policies except the sender's own settings.
    pub fn numbers(&self) -> Vec<u64> {
        let entries = self.entries.borrow();
        entries
            .iter()
            .skip(1)
            .flatten()
            .map(|entry| entry.policy.number)
            .collect()
    }

    /// Whether a policy is current or held by a message.
    pub fn is_in_use(&self, number: u64) -> bool {
        let Some(place) = self.place_of(number) else {
            return false;
        };
        let is_held = |entry: &PolicyEntry| entry.held_count > 0;
        place == self.current.get() || self.entries.borrow()[place].as_ref().is_some_and(is_held)
    }

    /// Adds a policy. Replaces a known policy of the same number if that is not in use. Returns
    /// false for number 0, if a policy of that number is in use, if [`MAX_POLICIES`] are known, or
    /// if the number of classes differs from the sender's.
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
            // The sender's own settings have an entry as well.
            None if entries.len() <= MAX_POLICIES => entries.push(entry),
            None => return false,
        }
        true
    }

    /// Removes a policy. Returns false if it is in use or not known.
    pub fn remove(&self, number: u64) -> bool {
        if number == 0 || self.is_in_use(number) {
            return false;
        }
        let Some(place) = self.place_of(number) else {
            return false;
        };
        self.entries.borrow_mut()[place].take().is_some()
    }

    /// Makes a policy current and calls all listeners. Returns false if it is not known.
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

    /// Returns the dispatcher's runtime settings: the classes of all policies, in the order of
    /// their positions, and the capacities of the current policy.
    pub fn merged_runtime_settings(&self) -> RuntimeSettings {
        let current = self.current();
        let (mut classes, mut class_limits) = (Vec::new(), Vec::new());
        for entry in self.entries.borrow().iter() {
            // No message refers to the classes at an empty position.
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
    /// Returns the dispatcher's index of a class of this policy.
    pub fn class(&self, class: u16) -> u16 {
        let class_count = self.policy.classes.len();
        // A message that an earlier process accepted may have a class that the settings no
        // longer have.
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
