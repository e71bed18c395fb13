//! When a destination, or a route of its own, is called again and how often: its pause and its
//! pace, from what calls there came to. No I/O, no clock; the caller brings time and randomness.

use crate::dispatch::api::Nanos;
use crate::dispatch::rate_quota::Part;
use crate::dispatch::stale_connections::Reaper;
use crate::dispatch::statistics::{mix, secs, to_secs, Meter, MS, RATE, SEC};

/// Least own pause after a refusal, and what is guessed of a kind that has named no wait yet: about
/// one call.
const OWN_PAUSE: Nanos = 150 * MS;
/// Growth of the pace per accepted call, at most per second, where calls are many and where they
/// are rare.
const GROWTH: (f64, f64) = (0.1, 0.5);
/// Growth of the pace, beside that, per call that comes back with word of a limit that nobody uses.
const ROOM_GROWTH: f64 = 3.0;
/// Calls a second that the pace gains each second where the calls here tell enough.
const PACE_CREEP: f64 = 0.1;
/// Least pace after refusals, as a part of what comes in: all relays together stay under what is
/// asked for.
const PACE_LEAST: f64 = 0.4;
/// The same where the limit is known: a part of this relay's turn of it, or of what comes in here
/// if more. A limit that refused calls use up recovers only while less is sent than it allows.
const JAM: (f64, f64) = (0.5, 0.15);
/// Sends after a refusal that are refused again, for each that is accepted, from which on the pace
/// is cut.
const CROWD: f64 = 1.5;
/// Where `known` is under this, a relay calls too rarely to judge by its own calls.
pub const RARE: f64 = 0.5;
/// Share of the limit left under which a report tells that it is used up.
pub const SPENT: f64 = 0.15;
/// A refusal cuts the pace to what was accepted lately, and at least by this.
const PACE_CUT: f64 = 0.6;
/// Tokens left after a refusal.
const RESUME_TOKENS: f64 = 0.5;
/// Longest spread of the return after a pause: some seconds of worth, against a herd told the same
/// moment.
const SPREAD: f64 = 0.5;
/// Distance from the usual told wait, as a part of it, from which on a wait is not the limit's.
const ODD_WAIT: f64 = 0.1;
/// Weight of the newest call in what its kind usually does.
const LORE_GAIN: f64 = 0.1;

/// Pause and pace: one per destination, or per route where routes are apart.
#[derive(Debug, Default)]
pub struct Gate {
    pub told_until: Nanos,
    pub own_until: Nanos,
    /// Calls a second that the destination takes from this relay, once a refusal has shown a bound.
    pub pace: f64,
    /// This relay's part of what is listed, where it is one of many: bounds the pace from the first
    /// call on.
    pub part: Option<Part>,
    /// Even parts that the relay may take, where it has one: a factor on the pace.
    pub parts: f64,
    pub tokens: f64,
    /// From when on it may be ahead of its pace, where the part allows that.
    pub ahead_from: Nanos,
    pub accepted: Meter,
    pub at: Nanos,
    pub last_ok: Nanos,
    pub cut_at: Nanos,
    pub refusals: u32,
    /// Limit in calls a second as last reported; 0: none.
    pub limit: f64,
    pub proven: u32,
    /// Calls that endpoints which are down or coming back may be sent now; trials spend it too.
    pub budget: f64,
    pub budget_at: Nanos,
}

impl Gate {
    /// Nothing seen since `now`.
    pub fn new(now: Nanos) -> Self {
        let (accepted, pace) = (Meter::new(now, RATE.0), f64::INFINITY);
        Gate {
            pace,
            parts: 1.0,
            accepted,
            at: now,
            last_ok: now,
            budget: 1.0,
            budget_at: now,
            ..Gate::default()
        }
    }

    /// One of many senders begins at its part, with a part of a call saved up: all begin at the
    /// same moment. `clumped`: with messages held, as others may that begin with it.
    pub fn open(&mut self, now: Nanos, part: Option<Part>, saved: f64, parts: f64, clumped: bool) {
        self.parts = if part.is_some() { parts } else { 1.0 };
        let Some(p) = part.filter(|_| self.pace.is_infinite()) else {
            return;
        };
        (self.part, self.pace, self.tokens, self.at) = (part, p.opening(), saved, now);
        if clumped {
            self.stays_back(now);
        }
    }

    /// When its pause ends.
    pub fn until(&self) -> Nanos {
        self.told_until.max(self.own_until)
    }

    /// Calls a second that the relay may make here now.
    pub fn rate(&self) -> f64 {
        self.pace * self.parts
    }

    /// Brings pace and tokens up to now.
    pub fn refill(&mut self, now: Nanos) {
        let dt = to_secs(now.saturating_sub(self.at));
        self.at = self.at.max(now);
        if self.pace.is_finite() {
            self.pace = match self.part {
                Some(part) => part.rested(self.pace, dt),
                None => self.pace + PACE_CREEP * self.known(now) * dt,
            };
            let rate = self.rate();
            self.tokens = (self.tokens + rate * dt).min((rate * 0.35).max(1.0));
        }
    }

    /// How far this relay's own calls tell what the gate takes, from 0 (a call now and then) to 1.
    pub fn known(&self, now: Nanos) -> f64 {
        let calls = self.accepted.rate(now) * RATE.0;
        calls / (calls + 1.0)
    }

    /// The pace grows by what was tried, not by time, or a rare caller forgets the limit between
    /// calls.
    pub fn accept(&mut self, now: Nanos) {
        self.proven = self.proven.saturating_add(1);
        self.accepted.hit(now, RATE);
        self.pace = match self.part {
            Some(part) => part.taken(self.pace),
            None => {
                let growth = mix(self.known(now), GROWTH.0, GROWTH.1);
                self.pace * (1.0 + growth * to_secs(now.saturating_sub(self.last_ok)).min(1.0))
            }
        };
        (self.last_ok, self.refusals) = (now, 0);
    }

    /// When pause and pace allow the next call.
    pub fn next(&self, now: Nanos) -> Nanos {
        let ahead = self
            .part
            .filter(|_| now >= self.ahead_from)
            .map_or(0.0, Part::ahead);
        if self.tokens < 1.0 - ahead && self.pace.is_finite() {
            let due = now + MS + secs((1.0 - ahead - self.tokens) / self.rate());
            let due = if ahead > 0.0 || self.part.is_none() {
                due
            } else {
                due.min(self.ahead_from.max(now + MS))
            };
            self.until().max(due)
        } else {
            self.until()
        }
    }

    /// It is not ahead of its pace for a turn: a call to this destination was refused.
    pub fn stays_back(&mut self, now: Nanos) {
        let turn = self.part.filter(|p| p.ahead() > 0.0).map_or(0, Part::turn);
        self.ahead_from = self.ahead_from.max(now + turn);
    }

    /// A call is sent.
    pub fn spend(&mut self) {
        if self.pace.is_finite() {
            self.tokens -= 1.0;
        }
    }

    /// Counts a refusal of a call that was sent at `sent`; those of one burst count once. Whether
    /// it is the first in a row.
    pub fn count(&mut self, sent: Nanos) -> bool {
        let begins = self.refusals == 0;
        self.refusals += u32::from(sent >= self.cut_at);
        begins
    }

    /// Cuts the pace and sets the pause, after a refusal that is counted.
    pub fn refused(&mut self, now: Nanos, r: &Refusal) {
        self.refill(now);
        let row = self.refusals;
        match self.part {
            _ if r.sent < self.cut_at => {}
            Some(part) => {
                (self.pace, self.tokens) =
                    (part.refused(self.pace), self.tokens.min(RESUME_TOKENS));
            }
            None if r.spent || row > 1 && r.crowd > CROWD || r.known > RARE => {
                let part = r
                    .fair
                    .map_or(PACE_LEAST * r.demand, |f| (JAM.0 * f).max(JAM.1 * r.demand));
                let cut = if r.spent {
                    part
                } else {
                    PACE_CUT * self.pace.min(r.demand)
                };
                let most = mix(r.known, self.accepted.rate(now).min(0.8 * self.pace), cut);
                self.pace = most.max((1.0 - r.known) * part);
                self.tokens = self.tokens.min(RESUME_TOKENS);
            }
            None => {}
        }
        self.cut_at = now;
        let mut until = now;
        if r.wait > 0 {
            self.told_until = self.told_until.max(now + r.wait);
        } else {
            let own = to_secs(OWN_PAUSE) * f64::from(1u32 << row.clamp(1, 4)) / 2.0;
            until = now + secs(mix(r.known, own, r.hint));
        }
        // From the pause itself: the refusals of one burst would else add up their spreads.
        until = until.max(self.told_until);
        let age = to_secs(now.saturating_sub(self.last_ok));
        let spread = age.min(
            r.cold
                .max(SPREAD * r.crowd * r.hint * f64::from(1u32 << row.min(5))),
        );
        self.own_until = self
            .own_until
            .max(until + secs(r.jitter * spread * (1.0 - r.known)));
    }

    /// Takes a report of the share of the limit that is left, and of the limit in calls a second,
    /// of which `fair` is this relay's even part.
    pub fn reported(&mut self, now: Nanos, left: f64, limit: f64, fair: f64) {
        self.refill(now);
        if left < SPENT && now > self.cut_at + SEC {
            self.cut_at = now;
            self.pace = self.pace.min(self.accepted.rate(now).max(fair)).min(limit);
        } else if left > 0.5 {
            let growth = (1.0 - self.known(now)) * ROOM_GROWTH * (2.0 * left - 1.0);
            self.pace = (self.pace * (1.0 + growth)).max(fair);
        }
    }
}

/// What is known of a refusal, beside the gate that it came to.
pub struct Refusal {
    /// When the refused call was sent.
    pub sent: Nanos,
    /// The wait it told; 0: none.
    pub wait: Nanos,
    /// The wait it told or, where none is, the usual one, in seconds.
    pub hint: f64,
    /// Seconds over which to spread the return at least, where the partner may come back cold.
    pub cold: f64,
    /// How many are refused after a refusal for each that is accepted.
    pub crowd: f64,
    /// Word came that the limit is used up.
    pub spent: bool,
    /// How far the relay's own calls told what the gate takes, before this one.
    pub known: f64,
    /// This relay's even part of a known limit.
    pub fair: Option<f64>,
    /// Messages a second that come in for the destination.
    pub demand: f64,
    /// Drawn evenly from 0 to 1.
    pub jitter: f64,
}

/// What the destinations of a kind usually do, as seen from all of them together: each alone is
/// called too rarely.
#[derive(Clone, Debug, Default)]
pub struct Lore {
    /// Wait told, in seconds.
    pub told: f64,
    /// Share of the calls next after a refusal that find room. Low where many wait, and where
    /// refused calls use up the limit; there the return is spread out and the pace is cut.
    pub room: f64,
    /// Suspicion that its endpoints are out of connections.
    pub crowded: Reaper,
}

impl Lore {
    /// A kind of which nothing is known.
    pub fn new() -> Self {
        Lore {
            told: to_secs(OWN_PAUSE),
            room: 0.5,
            ..Lore::default()
        }
    }

    /// Learns whether the first call after a refusal found room.
    pub fn tried(&mut self, found: bool) {
        self.room += LORE_GAIN * (f64::from(u8::from(found)) - self.room);
    }

    /// Learns from the wait of a refusal. The wait in seconds, or the usual one where none was
    /// told; and whether it is odd: not the limit's.
    pub fn waits(&mut self, wait: Nanos) -> (f64, bool) {
        let hint = if wait > 0 { to_secs(wait) } else { self.told };
        let odd = (hint - self.told).abs() > ODD_WAIT * self.told;
        self.told += if wait > 0 { LORE_GAIN } else { 0.0 } * (hint - self.told);
        (hint, odd)
    }

    /// How many calls are refused after a refusal for each that finds room.
    pub fn crowd(&self) -> f64 {
        (1.0 - self.room) / self.room.max(0.05)
    }
}
