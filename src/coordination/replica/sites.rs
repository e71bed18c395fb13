//! Connections to the other sites of a federation, one for each direction between two sites.
//!
//! The replica that leads a site runs the site's federation member. On both sides of a connection,
//! a member of a later term of its site replaces one of an earlier term.

use crate::coordination::framing;
use crate::coordination::leader::ConnectionId;
use crate::coordination::messages::FederationRequest;
use crate::coordination::replica::conflicts::Conflict;
use crate::coordination::replica::site_links::{
    handshake, send_to_site, LinkState, OutgoingLink, OwnSite, SiteEvent, SiteMessage,
    MAX_SITE_FRAME_BYTES,
};
use crate::coordination::replica::transport::HEARTBEAT_TIMEOUT;
use crate::coordination::replica::{random_u64, Event, Replica, Stage, PEER_QUEUE_LENGTH};
use crate::coordination::routing_table::member::{
    FederationMember, IncarnationUnknown, MemberAdmission, MemberEffect, MemberMessage,
};
use async_channel::Sender;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

/// Connections to other sites.
#[derive(Default)]
pub(super) struct SiteConnections {
    outgoing: BTreeMap<u64, OutgoingLink>,
    /// Connections that other sites opened, with the term of the member that opened each.
    incoming: BTreeMap<u64, (u64, Sender<()>)>,
    /// Incarnation of each site, and the highest term seen of its member.
    terms: BTreeMap<u64, (u64, u64)>,
    /// Addresses from which other sites may connect.
    pub(super) allowed: Rc<RefCell<BTreeSet<IpAddr>>>,
    /// State that the leader duties were last given: the record's version, the federation's leader,
    /// and the end of the lease.
    last_view: Option<(u64, u64, Option<u64>)>,
}

impl Replica {
    /// Starts the site's federation member, if the site is in a federation.
    pub(super) fn start_federation_member(&mut self) {
        let (Some(settings), Stage::InGroup(group)) = (&self.config.federation, &self.stage) else {
            return;
        };
        let member = FederationMember::new(
            settings.clone(),
            group.term(),
            self.now(),
            group.record(),
            random_u64(),
        );
        self.federation_member = Some(member);
        self.sites.last_view = None;
    }

    /// Stops the federation member and closes its connections.
    pub(super) fn stop_federation_member(&mut self) {
        if let Some(mut member) = self.federation_member.take() {
            let mut out = Vec::new();
            member.shut_down(&mut out);
            self.apply_member_effects(out);
            let allowed = self.sites.allowed.clone();
            self.sites = SiteConnections {
                allowed,
                ..SiteConnections::default()
            };
        }
    }

    /// Opens a connection to each other site, and closes all others.
    pub(super) fn connect_sites(&mut self) {
        let Some(settings) = &self.config.federation else {
            return;
        };
        let mut peer_addresses: BTreeMap<u64, Vec<SocketAddr>> = settings
            .other_sites
            .iter()
            .map(|(site, place)| (*site, place.addresses.clone()))
            .collect();
        let (mut own_site, mut configured) = (None, BTreeSet::new());
        if let (Some(member), Stage::InGroup(group)) = (&self.federation_member, &self.stage) {
            if let Some(incarnation) = member.incarnation(group.record()) {
                let (number, term) = (settings.site_number, member.term());
                own_site = Some(OwnSite {
                    federation: (&*settings.federation).into(),
                    number,
                    incarnation,
                    term,
                });
            }
            let configured_addresses =
                std::mem::replace(&mut peer_addresses, member.peer_addresses());
            // A site that joins is not a member yet: it accepts connections from the addresses in
            // its configuration file.
            configured.extend(configured_addresses.values().flatten().copied());
        }
        configured.extend(peer_addresses.values().flatten().copied());
        *self.sites.allowed.borrow_mut() =
            configured.iter().map(|at| at.ip().to_canonical()).collect();
        let Some(own_site) = own_site else { return };
        self.sites
            .outgoing
            .retain(|site, link| peer_addresses.get(site) == Some(&link.addresses));
        self.sites
            .incoming
            .retain(|site, _| peer_addresses.contains_key(site));
        self.sites
            .terms
            .retain(|site, _| peer_addresses.contains_key(site));
        for (site, addresses) in peer_addresses {
            if !self.sites.outgoing.contains_key(&site) {
                let (queue, outbox) = async_channel::bounded(PEER_QUEUE_LENGTH);
                let state: Rc<LinkState> = Rc::default();
                let task = send_to_site(
                    self.context.clone(),
                    own_site.clone(),
                    site,
                    addresses.clone(),
                    outbox,
                    state.clone(),
                );
                let task = self.executor.spawn(task);
                self.sites.outgoing.insert(
                    site,
                    OutgoingLink {
                        queue,
                        addresses,
                        state,
                        _task: task,
                    },
                );
            }
        }
    }

    /// Advances the time of the federation member.
    pub(super) fn tick_federation_member(&mut self) {
        let now = self.now();
        let (Some(member), Stage::InGroup(group)) = (&mut self.federation_member, &self.stage)
        else {
            return;
        };
        for (site, link) in &self.sites.outgoing {
            if link.state.connection.up.get()
                && link
                    .state
                    .last_heartbeat
                    .get()
                    .is_some_and(|at| at.elapsed() < HEARTBEAT_TIMEOUT)
            {
                member.on_heartbeat(now, *site);
            }
        }
        let mut out = Vec::new();
        member.on_tick(now, group.record(), &mut out);
        self.apply_member_effects(out);
        self.connect_sites();
        self.report_federation_state(true);
    }

    /// Gives the leader duties the state of the federation, at each change and at each tick.
    pub(super) fn report_federation_state(&mut self, tick: bool) {
        let now = self.now();
        let (Some(member), Some(duties), Stage::InGroup(group)) =
            (&self.federation_member, &mut self.duties, &self.stage)
        else {
            return;
        };
        let view = member.view();
        let summary = Some((view.record.version, view.leader, view.lease_until));
        if !group.holds_leader_lease() || !tick && self.sites.last_view == summary {
            return;
        }
        self.sites.last_view = summary;
        let mut out = Vec::new();
        duties.on_federation_state(now, Some(view.clone()), group.record(), &mut out);
        self.apply_effects(out);
    }

    /// Carries out the effects of the federation member.
    pub(super) fn apply_member_effects(&mut self, out: Vec<MemberEffect>) {
        let now = self.now();
        for what in out {
            match what {
                MemberEffect::ProposeToSite(command) => {
                    let Stage::InGroup(group) = &mut self.stage else {
                        continue;
                    };
                    if let Err(e) = group.propose(&command) {
                        log::debug!(
                            "keeper {}: proposal of the federation member rejected: {e}",
                            group.id()
                        );
                        self.federation_member
                            .iter_mut()
                            .for_each(|member| member.on_proposal_refused(now));
                    }
                }
                MemberEffect::Send { to, message } => {
                    self.send_site_message(to, message);
                }
                MemberEffect::SendRaft {
                    to,
                    message,
                    has_snapshot,
                } => {
                    let sent = self.send_site_message(to, message);
                    self.federation_member
                        .iter_mut()
                        .for_each(|member| member.on_sent(to, has_snapshot, sent));
                }
                MemberEffect::Answer { connection, answer } => self.respond(connection, answer),
                MemberEffect::RequestIncarnation { site, addresses } => {
                    self.request_site_incarnation(site, addresses)
                }
            }
        }
    }

    /// Queues a message for another site. Returns whether it was queued.
    fn send_site_message(&mut self, site: u64, message: MemberMessage) -> bool {
        let Some(connection) = self
            .sites
            .outgoing
            .get(&site)
            .filter(|link| link.state.connection.up.get())
        else {
            return false;
        };
        match framing::encode(&SiteMessage::Member(message), MAX_SITE_FRAME_BYTES) {
            Ok(bytes) => connection.queue.try_send(bytes).is_ok(),
            Err(e) => {
                log::error!(
                    "keeper {}: cannot encode a message to site {site}: {e}",
                    self.config.replica
                );
                false
            }
        }
    }

    /// Requests the incarnation of a site that is to be added, from each of its replicas in turn
    /// until one answers that leads it.
    fn request_site_incarnation(&mut self, site: u64, addresses: Vec<SocketAddr>) {
        let (Some(settings), Some(member), Stage::InGroup(group)) = (
            &self.config.federation,
            &self.federation_member,
            &self.stage,
        ) else {
            return;
        };
        let Some(incarnation) = member.incarnation(group.record()) else {
            return;
        };
        let (number, term) = (settings.site_number, member.term());
        let own_site = OwnSite {
            federation: (&*settings.federation).into(),
            number,
            incarnation,
            term,
        };
        let context = self.context.clone();
        let request = async move {
            let mut incarnation = Err("no address".to_string());
            for at in addresses {
                incarnation = match handshake(&context, &own_site, at).await {
                    Ok((
                        _,
                        SiteMessage::Admitted {
                            number,
                            incarnation,
                            ..
                        },
                    )) if number == site => Ok(incarnation),
                    Ok((_, SiteMessage::Admitted { number, .. })) => {
                        Err(format!("{at}: it is site {number}"))
                    }
                    Ok((_, SiteMessage::Rejected(reason))) => Err(format!("{at}: {reason}")),
                    Ok((_, SiteMessage::NotLeader(_))) => {
                        Err(format!("{at}: no keeper there leads its site"))
                    }
                    Ok((_, other)) => Err(format!("{at}: it answers {other:?}")),
                    Err(e) => Err(format!("{at}: {e}")),
                };
                if incarnation.is_ok() {
                    break;
                }
            }
            let _ = context
                .inbox
                .send(Event::Site(SiteEvent::IncarnationReceived {
                    site,
                    incarnation,
                }))
                .await;
        };
        self.executor.spawn(request).detach();
    }

    /// Submits an operator's request to add or remove a site.
    pub(super) fn submit_roster_order(
        &mut self,
        connection: ConnectionId,
        order: &FederationRequest,
    ) {
        let now = self.now();
        let Some(member) = &mut self.federation_member else {
            return;
        };
        let mut out = Vec::new();
        member.submit_roster_order(now, connection, order, &mut out);
        self.apply_member_effects(out);
    }

    /// Handles an event that concerns another site.
    pub(super) fn on_site_event(&mut self, event: SiteEvent) {
        let now = self.now();
        let mut out = Vec::new();
        match event {
            SiteEvent::Connected {
                site,
                incarnation,
                term,
                answer,
                connection_guard,
            } => {
                let response = self.on_site_connected(site, incarnation, term, &mut out);
                if matches!(response, SiteMessage::Admitted { .. }) {
                    self.conflicts
                        .remove(&(site, Conflict::SiteIncomingRejected));
                    self.sites.incoming.insert(site, (term, connection_guard));
                    self.sites.terms.insert(site, (incarnation, term));
                    // An outgoing connection to the site's member of an earlier term is closed.
                    let older = |link: &OutgoingLink| {
                        link.state.connection.up.get() && link.state.term.get() < term
                    };
                    if self.sites.outgoing.get(&site).is_some_and(older) {
                        self.sites.outgoing.remove(&site);
                    }
                }
                let _ = answer.try_send(response);
            }
            SiteEvent::Responded {
                site,
                at,
                response:
                    SiteMessage::Admitted {
                        number,
                        incarnation,
                        term,
                    },
            } => {
                if self.federation_member.is_none() {
                    return;
                }
                self.on_site_response(site, at, number, (incarnation, term), &mut out);
            }
            SiteEvent::Responded { site, response, .. } => {
                if let SiteMessage::Rejected(reason) = response {
                    self.note_site_conflict(site, Conflict::RejectedBySite, &reason);
                }
            }
            SiteEvent::Message { site, message } => {
                let Some(member) = self
                    .federation_member
                    .as_mut()
                    .filter(|_| self.sites.incoming.contains_key(&site))
                else {
                    return;
                };
                if let Err(e) = member.on_message(now, site, message, &mut out) {
                    log::warn!("federation {}: site {site} sent {e}", member.view().name);
                    self.sites.incoming.remove(&site);
                }
            }
            SiteEvent::IncarnationReceived { site, incarnation } => {
                let Some(member) = &mut self.federation_member else {
                    return;
                };
                member.on_incarnation(now, site, incarnation.map_err(IncarnationUnknown), &mut out);
            }
        }
        self.apply_member_effects(out);
        self.connect_sites();
        self.report_federation_state(false);
    }

    /// Handles the answer of a site that admitted this one, and that has this number.
    fn on_site_response(
        &mut self,
        site: u64,
        at: SocketAddr,
        number: u64,
        (incarnation, term): (u64, u64),
        out: &mut Vec<MemberEffect>,
    ) {
        let now = self.now();
        let (Some(member), Stage::InGroup(group)) = (&mut self.federation_member, &self.stage)
        else {
            return;
        };
        let seen = self.sites.terms.get(&site).copied();
        let highest_term = seen
            .filter(|seen| seen.0 == incarnation)
            .map_or(0, |seen| seen.1);
        let admission = match number == site {
            true if term < highest_term => MemberAdmission::NotYet,
            true => member.on_peer_answer(now, site, incarnation, group.record(), out),
            false => MemberAdmission::Rejected(format!("it is site {number}")),
        };
        if let Some(link) = self.sites.outgoing.get(&site) {
            if admission != MemberAdmission::Admitted {
                // No message may be sent to it.
                link.state.connection.up.set(false);
            } else if link.state.connection.last_logged.take().is_some() {
                log::info!(
                    "federation {}: site {site} at {at}: is reached",
                    member.view().name
                );
            }
        }
        match admission {
            MemberAdmission::Rejected(reason) => {
                self.note_site_conflict(site, Conflict::SiteResponderRejected, &reason)
            }
            MemberAdmission::NotYet => {}
            MemberAdmission::Admitted => {
                self.sites.terms.insert(site, (incarnation, term));
                self.conflicts
                    .remove(&(site, Conflict::SiteResponderRejected));
                self.conflicts.remove(&(site, Conflict::RejectedBySite));
            }
        }
    }

    /// Admits or rejects a site that connected, and returns the answer to it.
    fn on_site_connected(
        &mut self,
        site: u64,
        incarnation: u64,
        term: u64,
        out: &mut Vec<MemberEffect>,
    ) -> SiteMessage {
        let now = self.now();
        let leader = self
            .leader()
            .and_then(|replica| self.address_of(replica))
            .map(|at| at.to_string());
        let (Some(member), Stage::InGroup(group)) = (&mut self.federation_member, &self.stage)
        else {
            return SiteMessage::NotLeader(leader);
        };
        let (number, own) = (member.view().own_site, member.incarnation(group.record()));
        let Some(own) = own.filter(|_| group.holds_leader_lease()) else {
            return SiteMessage::NotLeader(leader);
        };
        if self
            .sites
            .terms
            .get(&site)
            .is_some_and(|seen| seen.0 == incarnation && term < seen.1)
        {
            return SiteMessage::NotLeader(None);
        }
        match member.admit_peer(now, site, incarnation, group.record(), out) {
            MemberAdmission::Admitted => SiteMessage::Admitted {
                number,
                incarnation: own,
                term: member.term(),
            },
            MemberAdmission::NotYet => SiteMessage::NotLeader(None),
            MemberAdmission::Rejected(reason) => {
                self.note_site_conflict(site, Conflict::SiteIncomingRejected, &reason);
                SiteMessage::Rejected(reason)
            }
        }
    }

    /// Records a conflict with another site, and logs it if it is new.
    fn note_site_conflict(&mut self, site: u64, how: Conflict, reason: &str) {
        if self.is_new_conflict(site, how, reason) {
            let name = self
                .federation_member
                .as_ref()
                .map_or_else(|| site.to_string(), |v| v.site_name(site));
            let log_prefix = self
                .config
                .federation
                .as_ref()
                .map(|f| format!("federation {}", f.federation))
                .unwrap_or_default();
            match how {
                Conflict::SiteIncomingRejected => {
                    log::error!("{log_prefix}: rejects site {name}: {reason}")
                }
                Conflict::SiteResponderRejected => {
                    log::error!(
                        "{log_prefix}: rejects the process that answers as site {name}: {reason}"
                    )
                }
                _ => log::warn!("{log_prefix}: site {name} rejects this one: {reason}"),
            }
        }
    }

    /// Returns what keeps other sites from taking part, as far as this replica knows.
    pub(super) fn site_faults(&self) -> Vec<(u64, String)> {
        let Some(member) = &self.federation_member else {
            return Vec::new();
        };
        let mut faults = member.problems();
        for (site, link) in &self.sites.outgoing {
            let reason = link.state.connection.reason.borrow();
            if !link.state.connection.up.get() && !reason.is_empty() {
                let (name, at) = (member.site_name(*site), &link.addresses);
                faults.push((
                    *site,
                    format!("site {name}: not reached at {at:?}: {reason}"),
                ));
            }
        }
        faults
    }
}
