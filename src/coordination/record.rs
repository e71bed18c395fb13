//! What all keepers of a site agree on. Each applies the same commands in the same order and comes
//! to the same record.
//!
//! The record reads no clock, yet some of it lasts for a time (a person's word, a rest before a
//! return). So it has a clock of its own, [`Record::clock_ms`]: the leader adds what it counted
//! itself since its last beat ([`Command::AdvanceClock`]). What a leader proposes after its successor was
//! elected is not committed; a successor counts from the last beat that it saw, and with it the
//! time between the two: else what is to end in time (a site's lease in its federation) would last
//! longer with each leader. So two leaders count the same moment for a beat at the most. It is up
//! to a beat behind: what waits for it may be a beat or two short.

use crate::coordination::messages::{RequestedZoneState, SenderView, ZoneOrder};
use crate::coordination::policy_rollout::register::{Change, Policies};
use crate::coordination::raft_log::LogItem;
use crate::coordination::routing_table::durable_vote::DurableVote;
use crate::coordination::routing_table::tables::{self, SiteTables};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Senders that the roster names at the most, those that lapsed among them: three fleets of the
/// largest size that is played. Those that lapsed first go first.
pub const MAX_SENDERS: usize = 10_000;
/// Zones that the record names at the most: four times as many as any site that is played has.
pub const MAX_ZONES: usize = 200;

/// A change of the record. Nothing in it is read from a clock when it is applied.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A sender has a session.
    AddSender {
        /// Its name.
        sender: String,
        /// Its process.
        boot: u64,
        /// Where it stands.
        zone: String,
    },
    /// Its lease has lapsed, or it ended; says nothing of a later process of that sender.
    ExpireSender {
        /// Its name.
        sender: String,
        /// The process.
        boot: u64,
    },
    /// The leader of this term was in office when it proposed this, and has counted so much time
    /// since the last one.
    AdvanceClock {
        /// Its term.
        term: u64,
        /// Numbers the beats of a term.
        beat: u64,
        /// Milliseconds on its clock.
        ms: u32,
    },
    /// What is to be done with a zone; void where another order was applied since it was decided.
    SetZonePhase {
        /// [`Record::epoch`] that the decision was based on.
        base: u64,
        /// The zone.
        zone: String,
        /// What.
        phase: Phase,
        /// By destination, the part of the senders that is out, in ascending order of destinations.
        out: Vec<(u16, f32)>,
        /// How often it was returned to lately, well or not.
        tries: u32,
        /// Why, for people.
        why: String,
    },
    /// A person's word on a zone.
    RequestZoneState {
        /// The zone.
        zone: String,
        /// What is wished; [`RequestedZoneState::Free`] takes the word back.
        wish: RequestedZoneState,
        /// For so long on the record's clock, in milliseconds; 0 until another word.
        for_ms: u64,
    },
    /// Cold calls of a zone that the leader of this term may hand out, and how warm the zone is by
    /// destination. Of another epoch: void.
    AllocateAttempts {
        /// The leader's term.
        term: u64,
        /// Numbers the slices of a term.
        slice: u64,
        /// The zone.
        zone: String,
        /// The epoch of the return.
        epoch: u64,
        /// Calls by destination.
        calls: Vec<(u16, u32)>,
        /// Since the first answer of this return, by destination, in milliseconds.
        warm: Vec<(u16, u32)>,
    },
    /// What becomes of policies; void where another change came first.
    ChangePolicies {
        /// [`Policies::turn`] that the decision was based on.
        base: u64,
        /// What.
        change: Box<Change>,
    },
    /// What becomes of routing tables at this site; void where another change came first.
    ChangeTables {
        /// [`SiteTables::turn`] that the decision was based on.
        base: u64,
        /// What.
        change: Box<tables::Change>,
    },
    /// The leader of this term is the site's voice in its federation: what earlier ones bring later
    /// is void.
    FenceMember {
        /// Its term.
        term: u64,
    },
    /// What the voice of this term writes down; see [`DurableVote::put`].
    PersistMemberLog {
        /// Its term.
        term: u64,
        /// Numbers the pieces of a term, from 1.
        number: u64,
        /// What.
        piece: LogItem,
    },
}

/// A sender on the roster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// Its process.
    pub boot: u64,
    /// Where it stands.
    pub zone: String,
    /// Whether it holds a lease.
    pub live: bool,
    /// The place of the log that said so last.
    pub since: u64,
}

/// What stands of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// In use: there is no order.
    #[default]
    Used,
    /// It is left.
    Left,
    /// It is returned to.
    Returning,
}

/// A person's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOverride {
    /// What is wished.
    pub what: RequestedZoneState,
    /// It ends when the record's clock is there; never, where it is 0.
    pub until_ms: u64,
}

/// A zone of the record. Those that are in use and without a word are not named.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Zone {
    /// What is ordered.
    pub phase: Phase,
    /// The order's epoch.
    pub epoch: u64,
    /// By destination, the part of the senders that is out.
    pub out: Vec<(u16, f32)>,
    /// The same as it was when it was left last.
    pub left: Vec<(u16, f32)>,
    /// How often it was returned to lately, well or not.
    pub tries: u32,
    /// Why it is ordered.
    pub why: String,
    /// When it was ordered, on the record's clock.
    pub since_ms: u64,
    /// A person's word.
    pub wish: Option<ZoneOverride>,
    /// The last slice of its return: the term and the number.
    pub slice: (u64, u64),
    /// How long it has been warming, by destination, in milliseconds.
    pub warm: Vec<(u16, u32)>,
}

/// The record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Number of the last command that was applied.
    pub version: u64,
    /// The senders.
    pub roster: BTreeMap<String, RosterEntry>,
    /// The zones.
    pub zones: BTreeMap<String, Zone>,
    /// Epoch of the last order.
    pub epoch: u64,
    /// The place of the log that changed what senders are to know.
    pub changed: u64,
    /// Time that leaders counted, in milliseconds.
    pub clock_ms: u64,
    /// Policies. They came later: in a snapshot they stand behind what older programs wrote.
    #[serde(skip)]
    pub policies: Policies,
    /// Routing tables, which came even later and stand behind those.
    #[serde(skip)]
    pub tables: SiteTables,
    /// What the site's voice in its federation wrote down; behind those.
    #[serde(skip)]
    pub written: DurableVote,
}

impl Record {
    /// Applies the command that stands at this place of the log.
    pub fn apply(&mut self, index: u64, command: &Command) {
        self.version = index;
        match command {
            Command::AddSender { sender, boot, zone } => {
                if !self.roster.contains_key(sender) && self.roster.len() >= MAX_SENDERS {
                    let lapsed = self
                        .roster
                        .iter()
                        .filter(|(_, m)| !m.live)
                        .min_by_key(|(_, m)| m.since);
                    match lapsed.map(|(name, _)| name.clone()) {
                        Some(name) => self.roster.remove(&name),
                        None => return,
                    };
                }
                let member = RosterEntry {
                    boot: *boot,
                    zone: zone.clone(),
                    live: true,
                    since: index,
                };
                self.roster.insert(sender.clone(), member);
            }
            Command::ExpireSender { sender, boot } => {
                if let Some(m) = self
                    .roster
                    .get_mut(sender)
                    .filter(|m| m.boot == *boot && m.live)
                {
                    (m.live, m.since) = (false, index);
                }
            }
            Command::AdvanceClock { ms, .. } => {
                self.clock_ms += u64::from(*ms);
                let now = self.clock_ms;
                for zone in self.zones.values_mut() {
                    zone.wish = zone.wish.filter(|w| w.until_ms == 0 || w.until_ms > now);
                }
                self.tidy();
            }
            Command::SetZonePhase {
                base,
                zone,
                phase,
                out,
                tries,
                why,
            } => {
                if *base == self.epoch && self.has_room(zone) {
                    (self.epoch, self.changed) = (self.epoch + 1, index);
                    let (epoch, since_ms) = (self.epoch, self.clock_ms);
                    let z = self.zones.entry(zone.clone()).or_default();
                    // Steps at the end of a return don't make what is warm cold.
                    if z.phase != Phase::Returning || *phase != Phase::Returning {
                        z.warm.clear();
                    }
                    (z.phase, z.epoch, z.out, z.tries) = (*phase, epoch, out.clone(), *tries);
                    (z.why, z.since_ms) = (why.clone(), since_ms);
                    if *phase == Phase::Left {
                        z.left.clone_from(out);
                    }
                    self.tidy();
                }
            }
            Command::RequestZoneState { zone, wish, for_ms } => {
                if self.has_room(zone) {
                    let until_ms = if *for_ms == 0 {
                        0
                    } else {
                        self.clock_ms.saturating_add(*for_ms)
                    };
                    let stands = *wish != RequestedZoneState::Free;
                    self.zones.entry(zone.clone()).or_default().wish =
                        stands.then_some(ZoneOverride {
                            what: *wish,
                            until_ms,
                        });
                    self.tidy();
                }
            }
            Command::AllocateAttempts {
                term,
                slice,
                zone,
                epoch,
                warm,
                ..
            } => {
                let same = self
                    .zones
                    .get_mut(zone)
                    .filter(|z| z.epoch == *epoch && z.phase == Phase::Returning);
                if let Some(z) = same {
                    (z.slice, z.warm) = ((*term, *slice), warm.clone());
                }
            }
            Command::ChangePolicies { base, change } => {
                self.policies.apply(index, self.clock_ms, *base, change)
            }
            Command::ChangeTables { base, change } => {
                self.tables.apply(index, self.clock_ms, *base, change)
            }
            Command::FenceMember { term } => self.written.fence(*term),
            Command::PersistMemberLog {
                term,
                number,
                piece,
            } => self.written.put(*term, *number, piece),
        }
    }

    /// Whether a zone is named or may be.
    pub fn has_room(&self, zone: &str) -> bool {
        self.zones.contains_key(zone) || self.zones.len() < MAX_ZONES
    }

    /// A zone in use, without a word and without failed returns, is not named.
    fn tidy(&mut self) {
        self.zones
            .retain(|_, z| z.phase != Phase::Used || z.wish.is_some() || z.tries > 0);
    }

    /// What senders are to know of it.
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

    /// Whether one that goes by this version lacks something of what senders are to know.
    pub fn is_news_to(&self, has: u64) -> bool {
        has == 0 || has < self.changed || has > self.version
    }
}

#[cfg(test)]
mod tests;
