//! The replicated state of a federation: its roster of sites and its routing tables. Each site
//! applies the same commands in the same order and comes to the same record.
//!
//! It owns how commands apply and which are void; it proposes none itself. The raft group of the
//! sites' members ([`member`](super::member)) applies them, and [`cutover`](super::cutover) and
//! operators' orders propose them.
//!
//! Invariant: a table is decided when the last site of the roster has accepted it, by the command
//! that says so and by nothing else. No proposal is taken before all sites go by the table that was
//! decided last: so at no time more than two are in use, and those follow each other.
//!
//! Like a site's record it reads no clock and has one of its own, which the leading site moves on.

use crate::coordination::messages::Digest;
use crate::coordination::replicated_state::{ReplicatedState, SizeLimits, MAX_COMMAND_BYTES};
use crate::coordination::truncate_utf8;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Sites, at the most: each accepts by a command of its own, and five are played in one room.
pub const MAX_SITES: usize = 50;
/// Proposals that are over and still listed.
pub const MAX_PAST_PROPOSALS: usize = 50;
/// Numbers of removed sites that are listed one by one; all up to the highest that is forgotten
/// count as used.
pub const MAX_REMOVED_SITES: usize = 1_000;
/// Longest text of a table, in bytes: 200 routes of some 80 bytes. Three of them and what stands
/// round them fit in one log entry.
pub const MAX_TEXT_BYTES: usize = 16 * 1024;
/// The leading site grants leases for this time after a committed heartbeat, in milliseconds: two
/// heartbeats and a slow line.
pub const LEASE_GRANT_WINDOW_MS: u32 = 3_000;
/// Longest reason for the end of a proposal that is kept, in bytes.
const MAX_REASON_BYTES: usize = 1_000;
/// All reasons that are kept, in bytes: with three tables the record still fits in one entry of a
/// site's log.
const MAX_REASONS_BYTES: usize = 8 * 1024;

/// A command of the federation's log. Each may be proposed again: what it says already stands then,
/// or it is void.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A heartbeat: the site that leads in this term proposed it, and has counted so much time
    /// since the last one.
    Beat {
        /// Its raft term.
        term: u64,
        /// Numbers the heartbeats of a term.
        beat: u64,
        /// Milliseconds on its clock.
        ms: u32,
    },
    /// A table is proposed. Void while another one is, or before all sites go by the one in force.
    Propose {
        /// The site where it was.
        by: String,
        /// Names this proposal among those of the site: submitted again, it is not a second one.
        key: u64,
        /// Its text.
        text: String,
        /// Its digest.
        digest: Digest,
        /// It ends if not all have accepted it after so long, in milliseconds of the record's
        /// clock.
        within_ms: u64,
    },
    /// A site has checked it, and its record stores it with all its senders. The last one decides.
    Accept {
        /// The site, by its number.
        site: u64,
        /// The table.
        number: u64,
    },
    /// A site cannot go by it: the proposal ends without a decision.
    Refuse {
        /// The site.
        site: u64,
        /// The table.
        number: u64,
        /// Why.
        why: String,
    },
    /// An operator ends the proposal without a decision.
    Abort {
        /// The table.
        number: u64,
        /// Why.
        why: String,
    },
    /// A site has cut over: all its senders go by the table that was decided.
    CutOver {
        /// The site.
        site: u64,
        /// The table.
        number: u64,
    },
    /// A site stands on the roster, under a number that was never used.
    Join {
        /// Its number.
        site: u64,
        /// Its name.
        name: String,
    },
    /// A site is off the roster. A proposal that runs ends.
    Off {
        /// The site.
        site: u64,
    },
    /// The leading site grants leases of this length from now on.
    Leases {
        /// In milliseconds.
        ms: u32,
    },
}

/// A site on the roster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// The table that it goes by, as it said.
    pub uses: u64,
}

/// A table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingTable {
    /// Its number; 0 is the list alone. Numbers grow, and those that ended nowhere are not used
    /// again.
    pub number: u64,
    /// Its digest.
    pub digest: Digest,
    /// Its text.
    pub text: String,
}

/// Names a proposal: the site where it was made, and its key among those of that site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProposalKey {
    /// Name of the site.
    pub site: String,
    /// The key that the site gave.
    pub key: u64,
}

/// A proposal that runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// What is proposed.
    pub table: RoutingTable,
    /// Where it was proposed.
    pub by: ProposalKey,
    /// Sites that have accepted it.
    pub accepted: BTreeSet<u64>,
    /// When it was proposed, on the record's clock, in milliseconds.
    pub since_ms: u64,
    /// When it ends without a decision, on the record's clock, in milliseconds.
    pub until_ms: u64,
}

/// A proposal that is over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedProposal {
    /// Its number.
    pub number: u64,
    /// Its digest.
    pub digest: Digest,
    /// Where it was proposed.
    pub by: ProposalKey,
    /// How it ended; [`DECIDED`], or why it ended nowhere.
    pub end: String,
    /// When it was proposed, on the record's clock, in milliseconds.
    pub since_ms: u64,
    /// When it ended, on the record's clock, in milliseconds.
    pub ended_ms: u64,
}

/// How one ends that all sites have accepted.
pub const DECIDED: &str = "decided";

/// The federation's record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Federation {
    /// Number of the last command that was applied.
    pub version: u64,
    /// The record's clock: time that the leading sites counted, in milliseconds.
    pub clock_ms: u64,
    /// The roster, by number.
    pub sites: BTreeMap<u64, Site>,
    /// Numbers of sites that were removed from it.
    pub off: BTreeSet<u64>,
    /// All up to this one count as used.
    pub used: u64,
    /// Length of leases, in milliseconds; 0 before the first one.
    pub lease_ms: u32,
    /// Until when leases of an earlier length may run, on the record's clock, in milliseconds.
    pub earlier_ms: u64,
    /// The table that was decided last.
    pub table: RoutingTable,
    /// The one before it, which sites may still go by.
    pub before: RoutingTable,
    /// The last number that was given.
    pub given: u64,
    /// What is proposed.
    pub proposal: Option<Proposal>,
    /// Proposals that are over, the newest last.
    pub past: VecDeque<EndedProposal>,
}

impl Federation {
    /// Applies the command that stands at this place of the log.
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

    /// Moves the clock on; a proposal that is late ends.
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

    /// Void while another proposal runs, before all sites go by the table in force, and where the
    /// same proposal was made before.
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

    /// The last acceptance decides the table.
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

    /// No site goes back to an earlier table, and none goes by what is not decided.
    fn cut_over(&mut self, site: u64, number: u64) {
        if number != self.table.number {
            return;
        }
        if let Some(site) = self.sites.get_mut(&site) {
            site.uses = number;
        }
    }

    /// A proposal that runs ends: it was accepted by others without the site that joins.
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

    /// What may be left of any lease that was granted before now, in milliseconds, on the clock of
    /// whichever site begins to lead now.
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
    /// Another one is proposed, or sites do not go by the one in force, or it is too long.
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
    /// Its number was used, its name is, or there are as many sites as may be.
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

    /// Whether this proposal runs or ran.
    pub fn has_seen(&self, by: &ProposalKey) -> bool {
        let runs = self.proposal.as_ref().is_some_and(|p| p.by == *by);
        runs || self.past.iter().any(|p| p.by == *by)
    }

    /// Sites that have not accepted a proposal.
    pub fn not_accepted_by<'a>(
        &'a self,
        proposal: &'a Proposal,
    ) -> impl Iterator<Item = &'a Site> + 'a {
        self.sites
            .iter()
            .filter(|(number, _)| !proposal.accepted.contains(number))
            .map(|(_, site)| site)
    }

    /// The text of a table that is in force, was before, or is proposed.
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

    /// Ends the proposal of this number, if it runs.
    fn end_proposal_of(&mut self, number: u64, why: &str) {
        let running = self.proposal.as_ref().map(|p| p.table.number);
        if running == Some(number) {
            self.end_proposal(why);
        }
    }

    /// Ends the proposal that runs, if one does.
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

/// Why a table may not be proposed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalRejected {
    /// It has so many bytes, which are too many.
    #[error("{0} bytes; a table has {max} at the most", max = MAX_TEXT_BYTES)]
    TooLong(usize),
    /// Another table is proposed.
    #[error("table {number} is proposed by {site}; only one is at a time")]
    AnotherRuns {
        /// Its number.
        number: u64,
        /// Name of the site where it was.
        site: String,
    },
    /// Sites do not go by the table in force yet.
    #[error("table {number} is not in use yet at {sites}")]
    NotInUse {
        /// Number of the table in force.
        number: u64,
        /// Names of the sites.
        sites: String,
    },
}

/// Why a site may not join.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JoinRejected {
    /// Its number is or was another site's.
    #[error("the number {0} was used: a site that joins needs another one")]
    NumberUsed(u64),
    /// Its name is another site's.
    #[error("{0} is on the roster")]
    NameTaken(String),
    /// There are as many sites as may be.
    #[error("{max} sites are the most", max = MAX_SITES)]
    Full,
}

impl ReplicatedState for Federation {
    type Command = Command;
    // The snapshot has three tables of 16 KiB and some 20 KiB round them; with its entries, and as
    // any batch, it fits in a command of a site's record.
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
