use crate::coordination::policy_rollout::document::Fault;
use crate::coordination::routing_table::document::sender_check::MAX_LACKS;
use crate::coordination::routing_table::document::*;
use crate::coordination::routing_table::federation::MAX_TEXT_BYTES;
use crate::delivery::endpoint::ZoneCapacity;
use crate::dispatch::routing::RouteKey;

const GOOD: &str = r#"
[site.north]
zones = ["a", "b"]
[site.south]
zones = ["c"]

# Everything at home first.
[[route]]
tiers = [{ north = 6, south = 2 }, { c = 1 }]
[[route]]
dests = [7, "100-199", 200]
classes = ["bulk"]
tiers = [{ south = 1 }]
[[route]]
dests = [9]
nobody = true
"#;

fn faults(text: &str) -> Vec<String> {
    Document::parse(text)
        .expect_err("refused")
        .iter()
        .map(Fault::to_string)
        .collect()
}

fn classes() -> Vec<String> {
    ["quick", "bulk"].map(String::from).into()
}

fn offer(zone: &str, dest: u16) -> ZoneCapacity {
    ZoneCapacity {
        zone: zone.into(),
        dest,
        endpoints: 1,
        rate: 1.0,
    }
}

#[test]
fn all_faults_are_reported_at_once_with_line_and_setting() {
    let text = "speed = 3\n[site.north]\nzones = [\"a\", \"a\"]\n[site.south]\nzones = []\n[site.a]\nzones = [\"b\"]\nat = 1\n\
                [[route]]\ntiers = [{ north = 1, a = 1 }, {}, { east = 0 }]\n\
                [[route]]\nnobody = true\ntiers = [{ north = 1 }]\n\
                [[route]]\ndests = [70000, \"9-3\"]\ntiers = [{ north = \"x\" }]\n\
                [[route]]\nclasses = []\n\
                [[route]]\ndests = [1, \"5-8\"]\ntiers = [{ b = 1 }]\n\
                [[route]]\ndests = [\"8-9\"]\ntiers = [{ b = 20000 }]\n";
    let told = faults(text);
    for named in [
        "line 1: speed: unknown setting",
        "line 3: site.north.zones: a is listed twice",
        "line 5: site.south.zones: length is lower than 1",
        "line 6: site.a: is the name of a zone as well",
        "line 8: site.a.at: unknown field",
        "line 10: route[0].tiers[0].north: zone a is listed twice in this tier",
        "line 10: route[0].tiers[1]: length is lower than 1",
        "line 10: route[0].tiers[2].east: 0 is not from 1 to 10000",
        "line 10: route[0].tiers[2].east: is neither a site nor a zone",
        "line 13: route[1].tiers[0].north: zone a is listed twice",
        "line 11: route[1]: all messages: route[0] (line 9) matches it as well",
        "line 13: route[1].tiers: cannot stand beside nobody",
        "line 15: route[2].dests: invalid value: integer `70000`",
        "line 16: route[2].tiers[0].north: invalid type",
        "line 18: route[3].classes: names none",
        "line 17: route[3].tiers: are none",
        "line 22: route[5]: destination 8: route[4] (line 19) matches it as well",
        "line 24: route[5].tiers[0].b: 20000 is not from 1 to 10000",
    ] {
        assert!(
            told.iter().any(|t| t.starts_with(named)),
            "{named}: {told:#?}"
        );
    }
    assert_eq!(told.len(), 18, "{told:#?}");
    assert!(faults("")[0].contains("list_alone = true"));
    assert!(faults("route = []\n")[0].contains("list_alone = true"));
    assert_eq!(
        faults(&format!("list_alone = true\n{GOOD}")),
        ["line 1: list_alone: cannot be combined with routes"]
    );
    assert!(faults(&" ".repeat(MAX_TEXT_BYTES + 1))[0].contains("may be"));
}

#[test]
fn texts_that_mean_the_same_have_one_digest() {
    let one = Document::parse(GOOD).expect("good");
    let other = "site.south.zones = ['c']\nsite.north.zones = ['b', 'a']\n\
                 route = [{ dests = ['9-9'], nobody = true },\n\
                 { classes = ['bulk', 'bulk'], dests = [200, '150-199', '100-170', 7], tiers = [{ south = 5 }] },\n\
                 { tiers = [{ south = 1, north = 3 }, { c = 7 }] }]\n";
    let other = Document::parse(other).expect("good");
    assert_eq!(
        (one.canonical(), one.digest(), one.diff(&other)),
        (other.canonical(), other.digest(), vec![])
    );
    let third = GOOD
        .replace("nobody = true", "tiers = [{ a = 1 }]")
        .replace("classes = [\"bulk\"]\n", "");
    let third = Document::parse(&third).expect("good");
    let changed = one.diff(&third);
    let changed: Vec<(&str, bool, bool)> = changed
        .iter()
        .map(|(n, a, b)| (n.as_str(), a.is_some(), b.is_some()))
        .collect();
    let bulk = "route for destinations 7 100-200, classes bulk";
    let all = [
        ("route for destinations 7 100-200", false, true),
        (bulk, true, false),
        ("route for destinations 9", true, true),
    ];
    assert_eq!(changed, all);
    // The digest must never change: senders and replicas of different versions compare it.
    assert_eq!(
        data_encoding::HEXLOWER.encode(&one.digest()),
        "b6f588e79b099c5571ab1ced61af9c77570e15e2989dcd0d27753f6811815bb3"
    );
}

#[test]
fn a_sender_reports_every_reason_why_it_cannot_use_a_table() {
    let table = Document::parse(GOOD).expect("good");
    let offers = [offer("a", 7), offer("c", 7), offer("c", 100), offer("z", 9)];
    assert_eq!(table.lacks(&classes(), 0, &offers), Vec::<String>::new());
    let offers = [
        offer("a", 7),
        offer("b", 100),
        offer("d", 100),
        offer("d", 3),
    ];
    let lacks = [
        "destination 3, class quick: its route in line 8 goes to zone a b c, and it is listed in zone d alone",
        "destination 3, class bulk: its route in line 8 goes to zone a b c, and it is listed in zone d alone",
        "destination 7, class bulk: its route in line 10 goes to zone c, and it is listed in zone a alone",
        "destination 100, class bulk: its route in line 10 goes to zone c, and it is listed in zone b d alone",
    ];
    assert_eq!(table.lacks(&classes(), 1, &offers), lacks);
    let text = "[site.n]\nzones = [\"a\"]\n[[route]]\ndests = [1]\nclasses = [\"odd\"]\nnobody = true\n\
                [[route]]\ndests = [1]\nclasses = [\"quick\"]\ntenants = [1, 4]\ntiers = [{ n = 1 }]\n";
    let narrow = Document::parse(text).expect("good as such");
    let lacks = [
        "its route in line 7: this sender has no tenant 4",
        "its route in line 3: this sender has no class odd",
        "destination 1, class quick, tenant 0 2: no route, and it is listed in zone a",
        "destination 1, class bulk: no route, and it is listed in zone a",
    ];
    let mut told = narrow.lacks(&classes(), 3, &[offer("a", 1)]);
    told.sort_by_key(|line| lacks.iter().position(|l| l == line));
    assert_eq!(told, lacks);
    let many: Vec<ZoneCapacity> = (10..200).map(|dest| offer("d", dest)).collect();
    assert_eq!(table.lacks(&classes(), 1, &many).len(), MAX_LACKS);
    // A table that routes by the endpoint list alone lacks nothing anywhere.
    let alone = Document::parse("list_alone = true\n").expect("good");
    assert!(alone.lacks(&classes(), 1, &many).is_empty() && alone.routes(&classes(), 1).is_empty());
}

#[test]
fn a_table_is_compiled_for_the_classes_of_a_sender() {
    let routes = Document::parse(GOOD).expect("good").routes(&classes(), 1);
    let goes = |dest, class| {
        let message = RouteKey {
            dest,
            class,
            tenant: 0,
            draw: 0.9,
        };
        let mut goes: Vec<(u16, &str)> = routes
            .zones()
            .iter()
            .enumerate()
            .filter_map(|(n, zone)| Some((routes.rank(&message, n as u16)?, zone.as_str())))
            .collect();
        goes.sort();
        goes
    };
    assert_eq!(goes(1, 0), [(0, "c"), (2, "a"), (2, "b")]);
    assert_eq!(
        (goes(7, 0).len(), goes(7, 1), goes(150, 3), goes(9, 0)),
        (3, vec![(0, "c")], vec![(0, "c")], vec![])
    );
}
