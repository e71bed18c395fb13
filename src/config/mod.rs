//! What a sender is told at its start: by the platform, or by an operator's file.

pub mod platform_settings;

use crate::admission_control::connection_rate::Rate;
use crate::admission_control::connection_slots::Rules;
use crate::admission_control::message_limits;
use crate::config::platform_settings::Deployment;
use crate::delivery::endpoint::{EndpointEntry, EndpointListUpdate};
use crate::delivery::finished_messages::FinishedMessages;
use crate::delivery::journal::{Durability, JournalOptions};
use crate::delivery::policies::Policy;
use crate::delivery::script_hook::{ScriptHook, MAX_SCRIPT_BYTES};
use crate::net::connection_listener::WhenFull;
use crate::net::dns::zone_cache::ZoneCache;
use crate::net::dns::zone_file;
use crate::net::platform::list;
use crate::{ClassLimits, Condition, DestinationId, Settings};
use data_encoding::BASE64;
use hickory_proto::dnssec::rdata::tsig::TsigAlgorithm;
use hickory_proto::dnssec::tsig::TSigner;
use hickory_proto::rr::Name as DnsName;
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, Read};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Clocks may be so many seconds apart where updates are signed.
const FUDGE_S: u16 = 300;
/// With less memory, no process of this program could serve.
const MIN_MEMORY_BYTES: usize = 16_000_000;
/// How long a final answer waits for its client, if the operator says nothing.
const KEEP_ANSWERS_S: u64 = 600;

/// The configuration.
#[derive(Debug)]
pub struct Config {
    /// Name of this sender.
    pub name: String,
    /// The folder that lasts.
    pub state: PathBuf,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that the process may hold, in bytes; over it, it is killed.
    pub memory_bytes: usize,
    /// The store in that folder, if nothing else needs room there.
    pub store: JournalOptions,
    /// Settings of module and deployment.
    pub deployment: Deployment,
    /// Names of the values in a load report.
    pub columns: Vec<String>,
    /// The list as this sender last had it, or all there is of it.
    pub known: Option<EndpointListUpdate>,
    /// The platform's protocol.
    pub platform: Option<Platform>,
    /// MQTT clients.
    pub mqtt: Option<Mqtt>,
    /// MQTT providers.
    pub brokers: Option<Brokers>,
    /// The operator's script.
    pub hook: Option<PathBuf>,
    /// The directory as a DNS zone.
    pub dns: Option<Dns>,
    /// Who may connect.
    pub door: Door,
}

/// Who may connect, and how often. What is not set is not bounded.
#[derive(Clone, Debug, Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Door {
    /// Addresses and prefixes of known clients.
    pub known: Vec<Name>,
    /// Client ids and user names of known MQTT clients.
    pub known_names: Vec<String>,
    /// Places that only known clients may take.
    pub reserve: usize,
    /// Most connections of one address.
    pub per_address: Option<usize>,
    /// Most connections of one prefix.
    pub per_prefix: Option<usize>,
    /// New connections of one address, a second.
    pub rate_per_address: Option<f64>,
    /// New connections of one prefix, a second.
    pub rate_per_prefix: Option<f64>,
    /// How many of a second's may come at once.
    pub burst_s: Option<f64>,
    /// Bits of a prefix in IPv4 and IPv6.
    pub prefix_bits: Option<(u8, u8)>,
    /// Addresses that are remembered, and as many prefixes.
    pub remembered: Option<usize>,
    /// What is done with connections that come when all is full.
    pub when_full: WhenFull,
    /// Messages that one client may hand in, a second.
    pub messages_per_client: Option<f64>,
    /// Part of the room that one client's messages may take.
    pub client_share: Option<f64>,
    /// Part of the room that only known clients' messages may take.
    pub known_room: Option<f64>,
    /// Part of the room up to which a class is taken on.
    pub class_room: BTreeMap<String, f64>,
    /// How long the quickest message may stay before less is held, in milliseconds.
    pub target_ms: Option<u64>,
    /// Seconds between two lines of the log on what the door did.
    pub log_every_s: Option<f64>,
}

/// An address or a prefix, as a setting.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(try_from = "String", into = "String")]
pub struct Name(#[cfg_attr(feature = "tools", schemars(with = "String"))] pub IpNet);

impl TryFrom<String> for Name {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let net = text
            .parse::<IpNet>()
            .ok()
            .or_else(|| text.parse::<IpAddr>().ok().map(IpNet::from));
        net.map(Name)
            .ok_or_else(|| format!("'{text}' is neither an address nor a prefix like 10.1.0.0/16"))
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0.to_string()
    }
}

impl Door {
    /// The rules for so many places.
    pub fn rules(&self, places: usize) -> Rules {
        let open = Rules::open(places);
        Rules {
            reserve: self.reserve.min(places.saturating_sub(1)),
            per_address: self.per_address,
            per_prefix: self.per_prefix,
            address_rate: self.rate_per_address.map(|n| self.rate(n)),
            prefix_rate: self.rate_per_prefix.map(|n| self.rate(n)),
            prefix: self.prefix_bits.unwrap_or(open.prefix),
            known: self.known.iter().map(|n| n.0).collect(),
            remembered: self.remembered.unwrap_or(open.remembered),
            ..open
        }
    }

    /// The limits for messages, with so much room.
    pub fn limits(&self, room: usize, classes: &[String]) -> message_limits::Limits {
        let part = |class: &String| self.class_room.get(class).copied().unwrap_or(1.0);
        message_limits::Limits {
            room,
            rate: self.messages_per_client.map(|n| self.rate(n)),
            share: self.client_share,
            reserve: self.known_room.unwrap_or(0.0),
            classes: classes.iter().map(part).collect(),
            target: self.target_ms.map(Duration::from_millis),
            remembered: self.remembered.unwrap_or(Rules::open(1).remembered),
        }
    }

    /// What messages are taken on and end under by these settings and this door, with so many
    /// places for clients.
    pub fn policy(
        &self,
        number: u64,
        settings: &Settings,
        classes: &[String],
        places: usize,
        hook: Option<ScriptHook>,
    ) -> Policy {
        Policy {
            number,
            classes: settings.classes.clone(),
            class_limits: ClassLimits {
                max_attempts: settings.max_attempts,
                max_retry_after: settings.max_retry_after,
            },
            max_in_flight_calls: settings.max_in_flight_calls,
            max_held_messages: settings.max_held_messages,
            hook,
            message_limits: self.limits(settings.max_held_messages as usize, classes),
            connection_rules: self.rules(places),
            known_client_names: self.known_names.clone(),
        }
    }

    /// Between two lines of the log on what the door did.
    pub fn log_every(&self) -> Duration {
        Duration::from_secs_f64(self.log_every_s.unwrap_or(60.0))
    }

    fn rate(&self, per_second: f64) -> Rate {
        Rate {
            per_second,
            burst: ((per_second * self.burst_s.unwrap_or(1.0)) as u32).max(1),
        }
    }

    /// All that is wrong with it.
    pub fn faults(&self, classes: &[String]) -> Vec<String> {
        let mut faults = Vec::new();
        faults.extend(
            self.class_room
                .keys()
                .filter(|c| !classes.contains(c))
                .map(|class| format!("door.class_room: settings.categories has no '{class}'")),
        );
        let parts = self.class_room.values().copied().chain(self.client_share);
        faults.extend(parts.filter(|p| !(*p > 0.0 && *p <= 1.0)).map(|part| {
            format!("door.client_share, door.class_room: {part} is not over 0 and up to 1")
        }));
        if let Some(part) = self.known_room.filter(|p| !(*p > 0.0 && *p < 1.0)) {
            faults.push(format!("door.known_room: {part} is not between 0 and 1"));
        }
        if self.target_ms == Some(0) {
            faults.push("door.target_ms: 0 would hold nothing; 1 at least".into());
        }
        let least = [
            ("door.per_address", self.per_address),
            ("door.per_prefix", self.per_prefix),
            ("door.remembered", self.remembered),
        ];
        let none = least.iter().filter(|(_, n)| *n == Some(0));
        faults.extend(none.map(|(name, _)| format!("{name}: 0 would let nobody in; 1 at least")));
        let rates = [
            ("door.rate_per_address", self.rate_per_address),
            ("door.rate_per_prefix", self.rate_per_prefix),
            ("door.burst_s", self.burst_s),
            ("door.messages_per_client", self.messages_per_client),
            ("door.log_every_s", self.log_every_s),
        ];
        let odd = rates.iter().filter_map(|(name, n)| n.map(|n| (name, n)));
        let odd = odd.filter(|(_, n)| !(0.01..=1e6).contains(n));
        faults.extend(odd.map(|(name, n)| format!("{name}: {n} is not from 0.01 to 1e6")));
        let (four, six) = self.prefix_bits.unwrap_or((24, 64));
        if four > 32 || six > 128 {
            faults.push(format!(
                "door.prefix_bits: [{four}, {six}] is more than 32 and 128 bits"
            ));
        }
        let nobody = self.known.is_empty() && self.known_names.is_empty();
        let kept = [
            ("door.reserve", self.reserve > 0),
            ("door.known_room", self.known_room.is_some()),
        ];
        let kept = kept.iter().filter(|(_, set)| *set && nobody);
        faults.extend(kept.map(|(name, _)| {
            format!("{name}: nobody is known, so nobody could take it; set door.known")
        }));
        faults
    }
}

/// The platform's protocol.
#[derive(Clone, Debug, Deserialize)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The directory, which also takes notices.
    pub discovery: SocketAddr,
}

/// MQTT clients.
#[derive(Clone, Debug, Deserialize)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields)]
pub struct Mqtt {
    /// Where they connect.
    pub listen: SocketAddr,
    /// How long a final answer waits for a client to subscribe to it.
    #[serde(default = "keep_answers_s")]
    keep_answers_s: u64,
}

impl Mqtt {
    /// How long a final answer waits for a client to subscribe to it.
    pub fn keep_answers(&self) -> Duration {
        Duration::from_secs(self.keep_answers_s)
    }
}

/// MQTT providers.
#[derive(Clone, Debug, Deserialize)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields)]
pub struct Brokers {
    /// Kinds of destination whose providers are brokers.
    pub kinds: Vec<String>,
    /// Topic that a message is published to; may hold `{class}`, `{dest}` and `{key}`.
    #[serde(default = "broker_topic")]
    pub topic: String,
    /// How client ids begin.
    #[serde(default = "broker_client_id")]
    pub client_id: String,
}

/// The directory as a DNS zone.
#[derive(Clone, Debug, Deserialize)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields)]
pub struct Dns {
    /// The zone file; it is written anew by each update.
    pub zone_file: PathBuf,
    /// Where updates are taken, if they are.
    pub updates: Option<Updates>,
}

/// Signed updates of the zone.
#[derive(Clone, Debug, Deserialize)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields)]
pub struct Updates {
    /// Where they are taken.
    pub listen: SocketAddr,
    /// Name of the key that has to sign them.
    pub key_name: String,
    /// Its algorithm.
    #[serde(default = "hmac_sha256")]
    pub algorithm: String,
    /// A file that holds its secret in base64.
    pub secret_file: PathBuf,
}

impl Updates {
    /// The key.
    pub fn signer(&self) -> Result<TSigner, String> {
        let fault =
            |setting: &str, problem: &dyn fmt::Display| format!("dns.updates.{setting}: {problem}");
        let algorithm = match self.algorithm.as_str() {
            "hmac-sha256" => TsigAlgorithm::HmacSha256,
            "hmac-sha384" => TsigAlgorithm::HmacSha384,
            "hmac-sha512" => TsigAlgorithm::HmacSha512,
            other => return Err(fault("algorithm", &format!("'{other}' is not supported"))),
        };
        let name = DnsName::from_ascii(&self.key_name).map_err(|e| fault("key_name", &e))?;
        let text = std::fs::read_to_string(&self.secret_file);
        let text = text.map_err(|e| {
            fault(
                "secret_file",
                &format!("{}: {e}", self.secret_file.display()),
            )
        })?;
        let secret = BASE64
            .decode(text.trim().as_bytes())
            .map_err(|e| fault("secret_file", &e))?;
        if secret.len() < 16 {
            return Err(fault("secret_file", &"the secret is shorter than 16 bytes"));
        }
        TSigner::new(secret, algorithm, name, FUDGE_S).map_err(|e| fault("algorithm", &e))
    }
}

/// An operator's file.
#[derive(Deserialize)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    state: PathBuf,
    #[serde(default = "file_seed")]
    seed: u64,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    store: Store,
    /// Settings of the module and of the deployment, with the names that the platform gives them.
    #[cfg_attr(feature = "tools", schemars(with = "BTreeMap<String, Value>"))]
    settings: Value,
    #[serde(default)]
    provider: Vec<FileProvider>,
    platform: Option<Platform>,
    mqtt: Option<Mqtt>,
    brokers: Option<Brokers>,
    hook: Option<FileHook>,
    dns: Option<Dns>,
    #[serde(default)]
    door: Door,
}

#[derive(Deserialize)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields)]
struct FileHook {
    script: PathBuf,
}

#[derive(Deserialize)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
struct Limits {
    sockets: usize,
    memory_mb: f64,
    disk_mb: f64,
}

/// The store in the lasting folder.
#[derive(Default, Deserialize)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
struct Store {
    durability: Durability,
    bodies_mb: Option<f64>,
}

impl Store {
    fn setup(&self, disk_mb: f64) -> Result<JournalOptions, String> {
        let amount = |setting: &str, mb: f64, least: f64| {
            let fits = (least..=1e9).contains(&mb);
            fits.then_some((mb * 1e6) as u64)
                .ok_or_else(|| format!("{setting}: {mb} is not from {least} to 1e9"))
        };
        let limit = amount("limits.disk_mb", disk_mb, 0.05)?;
        let bodies = self
            .bodies_mb
            .map(|mb| amount("store.bodies_mb", mb, 0.0))
            .transpose()?;
        Ok(JournalOptions {
            durability: self.durability,
            cached_body_bytes: bodies.unwrap_or(u64::MAX),
            ..JournalOptions::new(limit)
        })
    }
}

#[derive(Deserialize)]
#[cfg_attr(feature = "tools", derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields)]
struct FileProvider {
    uid: String,
    address: SocketAddr,
    dest: DestinationId,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    rate: f32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sockets: 1024,
            memory_mb: 192.0,
            disk_mb: 3.0,
        }
    }
}

/// The bytes of so many megabytes.
fn bytes(mb: f64) -> usize {
    (mb * 1e6) as usize
}

fn keep_answers_s() -> u64 {
    KEEP_ANSWERS_S
}

fn hmac_sha256() -> String {
    "hmac-sha256".into()
}

fn broker_topic() -> String {
    "{class}/{dest}".into()
}

fn broker_client_id() -> String {
    "raildeal".into()
}

fn file_seed() -> u64 {
    u64::from(std::process::id())
}

impl Config {
    /// Reads the file that `NODE_CONFIG` names. Other variables go before what it says, but for
    /// `discovery`: the file may be replaced while the program runs, and a variable cannot follow
    /// that.
    pub fn from_env(var: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let path = var("NODE_CONFIG").ok_or("NODE_CONFIG: not set")?;
        let text = std::fs::read(&path).map_err(|e| format!("NODE_CONFIG: {path}: {e}"))?;
        let json: Value =
            serde_json::from_slice(&text).map_err(|e| format!("NODE_CONFIG: {path}: {e}"))?;
        Config::from_platform(&json, var)
    }

    /// Reads what the platform says.
    fn from_platform(json: &Value, var: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let word = |variable: &str, field: &str| {
            let told = json.get(field).and_then(Value::as_str).map(str::to_string);
            var(variable)
                .or(told)
                .ok_or_else(|| format!("{field}: not set"))
        };
        let address = |text: String, field: &str| {
            text.parse::<SocketAddr>()
                .map_err(|_| format!("{field}: '{text}' is not an address with a port"))
        };
        let discovery = match json.get("discovery") {
            Some(Value::String(text)) => text.clone(),
            Some(other) if !other.is_null() => return Err(format!("discovery: '{other}'")),
            _ => word("NODE_DISCOVERY", "discovery")?,
        };
        let limit = |name: &str, absent: f64| match json.pointer(&format!("/limits/{name}")) {
            None => Ok(absent),
            Some(v) => v
                .as_f64()
                .filter(|v| *v > 0.0)
                .ok_or_else(|| format!("limits.{name}: '{v}'")),
        };
        let known = json.get("known").filter(|k| !k.is_null());
        let known = known
            .map(|k| list::read(k.to_string().as_bytes()))
            .transpose();
        let settings = json.get("settings").ok_or("settings: not set")?;
        Ok(Config {
            name: word("NODE_NAME", "name")?,
            state: word("NODE_STATE", "state")?.into(),
            seed: seed(json.get("seed")).ok_or("seed: not a hexadecimal number")?,
            sockets: limit("sockets", Limits::default().sockets as f64)? as usize,
            memory_bytes: bytes(limit("memory_mb", Limits::default().memory_mb)?),
            store: JournalOptions::new((limit("disk_mb", Limits::default().disk_mb)? * 1e6) as u64),
            deployment: platform_settings::from_json(settings)?,
            columns: columns(settings),
            known: known.map_err(|e| format!("known: {e}"))?,
            platform: Some(Platform {
                listen: address(word("NODE_LISTEN", "listen")?, "listen")?,
                discovery: address(discovery, "discovery")?,
            }),
            mqtt: None,
            brokers: None,
            hook: None,
            dns: None,
            door: Door::default(),
        })
    }

    /// Reads an operator's file. What is wrong is told in one line that names the setting.
    pub fn from_file(path: &Path) -> Result<Self, String> {
        let shown = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
        Config::from_toml(&text).map_err(|mut faults| format!("{shown}: {}", faults.swap_remove(0)))
    }

    /// Reads an operator's text, or tells all that is wrong with it: one fault at least, each of
    /// which names its setting.
    pub fn from_toml(text: &str) -> Result<Self, Vec<String>> {
        let reader = toml::Deserializer::parse(text).map_err(|e| vec![one_line(&e)])?;
        let read: Result<File, _> = serde_path_to_error::deserialize(reader);
        let file = read.map_err(|e| {
            let first = format!("{}: {}", e.path(), one_line(e.inner()));
            // What the library stops at is one fault; the schema knows of the others of this kind.
            let others = misshapen(text)
                .into_iter()
                .filter(|f| !f.starts_with(&format!("{}:", e.path())));
            std::iter::once(first).chain(others).collect::<Vec<_>>()
        })?;
        let mut faults = Vec::new();
        let deployment = platform_settings::from_json(&file.settings).map_err(|e| faults.push(e));
        let store = file
            .store
            .setup(file.limits.disk_mb)
            .map_err(|e| faults.push(e));
        let (Ok(deployment), Ok(store)) = (deployment, store) else {
            return Err(faults);
        };
        let config = Config {
            name: file.name,
            state: file.state,
            seed: file.seed,
            sockets: file.limits.sockets,
            memory_bytes: bytes(file.limits.memory_mb),
            store,
            columns: columns(&file.settings),
            known: (!file.provider.is_empty()).then(|| providers(file.provider)),
            platform: file.platform,
            mqtt: file.mqtt,
            brokers: file.brokers,
            hook: file.hook.map(|h| h.script),
            dns: file.dns,
            door: file.door,
            deployment,
        };
        let faults = config.faults();
        if faults.is_empty() {
            Ok(config)
        } else {
            Err(faults)
        }
    }

    /// Returns the bytes of the state folder for the ids of messages that have ended.
    pub fn finished_ids_bytes(&self) -> u64 {
        FinishedMessages::reserved_bytes(self.store.limit_bytes)
    }

    /// Returns the options of the journal, which shares the state folder with the ids of messages
    /// that have ended and with the zone's copy.
    pub fn journal_options(&self) -> JournalOptions {
        let reserved_bytes = match &self.dns {
            Some(_) => ZoneCache::reserved_bytes(self.store.limit_bytes),
            None => 0,
        };
        JournalOptions {
            limit_bytes: self.store.limit_bytes - reserved_bytes - self.finished_ids_bytes(),
            ..self.store
        }
    }

    /// Returns the place in the state folder for the copy of a zone.
    pub fn zone_cache(&self, dns: &Dns) -> ZoneCache {
        ZoneCache::new(&self.state, &dns.zone_file, self.store.limit_bytes)
    }

    /// All that is wrong with values that are well formed.
    fn faults(&self) -> Vec<String> {
        let kinds = &self.deployment.kinds;
        let mut faults = Vec::new();
        let mut fault =
            |setting: &str, problem: String| faults.push(format!("{setting}: {problem}"));
        if self.platform.is_none() && self.mqtt.is_none() {
            fault(
                "platform, mqtt",
                "neither is set, so no message could come in".into(),
            );
        }
        let lists = [
            self.platform.is_some(),
            self.known.is_some(),
            self.dns.is_some(),
        ];
        if lists.iter().filter(|l| **l).count() != 1 {
            fault(
                "platform, provider, dns",
                "one of them has to be the directory, and no more".into(),
            );
        }
        if self.sockets < 16 {
            fault("limits.sockets", format!("{} are too few", self.sockets));
        }
        if self.memory_bytes < MIN_MEMORY_BYTES {
            let bytes = self.memory_bytes;
            fault("limits.memory_mb", format!("{bytes} bytes are too few"));
        }
        if let Some(brokers) = &self.brokers {
            for kind in brokers.kinds.iter().filter(|k| !kinds.contains(k)) {
                fault("brokers.kinds", format!("settings.kinds has no '{kind}'"));
            }
            let topic = brokers
                .topic
                .replace("{dest}", "")
                .replace("{class}", "")
                .replace("{key}", "");
            if brokers.topic.is_empty() || topic.contains(['+', '#', '{', '}', '\0']) {
                fault("brokers.topic", format!("'{}' is no topic", brokers.topic));
            }
        }
        faults.extend(self.door.faults(&self.deployment.classes));
        faults
    }

    /// What is wrong with the files that it names: the script, the zone, the secret of updates.
    /// Reads them, and nothing else.
    pub fn faults_of_files(&self) -> Vec<String> {
        let mut faults = Vec::new();
        faults.extend(self.hook.as_deref().and_then(|path| script(path).err()));
        if let Some(dns) = &self.dns {
            let zone = zone_file::read(&dns.zone_file);
            faults.extend(zone.err().map(|e| format!("dns.zone_file: {e}")));
            faults.extend(dns.updates.as_ref().and_then(|u| u.signer().err()));
        }
        faults
    }
}

/// Reads and compiles an operator's script.
pub fn script(path: &Path) -> Result<ScriptHook, String> {
    let text = read_script(path).map_err(|e| e.to_string());
    text.and_then(|t| ScriptHook::compile(&t).map_err(|e| e.to_string()))
        .map_err(|e| format!("hook.script: {}: {e}", path.display()))
}

/// Reads a script's text, and not much more of it than a script may have.
fn read_script(path: &Path) -> io::Result<String> {
    let mut text = String::new();
    let file = std::fs::File::open(path)?;
    file.take(MAX_SCRIPT_BYTES as u64 + 1)
        .read_to_string(&mut text)?;
    Ok(text)
}

/// The JSON Schema of an operator's file (draft 2020-12).
#[cfg(feature = "tools")]
pub fn schema() -> schemars::Schema {
    schemars::schema_for!(File)
}

/// Where an operator's text is not of the form that the schema tells, all places at once.
#[cfg(feature = "tools")]
fn misshapen(text: &str) -> Vec<String> {
    let value = toml::from_str::<toml::Table>(text)
        .ok()
        .and_then(|t| serde_json::to_value(t).ok());
    let validator = jsonschema::validator_for(schema().as_value()).ok();
    let Some((value, validator)) = value.zip(validator) else {
        return Vec::new();
    };
    let place = |at: &str| {
        let path = at.trim_start_matches('/').replace('/', ".");
        if path.is_empty() {
            "the file".to_string()
        } else {
            path
        }
    };
    validator
        .iter_errors(&value)
        .map(|e| format!("{}: {e}", place(&e.instance_path.to_string())))
        .collect()
}

/// Without the tools nothing is known of other places.
#[cfg(not(feature = "tools"))]
fn misshapen(_: &str) -> Vec<String> {
    Vec::new()
}

fn columns(settings: &Value) -> Vec<String> {
    let columns = settings.pointer("/stats/columns").and_then(Value::as_array);
    columns
        .into_iter()
        .flatten()
        .filter_map(|c| c.as_str().map(str::to_string))
        .collect()
}

fn providers(lines: Vec<FileProvider>) -> EndpointListUpdate {
    let entries = lines.into_iter().map(|p| EndpointEntry {
        uid: p.uid,
        address: p.address,
        zone: p.zone,
        kind: p.kind,
        dest: p.dest,
        condition: Condition::Ready,
        rate: p.rate,
        started_unix_ms: 0,
    });
    EndpointListUpdate {
        revision: 1,
        complete: true,
        entries: entries.collect(),
    }
}

fn one_line(e: &toml::de::Error) -> String {
    e.message()
        .lines()
        .next()
        .unwrap_or("cannot be read")
        .to_string()
}

fn seed(value: Option<&Value>) -> Option<u64> {
    match value {
        None => Some(1),
        Some(Value::String(hex)) => u64::from_str_radix(hex, 16).ok(),
        Some(number) => number.as_u64(),
    }
}
