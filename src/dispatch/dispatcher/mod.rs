//! One dispatcher: takes events, decides, gives actions.
//!
//! Decides when, where and how often each message is attempted, and when it is given up. Inputs:
//! [`Event`]s and the time. Outputs: [`Action`]s. Callers: the delivery part's driver, and the
//! simulator. No I/O and no clock: with the same seed and the same events it gives the same
//! actions.
//!
//! Usual path: a [`DestinationQueue`] per destination holds its messages, pauses all sends for the
//! longest told wait, sends rejected messages again first and bounds the calls that it may have in
//! flight. `docs/design.md` says why.
//!
//! By concern: [`admission`] takes messages and ends those that can't be delivered; [`priority`]
//! says how much a send is worth; [`scheduling`] picks the next message; [`sending`] makes a call
//! of it; [`endpoint_choice`] says where it goes; [`capacity`] what an endpoint takes;
//! [`attempt_results`] learns from what came of it; [`endpoint_list`] follows the list.

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

/// Most log lines of one dispatcher: a flapping endpoint must not fill the disk.
const MAX_LOG_LINES: u32 = 150;

/// One instance of the decision module: settings, random numbers and what it has seen.
#[derive(Debug, Default)]
pub struct Dispatcher {
    settings: Settings,
    random: Random,
    /// Spreads messages over routes differently from other senders that began in the same moment.
    route_salt: u64,
    /// Where messages may go, if not wherever the list says.
    routes: Option<Rc<Routes>>,
    endpoints: BTreeMap<EndpointAddress, EndpointState>,
    destinations: BTreeMap<DestinationId, DestinationQueue>,
    /// Destinations with messages that are not over.
    backlogged: BTreeSet<DestinationId>,
    /// A queue found no free call: the next call that ends has all looked at.
    is_starved: bool,
    /// It began with messages of an earlier process.
    has_resumed: bool,
    /// Longest time that a message has, in nanoseconds.
    longest_deadline: Nanos,
    pending: BTreeMap<MessageId, PendingMessage>,
    /// Messages that are left of those held at the last change of settings, or fewer: none goes for
    /// want of room under them.
    held_before_change: usize,
    attempts: BTreeMap<AttemptId, InFlightAttempt>,
    calls: BTreeMap<u64, InFlightCall>,
    next_call: u64,
    ordered_keys: BTreeMap<u64, OrderedKeyQueue>,
    stale_connections: StaleConnectionDetector,
    /// By position of the kind.
    kind_stats: Vec<DestinationKindStats>,
    /// Messages a second, by tenant.
    tenant_rates: Vec<Meter>,
    traffic_share: TrafficShare,
    /// When the first events came; 0 before.
    started_at: Nanos,
    now: Nanos,
    /// When the last wake-up asked for comes.
    wake_at: Nanos,
    /// When unused ordering keys are dropped next.
    sweep_at: Nanos,
    /// Polls the endpoint list, where it is not pushed.
    poller: Option<EndpointListPoller>,
    log_lines: u32,
    /// What to do, in order, collected while events are handled.
    actions: Vec<Action>,
}

impl Dispatcher {
    /// A dispatcher that knows nothing yet. The seed spreads its trials apart from those of other
    /// senders.
    ///
    /// # Errors
    /// The settings are none that a sender can work by ([`Settings::check`]).
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

    /// Takes what happened at `now` and appends what to do.
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

    /// Whether nothing may be called, as whatever has changed counts as told
    /// ([`EndpointListPoller::is_stale`]).
    pub fn is_list_stale(&self, now: Nanos) -> bool {
        let poller = self.poller.as_ref();
        poller.is_some_and(|poller| poller.is_stale(now))
    }

    /// How fresh the list is, and when it is polled next; nothing where it is not polled.
    pub fn list_status(&self, now: Nanos) -> Option<ListStatus> {
        self.poller.as_ref().map(|poller| poller.status(now))
    }

    /// Entries of the tables that grow with use, by the names that the sender's log gives them.
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

    /// Fewer calls at once let calls end, and less room lets messages: only what comes then has to
    /// fit.
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
            // What is held may have another route now.
            self.check_backlog();
        }
    }

    /// The route of a message, where there are routes.
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

    /// The class of a message; the last one for a position that is beyond them.
    fn class(&self, message: &Message) -> &Class {
        let classes = &self.settings.classes;
        &classes[usize::from(message.class).min(classes.len() - 1)]
    }

    /// The queue of a destination; a new one where there is none.
    fn queue(&mut self, dest: DestinationId) -> &mut DestinationQueue {
        let arrivals = Meter::new(self.started_at, RATE_MEMORY.fade_seconds);
        self.destinations
            .entry(dest)
            .or_insert_with(|| DestinationQueue {
                arrivals,
                ..DestinationQueue::default()
            })
    }

    /// Has all queues with messages looked at in this turn.
    fn check_backlog(&mut self) {
        for dest in &self.backlogged {
            if let Some(queue) = self.destinations.get_mut(dest) {
                queue.check_at = 0;
            }
        }
    }

    /// Has a queue looked at by then.
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
