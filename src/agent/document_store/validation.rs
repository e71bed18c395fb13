//! Validation of documents in this sender, and the owners of the validated ones: [`PolicySet`] for
//! policies, [`RoutingTables`] for routing tables.

use super::{DocumentError, StoredDocument};
use crate::config::Door;
use crate::coordination::messages::Digest;
use crate::coordination::policy_rollout::document as policy;
use crate::coordination::routing_table::document as table;
use crate::coordination::routing_table::federation::MAX_TEXT_BYTES as MAX_TABLE_TEXT_BYTES;
use crate::delivery::endpoint::ZoneCapacity;
use crate::delivery::policies::{self, Policy, PolicySet};
use crate::delivery::routing_tables::{self, RoutingTables};
use crate::delivery::script_hook::ScriptHook;
use crate::dispatch::routing::Routes;
use crate::Settings;

/// Minimum size of a message in the state folder, in bytes. A policy that allows more held messages
/// than fit at this size is rejected, unless the sender's own settings allow as many.
const MIN_MESSAGE_BYTES: u64 = 256;

impl StoredDocument for PolicySet {
    const FOLDER: &'static str = "policies";
    const NAME: &'static str = "policy";
    const MAX_DOCUMENTS: usize = policies::MAX_POLICIES;
    const MAX_TEXT_BYTES: usize = policy::MAX_TEXT_BYTES;
    type ValidationContext = PolicyValidationContext;
    type Validated = Policy;

    fn validate(
        context: &PolicyValidationContext,
        number: u64,
        digest: Digest,
        text: &str,
    ) -> Result<Policy, DocumentError> {
        context.validate(number, digest, text)
    }

    fn add(&self, _: u64, policy: Policy) -> bool {
        PolicySet::add(self, policy)
    }

    fn forget(&self, number: u64) -> bool {
        PolicySet::remove(self, number)
    }

    fn is_in_use(&self, number: u64) -> bool {
        PolicySet::is_in_use(self, number)
    }
}

impl StoredDocument for RoutingTables {
    const FOLDER: &'static str = "tables";
    const NAME: &'static str = "table";
    const MAX_DOCUMENTS: usize = routing_tables::MAX_TABLES;
    const MAX_TEXT_BYTES: usize = MAX_TABLE_TEXT_BYTES;
    type ValidationContext = TableValidationContext;
    type Validated = Routes;

    fn validate(
        context: &TableValidationContext,
        _: u64,
        digest: Digest,
        text: &str,
    ) -> Result<Routes, DocumentError> {
        context.validate(digest, text)
    }

    fn add(&self, number: u64, routes: Routes) -> bool {
        RoutingTables::add(self, number, routes)
    }

    fn forget(&self, number: u64) -> bool {
        RoutingTables::remove(self, number)
    }

    fn is_in_use(&self, number: u64) -> bool {
        number == self.current_number()
    }
}

/// Data that routing tables are validated against.
pub struct TableValidationContext {
    /// Names of the sender's classes.
    pub classes: Vec<String>,
    /// Number of tenants in the sender's settings.
    pub tenants: usize,
    /// Capacities in the endpoint list, by zone. `None` at the start: a table that was validated
    /// before and is active is not rejected because the list has changed.
    pub listed: Option<Vec<ZoneCapacity>>,
}

impl TableValidationContext {
    /// Validates a table for this sender.
    ///
    /// # Errors
    /// All reasons for which this sender cannot apply it.
    pub fn validate(&self, digest: Digest, text: &str) -> Result<Routes, DocumentError> {
        let document = table::Document::parse(text).map_err(faults)?;
        if document.digest() != digest {
            return Err(DocumentError::DigestMismatch);
        }
        let lacks = match &self.listed {
            Some(listed) => document.lacks(&self.classes, self.tenants, listed),
            None => Vec::new(),
        };
        if !lacks.is_empty() {
            return Err(DocumentError::Faults(lacks));
        }
        Ok(document.routes(&self.classes, self.tenants))
    }
}

/// The settings that policies override, and the limits of this machine.
pub struct PolicyValidationContext {
    /// The sender's own settings.
    pub settings: Settings,
    /// Names of the sender's classes.
    pub classes: Vec<String>,
    /// The sender's own admission control settings.
    pub admission: Door,
    /// Number of connection slots for clients.
    pub client_slots: usize,
    /// Maximum number of calls in flight, by the available file descriptors.
    pub max_calls: usize,
    /// Bytes of the state folder that are available for messages.
    pub disk_bytes: u64,
}

impl PolicyValidationContext {
    /// Validates a policy for this sender.
    ///
    /// # Errors
    /// All reasons for which this sender cannot apply it.
    pub fn validate(
        &self,
        number: u64,
        digest: Digest,
        text: &str,
    ) -> Result<Policy, DocumentError> {
        let document = policy::Document::parse(text).map_err(faults)?;
        if document.digest() != digest {
            return Err(DocumentError::DigestMismatch);
        }
        let (settings, admission) = document
            .merge_into(&self.settings, &self.classes, &self.admission)
            .map_err(faults)?;
        let mut exceeded = self.exceeded_bounds(&settings);
        let hook = match compile_hook(&document) {
            Ok(hook) => hook,
            Err(fault) => {
                exceeded.push(fault);
                None
            }
        };
        if !exceeded.is_empty() {
            return Err(DocumentError::Faults(exceeded));
        }
        Ok(admission.policy(number, &settings, &self.classes, self.client_slots, hook))
    }

    /// Returns the settings of a policy that exceed the limits of this machine.
    fn exceeded_bounds(&self, settings: &Settings) -> Vec<String> {
        let mut exceeded = Vec::new();
        let slots = settings.max_in_flight_calls as usize;
        if slots > self.max_calls {
            let calls = self.max_calls;
            exceeded.push(format!(
                "limits.slots: {slots} calls at once; there are descriptors for {calls} here"
            ));
        }
        let room = u64::from(settings.max_held_messages);
        let max_messages = self.disk_bytes / MIN_MESSAGE_BYTES;
        if room > max_messages && settings.max_held_messages > self.settings.max_held_messages {
            exceeded.push(format!(
                "limits.room: {room} messages; there is disk for {max_messages} of the smallest \
                 here"
            ));
        }
        exceeded
    }
}

/// Compiles a policy's own script, if it has one.
fn compile_hook(document: &policy::Document) -> Result<Option<ScriptHook>, String> {
    match document.hook.as_deref() {
        None | Some("") => Ok(None),
        Some(text) => ScriptHook::compile(text)
            .map(Some)
            .map_err(|e| format!("hook: {e}")),
    }
}

/// Converts the errors of a text, one line each.
fn faults<F: ToString>(faults: Vec<F>) -> DocumentError {
    DocumentError::Faults(faults.iter().map(ToString::to_string).collect())
}
