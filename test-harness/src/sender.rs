//! One process of the program, with its folder, started again as the platform does.

use crate::directory::Directory;
use crate::record::Record;
use crate::relay::{Fault, Relay};
use crate::syscall_faults::SyscallFaults;
use crate::Http;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// A program says where it listens within this time.
const PATIENCE: Duration = Duration::from_secs(30);
/// Lines that are kept of a log.
const FIRST: usize = 40;
/// A client waits so long for the answer to a message.
pub(crate) const ANSWER: Duration = Duration::from_millis(400);
/// The class of messages, where nothing else is said.
pub(crate) const CLASS: &str = "event";
/// The file of a sender that is told by an operator's file, and the script that it names.
const OWN: [&str; 2] = ["sender.toml", "hook.rhai"];

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
    log: Arc<Log>,
    config: Value,
    /// The script hook, where an operator's file tells all of this.
    hook: Option<String>,
    in_fleet: bool,
    heard: Option<Heard>,
    faults: Option<SyscallFaults>,
}

/// Where this is set in the environment, all that processes log is told on the standard error, each
/// line with the process's number.
const TELLS: &str = "RAILDEAL_RIG_TELLS";

/// What processes of a fleet log: also each step of the protocols between senders and keepers.
pub(crate) const LOGS: &str = "info,raildeal::coordination=debug,raildeal::agent=debug";

/// What is to be done with each line of a log, at once.
pub(crate) type Heard = Arc<dyn Fn(&str) + Send + Sync>;

/// Whether a signal was sent to a process that no thread of it has taken yet.
///
/// # Errors
/// The system does not tell; the process is gone, say.
pub fn has_untaken_signal(process: u32) -> io::Result<bool> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let mut pending = status
        .lines()
        .filter_map(|l| l.strip_prefix("SigPnd:").or(l.strip_prefix("ShdPnd:")));
    Ok(pending.any(|set| set.trim().bytes().any(|b| b != b'0')))
}

/// Reads what a process says until its end.
pub(crate) fn follow(child: &mut Child, heard: Option<Heard>) -> Arc<Log> {
    let (stderr, log) = (child.stderr.take(), Arc::<Log>::default());
    let (hears, number, tells) = (log.clone(), child.id(), std::env::var_os(TELLS).is_some());
    thread::spawn(move || {
        for line in stderr
            .into_iter()
            .flat_map(|s| BufReader::new(s).lines())
            .map_while(Result::ok)
        {
            heard.iter().for_each(|heard| heard(&line));
            if tells {
                eprintln!("{number}: {line}");
            }
            hears.hear(line);
        }
        hears.seen().over = true;
        hears.news.notify_all();
    });
    log
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
        let sender = Sender {
            name,
            program: program.to_path_buf(),
            folder,
            child: None,
            log: Arc::default(),
            config,
            hook: None,
            in_fleet: false,
            heard: None,
            faults: None,
        };
        sender.configure().map_err(failed)?;
        Ok(sender)
    }

    /// It follows keepers from its next start on, by this file.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn follows(&mut self, fleet: &str) -> io::Result<()> {
        self.in_fleet = true;
        std::fs::write(self.folder.path().join("fleet.toml"), fleet)
    }

    /// From its next start on its system calls can be made to fail, as [`Sender::faults`] says.
    ///
    /// # Errors
    /// As [`SyscallFaults::new`].
    pub fn with_faults(&mut self, seed: u64) -> io::Result<()> {
        self.faults = Some(SyscallFaults::new(self.folder.path(), seed)?);
        Ok(())
    }

    /// What is done to its system calls; nothing where it was not started for that.
    pub fn faults(&self) -> Option<&SyscallFaults> {
        self.faults.as_ref()
    }

    /// From its next start on each line that it logs is handed there.
    pub(crate) fn heard_by(&mut self, heard: Heard) {
        self.heard = Some(heard);
    }

    /// From its next start on an operator's file tells it all that it was told, but for a kept
    /// list, and this script.
    ///
    /// # Errors
    /// The file cannot be written.
    pub(crate) fn hooked(&mut self, script: &str) -> io::Result<()> {
        self.hook = Some(script.to_string());
        self.configure()
    }

    /// Starts its process, and waits for nothing. One that runs already is killed.
    ///
    /// # Errors
    /// There is no such program.
    pub fn spawn(&mut self) -> Result<(), NoSender> {
        self.kill();
        let fleet = self
            .in_fleet
            .then(|| ("RAILDEAL_FLEET", self.folder.path().join("fleet.toml")));
        let file = self.hook.as_ref().map(|_| self.folder.path().join(OWN[0]));
        let child = Command::new(&self.program)
            .args(file)
            .envs(fleet)
            .envs(self.faults.iter().flat_map(SyscallFaults::environment))
            .env("NODE_CONFIG", self.folder.path().join("config.json"))
            .env("NODE_STATE", self.folder.path().join("state"))
            .env("RUST_LOG", if self.in_fleet { LOGS } else { "info" })
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn();
        let mut child = child.map_err(|e| NoSender::Io(self.program.clone(), e))?;
        self.log = follow(&mut child, self.heard.clone());
        self.child = Some(child);
        Ok(())
    }

    /// Waits until it says where it listens.
    ///
    /// # Errors
    /// It does not.
    pub fn listens(&self) -> Result<(), NoSender> {
        let seen = self.log.seen();
        let silent = |log: &mut Said| log.address.is_none() && !log.over;
        let (seen, _) = self
            .log
            .news
            .wait_timeout_while(seen, PATIENCE, silent)
            .unwrap_or_else(|e| e.into_inner());
        match seen.address {
            Some(_) => self.check_faults(),
            None => Err(NoSender::Silent(
                self.name.clone(),
                PATIENCE,
                seen.first.join("; "),
            )),
        }
    }

    /// Checks that its system calls can be made to fail, where it was started for that.
    fn check_faults(&self) -> Result<(), NoSender> {
        let (Some(faults), Some(child)) = (&self.faults, &self.child) else {
            return Ok(());
        };
        let loaded = faults.check_loaded(child.id());
        loaded.map_err(|e| NoSender::Io(self.program.clone(), e))
    }

    /// What it logs.
    pub fn log(&self) -> Arc<Log> {
        self.log.clone()
    }

    /// Kills it; its folder stays.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.log = Arc::default();
    }

    /// Tells it to end.
    pub fn tell_to_end(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until it has ended, and tells whether it did as it should.
    pub fn ended_well(&mut self) -> bool {
        let Some(mut child) = self.child.take() else {
            return false;
        };
        self.log = Arc::default();
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            match child.try_wait() {
                Ok(None) => thread::sleep(Duration::from_millis(5)),
                ended => return ended.is_ok_and(|e| e.is_some_and(|e| e.success())),
            }
        }
        let _ = child.kill();
        let _ = child.wait();
        false
    }

    fn configure(&self) -> io::Result<()> {
        if let Some(script) = &self.hook {
            self.write(OWN[1], script)?;
            self.write(OWN[0], &self.operators_file().map_err(io::Error::other)?)?;
        }
        self.write("config.json", &self.config.to_string())
    }

    /// Whole or not at all: a process may read it at any moment.
    fn write(&self, name: &str, text: &str) -> io::Result<()> {
        let (file, new) = (
            self.folder.path().join(name),
            self.folder.path().join("new"),
        );
        std::fs::write(&new, text)?;
        std::fs::rename(new, file)
    }

    /// The configuration in the form of an operator's file.
    fn operators_file(&self) -> Result<String, toml::ser::Error> {
        let (told, folder) = (&self.config, self.folder.path());
        let file = json!({
            "name": told["name"],
            "state": folder.join("state"),
            "limits": {"sockets": told["limits"]["sockets"], "disk_mb": told["limits"]["disk_mb"].as_f64()},
            "hook": {"script": folder.join(OWN[1])},
            "platform": {"listen": told["listen"], "discovery": told["discovery"]},
            "settings": told["settings"],
        });
        toml::to_string(&file)
    }

    /// Writes into its configuration that the directory is at another address. It reads that when
    /// it is told to.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn move_directory(&mut self, to: SocketAddr) -> io::Result<()> {
        self.config["discovery"] = to.to_string().into();
        self.configure()
    }

    /// Writes into its configuration that the directory is at the end of a new line, and cuts the
    /// old one.
    ///
    /// # Errors
    /// No port is to be had, or the file cannot be written.
    pub(crate) fn move_line(&mut self, directory: &Directory, line: &mut Relay) -> io::Result<()> {
        let new = Relay::start(directory.address)?;
        directory.names(new.address.port(), &self.name);
        self.move_directory(new.address)?;
        std::mem::replace(line, new).set(Fault {
            cut: true,
            ..Fault::default()
        });
        Ok(())
    }

    /// Tells it to read its configuration again.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    fn signal(&self, signal: Signal) {
        let pid = self
            .child
            .as_ref()
            .and_then(|c| Pid::from_raw(c.id() as i32));
        // One that is gone has stopped for good.
        let _ = pid.map(|pid| kill_process(pid, signal));
    }

    /// Whether a signal was sent to its process that no thread of it has taken yet.
    ///
    /// # Errors
    /// The system does not tell; the process is gone, say.
    pub fn has_untaken_signal(&self) -> io::Result<bool> {
        let child = self.child.as_ref().ok_or(io::ErrorKind::NotFound)?;
        has_untaken_signal(child.id())
    }

    /// Stops its process for a while, or lets it go on: it neither reads nor answers meanwhile.
    pub fn stopped(&self, stopped: bool) {
        self.signal(if stopped { Signal::STOP } else { Signal::CONT });
    }

    /// Whether its process lives.
    pub fn lives(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// How its process has ended; nothing while it lives, and after it was killed here.
    pub fn status(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok()?
    }

    /// Hands a message for a destination in and waits for the answer as clients do. Whether it was
    /// taken on.
    pub fn hand_in(&self, id: &str, dest: usize, left: Duration, record: &Record) -> bool {
        self.log.hand_in(&self.name, id, CLASS, dest, left, record)
    }

    /// Its folder is lost.
    ///
    /// # Errors
    /// It cannot be emptied.
    pub fn lose_folder(&self) -> io::Result<()> {
        let state = self.folder.path().join("state");
        std::fs::remove_dir_all(&state)?;
        std::fs::create_dir(state)
    }
}

/// What one process logs.
#[derive(Default)]
pub struct Log {
    seen: Mutex<Said>,
    news: Condvar,
}

/// What was said so far.
#[derive(Default)]
struct Said {
    address: Option<SocketAddr>,
    /// The first lines, which tell why it does not start.
    first: Vec<String>,
    /// Words that are waited for, and whether a line had them.
    words: Vec<(String, bool)>,
    over: bool,
}

impl Log {
    fn seen(&self) -> MutexGuard<'_, Said> {
        self.seen.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn hear(&self, line: String) {
        let mut seen = self.seen();
        seen.words
            .iter_mut()
            .for_each(|(words, heard)| *heard |= line.contains(words.as_str()));
        if let Some(at) = line
            .split_once("platform at ")
            .and_then(|(_, at)| at.trim().parse().ok())
        {
            seen.address = Some(at);
            self.news.notify_all();
        }
        if seen.first.len() < FIRST {
            seen.first.push(line);
        }
    }

    /// Whether it listens.
    pub fn listens(&self) -> bool {
        self.seen().address.is_some()
    }

    /// Where it listens, once it has said so.
    pub fn address(&self) -> Option<SocketAddr> {
        self.seen().address
    }

    /// Whether a line had these words since they were first asked for.
    pub fn said(&self, words: &str) -> bool {
        let mut seen = self.seen();
        let known = seen
            .words
            .iter()
            .find(|(w, _)| w == words)
            .map(|(_, heard)| *heard);
        known.unwrap_or_else(|| {
            let heard = seen.first.iter().any(|l| l.contains(words));
            seen.words.push((words.to_string(), heard));
            heard
        })
    }

    /// Hands a message for a destination in and waits for the answer as clients do. Whether it was
    /// taken on.
    pub fn hand_in(
        &self,
        sender: &str,
        id: &str,
        class: &str,
        dest: usize,
        left: Duration,
        record: &Record,
    ) -> bool {
        let Some(address) = self.seen().address else {
            return false;
        };
        record.handed(id, sender);
        let ask = || -> io::Result<Option<bool>> {
            let mut stream = TcpStream::connect(address)?;
            stream.set_read_timeout(Some(ANSWER))?;
            write!(
                stream,
                "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id}\r\nX-Lane: {class}\r\nX-Remaining: {}m\r\n\
                 Idempotency-Key: key-of-{id}\r\nContent-Length: 2\r\nX-Addressing: dest={dest}\r\n\r\nhi",
                left.as_millis()
            )?;
            let answer = Http::read(&mut BufReader::new(&stream))?;
            Ok(answer.map(|(a, _)| a.first.contains(" 202") || a.first.contains(" 200")))
        };
        // No answer at all is none that anybody heard.
        let taken_on = ask().unwrap_or(None);
        taken_on
            .into_iter()
            .for_each(|taken_on| record.answered(id, taken_on));
        taken_on == Some(true)
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.kill();
    }
}
