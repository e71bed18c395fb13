//! `raildeal fleet table` and `raildeal fleet site`: the routing table that all sites agree on, and
//! who is counted in.

use super::policy::{answered, compared, parsed, print, read, refuse, told, Unknown};
use super::{Site, NAMES};
use clap::Subcommand;
use data_encoding::HEXLOWER;
use raildeal::coordination::messages::{
    Digest, FederationRequest, FederationStatus, OperatorRequest, OperatorResponse, PastProposal,
};
#[cfg(feature = "tools")]
use raildeal::coordination::routing_table::document::schema;
use raildeal::coordination::routing_table::document::Document;
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub enum Table {
    /// Proposes a table to all sites; ends when the federation's record has the proposal. It is
    /// decided when all have accepted it.
    Propose {
        /// The table.
        #[arg(id = "table", value_name = "FILE")]
        file: PathBuf,
        /// It ends nowhere if not all sites have accepted it in so many seconds.
        #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u32).range(1..=86_400))]
        within_s: u32,
    },
    /// Tells which table is in force, which sites go by it, how the proposal stands, and who is
    /// waited for here.
    Status,
    /// Ends the proposal nowhere.
    Abort {
        /// Why, for those who come after.
        why: Option<String>,
    },
    /// Tells the proposals that are over, the newest first.
    History,
    /// Tells what is another in the second table.
    Diff {
        /// A file, or the number of a table that is in force, was before, or is proposed; 0 for the
        /// list alone.
        from: String,
        /// The same.
        to: String,
    },
    /// Checks a table without asking any keeper: all faults by line. What a sender lacks for it,
    /// only that sender knows.
    Check {
        /// The table.
        #[arg(id = "table", value_name = "FILE")]
        file: PathBuf,
    },
    /// Prints the JSON Schema of a table.
    #[cfg(feature = "tools")]
    Schema,
}

#[derive(Subcommand)]
pub enum Sites {
    /// Takes a site off the roster, once it can take nothing on any more; a proposal that runs
    /// ends.
    Off {
        /// Its name.
        site: String,
    },
    /// Takes a site in, as a new one.
    Join {
        /// Its name.
        site: String,
        /// Its number, never used before.
        number: u64,
        /// Where its keepers listen.
        #[arg(required = true)]
        at: Vec<std::net::SocketAddr>,
    },
}

impl Table {
    pub fn run(self, site: &Site, json: bool) -> Result<ExitCode, String> {
        let order = match self {
            Table::Propose { file, within_s } => {
                let text = read(&file)?;
                let faults = told(&file, Document::parse(&text));
                if !faults.is_empty() {
                    return refuse(&faults, json);
                }
                FederationRequest::ProposeTable { text, within_s }
            }
            Table::Status => FederationRequest::Status,
            Table::Abort { why } => FederationRequest::AbortProposal {
                why: why.unwrap_or_default(),
            },
            Table::History => FederationRequest::TableHistory,
            Table::Check { file } => return check(&file, json),
            Table::Diff { from, to } => {
                let both = named(site, &from).and_then(|a| Ok((a, named(site, &to)?)));
                return compared(both.map(|(a, b)| a.diff(&b)), json);
            }
            #[cfg(feature = "tools")]
            Table::Schema => {
                let schema = serde_json::to_string_pretty(&schema());
                return print(&(schema.map_err(|e| e.to_string())? + "\n"));
            }
        };
        site.order(&OperatorRequest::Federation(order), json)
    }
}

impl Sites {
    pub fn run(self, site: &Site, json: bool) -> Result<ExitCode, String> {
        let order = match self {
            Sites::Off { site } => FederationRequest::RemoveSite { site },
            Sites::Join { site, number, at } => FederationRequest::AddSite {
                site,
                number,
                at: at.iter().map(ToString::to_string).collect(),
            },
        };
        site.order(&OperatorRequest::Federation(order), json)
    }
}

fn check(file: &Path, json: bool) -> Result<ExitCode, String> {
    let document = Document::parse(&read(file)?);
    let shown = document
        .as_ref()
        .map(|d| hex(&d.digest()))
        .unwrap_or_default();
    let faults = told(file, document);
    match faults.is_empty() {
        true if json => print(&format!("{}\n", json!({"done": true, "print": shown}))),
        true => print(&format!("no faults; print {shown}\n")),
        false => refuse(&faults, json),
    }
}

/// A table by its file, or by its number in the record.
fn named(site: &Site, name: &str) -> Result<Document, Unknown> {
    match name.parse::<u64>() {
        Ok(0) => Ok(Document::default()),
        Ok(number) => {
            let word = OperatorRequest::Federation(FederationRequest::TableText { number });
            match site.ask(&word).map_err(Unknown::NotDone)? {
                OperatorResponse::TableText { text, .. } => parsed(name, Document::parse(&text)),
                other => Err(answered(other)),
            }
        }
        Err(_) => parsed(
            name,
            Document::parse(&read(Path::new(name)).map_err(Unknown::Refused)?),
        ),
    }
}

fn hex(digest: &Digest) -> String {
    HEXLOWER.encode(digest)
}

/// A table, by its number.
fn of(number: u64) -> String {
    match number {
        0 => "the list alone".into(),
        number => format!("table {number}"),
    }
}

pub fn status_json(s: &FederationStatus) -> Value {
    let sites = s.sites.iter().map(|site| {
        json!({
            "site": site.site, "number": site.number, "table": site.uses, "accepted": site.accepted,
            "heard": site.heard,
        })
    });
    let proposal = s.proposal.as_ref().map(|p| {
        json!({
            "table": p.number, "print": hex(&p.digest), "by": p.by, "left_ms": p.left_ms, "waits_for": p.waits,
        })
    });
    let refused = s
        .refused
        .iter()
        .map(|(sender, why)| json!({"sender": sender, "why": why}));
    json!({
        "federation": s.federation, "site": s.site, "leader": s.leader, "lease_ms": s.lease_ms, "holds": s.holds,
        "table": s.table.0, "print": hex(&s.table.1), "sites": sites.collect::<Vec<_>>(), "proposal": proposal,
        "waits_what": s.here.0, "waits_for": s.here.1, "refused": refused.collect::<Vec<_>>(),
    })
}

pub fn status_lines(s: &FederationStatus) -> Vec<String> {
    let leads = match s.leader.as_str() {
        "" => "no site is known to lead".to_string(),
        leader => format!("{leader} leads"),
    };
    let lease = match (s.lease_ms, s.holds) {
        (0, true) => "its lease is over: it takes nothing new on".to_string(),
        (0, false) => "its lease is over: it goes on by the last table".to_string(),
        (ms, _) => format!("its lease runs for {ms} ms"),
    };
    let mut lines = vec![
        format!("federation {}: {leads}", s.federation),
        format!("site {}: {lease}", s.site),
        format!("in force: {}, print {}", of(s.table.0), hex(&s.table.1)),
    ];
    for site in &s.sites {
        let accepted = if site.accepted {
            ", has accepted the proposal"
        } else {
            ""
        };
        let heard = if site.heard { "" } else { ", not heard" };
        lines.push(format!(
            "site {} (number {}): goes by {}{accepted}{heard}",
            site.site,
            site.number,
            of(site.uses)
        ));
    }
    match &s.proposal {
        Some(p) => lines.push(format!(
            "proposed by {}: table {}, print {}, for {} s more; waits for {}",
            p.by,
            p.number,
            hex(&p.digest),
            p.left_ms.div_ceil(1_000),
            p.waits.join(" ")
        )),
        None => lines.push("nothing is proposed".into()),
    }
    if !s.here.1.is_empty() {
        let names = &s.here.1[..s.here.1.len().min(NAMES)];
        let more = s.here.1.len() - names.len();
        let rest = if more > 0 {
            format!(" and {more} more")
        } else {
            String::new()
        };
        lines.push(format!(
            "waits here for {} {}: {}{rest}",
            s.here.1.len(),
            s.here.0,
            names.join(" ")
        ));
    }
    for (sender, why) in &s.refused {
        lines.extend(why.lines().map(|why| format!("refused by {sender}: {why}")));
    }
    lines
}

pub fn past_json(p: &PastProposal) -> Value {
    json!({"table": p.number, "print": hex(&p.digest), "by": p.by, "end": p.end, "took_ms": p.took_ms})
}

pub fn past_line(p: &PastProposal) -> String {
    format!(
        "table {} by {}: {} after {} ms",
        p.number, p.by, p.end, p.took_ms
    )
}

#[cfg(test)]
mod tests {
    use super::*;
    use raildeal::coordination::messages::{ProposalStatus, SiteStatus};

    #[test]
    fn a_status_names_sites_and_senders_that_are_waited_for() {
        let north = SiteStatus {
            site: "north".into(),
            number: 1,
            uses: 3,
            accepted: true,
            heard: true,
        };
        let south = SiteStatus {
            site: "south".into(),
            number: 2,
            uses: 2,
            accepted: false,
            heard: false,
        };
        let proposal = ProposalStatus {
            number: 4,
            by: "north".into(),
            left_ms: 2_400,
            waits: vec!["south".into()],
            ..ProposalStatus::default()
        };
        let status = FederationStatus {
            federation: "both".into(),
            site: "south".into(),
            leader: "north".into(),
            holds: true,
            table: (3, [1; 32]),
            sites: vec![north, south],
            proposal: Some(proposal),
            here: (
                "to check it".into(),
                (0..30).map(|n| format!("n{n}")).collect(),
            ),
            refused: vec![("n7".into(), "line 3: x\nline 4: y".into())],
            ..FederationStatus::default()
        };
        let text = status_lines(&status).join("\n");
        for line in [
            "federation both: north leads",
            "site south: its lease is over: it takes nothing new on",
            "site south (number 2): goes by table 2, not heard",
            "proposed by north: table 4",
            "for 3 s more; waits for south",
            "waits here for 30 to check it: n0 n1",
            "n19 and 10 more",
            "refused by n7: line 4: y",
        ] {
            assert!(text.contains(line), "{line}: {text}");
        }
        assert_eq!(status_json(&status)["proposal"]["waits_for"][0], "south");
    }
}
