//! Follows the platform's directory. When to ask again after a failure is the module's choice.

use super::discovery::Discovery;
use super::http::{self, Body, Chunks};
use super::list::{self, Objects, Said};
use crate::delivery::driver::DispatcherDriver;
use crate::delivery::duration;
use crate::delivery::endpoint::EndpointListUpdate;
use crate::delivery::endpoint_directory::EndpointDirectory;
use crate::delivery::journal::persistent_clock::PersistentClock;
use crate::delivery::journal::restart_state;
use crate::delivery::timer_wheel::TimerWheel;
use crate::net::stream::Stream;
use async_channel::Receiver;
use std::cell::Cell;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A line comes this often at least, also where nothing has changed.
pub const BEAT: Duration = Duration::from_secs(2);
/// A watch silent for this long is dead, though its connection may look open.
const SILENCE: Duration = Duration::from_millis(3500);
/// Answers that cannot be read are told of no more often than this.
const TOLD_EVERY: Duration = Duration::from_secs(10);

/// What a watch needs.
pub struct Watch {
    /// Where the directory is.
    pub discovery: Rc<Discovery>,
    /// Told of changes.
    pub driver: Rc<DispatcherDriver>,
    /// Holds the version to go on from.
    pub directory: Rc<EndpointDirectory>,
    /// The timers.
    pub wheel: Rc<TimerWheel>,
    /// The answer to a watch may wait behind other calls for so long.
    pub patience: Duration,
    /// The folder that lasts, for a note of what asks took and of how long the list may be trusted.
    pub state: PathBuf,
    /// The clock that those notes go by.
    pub clock: PersistentClock,
    /// The shortest time that an ask took, also in the process before.
    pub quickest: Cell<Option<Duration>>,
    /// That could not be noted, and the log has it.
    pub unnoted: Cell<bool>,
    /// The revision that was noted last.
    pub noted_revision: Cell<Option<u64>>,
}

impl Watch {
    /// Watches whenever asked to, until each watch ends or the directory moves.
    pub async fn run(&self, asked: Receiver<()>) {
        let mut faults = Faults::default();
        loop {
            if self.discovery.while_there(asked.recv()).await.is_none() {
                self.move_on();
                continue;
            }
            // This watch is what was asked for, however often.
            while asked.try_recv().is_ok() {}
            let began = Instant::now();
            match self.discovery.while_there(self.follow()).await {
                Some(ended) => {
                    faults.tell(ended, began.elapsed());
                    self.driver.report_list_failure();
                    self.log_list_status();
                    self.note_trust();
                }
                None => self.move_on(),
            }
        }
    }

    /// The directory has moved: the module says when it is asked there.
    fn move_on(&self) {
        self.directory.expect_new_source();
        self.driver.report_list_source_change();
        self.log_list_status();
        self.note_trust();
    }

    fn log_list_status(&self) {
        if let Some(status) = self.driver.endpoint_list_status() {
            log::info!("list: {status}");
        }
    }

    async fn follow(&self) -> io::Result<()> {
        let began = Instant::now();
        let opened = self.wheel.timeout(self.patience, self.open()).await;
        let (mut stream, body) = opened.ok_or(io::ErrorKind::TimedOut)??;
        let (mut text, mut chunks, mut objects) =
            (Vec::new(), Chunks::default(), Objects::default());
        // Bytes alone are no word: what is said has to be whole by then.
        let (mut answered, mut due) = (false, began + self.patience);
        loop {
            let ended = match body {
                Body::Chunked => chunks.take(&mut stream.buf, &mut text),
                Body::Length(_) | Body::ToEnd => {
                    text.append(&mut stream.buf);
                    Ok(false)
                }
            };
            if self.take(&mut objects, &mut text, answered)? {
                self.note_trust();
                // Not at its head: whoever waits for a word would call by the old list until the
                // new one is read.
                if !std::mem::replace(&mut answered, true) {
                    self.note(began.elapsed());
                }
                due = Instant::now() + SILENCE;
            }
            // What came before a fault counts.
            if ended? {
                return Ok(());
            }
            let left = due.saturating_duration_since(Instant::now());
            let more = self.wheel.timeout(left, stream.fill()).await;
            if !more.ok_or_else(|| io::Error::new(io::ErrorKind::TimedOut, "silent"))?? {
                return Ok(());
            }
        }
    }

    /// Takes in what has come whole; whether anything has. Empty lines that come together are one
    /// word.
    fn take(&self, objects: &mut Objects, text: &mut Vec<u8>, answered: bool) -> io::Result<bool> {
        let (mut any, mut no_change) = (false, false);
        while let Some(said) = objects.next(text).map_err(spoilt)? {
            match said {
                Said::NoChange => no_change = true,
                Said::Object(object) => {
                    let update = list::read(&object).map_err(spoilt)?;
                    let is_answer = !answered && !any;
                    if is_answer {
                        self.check_revision(&update)?;
                    }
                    self.driver.apply_list_update(&update);
                    // It may be no newer than what is held, which is an answer too.
                    no_change |= is_answer;
                }
            }
            any = true;
        }
        if no_change {
            self.driver.confirm_list_unchanged();
        }
        Ok(any)
    }

    /// Checks the answer to a poll. A directory that is behind the held list knows nothing of what
    /// has changed since, and its watch tells nothing of it.
    fn check_revision(&self, update: &EndpointListUpdate) -> io::Result<()> {
        let revision = update.revision;
        match self.directory.newest_revision() {
            Some(held) if revision < held => {
                let text = format!("revision {revision} is older than the held {held}");
                Err(io::Error::other(text))
            }
            _ => Ok(()),
        }
    }

    /// Notes for the next process how long the list that it begins with may be trusted.
    fn note_trust(&self) {
        let Some(status) = self.driver.endpoint_list_status() else {
            return;
        };
        let trusted_for = duration(status.remaining);
        let now_unix_ms = self.clock.now_unix_ms();
        let noted = self.note_revision(now_unix_ms).and_then(|()| {
            restart_state::note_list_freshness(&self.state, now_unix_ms, trusted_for)
        });
        let told_before = self.unnoted.replace(noted.is_err());
        if let Some(e) = noted.err().filter(|_| !told_before) {
            log::warn!("state: trust in the list not noted: {e}");
        }
    }

    /// Notes of which revision that is told, if another one was noted last.
    fn note_revision(&self, now_unix_ms: u64) -> io::Result<()> {
        let revision = self.directory.revision();
        if let Some(held) = revision.filter(|_| revision != self.noted_revision.get()) {
            restart_state::note_list_revision(&self.state, now_unix_ms, held)?;
            self.noted_revision.set(revision);
        }
        Ok(())
    }

    /// An ask was answered after so long.
    fn note(&self, took: Duration) {
        log::debug!("watch: answered after {took:?}");
        // What stood in a line is no measure of an ask.
        let least = self
            .quickest
            .get()
            .map_or(took, |quickest| quickest.min(took));
        self.quickest.set(Some(least));
        let noted = restart_state::note_list_poll(&self.state, self.clock.now_unix_ms(), least);
        noted.unwrap_or_else(|e| log::warn!("state: ask not noted: {e}"));
    }

    async fn open(&self) -> io::Result<(Stream, Body)> {
        let (address, since) = (
            self.discovery.address(),
            self.directory.revision().unwrap_or(0),
        );
        let mut stream = Stream::connect(address).await?;
        let ask = format!(
            "GET /discovery/hosts?follow=1&since={since} HTTP/1.1\r\nHost: {address}\r\n\r\n"
        );
        stream.send(ask.as_bytes()).await?;
        let answer = http::read_response(&mut stream).await?;
        match answer.status {
            200 => Ok((stream, answer.body)),
            status => Err(io::Error::other(format!("answered {status}"))),
        }
    }
}

fn spoilt(e: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, e.to_string())
}

/// How watches ended, for the log.
#[derive(Default)]
struct Faults {
    /// When an answer that could not be read was last told of.
    told: Option<Instant>,
    /// Such answers since then.
    more: u32,
}

impl Faults {
    fn tell(&mut self, ended: io::Result<()>, lasted: Duration) {
        match ended {
            Ok(()) => log::warn!("watch: ended after {lasted:?}"),
            Err(e) if e.kind() != io::ErrorKind::InvalidData => {
                log::warn!("watch: {e} after {lasted:?}");
            }
            Err(_) if self.told.is_some_and(|at| at.elapsed() < TOLD_EVERY) => self.more += 1,
            Err(e) => {
                let more = std::mem::take(&mut self.more);
                log::error!(
                    "watch: an answer that cannot be read: {e} ({more} more since the last line)"
                );
                self.told = Some(Instant::now());
            }
        }
    }
}
