//! Every command with its arguments and exit codes, spelled out: 0 where it was done, 1 where what
//! it looked at is not right or the program could not serve, 2 where it could not be carried out.

use crate::support::write_files;
use std::fs;
use std::path::Path;
use std::process::{Command, Output};
use tempfile::TempDir;

/// The program, told nothing by the environment.
fn command(program: &Path, args: &[&str]) -> Command {
    let mut command = Command::new(program);
    command.args(args);
    for variable in ["NODE_CONFIG", "RAILDEAL_FLEET", "RUST_LOG"] {
        command.env_remove(variable);
    }
    command
}

fn raildeal(args: &[&str]) -> Output {
    let program = Path::new(env!("CARGO_BIN_EXE_raildeal"));
    command(program, args).output().expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A command ends with this code; where it was carried out it prints to the standard output.
fn assert_code(args: &[&str], code: i32) {
    let output = raildeal(args);
    let (out, err) = (text(&output.stdout), text(&output.stderr));
    assert_eq!(output.status.code(), Some(code), "{args:?}: {out}{err}");
    if code == 2 {
        assert!(out.is_empty() && !err.is_empty(), "{args:?}: {out}{err}");
    }
}

/// A folder with files that the commands look at.
struct Files(TempDir);

impl Files {
    fn new() -> Files {
        Files(TempDir::new().expect("a folder"))
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.path(name);
        fs::write(&path, text).expect("written");
        path
    }

    fn path(&self, name: &str) -> String {
        self.0.path().join(name).display().to_string()
    }

    fn folder(&self, name: &str) -> String {
        let path = self.path(name);
        fs::create_dir(&path).expect("a folder");
        path
    }
}

const OPERATORS_FILE: &str = r#"
name = "n1"
state = "/nowhere/state"
[platform]
listen = "127.0.0.1:0"
discovery = "127.0.0.1:1"
[settings]
balancers = 1
[settings.familyInfo]
maxCalls = 10
[settings.limits]
openCap = 10
[[settings.categories]]
name = "event"
promise = 1000000000
deadline = 2000000000
"#;

#[test]
fn help_and_version_end_with_0_and_unknown_words_with_2() {
    for args in [
        &["--help"][..],
        &["-h"],
        &["help"],
        &["--version"],
        &["-V"],
        &["help", "serve"],
        &["help", "check"],
        &["help", "trace"],
        &["help", "journal"],
        &["help", "journal", "inspect"],
        &["journal", "verify", "--help"],
    ] {
        assert_code(args, 0);
    }
    for args in [
        &["--colour"][..],
        &["help", "nothing"],
        &["serve", "a", "b"],
        &["journal"],
        &["journal", "repair", "x"],
    ] {
        assert_code(args, 2);
    }
}

#[test]
fn serving_without_a_configuration_ends_with_1() {
    assert_code(&[], 1);
    assert_code(&["serve"], 1);
    assert_code(&["/nowhere/file.toml"], 1);
    assert_code(&["serve", "/nowhere/file.toml"], 1);
}

#[test]
fn check_ends_with_0_or_1_or_2() {
    let files = Files::new();
    let good = files.write("good.toml", OPERATORS_FILE);
    let faulty = files.write("faulty.toml", "name = 5\n");
    assert_code(&["check", &good], 0);
    assert_code(&["check", &faulty], 1);
    assert_code(&["check", "/nowhere/file.toml"], 2);
    assert_code(&["check"], 2);
}

#[test]
fn journal_inspect_and_verify_end_with_0_or_1_or_2() {
    let files = Files::new();
    let whole = files.folder("whole");
    write_files(Path::new(&whole), include_str!("journal_folder.txt"));
    let damaged = files.folder("damaged");
    write_files(Path::new(&damaged), include_str!("journal_folder.txt"));
    damage(Path::new(&damaged));
    for options in [
        &[][..],
        &["--messages"],
        &["--json"],
        &["--messages", "--json"],
    ] {
        assert_code(&[&["journal", "inspect", &whole], options].concat(), 0);
        // What is damaged is told, and it was looked at.
        assert_code(&[&["journal", "inspect", &damaged], options].concat(), 0);
    }
    assert_code(&["journal", "verify", &whole], 0);
    assert_code(&["journal", "verify", &damaged], 1);
    for what in ["inspect", "verify"] {
        assert_code(&["journal", what, "/nowhere"], 2);
        assert_code(&["journal", what], 2);
    }
}

/// Spoils a byte in the first frame of the only segment.
fn damage(folder: &Path) {
    let entry = fs::read_dir(folder).expect("a folder").next();
    let path = entry.expect("a segment").expect("an entry").path();
    let mut bytes = fs::read(&path).expect("a file");
    bytes[1024 + 20] ^= 0xff;
    fs::write(&path, bytes).expect("written");
}

#[test]
fn trace_ends_with_0_or_1_or_2() {
    let files = Files::new();
    let line = |text: &str| format!("1.0 [DEBUG raildeal::delivery::message] m1: {text}\n");
    let taken_on = line("taken on, class 0, dest 3, key k1, 9s left");
    let delivered = line("dest 3 Delivered, 8s left");
    let kept = files.write("kept.log", &format!("{taken_on}{delivered}"));
    // Its client was told that it is taken on, and its time is up: it has no end.
    let accepted = line("its client is told that it is taken on");
    let later = "99.0 [DEBUG raildeal::delivery::message] m2: taken on, class 0, dest 3, 9s left\n";
    let lost = files.write("lost.log", &format!("{taken_on}{accepted}{later}"));
    assert_code(&["trace", &kept], 0);
    assert_code(&["trace", "--id", "m1", &kept], 0);
    assert_code(&["trace", &lost], 1);
    assert_code(&["trace", "--id", "m1", &lost], 0);
    assert_code(&["trace", "--id", "m9", &kept], 2);
    assert_code(&["trace", "/nowhere/n1.log"], 2);
    assert_code(&["trace"], 2);
}

/// Links stand where a copy would do, as a file that was just written may be open for writing in
/// another test's process when it is run.
#[test]
fn lab_becomes_the_program_beside_it_and_ends_with_2_where_there_is_none() {
    let built = Path::new(env!("CARGO_BIN_EXE_raildeal"));
    let folder = TempDir::new_in(built.parent().expect("a folder")).expect("a folder");
    let program = folder.path().join("raildeal");
    fs::hard_link(built, &program).expect("linked");
    let run = |args: &[&str]| {
        let mut command = command(&program, args);
        command
            .env("PATH", folder.path())
            .output()
            .expect("it runs")
    };
    assert_eq!(run(&["lab"]).status.code(), Some(2));
    let beside = folder.path().join("raildeal-simulator");
    std::os::unix::fs::symlink("/bin/sh", beside).expect("linked");
    let script = "echo \"$@\"; exit 7";
    let told = run(&["lab", "-c", script, "sh", "play", "--help", "x"]);
    assert_eq!(told.status.code(), Some(7));
    assert_eq!(text(&told.stdout), "play --help x\n");
}

#[cfg(feature = "tools")]
#[test]
fn tools_end_with_0_or_2() {
    assert_code(&["schema"], 0);
    assert_code(&["man"], 0);
    for shell in ["bash", "elvish", "fish", "powershell", "zsh"] {
        assert_code(&["completions", shell], 0);
    }
    assert_code(&["completions", "none"], 2);
    assert_code(&["completions"], 2);
}

#[cfg(feature = "fleet")]
mod fleet {
    use super::*;
    use crate::support::{literals, Pins};
    use std::io::{Read, Write};
    use std::net::{TcpListener, TcpStream};
    use std::thread;

    const POLICY: &str = "[limits]\nslots = 12\n";
    const PLAN: &str = "[[stage]]\nzones = [\"a\"]\n";
    const TABLE: &str = "[site.north]\nzones = [\"a\"]\n[[route]]\ntiers = [{ north = 1 }]\n";

    #[test]
    fn keeper_ends_with_1_where_it_cannot_serve() {
        let files = Files::new();
        let faulty = files.write("keeper.toml", "site = \"north\"\n");
        assert_code(&["keeper", &faulty], 1);
        assert_code(&["keeper", "/nowhere/keeper.toml"], 1);
        assert_code(&["keeper"], 2);
    }

    #[test]
    fn words_that_are_no_order_end_with_2() {
        for args in [
            &["fleet"][..],
            &["fleet", "zone"],
            &["fleet", "zone", "close", "a"],
            &["fleet", "zone", "leave"],
            &["fleet", "zone", "leave", "a", "--for-s", "2592001"],
            &["fleet", "policy"],
            &["fleet", "policy", "propose", "a"],
            &["fleet", "table", "propose", "a", "--within-s", "0"],
            &["fleet", "site", "join", "south", "3"],
            &["fleet", "keeper", "add", "4", "nowhere"],
            &["fleet", "keeper", "remove", "x"],
        ] {
            assert_code(args, 2);
        }
    }

    #[test]
    fn what_asks_no_replica_ends_with_0_or_1_or_2() {
        let files = Files::new();
        let policy = files.write("policy.toml", POLICY);
        let other = files.write("other.toml", "[limits]\nslots = 13\n");
        let plan = files.write("plan.toml", PLAN);
        let table = files.write("table.toml", TABLE);
        let faulty = files.write("faulty.toml", "colour = 1\n");
        for (args, code) in [
            (&["policy", "check", &policy][..], 0),
            (&["policy", "check", &policy, "--plan", &plan], 0),
            (&["policy", "check", &faulty], 1),
            (&["policy", "check", "/nowhere"], 2),
            (&["policy", "diff", &policy, &other], 0),
            (&["policy", "diff", &policy, &faulty], 1),
            (&["policy", "propose", &faulty, "--plan", &plan], 1),
            (&["table", "check", &table], 0),
            (&["table", "check", &faulty], 1),
            (&["table", "check", "/nowhere"], 2),
            (&["table", "diff", &table, "0"], 0),
            (&["table", "diff", &table, &faulty], 1),
            (&["table", "propose", &faulty], 1),
        ] {
            let args = [&["fleet"], args].concat();
            assert_code(&args, code);
            assert_code(&[&args[..], &["--json"]].concat(), code);
        }
        if cfg!(feature = "tools") {
            assert_code(&["fleet", "policy", "schema"], 0);
            assert_code(&["fleet", "policy", "schema", "--plan"], 0);
            assert_code(&["fleet", "table", "schema"], 0);
        }
    }

    /// A frame that a command sends, by its name in the pinned ones.
    fn request(name: &str) -> Vec<u8> {
        Pins::of(include_str!("from_operator.txt")).literal(name)
    }

    /// A frame of short texts: the position of its variant, then what follows.
    fn frame(parts: &[&[u8]]) -> Vec<u8> {
        let body = parts.concat();
        [&(body.len() as u32).to_be_bytes()[..], &body].concat()
    }

    /// A text as postcard writes it.
    fn text_part(text: &str) -> Vec<u8> {
        assert!(text.len() < 0x80, "one byte says its length");
        [&[text.len() as u8], text.as_bytes()].concat()
    }

    /// A replica that answers one connection with these bytes; gives what was said on it.
    fn replica(answer: Vec<u8>) -> (String, thread::JoinHandle<Vec<Vec<u8>>>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("its address").to_string();
        let serving = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let said = vec![read_frame(&mut stream), read_frame(&mut stream)];
            stream.write_all(&answer).expect("answered");
            said
        });
        (at, serving)
    }

    fn read_frame(stream: &mut TcpStream) -> Vec<u8> {
        let mut head = [0; 4];
        stream.read_exact(&mut head).expect("a head");
        let mut body = vec![0; u32::from_be_bytes(head) as usize];
        stream.read_exact(&mut body).expect("a body");
        [&head[..], &body].concat()
    }

    /// Runs a command against a replica that answers so. Gives what was asked and what came of it.
    fn ask(files: &Files, args: &[&str], answer: Vec<u8>) -> (Vec<u8>, Output) {
        let (at, serving) = replica(answer);
        let text = format!("site = \"north\"\nzone = \"a\"\nkeepers = [\"{at}\"]\n");
        let file = files.write("fleet.toml", &text);
        let output = raildeal(&[&["fleet"], args, &["--file", &file]].concat());
        let said = serving.join().expect("served");
        let hello = Pins::of(include_str!("hello.txt")).literal("operator");
        assert_eq!(said[0], hello, "{args:?}");
        (said[1].clone(), output)
    }

    #[test]
    fn each_order_is_asked_in_these_bytes_and_ends_with_0_where_it_was_done_and_1_where_refused() {
        let files = Files::new();
        let policy = files.write("policy.toml", POLICY);
        let plan = files.write("plan.toml", PLAN);
        let table = files.write("table.toml", TABLE);
        let propose = frame(&[&[4], &text_part(POLICY), &text_part(PLAN)]);
        let propose_table = |within| frame(&[&[11, 0], &text_part(TABLE), &[within]]);
        for (args, asked) in [
            (&["status"][..], request("status")),
            (
                &["zone", "leave", "a", "--for-s", "600"],
                request("zone-leave"),
            ),
            (
                &["zone", "return", "a", "--for-s", "600"],
                request("zone-return"),
            ),
            (
                &["zone", "hold", "a", "--for-s", "600"],
                request("zone-hold"),
            ),
            (
                &["zone", "free", "a", "--for-s", "600"],
                request("zone-free"),
            ),
            (
                &["zone", "leave", "a"],
                frame(&[&[1], &text_part("a"), &[0, 0]]),
            ),
            (&["keeper", "add", "4", "10.0.0.4:7000"], request("add")),
            (&["keeper", "remove", "4"], request("remove")),
            (&["policy", "propose", &policy, "--plan", &plan], propose),
            (&["policy", "status"], request("policies")),
            (&["policy", "history"], request("past-policies")),
            (&["policy", "halt", "slow"], request("halt")),
            (&["policy", "halt"], frame(&[&[8], &text_part("")])),
            (&["policy", "resume"], request("resume")),
            (&["policy", "back"], request("back")),
            (&["table", "propose", &table], propose_table(60)),
            (
                &["table", "propose", &table, "--within-s", "9"],
                propose_table(9),
            ),
            (&["table", "status"], request("table-status")),
            (&["table", "abort", "late"], request("table-abort")),
            (&["table", "abort"], frame(&[&[11, 2], &text_part("")])),
            (&["table", "history"], request("table-history")),
            (&["site", "off", "south"], request("table-off")),
            (
                &["site", "join", "south", "3", "10.1.0.1:7000"],
                request("table-join"),
            ),
        ] {
            for (answer, code) in [("done", 0), ("refused", 1)] {
                let literal = Pins::of(include_str!("to_operator.txt")).literal(answer);
                let (said, output) = ask(&files, args, literal);
                assert_eq!(said, asked, "{args:?}");
                assert_eq!(output.status.code(), Some(code), "{args:?}");
            }
        }
    }

    #[test]
    fn a_policy_and_a_table_of_the_record_are_asked_for_by_number() {
        let files = Files::new();
        let policy = files.write("policy.toml", POLICY);
        let table = files.write("table.toml", TABLE);
        let refused = || Pins::of(include_str!("to_operator.txt")).literal("refused");
        let (said, output) = ask(&files, &["policy", "diff", "4", &policy], refused());
        assert_eq!(said, request("policy"));
        assert_eq!(output.status.code(), Some(1));
        let (said, output) = ask(&files, &["table", "diff", "7", &table], refused());
        assert_eq!(said, request("table-text"));
        assert_eq!(output.status.code(), Some(1));
    }

    #[test]
    fn each_answer_is_printed_as_this_json() {
        let files = Files::new();
        let pinned = include_str!("answers.json.txt");
        let mut printed = String::new();
        for (name, answer) in literals(include_str!("to_operator.txt")) {
            // Others are asked then, for some seconds.
            if name.starts_with("elsewhere") {
                continue;
            }
            let code = i32::from(name == "refused");
            let (_, output) = ask(&files, &["status", "--json"], answer.clone());
            assert_eq!(output.status.code(), Some(code), "{name}");
            printed += &format!("{name} {}", text(&output.stdout));
            let (_, output) = ask(&files, &["status"], answer);
            assert_eq!(output.status.code(), Some(code), "{name}");
            assert!(!output.stdout.is_empty(), "{name}");
        }
        assert_eq!(printed, pinned);
    }

    #[test]
    fn an_order_that_no_replica_hears_ends_with_2() {
        for args in [
            &["status"][..],
            &["zone", "free", "a"],
            &["keeper", "remove", "4"],
            &["policy", "status"],
            &["table", "status"],
            &["site", "off", "south"],
        ] {
            assert_code(&[&["fleet"], args].concat(), 2);
            assert_code(&[&["fleet"], args, &["--file", "/nowhere"]].concat(), 2);
        }
    }
}
