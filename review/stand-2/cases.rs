//! The cases, by number. What each shows is in `review/CASE/claim.txt`.

mod bad_zone_start;
mod half_zone;
mod moved;
mod no_start;
mod platform;
mod stale_copy;

use crate::{Case, Verdict};
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

pub fn run(number: &str, trouble: bool) -> Case {
    match number {
        "6" => moved::run(trouble),
        "7" => half_zone::run(trouble),
        "8" => stale_copy::run(trouble),
        "9" => bad_zone_start::run(trouble),
        "10" => no_start::run(trouble),
        other => Err(format!("no case {other}")),
    }
}

fn ms(milliseconds: u64) {
    sleep(Duration::from_millis(milliseconds));
}

fn at(address: &str, port: u16) -> Result<SocketAddr, String> {
    format!("{address}:{port}").parse().map_err(|e| format!("{address}: {e}"))
}

fn verdict(faults: Vec<String>, held: &str) -> Case {
    Ok(match faults.first() {
        Some(first) => Verdict::Broken(format!("{} time(s); first: {first}", faults.len())),
        None => Verdict::Held(held.to_string()),
    })
}

/// The part of an operator's file that `deploy/mqtt.toml` has for the decision module.
const SETTINGS: &str = r#"
[settings]
balancers = 1
kinds = ["major-partner", "local-partner"]
localities = ["edificio-a", "edificio-b", "edificio-c"]
weights = "rough"

[[settings.categories]]
name = "portal-event"
promise = 3_000_000_000
deadline = 16_000_000_000
effect = "token"
dedupScope = "zone"
window = 10_000_000_000
points = 1.0
lateWorth = 0.5

[settings.familyInfo]
maxCalls = 19
kindApart = [true, true]
kindBatch = [1, 1]
losesWorth = "halving"

[settings.limits]
maxAttempts = 12
openCap = 109
retryAfter = true
maxRetryAfter = 2_000_000_000
idleClose = 15_000_000_000
connectTimeout = 1_500_000_000

[settings.rules]
coldShare = 0.23
warmAfter = 13_000_000_000
overloadFactor = 2.0
overloadFor = 3_000_000_000
"#;
