//! Sessions of senders: how one begins, what an agent reports in it, how its lease is renewed, and
//! how it ends.

use crate::coordination::leader::announce::switched;
use crate::coordination::leader::orders::policy;
use crate::coordination::leader::{
    leader_side_lease, ConnectionId, Joining, LeaderDuties, Out, Session, AGAIN,
};
use crate::coordination::messages::{
    FromAgent, FromSender, Grant, Health, Listed, Print, Seen, ToAgent, Want,
};
use crate::coordination::record::{Command, Record};
use crate::coordination::sender_registry::OFFERS;
use crate::Nanos;

/// Counts of a report that are read, at the most: 50 zones with 80 destinations.
const MOST_SEEN: usize = 4_000;
/// Reports a second of an agent.
const REPORTS: f32 = 5.0;
/// A sender's part of the traffic may be so many times the even one: a fifth of a fleet sees three
/// to five times it, few see more.
const UNEVEN: f32 = 20.0;

/// What an agent reports.
struct Report<'a> {
    /// Numbers the reports of one boot.
    number: u64,
    /// The version of the record that it goes by.
    has: u64,
    seen: &'a [Seen],
    listed: Option<&'a [Listed]>,
    wants: &'a [Want],
    health: &'a [Health],
}

/// What a session begins with.
struct Opens<'a> {
    sender: &'a String,
    boot: u64,
    own: &'a String,
    has: u64,
    stored: Option<&'a [(u64, Print)]>,
}

impl LeaderDuties {
    pub(super) fn add_session(
        &mut self,
        sender: &str,
        boot: u64,
        own: &str,
        connection: Option<ConnectionId>,
        until: Nanos,
        has: u64,
    ) {
        self.remove_session(sender);
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        self.names.insert(id, sender.into());
        self.evidence.meet(id, own);
        let session = Session {
            id,
            boot,
            connection,
            until,
            report: 0,
            owed: None,
            has,
            told: (0, 0),
            lapsing: false,
        };
        self.sessions.insert(sender.into(), session);
    }

    pub(super) fn remove_session(&mut self, sender: &str) {
        if let Some(s) = self.sessions.remove(sender) {
            self.names.remove(&s.id);
            self.evidence.part(s.id);
            self.lists.part(s.id);
            self.roll.part(sender);
            self.switch.part(sender);
        }
    }

    /// An agent says something over a connection.
    pub fn hear(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        word: &FromAgent,
        record: &Record,
        out: &mut Vec<Out>,
    ) {
        match word {
            FromAgent::Open {
                sender,
                boot,
                zone,
                has,
                stored,
            } => {
                let (boot, own, has, stored) = (*boot, zone, *has, stored.as_deref());
                self.open(
                    now,
                    connection,
                    Opens {
                        sender,
                        boot,
                        own,
                        has,
                        stored,
                    },
                    record,
                    out,
                );
            }
            FromAgent::Tell {
                report,
                has,
                seen,
                listed,
                wants,
                health,
            } => {
                let (listed, health) = (listed.as_deref(), health.as_slice());
                let report = Report {
                    number: *report,
                    has: *has,
                    seen,
                    listed,
                    wants,
                    health,
                };
                self.report(now, connection, &report, record, out);
            }
            FromAgent::Stored { number, refused } => match self.sender_on(connection) {
                Some(sender) => self
                    .roll
                    .stored(&sender, *number, refused.as_deref(), record),
                None => out.push(Out::Say(connection, ToAgent::Unknown)),
            },
            FromAgent::Rules { turn } => match self.sender_on(connection) {
                Some(sender) => {
                    let change = self.roll.rules(now, &sender, *turn, record);
                    out.extend(change.map(|change| policy(record, change)));
                }
                None => out.push(Out::Say(connection, ToAgent::Unknown)),
            },
            FromAgent::Table(word) => self.hear_tables(now, connection, word, record, out),
            FromAgent::Leave => self.leave(now, connection, out),
        }
    }

    /// An agent reports: its session is renewed, whatever the report is; what it saw counts once.
    fn report(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        report: &Report<'_>,
        record: &Record,
        out: &mut Vec<Out>,
    ) {
        self.connections
            .get(&connection)
            .into_iter()
            .for_each(|name| self.switch.reports(name));
        let known = self
            .connections
            .get(&connection)
            .and_then(|name| self.sessions.get_mut(name));
        let Some(session) = known.filter(|s| !s.lapsing && s.connection == Some(connection)) else {
            out.push(Out::Say(connection, ToAgent::Unknown));
            return;
        };
        session.has = report.has;
        let id = session.id;
        if report.number > session.report {
            session.report = report.number;
            self.count(now, id, report);
            let member = self
                .connections
                .get(&connection)
                .and_then(|name| record.roster.get(name));
            if let Some(member) = member {
                self.roll.hear(now, &member.zone, report.health, record);
            }
        }
        self.renew(now, connection, report.number, record, out);
        self.send_grants(now, out);
    }

    /// Counts what a sender saw, has listed and wants.
    fn count(&mut self, now: Nanos, id: u32, report: &Report<'_>) {
        let seen = &report.seen[..report.seen.len().min(MOST_SEEN)];
        let even = UNEVEN / self.sessions.len().max(1) as f32;
        let lists = &self.lists;
        self.evidence.hear(now, id, seen, |zone, dest| {
            let listed = lists.route(zone, dest)?;
            let most = listed.rate as f32 / REPORTS * even.min(0.5);
            Some(if most > 0.0 {
                most.max(1.0)
            } else {
                f32::INFINITY
            })
        });
        seen.iter()
            .for_each(|s| self.cold.saw(now, id, &s.zone, s.dest, &s.counts));
        if let Some(listed) = report.listed {
            self.lists.tell(id, listed);
        }
        self.cold.want(
            now,
            id,
            report.number,
            &report.wants[..report.wants.len().min(MOST_SEEN)],
        );
    }

    /// An agent ends its session.
    fn leave(&mut self, now: Nanos, connection: ConnectionId, out: &mut Vec<Out>) {
        let name = self.connections.remove(&connection);
        let session = name.as_ref().and_then(|name| self.sessions.get_mut(name));
        if let (Some(sender), Some(session)) = (name.clone(), session) {
            (session.lapsing, session.connection) = (true, None);
            let boot = session.boot;
            // The lapse is proposed again after this time, should it be lost.
            session.until = now + AGAIN;
            out.push(Out::Propose(Command::Lapse { sender, boot }));
        }
    }

    /// The record has a sender's session, or has no room for it.
    pub(super) fn joined(
        &mut self,
        now: Nanos,
        (sender, boot, own): (&String, u64, &str),
        record: &Record,
        out: &mut Vec<Out>,
    ) {
        let until = now + leader_side_lease(self.rules.lease_ms);
        let joining = self.joining.get(sender).filter(|j| j.boot == boot).cloned();
        if !record
            .roster
            .get(sender)
            .is_some_and(|m| m.live && m.boot == boot)
        {
            // The roster is full of senders that live.
            self.joining.remove(sender);
            joining
                .into_iter()
                .for_each(|j| out.push(Out::Say(j.connection, ToAgent::Elsewhere(None))));
            return;
        }
        let known = self
            .sessions
            .get(sender)
            .filter(|s| s.boot == boot && !s.lapsing);
        if known.is_none() {
            if let Some(old) = self.sessions.get(sender).and_then(|s| s.connection) {
                self.connections.remove(&old);
            }
            self.add_session(sender, boot, own, None, until, 0);
        } else if let Some(s) = known {
            self.evidence.meet(s.id, own);
        }
        if let Some(joining) = joining {
            self.joining.remove(sender);
            self.begin_session(now, sender, joining, record, out);
        }
    }

    /// Speaks to a sender whose session the record has by now.
    fn begin_session(
        &mut self,
        now: Nanos,
        sender: &String,
        joining: Joining,
        record: &Record,
        out: &mut Vec<Out>,
    ) {
        let connection = joining.connection;
        let session = self.sessions.get_mut(sender);
        session
            .into_iter()
            .for_each(|s| (s.connection, s.has) = (Some(connection), joining.has));
        self.connections.insert(connection, sender.clone());
        self.roll
            .meet(sender, joining.boot, joining.stored.as_deref());
        self.switch.meet(sender, joining.boot);
        self.say_policies(now, sender, record, &mut { OFFERS }, out);
        if let Some(tables) = joining.tables {
            let mut said = Vec::new();
            self.switch
                .hear(now, sender, &FromSender::Has(tables), record, &mut said);
            switched(record, said, out);
            self.say_tables(now, sender, record, &mut { OFFERS }, out);
        }
        self.renew(now, connection, 0, record, out);
    }

    /// The record has that a session lapsed.
    pub(super) fn lapsed(&mut self, sender: &str, boot: u64, record: &Record) {
        if self.sessions.get(sender).is_some_and(|s| s.boot == boot)
            && !record.roster.get(sender).is_some_and(|m| m.live)
        {
            let connection = self.sessions.get(sender).and_then(|s| s.connection);
            connection.map(|connection| self.connections.remove(&connection));
            self.remove_session(sender);
        }
    }

    /// The sender that has a session on a connection.
    pub(super) fn sender_on(&self, connection: ConnectionId) -> Option<String> {
        let name = self.connections.get(&connection)?;
        self.sessions
            .get(name)
            .filter(|s| !s.lapsing && s.connection == Some(connection))
            .map(|_| name.clone())
    }

    /// The connection on which a sender that has a session is spoken to.
    pub(super) fn connection_of(&self, sender: &str) -> Option<ConnectionId> {
        self.sessions.get(sender).filter(|s| !s.lapsing)?.connection
    }

    fn open(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        opens: Opens<'_>,
        record: &Record,
        out: &mut Vec<Out>,
    ) {
        let Opens {
            sender,
            boot,
            own,
            has,
            stored,
        } = opens;
        let live = record
            .roster
            .get(sender)
            .is_some_and(|m| m.live && m.boot == boot && m.zone == *own);
        let session = self
            .sessions
            .get_mut(sender)
            .filter(|s| live && s.boot == boot && !s.lapsing);
        if let Some(session) = session {
            if let Some(old) = session
                .connection
                .replace(connection)
                .filter(|old| *old != connection)
            {
                self.connections.remove(&old);
            }
            (session.has, session.told) = (has, (0, 0));
            self.connections.insert(connection, sender.clone());
            self.roll.meet(sender, boot, stored);
            self.switch.meet(sender, boot);
            // Its lease never comes before what is in force.
            self.say_policies(now, sender, record, &mut { OFFERS }, out);
            self.renew(now, connection, 0, record, out);
            return;
        }
        let full = self.sessions.len() + self.joining.len() >= self.rules.most_senders;
        if full && !self.sessions.contains_key(sender) && !self.joining.contains_key(sender) {
            log::warn!(
                "a sender finds no room sender={sender} most={}",
                self.rules.most_senders
            );
            out.push(Out::Say(connection, ToAgent::Elsewhere(None)));
            return;
        }
        let waiting = self
            .joining
            .get(sender)
            .filter(|j| j.boot == boot && now < j.at + AGAIN);
        let at = waiting.map_or(now, |j| j.at);
        if waiting.is_none() {
            // A lapse that came after this would end what begins now.
            let lapsing = self.sessions.get_mut(sender).filter(|s| s.lapsing);
            lapsing.into_iter().for_each(|s| s.until = now + 60 * AGAIN);
            out.push(Out::Propose(Command::Join {
                sender: sender.clone(),
                boot,
                zone: own.clone(),
            }));
        }
        let stored = stored.map(<[_]>::to_vec);
        let joining = Joining {
            boot,
            connection,
            has,
            at,
            stored,
            tables: None,
        };
        self.joining.insert(sender.clone(), joining);
    }

    /// Renews a session, or owes it until the leader is sure of itself.
    pub(super) fn renew(
        &mut self,
        now: Nanos,
        connection: ConnectionId,
        report: u64,
        record: &Record,
        out: &mut Vec<Out>,
    ) {
        let sure = now < self.sure_until && !self.switch.bars(record);
        let (lease_ms, until) = (
            self.rules.lease_ms,
            now + leader_side_lease(self.rules.lease_ms),
        );
        let Some(session) = self
            .connections
            .get(&connection)
            .and_then(|name| self.sessions.get_mut(name))
        else {
            return;
        };
        if sure {
            session.until = session.until.max(until);
            session.owed = None;
            out.push(Out::Say(connection, ToAgent::Renewed { report, lease_ms }));
        } else {
            session.owed = Some(report);
        }
        view(now, session, record, out);
    }

    pub(super) fn send_grants(&mut self, now: Nanos, out: &mut Vec<Out>) {
        let (names, sessions) = (&self.names, &self.sessions);
        self.cold.grant(now, |id, grant: Grant| {
            let session = names
                .get(&id)
                .and_then(|name| sessions.get(name))
                .filter(|s| !s.lapsing);
            if let Some(connection) = session.and_then(|s| s.connection) {
                out.push(Out::Say(connection, ToAgent::Grant(grant)));
            }
        });
    }

    /// A connection is gone; the session goes on until its lease lapses.
    pub fn hung_up(&mut self, connection: ConnectionId) {
        if let Some(name) = self.connections.remove(&connection) {
            let session = self
                .sessions
                .get_mut(&name)
                .filter(|s| s.connection == Some(connection));
            session.into_iter().for_each(|s| s.connection = None);
        }
        self.joining.retain(|_, j| j.connection != connection);
        self.pending_orders.retain(|(l, ..)| *l != connection);
        self.pending_policy_orders
            .retain(|a| a.connection != connection);
        self.pending_table_orders
            .retain(|s| s.connection != connection);
    }

    /// Answers what was owed until the leader is sure of itself.
    pub(super) fn renew_owed(&mut self, now: Nanos, record: &Record, out: &mut Vec<Out>) {
        if now >= self.sure_until {
            return;
        }
        let owed = self.sessions.values().filter(|s| !s.lapsing);
        let owed: Vec<_> = owed
            .filter_map(|s| Some((s.connection?, s.owed?)))
            .collect();
        owed.iter()
            .for_each(|(connection, report)| self.renew(now, *connection, *report, record, out));
    }
}

/// Says the record to a sender that lacks some of it; once, and again where it does not come to
/// have it in half a second.
pub(super) fn view(now: Nanos, session: &mut Session, record: &Record, out: &mut Vec<Out>) {
    let (told, at) = session.told;
    let again = told < record.changed || told == 0 || now >= at + AGAIN / 2;
    if let Some(connection) = session
        .connection
        .filter(|_| !session.lapsing && again && record.is_news_to(session.has))
    {
        session.told = (record.version, now);
        out.push(Out::Say(connection, ToAgent::View(record.view())));
    }
}
