//! Reports of the site to its federation: that it accepts or refuses a proposal, and that it has
//! cut over.

use crate::coordination::record::Record;
use crate::coordination::routing_table::cutover::{
    Cutover, CutoverEffect, SubmittedCommand, PROPOSAL_TIMEOUT,
};
use crate::coordination::routing_table::federation::Command;
use crate::coordination::routing_table::federation_view::FederationView;
use crate::Nanos;

/// Content of a report without its reason, which may change while the report remains the same.
#[derive(PartialEq, Eq)]
enum ReportKind {
    Accept(u64),
    Refuse(u64),
    CutOver(u64),
    Other,
}

impl ReportKind {
    fn of(command: &Command) -> ReportKind {
        match command {
            Command::Accept { number, .. } => ReportKind::Accept(*number),
            Command::Refuse { number, .. } => ReportKind::Refuse(*number),
            Command::CutOver { number, .. } => ReportKind::CutOver(*number),
            _ => ReportKind::Other,
        }
    }
}

impl Cutover {
    /// Submits the report that the federation's record lacks. The same report is submitted again
    /// only after `PROPOSAL_TIMEOUT`.
    pub(super) fn report_to_federation(
        &mut self,
        now: Nanos,
        record: &Record,
        view: Option<&FederationView>,
        effects: &mut Vec<CutoverEffect>,
    ) {
        let Some(command) = view.and_then(|view| self.next_report(now, record, view)) else {
            return;
        };
        let kind = ReportKind::of(&command);
        let last = self.submitted.as_ref();
        let last = last.filter(|last| ReportKind::of(&last.command) == kind);
        if last.is_some_and(|last| now < last.submitted_at + PROPOSAL_TIMEOUT) {
            return;
        }
        let is_first = last.is_none();
        self.log_report(&command, is_first);
        self.submitted = Some(SubmittedCommand {
            command: command.clone(),
            submitted_at: now,
        });
        effects.push(CutoverEffect::ProposeToFederation(command));
    }

    /// Returns the report that the federation's record lacks.
    fn next_report(&self, now: Nanos, record: &Record, view: &FederationView) -> Option<Command> {
        let site = view.own_site;
        if !view.record.sites.contains_key(&site) {
            return None;
        }
        let proposal = view.record.proposal.as_ref();
        let foreign = self.foreign_record(now, record, view);
        if let Some((proposal, why)) = proposal.zip(foreign) {
            let number = proposal.table.number;
            return Some(Command::Refuse { site, number, why });
        }
        let Some((proposal, offered)) = proposal.zip(record.tables.offered.as_ref()) else {
            return self.cutover_report(record, view);
        };
        let number = offered.table.number;
        if proposal.table.number != number {
            return self.cutover_report(record, view);
        }
        if let Some(why) = self.refusal(record, number) {
            return Some(Command::Refuse { site, number, why });
        }
        let is_unreported = offered.accepted && !proposal.accepted.contains(&site);
        is_unreported.then_some(Command::Accept { site, number })
    }

    /// Returns the report that the site has cut over, once all live senders use the table or refuse
    /// it.
    fn cutover_report(&self, record: &Record, view: &FederationView) -> Option<Command> {
        let site = view.own_site;
        let own = view.record.sites.get(&site)?;
        let number = record.tables.register.number;
        let is_unreported = number == view.record.table.number
            && own.uses != number
            && record.tables.next.is_none();
        let mut late = self.not_on_turn(record).into_iter();
        let is_in_use = late.all(|name| self.refuses(name, number));
        (is_unreported && is_in_use).then_some(Command::CutOver { site, number })
    }

    fn log_report(&mut self, command: &Command, is_first: bool) {
        match command {
            Command::Refuse { number, why, .. } if is_first => {
                log::warn!("table {number}: refused: {}", why.replace('\n', "; "));
            }
            Command::CutOver { number, .. } if self.logged_in_use != *number => {
                self.logged_in_use = *number;
                log::info!("table {number}: all senders go by it");
            }
            _ => {}
        }
    }
}
