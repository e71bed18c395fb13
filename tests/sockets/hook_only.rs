//! An operator's script on the running program.

use crate::http::{header, read_request, request, Http};
use crate::program::Program;
use crate::rig::{message, settings, Message};
use std::fs;
use std::io::Write;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Command;
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
