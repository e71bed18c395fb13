use crate::coordination::routing_table::tables::*;

fn table(number: u64) -> RoutingTable {
    RoutingTable {
        number,
        digest: [number as u8; 32],
        text: format!("# {number}"),
    }
}

fn go(t: &mut SiteTables, changes: &[Change]) -> usize {
    let mut applied = 0;
    for change in changes {
        let turn = t.turn;
        t.apply(t.at + 1, 10, turn, change);
        applied += usize::from(t.turn > turn);
    }
    applied
}

#[test]
fn a_table_is_offered_accepted_decided_and_activated_once() {
    let mut t = SiteTables::default();
    let all = [
        Change::Offer { table: table(1) },
        Change::Accept { number: 1 },
        Change::Decide { table: table(1) },
        Change::Pause,
        Change::Commit,
    ];
    assert_eq!(go(&mut t, &all), 5);
    assert_eq!(
        (t.register, &t.table),
        (
            ActiveTable {
                number: 1,
                stance: SiteAdmission::Open,
                turn: 5
            },
            &table(1)
        )
    );
    assert_eq!(go(&mut t, &all), 0, "repeated changes are void");
    assert!(t.offered.is_none() && t.next.is_none());
}

#[test]
fn a_dropped_offer_leaves_no_trace_and_a_change_based_on_an_earlier_turn_is_void() {
    let mut t = SiteTables::default();
    let (offer, accept) = (
        Change::Offer { table: table(2) },
        Change::Accept { number: 2 },
    );
    assert_eq!(
        go(
            &mut t,
            &[
                offer,
                accept,
                Change::Drop { number: 1 },
                Change::Drop { number: 2 }
            ]
        ),
        3
    );
    assert_eq!(
        (t.offered.is_none(), t.register),
        (true, ActiveTable::default())
    );
    let before = t.clone();
    t.apply(9, 9, t.turn - 1, &Change::Decide { table: table(3) });
    assert_eq!(t, before);
}

#[test]
fn a_pause_is_rolled_back_and_a_hold_takes_precedence_over_it() {
    let mut t = SiteTables::default();
    let back = Change::RollBack {
        silent: "n1".into(),
    };
    go(
        &mut t,
        &[Change::Decide { table: table(4) }, Change::Pause, back],
    );
    assert_eq!(
        (t.register.stance, t.tries, t.register.number),
        (SiteAdmission::Open, 1, 0)
    );
    go(&mut t, &[Change::Pause, Change::Hold]);
    assert_eq!(
        go(&mut t, &[Change::Commit]),
        0,
        "a hold voids the pause: held senders have not confirmed one"
    );
    // The held site catches up by a pause of its own before it admits messages again.
    assert_eq!(go(&mut t, &[Change::Pause, Change::Commit]), 2);
    assert_eq!(
        (t.register.number, t.register.stance),
        (4, SiteAdmission::Open)
    );
    go(&mut t, &[Change::Hold, Change::Resume]);
    assert_eq!(t.register.stance, SiteAdmission::Open);
}

#[test]
fn a_site_that_was_off_the_roster_opens_only_with_the_newest_table() {
    let mut t = SiteTables::default();
    let back = Change::RollBack {
        silent: "n1".into(),
    };
    go(&mut t, &[Change::Decide { table: table(4) }, Change::Hold]);
    assert_eq!(
        go(&mut t, &[Change::Resume, Change::Pause, back.clone()]),
        2,
        "resuming is void while a decided table is not active"
    );
    assert_eq!(
        (t.register.stance, t.register.number),
        (SiteAdmission::LeaseExpired, 0),
        "the rollback returns to the hold that preceded the pause"
    );
    // The site joins again while the others use table 7; the pause for table 4 is void together
    // with that table.
    go(&mut t, &[Change::Pause, Change::Decide { table: table(7) }]);
    assert_eq!(
        go(
            &mut t,
            &[Change::Commit, Change::Decide { table: table(6) }]
        ),
        0
    );
    assert_eq!(go(&mut t, &[Change::Pause, Change::Commit]), 2);
    assert_eq!(
        (t.register.stance, t.register.number),
        (SiteAdmission::Open, 7)
    );
    go(
        &mut t,
        &[Change::Decide { table: table(8) }, Change::Pause, back],
    );
    assert_eq!(t.register.stance, SiteAdmission::Open);
}

#[test]
fn the_end_of_a_lease_only_moves_forward_and_changes_nothing_else() {
    let mut t = SiteTables::default();
    t.apply(1, 0, 7, &Change::Lease { until_ms: 500 });
    t.apply(2, 0, 0, &Change::Lease { until_ms: 300 });
    assert_eq!((t.lease_ms, t.turn), (500, 0));
}
