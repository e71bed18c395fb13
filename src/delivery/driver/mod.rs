//! The only caller of the [`Dispatcher`]: passes events to it, one per turn, and routes the
//! resulting actions to the messages and endpoints that they concern.
//!
//! The driver owns the dispatcher, its clock and the ids by which it knows messages. It takes no
//! decisions and makes no attempts: a [`MessageHandle`] delivers a message's orders to
//! `delivery::message`, an [`AttemptPermit`] accounts for an attempt, and actions that concern no
//! message go to [`DriverEffects`]. Called by `delivery::message`, by the sources of the endpoint
//! list, and by the agent for evacuations.

mod attempt_permit;
mod message_handle;

pub use attempt_permit::AttemptPermit;
pub use message_handle::MessageHandle;

use crate::delivery::endpoint::{Endpoint, EndpointListUpdate};
use crate::delivery::endpoint_directory::{DirectoryChange, EndpointDirectory};
use crate::delivery::evacuation::{AttemptLease, EvacuationOrder};
use crate::delivery::signal::Signal;
use crate::delivery::timer_wheel::TimerWheel;
use crate::delivery::{duration, DeliveryObserver, LifecycleEvent};
use crate::dispatch::list_polling::ListStatus;
use crate::dispatch::routing::Routes;
use crate::{
    Action, DestinationId, Dispatcher, EndpointAddress, Event, Message, MessageId, Nanos,
    PriorAttempts, RuntimeSettings,
};
use async_channel::Sender;
use futures_lite::{future, FutureExt};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Reading of the dispatcher's clock at the start of the process. Times that are restored from an
/// earlier process lie before it, and the clock cannot represent times below zero.
const CLOCK_AT_START: Duration = Duration::from_secs(30 * 86_400);

/// Delay of a requested wake-up from which it is logged.
const NOTABLE_WAKE_DELAY: Duration = Duration::from_millis(50);

/// An order of the dispatcher for one message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DispatchOrder {
    /// Attempt to deliver the message.
    Attempt {
        /// Handle of the endpoint to call.
        address: EndpointAddress,
        /// Timeout of the attempt, in nanoseconds.
        timeout: Nanos,
    },
    /// Close the message; its client may submit it again.
    Reject {
        /// The advised wait, in nanoseconds; 0 if no wait is advised.
        retry_after: Nanos,
    },
    /// Close the message as failed.
    Fail,
}

/// Effects of the dispatcher's actions that concern no message.
pub trait DriverEffects {
    /// Closes the idle connections to an endpoint.
    fn close_idle(&self, endpoint: &Endpoint);
    /// Requests changes of the endpoint list from its source.
    fn watch_list(&self);
}

/// The driver's entry for a held message.
struct MessageSlot {
    orders: Sender<DispatchOrder>,
    destination: DestinationId,
    is_in_flight: bool,
}

/// State that a turn of the dispatcher changes.
struct State {
    dispatcher: Dispatcher,
    last_id: MessageId,
    slots: HashMap<MessageId, MessageSlot>,
    /// Buffer for the actions of a turn; empty between turns, so that its memory is reused.
    actions: Vec<Action>,
    /// Time of the wake-up that the dispatcher requested, until a turn takes place at or after it.
    /// Only turns change it. The dispatcher does not repeat a request, so a new one that the
    /// timer's task discarded while it handles the previous one would be lost.
    wake_at: Option<Instant>,
    /// Time at which the endpoint list became stale; `None` while it is fresh.
    list_stale_since: Option<Instant>,
}

impl State {
    /// Records that a turn begins, which serves as the requested wake-up if that is due. A late
    /// wake-up is logged, because messages may have passed their deadlines meanwhile.
    fn note_turn(&mut self, now: Instant) {
        let Some(due) = self.wake_at.take_if(|at| *at <= now) else {
            return;
        };
        let late = now - due;
        if late > NOTABLE_WAKE_DELAY {
            log::warn!("driver: the dispatcher was woken {late:?} late");
        }
    }

    /// Logs when the endpoint list becomes stale, and when it is fresh again.
    fn log_list_transition(&mut self, now: Nanos) {
        if self.dispatcher.is_list_stale(now) == self.list_stale_since.is_some() {
            return;
        }
        let Some(status) = self.dispatcher.list_status(now) else {
            return;
        };
        if let Some(since) = self.list_stale_since.take() {
            let stale_ms = since.elapsed().as_millis();
            log::info!("list: attempts resume after stale_ms={stale_ms}: {status}");
        } else {
            log::info!("list: no new attempts: {status}");
            self.list_stale_since = Some(Instant::now());
        }
    }

    /// Returns an id that no held message has. Ids wrap around after 2^32 messages.
    fn next_free_id(&mut self) -> MessageId {
        loop {
            self.last_id = self.last_id.wrapping_add(1);
            if !self.slots.contains_key(&self.last_id) {
                return self.last_id;
            }
        }
    }

    fn send_order(&self, id: MessageId, order: DispatchOrder) {
        match self.slots.get(&id) {
            // An unbounded channel is never full, and a closed one belongs to a dropped message.
            Some(slot) => drop(slot.orders.try_send(order)),
            None => log::error!("driver: {order:?} for message {id}, which is not held"),
        }
    }
}

/// Passes events to the dispatcher and carries out its actions.
pub struct DispatcherDriver {
    state: RefCell<State>,
    started_at: Instant,
    /// Set when [`State::wake_at`] has changed.
    wake_changed: Signal,
    directory: Rc<EndpointDirectory>,
    effects: Rc<dyn DriverEffects>,
    is_halted: Cell<bool>,
    attempts_in_flight: Cell<usize>,
    /// Set after an attempt has ended.
    attempt_ended: Signal,
    observer: OnceCell<Rc<dyn DeliveryObserver>>,
    list_changed: event_listener::Event,
}

impl DispatcherDriver {
    /// Creates a driver of a new dispatcher, which has not handled any event.
    pub fn new(
        dispatcher: Dispatcher,
        directory: Rc<EndpointDirectory>,
        effects: Rc<dyn DriverEffects>,
    ) -> Rc<Self> {
        let state = State {
            dispatcher,
            last_id: 0,
            slots: HashMap::new(),
            actions: Vec::new(),
            wake_at: None,
            list_stale_since: None,
        };
        Rc::new(DispatcherDriver {
            state: RefCell::new(state),
            started_at: Instant::now(),
            wake_changed: Signal::new(),
            directory,
            effects,
            is_halted: Cell::new(false),
            attempts_in_flight: Cell::new(0),
            attempt_ended: Signal::new(),
            observer: OnceCell::new(),
            list_changed: event_listener::Event::new(),
        })
    }

    /// Sets the observer of attempts and lifecycle events. Only the first call has an effect.
    pub fn set_observer(&self, observer: Rc<dyn DeliveryObserver>) {
        let _ = self.observer.set(observer);
    }

    /// Reports a lifecycle event of a message to the observer, if there is one.
    pub fn notify_lifecycle(&self, policy: u64, class: u16, tenant: u16, event: LifecycleEvent) {
        if let Some(observer) = self.observer.get() {
            observer.on_lifecycle_event(policy, class, tenant, event);
        }
    }

    /// Submits a message to the dispatcher. The returned handle receives its orders; the first
    /// ones may be there already. `prior` describes the attempts of an earlier process.
    pub fn submit(
        self: &Rc<Self>,
        message: Message,
        prior: Option<PriorAttempts>,
    ) -> MessageHandle {
        let (sender, orders) = async_channel::unbounded();
        let id = {
            let mut state = self.state.borrow_mut();
            let id = state.next_free_id();
            let slot = MessageSlot {
                orders: sender,
                destination: message.dest,
                is_in_flight: false,
            };
            state.slots.insert(id, slot);
            id
        };
        let message = Message { id, ..message };
        self.handle_event(match prior {
            None => Event::Arrived(message),
            Some(prior) => Event::Resumed { message, prior },
        });
        let attempts = prior.unwrap_or_default().attempts;
        MessageHandle::new(self.clone(), id, orders, attempts)
    }

    /// Requests permission for an attempt at an endpoint. Returns `None` if the endpoint is
    /// evacuated and every leased attempt is reserved.
    pub fn permit_attempt(self: &Rc<Self>, endpoint: &Rc<Endpoint>) -> Option<AttemptPermit> {
        let evacuation = self.directory.reserve_attempt(endpoint).ok()?;
        if evacuation.is_some() {
            self.apply_evacuation_changes();
        }
        Some(AttemptPermit::new(self, endpoint, evacuation))
    }

    /// Returns the number of held messages.
    pub fn held_count(&self) -> usize {
        self.state.borrow().slots.len()
    }

    /// Returns the number of messages for a destination that wait for an attempt.
    pub fn waiting_messages(&self, destination: DestinationId) -> usize {
        let state = self.state.borrow();
        let waits = |slot: &&MessageSlot| slot.destination == destination && !slot.is_in_flight;
        state.slots.values().filter(waits).count()
    }

    /// Returns the numbers of entries in the dispatcher's tables and in the driver's own.
    pub fn table_sizes(&self) -> Vec<(&'static str, usize)> {
        let state = self.state.borrow();
        let own = ("tickets", state.slots.len());
        state
            .dispatcher
            .table_sizes()
            .into_iter()
            .chain([own])
            .collect()
    }

    /// Changes the dispatcher's runtime settings.
    pub fn apply_settings(&self, settings: RuntimeSettings) {
        self.handle_event(Event::SettingsChanged(Box::new(settings)));
    }

    /// Changes the routes of the dispatcher and of the directory, whose overrides by evacuations
    /// depend on them.
    pub fn apply_routes(&self, routes: Rc<Routes>) {
        self.directory.set_routes(routes.clone());
        self.handle_event(Event::RoutesChanged(routes));
        self.apply_evacuation_changes();
    }

    /// Replaces all zone evacuations.
    pub fn set_evacuations(&self, orders: Vec<EvacuationOrder>) {
        self.directory.set_evacuations(orders);
        self.apply_evacuation_changes();
    }

    /// Leases attempts under the evacuation order of the given epoch, if that is in force.
    pub fn grant_lease(
        &self,
        zone: &str,
        destination: DestinationId,
        epoch: u64,
        lease: AttemptLease,
    ) {
        self.directory.grant_lease(zone, destination, epoch, lease);
        self.apply_evacuation_changes();
    }

    /// Passes changes of listings by evacuations, leases and the passage of time to the dispatcher.
    pub fn apply_evacuation_changes(&self) {
        if let Some(change) = self.directory.expire_due() {
            self.apply_change(change);
        }
    }

    /// Applies an update of the endpoint list.
    pub fn apply_list_update(&self, update: &EndpointListUpdate) {
        if let Some(change) = self.directory.apply(update) {
            self.apply_change(change);
            self.apply_evacuation_changes();
            self.list_changed.notify(usize::MAX);
        }
    }

    /// Records that the directory reported no change, as the answer to a poll or over the watch.
    pub fn confirm_list_unchanged(&self) {
        self.handle_event(Event::ListChanges(Vec::new()));
    }

    /// Records that a poll of the directory failed, or that the watch ended.
    pub fn report_list_failure(&self) {
        self.handle_event(Event::ListFailed);
    }

    /// Records that the endpoint list is polled at another address from now on.
    pub fn report_list_source_change(&self) {
        self.handle_event(Event::ListSourceMoved);
    }

    /// Whether the endpoint list is stale, so that no attempt may begin.
    pub fn endpoint_list_is_stale(&self) -> bool {
        self.state.borrow().dispatcher.is_list_stale(self.now())
    }

    /// Returns the freshness of the endpoint list and the time of the next poll, or `None` if the
    /// list is not polled.
    pub fn endpoint_list_status(&self) -> Option<ListStatus> {
        self.state.borrow().dispatcher.list_status(self.now())
    }

    /// Returns a listener that is notified after each update of the endpoint list.
    pub fn list_changed(&self) -> event_listener::EventListener {
        self.list_changed.listen()
    }

    /// Wakes the dispatcher at the times that it requests; runs forever.
    pub async fn run_timer(&self, wheel: &Rc<TimerWheel>) {
        loop {
            let wake_at = self.state.borrow().wake_at;
            let due = async {
                match wake_at {
                    Some(at) => wheel.sleep_until(at).await,
                    None => future::pending().await,
                }
                true
            };
            let changed = async {
                self.wake_changed.wait().await;
                false
            };
            if due.or(changed).await {
                self.handle_event(Event::TimerFired);
            }
        }
    }

    /// Stops calling the dispatcher: attempts in flight may end, but no new ones begin.
    pub fn halt(&self) {
        self.is_halted.set(true);
    }

    /// Waits until no attempt is in flight.
    pub async fn wait_for_attempts(&self) {
        while self.attempts_in_flight.get() > 0 {
            self.attempt_ended.wait().await;
        }
    }

    /// Returns the current time of the dispatcher's clock.
    fn now(&self) -> Nanos {
        (CLOCK_AT_START + self.started_at.elapsed()).as_nanos() as Nanos
    }

    /// Runs one turn of the dispatcher. Orders are only put into the channels of their messages;
    /// the tasks that deliver these carry them out later, so that turns do not nest.
    fn handle_event(&self, event: Event) {
        let mut state = self.state.borrow_mut();
        state.note_turn(Instant::now());
        if self.is_halted.get() {
            return;
        }
        let mut actions = std::mem::take(&mut state.actions);
        state.dispatcher.handle(self.now(), &[event], &mut actions);
        for action in actions.drain(..) {
            self.carry_out(&mut state, action);
        }
        state.actions = actions;
        state.log_list_transition(self.now());
    }

    fn carry_out(&self, state: &mut State, action: Action) {
        match action {
            Action::Send {
                id,
                endpoint: address,
                timeout,
            } => state.send_order(id, DispatchOrder::Attempt { address, timeout }),
            Action::Reject { id, retry_after } => {
                state.send_order(id, DispatchOrder::Reject { retry_after });
            }
            Action::Fail { id } => state.send_order(id, DispatchOrder::Fail),
            Action::CloseIdle { endpoint } => {
                if let Some(endpoint) = self.directory.endpoint(endpoint) {
                    self.effects.close_idle(&endpoint);
                }
            }
            Action::WatchList => self.effects.watch_list(),
            Action::WakeAfter(delay) => {
                state.wake_at = Some(Instant::now() + duration(delay));
                self.wake_changed.set();
            }
            Action::Log(line) => log::info!("module: {line}"),
            // Endpoints offer no health checks, so there is nothing to call.
            Action::HealthCheck { .. } => {}
        }
    }

    fn apply_change(&self, change: DirectoryChange) {
        for endpoint in &change.disconnect {
            self.effects.close_idle(endpoint);
        }
        self.handle_event(change.event);
    }

    fn set_in_flight(&self, id: MessageId, is_in_flight: bool) {
        if let Some(slot) = self.state.borrow_mut().slots.get_mut(&id) {
            slot.is_in_flight = is_in_flight;
        }
    }

    /// Counts an attempt that was begun by an order.
    fn count_begun(&self) {
        self.attempts_in_flight
            .set(self.attempts_in_flight.get() + 1);
    }

    /// Counts an attempt that has ended.
    fn count_ended(&self) {
        self.attempts_in_flight
            .set(self.attempts_in_flight.get() - 1);
        self.attempt_ended.set();
    }

    /// Removes a message whose handle is dropped.
    fn remove(&self, id: MessageId) {
        self.state.borrow_mut().slots.remove(&id);
    }
}

#[cfg(test)]
mod tests;
