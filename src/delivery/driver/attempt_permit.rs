//! The permission to make one attempt, which accounts for it until it ends.

use super::DispatcherDriver;
use crate::delivery::endpoint::Endpoint;
use crate::Outcome;
use std::any::Any;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// The permission to make one attempt. It is held until the attempt ends; dropping it releases the
/// reservation and the observer's guard.
pub struct AttemptPermit {
    driver: Rc<DispatcherDriver>,
    endpoint: Rc<Endpoint>,
    /// Epoch of the evacuation order under which the attempt is reserved, until it begins.
    evacuation: Cell<Option<u64>>,
    granted_at: Instant,
    /// The observer's guard for the duration of the attempt.
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

    /// Begins the attempt. Returns false if the endpoint is evacuated and no leased attempt is
    /// left.
    pub fn begin(&self) -> bool {
        let begins = self.driver.directory.start_attempt(&self.endpoint);
        self.release_reservation();
        begins
    }

    /// Reports the outcome of the attempt to the observer.
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
