use super::*;

const MS: Duration = Duration::from_millis(1);

/// Messages that are made up, by when in milliseconds they were handed in, answered and called.
struct Made {
    begun: Instant,
    rules: Rules,
    lives: BTreeMap<String, Life>,
}

impl Made {
    fn new() -> Made {
        let mut rules = Rules::default();
        for (sender, zone) in [("n0", "a"), ("n1", "b"), ("n2", "a")] {
            rules.stands(sender, zone);
        }
        ["p1", "p2"].iter().for_each(|p| rules.may_follow(p));
        Made {
            begun: Instant::now(),
            rules,
            lives: BTreeMap::new(),
        }
    }

    fn at(&self, ms: u32) -> Instant {
        self.begun + ms * MS
    }

    fn takes(
        &mut self,
        by: &str,
        id: &str,
        stamp: &str,
        handed: u32,
        answered: Option<u32>,
        called: u32,
    ) {
        let begun = self.begun;
        let at = |ms| begun + ms * MS;
        let life = self.lives.entry(id.into()).or_default();
        (life.taken_on, life.by) = (answered.is_some(), by.into());
        (life.handed_at, life.answered_at) = (Some(at(handed)), answered.map(at));
        life.stamps = vec![(at(called), stamp.to_string())];
    }

    fn told(&self) -> Vec<String> {
        self.rules.breaches(&self.lives)
    }
}

#[test]
fn two_policies_in_a_zone_are_seen_whoever_took_on_and_whoever_heard() {
    let mut made = Made::new();
    made.takes("n0", "m1", "0", 0, Some(5), 10);
    made.takes("n2", "m2", "p1", 10, Some(20), 30);
    made.takes("n0", "m3", "0", 19, Some(300), 400);
    made.takes("n1", "m4", "0", 50, Some(60), 70);
    assert_eq!(
        made.told(),
        [""; 0],
        "begun before it was heard; another zone"
    );
    made.takes("n0", "m5", "0", 21, None, 400);
    let told = made.told();
    assert!(
        told.len() == 1 && told[0].contains("n0 takes m5 on under 0 in a"),
        "{told:?}"
    );
    made.lives.remove("m5");
    // Nobody heard of it, and yet an endpoint saw it.
    made.takes("n0", "m6", "p2", 40, None, 50);
    made.takes("n2", "m7", "p1", 51, Some(60), 70);
    assert_eq!(made.told().len(), 1);
    made.takes("n2", "m7", "p9", 51, Some(60), 70);
    assert_eq!(made.told().len(), 1, "a stamp that nobody gave");
}

#[test]
fn a_policy_that_comes_back_is_no_breach_until_the_other_does() {
    let mut made = Made::new();
    made.rules.may_follow("p1");
    for (n, stamp) in ["0", "p1", "p2", "p1"].iter().enumerate() {
        let at = 100 * n as u32;
        made.takes("n0", &format!("m{n}"), stamp, at, Some(at + 1), at + 2);
    }
    assert_eq!(made.told(), [""; 0]);
    made.takes("n2", "m9", "p2", 400, Some(410), 420);
    assert_eq!(made.told().len(), 1);
}

#[test]
fn a_stamp_where_it_never_came_is_seen() {
    let mut made = Made::new();
    made.rules.only_in("p1", &["a".into()]);
    made.rules.only_in("p2", &[]);
    made.takes("n0", "m1", "p1", 0, Some(1), 2);
    assert_eq!(made.told(), [""; 0]);
    made.takes("n1", "m2", "p1", 0, Some(1), 2);
    made.takes("n0", "m3", "p2", 10, None, 12);
    let told = made.told();
    assert!(
        told.len() == 2 && told.iter().all(|t| t.contains("never came to")),
        "{told:?}"
    );
}

#[test]
fn a_message_that_is_repeated_under_another_policy_is_seen() {
    let mut made = Made::new();
    made.takes("n0", "m1", "0", 0, Some(1), 2);
    let (again, later) = (made.at(50), made.at(90));
    let repeat = |made: &mut Made, at, stamp: &str| {
        made.lives
            .get_mut("m1")
            .expect("taken on")
            .stamps
            .push((at, stamp.into()));
    };
    repeat(&mut made, again, "0");
    assert_eq!(made.told(), [""; 0]);
    repeat(&mut made, later, "p1");
    let told = made.told();
    assert!(
        told.len() == 1 && told[0].contains("sends m1 under p1, taken on under 0"),
        "{told:?}"
    );
}

#[test]
fn a_sender_that_takes_on_without_a_lease_is_seen() {
    let mut made = Made::new();
    made.rules.lease(100 * MS);
    let (cut, back) = (made.at(0), made.at(500));
    made.rules.cut(["n0"], true, cut);
    made.rules.cut(["n0"], true, back);
    made.takes("n0", "m1", "0", 90, Some(95), 300);
    made.takes("n1", "m2", "0", 300, Some(301), 302);
    // Its client waits until the sender is back.
    made.takes("n0", "m3", "0", 450, Some(510), 520);
    assert_eq!(
        made.told().len(),
        1,
        "it is cut off for good as far as is known"
    );
    made.rules.cut(["n0"], false, back);
    assert_eq!(made.told(), [""; 0]);
    made.takes("n0", "m4", "0", 200, Some(201), 202);
    made.takes("n0", "m5", "0", 200, None, 300);
    let told = made.told();
    assert!(
        told.len() == 2 && told[0].contains("heard no keeper for 200ms"),
        "{told:?}"
    );
}

#[test]
fn endpoints_fail_what_they_are_told_to_and_from_then_on() {
    let mut made = Made::new();
    made.rules.fail("p1", 100 * MS, true);
    let (now, later) = (made.at(0), made.at(100));
    let mut fails = |stamp: &str, id: &str, at| made.rules.fails(stamp, id, at);
    assert!(!fails("p1", "r1", now), "too soon");
    assert!(fails("p1", "r2", later) && !fails("p1", "m3", later) && !fails("p2", "r4", later));
}

#[test]
fn waits_around_a_switch_are_told() {
    let mut made = Made::new();
    made.takes("n0", "m1", "0", 0, Some(10), 12);
    made.takes("n2", "m2", "p1", 20, Some(90), 95);
    made.takes("n0", "m3", "p1", 50, Some(80), 85);
    made.takes("n0", "m4", "p1", 200, Some(203), 205);
    made.takes("n1", "m5", "0", 50, Some(350), 360);
    let switches = made.rules.switches(&made.lives);
    let [switch] = switches.as_slice() else {
        panic!("one: {switches:?}")
    };
    assert_eq!(
        (switch.zone.as_str(), switch.to.as_str(), switch.quiet_ms),
        ("a", "p1", 70)
    );
    assert_eq!((switch.longest_ms, switch.refused), (70, 0));
    assert_eq!(switch.waits, [70 * MS, 30 * MS]);
    let unheard = made.lives.entry("m6".into()).or_default();
    (unheard.by, unheard.handed_at) = ("n0".into(), Some(made.begun + 60 * MS));
    assert_eq!(made.rules.switches(&made.lives)[0].refused, 1);
}
