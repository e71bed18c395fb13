//! Carries out the decisions of the session: opens connections, sets evacuations and leases, and
//! opens or closes admission.
//!
//! Invariant: a policy and a routing table are activated in the same step that opens admission
//! under them, so that no message is accepted under another one.

use super::documents::DocumentCheck;
use super::Agent;
use crate::agent::register::DocumentKind;
use crate::agent::session::{AdmissionRequirement, SessionEffect, ZoneEvacuation};
use crate::delivery::admission::AdmissionState;
use crate::delivery::evacuation::{AttemptLease, EvacuationOrder};
use std::rc::Rc;
use std::time::Instant;

impl Agent {
    /// Carries out effects in their order. Does nothing after the agent has left.
    pub(super) fn perform(self: &Rc<Self>, effects: Vec<SessionEffect>) {
        if self.has_left.get() {
            return;
        }
        for effect in effects {
            self.perform_one(effect);
        }
    }

    fn perform_one(self: &Rc<Self>, effect: SessionEffect) {
        match effect {
            SessionEffect::Connect {
                connection,
                replica,
            } => self.connect(connection, replica),
            SessionEffect::Disconnect => *self.outgoing.borrow_mut() = None,
            SessionEffect::Send(message) => {
                if let Some(outgoing) = &*self.outgoing.borrow() {
                    // A connection that accepts no messages is silent, and is given up for its
                    // silence.
                    let _ = outgoing.try_send(message);
                }
            }
            SessionEffect::SetEvacuations(evacuations) => self.set_evacuations(evacuations),
            SessionEffect::GrantLease {
                zone,
                dest,
                epoch,
                attempts,
                until,
            } => {
                log::debug!(
                    "fleet: lent {attempts} calls of epoch {epoch} to destination {dest} of zone \
                     {zone}"
                );
                let until = self.instant(until);
                let lease = AttemptLease { attempts, until };
                let driver = &self.parts.delivery.driver;
                driver.grant_lease(&zone, dest, epoch, lease);
            }
            SessionEffect::CheckDocument {
                kind,
                number,
                digest,
                text,
            } => self.documents.queue(DocumentCheck {
                kind,
                number,
                digest,
                text,
            }),
            SessionEffect::SetAdmission(requirement) => self.set_admission(requirement),
            SessionEffect::Log(line) => log::info!("fleet: {line}"),
        }
    }

    fn set_evacuations(&self, evacuations: Vec<ZoneEvacuation>) {
        let orders = evacuations
            .into_iter()
            .map(|evacuation| EvacuationOrder {
                zone: evacuation.zone,
                dest: evacuation.dest,
                epoch: evacuation.epoch,
                until: evacuation.until.map(|until| self.instant(until)),
            })
            .collect();
        self.parts.delivery.driver.set_evacuations(orders);
    }

    fn set_admission(&self, requirement: AdmissionRequirement) {
        let state = match requirement {
            AdmissionRequirement::Paused => AdmissionState::Paused,
            AdmissionRequirement::Fenced => AdmissionState::Fenced,
            AdmissionRequirement::Open {
                policy,
                table,
                until,
            } => {
                if self.apply_documents(policy, table) {
                    let until = until.map(|until| self.instant(until));
                    AdmissionState::Open { until }
                } else {
                    AdmissionState::Fenced
                }
            }
        };
        self.parts.delivery.admission.set(state);
    }

    /// Activates the given policy and the given routing table. Returns false where one of them is
    /// unknown.
    fn apply_documents(&self, policy: Option<u64>, table: Option<u64>) -> bool {
        let begun = Instant::now();
        let documents = [(DocumentKind::Policy, policy), (DocumentKind::Table, table)];
        for (kind, number) in documents {
            let Some(number) = number else { continue };
            if !self.apply_document(kind, number, begun) {
                return false;
            }
        }
        true
    }

    fn apply_document(&self, kind: DocumentKind, number: u64, begun: Instant) -> bool {
        let delivery = &self.parts.delivery;
        let current = match kind {
            DocumentKind::Policy => delivery.policies.current().number,
            DocumentKind::Table => delivery.routing_tables.current_number(),
        };
        if number != current {
            let held = delivery.driver.held_count();
            let is_known = match kind {
                DocumentKind::Policy => delivery.activate_policy(number),
                DocumentKind::Table => delivery.activate_routing_table(number),
            };
            let name = kind.name();
            if !is_known {
                log::error!("fleet: {name} {number} is not known; no message is accepted");
                return false;
            }
            let took = begun.elapsed();
            log::info!("fleet: goes by {name} {number} with {held} messages held, after {took:?}");
        }
        self.documents.set_applied(kind, number);
        true
    }
}
