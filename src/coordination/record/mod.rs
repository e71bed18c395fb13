//! The record of a site: what all its replicas agree on. Each applies the same commands in the same
//! order and comes to the same record.
//!
//! This module owns the roster of senders, the orders for zones and the record's clock. The parts
//! for policies, routing tables and the site's member of a federation are of
//! [`super::policy_rollout::register`], [`super::routing_table::tables`] and
//! [`super::routing_table::durable_vote`]; a command for one of them is handed on. It decides
//! nothing: the leader proposes commands ([`super::leader`]), the group brings them into their
//! order ([`super::raft_group`]) and calls [`Record::apply`].
//!
//! # The record's clock
//!
//! The record reads no clock, yet some of it lasts for a time (an operator's request, a rest before
//! a return). So it has a clock of its own, [`Record::clock_ms`]: the leader adds what it counted
//! itself since its last heartbeat ([`Command::AdvanceClock`]). What a leader proposes after its
//! successor was elected is not committed; a successor counts from the last heartbeat that it saw,
//! and with it the time between the two: else what is to end in time (a site's lease in its
//! federation) would last longer with each leader. So two leaders count the same moment for a
//! heartbeat at the most. The clock is up to a heartbeat behind: what waits for it may be one or two
//! short.

mod apply;
mod replicated;

use crate::coordination::messages::{RequestedZoneState, SenderView, ZoneOrder};
use crate::coordination::policy_rollout::register::{Change, Policies};
use crate::coordination::raft_log::LogItem;
use crate::coordination::routing_table::durable_vote::DurableVote;
use crate::coordination::routing_table::tables::{self, SiteTables};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Senders that the roster names at the most, those that lapsed among them: three fleets of the
/// largest size that is tested. Those that lapsed first go first.
pub const MAX_SENDERS: usize = 10_000;
/// Zones that the record names at the most: four times as many as any site that is tested has.
pub const MAX_ZONES: usize = 200;

/// A change of the record. Nothing in it is read from a clock when it is applied.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A sender has a session.
    AddSender {
        /// Name of the sender.
        sender: String,
        /// Drawn when its process started.
        boot: u64,
        /// Zone that it stands in.
        zone: String,
    },
    /// A sender's lease has expired, or it shut down; says nothing of a later process of it.
    ExpireSender {
        /// Name of the sender.
        sender: String,
        /// The process.
        boot: u64,
    },
    /// The leader of this term led when it proposed this, and has counted so much time since its
    /// last heartbeat.
    AdvanceClock {
        /// Term of the leader.
        term: u64,
        /// Numbers the heartbeats of a term.
        beat: u64,
        /// Milliseconds on the leader's clock.
        ms: u32,
    },
    /// What is to be done with a zone; void where another order was applied since it was decided.
    SetZonePhase {
        /// [`Record::epoch`] that the decision was based on.
        base: u64,
        /// The zone.
        zone: String,
        /// The phase.
        phase: Phase,
        /// By destination, the fraction of the senders that is out, in ascending order of
        /// destinations.
        out: Vec<(u16, f32)>,
        /// How often it was returned to lately, successfully or not.
        return_attempts: u32,
        /// Why, for operators.
        reason: String,
    },
    /// An operator's request for a zone.
    RequestZoneState {
        /// The zone.
        zone: String,
        /// The state; [`RequestedZoneState::Free`] withdraws the request.
        state: RequestedZoneState,
        /// How long it holds on the record's clock, in milliseconds; 0 until another request.
        for_ms: u64,
    },
    /// Attempts in a zone on a recovery ramp that the leader of this term may lease out, and how
    /// far the ramp is by destination. Of another epoch: void.
    AllocateAttempts {
        /// Term of the leader.
        term: u64,
        /// Numbers the slices of a term.
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
    /// A change of the policies; void where another change came first.
    ChangePolicies {
        /// [`Policies::turn`] that the decision was based on.
        base: u64,
        /// The change.
        change: Box<Change>,
    },
    /// A change of the routing tables at this site; void where another change came first.
    ChangeTables {
        /// [`SiteTables::turn`] that the decision was based on.
        base: u64,
        /// The change.
        change: Box<tables::Change>,
    },
    /// The leader of this term is the site's member of its federation: what earlier leaders propose
    /// later is void.
    FenceMember {
        /// Term of the leader.
        term: u64,
    },
    /// What the site's member of its federation writes to its log; see [`DurableVote::put`].
    PersistMemberLog {
        /// Term of the leader.
        term: u64,
        /// Numbers the items of a term, from 1.
        number: u64,
        /// The item.
        item: LogItem,
    },
}

/// A sender on the roster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// Its process.
    pub boot: u64,
    /// Zone that it stands in.
    pub zone: String,
    /// Whether it holds a lease.
    pub live: bool,
    /// Index of the entry that said so last.
    pub since: u64,
}

/// What stands of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// In use: there is no order.
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
    /// The state.
    pub state: RequestedZoneState,
    /// Time on the record's clock at which it ends; never, where it is 0.
    pub until_ms: u64,
}

/// A slice of attempts that a leader allocated ([`Command::AllocateAttempts`]).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceId {
    /// Term of the leader.
    pub term: u64,
    /// Number of the slice in that term.
    pub number: u64,
}

/// A zone of the record. Those that are in use and without a request are not named.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Zone {
    /// What is ordered.
    pub phase: Phase,
    /// Epoch of the order.
    pub epoch: u64,
    /// By destination, the fraction of the senders that is out.
    pub out: Vec<(u16, f32)>,
    /// The same as it was when the zone was last evacuated.
    pub left: Vec<(u16, f32)>,
    /// How often it was returned to lately, successfully or not.
    pub return_attempts: u32,
    /// Why it is ordered.
    pub reason: String,
    /// When it was ordered, on the record's clock.
    pub since_ms: u64,
    /// An operator's request.
    pub request: Option<ZoneOverride>,
    /// The last slice of its return.
    pub last_slice: SliceId,
    /// How long it has been warming up, by destination, in milliseconds.
    pub warm: Vec<(u16, u32)>,
}

impl Zone {
    /// A zone in use, without a request and without failed returns, is not named.
    fn is_named(&self) -> bool {
        self.phase != Phase::Used || self.request.is_some() || self.return_attempts > 0
    }
}

/// The record of a site.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Index of the last command that was applied.
    pub version: u64,
    /// The senders, by name.
    pub roster: BTreeMap<String, RosterEntry>,
    /// The zones, by name.
    pub zones: BTreeMap<String, Zone>,
    /// Epoch of the last order.
    pub epoch: u64,
    /// Index of the entry that last changed what senders are to know.
    pub changed: u64,
    /// Time that leaders counted, in milliseconds.
    pub clock_ms: u64,
    /// Policies. They came later: in a snapshot they stand behind what older programs wrote.
    #[serde(skip)]
    pub policies: Policies,
    /// Routing tables, which came even later and stand behind those.
    #[serde(skip)]
    pub tables: SiteTables,
    /// What the site's member of its federation has written; behind those.
    #[serde(skip)]
    pub durable_vote: DurableVote,
}

impl Record {
    /// Whether a zone is named or may be.
    pub fn has_room(&self, zone: &str) -> bool {
        self.zones.contains_key(zone) || self.zones.len() < MAX_ZONES
    }

    /// The part of the record that senders are to know.
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

    /// Whether a sender that goes by this version lacks something of what senders are to know.
    pub fn is_news_to(&self, version: u64) -> bool {
        version == 0 || version < self.changed || version > self.version
    }
}

#[cfg(test)]
mod tests;
