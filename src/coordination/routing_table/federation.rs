//! The replicated state of a federation: its roster of sites and its routing tables. Each site
//! applies the same commands in the same order and so arrives at the same record.
//!
//! This module owns how commands apply and which are void; it proposes none itself. The raft group
//! of the sites' members ([`member`](super::member)) applies them; [`cutover`](super::cutover) and
//! operators' requests propose them.
//!
//! Invariant: a table is decided by the accept command of the last site on the roster and by
//! nothing else. No proposal is opened before all sites use the table that was decided last. So at
//! most two tables are in use at any time, and they are consecutive.
//!
//! Like a site's record, this state reads no clock. It has a clock of its own, which the leading
//! site advances.

use crate::coordination::messages::Digest;
use crate::coordination::replicated_state::{ReplicatedState, SizeLimits, MAX_COMMAND_BYTES};
use crate::coordination::truncate_utf8;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Largest number of sites on the roster. Each accepts a table by a command of its own; the tests
/// run up to five on one machine.
pub const MAX_SITES: usize = 50;
/// Largest number of ended proposals in the record.
pub const MAX_PAST_PROPOSALS: usize = 50;
/// Largest number of removed site numbers that are listed one by one. When the lowest is dropped
/// from the list, all numbers up to it count as used.
pub const MAX_REMOVED_SITES: usize = 1_000;
/// Longest text of a table, in bytes: 200 routes of about 80 bytes. Three such texts and the data
/// around them fit in one log entry.
pub const MAX_TEXT_BYTES: usize = 16 * 1024;
/// Time after a committed heartbeat during which the leading site grants leases, in milliseconds:
/// two heartbeats and the delay of a slow network.
pub const LEASE_GRANT_WINDOW_MS: u32 = 3_000;
/// Longest stored reason for the end of a proposal, in bytes.
const MAX_REASON_BYTES: usize = 1_000;
/// Total size of the stored reasons, in bytes. With three tables, the record still fits in one
/// entry of a site's log.
const MAX_REASONS_BYTES: usize = 8 * 1024;

/// A command of the federation's log. Each may be proposed more than once: the repetition has no
/// effect or is void.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A heartbeat, proposed by the site that leads in this term. It advances the record's clock by
    /// the time that the leader measured since its last heartbeat.
    Beat {
        /// Raft term of the leading site.
        term: u64,
        /// Number of the heartbeat in its term.
        beat: u64,
        /// Time since the last heartbeat on the leader's clock, in milliseconds.
        ms: u32,
    },
    /// Proposes a table. Void while another proposal is open, or before all sites use the table
    /// that was decided last.
    Propose {
        /// Name of the site where the table was proposed.
        by: String,
        /// Identifies this proposal among those of the site, so that a repeated submission is not a
        /// second proposal.
        key: u64,
        /// Text of the table.
        text: String,
        /// Digest of the table.
        digest: Digest,
        /// Time in which all sites have to accept the table, in milliseconds of the record's clock.
        /// After it, the proposal ends without a decision.
        within_ms: u64,
    },
    /// A site accepts the proposed table: it has checked the table, and its record and all its
    /// senders store it. The last acceptance decides.
    Accept {
        /// Number of the site.
        site: u64,
        /// Number of the table.
        number: u64,
    },
    /// A site refuses the proposed table, which ends the proposal without a decision.
    Refuse {
        /// Number of the site.
        site: u64,
        /// Number of the table.
        number: u64,
        /// The reason.
        why: String,
    },
    /// Ends the proposal without a decision, at an operator's request.
    Abort {
        /// Number of the table.
        number: u64,
        /// The reason.
        why: String,
    },
    /// A site has cut over: all its senders use the decided table.
    CutOver {
        /// Number of the site.
        site: u64,
        /// Number of the table.
        number: u64,
    },
    /// Adds a site to the roster, under a number that was never used.
    Join {
        /// Number of the site.
        site: u64,
        /// Name of the site.
        name: String,
    },
    /// Removes a site from the roster. An open proposal ends.
    Off {
        /// Number of the site.
        site: u64,
    },
    /// Sets the length of the leases that the leading site grants.
    Leases {
        /// Length of a lease, in milliseconds.
        ms: u32,
    },
}

/// A site on the roster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Site {
    /// Name of the site.
    pub name: String,
    /// Number of the table that the site reported as in use.
    pub uses: u64,
}

/// A routing table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingTable {
    /// Number of the table; 0 means routing by the endpoint list alone. Numbers grow, and that of a
    /// proposal that ended without a decision is not used again.
    pub number: u64,
    /// Digest of the table.
    pub digest: Digest,
    /// Text of the table.
    pub text: String,
}

/// Identifies a proposal: the site where it was made, and its key among the proposals of that site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProposalKey {
    /// Name of the site.
    pub site: String,
    /// The key that the site gave.
    pub key: u64,
}

/// An open proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The proposed table.
    pub table: RoutingTable,
    /// Site and key of the proposal.
    pub by: ProposalKey,
    /// Numbers of the sites that have accepted it.
    pub accepted: BTreeSet<u64>,
    /// Time of the proposal, on the record's clock, in milliseconds.
    pub since_ms: u64,
    /// Time at which it ends without a decision, on the record's clock, in milliseconds.
    pub until_ms: u64,
}

/// An ended proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedProposal {
    /// Number of the table.
    pub number: u64,
    /// Digest of the table.
    pub digest: Digest,
    /// Site and key of the proposal.
    pub by: ProposalKey,
    /// Outcome: [`DECIDED`], or the reason for its end without a decision.
    pub end: String,
    /// Time of the proposal, on the record's clock, in milliseconds.
    pub since_ms: u64,
    /// Time of its end, on the record's clock, in milliseconds.
    pub ended_ms: u64,
}

/// Outcome of a proposal that all sites have accepted.
pub const DECIDED: &str = "decided";

/// The federation's record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Federation {
    /// Number of the last command that was applied.
    pub version: u64,
    /// The record's clock: the time that the leading sites measured, in milliseconds.
    pub clock_ms: u64,
    /// The roster, by site number.
    pub sites: BTreeMap<u64, Site>,
    /// Numbers of sites that were removed from the roster.
    pub off: BTreeSet<u64>,
    /// All site numbers up to this one count as used.
    pub used: u64,
    /// Length of leases, in milliseconds; 0 before it was first set.
    pub lease_ms: u32,
    /// Latest end of leases that were granted with an earlier length, on the record's clock, in
    /// milliseconds.
    pub earlier_ms: u64,
    /// The table that was decided last.
    pub table: RoutingTable,
    /// The table decided before that one, which sites may still use.
    pub before: RoutingTable,
    /// Number of the table that was proposed last.
    pub given: u64,
    /// The open proposal.
    pub proposal: Option<Proposal>,
    /// Ended proposals, the newest last.
    pub past: VecDeque<EndedProposal>,
}

impl Federation {
    /// Applies the command at this index of the log.
    pub fn apply(&mut self, index: u64, command: &Command) {
        self.version = index;
        match command {
            Command::Beat { ms, .. } => self.advance_clock(*ms),
            Command::Propose {
                by,
                key,
                text,
                digest,
                within_ms,
            } => {
                let by = ProposalKey {
                    site: by.clone(),
                    key: *key,
                };
                self.propose(by, text, *digest, *within_ms);
            }
            Command::Accept { site, number } => self.accept(*site, *number),
            Command::Refuse { site, number, why } => self.refuse(*site, *number, why),
            Command::Abort { number, why } => self.end_proposal_of(*number, why),
            Command::CutOver { site, number } => self.cut_over(*site, *number),
            Command::Join { site, name } => self.join(*site, name),
            Command::Off { site } => self.remove(*site),
            Command::Leases { ms } => self.set_lease_length(*ms),
        }
    }

    /// Advances the clock, and ends a proposal whose time has run out.
    fn advance_clock(&mut self, ms: u32) {
        self.clock_ms += u64::from(ms);
        let Some(proposal) = &self.proposal else {
            return;
        };
        if proposal.until_ms > self.clock_ms {
            return;
        }
        let missing: Vec<&str> = self
            .not_accepted_by(proposal)
            .map(|site| site.name.as_str())
            .collect();
        let why = format!("not accepted in time by {}", missing.join(", "));
        self.end_proposal(&why);
    }

    /// Opens a proposal. Void while another one is open, before all sites use the table that was
    /// decided last, and if the same proposal was made before.
    fn propose(&mut self, by: ProposalKey, text: &str, digest: Digest, within_ms: u64) {
        if self.check_proposal(text).is_err() || self.has_seen(&by) {
            return;
        }
        self.given += 1;
        self.proposal = Some(Proposal {
            table: RoutingTable {
                number: self.given,
                digest,
                text: text.into(),
            },
            by,
            accepted: BTreeSet::new(),
            since_ms: self.clock_ms,
            until_ms: self.clock_ms.saturating_add(within_ms),
        });
    }

    /// Records the acceptance of a site; the last one decides the table.
    fn accept(&mut self, site: u64, number: u64) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        if proposal.table.number != number || !self.sites.contains_key(&site) {
            return;
        }
        proposal.accepted.insert(site);
        if self
            .sites
            .keys()
            .all(|site| proposal.accepted.contains(site))
        {
            self.before = std::mem::replace(&mut self.table, proposal.table.clone());
            self.end_proposal(DECIDED);
        }
    }

    fn refuse(&mut self, site: u64, number: u64, why: &str) {
        if let Some(site) = self.sites.get(&site) {
            let why = format!("refused by {}: {why}", site.name);
            self.end_proposal_of(number, &why);
        }
    }

    /// Records that a site uses the decided table. Any other number is void: no site returns to an
    /// earlier table, and none uses a table that is not decided.
    fn cut_over(&mut self, site: u64, number: u64) {
        if number != self.table.number {
            return;
        }
        if let Some(site) = self.sites.get_mut(&site) {
            site.uses = number;
        }
    }

    /// Adds a site to the roster. An open proposal ends, because others accepted it without the
    /// site that joins.
    fn join(&mut self, number: u64, name: &str) {
        if self.check_join(number, name).is_err() {
            return;
        }
        self.end_proposal(&format!("{name} joins"));
        let site = Site {
            name: name.into(),
            uses: 0,
        };
        self.sites.insert(number, site);
    }

    fn remove(&mut self, number: u64) {
        let Some(removed) = self.sites.remove(&number) else {
            return;
        };
        self.off.insert(number);
        if self.off.len() > MAX_REMOVED_SITES {
            self.used = self.off.pop_first().unwrap_or(0);
        }
        self.end_proposal(&format!("{} is off the roster", removed.name));
    }

    fn set_lease_length(&mut self, ms: u32) {
        self.earlier_ms = self.clock_ms + self.leases_left_ms();
        self.lease_ms = ms;
    }

    /// Returns the longest time that any lease granted before now may still run, in milliseconds,
    /// on the clock of the site that starts to lead now.
    pub fn leases_left_ms(&self) -> u64 {
        let current = if self.lease_ms == 0 {
            0
        } else {
            u64::from(self.lease_ms) + u64::from(LEASE_GRANT_WINDOW_MS)
        };
        current.max(self.earlier_ms.saturating_sub(self.clock_ms))
    }

    /// Checks that a table may be proposed.
    ///
    /// # Errors
    /// The text is too long, another proposal is open, or some sites do not use the table that was
    /// decided last.
    pub fn check_proposal(&self, text: &str) -> Result<(), ProposalRejected> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(ProposalRejected::TooLong(text.len()));
        }
        if let Some(running) = &self.proposal {
            return Err(ProposalRejected::AnotherRuns {
                number: running.table.number,
                site: running.by.site.clone(),
            });
        }
        let late = self.sites.values().filter(|s| s.uses != self.table.number);
        let late: Vec<&str> = late.map(|s| s.name.as_str()).collect();
        if late.is_empty() {
            return Ok(());
        }
        Err(ProposalRejected::NotInUse {
            number: self.table.number,
            sites: late.join(", "),
        })
    }

    /// Checks that a site may join under a number.
    ///
    /// # Errors
    /// The number was used before, the name is in use, or the roster is full.
    pub fn check_join(&self, number: u64, name: &str) -> Result<(), JoinRejected> {
        let was_used = number <= self.used || self.off.contains(&number);
        if was_used || self.sites.contains_key(&number) {
            return Err(JoinRejected::NumberUsed(number));
        }
        if self.sites.values().any(|s| s.name == name) {
            return Err(JoinRejected::NameTaken(name.into()));
        }
        if self.sites.len() >= MAX_SITES {
            return Err(JoinRejected::Full);
        }
        Ok(())
    }

    /// Returns whether this proposal is open or has ended.
    pub fn has_seen(&self, by: &ProposalKey) -> bool {
        let runs = self.proposal.as_ref().is_some_and(|p| p.by == *by);
        runs || self.past.iter().any(|p| p.by == *by)
    }

    /// Returns the sites that have not accepted a proposal.
    pub fn not_accepted_by<'a>(
        &'a self,
        proposal: &'a Proposal,
    ) -> impl Iterator<Item = &'a Site> + 'a {
        self.sites
            .iter()
            .filter(|(number, _)| !proposal.accepted.contains(number))
            .map(|(_, site)| site)
    }

    /// Returns the table with this number if it is the last decided one, the one before it, or the
    /// proposed one.
    pub fn text(&self, number: u64) -> Option<&RoutingTable> {
        let all = [
            Some(&self.table),
            Some(&self.before),
            self.proposal.as_ref().map(|p| &p.table),
        ];
        all.into_iter()
            .flatten()
            .find(|t| t.number == number && number > 0)
    }

    /// Ends the proposal of the table with this number, if that is the open one.
    fn end_proposal_of(&mut self, number: u64, why: &str) {
        let running = self.proposal.as_ref().map(|p| p.table.number);
        if running == Some(number) {
            self.end_proposal(why);
        }
    }

    /// Ends the open proposal, if there is one.
    fn end_proposal(&mut self, how: &str) {
        let Some(proposal) = self.proposal.take() else {
            return;
        };
        self.past.push_back(EndedProposal {
            number: proposal.table.number,
            digest: proposal.table.digest,
            by: proposal.by,
            end: truncate_utf8(how, MAX_REASON_BYTES),
            since_ms: proposal.since_ms,
            ended_ms: self.clock_ms,
        });
        while self.past.len() > MAX_PAST_PROPOSALS || self.reasons_bytes() > MAX_REASONS_BYTES {
            self.past.pop_front();
        }
    }

    fn reasons_bytes(&self) -> usize {
        self.past.iter().map(|p| p.end.len()).sum()
    }
}

/// Reason why a table may not be proposed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalRejected {
    /// The text has this number of bytes, which is too many.
    #[error("{0} bytes; a table has {max} at the most", max = MAX_TEXT_BYTES)]
    TooLong(usize),
    /// Another table is proposed.
    #[error("table {number} is proposed by {site}; only one is at a time")]
    AnotherRuns {
        /// Number of the table.
        number: u64,
        /// Name of the site where it was proposed.
        site: String,
    },
    /// Some sites do not use the table that was decided last.
    #[error("table {number} is not in use yet at {sites}")]
    NotInUse {
        /// Number of the table that was decided last.
        number: u64,
        /// Names of those sites.
        sites: String,
    },
}

/// Reason why a site may not join.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JoinRejected {
    /// The number is or was that of another site.
    #[error("the number {0} was used: a site that joins needs another one")]
    NumberUsed(u64),
    /// The name is that of another site.
    #[error("the name {0} is already on the roster")]
    NameTaken(String),
    /// The roster is full.
    #[error("the roster already has {max} sites, the maximum", max = MAX_SITES)]
    Full,
}

impl ReplicatedState for Federation {
    type Command = Command;
    // The snapshot holds three tables of 16 KiB and about 20 KiB of other data. With its entries,
    // and like any batch, it fits in a command of a site's record.
    const LIMITS: SizeLimits = SizeLimits {
        command: 24 * 1024,
        message: 24 * 1024,
        uncommitted: 48 * 1024,
        merged_batch: 64 * 1024,
        checkpoint_entries: 24 * 1024,
        checkpoint: MAX_COMMAND_BYTES - 4 * 1024,
    };

    fn apply(&mut self, index: u64, command: &Command) {
        Federation::apply(self, index, command);
    }
}

#[cfg(test)]
mod tests;
