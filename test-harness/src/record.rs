//! What all stand-ins saw, in one place, and the check of the rules over it.

use crate::routing::Routing;
use crate::rules::{Rules, OWN};
use rustix::io::Errno;
use rustix::net::{recv, RecvFlags};
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How many times longer a list counts as true after an ask that failed.
const IN_VAIN: u32 = 4;
/// Calls after a drain that are kept.
const BREACHES: usize = 1_000;
/// A machine that wakes a thread so much too late may hold a process up for so many times of it.
const HELD_UP: u32 = 10;
/// Nothing new goes out so long after a drain is told: 250 ms by the rules, and what a shared
/// machine may add.
const GRACE: Duration = Duration::from_millis(250 + 500);

/// A change counts as told so long after the directory had it and could be reached, whether or not
/// it arrived, by the standing test.
const COUNTS_AS_TOLD: Duration = Duration::from_secs(6);

/// By the settings that the fleets of this rig are given, changes of the list count as told after
/// so long without an ask.
pub(crate) const MUST_ASK_IN: Duration = Duration::from_secs(10);

/// A call that is out.
#[derive(Clone, Debug)]
pub(crate) struct Out {
    uid: String,
    at: Instant,
    over: Option<Arc<TcpStream>>,
}

/// A message, as the stand-ins saw it.
#[derive(Clone, Debug, Default)]
pub struct Life {
    /// A sender said that it takes it on.
    pub taken_on: bool,
    /// The sender that it was handed to.
    pub(crate) by: String,
    /// Calls that are out.
    pub(crate) out: Vec<Out>,
    /// When it was handed in.
    pub handed_at: Option<Instant>,
    /// When its client heard an answer, whichever.
    pub answered_at: Option<Instant>,
    /// When its first call came, and what it was stamped with there and later; where it bore none,
    /// what stands for that.
    pub stamps: Vec<(Instant, String)>,
    /// When each call came, and to which zone, where tables are judged.
    pub(crate) calls: Vec<(Instant, String)>,
    /// When it was first delivered.
    pub delivered_at: Option<Instant>,
    /// Deliveries: answers of 200 that were written.
    pub delivered: u32,
    /// Notices, by status.
    pub told: Vec<String>,
    /// When the first of them came.
    pub told_at: Option<Instant>,
    /// Times that it was out twice at once.
    pub two_out: u32,
    /// Deliveries after a final answer had been told.
    pub too_late: u32,
    /// The zone whose endpoint worked it off first, whether or not anybody heard the answer.
    pub(crate) ran: Option<String>,
    /// Times that an endpoint of another zone did so, too: no zone knows what another one dropped
    /// as a repeat.
    pub(crate) ran_twice: u32,
}

impl Life {
    /// It had two different final answers, or was delivered after one, or was worked off in two
    /// zones.
    pub fn is_doubled(&self) -> bool {
        let has_two_answers = self.told.iter().any(|told| *told != self.told[0]);
        self.too_late > 0 || self.ran_twice > 0 || has_two_answers
    }

    /// It was taken on and has no end yet.
    fn is_open(&self) -> bool {
        self.taken_on && self.delivered == 0 && self.told.is_empty()
    }
}

/// What the stand-ins saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Messages, by id.
    pub lives: BTreeMap<String, Life>,
    /// When each list was written to a sender that asked for it.
    pub told: Vec<Instant>,
    /// Asks for the list.
    pub asks: u32,
    /// Those that failed.
    pub failed: u32,
    /// Connections to partners.
    pub connections: u32,
    /// Most connections that were open at one partner.
    pub most_open: u32,
    /// Those that are open now at all of them, and the most since this was last set.
    pub open: u32,
    /// See above.
    pub peak: u32,
    /// Calls to an endpoint by a sender that had been told to send nothing new there, and how long
    /// ago.
    pub after_drain: Vec<(Duration, String)>,
    /// Calls of a message that was out already.
    pub twice: Vec<String>,
    /// Endpoints that fell over, and when.
    pub toppled: Vec<(Instant, String)>,
    /// Calls of a sender into a zone that it has left, and how long it had.
    pub into_left: Vec<(Duration, String)>,
    /// What became of calls to each zone in each tenth of a second from the first call on, where
    /// that is counted.
    pub flow: BTreeMap<String, Vec<Flow>>,
    /// When the first call was.
    pub first_call: Option<Instant>,
    /// Steps that were taken, and when.
    pub steps: Vec<(Instant, usize)>,
    /// When each sender left, went back to, or used a zone again, by what it logged.
    pub moves: Vec<Move>,
    /// Where endpoints stand: zone and destination.
    stands: BTreeMap<String, (String, usize)>,
    /// Destinations of zones that senders have left, and since when.
    left: BTreeMap<(String, String), BTreeMap<usize, Instant>>,
    /// Zones that senders are out of, in whole or in part, as far as they know.
    out: BTreeSet<(String, String)>,
    /// What was ordered of a zone by its epoch, as each sender heard it.
    ordered: BTreeMap<(String, u64), Goes>,
    /// The last epoch of a zone that a sender's process went by.
    epochs: BTreeMap<(String, String), u64>,
    /// Who said that it leads, by the group that it leads and its term.
    leads: BTreeMap<(String, u64), String>,
    /// What each place of a group's agreed log holds, by whoever said it first.
    agreed: BTreeMap<(String, u64), (String, String)>,
    /// The last place that each keeper's process has applied, of its site's log and of the
    /// federation's.
    applied: BTreeMap<(String, bool), u64>,
    /// Words of senders and keepers of which no two can be true.
    pub disagreed: Vec<String>,
    /// Endpoints that worked a message off where another zone had done so before.
    pub ran_twice: Vec<String>,
    /// By how much the machine woke a thread of the player too late, at the most.
    pub lateness: Duration,
    /// When a sender was told that an endpoint drains or is gone.
    drains: BTreeMap<(String, String), Instant>,
    /// Endpoints that a directory that can be reached lists as draining or gone, and since when.
    listed_drains: BTreeMap<String, Instant>,
    /// Senders that hear nothing, or later than it is said: their lines are broken, or they stand
    /// still.
    deaf: BTreeSet<String>,
    /// Endpoints that want no calls, and since when.
    unwanted: BTreeMap<String, Instant>,
    /// When each sender last asked the directory, over a line that is whole.
    asked: BTreeMap<String, Instant>,
    /// When each sender that had no answer since last asked.
    in_vain: BTreeMap<String, Instant>,
    /// Senders whose asks can't be seen.
    unseen: BTreeSet<String>,
    /// What keepers said of policies and tables behind the names of their sites, and when.
    pub said: Vec<(Instant, String)>,
    /// What is known of policies, where senders follow some.
    pub rules: Option<Rules>,
    /// What is known of routing tables, where sites share some.
    pub routing: Option<Routing>,
}

/// What became of calls in a while.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flow {
    /// Calls that came.
    pub calls: u32,
    /// Those that were delivered.
    pub delivered: u32,
}

/// A tenth of a second, by which the flow is counted.
pub const FLOWS: Duration = Duration::from_millis(100);

/// What a sender does with a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Goes {
    /// It has left it.
    Left,
    /// It goes back as far as calls are granted.
    Returning,
    /// It uses it as ever.
    Back,
}

/// A sender's word of a zone.
#[derive(Clone, Debug)]
pub struct Move {
    /// When it was said.
    pub at: Instant,
    /// By which sender.
    pub sender: String,
    /// Of which zone.
    pub zone: String,
    /// What.
    pub goes: Goes,
}

/// Whether the other side of a connection has not hung up.
pub(crate) fn is_open(connection: &TcpStream) -> bool {
    let seen = recv(
        connection,
        &mut [0; 1],
        RecvFlags::PEEK | RecvFlags::DONTWAIT,
    );
    matches!(seen, Ok((1.., _)) | Err(Errno::AGAIN))
}

impl Seen {
    fn flow(&mut self, uid: &str, now: Instant) -> Option<&mut Flow> {
        let since = now.saturating_duration_since(*self.first_call.get_or_insert(now));
        let zone = &self.stands.get(uid)?.0;
        let flow = self.flow.entry(zone.clone()).or_default();
        let at = (since.as_millis() / FLOWS.as_millis()) as usize;
        flow.resize(flow.len().max(at + 1), Flow::default());
        flow.get_mut(at)
    }

    /// Whether a sender calls where it has left, though there is another route; and for how long it
    /// had left.
    fn strays(&self, by: &str, uid: &str, now: Instant) -> Option<(Duration, String)> {
        let (zone, dest) = self.stands.get(uid)?;
        let has_left = |zone: &String| self.left.get(&(by.to_string(), zone.clone()))?.get(dest);
        let ago = now.saturating_duration_since(*has_left(zone)?);
        let mut others = self
            .stands
            .iter()
            .filter(|(other, (z, d))| d == dest && z != zone && *other != uid);
        let other = others
            .any(|(other, (z, _))| has_left(z).is_none() && !self.unwanted.contains_key(other));
        (other && ago > GRACE).then(|| (ago, zone.clone()))
    }

    /// Senders that have said this of some zone.
    pub fn those_that(&self, goes: Goes) -> usize {
        let senders = self
            .moves
            .iter()
            .filter(|m| m.goes == goes)
            .map(|m| m.sender.as_str());
        senders.collect::<BTreeSet<_>>().len()
    }

    /// A sender goes by an order of this epoch, of which all have to hear the same, and none after
    /// a later one.
    fn hears_order(&mut self, sender: &str, zone: &str, goes: Goes, epoch: u64) {
        let said = *self
            .ordered
            .entry((zone.to_string(), epoch))
            .or_insert(goes);
        let last = self
            .epochs
            .entry((sender.to_string(), zone.to_string()))
            .or_default();
        let before = std::mem::replace(last, epoch);
        if said != goes {
            self.disagree(format!(
                "{sender} hears {goes:?} of zone {zone} in epoch {epoch}, another {said:?}"
            ));
        }
        if before > epoch {
            self.disagree(format!(
                "{sender} goes by epoch {epoch} of zone {zone} after {before}"
            ));
        }
    }

    fn disagree(&mut self, text: String) {
        if self.disagreed.len() < BREACHES {
            self.disagreed.push(text);
        }
    }

    /// Calls into zones that were left that no slowness of the machine explains.
    pub fn strayed(&self) -> Vec<&str> {
        let grace = GRACE + HELD_UP * self.lateness;
        self.into_left
            .iter()
            .filter(|(late, _)| *late > grace)
            .map(|(_, text)| text.as_str())
            .collect()
    }

    /// Calls after a drain that no slowness of the machine explains.
    pub fn breaches(&self) -> Vec<&str> {
        let grace = GRACE + HELD_UP * self.lateness;
        self.after_drain
            .iter()
            .filter(|(late, _)| *late > grace)
            .map(|(_, text)| text.as_str())
            .collect()
    }
}

/// The record.
#[derive(Debug, Default)]
pub struct Record(Mutex<Seen>);

/// What the rules say of a record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Verdict {
    /// Rules that were broken: a message out twice at once, or with more than one end, a call after
    /// a drain was told or into a zone that was left, words of what was agreed of which no two can
    /// be true, a message that was taken on under a policy that it must not be taken on under, or a
    /// call by a routing table that it must not be made by.
    pub broken: u32,
    /// Messages taken on that have neither been delivered nor told.
    pub lost: u32,
    /// Messages told two different final answers, or delivered after one, or worked off in two
    /// zones. A notice for one that had been delivered does no harm: a sender that was killed can't
    /// know.
    pub doubled: u32,
}

impl Record {
    /// What was seen so far.
    pub fn seen(&self) -> MutexGuard<'_, Seen> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn life(&self, id: &str, change: impl FnOnce(&mut Life)) {
        change(self.seen().lives.entry(id.to_string()).or_default());
    }

    /// A sender takes a message on.
    pub fn taken_on(&self, id: &str) {
        self.answered(id, true);
    }

    /// The client of a message hears whether it was taken on.
    pub fn answered(&self, id: &str, taken_on: bool) {
        self.life(id, |l| {
            l.taken_on |= taken_on;
            l.answered_at.get_or_insert_with(Instant::now);
        });
    }

    /// A call bears the stamp of the policy that it was taken on under. Whether its endpoint fails
    /// what bears this.
    pub fn stamped(&self, id: &str, stamp: Option<&str>) -> bool {
        let (now, mut seen) = (Instant::now(), self.seen());
        let Some(rules) = &mut seen.rules else {
            return false;
        };
        let stamp = stamp.unwrap_or(OWN).to_string();
        let fails = rules.fails(&stamp, id, now);
        seen.lives
            .entry(id.to_string())
            .or_default()
            .stamps
            .push((now, stamp));
        fails
    }

    /// What is known of policies is made known, or more of it.
    pub fn rules(&self, change: impl FnOnce(&mut Rules)) {
        change(self.seen().rules.get_or_insert_default());
    }

    /// What is known of routing tables is made known, or more of it.
    pub fn routing(&self, change: impl FnOnce(&mut Routing)) {
        change(self.seen().routing.get_or_insert_default());
    }

    /// A connection to a partner came up, which is its `here`th.
    pub fn connected(&self, here: u32) {
        let mut seen = self.seen();
        seen.connections += 1;
        seen.most_open = seen.most_open.max(here);
        seen.open += 1;
        seen.peak = seen.peak.max(seen.open);
    }

    /// A connection to a partner is over.
    pub fn disconnected(&self) {
        self.seen().open -= 1;
    }

    /// Where an endpoint stands.
    pub fn stands(&self, uid: &str, zone: &str, dest: usize) {
        self.seen()
            .stands
            .insert(uid.to_string(), (zone.to_string(), dest));
    }

    /// A sender logs something that may concern zones.
    pub fn logs(&self, sender: &str, line: &str) {
        self.logs_at(sender, line, Instant::now());
    }

    fn logs_at(&self, sender: &str, line: &str, at: Instant) {
        let Some((_, said)) = line.split_once("fleet: ") else {
            return;
        };
        if said.starts_with("no keeper answers") {
            // Alone it goes by its own calls.
            let mut seen = self.seen();
            seen.left.retain(|(s, _), _| s != sender);
            seen.out.retain(|(s, _)| s != sender);
            return;
        }
        let Some((zone, what)) = said.strip_prefix("zone ").and_then(|s| s.split_once(' ')) else {
            return;
        };
        let goes = match what {
            w if w.starts_with("left by") => Goes::Left,
            w if w.starts_with("returning by") => Goes::Returning,
            w if w.starts_with("in use again by") => Goes::Back,
            _ => return,
        };
        let (mut seen, key) = (self.seen(), (sender.to_string(), zone.to_string()));
        let (epoch, dests) = order(what);
        if let Some(epoch) = epoch.filter(|_| goes != Goes::Back) {
            seen.hears_order(sender, zone, goes, epoch);
        }
        if goes == Goes::Back {
            seen.out.remove(&key);
        } else {
            seen.out.insert(key.clone());
        }
        let before = seen.left.remove(&key).unwrap_or_default();
        if goes == Goes::Left {
            let since = |dest| before.get(&dest).copied().unwrap_or(at);
            seen.left.insert(
                key,
                dests.into_iter().map(|dest| (dest, since(dest))).collect(),
            );
        }
        seen.moves.push(Move {
            at,
            sender: sender.to_string(),
            zone: zone.to_string(),
            goes,
        });
    }

    /// Whether no sender is out of a zone, as far as it knows.
    pub fn all_in(&self) -> bool {
        self.seen().out.is_empty()
    }

    /// A keeper's process starts.
    pub fn keeper_starts(&self, keeper: &str) {
        self.seen().applied.retain(|(k, _), _| k != keeper);
    }

    /// A keeper logs something that may concern what is agreed: nobody else leads in its term, each
    /// place of the log holds one thing, and a process applies them in order.
    pub fn keeper_logs(&self, keeper: &str, line: &str) {
        let mut seen = self.seen();
        // A site's keepers are a group, and the sites of a federation are one.
        let of_federation = line.contains("federation ");
        let site = keeper.split_once('/').map_or("", |(site, _)| site);
        let group = if of_federation { "federation" } else { site }.to_string();
        let led = match line.split_once(" leads in term ") {
            Some((before, term)) if of_federation => {
                before.rsplit_once(": ").map(|(_, site)| (site, term))
            }
            Some((before, term)) if before.ends_with(':') => Some((keeper, term)),
            _ => None,
        };
        if let Some((leader, Ok(term))) = led.map(|(leader, term)| (leader, term.trim().parse())) {
            let first = seen
                .leads
                .entry((group.clone(), term))
                .or_insert_with(|| leader.to_string())
                .clone();
            if first != leader {
                seen.disagree(format!("{leader} leads in term {term}, as {first} does"));
            }
        }
        if let Some((_, applied)) = line.split_once(": applied ") {
            let Some((place, what)) = applied.split_once(' ') else {
                return;
            };
            let Ok(place) = place.parse::<u64>() else {
                return;
            };
            let last = seen
                .applied
                .insert((keeper.to_string(), of_federation), place)
                .unwrap_or(0);
            let (first, held) = seen
                .agreed
                .entry((group.clone(), place))
                .or_insert_with(|| (keeper.to_string(), what.to_string()))
                .clone();
            if held != what {
                seen.disagree(format!(
                    "{keeper} holds {what} at {place}, {first} holds {held}"
                ));
            }
            // A keeper that speaks for its site anew begins with what that has written down.
            if place <= last && !of_federation {
                seen.disagree(format!("{keeper} applies {place} after {last}"));
            }
        }
    }

    /// An endpoint fell over: more calls came than a cold one bears.
    pub fn toppled(&self, uid: &str) {
        self.seen().toppled.push((Instant::now(), uid.to_string()));
    }

    /// A message is handed to a sender, which may take it on.
    pub fn handed(&self, id: &str, to: &str) {
        self.life(id, |l| {
            (l.by, l.handed_at) = (to.to_string(), Some(Instant::now()))
        });
    }

    /// A call came in whole at an endpoint, over this connection.
    pub fn called(&self, id: &str, uid: &str, over: Option<&Arc<TcpStream>>) {
        self.called_at(id, uid, over, Instant::now());
    }

    fn called_at(&self, id: &str, uid: &str, over: Option<&Arc<TcpStream>>, now: Instant) {
        let mut seen = self.seen();
        seen.flow(uid, now).into_iter().for_each(|f| f.calls += 1);
        let zone = seen
            .routing
            .as_ref()
            .and_then(|_| Some(seen.stands.get(uid)?.0.clone()));
        let life = seen.lives.entry(id.to_string()).or_default();
        life.calls.extend(zone.map(|zone| (now, zone)));
        // One whose caller has hung up is out no more, though its endpoint may still be at it.
        // Nor is one that its endpoint comes to read when its caller has hung up.
        let two = life
            .out
            .iter()
            .find(|o| o.over.as_ref().is_none_or(|c| is_open(c)));
        let two = two.filter(|_| over.is_none_or(|c| is_open(c))).cloned();
        life.two_out += u32::from(two.is_some());
        life.out.push(Out {
            uid: uid.to_string(),
            at: now,
            over: over.cloned(),
        });
        let by = life.by.clone();
        if let Some(out) = two.filter(|_| seen.twice.len() < BREACHES) {
            let ago = now - out.at;
            seen.twice.push(format!(
                "{by} sends {id} to {uid}, which is out at {} since {ago:?}",
                out.uid
            ));
        }
        let stray = seen
            .strays(&by, uid, now)
            .filter(|_| seen.into_left.len() < BREACHES);
        if let Some((ago, zone)) = stray {
            seen.into_left.push((
                ago,
                format!("{by} sends {id} to {uid} in {zone}, which it left {ago:?} ago"),
            ));
        }
        let told = seen
            .drains
            .get(&(by.clone(), uid.to_string()))
            .filter(|_| !seen.deaf.contains(&by));
        // What nobody told counts as told after a time to whoever does not even ask.
        let in_vain = seen
            .in_vain
            .get(&by)
            .is_some_and(|asked| now <= *asked + IN_VAIN * MUST_ASK_IN + GRACE);
        let untold = seen.unwanted.get(uid).filter(|since| {
            !in_vain
                && !seen.unseen.contains(&by)
                && seen.asked.get(&by).is_none_or(|asked| asked < since)
        });
        let is_cut_off = seen.deaf.contains(&by) || seen.unseen.contains(&by);
        let listed = seen.listed_drains.get(uid).filter(|_| !is_cut_off);
        let since = [
            ("told", told.copied()),
            (
                "listed six seconds before",
                listed.map(|since| *since + COUNTS_AS_TOLD),
            ),
            ("counts as told", untold.map(|since| *since + MUST_ASK_IN)),
        ];
        let breach = since
            .into_iter()
            .find_map(|(why, told)| Some((why, told.filter(|t| now > *t + GRACE)?)));
        if let Some((why, told)) = breach.filter(|_| seen.after_drain.len() < BREACHES) {
            let late = now - told;
            let text = format!("{by} sends {id} to {uid}, which drains: {why} since {late:?}");
            seen.after_drain.push((late, text));
        }
    }

    /// An endpoint wants calls, or wants none any more.
    pub fn wants(&self, uid: &str, wants: bool) {
        note_unwanted(&mut self.seen().unwanted, uid, wants);
    }

    /// A directory that can be reached lists an endpoint as one that wants calls, or none.
    pub fn lists(&self, uid: &str, wants: bool) {
        note_unwanted(&mut self.seen().listed_drains, uid, wants);
    }

    /// A sender starts with the list that it is given. What its last process was told, it is not.
    pub fn starts(&self, sender: &str) {
        self.asks(sender);
        let mut seen = self.seen();
        seen.drains.retain(|(s, _), _| s != sender);
        seen.left.retain(|(s, _), _| s != sender);
        seen.out.retain(|(s, _)| s != sender);
        seen.epochs.retain(|(s, _), _| s != sender);
    }

    /// A sender asks for the list.
    pub fn asks(&self, sender: &str) {
        let mut seen = self.seen();
        seen.asked.insert(sender.to_string(), Instant::now());
        seen.in_vain.insert(sender.to_string(), Instant::now());
    }

    /// A sender's line is not whole: its asks may not come in. Whether it was is not known again.
    pub fn line_broken(&self, sender: &str) {
        self.seen().unseen.insert(sender.to_string());
    }

    /// A sender is told which endpoints want calls, and which do not.
    pub fn told_of<'a>(&self, sender: &str, endpoints: impl IntoIterator<Item = (&'a str, bool)>) {
        let mut seen = self.seen();
        seen.in_vain.remove(sender);
        for (uid, wants) in endpoints {
            let key = (sender.to_string(), uid.to_string());
            if wants || seen.deaf.contains(sender) {
                seen.drains.remove(&key);
            } else {
                seen.drains.entry(key).or_insert_with(Instant::now);
            }
        }
    }

    /// A sender hears nothing for a while, or does again: what it was told just before may never
    /// have come.
    pub fn deaf(&self, sender: &str, deaf: bool) {
        let mut seen = self.seen();
        if deaf {
            seen.deaf.insert(sender.to_string());
            seen.drains
                .retain(|(s, _), told| s != sender || told.elapsed() > GRACE);
        } else {
            seen.deaf.remove(sender);
        }
    }

    /// An endpoint works a message off, whether or not its answer comes through.
    pub fn ran(&self, id: &str, uid: &str) {
        let mut seen = self.seen();
        let Some((zone, _)) = seen.stands.get(uid).cloned() else {
            return;
        };
        let life = seen.lives.entry(id.to_string()).or_default();
        let first = life.ran.get_or_insert_with(|| zone.clone()).clone();
        if first != zone {
            life.ran_twice += 1;
            let by = life.by.clone();
            if seen.ran_twice.len() < BREACHES {
                seen.ran_twice.push(format!(
                    "{by} has {id} worked off at {uid} in {zone} after {first}"
                ));
            }
        }
    }

    /// A call is over that came over this connection.
    pub fn ended(&self, id: &str, over: Option<&Arc<TcpStream>>, delivered: bool) {
        self.answered_call(id, over, delivered.then(Instant::now));
    }

    /// A call is over that came over this connection. Where it was delivered, its answer began to
    /// be written at a moment: its caller may send a notice from then on.
    pub(crate) fn answered_call(
        &self,
        id: &str,
        over: Option<&Arc<TcpStream>>,
        delivered_at: Option<Instant>,
    ) {
        let mut uid = None;
        let delivered = delivered_at.is_some();
        self.life(id, |l| {
            let same = |o: &Out| match (&o.over, over) {
                (Some(o), Some(over)) => Arc::ptr_eq(o, over),
                (o, over) => o.is_none() && over.is_none(),
            };
            if let Some(at) = l.out.iter().position(same) {
                uid = Some(l.out.remove(at).uid);
            }
            l.delivered += u32::from(delivered);
            let Some(at) = delivered_at else {
                return;
            };
            l.delivered_at.get_or_insert(at);
            l.too_late += u32::from(l.told_at.is_some_and(|told_at| told_at <= at));
        });
        if let Some(uid) = uid.filter(|_| delivered) {
            let (mut seen, now) = (self.seen(), Instant::now());
            seen.flow(&uid, now)
                .into_iter()
                .for_each(|f| f.delivered += 1);
        }
    }

    /// A notice came.
    pub fn told(&self, id: &str, status: &str) {
        self.life(id, |l| {
            l.told.push(status.to_string());
            l.told_at.get_or_insert_with(Instant::now);
        });
    }

    /// Messages that were taken on and have no end yet.
    pub fn open(&self) -> usize {
        self.seen().lives.values().filter(|l| l.is_open()).count()
    }

    /// Messages that were taken on, and those of them that were delivered.
    pub fn ends(&self) -> (usize, usize) {
        let seen = self.seen();
        let taken_on = || seen.lives.values().filter(|l| l.taken_on);
        (
            taken_on().count(),
            taken_on().filter(|l| l.delivered > 0).count(),
        )
    }

    /// Waits until each message taken on has its end, or for so long.
    pub fn settle(&self, most: Duration) {
        let end = Instant::now() + most;
        while self.open() > 0 && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Judges all lives.
    pub fn verdict(&self) -> Verdict {
        let seen = self.seen();
        let ruled = seen
            .rules
            .as_ref()
            .map_or(0, |r| r.breaches(&seen.lives).len());
        let routed = seen
            .routing
            .as_ref()
            .map_or(0, |r| r.breaches(&seen.lives).len());
        let broken =
            seen.breaches().len() + seen.strayed().len() + seen.disagreed.len() + ruled + routed;
        let mut verdict = Verdict {
            broken: broken as u32,
            ..Verdict::default()
        };
        for l in seen.lives.values().filter(|l| l.taken_on) {
            let doubled = l.is_doubled();
            verdict.lost += u32::from(l.is_open());
            verdict.doubled += u32::from(doubled);
            verdict.broken += l.two_out + u32::from(doubled);
        }
        verdict
    }
}

/// Notes since when an endpoint wants no calls, or that it does want some.
fn note_unwanted(unwanted: &mut BTreeMap<String, Instant>, uid: &str, wants: bool) {
    if wants {
        unwanted.remove(uid);
    } else {
        unwanted.entry(uid.to_string()).or_insert_with(Instant::now);
    }
}

/// The epoch of an order and the destinations that a sender names with it.
fn order(what: &str) -> (Option<u64>, BTreeSet<usize>) {
    let Some((_, rest)) = what.split_once(" by epoch ") else {
        return (None, BTreeSet::new());
    };
    let (epoch, named) = rest.split_once(" for ").unwrap_or((rest, ""));
    let named = named.strip_prefix("destinations ").unwrap_or("");
    let runs = named
        .split(" and ")
        .next()
        .unwrap_or("")
        .split(", ")
        .filter_map(|run| {
            let (from, to) = run.split_once('-').unwrap_or((run, run));
            Some(from.parse::<usize>().ok()?..=to.parse().ok()?)
        });
    (epoch.trim().parse().ok(), runs.flatten().collect())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a delivery that counts as late because its notice came while the answer was
    /// still being recorded, and against one after a notice that does not count.
    #[test]
    fn a_delivery_is_late_only_where_its_answer_began_after_the_notice() {
        let record = Record::default();
        let before_notices = Instant::now();
        for id in ["crossed", "late"] {
            record.taken_on(id);
            record.called(id, "s1", None);
            record.told(id, "undeliverable");
        }
        record.answered_call("crossed", None, Some(before_notices));
        record.answered_call("late", None, Some(Instant::now()));
        let is_doubled = |id: &str| record.seen().lives[id].is_doubled();
        assert_eq!([is_doubled("crossed"), is_doubled("late")], [false, true]);
    }

    #[test]
    fn each_check_fires_on_a_planted_breach_and_on_nothing_else() {
        let record = Record::default();
        for id in ["delivered", "told", "lost", "twice", "late", "out"] {
            record.taken_on(id);
        }
        let deliver = |id| {
            record.called(id, "s1", None);
            record.ended(id, None, true);
        };
        deliver("delivered");
        record.told("delivered", "deferred");
        record.told("late", "deferred");
        (0..2).for_each(|_| record.told("told", "deferred"));
        assert_eq!(
            record.verdict(),
            Verdict {
                broken: 0,
                lost: 3,
                doubled: 0
            }
        );
        deliver("late");
        record.told("twice", "deferred");
        record.told("twice", "undeliverable");
        (0..2).for_each(|_| record.called("out", "s1", None));
        (0..2).for_each(|_| record.ended("out", None, true));
        assert_eq!(
            record.verdict(),
            Verdict {
                broken: 3,
                lost: 1,
                doubled: 2
            }
        );
        assert_eq!(record.open(), 1);
    }

    #[test]
    fn a_call_whose_caller_hung_up_is_out_no_more() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let caller =
            TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
        let over = Arc::new(listener.accept().expect("connected").0);
        let record = Record::default();
        record.taken_on("m1");
        let two_out = || record.seen().lives["m1"].two_out;
        record.called("m1", "s1", Some(&over));
        record.called("m1", "s2", None);
        assert_eq!(two_out(), 1);
        record.ended("m1", None, false);
        drop(caller);
        while is_open(&over) {
            std::thread::yield_now();
        }
        record.called("m1", "s2", None);
        assert_eq!(two_out(), 1);
    }

    #[test]
    fn a_call_into_a_zone_that_its_sender_has_left_is_seen() {
        let record = Record::default();
        let (begun, later) = (Instant::now(), Instant::now() + 2 * GRACE);
        for (uid, zone, dest) in [("s0", "a", 0), ("s1", "b", 0), ("s2", "a", 1)] {
            record.stands(uid, zone, dest);
        }
        let call = |id: &str, uid: &str, at| {
            record.called_at(id, uid, None, at);
            record.ended(id, None, false);
            record.seen().strayed().len()
        };
        record.handed("m1", "n1");
        record.handed("m2", "n2");
        let epoch = std::cell::Cell::new(0);
        let says = |what: &str, of: &str| {
            epoch.set(epoch.get() + 1);
            let line = format!("INFO fleet: zone a {what} by epoch {}{of}", epoch.get());
            record.logs_at("n1", &line, begun);
        };
        says("left", " for destinations 1-4, 7 and 3 more");
        assert_eq!(
            call("m1", "s0", later),
            0,
            "it stays for what the rest does not bear"
        );
        assert_eq!(call("m1", "s2", later), 0, "a last route");
        says("left", " for destinations 0-1, 7");
        assert_eq!(call("m1", "s0", begun), 0, "soon after");
        assert_eq!(
            call("m2", "s0", later) + call("m1", "s1", later),
            0,
            "another sender, another zone"
        );
        assert_eq!(call("m1", "s2", later), 0, "a last route");
        assert_eq!(call("m1", "s0", later), 1);
        assert_eq!(record.verdict().broken, 1);
        record.seen().lateness = GRACE;
        assert_eq!(
            record.verdict().broken,
            0,
            "the machine may have held it up"
        );
        record.seen().lateness = Duration::ZERO;
        record.wants("s1", false);
        assert_eq!(call("m1", "s0", later), 1, "the other one drains");
        record.wants("s1", true);
        let all = " for destinations 0-1";
        says("returning", all);
        assert_eq!(call("m1", "s0", later), 1, "calls are granted");
        assert!(!record.all_in());
        says("left", all);
        assert_eq!(call("m1", "s0", later), 2);
        says("in use again", "");
        assert_eq!(call("m1", "s0", later), 2);
        assert!(record.all_in());
        says("left", all);
        record.logs_at("n1", "INFO fleet: no keeper answers; goes on alone", begun);
        assert_eq!(call("m1", "s0", later), 2, "alone");
        says("left", all);
        record.starts("n1");
        assert_eq!(call("m1", "s0", later), 2, "another process");
        assert!(record.all_in());
    }

    #[test]
    fn words_of_the_record_that_contradict_each_other_are_seen() {
        let record = Record::default();
        let told = |n: u32, why: &str| {
            let said = record.seen().disagreed.len();
            assert_eq!((said, record.verdict().broken), (n as usize, n), "{why}");
        };
        let hears =
            |sender: &str, what: &str| record.logs(sender, &format!("INFO fleet: zone a {what}"));
        hears("n1", "left by epoch 3 for destinations 0-9");
        hears("n2", "left by epoch 3 for destinations 4");
        hears("n1", "returning by epoch 4 for destinations 0-9");
        hears("n1", "in use again by epoch 4");
        told(0, "each hears the same, of its own part");
        hears("n2", "left by epoch 4 for destinations 4");
        told(1, "another order of that epoch");
        hears("n2", "left by epoch 3 for destinations 4");
        told(2, "an older order");
        record.starts("n2");
        hears("n2", "left by epoch 3 for destinations 4");
        told(2, "another process");
        let says = |keeper: &str, what: &str| {
            record.keeper_logs(keeper, &format!("keeper 1 of rig: {what}"))
        };
        for keeper in ["k1", "k2"] {
            says(keeper, "applied 7 Join 0123abcd");
            says(keeper, "applied 8 Beat 00000001");
        }
        says("k1", "leads in term 2");
        says("k2", "leads in term 3");
        told(2, "they agree");
        says("k3", "applied 7 Join 0123abce");
        told(3, "another sender");
        says("k1", "applied 8 Beat 00000001");
        told(4, "twice");
        record.keeper_starts("k1");
        says("k1", "applied 7 Join 0123abcd");
        told(4, "another process");
        says("k1", "leads in term 3");
        told(5, "two in one term");
        says("south/k1", "leads in term 3");
        says("south/k1", "applied 7 Beat 00000002");
        says("south/k1", "federation rig: site 1 leads in term 3");
        says("north/k1", "federation rig: site 1 leads in term 3");
        told(5, "another site, and the federation");
        says("north/k2", "federation rig: site 2 leads in term 3");
        told(6, "two sites in one term");
    }

    #[test]
    fn a_message_that_two_zones_work_off_is_doubled() {
        let record = Record::default();
        for (uid, zone) in [("s0", "a"), ("s1", "a"), ("s2", "b")] {
            record.stands(uid, zone, 0);
        }
        record.taken_on("m1");
        record.called("m1", "s0", None);
        record.ran("m1", "s0");
        record.ended("m1", None, false);
        record.ran("m1", "s1");
        record.told("m1", "deferred");
        assert_eq!(
            record.verdict(),
            Verdict::default(),
            "the zone drops what comes again"
        );
        record.ran("m1", "s2");
        assert_eq!(
            record.verdict(),
            Verdict {
                broken: 1,
                lost: 0,
                doubled: 1
            }
        );
        assert_eq!(record.seen().ran_twice.len(), 1);
    }

    #[test]
    fn a_call_after_a_drain_was_told_is_seen() {
        let record = Record::default();
        let later = Instant::now() + 2 * GRACE;
        let call = |id: &str, uid: &str, at| {
            record.called_at(id, uid, None, at);
            record.ended(id, None, false);
            record.seen().breaches().len()
        };
        record.handed("m1", "n1");
        record.handed("m2", "n2");
        assert_eq!(call("m1", "s1", later), 0, "nothing was told");
        record.told_of("n1", [("s1", false), ("s2", true)]);
        assert_eq!(call("m1", "s1", Instant::now()), 0, "soon after");
        assert_eq!(
            call("m1", "s2", later) + call("m2", "s1", later),
            0,
            "elsewhere, and by one who was not told"
        );
        assert_eq!(call("m1", "s1", later), 1);
        assert_eq!(record.verdict().broken, 1);
        record.seen().lateness = GRACE;
        assert_eq!(
            record.verdict().broken,
            0,
            "the machine may have held it up"
        );
        record.seen().lateness = Duration::ZERO;
        record.told_of("n1", [("s1", true)]);
        assert_eq!(call("m1", "s1", later), 1, "it wants calls again");
        record.deaf("n1", true);
        record.told_of("n1", [("s1", false)]);
        record.deaf("n1", false);
        assert_eq!(call("m1", "s1", later), 1, "it can't have heard");
        record.told_of("n1", [("s1", false)]);
        assert_eq!(call("m1", "s1", later), 2);
        record.handed("m3", "n3");
        record.wants("s3", false);
        assert_eq!(call("m3", "s3", later), 2, "nobody told it yet");
        let much_later = Instant::now() + MUST_ASK_IN + 2 * GRACE;
        assert_eq!(call("m3", "s3", much_later), 3, "it counts as told");
        record.asks("n3");
        assert_eq!(call("m3", "s3", much_later), 3, "it asked");
        record.wants("s3", true);
        record.wants("s3", false);
        assert_eq!(
            call("m3", "s3", much_later),
            3,
            "it asked before, in vain so far"
        );
        assert_eq!(
            call("m3", "s3", much_later + 3 * MUST_ASK_IN),
            4,
            "in vain for too long"
        );
        record.told_of("n3", []);
        assert_eq!(call("m3", "s3", much_later), 5, "it was answered before");
        record.wants("s3", true);
        record.wants("s3", false);
        record.line_broken("n3");
        assert_eq!(call("m3", "s3", much_later), 5, "it may have asked");
    }
}
