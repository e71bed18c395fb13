//! Follows the platform's directory. When to ask again after a failure is the module's choice.

use super::discovery::Discovery;
use super::http::{self, Body, Chunks};
use super::list;
use crate::core::desk::Desk;
use crate::core::directory::Directory;
use crate::core::earlier;
use crate::core::unix_ms;
use crate::core::wheel::Wheel;
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
/// Longest line taken.
const MAX_LINE: usize = 4 << 20;

/// What a watch needs.
pub struct Watch {
    /// Where the directory is.
    pub discovery: Rc<Discovery>,
    /// Told of changes.
    pub desk: Rc<Desk>,
    /// Holds the version to go on from.
    pub directory: Rc<Directory>,
    /// The timers.
    pub wheel: Rc<Wheel>,
    /// The answer to a watch may wait behind other calls for so long.
    pub patience: Duration,
    /// The folder that lasts, for a note of what asks took and of the directory's last word.
    pub state: PathBuf,
    /// The shortest time that an ask took, also in the process before.
    pub quickest: Cell<Option<Duration>>,
    /// The last word could not be noted, and the log has it.
    pub unnoted: Cell<bool>,
}

impl Watch {
    /// Watches whenever asked to, until each watch ends or the directory moves.
    pub async fn run(&self, asked: Receiver<()>) {
        loop {
            if self.discovery.while_there(asked.recv()).await.is_none() {
                self.move_on();
                continue;
            }
            // This watch is what was asked for, however often.
            while asked.try_recv().is_ok() {}
            match self.discovery.while_there(self.follow()).await {
                Some(ended) => {
                    log::warn!("watch: {}", ended.map_or_else(|e| e.to_string(), |()| "ended".into()));
                    self.desk.list_failed();
                }
                None => self.move_on(),
            }
        }
    }

    /// The directory has moved: the module says when it is asked there.
    fn move_on(&self) {
        self.directory.moved();
        self.desk.list_moved();
    }

    async fn follow(&self) -> io::Result<()> {
        let began = Instant::now();
        let opened = self.wheel.limit(self.patience, self.open()).await;
        let (mut stream, body) = opened.ok_or(io::ErrorKind::TimedOut)??;
        let (mut text, mut chunks, mut answered) = (Vec::new(), Chunks::default(), false);
        loop {
            let ended = match body {
                Body::Chunked => chunks.take(&mut stream.buf, &mut text)?,
                Body::Length(_) | Body::ToEnd => {
                    text.append(&mut stream.buf);
                    false
                }
            };
            while let Some(line) = http::take_line(&mut text) {
                if line.trim_ascii().is_empty() {
                    self.desk.list_heard();
                } else {
                    let news =
                        list::read(&line).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
                    self.desk.list(&news);
                    if !answered {
                        // It may be no newer than what is held, which is an answer too.
                        self.desk.list_heard();
                    }
                }
                self.note_word();
                // Not at its head: whoever waits for a word would call by the old list until the new one is read.
                if !std::mem::replace(&mut answered, true) {
                    self.note(began.elapsed());
                }
            }
            if ended {
                return Ok(());
            }
            if text.len() > MAX_LINE {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "a line without end"));
            }
            let more = self.wheel.limit(SILENCE, stream.fill()).await;
            if !more.ok_or_else(|| io::Error::new(io::ErrorKind::TimedOut, "silent"))?? {
                return Ok(());
            }
        }
    }

    /// The directory said something, which the next process has to know: the list that it begins with is as old as that.
    fn note_word(&self) {
        let noted = earlier::heard(&self.state, unix_ms());
        let told_before = self.unnoted.replace(noted.is_err());
        if let Some(e) = noted.err().filter(|_| !told_before) {
            log::warn!("state: word of the directory not noted: {e}");
        }
    }

    /// An ask was answered after so long.
    fn note(&self, took: Duration) {
        log::debug!("watch: answered after {took:?}");
        // What stood in a line is no measure of an ask.
        let least = self.quickest.get().map_or(took, |quickest| quickest.min(took));
        self.quickest.set(Some(least));
        let noted = earlier::asked(&self.state, unix_ms(), least);
        noted.unwrap_or_else(|e| log::warn!("state: ask not noted: {e}"));
    }

    async fn open(&self) -> io::Result<(Stream, Body)> {
        let (address, since) = (self.discovery.address(), self.directory.rev().unwrap_or(0));
        let mut stream = Stream::connect(address).await?;
        let ask = format!("GET /discovery/hosts?follow=1&since={since} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        stream.send(ask.as_bytes()).await?;
        let answer = http::read_response(&mut stream).await?;
        match answer.status {
            200 => Ok((stream, answer.body)),
            status => Err(io::Error::other(format!("answered {status}"))),
        }
    }
}
