//! One process of the program, with its folder, started again as the platform does.

use crate::record::Record;
use crate::Http;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use tempfile::TempDir;

/// A program says where it listens within this time.
const PATIENCE: Duration = Duration::from_secs(30);
/// A client waits so long for the answer to a message.
const ANSWER: Duration = Duration::from_millis(400);

/// A sender that did not start.
#[derive(Debug, thiserror::Error)]
pub enum NoSender {
    /// A file or a process.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// It never listened.
    #[error("{0}: did not listen within {1:?}: {2}")]
    Silent(String, Duration, String),
}

/// A sender.
pub struct Sender {
    /// Its name.
    pub name: String,
    program: PathBuf,
    folder: TempDir,
    child: Option<Child>,
    address: Option<SocketAddr>,
}

impl Sender {
    /// One that is told this configuration, with a folder of its own; it is not started yet.
    ///
    /// # Errors
    /// The folder cannot be written.
    pub fn new(program: &Path, name: String, mut config: Value) -> Result<Sender, NoSender> {
        let failed = |e| NoSender::Io(program.to_path_buf(), e);
        let folder = TempDir::new().map_err(failed)?;
        std::fs::create_dir(folder.path().join("state")).map_err(failed)?;
        config["name"] = name.clone().into();
        std::fs::write(folder.path().join("config.json"), config.to_string()).map_err(failed)?;
        Ok(Sender { name, program: program.to_path_buf(), folder, child: None, address: None })
    }

    /// Starts its process, and waits for nothing.
    ///
    /// # Errors
    /// There is no such program.
    pub fn spawn(&mut self) -> Result<(), NoSender> {
        let child = Command::new(&self.program)
            .env("NODE_CONFIG", self.folder.path().join("config.json"))
            .env("NODE_STATE", self.folder.path().join("state"))
            .env("RUST_LOG", "info")
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn();
        self.child = Some(child.map_err(|e| NoSender::Io(self.program.clone(), e))?);
        self.address = None;
        Ok(())
    }

    /// Waits until it says where it listens.
    ///
    /// # Errors
    /// It does not.
    pub fn listens(&mut self) -> Result<(), NoSender> {
        let stderr = self.child.as_mut().and_then(|c| c.stderr.take());
        let Some(stderr) = stderr else { return Ok(()) };
        let (sender, lines) = channel();
        thread::spawn(move || {
            // What it logs later is read and dropped, or it would wait for a reader.
            BufReader::new(stderr).lines().map_while(Result::ok).for_each(|l| drop(sender.send(l)));
        });
        let mut seen = Vec::new();
        while let Ok(line) = lines.recv_timeout(PATIENCE) {
            self.address = line.split_once("platform at ").and_then(|(_, at)| at.trim().parse().ok());
            if self.address.is_some() {
                return Ok(());
            }
            seen.push(line);
        }
        Err(NoSender::Silent(self.name.clone(), PATIENCE, seen.join("; ")))
    }

    /// Kills it; its folder stays.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.address = None;
    }

    /// Stops its process for a while, or lets it go on: it neither reads nor answers meanwhile.
    pub fn stopped(&self, stopped: bool) {
        let pid = self.child.as_ref().and_then(|c| Pid::from_raw(c.id() as i32));
        // One that is gone has stopped for good.
        let _ = pid.map(|pid| kill_process(pid, if stopped { Signal::STOP } else { Signal::CONT }));
    }

    /// Whether its process lives.
    pub fn lives(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Hands a message for a destination in and waits for the answer as clients do. Whether it was taken on.
    pub fn hand_in(&self, id: &str, dest: usize, left: Duration, record: &Record) -> bool {
        let Some(address) = self.address else { return false };
        let ask = || -> io::Result<bool> {
            let mut stream = TcpStream::connect(address)?;
            stream.set_read_timeout(Some(ANSWER))?;
            write!(
                stream,
                "POST /event HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id}\r\nX-Lane: event\r\nX-Remaining: {}m\r\n\
                 Idempotency-Key: key-of-{id}\r\nContent-Length: 2\r\nX-Addressing: dest={dest}\r\n\r\nhi",
                left.as_millis()
            )?;
            let answer = Http::read(&mut BufReader::new(&stream))?;
            Ok(answer.is_some_and(|(a, _)| a.first.contains(" 202") || a.first.contains(" 200")))
        };
        let taken_on = ask().unwrap_or(false);
        if taken_on {
            record.taken_on(id);
        }
        taken_on
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.kill();
    }
}
