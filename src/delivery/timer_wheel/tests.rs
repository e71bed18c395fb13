//! Sleeps in real time, and slots of the wheel without a clock.

use super::*;

fn on_wheel<T>(work: impl Future<Output = T>, wheel: &TimerWheel) -> T {
    let running = async {
        wheel.run().await;
        unreachable!("the wheel runs forever")
    };
    async_io::block_on(work.or(running))
}

#[test]
fn sleeps_end_in_order_and_never_early() {
    let wheel = TimerWheel::new();
    let start = Instant::now();
    let sleep_checked = |ms: u64| {
        let sleep = wheel.sleep(Duration::from_millis(ms));
        async move {
            sleep.await;
            assert!(start.elapsed() >= Duration::from_millis(ms));
            ms
        }
    };
    on_wheel(
        async {
            let (long, short) = (sleep_checked(60), sleep_checked(12));
            assert_eq!(long.or(short).await, 12);
            assert_eq!(sleep_checked(30).await, 30);
        },
        &wheel,
    );
}

#[test]
fn a_sleep_longer_than_a_round_waits_for_its_own_round() {
    let mut slots = Slots::new();
    slots.insert(SLOT_COUNT + 3, Waker::noop().clone());
    assert_eq!(slots.find_next_stop(), Some(SLOT_COUNT));
    assert!(slots.advance(3).is_empty() && slots.advance(SLOT_COUNT).is_empty());
    assert_eq!(slots.find_next_stop(), Some(SLOT_COUNT + 3));
    assert_eq!(slots.advance(SLOT_COUNT + 3).len(), 1);
    assert_eq!(slots.find_next_stop(), None);
}

#[test]
fn a_wheel_delayed_by_several_rounds_wakes_all_due_sleepers() {
    let mut slots = Slots::new();
    for tick in [1, 7, SLOT_COUNT + 1, 2 * SLOT_COUNT] {
        slots.insert(tick, Waker::noop().clone());
    }
    assert_eq!(slots.advance(3 * SLOT_COUNT).len(), 4);
}

#[test]
fn the_offset_of_a_year_of_ticks_does_not_overflow() {
    assert_eq!(
        tick_offset(200 * 86_400 * 366),
        Duration::from_secs(86_400 * 366)
    );
}

#[test]
fn a_dropped_sleep_is_removed_from_the_wheel() {
    let wheel = TimerWheel::new();
    on_wheel(wheel.timeout(Duration::from_secs(60), async {}), &wheel).expect("work ends first");
    assert_eq!(wheel.slots.borrow().find_next_stop(), None);
}
