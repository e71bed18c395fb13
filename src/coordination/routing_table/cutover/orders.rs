//! Operators' orders about the federation's routing table.

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

/// Longest time limit of a proposal, in seconds: one day.
const MAX_WITHIN_S: u32 = 24 * 3_600;

/// Reason why an order is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderRejected {
    /// The site is in no federation, as far as is known.
    #[error("this site is in no federation")]
    NoFederation,
    /// The site is not on the roster of its federation, or is no longer.
    #[error("this site is not on the roster of its federation")]
    NotOnRoster,
    /// The text is not a valid table: one line for each fault.
    #[error("{0}")]
    InvalidTable(String),
    /// The time limit of the proposal is out of range.
    #[error("the time limit of {0} s is not from 1 to {max}", max = MAX_WITHIN_S)]
    InvalidTime(u32),
    /// The federation accepts no proposal at present.
    #[error(transparent)]
    Proposal(#[from] ProposalRejected),
    /// These senders follow no tables.
    #[error("{0}: a fleet file without a table [table], so no table is followed there")]
    SendersFollowNone(String),
    /// There is no open proposal to abort.
    #[error("no table is proposed")]
    NothingProposed,
    /// Another component serves this order.
    #[error("this request is served elsewhere")]
    NotServedHere,
}

/// Outcome of an order that was submitted to the federation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The federation's record does not contain its effect yet.
    Pending,
    /// The record of this version contains its effect.
    Done(u64),
    /// The order failed, for this reason.
    Failed(String),
}

impl Cutover {
    /// Returns the command for the federation's log that carries out an order; `None` if the
    /// requested state already exists. Orders that change the roster are not served here.
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
        // The version of the site's record grows with each heartbeat and outlasts this leader, so
        // no two proposals of this site have the same key.
        let key = record.version << 32 | u64::from(crc32fast::hash(&digest));
        Ok(Some(Command::Propose {
            by: by.into(),
            key,
            text: text.into(),
            digest,
            within_ms: u64::from(within_s) * 1_000,
        }))
    }

    /// Returns whether the federation's record contains the effect of an order.
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

/// Returns whether an ended proposal ended without a decision.
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

/// Returns one line for each fault of a table's text.
fn lines_of(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(|f| format!("table: {f}")).collect();
    lines.join("\n")
}
