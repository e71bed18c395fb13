//! The permission to make one attempt, and what counts it while it lasts.

use super::DispatcherDriver;
use crate::delivery::endpoint::Endpoint;
use crate::Outcome;
use std::any::Any;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// The permission to make one attempt, until that has ended. Dropped, it is given back.
pub struct AttemptPermit {
    driver: Rc<DispatcherDriver>,
    endpoint: Rc<Endpoint>,
    /// Epoch of the evacuation order that it is reserved under until it has begun.
    evacuation: Cell<Option<u64>>,
    granted_at: Instant,
    /// What the observer holds while the attempt lasts.
    _observed: Option<Box<dyn Any>>,
}

impl AttemptPermit {
    pub(super) fn new(
        driver: &Rc<DispatcherDriver>,
        endpoint: &Rc<Endpoint>,
        evacuation: Option<u64>,
    ) -> Self {
        let observer = driver.observer.get();
        AttemptPermit {
            driver: driver.clone(),
            endpoint: endpoint.clone(),
            evacuation: Cell::new(evacuation),
            granted_at: Instant::now(),
            _observed: observer.map(|o| o.attempt_started(endpoint)),
        }
    }

    /// The attempt begins now. False where an evacuation is in force and no leased attempt is left.
    pub fn begin(&self) -> bool {
        let begins = self.driver.directory.start_attempt(&self.endpoint);
        self.release_reservation();
        begins
    }

    /// Tells the observer how the attempt ended.
    pub fn attempt_ended(&self, outcome: Outcome) {
        if let Some(observer) = self.driver.observer.get() {
            observer.attempt_ended(&self.endpoint, outcome, self.granted_at.elapsed());
        }
    }

    fn release_reservation(&self) {
        if let Some(epoch) = self.evacuation.take() {
            self.driver
                .directory
                .release_reservation(&self.endpoint, epoch);
            self.driver.apply_evacuation_changes();
        }
    }
}

impl Drop for AttemptPermit {
    fn drop(&mut self) {
        self.release_reservation();
    }
}
