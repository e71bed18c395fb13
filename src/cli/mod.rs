//! The command line: without a command the program serves.
//!
//! Results go to the standard output, all else to the standard error. A command ends with 0 if it
//! was done, with 1 if what it looked at is not right (a file with faults, a damaged journal) or
//! the program could not serve, and with 2 if it could not be carried out.

#[cfg(feature = "tools")]
use clap::CommandFactory;
use clap::{Parser, Subcommand};
use raildeal::config::Config;
use raildeal::delivery::journal::inspect::{inspect, JournalInspection};
use raildeal::message_trace::TraceLogs;
use std::ffi::OsString;
use std::fs::File;
use std::io::{self, BufReader, Write};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{self, ExitCode};

#[cfg(feature = "fleet")]
mod fleet;

#[cfg(feature = "fleet")]
use fleet::Orders;

/// Takes messages from back-end services and delivers each to one of an outside partner's
/// providers.
#[derive(Parser)]
#[command(name = "raildeal", version, args_conflicts_with_subcommands = true)]
#[command(
    after_help = "Ends with 0 if it was done, with 1 if what it looked at is not right or it could not serve, with 2 if \
                        it could not be carried out."
)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
    /// An operator's file. Without one, NODE_CONFIG names the platform's configuration.
    pub config: Option<PathBuf>,
}

#[derive(Subcommand)]
pub enum Command {
    /// Serves; the same as without a command.
    Serve {
        /// An operator's file. Without one, NODE_CONFIG names the platform's configuration.
        config: Option<PathBuf>,
    },
    /// Checks an operator's file and the files that it names; tells all that is wrong, a line each.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Prints the JSON Schema of an operator's file.
    #[cfg(feature = "tools")]
    Schema,
    /// Models, experiments and load, by the program raildeal-simulator beside this one.
    #[command(disable_help_flag = true)]
    Lab {
        /// What that program takes; --help tells.
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<OsString>,
    },
    /// Prints what completes this command line in a shell.
    #[cfg(feature = "tools")]
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
    /// Prints a manual page.
    #[cfg(feature = "tools")]
    Man,
    /// Joins the logs of all senders (level debug): the line of life of a message, or those whose
    /// life went wrong.
    Trace {
        /// The message: its life is told, and that of all that were handed in under its key.
        #[arg(long)]
        id: Option<String>,
        /// Logs, one of each sender, named after it; of a folder, all files that end with `.log`.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Runs a keeper of a site's agreed record.
    #[cfg(feature = "fleet")]
    Keeper {
        /// Its file.
        file: PathBuf,
    },
    /// Asks the keepers how things stand, and tells them what to do.
    #[cfg(feature = "fleet")]
    Fleet(Orders),
    /// Looks into the journal of a state folder, also beside a running process; changes nothing.
    Journal {
        #[command(subcommand)]
        what: Journal,
    },
}

#[derive(Subcommand)]
pub enum Journal {
    /// Tells what is open, how full the segments are, and what is damaged.
    Inspect {
        /// The folder that `state` names.
        folder: PathBuf,
        /// Lists every message that is open.
        #[arg(long)]
        messages: bool,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Reads everything; ends with 1 if something that was kept cannot be read.
    Verify {
        /// The folder that `state` names.
        folder: PathBuf,
    },
}

impl Command {
    pub fn run(self) -> ExitCode {
        let told = match self {
            // The program serves by itself; there is nothing to be told.
            Command::Serve { .. } => Ok(ExitCode::SUCCESS),
            Command::Check { file } => check(&file),
            #[cfg(feature = "tools")]
            Command::Schema => print(|out| {
                serde_json::to_writer_pretty(&mut *out, &raildeal::config::schema())?;
                writeln!(out)
            }),
            Command::Lab { args } => Err(lab(&args)),
            #[cfg(feature = "tools")]
            Command::Completions { shell } => print(|out| {
                clap_complete::generate(shell, &mut Cli::command(), "raildeal", out);
                Ok(())
            }),
            #[cfg(feature = "tools")]
            Command::Man => print(|out| clap_mangen::Man::new(Cli::command()).render(out)),
            #[cfg(feature = "fleet")]
            Command::Keeper { file } => return keeper(&file),
            #[cfg(feature = "fleet")]
            Command::Fleet(orders) => orders.run(),
            Command::Trace { id, logs } => trace(id.as_deref(), &logs),
            Command::Journal {
                what:
                    Journal::Inspect {
                        folder,
                        messages,
                        json,
                    },
            } => look(&folder).and_then(|seen| {
                if json {
                    as_json(seen, messages)
                } else {
                    as_text(&seen, messages)
                }
                .map_err(|e| e.to_string())?;
                Ok(ExitCode::SUCCESS)
            }),
            Command::Journal {
                what: Journal::Verify { folder },
            } => look(&folder).and_then(|seen| {
                verdict(&seen).map_err(|e| e.to_string())?;
                Ok(if seen.damage.is_empty() {
                    ExitCode::SUCCESS
                } else {
                    ExitCode::from(1)
                })
            }),
        };
        told.unwrap_or_else(|e| {
            eprintln!("raildeal: {e}");
            ExitCode::from(2)
        })
    }
}

/// Prints a whole text at once: one that is cut off is an error, and not the end of the process.
fn print(write: impl FnOnce(&mut Vec<u8>) -> io::Result<()>) -> Result<ExitCode, String> {
    let mut text = Vec::new();
    write(&mut text)
        .and_then(|()| io::stdout().write_all(&text))
        .map_err(|e| e.to_string())?;
    Ok(ExitCode::SUCCESS)
}

fn check(file: &Path) -> Result<ExitCode, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let faults = match Config::from_toml(&text) {
        Ok(config) => {
            let mut faults = config.faults_of_files();
            let module = raildeal::Dispatcher::new(config.deployment.settings.clone(), config.seed);
            faults.extend(module.err().map(|e| e.to_string()));
            faults
        }
        Err(faults) => faults,
    };
    print(|out| faults.iter().try_for_each(|fault| writeln!(out, "{fault}")))?;
    Ok(if faults.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}

/// Runs a keeper; ends with 1 where its file has faults or it cannot serve.
#[cfg(feature = "fleet")]
fn keeper(file: &Path) -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format_timestamp_millis()
        .init();
    let faults: Vec<String> = match raildeal::coordination::config::Config::load(file) {
        Ok(config) => raildeal::coordination::replica::run(config)
            .err()
            .into_iter()
            .collect(),
        Err(errors) => errors.iter().map(ToString::to_string).collect(),
    };
    faults
        .iter()
        .for_each(|fault| eprintln!("raildeal: {fault}"));
    if faults.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Becomes the other program; returns only if it cannot.
fn lab(args: &[OsString]) -> String {
    const NAME: &str = "raildeal-simulator";
    let beside = std::env::current_exe()
        .ok()
        .map(|me| me.with_file_name(NAME))
        .filter(|p| p.exists());
    let program = beside.unwrap_or_else(|| NAME.into());
    let failed = process::Command::new(&program).args(args).exec();
    format!(
        "{}: {failed}; 'cargo build --release --workspace' builds it",
        program.display()
    )
}

fn trace(id: Option<&str>, paths: &[PathBuf]) -> Result<ExitCode, String> {
    let mut logs = TraceLogs::default();
    for file in files_of(paths)? {
        let sender = file
            .file_stem()
            .unwrap_or(file.as_os_str())
            .to_string_lossy();
        let read = File::open(&file).and_then(|f| logs.read(&sender, BufReader::new(f)));
        read.map_err(|e| format!("{}: {e}", file.display()))?;
    }
    if let Some(id) = id {
        let life = logs
            .lifecycle(id)
            .ok_or_else(|| format!("{id}: no line of it in these logs"))?;
        return print(|out| out.write_all(life.as_bytes()));
    }
    let wrong = logs.faulty_messages();
    print(|out| {
        wrong
            .iter()
            .try_for_each(|(id, how)| writeln!(out, "{id}: {how:?}"))?;
        writeln!(
            out,
            "{} messages, {} whose life went wrong",
            logs.message_count(),
            wrong.len()
        )
    })?;
    Ok(if wrong.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}

/// The files that are meant, those of a folder in order of their names.
fn files_of(paths: &[PathBuf]) -> Result<Vec<PathBuf>, String> {
    let mut files = Vec::new();
    for path in paths {
        if !path.is_dir() {
            files.push(path.clone());
            continue;
        }
        let inside = std::fs::read_dir(path)
            .and_then(|d| d.map(|f| Ok(f?.path())).collect::<io::Result<Vec<_>>>());
        let mut inside = inside.map_err(|e| format!("{}: {e}", path.display()))?;
        inside.retain(|f| f.extension().is_some_and(|e| e == "log"));
        inside.sort();
        files.append(&mut inside);
    }
    Ok(files)
}

fn look(folder: &Path) -> Result<JournalInspection, String> {
    inspect(folder).map_err(|e| format!("{}: {e}", folder.display()))
}

fn as_json(mut seen: JournalInspection, messages: bool) -> io::Result<()> {
    if !messages {
        seen.messages.clear();
    }
    serde_json::to_writer_pretty(io::stdout(), &seen)?;
    writeln!(io::stdout())
}

fn as_text(seen: &JournalInspection, messages: bool) -> io::Result<()> {
    let mut out = io::stdout().lock();
    if seen.in_use {
        writeln!(out, "in use by a running process")?;
    }
    writeln!(
        out,
        "file        segment        size        used      frames    messages        live"
    )?;
    for s in &seen.segments {
        let (file, seq) = (&s.file, s.sequence);
        writeln!(
            out,
            "{file:<10} {seq:>8} {:>11} {:>11} {:>11} {:>11} {:>11}",
            s.size_bytes, s.used_bytes, s.frames, s.messages, s.live_bytes
        )?;
    }
    writeln!(
        out,
        "{} free files, {} bytes",
        seen.free_files.count, seen.free_files.bytes
    )?;
    if let Some(bytes) = seen.legacy_bytes {
        writeln!(
            out,
            "journal of the first form, {bytes} bytes, copied as the program serves"
        )?;
    }
    let decided = seen.messages.iter().filter(|m| m.verdict.is_some()).count();
    let ran = seen
        .messages
        .iter()
        .filter(|m| m.verdict.is_none() && m.may_have_run.is_some())
        .count();
    let bodies: usize = seen.messages.iter().map(|m| m.body_bytes).sum();
    let open = seen.messages.len();
    writeln!(out, "{open} messages open: {decided} with their final answer untold, {ran} that may have run; {bodies} bytes of bodies")?;
    writeln!(
        out,
        "{:.1}% of what is written is garbage",
        seen.garbage_fraction * 100.0
    )?;
    if messages {
        for m in &seen.messages {
            let (verdict, ran) = (
                m.verdict.as_deref().unwrap_or("-"),
                m.may_have_run.as_deref().unwrap_or("-"),
            );
            writeln!(
                out,
                "{:>8} {} class {} dest {} body {} calls {} ran {ran} left {} ms answer {verdict}",
                m.item, m.id, m.class, m.destination, m.body_bytes, m.attempts, m.time_left_ms
            )?;
        }
    }
    drop(out);
    verdict(seen)
}

fn verdict(seen: &JournalInspection) -> io::Result<()> {
    let mut out = io::stdout().lock();
    for damage in &seen.damage {
        writeln!(out, "damaged: {damage}")?;
    }
    for anomaly in &seen.anomalies {
        writeln!(out, "left by a write that failed in part: {anomaly}")?;
    }
    if seen.torn_bytes > 0 {
        writeln!(
            out,
            "{} bytes at the end are part of a line that was not finished",
            seen.torn_bytes
        )?;
    }
    if seen.messages_in_doubt > 0 {
        writeln!(
            out,
            "{} open messages may have lost lines; they are taken for ones that may have run",
            seen.messages_in_doubt
        )?;
    }
    let frames: u64 = seen.segments.iter().map(|s| s.frames).sum();
    let state = if seen.damage.is_empty() {
        "whole"
    } else {
        "damaged"
    };
    writeln!(
        out,
        "{state}: {} segments, {frames} frames, {} messages open",
        seen.segments.len(),
        seen.messages.len()
    )
}
