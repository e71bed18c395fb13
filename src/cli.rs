//! The command line: without a command the program serves.

use clap::{Parser, Subcommand};
use raildeal::core::survey::{survey, Survey};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Takes messages from back-end services and delivers each to one of an outside partner's providers.
#[derive(Parser)]
#[command(name = "raildeal", args_conflicts_with_subcommands = true)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
    /// An operator's file. Without one, NODE_CONFIG names the platform's configuration.
    pub config: Option<PathBuf>,
}

#[derive(Subcommand)]
pub enum Command {
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
            Command::Journal { what: Journal::Inspect { folder, messages, json } } => {
                look(&folder).and_then(|seen| {
                    if json { as_json(seen, messages) } else { as_text(&seen, messages) }
                        .map_err(|e| e.to_string())?;
                    Ok(ExitCode::SUCCESS)
                })
            }
            Command::Journal { what: Journal::Verify { folder } } => look(&folder).and_then(|seen| {
                verdict(&seen).map_err(|e| e.to_string())?;
                Ok(if seen.damage.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) })
            }),
        };
        told.unwrap_or_else(|e| {
            eprintln!("raildeal: {e}");
            ExitCode::from(2)
        })
    }
}

fn look(folder: &Path) -> Result<Survey, String> {
    survey(folder).map_err(|e| format!("{}: {e}", folder.display()))
}

fn as_json(mut seen: Survey, messages: bool) -> io::Result<()> {
    if !messages {
        seen.messages.clear();
    }
    serde_json::to_writer_pretty(io::stdout(), &seen)?;
    writeln!(io::stdout())
}

fn as_text(seen: &Survey, messages: bool) -> io::Result<()> {
    let mut out = io::stdout().lock();
    if seen.in_use {
        writeln!(out, "in use by a running process")?;
    }
    writeln!(out, "file        segment        size        used      frames    messages        live")?;
    for s in &seen.segments {
        let (file, seq) = (&s.file, s.seq);
        writeln!(
            out,
            "{file:<10} {seq:>8} {:>11} {:>11} {:>11} {:>11} {:>11}",
            s.size, s.used, s.frames, s.messages, s.live
        )?;
    }
    writeln!(out, "{} free files, {} bytes", seen.free.0, seen.free.1)?;
    if let Some(bytes) = seen.first_form {
        writeln!(out, "journal of the first form, {bytes} bytes, copied as the program serves")?;
    }
    let decided = seen.messages.iter().filter(|m| m.verdict.is_some()).count();
    let ran = seen.messages.iter().filter(|m| m.verdict.is_none() && m.may_have_run.is_some()).count();
    let bodies: usize = seen.messages.iter().map(|m| m.body).sum();
    let open = seen.messages.len();
    writeln!(out, "{open} messages open: {decided} with their final answer untold, {ran} that may have run; {bodies} bytes of bodies")?;
    writeln!(out, "{:.1}% of what is written is garbage", seen.garbage * 100.0)?;
    if messages {
        for m in &seen.messages {
            let (verdict, ran) =
                (m.verdict.as_deref().unwrap_or("-"), m.may_have_run.as_deref().unwrap_or("-"));
            writeln!(
                out,
                "{:>8} {} class {} dest {} body {} calls {} ran {ran} left {} ms answer {verdict}",
                m.no, m.id, m.class, m.dest, m.body, m.attempts, m.left_ms
            )?;
        }
    }
    drop(out);
    verdict(seen)
}

fn verdict(seen: &Survey) -> io::Result<()> {
    let mut out = io::stdout().lock();
    for damage in &seen.damage {
        writeln!(out, "damaged: {damage}")?;
    }
    if seen.torn > 0 {
        writeln!(out, "{} bytes at the end are part of a line that was not finished", seen.torn)?;
    }
    if seen.doubted > 0 {
        writeln!(
            out,
            "{} open messages may have lost lines; they are taken for ones that may have run",
            seen.doubted
        )?;
    }
    let frames: u64 = seen.segments.iter().map(|s| s.frames).sum();
    let state = if seen.damage.is_empty() { "whole" } else { "damaged" };
    writeln!(
        out,
        "{state}: {} segments, {frames} frames, {} messages open",
        seen.segments.len(),
        seen.messages.len()
    )
}
