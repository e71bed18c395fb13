//! An operator's script on the running program.

use crate::http::{header, read_request, request, Http};
use crate::mqtt::Mqtt;
use crate::program::Program;
use crate::rig::{message, settings, Answer, End, Message, Rig};
use std::fs;
use std::io::Write;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const SCRIPT: &str = r#"
fn ingress(message) {
    if message.size > 1000 { return #{ reject_ms: 1500 }; }
    if message.id == "broken" { throw "broken"; }
    #{ notes: #{ class: message.class } }
}
fn final_answer(message, answer) { log(`${message.id} ended ${answer.status}`); }
"#;

fn configure(folder: &TempDir, script: &str, provider: &str) -> PathBuf {
    let path = |f: &str| folder.path().join(f);
    fs::write(path("hook.rhai"), script).expect("written");
    let text = format!(
        "name = \"hooked\"\nstate = {:?}\n[hook]\nscript = {:?}\n\
         [platform]\nlisten = \"127.0.0.1:0\"\ndiscovery = \"{provider}\"\n{}",
        folder.path(),
        path("hook.rhai"),
        settings(100)
    );
    fs::write(path("operator.toml"), text).expect("written");
    path("operator.toml")
}

#[test]
fn a_script_rejects_annotates_and_observes_but_breaks_nothing() {
    let folder = TempDir::new().expect("a folder");
    let discovery = crate::discovery::Discovery::start();
    let provider = TcpListener::bind("127.0.0.1:0").expect("a port");
    discovery.list(
        "p",
        provider.local_addr().expect("an address"),
        "a",
        "hook",
        "active",
    );
    let mut program = Program::start(&configure(&folder, SCRIPT, &discovery.address.to_string()));
    let http = Http {
        address: program.port("platform"),
    };
    program.says("provider p ");
    let (status, head) = http
        .ask(&request(&Message {
            body: vec![1; 2000],
            ..message("large")
        }))
        .expect("answered");
    assert_eq!((status, header(&head, "retry-after")), (503, Some("1.500")));
    assert_eq!(http.ask(&request(&message("m1"))).expect("answered").0, 202);
    let (mut stream, _) = provider.accept().expect("a call");
    let (call, body) = read_request(&mut stream).expect("a call");
    assert_eq!(
        (header(&call, "x-note-class"), header(&call, "x-txn")),
        (Some("event"), Some("m1"))
    );
    assert_eq!(body, message("m1").body);
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .expect("written");
    program.says("hook: m1 ended delivered");
    // A script that fails is told in the log, and the message passes.
    assert_eq!(
        http.ask(&request(&message("broken"))).expect("answered").0,
        202
    );
    let (call, _) = read_request(&mut stream).expect("a call");
    assert_eq!(
        (header(&call, "x-note-class"), header(&call, "x-txn")),
        (None, Some("broken"))
    );
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .expect("written");
    program.says("hook: ingress of broken");
    program.says("hook: broken ended delivered");
}

#[test]
fn a_script_that_does_not_compile_stops_the_start() {
    let folder = TempDir::new().expect("a folder");
    for (script, words) in [("fn ingress(", "line 1"), ("fn other() { }", "neither")] {
        let file = configure(&folder, script, "127.0.0.1:9");
        let out = Command::new(env!("CARGO_BIN_EXE_raildeal"))
            .env("RUST_LOG", "off")
            .arg(file)
            .output();
        let out = out.expect("it runs");
        let told = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success() && told.lines().count() == 1, "{told}");
        assert!(
            told.contains("hook.script") && told.contains(words),
            "{told}"
        );
    }
}

/// How long a client waits for the answer that its message is accepted.
const CLIENT_PATIENCE: Duration = Duration::from_millis(400);

/// Scripts whose runs never end by themselves, at either point.
const ENDLESS_SCRIPTS: [&str; 5] = [
    r#"fn ingress(m) { loop { let t = ""; t.pad(16000, "x"); } }"#,
    r#"fn ingress(m) { let t = ""; t.pad(16000, "x"); let u = t; loop { t = u; t.replace("x", u); } }"#,
    r#"fn ingress(m) { let t = ""; t.pad(10, ""); loop { t.pad(10, ""); } }"#,
    r#"fn ingress(m) { let t = ""; t.pad(16000, "x"); loop { log(t); } }"#,
    r#"fn final_answer(m, a) { loop { let t = ""; t.pad(16000, "x"); } }"#,
];

#[test]
fn a_script_that_never_ends_delays_no_answer() {
    // review/3: each message kept the process from all else for a second.
    for script in ENDLESS_SCRIPTS {
        deliver_beside(script, 20);
    }
}

#[test]
fn a_script_that_takes_too_much_is_suspended_and_told_once() {
    // What each run may take was bounded, but not what all of them take.
    let script = "fn ingress(m) { loop { } } fn final_answer(m, a) { loop { } }";
    let script = script.replace("{ }", r#"{ let t = ""; t.pad(16000, "x"); }"#);
    let log = deliver_beside(&script, 80);
    let told = log.matches("messages pass without it").count();
    assert_eq!(told, 1, "{log}");
}

/// Hands messages in beside a script, one after another, and checks that each answer comes as
/// quickly as its client waits for it. Returns the log.
fn deliver_beside(script: &str, messages: usize) -> String {
    let folder = TempDir::new().expect("a folder");
    let path = folder.path().join("hook.rhai");
    fs::write(&path, script).expect("written");
    let settings = format!("[hook]\nscript = {path:?}\n{}", settings(100));
    let mut rig = Rig::<Mqtt>::start_by(&[("p", "a")], settings);
    let ids: Vec<String> = (0..messages).map(|n| format!("m{n}")).collect();
    for id in &ids {
        let begun = Instant::now();
        rig.take_on(&message(id));
        assert!(begun.elapsed() <= CLIENT_PATIENCE, "{script}: {id}");
        rig.call().answer(Answer::Delivered);
        let end = rig.end_within(id, CLIENT_PATIENCE);
        assert_eq!(end, Some(End::Delivered), "{script}: {id}");
    }
    let log = rig.program.log();
    rig.finish(&ids.iter().map(String::as_str).collect::<Vec<_>>());
    log
}
