//! `review/CASE/record.txt`: what was sent, answered and run, with the seconds since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

pub fn begin(case: &str, trouble: bool) {
    let file = File::create(format!("review/{case}/record.txt")).expect("record.txt");
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
    say(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
}

/// Seconds since the start of the case.
pub fn now() -> f64 {
    RECORD.get().map_or(0.0, |(start, _)| start.elapsed().as_secs_f64())
}

pub fn say(text: &str) {
    if let Some((start, file)) = RECORD.get() {
        let at = start.elapsed().as_secs_f64();
        if let Ok(mut file) = file.lock() {
            let _ = writeln!(file, "{at:8.3} {text}");
        }
    }
}
