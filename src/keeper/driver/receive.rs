//! What is done with each event that the other tasks bring in.

use super::peers::Peer;
use super::trouble::Wrong;
use super::{Driver, In, Stage};
use crate::keeper::begin::{admit, Heard};
use async_channel::Sender;

impl Driver {
    /// Something came in.
    pub(super) async fn came(&mut self, word: In) -> Result<(), String> {
        match word {
            In::Came { keeper, incarnation, answer, alive } => {
                return self.keeper_came(keeper, incarnation, answer, alive).await;
            }
            In::Answered { keeper, word: Peer::Known { incarnation } } => {
                return self.keeper_answered(keeper, incarnation).await;
            }
            In::Answered { keeper, word } => {
                if let Peer::Refused(why) = word {
                    self.is_wrong(keeper, Wrong::Shut, &why);
                }
            }
            In::Asked { line, keeper, at, folder } => self.add(line, keeper, at, folder),
            In::Raft { keeper, bytes } => self.raft_came(keeper, &bytes),
            In::Opened { line, queue } => {
                self.lines.insert(line, queue);
            }
            In::Agent(line, word) => self.agent(line, &word),
            In::Person(line, word) => self.person(line, word),
            In::Site(word) => self.came_site(word),
            In::Gone(line) => {
                self.voice.iter_mut().for_each(|voice| voice.hung_up(line));
                self.lines.remove(&line);
                self.asked.remove(&line);
                self.duties.iter_mut().for_each(|duties| duties.hung_up(line));
            }
        }
        Ok(())
    }

    /// Whether a keeper with this folder is one of the group.
    fn heard(&mut self, keeper: u64, incarnation: u64) -> Heard {
        match &mut self.stage {
            Stage::Begins(begin) => begin.tells(keeper, incarnation),
            Stage::Takes(group) => admit(group.held(), keeper, incarnation),
        }
    }

    /// A keeper connected.
    async fn keeper_came(
        &mut self,
        keeper: u64,
        incarnation: u64,
        answer: Sender<Peer>,
        alive: Sender<()>,
    ) -> Result<(), String> {
        let heard = self.heard(keeper, incarnation);
        if heard == Heard::New {
            self.write_down().await?;
        }
        let word = match heard {
            Heard::No(why) => {
                self.is_wrong(keeper, Wrong::Came, &why);
                Peer::Refused(why)
            }
            _ => {
                self.wrong.remove(&(keeper, Wrong::Came));
                self.incoming.insert(keeper, alive);
                Peer::Known { incarnation: self.door.incarnation }
            }
        };
        let _ = answer.try_send(word);
        self.begins().await
    }

    /// A keeper that knows this one answered.
    async fn keeper_answered(&mut self, keeper: u64, incarnation: u64) -> Result<(), String> {
        let heard = self.heard(keeper, incarnation);
        if let Heard::No(why) = &heard {
            self.is_wrong(keeper, Wrong::Answers, why);
            // Nothing is said to it.
            self.outgoing.get(&keeper).into_iter().for_each(|o| o.reach.up.set(false));
            return Ok(());
        }
        let was = [Wrong::Answers, Wrong::Shut].map(|how| self.wrong.remove(&(keeper, how)).is_some());
        if let Some(o) = self.outgoing.get(&keeper) {
            if o.reach.told.take().is_some() || was.contains(&true) {
                log::info!("{}: keeper {keeper} at {}: is reached", self.who(), o.at);
            }
        }
        if let Stage::Begins(begin) = &mut self.stage {
            begin.knows(keeper);
        }
        if heard == Heard::New {
            self.write_down().await?;
        }
        self.begins().await
    }

    /// A message of the group came; the line of one that sends what makes no sense is ended.
    fn raft_came(&mut self, keeper: u64, bytes: &[u8]) {
        let Stage::Takes(group) = &mut self.stage else { return };
        if let Err(e) = group.step(keeper, bytes) {
            log::warn!("{}: keeper {keeper} sent {e}", self.who());
            self.incoming.remove(&keeper);
        }
    }
}
