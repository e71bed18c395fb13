//! What the leader of a site does with routing tables: whom it waits for, when the site accepts,
//! and when it goes over.
//!
//! What outlasts a leader stands in the site's record ([`super::tables`]) and in the federation's
//! ([`super::federation`]). What senders said a leader forgets with its office, as with policies.
//!
//! # The lease
//!
//! The federation counts the site in for a time. The voice that is told so counts that on its own
//! clock; a leader that takes over from it has the record's word, which it believes less the time
//! that it knows nobody counted, and less [`LATE`]. One that never saw a leader believes nothing of
//! it. Beyond it, a site that holds takes nothing on, also one that was never counted in: nobody
//! there knows what the federation goes by, as its folders may be those of a site that was cut off,
//! or new ones in place of lost ones. While the leader knows the lease to be over, no sender hears
//! of an open door from it, and none has its own renewed before the record says that nothing is
//! taken on.
//!
//! # Who cannot go by what was decided
//!
//! A sender that refuses a table before the site accepts it ends the proposal. One that does so
//! later, as it joined later, holds nothing up: it takes nothing on, as it has not the table that
//! it is told to go by. One whose file lets it follow no tables would go on by the list alone, so a
//! switch waits until it lapses.

use crate::coordination::messages::{
    AgentTableMessage, Digest, FederationRequest, FederationStatus, PastProposal, ProposalStatus,
    ReplicaTableMessage, SiteAdmission, SiteStatus,
};
use crate::coordination::policy_rollout::rollout::APART;
use crate::coordination::record::{Record, RosterEntry};
use crate::coordination::routing_table::document::Document;
use crate::coordination::routing_table::federation::{Command, Federation, Table, DECIDED};
use crate::coordination::routing_table::tables::Change;
use crate::coordination::sender_registry::{names, KnownSender, SenderRegistry};
use crate::Nanos;
use std::collections::BTreeSet;
use std::sync::Arc;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
/// A change that does not come into the record within this time may be proposed again; a word to
/// the federation that its record does not show is said again after it.
const AGAIN: Nanos = SECOND;
/// A pause lasts so long at the most: clients wait 300 ms at the door, and hang up after 400.
const PAUSE: Nanos = 150 * MS;
/// First and longest time between a pause that was taken back and the next one; it doubles.
const RETRY: (Nanos, Nanos) = (SECOND, 60 * SECOND);
/// A sender that cannot go by a table that was decided is asked again after this time: what its
/// list lacks may come.
const ASK_AGAIN: Nanos = 10 * SECOND;
/// The record's clock is up to a beat behind, and its word on the lease takes a moment to be
/// agreed.
pub const LATE: Nanos = SECOND;
/// Who leads hears within this time how the federation stands, or the site is in none.
const SOON: Nanos = SECOND;
/// A site that is in no federation any more goes on after this time.
const NONE: Nanos = 10 * SECOND;
/// Names of senders in a status, at the most, and of those that refuse.
const MOST_NAMES: (usize, usize) = (1_000, 100);
/// Longest time that a proposal may have, in seconds.
const MOST_WITHIN_S: u32 = 24 * 3_600;

/// The federation, as this site's voice knows it. What a voice that was cut off knows may be old.
#[derive(Clone, Debug, PartialEq)]
pub struct Known {
    /// Its name.
    pub name: Arc<str>,
    /// This site's number in it.
    pub me: u64,
    /// Its record, as far as it was agreed and heard here. While the lease runs it is no older than
    /// when that was given.
    pub record: Arc<Federation>,
    /// The site that leads it; 0 where none is known to.
    pub leader: u64,
    /// Sites that are heard, as far as this voice knows.
    pub heard: BTreeSet<u64>,
    /// Until when it counts this site in, on the clock of the caller; nothing where this voice was
    /// never told.
    pub lease: Option<Nanos>,
    /// Beyond its lease the site takes nothing new on; else it gives the promise up and goes on by
    /// its last table.
    pub holds: bool,
}

impl Known {
    /// The site's own name, where it is on the roster.
    fn own(&self) -> Option<&str> {
        self.record.sites.get(&self.me).map(|s| s.name.as_str())
    }

    /// How the site that leads is called.
    fn name_of(&self, site: u64) -> String {
        self.record
            .sites
            .get(&site)
            .map_or(String::new(), |s| s.name.clone())
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// Bring this into the site's record.
    Site(Change),
    /// Bring this into the federation's record. It may be lost; it is said again as long as that
    /// does not show it.
    Federation(Command),
}

/// What a leader does with tables.
#[derive(Clone, Debug)]
pub struct Switch {
    begun: Nanos,
    /// For how long nobody counted on the record's clock before this leader began; nothing where
    /// that is not known.
    uncounted: Option<Nanos>,
    ears: SenderRegistry,
    /// The change that is out: the turn it was based on, and when it was proposed.
    deciding: Option<(u64, Nanos)>,
    /// When this leader saw what stands begin: its place in the log.
    step: (u64, Nanos),
    /// Senders that a pause still waits for, as far as is known.
    waits: Option<BTreeSet<String>>,
    /// Those that the last pause was taken back for.
    silent: BTreeSet<String>,
    /// Until when the site is counted in: what the record says, counted since this leader began,
    /// and what the voice was told.
    recorded: Option<Option<Nanos>>,
    told: Option<Nanos>,
    /// When that was proposed to the record last.
    leased: Option<Nanos>,
    /// Whether the site holds beyond its lease; nothing where it is in no federation, as far as is
    /// known.
    holds: Option<bool>,
    /// Whether nobody may hear of an open door, as of the last look.
    shut: bool,
    /// What was said to the federation last, and when.
    said: Option<(Command, Nanos)>,
    /// What the last change left: whether the site takes on, and the table that all senders go by.
    stance: SiteAdmission,
    gone_by: u64,
    /// When a pause of rules was last seen.
    rules: Option<Nanos>,
    /// When those that refuse what was decided were asked last.
    asked: Nanos,
}

impl Switch {
    /// Begins with nothing. `led` is when this keeper saw another leader, or itself, in office
    /// last; nothing, where it never did.
    pub fn new(now: Nanos, led: Option<Nanos>) -> Switch {
        Switch {
            begun: now,
            uncounted: led.map(|at| now.saturating_sub(at)),
            ears: SenderRegistry::default(),
            deciding: None,
            step: (0, now),
            waits: None,
            silent: BTreeSet::new(),
            recorded: None,
            told: None,
            leased: None,
            holds: None,
            shut: true,
            said: None,
            stance: SiteAdmission::Open,
            gone_by: 0,
            rules: None,
            asked: now,
        }
    }

    /// A sender has a session on a line of its own, on which it has not said yet whether it follows
    /// tables.
    pub fn meet(&mut self, sender: &str, boot: u64) {
        self.ears.meet(sender, boot, None);
    }

    /// It reports. One that has not said by now what it has follows no tables.
    pub fn reports(&mut self, sender: &str) {
        self.ears.is_told(sender);
    }

    /// Its session is over.
    pub fn part(&mut self, sender: &str) {
        self.ears.part(sender);
    }

    /// A sender says something of tables.
    pub fn hear(
        &mut self,
        now: Nanos,
        sender: &str,
        word: &AgentTableMessage,
        record: &Record,
        out: &mut Vec<Out>,
    ) {
        let tables = &record.tables;
        match word {
            AgentTableMessage::StoredTables(stored) => self.ears.has(sender, stored),
            AgentTableMessage::TableChecked { number, refused } => {
                let Some(digest) = tables.text(*number).map(|t| t.digest) else {
                    return;
                };
                let kept = |number| tables.text(number).is_some();
                let why = self
                    .ears
                    .checked(sender, (*number, digest), refused.as_deref(), kept);
                if let Some(why) = why {
                    log::warn!(
                        "table {number}: {sender} cannot go by it: {}",
                        why.replace('\n', "; ")
                    );
                }
            }
            AgentTableMessage::TableApplied { turn } => {
                // Nobody can go by what is not yet.
                if *turn > tables.turn || !self.ears.goes_by(sender, *turn) {
                    return;
                }
                let Some(waits) = &mut self.waits else { return };
                if waits.remove(sender) && waits.is_empty() {
                    let pause = |switch: &mut Switch| switch.paused(now, record);
                    self.decide(now, record, pause, out);
                }
            }
        }
    }

    /// A change of tables was applied, or was void.
    pub fn applied(&mut self, now: Nanos, index: u64, change: &Change, record: &Record) {
        let tables = &record.tables;
        self.deciding = self.deciding.filter(|(base, _)| *base >= tables.turn);
        if tables.at != index || matches!(change, Change::Lease { .. }) {
            return;
        }
        (self.step, self.waits) = ((index, now), None);
        let (turn, number) = (tables.turn, tables.register.number);
        let next = tables.next.as_ref().map_or(number, |t| t.number);
        match change {
            Change::Offer { table } => log::info!("table {}: offered", table.number),
            Change::Accept { number } => log::info!("table {number}: accepted here"),
            Change::Drop { number } => log::info!("table {number}: ended nowhere"),
            Change::Decide { table } => {
                (self.silent, self.asked) = (BTreeSet::new(), now);
                log::info!("table {}: to be switched to", table.number);
            }
            Change::Pause => {
                self.waits = Some(self.unheard(record).into_iter().cloned().collect());
                log::info!("table {next}: paused by turn {turn}");
            }
            Change::Commit => {
                self.silent.clear();
                log::info!("table {number}: in force by turn {turn}");
            }
            Change::TakeBack { silent } => {
                log::warn!("table {next}: taken back by turn {turn}: {silent} silent");
            }
            Change::Lease { .. } => {}
            Change::Hold => log::warn!("lease of the federation is over: nothing new is taken on"),
            Change::GoOn => {}
        }
        if self.stance == SiteAdmission::LeaseExpired
            && tables.register.stance != SiteAdmission::LeaseExpired
        {
            log::info!("lease of the federation runs again");
        }
        self.stance = tables.register.stance;
    }

    /// Time has passed, or the federation is known to stand otherwise.
    pub fn tick(&mut self, now: Nanos, record: &Record, known: Option<&Known>, out: &mut Vec<Out>) {
        // Whom a pause waits for is counted anew: some may have joined or lapsed.
        self.waits = None;
        self.stance = record.tables.register.stance;
        if record.policies.zones.values().any(|r| r.paused) {
            self.rules = Some(now);
        }
        if record.tables.register.stance != SiteAdmission::Paused && now >= self.asked + ASK_AGAIN {
            self.asked = now;
            self.ears.forgive(record.tables.register.number);
            record
                .tables
                .next
                .iter()
                .for_each(|next| self.ears.forgive(next.number));
        }
        self.lease(now, record, known, out);
        self.decide(now, record, |switch| switch.next(now, record, known), out);
        self.tell(now, record, known, out);
    }

    /// Until when the site may count itself in.
    fn counted(&self) -> Option<Nanos> {
        self.recorded.flatten().max(self.told)
    }

    /// Whether the site may go by a table: its lease runs, or it gives the promise up, or has been
    /// in no federation for long enough.
    fn may(&self, now: Nanos) -> bool {
        let runs = self.counted().is_some_and(|until| now < until);
        match self.holds {
            Some(holds) => runs || !holds,
            None => now >= self.begun + NONE,
        }
    }

    /// Whether this voice itself was told that the site is counted in: then what it knows is no
    /// older than that.
    fn is_told(&self, now: Nanos) -> bool {
        self.told.is_some_and(|until| now < until)
    }

    /// Why the site can have no part in its federation: it goes by what that never knew.
    fn stranger(&self, now: Nanos, record: &Record, known: &Known) -> Option<String> {
        let (tables, federation) = (&record.tables, &known.record);
        let has = tables
            .next
            .as_ref()
            .map_or(tables.register.number, |t| t.number);
        (self.is_told(now) && has > federation.given).then(|| {
            let given = federation.given;
            format!("it goes by table {has}, and its federation has come to {given}: its record is that of another one")
        })
    }

    /// Whether senders are to hear of no open door and have no lease renewed: the site has to be
    /// held, and the record does not say so yet.
    pub fn bars(&self, record: &Record) -> bool {
        self.shut && record.tables.register.stance != SiteAdmission::LeaseExpired
    }

    /// Looks at the lease, and writes down what is left of it.
    fn lease(&mut self, now: Nanos, record: &Record, known: Option<&Known>, out: &mut Vec<Out>) {
        let tables = &record.tables;
        if self.recorded.is_none() {
            let left = tables
                .lease_ms
                .saturating_sub(record.clock_ms)
                .saturating_mul(MS);
            let left = self.uncounted.and_then(|gap| left.checked_sub(gap + LATE));
            self.recorded = Some(left.map(|left| self.begun + left));
        }
        self.told = self.told.max(known.and_then(|k| k.lease));
        self.holds = known.map(|k| k.holds);
        self.shut = match known {
            Some(known) => {
                // Beside the table that was decided last only the one before it may be in use.
                let (number, federation) = (tables.register.number, &known.record);
                let behind = number < federation.table.number && number != federation.before.number;
                let behind = behind || self.stranger(now, record, known).is_some();
                known.holds && (behind || !self.may(now))
            }
            // A site that was in one hears soon how that stands, or is in none any more.
            None => (tables.lease_ms > 0 || tables.turn > 0) && now < self.begun + SOON,
        };
        let left = self.told.unwrap_or(0).saturating_sub(now) / MS;
        let stands = tables.lease_ms.saturating_sub(record.clock_ms);
        let is_out = self.leased.is_some_and(|at| now < at + AGAIN);
        // Written when half of it has passed, and for no less than a second more.
        if !is_out && stands < left / 2 {
            let until_ms = record
                .clock_ms
                .saturating_add(left.saturating_sub(LATE / MS));
            if until_ms >= tables.lease_ms.saturating_add(1_000) {
                self.leased = Some(now);
                out.push(Out::Site(Change::Lease { until_ms }));
            }
        }
    }

    /// One change at a time.
    fn decide(
        &mut self,
        now: Nanos,
        record: &Record,
        next: impl FnOnce(&mut Switch) -> Option<Change>,
        out: &mut Vec<Out>,
    ) {
        let tables = &record.tables;
        let turn = tables.turn;
        self.deciding = self
            .deciding
            .filter(|(base, at)| *base == turn && now < at + AGAIN);
        if self.deciding.is_some() {
            return;
        }
        if self.step.0 != tables.at {
            // It began under another leader, who may have waited long.
            (self.step, self.waits) = ((tables.at, self.begun), None);
        }
        if let Some(change) = next(self) {
            self.deciding = Some((turn, now));
            out.push(Out::Site(change));
        }
    }

    fn next(&mut self, now: Nanos, record: &Record, known: Option<&Known>) -> Option<Change> {
        let tables = &record.tables;
        let stance = tables.register.stance;
        if known.is_some() && self.shut && stance != SiteAdmission::LeaseExpired {
            return Some(Change::Hold);
        }
        if stance == SiteAdmission::Paused {
            return self.paused(now, record);
        }
        if let Some(change) = known.and_then(|known| self.follow(record, known)) {
            return Some(change);
        }
        // One that holds catches up with what this voice itself hears of, and goes on as a site of
        // the roster.
        let runs = known.is_none_or(|k| !k.holds || self.is_told(now) && k.own().is_some());
        if !self.may(now) || stance == SiteAdmission::LeaseExpired && !runs {
            return None;
        }
        let Some(next) = &tables.next else {
            let caught_up =
                known.is_none_or(|k| !k.holds || tables.register.number == k.record.table.number);
            return (stance == SiteAdmission::LeaseExpired && caught_up).then_some(Change::GoOn);
        };
        let silent = self
            .unheard(record)
            .into_iter()
            .any(|name| self.silent.contains(name));
        let rest = (RETRY.0 << tables.tries.saturating_sub(1).min(10)).min(RETRY.1);
        let rested = tables.tries == 0 || now >= self.step.1 + rest;
        let apart = self.rules.is_none_or(|at| now >= at + APART);
        let ready = self.unstored(record, next).is_empty();
        (ready && !silent && rested && apart).then_some(Change::Pause)
    }

    /// A pause goes on to its end or is taken back.
    fn paused(&mut self, now: Nanos, record: &Record) -> Option<Change> {
        let over = now >= self.step.1 + PAUSE;
        if !over && self.waits.as_ref().is_some_and(|waits| !waits.is_empty()) {
            return None;
        }
        let mut late = self.unheard(record);
        late.extend(
            record
                .tables
                .next
                .iter()
                .flat_map(|next| self.unstored(record, next)),
        );
        late.sort();
        late.dedup();
        if late.is_empty() && self.may(now) {
            return Some(Change::Commit);
        }
        let silent = if late.is_empty() {
            "the federation is".into()
        } else {
            names(&late)
        };
        let late: BTreeSet<String> = late.into_iter().cloned().collect();
        if over {
            self.silent = late;
            return Some(Change::TakeBack { silent });
        }
        self.waits = Some(late);
        None
    }

    /// What the site's record lacks of the federation's.
    fn follow(&self, record: &Record, known: &Known) -> Option<Change> {
        let (tables, federation) = (&record.tables, &known.record);
        let decided = &federation.table;
        let has = tables
            .next
            .as_ref()
            .map_or(tables.register.number, |t| t.number);
        if decided.number > has {
            return Some(Change::Decide {
                table: decided.clone(),
            });
        }
        if let Some(offered) = &tables.offered {
            let number = offered.table.number;
            let runs = federation
                .proposal
                .as_ref()
                .is_some_and(|p| p.table.number == number);
            // What an earlier record does not know yet is not gone.
            if !runs && federation.given >= number {
                return Some(Change::Drop { number });
            }
            let all = || {
                let mut live = self.ears.live(record, |_| true);
                live.all(|(.., ear)| ear.is_some_and(|e| e.has(number, Some(offered.table.digest))))
            };
            if runs && !offered.accepted && self.refusal(record, number).is_none() && all() {
                return Some(Change::Accept { number });
            }
        }
        let proposal = federation
            .proposal
            .as_ref()
            .filter(|_| tables.next.is_none())?;
        let newer = tables
            .offered
            .as_ref()
            .map_or(tables.register.number, |o| o.table.number);
        (proposal.table.number > newer).then(|| Change::Offer {
            table: proposal.table.clone(),
        })
    }

    /// Says to the federation what its record does not show yet.
    fn tell(&mut self, now: Nanos, record: &Record, known: Option<&Known>, out: &mut Vec<Out>) {
        let Some(known) = known else { return };
        let (tables, site) = (&record.tables, known.me);
        let strange = self.stranger(now, record, known);
        let Some(own) = known.record.sites.get(&site) else {
            return;
        };
        let asked = known.record.proposal.as_ref().zip(tables.offered.as_ref());
        let asked = asked.filter(|(p, o)| p.table.number == o.table.number);
        let command = if let Some((proposal, why)) = known.record.proposal.as_ref().zip(strange) {
            Some(Command::Refuse {
                site,
                number: proposal.table.number,
                why,
            })
        } else if let Some((proposal, offered)) = asked {
            let number = offered.table.number;
            match self.refusal(record, number) {
                Some(why) => Some(Command::Refuse { site, number, why }),
                None if offered.accepted && !proposal.accepted.contains(&site) => {
                    Some(Command::Accept { site, number })
                }
                None => None,
            }
        } else {
            let number = tables.register.number;
            let late =
                number == known.record.table.number && own.uses != number && tables.next.is_none();
            let unheard = self
                .unheard(record)
                .into_iter()
                .filter(|name| !self.refuses(name, number));
            (late && unheard.count() == 0).then_some(Command::Switched { site, number })
        };
        let Some(command) = command else { return };
        let same = |said: &(Command, Nanos)| kind(&said.0) == kind(&command);
        let first = !self.said.as_ref().is_some_and(same);
        if !first && self.said.as_ref().is_some_and(|(_, at)| now < at + AGAIN) {
            return;
        }
        match &command {
            Command::Refuse { number, why, .. } if first => {
                log::warn!("table {number}: refused: {}", why.replace('\n', "; "));
            }
            Command::Switched { number, .. } if self.gone_by != *number => {
                self.gone_by = *number;
                log::info!("table {number}: all senders go by it");
            }
            _ => {}
        }
        self.said = Some((command.clone(), now));
        out.push(Out::Federation(command));
    }

    /// What a sender is to be told: the register where it has not said that it goes by it, and
    /// tables that it lacks, while `offers` last.
    pub fn say(
        &mut self,
        now: Nanos,
        sender: &str,
        record: &Record,
        offers: &mut usize,
        say: &mut dyn FnMut(ReplicaTableMessage),
    ) {
        let tables = &record.tables;
        if !self.ears.of(sender).is_some_and(KnownSender::follows) {
            return;
        }
        let register = tables.register;
        let shut = self.shut && register.stance == SiteAdmission::Open;
        if !shut && self.ears.is_due(now, sender, register.turn, register.turn) {
            let (turn, number) = (register.turn, register.number);
            say(ReplicaTableMessage::ApplyTable {
                turn,
                number,
                admission: register.stance,
            });
        }
        let offered = tables.offered.as_ref().map(|o| &o.table);
        for table in [Some(&tables.table), tables.next.as_ref(), offered]
            .into_iter()
            .flatten()
        {
            if table.number > 0
                && self
                    .ears
                    .lacks(now, sender, table.number, &table.digest, offers)
            {
                let Table {
                    number,
                    digest,
                    text,
                } = table.clone();
                say(ReplicaTableMessage::OfferTable {
                    number,
                    digest,
                    text,
                });
            }
        }
        self.ears
            .forget(sender, |number| tables.text(number).is_some());
    }

    /// Live senders that have not said that they go by the register.
    fn unheard<'a>(&'a self, record: &'a Record) -> Vec<&'a String> {
        let turn = record.tables.register.turn;
        self.ears.unheard(record, |_| true, |_| turn)
    }

    /// Those that have not said that they have a table that was decided, and do not refuse it.
    fn unstored<'a>(&'a self, record: &'a Record, table: &Table) -> Vec<&'a String> {
        let needs = |_: &RosterEntry| (table.number, Some(table.digest));
        let mut late = self.ears.unstored(record, |_| true, needs);
        late.retain(|name| !self.refuses(name, table.number));
        late
    }

    fn refuses(&self, sender: &str, number: u64) -> bool {
        self.ears
            .of(sender)
            .is_some_and(|ear| ear.refuses(number).is_some())
    }

    /// Why live senders cannot go by a table, the first of them.
    fn refusal(&self, record: &Record, number: u64) -> Option<String> {
        self.ears.live(record, |_| true).find_map(|(name, _, ear)| {
            let ear = ear?;
            if ear.is_deaf() {
                return Some(format!(
                    "{name}: its fleet file has no table [table], so it follows none"
                ));
            }
            ear.refuses(number).map(|why| format!("{name}: {why}"))
        })
    }

    /// What a person wants: a command for the federation's record, or how things are already. Who
    /// joins or leaves the roster is not decided here.
    ///
    /// # Errors
    /// Why not.
    pub fn order(
        &self,
        word: &FederationRequest,
        record: &Record,
        known: Option<&Known>,
    ) -> Result<Option<Command>, String> {
        let known = known.ok_or("this site is in no federation")?;
        let federation = &known.record;
        match word {
            FederationRequest::ProposeTable { text, within_s } => {
                let by = known
                    .own()
                    .ok_or("this site is not on the roster of its federation")?
                    .to_string();
                let lines = |faults: Vec<_>| {
                    faults
                        .iter()
                        .map(|f| format!("table: {f}"))
                        .collect::<Vec<_>>()
                };
                let document = Document::parse(text).map_err(|faults| lines(faults).join("\n"))?;
                let digest = document.digest();
                if !(1..=MOST_WITHIN_S).contains(within_s) {
                    return Err(format!("{within_s} s are not from 1 to {MOST_WITHIN_S}"));
                }
                if federation
                    .proposal
                    .as_ref()
                    .is_some_and(|p| p.by.0 == by && p.table.digest == digest)
                {
                    return Ok(None);
                }
                federation.may_propose(text)?;
                let deaf = self
                    .ears
                    .live(record, |_| true)
                    .filter(|(.., ear)| ear.is_some_and(KnownSender::is_deaf));
                let deaf: Vec<&String> = deaf.map(|(name, ..)| name).collect();
                if !deaf.is_empty() {
                    let told = names(&deaf);
                    return Err(format!(
                        "{told}: a fleet file without a table [table], so no table is followed there"
                    ));
                }
                // The record's version grows with each beat: no two proposals of this site have
                // one, and it outlasts this leader.
                let key = record.version << 32 | u64::from(crc32fast::hash(&digest));
                let within_ms = u64::from(*within_s) * 1_000;
                Ok(Some(Command::Propose {
                    by,
                    key,
                    text: text.clone(),
                    digest,
                    within_ms,
                }))
            }
            FederationRequest::AbortProposal { why } => {
                let proposal = federation.proposal.as_ref().ok_or("no table is proposed")?;
                let word = "a person's word";
                let why = if why.is_empty() {
                    word.into()
                } else {
                    format!("{word}: {why}")
                };
                Ok(Some(Command::Abort {
                    number: proposal.table.number,
                    why,
                }))
            }
            FederationRequest::Status
            | FederationRequest::TableHistory
            | FederationRequest::TableText { .. }
            | FederationRequest::RemoveSite { .. }
            | FederationRequest::AddSite { .. } => Err("that is not the office's to do".into()),
        }
    }

    /// Whether the federation's record shows what a person wanted; an error, where that has ended
    /// otherwise.
    pub fn shows(command: &Command, known: &Known) -> Option<Result<u64, String>> {
        let federation = &known.record;
        let done = match command {
            Command::Propose { by, key, .. } => {
                let by = (by.clone(), *key);
                if let Some(past) = federation
                    .past
                    .iter()
                    .find(|p| p.by == by && p.end != DECIDED)
                {
                    return Some(Err(format!("table {}: {}", past.number, past.end)));
                }
                federation.knows(&by.0, *key)
            }
            Command::Abort { number, .. } => {
                match federation.past.iter().find(|p| p.number == *number) {
                    Some(past) if past.end == DECIDED => {
                        return Some(Err(format!("table {number} was decided before")))
                    }
                    past => past.is_some(),
                }
            }
            _ => true,
        };
        done.then_some(Ok(federation.version))
    }

    /// How things stand.
    pub fn status(&self, now: Nanos, record: &Record, known: &Known) -> FederationStatus {
        let (tables, federation) = (&record.tables, &known.record);
        let sites = federation.sites.iter().map(|(number, site)| SiteStatus {
            site: site.name.clone(),
            number: *number,
            uses: site.uses,
            accepted: federation
                .proposal
                .as_ref()
                .is_some_and(|p| p.accepted.contains(number)),
            heard: known.heard.contains(number),
        });
        let proposal = federation.proposal.as_ref().map(|p| ProposalStatus {
            number: p.table.number,
            digest: p.table.digest,
            by: p.by.0.clone(),
            left_ms: p.until_ms.saturating_sub(federation.clock_ms),
            waits: federation.waits(p).map(|s| s.name.clone()).collect(),
        });
        let own = Some(&tables.table).filter(|t| t.number > 0);
        let asked = tables
            .offered
            .as_ref()
            .map(|o| &o.table)
            .or(tables.next.as_ref())
            .or(own);
        let (what, waits) = match (asked, tables.register.stance) {
            (Some(t), SiteAdmission::Open) if !self.unstored(record, t).is_empty() => (
                format!("to check table {} and write it down", t.number),
                self.unstored(record, t),
            ),
            (_, SiteAdmission::Open) if tables.next.is_some() && tables.tries > 0 => {
                let tries = tables.tries;
                (
                    format!("paused and taken back {tries} times, is tried again; to answer"),
                    self.unheard(record),
                )
            }
            (_, SiteAdmission::Open) => (
                format!("to go by table {}", tables.register.number),
                self.unheard(record),
            ),
            (_, SiteAdmission::Paused) => (
                "to take nothing on for a moment".into(),
                self.unheard(record),
            ),
            (_, SiteAdmission::LeaseExpired) => (
                "to take nothing on, as the lease of the federation is over".into(),
                self.unheard(record),
            ),
        };
        let what = if waits.is_empty() {
            String::new()
        } else {
            what
        };
        let what = self.stranger(now, record, known).unwrap_or(what);
        let refused = asked.into_iter().flat_map(|t| {
            self.ears
                .live(record, |_| true)
                .filter_map(|(name, _, ear)| {
                    let why = ear?.refuses(t.number).cloned();
                    let deaf = || {
                        ear?.is_deaf()
                            .then(|| "its fleet file has no table [table]".to_string())
                    };
                    Some((name.clone(), why.or_else(deaf)?))
                })
        });
        FederationStatus {
            federation: known.name.to_string(),
            site: known.name_of(known.me),
            leader: known.name_of(known.leader),
            lease_ms: self.counted().unwrap_or(0).saturating_sub(now) / MS,
            holds: known.holds,
            table: (tables.register.number, tables.table.digest),
            sites: sites.collect(),
            proposal,
            here: (
                what,
                waits.into_iter().take(MOST_NAMES.0).cloned().collect(),
            ),
            refused: refused.take(MOST_NAMES.1).collect(),
        }
    }

    /// Proposals that are over, the newest first.
    pub fn history(known: &Known) -> Vec<PastProposal> {
        let past = known.record.past.iter().rev().map(|p| PastProposal {
            number: p.number,
            digest: p.digest,
            by: p.by.0.clone(),
            end: p.end.clone(),
            took_ms: p.ended_ms.saturating_sub(p.since_ms),
        });
        past.collect()
    }

    /// A table that the federation's record has the text of, or the site's.
    pub fn text(
        number: u64,
        record: &Record,
        known: Option<&Known>,
    ) -> Option<(u64, Digest, String)> {
        let table = known
            .and_then(|k| k.record.text(number))
            .or_else(|| record.tables.text(number))?;
        Some((table.number, table.digest, table.text.clone()))
    }
}

/// What a word to the federation says, but for reasons: they change while it is the same word.
fn kind(command: &Command) -> (u8, u64) {
    match command {
        Command::Accept { number, .. } => (0, *number),
        Command::Refuse { number, .. } => (1, *number),
        Command::Switched { number, .. } => (2, *number),
        _ => (3, 0),
    }
}
