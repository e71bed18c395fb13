//! Operators' orders on the federation's table.

use crate::coordination::messages::FederationRequest;
use crate::coordination::policy_rollout::document::Fault;
use crate::coordination::record::Record;
use crate::coordination::routing_table::cutover::Cutover;
use crate::coordination::routing_table::document::Document;
use crate::coordination::routing_table::federation::{
    Command, EndedProposal, ProposalKey, ProposalRejected, DECIDED,
};
use crate::coordination::routing_table::federation_view::FederationView;
use crate::coordination::sender_registry::format_names;

/// Longest time that a proposal may have, in seconds: a day.
const MAX_WITHIN_S: u32 = 24 * 3_600;

/// Why an order is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderRejected {
    /// The site is in no federation, as far as is known.
    #[error("this site is in no federation")]
    NoFederation,
    /// The site has no part in its federation yet, or no more.
    #[error("this site is not on the roster of its federation")]
    NotOnRoster,
    /// The text is no table: a line for each fault.
    #[error("{0}")]
    InvalidTable(String),
    /// The proposal's time.
    #[error("{0} s are not from 1 to {max}", max = MAX_WITHIN_S)]
    InvalidTime(u32),
    /// The federation takes no proposal now.
    #[error(transparent)]
    Proposal(#[from] ProposalRejected),
    /// These senders follow no tables.
    #[error("{0}: a fleet file without a table [table], so no table is followed there")]
    SendersFollowNone(String),
    /// Nothing is proposed that could be aborted.
    #[error("no table is proposed")]
    NothingProposed,
    /// Another part serves this order.
    #[error("that is not the office's to do")]
    NotServedHere,
}

/// What became of an order that was submitted to the federation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The federation's record does not show it yet.
    Pending,
    /// The record of this version shows it.
    Done(u64),
    /// It ended otherwise, for people.
    Failed(String),
}

impl Cutover {
    /// The command for the federation's record that an order asks for; nothing where things are so
    /// already. Who joins or leaves the roster is not decided here.
    ///
    /// # Errors
    /// The order is rejected.
    pub fn command_for_order(
        &self,
        order: &FederationRequest,
        record: &Record,
        view: Option<&FederationView>,
    ) -> Result<Option<Command>, OrderRejected> {
        let view = view.ok_or(OrderRejected::NoFederation)?;
        match order {
            FederationRequest::ProposeTable { text, within_s } => {
                self.proposal_command(text, *within_s, record, view)
            }
            FederationRequest::AbortProposal { why } => abort_command(why, view).map(Some),
            FederationRequest::Status
            | FederationRequest::TableHistory
            | FederationRequest::TableText { .. }
            | FederationRequest::RemoveSite { .. }
            | FederationRequest::AddSite { .. } => Err(OrderRejected::NotServedHere),
        }
    }

    fn proposal_command(
        &self,
        text: &str,
        within_s: u32,
        record: &Record,
        view: &FederationView,
    ) -> Result<Option<Command>, OrderRejected> {
        let federation = &view.record;
        let by = view.own_name().ok_or(OrderRejected::NotOnRoster)?;
        let document = Document::parse(text)
            .map_err(|faults| OrderRejected::InvalidTable(lines_of(&faults)))?;
        let digest = document.digest();
        if !(1..=MAX_WITHIN_S).contains(&within_s) {
            return Err(OrderRejected::InvalidTime(within_s));
        }
        if let Some(running) = &federation.proposal {
            if running.by.site == by && running.table.digest == digest {
                return Ok(None);
            }
        }
        federation.check_proposal(text)?;
        let not_following = self.not_following(record);
        if !not_following.is_empty() {
            return Err(OrderRejected::SendersFollowNone(format_names(
                &not_following,
            )));
        }
        // The record's version grows with each heartbeat: no two proposals of this site have one,
        // and it outlasts this leader.
        let key = record.version << 32 | u64::from(crc32fast::hash(&digest));
        Ok(Some(Command::Propose {
            by: by.into(),
            key,
            text: text.into(),
            digest,
            within_ms: u64::from(within_s) * 1_000,
        }))
    }

    /// Whether the federation's record shows what an order asked for.
    pub fn order_outcome(command: &Command, view: &FederationView) -> OrderOutcome {
        let federation = &view.record;
        let is_done = match command {
            Command::Propose { by, key, .. } => {
                let by = ProposalKey {
                    site: by.clone(),
                    key: *key,
                };
                let failed = |p: &&EndedProposal| is_undecided(p) && p.by == by;
                if let Some(past) = federation.past.iter().find(failed) {
                    let why = format!("table {}: {}", past.number, past.end);
                    return OrderOutcome::Failed(why);
                }
                federation.has_seen(&by)
            }
            Command::Abort { number, .. } => {
                match federation.past.iter().find(|p| p.number == *number) {
                    Some(past) if !is_undecided(past) => {
                        let why = format!("table {number} was decided before");
                        return OrderOutcome::Failed(why);
                    }
                    past => past.is_some(),
                }
            }
            _ => true,
        };
        if is_done {
            OrderOutcome::Done(federation.version)
        } else {
            OrderOutcome::Pending
        }
    }
}

/// Whether a proposal that is over ended without a decision.
fn is_undecided(past: &EndedProposal) -> bool {
    past.end != DECIDED
}

fn abort_command(why: &str, view: &FederationView) -> Result<Command, OrderRejected> {
    let proposal = view.record.proposal.as_ref();
    let proposal = proposal.ok_or(OrderRejected::NothingProposed)?;
    let by_operator = "a person's word";
    let why = if why.is_empty() {
        by_operator.into()
    } else {
        format!("{by_operator}: {why}")
    };
    let number = proposal.table.number;
    Ok(Command::Abort { number, why })
}

/// A line for each fault of a table's text.
fn lines_of(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(|f| format!("table: {f}")).collect();
    lines.join("\n")
}
