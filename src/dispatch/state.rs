//! What a relay keeps in mind. No decision and no tuned number is here: `src/policy.rs`, `pace.rs`
//! and `health.rs` have them.

use crate::dispatch::api::*;
use crate::dispatch::rate_control::Gate;
pub use crate::dispatch::statistics::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One destination: its endpoints, its line, its gates.
#[derive(Debug, Default)]
pub struct DestinationQueue {
    pub hosts: BTreeSet<EndpointAddress>,
    /// Messages that came in.
    pub demand: Meter,
    pub line: BTreeSet<MessageId>,
    pub gates: BTreeMap<Option<EndpointAddress>, Gate>,
    /// When the line is looked at next if nothing happens here before; 0: in this turn.
    pub look_at: Nanos,
    /// Highest throughput of endpoints that went, until another answers.
    pub lost: f64,
    /// Most calls that a gate which went had accepted.
    pub proven: u32,
}

#[derive(Debug, Default)]
pub struct Held {
    pub m: Message,
    pub deadline: Nanos,
    pub born: Nanos,
    pub attempts: u32,
    pub out: bool,
    /// Send time and zone of the first attempt that may have run.
    pub ran: Option<(Nanos, u16)>,
    pub refused: bool,
    pub not_before: Nanos,
    pub over_share: bool,
}

impl Held {
    /// What an earlier life left of a message.
    pub fn resumed(now: Nanos, prior: &PriorAttempts) -> Self {
        let ran = prior
            .may_have_run
            .map(|run| (now.saturating_sub(run.age), run.zone));
        Held {
            attempts: u32::from(prior.attempts),
            ran,
            ..Held::default()
        }
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
    pub dest: DestinationId,
    pub host: EndpointAddress,
    pub sent: Nanos,
    pub counted: bool,
    /// Sent after a refusal with nothing accepted since.
    pub again: bool,
    pub trial: bool,
    /// It probably took a connection that had been idle.
    pub idle: bool,
}

#[derive(Debug, Default)]
pub struct KeyLine {
    pub turn: VecDeque<MessageId>,
    pub out: u32,
    pub rest_until: Nanos,
    pub rest_for: MessageId,
}
