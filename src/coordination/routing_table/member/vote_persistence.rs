//! Fences earlier members of the site and persists the raft state in the site's record.
//!
//! Invariant: one item is in flight at a time, and messages that rely on it are sent only after the
//! site's record has it.

use crate::coordination::bootstrap::Bootstrap;
use crate::coordination::raft_group::RaftGroup;
use crate::coordination::raft_log::{LogItem, ReplicaIdentity};
use crate::coordination::record::{self, Record};
use crate::coordination::routing_table::federation::Federation;
use crate::coordination::routing_table::member::{
    FederationMember, MemberEffect, Stage, PROPOSAL_TIMEOUT,
};
use crate::Nanos;

/// Time after which a proposal is repeated that the site's log rejected because too many were
/// pending, in nanoseconds.
const REFUSED_PROPOSAL_PAUSE: Nanos = 100_000_000;

/// The write to the site's record that is in flight.
pub(super) struct PendingWrite {
    /// Number of the last item of this term.
    number: u64,
    /// The item in flight; `None` once the record has it.
    piece: Option<LogItem>,
    /// Time at which the last proposal is to be repeated, in nanoseconds.
    repeat_at: Nanos,
}

impl PendingWrite {
    pub(super) fn new(now: Nanos) -> PendingWrite {
        PendingWrite {
            number: 0,
            piece: None,
            repeat_at: now,
        }
    }

    pub(super) fn is_in_flight(&self) -> bool {
        self.piece.is_some()
    }
}

impl FederationMember {
    /// Repeats the proposal of the fence or of the item in flight if that is due.
    pub(super) fn repeat_overdue_proposal(&mut self, now: Nanos, effects: &mut Vec<MemberEffect>) {
        let waits = self.write.is_in_flight() || matches!(self.stage, Stage::Fencing);
        if waits && now >= self.write.repeat_at {
            self.propose_to_site(now, effects);
        }
    }

    fn propose_to_site(&mut self, now: Nanos, effects: &mut Vec<MemberEffect>) {
        self.write.repeat_at = now + PROPOSAL_TIMEOUT;
        let term = self.site_term;
        let command = match (&self.stage, &self.write.piece) {
            (_, Some(piece)) => record::Command::PersistMemberLog {
                term,
                number: self.write.number,
                item: piece.clone(),
            },
            (Stage::Fencing, None) => record::Command::FenceMember { term },
            (_, None) => return,
        };
        effects.push(MemberEffect::ProposeToSite(command));
    }

    /// Handles the rejection of a proposal by the site's log because too many were pending.
    pub fn on_proposal_refused(&mut self, now: Nanos) {
        self.write.repeat_at = self.write.repeat_at.min(now + REFUSED_PROPOSAL_PAUSE);
    }

    /// Persists an item as the next one in this term.
    pub(super) fn persist(&mut self, now: Nanos, piece: LogItem, effects: &mut Vec<MemberEffect>) {
        self.write.number += 1;
        self.write.piece = Some(piece);
        self.propose_to_site(now, effects);
    }

    /// Handles a member's command that was applied to the site's record. `record` is the state
    /// after it.
    pub fn on_applied(
        &mut self,
        now: Nanos,
        command: &record::Command,
        record: &Record,
        effects: &mut Vec<MemberEffect>,
    ) {
        match command {
            record::Command::FenceMember { term } => {
                let is_own = self.owns_record(*term, record);
                let is_expected =
                    matches!(self.stage, Stage::Fencing) && !self.write.is_in_flight();
                if is_own && is_expected {
                    self.on_fenced(now, record, effects);
                }
            }
            record::Command::PersistMemberLog { term, number, .. } => {
                let is_own = self.owns_record(*term, record) && *number == self.write.number;
                if is_own && self.write.piece.take().is_some() {
                    self.on_persisted(now, record, effects);
                }
            }
            _ => {}
        }
    }

    /// Returns whether a command of this term is this member's and no later member has fenced this
    /// one off.
    fn owns_record(&self, command_term: u64, record: &Record) -> bool {
        command_term == self.site_term && record.durable_vote.term == self.site_term
    }

    /// Handles the commit of the fence: resumes from what the record holds, or starts with a new
    /// identity.
    fn on_fenced(&mut self, now: Nanos, record: &Record, effects: &mut Vec<MemberEffect>) {
        let Some(base) = &record.durable_vote.base else {
            return self.persist_new_identity(now, effects);
        };
        let recorded = &base.identity;
        if let Err(mismatch) = self.settings.check_identity(recorded) {
            return self.fail(mismatch.to_string());
        }
        if recorded.replica == self.settings.site_number {
            return self.resume(now, record, effects);
        }
        let former = recorded.replica;
        log::info!("{}: gives up the number {former}", self.log_name());
        self.persist_new_identity(now, effects);
    }

    /// Persists the identity of a site that is new in the federation. Nothing may be sent before
    /// the record has it.
    fn persist_new_identity(&mut self, now: Nanos, effects: &mut Vec<MemberEffect>) {
        let identity = ReplicaIdentity {
            site: self.settings.federation.to_string(),
            replica: self.settings.site_number,
            incarnation: self.rng.u64(..),
        };
        let base = if self.settings.bootstrap {
            let others = self.settings.other_sites.keys().copied();
            Bootstrap::first_checkpoint_of::<Federation>(identity, others)
        } else {
            Bootstrap::joining_checkpoint_of::<Federation>(identity)
        };
        self.persist(now, LogItem::Checkpoint(Box::new(base)), effects);
    }

    /// Resumes from what the record holds.
    fn resume(&mut self, now: Nanos, record: &Record, effects: &mut Vec<MemberEffect>) {
        let Some(base) = record.durable_vote.base.as_deref() else {
            return;
        };
        let name = self.log_name();
        if matches!(self.stage, Stage::Fencing) {
            let (site, term) = (self.settings.site_number, self.site_term);
            log::info!("{name}: speaks for site {site} in term {term}");
        }
        self.ticked_until = now;
        if !base.takes_part {
            let begin = Bootstrap::new(base.clone());
            let missing = begin.missing();
            log::info!("{name}: begins when it and sites {missing:?} know each other");
            self.stage = Stage::Bootstrapping(Box::new(begin));
            return self.continue_bootstrap(now, record, effects);
        }
        match RaftGroup::resumed(base.clone(), self.rng.u64(..)) {
            Ok(group) => self.stage = Stage::Participating(Box::new(group)),
            Err(error) => return self.fail(error.to_string()),
        }
        self.run_group(now, effects);
    }

    /// Handles the commit of the item that was in flight.
    fn on_persisted(&mut self, now: Nanos, record: &Record, effects: &mut Vec<MemberEffect>) {
        match &mut self.stage {
            Stage::Fencing => self.resume(now, record, effects),
            Stage::Bootstrapping(_) => {
                let base = record.durable_vote.base.as_deref();
                if base.is_some_and(|base| base.takes_part) {
                    self.resume(now, record, effects);
                } else {
                    self.continue_bootstrap(now, record, effects);
                }
            }
            Stage::Participating(group) => {
                group.item_saved();
                if record.durable_vote.wants_base() {
                    group.compact();
                }
                self.run_group(now, effects);
            }
            Stage::Failed(_) => {}
        }
    }
}
