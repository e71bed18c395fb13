//! The only caller of the decision module: events go in, each in a turn of its own, and the
//! actions come out at the messages and endpoints that they are for.
//!
//! Owns the [`Dispatcher`], its clock and the numbers that it knows messages by. It decides
//! nothing itself, and makes no attempt: [`MessageHandle`] brings a message's orders to
//! `delivery::message`, [`AttemptPermit`] counts its attempts, and what is about no message goes
//! to [`DriverEffects`]. Called by `delivery::message`, by those who bring news of the endpoint
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

/// The dispatcher's clock at the start. What it is told of an earlier process lies before it, and
/// its clock has no times before zero.
const CLOCK_AT_START: Duration = Duration::from_secs(30 * 86_400);

/// A wake-up that comes so long after the dispatcher asked for it is worth a line in the log.
const NOTABLE_WAKE_DELAY: Duration = Duration::from_millis(50);

/// What the dispatcher wants done about one message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DispatchOrder {
    /// Attempt to deliver it.
    Attempt {
        /// To this endpoint.
        address: EndpointAddress,
        /// Time-out of the attempt.
        timeout: Nanos,
    },
    /// The message is closed; its client may hand it in again.
    Reject {
        /// The advised wait; 0 where nothing is advised.
        retry_after: Nanos,
    },
    /// The message is closed, failed.
    Fail,
}

/// What the dispatcher wants done that is about no message.
pub trait DriverEffects {
    /// Closes the connections to an endpoint that carry no attempt.
    fn close_idle(&self, endpoint: &Endpoint);
    /// Asks for changes of the endpoint list.
    fn watch_list(&self);
}

/// What is known here of a message that is held.
struct MessageSlot {
    orders: Sender<DispatchOrder>,
    destination: DestinationId,
    is_in_flight: bool,
}

/// What a turn of the dispatcher changes.
struct State {
    dispatcher: Dispatcher,
    last_id: MessageId,
    slots: HashMap<MessageId, MessageSlot>,
    /// Empty between turns; its memory is used again.
    actions: Vec<Action>,
    /// When the dispatcher asked to be woken, until a turn comes at or after that. Only turns change
    /// it: the dispatcher does not ask again for a wake-up that it has asked for, so one that the
    /// timer's task dropped, while it answers the one before, would never come.
    wake_at: Option<Instant>,
    /// Since when the endpoint list is stale; nothing while it is fresh.
    list_stale_since: Option<Instant>,
}

impl State {
    /// Notes that a turn begins: it is the wake-up that was asked for by now. One that comes late
    /// is told, as messages may have outlived their time meanwhile.
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
            log::info!("list: attempts again after stale_ms={stale_ms}: {status}");
        } else {
            log::info!("list: no new attempts: {status}");
            self.list_stale_since = Some(Instant::now());
        }
    }

    /// A number that no held message has: numbers come round after 2^32 messages.
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
            // An unbounded channel is never full, and a closed one has lost its message.
            Some(slot) => drop(slot.orders.try_send(order)),
            None => log::error!("driver: {order:?} for message {id}, which is not held"),
        }
    }
}

/// Drives the dispatcher.
pub struct DispatcherDriver {
    state: RefCell<State>,
    started_at: Instant,
    /// Set when [`State::wake_at`] has changed.
    wake_changed: Signal,
    directory: Rc<EndpointDirectory>,
    effects: Rc<dyn DriverEffects>,
    is_halted: Cell<bool>,
    attempts_in_flight: Cell<usize>,
    /// Set when an attempt has ended.
    attempt_ended: Signal,
    observer: OnceCell<Rc<dyn DeliveryObserver>>,
    list_changed: event_listener::Event,
}

impl DispatcherDriver {
    /// Drives a dispatcher that nothing has happened to.
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

    /// Reports attempts and ends of messages to an observer from now on. The first one stays.
    pub fn set_observer(&self, observer: Rc<dyn DeliveryObserver>) {
        let _ = self.observer.set(observer);
    }

    /// Tells the observer, if there is one, what became of a message.
    pub fn notify_lifecycle(&self, policy: u64, class: u16, tenant: u16, event: LifecycleEvent) {
        if let Some(observer) = self.observer.get() {
            observer.on_lifecycle_event(policy, class, tenant, event);
        }
    }

    /// Brings a message before the dispatcher. Its orders come to the handle, the first ones at
    /// once. `prior` is what an earlier process did about it.
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

    /// Asks to begin an attempt at an endpoint. Nothing where an evacuation leaves that aside, and
    /// no leased attempt is left.
    pub fn permit_attempt(self: &Rc<Self>, endpoint: &Rc<Endpoint>) -> Option<AttemptPermit> {
        let evacuation = self.directory.reserve_attempt(endpoint).ok()?;
        if evacuation.is_some() {
            self.apply_evacuation_changes();
        }
        Some(AttemptPermit::new(self, endpoint, evacuation))
    }

    /// Messages held.
    pub fn held_count(&self) -> usize {
        self.state.borrow().slots.len()
    }

    /// Messages for a destination that wait for an attempt.
    pub fn waiting_messages(&self, destination: DestinationId) -> usize {
        let state = self.state.borrow();
        let waits = |slot: &&MessageSlot| slot.destination == destination && !slot.is_in_flight;
        state.slots.values().filter(waits).count()
    }

    /// Entries of the dispatcher's tables, and of the driver's own.
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

    /// The dispatcher decides by these settings from now on.
    pub fn apply_settings(&self, settings: RuntimeSettings) {
        self.handle_event(Event::SettingsChanged(Box::new(settings)));
    }

    /// The dispatcher, and what evacuations may leave, go by these routes from now on.
    pub fn apply_routes(&self, routes: Rc<Routes>) {
        self.directory.set_routes(routes.clone());
        self.handle_event(Event::RoutesChanged(routes));
        self.apply_evacuation_changes();
    }

    /// Replaces all zone evacuations by these.
    pub fn set_evacuations(&self, orders: Vec<EvacuationOrder>) {
        self.directory.set_evacuations(orders);
        self.apply_evacuation_changes();
    }

    /// Leases attempts under the evacuation order of that epoch, if it is in force.
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

    /// Tells the dispatcher what evacuations and the time have changed of the endpoint list.
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

    /// The directory answered a poll, or said over the watch, that nothing has changed.
    pub fn confirm_list_unchanged(&self) {
        self.handle_event(Event::ListChanges(Vec::new()));
    }

    /// The directory could not be polled, or stopped sending changes.
    pub fn report_list_failure(&self) {
        self.handle_event(Event::ListFailed);
    }

    /// The endpoint list is to be polled at another address.
    pub fn report_list_source_change(&self) {
        self.handle_event(Event::ListSourceMoved);
    }

    /// Whether no attempt may begin, as the endpoint list is too old.
    pub fn endpoint_list_is_stale(&self) -> bool {
        self.state.borrow().dispatcher.is_list_stale(self.now())
    }

    /// How fresh the endpoint list is, and when it is polled next; nothing where it is not polled
    /// for.
    pub fn endpoint_list_status(&self) -> Option<ListStatus> {
        self.state.borrow().dispatcher.list_status(self.now())
    }

    /// Ends where the endpoint list has changed, or may have.
    pub fn list_changed(&self) -> event_listener::EventListener {
        self.list_changed.listen()
    }

    /// Wakes the dispatcher when it asked for it; runs for ever.
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

    /// Asks the dispatcher nothing more: what is in flight may end, nothing new begins.
    pub fn halt(&self) {
        self.is_halted.set(true);
    }

    /// Waits until no attempt is in flight.
    pub async fn wait_for_attempts(&self) {
        while self.attempts_in_flight.get() > 0 {
            self.attempt_ended.wait().await;
        }
    }

    /// The time by the dispatcher's clock.
    fn now(&self) -> Nanos {
        (CLOCK_AT_START + self.started_at.elapsed()).as_nanos() as Nanos
    }

    /// One turn of the dispatcher. Orders are only put into their messages' channels here; the
    /// deliveries act on them later, so no turn begins within another.
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
            // Endpoints have no health checks of their own.
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

    /// Counts an attempt that an order has begun.
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

    /// Forgets a message whose handle is gone.
    fn remove(&self, id: MessageId) {
        self.state.borrow_mut().slots.remove(&id);
    }
}

#[cfg(test)]
mod tests;
