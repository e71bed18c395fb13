//! The stand-ins of the second review and its cases: `stand-2 CASE`, started from the root of the
//! project by `review/CASE/run.sh`. It uses the standard library only.
//!
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod cases;
mod directory;
mod endpoint;
mod mqtt;
mod program;
mod record;

use std::process::ExitCode;
use std::time::Duration;

/// What a case found: the rule held, or was broken in this way.
pub enum Verdict {
    Held(String),
    Broken(String),
}

/// A case that cannot run says why.
pub type Case = Result<Verdict, String>;

/// No case takes longer than this.
const LONGEST: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let Some(number) = std::env::args().nth(1) else {
        eprintln!("usage: stand-2 CASE");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record::begin(&number, trouble);
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        program::kill_all();
        record::say("the case took too long");
        std::process::exit(2);
    });
    let found = std::panic::catch_unwind(|| cases::run(&number, trouble));
    program::kill_all();
    let (line, code) = match found {
        Ok(Ok(Verdict::Held(how))) => (format!("HELD: {how}"), 0),
        Ok(Ok(Verdict::Broken(how))) => (format!("BROKEN: {how}"), 1),
        Ok(Err(why)) => (format!("could not run: {why}"), 2),
        Err(_) => ("could not run: the stand-in panicked".to_string(), 2),
    };
    record::say(&line);
    println!("case {number}: {line}");
    ExitCode::from(code)
}
