//! What all sites of a federation agree on. Each applies the same commands in the same order and
//! comes to the same record.
//!
//! A table is decided when the last site of the roster has accepted it, by the command that says so
//! and by nothing else. No proposal is taken before all sites go by the table that was decided
//! last: so at no time more than two are in use, and those follow each other.
//!
//! Like a site's record it reads no clock and has one of its own, which the site that leads moves
//! on.

use crate::coordination::cut;
use crate::coordination::messages::Digest;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Sites, at the most: each accepts by a word of its own, and five speak in one room.
pub const MOST_SITES: usize = 50;
/// Proposals that are over and told.
pub const MOST_PAST: usize = 50;
/// Numbers of sites that were on the roster and are told one by one; all up to the highest that is
/// forgotten count as used.
pub const MOST_OFF: usize = 1_000;
/// Longest text of a table, in bytes: 200 routes of some 80 bytes. Three of them and what stands
/// round them fit in one entry.
pub const MOST_TEXT: usize = 16 * 1024;
/// The site that leads gives leases for so long after a beat that the record has, in milliseconds:
/// two beats and a slow line.
pub const SURE_MS: u32 = 3_000;
/// Longest reason that is kept, in bytes.
const MOST_WHY: usize = 1_000;
/// All that are kept, in bytes: with three tables the record still fits in one entry of a site's.
const MOST_WHYS: usize = 8 * 1024;

/// A change of the federation's record. Each may be said again: what it says already stands then,
/// or is void.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// The site that leads in this term was in office when it proposed this, and has counted so
    /// much time since the last one.
    Beat {
        /// Its term.
        term: u64,
        /// Numbers the beats of a term.
        beat: u64,
        /// Milliseconds on its clock.
        ms: u32,
    },
    /// A table is proposed. Void while another one is, or before all sites go by the one in force.
    Propose {
        /// The site where it was.
        by: String,
        /// Names this proposal among those of the site: said again, it is not a second one.
        key: u64,
        /// Its text.
        text: String,
        /// Its print.
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
    /// A site cannot go by it: it ends nowhere.
    Refuse {
        /// The site.
        site: u64,
        /// The table.
        number: u64,
        /// Why.
        why: String,
    },
    /// It ends nowhere, by a person's word.
    Abort {
        /// The table.
        number: u64,
        /// Why.
        why: String,
    },
    /// A site goes by the table that was decided.
    Switched {
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
    /// The site that leads gives leases of so long from now on.
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
pub struct Table {
    /// Its number; 0 is the list alone. Numbers grow, and those that ended nowhere are not used
    /// again.
    pub number: u64,
    /// Its print.
    pub digest: Digest,
    /// Its text.
    pub text: String,
}

/// A proposal that runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// What is proposed.
    pub table: Table,
    /// Where, by the site's name, and the key that it gave.
    pub by: (String, u64),
    /// Sites that have accepted it.
    pub accepted: BTreeSet<u64>,
    /// When it came and when it ends, on the record's clock.
    pub since_ms: u64,
    /// See above.
    pub until_ms: u64,
}

/// One that is over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    /// Its number.
    pub number: u64,
    /// Its print.
    pub digest: Digest,
    /// Where it was proposed, and the key.
    pub by: (String, u64),
    /// How it ended; [`DECIDED`], or why it ended nowhere.
    pub end: String,
    /// When it came and ended, on the record's clock.
    pub since_ms: u64,
    /// See above.
    pub ended_ms: u64,
}

/// How one ends that all sites have accepted.
pub const DECIDED: &str = "decided";

/// The record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Federation {
    /// Number of the last command that was applied.
    pub version: u64,
    /// Time that those that led counted, in milliseconds.
    pub clock_ms: u64,
    /// The roster, by number.
    pub sites: BTreeMap<u64, Site>,
    /// Numbers that were on it.
    pub off: BTreeSet<u64>,
    /// All up to this one count as used.
    pub used: u64,
    /// How long leases are, in milliseconds; 0 before the first one.
    pub lease_ms: u32,
    /// Until when those of another length may run, on the record's clock.
    pub earlier_ms: u64,
    /// The table that was decided last.
    pub table: Table,
    /// The one before it, which sites may still go by.
    pub before: Table,
    /// The last number that was given.
    pub given: u64,
    /// What is proposed.
    pub proposal: Option<Proposal>,
    /// Proposals that are over, the newest last.
    pub past: VecDeque<Past>,
}

impl Federation {
    /// Applies the command that stands at this place of the log.
    pub fn apply(&mut self, index: u64, command: &Command) {
        self.version = index;
        match command {
            Command::Beat { ms, .. } => {
                self.clock_ms += u64::from(*ms);
                let late = self
                    .proposal
                    .as_ref()
                    .filter(|p| p.until_ms <= self.clock_ms);
                if let Some(p) = late {
                    let waits: Vec<&str> = self.waits(p).map(|site| site.name.as_str()).collect();
                    let why = format!("not accepted in time by {}", waits.join(", "));
                    self.ends(&why);
                }
            }
            Command::Propose {
                by,
                key,
                text,
                digest,
                within_ms,
            } => {
                if self.may_propose(text).is_ok() && !self.knows(by, *key) {
                    self.given += 1;
                    let table = Table {
                        number: self.given,
                        digest: *digest,
                        text: text.clone(),
                    };
                    self.proposal = Some(Proposal {
                        table,
                        by: (by.clone(), *key),
                        accepted: BTreeSet::new(),
                        since_ms: self.clock_ms,
                        until_ms: self.clock_ms.saturating_add(*within_ms),
                    });
                }
            }
            Command::Accept { site, number } => {
                let runs = self.proposal.as_mut().filter(|p| p.table.number == *number);
                if let Some(p) = runs.filter(|_| self.sites.contains_key(site)) {
                    p.accepted.insert(*site);
                    if self.sites.keys().all(|site| p.accepted.contains(site)) {
                        self.before = std::mem::replace(&mut self.table, p.table.clone());
                        self.ends(DECIDED);
                    }
                }
            }
            Command::Refuse { site, number, why } => {
                if let Some(name) = self.sites.get(site).map(|s| s.name.clone()) {
                    self.ends_one(*number, &format!("refused by {name}: {why}"));
                }
            }
            Command::Abort { number, why } => self.ends_one(*number, why),
            Command::Switched { site, number } => {
                // Nobody goes back, and nobody goes by what is not decided.
                if *number == self.table.number {
                    self.sites
                        .get_mut(site)
                        .into_iter()
                        .for_each(|s| s.uses = *number);
                }
            }
            Command::Join { site, name } => {
                if self.may_join(*site, name).is_ok() {
                    // What has accepted before it came has not asked it.
                    self.ends(&format!("{name} joins"));
                    self.sites.insert(
                        *site,
                        Site {
                            name: name.clone(),
                            uses: 0,
                        },
                    );
                }
            }
            Command::Leases { ms } => {
                self.earlier_ms = self.clock_ms + self.leases_left_ms();
                self.lease_ms = *ms;
            }
            Command::Off { site } => {
                if let Some(gone) = self.sites.remove(site) {
                    self.off.insert(*site);
                    if self.off.len() > MOST_OFF {
                        self.used = self.off.pop_first().unwrap_or(0);
                    }
                    self.ends(&format!("{} is off the roster", gone.name));
                }
            }
        }
    }

    /// What may be left of any lease that was given before now, in milliseconds, on the clock of
    /// whoever comes in office now.
    pub fn leases_left_ms(&self) -> u64 {
        let now = if self.lease_ms == 0 {
            0
        } else {
            u64::from(self.lease_ms) + u64::from(SURE_MS)
        };
        now.max(self.earlier_ms.saturating_sub(self.clock_ms))
    }

    /// Whether a table may be proposed: why not.
    ///
    /// # Errors
    /// Another one is, or sites do not go by the one in force, or it is too long.
    pub fn may_propose(&self, text: &str) -> Result<(), String> {
        if text.len() > MOST_TEXT {
            return Err(format!(
                "{} bytes; a table has {MOST_TEXT} at the most",
                text.len()
            ));
        }
        if let Some(p) = &self.proposal {
            let number = p.table.number;
            return Err(format!(
                "table {number} is proposed by {}; only one is at a time",
                p.by.0
            ));
        }
        let late = self.sites.values().filter(|s| s.uses != self.table.number);
        let late: Vec<&str> = late.map(|s| s.name.as_str()).collect();
        match late.is_empty() {
            true => Ok(()),
            false => Err(format!(
                "table {} is not in use yet at {}",
                self.table.number,
                late.join(", ")
            )),
        }
    }

    /// Whether a site may join under a number: why not.
    ///
    /// # Errors
    /// Its number was used, its name is, or there are as many as may be.
    pub fn may_join(&self, site: u64, name: &str) -> Result<(), String> {
        if site <= self.used || self.sites.contains_key(&site) || self.off.contains(&site) {
            return Err(format!(
                "the number {site} was used: a site that joins needs another one"
            ));
        }
        if self.sites.values().any(|s| s.name == name) {
            return Err(format!("{name} is on the roster"));
        }
        match self.sites.len() < MOST_SITES {
            true => Ok(()),
            false => Err(format!("{MOST_SITES} sites are the most")),
        }
    }

    /// Whether a proposal of that site and key runs or ran.
    pub fn knows(&self, by: &str, key: u64) -> bool {
        let same = |(site, k): &(String, u64)| site == by && *k == key;
        self.proposal.as_ref().is_some_and(|p| same(&p.by)) || self.past.iter().any(|p| same(&p.by))
    }

    /// Sites that have not accepted a proposal.
    pub fn waits<'a>(&'a self, p: &'a Proposal) -> impl Iterator<Item = &'a Site> + 'a {
        self.sites
            .iter()
            .filter(|(site, _)| !p.accepted.contains(site))
            .map(|(_, s)| s)
    }

    /// The text of a table that is in force, was before, or is proposed.
    pub fn text(&self, number: u64) -> Option<&Table> {
        let all = [
            Some(&self.table),
            Some(&self.before),
            self.proposal.as_ref().map(|p| &p.table),
        ];
        all.into_iter()
            .flatten()
            .find(|t| t.number == number && number > 0)
    }

    fn ends_one(&mut self, number: u64, why: &str) {
        if self
            .proposal
            .as_ref()
            .is_some_and(|p| p.table.number == number)
        {
            self.ends(why);
        }
    }

    /// The proposal that runs, if one does, is over.
    fn ends(&mut self, how: &str) {
        if let Some(Proposal {
            table,
            by,
            since_ms,
            ..
        }) = self.proposal.take()
        {
            let Table { number, digest, .. } = table;
            self.past.push_back(Past {
                number,
                digest,
                by,
                end: cut(how, MOST_WHY),
                since_ms,
                ended_ms: self.clock_ms,
            });
            let all = |past: &VecDeque<Past>| past.iter().map(|p| p.end.len()).sum::<usize>();
            while self.past.len() > MOST_PAST || all(&self.past) > MOST_WHYS {
                self.past.pop_front();
            }
        }
    }
}

#[cfg(test)]
mod tests;
