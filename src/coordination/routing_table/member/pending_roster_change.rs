//! A roster change in progress: its requester, its current step, its possible errors, and the
//! response to the requester. `roster_change` carries it out.

use crate::coordination::leader::ConnectionId;
use crate::coordination::messages::OperatorResponse;
use crate::coordination::raft_group::ProposeError;
use crate::coordination::routing_table::federation::JoinRejected;
use crate::coordination::routing_table::member::{
    MemberEffect, MemberMessage, MAX_ADDRESSES_PER_SITE,
};
use crate::Nanos;

/// Time after which a roster change that has not ended is abandoned, in nanoseconds.
const CHANGE_TIMEOUT: Nanos = 20_000_000_000;

/// Origin of a roster order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Requester {
    /// An operator on a connection of this replica.
    Local(ConnectionId),
    /// Another site, on behalf of an operator there.
    Remote {
        /// Number of the other site.
        site: u64,
        /// Identifier of the order at that site.
        id: u64,
    },
}

/// A roster change in progress.
pub(super) struct RosterChange {
    pub(super) requester: Requester,
    pub(super) ordered_at: Nanos,
    pub(super) site: u64,
    pub(super) name: String,
    pub(super) step: ChangeStep,
}

/// The event for which a roster change waits.
pub(super) enum ChangeStep {
    /// The response with the site's incarnation.
    RequestingIncarnation {
        /// The site's addresses, as the group records them.
        addresses: String,
    },
    /// The addition of the site to the raft group.
    Adding,
    /// The commit of the command that adds the site to the roster.
    Joining,
    /// The replication of the log to the site, up to this index.
    Replicating {
        /// Log index of the command that added the site to the roster.
        index: u64,
    },
    /// The commit of the command that removes the site from the roster.
    Removing,
}

/// Reason why a roster change is not carried out.
#[derive(Debug, thiserror::Error)]
pub(super) enum RosterChangeError {
    #[error("this request does not change the roster")]
    NotARosterOrder,
    #[error("this site does not lead the federation")]
    NotLeader,
    #[error("another change of the roster is still in progress")]
    Busy,
    #[error("the sites did not agree within 20 s; check the status and repeat the order")]
    Timeout,
    #[error("no site {0:?} is on the roster")]
    UnknownSite(String),
    #[error("the last site cannot be removed")]
    LastSite,
    #[error(
        "{0} leads the federation: another site was asked to take over, repeat the order there"
    )]
    SiteLeads(String),
    #[error(
        "{name} is granted no lease for {withheld_s} s, and is fenced with all its senders in \
         {fenced_in_s} s: repeat the order then"
    )]
    NotFencedYet {
        name: String,
        withheld_s: u64,
        fenced_in_s: u64,
    },
    #[error("{0} has joined and does not have the record yet")]
    AwaitingRecord(String),
    #[error("{0:?} is not a valid name")]
    InvalidName(String),
    #[error("{0:?}: 1 to {max} addresses with a port are needed", max = MAX_ADDRESSES_PER_SITE)]
    InvalidAddresses(Vec<String>),
    #[error("site {name} at {addresses}: {why}")]
    NotAdded {
        name: String,
        addresses: String,
        why: String,
    },
    #[error(transparent)]
    Join(#[from] JoinRejected),
    #[error(transparent)]
    Group(#[from] ProposeError),
}

/// Reason, as a text for operators, why the incarnation of a joining site is not known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct IncarnationUnknown(pub String);

/// Reports the result of a roster change to its requester: the version of the record that contains
/// the change, or the error.
pub(super) fn reply(
    requester: Requester,
    result: Result<u64, RosterChangeError>,
    effects: &mut Vec<MemberEffect>,
) {
    let answer = result.map_err(|error| error.to_string());
    effects.push(match requester {
        Requester::Local(connection) => MemberEffect::Answer {
            connection,
            answer: answer.map_or_else(OperatorResponse::Rejected, OperatorResponse::Done),
        },
        Requester::Remote { site, id } => MemberEffect::Send {
            to: site,
            message: MemberMessage::RosterOrderResult { id, answer },
        },
    });
}

impl RosterChange {
    pub(super) fn new(
        now: Nanos,
        requester: Requester,
        site: u64,
        name: &str,
        step: ChangeStep,
    ) -> Self {
        RosterChange {
            requester,
            ordered_at: now,
            site,
            name: name.into(),
            step,
        }
    }

    pub(super) fn is_overdue(&self, now: Nanos) -> bool {
        now >= self.ordered_at + CHANGE_TIMEOUT
    }
}
