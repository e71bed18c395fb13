//! Roster changes that the leading site carries out. A site is removed once it is fenced. For a
//! site that joins, the leading site requests its incarnation, adds it to the raft group and puts
//! it on the roster; the change is complete when the site has the record.

use crate::coordination::messages::FederationRequest;
use crate::coordination::raft_group::GroupMember;
use crate::coordination::routing_table::federation::Command;
use crate::coordination::routing_table::member::leadership::{granter_share, Leadership};
use crate::coordination::routing_table::member::pending_roster_change::{
    reply, ChangeStep, IncarnationUnknown, Requester, RosterChange, RosterChangeError,
};
use crate::coordination::routing_table::member::settings::is_valid_name;
use crate::coordination::routing_table::member::{
    nanos_of_ms, FederationMember, MemberEffect, Stage, MAX_ADDRESSES_PER_SITE,
};
use crate::Nanos;
use std::net::SocketAddr;

/// Time after a removal order during which the site is granted no lease, in nanoseconds. If fencing
/// takes longer, half of this value is added to the time of the fence.
const LEASE_WITHHELD_FOR: Nanos = 60_000_000_000;

/// Converts a duration to whole seconds, rounded up.
fn seconds(time: Nanos) -> u64 {
    time.div_ceil(1_000_000_000)
}

impl Leadership {
    /// Handles the addition of a site to the group.
    pub(super) fn on_member_added(&mut self, site: u64) {
        if let Some(change) = &mut self.change {
            if change.site == site && matches!(change.step, ChangeStep::Adding) {
                change.step = ChangeStep::Joining;
            }
        }
    }

    /// Handles the commit of the command that adds a site to the roster. `on_roster` is the name
    /// that the roster now has for the site.
    pub(super) fn on_join_committed(&mut self, index: u64, site: u64, on_roster: Option<&str>) {
        if let Some(change) = &mut self.change {
            if change.site == site && on_roster == Some(change.name.as_str()) {
                change.step = ChangeStep::Replicating { index };
            }
        }
    }

    /// Handles the commit of the command that removes a site from the roster.
    pub(super) fn on_removal_committed(
        &mut self,
        index: u64,
        site: u64,
        effects: &mut Vec<MemberEffect>,
    ) {
        let is_done = |change: &mut RosterChange| {
            change.site == site && matches!(change.step, ChangeStep::Removing)
        };
        if let Some(change) = self.change.take_if(is_done) {
            reply(change.requester, Ok(index), effects);
        }
    }
}

impl FederationMember {
    /// Carries out a roster order as the leading site.
    pub(super) fn carry_out_order(
        &mut self,
        now: Nanos,
        requester: Requester,
        order: &FederationRequest,
        effects: &mut Vec<MemberEffect>,
    ) {
        let started = match order {
            FederationRequest::RemoveSite { site } => self.start_removal(now, requester, site),
            FederationRequest::AddSite { site, number, at } => {
                self.start_join(now, requester, site, *number, at, effects)
            }
            _ => Err(RosterChangeError::NotARosterOrder),
        };
        if let Err(error) = started {
            reply(requester, Err(error), effects);
        }
    }

    /// Removes a site from the roster once it is fenced. From the first order on, the site is
    /// granted no lease. The order is rejected until every lease that the site may hold has
    /// expired, and the leases of its senders too.
    fn start_removal(
        &mut self,
        now: Nanos,
        requester: Requester,
        name: &str,
    ) -> Result<(), RosterChangeError> {
        let (Some(leadership), Stage::Participating(group)) =
            (&mut self.leadership, &mut self.stage)
        else {
            return Err(RosterChangeError::NotLeader);
        };
        let record = group.record();
        let Some((&site, _)) = record.sites.iter().find(|(_, s)| s.name == name) else {
            return Err(RosterChangeError::UnknownSite(name.into()));
        };
        if record.sites.len() == 1 {
            return Err(RosterChangeError::LastSite);
        }
        if site == group.id() {
            let _ = group.transfer_leadership();
            return Err(RosterChangeError::SiteLeads(name.into()));
        }
        let removes_member = group.voters().iter().any(|site| record.off.contains(site));
        if leadership.change.is_some() || removes_member {
            return Err(RosterChangeError::Busy);
        }
        let lease = nanos_of_ms(self.settings.lease_ms);
        let fence = nanos_of_ms(self.settings.fence_ms);
        let until_fenced = granter_share(lease) + fence + LEASE_WITHHELD_FOR / 2;
        let withheld_until = now + LEASE_WITHHELD_FOR.max(until_fenced);
        leadership.lease_withheld_until.insert(site, withheld_until);
        let fenced_at = leadership.last_grant_of(site) + granter_share(fence);
        if now < fenced_at {
            return Err(RosterChangeError::NotFencedYet {
                name: name.into(),
                withheld_s: seconds(withheld_until - now),
                fenced_in_s: seconds(fenced_at - now),
            });
        }
        group.propose(&Command::Off { site })?;
        let step = ChangeStep::Removing;
        leadership.change = Some(RosterChange::new(now, requester, site, name, step));
        Ok(())
    }

    /// Lets a site join under a number that was never used. A repeated order is answered at once if
    /// the site is already on the roster.
    fn start_join(
        &mut self,
        now: Nanos,
        requester: Requester,
        name: &str,
        site: u64,
        addresses: &[String],
        effects: &mut Vec<MemberEffect>,
    ) -> Result<(), RosterChangeError> {
        let (Some(leadership), Stage::Participating(group)) = (&mut self.leadership, &self.stage)
        else {
            return Err(RosterChangeError::NotLeader);
        };
        if leadership.change.is_some() {
            return Err(RosterChangeError::Busy);
        }
        let record = group.record();
        let addresses: Vec<String> = addresses.iter().map(|at| at.trim().into()).collect();
        let member = group.state().members.get(&site);
        let is_member = member.is_some_and(|m| m.at == addresses.join(","));
        if is_member && record.sites.get(&site).is_some_and(|s| s.name == name) {
            if !group.has_replicated(site, 1) {
                return Err(RosterChangeError::AwaitingRecord(name.into()));
            }
            reply(requester, Ok(record.version), effects);
            return Ok(());
        }
        record.check_join(site, name)?;
        if !is_valid_name(name) {
            return Err(RosterChangeError::InvalidName(name.into()));
        }
        let sockets = parse_addresses(&addresses)?;
        let step = if is_member {
            ChangeStep::Joining
        } else {
            group.may_add(site)?;
            effects.push(MemberEffect::RequestIncarnation {
                site,
                addresses: sockets,
            });
            let addresses = addresses.join(",");
            ChangeStep::RequestingIncarnation { addresses }
        };
        leadership.last_upkeep = 0;
        leadership.change = Some(RosterChange::new(now, requester, site, name, step));
        Ok(())
    }

    /// Handles the result of requesting the incarnation of a joining site.
    pub fn on_incarnation(
        &mut self,
        now: Nanos,
        site: u64,
        incarnation: Result<u64, IncarnationUnknown>,
        effects: &mut Vec<MemberEffect>,
    ) {
        let (Some(leadership), Stage::Participating(group)) =
            (&mut self.leadership, &mut self.stage)
        else {
            return;
        };
        let Some(change) = leadership.change.as_mut().filter(|c| c.site == site) else {
            return;
        };
        let ChangeStep::RequestingIncarnation { addresses } = &change.step else {
            return;
        };
        let added = incarnation
            .map_err(|unknown| unknown.to_string())
            .and_then(|incarnation| {
                let at = addresses.clone();
                let member = GroupMember { at, incarnation };
                group.add_member(site, &member).map_err(|no| no.to_string())
            });
        match added {
            Ok(()) => {
                change.step = ChangeStep::Adding;
                leadership.last_upkeep = 0;
            }
            Err(why) => {
                let error = RosterChangeError::NotAdded {
                    name: change.name.clone(),
                    addresses: addresses.clone(),
                    why,
                };
                reply(change.requester, Err(error), effects);
                leadership.change = None;
            }
        }
        self.run_group(now, effects);
    }
}

/// Parses the addresses of a site's replicas.
fn parse_addresses(addresses: &[String]) -> Result<Vec<SocketAddr>, RosterChangeError> {
    let is_usable = |at: &SocketAddr| !at.ip().is_unspecified() && at.port() != 0;
    let sockets: Vec<SocketAddr> = addresses.iter().filter_map(|at| at.parse().ok()).collect();
    let are_all_usable = sockets.len() == addresses.len() && sockets.iter().all(is_usable);
    let is_count_allowed = (1..=MAX_ADDRESSES_PER_SITE).contains(&sockets.len());
    if !are_all_usable || !is_count_allowed {
        return Err(RosterChangeError::InvalidAddresses(addresses.to_vec()));
    }
    Ok(sockets)
}
