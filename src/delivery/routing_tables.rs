//! The routing tables that a sender knows, and the one that it routes by. Number 0 is no table:
//! the endpoint list alone.
//!
//! Owns the known tables and which is current. What a table says is in `dispatch::routing`; the
//! agent adds and removes tables, and `delivery::message` activates one.

use crate::delivery::Envelope;
use crate::dispatch::routing::{RouteKey, Routes};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// Most tables known at once: the one in force, the one that is offered, and one before them
/// while it is written over.
pub const MAX_TABLES: usize = 3;

/// Owner of the known tables, and of which is current.
#[derive(Default)]
pub struct RoutingTables {
    known: RefCell<BTreeMap<u64, Routes>>,
    current: RefCell<CurrentTable>,
}

#[derive(Default)]
struct CurrentTable {
    number: u64,
    /// With the sender's own numbers of zones.
    routes: Rc<Routes>,
}

impl RoutingTables {
    /// The number of the table that messages are accepted and routed by.
    pub fn current_number(&self) -> u64 {
        self.current.borrow().number
    }

    /// Its routes; those of number 0 leave all to the endpoint list.
    pub fn current_routes(&self) -> Rc<Routes> {
        self.current.borrow().routes.clone()
    }

    /// Whether a message may go to a zone, by the sender's own number of it.
    pub fn allows_zone(&self, message: &Envelope, zone: u16) -> bool {
        let key = RouteKey {
            dest: message.dest,
            class: message.class,
            tenant: message.tenant,
            draw: 0.0,
        };
        self.current.borrow().routes.rank(&key, zone).is_some()
    }

    /// Adds a table, in place of one of its number that is not current; false where there is no
    /// place for it.
    pub fn add(&self, number: u64, routes: Routes) -> bool {
        if number == 0 || number == self.current_number() {
            return false;
        }
        let mut known = self.known.borrow_mut();
        if !known.contains_key(&number) && known.len() >= MAX_TABLES {
            return false;
        }
        known.insert(number, routes);
        true
    }

    /// Removes a table; false where it is current, or not known.
    pub fn remove(&self, number: u64) -> bool {
        number != self.current_number() && self.known.borrow_mut().remove(&number).is_some()
    }

    /// Makes a table current; nothing where it is not known. `zone_number` gives the sender's own
    /// number of a zone, by name.
    pub(super) fn activate(
        &self,
        number: u64,
        zone_number: impl FnMut(&str) -> u16,
    ) -> Option<Rc<Routes>> {
        let routes = match number {
            0 => Routes::default(),
            number => self
                .known
                .borrow()
                .get(&number)?
                .with_zone_numbers(zone_number),
        };
        let routes = Rc::new(routes);
        *self.current.borrow_mut() = CurrentTable {
            number,
            routes: routes.clone(),
        };
        Some(routes)
    }

    /// Numbers of all that are known.
    pub fn numbers(&self) -> Vec<u64> {
        self.known.borrow().keys().copied().collect()
    }
}
