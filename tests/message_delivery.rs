//! Message delivery with stand-ins for the endpoint client and the frontend: the attempts that are
//! made, the answers to clients, and the entries in the journal.

use async_executor::LocalExecutor;
use event_listener::Event;
use futures_lite::future;
use raildeal::admission_control::message_limits::Limits;
use raildeal::config::Door;
use raildeal::delivery::admission::AdmissionState;
use raildeal::delivery::client_quota::{Client, ClientQuotas};
use raildeal::delivery::driver::{DispatcherDriver, DriverEffects};
use raildeal::delivery::endpoint::{Endpoint, EndpointEntry, EndpointListUpdate};
use raildeal::delivery::endpoint_directory::EndpointDirectory;
use raildeal::delivery::finished_messages::FinishedMessages;
use raildeal::delivery::journal::persistent_clock::PersistentClock;
use raildeal::delivery::journal::{Durability, Journal, JournalOptions, MessageRecord, OpenRecord};
use raildeal::delivery::message::held_messages::HeldMessages;
use raildeal::delivery::message::{receive, resume, ClientReply, DeliveryContext, TimeBudget};
use raildeal::delivery::policies::PolicySet;
use raildeal::delivery::timer_wheel::TimerWheel;
use raildeal::delivery::{
    AttemptReport, AttemptRequest, EndpointClient, Envelope, FinalAnswer, Frontend, LocalBoxFuture,
    Verdict,
};
use raildeal::dispatch::routing::{RouteSpec, Routes, WeightedZones};
use raildeal::store::faulty::FaultyDisk;
use raildeal::{
    Class, Condition, DedupScope, DestinationKind, Dispatcher, Effect, Outcome, Settings,
};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fs;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const SEC: u64 = 1_000_000_000;

/// Callback that runs while the first connection is established.
type DuringConnect = fn(&DispatcherDriver, &EndpointDirectory, &Endpoint);
type DuringConnectHook = Box<dyn Fn(&DispatcherDriver, &EndpointDirectory, &Endpoint)>;

/// An attempt that reached the endpoint client.
#[derive(Clone, Debug, PartialEq)]
struct Attempt {
    zone: String,
    /// Whether its first byte was allowed to be sent.
    was_authorized: bool,
}

fn sent_to(zone: &str) -> Attempt {
    Attempt {
        zone: zone.into(),
        was_authorized: true,
    }
}

fn stopped_at(zone: &str) -> Attempt {
    Attempt {
        zone: zone.into(),
        was_authorized: false,
    }
}

/// An endpoint client whose attempts end with the given outcomes, in order.
struct ScriptedEndpoints {
    outcomes: RefCell<VecDeque<Outcome>>,
    attempts: RefCell<Vec<Attempt>>,
    during_connect: RefCell<Option<DuringConnectHook>>,
    driver: Rc<DispatcherDriver>,
    directory: Rc<EndpointDirectory>,
}

impl EndpointClient for ScriptedEndpoints {
    fn execute<'a>(&'a self, attempt: AttemptRequest<'a>) -> LocalBoxFuture<'a, AttemptReport> {
        Box::pin(async move {
            if let Some(happens) = self.during_connect.borrow_mut().take() {
                happens(&self.driver, &self.directory, &attempt.endpoint);
            }
            let was_authorized = (attempt.authorize_send)();
            self.attempts.borrow_mut().push(Attempt {
                zone: attempt.endpoint.entry.zone.clone(),
                was_authorized,
            });
            let outcome = if was_authorized {
                self.outcomes.borrow_mut().pop_front()
            } else {
                Some(Outcome::NotSent)
            };
            outcome.expect("no more attempts than outcomes").into()
        })
    }

    fn close_idle(&self, _: &Endpoint) {}
}

struct NoEffects;

impl DriverEffects for NoEffects {
    fn close_idle(&self, _: &Endpoint) {}
    fn watch_list(&self) {}
}

/// A frontend that records the final answers.
#[derive(Default)]
struct RecordingFrontend {
    final_answers: RefCell<Vec<Verdict>>,
    /// Callback that runs when a message is registered under its id, before it is in the journal.
    on_registration: RefCell<Option<Box<dyn Fn()>>>,
    /// Final answers wait to be heard as long as this is set.
    is_deaf: Cell<bool>,
    hears: Event,
}

impl Frontend for RecordingFrontend {
    fn send_final_answer<'a>(
        &'a self,
        _: &'a Envelope,
        answer: FinalAnswer,
    ) -> LocalBoxFuture<'a, ()> {
        self.final_answers.borrow_mut().push(answer.verdict);
        Box::pin(async {
            while self.is_deaf.get() {
                self.hears.listen().await;
            }
        })
    }

    fn pending_answer_guard(&self, _: &Envelope) -> Option<Box<dyn Any>> {
        if let Some(happens) = &*self.on_registration.borrow() {
            happens();
        }
        None
    }
}

/// Records the answer to a client.
struct RecordingReply(Rc<RefCell<Vec<&'static str>>>);

impl ClientReply for RecordingReply {
    fn accepted<'a>(self: Box<Self>) -> LocalBoxFuture<'a, io::Result<()>> {
        self.0.borrow_mut().push("accepted");
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

/// The reply to a client whose message has to be accepted.
struct ExpectAccepted;

impl ClientReply for ExpectAccepted {
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

/// Messages that may be held or wait for their final answer to be heard.
const MAX_MESSAGES: usize = 25;

/// Message delivery with its journal in a folder, and its stand-ins.
struct Fixture {
    context: Rc<DeliveryContext>,
    endpoints: Rc<ScriptedEndpoints>,
    frontend: Rc<RecordingFrontend>,
    /// Records that an earlier process left open.
    records: Vec<OpenRecord>,
}

impl Fixture {
    /// Creates a fixture whose attempts end with the given outcomes.
    fn new(
        folder: &TempDir,
        setup: JournalOptions,
        outcomes: &[Outcome],
        executor: &LocalExecutor<'static>,
    ) -> Self {
        let (journal, records) = Journal::open(folder.path(), setup).expect("opened");
        let directory = Rc::new(EndpointDirectory::new(
            &[],
            &["k".into()],
            &settings().kinds,
        ));
        let driver = DispatcherDriver::new(
            Dispatcher::new(settings(), 3).expect("usable"),
            directory.clone(),
            Rc::new(NoEffects),
        );
        driver.apply_list_update(&two_zones());
        let endpoints = Rc::new(ScriptedEndpoints {
            outcomes: RefCell::new(outcomes.iter().copied().collect()),
            attempts: RefCell::default(),
            during_connect: RefCell::default(),
            driver: driver.clone(),
            directory: directory.clone(),
        });
        let frontend = Rc::new(RecordingFrontend::default());
        let wheel = TimerWheel::new();
        let own_settings = Door::default().policy(0, &settings(), &["event".into()], 9, None);
        let limits = Limits {
            room: 20,
            ..Limits::default()
        };
        let context = Rc::new(DeliveryContext {
            policies: PolicySet::new(own_settings),
            routing_tables: Default::default(),
            admission: Default::default(),
            class_names: vec!["event".into()],
            driver: driver.clone(),
            journal: journal.clone(),
            client_quotas: ClientQuotas::new(limits),
            directory,
            endpoint_client: endpoints.clone(),
            frontends: [(0, frontend.clone() as Rc<dyn Frontend>)].into(),
            wheel: wheel.clone(),
            held_messages: Rc::new(HeldMessages::new(MAX_MESSAGES, FinishedMessages::default())),
            script_budget: Default::default(),
        });
        let running_wheel = wheel.clone();
        executor
            .spawn(async move { running_wheel.run().await })
            .detach();
        executor
            .spawn(async move { driver.run_timer(&wheel).await })
            .detach();
        executor
            .spawn(async move { journal.run_sync().await })
            .detach();
        Fixture {
            context,
            endpoints,
            frontend,
            records,
        }
    }

    /// Submits a message, and handles it until its end.
    async fn receive(&self, message: Submission, reply: impl ClientReply + 'static) {
        let Submission {
            client,
            envelope,
            time_left,
        } = message;
        let context = self.context.clone();
        let time = TimeBudget {
            received_at: Instant::now(),
            time_left,
        };
        receive(context, client, envelope, time, Box::new(reply)).await;
    }

    /// Waits for the first attempt.
    async fn first_attempt(&self) {
        while self.endpoints.attempts.borrow().is_empty() {
            self.context.wheel.sleep(Duration::from_millis(5)).await;
        }
    }

    fn attempts(&self) -> Vec<Attempt> {
        self.endpoints.attempts.borrow().clone()
    }

    fn final_answers(&self) -> Vec<Verdict> {
        self.frontend.final_answers.borrow().clone()
    }

    /// Adds tables 1 and 2, which route to one zone each, a and b.
    fn add_tables(&self) {
        for (number, zone) in [(1, "a"), (2, "b")] {
            let routes = Routes::new(1, 1, vec![route_to(zone)]);
            assert!(self.context.routing_tables.add(number, routes));
        }
    }
}

/// Returns a list of one endpoint in each of two zones.
fn two_zones() -> EndpointListUpdate {
    let entries = ["a", "b"].map(|zone| EndpointEntry {
        uid: zone.into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: zone.into(),
        kind: "k".into(),
        dest: 1,
        condition: Condition::Ready,
        rate: 9.0,
        started_unix_ms: 0,
    });
    EndpointListUpdate {
        revision: 1,
        complete: true,
        entries: entries.into(),
    }
}

fn route_to(zone: &str) -> RouteSpec {
    RouteSpec {
        tiers: vec![vec![WeightedZones {
            share: 1,
            zones: vec![zone.to_string()],
        }]],
        ..RouteSpec::default()
    }
}

/// A client's submission.
struct Submission {
    client: Client,
    envelope: Envelope,
    time_left: Duration,
}

fn message() -> Submission {
    let client = Client {
        name: "tested".into(),
        known: false,
    };
    let envelope = Envelope {
        id: "m1".into(),
        key: Some("k".into()),
        dest: 1,
        ..Envelope::default()
    };
    Submission {
        client,
        envelope,
        time_left: Duration::from_secs(16),
    }
}

/// Observable results of a message.
struct Trail {
    attempts: Vec<Attempt>,
    final_answers: Vec<Verdict>,
    /// Bytes of the journal's segment.
    journal: Vec<u8>,
}

/// Delivers a message whose attempts end with the given outcomes.
fn run(outcomes: &[Outcome], during_connect: Option<DuringConnect>) -> Trail {
    let (folder, executor) = (TempDir::new().expect("a folder"), LocalExecutor::new());
    let fixture = Fixture::new(&folder, JournalOptions::new(1_000_000), outcomes, &executor);
    *fixture.endpoints.during_connect.borrow_mut() =
        during_connect.map(|happens| Box::new(happens) as DuringConnectHook);
    async_io::block_on(executor.run(fixture.receive(message(), ExpectAccepted)));
    Trail {
        attempts: fixture.attempts(),
        final_answers: fixture.final_answers(),
        journal: fs::read(folder.path().join(segment())).expect("a segment"),
    }
}

/// Returns the name of the segment that is written first, which is the one created last.
fn segment() -> String {
    "0003.seg".into()
}

/// Returns the record that the next process finds if the journal is cut off at this byte.
fn account_after_cut(bytes: &[u8], cut: usize) -> Option<MessageRecord> {
    let image = [(segment(), bytes[..cut].to_vec())].into();
    let disk = Arc::new(FaultyDisk::from_image(image));
    let time = Box::new(|| Duration::ZERO);
    let clock = |_| PersistentClock::from_wall_clock();
    let options = JournalOptions::new(1_000_000);
    let (_, records) =
        Journal::open_on(disk, options, None, Vec::new(), time, clock).expect("opened");
    records.first().map(|r| r.snapshot())
}

/// Guards against a process that considers a message not run although an attempt of an earlier
/// process may have run. This happened to a delivered message whose verdict was not yet written:
/// the message could have been sent to the other zone.
#[test]
fn a_message_that_may_have_run_is_known_as_such_after_a_kill_at_any_byte() {
    for last in [
        Outcome::Delivered,
        Outcome::Error,
        Outcome::Timeout,
        Outcome::Reset,
    ] {
        let outcomes = [Outcome::Rejected { wait: 0 }, last, Outcome::Delivered];
        let trail = run(&outcomes, None);
        assert_eq!(trail.final_answers, [Verdict::Delivered]);
        let expected_attempts = 2 + usize::from(last != Outcome::Delivered);
        assert_eq!(trail.attempts.len(), expected_attempts);
        let journal = trail.journal;
        let mut most_attempts = 0;
        let end = journal.iter().rposition(|b| *b != 0).expect("lines") + 9;
        for cut in 0..=end {
            let Some(account) = account_after_cut(&journal, cut) else {
                continue;
            };
            most_attempts = most_attempts.max(account.attempts);
            assert!(
                account.attempts < 2 || account.may_have_run().is_some(),
                "{last:?} at byte {cut}"
            );
        }
        assert_eq!(usize::from(most_attempts), expected_attempts);
        assert!(
            account_after_cut(&journal, journal.len()).is_none(),
            "closed in the end"
        );
    }
}

#[test]
fn a_message_that_may_have_run_stays_in_its_zone() {
    let outcomes = [
        Outcome::Error,
        Outcome::Rejected { wait: SEC / 5 },
        Outcome::Reset,
        Outcome::Delivered,
    ];
    let trail = run(&outcomes, None);
    assert_eq!(trail.final_answers, [Verdict::Delivered]);
    let first_zone = trail.attempts[0].zone.clone();
    assert_eq!(trail.attempts, vec![sent_to(&first_zone); 4]);
}

/// Guards against an attempt by outdated state: the state in which the dispatcher chose the
/// endpoint may change while the connection is established.
#[test]
fn a_retry_after_or_drain_reported_during_connect_stops_an_attempt_before_its_first_byte() {
    let wait: DuringConnect = |_, directory, endpoint| {
        directory.set_retry_after(endpoint, Instant::now() + Duration::from_millis(300));
    };
    let drain: DuringConnect = |driver, _, endpoint| {
        let entry = EndpointEntry {
            condition: Condition::Draining,
            ..endpoint.entry.clone()
        };
        driver.apply_list_update(&EndpointListUpdate {
            revision: 2,
            complete: false,
            entries: vec![entry],
        });
    };
    for during_connect in [wait, drain] {
        let trail = run(&[Outcome::Delivered], Some(during_connect));
        assert_eq!(trail.final_answers, [Verdict::Delivered]);
        let attempts = trail.attempts;
        let stopped = attempts.iter().filter(|a| !a.was_authorized).count();
        assert!(stopped > 0, "{attempts:?}");
        assert_eq!(attempts.len() - stopped, 1, "{attempts:?}");
    }
}

#[test]
fn a_held_message_follows_a_new_table_at_its_next_attempt_and_keeps_its_table_number() {
    // Under the first table the message would wait for the first zone for most of its time.
    let outcomes = [Outcome::Rejected { wait: 12 * SEC }, Outcome::Delivered];
    let (folder, executor) = (TempDir::new().expect("a folder"), LocalExecutor::new());
    let fixture = Fixture::new(
        &folder,
        JournalOptions::new(1_000_000),
        &outcomes,
        &executor,
    );
    let context = &fixture.context;
    fixture.add_tables();
    assert!(!context.activate_routing_table(3) && context.activate_routing_table(1));
    let served = fixture.receive(message(), ExpectAccepted);
    let switched = async {
        fixture.first_attempt().await;
        assert!(context.activate_routing_table(2));
        assert_eq!(context.routing_tables.current_number(), 2);
    };
    async_io::block_on(executor.run(future::zip(served, switched)));
    assert_eq!(fixture.attempts(), [sent_to("a"), sent_to("b")]);
    assert_eq!(fixture.final_answers(), [Verdict::Delivered]);
    let bytes = fs::read(folder.path().join(segment())).expect("a segment");
    let end = bytes.iter().rposition(|b| *b != 0).expect("lines");
    let tables: Vec<u64> = (0..end)
        .filter_map(|cut| account_after_cut(&bytes, cut))
        .map(|account| account.table)
        .collect();
    assert!(
        !tables.is_empty() && tables.iter().all(|table| *table == 1),
        "{tables:?}"
    );
}

#[test]
fn an_attempt_that_has_not_begun_when_the_table_changes_follows_the_new_one() {
    let (folder, executor) = (TempDir::new().expect("a folder"), LocalExecutor::new());
    let outcomes = [Outcome::Delivered];
    let fixture = Fixture::new(
        &folder,
        JournalOptions::new(1_000_000),
        &outcomes,
        &executor,
    );
    fixture.add_tables();
    fixture.context.activate_routing_table(1);
    let switched = fixture.context.clone();
    *fixture.endpoints.during_connect.borrow_mut() = Some(Box::new(move |_, _, _| {
        assert!(switched.activate_routing_table(2))
    }));
    async_io::block_on(executor.run(fixture.receive(message(), ExpectAccepted)));
    assert_eq!(fixture.attempts(), [stopped_at("a"), sent_to("b")]);
    assert_eq!(fixture.final_answers(), [Verdict::Delivered]);
}

#[test]
fn a_later_process_routes_held_messages_by_its_own_table() {
    let folder = TempDir::new().expect("a folder");
    let setup = JournalOptions::new(1_000_000);
    {
        let executor = LocalExecutor::new();
        let full = Outcome::Rejected { wait: 12 * SEC };
        let fixture = Fixture::new(&folder, setup, &[full], &executor);
        fixture.add_tables();
        fixture.context.activate_routing_table(1);
        let served = fixture.receive(message(), ExpectAccepted);
        let killed = fixture.first_attempt();
        async_io::block_on(executor.run(future::or(served, killed)));
    }
    let executor = LocalExecutor::new();
    let mut fixture = Fixture::new(&folder, setup, &[Outcome::Delivered], &executor);
    let record = fixture.records.pop().expect("one is held");
    assert!(fixture.records.is_empty());
    assert_eq!(record.snapshot().table, 1);
    fixture.add_tables();
    fixture.context.activate_routing_table(2);
    async_io::block_on(executor.run(resume(fixture.context.clone(), record)));
    assert_eq!(fixture.attempts(), [sent_to("b")]);
    assert_eq!(fixture.final_answers(), [Verdict::Delivered]);
}

/// Guards against a message that loses its tenant. The messages of tenant 1 are routed to another
/// zone, so the dispatcher and the check right before the first byte need the tenant, also in the
/// next process.
#[test]
fn a_message_follows_its_tenant_s_route_also_after_a_kill() {
    let to_tenant = RouteSpec {
        tenants: Some(vec![1]),
        ..route_to("b")
    };
    let routes = Routes::new(1, 2, vec![to_tenant, route_to("a")]);
    let (folder, setup) = (
        TempDir::new().expect("a folder"),
        JournalOptions::new(1_000_000),
    );
    {
        let executor = LocalExecutor::new();
        let full = Outcome::Rejected { wait: 12 * SEC };
        let fixture = Fixture::new(&folder, setup, &[full], &executor);
        let context = &fixture.context;
        assert!(context.routing_tables.add(1, routes.clone()));
        assert!(context.activate_routing_table(1));
        let mut submission = message();
        submission.envelope.tenant = 1;
        let served = fixture.receive(submission, ExpectAccepted);
        let killed = fixture.first_attempt();
        async_io::block_on(executor.run(future::or(served, killed)));
        assert_eq!(fixture.attempts(), [sent_to("b")]);
    }
    let executor = LocalExecutor::new();
    let mut fixture = Fixture::new(&folder, setup, &[Outcome::Delivered], &executor);
    let context = fixture.context.clone();
    assert!(context.routing_tables.add(1, routes) && context.activate_routing_table(1));
    let record = fixture.records.pop().expect("one is held");
    assert!(fixture.records.is_empty());
    async_io::block_on(executor.run(resume(context, record)));
    assert_eq!(fixture.attempts(), [sent_to("b")]);
    assert_eq!(fixture.final_answers(), [Verdict::Delivered]);
}

/// Guards against accepting a message under outdated state: a process may be suspended between any
/// two steps while the coordinated state of all senders changes.
#[test]
fn a_message_that_may_no_longer_be_accepted_before_the_journal_is_not_written() {
    let over = AdmissionState::Open {
        until: Some(Instant::now()),
    };
    // `None` leaves the admission state unchanged and activates another table.
    for changed_state in [
        Some(AdmissionState::Fenced),
        Some(AdmissionState::Paused),
        Some(over),
        None,
    ] {
        let (folder, executor) = (TempDir::new().expect("a folder"), LocalExecutor::new());
        let fixture = Fixture::new(&folder, JournalOptions::new(1_000_000), &[], &executor);
        let context = &fixture.context;
        context.admission.set(AdmissionState::Open {
            until: Some(Instant::now() + Duration::from_secs(60)),
        });
        fixture.add_tables();
        let changed = context.clone();
        *fixture.frontend.on_registration.borrow_mut() =
            Some(Box::new(move || match changed_state {
                Some(state) => changed.admission.set(state),
                None => assert!(changed.activate_routing_table(1)),
            }));
        let answers = Rc::<RefCell<Vec<&'static str>>>::default();
        let served = fixture.receive(message(), RecordingReply(answers.clone()));
        async_io::block_on(executor.run(served));
        assert_eq!(answers.borrow().as_slice(), ["rejected"]);
        assert_eq!(context.journal.statistics().requested_bytes, 0);
        assert!(fixture.attempts().is_empty() && context.held_messages.is_empty());
    }
}

#[test]
fn a_message_that_may_no_longer_be_accepted_before_its_answer_is_closed_and_its_duplicate_waits() {
    for (state, answer) in [
        (AdmissionState::Fenced, "rejected"),
        (AdmissionState::Open { until: None }, "accepted"),
    ] {
        let (folder, executor) = (TempDir::new().expect("a folder"), LocalExecutor::new());
        let setup = JournalOptions {
            durability: Durability::Machine,
            ..JournalOptions::new(1_000_000)
        };
        let fixture = Fixture::new(&folder, setup, &[Outcome::Delivered], &executor);
        let admission = fixture.context.admission.clone();
        admission.set(AdmissionState::Open { until: None });
        let answers = Rc::<RefCell<Vec<&'static str>>>::default();
        let submit = || fixture.receive(message(), RecordingReply(answers.clone()));
        // The sync is in progress when the duplicate arrives, and when the state is set.
        let duplicate_and_change = future::zip(submit(), async { admission.set(state) });
        let both = future::zip(submit(), duplicate_and_change);
        async_io::block_on(executor.run(both));
        assert_eq!(answers.borrow().as_slice(), [answer, answer]);
        assert!(fixture.context.journal.statistics().requested_bytes > 0);
        let expected_attempts = usize::from(answer == "accepted");
        assert_eq!(fixture.attempts().len(), expected_attempts);
        drop((fixture, executor));
        let (_, records) = Journal::open(folder.path(), setup).expect("opened");
        assert!(records.is_empty(), "closed");
    }
}

/// Guards against memory that grows with final answers that nobody hears.
#[test]
fn while_too_many_final_answers_wait_to_be_heard_new_messages_are_rejected() {
    let (folder, executor) = (TempDir::new().expect("a folder"), LocalExecutor::new());
    let outcomes = [Outcome::Delivered; MAX_MESSAGES + 1];
    let setup = JournalOptions::new(1_000_000);
    let fixture = Rc::new(Fixture::new(&folder, setup, &outcomes, &executor));
    let answers = Rc::<RefCell<Vec<&'static str>>>::default();
    let submit = |number: usize| {
        let (fixture, reply) = (fixture.clone(), RecordingReply(answers.clone()));
        let mut submission = message();
        submission.envelope.id = format!("m{number}");
        executor.spawn(async move { fixture.receive(submission, reply).await })
    };
    fixture.frontend.is_deaf.set(true);
    async_io::block_on(executor.run(async {
        let mut waiting = Vec::new();
        for number in 0..MAX_MESSAGES {
            waiting.push(submit(number));
            while fixture.final_answers().len() <= number {
                future::yield_now().await;
            }
        }
        waiting.push(submit(MAX_MESSAGES));
        while answers.borrow().len() <= MAX_MESSAGES {
            future::yield_now().await;
        }
        assert_eq!(answers.borrow().last(), Some(&"rejected"));
        assert_eq!(fixture.attempts().len(), MAX_MESSAGES);

        fixture.frontend.is_deaf.set(false);
        fixture.frontend.hears.notify(usize::MAX);
        for message in waiting {
            message.await;
        }
        submit(MAX_MESSAGES + 1).await;
    }));

    assert_eq!(answers.borrow().last(), Some(&"accepted"));
    assert!(fixture.context.held_messages.is_empty());
}
