//! Handles the events that the connection tasks send to the task that owns the state.

use crate::coordination::bootstrap::{admit, PeerAdmission};
use crate::coordination::replica::conflicts::Conflict;
use crate::coordination::replica::peers::PeerMessage;
use crate::coordination::replica::{Event, Replica, Stage};
use async_channel::Sender;

impl Replica {
    /// Handles one event.
    pub(super) async fn handle_event(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::PeerConnected {
                replica,
                incarnation,
                answer,
                connection_guard,
            } => {
                return self
                    .on_peer_connected(replica, incarnation, answer, connection_guard)
                    .await;
            }
            Event::PeerResponded {
                replica,
                message: PeerMessage::Admitted { incarnation },
            } => {
                return self.on_peer_response(replica, incarnation).await;
            }
            Event::PeerResponded { replica, message } => {
                if let PeerMessage::Rejected(reason) = message {
                    self.note_conflict(replica, Conflict::RejectedByPeer, &reason);
                }
            }
            Event::IncarnationReceived {
                connection,
                replica,
                at,
                incarnation,
            } => self.add_replica(connection, replica, at, incarnation),
            Event::RaftMessage { replica, bytes } => self.on_raft_message(replica, &bytes),
            Event::ConnectionOpened { connection, queue } => {
                self.connections.insert(connection, queue);
            }
            Event::AgentMessage(connection, message) => self.handle_agent(connection, &message),
            Event::OperatorRequest(connection, message) => {
                self.handle_operator(connection, message)
            }
            Event::Site(event) => self.on_site_event(event),
            Event::ConnectionClosed(connection) => {
                self.federation_member
                    .iter_mut()
                    .for_each(|member| member.on_connection_closed(connection));
                self.connections.remove(&connection);
                self.pending_requests.remove(&connection);
                self.duties
                    .iter_mut()
                    .for_each(|duties| duties.on_disconnect(connection));
            }
        }
        Ok(())
    }

    /// Checks whether a replica with this incarnation is one of the group.
    fn check_incarnation(&mut self, replica: u64, incarnation: u64) -> PeerAdmission {
        match &mut self.stage {
            Stage::Bootstrapping(bootstrap) => bootstrap.learn_incarnation(replica, incarnation),
            Stage::InGroup(group) => admit(group.state(), replica, incarnation),
        }
    }

    /// Admits or rejects a replica that connected.
    async fn on_peer_connected(
        &mut self,
        replica: u64,
        incarnation: u64,
        answer: Sender<PeerMessage>,
        connection_guard: Sender<()>,
    ) -> Result<(), String> {
        let admission = self.check_incarnation(replica, incarnation);
        if admission == PeerAdmission::New {
            self.save_known_replicas().await?;
        }
        let message = match admission {
            PeerAdmission::Rejected(reason) => {
                self.note_conflict(replica, Conflict::IncomingRejected, &reason);
                PeerMessage::Rejected(reason)
            }
            _ => {
                self.conflicts
                    .remove(&(replica, Conflict::IncomingRejected));
                self.incoming.insert(replica, connection_guard);
                PeerMessage::Admitted {
                    incarnation: self.context.incarnation,
                }
            }
        };
        let _ = answer.try_send(message);
        self.form_group().await
    }

    /// Handles the answer of a replica that admitted this one.
    async fn on_peer_response(&mut self, replica: u64, incarnation: u64) -> Result<(), String> {
        let admission = self.check_incarnation(replica, incarnation);
        if let PeerAdmission::Rejected(reason) = &admission {
            self.note_conflict(replica, Conflict::ResponderRejected, reason);
            // No message may be sent to it.
            self.outgoing
                .get(&replica)
                .into_iter()
                .for_each(|link| link.state.up.set(false));
            return Ok(());
        }
        let resolved = [Conflict::ResponderRejected, Conflict::RejectedByPeer]
            .map(|how| self.conflicts.remove(&(replica, how)).is_some());
        if let Some(link) = self.outgoing.get(&replica) {
            if link.state.last_logged.take().is_some() || resolved.contains(&true) {
                log::info!(
                    "{}: keeper {replica} at {}: is reached",
                    self.log_prefix(),
                    link.address
                );
            }
        }
        if let Stage::Bootstrapping(bootstrap) = &mut self.stage {
            bootstrap.note_known_to(replica);
        }
        if admission == PeerAdmission::New {
            self.save_known_replicas().await?;
        }
        self.form_group().await
    }

    /// Passes a Raft message to the group. Closes the connection of a replica that sent an invalid
    /// one.
    fn on_raft_message(&mut self, replica: u64, bytes: &[u8]) {
        let Stage::InGroup(group) = &mut self.stage else {
            return;
        };
        if let Err(e) = group.step(replica, bytes) {
            log::warn!("{}: keeper {replica} sent {e}", self.log_prefix());
            self.incoming.remove(&replica);
        }
    }
}
