//! Requests of agents and operators, and what the leader answers them.

use crate::coordination::framing;
use crate::coordination::leader::{ConnectionId, Effect};
use crate::coordination::messages::{
    AgentToReplica, CoordinationStatus, FederationRequest, OperatorRequest, OperatorResponse,
    ReplicaToAgent, MAX_FRAME_BYTES,
};
use crate::coordination::raft_group::GroupMember;
use crate::coordination::replica::peers::{handshake, PeerMessage};
use crate::coordination::replica::{Incoming, Replica, Stage};
use serde::Serialize;
use std::net::SocketAddr;

impl Replica {
    /// Does what the leader wants.
    pub(super) fn carry_out(&mut self, out: Vec<Effect>) {
        for what in out {
            match what {
                Effect::Propose(command) => {
                    if let Stage::Takes(group) = &mut self.stage {
                        if let Err(no) = group.propose(&command) {
                            log::debug!("{}: not proposed: {no}", self.who());
                        }
                    }
                }
                Effect::Send(connection, word) => self.send(connection, &word),
                Effect::Reply(connection, word) => self.answer(connection, word),
                Effect::ProposeToFederation(command) => {
                    let (now, mut said) = (self.now(), Vec::new());
                    self.voice
                        .iter_mut()
                        .for_each(|voice| voice.submit(now, command.clone(), &mut said));
                    self.carry_voice(said);
                }
            }
        }
    }

    pub(super) fn send<T: Serialize>(&mut self, connection: ConnectionId, word: &T) {
        let Some(queue) = self.connections.get(&connection) else {
            return;
        };
        let sent = framing::encode(word, MAX_FRAME_BYTES).map_err(|e| e.to_string());
        let sent = sent.and_then(|bytes| queue.try_send(bytes).map_err(|e| e.to_string()));
        if let Err(e) = sent {
            // Its task sees that nobody writes to it any more.
            log::debug!("{}: line {connection} is dropped: {e}", self.who());
            self.connections.remove(&connection);
        }
    }

    pub(super) fn answer(&mut self, connection: ConnectionId, mut word: OperatorResponse) {
        self.asked.remove(&connection);
        if let OperatorResponse::Status(status) = &mut word {
            self.fill_status(status);
        }
        self.send(connection, &word);
    }

    /// What the replica knows of how things stand.
    fn fill_status(&self, status: &mut CoordinationStatus) {
        (status.site, status.replica) = (self.config.site.clone(), self.config.replica);
        if let Stage::Takes(group) = &self.stage {
            // One that was elected leads when it knows all that was agreed before.
            let leads = group.leader() != group.id() || self.duties.is_some();
            (status.leader, status.term) = (if leads { group.leader() } else { 0 }, group.term());
            status.version = group.record().version;
            status.voters = group.voters().to_vec();
            status.voters.sort_unstable();
        }
        status.faults = self.trouble();
    }

    pub(super) fn leader(&self) -> Option<u64> {
        match &self.stage {
            Stage::Takes(group) => {
                // One that leads and may not speak yet, or no more, knows of nobody.
                Some(group.leader()).filter(|id| *id != 0 && *id != group.id())
            }
            Stage::Begins(_) => None,
        }
    }

    pub(super) fn handle_agent(&mut self, connection: ConnectionId, word: &AgentToReplica) {
        let now = self.now();
        let mut out = Vec::new();
        match (&mut self.stage, &mut self.duties) {
            (Stage::Takes(group), Some(duties)) if group.holds_leader_lease() => {
                duties.on_agent_message(now, connection, word, group.record(), &mut out);
            }
            _ => out.push(Effect::Send(
                connection,
                ReplicaToAgent::NotLeader(self.leader()),
            )),
        }
        self.carry_out(out);
    }

    pub(super) fn handle_operator(&mut self, connection: ConnectionId, word: OperatorRequest) {
        let now = self.now();
        let elsewhere = OperatorResponse::NotLeader(self.leader());
        let mut out = Vec::new();
        match (&mut self.stage, &mut self.duties) {
            (Stage::Takes(group), Some(duties)) if group.holds_leader_lease() => {
                self.asked.insert(connection);
                match word {
                    OperatorRequest::Federation(
                        order @ (FederationRequest::RemoveSite { .. }
                        | FederationRequest::AddSite { .. }),
                    ) if self.voice.is_some() => {
                        return self.order_site(connection, &order);
                    }
                    OperatorRequest::AddReplica { keeper, at } => {
                        return self.ask_incarnation(connection, keeper, at)
                    }
                    OperatorRequest::RemoveReplica { keeper } => {
                        match group.remove_member(keeper) {
                            Ok(()) => self.changing = Some((connection, keeper, None)),
                            // It was removed before: as ordered.
                            Err(_) if group.state().removed.contains(&keeper) => {
                                out.push(Effect::Reply(
                                    connection,
                                    OperatorResponse::Done(group.record().version),
                                ));
                            }
                            Err(no) => out.push(Effect::Reply(
                                connection,
                                OperatorResponse::Rejected(no.to_string()),
                            )),
                        }
                    }
                    word => {
                        duties.on_operator_request(
                            now,
                            connection,
                            &word,
                            group.record(),
                            &mut out,
                        );
                        // What the replica knows can be told in any case.
                        let none = |o: &Effect| matches!(o, Effect::Reply(l, OperatorResponse::Rejected(_)) if *l == connection);
                        if word == OperatorRequest::Status && out.iter().any(none) {
                            out.retain(|o| !none(o));
                            out.push(Effect::Reply(
                                connection,
                                OperatorResponse::Status(Box::default()),
                            ));
                        }
                    }
                }
            }
            // How things stand here may be asked of any keeper.
            _ if word == OperatorRequest::Status => {
                out.push(Effect::Reply(
                    connection,
                    OperatorResponse::Status(Box::default()),
                ));
            }
            _ => out.push(Effect::Reply(connection, elsewhere)),
        }
        self.carry_out(out);
    }

    /// Asks a keeper that is to be added for its folder.
    fn ask_incarnation(&mut self, connection: ConnectionId, keeper: u64, at: String) {
        let Stage::Takes(group) = &self.stage else {
            return;
        };
        let known = group.state().members.get(&keeper);
        if known.is_some_and(|m| m.at == at) {
            // As ordered, already.
            let word = match group.has_replicated(keeper, 1) {
                true => OperatorResponse::Done(group.record().version),
                false => OperatorResponse::Rejected(format!(
                    "keeper {keeper} was added and has not got the record yet"
                )),
            };
            return self.answer(connection, word);
        }
        if let Err(no) = group.may_add(keeper) {
            return self.answer(connection, OperatorResponse::Rejected(no.to_string()));
        }
        let address = match at.parse::<SocketAddr>() {
            Ok(address) if !address.ip().is_unspecified() && address.port() != 0 => address,
            _ => {
                return self.answer(
                    connection,
                    OperatorResponse::Rejected(format!("{at:?}: no address with a port")),
                )
            }
        };
        let context = self.context.clone();
        let asking = async move {
            let folder = match handshake(&context, address).await {
                Ok((_, PeerMessage::Known { incarnation })) => Ok(incarnation),
                Ok((_, PeerMessage::Refused(why))) => Err(why),
                Ok((_, other)) => Err(format!("it answers {other:?}")),
                Err(e) => Err(e.to_string()),
            };
            let _ = context
                .inbox
                .send(Incoming::Asked {
                    connection,
                    keeper,
                    at,
                    folder,
                })
                .await;
        };
        self.executor.spawn(asking).detach();
    }

    pub(super) fn add_replica(
        &mut self,
        connection: ConnectionId,
        keeper: u64,
        at: String,
        folder: Result<u64, String>,
    ) {
        let Stage::Takes(group) = &mut self.stage else {
            return;
        };
        let added = match folder {
            Ok(incarnation) => {
                let added = group.add_member(keeper, &GroupMember { at, incarnation });
                added.map_err(|no| no.to_string())
            }
            Err(e) => Err(format!("keeper {keeper} at {at}: {e}")),
        };
        match added {
            Ok(()) => self.changing = Some((connection, keeper, None)),
            Err(e) => self.answer(connection, OperatorResponse::Rejected(e)),
        }
    }
}
