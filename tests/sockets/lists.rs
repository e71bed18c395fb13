//! What discovery writes on a watch, byte by byte: in pieces, indented, spoilt, without end, or not
//! at all.

use crate::http::{read_head, request, Http};
use crate::platform_only::{config, platform_command};
use crate::program::{Program, PATIENCE};
use crate::rig::{message, Answer, Call, Providers};
use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A request for a watch, with the version that it goes on from; the test answers it.
struct Ask {
    since: u64,
    at: Instant,
    stream: TcpStream,
}

impl Ask {
    fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("written");
    }

    /// A piece of the answer's body.
    fn say(&mut self, text: &str) {
        self.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
    }

    fn answer(&mut self, list: &Value) {
        self.write(HEAD);
        self.say(&format!("{list}\n"));
    }
}

/// The program before a discovery that a test plays, with the providers `p` and `q`, of which `p`
/// alone is in the list that it was started with.
struct Play {
    program: Program,
    http: Http,
    providers: Providers,
    at: [SocketAddr; 2],
    asks: Receiver<Ask>,
    started: Instant,
    _folder: TempDir,
}

impl Play {
    fn start() -> Play {
        Play::told("subscribe")
    }

    /// The same where the settings have this word for discovery.
    fn told(word: &str) -> Play {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let discovery = listener.local_addr().expect("an address");
        let (sender, asks) = channel();
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                let at = Instant::now();
                let Some(head) = read_head(&mut stream) else {
                    continue;
                };
                let since = head
                    .split("since=")
                    .nth(1)
                    .and_then(|s| s.split(' ').next()?.parse().ok());
                let _ = sender.send(Ask {
                    since: since.expect("a watch"),
                    at,
                    stream,
                });
            }
        });
        let (providers, folder) = (Providers::new(), TempDir::new().expect("a folder"));
        let at = ["p", "q"].map(|uid| providers.start::<Http>(uid));
        let mut told = config(&folder, list(1, true, &[("p", at[0], "active")]));
        told["discovery"] = discovery.to_string().into();
        told["settings"]["discovery"] = word.into();
        told["settings"]["rules"] = json!({"mustAskIn": 10_000_000_000u64});
        let started = Instant::now();
        let mut program = Program::spawn(&mut platform_command(&folder, &told));
        let http = Http {
            address: program.port("platform"),
        };
        Play {
            program,
            http,
            providers,
            at,
            asks,
            started,
            _folder: folder,
        }
    }

    fn ask(&self) -> Ask {
        self.asks.recv_timeout(PATIENCE).expect("asked")
    }

    /// The list with `p` and `q` in these states.
    fn list(&self, rev: u64, states: [&str; 2]) -> Value {
        list(
            rev,
            true,
            &[("p", self.at[0], states[0]), ("q", self.at[1], states[1])],
        )
    }

    fn hand_in(&self, id: &str) {
        assert_eq!(
            self.http.ask(&request(&message(id))).expect("an answer").0,
            202
        );
    }

    fn call(&self) -> Call {
        self.providers.call()
    }

    /// Hands a message in and has it delivered by this provider.
    fn serves(&self, id: &str, provider: &str) {
        self.hand_in(id);
        let call = self.call();
        assert_eq!(
            (call.provider.as_str(), call.message.id.as_str()),
            (provider, id)
        );
        call.answer(Answer::Delivered);
    }
}

fn list(rev: u64, all: bool, targets: &[(&str, SocketAddr, &str)]) -> Value {
    let target = |(uid, at, state): &(&str, SocketAddr, &str)| {
        json!({"uid": uid, "endpoint": at, "az": "a", "model": "hook", "pod_group": 7, "state": state,
            "capacity_hint": 50.0, "boot_ms": 0})
    };
    json!({"rev": rev, "all": all, "targets": targets.iter().map(target).collect::<Vec<_>>()})
}

#[test]
fn an_indented_list_that_comes_byte_by_byte_counts_with_its_last_bracket() {
    let mut play = Play::start();
    let mut ask = play.ask();
    let text = serde_json::to_string_pretty(&play.list(5, ["leaving", "active"])).expect("text");
    let (begun, last) = text.split_at(text.len() - 1);
    ask.write(HEAD);
    begun
        .split_inclusive(|_| true)
        .for_each(|byte| ask.say(byte));
    play.serves("m1", "p");
    ask.say(last);
    play.program.says("provider p ");
    play.serves("m2", "q");
    // A whole list in place of a change, indented too; `q` is listed no more.
    ask.say(&format!(
        "\n\n{:#}\n",
        list(6, true, &[("p", play.at[0], "active")])
    ));
    play.program.says("provider q ");
    play.serves("m3", "p");
    assert!(!play.program.log().contains("cannot be read"));
}

#[test]
fn spoilt_answers_leave_the_held_list_are_told_of_once_and_asked_again() {
    let mut play = Play::start();
    let good = play.list(5, ["leaving", "active"]);
    let cut = good.to_string()[..60].to_string();
    // Each behind a good list, in the same write, which counts; then where a head should be.
    let behind: [&[u8]; 5] = [
        b"zz\r\n",
        b"3\r\n[]\n\r\n",
        b"8\r\n\xff\xfe{{}}\n\n\r\n",
        b"b\r\n{\"rev\":-1}\n\r\n",
        b"16\r\n{\"rev\":6,\"targets\":7}\n\r\n",
    ];
    for spoilt in behind {
        let mut ask = play.ask();
        let line = format!("{good}\n");
        let chunk = format!("{:x}\r\n{line}\r\n", line.len());
        ask.write(&[HEAD, chunk.as_bytes(), spoilt].concat());
    }
    let mut ask = play.ask();
    assert_eq!(ask.since, 5, "it goes on from the list that it holds");
    ask.write(HEAD);
    ask.say(&cut);
    drop(ask);
    let long = [
        b"HTTP/1.1 200 OK\r\n".as_slice(),
        &b"X-Long: 1\r\n".repeat(3_000),
    ]
    .concat();
    for spoilt in [b"\x16\x03\x01 no HTTP\r\n\r\n".as_slice(), &long] {
        // The program may have hung up before the end of it.
        let _ = play.ask().stream.write_all(spoilt);
    }
    let mut ask = play.ask();
    assert_eq!(ask.since, 5);
    play.serves("m1", "q");
    ask.answer(&play.list(6, ["active", "leaving"]));
    play.program.says("provider q ");
    play.serves("m2", "p");
    let told = play
        .program
        .log()
        .matches("an answer that cannot be read")
        .count() as u64;
    assert!(
        (1..=1 + play.started.elapsed().as_secs() / 10).contains(&told),
        "told {told} times"
    );
}

#[test]
fn an_answer_that_dribbles_and_never_says_anything_whole_is_given_up_and_asked_again() {
    let play = Play::start();
    let mut first = play.ask();
    first.write(HEAD);
    first.say("{\"rev\": 2, \"all\": true,");
    let second = loop {
        match play.asks.recv_timeout(Duration::from_millis(100)) {
            Ok(ask) => break ask,
            Err(RecvTimeoutError::Disconnected) => panic!("no discovery"),
            // It has hung up where this cannot be written.
            Err(RecvTimeoutError::Timeout) => drop(first.stream.write_all(b"1\r\n \r\n")),
        }
        assert!(first.at.elapsed() < PATIENCE, "not asked again");
    };
    assert!(
        second.at - first.at >= Duration::from_secs(3),
        "{:?}",
        second.at - first.at
    );
    play.serves("m1", "p");
}

#[test]
fn a_flood_of_empty_lines_keeps_nobody_waiting() {
    let play = Play::start();
    let mut ask = play.ask();
    ask.answer(&play.list(5, ["active", "leaving"]));
    let lines = format!("10000\r\n{}\r\n", "\n".repeat(0x10000));
    thread::spawn(move || while ask.stream.write_all(lines.as_bytes()).is_ok() {});
    for n in 0..20 {
        let asked = Instant::now();
        play.serves(&format!("m{n}"), "p");
        assert!(
            asked.elapsed() < Duration::from_secs(2),
            "m{n} waited {:?}",
            asked.elapsed()
        );
    }
}

/// Whatever became of the asks: what discovery had and could have told counts six seconds later.
#[test]
fn asks_that_fail_in_the_line_leave_the_held_list_six_seconds() {
    let play = Play::start();
    let mut next = Some(play.ask());
    // It had started when it asked.
    let until = next
        .as_ref()
        .map(|first| first.at + Duration::from_millis(6_100))
        .expect("asked");
    for n in 0.. {
        let Some(mut ask) = next else { break };
        // As one that stood in the directory's line.
        thread::sleep(Duration::from_millis(1_100));
        ask.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        if play.started.elapsed() < Duration::from_secs(4) {
            play.serves(&format!("m{n}"), "p");
        }
        next = play
            .asks
            .recv_timeout(until.saturating_duration_since(Instant::now()))
            .ok();
    }
    play.hand_in("late");
    assert!(
        play.providers
            .calls
            .recv_timeout(Duration::from_millis(500))
            .is_err(),
        "by the held list"
    );
    play.ask().answer(&play.list(5, ["leaving", "active"]));
    let call = play.call();
    assert_eq!(
        (call.provider.as_str(), call.message.id.as_str()),
        ("q", "late")
    );
    call.answer(Answer::Delivered);
}

/// Guards against new work at endpoints that an agent lists as drained, while it refuses polls.
#[test]
fn what_is_pushed_counts_though_its_agent_refuses_polls() {
    let play = Play::told("automatic");
    let mut ask = play.ask();
    ask.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    play.hand_in("m1");
    let mut ask = play.ask();
    assert!(
        play.providers.calls.try_recv().is_err(),
        "by the list of the configuration"
    );
    ask.answer(&play.list(5, ["leaving", "active"]));
    let call = play.call();
    assert_eq!(call.provider, "q");
    call.answer(Answer::Delivered);
}

/// Guards against new work at drained endpoints by a list that a directory vouches for which is
/// behind it: its answers and beats say nothing of what has changed since.
#[test]
fn an_answer_that_is_older_than_the_held_list_is_no_word_of_the_directory() {
    const SOONER_THAN_SILENCE: Duration = Duration::from_secs(2);
    let play = Play::start();
    play.ask().answer(&play.list(5, ["leaving", "active"]));
    let mut behind = play.ask();
    behind.answer(&play.list(4, ["active", "leaving"]));
    let ask = play.asks.recv_timeout(SOONER_THAN_SILENCE);
    assert_eq!(ask.expect("asked again").since, 5);
    play.serves("m1", "q");
}

#[test]
fn what_is_pushed_counts_from_the_first_moment_of_a_process() {
    let play = Play::told("automatic");
    let mut ask = play.ask();
    play.hand_in("m1");
    assert!(
        play.providers
            .calls
            .recv_timeout(Duration::from_millis(500))
            .is_err(),
        "by the kept list"
    );
    ask.answer(&play.list(5, ["leaving", "active"]));
    let call = play.call();
    assert_eq!(call.provider, "q");
    call.answer(Answer::Delivered);
}
