//! Runs the raft group: ticks, messages, committed entries and changes of the leader.

use crate::coordination::raft_group::{GroupEvent, GroupFailure, ELECTION_TICKS};
use crate::coordination::routing_table::federation::Command;
use crate::coordination::routing_table::member::leadership::Leadership;
use crate::coordination::routing_table::member::messages::may_request;
use crate::coordination::routing_table::member::{
    nanos_of_ms, FederationMember, MemberEffect, MemberMessage, Stage,
};
use crate::Nanos;
use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use serde_bytes::ByteBuf;
use std::sync::Arc;

impl FederationMember {
    /// Advances the raft clock by the due ticks.
    pub(super) fn advance_raft_clock(&mut self, now: Nanos) {
        let Stage::Participating(group) = &mut self.stage else {
            return;
        };
        let tick = nanos_of_ms(self.settings.tick_ms);
        let due = (now - self.ticked_until) / tick;
        self.ticked_until += tick * due;
        // A leader that has heard from no other member for two election timeouts has stepped down,
        // so further ticks make no difference.
        for _ in 0..due.min(2 * ELECTION_TICKS as u64) {
            group.tick();
        }
    }

    /// Runs the group until it is idle.
    pub(super) fn run_group(&mut self, now: Nanos, effects: &mut Vec<MemberEffect>) {
        loop {
            let Stage::Participating(group) = &mut self.stage else {
                return;
            };
            let mut events = Vec::new();
            let messages = match group.process_ready(&mut events) {
                Ok(messages) => messages,
                Err(error) => return self.fail(reason_to_stop(&error)),
            };
            let is_idle = messages.is_empty() && events.is_empty();
            self.send_raft_messages(&messages, effects);
            for event in events {
                self.on_group_event(event, effects);
            }
            self.update_leadership(now);
            let persists = self.persist_next_piece(now, effects);
            if is_idle && !persists {
                break;
            }
        }
        self.log_changes();
    }

    fn send_raft_messages(&self, messages: &[Message], effects: &mut Vec<MemberEffect>) {
        for message in messages {
            let to = message.to;
            match message.write_to_bytes() {
                Ok(bytes) => effects.push(MemberEffect::SendRaft {
                    to,
                    message: MemberMessage::Raft(ByteBuf::from(bytes)),
                    has_snapshot: message.get_msg_type() == MessageType::MsgSnapshot,
                }),
                Err(e) => log::error!("{}: encoding a message to site {to}: {e}", self.log_name()),
            }
        }
    }

    /// Persists the next item of the group, one at a time. Returns whether it did.
    fn persist_next_piece(&mut self, now: Nanos, effects: &mut Vec<MemberEffect>) -> bool {
        let Stage::Participating(group) = &mut self.stage else {
            return false;
        };
        if self.write.is_in_flight() {
            return false;
        }
        let Some(piece) = group.next_item() else {
            return false;
        };
        self.persist(now, piece, effects);
        true
    }

    /// Handles the result of sending a raft message.
    pub fn on_sent(&mut self, to: u64, has_snapshot: bool, was_sent: bool) {
        let Stage::Participating(group) = &mut self.stage else {
            return;
        };
        if !was_sent {
            group.report_unreachable(to, has_snapshot);
        } else if has_snapshot {
            group.report_snapshot_sent(to);
        }
    }

    fn on_group_event(&mut self, event: GroupEvent<Command>, effects: &mut Vec<MemberEffect>) {
        match event {
            GroupEvent::Applied(index, command) => {
                self.on_command_applied(index, &command, effects)
            }
            GroupEvent::MembersChanged(index, site) => self.on_members_changed(index, site),
            GroupEvent::SnapshotRestored(index) => {
                let name = self.log_name();
                log::info!("{name}: has the record up to {index} from another site");
            }
            GroupEvent::LeaderChanged(leader, term) => self.on_leader_changed(leader, term),
        }
    }

    fn on_command_applied(
        &mut self,
        index: u64,
        command: &Command,
        effects: &mut Vec<MemberEffect>,
    ) {
        log::debug!("{}: applied {index} {command:?}", self.log_name());
        let Stage::Participating(group) = &self.stage else {
            return;
        };
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        match command {
            Command::Beat { term, beat, .. } => leadership.on_heartbeat_committed(*term, *beat),
            Command::Join { site, .. } => {
                let on_roster = group.record().sites.get(site).map(|s| s.name.as_str());
                leadership.on_join_committed(index, *site, on_roster);
            }
            Command::Off { site } => leadership.on_removal_committed(index, *site, effects),
            _ => {}
        }
    }

    fn on_members_changed(&mut self, index: u64, site: u64) {
        let Stage::Participating(group) = &self.stage else {
            return;
        };
        let name = self.log_name();
        log::info!("{name}: sites {:?} by entry {index}", group.voters());
        let is_member = group.state().members.contains_key(&site);
        if let Some(leadership) = self.leadership.as_mut().filter(|_| is_member) {
            leadership.on_member_added(site);
        }
    }

    fn on_leader_changed(&mut self, leader: u64, term: u64) {
        if leader != 0 && leader != self.settings.site_number {
            log::info!("{}: follows site {leader} in term {term}", self.log_name());
        }
        self.lease.forget_last_request();
    }

    /// Starts or ends leadership of the federation to follow the raft group, and updates the view
    /// of the record.
    fn update_leadership(&mut self, now: Nanos) {
        let Stage::Participating(group) = &self.stage else {
            return;
        };
        let term = group.term();
        let is_raft_leader = group.leader() == group.id();
        if !is_raft_leader || self.leadership.as_ref().is_some_and(|l| l.term() != term) {
            self.leadership = None;
        }
        if group.is_ready_to_lead() && self.leadership.is_none() {
            let name = self.log_name();
            log::info!("{name}: site {} leads in term {term}", group.id());
            self.leadership = Some(Leadership::new(now, term, group.record()));
        }
        let is_leader_ready = !is_raft_leader || self.leadership.is_some();
        self.view.leader = if is_leader_ready { group.leader() } else { 0 };
        if group.record().version != self.view.record.version {
            self.view.record = Arc::new(group.record().clone());
            self.count_granted_leases();
        }
    }

    /// Handles a command that another site requests.
    pub(super) fn on_command(
        &mut self,
        now: Nanos,
        from: u64,
        command: Command,
        effects: &mut Vec<MemberEffect>,
    ) {
        if may_request(&command, from, &self.view.record) {
            self.submit(now, command, effects);
        } else {
            let name = self.log_name();
            log::debug!("{name}: site {from} may not request {command:?}");
        }
    }

    /// Submits a command to the federation's log, directly or through the leading site. It may be
    /// lost.
    pub fn submit(&mut self, now: Nanos, command: Command, effects: &mut Vec<MemberEffect>) {
        let leader = self.view.leader;
        let name = self.log_name();
        let Stage::Participating(group) = &mut self.stage else {
            return;
        };
        if self.leadership.is_some() {
            if let Err(rejection) = group.propose(&command) {
                log::debug!("{name}: not proposed: {rejection}");
            }
            self.run_group(now, effects);
        } else if leader != 0 {
            let message = MemberMessage::Command(Box::new(command));
            effects.push(MemberEffect::Send {
                to: leader,
                message,
            });
        }
    }

    /// Asks another site to take over the leadership if this one leads. Returns whether a transfer
    /// was started.
    pub fn transfer_leadership(&mut self) -> bool {
        match &mut self.stage {
            Stage::Participating(group) if self.leadership.is_some() => {
                group.transfer_leadership().is_ok()
            }
            _ => false,
        }
    }
}

/// Returns a text for operators that says why the member stops. If the record lost acknowledged
/// data, the text also says how to recover.
fn reason_to_stop(error: &GroupFailure) -> String {
    match error {
        GroupFailure::LostAcknowledged {
            last,
            known,
            leader,
        } => format!(
            "the record ends at place {last}, and site {leader}, which leads, knows that this one \
             held {known}: what was acknowledged is lost, and it may not vote again: put it off the \
             roster, and let it join under another number"
        ),
        other => other.to_string(),
    }
}
