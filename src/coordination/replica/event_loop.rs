//! The event loop of the task that owns the replica's state: advances time, handles one event, and
//! then works until nothing is pending.

use crate::coordination::leader::{Effect, LeaderDuties};
use crate::coordination::messages::OperatorResponse;
use crate::coordination::raft_group::{GroupEvent, ELECTION_TICKS};
use crate::coordination::raft_log::{LogItem, RaftLogStore, SaveError};
use crate::coordination::record::Command;
use crate::coordination::replica::peers::send;
use crate::coordination::replica::{Event, Replica, Stage, RESOURCE_RETRY_DELAY};
use crate::coordination::routing_table::member::{self, FederationMember};
use crate::Nanos;
use async_channel::Receiver;
use futures_lite::FutureExt;
use std::time::{Duration, Instant};

/// Longest time a leader that shuts down waits for another replica to take over.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(400);

/// Item that the log store was given, and the result of its write.
type SaveOutcome = (LogItem, Result<(), SaveError>);

/// Work that follows from one round of the group.
#[derive(Default)]
struct Effects {
    /// Effects of the leader duties.
    leader_effects: Vec<Effect>,
    /// Effects of the federation member.
    member_effects: Vec<member::MemberEffect>,
    /// Whether replicas were added or removed.
    members_changed: bool,
    /// Whether the leader duties begin.
    leadership_begins: bool,
    /// Whether the leader duties end.
    leadership_ends: bool,
}

impl Replica {
    /// Runs until a fatal error, the removal of this replica, or the time `until`.
    pub(super) async fn run(
        &mut self,
        events: &Receiver<Event>,
        until: Option<Instant>,
    ) -> Result<(), String> {
        enum Next {
            Saved(SaveOutcome),
            Event(Event),
            Tick,
        }
        let tick = Duration::from_millis(self.config.tick_ms);
        let wheel = self.context.wheel.clone();
        while !self.removed && until.is_none_or(|at| Instant::now() < at) {
            let (log_store, at) = (&mut self.log_store, self.last_tick + tick);
            let saved = async {
                let saved = log_store
                    .finished()
                    .await
                    .map_err(|e| format!("state: {e}"))?;
                Ok::<_, String>(Next::Saved(saved))
            };
            let received =
                async { Ok(Next::Event(events.recv().await.map_err(|e| e.to_string())?)) };
            let due = async {
                wheel.sleep_until(at).await;
                Ok(Next::Tick)
            };
            let next = saved.or(received).or(due).await?;
            // Time advances before the event is handled: a replica whose process was suspended must
            // not act on a leadership that has lapsed meanwhile.
            self.advance_clock(tick);
            match next {
                Next::Saved(saved) => self.handle_saved(saved)?,
                Next::Event(event) => self.handle_event(event).await?,
                Next::Tick => {}
            }
            self.process_pending()?;
        }
        Ok(())
    }

    /// Runs the ticks that are due, at most those of two election timeouts: by then a leader that
    /// received nothing has stepped down.
    fn advance_clock(&mut self, tick: Duration) {
        let due = (self.last_tick.elapsed().as_nanos() / tick.as_nanos()) as u32;
        if due == 0 {
            return;
        }
        self.last_tick += tick * due;
        let now = self.now();
        let Stage::InGroup(group) = &mut self.stage else {
            return;
        };
        for _ in 0..due.min(2 * ELECTION_TICKS as u32) {
            group.tick();
        }
        let mut leader_effects = Vec::new();
        if let Some(duties) = self.duties.as_mut().filter(|_| group.holds_leader_lease()) {
            duties.on_tick(now, group.record(), &mut leader_effects);
        }
        self.apply_effects(leader_effects);
        self.tick_federation_member();
    }

    /// Handles the result of a write.
    fn handle_saved(&mut self, (item, result): SaveOutcome) -> Result<(), String> {
        let wants_checkpoint = self
            .log_store
            .idle()
            .is_some_and(RaftLogStore::wants_checkpoint);
        let log_prefix = self.log_prefix();
        let Stage::InGroup(group) = &mut self.stage else {
            return Ok(());
        };
        match result {
            Ok(()) => {
                group.item_saved();
                if self.disk_full_since.take().is_some() {
                    log::info!("{log_prefix}: writes again");
                }
                if wants_checkpoint {
                    group.compact();
                }
                Ok(())
            }
            Err(SaveError::Retryable(e)) => {
                if self.disk_full_since.is_none() {
                    log::error!("{log_prefix}: acknowledges nothing: {e}");
                }
                let since = *self.disk_full_since.get_or_insert_with(Instant::now);
                // The disks of other replicas may have room.
                if since.elapsed()
                    > Duration::from_millis(self.config.tick_ms) * ELECTION_TICKS as u32
                {
                    let _ = group.transfer_leadership();
                }
                self.pending_retry = Some((item, Instant::now() + RESOURCE_RETRY_DELAY));
                Ok(())
            }
            Err(e) => Err(format!("state: {e}")),
        }
    }

    /// Works until nothing is pending.
    pub(super) fn process_pending(&mut self) -> Result<(), String> {
        while self.process_once()? {}
        Ok(())
    }

    /// Processes what the group has ready and its effects. Returns whether more may be pending.
    fn process_once(&mut self) -> Result<bool, String> {
        let now = self.now();
        let Stage::InGroup(group) = &mut self.stage else {
            return Ok(false);
        };
        let mut events = Vec::new();
        let messages = group
            .process_ready(&mut events)
            .map_err(|e| e.to_string())?;
        let idle = messages.is_empty() && events.is_empty();
        send(group, &self.outgoing, messages);
        let mut effects = Effects::default();
        for event in events {
            self.on_group_event(now, event, &mut effects);
        }
        self.finish_membership_change(&mut effects);
        self.update_leader_duties(now, &mut effects);
        let item = self.next_item_to_save();
        let quiet = effects.leader_effects.is_empty()
            && effects.member_effects.is_empty()
            && item.is_none();
        self.apply_effects(effects.leader_effects);
        if let Some(item) = item {
            self.log_store
                .start_job(item)
                .map_err(|_| "the log store is already in use")?;
        }
        if effects.leadership_ends {
            self.stop_federation_member();
        }
        if effects.leadership_begins {
            self.start_federation_member();
        }
        if !effects.member_effects.is_empty() {
            self.apply_member_effects(effects.member_effects);
            self.connect_sites();
        }
        self.report_federation_state(false);
        if effects.members_changed {
            self.connect_replicas();
        }
        Ok(!(idle && quiet))
    }

    /// Handles an event of the group.
    fn on_group_event(&mut self, now: Nanos, event: GroupEvent, effects: &mut Effects) {
        let Stage::InGroup(group) = &self.stage else {
            return;
        };
        match event {
            GroupEvent::Applied(index, command) => self.on_applied(now, index, &command, effects),
            GroupEvent::MembersChanged(index, replica) => {
                log::info!(
                    "{}: keepers {:?} by entry {index}",
                    self.log_prefix(),
                    group.voters()
                );
                effects.members_changed = true;
                self.removed = group.state().removed.contains(&group.id());
                let is_member = group.state().members.contains_key(&replica);
                if let Some(change) = self.membership_change.as_mut().filter(|c| c.1 == replica) {
                    change.2 = Some(index).filter(|_| is_member);
                    if !is_member {
                        effects
                            .leader_effects
                            .push(Effect::Reply(change.0, OperatorResponse::Done(index)));
                        self.membership_change = None;
                    }
                }
            }
            GroupEvent::SnapshotRestored(index) => {
                log::info!(
                    "{}: has the record up to {index} from another keeper",
                    self.log_prefix()
                );
                effects.members_changed = true;
            }
            GroupEvent::LeaderChanged(leader, term) if leader != 0 && leader != group.id() => {
                log::info!("{}: follows {leader} in term {term}", self.log_prefix());
            }
            GroupEvent::LeaderChanged(..) => {}
        }
    }

    /// Handles a command that was applied to the record.
    fn on_applied(&mut self, now: Nanos, index: u64, command: &Command, effects: &mut Effects) {
        let Stage::InGroup(group) = &self.stage else {
            return;
        };
        if let Command::AdvanceClock { term, .. } = command {
            // The heartbeat of an earlier term that is only now applied does not show when its
            // leader was alive.
            if *term == group.term() && group.leader() != 0 {
                self.last_leader_seen = Some(now);
            }
        }
        let command_text = format!("{command:?}");
        let kind = command_text
            .split([' ', '(', '{'])
            .next()
            .unwrap_or_default();
        let checksum = crc32fast::hash(command_text.as_bytes());
        log::debug!(
            "{}: applied {index} {kind} {checksum:08x}",
            self.log_prefix()
        );
        if let Some(member) = &mut self.federation_member {
            member.on_applied(now, command, group.record(), &mut effects.member_effects);
        }
        if let Some(duties) = &mut self.duties {
            duties.on_applied(
                now,
                index,
                command,
                group.record(),
                &mut effects.leader_effects,
            );
        }
    }

    /// Answers the operator who added a replica, once that replica has the record.
    fn finish_membership_change(&mut self, effects: &mut Effects) {
        let Stage::InGroup(group) = &self.stage else {
            return;
        };
        let has_record = |(_, replica, index): &mut (_, u64, Option<u64>)| {
            index.is_some_and(|index| group.has_replicated(*replica, index))
        };
        if let Some((connection, _, Some(index))) = self.membership_change.take_if(has_record) {
            effects
                .leader_effects
                .push(Effect::Reply(connection, OperatorResponse::Done(index)));
        }
    }

    /// Begins the leader duties if this replica has become the leader, and ends them if it no
    /// longer leads.
    fn update_leader_duties(&mut self, now: Nanos, effects: &mut Effects) {
        let Stage::InGroup(group) = &self.stage else {
            return;
        };
        let term = group.term();
        if group.is_ready_to_lead() && self.duties.is_none() {
            effects.leadership_begins = true;
            log::info!("{}: leads in term {term}", self.log_prefix());
            let duties = LeaderDuties::new(self.config.rules.clone(), term, now, group.record());
            self.duties = Some(duties.with_last_leader_seen(now, self.last_leader_seen));
        }
        if group.leader() != group.id() && self.duties.take().is_some() {
            log::info!("{}: leads no more", self.log_prefix());
            effects.leadership_ends = true;
            self.membership_change = None;
            let elsewhere = OperatorResponse::NotLeader(Some(group.leader()).filter(|id| *id != 0));
            let pending_requests = std::mem::take(&mut self.pending_requests);
            effects.leader_effects.extend(
                pending_requests
                    .into_iter()
                    .map(|connection| Effect::Reply(connection, elsewhere.clone())),
            );
        }
    }

    /// Returns the item to write next, unless a write is in progress.
    fn next_item_to_save(&mut self) -> Option<LogItem> {
        self.log_store.idle()?;
        let due = |retry: &mut (LogItem, Instant)| retry.1 <= Instant::now();
        if let Some((item, _)) = self.pending_retry.take_if(due) {
            return Some(item);
        }
        // The group has no further item while one waits to be retried.
        match &mut self.stage {
            Stage::InGroup(group) => group.next_item(),
            Stage::Bootstrapping(_) => None,
        }
    }

    /// Transfers the leadership to another replica before this one shuts down.
    pub(super) async fn hand_over_leadership(
        &mut self,
        events: &Receiver<Event>,
    ) -> Result<(), String> {
        // The leadership of the federation is transferred before that of the site.
        if self
            .federation_member
            .as_mut()
            .is_some_and(FederationMember::transfer_leadership)
        {
            self.tick_federation_member();
            self.run(events, Some(Instant::now() + HANDOVER_TIMEOUT))
                .await?;
        }
        let transferred = match &mut self.stage {
            Stage::InGroup(group) if group.leader() == group.id() => {
                group.transfer_leadership().is_ok()
            }
            _ => false,
        };
        if transferred {
            self.process_pending()?;
            self.run(events, Some(Instant::now() + HANDOVER_TIMEOUT))
                .await?;
        }
        Ok(())
    }
}
