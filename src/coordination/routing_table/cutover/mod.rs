//! A site's cutover from one routing table to the next: which senders the leader waits for, when
//! the site accepts a proposal, and when it cuts over.
//!
//! This module owns the decisions of one leader of the site during its term. State that outlasts a
//! leader is in the site's record ([`tables`](super::tables)) and in the federation's
//! ([`federation`](super::federation)). Reports of senders are lost with the leader, as with
//! policies. The leader's duties (`coordination::leader`) call this module and carry out its
//! [`CutoverEffect`]s; it does no I/O and reads no clock.
//!
//! # The lease
//!
//! The federation grants the site a lease. The member that requested it counts the lease on its own
//! clock. A leader that takes over has the value in the site's record. From that value it subtracts
//! the time during which no leader advanced the record's clock, and [`CLOCK_LAG`]. A leader that
//! never saw any leader does not know that time and does not rely on the recorded lease at all.
//! Without a lease, a site that is configured to hold admits nothing new, even if it never had a
//! lease: its replicas do not know which table the federation uses, because their folders may be
//! those of a site that was cut off, or new ones in place of lost ones. Invariant: while the leader
//! knows that the lease has expired, it tells no sender that messages may be admitted, and it
//! renews no sender's lease before the record says that nothing is admitted.
//!
//! # Senders that cannot use the decided table
//!
//! A sender that refuses a table before the site accepts it ends the proposal. A sender that joins
//! later and refuses the table delays nothing: it admits nothing, because it does not have the
//! table that it is told to use. A sender whose configuration file does not let it follow tables
//! would go on by the endpoint list alone, so a cutover waits until that sender's lease expires.
//!
//! # Modules
//!
//! `lease` tracks the site's lease, `decisions` finds the next change of the site's record,
//! `reports` submits what the federation's record does not contain yet, `senders` tracks what
//! senders store and apply and sends them messages, `orders` and `status` serve operators.

use crate::coordination::messages::{AgentTableMessage, SiteAdmission};
use crate::coordination::record::Record;
use crate::coordination::routing_table::federation::Command;
use crate::coordination::routing_table::federation_view::FederationView;
use crate::coordination::routing_table::tables::Change;
use crate::coordination::sender_registry::SenderRegistry;
use crate::Nanos;
use std::collections::BTreeSet;

mod decisions;
mod lease;
mod orders;
mod reports;
mod senders;
mod status;

pub use lease::CLOCK_LAG;
pub use orders::{OrderOutcome, OrderRejected};

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
/// Time after which a change that is not committed to the site's record may be proposed again, and
/// a command that the federation's record does not contain is submitted again.
const PROPOSAL_TIMEOUT: Nanos = SECOND;
/// Time after which a sender that refused a decided table is asked again: its endpoint list may
/// have changed by then.
const REFUSAL_RETRY_INTERVAL: Nanos = 10 * SECOND;

/// An action that the leader has to carry out for the cutover.
#[derive(Clone, Debug, PartialEq)]
pub enum CutoverEffect {
    /// Append this change to the site's log.
    ProposeToSite(Change),
    /// Submit this command to the federation's log. It may be lost; it is returned again until the
    /// federation's record contains it.
    ProposeToFederation(Command),
}

/// A proposed change that is not applied yet.
#[derive(Clone, Copy, Debug)]
struct ProposedChange {
    /// Turn of the site's tables on which the change is based.
    base_turn: u64,
    proposed_at: Nanos,
}

/// Start of the current state of the site's tables.
#[derive(Clone, Copy, Debug)]
struct CurrentStep {
    /// Log index of the change that led to this state.
    index: u64,
    /// Time at which this leader saw the state begin, in nanoseconds.
    began_at: Nanos,
}

/// A command that was submitted to the federation's log.
#[derive(Clone, Debug)]
struct SubmittedCommand {
    command: Command,
    submitted_at: Nanos,
}

/// Decisions of a site's leader on routing tables.
#[derive(Clone, Debug)]
pub struct Cutover {
    /// Time at which this leader started, in nanoseconds.
    began_at: Nanos,
    /// Time before this leader's start during which no leader advanced the record's clock, in
    /// nanoseconds; `None` if it is not known.
    uncounted: Option<Nanos>,
    senders: SenderRegistry,
    proposed: Option<ProposedChange>,
    step: CurrentStep,
    /// Senders for which a pause still waits, as far as is known.
    awaited: Option<BTreeSet<String>>,
    /// Senders because of which the last pause was rolled back.
    silent: BTreeSet<String>,
    lease: lease::SiteLease,
    /// The last command that was submitted to the federation.
    submitted: Option<SubmittedCommand>,
    /// Admission state of the site after the last change.
    stance: SiteAdmission,
    /// Number of the last table that was logged as in use by all senders.
    logged_in_use: u64,
    /// Time at which a pause of a policy rollout was last seen, in nanoseconds.
    policy_paused_at: Option<Nanos>,
    /// Time at which senders that refuse a decided table were last asked again, in nanoseconds.
    refusals_asked_at: Nanos,
}

impl Cutover {
    /// Starts without any knowledge of senders. `last_leader_seen` is the last time at which this
    /// replica saw a leader, another one or itself; `None` if it never did.
    pub fn new(now: Nanos, last_leader_seen: Option<Nanos>) -> Cutover {
        Cutover {
            began_at: now,
            uncounted: last_leader_seen.map(|at| now.saturating_sub(at)),
            senders: SenderRegistry::default(),
            proposed: None,
            step: CurrentStep {
                index: 0,
                began_at: now,
            },
            awaited: None,
            silent: BTreeSet::new(),
            lease: lease::SiteLease::default(),
            submitted: None,
            stance: SiteAdmission::Open,
            logged_in_use: 0,
            policy_paused_at: None,
            refusals_asked_at: now,
        }
    }

    /// Handles a sender's new session on a connection of its own. The sender has not reported on it
    /// yet whether it follows tables.
    pub fn on_session_opened(&mut self, sender: &str, boot: u64) {
        self.senders.open_session(sender, boot, None);
    }

    /// Handles a sender's load report. A sender that has not reported its stored tables by then
    /// follows no tables.
    pub fn on_report(&mut self, sender: &str) {
        self.senders.note_inventory_due(sender);
    }

    /// Handles the end of a sender's session.
    pub fn on_session_closed(&mut self, sender: &str) {
        self.senders.close_session(sender);
    }

    /// Handles a sender's message about the tables that it stores, checked or applied.
    pub fn on_sender_message(
        &mut self,
        now: Nanos,
        sender: &str,
        message: &AgentTableMessage,
        record: &Record,
        effects: &mut Vec<CutoverEffect>,
    ) {
        match message {
            AgentTableMessage::StoredTables(stored) => self.senders.set_stored(sender, stored),
            AgentTableMessage::TableChecked { number, refused } => {
                self.on_checked(sender, *number, refused.as_deref(), record);
            }
            AgentTableMessage::TableApplied { turn } => {
                self.on_turn_taken(now, sender, *turn, record, effects)
            }
        }
    }

    /// Handles a committed change of the site's tables, whether it was applied or void.
    pub fn on_applied(&mut self, now: Nanos, index: u64, change: &Change, record: &Record) {
        let tables = &record.tables;
        self.proposed = self.proposed.filter(|p| p.base_turn >= tables.turn);
        let is_void = tables.at != index;
        if is_void || matches!(change, Change::Lease { .. }) {
            return;
        }
        self.begin_step(index, now);
        match change {
            Change::Decide { .. } => {
                self.silent = BTreeSet::new();
                self.refusals_asked_at = now;
            }
            Change::Pause => {
                let awaited = self.not_on_turn(record).into_iter().cloned();
                self.awaited = Some(awaited.collect());
            }
            Change::Commit => self.silent.clear(),
            _ => {}
        }
        log_change(change, record);
        if self.stance == SiteAdmission::LeaseExpired
            && tables.register.stance != SiteAdmission::LeaseExpired
        {
            log::info!("lease of the federation runs again");
        }
        self.stance = tables.register.stance;
    }

    fn begin_step(&mut self, index: u64, began_at: Nanos) {
        self.step = CurrentStep { index, began_at };
        self.awaited = None;
    }

    /// Advances time; also called when the view of the federation has changed.
    pub fn on_tick(
        &mut self,
        now: Nanos,
        record: &Record,
        view: Option<&FederationView>,
        effects: &mut Vec<CutoverEffect>,
    ) {
        // The senders for which a pause waits are determined again: some may have joined, and
        // leases of others may have expired.
        self.awaited = None;
        self.stance = record.tables.register.stance;
        if record.policies.zones.values().any(|r| r.paused) {
            self.policy_paused_at = Some(now);
        }
        self.ask_refusing_senders_again(now, record);
        self.update_lease(now, record, view, effects);
        let next = |cutover: &mut Cutover| cutover.next_change(now, record, view);
        self.propose_change(now, record, next, effects);
        self.report_to_federation(now, record, view, effects);
    }

    /// Proposes the next change of the site's record; only one at a time.
    fn propose_change(
        &mut self,
        now: Nanos,
        record: &Record,
        next: impl FnOnce(&mut Cutover) -> Option<Change>,
        effects: &mut Vec<CutoverEffect>,
    ) {
        let tables = &record.tables;
        let base_turn = tables.turn;
        self.proposed = self
            .proposed
            .filter(|p| p.base_turn == base_turn && now < p.proposed_at + PROPOSAL_TIMEOUT);
        if self.proposed.is_some() {
            return;
        }
        if self.step.index != tables.at {
            // The step began under another leader and may have lasted long already, so it counts
            // from this leader's start.
            self.begin_step(tables.at, self.began_at);
        }
        if let Some(change) = next(self) {
            self.proposed = Some(ProposedChange {
                base_turn,
                proposed_at: now,
            });
            effects.push(CutoverEffect::ProposeToSite(change));
        }
    }
}

/// Logs a change that was applied.
fn log_change(change: &Change, record: &Record) {
    let tables = &record.tables;
    let (turn, number) = (tables.turn, tables.register.number);
    let next = tables.newest_decided();
    match change {
        Change::Offer { table } => log::info!("table {}: offered", table.number),
        Change::Accept { number } => log::info!("table {number}: accepted here"),
        Change::Drop { number } => log::info!("table {number}: ended without a decision"),
        Change::Decide { table } => log::info!("table {}: to be switched to", table.number),
        Change::Pause => log::info!("table {next}: paused by turn {turn}"),
        Change::Commit => log::info!("table {number}: in force by turn {turn}"),
        Change::RollBack { silent } => {
            log::warn!("table {next}: taken back by turn {turn}: {silent} silent");
        }
        Change::Hold => log::warn!("lease of the federation is over: nothing new is taken on"),
        Change::Lease { .. } | Change::Resume => {}
    }
}
