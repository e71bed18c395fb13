//! What a relay keeps in mind, and plain helpers. No decision and no tuned number is here: `src/policy.rs` has them.

use crate::fleet::Part;
use crate::interface::*;
use crate::links::Reaper;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const MS: Time = 1_000_000;
pub const SEC: Time = 1_000 * MS;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Health {
    #[default]
    Well,
    /// Nothing but one trial at a time.
    Sick,
    /// Back, perhaps cold: sends spend a budget that grows with the warm-up.
    Ramp,
}

/// What is known of one endpoint, from this relay's own calls alone.
#[derive(Debug, Default)]
pub struct Host {
    pub dest: DestId,
    pub zone: u16,
    pub kind: usize,
    pub ready: bool,
    /// This relay's leaning to it, drawn once: a factor on its cost.
    pub taste: f64,
    /// Rate in the list.
    pub listed: f64,
    pub health: Health,
    /// When a sick endpoint may be tried next, and the gap after that.
    pub trial_at: Time,
    pub gap: Time,
    /// When a returning endpoint first answered, or last failed.
    pub since: Time,
    pub streak: u32,
    pub fails: f64,
    pub last_ok: Time,
    /// When a call last failed or was refused here, or it was taken for down with its siblings; at first when it was listed.
    pub failed_at: Time,
    /// Send time of the first call of the present row of failures.
    pub first_bad: Time,
    pub latency: f64,
    pub spread: f64,
    pub rate: Meter,
    /// The highest throughput seen, slowly forgotten.
    pub base: f64,
    pub calls: u32,
    /// When a call here last ended; its connection is idle since.
    pub used_at: Option<Time>,
    /// When a connection failed here, where the next call will tell whether it was down.
    pub turned_at: Option<Time>,
    /// A call got lost here: the next goes on a new connection.
    pub doubt_link: bool,
}

/// Pause and pace: one per destination, or per route where routes are apart.
#[derive(Debug, Default)]
pub struct Gate {
    pub told_until: Time,
    pub own_until: Time,
    /// Calls a second that the destination takes from this relay, once a refusal has shown a bound.
    pub pace: f64,
    /// This relay's part of what is listed, where it is one of many: bounds the pace from the first call on.
    pub part: Option<Part>,
    /// Even parts that the relay may take, where it has one: a factor on the pace.
    pub parts: f64,
    pub tokens: f64,
    pub accepted: Meter,
    pub at: Time,
    pub last_ok: Time,
    pub cut_at: Time,
    pub refusals: u32,
    /// Limit in calls a second as last reported; 0: none.
    pub limit: f64,
    pub proven: u32,
    /// Calls that endpoints which are down or coming back may be sent now; trials spend it too.
    pub budget: f64,
    pub budget_at: Time,
}

/// One destination: its endpoints, its line, its gates.
#[derive(Debug, Default)]
pub struct Dispatcher {
    pub hosts: BTreeSet<Endpoint>,
    /// Messages that came in.
    pub demand: Meter,
    pub line: BTreeSet<MessageId>,
    pub gates: BTreeMap<Option<Endpoint>, Gate>,
    /// When the line is looked at next if nothing happens here before; 0: in this turn.
    pub look_at: Time,
    /// Highest throughput of endpoints that went, until another answers.
    pub lost: f64,
    /// Most calls that a gate which went had accepted.
    pub proven: u32,
}

#[derive(Debug, Default)]
pub struct Held {
    pub m: Message,
    pub deadline: Time,
    pub born: Time,
    pub attempts: u32,
    pub out: bool,
    /// Send time and zone of the first attempt that may have run.
    pub ran: Option<(Time, u16)>,
    pub refused: bool,
    pub not_before: Time,
    pub over_share: bool,
}

impl Held {
    /// What an earlier life left of a message.
    pub fn resumed(now: Time, past: &Past) -> Self {
        let ran = past.ran.map(|(ago, zone)| (now.saturating_sub(ago), zone));
        Held { attempts: u32::from(past.attempts), ran, ..Held::default() }
    }
}

#[derive(Debug)]
pub struct Flight {
    pub call: u64,
    pub zone: u16,
    pub key: u64,
}

#[derive(Debug)]
pub struct Call {
    pub left: u32,
    pub dest: DestId,
    pub host: Endpoint,
    pub sent: Time,
    pub counted: bool,
    /// Sent after a refusal with nothing accepted since.
    pub again: bool,
    pub trial: bool,
    /// It probably took a connection that had been idle.
    pub idle: bool,
}

/// What the destinations of a kind usually do, as seen from all of them together: each alone is called too rarely.
#[derive(Clone, Debug, Default)]
pub struct Lore {
    /// Wait told, in seconds.
    pub told: f64,
    /// Share of the calls next after a refusal that find room. Low where many wait, and where refused calls
    /// use up the limit; there the return is spread out and the pace is cut.
    pub room: f64,
    /// Suspicion that its endpoints are out of connections.
    pub crowded: Reaper,
}

#[derive(Debug, Default)]
pub struct KeyLine {
    pub turn: VecDeque<MessageId>,
    pub out: u32,
    pub rest_until: Time,
    pub rest_for: MessageId,
}

/// Events a second: over the last seconds where they are frequent, over the last few events where they are rare.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    pub count: f64,
    pub span: f64,
    pub at: Time,
}

impl Meter {
    /// Nothing seen, for `span` seconds.
    pub fn new(now: Time, span: f64) -> Self {
        Meter { count: 0.0, span, at: now }
    }

    pub fn rate(&self, now: Time) -> f64 {
        self.count / (self.span + to_secs(now.saturating_sub(self.at)))
    }

    /// Counts an event. What came before fades within `tau` seconds, but keeps the part `keep` at least.
    pub fn hit(&mut self, now: Time, (tau, keep): (f64, f64)) -> f64 {
        let gap = to_secs(now.saturating_sub(self.at));
        let keep = (-gap / tau).exp().max(keep);
        (self.count, self.span, self.at) = (self.count * keep + 1.0, (self.span + gap) * keep, now);
        self.rate(now)
    }
}

/// Numbers in 0..1 from a seed (xorshift).
#[derive(Debug, Default)]
pub struct Random(pub u64);

impl Random {
    /// Small seeds are spread over all bits, or the first draws would all be near zero.
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn draw(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

pub fn to_secs(t: Time) -> f64 {
    t as f64 / SEC as f64
}

/// `much` as far as `part` goes, `little` for the rest.
pub fn mix(part: f64, much: f64, little: f64) -> f64 {
    part * much + (1.0 - part) * little
}

pub fn secs(t: f64) -> Time {
    (t * SEC as f64) as Time
}
