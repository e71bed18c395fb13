//! Policies and routing tables in a sender's state folder: their files, the digests over which
//! senders and replicas agree, and the note of what was gone by last.

use crate::support::{from_hex, to_hex};
use futures_lite::future::block_on;
use raildeal::agent::document_store::{
    DocumentStore, PolicyValidationContext, StoredDocument, TableValidationContext,
};
use raildeal::config::{platform_settings, Door};
use raildeal::coordination::messages::Digest;
use raildeal::coordination::policy_rollout::document::Document as PolicyDocument;
use raildeal::coordination::routing_table::document::Document as TableDocument;
use raildeal::delivery::policies::PolicySet;
use raildeal::delivery::routing_tables::RoutingTables;
use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use tempfile::TempDir;

const POLICY_TEXT: &str = "[limits]\nslots = 12\n[class.event]\npromise_ms = 3000\n";
const POLICY_PRINT: &str = "d73e93740fea8dbd3f7b944d8ad6855cfa0fb11883d59bf9a40b03563c200257";
const POLICY_FILE: &str = "\
raildeal policy 1 4 d73e93740fea8dbd3f7b944d8ad6855cfa0fb11883d59bf9a40b03563c200257
[limits]
slots = 12
[class.event]
promise_ms = 3000
";
const EMPTY_POLICY_PRINT: &str = "716ee05c4854b1d7952c6a504e987d9410c861f1764bf02249dd2a92ef60c90c";

const TABLE_TEXT: &str = "[site.north]\nzones = [\"a\"]\n[[route]]\ntiers = [{ north = 1 }]\n";
const TABLE_PRINT: &str = "a8f332c8cd7c236eb7798b7419d8c5ecc61928ed54d590dde6db58bd673533d5";
const TABLE_FILE: &str = "\
raildeal table 1 7 a8f332c8cd7c236eb7798b7419d8c5ecc61928ed54d590dde6db58bd673533d5
[site.north]
zones = [\"a\"]
[[route]]
tiers = [{ north = 1 }]
";

fn print(hex: &str) -> Digest {
    from_hex(hex).try_into().expect("32 bytes")
}

fn ground() -> PolicyValidationContext {
    let settings = serde_json::json!({
        "categories": [{ "name": "event", "promise": 2_000_000_000_u64, "deadline": 16_000_000_000_u64 }],
        "familyInfo": { "maxCalls": 10 },
        "limits": { "openCap": 100, "maxAttempts": 3 },
    });
    let deployment = platform_settings::from_json(&settings).expect("settings");
    PolicyValidationContext {
        settings: deployment.settings,
        classes: deployment.classes,
        admission: Door::default(),
        client_slots: 50,
        max_calls: 100,
        disk_bytes: 1_000_000,
    }
}

fn list() -> TableValidationContext {
    TableValidationContext {
        classes: vec!["event".into()],
        tenants: 0,
        listed: None,
    }
}

fn policies(state: &Path) -> DocumentStore<PolicySet> {
    let ground = Arc::new(ground());
    let (settings, classes) = (&ground.settings, &ground.classes);
    let own = Door::default().policy(0, settings, classes, ground.client_slots, None);
    let now = ground.clone();
    let now = Box::new(move || now.clone());
    DocumentStore::open(state, &*ground, now, PolicySet::new(own)).expect("opened")
}

fn tables(state: &Path) -> DocumentStore<RoutingTables> {
    let now = Box::new(|| Arc::new(list()));
    DocumentStore::open(state, &list(), now, Rc::new(RoutingTables::default())).expect("opened")
}

/// Stores a document and notes that it is gone by.
fn store<K: StoredDocument>(shelf: &DocumentStore<K>, number: u64, hex: &str, text: &str) {
    let added = shelf.add(number, print(hex), text.into(), Vec::new());
    block_on(added).expect("stored");
    block_on(shelf.note_applied(number));
}

#[test]
fn digests_of_documents_are_as_pinned() {
    let policy = PolicyDocument::parse(POLICY_TEXT).expect("a policy");
    assert_eq!(to_hex(&policy.digest()), POLICY_PRINT);
    let table = TableDocument::parse(TABLE_TEXT).expect("a table");
    assert_eq!(to_hex(&table.digest()), TABLE_PRINT);
    let empty = PolicyDocument::parse("").expect("a policy that says nothing");
    assert_eq!(to_hex(&empty.digest()), EMPTY_POLICY_PRINT);
}

#[test]
fn files_of_documents_are_written_as_pinned() {
    let state = TempDir::new().expect("a folder");
    let read = |name: &str| fs::read_to_string(state.path().join(name)).expect("a file");
    store(&policies(state.path()), 4, POLICY_PRINT, POLICY_TEXT);
    assert_eq!(read("policies/4.policy"), POLICY_FILE);
    assert_eq!(read("policies/last"), "4\n");
    store(&tables(state.path()), 7, TABLE_PRINT, TABLE_TEXT);
    assert_eq!(read("tables/7.table"), TABLE_FILE);
    assert_eq!(read("tables/last"), "7\n");
}

#[test]
fn files_of_documents_are_read_as_pinned() {
    let state = TempDir::new().expect("a folder");
    let write = |name: &str, text| fs::write(state.path().join(name), text).expect("written");
    for folder in ["policies", "tables"] {
        fs::create_dir(state.path().join(folder)).expect("a folder");
    }
    write("policies/4.policy", POLICY_FILE);
    write("policies/last", "4\n");
    write("tables/7.table", TABLE_FILE);
    write("tables/last", "7\n");
    let policies = policies(state.path());
    let stored = BTreeMap::from([(4, print(POLICY_PRINT))]);
    assert_eq!((policies.stored(), policies.last_applied()), (stored, 4));
    let tables = tables(state.path());
    let stored = BTreeMap::from([(7, print(TABLE_PRINT))]);
    assert_eq!((tables.stored(), tables.last_applied()), (stored, 7));
}
