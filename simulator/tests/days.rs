//! Days replay, rules hold on them, and each checker notices a sender that was broken for it.

use raildeal::Nanos;
use raildeal_simulator::day::Day;
use raildeal_simulator::done::Done;
use raildeal_simulator::log::{Fact, See};
use raildeal_simulator::plan::Experiment;
use raildeal_simulator::policies::ALL;
use raildeal_simulator::range::Range;
use raildeal_simulator::report;
use raildeal_simulator::run::{play, Played};
use raildeal_simulator::sender::Fault;
use std::path::Path;

fn oviedo() -> Day {
    Day::read(&Path::new(env!("CARGO_MANIFEST_DIR")).join("days/oviedo.toml")).expect("a day")
}

fn figures(played: &Played) -> String {
    serde_json::to_string(played).expect("figures")
}

/// What is due and when.
#[derive(Default)]
struct Due(Vec<(Nanos, u32, u16)>);

impl See for Due {
    fn see(&mut self, now: Nanos, fact: &Fact) {
        if let Fact::Due { message, dest, .. } = fact {
            self.0.push((now, *message, *dest));
        }
    }
}

#[test]
fn a_day_replays_exactly_and_another_seed_is_another_day() {
    let day = oviedo();
    let (mut facts, mut again) = (Vec::new(), Vec::new());
    let first = play(&day, 7, None, Some(&mut facts)).expect("played");
    let second = play(&day, 7, None, Some(&mut again)).expect("played");
    assert_eq!(figures(&first), figures(&second));
    assert!(facts == again, "the same facts in the same order");
    assert!(first.sum.messages > 1500, "{:?}", first.sum);
    assert_ne!(
        figures(&first),
        figures(&play(&day, 8, None, None).expect("played"))
    );
}

#[test]
fn what_senders_do_does_not_move_what_comes() {
    let (mut one, mut other) = (Due::default(), Due::default());
    let mut day = oviedo();
    play(&day, 3, None, Some(&mut one)).expect("played");
    day.clients.again = 0;
    day.senders.target_ms = Some(500);
    play(&day, 3, Some(Fault::Silent), Some(&mut other)).expect("played");
    assert!(one.0 == other.0, "days pair");
}

#[test]
fn no_rule_breaks_on_ten_days_of_the_deployments_load() {
    let (day, mut toppled) = (oviedo(), 0);
    for seed in 100..110 {
        let played = play(&day, seed, None, None).expect("played");
        // docs/lab.md: partners that fail most calls and come back are toppled on some days; that
        // is open.
        let other = played
            .broken
            .keys()
            .filter(|rule| *rule != "no cold partner toppled")
            .count();
        assert!(
            other == 0,
            "seed {seed}: {:?}\n{}",
            played.broken,
            played.told.join("\n")
        );
        toppled += usize::from(played.broken.len() > other);
        assert!(played.sum.score > 0.3, "seed {seed}: {:?}", played.sum);
    }
    assert!(toppled <= 3, "{toppled} of ten days");
}

#[test]
fn each_checker_notices_a_sender_that_was_broken_for_it() {
    let mut day = oviedo();
    day.clients.load = Range::is(1.2);
    for (fault, rule) in [
        (Fault::Silent, "one final answer"),
        (Fault::Twice, "one final answer"),
        (Fault::Late, "in time"),
        (Fault::Parallel, "never two attempts out"),
        (Fault::Repeats, "repeats within the class"),
        (Fault::Drains, "drains kept"),
        (Fault::Waits, "waits kept"),
        (Fault::Pushes, "no cold partner toppled"),
        (Fault::Pushes, "attempts"),
        (Fault::Forgets, "fail-back"),
        (Fault::Swallows, "all accounted for"),
    ] {
        // Not every day has what a fault needs to show.
        let fires = (1..=5).any(|seed| {
            let played = play(&day, seed, Some(fault), None).expect("played");
            played.broken.contains_key(rule)
        });
        assert!(fires, "{fault:?}: not once {rule}");
    }
}

/// Messages are over in one way each, whoever decides and whatever goes wrong.
#[test]
fn every_message_is_accounted_for_whoever_decides() {
    let mut day = oviedo();
    for policy in ALL {
        day.senders.policy = policy;
        let played = play(&day, 11, None, None).expect("played");
        let count = |what: &str| played.sum.counts.get(what).copied().unwrap_or(0);
        let over = count("delivered") + count("failed") + count("given up");
        assert_eq!(over, count("due"), "{policy:?}: {:?}", played.sum.counts);
        assert!(
            !played.broken.contains_key("all accounted for"),
            "{policy:?}: {}",
            played.told.join("\n")
        );
    }
}

/// An experiment's days are the same, byte for byte, on one core and on four, and if it was cut off
/// in between.
#[test]
fn an_experiment_comes_out_the_same_on_any_number_of_cores_and_after_an_interruption() {
    let folder = tempfile::tempdir().expect("a folder");
    let day = Path::new(env!("CARGO_MANIFEST_DIR")).join("days/oviedo.toml");
    let file = folder.path().join("experiment.toml");
    let text = format!(
        "name = \"two\"\nday = {day:?}\nseeds = 3\n[[factors]]\nset = \"seconds\"\nvalues = [4, 6]\nnames = [\"short\", \
         \"long\"]\n"
    );
    std::fs::write(&file, text).expect("written");
    let (plan, base) = Experiment::read(&file).expect("an experiment");
    let run = |name: &str, cores, resume| {
        let to = folder.path().join(name);
        let done = Done::open(&to, &plan, &base, resume).map_err(|e| e.to_string())?;
        let cells = plan
            .run(&base, cores, done, &|| ())
            .map_err(|e| e.to_string())?;
        report::write(&to, &plan, &cells, false).expect("a report");
        let files = ["days.jsonl", "cells.csv", "report.html"]
            .map(|f| std::fs::read(to.join(f)).expect("written"));
        Ok::<_, String>(files)
    };
    let whole = run("one", 1, false).expect("played");
    assert!(run("four", 4, false).expect("played") == whole);
    // Two days were done and a third was half written.
    let lines: Vec<&[u8]> = whole[0].split_inclusive(|b| *b == b'\n').collect();
    let cut = [&lines[..3].concat()[..], &lines[4][..lines[4].len() / 2]].concat();
    std::fs::create_dir(folder.path().join("cut")).expect("a folder");
    std::fs::write(folder.path().join("cut/days.jsonl"), &cut).expect("written");
    assert!(Done::cells(&folder.path().join("cut"))
        .is_err_and(|e| e.to_string().contains("2 of 6 days")));
    assert!(
        run("cut", 2, false).is_err_and(|e| e.contains("--resume")),
        "nothing is overwritten unasked"
    );
    assert!(run("cut", 2, true).expect("played") == whole);
    let (_, cells) = Done::cells(&folder.path().join("cut")).expect("all there");
    assert_eq!(cells.iter().map(|c| c.played.len()).sum::<usize>(), 6);
    // Days of another experiment are not mixed in.
    let other = whole[0]
        .iter()
        .map(|b| if *b == b'2' { b'3' } else { *b })
        .collect::<Vec<u8>>();
    std::fs::write(folder.path().join("cut/days.jsonl"), other).expect("written");
    assert!(run("cut", 2, true).is_err());
}

#[test]
fn a_day_that_cannot_be_is_told_by_its_setting() {
    let text =
        std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("days/oviedo.toml"));
    let text = text.expect("a day");
    for (is, wrong, told) in [
        (
            "count = 3\n",
            "count = 0\n",
            "senders.count: 0 is not from 1 to 10000",
        ),
        ("seconds = 60", "seconds = 0", "seconds: 0 is not over 0"),
        (
            "load = [0.7, 0.86]",
            "load = [0.9, 0.86]",
            "clients.load: [0.9, 0.86] is not a range",
        ),
        (
            "kind = \"major\"\ncount",
            "kind = \"minor\"\ncount",
            "partners.kind: settings.kinds has no 'minor'",
        ),
        (
            "what = \"surge\"",
            "what = \"surgery\"",
            "unknown variant `surgery`",
        ),
        (
            "maxCalls = 30",
            "maxCalls = \"x\"",
            "settings: setting familyInfo.maxCalls",
        ),
    ] {
        assert!(text.contains(is), "{is}");
        let bad = Day::parse("day.toml", &text.replacen(is, wrong, 1))
            .expect_err(wrong)
            .to_string();
        assert!(bad.contains(told), "{wrong}: {bad}");
    }
}
