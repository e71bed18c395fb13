use super::*;

#[test]
fn each_turn_is_counted_and_the_longest_is_in_the_summary() {
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
        "one beyond the bound counts, too"
    );
}
