//! What only the platform's front has: its discovery, its notices, its HTTP, its way to be set up.

use crate::http::{answer, header, request, Http};
use crate::program::{Program, PATIENCE};
use crate::rig::{message, Answer, End, Message, Rig};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tempfile::TempDir;

pub fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn notices_are_sent_again_until_they_are_heard() {
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    rig.discovery.be_deaf(3);
    rig.take_on(&Message {
        left: Duration::from_secs(2),
        ..message("m1")
    });
    rig.call().answer(Answer::Full(Some(5000)));
    assert!(matches!(rig.end("m1"), End::Deferred(_)));
    rig.finish(&[]);
}

#[test]
fn a_notice_that_was_not_heard_goes_after_the_restart() {
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    rig.discovery.be_deaf(usize::MAX);
    rig.take_on(&Message {
        left: Duration::from_secs(2),
        ..message("m1")
    });
    rig.call().answer(Answer::Full(Some(5000)));
    rig.program.says("notices: answered 503");
    rig.program.kill();
    rig.discovery.be_deaf(0);
    rig.start_again();
    // Its end was decided: it is not sent again, whatever the new process thinks of it.
    assert_eq!(rig.end("m1"), End::Deferred(Duration::from_secs(2)));
    rig.quiet(Duration::from_millis(300));
    rig.finish(&[]);
}

#[test]
fn a_watch_that_ends_is_asked_again_from_its_version() {
    let rig = Rig::<Http>::start(&[("p", "a")]);
    until("a first watch", || rig.discovery.asked().len() == 1);
    rig.discovery.hang_up();
    until("a second watch", || rig.discovery.asked().len() == 2);
    assert_eq!(
        rig.discovery.asked()[1],
        rig.discovery.whole()["rev"].as_u64().expect("a number")
    );
    rig.finish(&[]);
}

#[test]
fn a_silent_watch_is_dead() {
    let mut rig = Rig::<Http>::start(&[("p", "a"), ("q", "b")]);
    rig.discovery.freeze(true);
    rig.program.says("watch: silent");
    rig.discovery.freeze(false);
    rig.drain("p");
    rig.take_on(&message("m1"));
    let call = rig.call();
    assert_eq!(call.provider, "q");
    call.answer(Answer::Delivered);
    rig.finish(&["m1"]);
}

#[test]
fn older_news_undoes_nothing() {
    let mut rig = Rig::<Http>::start(&[("p", "a"), ("q", "b")]);
    let old = rig.discovery.whole();
    rig.drain("p");
    rig.discovery.say(&format!("{old}\n"));
    rig.program.says("is not newer");
    rig.serves(&["m1", "m2", "m3"], "q");
    rig.finish(&["m1", "m2", "m3"]);
}

#[test]
fn what_cannot_be_taken_is_told_why_and_the_connection_ends() {
    let rig = Rig::<Http>::start(&[("p", "a")]);
    let whole = String::from_utf8(request(&Message {
        body: b"ok".to_vec(),
        ..message("m1")
    }))
    .expect("text");
    let cases = [
        (whole.replace("POST /event ", "POST /other "), 404),
        (whole.replace("POST /event ", "PUT /event "), 405),
        (whole.replace("X-Txn: m1", "X-Txn:"), 400),
        (whole.replace("X-Txn: m1", "X-Txn: m 1"), 400),
        (whole.replace("X-Txn: m1", "X-Txn: m\u{e9}1"), 400),
        (
            whole.replace("X-Txn: m1", &format!("X-Txn: {}", "m".repeat(257))),
            400,
        ),
        (whole.replace("X-Txn: m1", "X-Txn: m1\r\nX-Txn: m2"), 400),
        (whole.replace("X-Lane: event", "X-Lane: other"), 400),
        (
            whole.replace("Idempotency-Key: key-of-m1", "Idempotency-Key:"),
            400,
        ),
        (
            whole.replace("Idempotency-Key: key", "Idempotency-Key: a key"),
            400,
        ),
        (
            whole.replace("X-Remaining: 16000m", "X-Remaining: 16s"),
            400,
        ),
        (
            whole.replace("X-Remaining: 16000m", "X-Remaining: -1m"),
            400,
        ),
        (
            whole.replace("X-Remaining: 16000m", "X-Remaining: 99999999999999999999m"),
            400,
        ),
        (whole.replace("dest=7", "dest=70000"), 400),
        (whole.replace("Idempotency-Key", "Other-Key"), 400),
        (
            whole.replace("Content-Length: 2", "Content-Length: 65537"),
            413,
        ),
        (
            whole.replace("Content-Length: 2", "Content-Length: 99999999999999999999"),
            413,
        ),
        (
            whole.replace("Content-Length: 2", "Content-Length: +2"),
            400,
        ),
        (
            whole.replace(
                "Content-Length: 2",
                "Content-Length: 2\r\nContent-Length: 3",
            ),
            400,
        ),
        (
            whole.replace("Content-Length: 2", "Transfer-Encoding: chunked"),
            411,
        ),
        (
            whole.replace(
                "Content-Length: 2",
                "Content-Length: 2\r\nTransfer-Encoding: chunked",
            ),
            400,
        ),
        (whole.replace("dest=7", "dest=8"), 503),
    ];
    for (bytes, status) in cases {
        let mut stream = TcpStream::connect(rig.address).expect("connected");
        stream.write_all(bytes.as_bytes()).expect("written");
        let (told, head) = answer(&mut stream).expect("an answer");
        assert_eq!(told, status, "{bytes}");
        if status != 503 {
            assert_eq!(header(&head, "connection"), Some("close"), "{bytes}");
        }
        // A connection that is kept ends too, once nothing is asked on it.
        assert_eq!(stream.read(&mut [0]).expect("an end"), 0);
    }
    rig.finish(&[]);
}

#[test]
fn a_connection_carries_requests_in_any_cut() {
    let rig = Rig::<Http>::start(&[("p", "a")]);
    let mut stream = TcpStream::connect(rig.address).expect("connected");
    let big = Message {
        body: vec![b'x'; 64 * 1024],
        ..message("m1")
    };
    let both = [request(&big), request(&message("m2"))].concat();
    for part in both.chunks(both.len() / 7) {
        stream.write_all(part).expect("written");
    }
    for _ in 0..2 {
        assert_eq!(answer(&mut stream).expect("an answer").0, 202);
        rig.call().answer(Answer::Delivered);
    }
    rig.finish(&[]);
}

/// What the platform tells a sender.
pub fn config(folder: &TempDir, known: Value) -> Value {
    let class = json!({"name": "event", "promise": 3_000_000_000u64, "deadline": 16_000_000_000u64,
        "effect": "token", "dedupScope": "zone", "window": 10_000_000_000u64, "points": 1.0, "lateWorth": 0.5});
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
        "state": folder.path(), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "known": known,
        "settings": {"balancers": 3, "categories": [class], "kinds": ["hook"], "discovery": "subscribe",
            "localities": ["a", "b"], "familyInfo": {"maxCalls": 12, "kindApart": [true], "kindBatch": [1]},
            "limits": {"openCap": 50, "maxAttempts": 12, "idleClose": 15_000_000_000u64}}})
}

pub fn platform_command(folder: &TempDir, config: &Value) -> Command {
    let file = folder.path().join("config.json");
    std::fs::write(&file, config.to_string()).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_raildeal"));
    command
        .env_clear()
        .env("NODE_CONFIG", file)
        .env("NODE_STATE", folder.path());
    command
}

#[test]
fn the_platform_sets_it_up_by_variables_and_the_known_list_serves_without_discovery() {
    let rig = Rig::<Http>::start(&[("p", "a")]);
    let folder = TempDir::new().expect("a folder");
    let mut command = platform_command(&folder, &config(&folder, rig.discovery.whole()));
    let mut program = Program::spawn(&mut command);
    let http = Http {
        address: program.port("platform"),
    };
    assert_eq!(
        http.ask(&request(&message("m1"))).expect("an answer").0,
        202
    );
    let call = rig.call();
    assert_eq!(call.message.id, "m1");
    call.answer(Answer::Delivered);
    program.says("m1: p Delivered");
    rig.finish(&[]);
}

#[test]
fn a_list_whose_last_word_is_too_old_serves_nobody_until_discovery_answers() {
    let rig = Rig::<Http>::start(&[("p", "a")]);
    rig.discovery.freeze(true);
    let folder = TempDir::new().expect("a folder");
    let note = folder.path().join("trusted");
    let written =
        |at: SystemTime| at.duration_since(UNIX_EPOCH).expect("a time").as_millis() as u64;
    let now_ms = written(SystemTime::now());
    // What has changed 6 s ago counts as told, and a process before this one heard nothing for 7 s.
    std::fs::write(
        &note,
        format!("{:020} {:020}\n", now_ms - 7_000, now_ms - 1_000),
    )
    .expect("a note");
    let mut config = config(&folder, rig.discovery.whole());
    config["discovery"] = json!(rig.discovery.address);
    config["settings"]["rules"] = json!({"mustAskIn": 10_000_000_000u64});
    let mut program = Program::spawn(&mut platform_command(&folder, &config));
    let http = Http {
        address: program.port("platform"),
    };
    assert_eq!(
        http.ask(&request(&message("m1"))).expect("an answer").0,
        202
    );
    // It has asked, beside the program of the rig, and has got the head of an answer.
    until("an ask", || rig.discovery.asked().len() == 2);
    rig.quiet(Duration::from_millis(500));
    rig.discovery.freeze(false);
    let call = rig.call();
    assert_eq!(call.message.id, "m1");
    call.answer(Answer::Delivered);
    program.says("m1: p Delivered");
    let noted = std::fs::read_to_string(&note).expect("a note");
    let until_ms: u64 = noted
        .trim()
        .split(' ')
        .nth(1)
        .expect("two numbers")
        .parse()
        .expect("a number");
    assert!(until_ms >= now_ms + 6_000, "{noted}");
    rig.finish(&[]);
}

#[test]
fn a_bad_configuration_is_told_in_one_line_that_names_the_setting() {
    let folder = TempDir::new().expect("a folder");
    let refused = |command: &mut Command, words: &str| {
        let out = command
            .env("RUST_LOG", "off")
            .stdout(Stdio::piped())
            .output()
            .expect("it runs");
        let told = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success(), "{words}");
        assert!(
            told.contains(words) && told.lines().count() == 1,
            "{words}: {told}"
        );
    };
    let change = |path: &str, value: Value| {
        let mut config = config(&folder, Value::Null);
        *config.pointer_mut(path).expect("a setting") = value;
        platform_command(&folder, &config)
    };
    refused(
        &mut change("/settings/familyInfo/maxCalls", json!(0)),
        "slots",
    );
    refused(
        &mut change("/settings/familyInfo/maxCalls", json!("many")),
        "familyInfo.maxCalls",
    );
    refused(&mut change("/listen", json!("nowhere")), "listen");
    refused(&mut change("/seed", json!("xyz")), "seed");
    refused(&mut change("/limits/disk_mb", json!(-1)), "limits.disk_mb");
    refused(
        Command::new(env!("CARGO_BIN_EXE_raildeal")).env_remove("NODE_CONFIG"),
        "NODE_CONFIG",
    );
    let file = folder.path().join("operator.toml");
    let good = "name = \"n\"\nstate = \"/nowhere\"\n[settings]\nkinds = [\"k\"]\n\
                [[provider]]\nuid = \"p\"\naddress = \"127.0.0.1:9\"\ndest = 7\n";
    let platform = "[platform]\nlisten = \"127.0.0.1:0\"\ndiscovery = \"127.0.0.1:9\"\n";
    for (text, words) in [
        ("name = 3\n", "name"),
        ("name = ", "operator.toml"),
        (good, "platform, mqtt"),
        (&format!("{good}{platform}"), "platform, provider, dns"),
        (&format!("{good}[mqtt]\nlisten = \"here\"\n"), "mqtt.listen"),
        (&format!("{good}[mqtt]\nport = 1\n"), "mqtt.port"),
        (
            &format!("{good}[mqtt]\nlisten = \"127.0.0.1:0\"\n[brokers]\nkinds = [\"x\"]\n"),
            "brokers.kinds",
        ),
        (
            &format!("{good}[mqtt]\nlisten = \"127.0.0.1:0\"\n"),
            "state",
        ),
    ] {
        std::fs::write(&file, text).expect("a file");
        refused(
            Command::new(env!("CARGO_BIN_EXE_raildeal")).arg(&file),
            words,
        );
    }
}
