//! Discovery removes an endpoint and lists it again, with the same id.

use super::platform::{directory, listed, load, start, RATE, STRUCK};
use super::{at, verdict};
use crate::endpoint::{Answer, Call, Endpoint};
use crate::program::{copy_log, Folder};
use crate::record::{now, say};
use crate::Case;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A told wait lasts while the endpoint is removed and listed again.
pub fn wait(trouble: bool) -> Case {
    const WAIT_S: f64 = 6.0;
    let folder = Folder::new()?;
    // It shuts with its sixth call, and tells when it opens.
    let shut_at = Arc::new(AtomicU64::new(u64::MAX));
    let shuts = shut_at.clone();
    let endpoint = Endpoint::start("endpoint s-7", at("127.0.0.1", 0)?, move |_: &Call, before: &[Call]| {
        let now_ms = (now() * 1_000.0) as u64;
        if before.len() >= 5 {
            let _ = shuts.compare_exchange(u64::MAX, now_ms, Ordering::SeqCst, Ordering::SeqCst);
        }
        let open_at = shuts.load(Ordering::SeqCst).saturating_add((WAIT_S * 1_000.0) as u64);
        if before.len() < 5 || now_ms >= open_at {
            return Answer::status(200, 50);
        }
        Answer { after: Duration::from_millis(20), status: 429, wait_ms: Some(open_at - now_ms) }
    })?;
    let directory = directory(&endpoint)?;
    let (_program, mut client, _) = start(&folder, &directory)?;
    load(&mut client, "before", 3.0);
    let shut = shut_at.load(Ordering::SeqCst);
    if shut == u64::MAX {
        return Err("the endpoint was never called six times".into());
    }
    if trouble {
        directory.change(listed(STRUCK, endpoint.address, "left"));
    }
    load(&mut client, "gone", 1.0);
    if trouble {
        directory.change(listed(STRUCK, endpoint.address, "active"));
    }
    load(&mut client, "again", 6.0);
    copy_log(&folder, 40);
    // Calls within 100 ms of the answer that tells the wait are let through; every limit is 50 ms longer.
    let told = endpoint.calls().iter().find(|c| c.status == 429).map_or(f64::MAX, |c| c.at + 0.02);
    let faults: Vec<String> = endpoint
        .calls()
        .iter()
        .filter(|c| c.at > told + 0.15 && c.at < told + WAIT_S - 0.15)
        .map(|c| format!("{} was sent {:.2} s into a wait of {WAIT_S} s", c.id, c.at - told))
        .collect();
    faults.iter().for_each(|f| say(f));
    verdict(faults, "nothing was sent while the told wait lasted")
}

/// An endpoint fails, is removed and listed again, and comes back cold.
pub fn failback(trouble: bool) -> Case {
    let folder = Folder::new()?;
    let (fails, back) = (Arc::new(AtomicU64::new(u64::MAX)), Arc::new(AtomicU64::new(u64::MAX)));
    let (failing, returned) = (fails.clone(), back.clone());
    let endpoint = Endpoint::start("endpoint s-7", at("127.0.0.1", 0)?, move |_: &Call, _: &[Call]| {
        let now_ms = (now() * 1_000.0) as u64;
        let is_out = now_ms >= failing.load(Ordering::SeqCst) && now_ms < returned.load(Ordering::SeqCst);
        if is_out { Answer::status(503, 20) } else { Answer::status(200, 150) }
    })?;
    let directory = directory(&endpoint)?;
    let (_program, mut client, _) = start(&folder, &directory)?;
    load(&mut client, "before", 4.0);
    fails.store((now() * 1_000.0) as u64, Ordering::SeqCst);
    say("endpoint s-7: shut");
    load(&mut client, "out", 3.0);
    if trouble {
        directory.change(listed(STRUCK, endpoint.address, "left"));
    }
    load(&mut client, "gone", 5.0);
    let returns = now();
    back.store((returns * 1_000.0) as u64, Ordering::SeqCst);
    say("endpoint s-7: back, cold");
    if trouble {
        directory.change(listed(STRUCK, endpoint.address, "active"));
    }
    load(&mut client, "back", 8.0);
    copy_log(&folder, 40);
    // What it bears in three seconds, were it as warm as it is at their end.
    let mut faults = Vec::new();
    let calls: Vec<f64> = endpoint.calls().iter().map(|c| c.at).filter(|at| *at >= returns).collect();
    for (n, first) in calls.iter().enumerate() {
        let sent = calls[n..].iter().filter(|at| **at < first + 3.0).count();
        let warmed = ((first + 3.0 - returns) / 13.0).min(1.0);
        let granted = 2.0 * (0.23 + 0.77 * warmed) * RATE * 3.0;
        let most = granted + 3.0 * granted.sqrt() + 3.0;
        if sent as f64 > most {
            faults.push(format!("{sent} calls in the 3 s from {:.1} s after its return on, where {most:.1} topple it", first - returns));
        }
    }
    faults.iter().for_each(|f| say(f));
    verdict(faults, "the returning endpoint got no more than it bears")
}
