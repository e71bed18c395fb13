//! What an operator is told of senders and zones.

use crate::coordination::leader::LeaderDuties;
use crate::coordination::messages::Status;
use crate::coordination::record::{Phase, Record};
use crate::coordination::zones::evidence::Verdict;
use std::collections::BTreeMap;

impl LeaderDuties {
    pub(super) fn status(&self, record: &Record) -> Status {
        let live = record.roster.iter().filter(|(_, m)| m.live);
        let senders =
            live.map(|(name, _)| (name.clone(), self.sessions.get(name).map_or(0, |s| s.has)));
        let lapsed = record
            .roster
            .iter()
            .filter(|(_, m)| !m.live)
            .map(|(name, _)| name.clone());
        let mut lines: BTreeMap<String, (String, String)> = BTreeMap::new();
        for zone in self.lists.zones() {
            lines.insert(zone.into(), ("used".into(), String::new()));
        }
        for (zone, z) in &record.zones {
            let ordered = match (z.phase, self.cold.warmth(zone)) {
                (Phase::Used, _) => "used".to_string(),
                (Phase::Left, _) => format!("left {}", parts_line(&z.out)),
                (Phase::Returning, None) => "returning, nothing wanted yet".to_string(),
                (Phase::Returning, Some(_)) if !self.cold.has_begun(zone) => {
                    format!("returning, nothing answers yet, {}", parts_line(&z.out))
                }
                (Phase::Returning, Some((low, high))) => {
                    format!(
                        "returning, {low} to {high} in 100 warm, {}",
                        parts_line(&z.out)
                    )
                }
            };
            let word = z.wish.map_or(String::new(), |w| {
                let until = match w.until_ms {
                    0 => "until another word".to_string(),
                    ms => format!("for {} s more", ms.saturating_sub(record.clock_ms) / 1_000),
                };
                format!("; a person's word: {:?}, {until}", w.what).to_lowercase()
            });
            lines.insert(zone.clone(), (ordered, format!("{}{word}", z.why)));
        }
        for (zone, verdict) in &self.verdicts {
            let seen = match verdict {
                Verdict::Well => continue,
                Verdict::Unclear => "too little is seen to say what fails".to_string(),
                Verdict::Destinations(dests) => format!("destinations {dests:?} fail there"),
                Verdict::Own(own) => format!("only senders in {own:?} see it fail"),
                Verdict::Fails { seen_by, of } => {
                    let why = self.may_leave(zone, record).err();
                    let why = why.map_or(String::new(), |why| format!(", not left: {why}"));
                    format!("{seen_by} of {of} senders see it fail{why}")
                }
            };
            let line = lines
                .entry(zone.clone())
                .or_insert_with(|| ("used".into(), String::new()));
            let between = if line.1.is_empty() { "" } else { "; " };
            line.1.push_str(between);
            line.1.push_str(&seen);
        }
        Status {
            term: self.term,
            version: record.version,
            senders: senders.collect(),
            lapsed: lapsed.collect(),
            zones: lines
                .into_iter()
                .map(|(zone, (ordered, why))| (zone, ordered, why))
                .collect(),
            ..Status::default()
        }
    }
}

fn parts_line(out: &[(u16, f32)]) -> String {
    let low = out.iter().map(|(_, part)| *part).fold(1.0, f32::min);
    format!(
        "for {} destinations by {:.0} in 100 senders or more",
        out.len(),
        low * 100.0
    )
}
