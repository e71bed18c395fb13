//! The one place that asks the decision module. Events go in, each in a turn of its own, and the
//! actions come out at the messages and providers that they are for. Sole owner of the relay and of
//! message ids.

use crate::delivery::endpoint::{Endpoint, EndpointListUpdate};
use crate::delivery::endpoint_directory::{DirectoryChange, EndpointDirectory};
use crate::delivery::evacuation::{AttemptLease, EvacuationOrder};
use crate::delivery::timer_wheel::TimerWheel;
use crate::delivery::{duration, AttemptReport, DeliveryObserver, LifecycleEvent};
use crate::dispatch::routing::Routes;
use crate::{
    Action, DestinationId, Dispatcher, EndpointAddress, Event, Message, MessageId, Nanos, Outcome,
    PriorAttempts, RuntimeSettings,
};
use async_channel::{Receiver, Sender};
use futures_lite::{future, FutureExt};
use std::any::Any;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The module's clock at the start. What is told of an earlier life lies before it, and must not
/// before zero.
const EPOCH: Duration = Duration::from_secs(30 * 86_400);

/// What the module wants done about one message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DispatchOrder {
    /// Call a provider.
    Attempt {
        /// The provider.
        endpoint: EndpointAddress,
        /// Time-out of the call.
        timeout: Nanos,
    },
    /// The message is over; its client may hand it in again after this time (0: nothing advised).
    Reject {
        /// The advised wait.
        retry_after: Nanos,
    },
    /// The message is over, failed.
    Fail,
}

/// What the module wants done that is about no message.
pub trait DriverEffects {
    /// Close the connections to a provider that carry no call.
    fn close_idle(&self, provider: &Endpoint);
    /// Ask the directory for changes.
    fn watch_list(&self);
}

/// A message that is held.
struct Place {
    orders: Sender<DispatchOrder>,
    dest: DestinationId,
    /// A call is out.
    out: bool,
}

struct Inner {
    relay: Dispatcher,
    next_id: MessageId,
    tickets: HashMap<MessageId, Place>,
    actions: Vec<Action>,
    wake_at: Option<Instant>,
}

/// The desk.
pub struct DispatcherDriver {
    inner: RefCell<Inner>,
    start: Instant,
    alarm: (Sender<()>, Receiver<()>),
    directory: Rc<EndpointDirectory>,
    hands: Rc<dyn DriverEffects>,
    halted: Cell<bool>,
    calls: Cell<usize>,
    idle: (Sender<()>, Receiver<()>),
    witness: OnceCell<Rc<dyn DeliveryObserver>>,
    /// Woken where the list has changed.
    listed: event_listener::Event,
}

/// One call that is about to begin, or out; dropped, it is neither.
pub struct AttemptPermit {
    driver: Rc<DispatcherDriver>,
    provider: Rc<Endpoint>,
    /// The order that it is under until it has begun.
    under: Cell<Option<u64>>,
    since: Instant,
    _seen: Option<Box<dyn Any>>,
}

impl AttemptPermit {
    /// The call begins now. Not where an order stands and nothing that was lent is left.
    pub fn begin(&self) -> bool {
        let begins = self.driver.directory.start_attempt(&self.provider);
        self.give_back();
        begins
    }

    /// How the call ended.
    pub fn attempt_ended(&self, outcome: Outcome) {
        if let Some(witness) = self.driver.witness.get() {
            witness.attempt_ended(&self.provider, outcome, self.since.elapsed());
        }
    }

    fn give_back(&self) {
        if let Some(epoch) = self.under.take() {
            self.driver
                .directory
                .release_reservation(&self.provider, epoch);
            self.driver.apply_evacuation_changes();
        }
    }
}

impl Drop for AttemptPermit {
    fn drop(&mut self) {
        self.give_back();
    }
}

impl DispatcherDriver {
    /// A desk over a fresh relay.
    pub fn new(
        relay: Dispatcher,
        directory: Rc<EndpointDirectory>,
        hands: Rc<dyn DriverEffects>,
    ) -> Rc<Self> {
        let (tickets, actions) = (HashMap::new(), Vec::new());
        Rc::new(DispatcherDriver {
            inner: RefCell::new(Inner {
                relay,
                next_id: 0,
                tickets,
                actions,
                wake_at: None,
            }),
            start: Instant::now(),
            alarm: async_channel::bounded(1),
            directory,
            hands,
            halted: Cell::new(false),
            calls: Cell::new(0),
            idle: async_channel::bounded(1),
            witness: OnceCell::new(),
            listed: event_listener::Event::new(),
        })
    }

    /// Somebody sees what becomes of calls from now on; the first one who is told of does.
    pub fn set_observer(&self, witness: Rc<dyn DeliveryObserver>) {
        let _ = self.witness.set(witness);
    }

    /// Tells whoever sees it what became of a message.
    pub fn notify_lifecycle(&self, policy: u64, class: u16, tenant: u16, life: LifecycleEvent) {
        if let Some(witness) = self.witness.get() {
            witness.on_lifecycle_event(policy, class, tenant, life);
        }
    }

    /// The module goes by these terms from now on.
    pub fn apply_settings(&self, policies: RuntimeSettings) {
        self.turn(Event::SettingsChanged(Box::new(policies)));
    }

    /// The module, and what orders may leave, go by these routes from now on.
    pub fn apply_routes(&self, routes: Rc<Routes>) {
        self.directory.set_routes(routes.clone());
        self.turn(Event::RoutesChanged(routes));
        self.apply_evacuation_changes();
    }

    /// A call is about to go to a provider. Nothing where an order leaves that aside, and no call
    /// that was lent is left.
    pub fn permit_attempt(self: &Rc<Self>, provider: &Rc<Endpoint>) -> Option<AttemptPermit> {
        let under = self.directory.reserve_attempt(provider).ok()?;
        if under.is_some() {
            self.apply_evacuation_changes();
        }
        Some(AttemptPermit {
            driver: self.clone(),
            provider: provider.clone(),
            under: Cell::new(under),
            since: Instant::now(),
            _seen: self.witness.get().map(|w| w.attempt_started(provider)),
        })
    }

    /// Replaces all evacuation orders by these.
    pub fn set_evacuations(&self, orders: Vec<EvacuationOrder>) {
        self.directory.set_evacuations(orders);
        self.apply_evacuation_changes();
    }

    /// Leases attempts under the evacuation order of that epoch, if it is in force.
    pub fn grant_lease(&self, zone: &str, dest: DestinationId, epoch: u64, lease: AttemptLease) {
        self.directory.grant_lease(zone, dest, epoch, lease);
        self.apply_evacuation_changes();
    }

    /// Tells the module what orders and time have changed.
    pub fn apply_evacuation_changes(&self) {
        if let Some(change) = self.directory.expire_due() {
            self.apply_change(change);
        }
    }

    /// Messages for a destination that wait for a call.
    pub fn waiting_messages(&self, dest: DestinationId) -> usize {
        self.inner
            .borrow()
            .tickets
            .values()
            .filter(|p| p.dest == dest && !p.out)
            .count()
    }

    /// Ends where the list has changed, or may have.
    pub fn list_changed(&self) -> event_listener::EventListener {
        self.listed.listen()
    }

    /// Wakes the module when it asked for it; runs for ever.
    pub async fn run_timer(&self, wheel: &Rc<TimerWheel>) {
        loop {
            let at = self.inner.borrow().wake_at;
            let due = async {
                match at {
                    Some(at) => wheel.sleep_until(at).await,
                    None => future::pending().await,
                }
                true
            };
            let moved = async {
                let _ = self.alarm.1.recv().await;
                false
            };
            if due.or(moved).await {
                self.inner.borrow_mut().wake_at = None;
                self.turn(Event::TimerFired);
            }
        }
    }

    /// Whether nothing may be called, as the list is too old.
    pub fn endpoint_list_is_stale(&self) -> bool {
        self.inner.borrow().relay.is_list_stale(self.now())
    }

    /// How long the list may still be trusted, if nothing is heard; nothing where it is not asked
    /// for.
    pub fn remaining_list_freshness(&self) -> Option<Duration> {
        self.inner
            .borrow()
            .relay
            .list_remaining_freshness(self.now())
            .map(duration)
    }

    /// Messages held.
    pub fn held_count(&self) -> usize {
        self.inner.borrow().tickets.len()
    }

    /// Entries of the module's tables, and of its own.
    pub fn table_sizes(&self) -> Vec<(&'static str, usize)> {
        let inner = self.inner.borrow();
        let own = ("tickets", inner.tickets.len());
        inner.relay.table_sizes().into_iter().chain([own]).collect()
    }

    /// Applies an update of the endpoint list.
    pub fn apply_list_update(&self, update: &EndpointListUpdate) {
        if let Some(change) = self.directory.apply(update) {
            self.apply_change(change);
            self.apply_evacuation_changes();
            self.listed.notify(usize::MAX);
        }
    }

    fn apply_change(&self, change: DirectoryChange) {
        for endpoint in &change.disconnect {
            self.hands.close_idle(endpoint);
        }
        self.turn(change.event);
    }

    /// The directory answered an ask, or said over the watch that nothing has changed.
    pub fn confirm_list_unchanged(&self) {
        self.turn(Event::ListChanges(Vec::new()));
    }

    /// The directory could not be asked, or stopped telling.
    pub fn report_list_failure(&self) {
        self.turn(Event::ListFailed);
    }

    /// The list is to be asked for at another place.
    pub fn report_list_source_change(&self) {
        self.turn(Event::ListSourceMoved);
    }

    /// Brings a message before the module. Its orders come to the ticket, the first ones at once.
    pub fn submit(
        self: &Rc<Self>,
        message: Message,
        prior: Option<PriorAttempts>,
    ) -> MessageHandle {
        let (sender, orders) = async_channel::unbounded();
        let id = {
            let mut inner = self.inner.borrow_mut();
            // Ids come round after 2^32 messages; one that is still held is passed over.
            loop {
                inner.next_id = inner.next_id.wrapping_add(1);
                if !inner.tickets.contains_key(&inner.next_id) {
                    break;
                }
            }
            let id = inner.next_id;
            inner.tickets.insert(
                id,
                Place {
                    orders: sender,
                    dest: message.dest,
                    out: false,
                },
            );
            id
        };
        let message = Message { id, ..message };
        self.turn(match prior {
            None => Event::Arrived(message),
            Some(prior) => Event::Resumed { message, prior },
        });
        let attempts = prior.unwrap_or_default().attempts;
        MessageHandle {
            driver: self.clone(),
            id,
            orders,
            attempts,
            out: None,
            over: false,
        }
    }

    /// Asks the module nothing more: what is out may end, nothing new begins.
    pub fn halt(&self) {
        self.halted.set(true);
    }

    /// Waits until no call is out.
    pub async fn wait_for_attempts(&self) {
        while self.calls.get() > 0 {
            let _ = self.idle.1.recv().await;
        }
    }

    fn now(&self) -> Nanos {
        (EPOCH + self.start.elapsed()).as_nanos() as Nanos
    }

    /// One turn of the module. Orders are only laid out here; their invocations act on them later,
    /// so no turn begins within another.
    fn turn(&self, event: Event) {
        if self.halted.get() {
            return;
        }
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        let mut actions = std::mem::take(&mut inner.actions);
        inner.relay.handle(self.now(), &[event], &mut actions);
        for action in actions.drain(..) {
            let (id, order) = match action {
                Action::Send {
                    id,
                    endpoint,
                    timeout,
                } => (id, DispatchOrder::Attempt { endpoint, timeout }),
                Action::Reject { id, retry_after } => (id, DispatchOrder::Reject { retry_after }),
                Action::Fail { id } => (id, DispatchOrder::Fail),
                Action::CloseIdle { endpoint } => {
                    if let Some(p) = self.directory.endpoint(endpoint) {
                        self.hands.close_idle(&p);
                    }
                    continue;
                }
                Action::WatchList => {
                    self.hands.watch_list();
                    continue;
                }
                Action::WakeAfter(after) => {
                    inner.wake_at = Some(Instant::now() + duration(after));
                    let _ = self.alarm.0.try_send(());
                    continue;
                }
                Action::Log(line) => {
                    log::info!("module: {line}");
                    continue;
                }
                // Providers are never probed.
                Action::HealthCheck { .. } => continue,
            };
            match inner.tickets.get(&id) {
                // An unbounded channel is never full, and a closed one has lost its message.
                Some(place) => drop(place.orders.try_send(order)),
                None => log::error!("desk: {order:?} for message {id}, which is not held"),
            }
        }
        inner.actions = actions;
    }
}

/// A message's place at the desk; dropped, it is given back and the module forgets the message.
pub struct MessageHandle {
    driver: Rc<DispatcherDriver>,
    id: MessageId,
    orders: Receiver<DispatchOrder>,
    attempts: u16,
    /// Number and start of the call that is out.
    out: Option<(u16, Instant)>,
    over: bool,
}

impl MessageHandle {
    /// The next order, if it is there already.
    pub fn try_next_order(&mut self) -> Option<DispatchOrder> {
        let order = self.orders.try_recv().ok()?;
        Some(self.begin(order))
    }

    /// The next order. Waits for ever at a halted desk.
    pub async fn next_order(&mut self) -> DispatchOrder {
        match self.orders.recv().await {
            Ok(order) if !self.driver.halted.get() => self.begin(order),
            _ => future::pending().await,
        }
    }

    fn begin(&mut self, order: DispatchOrder) -> DispatchOrder {
        if let DispatchOrder::Attempt { .. } = order {
            self.out = Some((self.attempts, Instant::now()));
            self.attempts += 1;
            self.set_out(true);
            self.driver.calls.set(self.driver.calls.get() + 1);
        } else {
            self.over = true;
        }
        order
    }

    fn set_out(&self, out: bool) {
        self.driver
            .inner
            .borrow_mut()
            .tickets
            .entry(self.id)
            .and_modify(|p| p.out = out);
    }

    /// Tells the module how the call that is out ended.
    pub fn report_attempt(&mut self, report: AttemptReport) {
        let Some((attempt, sent)) = self.out.take() else {
            return;
        };
        self.set_out(false);
        self.driver.calls.set(self.driver.calls.get() - 1);
        let _ = self.driver.idle.0.try_send(());
        self.over |= report.message_closed;
        self.driver.turn(Event::AttemptEnded {
            id: self.id,
            attempt,
            outcome: report.outcome,
            took: sent.elapsed().as_nanos() as Nanos,
            finished: report.message_closed,
            report: report.load_report,
        });
    }
}

impl Drop for MessageHandle {
    fn drop(&mut self) {
        if !self.over {
            self.driver.turn(Event::ClientGone(self.id));
        }
        // An order to call that was never begun holds a slot too.
        while self.out.is_none() && self.try_next_order().is_some() {}
        self.report_attempt(AttemptReport {
            message_closed: true,
            ..Outcome::NotSent.into()
        });
        self.driver.inner.borrow_mut().tickets.remove(&self.id);
    }
}
