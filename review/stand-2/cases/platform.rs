//! What the cases on the platform's protocol share: four partners, and a sender with its configuration.

use super::{at, ms};
use crate::directory::{Client, Directory, Listed};
use crate::endpoint::{Answer, Endpoint};
use crate::program::{free_port, Folder, Program, Told};
use crate::record::now;
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

/// Destinations beside the one that is struck, so that it has a quarter of the traffic.
pub const OTHERS: [u16; 3] = [8, 9, 10];
/// The one that is struck.
pub const STRUCK: u16 = 7;
/// What each takes, in calls a second from all senders together.
pub const RATE: f64 = 4.0;
/// Messages for each of them, in a second: three quarters of that.
pub const TRAFFIC: f64 = 3.0;

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

/// Discovery with the struck endpoint and the others, which always take what they get.
pub fn directory(struck: &Endpoint) -> Result<Directory, String> {
    let mut list = vec![listed(STRUCK, struck.address, "active")];
    for dest in OTHERS {
        let other = Endpoint::start(&format!("endpoint s-{dest}"), at("127.0.0.1", 0)?, |_, _| Answer::status(200, 150))?;
        list.push(listed(dest, other.address, "active"));
    }
    Directory::start(list)
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

/// Hands messages in at a steady pace, for each destination in turn.
pub fn load(client: &mut Client, name: &str, seconds: f64) {
    let until = now() + seconds;
    let dests = [&[STRUCK], &OTHERS[..]].concat();
    for n in 0.. {
        if now() >= until {
            return;
        }
        let dest = dests[n % dests.len()];
        client.hand_in("portal-event", dest, &format!("{name}-{n}"), 16_000);
        std::thread::sleep(Duration::from_secs_f64(1.0 / TRAFFIC / dests.len() as f64));
    }
}
