//! Policies and routing tables: the requests of the registers, and whether messages may be
//! accepted.
//!
//! Owns the registers that this sender follows ([`crate::agent::register`]) and their combined
//! requirement.
//!
//! Invariant: the requirement is returned as an effect before the replies that say what this sender
//! has applied, so that a reply is true when it is sent.

use super::{SessionEffect, SessionState};
use crate::agent::register::{
    AdmissionGate, DocumentKind, Register, RegisterEffect, RegisterReply,
};
use crate::coordination::messages::{
    AgentTableMessage, AgentToReplica, Digest, ReplicaTableMessage,
};
use crate::Nanos;

/// Combined requirement of all followed registers for the sender's admission control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionRequirement {
    /// Messages may be accepted.
    Open {
        /// Policy of accepted messages, where the sender follows policies.
        policy: Option<u64>,
        /// Routing table of accepted messages, where the sender follows tables.
        table: Option<u64>,
        /// End of the permission (ns); `None` where no lease bounds it.
        until: Option<Nanos>,
    },
    /// No sender accepts messages, for a short time.
    Paused,
    /// This sender accepts no messages.
    Fenced,
}

impl AdmissionRequirement {
    /// Combines the gates of two registers: each of them may close admission, and the earlier end
    /// counts. `None` where there is no register.
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
            until: gates.into_iter().filter_map(permission_end).min(),
        })
    }
}

fn document_number(gate: AdmissionGate) -> Option<u64> {
    match gate {
        AdmissionGate::Open { number, .. } => Some(number),
        AdmissionGate::Paused | AdmissionGate::Fenced => None,
    }
}

fn permission_end(gate: AdmissionGate) -> Option<Nanos> {
    match gate {
        AdmissionGate::Open { until, .. } => until,
        AdmissionGate::Paused | AdmissionGate::Fenced => None,
    }
}

/// A register with the gate that it returned last.
#[derive(Debug)]
struct FollowedRegister {
    register: Register,
    gate: Option<AdmissionGate>,
}

/// The registers that the sender follows.
#[derive(Debug, Default)]
pub(super) struct Documents {
    policies: Option<FollowedRegister>,
    tables: Option<FollowedRegister>,
    /// Requirement that was last returned as an effect.
    requirement: Option<AdmissionRequirement>,
}

impl Documents {
    /// Adds a register; it replaces one of the same kind.
    pub(super) fn follow(&mut self, register: Register) {
        let followed = match register.kind() {
            DocumentKind::Policy => &mut self.policies,
            DocumentKind::Table => &mut self.tables,
        };
        *followed = Some(FollowedRegister {
            register,
            gate: None,
        });
    }

    fn get_mut(&mut self, kind: DocumentKind) -> Option<&mut FollowedRegister> {
        match kind {
            DocumentKind::Policy => self.policies.as_mut(),
            DocumentKind::Table => self.tables.as_mut(),
        }
    }

    fn all(&self) -> impl Iterator<Item = &FollowedRegister> {
        self.policies.iter().chain(&self.tables)
    }

    fn all_mut(&mut self) -> impl Iterator<Item = &mut FollowedRegister> {
        self.policies.iter_mut().chain(&mut self.tables)
    }

    /// Whether a register held the lease at its last check.
    pub(super) fn any_held_lease(&self) -> bool {
        self.all().any(|followed| followed.register.held_lease())
    }

    /// Passes to every register whether the lease is held. Returns true where one of them saw it
    /// expire.
    pub(super) fn note_lease(&mut self, holds_lease: bool) -> bool {
        let mut has_expired = false;
        for followed in self.all_mut() {
            has_expired |= followed.register.note_lease(holds_lease);
        }
        has_expired
    }

    pub(super) fn on_connecting_without_lease(&mut self) {
        for followed in self.all_mut() {
            followed.register.on_connecting_without_lease();
        }
    }

    /// Returns the stored policies; `None` where the sender follows none.
    pub(super) fn stored_policies(&self) -> Option<Vec<(u64, Digest)>> {
        let followed = self.policies.as_ref()?;
        Some(followed.register.stored())
    }

    /// Returns the stored routing tables; `None` where the sender follows none.
    pub(super) fn stored_tables(&self) -> Option<Vec<(u64, Digest)>> {
        let followed = self.tables.as_ref()?;
        Some(followed.register.stored())
    }

    fn gate(followed: &Option<FollowedRegister>) -> Option<AdmissionGate> {
        followed.as_ref().and_then(|followed| followed.gate)
    }

    /// Returns the requirement if it differs from the last returned one.
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
    /// Returns the numbers of the documents that may be needed at the same time; 0 for none.
    pub fn needed_documents(&self, kind: DocumentKind) -> [u64; 2] {
        let followed = match kind {
            DocumentKind::Policy => &self.documents.policies,
            DocumentKind::Table => &self.documents.tables,
        };
        followed
            .as_ref()
            .map_or([0, 0], |followed| followed.register.needed_documents())
    }

    /// Records that these documents are no longer stored.
    pub fn forget_documents(&mut self, kind: DocumentKind, numbers: &[u64]) {
        if let Some(followed) = self.documents.get_mut(kind) {
            followed.register.forget(numbers);
        }
    }

    /// Handles the result of [`SessionEffect::CheckDocument`]: the document is stored, or cannot be
    /// used for the given reason.
    pub fn on_document_checked(
        &mut self,
        now: Nanos,
        kind: DocumentKind,
        number: u64,
        result: Result<(), String>,
        effects: &mut Vec<SessionEffect>,
    ) {
        self.fence_if_lease_expired(now, effects);
        let mut from_register = Vec::new();
        if let Some(followed) = self.documents.get_mut(kind) {
            followed
                .register
                .on_checked(number, result, &mut from_register);
        }
        self.forward(kind, from_register, effects);
        self.update_admission(now, effects);
    }

    /// Handles a message for a register.
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

    /// Updates the registers by the current lease. Their combined requirement for admission comes
    /// first, then their replies.
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

    /// Forwards the effects of a register. A reply is sent where a connection is open; the leader
    /// asks again for replies that it does not receive. The gates are combined in
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

/// Converts a register's reply to the message for the leader.
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
