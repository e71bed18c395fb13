//! Requests of agents and operators, and the responses of the leader.

use crate::coordination::framing;
use crate::coordination::leader::{ConnectionId, Effect};
use crate::coordination::messages::{
    AgentToReplica, CoordinationStatus, FederationRequest, OperatorRequest, OperatorResponse,
    ReplicaToAgent, MAX_FRAME_BYTES,
};
use crate::coordination::raft_group::GroupMember;
use crate::coordination::replica::peers::{handshake, PeerMessage};
use crate::coordination::replica::{Event, Replica, Stage};
use serde::Serialize;
use std::net::SocketAddr;

impl Replica {
    /// Carries out the effects of the leader duties.
    pub(super) fn apply_effects(&mut self, out: Vec<Effect>) {
        for what in out {
            match what {
                Effect::Propose(command) => {
                    if let Stage::InGroup(group) = &mut self.stage {
                        if let Err(e) = group.propose(&command) {
                            log::debug!("{}: proposal rejected: {e}", self.log_prefix());
                        }
                    }
                }
                Effect::Send(connection, message) => self.send(connection, &message),
                Effect::Reply(connection, message) => self.respond(connection, message),
                Effect::ProposeToFederation(command) => {
                    let (now, mut member_effects) = (self.now(), Vec::new());
                    self.federation_member.iter_mut().for_each(|member| {
                        member.submit(now, command.clone(), &mut member_effects)
                    });
                    self.apply_member_effects(member_effects);
                }
            }
        }
    }

    /// Queues a message for a connection, which is closed if the message cannot be queued.
    pub(super) fn send<T: Serialize>(&mut self, connection: ConnectionId, message: &T) {
        let Some(queue) = self.connections.get(&connection) else {
            return;
        };
        let sent = framing::encode(message, MAX_FRAME_BYTES).map_err(|e| e.to_string());
        let sent = sent.and_then(|bytes| queue.try_send(bytes).map_err(|e| e.to_string()));
        if let Err(e) = sent {
            // The connection task ends once the sender of its queue is dropped.
            log::debug!(
                "{}: connection {connection} is dropped: {e}",
                self.log_prefix()
            );
            self.connections.remove(&connection);
        }
    }

    /// Sends the response to the request of an operator.
    pub(super) fn respond(&mut self, connection: ConnectionId, mut message: OperatorResponse) {
        self.pending_requests.remove(&connection);
        if let OperatorResponse::Status(status) = &mut message {
            self.fill_status(status);
        }
        self.send(connection, &message);
    }

    /// Adds what this replica knows itself to a status response.
    fn fill_status(&self, status: &mut CoordinationStatus) {
        (status.site, status.replica) = (self.config.site.clone(), self.config.replica);
        if let Stage::InGroup(group) = &self.stage {
            // An elected replica leads only once it has applied all entries of earlier terms.
            let leads = group.leader() != group.id() || self.duties.is_some();
            (status.leader, status.term) = (if leads { group.leader() } else { 0 }, group.term());
            status.version = group.record().version;
            status.voters = group.voters().to_vec();
            status.voters.sort_unstable();
        }
        status.faults = self.faults();
    }

    /// Returns the leader, if it is known and another replica.
    pub(super) fn leader(&self) -> Option<u64> {
        match &self.stage {
            Stage::InGroup(group) => {
                // A leader that may not serve requests yet, or no longer, knows of no other one.
                Some(group.leader()).filter(|id| *id != 0 && *id != group.id())
            }
            Stage::Bootstrapping(_) => None,
        }
    }

    pub(super) fn handle_agent(&mut self, connection: ConnectionId, message: &AgentToReplica) {
        let now = self.now();
        let mut out = Vec::new();
        match (&mut self.stage, &mut self.duties) {
            (Stage::InGroup(group), Some(duties)) if group.holds_leader_lease() => {
                duties.on_agent_message(now, connection, message, group.record(), &mut out);
            }
            _ => out.push(Effect::Send(
                connection,
                ReplicaToAgent::NotLeader(self.leader()),
            )),
        }
        self.apply_effects(out);
    }

    pub(super) fn handle_operator(&mut self, connection: ConnectionId, message: OperatorRequest) {
        let now = self.now();
        let elsewhere = OperatorResponse::NotLeader(self.leader());
        let mut out = Vec::new();
        match (&mut self.stage, &mut self.duties) {
            (Stage::InGroup(group), Some(duties)) if group.holds_leader_lease() => {
                self.pending_requests.insert(connection);
                match message {
                    OperatorRequest::Federation(
                        order @ (FederationRequest::RemoveSite { .. }
                        | FederationRequest::AddSite { .. }),
                    ) if self.federation_member.is_some() => {
                        return self.submit_roster_order(connection, &order);
                    }
                    OperatorRequest::AddReplica {
                        keeper: replica,
                        at,
                    } => return self.request_replica_incarnation(connection, replica, at),
                    OperatorRequest::RemoveReplica { keeper: replica } => {
                        match group.remove_member(replica) {
                            Ok(()) => self.membership_change = Some((connection, replica, None)),
                            // The replica was removed before: the request is already fulfilled.
                            Err(_) if group.state().removed.contains(&replica) => {
                                out.push(Effect::Reply(
                                    connection,
                                    OperatorResponse::Done(group.record().version),
                                ));
                            }
                            Err(e) => out.push(Effect::Reply(
                                connection,
                                OperatorResponse::Rejected(e.to_string()),
                            )),
                        }
                    }
                    message => {
                        duties.on_operator_request(
                            now,
                            connection,
                            &message,
                            group.record(),
                            &mut out,
                        );
                        // A status request is answered in any case, with what this replica knows.
                        let none = |o: &Effect| matches!(o, Effect::Reply(l, OperatorResponse::Rejected(_)) if *l == connection);
                        if message == OperatorRequest::Status && out.iter().any(none) {
                            out.retain(|o| !none(o));
                            out.push(Effect::Reply(
                                connection,
                                OperatorResponse::Status(Box::default()),
                            ));
                        }
                    }
                }
            }
            // Any replica answers a status request.
            _ if message == OperatorRequest::Status => {
                out.push(Effect::Reply(
                    connection,
                    OperatorResponse::Status(Box::default()),
                ));
            }
            _ => out.push(Effect::Reply(connection, elsewhere)),
        }
        self.apply_effects(out);
    }

    /// Requests the incarnation of a replica that is to be added.
    fn request_replica_incarnation(&mut self, connection: ConnectionId, replica: u64, at: String) {
        let Stage::InGroup(group) = &self.stage else {
            return;
        };
        let known = group.state().members.get(&replica);
        if known.is_some_and(|m| m.at == at) {
            // The replica was already added at this address.
            let message = match group.has_replicated(replica, 1) {
                true => OperatorResponse::Done(group.record().version),
                false => OperatorResponse::Rejected(format!(
                    "keeper {replica} was added and has not got the record yet"
                )),
            };
            return self.respond(connection, message);
        }
        if let Err(e) = group.may_add(replica) {
            return self.respond(connection, OperatorResponse::Rejected(e.to_string()));
        }
        let address = match at.parse::<SocketAddr>() {
            Ok(address) if !address.ip().is_unspecified() && address.port() != 0 => address,
            _ => {
                return self.respond(
                    connection,
                    OperatorResponse::Rejected(format!("{at:?}: no address with a port")),
                )
            }
        };
        let context = self.context.clone();
        let request = async move {
            let incarnation = match handshake(&context, address).await {
                Ok((_, PeerMessage::Admitted { incarnation })) => Ok(incarnation),
                Ok((_, PeerMessage::Rejected(reason))) => Err(reason),
                Ok((_, other)) => Err(format!("it answers {other:?}")),
                Err(e) => Err(e.to_string()),
            };
            let _ = context
                .inbox
                .send(Event::IncarnationReceived {
                    connection,
                    replica,
                    at,
                    incarnation,
                })
                .await;
        };
        self.executor.spawn(request).detach();
    }

    /// Proposes the addition of a replica whose incarnation was requested.
    pub(super) fn add_replica(
        &mut self,
        connection: ConnectionId,
        replica: u64,
        at: String,
        incarnation: Result<u64, String>,
    ) {
        let Stage::InGroup(group) = &mut self.stage else {
            return;
        };
        let added = match incarnation {
            Ok(incarnation) => {
                let added = group.add_member(replica, &GroupMember { at, incarnation });
                added.map_err(|e| e.to_string())
            }
            Err(e) => Err(format!("keeper {replica} at {at}: {e}")),
        };
        match added {
            Ok(()) => self.membership_change = Some((connection, replica, None)),
            Err(e) => self.respond(connection, OperatorResponse::Rejected(e)),
        }
    }
}
