//! What a day without end brings: new clients, ids, keys and providers, and nothing that grows with
//! them.

use crate::http::{answer, request, Http};
use crate::rig::{message, Answer, Rig, Wire};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The next line of the program that tells the size of each table.
fn sizes(rig: &mut Rig<Http>) -> Vec<(String, usize)> {
    let line = rig.program.says("sizes: ");
    let told = line
        .split("sizes: ")
        .nth(1)
        .expect("sizes")
        .split(' ')
        .map(|s| {
            let (table, entries) = s.split_once('=').expect("a size");
            (table.to_string(), entries.parse().expect("a number"))
        });
    told.collect()
}

/// Hands so many messages in, has them delivered and puts another machine at the provider's
/// address.
fn round(rig: &mut Rig<Http>, round: usize, messages: usize, address: SocketAddr) -> Vec<String> {
    let ids: Vec<String> = (0..messages).map(|i| format!("m{round}-{i}")).collect();
    for id in &ids {
        rig.take_on(&message(id));
        rig.call().answer(Answer::Delivered);
    }
    replace(rig, round, address);
    ids
}

/// Another machine takes over the address of a round's provider.
fn replace(rig: &mut Rig<Http>, round: usize, address: SocketAddr) {
    rig.discovery
        .list(&format!("p{round}"), address, "a", Http::KIND, "left");
    rig.discovery.list(
        &format!("p{}", round + 1),
        address,
        "a",
        Http::KIND,
        "active",
    );
    rig.program.says(&format!("provider p{} ", round + 1));
}

/// Where the one provider listens.
fn listed(rig: &Rig<Http>) -> SocketAddr {
    rig.discovery.targets()[0]["endpoint"]
        .as_str()
        .expect("text")
        .parse()
        .expect("an address")
}

#[test]
fn tables_stay_bounded_as_ids_keys_and_providers_are_replaced() {
    const ROUNDS: usize = 12;
    let mut rig = Rig::<Http>::start(&[("p0", "a")]);
    let address = listed(&rig);
    let ids: Vec<String> = (0..ROUNDS)
        .flat_map(|r| round(&mut rig, r, 20, address))
        .collect();
    // One that was being written while the last round ended may be older.
    let _ = sizes(&mut rig);
    let told = sizes(&mut rig);
    // One provider is listed, one zone was seen, nothing is held.
    for (table, most) in [
        ("held", 0),
        ("tickets", 0),
        ("names", 0),
        ("out", 0),
        ("keys", 0),
        ("hosts", 1),
        ("gates", 1),
        ("providers", 1),
        ("handles", 1),
        ("waits", 0),
        ("zones", 3),
        ("idle", 4),
        ("notices", 0),
        ("sleepers", 20),
    ] {
        let entries = told
            .iter()
            .find(|(t, _)| t == table)
            .unwrap_or_else(|| panic!("{table}: {told:?}"))
            .1;
        assert!(
            entries <= most,
            "{table} has {entries} after {ROUNDS} rounds: {told:?}"
        );
    }
    rig.finish(&ids.iter().map(String::as_str).collect::<Vec<_>>());
}

/// A soak: memory and the size of each table over time, as a table to read. `SOAK_S` seconds, 120
/// where it is not set.
#[test]
#[ignore = "a table to read"]
fn soak() {
    let span = std::env::var("SOAK_S")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(120);
    let (start, span) = (Instant::now(), Duration::from_secs(span));
    let mut rig = Rig::<Http>::start(&[("p0", "a")]);
    let address = listed(&rig);
    let mut ids = Vec::new();
    for r in 0.. {
        if start.elapsed() > span {
            break;
        }
        ids.extend(round(&mut rig, r, 200, address));
        if let Some(told) = rig.program.log().lines().rfind(|l| l.contains("sizes: ")) {
            let (at, kib) = (start.elapsed().as_secs(), rig.program.memory());
            println!(
                "{at:>6} s {kib:>7} KiB {:>8} messages {}",
                (r + 1) * 200,
                told.split("sizes: ").nth(1).unwrap_or("")
            );
        }
    }
    rig.finish(&ids.iter().map(String::as_str).collect::<Vec<_>>());
}

#[test]
fn descriptors_and_memory_stay_flat_as_clients_ids_and_providers_are_replaced() {
    const ROUNDS: usize = 8;
    let mut rig = Rig::<Http>::start_narrow(&[("p0", "a")], 128);
    let address = listed(&rig);
    let (mut kept, mut seen) = (Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        for i in 0..40 {
            // It asks once and keeps its connection.
            let mut stream = TcpStream::connect(rig.address).expect("connected");
            stream
                .write_all(&request(&message(&format!("m{round}-{i}"))))
                .expect("written");
            assert_eq!(answer(&mut stream).expect("an answer").0, 202);
            kept.push(stream);
            rig.call().answer(Answer::Delivered);
        }
        replace(&mut rig, round, address);
        seen.push((rig.program.descriptors(), rig.program.memory()));
    }
    let (early, late) = seen.split_at(ROUNDS / 2);
    let most = |part: &[(usize, usize)]| {
        let of = |f: fn(&(usize, usize)) -> usize| part.iter().map(f).max().expect("a round");
        (of(|s| s.0), of(|s| s.1))
    };
    let (before, after) = (most(early), most(late));
    assert!(
        after.0 <= before.0 + 4 && after.0 <= 128,
        "descriptors {seen:?}"
    );
    assert!(after.1 <= before.1 + 1024, "memory {seen:?}");
    rig.finish(&[]);
}
