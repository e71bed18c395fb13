//! The agent's work on documents: checks and stores those that are offered, and notes which are
//! applied.
//!
//! Both are tasks of their own, one document at a time, as the stores' threads take their time. A
//! document that finds no room in the queue is offered again by the leader.

use super::{Agent, AgentParts};
use crate::agent::document_store::{DocumentStore, StoredDocument};
use crate::agent::register::DocumentKind;
use crate::coordination::messages::Digest;
use async_channel::{Receiver, Sender};
use std::cell::Cell;
use std::rc::Rc;

/// Documents that may wait to be checked.
const MAX_CHECKS: usize = 8;

/// A document that is to be checked and stored.
pub(super) struct DocumentCheck {
    pub(super) kind: DocumentKind,
    pub(super) number: u64,
    pub(super) digest: Digest,
    pub(super) text: String,
}

/// The numbers of the documents that were applied last, 0 for none.
#[derive(Clone, Copy)]
struct Applied {
    policy: u64,
    table: u64,
}

/// What is to be done with documents.
pub(super) struct DocumentWork {
    check_sender: Sender<DocumentCheck>,
    checks: Receiver<DocumentCheck>,
    applied: Cell<Applied>,
    /// Signals that another document is applied.
    applied_sender: Sender<()>,
    applied_signal: Receiver<()>,
}

impl DocumentWork {
    pub(super) fn new(parts: &AgentParts) -> DocumentWork {
        let (check_sender, checks) = async_channel::bounded(MAX_CHECKS);
        let (applied_sender, applied_signal) = async_channel::bounded(1);
        let policies = parts.policies.as_ref();
        let tables = parts.tables.as_ref();
        DocumentWork {
            check_sender,
            checks,
            applied: Cell::new(Applied {
                policy: policies.map_or(0, DocumentStore::last_applied),
                table: tables.map_or(0, DocumentStore::last_applied),
            }),
            applied_sender,
            applied_signal,
        }
    }

    /// Queues a check. One that finds no room is dropped, as the leader offers it again.
    pub(super) fn queue(&self, check: DocumentCheck) {
        let _ = self.check_sender.try_send(check);
    }

    /// A document is applied from now on; it is noted for a later process.
    pub(super) fn set_applied(&self, kind: DocumentKind, number: u64) {
        let previous = self.applied.get();
        let mut applied = previous;
        let (before, now) = match kind {
            DocumentKind::Policy => (previous.policy, &mut applied.policy),
            DocumentKind::Table => (previous.table, &mut applied.table),
        };
        *now = number;
        self.applied.set(applied);
        if before != number {
            // A signal that is waiting already will do.
            let _ = self.applied_sender.try_send(());
        }
    }
}

impl Agent {
    /// Starts the tasks, where there is a store.
    pub(super) fn start_document_tasks(self: &Rc<Self>) {
        if self.parts.policies.is_none() && self.parts.tables.is_none() {
            return;
        }
        let (checking, noting) = (self.clone(), self.clone());
        let executor = &self.parts.executor;
        executor
            .spawn(async move { checking.check_documents().await })
            .detach();
        executor
            .spawn(async move { noting.note_applied_documents().await })
            .detach();
    }

    async fn check_documents(self: Rc<Self>) {
        while let Ok(check) = self.documents.checks.recv().await {
            match check.kind {
                DocumentKind::Policy => self.check(self.parts.policies.as_ref(), check).await,
                DocumentKind::Table => self.check(self.parts.tables.as_ref(), check).await,
            }
        }
    }

    /// Checks and stores one document, and tells the session the result.
    async fn check<K: StoredDocument>(
        self: &Rc<Self>,
        store: Option<&DocumentStore<K>>,
        check: DocumentCheck,
    ) {
        let Some(store) = store else { return };
        let DocumentCheck {
            kind,
            number,
            digest,
            text,
        } = check;
        let needed = self.session.borrow().needed_documents(kind);
        let result = match store.make_room(number, needed) {
            Ok(forgotten) => {
                self.session.borrow_mut().forget_documents(kind, &forgotten);
                store.add(number, digest, text, forgotten).await
            }
            Err(e) => Err(e),
        };
        let result = result.map_err(|e| e.to_string());
        let now = self.now();
        let mut effects = Vec::new();
        self.session
            .borrow_mut()
            .on_document_checked(now, kind, number, result, &mut effects);
        self.perform(effects);
    }

    /// Notes on disk which documents are applied, whenever one has changed.
    async fn note_applied_documents(self: Rc<Self>) {
        let mut noted = self.documents.applied.get();
        while self.documents.applied_signal.recv().await.is_ok() {
            let applied = self.documents.applied.get();
            if let Some(store) = &self.parts.policies {
                if noted.policy != applied.policy {
                    store.note_applied(applied.policy).await;
                }
            }
            if let Some(store) = &self.parts.tables {
                if noted.table != applied.table {
                    store.note_applied(applied.table).await;
                }
            }
            noted = applied;
        }
    }
}
