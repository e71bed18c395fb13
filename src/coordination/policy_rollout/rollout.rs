//! The leader's part in a rollout: which senders it waits for, when a stage is paused, changes or
//! is taken back, and what halts the rollout.
//!
//! All state that has to survive a change of leaders is in the record ([`super::register`]). What a
//! leader has learned from senders (policies that they have stored, turns that they apply, counts)
//! is lost when its term ends. The next leader collects it again from the live senders and observes
//! the stage anew. So nothing is counted twice, and no decision rests on a report that only an
//! earlier leader received.
//!
//! A sender is live if the record says so. A leader proposes a change only when every live sender
//! has confirmed what the change requires, in the session that the record has. A sender that joins
//! between the confirmation and the change finds the pause in the record and accepts nothing before
//! it has received the change.

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
/// Time after which a decision that was not applied to the record may be proposed again; the leader
/// uses the same time for its other decisions.
const DECISION_TIMEOUT: Nanos = SECOND;
/// Time between two checks of the reported counts.
const HEALTH_CHECK_INTERVAL: Nanos = SECOND;
/// First and longest time between a pause that was revoked and the next one; it doubles each time.
const PAUSE_RETRY_DELAYS: (Nanos, Nanos) = (SECOND, 60 * SECOND);
/// Least time between a pause for a routing table and the pause of a stage, so that waiting
/// messages are accepted in between.
pub(crate) const MIN_PAUSE_GAP: Nanos = SECOND / 2;
/// Number of revoked pauses of a stage after which the rollout halts.
const MAX_REVOKED_PAUSES: u32 = 10;
/// Time for which senders have to be missing from a stage before that counts: a sender that
/// restarts is back within it.
const MISSING_GRACE: Nanos = 10 * SECOND;
/// Time without a leader after which a rollout halts, as the senders were not observed meanwhile.
/// Five elections fit in it.
const MAX_LEADERLESS: Nanos = 10 * SECOND;

/// State of the policy rollouts that a leader runs.
#[derive(Clone, Debug)]
pub struct RolloutController {
    begun: Nanos,
    registry: SenderRegistry,
    health: RolloutHealth,
    /// Decision that was proposed and is not applied yet: the turn that it was based on, and when
    /// it was proposed.
    pending_decision: Option<(u64, Nanos)>,
    /// Index of the log entry at which the current step began, and when this leader saw that.
    step_seen: (u64, Nanos),
    /// Senders that a pause still waits for, as far as is known.
    awaited: Option<BTreeSet<String>>,
    /// Senders that did not answer the last pause, which was revoked.
    unanswered: BTreeSet<String>,
    /// Description of what the stage lacks, and since when.
    missing: Option<(String, Nanos)>,
    checked_at: Nanos,
    /// Time since which this leader has observed the zones of the next stage.
    observed_since: Nanos,
    /// Result of the last check of the counts.
    verdict: Option<StageVerdict>,
    /// Whether it is possible that no replica led for [`MAX_LEADERLESS`] or longer.
    leaderless: bool,
    /// Time at which admission was last seen paused for a routing table.
    table_paused_at: Option<Nanos>,
}

impl RolloutController {
    /// Creates the state of a new leader. `led` is when this replica last saw a leader, another one
    /// or itself; `None` where it never did.
    pub fn new(now: Nanos, led: Option<Nanos>) -> RolloutController {
        RolloutController {
            begun: now,
            registry: SenderRegistry::default(),
            health: RolloutHealth::default(),
            pending_decision: None,
            step_seen: (0, now),
            awaited: None,
            unanswered: BTreeSet::new(),
            missing: None,
            checked_at: now,
            observed_since: now,
            verdict: None,
            leaderless: led.is_none_or(|at| now >= at + MAX_LEADERLESS),
            table_paused_at: None,
        }
    }

    /// Records that a sender opened a session, with the policies that it has stored. On a new
    /// connection it has confirmed nothing yet.
    pub fn open_session(&mut self, sender: &str, boot: u64, stored: Option<&[(u64, Digest)]>) {
        self.registry.open_session(sender, boot, stored);
    }

    /// Records that a sender's session was closed.
    pub fn close_session(&mut self, sender: &str) {
        self.registry.close_session(sender);
    }

    /// Records that a sender has checked a policy.
    pub fn record_check(
        &mut self,
        sender: &str,
        number: u64,
        refused: Option<&str>,
        record: &Record,
    ) {
        let Some(digest) = record.policies.digest(number) else {
            return;
        };
        // The record keeps only a few policies, and senders are asked for those alone.
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

    /// Records that a sender applies a turn. If it was the last one that a pause waited for, the
    /// next decision is made immediately.
    pub fn record_applied(
        &mut self,
        now: Nanos,
        sender: &str,
        turn: u64,
        record: &Record,
    ) -> Option<Change> {
        // No sender can apply a turn that does not exist yet.
        if turn > record.policies.turn || !self.registry.record_applied(sender, turn) {
            return None;
        }
        let waits = self.awaited.as_mut()?;
        if waits.remove(sender) && waits.is_empty() {
            return self.decide(now, record);
        }
        None
    }

    /// Records the message outcomes that a sender reports.
    pub fn record_outcomes(
        &mut self,
        now: Nanos,
        zone: &str,
        outcomes: &[messages::MessageOutcomeCounts],
        record: &Record,
    ) {
        let Some(r) = &record.policies.rollout else {
            return;
        };
        let Some(stage) = r.plan.stage_of(zone) else {
            return;
        };
        let only = (stage < r.in_force()).then(|| r.to.get(zone).copied().unwrap_or_default());
        self.health.record_report(now, stage, only, outcomes);
    }

    /// Updates the state after a change of policies was applied to the record.
    pub fn on_change_applied(&mut self, now: Nanos, index: u64, change: &Change, record: &Record) {
        let policies = &record.policies;
        self.pending_decision = self
            .pending_decision
            .filter(|(base, _)| *base >= policies.turn);
        if policies.at != index {
            return;
        }
        (self.step_seen, self.awaited, self.missing) = ((index, now), None, None);
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
                self.unanswered.clear();
                (self.observed_since, self.leaderless) = (now, false);
                log::info!("policy {number}: offered");
            }
            Change::Pause => {
                self.awaited = rollout.map(|r| {
                    self.without_confirmation(record, r.zones())
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
                self.observed_since = now;
                self.unanswered.clear();
                log::info!("policy {number}: stage {stage} is next by turn {turn}");
            }
            Change::Halt { why } => log::warn!("policy {number}: halted: {why}"),
            Change::Resume => {
                self.health.restart_observation(now);
                (self.verdict, self.leaderless) = (None, false);
                self.unanswered.clear();
                log::info!("policy {number}: resumed by turn {turn}");
            }
            Change::Back { .. } => {
                self.health.clear();
                self.unanswered.clear();
                self.leaderless = false;
                match rollout {
                    Some(r) => log::info!("policy {}: goes back as {number}", r.back_of),
                    None => log::info!("policy {number}: called back before it was in force"),
                }
            }
            Change::End { why } => log::warn!("policy {number}: ended: {why}"),
        }
    }

    /// Returns the change that is due as time passes, if any.
    pub fn tick(&mut self, now: Nanos, record: &Record) -> Option<Change> {
        // The senders that a pause waits for are determined anew: some may have joined or expired.
        self.awaited = None;
        if record.tables.register.stance == SiteAdmission::Paused {
            self.table_paused_at = Some(now);
        }
        self.decide(now, record)
    }

    /// Sends a sender what it lacks: its register, where it has not confirmed that turn, and
    /// policies that it has not stored.
    pub fn announce(
        &mut self,
        now: Nanos,
        sender: &str,
        zone: &str,
        record: &Record,
        offers: &mut usize,
        send: &mut dyn FnMut(ReplicaToAgent),
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
            send(ReplicaToAgent::ApplyPolicy {
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
                send(ReplicaToAgent::OfferPolicy {
                    number: *number,
                    digest: text.digest,
                    text: text.text.clone(),
                });
            }
        }
        self.registry
            .forget_offers(sender, |number| policies.texts.contains_key(&number));
    }

    /// Returns the live senders of some zones, each with what is known of it in the session that
    /// the record has.
    fn live<'a>(
        &'a self,
        record: &'a Record,
        zones: &'a [String],
    ) -> impl Iterator<Item = LiveSender<'a>> + 'a {
        self.registry.live(record, |m| zones.contains(&m.zone))
    }

    /// Returns the live senders that have not confirmed the turn of their zone's register.
    fn without_confirmation<'a>(
        &'a self,
        record: &'a Record,
        zones: &'a [String],
    ) -> Vec<&'a String> {
        let turn = |m: &RosterEntry| record.policies.register(&m.zone).turn;
        self.registry
            .unconfirmed(record, |m| zones.contains(&m.zone), turn)
    }

    /// Returns the live senders that have not confirmed that they stored the policy they are to
    /// change to.
    fn without_policy<'a>(
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

    /// Returns the first reason for which a live sender of these zones cannot apply the policy.
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

    /// Returns the first of these zones that has no live sender.
    fn zone_without_senders<'a>(record: &Record, zones: &'a [String]) -> Option<&'a String> {
        zones
            .iter()
            .find(|zone| !record.roster.values().any(|m| m.live && m.zone == **zone))
    }

    /// Returns what the stage lacks, once it has been lacking for [`MISSING_GRACE`].
    fn missing_for_long(&mut self, now: Nanos, record: &Record, r: &Rollout) -> Option<String> {
        let lack = match RolloutController::zone_without_senders(record, r.zones()) {
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
        // The senders that are missing may change; the time counts for which any are missing.
        let kind = |why: &String| why.split(':').next().map(str::to_string);
        let since = match (&self.missing, &lack) {
            (Some((why, since)), Some(lack)) if kind(why) == kind(lack) => *since,
            _ => now,
        };
        self.missing = lack.map(|lack| (lack, since));
        self.missing
            .as_ref()
            .filter(|(_, since)| now >= since + MISSING_GRACE)
            .map(|(why, _)| why.clone())
    }

    /// Returns the next change of the rollout, if one is due and none is pending.
    fn decide(&mut self, now: Nanos, record: &Record) -> Option<Change> {
        let turn = record.policies.turn;
        self.pending_decision = self
            .pending_decision
            .filter(|(base, at)| *base == turn && now < at + DECISION_TIMEOUT);
        if self.pending_decision.is_some() {
            return None;
        }
        let r = record
            .policies
            .rollout
            .as_ref()
            .filter(|r| r.halted.is_none())?;
        if self.step_seen.0 != r.at {
            // The step began under another leader, which may have waited for a long time already.
            (self.step_seen, self.awaited) = ((r.at, self.begun), None);
            if r.step == Step::Soaking {
                self.health.on_stage_changed(now);
            }
        }
        let change = self.next(now, record, r);
        if change.is_some() {
            self.pending_decision = Some((turn, now));
        }
        change
    }

    fn next(&mut self, now: Nanos, record: &Record, r: &Rollout) -> Option<Change> {
        let halt = |why: String| Some(Change::Halt { why });
        if self.leaderless {
            return halt(format!(
                "no keeper led for {} s or longer, as far as is known",
                MAX_LEADERLESS / SECOND
            ));
        }
        let all: Vec<String> = r.plan.zones().cloned().collect();
        let passed = now.saturating_sub(self.step_seen.1);
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
                if let Some(why) = self.missing_for_long(now, record, r) {
                    return end(why);
                }
                let without_policy = self.without_policy(record, r, &all);
                if !without_policy.is_empty() {
                    let late = passed >= Nanos::from(r.plan.offer_s) * SECOND;
                    return match late {
                        true => end(format!(
                            "no answer to the offer from {}",
                            format_names(&without_policy)
                        )),
                        false => None,
                    };
                }
                if r.tries >= MAX_REVOKED_PAUSES {
                    return halt(format!(
                        "the pause of stage {} was taken back {} times",
                        r.stage + 1,
                        r.tries
                    ));
                }
                // Senders that were silent have to have answered, or expired, before the next
                // pause.
                let silent = self
                    .without_confirmation(record, r.zones())
                    .into_iter()
                    .any(|name| self.unanswered.contains(name));
                let first = PAUSE_RETRY_DELAYS.0 << r.tries.saturating_sub(1).min(10);
                let rested = r.tries == 0 || passed >= first.min(PAUSE_RETRY_DELAYS.1);
                let watch = Nanos::from(r.plan.watch_s) * SECOND;
                let watched = r.back_of != 0 || now >= self.observed_since + watch;
                let empty = RolloutController::zone_without_senders(record, r.zones()).is_some();
                let apart = self
                    .table_paused_at
                    .is_none_or(|at| now >= at + MIN_PAUSE_GAP);
                (!silent && rested && watched && !empty && apart).then_some(Change::Pause)
            }
            Step::Paused => {
                let over = passed >= Nanos::from(r.plan.pause_ms) * MS;
                if !over && self.awaited.as_ref().is_some_and(|waits| !waits.is_empty()) {
                    return None;
                }
                let zones = r.zones();
                let mut late = self.without_confirmation(record, zones);
                late.extend(self.without_policy(record, r, zones));
                late.sort();
                late.dedup();
                if late.is_empty() {
                    return Some(Change::Commit);
                }
                let silent = format_names(&late);
                let late: BTreeSet<String> = late.into_iter().cloned().collect();
                if over {
                    self.unanswered = late;
                    return Some(Change::TakeBack { silent });
                }
                self.awaited = Some(late);
                None
            }
            Step::Soaking => {
                if let Some(why) = self.refusal(record, r, r.zones()) {
                    return halt(format!("a sender cannot go by it: {why}"));
                }
                if let Some(why) = self.missing_for_long(now, record, r) {
                    return halt(why);
                }
                let done = |controller: &RolloutController| {
                    controller
                        .without_confirmation(record, r.zones())
                        .is_empty()
                };
                if r.back_of != 0 {
                    // A policy that ran there before is not judged again.
                    return done(self).then_some(Change::Next);
                }
                if now < self.checked_at + HEALTH_CHECK_INTERVAL {
                    return None;
                }
                self.checked_at = now;
                let stage = r.stage as usize;
                let verdict = self.health.judge(now, stage, &r.plan);
                self.verdict = Some(verdict.clone());
                match verdict {
                    StageVerdict::Worse(why) => {
                        halt(format!("stage {} is worse: {why}", r.stage + 1))
                    }
                    StageVerdict::TooFewMessages(what)
                        if passed >= r.plan.max_soak_s() * SECOND =>
                    {
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

    /// Returns the change that an operator's request requires; `None` where nothing has to change.
    ///
    /// # Errors
    /// The reason why the request is rejected.
    pub fn handle_request(
        &self,
        request: &OperatorRequest,
        record: &Record,
    ) -> Result<Option<Change>, String> {
        let p = &record.policies;
        let runs = || p.rollout.as_ref().ok_or("no rollout runs".to_string());
        match request {
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
                _ => Err(
                    "no rollout runs, and there is no completed one that can be rolled back".into(),
                ),
            },
            _ => Err("the request does not concern policies".into()),
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
                "policy {what} is rolled out (stage {stage} of {}{halted}); only one rollout may run at a time: check its status, or roll it back",
                r.plan.stage.len()
            ));
        }
        p.check_capacity(&plan, MAX_ZONES)?;
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
                .map(|zone| format!("plan: zone {zone}: no live sender is in this zone")),
        );
        let without_policies = self
            .registry
            .live(record, |_| true)
            .filter(|LiveSender { known, .. }| known.is_some_and(|k| !k.has_reported()));
        let without_policies: Vec<&String> = without_policies.map(|sender| sender.name).collect();
        if !without_policies.is_empty() {
            let names = format_names(&without_policies);
            faults.push(format!(
                "{names}: the fleet file has no table [policy], so these senders follow no policy"
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

    /// Returns the status of policies and of the rollout.
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
                    self.without_policy(record, r, &all),
                    "to check it and write it down",
                ),
                Step::Paused => (
                    self.without_confirmation(record, r.zones()),
                    "to take nothing on",
                ),
                Step::Soaking => (self.without_confirmation(record, r.zones()), "to go by it"),
            };
            let passed = now.saturating_sub(self.step_seen.1) / SECOND;
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

    /// Returns the rollouts that have ended, the newest first.
    pub fn history(record: &Record) -> Vec<messages::PastRollout> {
        record.policies.past.iter().rev().map(past).collect()
    }
}

fn past(p: &super::register::EndedRollout) -> messages::PastRollout {
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
