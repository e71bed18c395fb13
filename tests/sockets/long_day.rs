//! What a day without end brings: new clients, ids, keys and providers, and nothing that grows with them.

use crate::http::{answer, request, Http};
use crate::rig::{message, Answer, Rig, Wire};
use std::io::Write;
use std::net::TcpStream;

#[test]
fn descriptors_and_memory_stay_flat_as_clients_ids_and_providers_are_replaced() {
    const ROUNDS: usize = 8;
    let mut rig = Rig::<Http>::start_narrow(&[("p0", "a")], 128);
    let address = rig.discovery.targets()[0]["endpoint"].as_str().expect("text").parse().expect("an address");
    let (mut kept, mut seen) = (Vec::new(), Vec::new());
    for round in 0..ROUNDS {
        for i in 0..40 {
            // It asks once and keeps its connection.
            let mut stream = TcpStream::connect(rig.address).expect("connected");
            stream.write_all(&request(&message(&format!("m{round}-{i}")))).expect("written");
            assert_eq!(answer(&mut stream).expect("an answer").0, 202);
            kept.push(stream);
            rig.call().answer(Answer::Delivered);
        }
        // Another machine takes over the address.
        rig.discovery.list(&format!("p{round}"), address, "a", Http::KIND, "left");
        rig.discovery.list(&format!("p{}", round + 1), address, "a", Http::KIND, "active");
        rig.program.says(&format!("provider p{} ", round + 1));
        seen.push((rig.program.descriptors(), rig.program.memory()));
    }
    let (early, late) = seen.split_at(ROUNDS / 2);
    let most = |part: &[(usize, usize)]| {
        let of = |f: fn(&(usize, usize)) -> usize| part.iter().map(f).max().expect("a round");
        (of(|s| s.0), of(|s| s.1))
    };
    let (before, after) = (most(early), most(late));
    assert!(after.0 <= before.0 + 4 && after.0 <= 128, "descriptors {seen:?}");
    assert!(after.1 <= before.1 + 1024, "memory {seen:?}");
    rig.finish(&[]);
}
