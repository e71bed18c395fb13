//! Every key that the platform or an operator may set, spelled out. Each is accepted and has an
//! effect: without it something else is read, or nothing. A key that nobody knows is skipped in
//! what the platform says, and named as a fault in what an operator says.

use raildeal::config::{platform_settings, Config};
use raildeal::{Decay, DedupScope, Effect, ListedRates, Settings};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::fmt::Debug;
use std::fs;
use std::path::Path;
use tempfile::NamedTempFile;

/// What reading a file came to, to be compared only.
type Read = Result<String, String>;

fn shown<T: Debug, E: Debug>(read: Result<T, E>) -> Read {
    match read {
        Ok(value) => Ok(format!("{value:?}")),
        Err(fault) => Err(format!("{fault:?}")),
    }
}

/// The keys of a value, each once, as `settings.categories.[].name`: items of a list of tables
/// are all alike, and a list of plain values is one key.
fn keys(value: &Value) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    collect(value, String::new(), &mut found);
    found
}

fn collect(value: &Value, path: String, found: &mut BTreeSet<String>) {
    let below = |name: &str| match path.as_str() {
        "" => name.to_string(),
        path => format!("{path}.{name}"),
    };
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                collect(field, below(name), found);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            for item in items {
                collect(item, below("[]"), found);
            }
        }
        _ => _ = found.insert(path),
    }
}

/// The table that holds the last part of a key, in the first item where lists are on the way.
fn holder<'a>(value: &'a mut Value, key: &str) -> &'a mut serde_json::Map<String, Value> {
    let mut at = value;
    let parents = key.rsplit_once('.').map_or("", |(parents, _)| parents);
    for part in parents.split('.').filter(|part| !part.is_empty()) {
        at = match part {
            "[]" => &mut at[0],
            name => &mut at[name],
        };
    }
    at.as_object_mut().expect("a table")
}

fn without(value: &Value, key: &str) -> Value {
    let mut value = value.clone();
    let last = key.rsplit('.').next().expect("a name");
    let removed = holder(&mut value, key).remove(last);
    assert!(removed.is_some(), "{key} is not set here");
    value
}

fn with_unknown(value: &Value, beside: &str) -> Value {
    let mut value = value.clone();
    holder(&mut value, beside).insert("nobody_knows_it".into(), json!(1));
    value
}

/// The tables that hold these keys, each by one of its keys.
fn one_key_a_table<'a>(keys: &[&'a str]) -> Vec<&'a str> {
    let mut seen = BTreeSet::new();
    let parent = |key: &'a str| key.rsplit_once('.').map_or("", |(parents, _)| parents);
    let first = |key: &&'a str| seen.insert(parent(key));
    keys.iter().copied().filter(first).collect()
}

/// The value sets just these keys, it is accepted, and each of them has an effect.
fn assert_keys(value: &Value, expected: &[&str], read: impl Fn(&Value) -> Read) {
    let spelled: BTreeSet<String> = expected.iter().map(ToString::to_string).collect();
    assert_eq!(keys(value), spelled, "the keys that the test sets");
    let all = read(value);
    assert!(all.is_ok(), "{all:?}");
    for key in expected {
        assert_ne!(read(&without(value, key)), all, "{key} has no effect");
    }
}

/// A key that nobody knows, in any of the tables, is a fault that names it.
fn assert_unknown_is_named(value: &Value, expected: &[&str], read: impl Fn(&Value) -> Read) {
    for key in one_key_a_table(expected) {
        let fault = read(&with_unknown(value, key)).expect_err(key);
        assert!(fault.contains("nobody_knows_it"), "beside {key}: {fault}");
    }
}

fn toml_of(value: &Value) -> String {
    let table = toml::Table::try_from(value).expect("a table");
    toml::to_string(&table).expect("TOML")
}

fn value_of(text: &str) -> Value {
    let table: toml::Table = text.parse().expect("TOML");
    serde_json::to_value(table).expect("values")
}

/// What the module is told, in the platform's words, each other than where nothing is said.
fn module_settings() -> Value {
    json!({
        "categories": [{
            "name": "event",
            "promise": 3_000_000_000_u64,
            "deadline": 16_000_000_000_u64,
            "effect": "token",
            "dedupScope": "all",
            "window": 10_000_000_000_u64,
            "points": 2.5,
            "lateWorth": 0.5,
            "fifoByKey": true,
        }],
        "accounts": [{ "name": "acme", "share": 0.25 }],
        "kinds": ["partner", "municipal"],
        "localities": ["a", "b"],
        "balancers": 4,
        "overShareWorth": 0.75,
        "discovery": "subscribe",
        "weights": "rough",
        "stats": { "columns": ["x1", "x0"] },
        "familyInfo": {
            "maxCalls": 12,
            "kindApart": [true, false],
            "kindBatch": [3, 1],
            "losesWorth": "halving",
            "carriage": [0.5, 1.5],
        },
        "limits": {
            "openCap": 100,
            "maxAttempts": 7,
            "probes": true,
            "retryAfter": true,
            "maxRetryAfter": 2_000_000_000_u64,
            "idleClose": 15_000_000_000_u64,
            "connectTimeout": 1_000_000_000_u64,
        },
        "rules": {
            "mustAskIn": 900_000_000_u64,
            "coldShare": 0.23,
            "warmAfter": 13_000_000_000_u64,
            "overloadFactor": 2.0,
            "overloadFor": 3_000_000_000_u64,
            "orderSettle": 40_000_000_u64,
        },
    })
}

const MODULE_KEYS: [&str; 36] = [
    "categories.[].name",
    "categories.[].promise",
    "categories.[].deadline",
    "categories.[].effect",
    "categories.[].dedupScope",
    "categories.[].window",
    "categories.[].points",
    "categories.[].lateWorth",
    "categories.[].fifoByKey",
    "accounts.[].name",
    "accounts.[].share",
    "kinds",
    "localities",
    "balancers",
    "overShareWorth",
    "discovery",
    "weights",
    "stats.columns",
    "familyInfo.maxCalls",
    "familyInfo.kindApart",
    "familyInfo.kindBatch",
    "familyInfo.losesWorth",
    "familyInfo.carriage",
    "limits.openCap",
    "limits.maxAttempts",
    "limits.probes",
    "limits.retryAfter",
    "limits.maxRetryAfter",
    "limits.idleClose",
    "limits.connectTimeout",
    "rules.mustAskIn",
    "rules.coldShare",
    "rules.warmAfter",
    "rules.overloadFactor",
    "rules.overloadFor",
    "rules.orderSettle",
];

fn read_module_settings(value: &Value) -> Read {
    shown(platform_settings::from_json(value))
}

#[test]
fn every_key_of_the_module_s_settings_has_an_effect_and_others_are_skipped() {
    let settings = module_settings();
    assert_keys(&settings, &MODULE_KEYS, read_module_settings);
    let all = read_module_settings(&settings);
    for key in one_key_a_table(&MODULE_KEYS) {
        let more = with_unknown(&settings, key);
        assert_eq!(read_module_settings(&more), all, "beside {key}");
    }
}

#[test]
fn settings_of_the_module_keep_their_meaning_and_units() {
    let read = platform_settings::from_json(&module_settings()).expect("settings");
    assert_eq!(read.classes, ["event"]);
    assert_eq!(read.tenants.of(Some("acme")), Ok(0));
    assert_eq!(read.kinds, ["partner", "municipal"]);
    assert_eq!(read.zones, ["a", "b"]);
    assert_eq!(read.connect_timeout, 1_000_000_000);
    let settings: Settings = read.settings;
    let class = &settings.classes[0];
    assert_eq!(class.latency_objective, 3_000_000_000);
    assert_eq!(class.deadline, 16_000_000_000);
    assert_eq!(class.effect, Effect::IdempotentWithKey);
    assert_eq!(class.dedup_scope, DedupScope::All);
    assert_eq!(class.dedup_window, 10_000_000_000);
    assert_eq!((class.priority_weight, class.late_weight), (2.5, 0.5));
    assert!(class.ordered_by_key);
    assert_eq!(settings.tenants[0].share, 0.25);
    assert!(settings.kinds[0].separate_routes && !settings.kinds[1].separate_routes);
    assert_eq!(
        (settings.kinds[0].max_batch, settings.kinds[1].max_batch),
        (3, 1)
    );
    assert_eq!(settings.zone_fees, [0.5, 1.5]);
    assert_eq!(settings.senders, 4);
    assert_eq!(settings.max_in_flight_calls, 12);
    assert_eq!(settings.max_held_messages, 100);
    assert_eq!(settings.max_attempts, 7);
    assert_eq!(settings.decay, Decay::Halving);
    assert_eq!(settings.over_share_weight, 0.75);
    assert!(settings.poll_list && !settings.list_pushed);
    assert_eq!(settings.poll_deadline, 900_000_000);
    assert!(settings.probes);
    assert!(settings.sends_retry_after);
    assert_eq!(settings.max_retry_after, 2_000_000_000);
    assert_eq!(settings.slow_start_fraction, 0.23);
    assert_eq!(settings.slow_start_duration, 13_000_000_000);
    assert_eq!(settings.overload_factor, 2.0);
    assert_eq!(settings.overload_window, 3_000_000_000);
    assert_eq!(settings.ordered_key_pause, 40_000_000);
    assert_eq!(settings.connection_idle_timeout, 15_000_000_000);
    assert_eq!(settings.listed_rates, ListedRates::Approximate);
    assert_eq!(
        (settings.report_left, settings.report_limit),
        (Some(1), Some(0))
    );
}

#[test]
fn words_of_the_module_s_settings_keep_their_meaning() {
    let set = |key: &str, word: Value| {
        let mut settings = module_settings();
        let last = key.rsplit('.').next().expect("a name");
        holder(&mut settings, key).insert(last.into(), word);
        let read = platform_settings::from_json(&settings).expect("settings");
        read.settings
    };
    for (word, effect) in [
        ("side_effect", Effect::NotIdempotent),
        ("pure", Effect::Idempotent),
        ("token", Effect::IdempotentWithKey),
    ] {
        let settings = set("categories.[].effect", json!(word));
        assert_eq!(settings.classes[0].effect, effect);
    }
    let settings = set("categories.[].dedupScope", json!("zone"));
    assert_eq!(settings.classes[0].dedup_scope, DedupScope::Zone);
    let settings = set("discovery", json!("automatic"));
    assert!(settings.list_pushed && !settings.poll_list);
    for (word, listed) in [
        ("nominal", ListedRates::Exact),
        ("rough", ListedRates::Approximate),
        ("none", ListedRates::Absent),
    ] {
        assert_eq!(set("weights", json!(word)).listed_rates, listed);
    }
    let settings = set("familyInfo.losesWorth", json!("linear"));
    assert_eq!(settings.decay, Decay::Linear);
}

/// What `NODE_CONFIG` names.
fn platform_file() -> Value {
    json!({
        "name": "n1",
        "state": "/var/lib/raildeal",
        "listen": "127.0.0.1:9000",
        "discovery": "127.0.0.1:8500",
        "seed": "2a",
        "limits": { "sockets": 200, "memory_mb": 64, "disk_mb": 1.5 },
        "known": {
            "rev": 9,
            "all": true,
            "targets": [{
                "uid": "u1",
                "endpoint": "127.0.0.1:7000",
                "az": "a",
                "model": "partner",
                "pod_group": 7,
                "state": "active",
                "capacity_hint": 2.5,
            }],
        },
        "settings": { "balancers": 4 },
    })
}

const PLATFORM_KEYS: [&str; 18] = [
    "name",
    "state",
    "listen",
    "discovery",
    "seed",
    "limits.sockets",
    "limits.memory_mb",
    "limits.disk_mb",
    "known.rev",
    "known.all",
    "known.targets.[].uid",
    "known.targets.[].endpoint",
    "known.targets.[].az",
    "known.targets.[].model",
    "known.targets.[].pod_group",
    "known.targets.[].state",
    "known.targets.[].capacity_hint",
    "settings.balancers",
];

fn read_platform_file(value: &Value) -> Read {
    shown(read_with(value, &[]))
}

fn read_with(value: &Value, variables: &[(&str, &str)]) -> Result<Config, String> {
    let file = NamedTempFile::new().expect("a file");
    fs::write(file.path(), value.to_string()).expect("written");
    Config::from_env(|variable| {
        if variable == "NODE_CONFIG" {
            return Some(file.path().display().to_string());
        }
        let set = variables.iter().find(|(name, _)| *name == variable);
        set.map(|(_, value)| value.to_string())
    })
}

#[test]
fn every_key_of_the_platform_s_file_has_an_effect_and_others_are_skipped() {
    let file = platform_file();
    assert_keys(&file, &PLATFORM_KEYS, read_platform_file);
    let all = read_platform_file(&file);
    for key in one_key_a_table(&PLATFORM_KEYS) {
        let more = with_unknown(&file, key);
        assert_eq!(read_platform_file(&more), all, "beside {key}");
    }
}

#[test]
fn variables_of_the_platform_stand_in_for_keys_and_go_before_them_but_for_discovery() {
    let all = read_with(&platform_file(), &[]).expect("usable");
    assert_eq!(all.name, "n1");
    assert_eq!(all.seed, 0x2a);
    assert_eq!(all.sockets, 200);
    assert_eq!(all.memory_bytes, 64_000_000);
    assert_eq!(all.store.limit_bytes, 1_500_000);
    let variables = [
        ("NODE_NAME", "n2"),
        ("NODE_STATE", "/tmp/n2"),
        ("NODE_LISTEN", "127.0.0.1:9002"),
        ("NODE_DISCOVERY", "127.0.0.1:8502"),
    ];
    let set = read_with(&platform_file(), &variables).expect("usable");
    let platform = set.platform.expect("the platform");
    assert_eq!(set.name, "n2");
    assert_eq!(set.state, Path::new("/tmp/n2"));
    assert_eq!(platform.listen.to_string(), "127.0.0.1:9002");
    assert_eq!(platform.discovery.to_string(), "127.0.0.1:8500");
    let silent = without(&platform_file(), "discovery");
    let set = read_with(&silent, &variables).expect("usable");
    let platform = set.platform.expect("the platform");
    assert_eq!(platform.discovery.to_string(), "127.0.0.1:8502");
}

/// An operator's file for the platform's protocol, with a store of its own and admission control.
const OPERATOR_PLATFORM: &str = r#"
name = "n1"
state = "/var/lib/raildeal"
seed = 42
[limits]
sockets = 200
memory_mb = 64.0
disk_mb = 1.5
[store]
durability = "machine"
bodies_mb = 2.0
[platform]
listen = "127.0.0.1:9000"
discovery = "127.0.0.1:8500"
[door]
known = ["10.20.0.0/16"]
known_names = ["portal"]
reserve = 3
per_address = 4
per_prefix = 5
rate_per_address = 6.0
rate_per_prefix = 7.0
burst_s = 8.0
prefix_bits = [16, 48]
remembered = 9
when_full = "refuse"
messages_per_client = 10.0
client_share = 0.5
known_room = 0.25
target_ms = 11
log_every_s = 12.0
[door.class_room]
event = 0.75
[settings]
balancers = 4
[[settings.categories]]
name = "event"
"#;

const OPERATOR_PLATFORM_KEYS: [&str; 29] = [
    "name",
    "state",
    "seed",
    "limits.sockets",
    "limits.memory_mb",
    "limits.disk_mb",
    "store.durability",
    "store.bodies_mb",
    "platform.listen",
    "platform.discovery",
    "door.known",
    "door.known_names",
    "door.reserve",
    "door.per_address",
    "door.per_prefix",
    "door.rate_per_address",
    "door.rate_per_prefix",
    "door.burst_s",
    "door.prefix_bits",
    "door.remembered",
    "door.when_full",
    "door.messages_per_client",
    "door.client_share",
    "door.known_room",
    "door.target_ms",
    "door.log_every_s",
    "door.class_room.event",
    "settings.balancers",
    "settings.categories.[].name",
];

/// One with MQTT on both sides, and a list of its own.
const OPERATOR_LIST: &str = r#"
name = "n1"
state = "/var/lib/raildeal"
[mqtt]
listen = "127.0.0.1:1883"
keep_answers_s = 60
[brokers]
kinds = ["municipal"]
topic = "notices/{class}/{dest}/{key}"
client_id = "n1-out"
[hook]
script = "hook.rhai"
[[provider]]
uid = "u1"
address = "127.0.0.1:1884"
dest = 7
zone = "a"
kind = "municipal"
rate = 4.0
[settings]
kinds = ["municipal"]
"#;

const OPERATOR_LIST_KEYS: [&str; 15] = [
    "name",
    "state",
    "mqtt.listen",
    "mqtt.keep_answers_s",
    "brokers.kinds",
    "brokers.topic",
    "brokers.client_id",
    "hook.script",
    "provider.[].uid",
    "provider.[].address",
    "provider.[].dest",
    "provider.[].zone",
    "provider.[].kind",
    "provider.[].rate",
    "settings.kinds",
];

/// One with a DNS zone as its directory.
const OPERATOR_DNS: &str = r#"
name = "n1"
state = "/var/lib/raildeal"
[mqtt]
listen = "127.0.0.1:1883"
[dns]
zone_file = "partners.zone"
[dns.updates]
listen = "127.0.0.1:5353"
key_name = "partners-key"
algorithm = "hmac-sha384"
secret_file = "partners.key"
[settings]
balancers = 4
"#;

const OPERATOR_DNS_KEYS: [&str; 9] = [
    "name",
    "state",
    "mqtt.listen",
    "dns.zone_file",
    "dns.updates.listen",
    "dns.updates.key_name",
    "dns.updates.algorithm",
    "dns.updates.secret_file",
    "settings.balancers",
];

fn read_operators_file(value: &Value) -> Read {
    shown(Config::from_toml(&toml_of(value)))
}

fn operators_files() -> [(Value, Vec<&'static str>); 3] {
    [
        (value_of(OPERATOR_PLATFORM), OPERATOR_PLATFORM_KEYS.into()),
        (value_of(OPERATOR_LIST), OPERATOR_LIST_KEYS.into()),
        (value_of(OPERATOR_DNS), OPERATOR_DNS_KEYS.into()),
    ]
}

#[test]
fn every_key_of_an_operator_s_file_has_an_effect_and_others_are_named() {
    for (file, keys) in operators_files() {
        assert_keys(&file, &keys, read_operators_file);
        // The module's settings are as the platform tells them: there others are skipped.
        let own: Vec<&str> = keys
            .iter()
            .copied()
            .filter(|key| !key.starts_with("settings.") && !key.starts_with("door.class_room."))
            .collect();
        assert_unknown_is_named(&file, &own, read_operators_file);
    }
}

#[test]
fn words_of_an_operator_s_file_keep_their_meaning() {
    use raildeal::delivery::journal::Durability;
    use raildeal::net::connection_listener::WhenFull;
    let read = |text: &str| Config::from_toml(text).expect("usable");
    let config = read(OPERATOR_PLATFORM);
    assert_eq!(config.store.durability, Durability::Machine);
    assert_eq!(config.store.cached_body_bytes, 2_000_000);
    assert!(matches!(config.door.when_full, WhenFull::Refuse));
    let other = OPERATOR_PLATFORM
        .replace("\"machine\"", "\"process\"")
        .replace("\"refuse\"", "\"queue\"");
    let config = read(&other);
    assert_eq!(config.store.durability, Durability::Process);
    assert!(matches!(config.door.when_full, WhenFull::Queue));
}

/// Keys of the files under `deploy/`, each file's in full.
#[test]
fn files_of_the_deployment_set_only_keys_that_are_pinned() {
    let file = |name: &str| {
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("deploy")
            .join(name);
        value_of(&fs::read_to_string(path).expect("a file"))
    };
    let known: BTreeSet<String> = operators_files()
        .iter()
        .flat_map(|(_, keys)| keys.iter().map(ToString::to_string))
        .chain(MODULE_KEYS.iter().map(|key| format!("settings.{key}")))
        .chain(["door.class_room.portal-event".to_string()])
        .collect();
    for name in ["mqtt.toml", "dns.toml", "store.toml", "door.toml"] {
        let set = keys(&file(name));
        let unknown: Vec<_> = set.difference(&known).collect();
        assert!(unknown.is_empty(), "{name}: {unknown:?}");
    }
    // The platform's own: how the program is built and run.
    for name in ["balancer.toml", "trace.toml"] {
        let set = keys(&file(name));
        let platforms = ["build", "node", "packages", "policy", "run", "sim"];
        assert!(set.iter().eq(platforms.iter()), "{name}: {set:?}");
    }
}

#[cfg(feature = "fleet")]
mod fleet {
    use super::*;
    use raildeal::agent::config::FleetConfig as AgentFile;
    use raildeal::coordination::config::Config as ReplicaConfig;
    use raildeal::coordination::policy_rollout::document::Document as PolicyDocument;
    use raildeal::coordination::policy_rollout::plan::Plan;
    use raildeal::coordination::routing_table::document::Document as TableDocument;

    /// A replica's file in which no key has its default.
    const REPLICA: &str = r#"
site = "north"
keeper = 1
listen = "127.0.0.1:7101"
state = "/var/lib/raildeal/keeper-1"
disk_mb = 65
begin = true
tick_ms = 51
agents = ["127.0.0.0/8"]
[[peer]]
keeper = 2
at = "127.0.0.1:7102"
[[peer]]
keeper = 3
at = "127.0.0.1:7103"
[federation]
name = "iberia"
number = 1
formerly = 4
without = "last"
lease_s = 11
fence_s = 16
tick_ms = 151
[[federation.site]]
number = 2
name = "south"
at = ["127.0.1.1:7101"]
[rules]
lease_ms = 3001
beat_ms = 501
sure_ms = 1501
most_senders = 9999
[rules.zones]
windows_ms = [401, 1001]
fail_share = 0.61
errors = 3.1
dest_share = 0.61
reporter_share = 0.61
least_reporters = 4
most_weight = 5.1
own_share = 0.51
heard_share = 0.31
silent_ms = 1001
confirm_ms = 201
most_left = 5
left_share = 0.35
headroom = 0.91
refused_share = 0.11
load_ms = 10001
rest_ms = 5001
most_rest_ms = 160001
calm_ms = 60001
trial_calls = 11
least_results = 11
slice_ms = 501
within_ms = 3001
flight_ms = 251
drift = 0.011
cold_share = 0.9
warm_after_ms = 1
overload_factor = 1.1
overload_for_ms = 1
unlisted_rate = 1.1
most_sights = 400001
"#;

    const REPLICA_KEYS: [&str; 55] = [
        "site",
        "keeper",
        "listen",
        "state",
        "disk_mb",
        "begin",
        "tick_ms",
        "agents",
        "peer.[].keeper",
        "peer.[].at",
        "federation.name",
        "federation.number",
        "federation.formerly",
        "federation.without",
        "federation.lease_s",
        "federation.fence_s",
        "federation.tick_ms",
        "federation.site.[].number",
        "federation.site.[].name",
        "federation.site.[].at",
        "rules.lease_ms",
        "rules.beat_ms",
        "rules.sure_ms",
        "rules.most_senders",
        "rules.zones.windows_ms",
        "rules.zones.fail_share",
        "rules.zones.errors",
        "rules.zones.dest_share",
        "rules.zones.reporter_share",
        "rules.zones.least_reporters",
        "rules.zones.most_weight",
        "rules.zones.own_share",
        "rules.zones.heard_share",
        "rules.zones.silent_ms",
        "rules.zones.confirm_ms",
        "rules.zones.most_left",
        "rules.zones.left_share",
        "rules.zones.headroom",
        "rules.zones.refused_share",
        "rules.zones.load_ms",
        "rules.zones.rest_ms",
        "rules.zones.most_rest_ms",
        "rules.zones.calm_ms",
        "rules.zones.trial_calls",
        "rules.zones.least_results",
        "rules.zones.slice_ms",
        "rules.zones.within_ms",
        "rules.zones.flight_ms",
        "rules.zones.drift",
        "rules.zones.cold_share",
        "rules.zones.warm_after_ms",
        "rules.zones.overload_factor",
        "rules.zones.overload_for_ms",
        "rules.zones.unlisted_rate",
        "rules.zones.most_sights",
    ];

    fn read_replica(value: &Value) -> Read {
        shown(ReplicaConfig::from_toml(&toml_of(value)))
    }

    #[test]
    fn every_key_of_a_replica_s_file_has_an_effect_and_others_are_named() {
        let file = value_of(REPLICA);
        assert_keys(&file, &REPLICA_KEYS, read_replica);
        assert_unknown_is_named(&file, &REPLICA_KEYS, read_replica);
        // A federation that begins has had no site before.
        let begins = REPLICA.replace("formerly = 4", "begin = true");
        let begins = value_of(&begins);
        assert!(read_replica(&begins).is_ok());
        let without_begin = without(&begins, "federation.begin");
        assert_ne!(read_replica(&without_begin), read_replica(&begins));
    }

    #[test]
    fn settings_of_a_replica_keep_their_meaning_and_units() {
        let read = |text: &str| ReplicaConfig::from_toml(text).expect("usable");
        let config = read(REPLICA);
        assert_eq!((config.site.as_str(), config.replica), ("north", 1));
        assert_eq!(config.disk_bytes, 65 * 1024 * 1024);
        assert_eq!(config.tick_ms, 51);
        assert_eq!(config.peers[&2].to_string(), "127.0.0.1:7102");
        let federation = config.federation.expect("a federation");
        assert_eq!(
            (federation.site_number, federation.former_number),
            (1, Some(4))
        );
        assert_eq!((federation.lease_ms, federation.fence_ms), (11_000, 16_000));
        assert_eq!(federation.tick_ms, 151);
        assert!(!federation.holds_after_lease);
        let hold = read(&REPLICA.replace("without = \"last\"", "without = \"hold\""));
        assert!(hold.federation.expect("a federation").holds_after_lease);
    }

    const AGENT: &str = r#"
site = "north"
zone = "a"
report_ms = 201
keepers = ["127.0.0.1:7101", "127.0.0.1:7102"]
[policy]
without_keepers = "last"
[table]
without_keepers = "last"
"#;

    const AGENT_KEYS: [&str; 6] = [
        "site",
        "zone",
        "report_ms",
        "keepers",
        "policy.without_keepers",
        "table.without_keepers",
    ];

    fn read_agent(value: &Value) -> Read {
        shown(AgentFile::parse(&toml_of(value)))
    }

    #[test]
    fn every_key_of_an_agent_s_file_has_an_effect_and_others_are_named() {
        let file = value_of(AGENT);
        assert_keys(&file, &AGENT_KEYS, read_agent);
        assert_unknown_is_named(&file, &AGENT_KEYS, read_agent);
        let by_number = AGENT.replace(
            "[\"127.0.0.1:7101\", \"127.0.0.1:7102\"]",
            "{ 1 = \"127.0.0.1:7101\", 2 = \"127.0.0.1:7102\" }",
        );
        assert_eq!(read_agent(&value_of(&by_number)), read_agent(&file));
        let hold = AGENT.replace("\"last\"", "\"hold\"");
        assert!(read_agent(&value_of(&hold)).is_ok());
        // Without the tables nothing is followed, which is another thing than to hold.
        let neither = AGENT.split_once("[policy]").expect("a table").0;
        assert_ne!(read_agent(&value_of(neither)), read_agent(&value_of(&hold)));
    }

    const POLICY: &str = r#"
hook = "fn ingress(message) {}"
[limits]
slots = 12
room = 100
max_attempts = 7
max_retry_after_ms = 2000
[class.event]
promise_ms = 3000
deadline_ms = 16000
effect = "token"
dedup_scope = "all"
window_ms = 10000
points = 2.5
late_worth = 0.5
[door]
known = ["10.20.0.0/16"]
known_names = ["portal"]
reserve = 3
per_address = 4
per_prefix = 5
rate_per_address = 6.0
rate_per_prefix = 7.0
messages_per_client = 10.0
client_share = 0.5
known_room = 0.25
target_ms = 11
[door.class_room]
event = 0.75
"#;

    const POLICY_KEYS: [&str; 24] = [
        "hook",
        "limits.slots",
        "limits.room",
        "limits.max_attempts",
        "limits.max_retry_after_ms",
        "class.event.promise_ms",
        "class.event.deadline_ms",
        "class.event.effect",
        "class.event.dedup_scope",
        "class.event.window_ms",
        "class.event.points",
        "class.event.late_worth",
        "door.known",
        "door.known_names",
        "door.reserve",
        "door.per_address",
        "door.per_prefix",
        "door.rate_per_address",
        "door.rate_per_prefix",
        "door.messages_per_client",
        "door.client_share",
        "door.known_room",
        "door.target_ms",
        "door.class_room.event",
    ];

    /// The form over which digests are drawn, which has each key in it.
    fn read_policy(value: &Value) -> Read {
        shown(PolicyDocument::parse(&toml_of(value)).map(|document| document.canonical()))
    }

    #[test]
    fn every_key_of_a_policy_has_an_effect_and_others_are_named() {
        let file = value_of(POLICY);
        assert_keys(&file, &POLICY_KEYS, read_policy);
        let own: Vec<&str> = POLICY_KEYS
            .into_iter()
            .filter(|key| !key.starts_with("door.class_room."))
            .collect();
        assert_unknown_is_named(&file, &own, read_policy);
        for (from, to) in [
            ("\"token\"", "\"pure\""),
            ("\"token\"", "\"side_effect\""),
            ("\"all\"", "\"zone\""),
        ] {
            let other = value_of(&POLICY.replace(from, to));
            assert!(read_policy(&other).is_ok(), "{to}");
        }
    }

    const PLAN: &str = r#"
watch_s = 11
soak_s = 12
most_soak_s = 13
least = 14
offer_s = 15
pause_ms = 160
[[stage]]
zones = ["a", "b"]
[health]
lapsed = 0.5
sees = 0.25
[health.all]
delivered = 0.5
late = 0.25
refused = 0.125
failed = 0.0625
turned_away = 0.75
[health.class.event]
delivered = 0.5
late = 0.25
refused = 0.125
failed = 0.0625
turned_away = 0.75
"#;

    const PLAN_KEYS: [&str; 19] = [
        "watch_s",
        "soak_s",
        "most_soak_s",
        "least",
        "offer_s",
        "pause_ms",
        "stage.[].zones",
        "health.lapsed",
        "health.sees",
        "health.all.delivered",
        "health.all.late",
        "health.all.refused",
        "health.all.failed",
        "health.all.turned_away",
        "health.class.event.delivered",
        "health.class.event.late",
        "health.class.event.refused",
        "health.class.event.failed",
        "health.class.event.turned_away",
    ];

    fn read_plan(value: &Value) -> Read {
        shown(Plan::parse(&toml_of(value)))
    }

    #[test]
    fn every_key_of_a_plan_has_an_effect_and_others_are_named() {
        let file = value_of(PLAN);
        assert_keys(&file, &PLAN_KEYS, read_plan);
        assert_unknown_is_named(&file, &PLAN_KEYS, read_plan);
    }

    const TABLE: &str = r#"
[site.north]
zones = ["a", "b"]
[site.south]
zones = ["c"]
[[route]]
dests = [7, "100-199"]
classes = ["bulk"]
tenants = [0]
tiers = [{ north = 3, south = 1 }]
[[route]]
tiers = [{ south = 1 }]
"#;

    const TABLE_KEYS: [&str; 7] = [
        "site.north.zones",
        "site.south.zones",
        "route.[].dests",
        "route.[].classes",
        "route.[].tenants",
        "route.[].tiers.[].north",
        "route.[].tiers.[].south",
    ];

    fn read_table(value: &Value) -> Read {
        shown(TableDocument::parse(&toml_of(value)).map(|document| document.canonical()))
    }

    #[test]
    fn every_key_of_a_routing_table_has_an_effect_and_others_are_named() {
        let file = value_of(TABLE);
        assert_keys(&file, &TABLE_KEYS, read_table);
        let own = ["site.north.zones", "route.[].dests"];
        assert_unknown_is_named(&file, &own, read_table);
        for text in [
            "list_alone = true\n",
            "[site.north]\nzones = [\"a\"]\n[[route]]\nnobody = true\n",
        ] {
            assert!(read_table(&value_of(text)).is_ok(), "{text}");
        }
    }

    #[test]
    fn files_of_the_deployment_set_only_keys_that_are_pinned() {
        for (name, known) in [
            ("keeper.toml", &REPLICA_KEYS[..]),
            ("fleet.toml", &AGENT_KEYS),
        ] {
            let path = Path::new(env!("CARGO_MANIFEST_DIR"))
                .join("deploy")
                .join(name);
            let set = keys(&value_of(&fs::read_to_string(path).expect("a file")));
            let unknown: Vec<_> = set
                .iter()
                .filter(|key| !known.contains(&key.as_str()))
                .collect();
            assert!(unknown.is_empty(), "{name}: {unknown:?}");
        }
    }
}
