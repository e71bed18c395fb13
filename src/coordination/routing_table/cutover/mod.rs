//! A site's cutover from one routing table to the next: which senders the leader waits for, when
//! the site accepts a proposal, and when it goes over.
//!
//! It owns the decisions of one leader of the site in its time as leader. What outlasts a leader
//! stands in the site's record ([`tables`](super::tables)) and in the federation's
//! ([`federation`](super::federation)). What senders reported is lost with the leader, as with
//! policies. The leader's duties (`coordination::leader`) call it and carry out its
//! [`CutoverEffect`]s; it does no I/O and reads no clock.
//!
//! # The lease
//!
//! The federation counts the site in for a time. The member that is granted that counts it on its
//! own clock; a leader that takes over from it has the record's value, which it believes less the
//! time that it knows nobody counted, and less [`CLOCK_LAG`]. One that never saw a leader believes
//! nothing of it. Beyond the lease, a site that holds admits nothing, also one that was never
//! counted in: nobody there knows what the federation goes by, as its folders may be those of a
//! site that was cut off, or new ones in place of lost ones. Invariant: while the leader knows the
//! lease to be over, no sender hears from it that messages may be admitted, and none has its own
//! lease renewed before the record says that nothing is admitted.
//!
//! # Senders that cannot go by what was decided
//!
//! A sender that refuses a table before the site accepts it ends the proposal. One that does so
//! later, as it joined later, holds nothing up: it admits nothing, as it has not the table that it
//! is told to go by. One whose file lets it follow no tables would go on by the list alone, so a
//! cutover waits until it lapses.
//!
//! # Modules
//!
//! `lease` counts the site's lease, `decisions` finds the next change of the site's record,
//! `reports` tells the federation what its record does not show yet, `senders` says who has what
//! and what is sent to them, `orders` and `status` serve operators.

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
/// A change that is not committed to the site's record within this time may be proposed again; a
/// command that the federation's record does not show is submitted again after it.
const PROPOSAL_TIMEOUT: Nanos = SECOND;
/// A sender that cannot go by a table that was decided is asked again after this time: what its
/// list lacks may come.
const REFUSAL_RETRY_INTERVAL: Nanos = 10 * SECOND;

/// Something that the leader's duties have to do for the cutover.
#[derive(Clone, Debug, PartialEq)]
pub enum CutoverEffect {
    /// Append this change to the site's log.
    ProposeToSite(Change),
    /// Submit this command for the federation's log. It may be lost; it is returned again as long
    /// as the federation's record does not show it.
    ProposeToFederation(Command),
}

/// The change that was proposed and is not applied yet.
#[derive(Clone, Copy, Debug)]
struct ProposedChange {
    /// Turn of the site's tables that it was based on.
    base_turn: u64,
    proposed_at: Nanos,
}

/// When the state of the site's tables began.
#[derive(Clone, Copy, Debug)]
struct CurrentStep {
    /// Log index of the change that began it.
    index: u64,
    /// When this leader saw it begin.
    began_at: Nanos,
}

/// A command that was submitted for the federation's log.
#[derive(Clone, Debug)]
struct SubmittedCommand {
    command: Command,
    submitted_at: Nanos,
}

/// Decisions of a site's leader on routing tables.
#[derive(Clone, Debug)]
pub struct Cutover {
    /// When this leader began.
    began_at: Nanos,
    /// For how long nobody counted on the record's clock before this leader began; nothing where
    /// that is not known.
    uncounted: Option<Nanos>,
    senders: SenderRegistry,
    proposed: Option<ProposedChange>,
    step: CurrentStep,
    /// Senders that a pause still waits for, as far as is known.
    awaited: Option<BTreeSet<String>>,
    /// Those that the last pause was rolled back for.
    silent: BTreeSet<String>,
    lease: lease::SiteLease,
    /// The command that was submitted to the federation last.
    submitted: Option<SubmittedCommand>,
    /// Whether the site admits messages, as of the last change.
    stance: SiteAdmission,
    /// The last table that all senders were seen to go by, for the log.
    logged_in_use: u64,
    /// When a pause of a policy rollout was last seen.
    policy_paused_at: Option<Nanos>,
    /// When senders that refuse what was decided were asked last.
    refusals_asked_at: Nanos,
}

impl Cutover {
    /// Starts without any knowledge of senders. `last_leader_seen` is when this replica saw another
    /// leader, or itself, lead last; nothing where it never did.
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

    /// A sender has a session on a connection of its own, on which it has not said yet whether it
    /// follows tables.
    pub fn on_session_opened(&mut self, sender: &str, boot: u64) {
        self.senders.open_session(sender, boot, None);
    }

    /// A sender's load report arrived. One that has not said by now what it has follows no tables.
    pub fn on_report(&mut self, sender: &str) {
        self.senders.note_inventory_due(sender);
    }

    /// A sender's session is over.
    pub fn on_session_closed(&mut self, sender: &str) {
        self.senders.close_session(sender);
    }

    /// A sender says what it has, checked, or goes by.
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

    /// A change of tables was applied, or was void.
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

    /// Advances time, or the federation is known to stand otherwise.
    pub fn on_tick(
        &mut self,
        now: Nanos,
        record: &Record,
        view: Option<&FederationView>,
        effects: &mut Vec<CutoverEffect>,
    ) {
        // Whom a pause waits for is counted anew: some may have joined or lapsed.
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

    /// Proposes the next change of the site's record, one at a time.
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
            // It began under another leader, who may have waited long.
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
        Change::Drop { number } => log::info!("table {number}: ended nowhere"),
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
