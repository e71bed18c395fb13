//! One dispatcher: processes events, decides and returns actions.
//!
//! Decides when, where and how often each message is attempted, and when it is ended undelivered.
//! Inputs: [`Event`]s and the time. Outputs: [`Action`]s. Callers: the driver in the delivery part,
//! and the simulator. No I/O and no clock: the same seed and the same events give the same actions.
//!
//! In the usual case, a [`DestinationQueue`] per destination holds its messages, pauses all sends
//! until the latest Retry-After has passed, retries rejected messages first and limits the calls in
//! flight. `docs/design.md` gives the reasons.
//!
//! By concern: [`admission`] admits messages and ends those that cannot be delivered; [`priority`]
//! computes how urgent a send is; [`scheduling`] picks the next message; [`sending`] makes a call
//! of it; [`endpoint_choice`] chooses its endpoint; [`capacity`] limits the calls to an endpoint;
//! [`attempt_results`] processes results; [`endpoint_list`] applies the endpoint list.

mod admission;
mod attempt_results;
mod capacity;
mod endpoint_choice;
mod endpoint_list;
mod priority;
mod scheduling;
mod sending;

use crate::dispatch::api::*;
use crate::dispatch::endpoint_health::EndpointState;
use crate::dispatch::list_polling::{EndpointListPoller, ListStatus};
use crate::dispatch::rate_control::DestinationKindStats;
use crate::dispatch::rate_quota::TrafficShare;
use crate::dispatch::routing::{message_draw, RouteKey, RouteMatch, Routes};
use crate::dispatch::stale_connections::StaleConnectionDetector;
use crate::dispatch::state::*;
use crate::dispatch::statistics::{Meter, Random, RATE_MEMORY};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Largest number of log lines of one dispatcher: a flapping endpoint must not fill the disk.
const MAX_LOG_LINES: u32 = 150;

/// One instance of the decision module: settings, random numbers and observed state.
#[derive(Debug, Default)]
pub struct Dispatcher {
    settings: Settings,
    random: Random,
    /// Salt that spreads messages over routes differently from other senders that started at the
    /// same moment.
    route_salt: u64,
    /// Routes that limit where messages may go; without them the endpoint list alone decides.
    routes: Option<Rc<Routes>>,
    endpoints: BTreeMap<EndpointAddress, EndpointState>,
    destinations: BTreeMap<DestinationId, DestinationQueue>,
    /// Destinations with pending messages.
    backlogged: BTreeSet<DestinationId>,
    /// Whether a queue found no free call: the next call that ends has all queues checked.
    is_starved: bool,
    /// Whether it started with messages of an earlier process.
    has_resumed: bool,
    /// Longest deadline of any class, in nanoseconds.
    longest_deadline: Nanos,
    pending: BTreeMap<MessageId, PendingMessage>,
    /// Upper bound of the messages left of those pending at the last change of settings: down to
    /// that number none is shed under a lowered limit.
    held_before_change: usize,
    attempts: BTreeMap<AttemptId, InFlightAttempt>,
    calls: BTreeMap<u64, InFlightCall>,
    next_call: u64,
    ordered_keys: BTreeMap<u64, OrderedKeyQueue>,
    stale_connections: StaleConnectionDetector,
    /// Statistics by position of the kind.
    kind_stats: Vec<DestinationKindStats>,
    /// Messages per second, by tenant.
    tenant_rates: Vec<Meter>,
    traffic_share: TrafficShare,
    /// Time of the first events; 0 before.
    started_at: Nanos,
    now: Nanos,
    /// Time of the last requested wake-up.
    wake_at: Nanos,
    /// Time at which unused ordering keys are dropped next.
    sweep_at: Nanos,
    /// Poller of the endpoint list, where the list must be polled.
    poller: Option<EndpointListPoller>,
    log_lines: u32,
    /// Actions in order, collected while events are handled.
    actions: Vec<Action>,
}

impl Dispatcher {
    /// Creates a dispatcher without endpoints or messages. The seed makes the times of its trials
    /// differ from those of other senders.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid ([`Settings::check`]).
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let kinds = settings.kinds.len().max(1);
        let deadlines = settings.classes.iter().map(|class| class.deadline);
        Ok(Dispatcher {
            longest_deadline: deadlines.max().unwrap_or(0),
            tenant_rates: vec![Meter::default(); settings.tenants.len()],
            kind_stats: vec![DestinationKindStats::new(); kinds],
            settings,
            random: Random::new(seed),
            route_salt: seed,
            ..Dispatcher::default()
        })
    }

    /// Processes the events that happened at `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Nanos, events: &[Event], out: &mut Vec<Action>) {
        // A clock that steps back must not make spans negative.
        self.now = self.now.max(now);
        let now = self.now;
        if self.started_at == 0 {
            self.begin(now);
        }
        for event in events {
            self.apply(now, event);
        }
        if let Some(poller) = &mut self.poller {
            if poller.begin_due_poll(now) {
                self.actions.push(Action::WatchList);
            }
        }
        self.end_undeliverable(now);
        self.send_due(now);
        self.request_wake_up(now);
        out.append(&mut self.actions);
    }

    fn begin(&mut self, now: Nanos) {
        self.started_at = now;
        self.traffic_share = TrafficShare::new(now);
        if self.settings.poll_list {
            let poller = EndpointListPoller::new(now, &self.settings, || self.random.draw());
            if let Some(warning) = poller.overload_warning() {
                self.log(warning);
            }
            self.poller = Some(poller);
        }
        for rate in &mut self.tenant_rates {
            *rate = Meter::new(now, RATE_MEMORY.fade_seconds);
        }
    }

    fn apply(&mut self, now: Nanos, event: &Event) {
        if let Some(poller) = &mut self.poller {
            if event.tells_list() {
                poller.record_event(now);
            }
        }
        match event {
            Event::List(listings) | Event::CachedList(listings) => {
                self.apply_list(now, listings, true);
            }
            Event::ListChanges(listings) | Event::ListOverrides(listings) => {
                self.apply_list(now, listings, false);
            }
            Event::ListFailed => {
                if let Some(poller) = &mut self.poller {
                    poller.record_failure(now, || self.random.draw());
                }
            }
            Event::ListSourceMoved => {
                if let Some(poller) = &mut self.poller {
                    poller.source_moved(now, || self.random.draw());
                }
            }
            Event::Arrived(message) => self.admit(now, *message, PendingMessage::default()),
            Event::Resumed { message, prior } => {
                self.has_resumed = true;
                self.admit(now, *message, PendingMessage::resumed(now, prior));
            }
            Event::AttemptEnded {
                id,
                attempt,
                outcome,
                took,
                finished,
                report,
            } => {
                let ended = AttemptId {
                    message: *id,
                    attempt: *attempt,
                };
                self.attempt_ended(now, ended, *outcome, *took, report);
                if *finished {
                    self.forget(*id);
                }
            }
            Event::ClientGone(id) => self.forget(*id),
            Event::SettingsChanged(changed) => self.change_settings(changed),
            Event::RoutesChanged(routes) => self.change_routes(routes),
            Event::HealthCheckEnded { .. } | Event::TimerFired => {}
        }
    }

    /// Whether no call may be made because the list may lack a change that must be known by now
    /// ([`EndpointListPoller::is_stale`]).
    pub fn is_list_stale(&self, now: Nanos) -> bool {
        let poller = self.poller.as_ref();
        poller.is_some_and(|poller| poller.is_stale(now))
    }

    /// Returns how fresh the list is and when it is polled next; none where it is not polled.
    pub fn list_status(&self, now: Nanos) -> Option<ListStatus> {
        self.poller.as_ref().map(|poller| poller.status(now))
    }

    /// Returns the sizes of the tables that grow with use, by their names in the sender's log.
    pub fn table_sizes(&self) -> [(&'static str, usize); 5] {
        let queues = self.destinations.values();
        let controllers = queues.map(|queue| queue.controllers.len()).sum();
        [
            ("held", self.pending.len()),
            ("out", self.attempts.len()),
            ("keys", self.ordered_keys.len()),
            ("hosts", self.endpoints.len()),
            ("gates", controllers),
        ]
    }

    /// Applies changed settings. Lowered limits apply to new calls and messages only: calls in
    /// flight and pending messages end as they would have.
    fn change_settings(&mut self, changed: &RuntimeSettings) {
        if changed.max_in_flight_calls > self.settings.max_in_flight_calls {
            self.check_backlog();
        }
        self.settings.change(changed);
        self.held_before_change = self.pending.len();
    }

    fn change_routes(&mut self, routes: &Rc<Routes>) {
        let had_routes = self.routes.is_some();
        self.routes = (!routes.is_empty()).then(|| routes.clone());
        if had_routes || self.routes.is_some() {
            // Pending messages may have another route now.
            self.check_backlog();
        }
    }

    /// Returns the route of a message, where there are routes.
    fn route_of<'a>(
        &self,
        routes: &'a Option<Rc<Routes>>,
        message: &Message,
    ) -> Option<RouteMatch<'a>> {
        let key = RouteKey {
            dest: message.dest,
            class: message.class,
            tenant: message.tenant,
            draw: message_draw(self.route_salt, message.id),
        };
        routes.as_ref().map(|routes| routes.find(&key))
    }

    /// Returns the class of a message; the last class for a position beyond the list.
    fn class(&self, message: &Message) -> &Class {
        let classes = &self.settings.classes;
        &classes[usize::from(message.class).min(classes.len() - 1)]
    }

    /// Returns the queue of a destination; a new one where there is none.
    fn queue(&mut self, dest: DestinationId) -> &mut DestinationQueue {
        let arrivals = Meter::new(self.started_at, RATE_MEMORY.fade_seconds);
        self.destinations
            .entry(dest)
            .or_insert_with(|| DestinationQueue {
                arrivals,
                ..DestinationQueue::default()
            })
    }

    /// Schedules a check of all queues with messages in this turn.
    fn check_backlog(&mut self) {
        for dest in &self.backlogged {
            if let Some(queue) = self.destinations.get_mut(dest) {
                queue.check_at = 0;
            }
        }
    }

    /// Schedules a check of a queue by the time `at`.
    fn check_queue_by(&mut self, dest: DestinationId, at: Nanos) {
        if let Some(queue) = self.destinations.get_mut(&dest) {
            queue.check_at = queue.check_at.min(at);
        }
    }

    fn log(&mut self, text: String) {
        if self.log_lines < MAX_LOG_LINES {
            self.log_lines += 1;
            self.actions.push(Action::Log(text));
        }
    }
}
