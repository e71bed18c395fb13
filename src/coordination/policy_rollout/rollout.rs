//! What the leader does with a rollout: whom it waits for, when a stage is paused, goes over, is
//! taken back, and what halts it.
//!
//! All that has to outlast a leader stands in the record ([`super::register`]). What a leader has
//! heard of senders (policies that they have, turns that they go by, counts) it forgets with its
//! office; the next one hears it again from those that live, and a stage is watched anew. So
//! nothing is counted twice, and nothing goes on by a word that only an earlier leader heard.
//!
//! A live sender is one that the record has as live. A leader proposes a change only where each of
//! them has said what is needed to it, in the session that the record has. One that joins between
//! that and the change finds the pause in the record, and takes nothing on before it has heard the
//! change.

use crate::coordination::messages::{self, Digest, OperatorRequest, ReplicaToAgent, SiteAdmission};
use crate::coordination::policy_rollout::document::Document;
use crate::coordination::policy_rollout::health::{RolloutHealth, StageVerdict};
use crate::coordination::policy_rollout::plan::Plan;
use crate::coordination::policy_rollout::register::{Change, Rollout, Step};
use crate::coordination::record::{Record, RosterEntry, MAX_ZONES};
use crate::coordination::sender_registry::{format_names, KnownSender, LiveSender, SenderRegistry};
use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet};

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
/// A decision that does not come into the record within this time may be proposed again, as in the
/// office.
const DECIDED: Nanos = SECOND;
/// Between two looks at what senders report.
const LOOK: Nanos = SECOND;
/// First and longest time between a pause that was taken back and the next one; it doubles.
const RETRY: (Nanos, Nanos) = (SECOND, 60 * SECOND);
/// After a pause for a routing table comes none of a stage for so long: what waited at doors is let
/// in between.
pub(crate) const APART: Nanos = SECOND / 2;
/// So many pauses of a stage are taken back before it halts.
const MOST_TRIES: u32 = 10;
/// What is missing from a stage has to be missing for so long: a sender that is started anew is
/// there again.
const GONE: Nanos = 10 * SECOND;
/// Nobody led for longer than this: what senders did meanwhile nobody saw. Five elections.
const UNLED: Nanos = 10 * SECOND;

/// What a leader does with policies.
#[derive(Clone, Debug)]
pub struct Roll {
    begun: Nanos,
    registry: SenderRegistry,
    health: RolloutHealth,
    /// The decision that is out: the turn it was based on, and when it was proposed.
    deciding: Option<(u64, Nanos)>,
    /// When this leader saw the step that runs begin: its place in the log.
    step: (u64, Nanos),
    /// Senders that a pause still waits for, as far as is known.
    waits: Option<BTreeSet<String>>,
    /// Those that the last pause was taken back for.
    silent: BTreeSet<String>,
    /// What a stage misses, and since when.
    missing: Option<(String, Nanos)>,
    looked: Nanos,
    /// Since when this leader watches the zones of the stage that is next.
    watched: Nanos,
    /// What the last look said.
    verdict: Option<StageVerdict>,
    /// For how long nobody led, as far as that is known.
    unled: bool,
    /// When a pause for a routing table was last seen.
    tables: Option<Nanos>,
}

impl Roll {
    /// Begins with nothing. `led` is when this keeper saw another leader, or itself, in office
    /// last; nothing, where it never did.
    pub fn new(now: Nanos, led: Option<Nanos>) -> Roll {
        Roll {
            begun: now,
            registry: SenderRegistry::default(),
            health: RolloutHealth::default(),
            deciding: None,
            step: (0, now),
            waits: None,
            silent: BTreeSet::new(),
            missing: None,
            looked: now,
            watched: now,
            verdict: None,
            unled: led.is_none_or(|at| now >= at + UNLED),
            tables: None,
        }
    }

    /// A sender has a session, and says what it has. On a line of its own nothing was said yet.
    pub fn meet(&mut self, sender: &str, boot: u64, stored: Option<&[(u64, Digest)]>) {
        self.registry.open_session(sender, boot, stored);
    }

    /// Its session is over.
    pub fn part(&mut self, sender: &str) {
        self.registry.close_session(sender);
    }

    /// It has checked a policy.
    pub fn stored(&mut self, sender: &str, number: u64, refused: Option<&str>, record: &Record) {
        let Some(digest) = record.policies.digest(number) else {
            return;
        };
        // The record has a few at the most, and only those are asked for.
        let kept = |number| record.policies.texts.contains_key(&number);
        if let Some(why) = self
            .registry
            .record_check(sender, (number, digest), refused, kept)
        {
            log::warn!(
                "policy {number}: refused: {sender}: {}",
                why.replace('\n', "; ")
            );
        }
    }

    /// It goes by a turn. Where it was the last one that a pause waited for, that goes on at once.
    pub fn rules(
        &mut self,
        now: Nanos,
        sender: &str,
        turn: u64,
        record: &Record,
    ) -> Option<Change> {
        // Nobody can go by what is not yet.
        if turn > record.policies.turn || !self.registry.record_applied(sender, turn) {
            return None;
        }
        let waits = self.waits.as_mut()?;
        if waits.remove(sender) && waits.is_empty() {
            return self.decide(now, record);
        }
        None
    }

    /// It reports what became of messages.
    pub fn hear(
        &mut self,
        now: Nanos,
        zone: &str,
        told: &[messages::MessageOutcomeCounts],
        record: &Record,
    ) {
        let Some(r) = &record.policies.rollout else {
            return;
        };
        let Some(stage) = r.plan.stage_of(zone) else {
            return;
        };
        let only = (stage < r.in_force()).then(|| r.to.get(zone).copied().unwrap_or_default());
        self.health.record_report(now, stage, only, told);
    }

    /// A change of policies was applied.
    pub fn applied(&mut self, now: Nanos, index: u64, change: &Change, record: &Record) {
        let policies = &record.policies;
        self.deciding = self.deciding.filter(|(base, _)| *base >= policies.turn);
        if policies.at != index {
            return;
        }
        (self.step, self.waits, self.missing) = ((index, now), None, None);
        let rollout = policies.rollout.as_ref();
        let number = rollout.map_or_else(
            || policies.past.back().map_or(0, |p| p.number),
            |r| r.number,
        );
        let stage = rollout.map_or(0, |r| r.stage + 1);
        let turn = policies.turn;
        match change {
            Change::Propose { .. } => {
                self.health.clear();
                self.silent.clear();
                (self.watched, self.unled) = (now, false);
                log::info!("policy {number}: offered");
            }
            Change::Pause => {
                self.waits = rollout.map(|r| {
                    self.unheard(record, r.zones())
                        .into_iter()
                        .cloned()
                        .collect()
                });
                log::info!("policy {number}: stage {stage} paused by turn {turn}");
            }
            Change::Commit => {
                self.health.on_stage_changed(now);
                self.verdict = None;
                log::info!("policy {number}: stage {stage} in force by turn {turn}");
                log::info!("policy {number}: stage {stage} soaks");
            }
            Change::TakeBack { silent } => {
                log::warn!(
                    "policy {number}: stage {stage} taken back by turn {turn}: {silent} silent"
                );
            }
            Change::Next if rollout.is_none() => log::info!("policy {number}: rolled out"),
            Change::Next => {
                self.watched = now;
                self.silent.clear();
                log::info!("policy {number}: stage {stage} is next by turn {turn}");
            }
            Change::Halt { why } => log::warn!("policy {number}: halted: {why}"),
            Change::Resume => {
                self.health.restart_observation(now);
                (self.verdict, self.unled) = (None, false);
                self.silent.clear();
                log::info!("policy {number}: resumed by turn {turn}");
            }
            Change::Back { .. } => {
                self.health.clear();
                self.silent.clear();
                self.unled = false;
                match rollout {
                    Some(r) => log::info!("policy {}: goes back as {number}", r.back_of),
                    None => log::info!("policy {number}: called back before it was in force"),
                }
            }
            Change::End { why } => log::warn!("policy {number}: ended: {why}"),
        }
    }

    /// Time has passed: what is to be changed, if anything is.
    pub fn tick(&mut self, now: Nanos, record: &Record) -> Option<Change> {
        // Whom a pause waits for is counted anew: some may have joined or lapsed.
        self.waits = None;
        if record.tables.register.stance == SiteAdmission::Paused {
            self.tables = Some(now);
        }
        self.decide(now, record)
    }

    /// What a sender is to be told: its register where it has not said that it goes by it, and
    /// policies that it lacks.
    pub fn say(
        &mut self,
        now: Nanos,
        sender: &str,
        zone: &str,
        record: &Record,
        offers: &mut usize,
        say: &mut dyn FnMut(ReplicaToAgent),
    ) {
        let policies = &record.policies;
        if !self
            .registry
            .get(sender)
            .is_some_and(KnownSender::has_reported)
        {
            return;
        }
        let register = policies.register(zone);
        if self
            .registry
            .claim_announcement(now, sender, register.turn, policies.turn)
        {
            let turn = policies.turn;
            say(ReplicaToAgent::ApplyPolicy {
                turn,
                number: register.number,
                paused: register.paused,
            });
        }
        let target = policies.rollout.as_ref().and_then(|r| r.to.get(zone));
        for number in [Some(&register.number), target]
            .into_iter()
            .flatten()
            .filter(|n| **n != 0)
        {
            let Some(text) = policies.texts.get(number) else {
                continue;
            };
            if self
                .registry
                .claim_offer(now, sender, *number, &text.digest, offers)
            {
                say(ReplicaToAgent::OfferPolicy {
                    number: *number,
                    digest: text.digest,
                    text: text.text.clone(),
                });
            }
        }
        self.registry
            .forget_offers(sender, |number| policies.texts.contains_key(&number));
    }

    /// Live senders of some zones, with what is known of each in the session that the record has.
    fn live<'a>(
        &'a self,
        record: &'a Record,
        zones: &'a [String],
    ) -> impl Iterator<Item = LiveSender<'a>> + 'a {
        self.registry.live(record, |m| zones.contains(&m.zone))
    }

    /// Those of them that have not said that they go by their zone's register.
    fn unheard<'a>(&'a self, record: &'a Record, zones: &'a [String]) -> Vec<&'a String> {
        let turn = |m: &RosterEntry| record.policies.register(&m.zone).turn;
        self.registry
            .unconfirmed(record, |m| zones.contains(&m.zone), turn)
    }

    /// Those that have not said that they have what they are to go by.
    fn unstored<'a>(
        &'a self,
        record: &'a Record,
        r: &'a Rollout,
        zones: &'a [String],
    ) -> Vec<&'a String> {
        let needs = |m: &RosterEntry| {
            let number = r.to.get(&m.zone).copied().unwrap_or_default();
            (number, record.policies.digest(number))
        };
        self.registry
            .without_document(record, |m| zones.contains(&m.zone), needs)
    }

    /// Why live senders of these zones cannot go by it, the first of them.
    fn refusal(&self, record: &Record, r: &Rollout, zones: &[String]) -> Option<String> {
        self.live(record, zones)
            .find_map(|LiveSender { name, entry, known }| {
                let number = r.to.get(&entry.zone).copied().unwrap_or_default();
                let known = known?;
                if !known.has_reported() {
                    return Some(format!(
                        "{name}: its fleet file has no table [policy], so it follows none"
                    ));
                }
                known.refusal(number).map(|why| format!("{name}: {why}"))
            })
    }

    /// A zone of these without a live sender, and a zone of senders that the plan does not name.
    fn empty<'a>(record: &Record, zones: &'a [String]) -> Option<&'a String> {
        zones
            .iter()
            .find(|zone| !record.roster.values().any(|m| m.live && m.zone == **zone))
    }

    /// What the stage lacks now, if that has been so for long enough.
    fn missed(&mut self, now: Nanos, record: &Record, r: &Rollout) -> Option<String> {
        let told = match Roll::empty(record, r.zones()) {
            Some(zone) => Some(format!("zone {zone}: none of its senders holds a lease")),
            None if r.step == Step::Soaking && r.back_of == 0 => {
                let own = record
                    .roster
                    .iter()
                    .filter(|(_, m)| r.zones().contains(&m.zone));
                let (live, lapsed): (Vec<_>, Vec<_>) = own
                    .filter(|(_, m)| m.live || m.since > r.at)
                    .partition(|(_, m)| m.live);
                let part = lapsed.len() as f64 / (live.len() + lapsed.len()).max(1) as f64;
                (part > r.plan.health.lapsed).then(|| {
                    let gone: Vec<&String> = lapsed.iter().map(|(name, _)| *name).collect();
                    format!("senders of the stage lapsed: {}", format_names(&gone))
                })
            }
            None => None,
        };
        // Which of them are missing may change; that some are is what counts.
        let kind = |why: &String| why.split(':').next().map(str::to_string);
        let since = match (&self.missing, &told) {
            (Some((why, since)), Some(told)) if kind(why) == kind(told) => *since,
            _ => now,
        };
        self.missing = told.map(|told| (told, since));
        self.missing
            .as_ref()
            .filter(|(_, since)| now >= since + GONE)
            .map(|(why, _)| why.clone())
    }

    /// One decision at a time.
    fn decide(&mut self, now: Nanos, record: &Record) -> Option<Change> {
        let turn = record.policies.turn;
        self.deciding = self
            .deciding
            .filter(|(base, at)| *base == turn && now < at + DECIDED);
        if self.deciding.is_some() {
            return None;
        }
        let r = record
            .policies
            .rollout
            .as_ref()
            .filter(|r| r.halted.is_none())?;
        if self.step.0 != r.at {
            // It began under another leader, who may have waited long.
            (self.step, self.waits) = ((r.at, self.begun), None);
            if r.step == Step::Soaking {
                self.health.on_stage_changed(now);
            }
        }
        let change = self.next(now, record, r);
        if change.is_some() {
            self.deciding = Some((turn, now));
        }
        change
    }

    fn next(&mut self, now: Nanos, record: &Record, r: &Rollout) -> Option<Change> {
        let halt = |why: String| Some(Change::Halt { why });
        if self.unled {
            return halt(format!(
                "no keeper led for {} s or longer, as far as is known",
                UNLED / SECOND
            ));
        }
        let all: Vec<String> = r.plan.zones().cloned().collect();
        let passed = now.saturating_sub(self.step.1);
        match r.step {
            Step::Ready => {
                let end = |why: String| match r.in_force() == 0 && r.back_of == 0 {
                    true => Some(Change::End { why }),
                    false => halt(why),
                };
                if let Some(why) = self.refusal(record, r, &all) {
                    return end(format!("refused by {why}"));
                }
                let stray = record
                    .roster
                    .iter()
                    .find(|(_, m)| m.live && !r.to.contains_key(&m.zone));
                if let Some((name, m)) = stray.filter(|_| r.back_of == 0) {
                    return end(format!(
                        "{name} stands in zone {}, which is in no stage of the plan",
                        m.zone
                    ));
                }
                if let Some(why) = self.missed(now, record, r) {
                    return end(why);
                }
                let unstored = self.unstored(record, r, &all);
                if !unstored.is_empty() {
                    let late = passed >= Nanos::from(r.plan.offer_s) * SECOND;
                    return match late {
                        true => end(format!(
                            "no answer to the offer from {}",
                            format_names(&unstored)
                        )),
                        false => None,
                    };
                }
                if r.tries >= MOST_TRIES {
                    return halt(format!(
                        "the pause of stage {} was taken back {} times",
                        r.stage + 1,
                        r.tries
                    ));
                }
                // Those that were silent have answered since, or lapsed.
                let silent = self
                    .unheard(record, r.zones())
                    .into_iter()
                    .any(|name| self.silent.contains(name));
                let first = RETRY.0 << r.tries.saturating_sub(1).min(10);
                let rested = r.tries == 0 || passed >= first.min(RETRY.1);
                let watch = Nanos::from(r.plan.watch_s) * SECOND;
                let watched = r.back_of != 0 || now >= self.watched + watch;
                let empty = Roll::empty(record, r.zones()).is_some();
                let apart = self.tables.is_none_or(|at| now >= at + APART);
                (!silent && rested && watched && !empty && apart).then_some(Change::Pause)
            }
            Step::Paused => {
                let over = passed >= Nanos::from(r.plan.pause_ms) * MS;
                if !over && self.waits.as_ref().is_some_and(|waits| !waits.is_empty()) {
                    return None;
                }
                let zones = r.zones();
                let mut late = self.unheard(record, zones);
                late.extend(self.unstored(record, r, zones));
                late.sort();
                late.dedup();
                if late.is_empty() {
                    return Some(Change::Commit);
                }
                let silent = format_names(&late);
                let late: BTreeSet<String> = late.into_iter().cloned().collect();
                if over {
                    self.silent = late;
                    return Some(Change::TakeBack { silent });
                }
                self.waits = Some(late);
                None
            }
            Step::Soaking => {
                if let Some(why) = self.refusal(record, r, r.zones()) {
                    return halt(format!("a sender cannot go by it: {why}"));
                }
                if let Some(why) = self.missed(now, record, r) {
                    return halt(why);
                }
                let done = |roll: &Roll| roll.unheard(record, r.zones()).is_empty();
                if r.back_of != 0 {
                    // What ran there before is not put to the test again.
                    return done(self).then_some(Change::Next);
                }
                if now < self.looked + LOOK {
                    return None;
                }
                self.looked = now;
                let stage = r.stage as usize;
                let verdict = self.health.judge(now, stage, &r.plan);
                self.verdict = Some(verdict.clone());
                match verdict {
                    StageVerdict::Worse(why) => {
                        halt(format!("stage {} is worse: {why}", r.stage + 1))
                    }
                    StageVerdict::TooFewMessages(what) if passed >= r.plan.most_soak() * SECOND => {
                        halt(format!(
                            "too few to judge stage {}: {what} in {} s",
                            r.stage + 1,
                            passed / SECOND
                        ))
                    }
                    StageVerdict::Healthy
                        if passed >= Nanos::from(r.plan.soak_s) * SECOND
                            && self.missing.is_none()
                            && done(self) =>
                    {
                        Some(Change::Next)
                    }
                    _ => None,
                }
            }
        }
    }

    /// What a person wants of policies: a change to be brought into the record, or how things are
    /// already.
    ///
    /// # Errors
    /// Why not.
    pub fn order(&self, word: &OperatorRequest, record: &Record) -> Result<Option<Change>, String> {
        let p = &record.policies;
        let runs = || p.rollout.as_ref().ok_or("no rollout runs".to_string());
        match word {
            OperatorRequest::ProposePolicy { text, plan } => self.propose(text, plan, record),
            OperatorRequest::HaltRollout { why } => Ok(match &runs()?.halted {
                Some(_) => None,
                None if why.is_empty() => Some(Change::Halt {
                    why: "a person's word".into(),
                }),
                None => Some(Change::Halt {
                    why: format!("a person's word: {why}"),
                }),
            }),
            OperatorRequest::ResumeRollout => Ok(runs()?.halted.as_ref().map(|_| Change::Resume)),
            OperatorRequest::RollBack => match (&p.rollout, &p.last, p.past.back()) {
                (Some(r), ..) if r.back_of != 0 => Ok(None),
                (None, None, Some(past)) if past.back_of != 0 => Ok(None),
                (Some(_), ..) | (None, Some(_), _) => Ok(Some(Change::Back {
                    own: Document::default().digest(),
                })),
                _ => Err("no rollout runs, and none was done that could be gone back from".into()),
            },
            _ => Err("that is no order on policies".into()),
        }
    }

    fn propose(&self, text: &str, plan: &str, record: &Record) -> Result<Option<Change>, String> {
        let lines = |what: &str, faults: Vec<super::document::Fault>| {
            faults
                .iter()
                .map(|fault| format!("{what}: {fault}"))
                .collect::<Vec<_>>()
                .join("\n")
        };
        let document = Document::parse(text).map_err(|faults| lines("policy", faults));
        let read = Plan::parse(plan).map_err(|faults| lines("plan", faults));
        let (document, plan) = match (document, read) {
            (Ok(document), Ok(plan)) => (document, plan),
            (document, plan) => {
                return Err([document.err(), plan.err()]
                    .into_iter()
                    .flatten()
                    .collect::<Vec<_>>()
                    .join("\n"));
            }
        };
        let p = &record.policies;
        let digest = document.digest();
        if let Some(r) = &p.rollout {
            if r.back_of == 0 && p.digest(r.number) == Some(digest) && r.plan == plan {
                return Ok(None);
            }
            let (what, halted) = (r.number, if r.halted.is_some() { ", halted" } else { "" });
            let stage = r.stage + 1;
            return Err(format!(
                "policy {what} is rolled out (stage {stage} of {}{halted}); only one is at a time: see its status, or go back",
                r.plan.stage.len()
            ));
        }
        p.room(&plan, MAX_ZONES)?;
        let named: BTreeSet<&String> = plan.zones().collect();
        let live: BTreeSet<&String> = record
            .roster
            .values()
            .filter(|m| m.live)
            .map(|m| &m.zone)
            .collect();
        let mut faults = Vec::new();
        faults.extend(
            live.difference(&named)
                .map(|zone| format!("plan: zone {zone} is in no stage")),
        );
        faults.extend(
            named
                .difference(&live)
                .map(|zone| format!("plan: zone {zone}: no sender that lives stands there")),
        );
        let deaf = self
            .registry
            .live(record, |_| true)
            .filter(|LiveSender { known, .. }| known.is_some_and(|k| !k.has_reported()));
        let deaf: Vec<&String> = deaf.map(|sender| sender.name).collect();
        if !deaf.is_empty() {
            let told = format_names(&deaf);
            faults.push(format!(
                "{told}: a fleet file without a table [policy], so no policy is followed there"
            ));
        }
        match faults.is_empty() {
            true => Ok(Some(Change::Propose {
                text: text.into(),
                digest,
                plan,
            })),
            false => Err(faults.join("\n")),
        }
    }

    /// How things stand.
    pub fn status(&self, now: Nanos, record: &Record) -> messages::PolicyStatus {
        let p = &record.policies;
        let mut zones: BTreeMap<&String, (u64, bool, usize)> = BTreeMap::new();
        let live = record.roster.values().filter(|m| m.live);
        let senders: BTreeMap<&String, usize> = live.fold(BTreeMap::new(), |mut all, m| {
            *all.entry(&m.zone).or_default() += 1;
            all
        });
        for zone in p.zones.keys().chain(senders.keys().copied()) {
            let register = p.register(zone);
            let count = senders.get(zone).copied().unwrap_or(0);
            zones.insert(zone, (register.number, register.paused, count));
        }
        let zones =
            zones
                .into_iter()
                .map(|(zone, (number, paused, senders))| messages::ZonePolicy {
                    zone: zone.clone(),
                    number,
                    paused,
                    senders: senders as u32,
                });
        let rollout = p.rollout.as_ref().map(|r| {
            let all: Vec<String> = r.plan.zones().cloned().collect();
            let (waits, what) = match r.step {
                Step::Ready => (
                    self.unstored(record, r, &all),
                    "to check it and write it down",
                ),
                Step::Paused => (self.unheard(record, r.zones()), "to take nothing on"),
                Step::Soaking => (self.unheard(record, r.zones()), "to go by it"),
            };
            let passed = now.saturating_sub(self.step.1) / SECOND;
            let count = |zones: &[String]| self.live(record, zones).count();
            let step = match r.step {
                Step::Ready if r.tries > 0 => {
                    format!("paused and taken back {} times, is tried again", r.tries)
                }
                Step::Ready => format!("is watched before, for {passed} of {} s", r.plan.watch_s),
                Step::Paused => "is paused".into(),
                Step::Soaking => {
                    format!("in force for {passed} s, of {} at the least", r.plan.soak_s)
                }
            };
            let seen = match &self.verdict {
                Some(StageVerdict::TooFewMessages(what)) if r.step == Step::Soaking => {
                    format!("too few to judge so far: {what}")
                }
                Some(StageVerdict::Healthy) if r.step == Step::Soaking => {
                    format!(
                        "nothing speaks against it in {} messages",
                        self.health.messages_since_change(r.stage as usize)
                    )
                }
                _ => String::new(),
            };
            let refused =
                self.live(record, &all)
                    .filter_map(|LiveSender { name, entry, known }| {
                        let number = r.to.get(&entry.zone).copied().unwrap_or_default();
                        Some((name.clone(), known?.refusal(number)?.clone()))
                    });
            messages::RolloutStatus {
                number: r.number,
                back_of: r.back_of,
                digest: p.digest(r.number).unwrap_or_default(),
                stage: r.stage + 1,
                stages: r
                    .plan
                    .stage
                    .iter()
                    .map(|s| (s.zones.clone(), count(&s.zones) as u32))
                    .collect(),
                step: if r.halted.is_some() {
                    "halted".into()
                } else {
                    step
                },
                halted: r.halted.clone(),
                seen,
                waits_what: if waits.is_empty() {
                    String::new()
                } else {
                    what.into()
                },
                waits: waits.into_iter().take(1_000).cloned().collect(),
                refused: refused.take(100).collect(),
            }
        });
        messages::PolicyStatus {
            turn: p.turn,
            zones: zones.collect(),
            rollout,
            done: p.past.back().map(past),
        }
    }

    /// Rollouts that are over, the newest first.
    pub fn history(record: &Record) -> Vec<messages::PastRollout> {
        record.policies.past.iter().rev().map(past).collect()
    }
}

fn past(p: &super::register::Past) -> messages::PastRollout {
    messages::PastRollout {
        number: p.number,
        back_of: p.back_of,
        digest: p.digest,
        in_force: p.stages.0,
        stages: p.stages.1,
        end: p.end.clone(),
        halts: p.halts,
        took_ms: p.ended_ms.saturating_sub(p.begun_ms),
    }
}
