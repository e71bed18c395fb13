//! What keeps other replicas and sites from taking part: logged when it begins, and shown in the
//! status for as long as it lasts.

use crate::coordination::replica::{Replica, Stage, CONFLICT_RETENTION};
use std::time::Instant;

/// Most of that which is held at once: numbers of keepers that others only claim count, too.
const MAX_CONFLICTS: usize = 64;

/// Why two keepers with a connection between them do not take part in one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Conflict {
    /// One that came in this one's name is refused.
    IncomingRejected,
    /// What answers at its address is another one.
    ResponderRejected,
    /// It refuses this one.
    RejectedByPeer,
    /// The same between two sites.
    SiteIncomingRejected,
    /// See above.
    SiteResponderRejected,
    /// See above.
    RejectedBySite,
}

impl Replica {
    /// Two keepers cannot go together: told when it begins, and in the status for as long as it
    /// lasts.
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
                log::error!("{log_prefix}: refuses keeper {replica}: {reason}")
            }
            Conflict::ResponderRejected => {
                log::error!("{log_prefix}: refuses what answers as keeper {replica} at {at}: {reason}")
            }
            _ => log::warn!("{log_prefix}: keeper {replica} at {at} does not hear it: {reason}"),
        }
    }

    /// What keeps other keepers from taking part, as far as this one knows.
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
                faults.push((*replica, format!("not reached at {}: {reason}", link.address)));
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
