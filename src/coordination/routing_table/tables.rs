//! The routing tables in a site's record: the active one, the offered one, and the decided one that
//! is not active yet.
//!
//! This module owns how changes apply; `coordination::record` calls it for each committed change,
//! and [`cutover`](super::cutover) decides which changes are proposed. Each change names the turn
//! it is based on and is void if another change was committed first, as with policies.
//!
//! The end of the site's lease in its federation is given on the record's own clock. That clock
//! stops while no replica leads, so a new leader subtracts the time during which no leader advanced
//! it before it relies on the remaining lease.

use crate::coordination::messages::SiteAdmission;
use crate::coordination::routing_table::federation::RoutingTable;
use serde::{Deserialize, Serialize};

/// A table that the federation proposes to the site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferedTable {
    /// The table.
    pub table: RoutingTable,
    /// Whether all senders store the table, so that the site accepts it in the federation. Once
    /// set, the table may be decided at any moment.
    pub accepted: bool,
}

/// The table and the admission state that apply to the site's senders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveTable {
    /// Number of the table; 0 means routing by the endpoint list alone.
    pub number: u64,
    /// Whether senders admit new messages.
    pub stance: SiteAdmission,
    /// Turn of the change that set this state.
    pub turn: u64,
}

/// A change of the site's routing tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Offers senders a table that the federation proposes, for them to check.
    Offer {
        /// The table.
        table: RoutingTable,
    },
    /// Accepts the offered table: all senders of the site store it, or are fenced.
    Accept {
        /// Number of the table.
        number: u64,
    },
    /// Withdraws the offered table: its proposal ended without a decision. The active table stays
    /// unchanged.
    Drop {
        /// Number of the table.
        number: u64,
    },
    /// Stores a table that the federation has decided. The site accepted it before, unless the site
    /// joined the roster after the decision.
    Decide {
        /// The table.
        table: RoutingTable,
    },
    /// Pauses the admission of new messages on all senders for the cutover.
    Pause,
    /// Makes the decided table active and ends the pause.
    Commit,
    /// Ends the pause and keeps the earlier table active, because some senders did not respond in
    /// time.
    RollBack {
        /// Names of those senders, as many as fit.
        silent: String,
    },
    /// Records the end of the site's lease in the federation.
    Lease {
        /// End of the lease on this record's clock, in milliseconds.
        until_ms: u64,
    },
    /// Stops the admission of new messages: the site's lease has expired.
    Hold,
    /// Resumes the admission of new messages: the site has a lease again and has caught up, or may
    /// admit messages without a lease. Void while a decided table is not active yet.
    Resume,
}

/// The routing tables in a site's record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteTables {
    /// Number of changes that were applied, except for leases.
    pub turn: u64,
    /// Log index of the last change that was applied, except for leases.
    pub at: u64,
    /// Number and admission state of the active table.
    pub register: ActiveTable,
    /// The active table with its text.
    pub table: RoutingTable,
    /// The table that is offered to senders.
    pub offered: Option<OfferedTable>,
    /// The decided table that is not active yet.
    pub next: Option<RoutingTable>,
    /// Number of pauses for the decided table that were rolled back.
    pub tries: u32,
    /// Whether the pause began while an expired lease stopped admission; a rollback returns to that
    /// state.
    pub held: bool,
    /// Time of the last change (except for leases), on the record's clock, in milliseconds.
    pub since_ms: u64,
    /// End of the site's lease in the federation, on the record's clock, in milliseconds.
    pub lease_ms: u64,
}

/// Marks a change as void: it does not fit the current state.
struct Void;

impl SiteTables {
    /// Applies a change that was based on the turn `base`. The change is void if another one was
    /// committed first, or if it does not fit the current state.
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

    /// Returns the table with this number if the record holds its text.
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

    /// Returns the number of the newest decided table in this record.
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

    /// Offers a table. Void unless it is newer than the active and the offered table, and void
    /// while a decided table is not active yet.
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

    /// Stores a decided table. If an earlier decided table is not active yet, the site was off the
    /// roster in the meantime and no other site uses that earlier table any more, so this site
    /// admits nothing new until it has cut over.
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

    /// Resumes admission. Void while a decided table is not active yet, because the other sites may
    /// have moved past the table that is active here.
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
