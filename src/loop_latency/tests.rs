use super::*;

#[test]
fn the_summary_has_the_number_of_turns_and_the_longest() {
    let latency = LoopLatency::default();
    let work = async {
        futures_lite::future::yield_now().await;
        std::thread::sleep(Duration::from_millis(20));
        7
    };
    assert_eq!(async_io::block_on(latency.measure(work)), 7);
    let summary = latency.summary();
    assert!(summary.starts_with("turns=2 "), "{summary}");
    let longest: u64 = summary
        .split("longest=")
        .nth(1)
        .and_then(|t| t.split(' ').next()?.parse().ok())
        .expect("a figure");
    assert!(longest >= 19_800, "{summary}");
    latency.record(2 * MAX_TURN);
    assert!(
        latency.summary().contains("turns=3"),
        "a turn beyond the upper bound is counted as well"
    );
}
