//! Lists of the size of the largest fleet, as they are applied on the event loop.

mod common;
#[path = "common/growth.rs"]
mod growth;

use common::settings;
use growth::{growth, MAX_GROWTH};
use raildeal::delivery::endpoint::{EndpointEntry, EndpointListUpdate};
use raildeal::delivery::endpoint_directory::EndpointDirectory;
use raildeal::*;
use std::time::{Duration, Instant};

/// Lists so many endpoints, of as many destinations as are given.
fn listings(endpoints: usize, destinations: usize) -> Vec<Listing> {
    let listing = |n: usize| Listing {
        endpoint: EndpointAddress {
            addr: (n as u32).to_be_bytes(),
            port: 80,
        },
        zone: 0,
        kind: 0,
        dest: (n % destinations) as DestinationId,
        condition: Condition::Ready,
        rate: 1.0,
    };
    (0..endpoints).map(listing).collect()
}

/// Returns the time that a dispatcher takes for its first list.
fn time_of_first_list(endpoints: usize, destinations: usize) -> Duration {
    let mut dispatcher = Dispatcher::new(settings(), 7).expect("usable settings");
    let list = Event::CachedList(listings(endpoints, destinations));
    let begun = Instant::now();
    dispatcher.handle(0, &[list], &mut Vec::new());
    begun.elapsed()
}

#[test]
fn the_time_of_a_first_list_does_not_grow_with_the_square_of_its_size() {
    // Each new endpoint was looked for among all new ones, once for each other of its destination.
    for destinations in [1, 32] {
        let growth = growth(|endpoints| time_of_first_list(endpoints, destinations));
        assert!(growth <= MAX_GROWTH, "{destinations}: {growth}");
    }
}

#[test]
fn the_time_of_a_whole_list_does_not_grow_with_the_square_of_its_size() {
    // Each endpoint was looked for in the whole list, to see whether it has gone.
    let growth = growth(|endpoints| {
        let directory = EndpointDirectory::new(&[], &["small".into()], &settings().kinds[..1]);
        let update = |revision| EndpointListUpdate {
            revision,
            complete: true,
            entries: (0..endpoints).map(entry).collect(),
        };
        directory.apply(&update(1)).expect("a change");
        let next = update(2);
        let begun = Instant::now();
        directory.apply(&next).expect("a change");
        begun.elapsed()
    });
    assert!(growth <= MAX_GROWTH, "{growth}");
}

fn entry(n: usize) -> EndpointEntry {
    EndpointEntry {
        uid: format!("{n}/host-{n}:443"),
        address: ([127, 0, 1, 1], 443).into(),
        zone: "a".into(),
        kind: "small".into(),
        dest: (n / 2) as DestinationId,
        condition: Condition::Ready,
        rate: 1.0,
        started_unix_ms: 0,
    }
}
