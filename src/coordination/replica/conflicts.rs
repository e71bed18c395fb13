//! Conflicts that keep other replicas and sites from taking part. Each is logged when it begins and
//! shown in the status while it lasts.

use crate::coordination::replica::{Replica, Stage, CONFLICT_RETENTION};
use std::time::Instant;

/// Largest number of conflicts held at once. The bound is needed because replica numbers that a
/// connecting process merely claims count as well.
const MAX_CONFLICTS: usize = 64;

/// Reason why two connected replicas or sites cannot work in one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Conflict {
    /// This replica rejected one that connected to it under the number of the other.
    IncomingRejected,
    /// This replica rejected the process that answers at the address of the other.
    ResponderRejected,
    /// The other replica rejects this one.
    RejectedByPeer,
    /// As `IncomingRejected`, between two sites.
    SiteIncomingRejected,
    /// As `ResponderRejected`, between two sites.
    SiteResponderRejected,
    /// As `RejectedByPeer`, between two sites.
    RejectedBySite,
}

impl Replica {
    /// Records a conflict and returns whether it is new or its reason has changed, so that it is
    /// logged.
    pub(super) fn is_new_conflict(&mut self, number: u64, how: Conflict, reason: &str) -> bool {
        let now = Instant::now();
        self.conflicts
            .retain(|_, (at, _)| now.duration_since(*at) < CONFLICT_RETENTION);
        if self.conflicts.len() >= MAX_CONFLICTS && !self.conflicts.contains_key(&(number, how)) {
            return false;
        }
        let previous = self.conflicts.insert((number, how), (now, reason.into()));
        previous.is_none_or(|(_, before)| before != reason)
    }

    /// Records a conflict with another replica, and logs it if it is new.
    pub(super) fn note_conflict(&mut self, replica: u64, how: Conflict, reason: &str) {
        if !self.is_new_conflict(replica, how, reason) {
            return;
        }
        let (log_prefix, at) = (
            self.log_prefix(),
            self.outgoing
                .get(&replica)
                .map(|link| link.address.to_string())
                .unwrap_or_default(),
        );
        match how {
            Conflict::IncomingRejected => {
                log::error!("{log_prefix}: rejects keeper {replica}: {reason}")
            }
            Conflict::ResponderRejected => {
                log::error!(
                    "{log_prefix}: rejects the process that answers as keeper {replica} at {at}: {reason}"
                )
            }
            _ => log::warn!("{log_prefix}: keeper {replica} at {at} rejects this keeper: {reason}"),
        }
    }

    /// Returns what keeps other replicas from taking part, as far as this one knows.
    pub(super) fn faults(&self) -> Vec<(u64, String)> {
        let mut faults: Vec<(u64, String)> = Vec::new();
        for ((replica, how), (at, reason)) in &self.conflicts {
            if at.elapsed() < CONFLICT_RETENTION {
                let what = match how {
                    Conflict::IncomingRejected => "refused as it came",
                    Conflict::ResponderRejected => "refused as it answered",
                    Conflict::RejectedByPeer => "does not hear this keeper",
                    Conflict::SiteIncomingRejected => "as a site: refused as it came",
                    Conflict::SiteResponderRejected => "as a site: refused as it answered",
                    Conflict::RejectedBySite => "as a site: does not hear this one",
                };
                faults.push((*replica, format!("{what}: {reason}")));
            }
        }
        for (replica, link) in &self.outgoing {
            let reason = link.state.reason.borrow();
            if !link.state.up.get() && !reason.is_empty() {
                faults.push((
                    *replica,
                    format!("not reached at {}: {reason}", link.address),
                ));
            }
        }
        let (missing, what) = match &self.stage {
            Stage::Bootstrapping(bootstrap) => {
                (bootstrap.missing(), "not met yet: the site has not begun")
            }
            Stage::InGroup(group) => (group.voters_without_record(), "has not got the record yet"),
        };
        faults.extend(missing.into_iter().map(|replica| (replica, what.into())));
        faults.extend(self.site_faults());
        faults.sort();
        faults
    }
}
