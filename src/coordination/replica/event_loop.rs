//! The loop of the one task that owns all decisions: takes what came in, advances time, and works
//! until nothing is left to be done.

use crate::coordination::leader::{Effect, LeaderDuties};
use crate::coordination::messages::OperatorResponse;
use crate::coordination::raft_group::{GroupEvent, ELECTION_TICKS};
use crate::coordination::raft_log::{LogItem, RaftLogStore, SaveError};
use crate::coordination::record::Command;
use crate::coordination::replica::peers::send;
use crate::coordination::replica::{Incoming, Replica, Stage, RESOURCE_RETRY_DELAY};
use crate::coordination::routing_table::member::{self, FederationMember};
use crate::Nanos;
use async_channel::Receiver;
use futures_lite::FutureExt;
use std::time::{Duration, Instant};

/// At its end a leader waits so long for another one.
const FAREWELL: Duration = Duration::from_millis(400);

/// What was to be written, and what came of it.
type Wrote = (LogItem, Result<(), SaveError>);

/// What follows from one step of the group.
#[derive(Default)]
struct Effects {
    /// What the leader duties want.
    out: Vec<Effect>,
    /// What the voice wants.
    said: Vec<member::MemberEffect>,
    /// Keepers came or went.
    members: bool,
    /// The leader duties begin.
    begins: bool,
    /// They end.
    ends: bool,
}

impl Replica {
    /// Serves until something is fatal, it was removed, or the time is up.
    pub(super) async fn run(
        &mut self,
        coming: &Receiver<Incoming>,
        until: Option<Instant>,
    ) -> Result<(), String> {
        enum Next {
            Wrote(Wrote),
            Came(Incoming),
            Tick,
        }
        let tick = Duration::from_millis(self.config.tick_ms);
        let wheel = self.context.wheel.clone();
        while !self.removed && until.is_none_or(|at| Instant::now() < at) {
            let (keep, at) = (&mut self.keep, self.ticked + tick);
            let wrote = async {
                let wrote = keep.finished().await.map_err(|e| format!("state: {e}"))?;
                Ok::<_, String>(Next::Wrote(wrote))
            };
            let came = async { Ok(Next::Came(coming.recv().await.map_err(|e| e.to_string())?)) };
            let due = async {
                wheel.sleep_until(at).await;
                Ok(Next::Tick)
            };
            let next = wrote.or(came).or(due).await?;
            // Time goes before words: one that stood still must not act on what it believed before.
            self.advance_clock(tick);
            match next {
                Next::Wrote(wrote) => self.handle_saved(wrote)?,
                Next::Came(word) => self.handle(word).await?,
                Next::Tick => {}
            }
            self.work()?;
        }
        Ok(())
    }

    /// Ticks that are due. After twice the time of an election, a leader that heard nobody leads no
    /// more.
    fn advance_clock(&mut self, tick: Duration) {
        let due = (self.ticked.elapsed().as_nanos() / tick.as_nanos()) as u32;
        if due == 0 {
            return;
        }
        self.ticked += tick * due;
        let now = self.now();
        let Stage::Takes(group) = &mut self.stage else {
            return;
        };
        for _ in 0..due.min(2 * ELECTION_TICKS as u32) {
            group.tick();
        }
        let mut out = Vec::new();
        if let Some(duties) = self.duties.as_mut().filter(|_| group.holds_leader_lease()) {
            duties.on_tick(now, group.record(), &mut out);
        }
        self.carry_out(out);
        self.tick_voice();
    }

    /// What came of writing.
    fn handle_saved(&mut self, (piece, result): Wrote) -> Result<(), String> {
        let wants_base = self.keep.idle().is_some_and(RaftLogStore::wants_checkpoint);
        let who = self.who();
        let Stage::Takes(group) = &mut self.stage else {
            return Ok(());
        };
        match result {
            Ok(()) => {
                group.item_saved();
                if self.full.take().is_some() {
                    log::info!("{who}: writes again");
                }
                if wants_base {
                    group.compact();
                }
                Ok(())
            }
            Err(SaveError::Retryable(e)) => {
                if self.full.is_none() {
                    log::error!("{who}: acknowledges nothing: {e}");
                }
                let since = *self.full.get_or_insert_with(Instant::now);
                // Others may have room.
                if since.elapsed()
                    > Duration::from_millis(self.config.tick_ms) * ELECTION_TICKS as u32
                {
                    let _ = group.transfer_leadership();
                }
                self.again = Some((piece, Instant::now() + RESOURCE_RETRY_DELAY));
                Ok(())
            }
            Err(e) => Err(format!("state: {e}")),
        }
    }

    /// Goes on until nothing more is to be done.
    pub(super) fn work(&mut self) -> Result<(), String> {
        while self.work_once()? {}
        Ok(())
    }

    /// Does what the group has ready, and what follows from it; whether there may be more.
    fn work_once(&mut self) -> Result<bool, String> {
        let now = self.now();
        let Stage::Takes(group) = &mut self.stage else {
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
            self.event(now, event, &mut effects);
        }
        self.finish_change(&mut effects);
        self.begin_or_end_duties(now, &mut effects);
        let piece = self.next_piece();
        let quiet = effects.out.is_empty() && effects.said.is_empty() && piece.is_none();
        self.carry_out(effects.out);
        if let Some(piece) = piece {
            self.keep.start_job(piece).map_err(|_| "the log is lent")?;
        }
        if effects.ends {
            self.end_voice();
        }
        if effects.begins {
            self.begin_voice();
        }
        if !effects.said.is_empty() {
            self.carry_voice(effects.said);
            self.connect_sites();
        }
        self.tell_leader(false);
        if effects.members {
            self.connect_replicas();
        }
        Ok(!(idle && quiet))
    }

    /// Something happened in the group.
    fn event(&mut self, now: Nanos, event: GroupEvent, effects: &mut Effects) {
        let Stage::Takes(group) = &self.stage else {
            return;
        };
        match event {
            GroupEvent::Applied(index, command) => self.applied(now, index, &command, effects),
            GroupEvent::MembersChanged(index, keeper) => {
                log::info!(
                    "{}: keepers {:?} by entry {index}",
                    self.who(),
                    group.voters()
                );
                effects.members = true;
                self.removed = group.state().removed.contains(&group.id());
                let came = group.state().members.contains_key(&keeper);
                if let Some(changing) = self.changing.as_mut().filter(|c| c.1 == keeper) {
                    changing.2 = Some(index).filter(|_| came);
                    if !came {
                        effects
                            .out
                            .push(Effect::Reply(changing.0, OperatorResponse::Done(index)));
                        self.changing = None;
                    }
                }
            }
            GroupEvent::SnapshotRestored(index) => {
                log::info!(
                    "{}: has the record up to {index} from another keeper",
                    self.who()
                );
                effects.members = true;
            }
            GroupEvent::LeaderChanged(leader, term) if leader != 0 && leader != group.id() => {
                log::info!("{}: follows {leader} in term {term}", self.who());
            }
            GroupEvent::LeaderChanged(..) => {}
        }
    }

    /// A command was applied to the record.
    fn applied(&mut self, now: Nanos, index: u64, command: &Command, effects: &mut Effects) {
        let Stage::Takes(group) = &self.stage else {
            return;
        };
        if let Command::AdvanceClock { term, .. } = command {
            // An older one that is only now read says nothing of when its leader lived.
            if *term == group.term() && group.leader() != 0 {
                self.led = Some(now);
            }
        }
        let told = format!("{command:?}");
        let kind = told.split([' ', '(', '{']).next().unwrap_or_default();
        let print = crc32fast::hash(told.as_bytes());
        log::debug!("{}: applied {index} {kind} {print:08x}", self.who());
        if let Some(voice) = &mut self.voice {
            voice.on_applied(now, command, group.record(), &mut effects.said);
        }
        if let Some(duties) = &mut self.duties {
            duties.on_applied(now, index, command, group.record(), &mut effects.out);
        }
    }

    /// Answers whoever ordered that a keeper comes, when that has the record.
    fn finish_change(&mut self, effects: &mut Effects) {
        let Stage::Takes(group) = &self.stage else {
            return;
        };
        let has = |(_, keeper, index): &mut (_, u64, Option<u64>)| {
            index.is_some_and(|index| group.has_replicated(*keeper, index))
        };
        if let Some((connection, _, Some(index))) = self.changing.take_if(has) {
            effects
                .out
                .push(Effect::Reply(connection, OperatorResponse::Done(index)));
        }
    }

    /// Begins the leader duties where this keeper leads by now, and ends them where it leads no
    /// more.
    fn begin_or_end_duties(&mut self, now: Nanos, effects: &mut Effects) {
        let Stage::Takes(group) = &self.stage else {
            return;
        };
        let term = group.term();
        if group.is_ready_to_lead() && self.duties.is_none() {
            effects.begins = true;
            log::info!("{}: leads in term {term}", self.who());
            let duties = LeaderDuties::new(self.config.rules.clone(), term, now, group.record());
            self.duties = Some(duties.with_last_leader_seen(now, self.led));
        }
        if group.leader() != group.id() && self.duties.take().is_some() {
            log::info!("{}: leads no more", self.who());
            effects.ends = true;
            self.changing = None;
            let elsewhere = OperatorResponse::NotLeader(Some(group.leader()).filter(|id| *id != 0));
            let asked = std::mem::take(&mut self.asked);
            effects.out.extend(
                asked
                    .into_iter()
                    .map(|connection| Effect::Reply(connection, elsewhere.clone())),
            );
        }
    }

    /// What is to be written next, where nothing is being written.
    fn next_piece(&mut self) -> Option<LogItem> {
        self.keep.idle()?;
        let due = |again: &mut (LogItem, Instant)| again.1 <= Instant::now();
        if let Some((piece, _)) = self.again.take_if(due) {
            return Some(piece);
        }
        // Nothing, while something is to be written again.
        match &mut self.stage {
            Stage::Takes(group) => group.next_item(),
            Stage::Begins(_) => None,
        }
    }

    /// A leader asks another one to lead before it ends.
    pub(super) async fn hand_over(&mut self, coming: &Receiver<Incoming>) -> Result<(), String> {
        // The federation has another leader before the site has.
        if self
            .voice
            .as_mut()
            .is_some_and(FederationMember::transfer_leadership)
        {
            self.tick_voice();
            self.run(coming, Some(Instant::now() + FAREWELL)).await?;
        }
        let handed = match &mut self.stage {
            Stage::Takes(group) if group.leader() == group.id() => {
                group.transfer_leadership().is_ok()
            }
            _ => false,
        };
        if handed {
            self.work()?;
            self.run(coming, Some(Instant::now() + FAREWELL)).await?;
        }
        Ok(())
    }
}
