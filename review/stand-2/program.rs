//! The program under review, as a process of its own, and the folder that it uses.

use crate::record::say;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Ids of processes that were started and not yet waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub fn kill_all() {
    for id in RUNNING.lock().map(|r| r.clone()).unwrap_or_default() {
        signal_to(id, "KILL");
    }
}

fn signal_to(id: u32, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(id.to_string()).status();
}

/// A folder for one run; dropped, it is removed.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Result<Self, String> {
        let path = std::env::temp_dir().join(format!("raildeal-review-{}", std::process::id()));
        fs::create_dir_all(path.join("state")).map_err(|e| e.to_string())?;
        Ok(Folder(path))
    }

    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf, String> {
        let path = self.0.join(name);
        fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A port of the loopback address that nobody uses now.
pub fn free_port() -> Result<u16, String> {
    let bound = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    bound.local_addr().map(|a| a.port()).map_err(|e| e.to_string())
}

/// How the program is told what to do.
pub enum Told<'a> {
    /// As on the platform: `NODE_CONFIG`.
    Config(&'a Path),
    /// An operator's file.
    File(&'a Path),
}

pub struct Program {
    child: Child,
}

impl Program {
    /// Starts it with the `run` line of the deploy file. Its log goes to `log` in the folder.
    pub fn start(folder: &Folder, told: &Told) -> Result<Self, String> {
        let log = File::options().create(true).append(true).open(folder.0.join("log"));
        let log = log.map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        match told {
            Told::Config(path) => {
                command.args(["-c", "exec target/release/raildeal"]);
                command.env("NODE_CONFIG", path).env("NODE_STATE", folder.0.join("state"));
            }
            Told::File(path) => {
                command.args(["-c", "exec target/release/raildeal \"$0\""]).arg(path);
            }
        }
        command.env("TMPDIR", &folder.0).env("RUST_LOG", "info,raildeal::delivery::message=debug");
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let child = command.stdin(Stdio::null()).stdout(log).stderr(errors).spawn();
        let child = child.map_err(|e| format!("target/release/raildeal: {e}"))?;
        RUNNING.lock().map_err(|e| e.to_string())?.push(child.id());
        say(&format!("started the program, process {}", child.id()));
        Ok(Program { child })
    }

    /// Whether it takes connections at an address within a time; an error where it has ended.
    pub fn listens(&mut self, at: SocketAddr, within: Duration) -> Result<bool, String> {
        let by = Instant::now() + within;
        while Instant::now() < by {
            if TcpStream::connect(at).is_ok() {
                return Ok(true);
            }
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(format!("the program ended: {status}"));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(false)
    }

    pub fn signal(&self, name: &str) {
        say(&format!("SIG{name} to the program"));
        signal_to(self.child.id(), name);
    }

    /// SIGKILL, and waits for its end.
    pub fn kill(mut self) {
        self.signal("KILL");
        let _ = self.child.wait();
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Ok(mut running) = RUNNING.lock() {
            running.retain(|id| *id != self.child.id());
        }
    }
}

/// Copies the lines of the program's log that matter into the record.
pub fn copy_log(folder: &Folder, most: usize) {
    let text = fs::read_to_string(folder.0.join("log")).unwrap_or_default();
    say("the program's log, its last lines:");
    let lines: Vec<&str> = text.lines().collect();
    for line in &lines[lines.len().saturating_sub(most)..] {
        say(&format!("  {line}"));
    }
}
