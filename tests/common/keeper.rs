//! A keeper that a test plays, and what a sender is told that follows it.
#![allow(dead_code)]

use raildeal::coordination::framing;
use raildeal::coordination::messages::*;
use raildeal_test_harness::limits::Terms as Bears;
use raildeal_test_harness::{partner::Partner, record::Record};
use serde_json::json;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What a sender is told that has these partners in zones a and b.
pub fn config(discovery: SocketAddr, targets: &[serde_json::Value]) -> serde_json::Value {
    json!({"listen": "127.0.0.1:0", "discovery": discovery, "seed": "000000000000002a",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256, "disk_mb": 3},
        "known": {"rev": 1, "all": true, "targets": targets}, "settings": {
            "balancers": 1, "discovery": "subscribe", "kinds": ["hook"], "localities": ["a", "b"], "weights": "rough",
            "categories": [{"name": "event", "promise": 3_000_000_000u64, "deadline": 16_000_000_000u64, "effect": "pure",
                "points": 1.0, "lateWorth": 0.5}],
            "familyInfo": {"maxCalls": 12, "kindApart": [true], "kindBatch": [1], "losesWorth": "halving"},
            "limits": {"maxAttempts": 12, "openCap": 100, "retryAfter": true, "maxRetryAfter": 2_000_000_000u64,
                "idleClose": 15_000_000_000u64, "connectTimeout": 1_500_000_000u64},
            "rules": {"coldShare": 0.23, "warmAfter": 2_000_000_000u64, "overloadFactor": 2.0,
                "overloadFor": 3_000_000_000u64, "mustAskIn": 10_000_000_000u64}}})
}

/// A partner as a directory lists it.
pub fn target(
    uid: &str,
    zone: &str,
    dest: u16,
    takes: Duration,
    record: &Arc<Record>,
) -> serde_json::Value {
    let partner = Partner::start(uid, takes, Bears::default(), record.clone()).expect("a port");
    json!({"uid": uid, "endpoint": partner.address().to_string(), "az": zone, "model": "hook", "pod_group": dest,
        "state": "active", "capacity_hint": 50.0, "boot_ms": 0})
}

/// What a keeper that this test plays was told, and what it is to say.
#[derive(Default)]
pub struct Told {
    pub view: SenderView,
    /// Calls that it may still grant.
    pub budget: u32,
    pub counts: BTreeMap<u64, Vec<ZoneCallCounts>>,
    pub listed: Vec<ListedZoneCapacity>,
    pub left: bool,
    pub away: bool,
    /// Its register: turn, policy, and whether it is paused; nothing where it has none.
    pub rule: Option<(u64, u64, bool)>,
    pub offer: Option<(u64, Digest, String)>,
    pub stored: BTreeMap<u64, Option<String>>,
    /// The highest turn that the sender goes by.
    pub turn: u64,
    pub health: BTreeMap<u64, Vec<MessageOutcomeCounts>>,
}

#[derive(Clone, Default)]
pub struct Keeper(Arc<Mutex<Told>>);

impl Keeper {
    /// Listens; one that does not lead names who does.
    pub fn start(&self, leads: bool) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address");
        let keeper = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let keeper = keeper.clone();
                thread::spawn(move || keeper.serve(stream, leads));
            }
        });
        at
    }

    pub fn told(&self) -> std::sync::MutexGuard<'_, Told> {
        self.0.lock().expect("whole")
    }

    fn serve(&self, mut stream: TcpStream, leads: bool) -> io::Result<()> {
        let hello: Handshake = read(&mut stream)?;
        assert_eq!(
            (hello.version, hello.site.as_str(), hello.role),
            (PROTOCOL_VERSION, "s", PeerRole::Agent)
        );
        let (own, mut said) = (self.clone(), stream.try_clone()?);
        if leads {
            // What is ordered is said at once.
            thread::spawn(move || -> io::Result<()> {
                let (mut version, mut turn, mut offered) = (0, 0, 0);
                loop {
                    thread::sleep(Duration::from_millis(2));
                    let (view, rule, offer) = {
                        let told = own.told();
                        (told.view.clone(), told.rule, told.offer.clone())
                    };
                    let away = own.told().away;
                    if away {
                        return said.shutdown(std::net::Shutdown::Both);
                    }
                    if let Some((number, digest, text)) = offer.filter(|o| o.0 > offered) {
                        offered = number;
                        write(
                            &mut said,
                            &ReplicaToAgent::OfferPolicy {
                                number,
                                digest,
                                text,
                            },
                        )?;
                    }
                    if let Some((now, number, paused)) = rule.filter(|r| r.0 > turn) {
                        turn = now;
                        write(
                            &mut said,
                            &ReplicaToAgent::ApplyPolicy {
                                turn,
                                number,
                                paused,
                            },
                        )?;
                    }
                    if view.version > version {
                        version = view.version;
                        write(&mut said, &ReplicaToAgent::View(view))?;
                    }
                }
            });
        }
        loop {
            let word: AgentToReplica = read(&mut stream)?;
            if self.told().away {
                return stream.shutdown(std::net::Shutdown::Both);
            }
            if !leads {
                write(&mut stream, &ReplicaToAgent::NotLeader(Some(2)))?;
                continue;
            }
            match word {
                AgentToReplica::OpenSession { sender, zone, .. } => {
                    assert_eq!((sender.as_str(), zone.as_str()), ("n0", "b"));
                    write(
                        &mut stream,
                        &ReplicaToAgent::LeaseRenewed {
                            report: 0,
                            lease_ms: 1_500,
                        },
                    )?;
                }
                AgentToReplica::Report {
                    report,
                    call_counts: seen,
                    listed,
                    lease_requests: wants,
                    outcomes: health,
                    ..
                } => {
                    write(
                        &mut stream,
                        &ReplicaToAgent::LeaseRenewed {
                            report,
                            lease_ms: 1_500,
                        },
                    )?;
                    let mut told = self.told();
                    told.health.entry(report).or_insert(health);
                    told.counts.entry(report).or_insert(seen);
                    told.listed = listed.unwrap_or(std::mem::take(&mut told.listed));
                    let epoch = told.view.zones.first().map_or(0, |z| z.epoch);
                    for want in wants
                        .into_iter()
                        .filter(|w| w.attempts > 0)
                        .take(told.budget as usize)
                    {
                        told.budget -= 1;
                        let (zone, dest) = (want.zone, want.dest);
                        let grant = AttemptLeaseGrant {
                            report,
                            zone,
                            epoch,
                            dest,
                            attempts: 1,
                            within_ms: 2_000,
                        };
                        write(&mut stream, &ReplicaToAgent::GrantAttempts(grant))?;
                    }
                }
                AgentToReplica::PolicyChecked { number, refused } => {
                    _ = self.told().stored.insert(number, refused)
                }
                AgentToReplica::PolicyApplied { turn } => {
                    let mut told = self.told();
                    told.turn = told.turn.max(turn);
                }
                AgentToReplica::CloseSession => self.told().left = true,
                AgentToReplica::RoutingTable(_) => {}
            }
        }
    }
}

pub fn read<T: serde::de::DeserializeOwned>(stream: &mut TcpStream) -> io::Result<T> {
    framing::read_blocking(stream, MAX_FRAME_BYTES).map_err(io::Error::other)
}

pub fn write<T: serde::Serialize>(stream: &mut TcpStream, word: &T) -> io::Result<()> {
    framing::write_blocking(stream, word, MAX_FRAME_BYTES).map_err(io::Error::other)
}

pub fn wait(what: &str, done: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !done() {
        assert!(Instant::now() < end, "{what}");
        thread::sleep(Duration::from_millis(5));
    }
}
