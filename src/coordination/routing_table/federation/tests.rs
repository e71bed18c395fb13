use crate::coordination::routing_table::federation::*;

fn propose(key: u64) -> Command {
    let (by, text) = ("n".into(), format!("# {key}"));
    Command::Propose {
        by,
        key,
        text,
        digest: [key as u8; 32],
        within_ms: 1_000,
    }
}

fn go(f: &mut Federation, commands: &[Command]) {
    for command in commands {
        f.apply(f.version + 1, command);
    }
}

fn of(sites: u64) -> Federation {
    let mut f = Federation::default();
    (1..=sites).for_each(|site| {
        go(
            &mut f,
            &[Command::Join {
                site,
                name: format!("s{site}"),
            }],
        )
    });
    f
}

fn accept(site: u64, number: u64) -> Command {
    Command::Accept { site, number }
}

fn cut_over(site: u64, number: u64) -> Command {
    Command::CutOver { site, number }
}

#[test]
fn the_last_acceptance_decides_and_the_next_proposal_waits_until_all_sites_cut_over() {
    let mut f = of(3);
    go(
        &mut f,
        &[
            propose(1),
            propose(2),
            accept(1, 1),
            accept(2, 1),
            accept(2, 1),
            accept(9, 1),
        ],
    );
    assert_eq!(
        (f.table.number, f.proposal.as_ref().map(|p| p.table.number)),
        (0, Some(1))
    );
    go(&mut f, &[cut_over(1, 1), accept(3, 1)]);
    assert_eq!(
        (f.table.number, f.sites[&1].uses, f.past[0].end.as_str()),
        (1, 0, DECIDED)
    );
    go(&mut f, &[cut_over(1, 1), cut_over(2, 1), propose(3)]);
    assert!(f.proposal.is_none() && f.check_proposal("").unwrap_err().to_string().contains("s3"));
    // A late copy of a proposal that was already decided does not propose it again.
    go(&mut f, &[cut_over(3, 1), propose(1)]);
    assert!(f.proposal.is_none());
    go(&mut f, &[propose(4), accept(1, 2)]);
    assert_eq!(f.text(2).map(|t| t.text.as_str()), Some("# 4"));
}

#[test]
fn a_refusal_the_deadline_an_abort_or_a_roster_change_ends_a_proposal_undecided() {
    let ends = [
        Command::Refuse {
            site: 2,
            number: 1,
            why: "no".into(),
        },
        Command::Beat {
            term: 1,
            beat: 1,
            ms: 1_000,
        },
        Command::Abort {
            number: 1,
            why: "a person's word".into(),
        },
        Command::Off { site: 2 },
        Command::Join {
            site: 7,
            name: "s7".into(),
        },
    ];
    for end in ends {
        let mut f = of(2);
        go(
            &mut f,
            &[
                propose(1),
                accept(1, 1),
                end.clone(),
                accept(1, 1),
                accept(2, 1),
            ],
        );
        assert!(
            f.proposal.is_none() && f.table == RoutingTable::default(),
            "{end:?}"
        );
        assert_ne!(f.past[0].end, DECIDED);
    }
    let mut f = of(2);
    go(
        &mut f,
        &[
            propose(1),
            Command::Abort {
                number: 2,
                why: String::new(),
            },
        ],
    );
    go(
        &mut f,
        &[Command::Refuse {
            site: 9,
            number: 1,
            why: String::new(),
        }],
    );
    assert!(
        f.proposal.is_some(),
        "neither another number nor a site that is not on the roster ends it"
    );
}

#[test]
fn a_site_number_is_used_once_and_a_joining_site_cuts_over_before_the_next_proposal() {
    let mut f = of(2);
    go(
        &mut f,
        &[
            propose(1),
            accept(1, 1),
            accept(2, 1),
            cut_over(1, 1),
            cut_over(2, 1),
        ],
    );
    go(
        &mut f,
        &[
            Command::Off { site: 2 },
            Command::Join {
                site: 2,
                name: "s2".into(),
            },
        ],
    );
    assert!(!f.sites.contains_key(&2));
    go(
        &mut f,
        &[
            Command::Join {
                site: 3,
                name: "s2".into(),
            },
            propose(2),
        ],
    );
    assert!(f.sites.contains_key(&3) && f.proposal.is_none());
    go(&mut f, &[cut_over(3, 1), propose(3)]);
    assert!(f.proposal.is_some());
}

#[test]
fn texts_reasons_and_lists_of_the_record_are_bounded() {
    let mut f = of(1);
    let long = Command::Propose {
        by: "n".into(),
        key: 1,
        text: "x".repeat(MAX_TEXT_BYTES + 1),
        digest: [0; 32],
        within_ms: 1,
    };
    go(&mut f, &[long]);
    assert!(f.proposal.is_none());
    for key in 0..80 {
        go(
            &mut f,
            &[
                propose(key),
                Command::Abort {
                    number: key + 1,
                    why: "w".repeat(50),
                },
            ],
        );
    }
    assert_eq!((f.past.len(), f.given), (MAX_PAST_PROPOSALS, 80));
    for key in 80..100 {
        go(
            &mut f,
            &[
                propose(key),
                Command::Abort {
                    number: key + 1,
                    why: "w".repeat(5_000),
                },
            ],
        );
    }
    assert_eq!(
        (f.past.len(), f.past[0].end.len()),
        (MAX_REASONS_BYTES / MAX_REASON_BYTES, MAX_REASON_BYTES)
    );
    for site in 2..1_200 {
        go(
            &mut f,
            &[
                Command::Join {
                    site,
                    name: "s".into(),
                },
                Command::Off { site },
            ],
        );
    }
    assert_eq!(
        (
            f.off.len(),
            f.check_join(2, "s").is_err(),
            f.check_join(1_200, "s")
        ),
        (MAX_REMOVED_SITES, true, Ok(()))
    );
}
