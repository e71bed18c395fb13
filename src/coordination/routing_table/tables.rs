//! What a site's record holds of routing tables: the one in force, the one that is offered, and the
//! one that was decided.
//!
//! Each change is based on a turn and is void where another one came first, as with policies.
//!
//! The site's lease in its federation ends on the record's own clock. That stands between leaders,
//! so a leader adds what it knows that nobody counted before it believes what is left.

use crate::coordination::messages::SiteAdmission;
use crate::coordination::routing_table::federation::Table;
use serde::{Deserialize, Serialize};

/// What is proposed to the site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offered {
    /// The table.
    pub table: Table,
    /// All senders have it; the federation was, or is to be, told so. From then on it may be
    /// decided at any moment.
    pub accepted: bool,
}

/// What is in force for the senders of the site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    /// The table; 0 for the list alone.
    pub number: u64,
    /// Whether anything new is taken on.
    pub stance: SiteAdmission,
    /// The turn that said so.
    pub turn: u64,
}

/// A change of all this.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The federation proposes a table: senders are to check it.
    Offer {
        /// It.
        table: Table,
    },
    /// All senders of the site have it, or are fenced.
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
        /// It.
        table: Table,
    },
    /// Senders take nothing new on.
    Pause,
    /// They go by the table that was decided from now on.
    Commit,
    /// They go on by the earlier one: these did not answer in time.
    TakeBack {
        /// Their names, as far as there is room.
        silent: String,
    },
    /// The federation counts this site in until then, on this record's clock.
    Lease {
        /// Until when.
        until_ms: u64,
    },
    /// The lease is over, and the site takes nothing new on.
    Hold,
    /// It is heard by its federation again and has caught up, or gives the promise up. Void while
    /// something that was decided waits.
    GoOn,
}

/// All that the record holds of routing tables.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tables {
    /// Grows with each change but for leases.
    pub turn: u64,
    /// The place of the log of the last one.
    pub at: u64,
    /// What is in force.
    pub register: Register,
    /// Its text.
    pub table: Table,
    /// What is offered.
    pub offered: Option<Offered>,
    /// What was decided and is not in force yet.
    pub next: Option<Table>,
    /// Pauses for it that were taken back.
    pub tries: u32,
    /// The pause began while nothing was taken on as the lease was over: taken back, it is so
    /// again.
    pub held: bool,
    /// When the last change came, on the record's clock.
    pub since_ms: u64,
    /// The lease in the federation ends then, on the record's clock.
    pub lease_ms: u64,
}

impl Tables {
    /// Applies a change that was based on this turn; void where another one came first, or where it
    /// does not fit.
    pub fn apply(&mut self, index: u64, clock_ms: u64, base: u64, change: &Change) {
        if let Change::Lease { until_ms } = change {
            self.lease_ms = self.lease_ms.max(*until_ms);
            return;
        }
        if base == self.turn && self.change(change).is_some() {
            (self.turn, self.at, self.since_ms) = (self.turn + 1, index, clock_ms);
        }
    }

    /// A table that the record has the text of.
    pub fn text(&self, number: u64) -> Option<&Table> {
        let all = [
            Some(&self.table),
            self.offered.as_ref().map(|o| &o.table),
            self.next.as_ref(),
        ];
        all.into_iter()
            .flatten()
            .find(|t| t.number == number && number > 0)
    }

    fn change(&mut self, change: &Change) -> Option<()> {
        let turn = self.turn + 1;
        let stands =
            |register: &mut Register, stance| (register.stance, register.turn) = (stance, turn);
        match change {
            Change::Offer { table } => {
                // What came before it is over.
                let newer = self
                    .offered
                    .as_ref()
                    .is_none_or(|o| o.table.number < table.number);
                if !newer || table.number <= self.register.number || self.next.is_some() {
                    return None;
                }
                self.offered = Some(Offered {
                    table: table.clone(),
                    accepted: false,
                });
            }
            Change::Accept { number } => {
                let offered = self
                    .offered
                    .as_mut()
                    .filter(|o| o.table.number == *number && !o.accepted)?;
                offered.accepted = true;
            }
            Change::Drop { number } => {
                self.offered.take_if(|o| o.table.number == *number)?;
            }
            Change::Decide { table } => {
                // One that comes while another waits comes to a site that was off the roster
                // meanwhile: nobody goes by that one any more.
                let last = self
                    .next
                    .as_ref()
                    .map_or(self.register.number, |next| next.number);
                if table.number <= last {
                    return None;
                }
                if self.next.is_some() && self.register.stance != SiteAdmission::LeaseExpired {
                    stands(&mut self.register, SiteAdmission::LeaseExpired);
                }
                self.offered = None;
                (self.next, self.tries) = (Some(table.clone()), 0);
            }
            Change::Pause => {
                if self.next.is_none() || self.register.stance == SiteAdmission::Paused {
                    return None;
                }
                self.held = self.register.stance == SiteAdmission::LeaseExpired;
                stands(&mut self.register, SiteAdmission::Paused);
            }
            Change::Commit => {
                if self.register.stance != SiteAdmission::Paused {
                    return None;
                }
                self.table = self.next.take()?;
                (self.tries, self.held) = (0, false);
                self.register = Register {
                    number: self.table.number,
                    stance: SiteAdmission::Open,
                    turn,
                };
            }
            Change::TakeBack { .. } => {
                if self.register.stance != SiteAdmission::Paused {
                    return None;
                }
                self.tries = self.tries.saturating_add(1);
                let held = std::mem::take(&mut self.held);
                stands(
                    &mut self.register,
                    if held {
                        SiteAdmission::LeaseExpired
                    } else {
                        SiteAdmission::Open
                    },
                );
            }
            Change::Lease { .. } => return None,
            Change::Hold => {
                if self.register.stance == SiteAdmission::LeaseExpired {
                    return None;
                }
                stands(&mut self.register, SiteAdmission::LeaseExpired);
            }
            Change::GoOn => {
                // What was decided meanwhile comes first: the others may be beyond what is in force
                // here.
                if self.register.stance != SiteAdmission::LeaseExpired || self.next.is_some() {
                    return None;
                }
                stands(&mut self.register, SiteAdmission::Open);
            }
        }
        Some(())
    }
}

#[cfg(test)]
mod tests;
