//! The program under test, as a child process.

use rustix::fs::OFlags;
use rustix::io::ioctl_fionread;
use rustix::pipe::fcntl_getpipe_size;
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

pub const PATIENCE: Duration = Duration::from_secs(20);

/// A pipe keeps writes in pages of so many bytes.
const PAGE: usize = 4096;

pub struct Program {
    child: Child,
    lines: Receiver<String>,
    seen: Vec<String>,
    gate: Arc<Mutex<()>>,
}

/// The pipe that a program logs into. What was read from it is passed on while the gate is open.
struct Gated(ChildStderr, Arc<Mutex<()>>);

impl Read for Gated {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let read = self.0.read(buf);
        drop(self.1.lock().expect("the gate"));
        read
    }
}

impl Program {
    /// Starts it with an operator's file.
    pub fn start(config: &Path) -> Self {
        Program::spawn(Program::command().arg(config))
    }

    /// What starts it. An earlier program can be measured beside this one.
    pub fn command() -> Command {
        let program = std::env::var("RAILDEAL").unwrap_or(env!("CARGO_BIN_EXE_raildeal").into());
        Command::new(program)
    }

    /// The same under a bound of the shell's `ulimit`: `-f` for its files, in blocks of 512 bytes,
    /// `-n` for descriptors.
    pub fn start_bounded(config: &Path, what: &str, most: u64) -> Self {
        let line = format!("ulimit -S {what} {most}; exec \"$0\" \"$1\"");
        let mut shell = Command::new("sh");
        Program::spawn(
            shell
                .arg("-c")
                .arg(line)
                .arg(env!("CARGO_BIN_EXE_raildeal"))
                .arg(config),
        )
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn spawn(command: &mut Command) -> Self {
        let command = command
            .env("RUST_LOG", "debug")
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut child = command.spawn().expect("the program starts");
        let (sender, lines) = channel();
        let gate = Arc::<Mutex<()>>::default();
        let stderr = BufReader::new(Gated(child.stderr.take().expect("stderr"), gate.clone()));
        thread::spawn(move || {
            stderr
                .lines()
                .map_while(Result::ok)
                .try_for_each(|l| sender.send(l))
        });
        Program {
            child,
            lines,
            seen: Vec::new(),
            gate,
        }
    }

    /// Waits for a line of the log that holds some words.
    pub fn says(&mut self, words: &str) -> String {
        let end = Instant::now() + PATIENCE;
        while let Ok(line) = self
            .lines
            .recv_timeout(end.saturating_duration_since(Instant::now()))
        {
            self.seen.push(line.clone());
            if line.contains(words) {
                return line;
            }
        }
        panic!("never said '{words}':\n{}", self.seen.join("\n"));
    }

    /// Waits until it listens for some clients, and tells where.
    pub fn port(&mut self, who: &str) -> SocketAddr {
        let line = self.says(&format!("{who} at 127.0.0.1:"));
        line.rsplit(' ')
            .next()
            .expect("an address")
            .parse()
            .expect("an address")
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("sh")
            .arg("-c")
            .arg(format!("kill -{name} {}", self.child.id()))
            .status();
        assert!(status.expect("a shell").success());
    }

    /// Stops reading its log and leaves so many bytes of room for it: with the first line that does
    /// not fit it stands still. It gives what tells how many bytes it has written since.
    pub fn hold_log<'a>(
        &self,
        gate: &'a Mutex<()>,
        room: usize,
    ) -> (MutexGuard<'a, ()>, impl Fn() -> usize) {
        let held = gate.lock().expect("the gate");
        let (log, no_wait) = (
            format!("/proc/{}/fd/2", self.child.id()),
            OFlags::NONBLOCK.bits() as i32,
        );
        let mut pipe = OpenOptions::new()
            .write(true)
            .custom_flags(no_wait)
            .open(log)
            .expect("its log");
        let unread = |pipe: &File| ioctl_fionread(pipe).expect("a pipe") as usize;
        // The reader takes one line more and stands before the gate.
        pipe.write_all(b"held\n").expect("room");
        while unread(&pipe) > 0 {
            thread::yield_now();
        }
        // Each write has a page of its own while there are any, and the last page is filled up.
        let pages = fcntl_getpipe_size(&pipe).expect("a pipe") / PAGE;
        for page in 1..=pages {
            let length = if page < pages { PAGE } else { PAGE - room };
            pipe.write_all(&vec![b'\n'; length]).expect("room");
        }
        let filled = pages * PAGE - room;
        (held, move || unread(&pipe) - filled)
    }

    /// What lets its log be held.
    pub fn gate(&self) -> Arc<Mutex<()>> {
        self.gate.clone()
    }

    /// All that it logged, once it has ended.
    pub fn whole_log(&mut self) -> String {
        self.seen.extend(self.lines.iter());
        self.seen.join("\n")
    }

    /// Descriptors that it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("a process")
            .count()
    }

    /// Memory that it holds, in KiB.
    pub fn memory(&self) -> usize {
        self.status_kb("VmRSS:")
    }

    /// A size that the system tells of it, in KiB.
    pub fn status_kb(&self, field: &str) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("a process");
        let line = status
            .lines()
            .find_map(|l| l.strip_prefix(field))
            .expect("its memory");
        line.trim()
            .trim_end_matches(" kB")
            .parse()
            .expect("a number")
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("ended");
    }

    pub fn ended(&mut self) -> ExitStatus {
        let end = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                self.seen.extend(self.lines.iter());
                return status;
            }
            assert!(Instant::now() < end, "does not end");
            thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn log(&mut self) -> String {
        self.seen.extend(self.lines.try_iter());
        self.seen.join("\n")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            eprintln!("{}", self.log());
        }
    }
}
