//! The routing tables that a sender knows, and the one that it goes by. Number 0 is the list alone.

use crate::delivery::Envelope;
use crate::dispatch::routing::{RouteKey, Routes};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Most tables beside the list alone: the one in force, the one that is offered, and one before
/// them while it is written over.
pub const MAX_TABLES: usize = 3;

/// Owner of the tables, and of which is current.
#[derive(Default)]
pub struct RoutingTables {
    known: RefCell<BTreeMap<u64, Routes>>,
    /// The current one, with the sender's own numbers of zones.
    current: RefCell<(u64, Rc<Routes>)>,
}

impl RoutingTables {
    /// The number of the one that messages are taken on and routed by.
    pub fn current_number(&self) -> u64 {
        self.current.borrow().0
    }

    /// Its routes; those of number 0 leave all to the list.
    pub fn current_routes(&self) -> Rc<Routes> {
        self.current.borrow().1.clone()
    }

    /// Whether a message may go to a zone, by the sender's own number of it.
    pub fn allows_zone(&self, message: &Envelope, zone: u16) -> bool {
        let Envelope {
            dest,
            class,
            tenant,
            ..
        } = *message;
        let current = &self.current.borrow().1;
        current
            .rank(
                &RouteKey {
                    dest,
                    class,
                    tenant,
                    draw: 0.0,
                },
                zone,
            )
            .is_some()
    }

    /// Knows one more, in place of one of its number that is not current; false where there is no
    /// place for it.
    pub fn add(&self, number: u64, routes: Routes) -> bool {
        let mut known = self.known.borrow_mut();
        let fits = number > 0 && number != self.current_number();
        let fits = fits && (known.contains_key(&number) || known.len() < MAX_TABLES);
        if fits {
            known.insert(number, routes);
        }
        fits
    }

    /// Forgets one; false where it is current, or not known.
    pub fn remove(&self, number: u64) -> bool {
        number != self.current_number() && self.known.borrow_mut().remove(&number).is_some()
    }

    /// Makes one current, with the sender's own numbers of zones, by name; nothing where it is not
    /// known.
    pub(super) fn activate(
        &self,
        number: u64,
        zone: impl FnMut(&str) -> u16,
    ) -> Option<Rc<Routes>> {
        let routes = match number {
            0 => Routes::default(),
            number => self.known.borrow().get(&number)?.with_zone_numbers(zone),
        };
        let routes = Rc::new(routes);
        *self.current.borrow_mut() = (number, routes.clone());
        Some(routes)
    }

    /// Numbers of all that are known.
    pub fn numbers(&self) -> Vec<u64> {
        self.known.borrow().keys().copied().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::dispatch::routing::{RouteSpec, WeightedZones};

    #[test]
    fn three_are_known_and_the_current_one_is_neither_forgotten_nor_replaced() {
        let tables = RoutingTables::default();
        let to = |zone: &str| {
            let tiers = vec![vec![WeightedZones {
                share: 1,
                zones: vec![zone.to_string()],
            }]];
            Routes::new(
                1,
                1,
                vec![RouteSpec {
                    tiers,
                    ..RouteSpec::default()
                }],
            )
        };
        let number = |zone: &str| if zone == "a" { 7 } else { 8 };
        let message = Envelope {
            dest: 1,
            ..Envelope::default()
        };
        assert!(!tables.add(0, to("a")) && tables.add(4, to("a")) && tables.add(4, to("b")));
        assert!(tables.activate(5, number).is_none() && tables.activate(4, number).is_some());
        assert_eq!(
            (
                tables.current_number(),
                tables.allows_zone(&message, 7),
                tables.allows_zone(&message, 8)
            ),
            (4, false, true)
        );
        assert!(!tables.add(4, to("a")) && !tables.remove(4));
        assert!(tables.add(5, to("a")) && tables.add(6, to("a")) && !tables.add(7, to("a")));
        assert!(tables.remove(5) && !tables.remove(5) && tables.add(7, to("a")));
        assert!(
            tables.activate(0, number).is_some()
                && tables.remove(4)
                && tables.allows_zone(&message, 9)
        );
        assert_eq!(
            (tables.numbers(), tables.current_routes().is_empty()),
            (vec![6, 7], true)
        );
    }
}
