//! `raildeal fleet policy`: policies, as operators propose, watch and stop them.

use super::{NotDone, Site, NAMES, REFUSED};
use clap::Subcommand;
use data_encoding::HEXLOWER;
use raildeal::coordination::messages::{
    Digest, OperatorRequest, OperatorResponse, PastRollout, PolicyStatus,
};
use raildeal::coordination::policy_rollout::document::{Difference, Document, Fault};
use raildeal::coordination::policy_rollout::plan::Plan;
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand)]
pub enum Policy {
    /// Rolls a policy out, stage by stage; ends when the record has it. The same ordered twice
    /// while it runs is ordered once.
    Propose {
        /// The policy.
        #[arg(id = "policy", value_name = "FILE")]
        file: PathBuf,
        /// How it is rolled out.
        #[arg(long)]
        plan: PathBuf,
    },
    /// Tells what is in force where, how the rollout stands, and who is waited for.
    Status,
    /// Stops the rollout where it is; what is in force stays in force.
    Halt {
        /// Why, for those who come after.
        why: Option<String>,
    },
    /// Goes on where it halted.
    Resume,
    /// Goes back to what was in force before, the last stage first.
    Back,
    /// Tells the rollouts that are over, the newest first.
    History,
    /// Tells what is another in the second policy.
    Diff {
        /// A file, or the number of a policy that the record has.
        from: String,
        /// The same.
        to: String,
    },
    /// Checks a policy, and a plan, without asking any keeper.
    Check {
        /// The policy.
        #[arg(id = "policy", value_name = "FILE")]
        file: PathBuf,
        /// The plan.
        #[arg(long)]
        plan: Option<PathBuf>,
    },
    /// Prints the JSON Schema of a policy, or of a plan.
    #[cfg(feature = "tools")]
    Schema {
        /// Of a plan.
        #[arg(long)]
        plan: bool,
    },
}

impl Policy {
    pub fn run(self, site: &Site, json: bool) -> Result<ExitCode, String> {
        let word = match self {
            Policy::Propose { file, plan } => {
                let (text, plan_text) = (read(&file)?, read(&plan)?);
                let faults = [
                    told(&file, Document::parse(&text)),
                    told(&plan, Plan::parse(&plan_text)),
                ]
                .concat();
                if !faults.is_empty() {
                    return refuse(&faults, json);
                }
                OperatorRequest::ProposePolicy {
                    text,
                    plan: plan_text,
                }
            }
            Policy::Check { file, plan } => return check(&file, plan.as_deref(), json),
            #[cfg(feature = "tools")]
            Policy::Schema { plan } => return schema(plan),
            Policy::Diff { from, to } => {
                let both = named(site, &from).and_then(|a| Ok((a, named(site, &to)?)));
                return compared(both.map(|(a, b)| a.diff(&b)), json);
            }
            Policy::Status => OperatorRequest::PolicyStatus,
            Policy::History => OperatorRequest::PolicyHistory,
            Policy::Halt { why } => OperatorRequest::HaltRollout {
                why: why.unwrap_or_default(),
            },
            Policy::Resume => OperatorRequest::ResumeRollout,
            Policy::Back => OperatorRequest::RollBack,
        };
        site.order(&word, json)
    }
}

pub(super) fn read(file: &Path) -> Result<String, String> {
    std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))
}

pub(super) fn told<T>(file: &Path, read: Result<T, Vec<Fault>>) -> Vec<String> {
    let faults = read.err().unwrap_or_default();
    faults
        .iter()
        .map(|fault| format!("{}: {fault}", file.display()))
        .collect()
}

pub(super) fn print(text: &str) -> Result<ExitCode, String> {
    std::io::Write::write_all(&mut std::io::stdout(), text.as_bytes())
        .map_err(|e| e.to_string())?;
    Ok(ExitCode::SUCCESS)
}

pub(super) fn refuse(faults: &[String], json: bool) -> Result<ExitCode, String> {
    let text = match json {
        true => format!("{}\n", json!({"done": false, "why": faults.join("\n")})),
        false => faults
            .iter()
            .map(|fault| format!("refused: {fault}\n"))
            .collect(),
    };
    print(&text)?;
    Ok(ExitCode::from(REFUSED))
}

fn check(file: &Path, plan: Option<&Path>, json: bool) -> Result<ExitCode, String> {
    let document = Document::parse(&read(file)?);
    let shown = document
        .as_ref()
        .map(|d| HEXLOWER.encode(&d.digest()))
        .unwrap_or_default();
    let mut faults = told(file, document);
    if let Some(plan) = plan {
        faults.extend(told(plan, Plan::parse(&read(plan)?)));
    }
    match faults.is_empty() {
        true if json => print(&format!("{}\n", json!({"done": true, "print": shown}))),
        true => print(&format!("no faults; print {shown}\n")),
        false => refuse(&faults, json),
    }
}

#[cfg(feature = "tools")]
fn schema(plan: bool) -> Result<ExitCode, String> {
    use raildeal::coordination::policy_rollout::{document, plan as plans};
    let schema = if plan {
        plans::schema()
    } else {
        document::schema()
    };
    print(&(serde_json::to_string_pretty(&schema).map_err(|e| e.to_string())? + "\n"))
}

/// Why a policy, or a table, cannot be compared.
pub(super) enum Unknown {
    Refused(String),
    NotDone(NotDone),
}

/// A policy by its file, or by its number in the record.
fn named(site: &Site, name: &str) -> Result<Document, Unknown> {
    match name.parse::<u64>() {
        Ok(0) => Ok(Document::default()),
        Ok(number) => match site
            .ask(&OperatorRequest::PolicyText { number })
            .map_err(Unknown::NotDone)?
        {
            OperatorResponse::PolicyText { text, .. } => parsed(name, Document::parse(&text)),
            other => Err(answered(other)),
        },
        Err(_) => parsed(
            name,
            Document::parse(&read(Path::new(name)).map_err(Unknown::Refused)?),
        ),
    }
}

/// A document, or all its faults under its name.
pub(super) fn parsed<T>(name: &str, read: Result<T, Vec<Fault>>) -> Result<T, Unknown> {
    read.map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|f| format!("{name}: {f}")).collect();
        Unknown::Refused(lines.join("\n"))
    })
}

/// No document, as a keeper answers.
pub(super) fn answered(answer: OperatorResponse) -> Unknown {
    match answer {
        OperatorResponse::Rejected(why) => Unknown::Refused(why),
        other => Unknown::Refused(format!("a keeper answers {other:?}")),
    }
}

/// Tells what is another, or why that is not known.
pub(super) fn compared(
    changes: Result<Vec<Difference>, Unknown>,
    json: bool,
) -> Result<ExitCode, String> {
    match changes {
        Ok(changes) => print(&diff(&changes, json)),
        Err(Unknown::Refused(why)) => refuse(&[why], json),
        Err(Unknown::NotDone(e)) => super::unheard(&e),
    }
}

fn diff(changes: &[Difference], json: bool) -> String {
    if json {
        let read = |told: &Option<String>| {
            told.as_deref()
                .and_then(|t| serde_json::from_str::<Value>(t).ok())
        };
        let lines: Vec<Value> = changes
            .iter()
            .map(
                |(setting, was, is)| json!({"setting": setting, "from": read(was), "to": read(is)}),
            )
            .collect();
        return format!("{}\n", Value::from(lines));
    }
    let shown = |told: &Option<String>| told.clone().unwrap_or_else(|| "not said".into());
    let line =
        |(setting, was, is): &Difference| format!("{setting}: {} -> {}\n", shown(was), shown(is));
    match changes.is_empty() {
        true => "they mean the same\n".into(),
        false => changes.iter().map(line).collect(),
    }
}

fn hex(digest: &Digest) -> String {
    HEXLOWER.encode(digest)
}

pub fn status_json(status: &PolicyStatus) -> Value {
    let zones = status.zones.iter().map(
        |z| json!({"zone": z.zone, "policy": z.number, "paused": z.paused, "senders": z.senders}),
    );
    let rollout = status.rollout.as_ref().map(|r| {
        let stages = r.stages.iter().map(|(zones, senders)| json!({"zones": zones, "senders": senders}));
        let refused = r.refused.iter().map(|(sender, why)| json!({"sender": sender, "why": why}));
        json!({
            "policy": r.number, "back_of": r.back_of, "print": hex(&r.digest), "stage": r.stage,
            "stages": stages.collect::<Vec<_>>(), "step": r.step, "halted": r.halted, "seen": r.seen,
            "waits_for": r.waits, "waits_what": r.waits_what, "refused": refused.collect::<Vec<_>>(),
        })
    });
    json!({
        "turn": status.turn, "zones": zones.collect::<Vec<_>>(), "rollout": rollout,
        "done": status.done.as_ref().map(past_json),
    })
}

pub fn past_json(p: &PastRollout) -> Value {
    json!({
        "policy": p.number, "back_of": p.back_of, "print": hex(&p.digest), "in_force": p.in_force, "stages": p.stages,
        "end": p.end, "halts": p.halts, "took_ms": p.took_ms,
    })
}

fn some(names: &[String]) -> String {
    let more = names.len().saturating_sub(NAMES);
    let rest = if more > 0 {
        format!(" and {more} more")
    } else {
        String::new()
    };
    format!("{}{rest}", names[..names.len().min(NAMES)].join(" "))
}

/// A policy, by its number.
fn of(number: u64) -> String {
    match number {
        0 => "own settings".into(),
        number => format!("policy {number}"),
    }
}

pub fn status_lines(status: &PolicyStatus) -> Vec<String> {
    let mut lines = Vec::new();
    for z in &status.zones {
        let paused = if z.paused { ", paused" } else { "" };
        lines.push(format!(
            "zone {}: {}{paused} ({} senders)",
            z.zone,
            of(z.number),
            z.senders
        ));
    }
    match &status.rollout {
        Some(r) => {
            let back = if r.back_of != 0 {
                format!(", back from policy {}", r.back_of)
            } else {
                String::new()
            };
            let (zones, senders) = r
                .stages
                .get(r.stage as usize - 1)
                .cloned()
                .unwrap_or_default();
            let all: u32 = r.stages.iter().map(|s| s.1).sum();
            lines.push(format!(
                "rollout of policy {}{back}: print {}",
                r.number,
                hex(&r.digest)
            ));
            lines.push(format!(
                "stage {} of {}: zones {}, {senders} of {all} senders: {}",
                r.stage,
                r.stages.len(),
                zones.join(" "),
                r.step
            ));
            lines.extend(r.halted.iter().map(|why| format!("halted: {why}")));
            lines.extend(
                Some(&r.seen)
                    .filter(|s| !s.is_empty())
                    .map(|seen| format!("seen: {seen}")),
            );
            if !r.waits.is_empty() {
                lines.push(format!(
                    "waits for {} {}: {}",
                    r.waits.len(),
                    r.waits_what,
                    some(&r.waits)
                ));
            }
            for (sender, why) in &r.refused {
                lines.extend(why.lines().map(|why| format!("refused by {sender}: {why}")));
            }
        }
        None => lines.push("no rollout runs".into()),
    }
    lines.extend(
        status
            .done
            .iter()
            .map(|p| format!("last: {}", past_line(p))),
    );
    lines
}

pub fn past_line(p: &PastRollout) -> String {
    let back = if p.back_of != 0 {
        format!(", back from policy {}", p.back_of)
    } else {
        String::new()
    };
    let halts = if p.halts > 0 {
        format!(", halted {} times", p.halts)
    } else {
        String::new()
    };
    let (number, s) = (p.number, p.took_ms / 1_000);
    format!(
        "policy {number}{back}: {} (in force in {} of {} stages, {s} s{halts})",
        p.end, p.in_force, p.stages
    )
}

#[cfg(test)]
mod tests {
    use super::*;
    use raildeal::coordination::messages::{RolloutStatus, ZonePolicy};

    #[test]
    fn a_status_names_who_is_waited_for_and_why_it_halts() {
        let rollout = RolloutStatus {
            number: 3,
            stage: 1,
            stages: vec![(vec!["a".into()], 4), (vec!["b".into(), "c".into()], 296)],
            step: "halted".into(),
            halted: Some("stage 1 is worse".into()),
            waits_what: "to go by it".into(),
            waits: (0..30).map(|n| format!("n{n}")).collect(),
            refused: vec![(
                "n7".into(),
                "line 3: class.odd: no such class\nline 4: x".into(),
            )],
            ..RolloutStatus::default()
        };
        let zones = vec![ZonePolicy {
            zone: "a".into(),
            number: 3,
            paused: true,
            senders: 4,
        }];
        let status = PolicyStatus {
            turn: 9,
            zones,
            rollout: Some(rollout),
            done: None,
        };
        let text = status_lines(&status).join("\n");
        for line in [
            "zone a: policy 3, paused (4 senders)",
            "stage 1 of 2: zones a, 4 of 300 senders: halted",
            "halted: stage 1 is worse",
            "waits for 30 to go by it: n0 n1",
            "n19 and 10 more",
            "refused by n7: line 4: x",
        ] {
            assert!(text.contains(line), "{line}: {text}");
        }
        assert_eq!(status_json(&status)["rollout"]["waits_for"][2], "n2");
    }

    #[test]
    fn a_difference_is_told_by_setting() {
        let read = |text: &str| Document::parse(text).expect("good");
        let (a, b) = (
            read("limits.slots = 3"),
            read("limits.slots = 4\nhook = ''"),
        );
        assert_eq!(
            diff(&a.diff(&b), false),
            "hook: not said -> \"\"\nlimits.slots: 3 -> 4\n"
        );
        assert_eq!(diff(&a.diff(&a), false), "they mean the same\n");
        assert!(
            diff(&a.diff(&b), true).contains("{\"from\":3,\"setting\":\"limits.slots\",\"to\":4}")
        );
    }
}
