//! The agent's work on documents: checks and stores offered documents, and notes on disk which ones
//! are applied.
//!
//! Both are separate tasks that handle one document at a time, because the stores' threads may be
//! slow. The leader repeats the offer of a document that finds the queue full.

use super::{Agent, AgentParts};
use crate::agent::document_store::{DocumentStore, StoredDocument};
use crate::agent::register::DocumentKind;
use crate::coordination::messages::Digest;
use async_channel::{Receiver, Sender};
use std::cell::Cell;
use std::rc::Rc;

/// Maximum number of documents in the queue of checks.
const MAX_QUEUED_CHECKS: usize = 8;

/// A document to check and store.
pub(super) struct DocumentCheck {
    pub(super) kind: DocumentKind,
    pub(super) number: u64,
    pub(super) digest: Digest,
    pub(super) text: String,
}

/// Numbers of the documents that were applied last; 0 for none.
#[derive(Clone, Copy)]
struct Applied {
    policy: u64,
    table: u64,
}

/// Queues of the document tasks, and the applied documents.
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
        let (check_sender, checks) = async_channel::bounded(MAX_QUEUED_CHECKS);
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

    /// Queues a check. A check that finds the queue full is dropped, as the leader repeats the
    /// offer.
    pub(super) fn queue(&self, check: DocumentCheck) {
        let _ = self.check_sender.try_send(check);
    }

    /// Records that a document is applied from now on, and has it noted for a later process.
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
            // A signal that is already pending suffices.
            let _ = self.applied_sender.try_send(());
        }
    }
}

impl Agent {
    /// Starts the document tasks, where there is a store.
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

    /// Checks and stores one document, and passes the result to the session.
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

    /// Notes on disk which documents are applied, after each change.
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
