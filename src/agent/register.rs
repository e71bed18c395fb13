//! One register of the coordinated record, as this sender follows it: the policy register of its
//! zone, or the routing table register of its site.
//!
//! Owns which document messages are accepted under, which documents are stored, and what is owed to
//! the leader as a reply. It does no I/O and has no clock: [`super::session`] passes messages in,
//! says until when the lease is believed, and carries the [`RegisterEffect`]s out.
//!
//! **Turns only grow.** A rule of an earlier turn than one that was received is ignored; the same
//! one again is answered again.
//!
//! **Fencing.** A lease that lapsed makes everything that was received doubtful: the record may
//! have gone on without this sender. It accepts nothing before the register was received on a
//! connection that was opened since. While a lease lasts the record cannot go on without this
//! sender's reply, also where its connection is lost and another one is opened.
//!
//! **Replies are true when sent.** [`RegisterReply::Applied`] is sent once the sender goes by that
//! turn: it holds a lease, and the document that it accepts messages under is stored.

use crate::coordination::messages::{Digest, ReplicaTableMessage, SiteAdmission};
use crate::Nanos;
use std::collections::BTreeMap;

/// Documents that are checked at once; what is offered beside them is offered again later.
const MAX_CHECKS: usize = 4;

/// The kinds of documents that a register names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentKind {
    /// Policies.
    Policy,
    /// Routing tables.
    Table,
}

impl DocumentKind {
    /// What one of them is called.
    pub fn name(self) -> &'static str {
        match self {
            DocumentKind::Policy => "policy",
            DocumentKind::Table => "table",
        }
    }

    /// How a log line says that messages are accepted with one.
    fn preposition_and_name(self) -> &'static str {
        match self {
            DocumentKind::Policy => "under policy",
            DocumentKind::Table => "by table",
        }
    }
}

/// A reply to the leader.
#[derive(Clone, Debug, PartialEq)]
pub enum RegisterReply {
    /// Answers an offer.
    Checked {
        /// The number that was offered.
        number: u64,
        /// Why this sender cannot use the document; nothing where it is checked and stored.
        refused: Option<String>,
    },
    /// The sender goes by the rule of this turn.
    Applied {
        /// The turn.
        turn: u64,
    },
}

/// What a sender does while it cannot know whether the record has gone on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
pub enum OnLeaseLoss {
    /// It accepts no new messages, and finishes those that it has accepted.
    #[serde(rename = "hold")]
    StopAccepting,
    /// It accepts messages under the document that it last went by. Two senders may then go by two
    /// documents.
    #[serde(rename = "last")]
    KeepLast,
}

/// Whether one register lets this sender accept messages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionGate {
    /// It may, under a document.
    Open {
        /// Number of the document; 0 for the sender's own settings, or its list alone.
        number: u64,
        /// Until when; nothing where no lease bounds it.
        until: Option<Nanos>,
    },
    /// No sender may, for the moment between two documents.
    Paused,
    /// This sender may not: it has no lease, or lacks the document.
    Fenced,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum RegisterEffect {
    /// Check a document and store it; [`Register::on_checked`] is told the result.
    CheckDocument {
        /// Its number.
        number: u64,
        /// Its digest.
        digest: Digest,
        /// Its text.
        text: String,
    },
    /// Accept messages, or not, as this says from now on.
    SetGate(AdmissionGate),
    /// Send this on the connection.
    Reply(RegisterReply),
    /// Log this for the operators.
    Log(String),
}

/// What the register says, as the leader last told it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Rule {
    turn: u64,
    number: u64,
    admission: SiteAdmission,
}

/// A sender's view of one register.
#[derive(Debug)]
pub struct Register {
    kind: DocumentKind,
    on_lease_loss: OnLeaseLoss,
    /// Digests of the documents that are stored, by number.
    stored: BTreeMap<u64, Digest>,
    /// Digests of the documents that are being checked, by number.
    checking: BTreeMap<u64, Digest>,
    /// The rule of the highest turn that was received.
    rule: Option<Rule>,
    /// The rule was received since the lease last lapsed.
    is_rule_current: bool,
    /// Whether the lease was held when it was last looked at.
    held_lease: bool,
    /// The document that messages were last accepted under, also by an earlier process.
    last_applied: u64,
    /// The gate that was last given as an effect.
    gate: Option<AdmissionGate>,
    /// The turn for which [`RegisterReply::Applied`] is owed.
    unanswered_turn: Option<u64>,
}

impl Register {
    /// The register of a sender that starts, with what it has stored and the number of the document
    /// that it last went by.
    pub fn new(
        kind: DocumentKind,
        on_lease_loss: OnLeaseLoss,
        stored: BTreeMap<u64, Digest>,
        last_applied: u64,
    ) -> Register {
        let last_applied = if stored.contains_key(&last_applied) {
            last_applied
        } else {
            0
        };
        Register {
            kind,
            on_lease_loss,
            stored,
            checking: BTreeMap::new(),
            rule: None,
            is_rule_current: false,
            held_lease: false,
            last_applied,
            gate: None,
            unanswered_turn: None,
        }
    }

    /// The kind of its documents.
    pub fn kind(&self) -> DocumentKind {
        self.kind
    }

    /// Numbers and digests of the documents that are stored.
    pub fn stored(&self) -> Vec<(u64, Digest)> {
        self.stored
            .iter()
            .map(|(number, digest)| (*number, *digest))
            .collect()
    }

    /// Numbers of the documents that may be needed at once: the one that the record names, and the
    /// one that this sender last went by.
    pub fn needed_documents(&self) -> [u64; 2] {
        [self.rule.map_or(0, |r| r.number), self.last_applied]
    }

    /// Takes in a message from the leader. [`Register::update_gate`] gives what follows from a
    /// rule.
    pub fn on_message(&mut self, message: ReplicaTableMessage, effects: &mut Vec<RegisterEffect>) {
        match message {
            ReplicaTableMessage::OfferTable {
                number,
                digest,
                text,
            } => self.on_offer(number, digest, text, effects),
            ReplicaTableMessage::ApplyTable {
                turn,
                number,
                admission,
            } => self.on_rule(Rule {
                turn,
                number,
                admission,
            }),
        }
    }

    fn on_rule(&mut self, rule: Rule) {
        if self.rule.is_some_and(|known| rule.turn < known.turn) {
            return;
        }
        // One turn has one meaning: what was received first stands.
        if self.rule.is_none_or(|known| rule.turn > known.turn) {
            self.rule = Some(rule);
        }
        self.is_rule_current = true;
        self.unanswered_turn = Some(rule.turn);
    }

    fn on_offer(
        &mut self,
        number: u64,
        digest: Digest,
        text: String,
        effects: &mut Vec<RegisterEffect>,
    ) {
        if self.stored.get(&number) == Some(&digest) {
            let refused = None;
            let reply = RegisterReply::Checked { number, refused };
            effects.push(RegisterEffect::Reply(reply));
            return;
        }
        if number == 0 {
            let refused = Some(format!("{} 0 has no text", self.kind.name()));
            let reply = RegisterReply::Checked { number, refused };
            effects.push(RegisterEffect::Reply(reply));
            return;
        }
        // One that is being checked is answered once; what there is no room for is offered again.
        if self.checking.len() < MAX_CHECKS && !self.checking.contains_key(&number) {
            self.checking.insert(number, digest);
            effects.push(RegisterEffect::CheckDocument {
                number,
                digest,
                text,
            });
        }
    }

    /// Whether the lease was held when it was last looked at.
    pub fn held_lease(&self) -> bool {
        self.held_lease
    }

    /// Notes whether the lease is held now. True where it has lapsed since the last look: nothing
    /// that was received counts any more, and what still comes on that connection must not count
    /// either.
    pub fn note_lease(&mut self, holds_lease: bool) -> bool {
        let has_lapsed = self.held_lease && !holds_lease;
        self.held_lease = holds_lease;
        if has_lapsed {
            self.distrust_rule();
        }
        has_lapsed
    }

    /// A connection is opened while no lease is held: only what is received on it counts.
    pub fn on_connecting_without_lease(&mut self) {
        self.distrust_rule();
    }

    fn distrust_rule(&mut self) {
        self.is_rule_current = false;
        self.unanswered_turn = None;
    }

    /// These documents are not stored any more.
    pub fn forget(&mut self, numbers: &[u64]) {
        for number in numbers {
            self.stored.remove(number);
        }
    }

    /// Takes in the result of a check: the document is stored, or cannot be used.
    pub fn on_checked(
        &mut self,
        number: u64,
        result: Result<(), String>,
        effects: &mut Vec<RegisterEffect>,
    ) {
        let name = self.kind.name();
        let Some(digest) = self.checking.remove(&number) else {
            return;
        };
        let refused = match result {
            Ok(()) => {
                self.stored.insert(number, digest);
                let line = format!("{name} {number} is checked and written down");
                effects.push(RegisterEffect::Log(line));
                None
            }
            Err(reason) => {
                let line = format!("{name} {number} refused: {}", reason.replace('\n', "; "));
                effects.push(RegisterEffect::Log(line));
                Some(reason)
            }
        };
        let reply = RegisterReply::Checked { number, refused };
        effects.push(RegisterEffect::Reply(reply));
    }

    /// Gives what follows from the rule and the lease: the gate where it has changed, then the
    /// reply that is owed. The lease is believed until then, if there is one.
    pub fn update_gate(
        &mut self,
        now: Nanos,
        lease_until: Option<Nanos>,
        effects: &mut Vec<RegisterEffect>,
    ) {
        let lease_until = lease_until.filter(|until| now < *until);
        self.held_lease |= lease_until.is_some();
        let rule = self
            .rule
            .filter(|_| self.is_rule_current && lease_until.is_some());
        let gate = self.gate_by(rule, lease_until);
        if let (AdmissionGate::Open { number, .. }, Some(_)) = (gate, rule) {
            self.last_applied = number;
        }
        if self.gate != Some(gate) {
            if let Some(line) = self.describe_change(gate, rule) {
                effects.push(RegisterEffect::Log(line));
            }
            self.gate = Some(gate);
            effects.push(RegisterEffect::SetGate(gate));
        }
        // Sent after it is so. Where the gate is fenced for want of the document, this sender does
        // not go by the rule yet.
        let goes_by_rule = rule.is_some_and(|r| {
            r.admission == SiteAdmission::LeaseExpired || gate != AdmissionGate::Fenced
        });
        if goes_by_rule {
            if let Some(turn) = self.unanswered_turn.take() {
                effects.push(RegisterEffect::Reply(RegisterReply::Applied { turn }));
            }
        }
    }

    /// The gate that follows from the rule, where that may be trusted, and the lease.
    fn gate_by(&self, rule: Option<Rule>, lease_until: Option<Nanos>) -> AdmissionGate {
        let Some(rule) = rule else {
            return match self.on_lease_loss {
                OnLeaseLoss::StopAccepting => AdmissionGate::Fenced,
                OnLeaseLoss::KeepLast => AdmissionGate::Open {
                    number: self.last_applied,
                    until: None,
                },
            };
        };
        let has_document = rule.number == 0 || self.stored.contains_key(&rule.number);
        match rule.admission {
            SiteAdmission::Paused => AdmissionGate::Paused,
            SiteAdmission::LeaseExpired => AdmissionGate::Fenced,
            SiteAdmission::Open if !has_document => AdmissionGate::Fenced,
            SiteAdmission::Open => AdmissionGate::Open {
                number: rule.number,
                until: match self.on_lease_loss {
                    OnLeaseLoss::StopAccepting => lease_until,
                    OnLeaseLoss::KeepLast => None,
                },
            },
        }
    }

    /// The log line for a change of the gate; none where only the lease was renewed.
    fn describe_change(&self, gate: AdmissionGate, rule: Option<Rule>) -> Option<String> {
        let by = match rule {
            None => "without a keeper's word".to_string(),
            Some(rule) => format!("by turn {}", rule.turn),
        };
        match gate {
            AdmissionGate::Open { number, .. } => {
                let is_same_document = matches!(
                    self.gate,
                    Some(AdmissionGate::Open { number: previous, .. }) if previous == number
                );
                let how = self.kind.preposition_and_name();
                (!is_same_document).then(|| format!("takes on {how} {number} {by}"))
            }
            AdmissionGate::Paused => Some(format!("takes nothing on for a moment {by}")),
            AdmissionGate::Fenced => Some(self.describe_fencing(rule, &by)),
        }
    }

    fn describe_fencing(&self, rule: Option<Rule>, by: &str) -> String {
        let name = self.kind.name();
        match rule {
            Some(rule) if rule.admission == SiteAdmission::LeaseExpired => {
                format!("takes nothing on {by}: the site's lease in its federation is over")
            }
            Some(rule) => format!(
                "takes nothing on {by}: {name} {} is not here yet",
                rule.number
            ),
            None => format!("takes nothing on: it may have missed a change of {name}"),
        }
    }
}
