use super::evacuations::format_destinations;

#[test]
fn destinations_are_logged_in_runs_and_at_a_bounded_length() {
    assert_eq!(format_destinations(vec![]), "no destination");
    assert_eq!(format_destinations(vec![4]), "destinations 4");
    assert_eq!(
        format_destinations(vec![7, 2, 0, 1, 9]),
        "destinations 0-2, 7, 9"
    );
    // 20,001 destinations, no two of them consecutive: each is a run, and only 16 are named.
    let all = format_destinations((0..20_000).map(|n| 2 * n).chain([65_535]).collect());
    assert!(
        all.ends_with("28, 30 and 19985 more") && all.len() < 200,
        "{all}"
    );
}
