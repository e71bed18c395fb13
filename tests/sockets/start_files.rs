//! Starts with a file that cannot be used, or is older than what was in use.

use crate::dns_only::{name, zone, Site};
use crate::program::PATIENCE;
use crate::rig::{message, Answer, End, Heard, Message, Wire};
use hickory_proto::op::{update_message, ResponseCode};
use hickory_proto::rr::RecordSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

const SCRIPT: &str = "fn ingress(message) { if message.size > 1000 { #{ reject_ms: 500 } } }";

/// Ways in which a file cannot be used.
#[derive(Clone, Copy, Debug)]
enum Spoilt {
    Half,
    Empty,
    Gone,
    /// A folder in its place: who may do anything reads any file.
    Unreadable,
}

const EACH_WAY: [Spoilt; 4] = [
    Spoilt::Half,
    Spoilt::Empty,
    Spoilt::Gone,
    Spoilt::Unreadable,
];

fn spoil(path: &Path, how: Spoilt) {
    let whole = fs::read(path).expect("a file");
    match how {
        Spoilt::Half => fs::write(path, &whole[..whole.len() / 2]).expect("written"),
        Spoilt::Empty => fs::write(path, "").expect("written"),
        Spoilt::Gone => fs::remove_file(path).expect("removed"),
        Spoilt::Unreadable => {
            fs::remove_file(path).expect("removed");
            fs::create_dir(path).expect("created");
        }
    }
}

/// Puts a file back.
fn restore(path: &Path, content: &[u8]) {
    let _ = fs::remove_dir(path);
    fs::write(path, content).expect("written");
}

/// Hands a message in that both endpoints refuse for now, so that it is held and no call is out: one
/// that a kill ends would be taken for the first of the next process.
fn hold(site: &mut Site, message: &Message) {
    assert_eq!(site.client.hand_in(message), Heard::TakenOn);
    for _ in &site.addresses {
        let call = site.providers.call();
        assert_eq!(call.message.id, message.id);
        call.answer(Answer::Full(Some(1000)));
        site.program.says(" Rejected {");
    }
}

/// Checks that a line that the start wrote before it was ready holds these words.
fn assert_logged(site: &mut Site, words: &str) {
    let log = site.program.log();
    assert!(log.contains(words), "never said '{words}':\n{log}");
}

/// Delivers what comes next, which has to be this message.
fn deliver(site: &Site, id: &str) -> String {
    let call = site.providers.call();
    assert_eq!(call.message.id, id);
    call.answer(Answer::Delivered);
    let end = site.client.ends_in(PATIENCE).expect("an end");
    assert_eq!(end, (id.to_string(), End::Delivered));
    call.provider
}

#[test]
fn a_zone_file_that_cannot_be_read_ends_no_start_and_its_zone_stays() {
    // review/2: a half-written zone file ended each start of a sender that held messages.
    for how in EACH_WAY {
        let mut site = Site::start();
        hold(&mut site, &message("held"));
        site.kill();
        spoil(&site.file(), how);
        site.start_again();
        assert_logged(&mut site, "which was in use, stays");
        deliver(&site, "held");
        assert_eq!(site.used(&["new"]).len(), 1, "{how:?}");
        restore(
            &site.file(),
            zone(8, &[("q", site.addresses[1])]).as_bytes(),
        );
        site.program.signal("HUP");
        site.program.says("at serial 8");
        assert_eq!(site.used(&["m1", "m2"]), ["q", "q"], "{how:?}");
        site.providers.check();
    }
}

#[test]
fn an_older_zone_is_refused_at_a_start_as_at_sighup() {
    // A start took any serial, so that an endpoint that had been removed was called again.
    let mut site = Site::start();
    let older = fs::read(site.file()).expect("a file");
    fs::write(site.file(), zone(8, &[("q", site.addresses[1])])).expect("written");
    site.program.signal("HUP");
    site.program.says("at serial 8");
    site.end();
    fs::write(site.file(), older).expect("written");
    site.start_again();
    assert_logged(&mut site, "serial 7 is not newer than 8");
    assert_eq!(site.used(&["m1", "m2", "m3", "m4"]), ["q", "q", "q", "q"]);
    // A newer one counts, and a zone of another origin is another zone.
    site.end();
    fs::write(site.file(), zone(9, &[("p", site.addresses[0])])).expect("written");
    site.start_again();
    assert_eq!(site.used(&["m5", "m6"]), ["p", "p"]);
    site.end();
    let other = zone(1, &[("q", site.addresses[1])]).replace("x.example.", "y.example.");
    fs::write(site.file(), other).expect("written");
    site.start_again();
    assert_eq!(site.used(&["m7", "m8"]), ["q", "q"]);
    site.providers.check();
}

#[test]
fn with_neither_zone_file_nor_copy_what_is_held_ends_in_its_time() {
    let mut site = Site::start();
    let short = Message {
        left: Duration::from_secs(4),
        ..message("held")
    };
    hold(&mut site, &short);
    site.kill();
    spoil(&site.file(), Spoilt::Half);
    spoil(&site.state().join("zone"), Spoilt::Half);
    site.start_again();
    assert_logged(&mut site, "no endpoint is listed");
    let (id, end) = site.client.ends_in(short.left).expect("an end in its time");
    assert!(id == "held" && end != End::Delivered, "{id}: {end:?}");
    // What comes meanwhile waits for a list, as where the platform's directory is down.
    assert_eq!(site.client.hand_in(&message("early")), Heard::TakenOn);
    fs::write(site.file(), zone(7, &[("q", site.addresses[1])])).expect("written");
    site.program.signal("HUP");
    site.program.says("at serial 7");
    assert!(deliver(&site, "early").contains('q'));
    assert_eq!(site.used(&["m1"]), ["q"]);
    site.providers.check();
}

#[test]
fn a_spoilt_copy_of_the_zone_ends_no_start() {
    for how in EACH_WAY {
        let mut site = Site::start();
        hold(&mut site, &message("held"));
        site.kill();
        spoil(&site.state().join("zone"), how);
        site.start_again();
        deliver(&site, "held");
        site.providers.check();
    }
}

#[test]
fn no_spoilt_file_beside_the_journal_ends_a_start() {
    for how in EACH_WAY {
        let mut site = Site::start();
        hold(&mut site, &message("held"));
        site.kill();
        let files = files_beside_the_journal(&site.state());
        // The copy of the zone, the clock, and the ids of messages that have ended.
        assert_eq!(files.len(), 4, "{files:?}");
        for file in files {
            spoil(&file, how);
        }
        site.start_again();
        deliver(&site, "held");
        assert_eq!(site.used(&["new"]).len(), 1, "{how:?}");
        site.providers.check();
    }
}

fn files_beside_the_journal(state: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(state).expect("a folder");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    paths
        .filter(|path| path.extension().is_none_or(|e| e != "seg"))
        .collect()
}

#[test]
fn a_script_or_secret_that_cannot_be_read_ends_no_start_that_owes_answers() {
    for how in EACH_WAY {
        let mut site = Site::start_with_script(SCRIPT);
        hold(&mut site, &message("held"));
        site.kill();
        let (script, secret) = (site.script_file(), site.secret_file());
        let content = fs::read(&secret).expect("a file");
        spoil(&script, how);
        spoil(&secret, how);
        site.start_again_without_updates();
        assert_logged(&mut site, "hook.script");
        assert_logged(&mut site, "dns.updates.secret_file");
        deliver(&site, "held");
        assert_eq!(site.used(&["new"]).len(), 1, "{how:?}");
        // With nothing owed the same file ends the start.
        site.end();
        let told = site.start_that_ends();
        assert!(told.contains("hook.script"), "{told}");
        restore(&script, SCRIPT.as_bytes());
        let told = site.start_that_ends();
        assert!(told.contains("dns.updates.secret_file"), "{told}");
        restore(&secret, &content);
        site.start_again();
        site.providers.check();
    }
}

#[test]
fn an_update_never_writes_over_a_file_that_waits_for_sighup() {
    let mut site = Site::start();
    let update = || {
        let origin = name("x.example.");
        update_message::delete_by_rdata(RecordSet::from(site.srv(0)), origin, false)
    };
    let newer = zone(9, &[("p", site.addresses[0]), ("q", site.addresses[1])]);
    let half = newer[..newer.len() / 2].to_string();
    for waiting in [half, newer] {
        fs::write(site.file(), &waiting).expect("written");
        assert_eq!(site.update(update()), ResponseCode::ServFail);
        let kept = fs::read_to_string(site.file()).expect("a file");
        assert_eq!(kept, waiting);
    }
    let update = update();
    site.program.signal("HUP");
    site.program.says("at serial 9");
    assert_eq!(site.update(update), ResponseCode::NoError);
    assert_eq!(site.used(&["m1", "m2"]), ["q", "q"]);
    site.providers.check();
}
