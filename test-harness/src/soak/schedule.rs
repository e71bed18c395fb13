//! What goes wrong in a soak, and when: all of it drawn from a seed.

use crate::limits::Death;
use crate::partner::Manner;
use crate::relay::{Break, Breaks, Fault};
use crate::syscall_faults::Failing;
use rustix::io::Errno;
use std::time::Duration;

/// Times that messages have, in milliseconds: longer ones would need a longer soak.
const DEADLINES_MS: std::ops::Range<u64> = 2_000..5_000;
/// Nothing begins before that: processes have to start.
const FIRST: Duration = Duration::from_millis(500);
/// Longest time that a fault lasts.
const LONGEST: Duration = Duration::from_secs(4);
/// When the directory begins to refuse asks, and for how long it does, in milliseconds: longer than
/// changes take to count as told.
const REFUSES_FROM_MS: std::ops::Range<u64> = 500..4_000;
const REFUSES_FOR_MS: std::ops::Range<u64> = 7_000..12_000;
/// How long refusals take, in milliseconds.
const REFUSES_AFTER_MS: [u64; 4] = [0, 4, 800, 2_000];
/// Longest that a process is held up between reading its clock and writing, by the standing test.
const LONGEST_HOLD_UP_MS: u64 = 150;
/// How far wall clocks are stepped, in milliseconds, each way.
const STEPS_MS: [i64; 5] = [300, 2_000, 30_000, 900_000, 3_600_000];
/// Around the end of the time that its caller waits, where an endpoint answers then.
const AROUND_THE_END: Duration = Duration::from_millis(20);
/// So many of the last events are told of somebody who has missed something.
const LAST_EVENTS: usize = 4;
/// What a disk says.
const DISK_ERRORS: [Errno; 2] = [Errno::NOSPC, Errno::IO];
/// What accept says that fails for a moment.
const ACCEPT_ERRORS: [Errno; 4] = [Errno::CONNABORTED, Errno::NFILE, Errno::NOBUFS, Errno::INTR];

/// Whom something meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A process, with its line to the directory and its system calls.
    Process(usize),
    /// An endpoint.
    Endpoint(usize),
    /// The directory, which takes notices too.
    Platform,
}

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The process is killed, and started again as early as may be.
    Kill,
    /// The same, in the middle of its so-manieth write to a file from now on.
    KillInWrite(u32),
    /// It is told to end, so often, killed as early as may be, and started again.
    Terminate {
        /// How often.
        times: u8,
    },
    /// It is told to read its configuration again, so often.
    HangUp {
        /// How often.
        times: u8,
    },
    /// It stands still for a moment.
    HoldUp(Duration),
    /// Its wall clock is so far ahead of the machine's.
    WallClock {
        /// In milliseconds; behind it, if negative.
        ahead_ms: i64,
    },
    /// Its writes to files and its syncs fail, or none do.
    Disk(Option<Failing>),
    /// So many of a thousand of its writes to files are cut short.
    ShortWrites(u16),
    /// Its accepts fail, or none do.
    Accepts(Option<Failing>),
    /// So many of a thousand of its reads and writes of sockets are interrupted, or take one byte.
    Sockets {
        /// Interrupted.
        interrupted: u16,
        /// Of one byte.
        short: u16,
    },
    /// Its line to the directory has this fault and no other.
    DirectoryLine(Fault),
    /// More idle clients than it may have descriptors are connected to it, or leave.
    Crowd(bool),
    /// The endpoint answers in this manner.
    Answers(Manner),
    /// The endpoint dies.
    Dies(Death),
    /// It lives again.
    Lives,
    /// The line to it has this fault and no other.
    EndpointLine(Fault),
    /// Notices are answered so long after they were taken.
    NoticesAnsweredAfter(Duration),
    /// The directory is down, or back; it takes notices all the same.
    DirectoryDown(bool),
    /// The directory refuses asks after so long, or serves them again.
    DirectoryRefuses(Option<Duration>),
    /// The directory resets all watches.
    WatchesReset,
    /// The directory lists the endpoint as draining, or as active again.
    Drains(bool),
    /// The process is told so often, one after the other, that the directory is at another address.
    DirectoryMoves {
        /// How often.
        times: u8,
    },
}

/// Something that happens to somebody, so long after the beginning.
#[derive(Clone, Debug)]
pub struct TimedEvent {
    /// When.
    pub at: Duration,
    /// Whom it meets.
    pub target: Target,
    /// What.
    pub event: Event,
}

/// A schedule.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Time that messages have.
    pub deadline: Duration,
    /// What happens, in the order of time.
    pub events: Vec<TimedEvent>,
}

impl Schedule {
    /// The last that met somebody before a moment.
    pub fn before(&self, target: Target, at: Duration) -> Vec<&TimedEvent> {
        let met = |e: &&TimedEvent| e.target == target && e.at <= at;
        let met: Vec<&TimedEvent> = self.events.iter().filter(met).collect();
        met[met.len().saturating_sub(LAST_EVENTS)..].to_vec()
    }
}

/// Draws it.
struct Draw {
    random: fastrand::Rng,
    lasts: Duration,
    events: Vec<TimedEvent>,
}

impl Schedule {
    /// Draws one for so many processes and endpoints.
    pub fn drawn(seed: u64, processes: usize, endpoints: usize, lasts: Duration) -> Schedule {
        let mut random = fastrand::Rng::with_seed(seed);
        let deadline = Duration::from_millis(random.u64(DEADLINES_MS));
        let mut draw = Draw {
            random,
            lasts,
            events: Vec::new(),
        };
        for process in 0..processes {
            draw.restarts(process);
            draw.clocks(process);
            draw.files(process);
            draw.sockets(process);
            draw.small_signals(process);
        }
        draw.crowd(processes);
        draw.endpoints(endpoints);
        draw.platform();
        draw.refusals();
        draw.drains(endpoints);
        draw.moves(processes);
        let mut events = draw.events;
        events.sort_by_key(|e| e.at);
        Schedule { deadline, events }
    }
}

impl Draw {
    fn add(&mut self, at: Duration, target: Target, event: Event) {
        self.events.push(TimedEvent { at, target, event });
    }

    /// Something that is undone later.
    fn add_for_a_while(&mut self, target: Target, event: Event, undone: Event) {
        let (from, to) = self.span();
        self.add(from, target, event);
        self.add(to, target, undone);
    }

    fn moment(&mut self) -> Duration {
        let span = self.lasts.saturating_sub(FIRST);
        FIRST + span.mul_f64(self.random.f64())
    }

    fn span(&mut self) -> (Duration, Duration) {
        let from = self.moment();
        (from, from + LONGEST.mul_f64(0.1 + 0.9 * self.random.f64()))
    }

    fn chance(&mut self, part: f64) -> bool {
        self.random.f64() < part
    }

    fn restarts(&mut self, process: usize) {
        let target = Target::Process(process);
        let mut at = self.moment() / 2;
        while at < self.lasts {
            let event = match self.random.u8(..4) {
                0 => Event::Kill,
                1 => Event::KillInWrite(self.random.u32(1..40)),
                _ => Event::Terminate {
                    times: self.random.u8(1..4),
                },
            };
            self.add(at, target, event);
            at += Duration::from_millis(self.random.u64(2_000..9_000));
        }
    }

    fn clocks(&mut self, process: usize) {
        for _ in 0..self.random.usize(..4) {
            let step = STEPS_MS[self.random.usize(..STEPS_MS.len())];
            let ahead_ms = if self.random.bool() { step } else { -step };
            let at = self.moment();
            self.add(at, Target::Process(process), Event::WallClock { ahead_ms });
        }
    }

    fn files(&mut self, process: usize) {
        let target = Target::Process(process);
        if self.chance(0.4) {
            let failing = Failing {
                errno: DISK_ERRORS[self.random.usize(..DISK_ERRORS.len())],
                permille: if self.random.bool() { 1_000 } else { 300 },
            };
            self.add_for_a_while(target, Event::Disk(Some(failing)), Event::Disk(None));
        }
        if self.chance(0.3) {
            self.add_for_a_while(target, Event::ShortWrites(300), Event::ShortWrites(0));
        }
    }

    fn sockets(&mut self, process: usize) {
        let target = Target::Process(process);
        if self.chance(0.4) {
            let failing = Failing {
                errno: ACCEPT_ERRORS[self.random.usize(..ACCEPT_ERRORS.len())],
                permille: 500,
            };
            self.add_for_a_while(target, Event::Accepts(Some(failing)), Event::Accepts(None));
        }
        if self.chance(0.4) {
            let broken = Event::Sockets {
                interrupted: 100,
                short: 100,
            };
            let whole = Event::Sockets {
                interrupted: 0,
                short: 0,
            };
            self.add_for_a_while(target, broken, whole);
        }
    }

    fn small_signals(&mut self, process: usize) {
        let target = Target::Process(process);
        for _ in 0..self.random.usize(..6) {
            let at = self.moment();
            let event = if self.random.bool() {
                let ms = self.random.u64(20..=LONGEST_HOLD_UP_MS);
                Event::HoldUp(Duration::from_millis(ms))
            } else {
                Event::HangUp {
                    times: self.random.u8(1..4),
                }
            };
            self.add(at, target, event);
        }
        if self.chance(0.3) {
            // Notices are taken at any time, by the protocol; only their answers may be lost.
            let fault = Fault {
                cut: false,
                ..self.fault()
            };
            let whole = Event::DirectoryLine(Fault::default());
            self.add_for_a_while(target, Event::DirectoryLine(fault), whole);
        }
    }

    fn crowd(&mut self, processes: usize) {
        if self.chance(0.25) {
            let target = Target::Process(self.random.usize(..processes));
            self.add_for_a_while(target, Event::Crowd(true), Event::Crowd(false));
        }
    }

    fn endpoints(&mut self, endpoints: usize) {
        for endpoint in 0..endpoints {
            let target = Target::Endpoint(endpoint);
            match self.random.u8(..6) {
                0 | 1 => {
                    let manner = if self.random.bool() {
                        Manner::AtTheEnd(AROUND_THE_END)
                    } else {
                        Manner::Announcing
                    };
                    let prompt = Event::Answers(Manner::Prompt);
                    self.add_for_a_while(target, Event::Answers(manner), prompt);
                }
                2 | 3 => {
                    let death = match self.random.u8(..3) {
                        0 => Death::Hangs,
                        1 => Death::Errors,
                        _ => Death::Unconnected,
                    };
                    self.add_for_a_while(target, Event::Dies(death), Event::Lives);
                }
                4 => {
                    let fault = self.fault();
                    let whole = Event::EndpointLine(Fault::default());
                    self.add_for_a_while(target, Event::EndpointLine(fault), whole);
                }
                _ => {}
            }
        }
    }

    fn platform(&mut self) {
        let target = Target::Platform;
        if self.chance(0.5) {
            let time = Duration::from_millis(self.random.u64(100..900));
            let prompt = Event::NoticesAnsweredAfter(Duration::ZERO);
            self.add_for_a_while(target, Event::NoticesAnsweredAfter(time), prompt);
        }
        if self.chance(0.3) {
            let back = Event::DirectoryDown(false);
            self.add_for_a_while(target, Event::DirectoryDown(true), back);
        }
    }

    /// Refusals, most times with a reset of all watches, and single answers between them.
    fn refusals(&mut self) {
        if !self.chance(0.5) {
            return;
        }
        let target = Target::Platform;
        let mut at = Duration::from_millis(self.random.u64(REFUSES_FROM_MS));
        let until = at + Duration::from_millis(self.random.u64(REFUSES_FOR_MS));
        if self.chance(0.8) {
            self.add(at, target, Event::WatchesReset);
        }
        while at < until {
            let after = REFUSES_AFTER_MS[self.random.usize(..REFUSES_AFTER_MS.len())];
            let after = Duration::from_millis(after);
            self.add(at, target, Event::DirectoryRefuses(Some(after)));
            at += Duration::from_millis(self.random.u64(2_000..12_000));
            self.add(at.min(until), target, Event::DirectoryRefuses(None));
            at += Duration::from_millis(self.random.u64(20..600));
            if self.chance(0.5) {
                self.add(at.min(until), target, Event::WatchesReset);
            }
        }
    }

    /// Drains, some of which are undone.
    fn drains(&mut self, endpoints: usize) {
        for endpoint in 0..endpoints {
            if !self.chance(0.3) {
                continue;
            }
            let at = self.moment() / 2;
            let target = Target::Endpoint(endpoint);
            self.add(at, target, Event::Drains(true));
            if self.chance(0.3) {
                let undone = at + Duration::from_millis(self.random.u64(100..8_000));
                self.add(undone, target, Event::Drains(false));
            }
        }
    }

    fn moves(&mut self, processes: usize) {
        for process in 0..processes {
            for _ in 0..self.random.usize(..3) {
                let at = self.moment();
                let times = self.random.u8(1..4);
                let event = Event::DirectoryMoves { times };
                self.add(at, Target::Process(process), event);
            }
        }
    }

    fn fault(&mut self) -> Fault {
        let none = Fault::default();
        match self.random.u8(..4) {
            0 => Fault {
                delay_ms: self.random.u64(10..80),
                ..none
            },
            1 => Fault { cut: true, ..none },
            2 => Fault {
                silent_down: true,
                ..none
            },
            _ => Fault {
                breaks: Some(Breaks {
                    after: self.random.usize(..60),
                    how: if self.random.bool() {
                        Break::Reset
                    } else {
                        Break::Close
                    },
                }),
                ..none
            },
        }
    }
}
