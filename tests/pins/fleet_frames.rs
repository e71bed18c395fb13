//! Frames between agents, replicas, sites and operators' commands: one of every variant.

use crate::fleet_values::{base, batch, plan, table, DIGEST};
use crate::support::Pins;
use raildeal::coordination::framing;
use raildeal::coordination::messages::*;
use raildeal::coordination::policy_rollout::register::Change;
use raildeal::coordination::record::{Command, Phase};
use raildeal::coordination::routing_table::federation::Command as FederationCommand;
use raildeal::coordination::routing_table::member::MemberMessage;
use raildeal::coordination::routing_table::tables;
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_bytes::ByteBuf;
use std::fmt::Debug;

/// Compares the frame of a value with its literal, in both directions.
fn frame<T>(pins: &mut Pins, name: &str, value: T)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let literal = pins.literal(name);
    let written = framing::encode(&value, MAX_FRAME_BYTES).expect("short enough");
    pins.written(name, &literal, &written);
    match framing::read_blocking::<T>(&mut &literal[..], MAX_FRAME_BYTES) {
        Ok(read) if read == value => {}
        other => pins.fault(format!("{name} is read as {other:?}, not as {value:?}")),
    }
}

fn counts() -> CallCounts {
    CallCounts {
        delivered: 1,
        rejected: 2,
        failed: 3,
        timed_out: 4,
        connect_failed: 300,
        hanging: 6,
    }
}

fn health() -> MessageOutcomeCounts {
    MessageOutcomeCounts {
        policy: 1,
        class: "urgent".into(),
        tenant: 2,
        accepted: 3,
        delivered: 4,
        delivered_late: 5,
        deferred: 6,
        failed: 7,
        rejected: 8,
    }
}

#[test]
fn hello_of_each_speaker_keeps_its_bytes() {
    let mut pins = Pins::of(include_str!("hello.txt"));
    let hello = |role| Handshake {
        version: 3,
        site: "north".into(),
        role,
    };
    frame(&mut pins, "replica", hello(PeerRole::Replica(300)));
    frame(&mut pins, "agent", hello(PeerRole::Agent));
    frame(&mut pins, "operator", hello(PeerRole::Operator));
    frame(&mut pins, "site", hello(PeerRole::Site(2)));
    pins.finish();
}

#[test]
fn frames_from_an_agent_keep_their_bytes() {
    let mut pins = Pins::of(include_str!("from_agent.txt"));
    let open = |stored| AgentToReplica::OpenSession {
        sender: "s1".into(),
        boot: 99,
        zone: "a".into(),
        record_version: 17,
        stored,
    };
    frame(&mut pins, "open", open(Some(vec![(4, DIGEST)])));
    frame(&mut pins, "open-without-policies", open(None));
    let report = AgentToReplica::Report {
        report: 5,
        record_version: 17,
        call_counts: vec![ZoneCallCounts {
            zone: "a".into(),
            dest: 500,
            counts: counts(),
        }],
        listed: Some(vec![ListedZoneCapacity {
            zone: "b".into(),
            dest: 3,
            endpoints: 4,
            calls_per_second: 2.5,
        }]),
        lease_requests: vec![AttemptLeaseRequest {
            zone: "c".into(),
            dest: 2,
            attempts: 9,
        }],
        outcomes: vec![health()],
    };
    frame(&mut pins, "report", report);
    let empty = AgentToReplica::Report {
        report: 1,
        record_version: 0,
        call_counts: vec![],
        listed: None,
        lease_requests: vec![],
        outcomes: vec![],
    };
    frame(&mut pins, "report-of-nothing", empty);
    let stored = |refused| AgentToReplica::PolicyChecked { number: 4, refused };
    frame(&mut pins, "policy-stored", stored(None));
    frame(&mut pins, "policy-refused", stored(Some("no".into())));
    frame(
        &mut pins,
        "policy-in-force",
        AgentToReplica::PolicyApplied { turn: 6 },
    );
    frame(&mut pins, "leave", AgentToReplica::CloseSession);
    let has = AgentTableMessage::StoredTables(vec![(7, DIGEST)]);
    frame(&mut pins, "table-has", AgentToReplica::RoutingTable(has));
    let stored = |refused| {
        AgentToReplica::RoutingTable(AgentTableMessage::TableChecked { number: 7, refused })
    };
    frame(&mut pins, "table-stored", stored(None));
    frame(&mut pins, "table-refused", stored(Some("no".into())));
    let rules = AgentTableMessage::TableApplied { turn: 8 };
    frame(
        &mut pins,
        "table-in-force",
        AgentToReplica::RoutingTable(rules),
    );
    pins.finish();
}

#[test]
fn frames_to_an_agent_keep_their_bytes() {
    let mut pins = Pins::of(include_str!("to_agent.txt"));
    frame(&mut pins, "elsewhere", ReplicaToAgent::NotLeader(Some(3)));
    frame(
        &mut pins,
        "elsewhere-unknown",
        ReplicaToAgent::NotLeader(None),
    );
    let renewed = ReplicaToAgent::LeaseRenewed {
        report: 5,
        lease_ms: 4_000,
    };
    frame(&mut pins, "renewed", renewed);
    let view = SenderView {
        version: 18,
        zones: vec![ZoneOrder {
            zone: "a".into(),
            epoch: 2,
            returning: true,
            out: vec![(3, 0.25)],
        }],
    };
    frame(&mut pins, "view", ReplicaToAgent::View(view));
    let grant = AttemptLeaseGrant {
        report: 5,
        zone: "a".into(),
        epoch: 2,
        dest: 3,
        attempts: 4,
        within_ms: 1_000,
    };
    frame(&mut pins, "grant", ReplicaToAgent::GrantAttempts(grant));
    frame(&mut pins, "unknown", ReplicaToAgent::UnknownSession);
    let offer = ReplicaToAgent::OfferPolicy {
        number: 4,
        digest: DIGEST,
        text: "policy".into(),
    };
    frame(&mut pins, "policy-offer", offer);
    let rule = ReplicaToAgent::ApplyPolicy {
        turn: 6,
        number: 4,
        paused: true,
    };
    frame(&mut pins, "policy-rule", rule);
    let offer = ReplicaTableMessage::OfferTable {
        number: 7,
        digest: DIGEST,
        text: "routes".into(),
    };
    frame(
        &mut pins,
        "table-offer",
        ReplicaToAgent::RoutingTable(offer),
    );
    let rule = |admission| {
        ReplicaToAgent::RoutingTable(ReplicaTableMessage::ApplyTable {
            turn: 8,
            number: 7,
            admission,
        })
    };
    frame(&mut pins, "table-open", rule(SiteAdmission::Open));
    frame(&mut pins, "table-paused", rule(SiteAdmission::Paused));
    frame(&mut pins, "table-held", rule(SiteAdmission::LeaseExpired));
    pins.finish();
}

#[test]
fn frames_from_an_operator_keep_their_bytes() {
    let mut pins = Pins::of(include_str!("from_operator.txt"));
    frame(&mut pins, "status", OperatorRequest::Status);
    let zone = |order| OperatorRequest::RequestZoneState {
        zone: "a".into(),
        order,
        for_s: 600,
    };
    frame(&mut pins, "zone-leave", zone(RequestedZoneState::Leave));
    frame(&mut pins, "zone-return", zone(RequestedZoneState::Return));
    frame(&mut pins, "zone-hold", zone(RequestedZoneState::Hold));
    frame(&mut pins, "zone-free", zone(RequestedZoneState::Free));
    let add = OperatorRequest::AddReplica {
        keeper: 4,
        at: "10.0.0.4:7000".into(),
    };
    frame(&mut pins, "add", add);
    frame(
        &mut pins,
        "remove",
        OperatorRequest::RemoveReplica { keeper: 4 },
    );
    let propose = OperatorRequest::ProposePolicy {
        text: "policy".into(),
        plan: "plan".into(),
    };
    frame(&mut pins, "propose", propose);
    frame(&mut pins, "policies", OperatorRequest::PolicyStatus);
    frame(&mut pins, "past-policies", OperatorRequest::PolicyHistory);
    frame(
        &mut pins,
        "policy",
        OperatorRequest::PolicyText { number: 4 },
    );
    frame(
        &mut pins,
        "halt",
        OperatorRequest::HaltRollout { why: "slow".into() },
    );
    frame(&mut pins, "resume", OperatorRequest::ResumeRollout);
    frame(&mut pins, "back", OperatorRequest::RollBack);
    for (name, order) in table_orders() {
        frame(&mut pins, name, OperatorRequest::Federation(order));
    }
    pins.finish();
}

fn table_orders() -> [(&'static str, FederationRequest); 7] {
    let propose = FederationRequest::ProposeTable {
        text: "routes".into(),
        within_s: 3_600,
    };
    let abort = FederationRequest::AbortProposal { why: "late".into() };
    let off = FederationRequest::RemoveSite {
        site: "south".into(),
    };
    let join = FederationRequest::AddSite {
        site: "south".into(),
        number: 3,
        at: vec!["10.1.0.1:7000".into()],
    };
    [
        ("table-propose", propose),
        ("table-status", FederationRequest::Status),
        ("table-abort", abort),
        ("table-history", FederationRequest::TableHistory),
        ("table-text", FederationRequest::TableText { number: 7 }),
        ("table-off", off),
        ("table-join", join),
    ]
}

#[test]
fn frames_to_an_operator_keep_their_bytes() {
    let mut pins = Pins::of(include_str!("to_operator.txt"));
    frame(&mut pins, "done", OperatorResponse::Done(18));
    frame(
        &mut pins,
        "refused",
        OperatorResponse::Rejected("no".into()),
    );
    frame(&mut pins, "elsewhere", OperatorResponse::NotLeader(Some(2)));
    frame(
        &mut pins,
        "elsewhere-unknown",
        OperatorResponse::NotLeader(None),
    );
    let status = CoordinationStatus {
        site: "north".into(),
        replica: 1,
        leader: 2,
        term: 3,
        version: 4,
        voters: vec![1, 2, 3],
        senders: vec![("s1".into(), 4)],
        lapsed: vec!["s2".into()],
        zones: vec![("a".into(), "left".into(), "why".into())],
        faults: vec![(3, "not reached".into())],
    };
    frame(
        &mut pins,
        "status",
        OperatorResponse::Status(Box::new(status)),
    );
    let policies = OperatorResponse::PolicyStatus(Box::new(policy_status()));
    frame(&mut pins, "policies", policies);
    let past = OperatorResponse::PolicyHistory(vec![policy_past()]);
    frame(&mut pins, "past-policies", past);
    let policy = OperatorResponse::PolicyText {
        number: 4,
        digest: DIGEST,
        text: "policy".into(),
    };
    frame(&mut pins, "policy", policy);
    let federation = OperatorResponse::FederationStatus(Box::new(federation_status()));
    frame(&mut pins, "federation", federation);
    let past = PastProposal {
        number: 7,
        digest: DIGEST,
        by: "north".into(),
        end: "decided".into(),
        took_ms: 900,
    };
    frame(
        &mut pins,
        "past-tables",
        OperatorResponse::TableHistory(vec![past]),
    );
    let table = OperatorResponse::TableText {
        number: 7,
        digest: DIGEST,
        text: "routes".into(),
    };
    frame(&mut pins, "table", table);
    pins.finish();
}

fn policy_past() -> PastRollout {
    PastRollout {
        number: 4,
        back_of: 3,
        digest: DIGEST,
        in_force: 1,
        stages: 2,
        end: "done".into(),
        halts: 5,
        took_ms: 700,
    }
}

fn policy_status() -> PolicyStatus {
    let zone = ZonePolicy {
        zone: "a".into(),
        number: 4,
        paused: true,
        senders: 9,
    };
    let rollout = RolloutStatus {
        number: 5,
        back_of: 4,
        digest: DIGEST,
        stage: 1,
        stages: vec![(vec!["a".into(), "b".into()], 9)],
        step: "soaks".into(),
        halted: Some("slow".into()),
        seen: "fine".into(),
        waits_what: "store".into(),
        waits: vec!["s1".into()],
        refused: vec![("s2".into(), "no".into())],
    };
    PolicyStatus {
        turn: 6,
        zones: vec![zone],
        rollout: Some(rollout),
        done: Some(policy_past()),
    }
}

fn federation_status() -> FederationStatus {
    let site = SiteStatus {
        site: "south".into(),
        number: 2,
        uses: 7,
        accepted: true,
        heard: false,
    };
    let proposal = ProposalStatus {
        number: 8,
        digest: DIGEST,
        by: "north".into(),
        left_ms: 5_000,
        waits: vec!["south".into()],
    };
    FederationStatus {
        federation: "world".into(),
        site: "north".into(),
        leader: "south".into(),
        lease_ms: 4_000,
        holds: true,
        table: (7, DIGEST),
        sites: vec![site],
        proposal: Some(proposal),
        here: ("stores".into(), vec!["s1".into()]),
        refused: vec![("s2".into(), "no".into())],
    }
}

#[test]
fn messages_between_sites_keep_their_bytes() {
    let mut pins = Pins::of(include_str!("between_sites.txt"));
    let raft = MemberMessage::Raft(ByteBuf::from(vec![1, 2, 3]));
    frame(&mut pins, "raft", raft);
    for (name, command) in federation_commands() {
        frame(&mut pins, name, MemberMessage::Command(Box::new(command)));
    }
    frame(&mut pins, "ask", MemberMessage::LeaseRequest(300));
    let granted = MemberMessage::LeaseGranted {
        ask: 300,
        lease_ms: 4_000,
        version: 18,
    };
    frame(&mut pins, "granted", granted);
    for (name, order) in table_orders() {
        let name = name.replace("table-", "order-");
        frame(
            &mut pins,
            &name,
            MemberMessage::RosterOrder { id: 5, order },
        );
    }
    let ordered = |answer| MemberMessage::RosterOrderResult { id: 5, answer };
    frame(&mut pins, "ordered", ordered(Ok(18)));
    frame(&mut pins, "ordered-refused", ordered(Err("no".into())));
    pins.finish();
}

fn federation_commands() -> [(&'static str, FederationCommand); 9] {
    let beat = FederationCommand::Beat {
        term: 2,
        beat: 3,
        ms: 1_000,
    };
    let propose = FederationCommand::Propose {
        by: "north".into(),
        key: 9,
        text: "routes".into(),
        digest: DIGEST,
        within_ms: 60_000,
    };
    let refuse = FederationCommand::Refuse {
        site: 2,
        number: 7,
        why: "no".into(),
    };
    let abort = FederationCommand::Abort {
        number: 7,
        why: "late".into(),
    };
    let join = FederationCommand::Join {
        site: 3,
        name: "east".into(),
    };
    [
        ("beat", beat),
        ("propose", propose),
        ("accept", FederationCommand::Accept { site: 2, number: 7 }),
        ("refuse", refuse),
        ("abort", abort),
        (
            "switched",
            FederationCommand::CutOver { site: 2, number: 7 },
        ),
        ("join", join),
        ("off", FederationCommand::Off { site: 3 }),
        ("leases", FederationCommand::Leases { ms: 4_000 }),
    ]
}

#[test]
fn commands_of_a_sites_record_keep_their_bytes() {
    let mut pins = Pins::of(include_str!("record_commands.txt"));
    let join = Command::AddSender {
        sender: "s1".into(),
        boot: 99,
        zone: "a".into(),
    };
    frame(&mut pins, "join", join);
    let lapse = Command::ExpireSender {
        sender: "s1".into(),
        boot: 99,
    };
    frame(&mut pins, "lapse", lapse);
    let beat = Command::AdvanceClock {
        term: 2,
        beat: 3,
        ms: 1_000,
    };
    frame(&mut pins, "beat", beat);
    let order = |phase| Command::SetZonePhase {
        base: 4,
        zone: "a".into(),
        phase,
        out: vec![(3, 0.5)],
        return_attempts: 1,
        reason: "faults".into(),
    };
    frame(&mut pins, "order-used", order(Phase::Used));
    frame(&mut pins, "order-left", order(Phase::Left));
    frame(&mut pins, "order-returning", order(Phase::Returning));
    let wish = |wish| Command::RequestZoneState {
        zone: "a".into(),
        state: wish,
        for_ms: 60_000,
    };
    frame(&mut pins, "wish-leave", wish(RequestedZoneState::Leave));
    frame(&mut pins, "wish-return", wish(RequestedZoneState::Return));
    frame(&mut pins, "wish-hold", wish(RequestedZoneState::Hold));
    frame(&mut pins, "wish-free", wish(RequestedZoneState::Free));
    let slice = Command::AllocateAttempts {
        term: 2,
        slice: 3,
        zone: "a".into(),
        epoch: 4,
        calls: vec![(3, 10)],
        warm: vec![(3, 2_000)],
    };
    frame(&mut pins, "slice", slice);
    frame(&mut pins, "fence", Command::FenceMember { term: 2 });
    for (name, change) in policy_changes() {
        let change = Box::new(change);
        frame(&mut pins, name, Command::ChangePolicies { base: 6, change });
    }
    for (name, change) in table_changes() {
        let change = Box::new(change);
        frame(&mut pins, name, Command::ChangeTables { base: 8, change });
    }
    let voice = |piece| Command::PersistMemberLog {
        term: 2,
        number: 1,
        item: piece,
    };
    frame(&mut pins, "vote-base", voice(base()));
    frame(&mut pins, "vote-batch", voice(batch()));
    pins.finish();
}

fn policy_changes() -> [(&'static str, Change); 9] {
    let propose = Change::Propose {
        text: "policy".into(),
        digest: DIGEST,
        plan: plan(),
    };
    let take_back = Change::TakeBack {
        silent: "s1".into(),
    };
    [
        ("policy-propose", propose),
        ("policy-pause", Change::Pause),
        ("policy-commit", Change::Commit),
        ("policy-take-back", take_back),
        ("policy-next", Change::Next),
        ("policy-halt", Change::Halt { why: "slow".into() }),
        ("policy-resume", Change::Resume),
        ("policy-back", Change::Back { own: DIGEST }),
        ("policy-end", Change::End { why: "no".into() }),
    ]
}

fn table_changes() -> [(&'static str, tables::Change); 10] {
    use tables::Change::*;
    let take_back = RollBack {
        silent: "s1".into(),
    };
    [
        ("table-offer", Offer { table: table() }),
        ("table-accept", Accept { number: 7 }),
        ("table-drop", Drop { number: 7 }),
        ("table-decide", Decide { table: table() }),
        ("table-pause", Pause),
        ("table-commit", Commit),
        ("table-take-back", take_back),
        ("table-lease", Lease { until_ms: 9_000 }),
        ("table-hold", Hold),
        ("table-go-on", Resume),
    ]
}
