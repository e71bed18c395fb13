//! The real program as a child process, and what it uses.

use super::Front;
use crate::day::Day;
use serde::Serialize;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::Duration;

/// A program says where it listens within this time.
const PATIENCE: Duration = Duration::from_secs(20);

/// A sender.
pub struct Program {
    child: Child,
    /// Where its clients connect.
    pub address: SocketAddr,
}

/// What a process used.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Used {
    /// The processor's time, in milliseconds.
    pub cpu_ms: f64,
    /// Most memory, in KiB.
    pub memory_kib: u64,
    /// Descriptors now.
    pub descriptors: usize,
}

/// A program that did not start.
#[derive(Debug, thiserror::Error)]
pub enum NoProgram {
    /// A file or a process.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// It never listened.
    #[error("{0}: it did not listen within {1:?}: {2}")]
    Silent(PathBuf, Duration, String),
}

impl Program {
    /// Starts one by a day's settings in a folder of its own.
    pub fn start(
        program: &Path,
        day: &Day,
        folder: &Path,
        name: &str,
        directory: SocketAddr,
        front: Front,
    ) -> Result<Program, NoProgram> {
        let failed = |path: &Path| {
            let path = path.to_path_buf();
            move |e| NoProgram::Io(path, e)
        };
        let state = folder.join(name);
        std::fs::create_dir_all(&state).map_err(failed(&state))?;
        let file = folder.join(format!("{name}.toml"));
        let mut settings = day.settings.clone();
        settings["balancers"] = day.senders.count.into();
        let more = match front {
            Front::Http => String::new(),
            Front::Mqtt => {
                let kinds = &settings["kinds"];
                format!(
                    "[mqtt]\nlisten = \"127.0.0.1:0\"\n[brokers]\nkinds = {kinds}\ntopic = \"in/{{dest}}\"\n"
                )
            }
        };
        let disk_mb = day.senders.folder as f64 / 1e6;
        let settings =
            toml::to_string(&serde_json::json!({ "settings": settings })).unwrap_or_default();
        let text = format!(
            "name = \"{name}\"\nstate = {state:?}\n[limits]\nsockets = {}\ndisk_mb = {disk_mb}\n[platform]\n\
             listen = \"127.0.0.1:0\"\ndiscovery = \"{directory}\"\n{more}{settings}",
            day.senders.descriptors
        );
        std::fs::write(&file, text).map_err(failed(&file))?;
        let mut child = Command::new(program)
            .arg(&file)
            .env("RUST_LOG", "info")
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(failed(program))?;
        let who = match front {
            Front::Http => "platform at ",
            Front::Mqtt => "mqtt at ",
        };
        let lines = lines(child.stderr.take());
        let mut seen = Vec::new();
        while let Ok(line) = lines.recv_timeout(PATIENCE) {
            let address = line
                .split_once(who)
                .and_then(|(_, at)| at.trim().parse().ok());
            if let Some(address) = address {
                // What it logs from here on is read and dropped, or it would wait for a reader.
                thread::spawn(move || lines.iter().for_each(drop));
                return Ok(Program { child, address });
            }
            seen.push(line);
        }
        let _ = child.kill();
        let _ = child.wait();
        Err(NoProgram::Silent(
            program.to_path_buf(),
            PATIENCE,
            seen.join("; "),
        ))
    }

    /// What it used so far.
    pub fn used(&self) -> Used {
        let of = |what: &str| std::fs::read_to_string(format!("/proc/{}/{what}", self.child.id()));
        let stat = of("stat").unwrap_or_default();
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        let ticks = |n: usize| {
            fields
                .get(n)
                .and_then(|f| f.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        let status = of("status").unwrap_or_default();
        let most = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let most = most.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok());
        let open =
            std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count);
        // Ticks are hundredths of a second on every Linux that this runs on.
        Used {
            cpu_ms: (ticks(11) + ticks(12)) * 10.0,
            memory_kib: most.unwrap_or(0),
            descriptors: open,
        }
    }

    /// Kills it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Tells it to end, and waits until it has.
    pub fn end(&mut self) -> io::Result<()> {
        let pid = rustix::process::Pid::from_raw(self.child.id() as i32)
            .ok_or(io::ErrorKind::NotFound)?;
        rustix::process::kill_process(pid, rustix::process::Signal::TERM)?;
        self.child.wait().map(drop)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

fn lines(from: Option<impl io::Read + Send + 'static>) -> Receiver<String> {
    let (sender, lines) = channel();
    if let Some(from) = from {
        thread::spawn(move || {
            BufReader::new(from)
                .lines()
                .map_while(Result::ok)
                .try_for_each(|l| sender.send(l))
        });
    }
    lines
}
