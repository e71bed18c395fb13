//! A sender is restarted while its zone file is half written: the new text up to a point, the old
//! text behind it.

use super::{at, ms, verdict, SETTINGS};
use crate::endpoint::{Answer, Endpoint};
use crate::mqtt::Client;
use crate::program::{copy_log, free_port, Folder, Program, Told};
use crate::record::{now, say};
use crate::Case;
use std::fs;
use std::net::Ipv4Addr;
use std::time::Duration;

/// As many as the fleet pages name at the most.
const ENDPOINTS: usize = 3_200;
/// A sender is ready within this time.
const READY_S: u64 = 30;

/// The operator's zone: one partner that is called, and all others.
fn zone(serial: u32, port: u16, comment: &str) -> String {
    let mut text = format!("; {comment}\n$ORIGIN partners.oviedo.example.\n@ 60 IN SOA ns mail {serial} 3600 600 86400 60\n");
    for n in 0..ENDPOINTS {
        text += &format!("_raildeal._tcp.{} 60 IN SRV 0 0 {port} host-{n}\n", 7 + n / 2);
    }
    for n in 0..ENDPOINTS {
        let (high, low) = (1 + n / 250, 1 + n % 250);
        let address = if n < 2 { "127.0.0.1".to_string() } else { format!("127.0.{high}.{low}") };
        text += &format!("host-{n} 60 IN A {address}\nhost-{n} 60 IN TXT \"zone=edificio-a\" \"kind=major-partner\" \"rate=4\"\n");
    }
    text
}

/// Where the new text ends in the middle of the file: in an address, of which the old text behind it
/// makes none.
fn torn_address(new: &str, old: &str) -> Option<usize> {
    let middle = new.len() / 2;
    let ends = new[middle..].match_indices(" IN A 127.0.").map(|(at, found)| middle + at + found.len());
    let mut torn = ends.filter_map(|cut| Some((cut, old.get(cut..)?.lines().next()?)));
    let (cut, rest) = torn.find(|(_, rest)| {
        let address = format!("127.0.{}", rest.split(' ').next().unwrap_or(""));
        address.parse::<Ipv4Addr>().is_err()
    })?;
    say(&format!("the torn line: ...{}{rest}", &new[cut - 24..cut]));
    Some(cut)
}

pub fn run(trouble: bool) -> Case {
    let folder = Folder::new()?;
    // The partner is shut: what is taken on is held.
    let endpoint = Endpoint::start("endpoint host-0", at("127.0.0.1", 0)?, |_, _| Answer::status(503, 20))?;
    let port = free_port()?;
    let old = zone(7, endpoint.address.port(), "partners");
    let file = folder.write("partners.zone", &old)?;
    let settings = folder.write(
        "sender.toml",
        &format!(
            "name = \"municipal-1\"\nstate = {:?}\n[limits]\nsockets = 1024\nmemory_mb = 192.0\ndisk_mb = 64.0\n\
             [mqtt]\nlisten = \"127.0.0.1:{port}\"\nkeep_answers_s = 600\n[dns]\nzone_file = {file:?}\n{SETTINGS}",
            folder.0.join("state")
        ),
    )?;
    let listens = at("127.0.0.1", port)?;
    let (program, ready) = start(&folder, &settings, listens)?;
    if ready.is_none() {
        return Err("the program does not start with a whole zone file".into());
    }
    let client = Client::connect("portal-1", listens, 60)?;
    client.subscribe("answers/portal")?;
    for n in 0..4 {
        if client.hand_in("portal-event/7", &format!("held-{n}"), "answers/portal")?.as_deref() != Some("0x00") {
            return Err("a message was not taken on".into());
        }
    }
    ms(500);
    program.kill();
    // The operator's tool writes the new zone in place; at the restart it is half done.
    let new = zone(8, endpoint.address.port(), "partners, from next month on");
    let text = if trouble {
        let cut = torn_address(&new, &old).ok_or("no line to end in")?;
        say(&format!("the zone file: {cut} bytes of the new text, the rest is the old one"));
        format!("{}{}", &new[..cut], &old[cut..])
    } else {
        new
    };
    fs::write(&file, text).map_err(|e| e.to_string())?;
    ms(600);
    let (_program, ready) = match start(&folder, &settings, listens) {
        Ok(started) => started,
        Err(why) if trouble => {
            copy_log(&folder, 20);
            return verdict(vec![why], "");
        }
        Err(why) => return Err(why),
    };
    copy_log(&folder, 20);
    let faults = match ready {
        None => vec![format!("after the restart it was not ready in {READY_S} s, with 4 messages held")],
        Some(_) => Vec::new(),
    };
    verdict(faults, "the sender was ready in time after its restart")
}

/// Starts the program; when it took connections, in seconds, if it did in time.
fn start(
    folder: &Folder,
    settings: &std::path::Path,
    listens: std::net::SocketAddr,
) -> Result<(Program, Option<f64>), String> {
    let began = now();
    let mut program = Program::start(folder, &Told::File(settings))?;
    let ready = program.listens(listens, Duration::from_secs(READY_S))?;
    let took = now() - began;
    say(&format!("the program is {}ready after {took:.1} s", if ready { "" } else { "not " }));
    Ok((program, ready.then_some(took)))
}
