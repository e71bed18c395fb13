//! Tables agreed by sites in virtual time: nothing breaks, whatever is cut off or dies, and a
//! refusal changes nothing.

use raildeal_simulator::tables::figures;

#[test]
fn all_sites_go_over_and_no_more_than_two_tables_are_in_use() {
    for (senders, sites) in [(12, 3), (60, 10)] {
        let figures = figures(senders, sites, 3);
        assert_eq!((figures.broken, figures.decided), (0, 3), "{figures:?}");
        assert!(
            figures.decided_ms[1] < 1_000 && figures.switched_ms[1] < 1_000,
            "{figures:?}"
        );
        assert!(figures.pause_ms[1] < 150 && figures.held > 0, "{figures:?}");
        assert!(
            figures.refused.len() == 1 && figures.refused[0].contains("no route"),
            "{figures:?}"
        );
    }
}
