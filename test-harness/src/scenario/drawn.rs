//! A schedule of which all is drawn.

use super::{ask_ms, endpoints, zones, Deed, Kept, Scenario, Step, Wanted, Who};
use crate::limits::Terms;
use crate::policy::Policies;
use crate::relay::{Break, Breaks, Fault};
use crate::tables::Tables;

/// From then on all are left alone where what happens is drawn, in seconds.
const CALM_FROM: f64 = 16.0;

impl Scenario {
    /// Some of everything that can happen, drawn: processes that die, end, stand still and come
    /// back, lines that fail, a directory that is down, busy, slow or moves, endpoints that drain
    /// and return. At the end all are back and all lines whole.
    pub fn drawn(senders: usize, seed: u64) -> Scenario {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut steps = Vec::new();
        let mut step = |at_s: f64, who: Who, deed| {
            steps.push(Step {
                who,
                ..Step::at(at_s, deed)
            })
        };
        let everyone = || Who::Share(1.0);
        step(0.0, everyone(), Deed::Start);
        // Until when each process is in trouble.
        let mut busy = vec![0.5; senders];
        for _ in 0..random.usize(10..25) {
            let (at, most) = (0.5 + 13.0 * random.f64(), 0.2 + 4.0 * random.f64());
            let till = (at + most).min(CALM_FROM);
            let some = |random: &mut fastrand::Rng, of: &[usize]| {
                let count = 1 + random.usize(..senders.div_ceil(2));
                let mut some = of.to_vec();
                random.shuffle(&mut some);
                some.truncate(count);
                some
            };
            let names = |of: &[usize]| Who::Names(of.iter().map(|n| format!("n{n}")).collect());
            let uid = format!("s{}", random.usize(..endpoints()));
            match random.usize(..12) {
                kind @ 0..=4 => {
                    let free: Vec<usize> = (0..senders).filter(|n| busy[*n] < at).collect();
                    let who = some(&mut random, &free);
                    // An end takes up to 3.4 s, and is waited for.
                    let till = if kind < 2 { till } else { till.max(at + 0.6) };
                    who.iter().for_each(|n| busy[*n] = till + 0.5);
                    let (away, back) = match kind {
                        0 | 1 => (Deed::Stop, Deed::GoOn),
                        2 | 3 => (Deed::Kill, Deed::Start),
                        _ => (Deed::TellToEnd, Deed::Start),
                    };
                    step(at, names(&who), away);
                    step(till, names(&who), back);
                }
                5..=7 => {
                    let all: Vec<usize> = (0..senders).collect();
                    let who = some(&mut random, &all);
                    let how = if random.bool() {
                        Break::Reset
                    } else {
                        Break::Close
                    };
                    let fault = match random.usize(..5) {
                        0 => Fault {
                            cut: true,
                            ..Fault::default()
                        },
                        1 => Fault {
                            silent_down: true,
                            ..Fault::default()
                        },
                        2 => Fault {
                            silent_up: true,
                            ..Fault::default()
                        },
                        3 => Fault {
                            delay_ms: random.u64(20..800),
                            ..Fault::default()
                        },
                        _ => Fault {
                            breaks: Some(Breaks {
                                after: random.usize(1..5_000),
                                how,
                            }),
                            ..Fault::default()
                        },
                    };
                    step(at, names(&who), Deed::Line(fault));
                    step(till, names(&who), Deed::Line(Fault::default()));
                }
                8 => {
                    step(at, everyone(), Deed::DirectoryDown);
                    step(till, everyone(), Deed::DirectoryBack);
                }
                9 => {
                    step(at, everyone(), Deed::Busy(true));
                    step(till, everyone(), Deed::Busy(false));
                }
                10 => step(
                    at,
                    everyone(),
                    if random.bool() {
                        Deed::Move
                    } else {
                        Deed::HangUp
                    },
                ),
                _ => {
                    step(
                        at,
                        everyone(),
                        if random.bool() {
                            Deed::Drain(uid.clone())
                        } else {
                            Deed::Leave(uid.clone())
                        },
                    );
                    step(till, everyone(), Deed::Return(uid));
                }
            }
        }
        step(CALM_FROM, everyone(), Deed::Line(Fault::default()));
        Scenario {
            senders,
            balancers: None,
            endpoints: endpoints(),
            zones: zones(),
            sites: Vec::new(),
            site_delay_ms: 0,
            tables: Tables::default(),
            limits: Terms::default(),
            endpoint_lines: false,
            fleet: None,
            ask_ms: if random.bool() {
                ask_ms()
            } else {
                random.u64(5..300)
            },
            call_ms: random.u64(5..200),
            rate: 4.0 * senders as f64,
            lasts_s: CALM_FROM + 3.0,
            until_well: false,
            kept: *random
                .choice([Kept::True, Kept::ThirdGone, Kept::Gone].iter())
                .unwrap_or(&Kept::True),
            wanted: Wanted {
                delivered: 0.5,
                ..Wanted::default()
            },
            policies: Policies::default(),
            steps,
        }
    }
}
