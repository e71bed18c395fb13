//! System calls of a process that fail: the side that says which, of the library in
//! `examples/fault_shim.rs`.

use rustix::io::Errno;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Bytes of the file between the two sides: numbers of eight bytes, in the order of [`Field`], which
/// the library maps into its memory.
pub const CONTROL_BYTES: usize = 4096;
/// The library's file; `cargo test` and `cargo build --examples` leave it beside the tests.
const LIBRARY: &str = "examples/libfault_shim.so";
/// Names the file with the faults to the library.
pub const CONTROL_VARIABLE: &str = "RAILDEAL_FAULT_CONTROL";

/// Where each number stands in that file.
#[derive(Clone, Copy, Debug)]
pub enum Field {
    /// The wall clock is so many nanoseconds ahead.
    WallClockAheadNs,
    /// Error of writes to files and syncs of them; 0 for none.
    DiskErrno,
    /// How many of a thousand fail so.
    DiskPermille,
    /// How many of a thousand writes to files are cut short.
    ShortWritePermille,
    /// The process is killed in the middle of that write to a file, counted down; 0 for none.
    KillInWrite,
    /// Error of accepts; 0 for none.
    AcceptErrno,
    /// How many of a thousand fail so.
    AcceptPermille,
    /// How many of a thousand reads and writes of sockets are interrupted by a signal.
    InterruptPermille,
    /// How many of a thousand reads and writes of sockets take one byte only.
    ShortSocketPermille,
    /// Where random draws begin.
    Seed,
    /// Set by the library once the process was killed in a write.
    KilledInWrite,
    /// The number of the process that the library has taken its place in.
    LoadedBy,
}

/// Errors of some calls, and how many of a thousand have them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failing {
    /// The error.
    pub errno: Errno,
    /// How many of a thousand.
    pub permille: u16,
}

/// What is done to the system calls of one process, over its restarts.
pub struct SyscallFaults {
    library: PathBuf,
    control: PathBuf,
    file: File,
}

impl SyscallFaults {
    /// None yet; the file between the two sides is made in this folder.
    ///
    /// # Errors
    /// There is no library beside this program, or the file cannot be made.
    pub fn new(folder: &Path, seed: u64) -> io::Result<SyscallFaults> {
        let control = folder.join("faults");
        let file = File::options()
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
            .open(&control)?;
        file.set_len(CONTROL_BYTES as u64)?;
        let faults = SyscallFaults {
            library: library()?,
            control,
            file,
        };
        faults.set(Field::Seed, seed as i64)?;
        Ok(faults)
    }

    /// What the process's environment needs for it.
    pub fn environment(&self) -> [(&'static str, &Path); 2] {
        [
            ("LD_PRELOAD", &self.library),
            (CONTROL_VARIABLE, &self.control),
        ]
    }

    /// Checks that the library has taken its place in a process that has begun to serve: without it
    /// no call would fail, and whatever is tested under faults would pass.
    ///
    /// # Errors
    /// The file cannot be read, or the library is not in that process.
    pub fn check_loaded(&self, process: u32) -> io::Result<()> {
        let loaded = self.get(Field::LoadedBy)?;
        if loaded == i64::from(process) {
            return Ok(());
        }
        Err(io::Error::other(format!(
            "{}: not loaded by process {process}; no call of it fails",
            self.library.display()
        )))
    }

    /// The wall clock is so many milliseconds ahead of the machine's, or behind it.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn wall_clock_ahead(&self, ms: i64) -> io::Result<()> {
        self.set(Field::WallClockAheadNs, ms * 1_000_000)
    }

    /// Writes to files and syncs fail so; none fail, if nothing is said.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn disk(&self, failing: Option<Failing>) -> io::Result<()> {
        self.set_failing(Field::DiskErrno, Field::DiskPermille, failing)
    }

    /// So many of a thousand writes to files are cut short.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn short_writes(&self, permille: u16) -> io::Result<()> {
        self.set(Field::ShortWritePermille, permille.into())
    }

    /// The process is killed in the middle of its so-manieth write to a file from now on.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn kill_in_write(&self, number: u32) -> io::Result<()> {
        self.set(Field::KillInWrite, number.into())
    }

    /// Whether the process was killed so and [`SyscallFaults::has_killed_in_write`] has not told it
    /// yet. It is known before the process's sockets close.
    ///
    /// # Errors
    /// The file cannot be read.
    pub fn is_killed_in_write(&self) -> io::Result<bool> {
        Ok(self.get(Field::KilledInWrite)? != 0)
    }

    /// Whether the process was killed so; it is told once.
    ///
    /// # Errors
    /// The file cannot be read or written.
    pub fn has_killed_in_write(&self) -> io::Result<bool> {
        let has_killed = self.is_killed_in_write()?;
        self.set(Field::KilledInWrite, 0)?;
        Ok(has_killed)
    }

    /// Accepts fail so; none fail, if nothing is said.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn accepts(&self, failing: Option<Failing>) -> io::Result<()> {
        self.set_failing(Field::AcceptErrno, Field::AcceptPermille, failing)
    }

    /// So many of a thousand reads and writes of sockets are interrupted, and so many take one byte
    /// only.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn sockets(&self, interrupted_permille: u16, short_permille: u16) -> io::Result<()> {
        self.set(Field::InterruptPermille, interrupted_permille.into())?;
        self.set(Field::ShortSocketPermille, short_permille.into())
    }

    fn set_failing(
        &self,
        errno: Field,
        permille: Field,
        failing: Option<Failing>,
    ) -> io::Result<()> {
        // Nothing fails between the two writes: the part of it goes first when it ends.
        let share = failing.map_or(0, |f| f.permille);
        let error = failing.map_or(0, |f| f.errno.raw_os_error());
        if failing.is_none() {
            self.set(permille, 0)?;
        }
        self.set(errno, error.into())?;
        self.set(permille, share.into())
    }

    fn get(&self, field: Field) -> io::Result<i64> {
        let mut bytes = [0; 8];
        self.file.read_exact_at(&mut bytes, 8 * field as u64)?;
        Ok(i64::from_ne_bytes(bytes))
    }

    fn set(&self, field: Field, value: i64) -> io::Result<()> {
        self.file
            .write_all_at(&value.to_ne_bytes(), 8 * field as u64)
    }
}

/// Where the library is: beside the folder of this program, or one above it.
fn library() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let found = program
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join(LIBRARY))
        .find(|file| file.exists());
    found.ok_or_else(|| {
        let missing =
            format!("{LIBRARY}: not built; `cargo build -p raildeal-test-harness --examples` does");
        io::Error::new(io::ErrorKind::NotFound, missing)
    })
}
