//! Explores all states of the federation's record with three sites, each of which sends any message
//! that a correct site could send, at any time and repeatedly.
//!
//! A site is modelled by the contents of its record: the table it uses, the table it knows to be
//! decided, and whether it is held. It is removed from the roster only while it is held, and joins
//! again under another number.

use raildeal::coordination::routing_table::federation::{Command, Federation};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::hash::{Hash, Hasher};

const SITES: usize = 3;

/// A fault that is injected to see that the model detects it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// A table is decided although one acceptance is missing.
    OneAcceptanceShort,
    /// A proposal is opened before all sites use the table that was decided last.
    ProposalTooEarly,
    /// An ended proposal is rolled back although it was decided.
    AbortsDecided,
    /// A site that joins again continues with its earlier table.
    KeepsOldTable,
    /// A site is removed before it is held.
    RemovedUnheld,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Site {
    /// Number of times the site joined again, which gives its number on the roster.
    joins: u64,
    on_roster: bool,
    /// Whether it has accepted the proposed table; the message may still be in transit.
    accepted_proposal: bool,
    /// Number of the table that it knows to be decided.
    known_decided: u64,
    /// Number of the table that it uses.
    uses: u64,
    held: bool,
}

#[derive(Clone, Debug, PartialEq)]
struct State {
    record: Federation,
    sites: [Site; SITES],
    /// Decided tables, in the order of their decisions.
    decided: Vec<u64>,
    removals: u8,
    wrong: Vec<&'static str>,
}

impl Hash for State {
    fn hash<H: Hasher>(&self, to: &mut H) {
        postcard::to_allocvec(&self.record)
            .expect("it is written")
            .hash(to);
        (&self.sites, &self.decided, self.removals, &self.wrong).hash(to);
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Action {
    Propose,
    /// A site accepts; then its message arrives.
    Accepts(usize),
    Arrives(usize),
    Refuses(usize),
    Abort,
    Deadline,
    /// A site learns what is decided; then uses it; then its report arrives.
    Learns(usize),
    Uses(usize),
    CutOverReported(usize),
    Held(usize),
    Resumes(usize),
    Off(usize),
    Join(usize),
}

struct Agreed {
    fault: Fault,
    proposals: u64,
    removals: u8,
}

fn number(site: usize, joins: u64) -> u64 {
    1 + site as u64 + joins * SITES as u64
}

fn propose(key: u64) -> Command {
    Command::Propose {
        by: "s".into(),
        key,
        text: format!("# {key}"),
        digest: [key as u8; 32],
        within_ms: 1,
    }
}

fn join(site: usize, joins: u64) -> Command {
    Command::Join {
        site: number(site, joins),
        name: format!("s{site}"),
    }
}

impl Agreed {
    fn apply(&self, s: &mut State, command: &Command) {
        let before = s.record.clone();
        match (self.fault, command) {
            (Fault::OneAcceptanceShort, Command::Accept { site: says, .. }) => {
                let missing = before.proposal.as_ref().and_then(|p| {
                    let mut missing = before
                        .sites
                        .keys()
                        .filter(|site| *site != says && !p.accepted.contains(site));
                    missing
                        .next()
                        .copied()
                        .filter(|_| p.accepted.len() + 2 >= before.sites.len())
                });
                if let (Some(p), Some(site)) = (s.record.proposal.as_mut(), missing) {
                    p.accepted.insert(site);
                }
            }
            (Fault::ProposalTooEarly, Command::Propose { .. }) => {
                let now = s.record.table.number;
                s.record.sites.values_mut().for_each(|site| site.uses = now);
            }
            _ => {}
        }
        s.record.apply(0, command);
        let after = &mut s.record;
        match (self.fault, command) {
            (Fault::AbortsDecided, Command::Abort { number, .. })
                if *number > 0 && *number == after.table.number =>
            {
                after.table = after.before.clone();
            }
            _ => {}
        }
        // Only durations matter, so times are normalized to merge states.
        after.clock_ms = 0;
        after
            .proposal
            .iter_mut()
            .for_each(|p| (p.since_ms, p.until_ms) = (0, 1));
        after
            .past
            .iter_mut()
            .for_each(|p| (p.since_ms, p.ended_ms) = (0, 0));
        if after.table.number < before.table.number {
            s.decided.pop();
        }
        if after.table.number > before.table.number {
            if s.sites
                .iter()
                .any(|site| site.on_roster && !site.accepted_proposal)
            {
                s.wrong.push("decided without the word of all");
            }
            s.decided.push(after.table.number);
        }
        if before.proposal.as_ref().map(|p| p.table.number)
            != after.proposal.as_ref().map(|p| p.table.number)
        {
            s.sites
                .iter_mut()
                .for_each(|site| site.accepted_proposal = false);
        }
    }

    /// Checks the invariants that hold at any time.
    fn check_invariants(&self, s: &mut State) {
        let decision_index = |number: u64| s.decided.iter().position(|n| *n == number);
        let mut open: Vec<Option<usize>> = s
            .sites
            .iter()
            .filter(|site| !site.held)
            .map(|site| decision_index(site.uses))
            .collect();
        open.sort();
        open.dedup();
        let are_consecutive =
            matches!(open[..], [] | [_]) || matches!(open[..], [Some(a), Some(b)] if b == a + 1);
        if open.contains(&None) {
            s.wrong.push("a table that was not decided");
        } else if !are_consecutive {
            s.wrong.push("tables in use that do not follow each other");
        }
        if let Some(p) = &s.record.proposal {
            if s.record
                .sites
                .values()
                .any(|site| site.uses != s.record.table.number)
            {
                s.wrong.push("proposed before all went by the last one");
            }
            if p.table.number <= s.record.table.number {
                s.wrong.push("a number that was used");
            }
        }
        // Late and duplicated messages, and those of removed sites, are void.
        let given = s.record.given;
        let runs = s.record.proposal.as_ref().map(|p| p.table.number);
        let mut late_commands: Vec<Command> = (1..=given).map(propose).collect();
        for n in (1..=given).filter(|n| Some(*n) != runs) {
            late_commands.push(Command::Abort {
                number: n,
                why: "late".into(),
            });
            for site in 1..=number(SITES - 1, 2) {
                late_commands.push(Command::Accept { site, number: n });
                late_commands.push(Command::Refuse {
                    site,
                    number: n,
                    why: "late".into(),
                });
                if n != s.record.table.number {
                    late_commands.push(Command::CutOver { site, number: n });
                }
            }
        }
        for (at, site) in s
            .sites
            .iter()
            .enumerate()
            .filter(|(_, site)| site.joins > 0)
        {
            let site = number(at, site.joins - 1);
            late_commands.extend(runs.map(|number| Command::Accept { site, number }));
            late_commands.extend(runs.map(|number| Command::Refuse {
                site,
                number,
                why: "off".into(),
            }));
            late_commands.push(join(at, s.sites[at].joins - 1));
        }
        if self.fault == Fault::AbortsDecided {
            return;
        }
        let mut record = s.record.clone();
        late_commands
            .iter()
            .for_each(|command| record.apply(0, command));
        if record != s.record {
            s.wrong.push("a late word that counts");
        }
    }
}

impl Model for Agreed {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut s = State {
            record: Federation::default(),
            sites: Default::default(),
            decided: vec![0],
            removals: self.removals,
            wrong: Vec::new(),
        };
        for at in 0..SITES {
            s.sites[at].on_roster = true;
            s.record.apply(0, &join(at, 0));
        }
        vec![s]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Action>) {
        if s.record.given < self.proposals {
            actions.push(Action::Propose);
        }
        if s.record.proposal.is_some() {
            actions.extend([Action::Abort, Action::Deadline]);
        } else if self.fault == Fault::AbortsDecided {
            actions.push(Action::Abort);
        }
        for (at, site) in s.sites.iter().enumerate() {
            if !site.on_roster {
                actions.push(Action::Join(at));
                continue;
            }
            if s.record.proposal.is_some() {
                actions.push(Action::Refuses(at));
                actions.push(if site.accepted_proposal {
                    Action::Arrives(at)
                } else {
                    Action::Accepts(at)
                });
            }
            if site.known_decided != s.record.table.number {
                actions.push(Action::Learns(at));
            }
            if site.known_decided > site.uses {
                actions.push(Action::Uses(at));
            }
            // A repeated report is void, which is checked in each state.
            if s.record
                .sites
                .get(&number(at, site.joins))
                .is_some_and(|known| known.uses != site.uses)
            {
                actions.push(Action::CutOverReported(at));
            }
            if !site.held {
                actions.push(Action::Held(at));
            } else if site.uses == site.known_decided || self.fault == Fault::KeepsOldTable {
                actions.push(Action::Resumes(at));
            }
            if s.removals > 0 && (site.held || self.fault == Fault::RemovedUnheld) {
                actions.push(Action::Off(at));
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut s = last.clone();
        let of = |s: &State, at: usize| number(at, s.sites[at].joins);
        let runs = s.record.proposal.as_ref().map(|p| p.table.number);
        match action {
            Action::Propose => self.apply(&mut s, &propose(last.record.given + 1)),
            Action::Accepts(at) => s.sites[at].accepted_proposal = true,
            Action::Arrives(at) => {
                let accept = Command::Accept {
                    site: of(&s, at),
                    number: runs?,
                };
                self.apply(&mut s, &accept);
            }
            Action::Refuses(at) => {
                let refuse = Command::Refuse {
                    site: of(&s, at),
                    number: runs?,
                    why: "no".into(),
                };
                self.apply(&mut s, &refuse);
            }
            Action::Abort => {
                let number = runs.unwrap_or(s.record.table.number);
                self.apply(
                    &mut s,
                    &Command::Abort {
                        number,
                        why: "no".into(),
                    },
                );
            }
            Action::Deadline => self.apply(
                &mut s,
                &Command::Beat {
                    term: 1,
                    beat: 1,
                    ms: 1,
                },
            ),
            Action::Learns(at) => s.sites[at].known_decided = s.record.table.number,
            Action::Uses(at) => s.sites[at].uses = s.sites[at].known_decided,
            Action::CutOverReported(at) => {
                let switched = Command::CutOver {
                    site: of(&s, at),
                    number: s.sites[at].uses,
                };
                self.apply(&mut s, &switched);
            }
            Action::Held(at) => s.sites[at].held = true,
            Action::Resumes(at) => s.sites[at].held = false,
            Action::Off(at) => {
                s.removals -= 1;
                let off = Command::Off { site: of(&s, at) };
                s.sites[at].on_roster = false;
                self.apply(&mut s, &off);
            }
            Action::Join(at) => {
                // The site gets a lease only from a site that knows of its joining, and so knows
                // what was decided by then.
                s.sites[at].joins += 1;
                s.sites[at].on_roster = true;
                let joins = s.sites[at].joins;
                self.apply(&mut s, &join(at, joins));
                s.sites[at].accepted_proposal = false;
                s.sites[at].known_decided = s.record.table.number;
            }
        }
        self.check_invariants(&mut s);
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("nothing goes wrong", |_, s: &State| s.wrong.is_empty()),
            Property::<Self>::sometimes("all that may be are decided", |m: &Agreed, s: &State| {
                s.decided.len() as u64 == m.proposals + 1
            }),
            Property::<Self>::sometimes(
                "one that joined again goes by the newest",
                |_, s: &State| {
                    s.sites
                        .iter()
                        .any(|site| site.joins > 0 && !site.held && site.uses > 0)
                },
            ),
        ]
    }
}

fn check(fault: Fault, proposals: u64, removals: u8) -> Option<String> {
    let started = std::time::Instant::now();
    let builder = Agreed {
        fault,
        proposals,
        removals,
    }
    .checker()
    .threads(2);
    if fault != Fault::None {
        // An injected fault shows only at depth, and one path to it is enough.
        let checker = builder
            .finish_when(HasDiscoveries::AnyFailures)
            .spawn_dfs()
            .join();
        println!(
            "{fault:?}: {} states, {:?}",
            checker.unique_state_count(),
            started.elapsed()
        );
        let wrong = checker
            .discovery("nothing goes wrong")?
            .last_state()
            .wrong
            .clone();
        return Some(format!("{wrong:?}"));
    }
    let checker = builder.spawn_bfs().join();
    let (states, depth) = (checker.unique_state_count(), checker.max_depth());
    println!(
        "{proposals} proposals, {removals} off: {states} states, depth {depth}, {:?}",
        started.elapsed()
    );
    let Some(path) = checker.discovery("nothing goes wrong") else {
        let reached = checker.discovery("all that may be are decided").is_some();
        let joined = checker
            .discovery("one that joined again goes by the newest")
            .is_some();
        assert!(reached && joined == (removals > 0), "{reached} {joined}");
        return None;
    };
    let wrong = path.last_state().wrong.clone();
    println!("  found: {wrong:?} by {:?}", path.into_actions());
    Some(format!("{wrong:?}"))
}

#[test]
fn no_site_uses_a_table_that_not_all_accepted_and_at_most_two_are_in_use() {
    let all: &[(u64, u8)] = match std::env::var("MODEL_STATES") {
        Ok(_) => &[(2, 0), (1, 1), (2, 1), (3, 1)],
        Err(_) => &[(2, 0), (1, 1)],
    };
    for (proposals, removals) in all {
        assert_eq!(check(Fault::None, *proposals, *removals), None);
    }
    for (fault, what, proposals, removals) in [
        (Fault::OneAcceptanceShort, "decided without", 1, 0),
        (Fault::ProposalTooEarly, "follow", 2, 0),
        (Fault::AbortsDecided, "not decided", 1, 0),
        (Fault::KeepsOldTable, "follow", 2, 1),
        (Fault::RemovedUnheld, "follow", 2, 1),
    ] {
        let found = check(fault, proposals, removals);
        assert!(
            found.as_ref().is_some_and(|f| f.contains(what)),
            "{fault:?}: {found:?}"
        );
    }
}
