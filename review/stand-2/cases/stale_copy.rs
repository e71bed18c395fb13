//! A zone grows and replaces an endpoint; the sender is restarted while the next zone file is half
//! written, and begins with a copy of the zone before both.

use super::{at, ms, verdict, SETTINGS};
use crate::endpoint::{Answer, Endpoint};
use crate::mqtt::Client;
use crate::program::{copy_log, free_port, Folder, Program, Told};
use crate::record::{now, say};
use crate::Case;
use std::fs;
use std::path::Path;
use std::time::Duration;

/// Partners beside the two that are called.
const BEFORE: usize = 500;
const AFTER: usize = 1_000;
const TOPIC: &str = "answers/portal";

/// The zone: destination 7 has its endpoint at the shared address, or, once that was replaced, at its
/// new one, and destination 8 has the shared address.
fn zone(serial: u32, others: usize, shared: u16, replaced_by: Option<u16>) -> String {
    let called = match replaced_by {
        None => vec![(7, shared, "seven-a")],
        Some(new) => vec![(7, new, "seven-b"), (8, shared, "eight")],
    };
    let mut text = format!("$ORIGIN partners.oviedo.example.\n@ 60 IN SOA ns mail {serial} 3600 600 86400 60\n");
    for (dest, port, host) in &called {
        text += &format!("_raildeal._tcp.{dest} 60 IN SRV 0 0 {port} {host}\n");
    }
    for n in 0..others {
        text += &format!("_raildeal._tcp.{} 60 IN SRV 0 0 443 host-{n}\n", 100 + n);
    }
    let called = called.iter().map(|(_, _, host)| (host.to_string(), "127.0.0.1".to_string()));
    let others = (0..others).map(|n| (format!("host-{n}"), format!("127.0.{}.{}", 1 + n / 250, 1 + n % 250)));
    for (host, address) in called.chain(others) {
        text += &format!("{host} 60 IN A {address}\n{host} 60 IN TXT \"zone=edificio-a\" \"kind=major-partner\" \"rate=20\"\n");
    }
    text
}

/// Replaces the zone file by a rename, as docs/operating.md asks.
fn replace(folder: &Folder, file: &Path, text: &str) -> Result<(), String> {
    let beside = folder.write("partners.new", text)?;
    fs::rename(beside, file).map_err(|e| e.to_string())
}

pub fn run(trouble: bool) -> Case {
    let folder = Folder::new()?;
    let takes = |name: &str| Endpoint::start(name, at("127.0.0.1", 0)?, |_, _| Answer::status(200, 50));
    let (new, shared) = (takes("endpoint seven-b")?, takes("endpoint at the shared address")?);
    let (new_at, shared_at) = (Some(new.address.port()), shared.address.port());
    let port = free_port()?;
    let file = folder.write("partners.zone", &zone(7, BEFORE, shared_at, None))?;
    let settings = folder.write(
        "sender.toml",
        &format!(
            "name = \"municipal-1\"\nstate = {:?}\n[limits]\nsockets = 1024\nmemory_mb = 192.0\ndisk_mb = 3.0\n\
             [mqtt]\nlisten = \"127.0.0.1:{port}\"\nkeep_answers_s = 600\n[dns]\nzone_file = {file:?}\n{SETTINGS}",
            folder.0.join("state")
        ),
    )?;
    let listens = at("127.0.0.1", port)?;
    let start = || -> Result<(Program, Client), String> {
        let mut program = Program::start(&folder, &Told::File(&settings))?;
        if !program.listens(listens, Duration::from_secs(20))? {
            return Err("the program does not listen".into());
        }
        let client = Client::connect("portal-1", listens, 60)?;
        client.subscribe(TOPIC)?;
        Ok((program, client))
    };
    let hand_in = |client: &Client, phase: &str| -> Result<(), String> {
        for n in 0..12 {
            client.hand_in("portal-event/7", &format!("{phase}-{n}"), TOPIC)?;
            ms(200);
        }
        Ok(())
    };
    let (program, client) = start()?;
    hand_in(&client, "before")?;
    if shared.calls().is_empty() {
        return Err("the endpoint of destination 7 was never called".into());
    }
    // The zone grows; the endpoint of destination 7 is replaced, and destination 8 has its address.
    replace(&folder, &file, &zone(8, AFTER, shared_at, new_at))?;
    say("zone 8 is in place: the shared address is destination 8's");
    program.signal("HUP");
    ms(2_000);
    let told = now();
    hand_in(&client, "removed")?;
    program.kill();
    let next = zone(9, AFTER, shared_at, new_at);
    if trouble {
        fs::write(&file, &next[..next.len() / 2]).map_err(|e| e.to_string())?;
        say("zone 9 is half written");
    } else {
        replace(&folder, &file, &next)?;
    }
    ms(600);
    let (_program, client) = start()?;
    hand_in(&client, "restarted")?;
    ms(1_000);
    copy_log(&folder, 60);
    let heard = client.answers();
    let faults: Vec<String> = shared
        .calls()
        .iter()
        .filter(|c| c.at > told)
        .map(|c| {
            let answer = heard.iter().find(|a| a.what == c.id).map_or("none", |a| &a.status);
            format!("{} for destination 7 was sent to the endpoint of destination 8; its final answer: {answer}", c.id)
        })
        .collect();
    faults.iter().for_each(|f| say(f));
    verdict(faults, "nothing for destination 7 went to the address that it had before zone 8")
}
