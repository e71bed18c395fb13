//! Some processes of the program under everything that may go wrong at once, and whether each
//! message has its final answer in time.
//!
//! Clients keep their connections and go on using them until the kill, which comes as early as the
//! protocol allows. Endpoints, the platform, signals, clocks, files and sockets fail as a schedule
//! says that is drawn from a seed ([`schedule`]). What is judged is what the stand-ins saw: the
//! rules of [`crate::record`], and the times of [`lateness`].

mod clients;
pub mod lateness;
pub mod schedule;

use crate::cold_start::NotPlayed;
use crate::limits::Terms;
use crate::partner::Manner;
use crate::record::{Record, Verdict};
use crate::relay::{Fault, Relay};
use crate::sender::Sender;
use crate::stage::{Ground, Stage, Told, DESTS};
use crate::syscall_faults::SyscallFaults;
use clients::{Clients, Submission};
use lateness::Restart;
use schedule::{Event, Schedule, Target};
use serde::Serialize;
use std::io;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Two for each destination.
const ENDPOINTS: usize = 2 * DESTS;
/// What a call takes.
const CALL: Duration = Duration::from_millis(40);
/// What an ask costs the directory.
const ASK: Duration = Duration::from_millis(5);
/// Between two looks at what is due.
const LOOK: Duration = Duration::from_millis(5);
/// Idle connections of a crowd: more than a process may have descriptors.
const CROWD: usize = 300;
/// From SIGTERM to SIGKILL, by the protocol.
const TERM_TO_KILL: Duration = Duration::from_millis(3_700);
/// What a process logs once it acts upon SIGTERM.
const TOLD_TO_END: &str = "told to end with";
/// From SIGKILL to the next start, by the protocol.
const KILL_TO_START: Duration = Duration::from_millis(600);
/// Between moves of the directory that follow each other.
const BETWEEN_MOVES: Duration = Duration::from_millis(60);
/// Findings that are told one by one.
const MAX_TOLD: usize = 20;
/// A sleep that is asked for to learn how late this machine wakes.
const LATENESS_PROBE: Duration = Duration::from_millis(10);

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program.
    pub program: PathBuf,
    /// Decides all that is drawn.
    pub seed: u64,
    /// Messages are handed in for so long.
    pub lasts: Duration,
    /// Processes.
    pub senders: usize,
    /// Clients of each process, each with a connection of its own.
    pub clients: usize,
}

/// A plan of a usual size.
pub fn plan(program: &Path, seed: u64) -> Plan {
    Plan {
        program: program.to_path_buf(),
        seed,
        lasts: Duration::from_secs(14),
        senders: 3,
        clients: 6,
    }
}

/// What came of it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// Decides all that is drawn.
    #[serde(skip)]
    pub seed: u64,
    /// Events of the schedule.
    pub events: usize,
    /// Messages that were handed in.
    pub handed_in: usize,
    /// Those that were taken on.
    pub taken_on: usize,
    /// Those of them that were delivered.
    pub delivered: usize,
    /// Those that had a notice.
    pub notified: usize,
    /// Those that had their end too late, or never.
    pub late: usize,
    /// Requests that were written whole and whose connection ended without an answer.
    pub unanswered: usize,
    /// Processes that ended by themselves.
    pub crashed: usize,
    /// Processes that had not acted upon SIGTERM when they were killed.
    pub deaf_to_end: usize,
    /// By how much the machine woke a thread too late, at the most, in milliseconds.
    pub lateness_ms: u64,
    /// What the rules say.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// The first findings, in words.
    pub findings: Vec<String>,
}

impl Outcome {
    /// Whether no rule is broken.
    pub fn is_good(&self) -> bool {
        let found = self.late + self.unanswered + self.crashed + self.deaf_to_end;
        found == 0 && self.verdict == Verdict::default()
    }
}

/// One process, with all that is known of its restarts.
struct Process {
    sender: Sender,
    line: Relay,
    /// Those that have begun, each with its signal; the last one may not be over.
    restarts: Vec<Restart>,
    /// What is to come of the restart that is going on.
    pending: Vec<(Instant, Signal)>,
    crowd: Vec<TcpStream>,
    /// New connections may have been shut unread.
    had_crowd: bool,
    /// How it ended by itself.
    crashes: Vec<String>,
    /// SIGTERM was sent to the process that runs.
    is_told_to_end: bool,
    /// Processes that were killed without having acted upon SIGTERM.
    deaf_to_end: Vec<String>,
    /// When it was last looked at and lived.
    alive_at: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Signal {
    Kill,
    Start,
    GoOn,
}

impl Process {
    fn faults(&self) -> Result<&SyscallFaults, NotPlayed> {
        let faults = self.sender.faults();
        faults.ok_or_else(|| io::Error::other("started without a library for faults").into())
    }

    fn is_restarting(&self) -> bool {
        !self.pending.is_empty() || self.restarts.last().is_some_and(|r| r.ready_at.is_none())
    }

    fn begin_restart(&mut self, begun_at: Instant, kill_at: Instant) {
        self.restarts.push(Restart {
            begun_at,
            ready_at: None,
        });
        self.pending.push((kill_at, Signal::Kill));
        self.pending.push((kill_at + KILL_TO_START, Signal::Start));
    }

    /// Does what is due, and notices what has happened.
    fn go_on(&mut self, record: &Record) -> Result<(), NotPlayed> {
        let now = Instant::now();
        let (due, later) = self.pending.drain(..).partition(|(at, _)| *at <= now);
        self.pending = later;
        let mut due: Vec<(Instant, Signal)> = due;
        due.sort_by_key(|(at, _)| *at);
        for (_, signal) in due {
            match signal {
                Signal::Kill => {
                    self.notice_deafness();
                    self.sender.kill();
                }
                Signal::Start => {
                    record.starts(&self.sender.name);
                    self.sender.spawn()?;
                }
                Signal::GoOn => self.sender.stopped(false),
            }
        }
        let is_up = self.sender.log().listens();
        if let Some(restart) = self.restarts.last_mut().filter(|_| self.pending.is_empty()) {
            if is_up && restart.ready_at.is_none() {
                self.sender.listens()?;
                restart.ready_at = Some(now);
            }
        }
        // Its sockets may be closed for some time before its end can be seen.
        let lives = !self.faults()?.is_killed_in_write()?;
        self.notice_end(now)?;
        if lives {
            self.alive_at = now;
        }
        Ok(())
    }

    /// Tells of a process that runs on as if it had not been told to end.
    fn notice_deafness(&mut self) {
        let was_told = std::mem::take(&mut self.is_told_to_end);
        if was_told && self.sender.status().is_none() && !self.sender.log().said(TOLD_TO_END) {
            let name = &self.sender.name;
            self.deaf_to_end
                .push(format!("{name}: runs on after SIGTERM until it is killed"));
        }
    }

    /// Begins the restart of a process that has ended by itself.
    fn notice_end(&mut self, now: Instant) -> Result<(), NotPlayed> {
        let Some(status) = self.sender.status().filter(|_| !self.is_restarting()) else {
            return Ok(());
        };
        // Killed in a write, as it was told; else it has ended by itself.
        if !self.faults()?.has_killed_in_write()? {
            self.crashes.push(format!("{}: {status}", self.sender.name));
        }
        // It may have ended at any time since it was last seen alive.
        self.begin_restart(self.alive_at, now);
        Ok(())
    }

    fn does(&mut self, event: &Event, stage: &Stage) -> Result<(), NotPlayed> {
        let now = Instant::now();
        // A restart that the event would begin has begun already if the process has ended.
        self.notice_end(now)?;
        match event {
            Event::Kill if !self.is_restarting() => self.begin_restart(now, now),
            Event::KillInWrite(number) if !self.is_restarting() => {
                self.faults()?.kill_in_write(*number)?;
            }
            Event::Terminate { times } if !self.is_restarting() => {
                // The log keeps words from when they are first asked for.
                self.is_told_to_end = !self.sender.log().said(TOLD_TO_END);
                (0..*times).for_each(|_| self.sender.tell_to_end());
                self.begin_restart(now, now + TERM_TO_KILL);
            }
            // Before it is ready, a process may not yet know that signal.
            Event::HangUp { times } if !self.is_restarting() => {
                (0..*times).for_each(|_| self.sender.hang_up());
            }
            Event::HoldUp(time) if !self.is_restarting() => {
                self.sender.stopped(true);
                self.pending.push((Instant::now() + *time, Signal::GoOn));
            }
            Event::WallClock { ahead_ms } => self.faults()?.wall_clock_ahead(*ahead_ms)?,
            Event::Disk(failing) => self.faults()?.disk(*failing)?,
            Event::ShortWrites(permille) => self.faults()?.short_writes(*permille)?,
            Event::Accepts(failing) => self.faults()?.accepts(*failing)?,
            Event::Sockets { interrupted, short } => {
                self.faults()?.sockets(*interrupted, *short)?;
            }
            Event::DirectoryLine(fault) => {
                // What the directory tells over such a line may not come, and is not judged.
                stage.record.line_broken(&self.sender.name);
                let is_deaf = *fault != Fault::default();
                stage.record.deaf(&self.sender.name, is_deaf);
                self.line.set(*fault);
            }
            Event::DirectoryMoves { times } if !self.is_restarting() => {
                for _ in 0..*times {
                    self.sender.move_line(&stage.directory, &mut self.line)?;
                    self.sender.hang_up();
                    thread::sleep(BETWEEN_MOVES);
                }
            }
            Event::Crowd(true) => {
                self.had_crowd = true;
                let address = self.sender.log().address();
                let connect = |_| TcpStream::connect(address?).ok();
                self.crowd = (0..CROWD).filter_map(connect).collect();
            }
            Event::Crowd(false) => self.crowd.clear(),
            // What needs a process that is not being restarted comes in vain.
            _ => {}
        }
        Ok(())
    }
}

/// Plays it.
///
/// # Errors
/// Stand-ins or processes could not be started.
pub fn play(plan: &Plan) -> Result<Outcome, NotPlayed> {
    let schedule = Schedule::drawn(plan.seed, plan.senders, ENDPOINTS, plan.lasts);
    let mut stage = Stage::on(ground(), ASK, |_| false)?;
    stage.deadline = schedule.deadline;
    let mut processes = start(plan, &stage)?;
    let lateness = Arc::new(Mutex::new(Duration::ZERO));
    let clients = Clients::start(
        processes
            .iter()
            .map(|p| (p.sender.name.clone(), p.sender.log())),
        plan,
        schedule.deadline,
        stage.record.clone(),
    );
    measure_lateness(&lateness, plan.lasts + schedule.deadline);
    let begun = Instant::now();
    let mut events = schedule.events.iter().peekable();
    while begun.elapsed() < plan.lasts {
        while let Some(event) = events.next_if(|e| begun.elapsed() >= e.at) {
            match event.target {
                Target::Process(n) => processes[n].does(&event.event, &stage)?,
                Target::Endpoint(n) => endpoint_does(&stage, n, &event.event)?,
                Target::Platform => platform_does(&stage, &event.event),
            }
        }
        for (n, process) in processes.iter_mut().enumerate() {
            process.go_on(&stage.record)?;
            clients.listens(n, process.sender.log());
        }
        thread::sleep(LOOK);
    }
    let submissions = clients.stop();
    calm(&stage, &processes)?;
    let settled_by = Instant::now() + schedule.deadline + 2 * TERM_TO_KILL;
    while Instant::now() < settled_by {
        for process in &mut processes {
            process.go_on(&stage.record)?;
        }
        let is_restarting = processes.iter().any(Process::is_restarting);
        if stage.record.open() == 0 && !is_restarting {
            break;
        }
        thread::sleep(LOOK);
    }
    let lateness = *lateness.lock().unwrap_or_else(|e| e.into_inner());
    Ok(judge(
        plan,
        &schedule,
        &stage,
        &processes,
        begun,
        submissions,
        lateness,
    ))
}

fn ground() -> Ground {
    Ground {
        endpoints: ENDPOINTS,
        zones: vec!["a".into()],
        call: CALL,
        terms: Terms::default(),
        lines: true,
    }
}

fn start(plan: &Plan, stage: &Stage) -> Result<Vec<Process>, NotPlayed> {
    let numbers = 0..plan.senders;
    let processes: Result<Vec<_>, _> = numbers.map(|n| new_process(plan, stage, n)).collect();
    let processes = processes?;
    for process in &processes {
        process.sender.listens()?;
    }
    Ok(processes)
}

fn new_process(plan: &Plan, stage: &Stage, number: usize) -> Result<Process, NotPlayed> {
    let told = Told {
        program: &plan.program,
        seed: plan.seed,
        balancers: plan.senders,
        rare: false,
    };
    let line = Relay::start(stage.directory.address)?;
    let name = format!("n{number}");
    stage.directory.names(line.address.port(), &name);
    let mut sender = stage.sender(&told, number, line.address)?;
    sender.with_faults(plan.seed ^ number as u64)?;
    sender.spawn()?;
    Ok(Process {
        sender,
        line,
        restarts: Vec::new(),
        pending: Vec::new(),
        crowd: Vec::new(),
        had_crowd: false,
        crashes: Vec::new(),
        is_told_to_end: false,
        deaf_to_end: Vec::new(),
        alive_at: Instant::now(),
    })
}

/// Learns how late this machine wakes a thread that sleeps.
fn measure_lateness(most: &Arc<Mutex<Duration>>, time: Duration) {
    let (most, until) = (most.clone(), Instant::now() + time);
    thread::spawn(move || {
        while Instant::now() < until {
            let due = Instant::now() + LATENESS_PROBE;
            thread::sleep(LATENESS_PROBE);
            let late = due.elapsed();
            let mut most = most.lock().unwrap_or_else(|e| e.into_inner());
            *most = (*most).max(late);
        }
    });
}

fn endpoint_does(stage: &Stage, number: usize, event: &Event) -> io::Result<()> {
    let partner = &stage.partners[number];
    match event {
        Event::Answers(manner) => partner.answers(*manner),
        Event::Dies(death) => partner.dies(*death)?,
        Event::Lives => partner.lives()?,
        Event::EndpointLine(fault) => partner.line()?.set(*fault),
        Event::Drains(drains) => {
            let condition = if *drains { "leaving" } else { "active" };
            stage.directory.change(&format!("s{number}"), condition);
        }
        _ => {}
    }
    Ok(())
}

fn platform_does(stage: &Stage, event: &Event) {
    match event {
        Event::NoticesAnsweredAfter(time) => stage.directory.answers_notices_after(*time),
        Event::DirectoryDown(down) => stage.directory.down(*down),
        Event::WatchesReset => stage.directory.resets_watches(),
        Event::DirectoryRefuses(after) => {
            stage.directory.refuses_after(after.unwrap_or_default());
            stage.directory.busy(after.is_some());
        }
        _ => {}
    }
}

/// Ends all faults but those of clocks.
fn calm(stage: &Stage, processes: &[Process]) -> Result<(), NotPlayed> {
    stage.directory.answers_notices_after(Duration::ZERO);
    stage.directory.down(false);
    stage.directory.busy(false);
    for partner in &stage.partners {
        partner.answers(Manner::Prompt);
        partner.lives()?;
        partner.line()?.set(Fault::default());
    }
    for process in processes {
        process.line.set(Fault::default());
        let faults = process.faults()?;
        faults.disk(None)?;
        faults.short_writes(0)?;
        faults.accepts(None)?;
        faults.sockets(0, 0)?;
        faults.kill_in_write(0)?;
    }
    Ok(())
}

fn judge(
    plan: &Plan,
    schedule: &Schedule,
    stage: &Stage,
    processes: &[Process],
    begun: Instant,
    submissions: Vec<Submission>,
    lateness: Duration,
) -> Outcome {
    let mut outcome = Outcome {
        seed: plan.seed,
        events: schedule.events.len(),
        handed_in: submissions.len(),
        crashed: processes.iter().map(|p| p.crashes.len()).sum(),
        deaf_to_end: processes.iter().map(|p| p.deaf_to_end.len()).sum(),
        lateness_ms: lateness.as_millis() as u64,
        verdict: stage.record.verdict(),
        ..Outcome::default()
    };
    let seen = stage.record.seen();
    let mut find = |text: String| {
        if outcome.findings.len() < MAX_TOLD {
            outcome.findings.push(text);
        }
    };
    let of_processes = processes
        .iter()
        .flat_map(|p| p.crashes.iter().chain(&p.deaf_to_end));
    of_processes.cloned().for_each(&mut find);
    for submission in &submissions {
        let Submission { id, process, .. } = submission;
        let restarts = &processes[*process].restarts;
        let is_excused =
            processes[*process].had_crowd || lateness::explains_a_reset(submission, restarts);
        if submission.is_unanswered && !is_excused {
            outcome.unanswered += 1;
            let at = submission.ended_at - begun;
            find(format!(
                "{id}: written whole to n{process}, closed with no answer at {at:?}; before: {:?}",
                schedule.before(Target::Process(*process), at)
            ));
        }
        let Some(life) = seen.lives.get(id).filter(|life| life.taken_on) else {
            continue;
        };
        outcome.taken_on += 1;
        outcome.delivered += usize::from(life.delivered > 0);
        outcome.notified += usize::from(!life.told.is_empty());
        let due = submission.sent_at + schedule.deadline;
        if life.is_doubled() {
            let since_sent = |at: Option<Instant>| at.map(|at| at - submission.sent_at);
            find(format!(
                "{id}: handed to n{process} with {:?} left, told {:?} first after {:?}, delivered {} first after {:?}, {} after a notice, {} zones too many",
                schedule.deadline,
                life.told,
                since_sent(life.told_at),
                life.delivered,
                since_sent(life.delivered_at),
                life.too_late,
                life.ran_twice
            ));
        }
        if let Some(late) = lateness::late_by(due, life, restarts, lateness) {
            outcome.late += 1;
            find(format!(
                "{id}: handed to n{process} with {:?} left, {late}; delivered {} told {:?}; before: {:?}",
                schedule.deadline,
                life.delivered,
                life.told,
                schedule.before(Target::Process(*process), due - begun)
            ));
        }
    }
    for text in &seen.twice {
        let endpoint = text.split("out at s").nth(1);
        let number = endpoint.and_then(|rest| rest.split(' ').next()?.parse().ok());
        let before = number.map(|n| schedule.before(Target::Endpoint(n), plan.lasts));
        find(format!("{text}; there: {before:?}"));
    }
    seen.breaches()
        .into_iter()
        .map(String::from)
        .for_each(&mut find);
    outcome
}

#[cfg(test)]
mod tests;
