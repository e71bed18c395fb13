use super::*;

/// Guards against a process that ended by itself and is taken for one that an event ended later:
/// its end was no crash then, and requests that ended with it had no explanation.
#[test]
fn an_event_after_a_process_ended_by_itself_hides_neither_its_end_nor_its_moment() {
    let stage = Stage::on(ground(), ASK, |_| false).expect("a stage");
    let plan = plan(Path::new("/bin/false"), 1);
    let mut process = new_process(&plan, &stage, 0).expect("started");
    let started_at = process.alive_at;
    let patience = Instant::now() + Duration::from_secs(10);
    while process.sender.status().is_none() {
        assert!(Instant::now() < patience, "it never ends");
        thread::sleep(LOOK);
    }
    let terminate = Event::Terminate { times: 1 };
    process.does(&terminate, &stage).expect("done");
    let begun_at: Vec<Instant> = process.restarts.iter().map(|r| r.begun_at).collect();
    assert_eq!((process.crashes.len(), begun_at), (1, vec![started_at]));
}
