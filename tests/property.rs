//! Random legal event sequences with a fixed seed, checked against the rules that are visible in
//! events and actions.

mod common;
use common::*;
use raildeal::*;
use std::collections::{BTreeMap, BTreeSet};

struct Rng(u64);

impl Rng {
    fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % n
    }
}

struct Seen {
    m: Message,
    over: bool,
    out: bool,
    attempts: u16,
    may_have_run_at: Option<Nanos>,
    due: Nanos,
    order: u64,
}

/// Follows events and actions, and returns the first broken rule.
struct Audit {
    s: Settings,
    now: Nanos,
    turn: u64,
    seen: BTreeMap<MessageId, Seen>,
    paused: BTreeMap<DestinationId, Nanos>,
    gone: BTreeSet<EndpointAddress>,
    key_pauses: BTreeMap<u64, (Nanos, MessageId)>,
    calls: BTreeMap<(u64, EndpointAddress), u32>,
    call_of: BTreeMap<MessageId, (u64, EndpointAddress)>,
}

impl Audit {
    fn new(s: Settings) -> Self {
        let (seen, paused, gone, key_pauses) = Default::default();
        let (calls, call_of) = Default::default();
        Audit {
            s,
            now: 0,
            turn: 0,
            seen,
            paused,
            gone,
            key_pauses,
            calls,
            call_of,
        }
    }

    fn event(&mut self, e: &Event) {
        match e {
            Event::Arrived(m) => {
                let order = self.seen.len() as u64;
                let due = self.now + m.ttl;
                let seen = Seen {
                    m: *m,
                    over: false,
                    out: false,
                    attempts: 0,
                    may_have_run_at: None,
                    due,
                    order,
                };
                self.seen.insert(m.id, seen);
            }
            Event::AttemptEnded {
                id,
                outcome,
                took,
                finished,
                ..
            } => {
                let m = self.seen.get_mut(id).expect("known");
                m.out = false;
                m.over |= finished;
                let unsure = matches!(
                    outcome,
                    Outcome::Timeout | Outcome::Reset | Outcome::Cancelled
                );
                if unsure || *outcome == Outcome::Error {
                    m.may_have_run_at.get_or_insert(self.now - took);
                }
                if unsure {
                    self.key_pauses
                        .insert(m.m.key, (self.now + self.s.ordered_key_pause, *id));
                }
                if let Outcome::Rejected { wait } = outcome {
                    let paused = self.paused.entry(m.m.dest).or_insert(0);
                    *paused = (*paused).max(self.now + wait);
                }
                let call = self.call_of.remove(id).expect("sent");
                let left = self.calls.get_mut(&call).expect("out");
                *left -= 1;
                if *left == 0 {
                    self.calls.remove(&call);
                }
            }
            Event::ClientGone(id) => self.seen.get_mut(id).expect("known").over = true,
            Event::ListChanges(l) => {
                for l in l {
                    let ready = l.condition == Condition::Ready;
                    if ready {
                        self.gone.remove(&l.endpoint)
                    } else {
                        self.gone.insert(l.endpoint)
                    };
                }
            }
            _ => {}
        }
    }

    fn action(&mut self, a: &Action) -> Result<(), String> {
        let rule = |ok: bool, what: &str| {
            if ok {
                Ok(())
            } else {
                Err(format!("{what}: {a:?}"))
            }
        };
        let (Action::Send { id, .. } | Action::Reject { id, .. } | Action::Fail { id }) = a else {
            return Ok(());
        };
        let m = &self.seen[id];
        rule(!m.over, "one answer")?;
        let effect = self.s.classes[usize::from(m.m.class)].effect;
        match a {
            Action::Send {
                endpoint, timeout, ..
            } => {
                rule(!m.out, "two attempts at once")?;
                rule(m.attempts < self.s.max_attempts as u16, "attempt limit")?;
                rule(!self.gone.contains(endpoint), "call to a draining endpoint")?;
                rule(
                    self.paused.get(&m.m.dest).is_none_or(|t| *t <= self.now),
                    "call during a Retry-After",
                )?;
                rule(
                    self.now + timeout <= m.due.max(self.now + 1),
                    "time-out past the deadline",
                )?;
                let window = self.s.classes[usize::from(m.m.class)].dedup_window;
                rule(
                    match (effect, m.may_have_run_at) {
                        (Effect::NotIdempotent, Some(_)) => false,
                        (Effect::IdempotentWithKey, Some(at)) => self.now < at + window,
                        _ => true,
                    },
                    "repeat of an effect",
                )?;
                if self.s.classes[usize::from(m.m.class)].ordered_by_key && m.m.key != 0 {
                    let blocks =
                        |o: &Seen| o.m.key == m.m.key && o.order < m.order && (!o.over || o.out);
                    rule(!self.seen.values().any(blocks), "order of a key")?;
                    let key_pauses = self.key_pauses.get(&m.m.key);
                    rule(
                        key_pauses.is_none_or(|(t, by)| *t <= self.now || by == id),
                        "key pause",
                    )?;
                }
                let call = (self.turn, *endpoint);
                *self.calls.entry(call).or_insert(0) += 1;
                self.call_of.insert(*id, call);
                rule(
                    self.calls.len() <= self.s.max_in_flight_calls as usize,
                    "call limit",
                )?;
                let dest = m.m.dest;
                let here = self
                    .calls
                    .keys()
                    .filter(|c| c.1.addr[3] as DestinationId / 4 == dest)
                    .count();
                rule(
                    4 * here < 3 * self.s.max_in_flight_calls as usize,
                    "call limit of a destination",
                )?;
                let m = self.seen.get_mut(id).expect("known");
                (m.out, m.attempts) = (true, m.attempts + 1);
            }
            Action::Reject { .. } => {
                rule(
                    !m.out && (effect != Effect::NotIdempotent || m.may_have_run_at.is_none()),
                    "rejection after a possible effect",
                )?;
                self.seen.get_mut(id).expect("known").over = true;
            }
            _ => self.seen.get_mut(id).expect("known").over = true,
        }
        Ok(())
    }

    fn overdue(&self) -> Option<MessageId> {
        self.seen
            .iter()
            .find(|(_, m)| !m.over && self.now > m.due + 30 * MS)
            .map(|(id, _)| *id)
    }
}

/// Runs a random event sequence. Endpoint n belongs to destination n / 4; destination 1 takes
/// batches.
fn run(seed: u64, alter: fn(&mut Vec<Action>, Nanos)) -> Result<usize, String> {
    let s = settings();
    let mut rng = Rng(seed);
    let list: Vec<Listing> = (0..8u8)
        .map(|n| {
            line(
                n,
                DestinationId::from(n / 4),
                u16::from(n / 4),
                Condition::Ready,
            )
        })
        .collect();
    let mut dispatcher = Dispatcher::new(s.clone(), seed).map_err(|e| e.to_string())?;
    let mut audit = Audit::new(s);
    let (mut now, mut next, mut sends) = (SEC, 0, 0);
    // (due, message, attempt, call, outcome, sent)
    let mut in_flight: Vec<(Nanos, MessageId, u16, Outcome, Nanos)> = Vec::new();
    let mut events = vec![Event::CachedList(list)];
    let mut is_failing = [false; 2];
    for step in 0..4_000u64 {
        let mut actions = Vec::new();
        audit.turn = step;
        dispatcher.handle(now, &events, &mut actions);
        alter(&mut actions, now);
        let mut call_results: BTreeMap<EndpointAddress, (Outcome, Nanos)> = BTreeMap::new();
        for a in &actions {
            audit.action(a).map_err(|e| format!("step {step}: {e}"))?;
            let Action::Send {
                id,
                endpoint,
                timeout,
            } = a
            else {
                continue;
            };
            sends += 1;
            let success_weight = if is_failing[usize::from(endpoint.addr[3] / 4)] {
                1
            } else {
                8
            };
            let drawn = match rng.below(8 + 2 * success_weight) {
                0 => (
                    Outcome::Rejected {
                        wait: rng.below(3) * 400 * MS,
                    },
                    40 * MS,
                ),
                1 => (Outcome::Error, 60 * MS),
                2 => (Outcome::Reset, 90 * MS),
                3 => (Outcome::ConnectFailed, 150 * MS),
                4..=7 => (Outcome::Timeout, *timeout),
                _ => (Outcome::Delivered, (30 + rng.below(400)) * MS),
            };
            let (outcome, took) = *call_results.entry(*endpoint).or_insert(drawn);
            let (outcome, took) = if took >= *timeout {
                (Outcome::Timeout, *timeout)
            } else {
                (outcome, took)
            };
            in_flight.push((now + took, *id, audit.seen[id].attempts - 1, outcome, now));
        }
        now += 10 * MS;
        audit.now = now;
        events = vec![Event::TimerFired];
        for f in in_flight.extract(|f| f.0 <= now) {
            let finished = f.3 == Outcome::Delivered || audit.seen[&f.1].over;
            let (outcome, took) = (f.3, now - f.4);
            events.push(Event::AttemptEnded {
                id: f.1,
                attempt: f.2,
                outcome,
                took,
                finished,
                report: vec![],
            });
        }
        if rng.below(3) == 0 && step < 3_400 {
            let (class, dest) = (rng.below(4) as u16, rng.below(2) as DestinationId);
            let (key, ttl) = (
                if class == 3 { 1 + rng.below(3) } else { 0 },
                (1 + rng.below(5)) * SEC,
            );
            events.push(Event::Arrived(Message {
                id: next,
                tenant: rng.below(2) as u16,
                class,
                key,
                ttl,
                dest,
            }));
            next += 1;
        }
        if rng.below(200) == 0 && next > 0 {
            let id = rng.below(u64::from(next)) as MessageId;
            if audit.seen.get(&id).is_some_and(|m| !m.over) {
                events.push(Event::ClientGone(id));
            }
        }
        if rng.below(300) == 0 {
            let n = rng.below(8) as u8;
            let condition =
                [Condition::Ready, Condition::Draining, Condition::Gone][rng.below(3) as usize];
            events.push(Event::ListChanges(vec![line(
                n,
                DestinationId::from(n / 4),
                u16::from(n / 4),
                condition,
            )]));
        }
        if rng.below(400) == 0 {
            is_failing[rng.below(2) as usize] ^= true;
        }
        events.iter().for_each(|e| audit.event(e));
        if let Some(id) = audit.overdue() {
            return Err(format!("step {step}: lost: message {id}"));
        }
    }
    Ok(sends)
}

trait Extract<T> {
    fn extract(&mut self, pick: impl Fn(&T) -> bool) -> Vec<T>;
}

impl<T: Clone> Extract<T> for Vec<T> {
    fn extract(&mut self, pick: impl Fn(&T) -> bool) -> Vec<T> {
        let out = self.iter().filter(|t| pick(t)).cloned().collect();
        self.retain(|t| !pick(t));
        out
    }
}

#[test]
fn random_event_sequences_keep_the_rules() {
    for seed in 1..=10 {
        let sends = run(seed, |_, _| ()).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        assert!(sends > 100, "seed {seed}: only {sends} sends");
    }
}

#[test]
fn the_audit_detects_rules_broken_on_purpose() {
    let broken = |alter: fn(&mut Vec<Action>, Nanos)| run(3, alter).expect_err("a rule was broken");
    // Final answers removed: messages are lost.
    let e = broken(|actions, _| {
        actions.retain(|a| !matches!(a, Action::Reject { .. } | Action::Fail { .. }))
    });
    assert!(e.contains("lost") || e.contains("order of a key"), "{e}");
    // A second answer.
    let e = broken(|actions, _| {
        if let Some(a) = actions
            .iter()
            .find(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. }))
            .cloned()
        {
            actions.push(a);
        }
    });
    assert!(e.contains("one answer"), "{e}");
    // A second attempt beside the first.
    let e = broken(|actions, _| {
        if let Some(a) = actions
            .iter()
            .find(|a| matches!(a, Action::Send { .. }))
            .cloned()
        {
            actions.push(a);
        }
    });
    assert!(e.contains("two attempts"), "{e}");
}
