//! Who decides in a sender: the program's module, or a policy as textbooks and libraries have it,
//! to compare it with.
//!
//! All of them keep what any caller must: the deadline, the number of attempts, repeats as the
//! class allows, drains, room and slots, and a told wait for the message that it was told to. They
//! differ in when and where a message goes next. What they know of a partner is what the policy's
//! own description says.

use crate::dice::{Dice, For};
use crate::partner::{in_seconds, seconds, SECOND};
use raildeal::{
    Action, Condition, DedupScope, DestinationId, Dispatcher, Effect, EndpointAddress, Event,
    Listing, Message, MessageId, Nanos, Outcome, PriorAttempts, Settings,
};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Decides what becomes of messages.
pub trait Decides {
    /// One turn: what happened, and what is to be done about it.
    fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>);
}

impl Decides for Dispatcher {
    fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        Dispatcher::handle(self, now, &[event], actions);
    }
}

/// Which one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The program's module.
    #[default]
    Module,
    /// Each message is tried once.
    OneTry,
    /// Tried again after a fixed pause.
    FixedBackoff,
    /// Tried again after a random time up to a bound that doubles (exponential backoff with full
    /// jitter).
    FullJitter,
    /// The same behind a token bucket for each destination, at this sender's part of the listed
    /// rate.
    TokenBucket,
    /// The same behind a circuit breaker for each endpoint.
    CircuitBreaker,
    /// The same to the endpoint with the least outstanding calls; retries come from a budget in
    /// proportion to messages.
    LeastOutstanding,
}

/// All of them, the module first.
pub const ALL: [Policy; 7] = [
    Policy::Module,
    Policy::OneTry,
    Policy::FixedBackoff,
    Policy::FullJitter,
    Policy::TokenBucket,
    Policy::CircuitBreaker,
    Policy::LeastOutstanding,
];

impl Policy {
    /// One that begins a life. The settings were checked before.
    pub fn begin(self, settings: &Settings, seed: u64) -> Box<dyn Decides> {
        match self {
            Policy::Module => Box::new(
                Dispatcher::new(settings.clone(), seed)
                    .expect("settings were checked before a day begins"),
            ),
            policy => Box::new(Textbook::new(policy, settings.clone(), seed)),
        }
    }
}

/// The fixed pause.
const PAUSE: Nanos = SECOND / 2;
/// Bound of the first random pause, and of all, in seconds.
const JITTER: (f64, f64) = (0.2, 10.0);
/// Longest that one attempt may take.
const TIMEOUT: Nanos = 8 * SECOND;
/// Kept for the answer to travel.
const LAST_CALL: Nanos = SECOND / 8;
/// A message for which nobody may be called now looks again after this time.
const LOOK: Nanos = SECOND / 10;
/// Failures in a row that open a circuit, and how long it stays open before one call tries it.
const CIRCUIT: (u32, Nanos) = (5, 5 * SECOND);
/// Retries that a message earns, the least of them a second, and what may be saved up; a tenth of
/// that is there at first.
const BUDGET: (f64, f64, f64) = (0.2, 1.0, 100.0);
/// Advice to a client whose message was not taken on.
const COME_BACK: Nanos = SECOND;

/// An endpoint, as a policy sees it.
struct Peer {
    listing: Listing,
    out: u32,
    /// Failures in a row, and when the last was.
    failures: (u32, Nanos),
    /// A call tries whether an open circuit may close.
    trial: bool,
}

/// A message that is held.
struct Held {
    message: Message,
    by: Nanos,
    calls: u32,
    out: Option<EndpointAddress>,
    /// First attempt that may have run.
    ran: Option<(Nanos, u16)>,
    due: Nanos,
}

/// A policy from a textbook.
struct Textbook {
    policy: Policy,
    settings: Settings,
    dice: Dice,
    peers: BTreeMap<EndpointAddress, Peer>,
    by_dest: FxHashMap<DestinationId, Vec<EndpointAddress>>,
    held: FxHashMap<MessageId, Held>,
    due: BTreeSet<(Nanos, MessageId)>,
    /// When each has to be over, but for those that are out.
    ends: BTreeSet<(Nanos, MessageId)>,
    out: u32,
    /// Tokens of a destination and when they were counted.
    buckets: FxHashMap<DestinationId, (f64, Nanos)>,
    /// Retries that may be made, and when they were counted.
    budget: Option<(f64, Nanos)>,
}

impl Textbook {
    fn new(policy: Policy, settings: Settings, seed: u64) -> Self {
        Textbook {
            policy,
            settings,
            dice: Dice::new(seed, For::Policy),
            peers: BTreeMap::new(),
            by_dest: FxHashMap::default(),
            held: FxHashMap::default(),
            due: BTreeSet::new(),
            ends: BTreeSet::new(),
            out: 0,
            buckets: FxHashMap::default(),
            budget: None,
        }
    }

    fn list(&mut self, lines: Vec<Listing>, whole: bool) {
        if whole {
            let named: BTreeSet<EndpointAddress> = lines.iter().map(|l| l.endpoint).collect();
            for peer in self
                .peers
                .values_mut()
                .filter(|p| !named.contains(&p.listing.endpoint))
            {
                peer.listing.condition = Condition::Gone;
            }
        }
        for listing in lines {
            let new = Peer {
                listing,
                out: 0,
                failures: (0, 0),
                trial: false,
            };
            self.peers.entry(listing.endpoint).or_insert(new).listing = listing;
            let all = self.by_dest.entry(listing.dest).or_default();
            if !all.contains(&listing.endpoint) {
                all.push(listing.endpoint);
            }
        }
    }

    fn hold(&mut self, now: Nanos, message: Message, prior: PriorAttempts) {
        let ran = prior
            .may_have_run
            .map(|run| (now.saturating_sub(run.age), run.zone));
        let by = now + message.ttl;
        let calls = u32::from(prior.attempts);
        let held = Held {
            message,
            by,
            calls,
            out: None,
            ran,
            due: now,
        };
        let id = message.id;
        self.held.insert(id, held);
        self.put(id, now);
    }

    /// It is looked at again at this time.
    fn put(&mut self, id: MessageId, due: Nanos) {
        if let Some(held) = self.held.get_mut(&id) {
            held.due = due;
            self.due.insert((due, id));
            self.ends.insert((held.by, id));
        }
    }

    /// It is out, or over.
    fn take(&mut self, id: MessageId) {
        if let Some(held) = self.held.get(&id) {
            self.due.remove(&(held.due, id));
            self.ends.remove(&(held.by, id));
        }
    }

    fn end(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        self.take(id);
        let Some(held) = self.held.remove(&id) else {
            return;
        };
        actions.push(match held.ran {
            None => Action::Reject { id, retry_after: 0 },
            Some(_) => Action::Fail { id },
        });
    }

    fn pause(&mut self, calls: u32) -> Nanos {
        match self.policy {
            Policy::FixedBackoff => PAUSE,
            _ => {
                let bound = (JITTER.0 * 2f64.powi(calls.min(30) as i32)).min(JITTER.1);
                seconds(self.dice.part() * bound).max(SECOND / 100)
            }
        }
    }

    /// Tokens that are there now, of a bucket that fills at a rate up to a size.
    fn fill((tokens, at): (f64, Nanos), now: Nanos, rate: f64, size: f64) -> (f64, Nanos) {
        (
            (tokens + rate * in_seconds(now.saturating_sub(at))).min(size),
            now,
        )
    }

    /// Takes a token of a destination; says how long to wait if there is none.
    fn token(&mut self, now: Nanos, dest: DestinationId) -> Result<(), Nanos> {
        let ready = self
            .by_dest
            .get(&dest)
            .into_iter()
            .flatten()
            .filter_map(|e| self.peers.get(e));
        let ready = ready.filter(|p| p.listing.condition == Condition::Ready);
        let (mut rate, mut apart) = (0.0f64, 0.0);
        for peer in ready {
            let listed = f64::from(peer.listing.rate);
            let kind = self.settings.kinds.get(usize::from(peer.listing.kind));
            if kind.is_some_and(|k| k.separate_routes) {
                apart += listed;
            } else {
                rate = rate.max(listed);
            }
        }
        let rate = (rate.max(apart) / f64::from(self.settings.senders.max(1))).max(0.1);
        let size = rate.max(1.0);
        let bucket = self.buckets.entry(dest).or_insert((size, now));
        *bucket = Self::fill(*bucket, now, rate, size);
        if bucket.0 < 1.0 {
            return Err(seconds((1.0 - bucket.0) / rate).max(SECOND / 1000));
        }
        bucket.0 -= 1.0;
        Ok(())
    }

    /// Retries that may be made now.
    fn budget(&mut self, now: Nanos) -> &mut f64 {
        let budget = self.budget.get_or_insert((BUDGET.2 / 10.0, now));
        *budget = Self::fill(*budget, now, BUDGET.1, BUDGET.2);
        &mut budget.0
    }

    /// Takes a retry from the budget.
    fn retry(&mut self, now: Nanos) -> bool {
        let left = self.budget(now);
        let has = *left >= 1.0;
        *left -= f64::from(u8::from(has));
        has
    }

    /// Where a message may go.
    fn choose(&mut self, now: Nanos, id: MessageId) -> Option<EndpointAddress> {
        let held = &self.held[&id];
        let class = &self.settings.classes[usize::from(held.message.class)];
        let may = |p: &Peer| match (class.effect, held.ran) {
            _ if p.listing.condition != Condition::Ready => false,
            (_, None) | (Effect::Idempotent, _) => true,
            (Effect::NotIdempotent, Some(_)) => false,
            (Effect::IdempotentWithKey, Some((at, zone))) => {
                (class.dedup_scope == DedupScope::All || zone == p.listing.zone)
                    && now < at + class.dedup_window
            }
        };
        // One that is open lets a call try it after a while.
        let open =
            |p: &Peer| p.failures.0 >= CIRCUIT.0 && (p.trial || now < p.failures.1 + CIRCUIT.1);
        let closed = |p: &Peer| self.policy != Policy::CircuitBreaker || !open(p);
        let all = self.by_dest.get(&held.message.dest)?;
        let may: Vec<&Peer> = all
            .iter()
            .filter_map(|e| self.peers.get(e))
            .filter(|p| may(p) && closed(p))
            .collect();
        let least = may.iter().map(|p| p.out).min()?;
        let may: Vec<EndpointAddress> = may
            .into_iter()
            .filter(|p| self.policy != Policy::LeastOutstanding || p.out == least)
            .map(|p| p.listing.endpoint)
            .collect();
        let at = self.dice.below(may.len());
        may.get(at).copied()
    }

    /// A message's time has come: it is sent, put off or given up.
    fn look(&mut self, now: Nanos, id: MessageId, actions: &mut Vec<Action>) {
        let held = &self.held[&id];
        if now + LAST_CALL >= held.by || held.calls >= self.settings.max_attempts {
            return self.end(id, actions);
        }
        let (dest, again) = (held.message.dest, held.calls > 0);
        let Some(endpoint) = self.choose(now, id) else {
            return self.put(id, now + LOOK);
        };
        if self.policy == Policy::TokenBucket {
            if let Err(wait) = self.token(now, dest) {
                return self.put(id, now + wait);
            }
        }
        if self.policy == Policy::LeastOutstanding && again && !self.retry(now) {
            return self.end(id, actions);
        }
        self.take(id);
        let Some((held, peer)) = self.held.get_mut(&id).zip(self.peers.get_mut(&endpoint)) else {
            return;
        };
        (held.out, held.calls) = (Some(endpoint), held.calls + 1);
        peer.trial = peer.failures.0 >= CIRCUIT.0;
        peer.out += 1;
        self.out += 1;
        let timeout = TIMEOUT.min(held.by - now - LAST_CALL / 2);
        actions.push(Action::Send {
            id,
            endpoint,
            timeout,
        });
    }

    fn ended(
        &mut self,
        now: Nanos,
        id: MessageId,
        outcome: Outcome,
        took: Nanos,
        actions: &mut Vec<Action>,
    ) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        let Some(endpoint) = held.out.take() else {
            return;
        };
        self.out -= 1;
        let mut zone = 0;
        if let Some(peer) = self.peers.get_mut(&endpoint) {
            peer.out -= 1;
            peer.trial = false;
            zone = peer.listing.zone;
            match outcome {
                Outcome::Delivered => peer.failures.0 = 0,
                Outcome::NotSent => {}
                _ => peer.failures = (peer.failures.0 + 1, now),
            }
        }
        let wait = match outcome {
            Outcome::Delivered => {
                self.held.remove(&id);
                return;
            }
            Outcome::NotSent => {
                // Nothing was sent, so it does not count.
                held.calls -= 1;
                return self.put(id, now + LOOK);
            }
            Outcome::Rejected { wait } => wait,
            Outcome::ConnectFailed => 0,
            Outcome::Error | Outcome::Timeout | Outcome::Reset | Outcome::Cancelled => {
                held.ran.get_or_insert((now - took, zone));
                0
            }
        };
        let calls = held.calls;
        if self.policy == Policy::OneTry {
            return self.end(id, actions);
        }
        let pause = self.pause(calls);
        self.put(id, now + pause.max(wait));
    }
}

impl Decides for Textbook {
    fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::List(lines) | Event::CachedList(lines) => self.list(lines, true),
            Event::ListChanges(lines) | Event::ListOverrides(lines) => self.list(lines, false),
            Event::Arrived(message) => {
                if self.held.len() >= self.settings.max_held_messages as usize {
                    actions.push(Action::Reject {
                        id: message.id,
                        retry_after: COME_BACK,
                    });
                } else {
                    let left = self.budget(now);
                    *left = (*left + BUDGET.0).min(BUDGET.2);
                    self.hold(now, message, PriorAttempts::default());
                }
            }
            Event::Resumed { message, prior } => self.hold(now, message, prior),
            Event::AttemptEnded {
                id, outcome, took, ..
            } => self.ended(now, id, outcome, took, actions),
            Event::ClientGone(id) => {
                self.take(id);
                self.held.remove(&id);
            }
            Event::SettingsChanged(terms) => self.settings.change(&terms),
            Event::RoutesChanged(_)
            | Event::ListFailed
            | Event::ListSourceMoved
            | Event::HealthCheckEnded { .. }
            | Event::TimerFired => {}
        }
        // Whose time is up needs no slot to be ended.
        while let Some((_, id)) = self
            .ends
            .first()
            .copied()
            .filter(|(by, _)| *by <= now + LAST_CALL)
        {
            self.end(id, actions);
        }
        while self.out < self.settings.max_in_flight_calls {
            let Some((due, id)) = self.due.first().copied().filter(|(due, _)| *due <= now) else {
                break;
            };
            self.due.remove(&(due, id));
            self.look(now, id, actions);
        }
        // Without a slot nothing begins before a call ends, and that is an event of its own.
        let next = self
            .due
            .first()
            .filter(|_| self.out < self.settings.max_in_flight_calls)
            .map(|(due, _)| *due);
        let ends = self.ends.first().map(|(by, _)| by - LAST_CALL);
        if let Some(at) = next.into_iter().chain(ends).min() {
            actions.push(Action::WakeAfter(at.saturating_sub(now).max(1)));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use raildeal::{Class, DestinationKind, ListedRates};

    fn settings() -> Settings {
        let class = Class {
            latency_objective: 3 * SECOND,
            deadline: 16 * SECOND,
            effect: Effect::IdempotentWithKey,
            dedup_scope: DedupScope::Zone,
            dedup_window: 10 * SECOND,
            priority_weight: 1.0,
            late_weight: 0.5,
            ordered_by_key: false,
        };
        Settings {
            classes: vec![class],
            kinds: vec![DestinationKind {
                separate_routes: true,
                max_batch: 1,
            }],
            senders: 1,
            max_in_flight_calls: 4,
            max_held_messages: 8,
            max_attempts: 3,
            listed_rates: ListedRates::Approximate,
            ..Settings::default()
        }
    }

    fn peer(n: u8, zone: u16) -> Listing {
        let endpoint = EndpointAddress {
            addr: [0, 0, 0, n],
            port: 443,
        };
        Listing {
            endpoint,
            zone,
            kind: 0,
            dest: 1,
            condition: Condition::Ready,
            rate: 2.0,
        }
    }

    /// A policy that knows two endpoints, and what it does about messages and outcomes.
    struct Desk(Box<dyn Decides>);

    impl Desk {
        fn new(policy: Policy) -> Self {
            let mut desk = Desk(policy.begin(&settings(), 1));
            desk.turn(0, Event::List(vec![peer(1, 0), peer(2, 1)]));
            desk
        }

        fn turn(&mut self, now: Nanos, event: Event) -> Vec<Action> {
            let mut actions = Vec::new();
            self.0.handle(now, event, &mut actions);
            actions
        }

        fn arrives(&mut self, now: Nanos, id: MessageId) -> Vec<Action> {
            self.turn(
                now,
                Event::Arrived(Message {
                    id,
                    dest: 1,
                    ttl: 16 * SECOND,
                    ..Message::default()
                }),
            )
        }

        fn ends(
            &mut self,
            now: Nanos,
            id: MessageId,
            attempt: u16,
            outcome: Outcome,
        ) -> Vec<Action> {
            let finished = outcome == Outcome::Delivered;
            self.turn(
                now,
                Event::AttemptEnded {
                    id,
                    attempt,
                    outcome,
                    took: 1,
                    finished,
                    report: Vec::new(),
                },
            )
        }
    }

    fn sends(actions: &[Action]) -> Vec<EndpointAddress> {
        let sent = actions.iter().filter_map(|a| match a {
            Action::Send { endpoint, .. } => Some(*endpoint),
            _ => None,
        });
        sent.collect()
    }

    fn wake(actions: &[Action]) -> Nanos {
        actions
            .iter()
            .find_map(|a| {
                if let Action::WakeAfter(t) = a {
                    Some(*t)
                } else {
                    None
                }
            })
            .unwrap_or(0)
    }

    #[test]
    fn one_try_gives_up_and_the_others_come_again_within_their_attempts() {
        for policy in ALL.into_iter().skip(1) {
            let mut desk = Desk::new(policy);
            assert_eq!(sends(&desk.arrives(0, 1)).len(), 1, "{policy:?}");
            let after = desk.ends(SECOND, 1, 0, Outcome::Rejected { wait: 0 });
            if policy == Policy::OneTry {
                assert_eq!(
                    after,
                    [Action::Reject {
                        id: 1,
                        retry_after: 0
                    }]
                );
                continue;
            }
            let mut now = SECOND + wake(&after);
            for attempt in 1..3 {
                assert_eq!(
                    sends(&desk.turn(now, Event::TimerFired)).len(),
                    1,
                    "{policy:?} {attempt}"
                );
                now += wake(&desk.ends(now, 1, attempt, Outcome::Rejected { wait: SECOND })).max(1);
            }
            assert_eq!(
                desk.turn(now, Event::TimerFired),
                [Action::Reject {
                    id: 1,
                    retry_after: 0
                }],
                "{policy:?}"
            );
        }
    }

    #[test]
    fn what_may_have_run_is_repeated_in_its_building_only_and_fails_in_the_end() {
        for policy in ALL.into_iter().skip(2) {
            let mut desk = Desk::new(policy);
            let first = sends(&desk.arrives(0, 1))[0];
            let mut now = SECOND;
            let mut after = desk.ends(now, 1, 0, Outcome::Timeout);
            for attempt in 1..3 {
                now += wake(&after);
                assert_eq!(
                    sends(&desk.turn(now, Event::TimerFired)),
                    [first],
                    "{policy:?}"
                );
                after = desk.ends(now, 1, attempt, Outcome::Reset);
            }
            now += wake(&after);
            assert_eq!(
                desk.turn(now, Event::TimerFired),
                [Action::Fail { id: 1 }],
                "{policy:?}"
            );
        }
    }

    #[test]
    fn a_told_wait_is_waited_for_and_a_bucket_holds_back_what_its_rate_does_not_give() {
        let mut desk = Desk::new(Policy::FullJitter);
        desk.arrives(0, 1);
        assert!(wake(&desk.ends(1, 1, 0, Outcome::Rejected { wait: 9 * SECOND })) >= 9 * SECOND);
        let mut desk = Desk::new(Policy::TokenBucket);
        // Two endpoints of two a second, apart: four at once, and then one each quarter of a
        // second.
        let sent: usize = (1..=4).map(|id| sends(&desk.arrives(0, id)).len()).sum();
        (1..=4).for_each(|id| drop(desk.ends(0, id, 0, Outcome::Delivered)));
        let held_back = desk.arrives(0, 5);
        assert_eq!(
            (sent, sends(&held_back).len(), wake(&held_back)),
            (4, 0, SECOND / 4)
        );
    }

    #[test]
    fn a_circuit_opens_after_failures_in_a_row_and_lets_one_call_try_it() {
        let mut desk = Desk(Policy::CircuitBreaker.begin(
            &Settings {
                max_attempts: 99,
                ..settings()
            },
            1,
        ));
        desk.turn(0, Event::List(vec![peer(1, 0)]));
        let (mut now, mut attempt) = (0, 0);
        let mut after = desk.arrives(0, 1);
        while !sends(&after).is_empty() {
            after = desk.ends(now, 1, attempt, Outcome::ConnectFailed);
            now += wake(&after);
            (after, attempt) = (desk.turn(now, Event::TimerFired), attempt + 1);
        }
        assert_eq!(u32::from(attempt), CIRCUIT.0);
        let trial = desk.arrives(now + CIRCUIT.1, 2);
        assert_eq!(sends(&trial).len(), 1, "one of both messages");
    }

    #[test]
    fn least_outstanding_spreads_and_its_budget_bounds_retries() {
        let mut desk = Desk::new(Policy::LeastOutstanding);
        let (one, two) = (sends(&desk.arrives(0, 1))[0], sends(&desk.arrives(0, 2))[0]);
        assert_ne!(one, two);
        (1..=2).for_each(|id| drop(desk.ends(0, id, 0, Outcome::Delivered)));
        // Ten retries are there at first, and 51 messages earn ten, and a second one more.
        let more = Settings {
            max_held_messages: 99,
            max_in_flight_calls: 99,
            ..settings()
        };
        let mut desk = Desk(Policy::LeastOutstanding.begin(&more, 1));
        desk.turn(0, Event::List(vec![peer(1, 0)]));
        for id in 1..=51 {
            desk.arrives(0, id);
            desk.ends(0, id, 0, Outcome::Rejected { wait: 0 });
        }
        assert_eq!(sends(&desk.turn(SECOND, Event::TimerFired)).len(), 21);
    }

    #[test]
    fn a_message_whose_time_is_up_ends_though_all_slots_are_taken() {
        for policy in ALL.into_iter().skip(1) {
            let mut desk = Desk::new(policy);
            (1..=6).for_each(|id| drop(desk.arrives(0, id)));
            let ended = desk.turn(16 * SECOND - LAST_CALL, Event::TimerFired);
            assert!(
                ended.contains(&Action::Reject {
                    id: 6,
                    retry_after: 0
                }),
                "{policy:?}: {ended:?}"
            );
        }
    }
}
