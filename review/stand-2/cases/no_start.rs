//! A sender with a large zone and nothing owed is restarted while its zone file is half written.

use super::{at, ms, verdict, SETTINGS};
use crate::endpoint::{Answer, Endpoint};
use crate::mqtt::Client;
use crate::program::{copy_log, free_port, Folder, Program, Told};
use crate::record::say;
use crate::Case;
use std::fs;
use std::time::Duration;

/// Endpoints of the zone; the fleet pages name 3,200 at the most.
const ENDPOINTS: usize = 1_000;
const TOPIC: &str = "answers/portal";

/// The operator's zone: one partner that is called, and all others.
fn zone(serial: u32, port: u16) -> String {
    let mut text = format!("$ORIGIN partners.oviedo.example.\n@ 60 IN SOA ns mail {serial} 3600 600 86400 60\n");
    for n in 0..ENDPOINTS {
        text += &format!("_raildeal._tcp.{} 60 IN SRV 0 0 {port} host-{n}\n", 7 + n);
    }
    for n in 0..ENDPOINTS {
        let address = if n == 0 { "127.0.0.1".to_string() } else { format!("127.0.{}.{}", 1 + n / 250, 1 + n % 250) };
        text += &format!("host-{n} 60 IN A {address}\nhost-{n} 60 IN TXT \"zone=edificio-a\" \"kind=major-partner\" \"rate=20\"\n");
    }
    text
}

pub fn run(trouble: bool) -> Case {
    let folder = Folder::new()?;
    let endpoint = Endpoint::start("endpoint host-0", at("127.0.0.1", 0)?, |_, _| Answer::status(200, 50))?;
    let port = free_port()?;
    let text = zone(7, endpoint.address.port());
    let file = folder.write("partners.zone", &text)?;
    let settings = folder.write(
        "sender.toml",
        &format!(
            "name = \"municipal-1\"\nstate = {:?}\n[limits]\nsockets = 1024\nmemory_mb = 192.0\ndisk_mb = 3.0\n\
             [mqtt]\nlisten = \"127.0.0.1:{port}\"\nkeep_answers_s = 600\n[dns]\nzone_file = {file:?}\n{SETTINGS}",
            folder.0.join("state")
        ),
    )?;
    let listens = at("127.0.0.1", port)?;
    let mut program = Program::start(&folder, &Told::File(&settings))?;
    if !program.listens(listens, Duration::from_secs(20))? {
        return Err("the program does not listen".into());
    }
    let client = Client::connect("portal-1", listens, 60)?;
    client.subscribe(TOPIC)?;
    for n in 0..5 {
        client.hand_in("portal-event/7", &format!("before-{n}"), TOPIC)?;
        ms(200);
    }
    ms(1_000);
    if client.answers().len() < 5 {
        return Err("a message was not answered before the restart".into());
    }
    // A planned restart, with the platform's times.
    program.signal("TERM");
    ms(3_700);
    program.kill();
    let next = zone(8, endpoint.address.port());
    let written = if trouble { next.len() / 2 } else { next.len() };
    fs::write(&file, &next[..written]).map_err(|e| e.to_string())?;
    say(&format!("{written} of {} bytes of the next zone file are written", next.len()));
    ms(600);
    let mut program = Program::start(&folder, &Told::File(&settings))?;
    let started = program.listens(listens, Duration::from_secs(30));
    let faults = match started {
        Ok(true) => {
            ms(3_000);
            match program.listens(listens, Duration::from_secs(1)) {
                Ok(true) => Vec::new(),
                _ => vec!["the sender ended after its restart".to_string()],
            }
        }
        Ok(false) => vec!["the sender was not ready 30 s after its restart".to_string()],
        Err(why) => vec![format!("at its restart {why}; no port is open")],
    };
    copy_log(&folder, 12);
    faults.iter().for_each(|f| say(f));
    verdict(faults, "the sender started")
}
