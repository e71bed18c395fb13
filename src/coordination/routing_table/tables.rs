//! What a site's record holds of routing tables: the one in force, the one that is offered, and the
//! one that was decided.
//!
//! It owns how changes apply; `coordination::record` calls it for each committed change, and
//! [`cutover`](super::cutover) decides which changes are proposed. Each change is based on a turn
//! and is void where another one was committed first, as with policies.
//!
//! The site's lease in its federation ends on the record's own clock. That stands between leaders,
//! so a leader adds what it knows that nobody counted before it believes what is left.

use crate::coordination::messages::SiteAdmission;
use crate::coordination::routing_table::federation::RoutingTable;
use serde::{Deserialize, Serialize};

/// A table that is proposed to the site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferedTable {
    /// The table.
    pub table: RoutingTable,
    /// Whether all senders have it; the federation was, or is to be, told so. From then on it may
    /// be decided at any moment.
    pub accepted: bool,
}

/// What is in force for the senders of the site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveTable {
    /// Number of the table; 0 for the endpoint list alone.
    pub number: u64,
    /// Whether senders admit new messages.
    pub stance: SiteAdmission,
    /// The turn that set this.
    pub turn: u64,
}

/// A change of the site's routing tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The federation proposes a table: senders are to check it.
    Offer {
        /// The table.
        table: RoutingTable,
    },
    /// All senders of the site have the offered table, or are fenced.
    Accept {
        /// Its number.
        number: u64,
    },
    /// The proposal is over without a decision. Leaves no trace.
    Drop {
        /// Its number.
        number: u64,
    },
    /// The federation has decided on a table. It is one that was accepted here, unless the site has
    /// joined since.
    Decide {
        /// The table.
        table: RoutingTable,
    },
    /// Senders admit nothing new, for the moment of a cutover.
    Pause,
    /// They go by the table that was decided from now on.
    Commit,
    /// They go on by the earlier table: these did not answer in time.
    RollBack {
        /// Their names, as far as there is room.
        silent: String,
    },
    /// The federation counts this site in until then, on this record's clock.
    Lease {
        /// Until when, in milliseconds.
        until_ms: u64,
    },
    /// The lease is over, and the site admits nothing new.
    Hold,
    /// The site hears its federation again and has caught up, or gives the promise up. Void while
    /// something that was decided waits.
    Resume,
}

/// All that a site's record holds of routing tables.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteTables {
    /// Grows with each change but for leases.
    pub turn: u64,
    /// Log index of the last change.
    pub at: u64,
    /// What is in force.
    pub register: ActiveTable,
    /// Its text.
    pub table: RoutingTable,
    /// What is offered.
    pub offered: Option<OfferedTable>,
    /// What was decided and is not in force yet.
    pub next: Option<RoutingTable>,
    /// Pauses for it that were rolled back.
    pub tries: u32,
    /// Whether the pause began while nothing was admitted as the lease was over: rolled back, it is
    /// so again.
    pub held: bool,
    /// When the last change was applied, on the record's clock, in milliseconds.
    pub since_ms: u64,
    /// When the lease in the federation ends, on the record's clock, in milliseconds.
    pub lease_ms: u64,
}

/// A change does not fit what stands, and is void.
struct Void;

impl SiteTables {
    /// Applies a change that was based on this turn; void where another one came first, or where it
    /// does not fit.
    pub fn apply(&mut self, index: u64, clock_ms: u64, base: u64, change: &Change) {
        if let Change::Lease { until_ms } = change {
            self.lease_ms = self.lease_ms.max(*until_ms);
            return;
        }
        if base == self.turn && self.change(change).is_ok() {
            self.turn += 1;
            self.at = index;
            self.since_ms = clock_ms;
        }
    }

    /// A table that the record has the text of.
    pub fn text(&self, number: u64) -> Option<&RoutingTable> {
        let all = [
            Some(&self.table),
            self.offered.as_ref().map(|o| &o.table),
            self.next.as_ref(),
        ];
        all.into_iter()
            .flatten()
            .find(|t| t.number == number && number > 0)
    }

    /// Number of the newest table that was decided, as far as this record has it.
    pub fn newest_decided(&self) -> u64 {
        match &self.next {
            Some(next) => next.number,
            None => self.register.number,
        }
    }

    fn change(&mut self, change: &Change) -> Result<(), Void> {
        match change {
            Change::Offer { table } => self.offer(table),
            Change::Accept { number } => self.accept(*number),
            Change::Drop { number } => self.drop_offer(*number),
            Change::Decide { table } => self.decide(table),
            Change::Pause => self.pause(),
            Change::Commit => self.commit(),
            Change::RollBack { .. } => self.roll_back(),
            Change::Lease { .. } => Err(Void),
            Change::Hold => self.hold(),
            Change::Resume => self.resume(),
        }
    }

    fn set_stance(&mut self, stance: SiteAdmission) {
        self.register.stance = stance;
        self.register.turn = self.turn + 1;
    }

    /// Only a table newer than all before it may be offered, and none while a decided one waits.
    fn offer(&mut self, table: &RoutingTable) -> Result<(), Void> {
        if let Some(offered) = &self.offered {
            if offered.table.number >= table.number {
                return Err(Void);
            }
        }
        if table.number <= self.register.number || self.next.is_some() {
            return Err(Void);
        }
        self.offered = Some(OfferedTable {
            table: table.clone(),
            accepted: false,
        });
        Ok(())
    }

    fn accept(&mut self, number: u64) -> Result<(), Void> {
        match &mut self.offered {
            Some(offered) if offered.table.number == number && !offered.accepted => {
                offered.accepted = true;
                Ok(())
            }
            _ => Err(Void),
        }
    }

    fn drop_offer(&mut self, number: u64) -> Result<(), Void> {
        let dropped = self.offered.take_if(|o| o.table.number == number);
        dropped.map(|_| ()).ok_or(Void)
    }

    /// A table that is decided while another one waits comes to a site that was off the roster
    /// meanwhile: no site goes by the one that waits any more, so this site holds until it cuts
    /// over.
    fn decide(&mut self, table: &RoutingTable) -> Result<(), Void> {
        if table.number <= self.newest_decided() {
            return Err(Void);
        }
        if self.next.is_some() && self.register.stance != SiteAdmission::LeaseExpired {
            self.set_stance(SiteAdmission::LeaseExpired);
        }
        self.offered = None;
        self.next = Some(table.clone());
        self.tries = 0;
        Ok(())
    }

    fn pause(&mut self) -> Result<(), Void> {
        if self.next.is_none() || self.register.stance == SiteAdmission::Paused {
            return Err(Void);
        }
        self.held = self.register.stance == SiteAdmission::LeaseExpired;
        self.set_stance(SiteAdmission::Paused);
        Ok(())
    }

    fn commit(&mut self) -> Result<(), Void> {
        if self.register.stance != SiteAdmission::Paused {
            return Err(Void);
        }
        self.table = self.next.take().ok_or(Void)?;
        self.tries = 0;
        self.held = false;
        self.register.number = self.table.number;
        self.set_stance(SiteAdmission::Open);
        Ok(())
    }

    fn roll_back(&mut self) -> Result<(), Void> {
        if self.register.stance != SiteAdmission::Paused {
            return Err(Void);
        }
        self.tries = self.tries.saturating_add(1);
        let was_held = std::mem::take(&mut self.held);
        self.set_stance(if was_held {
            SiteAdmission::LeaseExpired
        } else {
            SiteAdmission::Open
        });
        Ok(())
    }

    fn hold(&mut self) -> Result<(), Void> {
        if self.register.stance == SiteAdmission::LeaseExpired {
            return Err(Void);
        }
        self.set_stance(SiteAdmission::LeaseExpired);
        Ok(())
    }

    /// What was decided meanwhile comes first: the other sites may be beyond what is in force here.
    fn resume(&mut self) -> Result<(), Void> {
        if self.register.stance != SiteAdmission::LeaseExpired || self.next.is_some() {
            return Err(Void);
        }
        self.set_stance(SiteAdmission::Open);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
