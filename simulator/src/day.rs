//! What a day is made of, as a file says it. Where a value is a pair, each day draws its own from
//! between.

use crate::policies::Policy;
use crate::range::Range;
use raildeal::config::platform_settings::{from_json, Deployment};
use serde::Deserialize;
use std::path::Path;

/// A day.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// What it is called.
    pub name: String,
    /// How long messages come in, in seconds; it goes on until all of them are over.
    pub seconds: f64,
    /// The senders.
    pub senders: Senders,
    /// Who hands messages in.
    pub clients: Clients,
    /// Who takes calls.
    pub partners: Vec<Partners>,
    /// What lies between.
    #[serde(default)]
    pub network: Network,
    /// Who tells of endpoints.
    #[serde(default)]
    pub directory: Directory,
    /// What goes wrong.
    #[serde(default)]
    pub troubles: Vec<Trouble>,
    /// What the decision module works by, as the program reads it.
    pub settings: serde_json::Value,
}

/// The senders.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Senders {
    /// How many.
    pub count: usize,
    /// Descriptors of each; a third are places for clients.
    #[serde(default = "descriptors")]
    pub descriptors: usize,
    /// Bytes of the folder that lasts, of each.
    #[serde(default = "folder")]
    pub folder: u64,
    /// The core's time for a hand-in and for a call, in microseconds.
    #[serde(default)]
    pub cpu_us: f64,
    /// The door for messages: part of the room that one client may take, and how long the quickest
    /// may stay in milliseconds before less is held.
    pub client_share: Option<f64>,
    /// See above.
    pub target_ms: Option<u64>,
    /// Who decides: the module, or a textbook's policy.
    #[serde(default)]
    pub policy: Policy,
}

fn descriptors() -> usize {
    256
}

fn folder() -> u64 {
    3_000_000
}

/// Who hands messages in.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Messages a second at full load.
    pub full: f64,
    /// Part of it that comes.
    pub load: Range,
    /// How many back-end services there are, each with an address.
    #[serde(default = "services")]
    pub services: usize,
    /// Part of the messages that comes in clumps for one partner.
    #[serde(default = "none")]
    pub clumps: Range,
    /// Size of a clump: as many as its partner takes in this time, in seconds.
    #[serde(default = "clump")]
    pub clump_s: Range,
    /// Times that a message is handed in again after a refusal.
    #[serde(default = "again")]
    pub again: u32,
    /// Waited before that where no time was told, in seconds.
    #[serde(default = "pause")]
    pub pause_s: Range,
    /// Bytes of a body.
    #[serde(default = "body")]
    pub body: Range,
    /// How much more the larger partners get: a partner's weight falls with its rank to this power.
    #[serde(default = "skew")]
    pub skew: f64,
    /// The front layer goes on sending to a dead sender for this long, in seconds.
    #[serde(default = "blind")]
    pub blind_s: Range,
}

fn services() -> usize {
    8
}

fn none() -> Range {
    Range::is(0.0)
}

fn clump() -> Range {
    Range {
        low: 1.6,
        high: 3.0,
    }
}

fn again() -> u32 {
    3
}

fn pause() -> Range {
    Range {
        low: 0.33,
        high: 1.3,
    }
}

fn body() -> Range {
    Range {
        low: 200.0,
        high: 2000.0,
    }
}

fn skew() -> f64 {
    0.8
}

fn blind() -> Range {
    Range {
        low: 1.2,
        high: 3.2,
    }
}

/// Some partners of one sort.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Partners {
    /// Their kind, as the settings name it.
    pub kind: String,
    /// How many.
    pub count: Range,
    /// Endpoints of each.
    pub endpoints: Range,
    /// How much more traffic they get than others of the same rank.
    #[serde(default = "one")]
    pub weight: f64,
    /// Calls a second that each takes, as a multiple of its calls at full load.
    pub rate: Range,
    /// And at least.
    #[serde(default = "none")]
    pub rate_least: Range,
    /// Part of its refusals that tell a wait.
    pub tells: Range,
    /// That wait, or longer where there is no room before, in seconds.
    pub wait_s: Range,
    /// Median time for a call, in milliseconds.
    pub service_ms: Range,
    /// Spread of that time within one partner: sigma of its logarithm.
    #[serde(default = "spread")]
    pub spread: f64,
    /// Calls over the rate wait for so long at most, in seconds, before they are refused.
    #[serde(default = "queue")]
    pub queue_s: Range,
    /// Part of its calls that fail on a quiet day.
    #[serde(default = "none")]
    pub errors: Range,
    /// How its limit counts.
    #[serde(default)]
    pub limit: LimitKind,
    /// Length of a window, where windows count, in seconds.
    #[serde(default = "one")]
    pub window_s: f64,
    /// Workers of each limit, where they count; the times for a call tell what they take.
    #[serde(default = "one_worker")]
    pub workers: usize,
    /// Connections that an endpoint takes at once, from all senders; no bound if not set.
    pub connections: Option<u32>,
    /// How the times for a call are spread.
    #[serde(default)]
    pub shape: ShapeKind,
}

/// How a partner's limit counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitKind {
    /// Evenly in time.
    #[default]
    Paced,
    /// So many in each window.
    Window,
    /// As many at once as it has workers.
    Workers,
}

/// How times for a call are spread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShapeKind {
    /// Log-normal, by `spread`.
    #[default]
    LogNormal,
    /// Exponential.
    Exponential,
}

fn one_worker() -> usize {
    1
}

fn one() -> f64 {
    1.0
}

fn spread() -> f64 {
    0.35
}

fn queue() -> Range {
    Range {
        low: 0.2,
        high: 0.6,
    }
}

/// What lies between senders and partners. All buildings are as far from one another.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// One way within a building, in milliseconds.
    pub within_ms: Range,
    /// One way between two.
    pub across_ms: Range,
    /// Part of the calls whose connection breaks.
    pub breaks: f64,
}

impl Default for Network {
    fn default() -> Self {
        let (within_ms, across_ms) = (
            Range {
                low: 0.2,
                high: 0.6,
            },
            Range {
                low: 5.0,
                high: 15.0,
            },
        );
        Network {
            within_ms,
            across_ms,
            breaks: 0.0,
        }
    }
}

/// Who tells of endpoints.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Directory {
    /// How late its news come, in seconds.
    pub late_s: Range,
    /// What the rates in the list are wrong by: a factor up to this, up or down.
    pub rough: f64,
}

impl Default for Directory {
    fn default() -> Self {
        Directory {
            late_s: Range {
                low: 0.5,
                high: 2.0,
            },
            rough: 1.5,
        }
    }
}

/// One thing that goes wrong.
#[derive(Clone, Debug, Deserialize)]
pub struct Trouble {
    /// When it begins, in seconds.
    pub at_s: Range,
    /// How long it lasts.
    #[serde(default = "none")]
    pub for_s: Range,
    /// What it is.
    #[serde(flatten)]
    pub what: What,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum What {
    /// A part of the senders is killed, and comes back after the time with what its folder holds.
    SendersDie {
        /// The part.
        share: Range,
    },
    /// The senders are killed one after another over the time, each down for this long.
    SendersRestart {
        /// Down, in seconds.
        down_s: Range,
    },
    /// The directory is later than usual.
    DirectoryBehind {
        /// By this, in seconds.
        by_s: Range,
    },
    /// The directory cannot be asked.
    DirectoryDown,
    /// Partners with this part of the traffic fail that part of their calls.
    PartnersFail {
        /// Of the traffic.
        share: Range,
        /// Of the calls.
        calls: Range,
    },
    /// Partners with this part of the traffic refuse all, and come back cold.
    PartnersShut {
        /// Of the traffic.
        share: Range,
    },
    /// Partners with this part of the traffic answer nothing.
    PartnersHang {
        /// Of the traffic.
        share: Range,
    },
    /// All endpoints of one building refuse all, and come back cold.
    BuildingOut,
    /// The largest partners draw more messages.
    Surge {
        /// How many partners.
        partners: u32,
        /// Messages more, as a part of all.
        more: Range,
    },
    /// Endpoints are drained and, after the time, removed; each is replaced by a new one.
    Replaced {
        /// Part of them.
        share: Range,
    },
    /// One address opens connections that say nothing, each held for a second.
    Flood {
        /// Connections a second, at each sender.
        per_second: f64,
    },
}

/// Why a file is no day.
#[derive(Debug, thiserror::Error)]
pub enum Bad {
    /// It cannot be read.
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    /// It is not what a day is written like.
    #[error("{0}: {1}")]
    Form(String, toml::de::Error),
    /// A setting is not what it may be.
    #[error("{setting}: {what}")]
    Setting {
        /// Which.
        setting: String,
        /// What it may be.
        what: String,
    },
}

fn bad(setting: &str, what: impl Into<String>) -> Bad {
    Bad::Setting {
        setting: setting.into(),
        what: what.into(),
    }
}

impl Day {
    /// Reads a day's file.
    pub fn read(file: &Path) -> Result<Day, Bad> {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file).map_err(|e| Bad::File(name.clone(), e))?;
        Day::parse(&name, &text)
    }

    /// Reads a day's text.
    pub fn parse(name: &str, text: &str) -> Result<Day, Bad> {
        let day: Day = toml::from_str(text).map_err(|e| Bad::Form(name.into(), e))?;
        day.check()?;
        Ok(day)
    }

    /// What the senders are set up by.
    pub fn deployment(&self) -> Result<Deployment, Bad> {
        from_json(&self.settings).map_err(|e| bad("settings", e))
    }

    /// Whether all values are what they may be.
    pub fn check(&self) -> Result<(), Bad> {
        let deployment = self.deployment()?;
        if deployment.zones.is_empty() {
            return Err(bad(
                "settings.localities",
                "names no building; one at least",
            ));
        }
        if !(self.seconds > 0.0 && self.seconds <= 86_400.0) {
            return Err(bad(
                "seconds",
                format!("{} is not over 0 and up to 86400", self.seconds),
            ));
        }
        if !(1..=10_000).contains(&self.senders.count) {
            return Err(bad(
                "senders.count",
                format!("{} is not from 1 to 10000", self.senders.count),
            ));
        }
        if !(self.clients.full > 0.0 && self.clients.full <= 1e6) {
            return Err(bad(
                "clients.full",
                format!("{} is not over 0 and up to 1e6", self.clients.full),
            ));
        }
        if self.clients.services == 0 {
            return Err(bad("clients.services", "0 hand nothing in; 1 at least"));
        }
        let clients = &self.clients;
        let mut ranges = vec![
            ("clients.load", clients.load, 0.0, 100.0),
            ("clients.clumps", clients.clumps, 0.0, 1.0),
            ("clients.clump_s", clients.clump_s, 0.0, 1e3),
            ("clients.pause_s", clients.pause_s, 0.0, 1e3),
            ("clients.blind_s", clients.blind_s, 0.0, 1e3),
            ("clients.body", clients.body, 0.0, 65_536.0),
            ("network.within_ms", self.network.within_ms, 0.0, 1e4),
            ("network.across_ms", self.network.across_ms, 0.0, 1e4),
            ("directory.late_s", self.directory.late_s, 0.0, 1e3),
        ];
        if self.partners.is_empty() {
            return Err(bad("partners", "there are none; one at least"));
        }
        for p in &self.partners {
            if !deployment.kinds.contains(&p.kind) {
                return Err(bad(
                    "partners.kind",
                    format!("settings.kinds has no '{}'", p.kind),
                ));
            }
            ranges.extend([
                ("partners.count", p.count, 1.0, 65_535.0),
                ("partners.endpoints", p.endpoints, 1.0, 64.0),
                ("partners.rate", p.rate, 0.01, 1e6),
                ("partners.rate_least", p.rate_least, 0.0, 1e6),
                ("partners.tells", p.tells, 0.0, 1.0),
                ("partners.wait_s", p.wait_s, 0.0, 1e4),
                ("partners.service_ms", p.service_ms, 0.0, 1e6),
                ("partners.queue_s", p.queue_s, 0.0, 1e4),
                ("partners.errors", p.errors, 0.0, 1.0),
                ("partners.window_s", Range::is(p.window_s), 0.001, 1e4),
                ("partners.workers", Range::is(p.workers as f64), 1.0, 1e4),
            ]);
        }
        for t in &self.troubles {
            ranges.push(("troubles.at_s", t.at_s, 0.0, 86_400.0));
            ranges.push(("troubles.for_s", t.for_s, 0.0, 86_400.0));
            match t.what {
                What::SendersDie { share }
                | What::PartnersShut { share }
                | What::PartnersHang { share }
                | What::Replaced { share } => ranges.push(("troubles.share", share, 0.0, 1.0)),
                What::PartnersFail { share, calls } => ranges.extend([
                    ("troubles.share", share, 0.0, 1.0),
                    ("troubles.calls", calls, 0.0, 1.0),
                ]),
                What::SendersRestart { down_s } => {
                    ranges.push(("troubles.down_s", down_s, 0.0, 1e4))
                }
                What::DirectoryBehind { by_s } => ranges.push(("troubles.by_s", by_s, 0.0, 1e4)),
                What::Surge { more, .. } => ranges.push(("troubles.more", more, 0.0, 10.0)),
                What::DirectoryDown | What::BuildingOut | What::Flood { .. } => {}
            }
        }
        for (setting, range, least, most) in ranges {
            if !range.holds(least, most) {
                let Range { low, high } = range;
                return Err(bad(
                    setting,
                    format!("[{low}, {high}] is not a range from {least} to {most}"),
                ));
            }
        }
        Ok(())
    }
}
