//! Messages that arrive while the admission state changes.

use super::*;
use async_executor::LocalExecutor;

/// Result of one run.
struct Run {
    /// Number and result of each message, in the order in which the results were known.
    results: Vec<(usize, Result<Admitted, AdmissionClosed>)>,
    took: Duration,
}

impl Run {
    fn all_are(&self, expected: Result<Admitted, AdmissionClosed>) -> bool {
        self.results.iter().all(|(_, result)| *result == expected)
    }
}

/// Lets `count` messages arrive at once, and changes the state at each of the given times, in
/// milliseconds.
fn run(
    state: AdmissionState,
    count: usize,
    max_waiting: usize,
    changes: &[(u64, AdmissionState)],
) -> Run {
    let executor = LocalExecutor::new();
    let wheel = TimerWheel::new();
    let admission = Rc::new(Admission::default());
    admission.set(state);
    let results = Rc::new(RefCell::new(Vec::new()));
    let started_at = Instant::now();
    let running_wheel = wheel.clone();
    executor
        .spawn(async move { running_wheel.run().await })
        .detach();
    let tasks: Vec<_> = (0..count)
        .map(|n| {
            let (admission, wheel, results) = (admission.clone(), wheel.clone(), results.clone());
            executor.spawn(async move {
                let result = admission.wait_for_turn(&wheel, max_waiting).await;
                results.borrow_mut().push((n, result));
            })
        })
        .collect();
    let (changed_admission, changes) = (admission.clone(), changes.to_vec());
    executor
        .spawn(async move {
            for (ms, state) in changes {
                wheel
                    .sleep_until(started_at + Duration::from_millis(ms))
                    .await;
                changed_admission.set(state);
            }
        })
        .detach();
    async_io::block_on(executor.run(async {
        for task in tasks {
            task.await;
        }
    }));
    assert_eq!(admission.waiting(), 0);
    let results = results.borrow().clone();
    Run {
        results,
        took: started_at.elapsed(),
    }
}

#[test]
fn messages_wait_through_a_pause_in_order_and_none_waits_otherwise() {
    let open = AdmissionState::Open { until: None };
    let paused = AdmissionState::Paused;
    let in_order: Vec<_> = (0..50).map(|n| (n, Ok(Admitted::AfterWaiting))).collect();
    let waited = run(paused, 50, 100, &[(40, paused), (80, open)]);
    assert_eq!(waited.results, in_order);
    for (state, expected) in [
        (AdmissionState::Standalone, Ok(Admitted::AtOnce)),
        (open, Ok(Admitted::AtOnce)),
        (AdmissionState::Fenced, Err(AdmissionClosed::Fenced)),
    ] {
        let run = run(state, 3, 100, &[]);
        assert!(
            run.all_are(expected) && run.took < MAX_WAIT / 2,
            "{state:?} {:?} {:?}",
            run.results,
            run.took
        );
    }
}

#[test]
fn a_long_pause_rejects_in_time_and_a_full_queue_rejects_at_once() {
    let run = run(AdmissionState::Paused, 5, 3, &[]);
    assert!(
        run.all_are(Err(AdmissionClosed::Paused)),
        "{:?}",
        run.results
    );
    let first: Vec<usize> = run.results[..2].iter().map(|(n, _)| *n).collect();
    assert_eq!(first, [3, 4]);
    assert!(
        run.took >= MAX_WAIT && run.took < MAX_WAIT + Duration::from_millis(90),
        "{:?}",
        run.took
    );
}

#[test]
fn an_expired_lease_fences_arriving_and_waiting_messages() {
    let over = AdmissionState::Open {
        until: Some(Instant::now()),
    };
    assert!(run(over, 2, 9, &[]).all_are(Err(AdmissionClosed::Fenced)));
    let waiting = run(
        AdmissionState::Paused,
        3,
        9,
        &[(30, AdmissionState::Fenced)],
    );
    assert!(
        waiting.all_are(Err(AdmissionClosed::Fenced)) && waiting.took < MAX_WAIT / 2,
        "{:?}",
        waiting.results
    );
}
