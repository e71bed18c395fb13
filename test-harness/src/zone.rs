//! A zone that dies under a fleet and comes back cold, with a record that the senders follow and
//! without.

use crate::cold_start::NotPlayed;
use crate::limits::{Death, Terms};
use crate::policy::Policies;
use crate::record::{Flow, Goes, Seen, Verdict, FLOWS};
use crate::scenario::{play_seen, Deed, Fleet, Kept, Scenario, Step, Wanted, Which};
use crate::stage::DESTS;
use crate::tables::Tables;
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The zones.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// What a delivery is worth that comes within this time: all of it. One that comes later is worth
/// half, as the settings have it.
const IN_TIME: Duration = Duration::from_secs(3);
/// A zone is full again when it delivers so great a part of what it did before it died...
const FULL: f64 = 0.9;
/// ...over a window of so many tenths of a second; what it did before is its mean over twice as
/// many.
const WINDOW: usize = 20;
/// It is low where it delivers less than this part of it.
const LOW: f64 = 0.6;

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program.
    pub program: PathBuf,
    /// Processes.
    pub senders: usize,
    /// For all that is drawn.
    pub seed: u64,
    /// Whether there are keepers.
    pub record: bool,
    /// It does not die: the directory tells all senders that it drains, and later that it is back.
    /// What is lost then is lost for lack of the zone, whatever anybody knows.
    pub drains: bool,
    /// The keeper that leads is killed while the zone is left, and comes back.
    pub kill_leader: bool,
    /// Messages a second, all senders together.
    pub rate: f64,
    /// Until the zone dies, in seconds.
    pub calm_s: f64,
    /// It is dead for so long, in seconds.
    pub dead_s: f64,
    /// All goes on for so long after it is back, in seconds.
    pub after_s: f64,
    /// An endpoint is warm so long after it is back, in seconds.
    pub warm_after_s: f64,
    /// How it dies, if that is not drawn.
    pub how: Option<Death>,
}

/// What [`play`] is played with where nothing else is asked for.
pub fn plan(program: &Path, senders: usize, seed: u64) -> Plan {
    Plan {
        program: program.to_path_buf(),
        senders,
        seed,
        record: true,
        drains: false,
        kill_leader: false,
        // Destinations need some calls a second each, or a few seconds tell nothing.
        rate: (1.5 * senders as f64).max(60.0),
        // The directory tells one sender after another.
        calm_s: 6.0 + 0.06 * senders as f64,
        dead_s: 15.0,
        after_s: 32.0,
        warm_after_s: 13.0,
        how: None,
    }
}

/// What came of it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Played {
    /// The zone that died.
    pub zone: String,
    /// How.
    pub how: String,
    /// Whether there were keepers.
    pub record: bool,
    /// Times that a keeper said that it leads.
    pub led: usize,
    /// Senders that left it while it was dead.
    pub left: usize,
    /// From its death until the first and the last of them had left, in seconds.
    pub first_left_s: Option<f64>,
    /// See above.
    pub left_s: Option<f64>,
    /// Senders that left a zone that was well.
    pub false_leaves: usize,
    /// Leaves of it after it was back, all senders together.
    pub relapses: usize,
    /// From when it was back until it delivered anything, in seconds.
    pub answered_s: Option<f64>,
    /// From when it was back until it delivered nine tenths of what it did before, in seconds.
    pub full_s: Option<f64>,
    /// From when it was back until it last delivered less than six tenths of that, over 2 s, while
    /// messages came.
    pub low_s: Option<f64>,
    /// What it delivered in each second since it was back, in hundredths of what it did before it
    /// died.
    pub back_by_second: Vec<u32>,
    /// The warm-up of its endpoints, in seconds.
    pub ideal_s: f64,
    /// From when it was back until the last sender used it as ever, in seconds.
    pub again_s: Option<f64>,
    /// Messages handed in while it was dead, and of them those taken on, delivered, and delivered
    /// within 3 s.
    pub in_outage: InOutage,
    /// Worth lost by those that were taken on: all where none was delivered, half where it came
    /// later than 3 s.
    pub worth_lost: f64,
    /// The same worth, for each message taken on in the last half of the calm before: what is lost
    /// without an outage.
    pub lost_each_before: f64,
    /// What of `worth_lost` is over that, for as many messages.
    pub worth_lost_over: f64,
    /// Calls that came to the zone while it was dead.
    pub calls_dead: u32,
    /// Times that an endpoint fell over.
    pub toppled: usize,
    /// Messages that were taken on.
    pub taken_on: usize,
    /// Those of them that were delivered.
    pub delivered: usize,
    /// Processes that ended by themselves.
    pub crashed: usize,
    /// What the rules say.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// The first breaches.
    pub breaches: Vec<String>,
}

/// Messages that were handed in while the zone was dead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct InOutage {
    /// All.
    pub handed: usize,
    /// Taken on.
    pub taken_on: usize,
    /// Delivered.
    pub delivered: usize,
    /// Delivered within 3 s.
    pub in_time: usize,
}

impl Plan {
    /// The zone and how it dies.
    fn drawn(&self) -> (&'static str, Death) {
        let mut random = fastrand::Rng::with_seed(self.seed);
        let zone = ZONES[random.usize(..ZONES.len())];
        let drawn = [Death::Unconnected, Death::Hangs, Death::Errors][random.usize(..3)];
        (zone, self.how.unwrap_or(drawn))
    }

    /// Its schedule.
    pub fn scenario(&self) -> Scenario {
        let (zone, how) = self.drawn();
        let mut steps = Vec::new();
        let mut step = |at_s: f64, deed| steps.push(Step::at(at_s, deed));
        if self.record {
            step(0.0, Deed::KeeperStart(Which::All));
        }
        step(0.0, Deed::Start);
        if self.drains {
            for n in (0..DESTS * ZONES.len()).filter(|n| ZONES[n / DESTS] == zone) {
                step(self.calm_s, Deed::Drain(format!("s{n}")));
                step(self.calm_s + self.dead_s, Deed::Return(format!("s{n}")));
            }
        } else {
            step(
                self.calm_s,
                Deed::ZoneDies {
                    zone: zone.into(),
                    how,
                },
            );
            step(self.calm_s + self.dead_s, Deed::ZoneBack(zone.into()));
        }
        if self.record && self.kill_leader {
            // Somewhere between the first evidence and what follows from it.
            let at = self.calm_s + 1.5 * fastrand::Rng::with_seed(self.seed ^ 1).f64();
            step(at, Deed::KeeperKill(Which::Leader));
            step(at + 4.0, Deed::KeeperStart(Which::Down));
        }
        let limits = Terms {
            // Two of three zones carry all of it, and seven parts in ten of that are listed for
            // what leaves and for chance.
            listed: (0.7 * self.rate / DESTS as f64).max(1.0),
            factor: Some(1.2),
            warm_after_s: self.warm_after_s,
            ..Terms::default()
        };
        Scenario {
            senders: self.senders,
            balancers: None,
            endpoints: DESTS * ZONES.len(),
            zones: ZONES.map(String::from).to_vec(),
            sites: Vec::new(),
            site_delay_ms: 0,
            tables: Tables::default(),
            limits,
            endpoint_lines: false,
            fleet: self.record.then(Fleet::default),
            ask_ms: 55,
            call_ms: 50,
            rate: self.rate,
            lasts_s: self.calm_s + self.dead_s + self.after_s,
            until_well: false,
            kept: Kept::True,
            wanted: Wanted::default(),
            policies: Policies::default(),
            steps,
        }
    }
}

/// Plays it.
///
/// # Errors
/// Stand-ins or processes could not be started.
pub fn play(plan: &Plan) -> Result<Played, NotPlayed> {
    let (zone, how) = plan.drawn();
    let scenario = plan.scenario();
    let (outcome, record, led) = play_seen(&scenario, &plan.program, plan.seed)?;
    let seen = record.seen();
    let at = |is: fn(&Deed) -> bool| {
        seen.steps
            .iter()
            .find(|(_, n)| is(&scenario.steps[*n].deed))
            .map(|(at, _)| *at)
    };
    let dies = at(|d| matches!(d, Deed::ZoneDies { .. } | Deed::Drain(_)));
    let back = at(|d| matches!(d, Deed::ZoneBack(_) | Deed::Return(_)));
    let mut played = Played {
        zone: zone.into(),
        how: if plan.drains {
            "drains".into()
        } else {
            format!("{how:?}").to_lowercase()
        },
        record: plan.record,
        led: led.len(),
        ideal_s: plan.warm_after_s,
        toppled: outcome.toppled,
        taken_on: outcome.taken_on,
        delivered: outcome.delivered,
        crashed: outcome.crashed,
        verdict: outcome.verdict,
        breaches: outcome.breaches,
        ..Played::default()
    };
    if let (Some(dies), Some(back)) = (dies, back) {
        played.moves(&seen, dies, back);
        (played.in_outage, played.worth_lost) = handed_in(&seen, dies, back);
        let calm = dies.checked_sub(Duration::from_secs_f64(plan.calm_s / 2.0));
        let (before, lost) = calm
            .map(|from| handed_in(&seen, from, dies))
            .unwrap_or_default();
        played.lost_each_before = lost / before.taken_on.max(1) as f64;
        let usual = played.lost_each_before * played.in_outage.taken_on as f64;
        played.worth_lost_over = played.worth_lost - usual;
        let flow = seen.flow.get(zone).map(Vec::as_slice).unwrap_or(&[]);
        let tenth = |at: Instant| {
            let since = seen
                .first_call
                .map_or(Duration::ZERO, |first| at.saturating_duration_since(first));
            (since.as_millis() / FLOWS.as_millis()) as usize
        };
        let (dies, back) = (tenth(dies), tenth(back));
        played.calls_dead = flow.iter().take(back).skip(dies + 1).map(|f| f.calls).sum();
        let delivered = |tenths: &[Flow]| tenths.iter().map(|f| f.delivered).sum::<u32>();
        played.answered_s = flow
            .iter()
            .skip(back)
            .position(|f| f.delivered > 0)
            .map(|n| n as f64 / 10.0);
        let before =
            delivered(&flow[dies.saturating_sub(2 * WINDOW).min(flow.len())..dies.min(flow.len())]);
        let second = f64::from(before) / (2.0 * WINDOW as f64 * FLOWS.as_secs_f64());
        played.back_by_second = flow[back.min(flow.len())..]
            .chunks(10)
            .map(|tenths| (f64::from(delivered(tenths)) * 100.0 / second.max(1e-9)).round() as u32)
            .collect();
        let end = back + (plan.after_s / FLOWS.as_secs_f64()) as usize;
        played.low_s = low(flow, dies, back, end).map(|tenths| tenths as f64 * FLOWS.as_secs_f64());
        played.full_s = full(flow, dies, back).map(|tenths| tenths as f64 * FLOWS.as_secs_f64());
    }
    Ok(played)
}

impl Played {
    fn moves(&mut self, seen: &Seen, dies: Instant, back: Instant) {
        let after = |from: Instant, at: Instant| (at - from).as_secs_f64();
        let mut left: Vec<(&str, f64)> = Vec::new();
        for m in &seen.moves {
            let dead = m.zone == self.zone && m.at >= dies;
            match m.goes {
                Goes::Left if !dead => self.false_leaves += 1,
                Goes::Left if m.at >= back => self.relapses += 1,
                Goes::Left if !left.iter().any(|(s, _)| *s == m.sender) => {
                    left.push((&m.sender, after(dies, m.at)));
                }
                Goes::Back if dead && m.at >= back => {
                    self.again_s = Some(self.again_s.unwrap_or(0.0).max(after(back, m.at)));
                }
                _ => {}
            }
        }
        self.left = left.len();
        (self.first_left_s, self.left_s) = (left.first().map(|l| l.1), left.last().map(|l| l.1));
    }

    /// Whether nothing is broken.
    pub fn is_good(&self) -> bool {
        self.verdict == Verdict::default() && self.crashed == 0
    }
}

/// The messages handed in within a time, and the worth lost by them.
fn handed_in(seen: &Seen, from: Instant, to: Instant) -> (InOutage, f64) {
    let (mut sum, mut lost) = (InOutage::default(), 0.0);
    for life in seen.lives.values() {
        let Some(at) = life.handed_at.filter(|at| (from..to).contains(at)) else {
            continue;
        };
        sum.handed += 1;
        if !life.taken_on {
            continue;
        }
        sum.taken_on += 1;
        match life
            .delivered_at
            .map(|delivered| delivered.saturating_duration_since(at))
        {
            Some(age) => {
                sum.delivered += 1;
                sum.in_time += usize::from(age <= IN_TIME);
                lost += if age <= IN_TIME { 0.0 } else { 0.5 };
            }
            None => lost += 1.0,
        }
    }
    (sum, lost)
}

/// Tenths of a second from `back` until the zone delivers as much as before it died.
fn full(flow: &[Flow], dies: usize, back: usize) -> Option<usize> {
    let sum = |from: usize, to: usize| -> u32 {
        flow.iter()
            .take(to)
            .skip(from)
            .map(|f| f.delivered)
            .sum::<u32>()
    };
    let before = f64::from(sum(dies.saturating_sub(2 * WINDOW), dies)) / 2.0;
    let end = (back..flow.len().saturating_sub(WINDOW))
        .find(|n| f64::from(sum(*n, n + WINDOW)) >= FULL * before);
    // It does so from the middle of that window on.
    end.filter(|_| before > 0.0).map(|n| n + WINDOW / 2 - back)
}

/// Tenths of a second from `back` until the last window, before `end`, in which the zone delivers
/// much less than before it died. A zone that is full once may be called by few again when an order
/// ends.
fn low(flow: &[Flow], dies: usize, back: usize, end: usize) -> Option<usize> {
    let sum = |from: usize, to: usize| -> u32 {
        flow.iter()
            .take(to)
            .skip(from)
            .map(|f| f.delivered)
            .sum::<u32>()
    };
    let before = f64::from(sum(dies.saturating_sub(2 * WINDOW), dies)) / 2.0;
    let last = end.min(flow.len()).saturating_sub(WINDOW);
    let low = (back..last)
        .rev()
        .find(|n| f64::from(sum(*n, n + WINDOW)) < LOW * before);
    low.filter(|_| before > 0.0).map(|n| n + WINDOW / 2 - back)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_zone_is_full_when_it_delivers_again_what_it_did() {
        let of = |delivered| Flow {
            calls: delivered,
            delivered,
        };
        let tenths = |n: usize, delivered| vec![of(delivered); n];
        let growing: Vec<Flow> = (0..100).map(|n| of(n / 10)).collect();
        let flow = [tenths(60, 5), tenths(50, 0), growing, tenths(60, 10)].concat();
        let found = full(&flow, 60, 110).expect("full");
        assert!((45..=60).contains(&found), "{found}");
        assert_eq!(full(&flow[..150], 60, 110), None, "never");
        assert_eq!(full(&[], 60, 110), None, "it never delivered");
        let dips = [
            tenths(60, 5),
            tenths(50, 0),
            tenths(30, 5),
            tenths(40, 1),
            tenths(60, 5),
        ]
        .concat();
        assert!(full(&dips, 60, 110).is_some_and(|n| n <= 10), "once");
        let found = low(&dips, 60, 110, 240).expect("low");
        assert!((65..=75).contains(&found), "{found}");
        assert_eq!(
            (low(&dips, 60, 180, 240), low(&dips, 60, 110, 140)),
            (None, None)
        );
    }

    #[test]
    fn leaves_and_worth_are_counted_by_when_they_were() {
        let (dies, tenth) = (Instant::now(), FLOWS);
        let back = dies + 10 * tenth;
        let mut seen = Seen::default();
        for (sender, zone, at, goes) in [
            ("n0", "b", 1, Goes::Left),
            ("n0", "a", 2, Goes::Left),
            ("n1", "a", 4, Goes::Left),
            ("n0", "a", 12, Goes::Returning),
            ("n0", "a", 13, Goes::Left),
            ("n0", "a", 14, Goes::Back),
        ] {
            let (sender, zone) = (sender.to_string(), zone.to_string());
            seen.moves.push(crate::record::Move {
                at: dies + at * tenth,
                sender,
                zone,
                goes,
            });
        }
        for (id, handed, delivered) in [
            ("in time", 1, Some(2)),
            ("late", 2, Some(40)),
            ("never", 3, None),
            ("after", 11, None),
        ] {
            let life = seen.lives.entry(id.to_string()).or_default();
            life.taken_on = true;
            life.handed_at = Some(dies + handed * tenth);
            life.delivered_at = delivered.map(|d| dies + d * tenth);
        }
        let mut played = Played {
            zone: "a".into(),
            ..Played::default()
        };
        played.moves(&seen, dies, back);
        assert_eq!(
            (played.left, played.false_leaves, played.relapses),
            (2, 1, 1)
        );
        let about =
            |s: Option<f64>, tenths: f64| s.is_some_and(|s| (s - tenths / 10.0).abs() < 1e-6);
        assert!(
            about(played.first_left_s, 2.0)
                && about(played.left_s, 4.0)
                && about(played.again_s, 4.0)
        );
        let sum = InOutage {
            handed: 3,
            taken_on: 3,
            delivered: 2,
            in_time: 1,
        };
        assert_eq!(handed_in(&seen, dies, back), (sum, 1.5));
    }
}
