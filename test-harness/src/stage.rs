//! What every play stands on: endpoints of partners, the directory that lists them, and senders
//! that are told of both.

use crate::directory::Directory;
use crate::limits::Terms;
use crate::partner::Partner;
use crate::record::{Record, MUST_ASK_IN};
use crate::rules::RARE_CLASS;
use crate::sender::{NoSender, Sender, CLASS};
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Destinations.
pub(crate) const DESTS: usize = 10;
/// Time that a message has.
pub(crate) const LEFT: Duration = Duration::from_secs(16);

/// Where the endpoints stand, and what they bear.
#[derive(Clone, Debug)]
pub(crate) struct Ground {
    /// Endpoints: destinations in turn, and for each ten of them the next zone.
    pub endpoints: usize,
    /// The zones.
    pub zones: Vec<String>,
    /// What a call takes.
    pub call: Duration,
    /// What each endpoint bears.
    pub terms: Terms,
    /// Whether each is reached over a line that can fail.
    pub lines: bool,
}

impl Ground {
    /// The zone of an endpoint.
    pub fn zone(&self, endpoint: usize) -> &str {
        &self.zones[endpoint / DESTS % self.zones.len()]
    }

    /// The endpoints of a zone.
    pub fn of_zone<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = usize> + 'a {
        (0..self.endpoints).filter(move |n| self.zone(*n) == zone)
    }
}

/// Stand-ins that run, and the list that senders keep of them.
pub(crate) struct Stage {
    pub record: Arc<Record>,
    pub directory: Directory,
    /// Of further sites; each lists the endpoints of all.
    pub others: Vec<Directory>,
    pub partners: Vec<Partner>,
    pub ground: Ground,
    /// Time that a message has.
    pub deadline: Duration,
    kept: Vec<Value>,
    targets: Vec<Value>,
    ask: Duration,
}

/// What a sender is told.
pub(crate) struct Told<'a> {
    pub program: &'a Path,
    pub seed: u64,
    /// How many senders the settings say that there are.
    pub balancers: usize,
    /// Whether it knows a second class, which is rare.
    pub rare: bool,
}

impl Stage {
    /// So many endpoints of one zone without a bound; see [`Stage::on`].
    pub fn set(
        endpoints: usize,
        call: Duration,
        ask: Duration,
        is_gone: impl Fn(usize) -> bool,
    ) -> io::Result<Stage> {
        let terms = Terms::default();
        Stage::on(
            Ground {
                endpoints,
                zones: vec!["a".into()],
                call,
                terms,
                lines: false,
            },
            ask,
            is_gone,
        )
    }

    /// Endpoints `s0`, `s1` and so on, and a directory that needs `ask` for an ask. The kept lists
    /// name others in place of those that are gone.
    pub fn on(ground: Ground, ask: Duration, is_gone: impl Fn(usize) -> bool) -> io::Result<Stage> {
        let record = Arc::new(Record::default());
        let (mut targets, mut kept, mut partners) = (Vec::new(), Vec::new(), Vec::new());
        for n in 0..ground.endpoints {
            let uid = format!("s{n}");
            let partner = Partner::start(&uid, ground.call, ground.terms, record.clone())?;
            record.stands(&uid, ground.zone(n), n % DESTS);
            let at = if ground.lines {
                partner.line()?.address
            } else {
                partner.address()
            };
            let there = target(&ground, n, &uid, &at.to_string());
            // Nobody listens on these ports of the loopback addresses.
            let gone = || {
                target(
                    &ground,
                    n,
                    &format!("gone{n}"),
                    &format!("127.0.0.9:{}", 1 + n),
                )
            };
            kept.push(if is_gone(n) { gone() } else { there.clone() });
            targets.push(there);
            partners.push(partner);
        }
        let directory = Directory::start(ask, targets.clone(), record.clone())?;
        let others = Vec::new();
        Ok(Stage {
            record,
            directory,
            others,
            partners,
            ground,
            deadline: LEFT,
            kept,
            targets,
            ask,
        })
    }

    /// So many sites have a directory of their own.
    pub fn sites(&mut self, count: usize) -> io::Result<()> {
        let more = (1..count)
            .map(|_| Directory::start(self.ask, self.targets.clone(), self.record.clone()));
        self.others = more.collect::<io::Result<_>>()?;
        Ok(())
    }

    /// All directories, the first one first.
    pub fn directories(&self) -> impl Iterator<Item = &Directory> {
        std::iter::once(&self.directory).chain(&self.others)
    }

    /// The directory of a site.
    pub fn directory_of(&self, site: usize) -> &Directory {
        self.directories().nth(site).unwrap_or(&self.directory)
    }

    /// The sender `n0`, `n1` or so on, which finds the directory at an address; it is not started
    /// yet.
    pub fn sender(&self, told: &Told, n: usize, directory: SocketAddr) -> Result<Sender, NoSender> {
        let config = json!({"listen": "127.0.0.1:0", "discovery": directory,
            "seed": format!("{:016x}", told.seed + n as u64),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256, "disk_mb": 3},
            "known": {"rev": 1, "all": true, "targets": self.kept},
            "settings": settings(told, &self.ground, self.deadline)});
        Sender::new(told.program, format!("n{n}"), config)
    }
}

/// Settings of a deployment with so many senders.
fn settings(told: &Told, ground: &Ground, deadline: Duration) -> Value {
    let terms = &ground.terms;
    let nanos = |s: f64| Duration::from_secs_f64(s).as_nanos() as u64;
    let class = |name: &str| {
        json!({"name": name, "promise": 3_000_000_000u64, "deadline": deadline.as_nanos() as u64, "effect": "token",
            "dedupScope": "zone", "window": 10_000_000_000u64, "points": 1.0, "lateWorth": 0.5})
    };
    let classes: Vec<Value> = [(CLASS, true), (RARE_CLASS, told.rare)]
        .iter()
        .filter(|c| c.1)
        .map(|c| class(c.0))
        .collect();
    json!({
        "balancers": told.balancers, "discovery": "subscribe", "kinds": ["hook"], "localities": ground.zones, "weights": "rough",
        "categories": classes,
        "familyInfo": {"maxCalls": 12, "kindApart": [true], "kindBatch": [1], "losesWorth": "halving"},
        "limits": {"maxAttempts": 12, "openCap": 100, "retryAfter": true, "maxRetryAfter": 2_000_000_000u64,
            "idleClose": 15_000_000_000u64, "connectTimeout": 1_500_000_000u64},
        "rules": {"coldShare": terms.cold_share, "warmAfter": nanos(terms.warm_after_s),
            "overloadFactor": terms.overload_factor, "overloadFor": nanos(terms.overload_for_s),
            "mustAskIn": MUST_ASK_IN.as_nanos() as u64}
    })
}

/// A line of the directory.
fn target(ground: &Ground, n: usize, uid: &str, endpoint: &str) -> Value {
    json!({"uid": uid, "endpoint": endpoint, "az": ground.zone(n), "model": "hook", "pod_group": n % DESTS,
        "state": "active", "capacity_hint": ground.terms.listed, "boot_ms": 0})
}
