//! Wake-ups of the dispatcher, on a timer wheel in real time.

use super::*;
use crate::{Class, DedupScope, Effect, RestartState, Settings};
use futures_lite::Future;

const MS: Nanos = 1_000_000;

struct NoEffects;

impl DriverEffects for NoEffects {
    fn close_idle(&self, _: &Endpoint) {}
    fn watch_list(&self) {}
}

/// A driver whose endpoint list is too old from the start: nothing is attempted, and the dispatcher
/// looks at what waits every 50 ms.
fn driver() -> Rc<DispatcherDriver> {
    let class = Class {
        latency_objective: 500 * MS,
        deadline: 1_000 * MS,
        effect: Effect::Idempotent,
        dedup_scope: DedupScope::All,
        dedup_window: 0,
        priority_weight: 1.0,
        late_weight: 0.5,
        ordered_by_key: false,
    };
    let settings = Settings {
        classes: vec![class],
        max_in_flight_calls: 2,
        max_held_messages: 10,
        max_attempts: 2,
        poll_list: true,
        poll_deadline: 1_000 * MS,
        restart_state: RestartState {
            remaining_freshness: Some(0),
            ..RestartState::default()
        },
        ..Settings::default()
    };
    let dispatcher = Dispatcher::new(settings, 7).expect("settings that can be used");
    let directory = Rc::new(EndpointDirectory::new(&[], &[], &[]));
    DispatcherDriver::new(dispatcher, directory, Rc::new(NoEffects))
}

fn message(time_left: Nanos) -> Message {
    Message {
        ttl: time_left,
        ..Message::default()
    }
}

/// Runs work beside the driver's timer. Whatever one tick wakes, the work is polled first.
fn beside_timer<T>(
    driver: &DispatcherDriver,
    wheel: &Rc<TimerWheel>,
    work: impl Future<Output = T>,
) -> T {
    let timers = async {
        future::zip(driver.run_timer(wheel), wheel.run()).await;
        unreachable!("timers run for ever")
    };
    async_io::block_on(work.or(timers))
}

/// A message was accepted, no attempt was made, and its final answer came only after its time: its
/// client took it for lost. Seen on three days of many senders with little traffic each.
///
/// A turn that comes when a wake-up is due asks for the next one. The timer's task, woken in the same
/// tick, took the new wake-up for the old one and dropped it. With a list that is too old the next
/// one is exactly 50 ms away, and the dispatcher does not ask again for what it has asked for: from
/// then on it slept until something else happened. Shown by this test, which waited in vain for
/// twice the message's time.
#[test]
fn a_wake_up_requested_in_the_tick_of_the_previous_one_is_not_lost() {
    let (driver, wheel) = (driver(), TimerWheel::new());
    let mut waiting = driver.submit(message(400 * MS), None);
    let ends_at = Instant::now() + duration(400 * MS);
    let wake_at = driver.state.borrow().wake_at.expect("asked for");

    let order = beside_timer(&driver, &wheel, async {
        wheel.sleep_until(wake_at).await;
        // Another message comes before the timer has its turn.
        let _other = driver.submit(message(900 * MS), None);
        wheel
            .timeout(duration(800 * MS), waiting.next_order())
            .await
    });

    assert!(order.is_some(), "nobody woke the dispatcher for it");
    assert!(Instant::now() < ends_at, "given up after its time");
}
