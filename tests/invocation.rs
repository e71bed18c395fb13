//! The core alone, between an invoker and a front of this file: what a message leaves in the
//! journal.

use async_executor::LocalExecutor;
use futures_lite::future;
use raildeal::admission_control::message_limits::Limits;
use raildeal::config::Door;
use raildeal::delivery::admission::AdmissionState as Gate;
use raildeal::delivery::client_quota::{Client, ClientQuotas};
use raildeal::delivery::driver::{DispatcherDriver, DriverEffects};
use raildeal::delivery::endpoint::{Endpoint, EndpointEntry, EndpointListUpdate};
use raildeal::delivery::endpoint_directory::EndpointDirectory;
use raildeal::delivery::journal::{Durability, Journal, JournalOptions, MessageRecord, OpenRecord};
use raildeal::delivery::message::{receive, resume, ClientReply, DeliveryContext};
use raildeal::delivery::policies::PolicySet;
use raildeal::delivery::timer_wheel::TimerWheel;
use raildeal::delivery::{
    AttemptReport, AttemptRequest, EndpointClient, Envelope, Frontend, LocalBoxFuture, Verdict,
};
use raildeal::dispatch::routing::{RouteSpec, Routes, WeightedZones};
use raildeal::store::faulty::FaultyDisk;
use raildeal::{
    Class, Condition, DedupScope, DestinationKind, Dispatcher, Effect, Outcome, Settings,
};
use std::any::Any;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::fs;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const SEC: u64 = 1_000_000_000;

/// What happens while the first connection comes up.
type Meanwhile = fn(&DispatcherDriver, &EndpointDirectory, &Endpoint);
type Happens = Box<dyn Fn(&DispatcherDriver, &EndpointDirectory, &Endpoint)>;

/// Answers calls from a list.
struct Answers {
    left: RefCell<VecDeque<Outcome>>,
    /// Zone of each call, and whether it was let go.
    went: RefCell<Vec<(String, bool)>>,
    meanwhile: RefCell<Option<Happens>>,
    driver: Rc<DispatcherDriver>,
    directory: Rc<EndpointDirectory>,
}

impl EndpointClient for Answers {
    fn execute<'a>(&'a self, call: AttemptRequest<'a>) -> LocalBoxFuture<'a, AttemptReport> {
        Box::pin(async move {
            if let Some(meanwhile) = self.meanwhile.borrow_mut().take() {
                meanwhile(&self.driver, &self.directory, &call.endpoint);
            }
            let went = (call.authorize_send)();
            self.went
                .borrow_mut()
                .push((call.endpoint.entry.zone.clone(), went));
            let outcome = if went {
                self.left.borrow_mut().pop_front()
            } else {
                Some(Outcome::NotSent)
            };
            outcome.expect("no more calls than answers").into()
        })
    }

    fn close_idle(&self, _: &Endpoint) {}
}

struct Idle;

impl DriverEffects for Idle {
    fn close_idle(&self, _: &Endpoint) {}
    fn watch_list(&self) {}
}

/// What final answers there were, and what happens as a message gets its name: before it is written
/// down.
#[derive(Default)]
struct Told(RefCell<Vec<Verdict>>, RefCell<Option<Box<dyn Fn()>>>);

impl Frontend for Told {
    fn send_final_answer<'a>(
        &'a self,
        _: &'a Envelope,
        verdict: Verdict,
    ) -> LocalBoxFuture<'a, ()> {
        self.0.borrow_mut().push(verdict);
        Box::pin(async {})
    }

    fn pending_answer_guard(&self, _: &Envelope) -> Option<Box<dyn Any>> {
        self.1.borrow().iter().for_each(|happens| happens());
        None
    }
}

/// Notes what a client hears.
struct Says(Rc<RefCell<Vec<&'static str>>>);

impl ClientReply for Says {
    fn accepted<'a>(self: Box<Self>) -> LocalBoxFuture<'a, io::Result<()>> {
        self.0.borrow_mut().push("taken on");
        Box::pin(async { Ok(()) })
    }
    fn rejected<'a>(self: Box<Self>, _: Duration) -> LocalBoxFuture<'a, ()> {
        self.0.borrow_mut().push("rejected");
        Box::pin(async {})
    }
    fn failed<'a>(self: Box<Self>) -> LocalBoxFuture<'a, ()> {
        self.0.borrow_mut().push("failed");
        Box::pin(async {})
    }
}

struct Yes;

impl ClientReply for Yes {
    fn accepted<'a>(self: Box<Self>) -> LocalBoxFuture<'a, io::Result<()>> {
        Box::pin(async { Ok(()) })
    }
    fn rejected<'a>(self: Box<Self>, _: Duration) -> LocalBoxFuture<'a, ()> {
        panic!("rejected")
    }
    fn failed<'a>(self: Box<Self>) -> LocalBoxFuture<'a, ()> {
        panic!("failed")
    }
}

fn settings() -> Settings {
    let class = Class {
        latency_objective: 3 * SEC,
        deadline: 16 * SEC,
        effect: Effect::IdempotentWithKey,
        dedup_scope: DedupScope::Zone,
        dedup_window: 10 * SEC,
        priority_weight: 1.0,
        late_weight: 0.5,
        ordered_by_key: false,
    };
    let kinds = vec![DestinationKind {
        separate_routes: true,
        max_batch: 1,
    }];
    Settings {
        classes: vec![class],
        kinds,
        senders: 1,
        max_in_flight_calls: 8,
        max_held_messages: 20,
        max_attempts: 12,
        ..Settings::default()
    }
}

/// A house on a folder, whose providers give these answers, and what it is made of.
fn context(
    folder: &TempDir,
    setup: JournalOptions,
    answers: &[Outcome],
    meanwhile: Option<Meanwhile>,
    executor: &LocalExecutor<'static>,
) -> (Rc<DeliveryContext>, Rc<Answers>, Rc<Told>) {
    let (context, invoker, front, _) = house_again(folder, setup, answers, meanwhile, executor);
    (context, invoker, front)
}

/// The same, with what an earlier one held.
fn house_again(
    folder: &TempDir,
    setup: JournalOptions,
    answers: &[Outcome],
    meanwhile: Option<Meanwhile>,
    executor: &LocalExecutor<'static>,
) -> (Rc<DeliveryContext>, Rc<Answers>, Rc<Told>, Vec<OpenRecord>) {
    let (journal, records) = Journal::open(folder.path(), setup).expect("opened");
    let directory = Rc::new(EndpointDirectory::new(
        &[],
        &["k".into()],
        &settings().kinds,
    ));
    let driver = DispatcherDriver::new(
        Dispatcher::new(settings(), 3).expect("usable"),
        directory.clone(),
        Rc::new(Idle),
    );
    let entries = ["a", "b"].map(|zone| EndpointEntry {
        uid: zone.into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: zone.into(),
        kind: "k".into(),
        dest: 1,
        condition: Condition::Ready,
        rate: 9.0,
    });
    driver.apply_list_update(&EndpointListUpdate {
        revision: 1,
        complete: true,
        entries: entries.into(),
    });
    let left = RefCell::new(answers.iter().copied().collect());
    let meanwhile = meanwhile.map(|m| Box::new(m) as Happens);
    let (went, meanwhile) = (RefCell::default(), RefCell::new(meanwhile));
    let invoker = Rc::new(Answers {
        left,
        went,
        meanwhile,
        driver: driver.clone(),
        directory: directory.clone(),
    });
    let front = Rc::new(Told::default());
    let wheel = TimerWheel::new();
    let context = Rc::new(DeliveryContext {
        policies: PolicySet::new(Door::default().policy(
            0,
            &settings(),
            &["event".into()],
            9,
            None,
        )),
        routing_tables: Default::default(),
        admission: Default::default(),
        class_names: vec!["event".into()],
        driver: driver.clone(),
        journal: journal.clone(),
        client_quotas: ClientQuotas::new(Limits {
            room: 20,
            ..Limits::default()
        }),
        directory,
        endpoint_client: invoker.clone(),
        frontends: [(0, front.clone() as Rc<dyn Frontend>)].into(),
        wheel: wheel.clone(),
        held_messages: RefCell::default(),
    });
    let (turning, timing) = (wheel.clone(), wheel);
    executor.spawn(async move { turning.run().await }).detach();
    executor
        .spawn(async move { driver.run_timer(&timing).await })
        .detach();
    executor
        .spawn(async move { journal.run_sync().await })
        .detach();
    (context, invoker, front, records)
}

/// Knows tables 1 and 2, which lead to one zone each.
fn with_tables(context: &DeliveryContext) {
    for (number, zone) in [(1, "a"), (2, "b")] {
        let tiers = vec![vec![WeightedZones {
            share: 1,
            zones: vec![zone.to_string()],
        }]];
        assert!(context.routing_tables.add(
            number,
            Routes::new(
                1,
                1,
                vec![RouteSpec {
                    tiers,
                    ..RouteSpec::default()
                }]
            )
        ));
    }
}

fn message() -> (Client, Envelope, Duration) {
    let envelope = Envelope {
        id: "m1".into(),
        key: Some("k".into()),
        dest: 1,
        ..Envelope::default()
    };
    (
        Client {
            name: "tested".into(),
            known: false,
        },
        envelope,
        Duration::from_secs(16),
    )
}

/// What a message with these answers leaves: the zones that were called, its verdicts, and the
/// journal's bytes.
fn run(
    answers: &[Outcome],
    meanwhile: Option<Meanwhile>,
) -> (Vec<(String, bool)>, Vec<Verdict>, Vec<u8>) {
    let (folder, executor) = (TempDir::new().expect("a folder"), LocalExecutor::new());
    let (context, invoker, front) = context(
        &folder,
        JournalOptions::new(1_000_000),
        answers,
        meanwhile,
        &executor,
    );
    let (client, envelope, left) = message();
    async_io::block_on(executor.run(receive(context, client, envelope, left, Box::new(Yes))));
    let (went, told) = (invoker.went.borrow().clone(), front.0.borrow().clone());
    (
        went,
        told,
        fs::read(folder.path().join(segment())).expect("a segment"),
    )
}

/// The file that is written first: the last that was made.
fn segment() -> String {
    "0003.seg".into()
}

/// What the next process finds after a cut at this byte.
fn after(bytes: &[u8], cut: usize) -> Option<MessageRecord> {
    let image = [(segment(), bytes[..cut].to_vec())].into();
    let (disk, time) = (
        Arc::new(FaultyDisk::from_image(image)),
        Box::new(|| Duration::ZERO),
    );
    let (_, records) =
        Journal::open_on(disk, JournalOptions::new(1_000_000), None, Vec::new(), time)
            .expect("opened");
    records.first().map(|r| r.snapshot())
}

/// However early a process ends, the next one must not take a message for one that never ran once a
/// call of it may have: a delivery whose verdict was not yet written looked so, and could have gone
/// to the other zone.
#[test]
fn no_end_of_the_process_makes_a_message_forget_that_it_may_have_run() {
    for last in [
        Outcome::Delivered,
        Outcome::Error,
        Outcome::Timeout,
        Outcome::Reset,
    ] {
        let answers = [Outcome::Rejected { wait: 0 }, last, Outcome::Delivered];
        let (went, told, journal) = run(&answers, None);
        assert_eq!(told, [Verdict::Delivered]);
        let calls = 2 + usize::from(last != Outcome::Delivered);
        assert_eq!(went.len(), calls);
        let mut most = 0;
        let end = journal.iter().rposition(|b| *b != 0).expect("lines") + 9;
        for cut in 0..=end {
            let Some(account) = after(&journal, cut) else {
                continue;
            };
            most = most.max(account.attempts);
            assert!(
                account.attempts < 2 || account.may_have_run().is_some(),
                "{last:?} at byte {cut}"
            );
        }
        assert_eq!(usize::from(most), calls);
        assert!(
            after(&journal, journal.len()).is_none(),
            "closed in the end"
        );
    }
}

#[test]
fn what_may_have_run_stays_in_its_zone() {
    let answers = [
        Outcome::Error,
        Outcome::Rejected { wait: SEC / 5 },
        Outcome::Reset,
        Outcome::Delivered,
    ];
    let (went, told, _) = run(&answers, None);
    assert_eq!(told, [Verdict::Delivered]);
    assert_eq!(went, vec![(went[0].0.clone(), true); 4]);
}

/// A connection takes its time to come up, and what the module saw when it chose may be over by
/// then.
#[test]
fn a_wait_or_a_drain_told_meanwhile_stops_a_call_before_its_first_byte() {
    let wait: Meanwhile =
        |_, directory, p| directory.set_retry_after(p, Instant::now() + Duration::from_millis(300));
    let drain: Meanwhile = |driver, _, p| {
        let entry = EndpointEntry {
            condition: Condition::Draining,
            ..p.entry.clone()
        };
        driver.apply_list_update(&EndpointListUpdate {
            revision: 2,
            complete: false,
            entries: vec![entry],
        });
    };
    for meanwhile in [wait, drain] {
        let (went, told, _) = run(&[Outcome::Delivered], Some(meanwhile));
        assert_eq!(told, [Verdict::Delivered]);
        let stopped = went.iter().filter(|(_, went)| !went).count();
        assert_eq!((stopped > 0, went.len() - stopped), (true, 1), "{went:?}");
    }
}

#[test]
fn what_is_held_goes_by_the_next_table_at_its_next_attempt_and_keeps_the_number_of_its_own() {
    // By the first table it would wait for the first zone for most of its time.
    let full = Outcome::Rejected { wait: 12 * SEC };
    let (folder, executor) = (TempDir::new().expect("a folder"), LocalExecutor::new());
    let (context, invoker, front) = context(
        &folder,
        JournalOptions::new(1_000_000),
        &[full, Outcome::Delivered],
        None,
        &executor,
    );
    with_tables(&context);
    assert!(!context.activate_routing_table(3) && context.activate_routing_table(1));
    let (client, envelope, left) = message();
    let served = receive(context.clone(), client, envelope, left, Box::new(Yes));
    let switch = async {
        while invoker.went.borrow().is_empty() {
            context.wheel.sleep(Duration::from_millis(5)).await;
        }
        assert!(context.activate_routing_table(2) && context.routing_tables.current_number() == 2);
    };
    async_io::block_on(executor.run(future::zip(served, switch)));
    assert_eq!(
        *invoker.went.borrow(),
        [("a".into(), true), ("b".into(), true)]
    );
    assert_eq!(*front.0.borrow(), [Verdict::Delivered]);
    let bytes = fs::read(folder.path().join(segment())).expect("a segment");
    let end = bytes.iter().rposition(|b| *b != 0).expect("lines");
    let tables: Vec<u64> = (0..end)
        .filter_map(|cut| after(&bytes, cut))
        .map(|a| a.table)
        .collect();
    assert!(
        !tables.is_empty() && tables.iter().all(|table| *table == 1),
        "{tables:?}"
    );
}

#[test]
fn a_call_that_has_not_begun_when_the_table_changes_goes_by_the_new_one() {
    let (folder, executor) = (TempDir::new().expect("a folder"), LocalExecutor::new());
    let (context, invoker, front) = context(
        &folder,
        JournalOptions::new(1_000_000),
        &[Outcome::Delivered],
        None,
        &executor,
    );
    with_tables(&context);
    context.activate_routing_table(1);
    let switches = context.clone();
    *invoker.meanwhile.borrow_mut() = Some(Box::new(move |_, _, _| {
        assert!(switches.activate_routing_table(2))
    }));
    let (client, envelope, left) = message();
    async_io::block_on(executor.run(receive(context, client, envelope, left, Box::new(Yes))));
    assert_eq!(
        *invoker.went.borrow(),
        [("a".into(), false), ("b".into(), true)]
    );
    assert_eq!(*front.0.borrow(), [Verdict::Delivered]);
}

#[test]
fn a_later_process_sends_what_was_held_by_its_table_and_not_by_that_of_before() {
    let folder = TempDir::new().expect("a folder");
    let full = Outcome::Rejected { wait: 12 * SEC };
    {
        let executor = LocalExecutor::new();
        let (context, invoker, _) = context(
            &folder,
            JournalOptions::new(1_000_000),
            &[full],
            None,
            &executor,
        );
        with_tables(&context);
        context.activate_routing_table(1);
        let (client, envelope, left) = message();
        let served = receive(context.clone(), client, envelope, left, Box::new(Yes));
        let killed = async {
            while invoker.went.borrow().is_empty() {
                context.wheel.sleep(Duration::from_millis(5)).await;
            }
        };
        async_io::block_on(executor.run(future::or(served, killed)));
    }
    let executor = LocalExecutor::new();
    let (context, invoker, front, records) = house_again(
        &folder,
        JournalOptions::new(1_000_000),
        &[Outcome::Delivered],
        None,
        &executor,
    );
    let [record] = records.try_into().unwrap_or_else(|_| panic!("one is held"));
    assert_eq!(record.snapshot().table, 1);
    with_tables(&context);
    context.activate_routing_table(2);
    async_io::block_on(executor.run(resume(context, record)));
    assert_eq!(*invoker.went.borrow(), [("b".into(), true)]);
    assert_eq!(*front.0.borrow(), [Verdict::Delivered]);
}

/// The first tenant's messages go to the other zone: the module, and the look right before the
/// first byte, have to know whose it is, also in the next process.
#[test]
fn a_message_goes_by_its_own_tenant_s_route_and_still_does_after_a_kill() {
    let to = |tenants: Option<Vec<u16>>, zone: &str| RouteSpec {
        tenants,
        tiers: vec![vec![WeightedZones {
            share: 1,
            zones: vec![zone.to_string()],
        }]],
        ..RouteSpec::default()
    };
    let routes = Routes::new(1, 2, vec![to(Some(vec![1]), "b"), to(None, "a")]);
    let folder = TempDir::new().expect("a folder");
    {
        let executor = LocalExecutor::new();
        let full = Outcome::Rejected { wait: 12 * SEC };
        let (context, invoker, _) = context(
            &folder,
            JournalOptions::new(1_000_000),
            &[full],
            None,
            &executor,
        );
        assert!(context.routing_tables.add(1, routes.clone()) && context.activate_routing_table(1));
        let (client, envelope, left) = message();
        let served = receive(
            context.clone(),
            client,
            Envelope {
                tenant: 1,
                ..envelope
            },
            left,
            Box::new(Yes),
        );
        let killed = async {
            while invoker.went.borrow().is_empty() {
                context.wheel.sleep(Duration::from_millis(5)).await;
            }
        };
        async_io::block_on(executor.run(future::or(served, killed)));
        assert_eq!(*invoker.went.borrow(), [("b".into(), true)]);
    }
    let executor = LocalExecutor::new();
    let (context, invoker, front, records) = house_again(
        &folder,
        JournalOptions::new(1_000_000),
        &[Outcome::Delivered],
        None,
        &executor,
    );
    assert!(context.routing_tables.add(1, routes) && context.activate_routing_table(1));
    let [record] = records.try_into().unwrap_or_else(|_| panic!("one is held"));
    async_io::block_on(executor.run(resume(context, record)));
    assert_eq!(*invoker.went.borrow(), [("b".into(), true)]);
    assert_eq!(*front.0.borrow(), [Verdict::Delivered]);
}

/// A process may stand still between any two steps, and the record goes on without it meanwhile.
#[test]
fn what_may_not_be_taken_on_any_more_when_it_is_written_is_never_written() {
    let over = Gate::Open {
        until: Some(Instant::now()),
    };
    // Or the door stays as it is, and the table is another one.
    for door in [Some(Gate::Fenced), Some(Gate::Paused), Some(over), None] {
        let (folder, executor) = (TempDir::new().expect("a folder"), LocalExecutor::new());
        let (context, invoker, front) = context(
            &folder,
            JournalOptions::new(1_000_000),
            &[],
            None,
            &executor,
        );
        context.admission.set(Gate::Open {
            until: Some(Instant::now() + Duration::from_secs(60)),
        });
        with_tables(&context);
        let changed = context.clone();
        *front.1.borrow_mut() = Some(Box::new(move || match door {
            Some(door) => changed.admission.set(door),
            None => assert!(changed.activate_routing_table(1)),
        }));
        let (heard, (client, envelope, left)) = (Rc::default(), message());
        let served = receive(
            context.clone(),
            client,
            envelope,
            left,
            Box::new(Says(Rc::clone(&heard))),
        );
        async_io::block_on(executor.run(served));
        assert_eq!(
            (
                heard.borrow().as_slice(),
                context.journal.statistics().requested_bytes
            ),
            (&["rejected"][..], 0)
        );
        assert!(invoker.went.borrow().is_empty() && context.held_messages.borrow().is_empty());
    }
}

#[test]
fn what_may_not_be_taken_on_any_more_when_its_client_would_hear_is_closed_and_its_copy_waits_for_that(
) {
    for (door, told) in [
        (Gate::Fenced, "rejected"),
        (Gate::Open { until: None }, "taken on"),
    ] {
        let (folder, executor) = (TempDir::new().expect("a folder"), LocalExecutor::new());
        let setup = JournalOptions {
            durability: Durability::Machine,
            ..JournalOptions::new(1_000_000)
        };
        let (context, invoker, _) = context(&folder, setup, &[Outcome::Delivered], None, &executor);
        context.admission.set(Gate::Open { until: None });
        let heard = Rc::<RefCell<Vec<&'static str>>>::default();
        let hand_in = || {
            let (client, envelope, left) = message();
            receive(
                context.clone(),
                client,
                envelope,
                left,
                Box::new(Says(heard.clone())),
            )
        };
        // Its sync is on its way when the copy comes, and when the door is set.
        let both = future::zip(
            hand_in(),
            future::zip(hand_in(), async { context.admission.set(door) }),
        );
        async_io::block_on(executor.run(both));
        assert_eq!(heard.borrow().as_slice(), [told, told]);
        assert!(context.journal.statistics().requested_bytes > 0);
        assert_eq!(invoker.went.borrow().len(), usize::from(told == "taken on"));
        drop((context, executor));
        let (_, left) = Journal::open(folder.path(), setup).expect("opened");
        assert!(left.is_empty(), "closed");
    }
}
