//! A zone file is read while it is half written: its last record is cut.

use super::{at, ms, verdict, SETTINGS};
use crate::endpoint::{Answer, Endpoint};
use crate::mqtt::Client;
use crate::program::{copy_log, free_port, Folder, Program, Told};
use crate::record::say;
use crate::Case;
use std::fs;
use std::time::Duration;

/// Two partners: destination 7 at 127.0.0.21, destination 8 at 127.0.0.2.
fn zone(serial: u32, port: u16) -> String {
    format!(
        "$ORIGIN partners.oviedo.example.\n\
         @ 60 IN SOA ns mail {serial} 3600 600 86400 60\n\
         _raildeal._tcp.7 60 IN SRV 0 0 {port} seven\n\
         _raildeal._tcp.8 60 IN SRV 0 0 {port} eight\n\
         eight 60 IN TXT \"zone=edificio-b\" \"kind=major-partner\" \"rate=20\"\n\
         seven 60 IN TXT \"zone=edificio-a\" \"kind=major-partner\" \"rate=20\"\n\
         eight 60 IN A 127.0.0.2\n\
         seven 60 IN A 127.0.0.21\n"
    )
}

pub fn run(trouble: bool) -> Case {
    let folder = Folder::new()?;
    let takes = || |_: &_, _: &[_]| Answer::status(200, 50);
    // Both listen at the same port, as partners' services do.
    let (eight, seven) = (0..20)
        .find_map(|_| {
            let eight = Endpoint::start("endpoint eight", at("127.0.0.2", 0).ok()?, takes()).ok()?;
            let same = at("127.0.0.21", eight.address.port()).ok()?;
            Some((eight, Endpoint::start("endpoint seven", same, takes()).ok()?))
        })
        .ok_or("no port is free at both addresses")?;
    let shared = eight.address.port();
    let port = free_port()?;
    let file = folder.write("partners.zone", &zone(7, shared))?;
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
    if !program.listens(listens, Duration::from_secs(10))? {
        return Err("the program does not listen".into());
    }
    let client = Client::connect("portal-1", listens, 60)?;
    client.subscribe("answers/portal")?;
    let hand_in = |phase: &str| -> Result<(), String> {
        for n in 0..3 {
            client.hand_in("portal-event/7", &format!("{phase}-{n}"), "answers/portal")?;
            ms(300);
        }
        Ok(())
    };
    hand_in("before")?;
    let new = zone(8, shared);
    let written = if trouble { new.len() - 2 } else { new.len() };
    fs::write(&file, &new[..written]).map_err(|e| e.to_string())?;
    say(&format!("{written} of {} bytes of the new zone file are written", new.len()));
    program.signal("HUP");
    ms(1_000);
    hand_in("half")?;
    fs::write(&file, &new).map_err(|e| e.to_string())?;
    say("the new zone file is written whole");
    program.signal("HUP");
    ms(1_000);
    hand_in("whole")?;
    ms(2_000);
    copy_log(&folder, 30);
    let heard = client.answers();
    let faults: Vec<String> = eight
        .calls()
        .iter()
        .map(|call| {
            let answer = heard.iter().find(|a| a.what == call.id).map_or("none", |a| &a.status);
            format!("{} for destination 7 was sent to the endpoint of destination 8; its final answer: {answer}", call.id)
        })
        .collect();
    faults.iter().for_each(|f| say(f));
    if seven.calls().is_empty() {
        return Err(format!("{} was never called", seven.name));
    }
    verdict(faults, "messages went to endpoints of their destination only")
}
