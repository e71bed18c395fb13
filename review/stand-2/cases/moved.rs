//! Discovery moves with SIGHUP; at its new address it is some seconds behind what the sender was told.

use super::platform::{configure, listed, start, STRUCK};
use super::{at, ms, verdict};
use crate::directory::{Client, Directory, Listed};
use crate::endpoint::{Answer, Endpoint};
use crate::program::{copy_log, Folder};
use crate::record::{now, say};
use crate::Case;

/// How far the new address is behind; the pages name 3.3 to 9.8 s.
const BEHIND_MS: u64 = 6_000;
/// The destination of the endpoint that takes over an address.
const OTHER: u16 = 8;

pub fn run(trouble: bool) -> Case {
    let folder = Folder::new()?;
    let takes = |name: &str| Endpoint::start(name, at("127.0.0.1", 0)?, |_, _| Answer::status(200, 150));
    let (stays, shared, own) = (takes("endpoint s-7")?, takes("endpoint at the shared address")?, takes("endpoint s-8")?);
    let of = |uid: &str, dest, address, state| Listed { uid: uid.into(), ..listed(dest, address, state) };
    let first = || {
        vec![
            of("s-7", STRUCK, stays.address, "active"),
            of("s-70", STRUCK, shared.address, "active"),
            of("s-8", OTHER, own.address, "active"),
        ]
    };
    // s-70 leaves, and another endpoint, of destination 8, begins at its address.
    let replace = |directory: &Directory| {
        directory.change(of("s-70", STRUCK, shared.address, "left"));
        ms(1_000);
        directory.change(of("s-80", OTHER, shared.address, "active"));
    };
    let (old, new) = (Directory::start(first())?, Directory::start(first())?);
    let (program, mut client, port) = start(&folder, &old)?;
    load(&mut client, "before", 4_000);
    if shared.calls().is_empty() {
        return Err("s-70 was never called".into());
    }
    let told = now();
    replace(&old);
    if !trouble {
        replace(&new);
    }
    load(&mut client, "replaced", 2_000);
    configure(&folder, &new, port)?;
    say("the configuration names another discovery");
    program.signal("HUP");
    load(&mut client, "moved", BEHIND_MS);
    if trouble {
        replace(&new);
    }
    load(&mut client, "after", 2_000);
    copy_log(&folder, 20);
    // From then on the process at that address was the one of destination 8, and s-70 was gone.
    let faults: Vec<String> = shared
        .calls()
        .iter()
        .filter(|c| c.at > told + 0.3 && c.id.ends_with(&format!("-for-{STRUCK}")))
        .map(|c| {
            let later = c.at - told;
            format!("{} was sent to an endpoint of destination 8, {later:.1} s after the sender was told that s-70 is gone", c.id)
        })
        .collect();
    faults.iter().for_each(|f| say(f));
    verdict(faults, "nothing for destination 7 went to the address that s-70 had")
}

/// Hands messages in for both destinations.
fn load(client: &mut Client, name: &str, milliseconds: u64) {
    for n in 0..milliseconds / 300 {
        for dest in [STRUCK, OTHER] {
            client.hand_in("portal-event", dest, &format!("{name}-{n}-for-{dest}"), 16_000);
            ms(150);
        }
    }
}
