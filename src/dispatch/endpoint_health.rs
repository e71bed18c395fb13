//! How an endpoint is doing, from what this relay's calls there came to. No I/O, no clock; the
//! caller brings time and randomness.

use crate::dispatch::api::{DestinationId, Listing, Nanos, Outcome, Settings};
use crate::dispatch::rate_control::{RARE, SPENT};
use crate::dispatch::rate_quota::unseen;
use crate::dispatch::statistics::{secs, to_secs, Meter, MS, RATE, SEC};

/// First and longest gap between trials of a sick endpoint; an outage's seconds deserve a few calls
/// each.
pub const TRIAL_GAPS: (Nanos, Nanos) = (300 * MS, 1_500 * MS);
/// Attempt time-outs: over a slow handshake and call, and short enough that a hang does not keep
/// the slot.
const TIMEOUT: (Nanos, Nanos) = (2 * SEC, 8 * SEC);
/// Latency assumed before any is seen, in seconds.
pub const LATENCY_GUESS: f64 = 0.4;
/// How a time-out widens the spread: all may just have become slower.
const SLOWER: f64 = 2.0;
/// Hard failures in a row that make an endpoint sick.
const STREAK: u32 = 2;
/// Refusals in a row, with no success between, from which on an endpoint that is long silent is
/// taken for shut.
const SHUT: u32 = 3;
/// Share of failing calls at which most are failing, with some margin for small samples.
const FAILING: f64 = 0.45;
/// Part of the highest throughput forgotten with each success.
const BASE_FADE: f64 = 0.005;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Health {
    #[default]
    Healthy,
    /// Nothing but one trial at a time.
    Ejected,
    /// Back, perhaps cold: sends spend a budget that grows with the warm-up.
    SlowStart,
}

/// What is known of one endpoint, from this relay's own calls alone.
#[derive(Debug, Default)]
pub struct Host {
    pub dest: DestinationId,
    pub zone: u16,
    pub kind: usize,
    pub ready: bool,
    /// This relay's leaning to it, drawn once: a factor on its cost.
    pub taste: f64,
    /// Rate in the list.
    pub listed: f64,
    pub health: Health,
    /// When a sick endpoint may be tried next, and the gap after that.
    pub trial_at: Nanos,
    pub gap: Nanos,
    /// When a returning endpoint first answered, or last failed.
    pub since: Nanos,
    pub streak: u32,
    pub fails: f64,
    pub last_ok: Nanos,
    /// When a call last failed or was refused here, or it was taken for down with its siblings; at
    /// first when it was listed.
    pub failed_at: Nanos,
    /// Send time of the first call of the present row of failures.
    pub first_bad: Nanos,
    pub latency: f64,
    pub spread: f64,
    pub rate: Meter,
    /// The highest throughput seen, slowly forgotten.
    pub base: f64,
    pub calls: u32,
    /// When a call here last ended; its connection is idle since.
    pub used_at: Option<Nanos>,
    /// When a connection failed here, where the next call will tell whether it was down.
    pub turned_at: Option<Nanos>,
    /// A call got lost here: the next goes on a new connection.
    pub doubt_link: bool,
}

/// What is known of a call that has ended, beside how.
pub struct Came {
    pub sent: Nanos,
    /// It was a trial of an endpoint that was down.
    pub trial: bool,
    /// How far the relay's own calls told what is taken there, before this one.
    pub known: f64,
    /// Drawn evenly from 0 to 1.
    pub draw: f64,
}

impl Host {
    /// One that has just been listed.
    pub fn new(l: &Listing, now: Nanos) -> Self {
        Host {
            dest: l.dest,
            zone: l.zone,
            last_ok: now,
            failed_at: now,
            latency: LATENCY_GUESS,
            spread: LATENCY_GUESS,
            rate: Meter::new(now, RATE.0),
            ..Host::default()
        }
    }

    /// Time-out of a call of this weight.
    pub fn timeout(&self, weight: f64) -> Nanos {
        secs((self.latency + 6.0 * self.spread) * weight).clamp(TIMEOUT.0, TIMEOUT.1)
    }

    /// It is taken for down.
    pub fn fall(&mut self, now: Nanos, jitter: f64) {
        let grown = (self.gap * 3 / 2).min(TRIAL_GAPS.1);
        self.gap = if self.health == Health::Ejected {
            grown
        } else {
            TRIAL_GAPS.0
        };
        self.trial_at = now + secs(to_secs(self.gap) * (0.7 + 0.6 * jitter));
        self.health = Health::Ejected;
    }

    /// A call is answered.
    pub fn answered(&mut self, now: Nanos, of: &Came, s: &Settings) {
        let brief = now.saturating_sub(self.first_bad) < s.overload_window * 3 / 2;
        (self.streak, self.last_ok) = (0, now);
        self.fails *= 0.8;
        let t = to_secs(now.saturating_sub(of.sent));
        if self.base == 0.0 && of.known < RARE {
            (self.latency, self.spread) = (t, t);
        }
        self.spread += 0.2 * ((t - self.latency).abs() - self.spread);
        self.latency += 0.15 * (t - self.latency);
        self.base += (self.rate.hit(now, RATE) - self.base).max(BASE_FADE * -self.base);
        if self.health == Health::Ejected {
            // An outage lasts: a row of failures that ends this soon was chance or a slow spell.
            self.health = if brief {
                Health::Healthy
            } else {
                Health::SlowStart
            };
            let back = unseen(to_secs(now - self.failed_at), s.senders);
            self.since = now - secs(back);
        } else if now > self.since + s.slow_start_duration {
            self.health = Health::Healthy;
        }
    }

    /// A call was refused, the last of so many in a row, and told to wait. `left`: the share of the
    /// limit left, by a report.
    pub fn refused(
        &mut self,
        now: Nanos,
        (row, wait): (u32, Nanos),
        left: Option<f64>,
        of: &Came,
        s: &Settings,
    ) {
        let silent = now.saturating_sub(self.last_ok.max(self.first_bad)) > s.overload_window;
        let unused = left > Some(1.0 - SPENT) && of.known < RARE; // refused with the limit unused: shut
        let shut = unused || row >= SHUT && silent && left.is_none_or(|l| l >= SPENT);
        if shut || self.health == Health::Ejected || wait > s.overload_window * 3 / 2 {
            // Full for long is shut: it comes back cold, and every relay was told the same moment.
            self.fall(now, of.draw);
            self.trial_at = self.trial_at.max(now + wait);
        }
    }

    /// A call came to nothing. `crowded`: it got no connection, and its kind is suspected to be out
    /// of them.
    pub fn failed(&mut self, now: Nanos, end: Outcome, crowded: bool, of: &Came, s: &Settings) {
        // Calls lost while others sent later were answered tell of loss on the way, not of an
        // outage.
        let alone = self.last_ok <= of.sent;
        self.streak += u32::from(alone);
        self.fails += 0.2 * (1.0 - self.fails);
        let slower = if alone && end == Outcome::Timeout {
            SLOWER
        } else {
            1.0
        };
        self.spread = (self.spread * slower).min(LATENCY_GUESS.max(self.latency * slower));
        let hard = end != Outcome::Error;
        // One failure is enough where nothing was answered for long: calls are too rare for rows.
        let rare = alone && hard && of.sent.saturating_sub(self.last_ok) > s.overload_window;
        let stale = rare && of.known < RARE && !crowded;
        let enough = STREAK + 2 * u32::from(!hard) + u32::from(crowded);
        if self.streak >= enough || of.trial && hard || stale {
            self.fall(now, of.draw);
        } else if self.health == Health::SlowStart || self.fails > FAILING {
            // Most calls fail though some get through: hold to the cold budget until that ends.
            (self.health, self.since) = (Health::SlowStart, now);
        }
    }

    /// Whether it fails or most of its calls do.
    pub fn ails(&self) -> bool {
        self.health == Health::Ejected || self.fails > 0.3
    }
}
