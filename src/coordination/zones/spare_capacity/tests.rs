use crate::coordination::zones::spare_capacity::*;

fn line(zone: &str, dest: u16, rate: f32) -> ListedZoneCapacity {
    ListedZoneCapacity {
        zone: zone.into(),
        dest,
        endpoints: 2,
        calls_per_second: rate,
    }
}

#[test]
fn one_wrong_list_does_not_change_the_medians() {
    let mut lists = EndpointLists::default();
    for id in 0..4 {
        lists.report(id, &[line("a", 1, 10.0), line("b", 1, 10.0)]);
    }
    lists.report(9, &[line("a", 1, 1e9), line("x", 1, 1e9)]);
    lists.refresh();
    assert_eq!(
        lists.capacity("a", 1).map(|listed| listed.rate_per_second),
        Some(10.0)
    );
    assert_eq!(
        (lists.destination_count("b"), lists.destination_count("x")),
        (1, 0)
    );
    (0..4).for_each(|id| lists.remove_sender(id));
    lists.refresh();
    assert_eq!((lists.destination_count("x"), lists.line_count), (1, 2));
}

#[test]
fn no_more_is_moved_than_the_rest_has_spare_capacity_for() {
    let rules = ZoneRules::default();
    let rest = AlternativeZone {
        rate_per_second: 20.0,
        load_per_second: 8.0,
        ..AlternativeZone::default()
    };
    assert_eq!(movable_share(&rules, 10.0, &[]), 0.0);
    assert_eq!(movable_share(&rules, 10.0, &[rest]), 1.0);
    assert_eq!(movable_share(&rules, 20.0, &[rest]), 0.5);
    let rejecting = AlternativeZone {
        rejected_share: 0.5,
        ..rest
    };
    assert_eq!(movable_share(&rules, 10.0, &[rejecting]), 0.0);
    let evacuated = AlternativeZone {
        evacuated_share: 1.0,
        ..rest
    };
    assert_eq!(movable_share(&rules, 10.0, &[evacuated]), 0.0);
    let failing = AlternativeZone {
        is_failing: true,
        ..rest
    };
    assert_eq!(movable_share(&rules, 10.0, &[failing, rest]), 1.0);
    let without_rate = AlternativeZone {
        rate_per_second: 0.0,
        ..rest
    };
    assert_eq!(movable_share(&rules, 1e6, &[without_rate]), 1.0);
}
