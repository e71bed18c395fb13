//! The machine of one MQTT client vanishes; other clients of the same service go on.

use super::{at, ms, verdict, SETTINGS};
use crate::endpoint::{Answer, Endpoint};
use crate::mqtt::Client;
use crate::program::{copy_log, free_port, Folder, Program, Told};
use crate::record::{now, say};
use crate::Case;
use std::time::Duration;

/// The class's deadline, and half a second after which a final answer is lost.
const LAST_ANSWER: f64 = 16.5;
const TOPIC: &str = "answers/portal";

pub fn run(trouble: bool) -> Case {
    let folder = Folder::new()?;
    let endpoint = Endpoint::start("endpoint e1", at("127.0.0.1", 0)?, |_, _| Answer::status(200, 300))?;
    let port = free_port()?;
    let file = folder.write(
        "sender.toml",
        &format!(
            "name = \"municipal-1\"\nstate = {:?}\n[limits]\nsockets = 1024\nmemory_mb = 192.0\ndisk_mb = 3.0\n\
             [mqtt]\nlisten = \"127.0.0.1:{port}\"\nkeep_answers_s = 600\n\
             [[provider]]\nuid = \"e1\"\naddress = \"{}\"\ndest = 7\nzone = \"edificio-a\"\nkind = \"major-partner\"\nrate = 20.0\n{SETTINGS}",
            folder.0.join("state"),
            endpoint.address
        ),
    )?;
    let mut program = Program::start(&folder, &Told::File(&file))?;
    let listens = at("127.0.0.1", port)?;
    if !program.listens(listens, Duration::from_secs(10))? {
        return Err("the program does not listen".into());
    }
    // Three instances of one back-end service: each takes final answers of the service.
    let third = Client::connect("portal-3", listens, 60)?;
    third.subscribe(TOPIC)?;
    let second = Client::connect("portal-2", listens, 60)?;
    second.subscribe(TOPIC)?;
    let first = Client::connect("portal-1", listens, 60)?;
    first.subscribe(TOPIC)?;
    let mut handed_in = Vec::new();
    for n in 0..4 {
        hand_in(&second, &format!("before-{n}"), &mut handed_in)?;
        ms(200);
    }
    ms(2_000);
    if trouble {
        first.vanish();
    }
    for n in 0..8 {
        hand_in(&second, &format!("after-{n}"), &mut handed_in)?;
        ms(200);
    }
    ms((LAST_ANSWER * 1_000.0) as u64 + 500);
    copy_log(&folder, 40);
    let answers = [first.answers(), second.answers(), third.answers()].concat();
    let mut faults = Vec::new();
    for (id, since) in &handed_in {
        let heard: Vec<_> = answers.iter().filter(|a| a.what == *id).collect();
        match heard[..] {
            [] => faults.push(format!("{id} was taken on and had no final answer {:.1} s later", now() - since)),
            [one] if one.at > since + LAST_ANSWER => {
                faults.push(format!("{id} had its final answer after {:.1} s", one.at - since));
            }
            _ => {}
        }
    }
    faults.iter().for_each(|f| say(f));
    verdict(faults, "each message that was taken on had a final answer in its time")
}

fn hand_in(client: &Client, id: &str, handed_in: &mut Vec<(String, f64)>) -> Result<(), String> {
    let since = now();
    // Only what was taken on is owed an answer.
    if client.hand_in("portal-event/7", id, TOPIC)?.as_deref() == Some("0x00") {
        handed_in.push((id.to_string(), since));
    }
    Ok(())
}
