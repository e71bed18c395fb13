//! The adapter with input built by hand: valid frames, and malformed ones that must end it with a
//! clear message.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_raildeal-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("adapter starts");
    let mut stdin = child.stdin.take().expect("stdin");
    // The adapter may stop reading at an error, which some tests provoke.
    let _ = stdin.write_all(input);
    drop(stdin);
    child.wait_with_output().expect("adapter ends")
}

fn frame(seq: u32, clock: u64, records: &[u8]) -> Vec<u8> {
    let mut f = seq.to_be_bytes().to_vec();
    f.extend((8 + records.len() as u32).to_be_bytes());
    f.extend(clock.to_be_bytes());
    f.extend(records);
    f
}

const ENV: &str =
    "categories.count=1\ncategories.0.deadline=20000000000\ncategories.0.promise=2000000000\n\
    categories.0.effect=pure\nfamilyInfo.maxCalls=8\nlimits.openCap=50\nlimits.maxAttempts=5\n\
    kinds=a\nfamilyInfo.kindBatch=1\nfamilyInfo.kindApart=false\nsome.new.key=7\n";

fn instance(n: u16) -> Vec<u8> {
    [&[12][..], &n.to_be_bytes()].concat()
}

fn born(env: &[u8]) -> Vec<u8> {
    let mut r = vec![1];
    r.extend(99u64.to_be_bytes());
    r.extend((env.len() as u32).to_be_bytes());
    r.extend(env);
    r
}

fn inventory(set: u16, host: u8) -> Vec<u8> {
    let mut r = vec![11];
    r.extend(set.to_be_bytes());
    r.extend(1u32.to_be_bytes());
    r.extend([10, 0, 0, host, 0, 80]);
    r.extend([0, 0, 0, 0, 0, 3, 1]);
    r.extend(1f32.to_be_bytes());
    r.extend(0u64.to_be_bytes());
    r
}

fn fleet(how: u8, set: u16) -> Vec<u8> {
    let mut r = vec![2, how];
    r.extend(set.to_be_bytes());
    r.extend(1u32.to_be_bytes());
    r
}

fn work(id: u32, dest: f32) -> Vec<u8> {
    let mut r = vec![3];
    r.extend(id.to_be_bytes());
    r.extend([0; 4]);
    r.extend([0; 16]);
    r.extend(20_000_000_000u64.to_be_bytes());
    r.extend([0, 0]);
    r.extend(dest.to_be_bytes());
    r
}

fn start(n: u16) -> Vec<u8> {
    [
        instance(n),
        born(ENV.as_bytes()),
        inventory(0, 1),
        fleet(2, 0),
    ]
    .concat()
}

fn dispatch(id: u32, host: u8) -> Vec<u8> {
    let mut r = vec![8];
    r.extend(id.to_be_bytes());
    r.extend([10, 0, 0, host, 0, 80]);
    r
}

fn holds(out: &[u8], part: &[u8]) -> bool {
    out.windows(part.len()).any(|w| w == part)
}

fn faulty(input: &[u8], words: &[&str]) {
    let out = run(input);
    let err = String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.code(), Some(1), "{err}");
    assert!(!err.contains("panicked"), "{err}");
    assert!(words.iter().all(|w| err.contains(w)), "{err}");
    assert!(out.stdout.is_empty());
}

#[test]
fn empty_input_and_an_empty_batch_end_without_error() {
    assert!(run(&[]).status.success());
    let out = run(&frame(1, 5, &[]));
    assert!(out.status.success());
    assert_eq!(out.stdout, [0, 0, 0, 1, 0, 0, 0, 0]);
}

#[test]
fn a_message_is_dispatched_for_its_instance() {
    let out = run(&frame(7, 1_000_000_000, &[start(3), work(5, 3.0)].concat()));
    assert!(out.status.success());
    assert_eq!(out.stdout[..4], [0, 0, 0, 7]);
    assert_eq!(out.stdout[8..11], [3, 0, 3]);
    assert!(holds(&out.stdout, &dispatch(5, 1)));
}

#[test]
fn a_list_number_defined_twice_in_a_batch_refers_to_the_latest_definition() {
    let records = [
        start(3),
        inventory(0, 9),
        instance(4),
        born(ENV.as_bytes()),
        fleet(2, 0),
    ]
    .concat();
    let records = [records, work(5, 3.0), instance(3), work(6, 3.0)].concat();
    let out = run(&frame(1, 1_000_000_000, &records));
    assert!(out.status.success());
    assert!(holds(&out.stdout, &dispatch(5, 9)) && holds(&out.stdout, &dispatch(6, 1)));
}

#[test]
fn an_instance_may_end_and_start_again_in_one_batch() {
    let records = [start(3), work(5, 3.0), vec![10], start(3), work(6, 3.0)].concat();
    let out = run(&frame(1, 1_000_000_000, &records));
    assert!(out.status.success());
    assert!(!holds(&out.stdout, &dispatch(5, 1)) && holds(&out.stdout, &dispatch(6, 1)));
}

#[test]
fn malformed_input_ends_with_a_clear_message() {
    faulty(&[0, 0, 0], &["batch header", "byte 3"]);
    faulty(&[0, 0, 0, 1, 0, 0, 0, 2], &["batch header", "length 2"]);
    faulty(&[0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff], &["length", "limit"]);
    faulty(&frame(1, 0, &[1, 2, 3])[..17], &["batch", "input ended"]);
    faulty(&frame(1, 0, &[99]), &["record code", "99", "byte 8"]);
    faulty(&frame(1, 0, &[12, 0]), &["INSTANCE", "byte 9"]);
    faulty(
        &frame(1, 0, &[instance(1), fleet(1, 5)].concat()),
        &["FLEET", "list 5", "byte 11"],
    );
    faulty(&frame(1, 0, &work(1, 3.0)), &["before any INSTANCE"]);
    faulty(
        &frame(1, 0, &[instance(1), work(1, 3.0)].concat()),
        &["instance 1", "not running"],
    );
    faulty(
        &frame(1, 0, &[start(1), work(1, f32::NAN)].concat()),
        &["WORK_ITEM", "farEnd"],
    );
    // A count far beyond the frame's length must not be trusted.
    faulty(
        &frame(1, 0, &[11, 0, 0, 0xff, 0xff, 0xff, 0xff]),
        &["INVENTORY"],
    );
    faulty(
        &frame(1, 0, &[instance(1), born(&[0xff, 0xfe])].concat()),
        &["BORN", "UTF-8"],
    );
    faulty(
        &frame(1, 0, &[instance(1), born(b"no equals sign")].concat()),
        &["BORN", "line 1"],
    );
    let bad = ENV.replace("maxCalls=8", "maxCalls=eight");
    faulty(
        &frame(1, 0, &[instance(1), born(bad.as_bytes())].concat()),
        &["maxCalls", "eight"],
    );
    let none = ENV.replace("maxCalls=8", "maxCalls=0");
    faulty(
        &frame(1, 0, &[instance(1), born(none.as_bytes())].concat()),
        &["slots"],
    );
    faulty(
        &frame(
            1,
            0,
            &[instance(1), born(b"categories.count=4000000000\n")].concat(),
        ),
        &["categories.count"],
    );
}
