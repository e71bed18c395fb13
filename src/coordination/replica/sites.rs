//! The other sites of a federation: this site's voice has a connection to each other's, and those
//! have one to it.
//!
//! A voice of a later term at its site goes before an earlier one, on either side of a connection.

use crate::coordination::framing;
use crate::coordination::leader::ConnectionId;
use crate::coordination::messages::FederationRequest;
use crate::coordination::replica::conflicts::Conflict;
use crate::coordination::replica::site_links::{
    handshake, send_to_site, LinkState, Me, OutgoingLink, Said, Site, SITE_MOST,
};
use crate::coordination::replica::transport::HEARTBEAT_TIMEOUT;
use crate::coordination::replica::{draw, Incoming, Replica, Stage, PEER_QUEUE};
use crate::coordination::routing_table::member::{
    FederationMember, IncarnationUnknown, MemberAdmission, MemberEffect, MemberMessage,
};
use async_channel::Sender;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

/// The connections.
#[derive(Default)]
pub(super) struct Sites {
    outgoing: BTreeMap<u64, OutgoingLink>,
    /// With the term of the voice that speaks.
    incoming: BTreeMap<u64, (u64, Sender<()>)>,
    /// The highest term that was seen of a site's voice, with the site's incarnation.
    terms: BTreeMap<u64, (u64, u64)>,
    /// Addresses that sites may speak from.
    pub(super) allowed: Rc<RefCell<BTreeSet<IpAddr>>>,
    /// What the leader was told last: the version, the leader, the lease.
    told: Option<(u64, u64, Option<u64>)>,
}

impl Replica {
    /// Speaks for the site from now on, if it is in a federation.
    pub(super) fn begin_voice(&mut self) {
        let (Some(settings), Stage::Takes(group)) = (&self.config.federation, &self.stage) else {
            return;
        };
        let voice = FederationMember::new(
            settings.clone(),
            group.term(),
            self.now(),
            group.record(),
            draw(),
        );
        self.voice = Some(voice);
        self.sites.told = None;
    }

    /// Speaks for it no more.
    pub(super) fn end_voice(&mut self) {
        if let Some(mut voice) = self.voice.take() {
            let mut out = Vec::new();
            voice.shut_down(&mut out);
            self.carry_voice(out);
            let allowed = self.sites.allowed.clone();
            self.sites = Sites {
                allowed,
                ..Sites::default()
            };
        }
    }

    /// Has a connection to each other site, and to nobody else.
    pub(super) fn connect_sites(&mut self) {
        let Some(settings) = &self.config.federation else {
            return;
        };
        let mut places: BTreeMap<u64, Vec<SocketAddr>> = settings
            .other_sites
            .iter()
            .map(|(site, place)| (*site, place.addresses.clone()))
            .collect();
        let (mut me, mut named) = (None, BTreeSet::new());
        if let (Some(voice), Stage::Takes(group)) = (&self.voice, &self.stage) {
            if let Some(incarnation) = voice.incarnation(group.record()) {
                let (number, term) = (settings.site_number, voice.term());
                me = Some(Me {
                    federation: (&*settings.federation).into(),
                    number,
                    incarnation,
                    term,
                });
            }
            let file = std::mem::replace(&mut places, voice.peer_addresses());
            // One that joins is spoken to from addresses that its file names.
            named.extend(file.values().flatten().copied());
        }
        named.extend(places.values().flatten().copied());
        *self.sites.allowed.borrow_mut() = named.iter().map(|at| at.ip().to_canonical()).collect();
        let Some(me) = me else { return };
        self.sites
            .outgoing
            .retain(|site, o| places.get(site) == Some(&o.at));
        self.sites
            .incoming
            .retain(|site, _| places.contains_key(site));
        self.sites.terms.retain(|site, _| places.contains_key(site));
        for (site, at) in places {
            if !self.sites.outgoing.contains_key(&site) {
                let (queue, going) = async_channel::bounded(PEER_QUEUE);
                let reach: Rc<LinkState> = Rc::default();
                let task = send_to_site(
                    self.context.clone(),
                    me.clone(),
                    site,
                    at.clone(),
                    going,
                    reach.clone(),
                );
                let task = self.executor.spawn(task);
                self.sites.outgoing.insert(
                    site,
                    OutgoingLink {
                        queue,
                        at,
                        reach,
                        _task: task,
                    },
                );
            }
        }
    }

    /// Time has passed for the voice.
    pub(super) fn tick_voice(&mut self) {
        let now = self.now();
        let (Some(voice), Stage::Takes(group)) = (&mut self.voice, &self.stage) else {
            return;
        };
        for (site, o) in &self.sites.outgoing {
            if o.reach.connection.up.get()
                && o.reach
                    .lives
                    .get()
                    .is_some_and(|at| at.elapsed() < HEARTBEAT_TIMEOUT)
            {
                voice.on_heartbeat(now, *site);
            }
        }
        let mut out = Vec::new();
        voice.on_tick(now, group.record(), &mut out);
        self.carry_voice(out);
        self.connect_sites();
        self.tell_leader(true);
    }

    /// Tells the leader how the federation stands: at each change, and as time passes.
    pub(super) fn tell_leader(&mut self, tick: bool) {
        let now = self.now();
        let (Some(voice), Some(duties), Stage::Takes(group)) =
            (&self.voice, &mut self.duties, &self.stage)
        else {
            return;
        };
        let known = voice.view();
        let stands = Some((known.record.version, known.leader, known.lease_until));
        if !group.holds_leader_lease() || !tick && self.sites.told == stands {
            return;
        }
        self.sites.told = stands;
        let mut out = Vec::new();
        duties.on_federation_state(now, Some(known.clone()), group.record(), &mut out);
        self.carry_out(out);
    }

    /// Does what the voice wants.
    pub(super) fn carry_voice(&mut self, out: Vec<MemberEffect>) {
        let now = self.now();
        for what in out {
            match what {
                MemberEffect::ProposeToSite(command) => {
                    let Stage::Takes(group) = &mut self.stage else {
                        continue;
                    };
                    if let Err(no) = group.propose(&command) {
                        log::debug!(
                            "keeper {}: a voice's piece is not proposed: {no}",
                            group.id()
                        );
                        self.voice
                            .iter_mut()
                            .for_each(|voice| voice.on_proposal_refused(now));
                    }
                }
                MemberEffect::Send { to, message } => {
                    self.say_site(to, message);
                }
                MemberEffect::SendRaft {
                    to,
                    message,
                    has_snapshot,
                } => {
                    let went = self.say_site(to, message);
                    self.voice
                        .iter_mut()
                        .for_each(|voice| voice.on_sent(to, has_snapshot, went));
                }
                MemberEffect::Answer { connection, answer } => self.answer(connection, answer),
                MemberEffect::RequestIncarnation { site, addresses } => self.meet(site, addresses),
            }
        }
    }

    fn say_site(&mut self, site: u64, word: MemberMessage) -> bool {
        let Some(connection) = self
            .sites
            .outgoing
            .get(&site)
            .filter(|o| o.reach.connection.up.get())
        else {
            return false;
        };
        match framing::encode(&Said::Word(word), SITE_MOST) {
            Ok(bytes) => connection.queue.try_send(bytes).is_ok(),
            Err(e) => {
                log::error!("keeper {}: a word to site {site}: {e}", self.config.replica);
                false
            }
        }
    }

    /// Asks a site that is to join for its incarnation, at each of its keepers until one speaks for
    /// it.
    fn meet(&mut self, site: u64, places: Vec<SocketAddr>) {
        let (Some(settings), Some(voice), Stage::Takes(group)) =
            (&self.config.federation, &self.voice, &self.stage)
        else {
            return;
        };
        let Some(incarnation) = voice.incarnation(group.record()) else {
            return;
        };
        let (number, term) = (settings.site_number, voice.term());
        let me = Me {
            federation: (&*settings.federation).into(),
            number,
            incarnation,
            term,
        };
        let context = self.context.clone();
        let asking = async move {
            let mut folder = Err("no address".to_string());
            for at in places {
                folder = match handshake(&context, &me, at).await {
                    Ok((
                        _,
                        Said::Known {
                            number,
                            incarnation,
                            ..
                        },
                    )) if number == site => Ok(incarnation),
                    Ok((_, Said::Known { number, .. })) => {
                        Err(format!("{at}: it is site {number}"))
                    }
                    Ok((_, Said::Refused(why))) => Err(format!("{at}: {why}")),
                    Ok((_, Said::Elsewhere(_))) => {
                        Err(format!("{at}: no keeper there leads its site"))
                    }
                    Ok((_, other)) => Err(format!("{at}: it answers {other:?}")),
                    Err(e) => Err(format!("{at}: {e}")),
                };
                if folder.is_ok() {
                    break;
                }
            }
            let _ = context
                .inbox
                .send(Incoming::Site(Site::Met { site, folder }))
                .await;
        };
        self.executor.spawn(asking).detach();
    }

    /// A person's order on the roster.
    pub(super) fn order_site(&mut self, connection: ConnectionId, order: &FederationRequest) {
        let now = self.now();
        let Some(voice) = &mut self.voice else { return };
        let mut out = Vec::new();
        voice.submit_roster_order(now, connection, order, &mut out);
        self.carry_voice(out);
    }

    /// Something came in of another site.
    pub(super) fn came_site(&mut self, word: Site) {
        let now = self.now();
        let mut out = Vec::new();
        match word {
            Site::Came {
                site,
                incarnation,
                term,
                answer,
                alive,
            } => {
                let said = self.site_came(site, incarnation, term, &mut out);
                if matches!(said, Said::Known { .. }) {
                    self.wrong.remove(&(site, Conflict::SiteCame));
                    self.sites.incoming.insert(site, (term, alive));
                    self.sites.terms.insert(site, (incarnation, term));
                    // What it was spoken to by is one that speaks for it no more.
                    let older =
                        |o: &OutgoingLink| o.reach.connection.up.get() && o.reach.term.get() < term;
                    if self.sites.outgoing.get(&site).is_some_and(older) {
                        self.sites.outgoing.remove(&site);
                    }
                }
                let _ = answer.try_send(said);
            }
            Site::Answered {
                site,
                at,
                said:
                    Said::Known {
                        number,
                        incarnation,
                        term,
                    },
            } => {
                if self.voice.is_none() {
                    return;
                }
                self.site_answered(site, at, number, (incarnation, term), &mut out);
            }
            Site::Answered { site, said, .. } => {
                if let Said::Refused(why) = said {
                    self.site_is_wrong(site, Conflict::SiteShut, &why);
                }
            }
            Site::Word { site, word } => {
                let Some(voice) = self
                    .voice
                    .as_mut()
                    .filter(|_| self.sites.incoming.contains_key(&site))
                else {
                    return;
                };
                if let Err(e) = voice.on_message(now, site, word, &mut out) {
                    log::warn!("federation {}: site {site} sent {e}", voice.view().name);
                    self.sites.incoming.remove(&site);
                }
            }
            Site::Met { site, folder } => {
                let Some(voice) = &mut self.voice else { return };
                voice.on_incarnation(now, site, folder.map_err(IncarnationUnknown), &mut out);
            }
        }
        self.carry_voice(out);
        self.connect_sites();
        self.tell_leader(false);
    }

    /// A site that knows this one answered, as the site of this number.
    fn site_answered(
        &mut self,
        site: u64,
        at: SocketAddr,
        number: u64,
        (incarnation, term): (u64, u64),
        out: &mut Vec<MemberEffect>,
    ) {
        let now = self.now();
        let (Some(voice), Stage::Takes(group)) = (&mut self.voice, &self.stage) else {
            return;
        };
        let seen = self.sites.terms.get(&site).copied();
        let seen = seen
            .filter(|seen| seen.0 == incarnation)
            .map_or(0, |seen| seen.1);
        let came = match number == site {
            true if term < seen => MemberAdmission::NotYet,
            true => voice.on_peer_answer(now, site, incarnation, group.record(), out),
            false => MemberAdmission::Rejected(format!("it is site {number}")),
        };
        if let Some(o) = self.sites.outgoing.get(&site) {
            if came != MemberAdmission::Admitted {
                // Nothing is said to it.
                o.reach.connection.up.set(false);
            } else if o.reach.connection.told.take().is_some() {
                log::info!(
                    "federation {}: site {site} at {at}: is reached",
                    voice.view().name
                );
            }
        }
        match came {
            MemberAdmission::Rejected(why) => self.site_is_wrong(site, Conflict::SiteAnswers, &why),
            MemberAdmission::NotYet => {}
            MemberAdmission::Admitted => {
                self.sites.terms.insert(site, (incarnation, term));
                self.wrong.remove(&(site, Conflict::SiteAnswers));
                self.wrong.remove(&(site, Conflict::SiteShut));
            }
        }
    }

    fn site_came(
        &mut self,
        site: u64,
        incarnation: u64,
        term: u64,
        out: &mut Vec<MemberEffect>,
    ) -> Said {
        let now = self.now();
        let leader = self
            .leader()
            .and_then(|keeper| self.address_of(keeper))
            .map(|at| at.to_string());
        let (Some(voice), Stage::Takes(group)) = (&mut self.voice, &self.stage) else {
            return Said::Elsewhere(leader);
        };
        let (number, own) = (voice.view().own_site, voice.incarnation(group.record()));
        let Some(own) = own.filter(|_| group.holds_leader_lease()) else {
            return Said::Elsewhere(leader);
        };
        if self
            .sites
            .terms
            .get(&site)
            .is_some_and(|seen| seen.0 == incarnation && term < seen.1)
        {
            return Said::Elsewhere(None);
        }
        match voice.admit_peer(now, site, incarnation, group.record(), out) {
            MemberAdmission::Admitted => Said::Known {
                number,
                incarnation: own,
                term: voice.term(),
            },
            MemberAdmission::NotYet => Said::Elsewhere(None),
            MemberAdmission::Rejected(why) => {
                self.site_is_wrong(site, Conflict::SiteCame, &why);
                Said::Refused(why)
            }
        }
    }

    fn site_is_wrong(&mut self, site: u64, how: Conflict, why: &str) {
        if self.is_new_conflict(site, how, why) {
            let name = self
                .voice
                .as_ref()
                .map_or_else(|| site.to_string(), |v| v.site_name(site));
            let who = self
                .config
                .federation
                .as_ref()
                .map(|f| format!("federation {}", f.federation))
                .unwrap_or_default();
            match how {
                Conflict::SiteCame => log::error!("{who}: refuses site {name}: {why}"),
                Conflict::SiteAnswers => {
                    log::error!("{who}: refuses what answers as site {name}: {why}")
                }
                _ => log::warn!("{who}: site {name} does not hear this one: {why}"),
            }
        }
    }

    /// What keeps sites from taking part, as this keeper knows it.
    pub(super) fn site_trouble(&self) -> Vec<(u64, String)> {
        let Some(voice) = &self.voice else {
            return Vec::new();
        };
        let mut told = voice.problems();
        for (site, o) in &self.sites.outgoing {
            let why = o.reach.connection.why.borrow();
            if !o.reach.connection.up.get() && !why.is_empty() {
                let (name, at) = (voice.site_name(*site), &o.at);
                told.push((*site, format!("site {name}: not reached at {at:?}: {why}")));
            }
        }
        told
    }
}
