//! Every decision of the relay. The types it takes and gives back are in `src/interface.rs`.
//!
//! Ordinary path: a [`DestinationQueue`] per destination pauses all sends for the longest told wait,
//! sends refused calls again first, bounds calls by a pool; `docs/design.md`.

mod limits;

use crate::dispatch::api::*;
use crate::dispatch::endpoint_health::{Came, Health, Host, LATENCY_GUESS, TRIAL_GAPS};
use crate::dispatch::list_polling::EndpointListPoller;
use crate::dispatch::rate_control::{Gate, Lore, Refusal, RARE, SPENT};
use crate::dispatch::rate_quota::{lot, unseen, Part, Traffic};
use crate::dispatch::routing::{message_draw, RouteKey, RouteMatch, Routes};
use crate::dispatch::slow_start::{warmup_fraction, SlowStartQuota};
use crate::dispatch::stale_connections::Reaper;
use crate::dispatch::state::*;
use crate::dispatch::statistics::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// What a destination can do over what this relay saw it do, at least: limits leave room over mean
/// traffic.
const HEADROOM: f64 = 1.5;
/// Part of a rough listed rate that the destination takes at least: it may be half too high.
const ROUGH: f64 = 1.0 / 1.5;
/// Calls that all relays together may send in one overload window to what they know least of.
const LEAST_TRIALS: f64 = 4.0;
/// Suspicion that a kind is out of connections: where it closes after calls, and bound. Memory as
/// above.
const CROWDED: (f64, f64) = (1.0, 8.0);
/// A connection used this lately is not idle: about one call.
const REAP_LEAST: Nanos = 250 * MS;
/// How far a relay prefers an endpoint to its siblings by lot: else all would take the first one.
const TASTE: f64 = 0.3;
/// Weight of each further message in a call, as a part of a call: work and time grow with them.
const BATCH_WEIGHT: f64 = 0.25;
/// Seconds that the cost of a call grows by for each whole worth of a route's fee.
const FEE: f64 = 20.0;
/// Added to the cost of a trial, in seconds: one that serves goes first.
const TRIAL_LAST: f64 = 100.0;
const LOG_LINES: u32 = 150;
/// Time kept for the answer to travel: a message with less left is given up.
const LAST_CALL: Nanos = 250 * MS;
/// How often a sender that counts as told of what it does not know looks whether it still does.
const BLIND_LOOK: Nanos = 50 * MS;

/// An endpoint by its rank and cost, and whether the send is a trial.
type Choice = ((u16, f64), EndpointAddress, bool);

/// One relay: settings, seed and what it has seen.
#[derive(Debug, Default)]
pub struct Dispatcher {
    s: Settings,
    random: Random,
    /// Spreads messages over routes apart from siblings that began in the same moment.
    salt: u64,
    /// Where messages may go, if not all wherever the list says.
    routes: Option<Rc<Routes>>,
    hosts: BTreeMap<EndpointAddress, Host>,
    dests: BTreeMap<DestinationId, DestinationQueue>,
    waiting: BTreeSet<DestinationId>,
    /// A line found no slot: the next call that ends serves it.
    starved: bool,
    /// It began with messages of an earlier life.
    took_up: bool,
    /// Longest time that a message has.
    longest: Nanos,
    held: BTreeMap<MessageId, Held>,
    /// Messages that are left of those held at the last change of terms, or fewer: none goes for
    /// want of room under them.
    kept: usize,
    flights: BTreeMap<(MessageId, u16), Flight>,
    calls: BTreeMap<u64, Call>,
    keys: BTreeMap<u64, KeyLine>,
    reaper: Reaper,
    lore: Vec<Lore>,
    tenant_rate: Vec<Meter>,
    traffic: Traffic,
    next_call: u64,
    start: Nanos,
    now: Nanos,
    wake_at: Nanos,
    sweep_at: Nanos,
    asking: Option<EndpointListPoller>,
    logs: u32,
    out: Vec<Action>,
}

impl Dispatcher {
    /// A relay that knows nothing yet. The seed spreads its trials apart from those of its
    /// siblings.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let kinds = settings.kinds.len().max(1);
        Ok(Dispatcher {
            tenant_rate: vec![Meter::default(); settings.tenants.len()],
            lore: vec![Lore::new(); kinds],
            longest: settings
                .classes
                .iter()
                .map(|c| c.deadline)
                .max()
                .unwrap_or(0),
            s: settings,
            random: Random::new(seed),
            salt: seed,
            ..Dispatcher::default()
        })
    }

    /// Takes what happened at `now` and appends what to do.
    pub fn handle(&mut self, now: Nanos, events: &[Event], out: &mut Vec<Action>) {
        self.now = self.now.max(now); // a clock that steps back must not make spans negative
        let now = self.now;
        if self.start == 0 {
            (self.start, self.traffic) = (now, Traffic::new(now));
            self.asking = self
                .s
                .poll_list
                .then(|| EndpointListPoller::start(now, &self.s, || self.random.draw()));
            if let Some(told) = self.asking.as_ref().and_then(EndpointListPoller::too_many) {
                self.log(told);
            }
            self.tenant_rate
                .iter_mut()
                .for_each(|t| *t = Meter::new(now, RATE.0));
        }
        for e in events {
            self.asking
                .iter_mut()
                .filter(|_| e.tells_list())
                .for_each(|a| a.heard(now));
            match e {
                Event::List(l) | Event::CachedList(l) => self.list(now, l, true),
                Event::ListChanges(l) | Event::ListOverrides(l) => self.list(now, l, false),
                Event::ListFailed => {
                    self.asking
                        .iter_mut()
                        .for_each(|a| a.failed(now, || self.random.draw()));
                }
                Event::ListSourceMoved => {
                    self.asking
                        .iter_mut()
                        .for_each(|a| a.moved(now, || self.random.draw()));
                }
                Event::Arrived(m) => self.arrived(now, *m, Held::default()),
                Event::Resumed { message, prior } => {
                    self.took_up = true;
                    self.arrived(now, *message, Held::resumed(now, prior));
                }
                Event::AttemptEnded {
                    id,
                    attempt,
                    outcome,
                    took,
                    finished,
                    report,
                } => {
                    self.ended(now, (*id, *attempt), *outcome, *took, report);
                    if *finished {
                        self.forget(*id);
                    }
                }
                Event::ClientGone(id) => self.forget(*id),
                Event::SettingsChanged(terms) => self.change(terms),
                Event::RoutesChanged(routes) => self.route(routes),
                Event::HealthCheckEnded { .. } | Event::TimerFired => {}
            }
        }
        if self.asking.as_mut().is_some_and(|a| a.due(now)) {
            self.out.push(Action::WatchList);
        }
        self.give_up(now);
        self.pump(now);
        self.arm(now);
        out.append(&mut self.out);
    }

    /// Whether nothing may be called, as whatever has changed counts as told
    /// ([`EndpointListPoller::is_stale`]).
    pub fn is_list_stale(&self, now: Nanos) -> bool {
        self.asking.as_ref().is_some_and(|a| a.is_stale(now))
    }

    /// How long the list may still be trusted, if nothing is heard; nothing where it is not asked
    /// for.
    pub fn list_remaining_freshness(&self, now: Nanos) -> Option<Nanos> {
        self.asking.as_ref().map(|a| a.remaining_freshness(now))
    }

    /// Entries of the tables that grow with use.
    pub fn table_sizes(&self) -> [(&'static str, usize); 5] {
        let gates = self.dests.values().map(|d| d.gates.len()).sum();
        let (held, out, keys, hosts) = (&self.held, &self.flights, &self.keys, &self.hosts);
        [
            ("held", held.len()),
            ("out", out.len()),
            ("keys", keys.len()),
            ("hosts", hosts.len()),
            ("gates", gates),
        ]
    }

    /// Pools that shrink let calls end, and room that shrinks lets messages: only what comes then
    /// has to fit.
    fn change(&mut self, terms: &RuntimeSettings) {
        let starved = self
            .waiting
            .iter()
            .filter(|_| terms.max_in_flight_calls > self.s.max_in_flight_calls);
        starved.for_each(|d| _ = self.dests.entry(*d).and_modify(|d| d.look_at = 0));
        self.s.change(terms);
        self.kept = self.held.len();
    }

    fn route(&mut self, routes: &Rc<Routes>) {
        let before = std::mem::replace(
            &mut self.routes,
            (!routes.is_empty()).then(|| routes.clone()),
        );
        if before.is_some() || self.routes.is_some() {
            // What is held may have another way now.
            self.waiting
                .iter()
                .for_each(|d| _ = self.dests.entry(*d).and_modify(|d| d.look_at = 0));
        }
    }

    /// The way of a message, where there are routes.
    fn way<'a>(&self, routes: &'a Option<Rc<Routes>>, m: &Message) -> Option<RouteMatch<'a>> {
        let Message {
            dest,
            class,
            tenant,
            id,
            ..
        } = *m;
        routes.as_ref().map(|r| {
            r.find(&RouteKey {
                dest,
                class,
                tenant,
                draw: message_draw(self.salt, id),
            })
        })
    }

    fn log(&mut self, text: String) {
        if self.logs < LOG_LINES {
            self.logs += 1;
            self.out.push(Action::Log(text));
        }
    }

    fn list(&mut self, now: Nanos, lines: &[Listing], whole: bool) {
        let (mut stale, mut fresh, last_kind) = (Vec::new(), Vec::new(), self.lore.len() - 1);
        if whole {
            self.hosts.values_mut().for_each(|h| h.ready = false);
            stale.extend(self.hosts.keys().copied());
        }
        for l in lines {
            if self
                .hosts
                .get(&l.endpoint)
                .is_some_and(|h| h.dest != l.dest)
            {
                self.drop_host(l.endpoint, true);
            }
            let d = self.dest(l.dest);
            let known = !d.hosts.is_empty() || !d.gates.is_empty();
            d.look_at = 0;
            d.hosts.insert(l.endpoint);
            if known && !self.hosts.contains_key(&l.endpoint) {
                fresh.push(l.endpoint);
            }
            let taste = 1.0 - TASTE * self.random.draw();
            let host = self.hosts.entry(l.endpoint).or_insert_with(|| Host {
                taste,
                ..Host::new(l, now)
            });
            host.ready = l.condition == Condition::Ready;
            (host.kind, host.listed) = (usize::from(l.kind).min(last_kind), f64::from(l.rate));
            stale.push(l.endpoint);
        }
        self.traffic
            .list(self.hosts.values().filter(|h| h.ready).map(|h| h.listed));
        // For rare callers an outage outlives its endpoints: what is new beside or after them is
        // tried first.
        for e in &fresh {
            let dest = self.hosts[e].dest;
            let old = self.dests[&dest]
                .hosts
                .iter()
                .filter(|o| !fresh.contains(o))
                .map(|o| &self.hosts[o]);
            let rare = self.dests[&dest].demand.rate(now) * RATE.0 < 1.0;
            let sick =
                self.dests[&dest].lost > 0.0 || old.clone().any(|h| h.health == Health::Ejected);
            if rare && sick {
                let base = old.map(|h| h.base).fold(self.dests[&dest].lost, f64::max);
                self.hosts
                    .entry(*e)
                    .and_modify(|h| (h.health, h.base) = (Health::Ejected, base));
                self.by_lot(dest, e);
            }
        }
        for e in stale {
            self.drop_host(e, false);
        }
    }

    fn drop_host(&mut self, e: EndpointAddress, moved: bool) {
        if !self
            .hosts
            .get(&e)
            .is_some_and(|h| moved || !h.ready && h.calls == 0)
        {
            return;
        }
        let Some(h) = self.hosts.remove(&e) else {
            return;
        };
        if let Some(d) = self.dests.get_mut(&h.dest) {
            d.hosts.remove(&e);
            d.lost = if h.health == Health::Ejected {
                h.base.max(f64::MIN_POSITIVE)
            } else {
                d.lost
            };
            // A route's gate goes with it: endpoints are replaced for ever, and their names never
            // come back.
            d.proven = d
                .gates
                .remove(&Some(e))
                .map_or(d.proven, |g| d.proven.max(g.proven));
        }
    }

    fn dest(&mut self, dest: DestinationId) -> &mut DestinationQueue {
        let demand = Meter::new(self.start, RATE.0);
        self.dests.entry(dest).or_insert_with(|| DestinationQueue {
            demand,
            ..DestinationQueue::default()
        })
    }

    fn class(&self, m: &Message) -> &Class {
        &self.s.classes[usize::from(m.class).min(self.s.classes.len() - 1)]
    }

    fn arrived(&mut self, now: Nanos, m: Message, past: Held) {
        let class = self.class(&m);
        let (deadline, ordered_by_key) = (
            now.saturating_add(m.ttl),
            class.ordered_by_key && m.key != 0,
        );
        let born = deadline.saturating_sub(class.deadline);
        self.traffic.handed_in(now, m.ttl, class.deadline);
        let over_share = self.over_share(now, m.tenant);
        if ordered_by_key {
            self.keys.entry(m.key).or_default().turn.push_back(m.id);
        }
        self.held.insert(
            m.id,
            Held {
                m,
                deadline,
                born,
                over_share,
                ..past
            },
        );
        let d = self.dest(m.dest);
        d.demand.hit(now, RATE);
        d.line.insert(m.id);
        d.look_at = 0;
        self.waiting.insert(m.dest);
        self.make_room(now);
    }

    /// Whether a tenant sends clearly more than its share of what all send here; one alone shows
    /// nothing. What none of the tenants in the settings sends is within nobody's share.
    fn over_share(&mut self, now: Nanos, tenant: u16) -> bool {
        let i = usize::from(tenant);
        let Some(share) = self.s.tenants.get(i).map(|t| t.share.clamp(0.0, 1.0)) else {
            return !self.s.tenants.is_empty();
        };
        let mine = self.tenant_rate[i].hit(now, RATE);
        let others = self.tenant_rate.iter().map(|t| t.rate(now)).sum::<f64>() - mine;
        share < 1.0 && mine > 1.6 * share * others / (1.0 - share) + 1.0
    }

    /// Keeps room, so that what comes next is judged here and not turned away unseen: the longest
    /// line pays.
    fn make_room(&mut self, now: Nanos) {
        self.kept = self.kept.min(self.held.len() - 1); // without the one that came
        let most = (self.s.max_held_messages as usize * 9 / 10)
            .max(1)
            .max(self.kept);
        while self.held.len() > most {
            let Some(&dest) = self.waiting.iter().max_by_key(|d| self.dests[d].line.len()) else {
                return;
            };
            let drain = self.drain_time(now, dest);
            let line = self.dests[&dest].line.iter();
            let worst = line.filter(|id| !self.held[id].out && self.may(&self.held[id], now).1);
            let worst = worst.map(|id| (self.worth_at(&self.held[id], now + drain / 2), *id));
            let Some((_, id)) = worst.min_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))) else {
                return;
            };
            self.end(now, id, drain);
        }
    }

    /// The one place that answers: may this message be sent again (to that zone), and may it be
    /// refused?
    fn may(&self, h: &Held, now: Nanos) -> (bool, bool) {
        let class = self.class(&h.m);
        let more = h.attempts < self.s.class_limits(h.m.class).max_attempts && !h.out;
        match (h.ran, class.effect) {
            (None, _) | (_, Effect::Idempotent) => (more, !h.out),
            (Some((at, _)), Effect::IdempotentWithKey) => (
                more && now < at + class.dedup_window,
                !h.out && class.dedup_scope == DedupScope::All,
            ),
            (Some(_), Effect::NotIdempotent) => (false, false),
        }
    }

    /// Ends a message: refused with the wait where that is safe, else failed.
    fn end(&mut self, now: Nanos, id: MessageId, wait: Nanos) {
        let Some(h) = self.held.get(&id) else { return };
        let retry_after = if self.s.sends_retry_after {
            wait.min(self.s.class_limits(h.m.class).max_retry_after)
        } else {
            0
        };
        let refuse = self.may(h, now).1;
        self.out.push(if refuse {
            Action::Reject { id, retry_after }
        } else {
            Action::Fail { id }
        });
        self.forget(id);
    }

    fn forget(&mut self, id: MessageId) {
        let Some(h) = self.held.remove(&id) else {
            return;
        };
        if let Some(d) = self.dests.get_mut(&h.m.dest) {
            d.line.remove(&id);
            d.look_at = 0;
            if d.line.is_empty() {
                self.waiting.remove(&h.m.dest);
            }
        }
        if let Some(k) = self.keys.get_mut(&h.m.key) {
            k.turn.retain(|i| *i != id);
        }
    }

    /// Ends at once what can't be delivered any more: no time, no attempt left, or a pause that
    /// outlasts it.
    fn give_up(&mut self, now: Nanos) {
        let mut over = Vec::new();
        let lines = self.waiting.iter().map(|d| (*d, &self.dests[d]));
        for (dest, d) in lines.filter(|(_, d)| d.look_at <= now) {
            let told =
                |e: &EndpointAddress| d.gates.get(&self.gate_of(e)).map_or(0, |g| g.told_until);
            let all = d.hosts.iter().map(told).min().unwrap_or(0);
            for (&id, h) in d
                .line
                .iter()
                .map(|id| (id, &self.held[id]))
                .filter(|(_, h)| !h.out)
            {
                let way = self.way(&self.routes, &h.m);
                if way.is_some_and(|w| !w.has_zones()) && self.may(h, now).1 {
                    over.push((id, Nanos::MAX, dest)); // nobody is to serve it: its client hears it now
                    continue;
                }
                let led = |w: RouteMatch| {
                    let hosts = d
                        .hosts
                        .iter()
                        .filter(|e| w.rank(self.hosts[*e].zone).is_some());
                    hosts.map(told).min().unwrap_or(0)
                };
                let until = way.map_or(all, led);
                let start = now.max(until).max(h.not_before);
                if start + LAST_CALL >= h.deadline || !self.may(h, start).0 {
                    over.push((id, until.saturating_sub(now), dest));
                }
            }
        }
        for (id, wait, dest) in over {
            let wait = if wait > 0 {
                wait
            } else {
                self.drain_time(now, dest)
            };
            self.end(now, id, wait);
        }
    }

    fn worth_at(&self, h: &Held, at: Nanos) -> f64 {
        if at >= h.deadline {
            return 0.0;
        }
        let worth = self
            .class(&h.m)
            .weight_at_age(at.saturating_sub(h.born), self.s.decay);
        worth
            * if h.over_share {
                self.s.over_share_weight
            } else {
                1.0
            }
    }

    /// Time until the line of a destination is empty at the pace seen.
    fn drain_time(&self, now: Nanos, dest: DestinationId) -> Nanos {
        let Some(d) = self.dests.get(&dest) else {
            return 0;
        };
        let rate: f64 = d
            .hosts
            .iter()
            .map(|e| self.hosts[e].base)
            .sum::<f64>()
            .max(0.5);
        let pause = d
            .gates
            .values()
            .map(Gate::until)
            .max()
            .unwrap_or(0)
            .saturating_sub(now);
        pause + secs((d.line.len() as f64 / rate).min(60.0))
    }

    /// Worth saved by sending now rather than when the line has drained; a little for worth as
    /// such.
    fn urgency(&self, h: &Held, now: Nanos, horizon: Nanos) -> f64 {
        let soon = now + secs(LATENCY_GUESS);
        let v = self.worth_at(h, soon);
        v - self.worth_at(h, soon + horizon) + 0.05 * v
    }

    /// Pause and pace are the destination's, or the endpoint's own where endpoints are routes
    /// apart.
    fn gate_of(&self, e: &EndpointAddress) -> Option<EndpointAddress> {
        let kind = self.hosts.get(e).and_then(|h| self.s.kinds.get(h.kind));
        kind.is_some_and(|k| k.separate_routes).then_some(*e)
    }

    fn gate(&mut self, dest: DestinationId, e: &EndpointAddress) -> &mut Gate {
        let (of, start) = (self.gate_of(e), self.start);
        self.dest(dest)
            .gates
            .entry(of)
            .or_insert_with(|| Gate::new(start))
    }

    /// What this relay may send to endpoints that are down or coming back: its part of what they
    /// can take cold, times the factor, grown by the warm-up since the first success.
    fn ramp(&mut self, now: Nanos, dest: DestinationId, e: &EndpointAddress) -> SlowStartQuota {
        let (gate, fair) = (self.gate_of(e), self.fair(dest, e));
        let (mut rate, mut growth) = (0.0, 0.0);
        let span = to_secs(self.s.overload_window).max(0.1);
        let senders = f64::from(self.s.senders.max(1));
        let warmed = |t: f64| t / to_secs(self.s.slow_start_duration).max(0.1);
        let parts = if gate.is_some() {
            1
        } else {
            self.dests[&dest].hosts.len()
        };
        for o in &self.dests[&dest].hosts {
            let h = &self.hosts[o];
            let warm = match h.health {
                Health::Healthy => continue,
                Health::SlowStart => warmed(to_secs(now - h.since)),
                // Not longer than an overload takes: the more senders, the longer since each of
                // them tried.
                Health::Ejected => {
                    warmed(unseen(to_secs(now - h.failed_at), self.s.senders).min(span))
                }
            };
            if gate.is_none_or(|g| g == *o) {
                let can = fair.map_or(HEADROOM * h.base, |f| f / parts as f64);
                rate += self.s.overload_factor
                    * warmup_fraction(self.s.slow_start_fraction, warm)
                    * can;
                growth += self.s.overload_factor
                    * (1.0 - self.s.slow_start_fraction)
                    * warmed(span).min(1.0)
                    * can;
            }
        }
        let all = span * senders;
        rate += fair.map_or(LEAST_TRIALS / all, |_| 0.0);
        SlowStartQuota::of(rate * all, growth * all, span, self.s.senders)
    }

    /// Refills and returns the budget of such calls, and its rate.
    fn budget(&mut self, now: Nanos, dest: DestinationId, e: &EndpointAddress) -> (f64, f64) {
        let ramp = self.ramp(now, dest, e);
        let g = self.gate(dest, e);
        g.budget = ramp.due(g.budget, to_secs(now - g.budget_at));
        g.budget_at = now;
        (g.budget, ramp.rate)
    }

    /// Rare callers of a large fleet each come by less than a call: who may try first is drawn by
    /// lot.
    fn by_lot(&mut self, dest: DestinationId, e: &EndpointAddress) {
        let (now, lot) = (self.now, self.random.draw());
        let needed = self.ramp(now, dest, e).needs_lot();
        let g = self.gate(dest, e);
        let known = if needed { 0.0 } else { g.known(now).powi(2) };
        (g.budget, g.budget_at) = (g.budget.min(mix(known, 1.0, lot)), now);
    }

    fn ended(
        &mut self,
        now: Nanos,
        at: (MessageId, u16),
        outcome: Outcome,
        took: Nanos,
        report: &[f32],
    ) {
        let Some(f) = self.flights.remove(&at) else {
            return;
        };
        let unsure = matches!(
            outcome,
            Outcome::Timeout | Outcome::Reset | Outcome::Cancelled
        );
        if let Some(k) = self.keys.get_mut(&f.key).filter(|_| f.key != 0) {
            k.out = k.out.saturating_sub(1);
            if unsure {
                (k.rest_until, k.rest_for) = (now + self.s.ordered_key_pause, at.0);
            }
        }
        let Some(call) = self.calls.get_mut(&f.call) else {
            return;
        };
        call.left -= 1;
        let (first, trial, dest, host, sent) =
            (!call.counted, call.trial, call.dest, call.host, call.sent);
        let (idle, again) = (call.idle, call.again);
        call.counted = true;
        if call.left == 0 {
            self.calls.remove(&f.call);
            self.hosts
                .entry(host)
                .and_modify(|h| h.calls = h.calls.saturating_sub(1));
            if std::mem::take(&mut self.starved) {
                for d in &self.waiting {
                    self.dests.entry(*d).and_modify(|d| d.look_at = 0);
                }
            }
        }
        if first && again && matches!(outcome, Outcome::Delivered | Outcome::Rejected { .. }) {
            let kind = self.hosts.get(&host).map_or(0, |h| h.kind);
            self.lore[kind].tried(outcome == Outcome::Delivered);
        }
        if first {
            let lost = matches!(outcome, Outcome::Timeout | Outcome::Reset);
            if (lost || outcome == Outcome::Delivered) && !trial {
                self.reaper.learn(now, idle, lost);
            }
            if let Some(h) = self.hosts.get_mut(&host) {
                (h.used_at, h.doubt_link) = (Some(now), h.doubt_link || lost);
            }
            self.connected(now, host, outcome);
            let told = self.limit_of(report);
            if let Some((_, limit)) = told {
                self.gate(dest, &host).limit = limit;
            }
            if !(idle && lost && self.reaper.doubts(now)) {
                let left = told.map(|t| t.0);
                self.learn(now, host, outcome, now.saturating_sub(took), trial, left);
            }
            if let Some((left, limit)) = told {
                let fair = limit / f64::from(self.s.senders.max(1));
                self.gate(dest, &host).reported(now, left, limit, fair);
            }
        }
        self.look_again(dest, 0);
        if let Outcome::Rejected { wait } = outcome {
            let g = self.gate(dest, &host);
            g.told_until = g.told_until.max(now + wait);
        }
        self.drop_host(host, false);
        let jitter = self.random.draw();
        let Some(h) = self.held.get_mut(&at.0) else {
            return;
        };
        h.out = false;
        if unsure || outcome == Outcome::Error {
            h.ran.get_or_insert((sent, f.zone));
        }
        h.refused |= matches!(outcome, Outcome::Rejected { .. } | Outcome::ConnectFailed);
        if matches!(
            outcome,
            Outcome::Error | Outcome::Reset | Outcome::NotSent | Outcome::ConnectFailed
        ) {
            h.not_before = now + secs(0.1 * f64::from(1u32 << h.attempts.min(4)) * (0.5 + jitter));
        }
    }

    /// Some endpoints take few connections, idle ones counted, held by hundreds of relays: where a
    /// kind's endpoints turn connections away and answer soon after, none is kept idle there. Costs
    /// handshakes while it lasts; one that is down turns them away too, but does not answer.
    fn connected(&mut self, now: Nanos, e: EndpointAddress, outcome: Outcome) {
        let Some(h) = self.hosts.get_mut(&e) else {
            return;
        };
        let (kind, free, turned) = (h.kind, h.calls == 0, h.turned_at.take());
        h.turned_at = (outcome == Outcome::ConnectFailed && h.streak == 0).then_some(now);
        let failed =
            outcome == Outcome::Delivered && turned.is_some_and(|t| now < t + TRIAL_GAPS.1);
        let was = self.lore[kind].crowded.level(now);
        let level = (was + f64::from(u8::from(failed))).min(CROWDED.1);
        self.lore[kind].crowded = Reaper { level, at: now };
        if level < CROWDED.0 {
            return;
        }
        let mut idle: Vec<EndpointAddress> = Vec::from_iter(free.then_some(e));
        if was < CROWDED.0 {
            let others = self
                .hosts
                .iter()
                .filter(|(_, h)| h.kind == kind && h.calls == 0);
            idle = others
                .filter(|(_, h)| h.used_at.is_some())
                .map(|(o, _)| *o)
                .collect();
        }
        for endpoint in idle {
            self.hosts.entry(endpoint).and_modify(|h| h.used_at = None);
            self.out.push(Action::CloseIdle { endpoint });
        }
    }

    /// What one call, or probe, tells of an endpoint and its destination.
    fn learn(
        &mut self,
        now: Nanos,
        e: EndpointAddress,
        end: Outcome,
        sent: Nanos,
        trial: bool,
        left: Option<f64>,
    ) {
        let draw = self.random.draw();
        let Some(dest) = self.hosts.get(&e).map(|h| h.dest) else {
            return;
        };
        let (known, fair) = (self.gate(dest, &e).known(now), self.fair(dest, &e));
        let of = Came {
            sent,
            trial,
            known,
            draw,
        };
        let Some(host) = self.hosts.get_mut(&e) else {
            return;
        };
        let (was, kind) = (host.health, host.kind);
        if host.streak == 0 && end != Outcome::Delivered && host.first_bad <= host.last_ok {
            host.first_bad = sent;
        }
        if !matches!(
            end,
            Outcome::Delivered | Outcome::Cancelled | Outcome::NotSent
        ) {
            host.failed_at = now; // a refusal too: one that is shut was not back yet
        }
        match end {
            Outcome::Delivered => {
                host.answered(now, &of, &self.s);
                self.gate(dest, &e).accept(now);
                self.dest(dest).lost = 0.0;
            }
            Outcome::Rejected { wait } => {
                let g = self.gate(dest, &e);
                let (begins, row) = (g.count(sent), g.refusals);
                let Some(host) = self.hosts.get_mut(&e) else {
                    return;
                };
                host.refused(now, (row, wait), left, &of, &self.s);
                let (hint, odd) = self.lore[kind].waits(wait);
                let refusal = Refusal {
                    sent,
                    wait,
                    hint,
                    cold: if odd {
                        to_secs(self.s.slow_start_duration)
                    } else {
                        0.0
                    },
                    crowd: self.lore[kind].crowd(),
                    spent: left.is_some_and(|l| l < SPENT),
                    known,
                    fair,
                    demand: self.dests[&dest].demand.rate(now),
                    jitter: draw,
                };
                self.gate(dest, &e).refused(now, &refusal);
                // Traffic is spread over routes by lot: where one is full, the others are not far
                // from it.
                self.dest(dest)
                    .gates
                    .values_mut()
                    .for_each(|g| g.stays_back(now));
                if begins {
                    self.log(format!("pause dest {dest}: full, told {} ms", wait / MS));
                }
            }
            Outcome::Error | Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => {
                let out = end == Outcome::ConnectFailed;
                let crowded = out && self.lore[kind].crowded.level(now) > CROWDED.0;
                host.failed(now, end, crowded, &of, &self.s);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        let Some(health) = self.hosts.get(&e).map(|h| h.health) else {
            return;
        };
        if was == Health::Healthy && health != Health::Healthy {
            self.by_lot(dest, &e);
        }
        if was != Health::Ejected && health == Health::Ejected {
            // Most outages take all endpoints of a destination: those not heard from since need a
            // trial too. A zone that stands behind by the routes is seldom heard from: its silence
            // says nothing.
            let (since, zone) = (
                self.hosts[&e].first_bad,
                self.routes.as_ref().map(|_| self.hosts[&e].zone),
            );
            for o in self.dests[&dest].hosts.iter().filter(|o| **o != e) {
                let h = self
                    .hosts
                    .get_mut(o)
                    .filter(|h| h.health == Health::Healthy && h.last_ok < since);
                let h = h.filter(|h| zone.is_none_or(|z| z == h.zone));
                let Some(h) = h else { continue };
                (h.health, h.trial_at, h.gap) = (Health::Ejected, now, TRIAL_GAPS.0);
                (h.first_bad, h.failed_at) = (now, now);
            }
        }
        if was != health {
            self.log(format!(
                "dest {dest} endpoint {:?}:{} {health:?} ({end:?})",
                e.addr, e.port
            ));
        }
    }

    /// Calls a destination may hold: under 3/4 of the slots, half while it ails; few until it
    /// answers.
    fn pool(&self, d: &DestinationQueue, ailing: bool) -> u32 {
        let proven = d.gates.values().map(|g| g.proven).fold(d.proven, u32::max);
        let most = if ailing {
            self.s.max_in_flight_calls / 2
        } else {
            (3 * self.s.max_in_flight_calls - 1) / 4
        };
        most.max(1).min(2 + proven)
    }

    /// Whether a destination fails or is slow, or is suspected to: a call is out far longer than
    /// usual.
    fn ailing(&self, now: Nanos, d: &DestinationQueue) -> bool {
        let late = |c: &Call| {
            let h = &self.hosts[&c.host];
            to_secs(now - c.sent) > (h.latency + 4.0 * h.spread).max(0.8) && h.last_ok < c.sent + MS
        };
        d.hosts.iter().any(|e| self.hosts[e].ails())
            || self
                .calls
                .values()
                .any(|c| d.hosts.contains(&c.host) && late(c))
    }

    /// What a route takes off the worth of each message; nothing where endpoints share one limit.
    /// It counts in full while half the slots are free: a cheap but slower route holds the slot
    /// that the next needs.
    fn fee(&self, h: &Host) -> f64 {
        let spare = 1.0 - self.calls.len() as f64 / f64::from(self.s.max_in_flight_calls.max(1));
        let apart = self.s.kinds.get(h.kind).is_some_and(|k| k.separate_routes);
        let fee = self.s.zone_fees.get(usize::from(h.zone)).filter(|_| apart);
        fee.map_or(0.0, |fee| fee * (2.0 * spare).clamp(0.0, 1.0))
    }

    /// Best endpoint for a message now, and whether the send is a trial; else when time alone may
    /// open one.
    fn choose(
        &mut self,
        now: Nanos,
        dest: DestinationId,
        zone: Option<u16>,
        safe: bool,
        way: Option<RouteMatch>,
    ) -> Result<(EndpointAddress, bool), Nanos> {
        let (mut best, mut later): (Option<Choice>, _) = (None, Nanos::MAX);
        let seen = self.dests[&dest]
            .hosts
            .iter()
            .map(|e| &self.hosts[e])
            .filter(|h| h.base > 0.0);
        let (n, sum) = seen.fold((0.0, 0.0), |(n, sum), h| (n + 1.0, sum + h.latency));
        let usual = if n > 0.0 { sum / n } else { LATENCY_GUESS };
        let parts = self.traffic.parts(now, self.s.senders);
        for e in self.dests[&dest].hosts.clone() {
            let h = &self.hosts[&e];
            if !h.ready || zone.is_some_and(|z| z != h.zone) {
                continue;
            }
            let Some(rank) = way.map_or(Some(0), |w| w.rank(h.zone)) else {
                continue;
            };
            // Calls that are lent there ask for all whether it is back.
            let rank = if h.listed >= f64::from(LEASED_RATE) {
                0
            } else {
                rank
            };
            let cold = h.health != Health::Healthy;
            let (budget, rate) = if cold {
                self.budget(now, dest, &e)
            } else {
                (1.0, 1.0)
            };
            let listed = self.listed(&e);
            let part = Part::of(listed, self.s.senders, self.longest);
            let draw = part.map_or(0.0, |_| self.random.draw());
            let clumped = self.took_up;
            let gate = self.gate(dest, &e);
            gate.open(
                now,
                part,
                part.map_or(draw, |p| p.saved(draw)),
                parts,
                clumped,
            );
            let (known, refusals) = (gate.known(now), f64::from(gate.refusals));
            gate.refill(now);
            let mut from = gate.next(now);
            if budget < 1.0 {
                from = from.max(now + MS + secs((1.0 - budget) / rate));
            }
            let h = &self.hosts[&e];
            if h.health == Health::Ejected {
                from = from.max(h.trial_at);
            }
            if from > now {
                later = later.min(from);
                continue;
            }
            let trial = h.health == Health::Ejected;
            if trial && (h.calls > 0 || !safe && known > RARE) {
                continue;
            }
            let last = if trial { TRIAL_LAST } else { 0.0 };
            let cost = if part.is_some() {
                // All would take the same one: each sees but its own few calls.
                lot(listed / (1.0 + refusals), draw)
            } else {
                let doubt = (1.0 + 3.0 * h.fails) * (1.0 + refusals);
                let latency = if h.base > 0.0 { h.latency } else { usual };
                let latency = latency * mix(known, 1.0, h.taste) * doubt;
                (f64::from(h.calls) + 1.0) * latency + FEE * self.fee(h)
            };
            let cost = (rank, last + cost);
            if best.is_none_or(|b| cost < b.0) {
                best = Some((cost, e, trial));
            }
        }
        best.map(|(_, e, t)| (e, t)).ok_or(later)
    }

    /// Messages of a line that may go now, the most urgent first; refused ones go again before all
    /// others.
    fn eligible(&self, now: Nanos, dest: DestinationId) -> (Vec<(f64, MessageId)>, Nanos) {
        let horizon = self.drain_time(now, dest).max(SEC);
        let (mut list, mut later) = (Vec::new(), Nanos::MAX);
        for &id in &self.dests[&dest].line {
            let h = &self.held[&id];
            if h.out {
                continue;
            }
            later = later.min(h.deadline.saturating_sub(LAST_CALL));
            if let (Effect::IdempotentWithKey, Some((at, _))) = (self.class(&h.m).effect, h.ran) {
                later = later.min(at + self.class(&h.m).dedup_window);
            }
            if h.not_before > now {
                later = later.min(h.not_before);
            }
            if !self.may(h, now).0 || h.not_before > now {
                continue;
            }
            if self.class(&h.m).ordered_by_key && h.m.key != 0 {
                let k = &self.keys[&h.m.key];
                let resting = k.rest_until > now && k.rest_for != id;
                if k.turn.front() != Some(&id) || k.out > 0 || resting {
                    later = if resting {
                        later.min(k.rest_until)
                    } else {
                        later
                    };
                    continue;
                }
            }
            list.push((
                self.urgency(h, now, horizon) + if h.refused { 100.0 } else { 0.0 },
                id,
            ));
        }
        list.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        (list, later)
    }

    fn pump(&mut self, now: Nanos) {
        let mut lines: BTreeMap<DestinationId, VecDeque<_>> = BTreeMap::new();
        let blind = self.is_list_stale(now);
        for dest in self.waiting.clone() {
            if self.dests[&dest].look_at > now {
                continue;
            }
            let (line, later) = self.eligible(now, dest);
            // Blind, it calls nobody: what is listed may have drained, and the next ask is not far.
            let later = if blind {
                later.min(now + BLIND_LOOK)
            } else {
                later
            };
            self.dest(dest).look_at = later.max(now + MS);
            if !blind && !line.is_empty() && !self.dests[&dest].hosts.is_empty() {
                lines.insert(dest, line.into());
            }
        }
        while (self.calls.len() as u32) < self.s.max_in_flight_calls {
            let mut best: Option<(f64, DestinationId)> = None;
            for (&dest, line) in &lines {
                let Some(&(u, _)) = line.front() else {
                    continue;
                };
                let d = &self.dests[&dest];
                let cost = d
                    .hosts
                    .iter()
                    .map(|e| self.hosts[e].latency)
                    .fold(f64::MAX, f64::min);
                let index = u / cost;
                if best.is_none_or(|b| index > b.0) {
                    best = Some((index, dest));
                }
            }
            let Some((_, dest)) = best else { break };
            let mut line = lines.remove(&dest).unwrap_or_default();
            if self.send_from(now, dest, &mut line) {
                lines.insert(dest, line);
            }
        }
        self.starved |= lines.values().any(|l| !l.is_empty());
    }

    fn look_again(&mut self, dest: DestinationId, at: Nanos) {
        self.dests
            .entry(dest)
            .and_modify(|d| d.look_at = d.look_at.min(at));
    }

    /// Sends one call of a destination, with as many messages as it carries. False: nothing more
    /// goes now.
    fn send_from(
        &mut self,
        now: Nanos,
        dest: DestinationId,
        line: &mut VecDeque<(f64, MessageId)>,
    ) -> bool {
        let Some(&(_, first)) = line.front() else {
            return false;
        };
        let d = &self.dests[&dest];
        let ailing = self.ailing(now, d);
        if self.calls.values().filter(|c| c.dest == dest).count() as u32 >= self.pool(d, ailing) {
            return false;
        }
        if ailing {
            let sick = |c: &&Call| self.dests.get(&c.dest).is_some_and(|d| self.ailing(now, d));
            if self.calls.values().filter(sick).count() as u32
                >= (self.s.max_in_flight_calls / 2).max(1)
            {
                self.starved = true;
                return false;
            }
        }
        let h = &self.held[&first];
        let class = self.class(&h.m);
        let bound = |h: &Held, c: &Class| {
            h.ran.map(|r| r.1).filter(|_| {
                c.dedup_scope == DedupScope::Zone && c.effect == Effect::IdempotentWithKey
            })
        };
        let safe = class.effect != Effect::NotIdempotent;
        let zone = bound(h, class);
        let routes = self.routes.clone();
        let way = self.way(&routes, &h.m);
        let (e, trial) = match self.choose(now, dest, zone, safe, way) {
            Ok(to) => to,
            Err(later) => {
                self.look_again(dest, later);
                line.pop_front();
                let Some(way) = way else {
                    return !line.is_empty() && (zone.is_some() || !safe);
                };
                if zone.is_none() && safe {
                    // None of the same route goes anywhere now; others may.
                    line.retain(|(_, id)| {
                        self.way(&routes, &self.held[id].m)
                            .is_some_and(|w| !w.is_same_route(&way))
                    });
                }
                return !line.is_empty();
            }
        };
        let batch = self
            .s
            .kinds
            .get(self.hosts[&e].kind)
            .map_or(1, |k| k.max_batch.max(1)) as usize;
        let (mut ids, mut keys) = (Vec::new(), BTreeSet::new());
        let host_zone = self.hosts[&e].zone;
        line.retain(|&(_, id)| {
            let h = &self.held[&id];
            let c = self.class(&h.m);
            let fits = ids.len() < batch
                && bound(h, c).is_none_or(|z| z == host_zone)
                && self
                    .way(&routes, &h.m)
                    .is_none_or(|w| w.rank(host_zone).is_some())
                && (id == first || !(trial && c.effect == Effect::NotIdempotent))
                && (!c.ordered_by_key || h.m.key == 0 || keys.insert(h.m.key));
            if fits {
                ids.push(id);
            }
            !fits
        });
        let call = self.next_call;
        self.next_call += 1;
        let connection_idle_timeout = self.s.connection_idle_timeout;
        let Some(host) = self.hosts.get_mut(&e) else {
            return false;
        };
        let age = host
            .used_at
            .filter(|_| host.calls == 0)
            .map_or(0, |t| now.saturating_sub(t));
        let mut idle =
            age >= REAP_LEAST && (connection_idle_timeout == 0 || age < connection_idle_timeout);
        if host.doubt_link || idle && self.reaper.doubts(now) {
            self.out.push(Action::CloseIdle { endpoint: e });
            (idle, host.doubt_link) = (false, false);
        }
        let weight = 1.0 + BATCH_WEIGHT * (ids.len() - 1) as f64;
        let timeout = host.timeout(weight);
        host.calls += 1;
        let cold = host.health != Health::Healthy;
        host.trial_at = now + host.gap;
        let g = self.gate(dest, &e);
        if cold {
            g.budget -= weight;
        }
        let again = g.refusals > 0;
        g.spend();
        self.calls.insert(
            call,
            Call {
                left: ids.len() as u32,
                dest,
                host: e,
                sent: now,
                counted: false,
                again,
                trial,
                idle,
            },
        );
        for id in ids {
            let Some(h) = self.held.get_mut(&id) else {
                continue;
            };
            let class = &self.s.classes[usize::from(h.m.class).min(self.s.classes.len() - 1)];
            let key = if class.ordered_by_key { h.m.key } else { 0 };
            let left = h.deadline.saturating_sub(now).max(1);
            // A call that may never run again gains nothing by an early time-out.
            let t = if class.effect == Effect::NotIdempotent {
                timeout * 2
            } else {
                timeout
            };
            self.out.push(Action::Send {
                id,
                endpoint: e,
                timeout: t.min(left),
            });
            self.flights.insert(
                (id, h.attempts as u16),
                Flight {
                    call,
                    zone: host_zone,
                    key,
                },
            );
            h.attempts += 1;
            h.out = true;
            if let Some(k) = self.keys.get_mut(&key).filter(|_| key != 0) {
                k.out += 1;
            }
        }
        // Further sends of this turn would join this call: the rest of a batching line waits for
        // the next.
        if batch > 1 && !line.is_empty() {
            self.look_again(dest, now + MS);
        }
        batch == 1
    }

    /// Asks to be woken when time alone makes something due.
    fn arm(&mut self, now: Nanos) {
        if self.sweep_at <= now {
            self.sweep_at = now + SEC;
            self.keys
                .retain(|_, k| !k.turn.is_empty() || k.out > 0 || k.rest_until > now);
        }
        let lines = self.waiting.iter().map(|d| self.dests[d].look_at);
        let next = lines.min().unwrap_or(Nanos::MAX).min(
            self.asking
                .as_ref()
                .and_then(EndpointListPoller::next)
                .unwrap_or(Nanos::MAX),
        );
        let next = next.max(now + MS);
        if next < Nanos::MAX && (self.wake_at <= now || next < self.wake_at) {
            // In whole milliseconds: a coarser clock would else wake a trifle early, and never
            // again.
            let span = (next - now).div_ceil(MS) * MS;
            self.wake_at = now + span;
            self.out.push(Action::WakeAfter(span));
        }
    }
}
