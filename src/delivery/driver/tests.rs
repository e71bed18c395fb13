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

/// Returns a driver whose endpoint list is stale from the start: no attempts are made, and the
/// dispatcher checks the waiting messages every 50 ms.
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

/// Runs work concurrently with the driver's timer. If one tick wakes both, the work is polled
/// first.
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

/// Guards against a lost wake-up, after which a message gets its final answer too late and its
/// client considers it lost. It was seen in three simulated days of many senders with little
/// traffic each.
///
/// A turn that takes place when a wake-up is due requests the next one. The timer's task, woken in
/// the same tick, took the new wake-up for the old one and discarded it. With a stale list the next
/// one is exactly 50 ms away, and the dispatcher does not repeat a request, so that it slept until
/// the next event. Before the fix, this test waited in vain for twice the message's time.
#[test]
fn a_wake_up_requested_in_the_tick_of_the_previous_one_is_not_lost() {
    let (driver, wheel) = (driver(), TimerWheel::new());
    let mut waiting = driver.submit(message(400 * MS), None);
    let ends_at = Instant::now() + duration(400 * MS);
    let wake_at = driver.state.borrow().wake_at.expect("asked for");

    let order = beside_timer(&driver, &wheel, async {
        wheel.sleep_until(wake_at).await;
        // Another message arrives before the timer's task runs.
        let _other = driver.submit(message(900 * MS), None);
        wheel
            .timeout(duration(800 * MS), waiting.next_order())
            .await
    });

    assert!(order.is_some(), "the dispatcher was not woken");
    assert!(Instant::now() < ends_at, "ended after its deadline");
}
