//! Settings and a small driver shared by the tests: it keeps the clock and hands events in.
#![allow(dead_code)]

use raildeal::*;

pub const MS: Nanos = 1_000_000;
pub const SEC: Nanos = 1_000 * MS;

pub fn class(effect: Effect) -> Class {
    Class {
        latency_objective: 2 * SEC,
        deadline: 20 * SEC,
        effect,
        dedup_scope: DedupScope::All,
        dedup_window: 8 * SEC,
        priority_weight: 1.0,
        late_weight: 0.4,
        ordered_by_key: false,
    }
}

/// Classes 0 pure, 1 token, 2 side effect, 3 in order; kinds 0 plain, 1 batching, 2 routes apart.
pub fn settings() -> Settings {
    Settings {
        restart_state: Default::default(),
        classes: vec![
            class(Effect::Idempotent),
            class(Effect::IdempotentWithKey),
            class(Effect::NotIdempotent),
            Class {
                ordered_by_key: true,
                ..class(Effect::IdempotentWithKey)
            },
        ],
        tenants: vec![Tenant { share: 0.5 }, Tenant { share: 0.5 }],
        kinds: vec![
            DestinationKind {
                separate_routes: false,
                max_batch: 1,
            },
            DestinationKind {
                separate_routes: false,
                max_batch: 5,
            },
            DestinationKind {
                separate_routes: true,
                max_batch: 1,
            },
        ],
        senders: 2,
        max_in_flight_calls: 8,
        max_held_messages: 60,
        max_attempts: 5,
        class_limits: Vec::new(),
        decay: Decay::Halving,
        over_share_weight: 0.2,
        poll_list: false,
        list_pushed: false,
        poll_deadline: 0,
        watch_heartbeat: 2 * SEC,
        probes: false,
        sends_retry_after: true,
        max_retry_after: 30 * SEC,
        slow_start_fraction: 0.2,
        slow_start_duration: 10 * SEC,
        overload_factor: 2.0,
        overload_window: 2 * SEC,
        ordered_key_pause: 300 * MS,
        connection_idle_timeout: 10 * SEC,
        listed_rates: ListedRates::Absent,
        zone_fees: Vec::new(),
        report_left: None,
        report_limit: None,
    }
}

pub fn at(n: u8) -> EndpointAddress {
    EndpointAddress {
        addr: [10, 0, 0, n],
        port: 80,
    }
}

pub fn line(n: u8, dest: DestinationId, kind: u16, condition: Condition) -> Listing {
    Listing {
        endpoint: at(n),
        zone: 0,
        kind,
        dest,
        condition,
        rate: 1.0,
    }
}

pub fn ready(n: u8, dest: DestinationId) -> Listing {
    line(n, dest, 0, Condition::Ready)
}

pub struct Driver {
    pub dispatcher: Dispatcher,
    pub now: Nanos,
    pub seen: Vec<Action>,
    attempts: std::collections::BTreeMap<MessageId, u16>,
}

impl Driver {
    pub fn new(settings: Settings, list: Vec<Listing>) -> Self {
        let dispatcher = Dispatcher::new(settings, 7).expect("usable settings");
        let mut d = Driver {
            dispatcher,
            now: 5 * SEC,
            seen: Vec::new(),
            attempts: Default::default(),
        };
        d.give(Event::CachedList(list));
        d
    }

    pub fn give_all(&mut self, events: &[Event]) -> Vec<Action> {
        let mut out = Vec::new();
        self.dispatcher.handle(self.now, events, &mut out);
        for a in &out {
            if let Action::Send { id, .. } = a {
                *self.attempts.entry(*id).or_insert(0) += 1;
            }
        }
        self.seen.extend(out.iter().cloned());
        out
    }

    pub fn give(&mut self, event: Event) -> Vec<Action> {
        self.give_all(&[event])
    }

    /// Lets time pass in ticks; returns all actions.
    pub fn pass(&mut self, span: Nanos) -> Vec<Action> {
        let end = self.now + span;
        let mut out = Vec::new();
        while self.now < end {
            self.now = (self.now + 10 * MS).min(end);
            out.extend(self.give(Event::TimerFired));
        }
        out
    }

    pub fn message(&self, id: MessageId, class: u16, dest: DestinationId) -> Message {
        Message {
            id,
            tenant: 0,
            class,
            key: 0,
            ttl: 20 * SEC,
            dest,
        }
    }

    pub fn arrive(&mut self, id: MessageId, class: u16, dest: DestinationId) -> Vec<Action> {
        self.give(Event::Arrived(self.message(id, class, dest)))
    }

    pub fn arrive_keyed(&mut self, id: MessageId, key: u64) -> Vec<Action> {
        self.give(Event::Arrived(Message {
            key,
            ..self.message(id, 3, 1)
        }))
    }

    /// Ends the last attempt of a message.
    pub fn end(&mut self, id: MessageId, outcome: Outcome) -> Vec<Action> {
        let e = self.ending(id, outcome);
        self.give(e)
    }

    pub fn ending(&self, id: MessageId, outcome: Outcome) -> Event {
        let attempt = self.attempts[&id] - 1;
        let finished = outcome == Outcome::Delivered;
        Event::AttemptEnded {
            id,
            attempt,
            outcome,
            took: 100 * MS,
            finished,
            report: Vec::new(),
        }
    }

    /// The same with a load report: share of the limit left, limit.
    pub fn end_with(&mut self, id: MessageId, outcome: Outcome, load: [f32; 2]) -> Vec<Action> {
        let mut e = self.ending(id, outcome);
        if let Event::AttemptEnded { report, .. } = &mut e {
            *report = load.to_vec();
        }
        self.give(e)
    }

    /// Delivers some messages, so that the destination is known and its pool open.
    pub fn warm_up(&mut self, dest: DestinationId) {
        for id in 10_000..10_016 {
            let id = id + 100 * MessageId::from(dest);
            self.arrive(id, 0, dest);
            self.pass(100 * MS);
            self.end(id, Outcome::Delivered);
        }
        self.seen.clear();
    }
}

pub fn sends(actions: &[Action]) -> Vec<MessageId> {
    actions
        .iter()
        .filter_map(|a| {
            if let Action::Send { id, .. } = a {
                Some(*id)
            } else {
                None
            }
        })
        .collect()
}

pub fn targets(actions: &[Action]) -> Vec<EndpointAddress> {
    let to = |a: &Action| {
        if let Action::Send { endpoint, .. } = a {
            Some(*endpoint)
        } else {
            None
        }
    };
    actions.iter().filter_map(to).collect()
}

pub fn refused(actions: &[Action]) -> Vec<(MessageId, Nanos)> {
    let of = |a: &Action| {
        if let Action::Reject { id, retry_after } = a {
            Some((*id, *retry_after))
        } else {
            None
        }
    };
    actions.iter().filter_map(of).collect()
}

pub fn failed(actions: &[Action]) -> Vec<MessageId> {
    actions
        .iter()
        .filter_map(|a| {
            if let Action::Fail { id } = a {
                Some(*id)
            } else {
                None
            }
        })
        .collect()
}
