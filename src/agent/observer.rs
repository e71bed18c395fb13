//! Records the outcomes of calls and messages for the agent's reports.
//!
//! The delivery driver calls [`AgentObserver`]; the counts are in
//! [`super::call_statistics::CallStatistics`].

use super::Agent;
use crate::delivery::endpoint::Endpoint;
use crate::delivery::{DeliveryObserver, LifecycleEvent};
use crate::{Nanos, Outcome};
use std::any::Any;
use std::rc::Rc;
use std::time::Duration;

/// Observer that records for an agent.
pub(super) struct AgentObserver {
    agent: Rc<Agent>,
}

impl AgentObserver {
    pub(super) fn new(agent: Rc<Agent>) -> AgentObserver {
        AgentObserver { agent }
    }
}

/// A call in flight, until this guard is dropped.
struct InFlightCall {
    agent: Rc<Agent>,
    number: u64,
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        let mut session = self.agent.session.borrow_mut();
        session.statistics.call_finished(self.number);
    }
}

impl DeliveryObserver for AgentObserver {
    fn attempt_started(&self, endpoint: &Rc<Endpoint>) -> Box<dyn Any> {
        let now = self.agent.now();
        let entry = &endpoint.entry;
        let mut session = self.agent.session.borrow_mut();
        let number = session
            .statistics
            .call_started(now, &entry.zone, entry.dest);
        Box::new(InFlightCall {
            agent: self.agent.clone(),
            number,
        })
    }

    fn attempt_ended(&self, endpoint: &Endpoint, outcome: Outcome, duration: Duration) {
        let entry = &endpoint.entry;
        let duration = duration.as_nanos() as Nanos;
        let mut session = self.agent.session.borrow_mut();
        session
            .statistics
            .record_outcome(&entry.zone, entry.dest, outcome, duration);
    }

    fn on_lifecycle_event(&self, policy: u64, class: u16, tenant: u16, event: LifecycleEvent) {
        let classes = &self.agent.parts.delivery.class_names;
        let class = classes.get(usize::from(class)).map_or("", String::as_str);
        let mut session = self.agent.session.borrow_mut();
        session
            .statistics
            .record_lifecycle_event(policy, class, tenant, event);
    }
}
