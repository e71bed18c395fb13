//! Status of senders and zones for operators. Reads the leader's state and changes nothing.
//!
//! The texts are the status output of `raildeal fleet`, which operators' scripts parse.

use crate::coordination::leader::LeaderDuties;
use crate::coordination::messages::{CoordinationStatus, RequestedZoneState};
use crate::coordination::record::{Phase, Record, Zone, ZoneOverride};
use crate::coordination::zones::evidence::ZoneVerdict;
use std::collections::BTreeMap;

/// Status of a zone.
struct ZoneLine {
    ordered: String,
    why: String,
}

impl ZoneLine {
    fn in_use() -> ZoneLine {
        ZoneLine {
            ordered: "used".into(),
            why: String::new(),
        }
    }
}

impl LeaderDuties {
    /// Returns the status, without the fields that the replica fills in.
    pub(super) fn status(&self, record: &Record) -> CoordinationStatus {
        let (live, lapsed): (Vec<_>, Vec<_>) =
            record.roster.iter().partition(|(_, member)| member.live);
        let with_version = |name: &String| {
            let session = self.sessions.get(name);
            (name.clone(), session.map_or(0, |s| s.record_version))
        };
        CoordinationStatus {
            term: self.term,
            version: record.version,
            senders: live.iter().map(|(name, _)| with_version(name)).collect(),
            lapsed: lapsed.iter().map(|(name, _)| (*name).clone()).collect(),
            zones: self
                .zone_lines(record)
                .into_iter()
                .map(|(zone, line)| (zone, line.ordered, line.why))
                .collect(),
            ..CoordinationStatus::default()
        }
    }

    /// Returns one line for each zone that is listed, recorded, or judged.
    fn zone_lines(&self, record: &Record) -> BTreeMap<String, ZoneLine> {
        let mut lines = BTreeMap::new();
        for zone in self.endpoint_lists.zones() {
            lines.insert(zone.to_string(), ZoneLine::in_use());
        }
        for (name, zone) in &record.zones {
            lines.insert(name.clone(), self.recorded_line(name, zone, record));
        }
        for (name, verdict) in &self.verdicts {
            let Some(judged) = self.describe_verdict(name, verdict, record) else {
                continue;
            };
            let line = lines.entry(name.clone()).or_insert_with(ZoneLine::in_use);
            if !line.why.is_empty() {
                line.why.push_str("; ");
            }
            line.why.push_str(&judged);
        }
        lines
    }

    fn recorded_line(&self, name: &str, zone: &Zone, record: &Record) -> ZoneLine {
        let request = zone.request.map_or(String::new(), |zone_request| {
            describe_request(zone_request, record.clock_ms)
        });
        ZoneLine {
            ordered: self.describe_order(name, zone),
            why: format!("{}{request}", zone.reason),
        }
    }

    fn describe_order(&self, name: &str, zone: &Zone) -> String {
        match zone.phase {
            Phase::Used => "used".to_string(),
            Phase::Left => format!("left {}", describe_evacuation(&zone.out)),
            Phase::Returning => self.describe_return(name, zone),
        }
    }

    fn describe_return(&self, name: &str, zone: &Zone) -> String {
        let Some(warmup) = self.recovery_ramp.warmup(name) else {
            return "returning, nothing wanted yet".to_string();
        };
        let evacuation = describe_evacuation(&zone.out);
        if !self.recovery_ramp.has_begun(name) {
            return format!("returning, nothing answers yet, {evacuation}");
        }
        format!(
            "returning, {} to {} in 100 warm, {evacuation}",
            warmup.lowest_percent, warmup.highest_percent
        )
    }

    /// Describes the verdict on a zone; `None` if it is healthy.
    fn describe_verdict(
        &self,
        name: &str,
        verdict: &ZoneVerdict,
        record: &Record,
    ) -> Option<String> {
        let text = match verdict {
            ZoneVerdict::Healthy => return None,
            ZoneVerdict::Unclear => "too little is seen to say what fails".to_string(),
            ZoneVerdict::FailingDestinations(destinations) => {
                format!("destinations {destinations:?} fail there")
            }
            ZoneVerdict::SeenFromHomeZones(zones) => {
                format!("only senders in {zones:?} see it fail")
            }
            ZoneVerdict::Failing { seen_by, of } => {
                let refusal = self.evacuation_shares(name, record).err();
                let refusal = refusal.map_or(String::new(), |why| format!(", not left: {why}"));
                format!("{seen_by} of {of} senders see it fail{refusal}")
            }
        };
        Some(text)
    }
}

/// Describes an operator's request on a zone and its remaining time.
fn describe_request(zone_request: ZoneOverride, clock_ms: u64) -> String {
    let until = match zone_request.until_ms {
        0 => "until another word".to_string(),
        until_ms => {
            let seconds = until_ms.saturating_sub(clock_ms) / 1_000;
            format!("for {seconds} s more")
        }
    };
    let request = match zone_request.state {
        RequestedZoneState::Leave => "leave",
        RequestedZoneState::Return => "return",
        RequestedZoneState::Hold => "hold",
        RequestedZoneState::Free => "free",
    };
    format!("; a person's word: {request}, {until}")
}

/// Describes for how many destinations a zone is evacuated, and the smallest share of the senders
/// among them.
fn describe_evacuation(evacuated: &[(u16, f32)]) -> String {
    let least_share = evacuated
        .iter()
        .map(|(_, share)| *share)
        .fold(1.0, f32::min);
    format!(
        "for {} destinations by {:.0} in 100 senders or more",
        evacuated.len(),
        least_share * 100.0
    )
}
