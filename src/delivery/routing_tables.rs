//! The routing tables that a sender knows, one of which is current. Number 0 stands for no table:
//! messages are routed by the endpoint list alone.
//!
//! The contents of a table are in `dispatch::routing`. The agent adds and removes tables, and
//! `delivery::message` activates them.

use crate::delivery::Envelope;
use crate::dispatch::routing::{RouteKey, Routes};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// Maximum number of tables known at once: the active table, the offered table, and an earlier one
/// while it is being replaced.
pub const MAX_TABLES: usize = 3;

/// The known routing tables, one of which is current.
#[derive(Default)]
pub struct RoutingTables {
    known: RefCell<BTreeMap<u64, Routes>>,
    current: RefCell<CurrentTable>,
}

#[derive(Default)]
struct CurrentTable {
    number: u64,
    /// Routes with zones by the sender's own numbers.
    routes: Rc<Routes>,
}

impl RoutingTables {
    /// Returns the number of the current table, by which messages are accepted and routed.
    pub fn current_number(&self) -> u64 {
        self.current.borrow().number
    }

    /// Returns the routes of the current table. Those of number 0 restrict nothing.
    pub fn current_routes(&self) -> Rc<Routes> {
        self.current.borrow().routes.clone()
    }

    /// Whether the current table allows a message in a zone, given by the sender's own number.
    pub fn allows_zone(&self, message: &Envelope, zone: u16) -> bool {
        let key = RouteKey {
            dest: message.dest,
            class: message.class,
            tenant: message.tenant,
            draw: 0.0,
        };
        self.current.borrow().routes.rank(&key, zone).is_some()
    }

    /// Adds a table, or replaces the known table of the same number. Returns false for number 0,
    /// for the number of the current table, or if [`MAX_TABLES`] others are known.
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

    /// Removes a table. Returns false if it is current or not known.
    pub fn remove(&self, number: u64) -> bool {
        number != self.current_number() && self.known.borrow_mut().remove(&number).is_some()
    }

    /// Makes a table current and returns its routes, or `None` if it is not known. `zone_number`
    /// returns the sender's own number of a zone, given its name.
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

    /// Returns the numbers of all known tables.
    pub fn numbers(&self) -> Vec<u64> {
        self.known.borrow().keys().copied().collect()
    }
}
