//! A sender with the platform's configuration.

use super::{at, ms};
use crate::directory::{Client, Directory, Listed};
use crate::program::{free_port, Folder, Program, Told};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The object that an instance receives, as the wire page lists it, for a sender on its own.
pub const SETTINGS: &str = r#"{
 "balancers":1,"discovery":"subscribe","kinds":["major-partner","local-partner"],
 "localities":["edificio-a","edificio-b","edificio-c"],"weights":"rough","rank":0,
 "categories":[{"name":"portal-event","promise":3000000000,"deadline":16000000000,"effect":"token",
   "dedupScope":"zone","window":10000000000,"points":1.0,"lateWorth":0.5}],
 "familyInfo":{"maxCalls":19,"kindApart":[true,true],"kindBatch":[1,1],"losesWorth":"halving","refusedPrice":0.03},
 "limits":{"maxAttempts":12,"openCap":109,"retryAfter":true,"maxRetryAfter":2000000000,
   "idleClose":15000000000,"connectTimeout":1500000000,"cancel":true,"probes":false,"secondCopies":false},
 "rules":{"answerSlack":20000000,"coldShare":0.23,"mustAskIn":10000000000,"overloadFactor":2.0,
   "overloadFor":3000000000,"stopSendingWithin":250000000,"warmAfter":13000000000}}"#;

/// The destination that the disruption is about.
pub const STRUCK: u16 = 7;
/// What each endpoint takes, in calls a second from all senders together.
const RATE: f64 = 20.0;

/// The endpoint of a destination.
pub fn listed(dest: u16, address: SocketAddr, state: &'static str) -> Listed {
    Listed {
        uid: format!("s-{dest}"),
        address,
        zone: "edificio-a".into(),
        kind: "major-partner".into(),
        dest,
        state,
        rate: RATE,
        boot_ms: 0,
    }
}

/// Starts a sender, and waits until it has its list.
pub fn start(folder: &Folder, directory: &Directory) -> Result<(Program, Client, u16), String> {
    let port = free_port()?;
    let config = configure(folder, directory, port)?;
    let mut program = Program::start(folder, &Told::Config(&config))?;
    if !program.listens(at("127.0.0.1", port)?, Duration::from_secs(10))? {
        return Err("the program does not listen".into());
    }
    ms(1_500);
    Ok((program, Client::new(at("127.0.0.1", port)?), port))
}

/// Writes the sender's configuration.
pub fn configure(folder: &Folder, directory: &Directory, port: u16) -> Result<PathBuf, String> {
    folder.write(
        "config.json",
        &format!(
            "{{\"name\":\"n1\",\"listen\":\"127.0.0.1:{port}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}},\"known\":{},\"settings\":{SETTINGS}}}",
            directory.address,
            directory.known().trim()
        ),
    )
}
