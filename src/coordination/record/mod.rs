//! The record of a site: the state on which all its replicas agree. Each applies the same commands
//! in the same order and reaches the same record.
//!
//! This module owns the roster of senders, the orders for zones and the record's clock. The parts
//! for policies, routing tables and the site's member of a federation belong to
//! [`super::policy_rollout::register`], [`super::routing_table::tables`] and
//! [`super::routing_table::durable_vote`]; commands for them are passed on. The record makes no
//! decisions: the leader proposes commands ([`super::leader`]), the Raft group orders them
//! ([`super::raft_group`]) and calls [`Record::apply`].
//!
//! # The record's clock
//!
//! The record reads no clock, yet some of its content is valid for a limited time (an operator's
//! request, the backoff before a return). It therefore has a clock of its own,
//! [`Record::clock_ms`], to which the leader adds the time since its last heartbeat by its own
//! clock ([`Command::AdvanceClock`]). A proposal that a leader makes after its successor was
//! elected is not committed. The successor counts from the last heartbeat that it saw, and so
//! includes the time between the two terms; otherwise anything with a time limit (a site's lease in
//! its federation) would last longer with each change of leader. Two leaders therefore count the
//! same time twice for at most one heartbeat interval. The clock is up to one heartbeat interval
//! behind, so a time limit may be off by one or two intervals.

mod apply;
mod replicated;

use crate::coordination::messages::{RequestedZoneState, SenderView, ZoneOrder};
use crate::coordination::policy_rollout::register::{Change, Policies};
use crate::coordination::raft_log::LogItem;
use crate::coordination::routing_table::durable_vote::DurableVote;
use crate::coordination::routing_table::tables::{self, SiteTables};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of senders on the roster, including those that expired: three fleets of the
/// largest size that is tested. The senders that expired first are removed first.
pub const MAX_SENDERS: usize = 10_000;
/// Maximum number of zones in the record: four times the number in the largest site that is tested.
pub const MAX_ZONES: usize = 200;

/// A change to the record. Applying it reads no clock.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A sender has a session.
    AddSender {
        /// Name of the sender.
        sender: String,
        /// Random identifier of its process, drawn at the start of the process.
        boot: u64,
        /// Zone in which it runs.
        zone: String,
    },
    /// A sender's lease has expired, or it shut down. Does not apply to a later process of the
    /// sender.
    ExpireSender {
        /// Name of the sender.
        sender: String,
        /// Identifier of the process.
        boot: u64,
    },
    /// Heartbeat of the leader of this term, with the time that it has counted since its last one.
    AdvanceClock {
        /// Term of the leader.
        term: u64,
        /// Number of the heartbeat within the term.
        beat: u64,
        /// Milliseconds on the leader's clock.
        ms: u32,
    },
    /// An order for a zone; void if another order was applied since it was decided.
    SetZonePhase {
        /// [`Record::epoch`] on which the decision was based.
        base: u64,
        /// The zone.
        zone: String,
        /// The phase.
        phase: Phase,
        /// Fraction of the senders that is evacuated, by destination in ascending order.
        out: Vec<(u16, f32)>,
        /// Number of recent returns to the zone, successful or not.
        return_attempts: u32,
        /// Reason, for operators.
        reason: String,
    },
    /// An operator's request for a zone.
    RequestZoneState {
        /// The zone.
        zone: String,
        /// The requested state; [`RequestedZoneState::Free`] withdraws the request.
        state: RequestedZoneState,
        /// Validity on the record's clock, in milliseconds; 0 until the next request.
        for_ms: u64,
    },
    /// Attempts in a zone on a recovery ramp that the leader of this term may lease out, and the
    /// progress of the ramp by destination. Void if the zone is in another epoch.
    AllocateAttempts {
        /// Term of the leader.
        term: u64,
        /// Number of the slice within the term.
        slice: u64,
        /// The zone.
        zone: String,
        /// Epoch of the return.
        epoch: u64,
        /// Attempts by destination.
        calls: Vec<(u16, u32)>,
        /// Time since the first answer of this return, by destination, in milliseconds.
        warm: Vec<(u16, u32)>,
    },
    /// A change of the policies; void if another change was applied first.
    ChangePolicies {
        /// [`Policies::turn`] on which the decision was based.
        base: u64,
        /// The change.
        change: Box<Change>,
    },
    /// A change of the routing tables at this site; void if another change was applied first.
    ChangeTables {
        /// [`SiteTables::turn`] on which the decision was based.
        base: u64,
        /// The change.
        change: Box<tables::Change>,
    },
    /// The leader of this term acts as the site's member of its federation: later proposals of
    /// earlier leaders are void.
    FenceMember {
        /// Term of the leader.
        term: u64,
    },
    /// An item that the site's member of its federation writes to its log; see
    /// [`DurableVote::put`].
    PersistMemberLog {
        /// Term of the leader.
        term: u64,
        /// Number of the item within the term, from 1.
        number: u64,
        /// The item.
        item: LogItem,
    },
}

/// A sender on the roster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// Identifier of its process.
    pub boot: u64,
    /// Zone in which it runs.
    pub zone: String,
    /// Whether it holds a lease.
    pub live: bool,
    /// Index of the log entry that last set `live`.
    pub since: u64,
}

/// Phase of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// In use, without an evacuation order.
    #[default]
    Used,
    /// Evacuated.
    Left,
    /// On its recovery ramp.
    Returning,
}

/// An operator's request for a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOverride {
    /// The requested state.
    pub state: RequestedZoneState,
    /// Time on the record's clock at which the request expires; 0: never.
    pub until_ms: u64,
}

/// A slice of attempts that a leader allocated ([`Command::AllocateAttempts`]).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceId {
    /// Term of the leader.
    pub term: u64,
    /// Number of the slice within that term.
    pub number: u64,
}

/// A zone of the record. Zones in use without a request or recent returns are not stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Zone {
    /// The ordered phase.
    pub phase: Phase,
    /// Epoch of the order.
    pub epoch: u64,
    /// Fraction of the senders that is evacuated, by destination.
    pub out: Vec<(u16, f32)>,
    /// Fraction of the senders that the last evacuation moved out, by destination.
    pub left: Vec<(u16, f32)>,
    /// Number of recent returns to the zone, successful or not.
    pub return_attempts: u32,
    /// Reason of the order.
    pub reason: String,
    /// Time of the order on the record's clock, in milliseconds.
    pub since_ms: u64,
    /// An operator's request.
    pub request: Option<ZoneOverride>,
    /// Last slice of its return.
    pub last_slice: SliceId,
    /// Warm-up time by destination, in milliseconds.
    pub warm: Vec<(u16, u32)>,
}

impl Zone {
    /// Whether the record has to store the zone: it is not in use, or has a request or recent
    /// returns.
    fn must_be_stored(&self) -> bool {
        self.phase != Phase::Used || self.request.is_some() || self.return_attempts > 0
    }
}

/// The record of a site.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Index of the last applied command.
    pub version: u64,
    /// The senders, by name.
    pub roster: BTreeMap<String, RosterEntry>,
    /// The zones, by name.
    pub zones: BTreeMap<String, Zone>,
    /// Epoch of the last order.
    pub epoch: u64,
    /// Index of the log entry that last changed the view for senders.
    pub changed: u64,
    /// The record's clock: time counted by leaders, in milliseconds.
    pub clock_ms: u64,
    /// Policies. They were added later, so a snapshot contains them after the fields that older
    /// versions wrote.
    #[serde(skip)]
    pub policies: Policies,
    /// Routing tables. They were added after the policies and follow them in a snapshot.
    #[serde(skip)]
    pub tables: SiteTables,
    /// Log of the site's member of its federation; follows the routing tables in a snapshot.
    #[serde(skip)]
    pub durable_vote: DurableVote,
}

impl Record {
    /// Whether the record contains a zone or has room for it.
    pub fn has_room(&self, zone: &str) -> bool {
        self.zones.contains_key(zone) || self.zones.len() < MAX_ZONES
    }

    /// Returns the part of the record that senders apply.
    pub fn view(&self) -> SenderView {
        let ordered = self.zones.iter().filter(|(_, z)| z.phase != Phase::Used);
        let zones = ordered.map(|(zone, z)| ZoneOrder {
            zone: zone.clone(),
            epoch: z.epoch,
            returning: z.phase == Phase::Returning,
            out: z.out.clone(),
        });
        SenderView {
            version: self.version,
            zones: zones.collect(),
        }
    }

    /// Whether the view of a sender that applies this version is out of date.
    pub fn is_view_outdated(&self, version: u64) -> bool {
        version == 0 || version < self.changed || version > self.version
    }
}

#[cfg(test)]
mod tests;
