//! A message is deferred, as its partner is shut; its client hands it in again and then acknowledges
//! the answer that told it so.

use super::{at, ms, verdict, SETTINGS};
use crate::endpoint::{Answer, Endpoint};
use crate::mqtt::Client;
use crate::program::{copy_log, free_port, Folder, Program, Told};
use crate::record::{now, say};
use crate::Case;
use std::time::Duration;

const TOPIC: &str = "answers/portal";
/// The partner is shut for so long, from the first call on.
const SHUT_S: f64 = 10.0;
/// The first hand-in is wanted for so long, less than the partner is shut for.
const FIRST_S: u32 = 8;
/// The class's deadline, and half a second after which a final answer is lost.
const LAST_ANSWER: f64 = 16.5;

pub fn run(trouble: bool) -> Case {
    let folder = Folder::new()?;
    let endpoint = Endpoint::start("endpoint e1", at("127.0.0.1", 0)?, move |call, before| {
        let opens = before.first().map_or(call.at, |first| first.at) + SHUT_S;
        if !trouble || call.at >= opens {
            return Answer::status(200, 100);
        }
        let wait_ms = ((opens - call.at) * 1_000.0) as u64;
        Answer { after: Duration::from_millis(20), status: 429, wait_ms: Some(wait_ms) }
    })?;
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
    let client = Client::connect("portal-1", listens, 60)?;
    client.subscribe(TOPIC)?;
    client.acknowledges_later();
    let id = "order-1";
    if client.hand_in_for("portal-event/7", id, TOPIC, Some(FIRST_S))?.as_deref() != Some("0x00") {
        return Err("the message was not taken on".into());
    }
    let first = client.answer(id, 0, f64::from(FIRST_S) + 0.5);
    let Some(first) = first else {
        copy_log(&folder, 20);
        return verdict(vec![format!("{id} had no final answer at all")], "");
    };
    if first.status != "deferred" {
        client.acknowledge()?;
        copy_log(&folder, 20);
        return verdict(Vec::new(), &format!("the message ended as {}", first.status));
    }
    // What a client does with that answer, before it acknowledges it: it waits as told, and hands the
    // message in again.
    ms(first.again_ms);
    let since = now();
    let again = client.hand_in("portal-event/7", id, TOPIC)?;
    ms(100);
    client.acknowledge()?;
    if again.as_deref() != Some("0x00") {
        copy_log(&folder, 20);
        return verdict(Vec::new(), "the second hand-in was not taken on, so nothing is owed");
    }
    let second = client.answer(id, 1, LAST_ANSWER);
    client.acknowledge()?;
    copy_log(&folder, 20);
    let faults = match second {
        Some(_) => Vec::new(),
        None => {
            let calls = endpoint.calls().iter().filter(|c| c.at > since).count();
            vec![format!(
                "{id} was taken on again and had no final answer {:.1} s later; calls for it since: {calls}",
                now() - since
            )]
        }
    };
    faults.iter().for_each(|f| say(f));
    verdict(faults, "each message that was taken on had a final answer in its time")
}
