use crate::coordination::zones::spare_capacity::*;

fn line(zone: &str, dest: u16, rate: f32) -> Listed {
    Listed {
        zone: zone.into(),
        dest,
        endpoints: 2,
        rate,
    }
}

#[test]
fn one_list_that_lies_moves_nothing() {
    let mut lists = Lists::default();
    for id in 0..4 {
        lists.tell(id, &[line("a", 1, 10.0), line("b", 1, 10.0)]);
    }
    lists.tell(9, &[line("a", 1, 1e9), line("x", 1, 1e9)]);
    lists.settle();
    assert_eq!(lists.route("a", 1).map(|r| r.rate), Some(10.0));
    assert_eq!((lists.count("b"), lists.count("x")), (1, 0));
    (0..4).for_each(|id| lists.part(id));
    lists.settle();
    assert_eq!((lists.count("x"), lists.kept), (1, 2));
}

#[test]
fn no_more_leaves_than_the_rest_has_room_for() {
    let rules = Rules::default();
    let rest = Rest {
        rate: 20.0,
        carried: 8.0,
        ..Rest::default()
    };
    assert_eq!(bearable(&rules, 10.0, &[]), 0.0);
    assert_eq!(bearable(&rules, 10.0, &[rest]), 1.0);
    assert_eq!(bearable(&rules, 20.0, &[rest]), 0.5);
    assert_eq!(
        bearable(
            &rules,
            10.0,
            &[Rest {
                refused: 0.5,
                ..rest
            }]
        ),
        0.0
    );
    assert_eq!(bearable(&rules, 10.0, &[Rest { out: 1.0, ..rest }]), 0.0);
    assert_eq!(
        bearable(
            &rules,
            10.0,
            &[
                Rest {
                    fails: true,
                    ..rest
                },
                rest
            ]
        ),
        1.0
    );
    assert_eq!(bearable(&rules, 1e6, &[Rest { rate: 0.0, ..rest }]), 1.0);
}
