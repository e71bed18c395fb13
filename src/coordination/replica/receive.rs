//! What is done with each event that the other tasks bring in.

use crate::coordination::bootstrap::{admit, PeerAdmission};
use crate::coordination::replica::conflicts::Conflict;
use crate::coordination::replica::peers::PeerMessage;
use crate::coordination::replica::{Incoming, Replica, Stage};
use async_channel::Sender;

impl Replica {
    /// Something came in.
    pub(super) async fn handle(&mut self, word: Incoming) -> Result<(), String> {
        match word {
            Incoming::Came {
                keeper,
                incarnation,
                answer,
                alive,
            } => {
                return self.keeper_came(keeper, incarnation, answer, alive).await;
            }
            Incoming::Answered {
                keeper,
                word: PeerMessage::Known { incarnation },
            } => {
                return self.keeper_answered(keeper, incarnation).await;
            }
            Incoming::Answered { keeper, word } => {
                if let PeerMessage::Refused(why) = word {
                    self.note_conflict(keeper, Conflict::Shut, &why);
                }
            }
            Incoming::Asked {
                connection,
                keeper,
                at,
                folder,
            } => self.add_replica(connection, keeper, at, folder),
            Incoming::Raft { keeper, bytes } => self.raft_came(keeper, &bytes),
            Incoming::Opened { connection, queue } => {
                self.connections.insert(connection, queue);
            }
            Incoming::Agent(connection, word) => self.handle_agent(connection, &word),
            Incoming::Person(connection, word) => self.handle_operator(connection, word),
            Incoming::Site(word) => self.came_site(word),
            Incoming::Gone(connection) => {
                self.voice
                    .iter_mut()
                    .for_each(|voice| voice.on_connection_closed(connection));
                self.connections.remove(&connection);
                self.asked.remove(&connection);
                self.duties
                    .iter_mut()
                    .for_each(|duties| duties.on_disconnect(connection));
            }
        }
        Ok(())
    }

    /// Whether a keeper with this folder is one of the group.
    fn heard(&mut self, keeper: u64, incarnation: u64) -> PeerAdmission {
        match &mut self.stage {
            Stage::Begins(begin) => begin.learn_incarnation(keeper, incarnation),
            Stage::Takes(group) => admit(group.state(), keeper, incarnation),
        }
    }

    /// A keeper connected.
    async fn keeper_came(
        &mut self,
        keeper: u64,
        incarnation: u64,
        answer: Sender<PeerMessage>,
        alive: Sender<()>,
    ) -> Result<(), String> {
        let heard = self.heard(keeper, incarnation);
        if heard == PeerAdmission::New {
            self.save_known_replicas().await?;
        }
        let word = match heard {
            PeerAdmission::Rejected(why) => {
                self.note_conflict(keeper, Conflict::Came, &why);
                PeerMessage::Refused(why)
            }
            _ => {
                self.wrong.remove(&(keeper, Conflict::Came));
                self.incoming.insert(keeper, alive);
                PeerMessage::Known {
                    incarnation: self.context.incarnation,
                }
            }
        };
        let _ = answer.try_send(word);
        self.form_group().await
    }

    /// A keeper that knows this one answered.
    async fn keeper_answered(&mut self, keeper: u64, incarnation: u64) -> Result<(), String> {
        let heard = self.heard(keeper, incarnation);
        if let PeerAdmission::Rejected(why) = &heard {
            self.note_conflict(keeper, Conflict::Answers, why);
            // Nothing is said to it.
            self.outgoing
                .get(&keeper)
                .into_iter()
                .for_each(|o| o.reach.up.set(false));
            return Ok(());
        }
        let was = [Conflict::Answers, Conflict::Shut]
            .map(|how| self.wrong.remove(&(keeper, how)).is_some());
        if let Some(o) = self.outgoing.get(&keeper) {
            if o.reach.told.take().is_some() || was.contains(&true) {
                log::info!("{}: keeper {keeper} at {}: is reached", self.who(), o.at);
            }
        }
        if let Stage::Begins(begin) = &mut self.stage {
            begin.note_known_to(keeper);
        }
        if heard == PeerAdmission::New {
            self.save_known_replicas().await?;
        }
        self.form_group().await
    }

    /// A message of the group came; the connection of one that sends what makes no sense is ended.
    fn raft_came(&mut self, keeper: u64, bytes: &[u8]) {
        let Stage::Takes(group) = &mut self.stage else {
            return;
        };
        if let Err(e) = group.step(keeper, bytes) {
            log::warn!("{}: keeper {keeper} sent {e}", self.who());
            self.incoming.remove(&keeper);
        }
    }
}
