//! One register of the coordinated record, as this sender follows it: the policy register of its
//! zone, or the routing table register of its site.
//!
//! Owns the state that says which document messages are accepted under, which documents are stored,
//! and which reply the leader is owed. It does no I/O and has no clock: [`super::session`] passes
//! messages in, supplies the time until which the lease is trusted, and carries out the
//! [`RegisterEffect`]s.
//!
//! **Turns only grow.** A rule of an earlier turn than the latest received one is ignored; a
//! repeated rule is answered again.
//!
//! **Fencing.** After the lease has expired, all received state is in doubt: the record may have
//! changed without this sender. The sender accepts no message until it has received the register on
//! a connection that was opened after the expiry. While a lease lasts, the record cannot change
//! without this sender's reply, even if its connection is lost and another one is opened.
//!
//! **Replies are true when sent.** [`RegisterReply::Applied`] is sent after the sender has applied
//! the rule of that turn: it holds a lease, and the document under which it accepts messages is
//! stored.

use crate::coordination::messages::{Digest, ReplicaTableMessage, SiteAdmission};
use crate::Nanos;
use std::collections::BTreeMap;

/// Maximum number of documents that are checked at once. The leader repeats offers beyond it.
const MAX_CONCURRENT_CHECKS: usize = 4;

/// The kinds of documents that a register names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentKind {
    /// Policies.
    Policy,
    /// Routing tables.
    Table,
}

impl DocumentKind {
    /// Returns the name of the kind in the singular.
    pub fn name(self) -> &'static str {
        match self {
            DocumentKind::Policy => "policy",
            DocumentKind::Table => "table",
        }
    }

    /// Returns the phrase for accepting messages under such a document, for log lines.
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
    /// Answer to an offer.
    Checked {
        /// Number of the offered document.
        number: u64,
        /// Reason for which this sender cannot use the document; `None` if it is checked and
        /// stored.
        refused: Option<String>,
    },
    /// The sender has applied the rule of this turn.
    Applied {
        /// Turn of the rule.
        turn: u64,
    },
}

/// Behavior of a sender that cannot know whether the record has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
pub enum OnLeaseLoss {
    /// It accepts no new messages, and finishes those that it has accepted.
    #[serde(rename = "hold")]
    StopAccepting,
    /// It accepts messages under the document that it applied last. Two senders may then apply two
    /// different documents.
    #[serde(rename = "last")]
    KeepLast,
}

/// Whether one register lets this sender accept messages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionGate {
    /// The sender may accept messages under a document.
    Open {
        /// Number of the document; 0 for the sender's own settings or its endpoint list alone.
        number: u64,
        /// End of the permission; `None` where no lease bounds it.
        until: Option<Nanos>,
    },
    /// No sender may accept messages, for the short time between two documents.
    Paused,
    /// This sender may not accept messages: it has no lease, or the document is not stored.
    Fenced,
}

/// Actions for the caller, to be carried out in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum RegisterEffect {
    /// Check a document and store it, and pass the result to [`Register::on_checked`].
    CheckDocument {
        /// Number of the document.
        number: u64,
        /// Digest of the document.
        digest: Digest,
        /// Text of the document.
        text: String,
    },
    /// Open or close admission accordingly from now on.
    SetGate(AdmissionGate),
    /// Send this reply on the connection.
    Reply(RegisterReply),
    /// Log this line for the operators.
    Log(String),
}

/// Content of the register as last received from the leader.
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
    /// Digests of the stored documents, by number.
    stored: BTreeMap<u64, Digest>,
    /// Digests of the documents that are being checked, by number.
    checking: BTreeMap<u64, Digest>,
    /// Rule of the highest received turn.
    rule: Option<Rule>,
    /// Whether the rule was received since the lease last expired.
    is_rule_current: bool,
    /// Whether the lease was held at the last check.
    held_lease: bool,
    /// Document under which messages were last accepted, also by an earlier process.
    last_applied: u64,
    /// Gate that was last returned as an effect.
    gate: Option<AdmissionGate>,
    /// Turn for which [`RegisterReply::Applied`] is owed.
    unanswered_turn: Option<u64>,
}

impl Register {
    /// Creates the register of a sender that starts, with its stored documents and the number of
    /// the document that it applied last.
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

    /// Returns the kind of its documents.
    pub fn kind(&self) -> DocumentKind {
        self.kind
    }

    /// Returns the numbers and digests of the stored documents.
    pub fn stored(&self) -> Vec<(u64, Digest)> {
        self.stored
            .iter()
            .map(|(number, digest)| (*number, *digest))
            .collect()
    }

    /// Returns the numbers of the documents that may be needed at the same time: the one in the
    /// record, and the one that this sender applied last.
    pub fn needed_documents(&self) -> [u64; 2] {
        [self.rule.map_or(0, |r| r.number), self.last_applied]
    }

    /// Handles a message from the leader. [`Register::update_gate`] then returns the effects of a
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
        // A turn has a single rule: the first one received is kept.
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
        // A document that is already being checked is answered once; the leader repeats offers that
        // exceed the limit.
        if self.checking.len() < MAX_CONCURRENT_CHECKS && !self.checking.contains_key(&number) {
            self.checking.insert(number, digest);
            effects.push(RegisterEffect::CheckDocument {
                number,
                digest,
                text,
            });
        }
    }

    /// Whether the lease was held at the last check.
    pub fn held_lease(&self) -> bool {
        self.held_lease
    }

    /// Records whether the lease is held now. Returns true where it has expired since the last
    /// check: the received rule no longer counts, and messages that still arrive on the same
    /// connection must not count either.
    pub fn note_lease(&mut self, holds_lease: bool) -> bool {
        let has_expired = self.held_lease && !holds_lease;
        self.held_lease = holds_lease;
        if has_expired {
            self.distrust_rule();
        }
        has_expired
    }

    /// Records that a connection is opened while no lease is held: only messages received on it
    /// count.
    pub fn on_connecting_without_lease(&mut self) {
        self.distrust_rule();
    }

    fn distrust_rule(&mut self) {
        self.is_rule_current = false;
        self.unanswered_turn = None;
    }

    /// Records that these documents are no longer stored.
    pub fn forget(&mut self, numbers: &[u64]) {
        for number in numbers {
            self.stored.remove(number);
        }
    }

    /// Handles the result of a check: the document is stored, or cannot be used.
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

    /// Returns the effects of the rule and the lease: the gate where it has changed, then the reply
    /// that is owed. `lease_until` is the end of the trusted lease, if there is one.
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
        // The reply follows the gate so that it is true when sent. Where the gate is fenced because
        // the document is missing, this sender has not applied the rule yet.
        let goes_by_rule = rule.is_some_and(|r| {
            r.admission == SiteAdmission::LeaseExpired || gate != AdmissionGate::Fenced
        });
        if goes_by_rule {
            if let Some(turn) = self.unanswered_turn.take() {
                effects.push(RegisterEffect::Reply(RegisterReply::Applied { turn }));
            }
        }
    }

    /// Returns the gate for the rule, if that may be trusted, and the lease.
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

    /// Returns the log line for a change of the gate; `None` where only the lease was renewed.
    fn describe_change(&self, gate: AdmissionGate, rule: Option<Rule>) -> Option<String> {
        let by = match rule {
            None => "without an answer from a keeper".to_string(),
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
                format!("takes nothing on {by}: the site's lease in its federation has expired")
            }
            Some(rule) => format!(
                "takes nothing on {by}: {name} {} is not stored here yet",
                rule.number
            ),
            None => format!("takes nothing on: it may have missed a change of {name}"),
        }
    }
}
