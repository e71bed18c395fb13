use super::*;
use crate::delivery::evacuation::EvacuationOrder;
use std::time::Duration;

fn entry(uid: &str, condition: Condition) -> EndpointEntry {
    let address = "127.0.0.1:9000".parse().expect("an address");
    let kind = "small".to_string();
    EndpointEntry {
        uid: uid.into(),
        address,
        zone: "a".into(),
        kind,
        dest: 3,
        condition,
        rate: 1.0,
        started_unix_ms: 0,
    }
}

fn update(revision: u64, complete: bool, entries: Vec<EndpointEntry>) -> EndpointListUpdate {
    EndpointListUpdate {
        revision,
        complete,
        entries,
    }
}

fn directory(apart: bool) -> EndpointDirectory {
    EndpointDirectory::new(
        &[],
        &["small".into()],
        &[DestinationKind {
            separate_routes: apart,
            max_batch: 1,
        }],
    )
}

#[test]
fn an_outdated_update_changes_nothing() {
    let d = directory(true);
    d.apply(&update(5, true, vec![entry("x", Condition::Draining)]))
        .expect("first list");
    assert!(d
        .apply(&update(4, true, vec![entry("x", Condition::Ready)]))
        .is_none());
    assert!(d
        .apply(&update(5, false, vec![entry("x", Condition::Ready)]))
        .is_none());
    assert!(!d.admits(d.handle("x"), Instant::now()));
    assert!(d
        .apply(&update(6, false, vec![entry("x", Condition::Ready)]))
        .is_some());
    assert!(d.admits(d.handle("x"), Instant::now()));
}

#[test]
fn an_endpoint_missing_from_a_complete_list_is_removed() {
    let d = directory(true);
    d.apply(&update(
        1,
        true,
        vec![entry("x", Condition::Ready), entry("y", Condition::Ready)],
    ));
    let change = d
        .apply(&update(2, true, vec![entry("y", Condition::Ready)]))
        .expect("newer");
    assert_eq!(
        change
            .disconnect
            .iter()
            .map(|p| p.entry.uid.as_str())
            .collect::<Vec<_>>(),
        ["x"]
    );
    assert!(!d.admits(d.handle("x"), Instant::now()) && d.admits(d.handle("y"), Instant::now()));
}

#[test]
fn retry_after_applies_to_the_endpoint_or_to_the_whole_destination() {
    for (apart, other_is_free) in [(true, true), (false, false)] {
        let d = directory(apart);
        d.apply(&update(
            1,
            true,
            vec![entry("x", Condition::Ready), entry("y", Condition::Ready)],
        ));
        let (now, wait) = (Instant::now(), Duration::from_secs(2));
        let x = d.endpoint(d.handle("x")).expect("listed");
        d.set_retry_after(&x, now + wait);
        d.set_retry_after(&x, now + wait / 2); // A shorter one does not replace it.
        assert!(!d.admits(x.endpoint, now + wait / 2));
        assert_eq!(d.admits(d.handle("y"), now), other_is_free);
        assert!(d.admits(x.endpoint, now + wait));
    }
}

#[test]
fn a_zone_that_is_the_only_route_of_some_messages_is_not_evacuated() {
    use crate::dispatch::routing::{RouteSpec, WeightedZones};
    let d = directory(true);
    let at = |uid: &str| EndpointEntry {
        zone: uid.into(),
        ..entry(uid, Condition::Ready)
    };
    d.apply(&update(1, true, vec![at("a"), at("b"), at("c")]));
    let to = |tiers: &[&str], class: Option<u16>| {
        let tiers = tiers
            .iter()
            .map(|zone| {
                vec![WeightedZones {
                    share: 1,
                    zones: vec![zone.to_string()],
                }]
            })
            .collect();
        RouteSpec {
            classes: class.map(|c| vec![c]),
            tiers,
            ..RouteSpec::default()
        }
    };
    let is_kept = |zones: &[&str], routes: Vec<RouteSpec>| {
        d.set_routes(Rc::new(
            Routes::new(2, 1, routes).with_zone_numbers(|zone| d.zone_number(zone)),
        ));
        let order = |zone: &&str| EvacuationOrder {
            zone: zone.to_string(),
            dest: 3,
            epoch: 1,
            until: None,
        };
        d.set_evacuations(zones.iter().map(order).collect());
        d.expire_due();
        !d.kept_destinations().is_empty()
    };
    // Without routes, a destination is kept only if no endpoint is left.
    assert!(!is_kept(&["a", "b"], vec![]) && is_kept(&["a", "b", "c"], vec![]));
    // With routes, it is kept if one class has no other zone, even if another class has one.
    assert!(is_kept(&["a"], vec![to(&["a"], Some(0)), to(&["b"], None)]));
    assert!(!is_kept(
        &["c"],
        vec![to(&["a"], Some(0)), to(&["b"], None)]
    ));
    assert!(!is_kept(
        &["a"],
        vec![to(&["a", "b"], Some(0)), to(&["b"], None)]
    ));
    // A class that no zone serves, or whose zones have no endpoints, does not count.
    assert!(!is_kept(&["a"], vec![to(&[], Some(0)), to(&["b"], None)]));
    assert!(!is_kept(
        &["a"],
        vec![to(&["z"], Some(0)), to(&["b", "a"], None)]
    ));
    assert!(d.admits(d.handle("b"), Instant::now()) && !d.admits(d.handle("a"), Instant::now()));
}

#[test]
fn an_endpoint_at_a_reused_address_gets_a_new_handle() {
    let d = directory(true);
    d.apply(&update(1, true, vec![entry("x", Condition::Ready)]));
    d.apply(&update(
        2,
        false,
        vec![entry("x", Condition::Gone), entry("z", Condition::Ready)],
    ));
    assert!(!d.admits(d.handle("x"), Instant::now()) && d.admits(d.handle("z"), Instant::now()));
}
