//! Policies and routing tables: what the registers ask for, and whether messages may be accepted.
//!
//! Owns the registers that this sender follows ([`crate::agent::register`]) and the requirement
//! that they make together.
//!
//! Invariant: the requirement is given as an effect before the replies that say what this sender
//! goes by, so that a reply is true when it is sent.

use super::{SessionEffect, SessionState};
use crate::agent::register::{
    AdmissionGate, DocumentKind, Register, RegisterEffect, RegisterReply,
};
use crate::coordination::messages::{
    AgentTableMessage, AgentToReplica, Digest, ReplicaTableMessage,
};
use crate::Nanos;

/// What all registers that the sender follows require of its admission control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionRequirement {
    /// Messages may be accepted.
    Open {
        /// Under this policy, where the sender follows policies.
        policy: Option<u64>,
        /// By this routing table, where the sender follows tables.
        table: Option<u64>,
        /// Until then (ns); nothing where no lease bounds it.
        until: Option<Nanos>,
    },
    /// No sender accepts any, for a moment.
    Paused,
    /// This sender accepts none.
    Fenced,
}

impl AdmissionRequirement {
    /// What two registers require together: each may shut out messages, and the earlier bound
    /// counts. Nothing where there is neither.
    fn combine(policies: Option<AdmissionGate>, tables: Option<AdmissionGate>) -> Option<Self> {
        let gates: Vec<AdmissionGate> = policies.into_iter().chain(tables).collect();
        if gates.is_empty() {
            return None;
        }
        if gates.contains(&AdmissionGate::Fenced) {
            return Some(AdmissionRequirement::Fenced);
        }
        if gates.contains(&AdmissionGate::Paused) {
            return Some(AdmissionRequirement::Paused);
        }
        Some(AdmissionRequirement::Open {
            policy: policies.and_then(document_number),
            table: tables.and_then(document_number),
            until: gates.into_iter().filter_map(bound).min(),
        })
    }
}

fn document_number(gate: AdmissionGate) -> Option<u64> {
    match gate {
        AdmissionGate::Open { number, .. } => Some(number),
        AdmissionGate::Paused | AdmissionGate::Fenced => None,
    }
}

fn bound(gate: AdmissionGate) -> Option<Nanos> {
    match gate {
        AdmissionGate::Open { until, .. } => until,
        AdmissionGate::Paused | AdmissionGate::Fenced => None,
    }
}

/// A register, with the gate that it gave last.
#[derive(Debug)]
struct Followed {
    register: Register,
    gate: Option<AdmissionGate>,
}

/// The registers that the sender follows.
#[derive(Debug, Default)]
pub(super) struct Documents {
    policies: Option<Followed>,
    tables: Option<Followed>,
    /// What was last given as an effect.
    requirement: Option<AdmissionRequirement>,
}

impl Documents {
    /// Follows one more register, in place of the one of its kind.
    pub(super) fn follow(&mut self, register: Register) {
        let followed = match register.kind() {
            DocumentKind::Policy => &mut self.policies,
            DocumentKind::Table => &mut self.tables,
        };
        *followed = Some(Followed {
            register,
            gate: None,
        });
    }

    fn get_mut(&mut self, kind: DocumentKind) -> Option<&mut Followed> {
        match kind {
            DocumentKind::Policy => self.policies.as_mut(),
            DocumentKind::Table => self.tables.as_mut(),
        }
    }

    fn all(&self) -> impl Iterator<Item = &Followed> {
        self.policies.iter().chain(&self.tables)
    }

    fn all_mut(&mut self) -> impl Iterator<Item = &mut Followed> {
        self.policies.iter_mut().chain(&mut self.tables)
    }

    /// Whether the lease was held when a register was last told of it.
    pub(super) fn any_held_lease(&self) -> bool {
        self.all().any(|followed| followed.register.held_lease())
    }

    /// Tells every register whether the lease is held. True where one saw it lapse.
    pub(super) fn note_lease(&mut self, holds_lease: bool) -> bool {
        let mut has_lapsed = false;
        for followed in self.all_mut() {
            has_lapsed |= followed.register.note_lease(holds_lease);
        }
        has_lapsed
    }

    pub(super) fn on_connecting_without_lease(&mut self) {
        for followed in self.all_mut() {
            followed.register.on_connecting_without_lease();
        }
    }

    /// Policies that are stored, by number; nothing where the sender follows none.
    pub(super) fn stored_policies(&self) -> Option<Vec<(u64, Digest)>> {
        let followed = self.policies.as_ref()?;
        Some(followed.register.stored())
    }

    /// The same of routing tables.
    pub(super) fn stored_tables(&self) -> Option<Vec<(u64, Digest)>> {
        let followed = self.tables.as_ref()?;
        Some(followed.register.stored())
    }

    fn gate(followed: &Option<Followed>) -> Option<AdmissionGate> {
        followed.as_ref().and_then(|followed| followed.gate)
    }

    /// The requirement, where it is another one than was given last.
    fn changed_requirement(&mut self) -> Option<AdmissionRequirement> {
        let gates = (Self::gate(&self.policies), Self::gate(&self.tables));
        let requirement = AdmissionRequirement::combine(gates.0, gates.1);
        if self.requirement == requirement {
            return None;
        }
        self.requirement = requirement;
        requirement
    }
}

impl SessionState {
    /// Documents that may be needed at once, by number; 0 for none.
    pub fn needed_documents(&self, kind: DocumentKind) -> [u64; 2] {
        let followed = match kind {
            DocumentKind::Policy => &self.documents.policies,
            DocumentKind::Table => &self.documents.tables,
        };
        followed
            .as_ref()
            .map_or([0, 0], |followed| followed.register.needed_documents())
    }

    /// These documents are not stored any more.
    pub fn forget_documents(&mut self, kind: DocumentKind, numbers: &[u64]) {
        if let Some(followed) = self.documents.get_mut(kind) {
            followed.register.forget(numbers);
        }
    }

    /// Takes in the result of [`SessionEffect::CheckDocument`]: the document is stored, or cannot
    /// be used, for this reason.
    pub fn on_document_checked(
        &mut self,
        now: Nanos,
        kind: DocumentKind,
        number: u64,
        result: Result<(), String>,
        effects: &mut Vec<SessionEffect>,
    ) {
        self.fence_if_lease_lapsed(now, effects);
        let mut from_register = Vec::new();
        if let Some(followed) = self.documents.get_mut(kind) {
            followed
                .register
                .on_checked(number, result, &mut from_register);
        }
        self.forward(kind, from_register, effects);
        self.update_admission(now, effects);
    }

    /// Takes in a message for a register.
    pub(super) fn on_register_message(
        &mut self,
        kind: DocumentKind,
        message: ReplicaTableMessage,
        effects: &mut Vec<SessionEffect>,
    ) {
        let mut from_register = Vec::new();
        if let Some(followed) = self.documents.get_mut(kind) {
            followed.register.on_message(message, &mut from_register);
        }
        self.forward(kind, from_register, effects);
    }

    /// Gives what the registers say by the lease as it is: what they require of admission first,
    /// then their replies.
    pub(super) fn update_admission(&mut self, now: Nanos, effects: &mut Vec<SessionEffect>) {
        let lease_until = self.lease.until;
        let mut replies = Vec::new();
        for kind in [DocumentKind::Policy, DocumentKind::Table] {
            let Some(followed) = self.documents.get_mut(kind) else {
                continue;
            };
            let mut from_register = Vec::new();
            followed
                .register
                .update_gate(now, lease_until, &mut from_register);
            let mut immediate = Vec::new();
            for effect in from_register {
                match effect {
                    RegisterEffect::SetGate(gate) => followed.gate = Some(gate),
                    RegisterEffect::Reply(_) => replies.push((kind, effect)),
                    RegisterEffect::Log(_) | RegisterEffect::CheckDocument { .. } => {
                        immediate.push(effect);
                    }
                }
            }
            self.forward(kind, immediate, effects);
        }
        if let Some(requirement) = self.documents.changed_requirement() {
            effects.push(SessionEffect::SetAdmission(requirement));
        }
        for (kind, reply) in replies {
            self.forward(kind, vec![reply], effects);
        }
    }

    /// Passes on what a register gave. A reply is sent where a connection is open; what is not
    /// received is asked for again. The gates count together, in
    /// [`SessionState::update_admission`].
    fn forward(
        &self,
        kind: DocumentKind,
        from_register: Vec<RegisterEffect>,
        effects: &mut Vec<SessionEffect>,
    ) {
        for effect in from_register {
            match effect {
                RegisterEffect::CheckDocument {
                    number,
                    digest,
                    text,
                } => effects.push(SessionEffect::CheckDocument {
                    kind,
                    number,
                    digest,
                    text,
                }),
                RegisterEffect::Reply(reply) if self.connection.is_open() => {
                    effects.push(SessionEffect::Send(reply_message(kind, reply)));
                }
                RegisterEffect::Log(line) => effects.push(SessionEffect::Log(line)),
                RegisterEffect::Reply(_) | RegisterEffect::SetGate(_) => {}
            }
        }
    }
}

/// A register's reply, as the leader reads it.
fn reply_message(kind: DocumentKind, reply: RegisterReply) -> AgentToReplica {
    match (kind, reply) {
        (DocumentKind::Policy, RegisterReply::Checked { number, refused }) => {
            AgentToReplica::PolicyChecked { number, refused }
        }
        (DocumentKind::Policy, RegisterReply::Applied { turn }) => {
            AgentToReplica::PolicyApplied { turn }
        }
        (DocumentKind::Table, RegisterReply::Checked { number, refused }) => {
            AgentToReplica::RoutingTable(AgentTableMessage::TableChecked { number, refused })
        }
        (DocumentKind::Table, RegisterReply::Applied { turn }) => {
            AgentToReplica::RoutingTable(AgentTableMessage::TableApplied { turn })
        }
    }
}
