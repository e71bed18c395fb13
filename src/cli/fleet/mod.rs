//! `raildeal fleet`: what operators ask of the keepers, and what they order.

mod policy;
mod table;

use clap::{Args, Subcommand, ValueEnum};
use raildeal::agent::config::{FleetConfig, FleetConfigError};
use raildeal::coordination::framing::{self, FrameError};
use raildeal::coordination::messages::{
    CoordinationStatus, Handshake, OperatorRequest, OperatorResponse, PeerRole, RequestedZoneState,
    MAX_FRAME_BYTES, PROTOCOL_VERSION,
};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

/// A keeper is waited for so long: a group without a leader has another one within 2 s.
const ANSWER: Duration = Duration::from_secs(3);
/// An order is tried at all keepers for so long: an election may lie between, and one may have to
/// be found that hears.
const PATIENCE: Duration = Duration::from_secs(8);
/// Between two rounds over all keepers.
const PAUSE: Duration = Duration::from_millis(200);

/// Names in a line, at the most.
const NAMES: usize = 20;

/// The order was not given: no keeper that leads could be asked.
const UNHEARD: u8 = 2;
/// The keepers said no.
const REFUSED: u8 = 1;

/// Asks the keepers of a site how things stand, and tells them what to do.
#[derive(Args)]
pub struct Orders {
    /// The file that senders are told of their keepers by (deploy/fleet.toml).
    /// Without it, RAILDEAL_FLEET names it.
    #[arg(long, global = true)]
    file: Option<PathBuf>,
    /// Prints JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Tells who leads, which keepers vote, which senders hold a lease, and what is ordered of
    /// zones.
    Status,
    /// Leaves a zone, returns to it, or lets evidence decide again. Ordered twice is ordered once.
    Zone {
        /// What.
        order: Order,
        /// The zone, as the directory names it.
        zone: String,
        /// The word holds for so many seconds, then evidence decides again; without it, until
        /// another word.
        #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u64).range(0..=30 * 86_400))]
        for_s: u64,
    },
    /// Rolls rules out region by region, with automatic halt.
    Policy {
        #[command(subcommand)]
        what: policy::Policy,
    },
    /// A routing table that all sites of a federation agree on before any goes by it.
    Table {
        #[command(subcommand)]
        what: table::Table,
    },
    /// Who is counted in a federation.
    Site {
        #[command(subcommand)]
        what: table::Sites,
    },
    /// Takes a keeper into the group, or out of it for good; one at a time.
    Keeper {
        #[command(subcommand)]
        change: Change,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Order {
    /// All senders leave it, as far as the rest can bear what goes there.
    Leave,
    /// All senders return to it at the pace of its warm-up.
    Return,
    /// It stays as it is: evidence moves nothing.
    Hold,
    /// Evidence decides again.
    Free,
}

impl From<Order> for RequestedZoneState {
    fn from(order: Order) -> Self {
        match order {
            Order::Leave => RequestedZoneState::Leave,
            Order::Return => RequestedZoneState::Return,
            Order::Hold => RequestedZoneState::Hold,
            Order::Free => RequestedZoneState::Free,
        }
    }
}

#[derive(Subcommand)]
enum Change {
    /// Takes one in. It was never in the group before under this number.
    Add {
        /// Its number.
        keeper: u64,
        /// Where it listens.
        at: SocketAddr,
    },
    /// Takes one out.
    Remove {
        /// Its number.
        keeper: u64,
    },
}

/// Why nothing was done.
#[derive(Debug, thiserror::Error)]
enum NotDone {
    #[error("--file: the keepers' addresses are needed; RAILDEAL_FLEET may name the file as well")]
    NoFile,
    #[error(transparent)]
    File(FleetConfigError),
    #[error("no keeper that leads answered within {PATIENCE:?}; last: {0}")]
    Unheard(String),
}

impl Orders {
    /// Carries it out: 0 if it was done or stood so before, 1 if the keepers said no, 2 if none
    /// that leads could be asked.
    pub fn run(self) -> Result<ExitCode, String> {
        let site = Site(
            self.file
                .or_else(|| std::env::var_os("RAILDEAL_FLEET").map(PathBuf::from)),
        );
        let word = match self.what {
            What::Policy { what } => return what.run(&site, self.json),
            What::Table { what } => return what.run(&site, self.json),
            What::Site { what } => return what.run(&site, self.json),
            What::Status => OperatorRequest::Status,
            What::Zone { order, zone, for_s } => OperatorRequest::RequestZoneState {
                zone,
                order: order.into(),
                for_s,
            },
            What::Keeper {
                change: Change::Add { keeper, at },
            } => OperatorRequest::AddReplica {
                keeper,
                at: at.to_string(),
            },
            What::Keeper {
                change: Change::Remove { keeper },
            } => OperatorRequest::RemoveReplica { keeper },
        };
        site.order(&word, self.json)
    }
}

/// Whose keepers are asked: the file that names them, if one is known.
struct Site(Option<PathBuf>);

impl Site {
    fn ask(&self, word: &OperatorRequest) -> Result<OperatorResponse, NotDone> {
        let file = self.0.as_deref().ok_or(NotDone::NoFile)?;
        ask(&FleetConfig::read(file).map_err(NotDone::File)?, word)
    }

    /// Asks or orders something and tells the answer.
    fn order(&self, word: &OperatorRequest, json: bool) -> Result<ExitCode, String> {
        match self.ask(word) {
            Ok(answer) => tell(&answer, json).map_err(|e| e.to_string()),
            Err(e) => unheard(&e),
        }
    }
}

fn unheard(e: &NotDone) -> Result<ExitCode, String> {
    eprintln!("raildeal: {e}");
    Ok(ExitCode::from(UNHEARD))
}

/// Asks one keeper after another until one that leads has answered.
fn ask(fleet: &FleetConfig, word: &OperatorRequest) -> Result<OperatorResponse, NotDone> {
    let (begun, mut last) = (Instant::now(), String::from("no keepers are named"));
    while begun.elapsed() < PATIENCE {
        let mut told = Vec::new();
        for at in fleet.replicas.values().copied() {
            match ask_one(&fleet.site, at, word) {
                Ok(OperatorResponse::NotLeader(leader)) => {
                    last = match leader {
                        Some(leader) => format!("{at} says that keeper {leader} leads"),
                        None => format!("{at} knows of nobody who leads"),
                    }
                }
                // Each knows what keeps others from it; who leads knows the rest.
                Ok(OperatorResponse::Status(status)) => told.push(*status),
                Ok(answer) => return Ok(answer),
                Err(e) => last = format!("{at}: {e}"),
            }
        }
        if let Some(status) = joined(told) {
            return Ok(OperatorResponse::Status(Box::new(status)));
        }
        thread::sleep(PAUSE);
    }
    Err(NotDone::Unheard(last))
}

/// What the one that leads says, or the first where none does, with the trouble that each of them
/// has.
fn joined(mut told: Vec<CoordinationStatus>) -> Option<CoordinationStatus> {
    // The sort is stable.
    told.sort_by_key(|s| s.leader != s.replica);
    let mut told = told.into_iter();
    let mut first = told.next()?;
    let each = |s: &CoordinationStatus| {
        let by = s.replica;
        let named =
            |(keeper, why): &(u64, String)| (*keeper, format!("{why}, as keeper {by} says"));
        s.faults.iter().map(named).collect::<Vec<_>>()
    };
    first.faults = each(&first)
        .into_iter()
        .chain(told.flat_map(|s| each(&s)))
        .collect();
    first.faults.sort();
    Some(first)
}

fn ask_one(
    site: &str,
    at: SocketAddr,
    word: &OperatorRequest,
) -> Result<OperatorResponse, FrameError> {
    let mut stream = TcpStream::connect_timeout(&at, ANSWER)?;
    stream.set_read_timeout(Some(ANSWER))?;
    stream.set_write_timeout(Some(ANSWER))?;
    let hello = Handshake {
        version: PROTOCOL_VERSION,
        site: site.into(),
        role: PeerRole::Operator,
    };
    framing::write_blocking(&mut stream, &hello, MAX_FRAME_BYTES)?;
    framing::write_blocking(&mut stream, word, MAX_FRAME_BYTES)?;
    framing::read_blocking(&mut stream, MAX_FRAME_BYTES)
}

fn tell(answer: &OperatorResponse, json: bool) -> io::Result<ExitCode> {
    let refused = matches!(answer, OperatorResponse::Rejected(_));
    let text = if json {
        as_json(answer)?
    } else {
        as_text(answer)
    };
    io::Write::write_all(&mut io::stdout(), text.as_bytes())?;
    Ok(if refused {
        ExitCode::from(REFUSED)
    } else {
        ExitCode::SUCCESS
    })
}

fn as_json(answer: &OperatorResponse) -> io::Result<String> {
    let value = match answer {
        OperatorResponse::Done(version) => serde_json::json!({"done": true, "version": version}),
        OperatorResponse::Rejected(why) => serde_json::json!({"done": false, "why": why}),
        OperatorResponse::NotLeader(leader) => serde_json::json!({"done": false, "leader": leader}),
        OperatorResponse::Status(status) => serde_json::to_value(status)?,
        OperatorResponse::PolicyStatus(status) => policy::status_json(status),
        OperatorResponse::PolicyHistory(past) => past.iter().map(policy::past_json).collect(),
        OperatorResponse::PolicyText { number, text, .. } => {
            serde_json::json!({"policy": number, "text": text})
        }
        OperatorResponse::FederationStatus(status) => table::status_json(status),
        OperatorResponse::TableHistory(past) => past.iter().map(table::past_json).collect(),
        OperatorResponse::TableText { number, text, .. } => {
            serde_json::json!({"table": number, "text": text})
        }
    };
    Ok(format!("{value}\n"))
}

fn as_text(answer: &OperatorResponse) -> String {
    match answer {
        OperatorResponse::Done(version) => format!("done, in version {version} of the record\n"),
        OperatorResponse::Rejected(why) => {
            why.lines().map(|why| format!("refused: {why}\n")).collect()
        }
        OperatorResponse::NotLeader(_) => String::from("not done: another keeper leads\n"),
        OperatorResponse::Status(status) => lines(status).join("\n") + "\n",
        OperatorResponse::PolicyStatus(status) => policy::status_lines(status).join("\n") + "\n",
        OperatorResponse::PolicyHistory(past) => {
            past.iter().map(|p| policy::past_line(p) + "\n").collect()
        }
        OperatorResponse::PolicyText { text, .. } | OperatorResponse::TableText { text, .. } => {
            text.clone()
        }
        OperatorResponse::FederationStatus(status) => table::status_lines(status).join("\n") + "\n",
        OperatorResponse::TableHistory(past) => {
            past.iter().map(|p| table::past_line(p) + "\n").collect()
        }
    }
}

/// How things stand, a line each.
fn lines(s: &CoordinationStatus) -> Vec<String> {
    let keepers: Vec<String> = s.voters.iter().map(u64::to_string).collect();
    let behind = s.senders.iter().filter(|(_, has)| *has < s.version).count();
    let leads = match s.leader {
        0 => String::from("no keeper leads"),
        n => format!("keeper {n} leads"),
    };
    let mut lines = vec![
        format!(
            "site {}: {leads} in term {}, version {} of the record",
            s.site, s.term, s.version
        ),
        format!("keepers that vote: {}", keepers.join(" ")),
        format!(
            "senders: {} with a lease, {behind} of them behind the record",
            s.senders.len()
        ),
    ];
    lines.extend(
        s.faults
            .iter()
            .map(|(keeper, why)| format!("keeper {keeper}: {why}")),
    );
    lines.extend(s.lapsed.iter().map(|sender| format!("lapsed: {sender}")));
    lines.extend(
        s.zones
            .iter()
            .map(|(zone, ordered, why)| format!("zone {zone}: {ordered} ({why})")),
    );
    lines
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_status_is_of_the_one_that_leads_with_the_trouble_of_all() {
        let of = |keeper, leader, other, why: &str| CoordinationStatus {
            replica: keeper,
            leader,
            faults: vec![(other, why.to_string())],
            senders: vec![("n1".into(), keeper)],
            ..CoordinationStatus::default()
        };
        assert_eq!(joined(Vec::new()), None);
        let told = joined(vec![of(1, 2, 3, "not reached"), of(2, 2, 4, "no record")]).expect("two");
        assert_eq!((told.replica, told.senders[0].1), (2, 2));
        let said = [
            (3, "not reached, as keeper 1 says".into()),
            (4, "no record, as keeper 2 says".into()),
        ];
        assert_eq!(told.faults, said);
        let alone =
            joined(vec![of(1, 0, 2, "not met yet"), of(3, 0, 2, "not met yet")]).expect("two");
        assert_eq!((alone.replica, alone.faults.len()), (1, 2));
        assert!(as_text(&OperatorResponse::Status(Box::new(alone)))
            .contains("no keeper leads in term 0"));
    }

    #[test]
    fn each_answer_is_told_as_text_and_as_json() {
        let status = CoordinationStatus {
            site: "north".into(),
            leader: 2,
            term: 7,
            version: 40,
            voters: vec![1, 2, 3],
            senders: vec![("n1".into(), 40), ("n2".into(), 39)],
            lapsed: vec!["n3".into()],
            zones: vec![("b".into(), "left".into(), "evidence".into())],
            faults: vec![(3, "not reached at 10.0.0.3:7100: Connection refused".into())],
            ..CoordinationStatus::default()
        };
        let text = as_text(&OperatorResponse::Status(Box::new(status.clone())));
        for line in [
            "keeper 2 leads in term 7",
            "2 with a lease, 1 of them",
            "lapsed: n3",
            "zone b: left",
            "keeper 3: not reached",
        ] {
            assert!(text.contains(line), "{line}: {text}");
        }
        let json = as_json(&OperatorResponse::Status(Box::new(status))).expect("json");
        assert!(
            json.contains("\"leader\":2") && json.ends_with('\n'),
            "{json}"
        );
        assert_eq!(
            as_text(&OperatorResponse::Rejected("no such zone".into())),
            "refused: no such zone\n"
        );
        assert!(as_json(&OperatorResponse::Done(9))
            .expect("json")
            .contains("\"done\":true"));
    }
}
