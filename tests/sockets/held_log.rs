//! A kill between the journal and the log: which of the two knows more.

use crate::http::Http;
use crate::platform_only::until;
use crate::rig::{message, Answer, Rig};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// What a delivery logs, in this order; the last one comes before its record is closed.
const LINES: [&str; 3] = [
    "m1: p Delivered",
    "m1: dest 7 Delivered, 15.999999999s left",
    "m1: final answer told",
];
/// An answer that takes longer does not come.
const SILENT: Duration = Duration::from_millis(300);

/// Delivers a message while there is room for so many lines of the log, and kills the program at
/// the next one. The lines that came out, and what the next start says that it takes up.
fn killed_after(lines: usize) -> (usize, String) {
    let mut rig = Rig::<Http>::start(&[("p", "a")]);
    rig.take_on(&message("m1"));
    let call = rig.call();
    let prefix = rig
        .program
        .says("m1: call 1")
        .find("m1: ")
        .expect("a prefix");
    let room = LINES[..lines]
        .iter()
        .map(|l| prefix + l.len() + 1)
        .sum::<usize>();
    let gate = rig.program.gate();
    let (held, written) = rig.program.hold_log(&gate, room);
    call.answer(Answer::Delivered);
    // The last line may be shorter by the digits of a time.
    until("lines of the log", || written() + 20 >= room);
    // What nobody can serve is answered and logged, so that it stands still at this one at the
    // latest.
    let answers = || {
        let mut client = TcpStream::connect(rig.address).expect("a connection");
        client.set_read_timeout(Some(SILENT)).expect("set");
        client
            .write_all(b"GET / HTTP/1.1\r\nHost: app.svc\r\n\r\n")
            .expect("sent");
        client.read(&mut [0; 64]).is_ok_and(|n| n > 0)
    };
    while answers() {}
    rig.program.kill();
    drop((held, written));
    let log = rig.program.whole_log();
    let out = [
        "m1: p Delivered",
        "m1: dest 7 Delivered",
        "m1: final answer told",
    ]
    .map(|l| log.contains(l));
    let out = out.iter().filter(|o| **o).count();
    // Once in 5 s it tells how long its tables are, which takes the room of a line.
    assert!(
        out == lines || log.contains("sizes: "),
        "{out} of {lines}: {log}"
    );
    rig.start_again();
    let next = rig.program.log();
    let taken_up = next
        .lines()
        .find(|l| l.contains("messages to take up"))
        .expect("told")
        .to_string();
    if out < 2 {
        // It may be called again within its class, and has one end.
        rig.call().answer(Answer::Delivered);
    }
    rig.quiet(SILENT);
    rig.finish(&["m1"]);
    (out, taken_up)
}

#[test]
fn what_the_log_does_not_tell_is_in_the_journal() {
    for lines in 0..=3 {
        let (out, taken_up) = killed_after(lines);
        // No record leaves the journal before all of its lines are out: one that is in neither had
        // its lines lost by who read them.
        let held = usize::from(out < 3);
        assert!(
            taken_up.ends_with(&format!(" {held} messages to take up")),
            "{out}: {taken_up}"
        );
    }
}
