//! Whether a stage is worse for its policy, from counts that senders report.
//!
//! **What is compared.** A stage, from when it went over, with the zones that have not, in the same
//! seconds; less what it was worse by before, and a standard error of that. The last stage has
//! nothing left to be compared with at the same time: it is compared with what it was itself, less
//! what the other zones got worse by meanwhile. So what strikes both moves nothing. By class and
//! tenant, in the last 10 s, the last minute and all since the change: what begins later is not
//! drowned in what was well before.
//!
//! **Shares** are bad ends of messages that were taken on, not of ends: a message that fails takes
//! longer than one that is delivered, and one that is refused ends at once; as a share of ends the
//! first seconds would look like nothing else. So a stage looks better than it is for as long as
//! its messages last, never worse.
//!
//! **When it is enough.** A stage is over only when what was seen of it rules out that it is worse
//! by [`sees`](super::plan::Health::sees) (in one of thirty looks wrongly): each class and tenant
//! in the last minute, all together also in the last 10 s. Until then there are too few messages to
//! judge. So a policy that is worse by that much does not pass its first stage, however little
//! comes there.
//!
//! **How sure.** Bounds of a share are Chernoff's by relative entropy, which hold for any number of
//! messages and far out in the tails, where those of the normal law don't. Counts are widened by
//! how much more neighbouring spans differ than chance alone lets them (ends of messages come in
//! heaps); the largest such step is left out, as a policy that turns worse makes one. All looks,
//! classes, tenants, shares and spans of a stage share one [`ERROR`] (Bonferroni).

use crate::coordination::messages;
use crate::coordination::policy_rollout::plan::{Bounds, Plan};
use crate::Nanos;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// An equal policy is taken for worse in one of so many stages, at the most, over all that is
/// looked at.
const ERROR: f64 = 1e-3;
/// What two groups differed by before is drawn to nothing by so many messages: a few say little of
/// it.
const DRAWN: f64 = 2.0;
/// Length of a span.
pub const SPAN: Nanos = 2_000_000_000;
/// Spans that are held: the longest that is looked at, and as many before it.
const SPANS: usize = 64;
/// Spans that are looked at, beside all since the change, and spans of the time before.
const LOOKS: [u64; 2] = [5, 30];
/// Shares that are looked at.
const SHARES: usize = 5;
/// A stage that is worse by [`super::plan::Health::sees`] is let pass in one look of so many, at
/// the most.
const MISSED: f64 = 30.0;
/// Steps between neighbouring spans without which nobody knows how much they differ by chance, and
/// what is taken for it until then.
const STEPS: usize = 8;
const UNKNOWN: f64 = 3.0;
/// Classes and tenants of all stages, at the most; what comes beyond is counted in the sum of its
/// stage alone.
const GROUPS: usize = 2_000;
/// A class and tenant with this part of the messages has to be judged before a stage is over.
const PART: f64 = 0.02;
/// Lines of one report that are read.
const LINES: usize = 1_000;

/// Messages of a span.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Sum {
    came: u64,
    taken: u64,
    late: u64,
    refused: u64,
    failed: u64,
    turned_away: u64,
}

impl Sum {
    fn add(&mut self, other: &Sum) {
        self.came += other.came;
        self.taken += other.taken;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.turned_away += other.turned_away;
    }

    fn of(h: &messages::MessageOutcomeCounts) -> Sum {
        let [taken, late, refused, failed, turned_away] = [
            h.accepted,
            h.delivered_late,
            h.deferred,
            h.failed,
            h.rejected,
        ]
        .map(u64::from);
        Sum {
            came: taken + turned_away,
            taken,
            late,
            refused,
            failed,
            turned_away,
        }
    }

    /// The bad ones, and of how many.
    fn share(&self, which: usize) -> (f64, f64) {
        let (bad, of) = match which {
            0 => (self.late + self.refused + self.failed, self.taken),
            1 => (self.late, self.taken),
            2 => (self.refused, self.taken),
            3 => (self.failed, self.taken),
            _ => (self.turned_away, self.came),
        };
        // Some of what ended was taken on before.
        (bad.min(of) as f64, of as f64)
    }
}

const NAMES: [&str; SHARES] = [
    "not delivered in time",
    "delivered late",
    "refused",
    "failed",
    "turned away",
];

fn bound(bounds: &Bounds, which: usize) -> f64 {
    [
        bounds.delivered,
        bounds.late,
        bounds.refused,
        bounds.failed,
        bounds.turned_away,
    ][which]
}

/// Spans of a class and tenant in a stage.
#[derive(Clone, Debug, Default)]
struct Ring {
    /// With the number of each.
    spans: VecDeque<(u64, Sum)>,
    /// All since the change of the stage that is looked at.
    since: Sum,
}

impl Ring {
    fn add(&mut self, span: u64, from: u64, sum: &Sum) {
        if self.spans.back().is_none_or(|(last, _)| *last < span) {
            if self.spans.len() >= SPANS {
                self.spans.pop_front();
            }
            self.spans.push_back((span, Sum::default()));
        }
        if let Some((_, last)) = self.spans.back_mut() {
            last.add(sum);
        }
        if span >= from {
            self.since.add(sum);
        }
    }

    fn between(&self, from: u64, to: u64) -> Sum {
        let mut sum = Sum::default();
        self.spans
            .iter()
            .filter(|(n, _)| (from..to).contains(n))
            .for_each(|(_, s)| sum.add(s));
        sum
    }

    fn at(&self, span: u64) -> Sum {
        self.spans
            .iter()
            .rev()
            .find(|(n, _)| *n == span)
            .map_or(Sum::default(), |s| s.1)
    }
}

/// A class and tenant; the class without a name is all of them together.
type Group = (String, u16);

/// All classes and tenants.
fn all() -> Group {
    (String::new(), 0)
}

/// For people.
fn shown((class, tenant): &Group) -> String {
    match class.is_empty() {
        true => "all classes".into(),
        false => format!("class {class} of tenant {tenant}"),
    }
}

/// What a leader has seen of a rollout's messages. It begins anew with each leader.
#[derive(Clone, Debug, Default)]
pub struct Health {
    rings: BTreeMap<(usize, Group), Ring>,
    /// The first span that is all after the change of the stage that is looked at, and what was
    /// before it.
    from: u64,
    before: BTreeMap<(usize, Group), Sum>,
}

/// Whether a stage may go on.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is worse than the bounds allow: which share, and by what.
    Worse(String),
    /// Nothing speaks against it.
    Well,
    /// Nothing speaks against it so far, yet too few messages came: of what.
    TooFew(String),
}

impl Health {
    /// A rollout begins.
    pub fn clear(&mut self) {
        *self = Health::default();
    }

    /// A sender that stands in this stage reports. In stages that went over only what was taken on
    /// under the policy counts.
    pub fn hear(
        &mut self,
        now: Nanos,
        stage: usize,
        only: Option<u64>,
        told: &[messages::MessageOutcomeCounts],
    ) {
        let span = now / SPAN;
        let told = told
            .iter()
            .take(LINES)
            .filter(|line| !line.class.is_empty());
        for line in told.filter(|line| only.is_none_or(|policy| line.policy == policy)) {
            let sum = Sum::of(line);
            self.rings
                .entry((stage, all()))
                .or_default()
                .add(span, self.from, &sum);
            let key = (stage, (line.class.clone(), line.tenant));
            if self.rings.len() < GROUPS || self.rings.contains_key(&key) {
                self.rings
                    .entry(key)
                    .or_default()
                    .add(span, self.from, &sum);
            }
        }
    }

    /// A stage goes over to its policy, or is looked at anew: what was before is what it is
    /// compared with.
    pub fn change(&mut self, now: Nanos, anew: bool) {
        let span = now / SPAN;
        if !anew {
            let first = span.saturating_sub(LOOKS[1]);
            self.before = self
                .rings
                .iter()
                .map(|(key, ring)| (key.clone(), ring.between(first, span)))
                .collect();
        }
        self.from = span + 1;
        self.rings
            .values_mut()
            .for_each(|ring| ring.since = Sum::default());
    }

    /// Messages that came to a stage since.
    pub fn came(&self, stage: usize) -> u64 {
        self.rings
            .get(&(stage, all()))
            .map_or(0, |ring| ring.since.came)
    }

    /// Sums of a class and tenant over some stages.
    fn sum(&self, stages: &[usize], group: &Group, of: impl Fn(&Ring) -> Sum) -> Sum {
        let mut sum = Sum::default();
        for stage in stages {
            if let Some(ring) = self.rings.get(&(*stage, group.clone())) {
                sum.add(&of(ring));
            }
        }
        sum
    }

    fn was(&self, stages: &[usize], group: &Group) -> Sum {
        let mut sum = Sum::default();
        for stage in stages {
            if let Some(before) = self.before.get(&(*stage, group.clone())) {
                sum.add(before);
            }
        }
        sum
    }

    /// Judges a stage that went over.
    pub fn judge(&self, now: Nanos, stage: usize, plan: &Plan) -> Verdict {
        let looks = plan.most_soak() as f64 / (SPAN as f64 / 1e9) + 1.0;
        let groups: BTreeSet<&Group> = self.rings.keys().map(|(_, group)| group).collect();
        let tests = groups.len().max(1) as f64 * (SHARES * (LOOKS.len() + 1)) as f64 * looks;
        let sure = (2.0 * tests / ERROR).ln();
        // The span that runs is not whole.
        let view = View {
            health: self,
            own: [stage],
            others: others(stage, plan),
            last: is_last(stage, plan),
            span: now / SPAN,
        };
        let mut few = self.few(&view, stage, plan, &groups);
        for group in &groups {
            let bounds = plan.bounds(&group.0);
            for (which, name) in NAMES.iter().enumerate() {
                let heaped = self.heaped(&view.own, &view.others, group, which, view.span);
                for long in LOOKS.iter().map(|n| Some(*n)).chain([None]) {
                    let Some(seen) = view.look(group, which, heaped, long) else {
                        continue;
                    };
                    let bound = bound(&bounds, which);
                    if seen.own.low(sure) > seen.like.high(sure) + seen.more + bound {
                        return Verdict::Worse(format!(
                            "{}: {:.1} in 100 of {} {}, {:.1} in 100 of {} {}; in {} s",
                            shown(group),
                            seen.own.part() * 100.0,
                            seen.own.of,
                            name,
                            seen.like.part() * 100.0,
                            seen.like.of,
                            if view.last {
                                "there before"
                            } else {
                                "in zones not yet touched"
                            },
                            (view.span - seen.start) * SPAN / 1_000_000_000,
                        ));
                    }
                    // All together are looked at in a short span, each class and tenant in a
                    // minute.
                    let counts = long == Some(LOOKS[1])
                        || long.is_none() && view.span - seen.start <= LOOKS[1];
                    let counts = counts || group.0.is_empty() && long.is_some();
                    let most = seen.like.part() + seen.more + bound + plan.health.sees;
                    let high = seen.own.high(MISSED.ln());
                    if few.is_none() && counts && view.counts(group) && high > most {
                        few = Some(format!(
                            "{}: by {} messages up to {:.0} in 100 may be {}, and {:.0} may not",
                            shown(group),
                            seen.own.of,
                            high * 100.0,
                            name,
                            most * 100.0
                        ));
                    }
                }
            }
        }
        few.map_or(Verdict::Well, Verdict::TooFew)
    }

    /// What a stage lacks of messages, of each class and tenant that has a part of them elsewhere
    /// or had one before.
    fn few(
        &self,
        view: &View<'_>,
        stage: usize,
        plan: &Plan,
        groups: &BTreeSet<&Group>,
    ) -> Option<String> {
        let came = self.came(stage);
        if came < u64::from(plan.least) {
            return Some(format!("{came} messages of {}", plan.least));
        }
        let least = (f64::from(plan.least) * PART).ceil() as u64;
        groups.iter().find_map(|group| {
            let own = self.sum(&[stage], group, |ring| ring.since).came;
            let lacks = view.counts(group) && own < least;
            lacks.then(|| format!("{}: {own} messages of {least}", shown(group)))
        })
    }

    /// By how much neighbouring spans differ more than chance lets them, at least 1.
    fn heaped(
        &self,
        own: &[usize],
        others: &[usize],
        group: &Group,
        which: usize,
        span: u64,
    ) -> f64 {
        let first = span.saturating_sub(SPANS as u64);
        let mut steps = Vec::new();
        let mut last: Option<(f64, f64)> = None;
        for n in first..span {
            let (x, of) = self.sum(own, group, |ring| ring.at(n)).share(which);
            let (y, among) = self.sum(others, group, |ring| ring.at(n)).share(which);
            if of == 0.0 || !others.is_empty() && among == 0.0 {
                continue;
            }
            let p = (x + y + 0.5) / (of + among + 1.0);
            let (d, per) = match others.is_empty() {
                true => (x / of, 1.0 / of),
                false => (x / of - y / among, 1.0 / of + 1.0 / among),
            };
            let now = (d, p * (1.0 - p) * per);
            if let Some((before, varied)) = last {
                steps.push((d - before) * (d - before) / (now.1 + varied));
            }
            last = Some(now);
        }
        if steps.len() < STEPS {
            return UNKNOWN;
        }
        steps.sort_by(f64::total_cmp);
        steps.pop();
        (steps.iter().sum::<f64>() / steps.len() as f64).max(1.0)
    }
}

fn is_last(stage: usize, plan: &Plan) -> bool {
    stage + 1 >= plan.stage.len()
}

/// The stages that one is compared with.
fn others(stage: usize, plan: &Plan) -> Vec<usize> {
    match is_last(stage, plan) {
        true => (0..stage).collect(),
        false => (stage + 1..plan.stage.len()).collect(),
    }
}

/// A stage, and what it is compared with.
struct View<'a> {
    health: &'a Health,
    own: [usize; 1],
    others: Vec<usize>,
    last: bool,
    span: u64,
}

/// What is seen of one share.
struct Seen {
    own: Share,
    /// What it would be like without the policy.
    like: Share,
    /// By how much more it may be worse for other reasons.
    more: f64,
    /// The first span.
    start: u64,
}

impl View<'_> {
    /// A share in the last so many spans, or in all since the change; nothing where there are not
    /// so many, or nothing to compare with.
    fn look(&self, group: &Group, which: usize, heaped: f64, long: Option<u64>) -> Option<Seen> {
        let (health, from) = (self.health, self.health.from);
        let start = match long {
            Some(n) => Some(self.span.saturating_sub(n)).filter(|start| *start > from)?,
            None => from.min(self.span),
        };
        let of = |ring: &Ring| {
            if long.is_some() {
                ring.between(start, self.span)
            } else {
                ring.since
            }
        };
        let own = Share::of(&health.sum(&self.own, group, of), which, heaped);
        let others = Share::of(&health.sum(&self.others, group, of), which, heaped);
        let was = Share::of(&health.was(&self.own, group), which, heaped);
        let others_were = Share::of(&health.was(&self.others, group), which, heaped);
        let (like, more) = match self.last {
            true => (was, others.over(&others_were)),
            false => (others, was.over(&others_were)),
        };
        (like.of > 0.0).then_some(Seen {
            own,
            like,
            more,
            start,
        })
    }

    /// Whether a class and tenant has a part of the messages where it is compared.
    fn counts(&self, group: &Group) -> bool {
        let like = |group: &Group| match self.last {
            true => self.health.was(&self.own, group).came,
            false => self.health.sum(&self.others, group, |ring| ring.since).came,
        };
        like(group) as f64 >= PART * like(&all()).max(1) as f64
    }
}

/// A share, and how many messages that come singly it is worth.
#[derive(Clone, Copy, Debug)]
struct Share {
    bad: f64,
    of: f64,
    worth: f64,
}

impl Share {
    fn of(sum: &Sum, which: usize, heaped: f64) -> Share {
        let (bad, of) = sum.share(which);
        Share {
            bad,
            of,
            worth: of / heaped,
        }
    }

    fn part(&self) -> f64 {
        if self.of > 0.0 {
            self.bad / self.of
        } else {
            0.0
        }
    }

    /// By how much it is over another one, and one standard error more: so much is no surprise
    /// later. Nothing where nobody looked.
    fn over(&self, other: &Share) -> f64 {
        if self.of == 0.0 || other.of == 0.0 {
            return 0.0;
        }
        let (like, heaped) = (other.part(), self.of / self.worth);
        let p = (self.bad + DRAWN * like) / (self.of + DRAWN);
        let spread = p.max(like);
        let error = (spread * (1.0 - spread) * heaped / (self.of + DRAWN)).sqrt();
        (p - like + error).max(0.0)
    }

    /// The least that it may be with an error of `exp(-sure)`.
    fn low(&self, sure: f64) -> f64 {
        self.edge(sure, 0.0)
    }

    /// The most that it may be.
    fn high(&self, sure: f64) -> f64 {
        self.edge(sure, 1.0)
    }

    fn edge(&self, sure: f64, end: f64) -> f64 {
        let p = self.part();
        if self.worth <= 0.0 {
            return end;
        }
        // Thirty halvings are finer than a share of any number of messages.
        let (mut inside, mut outside) = (p, end);
        for _ in 0..30 {
            let q = (inside + outside) / 2.0;
            if self.worth * entropy(p, q) <= sure {
                inside = q;
            } else {
                outside = q;
            }
        }
        outside
    }
}

/// How little a share that is seen as `p` speaks for `q` (relative entropy of two coins).
fn entropy(p: f64, q: f64) -> f64 {
    let term = |p: f64, q: f64| {
        if p <= 0.0 {
            0.0
        } else {
            p * (p / q.max(1e-300)).ln()
        }
    };
    term(p, q) + term(1.0 - p, 1.0 - q)
}

#[cfg(test)]
mod tests;
