//! What the voice of the site that leads does beyond the group: beats, leases, the roster.

use crate::coordination::messages::{FederationRequest, OperatorResponse};
use crate::coordination::raft_group::GroupMember;
use crate::coordination::routing_table::federation::Command;
use crate::coordination::routing_table::member::{
    longer, ms, Asker, Doing, Out, Stage, Step, Voice, Word, AGAIN, BEAT_MS, MOST_AT,
};
use crate::Nanos;
use std::net::SocketAddr;

/// An order that a change of sites waits for so long, where nothing else ends it.
const CHANGE: Nanos = 20_000_000_000;
/// A site that is ordered off is given no lease until the order is so old, and 30 s longer than it
/// needs.
const STOPPED: Nanos = 60_000_000_000;

/// In words, to the next second.
fn seconds(time: Nanos) -> String {
    format!("{} s", time.div_ceil(1_000_000_000))
}

impl Voice {
    pub(super) fn lead(&mut self, now: Nanos, out: &mut Vec<Out>) {
        let Some(lead) = &mut self.lead else { return };
        let Stage::Takes(group) = &mut self.stage else {
            return;
        };
        if lead.beat == 0 || now >= lead.counted + ms(BEAT_MS) {
            lead.beat += 1;
            let passed = ((now - lead.counted) / 1_000_000).min(u64::from(u32::MAX)) as u32;
            lead.counted += Nanos::from(passed) * 1_000_000;
            if lead.beats.len() >= 64 {
                lead.beats.pop_front();
            }
            lead.beats.push_back((lead.beat, now));
            let _ = group.propose(&Command::Beat {
                term: lead.term,
                beat: lead.beat,
                ms: passed,
            });
        }
        lead.stopped.retain(|_, until| now < *until);
        let late = |d: &mut Doing| now >= d.since + CHANGE;
        if let Some(doing) = lead.doing.take_if(late) {
            let why = "the sites did not agree in 20 s; look at the status and say it again";
            answer(doing.asker, Err(why.into()), out);
        }
        let brought =
            |d: &mut Doing| matches!(d.step, Step::Brings(index) if group.has(d.site, index));
        if let Some(doing) = lead.doing.take_if(brought) {
            answer(doing.asker, Ok(group.record().version), out);
        }
        if now < lead.tended + AGAIN {
            return;
        }
        lead.tended = now;
        let record = group.record();
        let mut wanted = Vec::new();
        if record.lease_ms != self.settings.lease_ms {
            wanted.push(Command::Leases {
                ms: self.settings.lease_ms,
            });
        }
        let mut gone = Vec::new();
        for site in group.voters().iter().copied() {
            if record.off.contains(&site) {
                gone.push(site);
            } else if !record.sites.contains_key(&site) {
                // The first sites, and one whose order was not carried out to its end.
                let ordered = lead
                    .doing
                    .as_ref()
                    .filter(|d| d.site == site && matches!(d.step, Step::Joins));
                let name = match site == self.settings.number {
                    true => Some(&self.settings.site),
                    false => self.settings.sites.get(&site).map(|place| &place.name),
                };
                let name = ordered.map(|d| &d.name).or(name);
                wanted.extend(name.map(|name| Command::Join {
                    site,
                    name: name.clone(),
                }));
            }
        }
        for command in wanted {
            let _ = group.propose(&command);
        }
        for site in gone {
            let _ = group.remove(site);
        }
    }

    /// Gives a site a lease, where that may be: how long, and by which version of the record.
    pub(super) fn grant(&mut self, now: Nanos, site: u64) -> Option<(u32, u64)> {
        let lead = self.lead.as_mut()?;
        let Stage::Takes(group) = &self.stage else {
            return None;
        };
        let (record, lease_ms) = (group.record(), self.settings.lease_ms);
        let sure =
            group.leads_for_certain() && now < lead.sure_until && record.lease_ms == lease_ms;
        if !sure || lead.stopped.contains_key(&site) || !record.sites.contains_key(&site) {
            return None;
        }
        let until = now + longer(ms(lease_ms));
        let counted = lead.leases.entry(site).or_default();
        *counted = (*counted).max(until);
        Some((lease_ms, record.version))
    }

    pub(super) fn do_order(
        &mut self,
        now: Nanos,
        asker: Asker,
        order: &FederationRequest,
        out: &mut Vec<Out>,
    ) {
        let done = match order {
            FederationRequest::RemoveSite { site } => self.off(now, asker, site),
            FederationRequest::AddSite { site, number, at } => {
                self.join(now, asker, site, *number, at, out)
            }
            _ => Err("that is not the roster's".into()),
        };
        if let Err(why) = done {
            answer(asker, Err(why), out);
        }
    }

    fn off(&mut self, now: Nanos, asker: Asker, name: &str) -> Result<(), String> {
        let (Some(lead), Stage::Takes(group)) = (&mut self.lead, &mut self.stage) else {
            return Err("this site does not lead the federation".into());
        };
        let record = group.record();
        let site = record
            .sites
            .iter()
            .find(|(_, s)| s.name == name)
            .map(|(site, _)| *site);
        let site = site.ok_or_else(|| format!("no site {name:?} is on the roster"))?;
        if record.sites.len() == 1 {
            return Err("the last site cannot go".into());
        }
        if site == group.me() {
            let _ = group.hand_on();
            return Err(format!(
                "{name} leads the federation: another site is asked to, order it again there"
            ));
        }
        if lead.doing.is_some() || group.voters().iter().any(|site| record.off.contains(site)) {
            return Err("another change of the roster is not done yet".into());
        }
        let fence = ms(self.settings.fence_ms);
        let stopped = now + STOPPED.max(longer(ms(self.settings.lease_ms)) + fence + STOPPED / 2);
        lead.stopped.insert(site, stopped);
        let lease = lead
            .leases
            .get(&site)
            .copied()
            .unwrap_or_default()
            .max(lead.before);
        let fenced = lease + longer(fence);
        if now < fenced {
            return Err(format!(
                "{name} is given no lease any more for {}, and is fenced with all its senders in {}: order it again then",
                seconds(stopped - now),
                seconds(fenced - now)
            ));
        }
        group
            .propose(&Command::Off { site })
            .map_err(|no| no.to_string())?;
        lead.doing = Some(Doing {
            asker,
            since: now,
            site,
            name: name.into(),
            step: Step::Offs,
        });
        Ok(())
    }

    fn join(
        &mut self,
        now: Nanos,
        asker: Asker,
        name: &str,
        site: u64,
        at: &[String],
        out: &mut Vec<Out>,
    ) -> Result<(), String> {
        let (Some(lead), Stage::Takes(group)) = (&mut self.lead, &self.stage) else {
            return Err("this site does not lead the federation".into());
        };
        if lead.doing.is_some() {
            return Err("another change of the roster is not done yet".into());
        }
        let record = group.record();
        let at: Vec<String> = at.iter().map(|at| at.trim().into()).collect();
        let member = group.held().members.get(&site);
        let joined = member.is_some_and(|m| m.at == at.join(","));
        if joined && record.sites.get(&site).is_some_and(|s| s.name == name) {
            if !group.has(site, 1) {
                return Err(format!("{name} has joined and has not got the record yet"));
            }
            answer(asker, Ok(record.version), out);
            return Ok(());
        }
        record.may_join(site, name)?;
        if !crate::coordination::config::is_name(name) {
            return Err(format!("{name:?} is no name"));
        }
        let places: Vec<SocketAddr> = at.iter().filter_map(|at| at.parse().ok()).collect();
        let good = |at: &SocketAddr| !at.ip().is_unspecified() && at.port() != 0;
        if places.is_empty()
            || places.len() != at.len()
            || !places.iter().all(good)
            || places.len() > MOST_AT
        {
            return Err(format!(
                "{at:?}: 1 to {MOST_AT} addresses with a port are needed"
            ));
        }
        let step = match joined {
            true => Step::Joins,
            false => {
                group.may_add(site).map_err(|no| no.to_string())?;
                out.push(Out::Meet(site, places));
                Step::Meets(at.join(","))
            }
        };
        lead.tended = 0;
        lead.doing = Some(Doing {
            asker,
            since: now,
            site,
            name: name.into(),
            step,
        });
        Ok(())
    }

    /// What a site that was asked for its incarnation answered.
    pub fn met(&mut self, now: Nanos, site: u64, folder: Result<u64, String>, out: &mut Vec<Out>) {
        let (Some(lead), Stage::Takes(group)) = (&mut self.lead, &mut self.stage) else {
            return;
        };
        let Some(doing) = lead.doing.as_mut().filter(|d| d.site == site) else {
            return;
        };
        let Step::Meets(at) = &doing.step else { return };
        let added = folder.and_then(|incarnation| {
            let member = GroupMember {
                at: at.clone(),
                incarnation,
            };
            group.add(site, &member).map_err(|no| no.to_string())
        });
        match added {
            Ok(()) => {
                doing.step = Step::Adds;
                lead.tended = 0;
            }
            Err(why) => {
                let why = format!("site {} at {at}: {why}", doing.name);
                answer(doing.asker, Err(why), out);
                lead.doing = None;
            }
        }
        self.work(now, out);
    }
}

pub(super) fn answer(asker: Asker, answer: Result<u64, String>, out: &mut Vec<Out>) {
    out.push(match asker {
        Asker::Here(line) => Out::Answer(
            line,
            answer.map_or_else(OperatorResponse::Rejected, OperatorResponse::Done),
        ),
        Asker::There(site, id) => Out::Say(site, Word::Ordered { id, answer }),
    });
}
