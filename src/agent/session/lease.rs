//! The lease of a session: the time for which the sender may rely on the state that it received.
//!
//! **Time.** A lease counts from when the message that it answers was sent, by this machine's
//! monotonic clock. The clocks of the two machines may each be 1 % wrong, so only 0.98 of a lease's
//! duration is trusted. The sender thus never trusts its lease for longer than the leader counts
//! it.
//!
//! **Standalone.** After the lease has expired, the leader cannot rely on this sender receiving
//! anything: the sender acts on its own calls alone, as one without coordination. Evacuated zones
//! must not be called by all senders at the same moment, however, as that would put full load on
//! cold endpoints. Each sender returns at its own time, which a hash spreads evenly over the time
//! that endpoints need to warm up. The total load of the senders then grows no faster than the
//! endpoints warm up, without any message between the senders ([`super::evacuations`]).
//!
//! **Fencing.** The expiry of the lease is checked before anything else. Registers then distrust
//! what they have received, and the connection is replaced, so that messages still in transit on
//! the old one do not count ([`crate::agent::register`]).

use super::{SessionEffect, SessionState, START_GRACE};
use crate::dispatch::statistics::MS;
use crate::Nanos;

/// Trusted fraction of a lease: both clocks may be 1 % wrong.
const BELIEVED_FRACTION: f64 = 0.98;
/// Maximum trusted duration of a lease (ms), whatever the leader grants: a sender that receives
/// nothing for longer is standalone.
const MAX_LEASE_MS: u32 = 60_000;

/// State of the lease.
#[derive(Debug)]
pub(super) struct Lease {
    /// End of the trusted lease; kept after it has expired.
    pub(super) until: Option<Nanos>,
    /// Time since which the sender acts on its own calls alone; `None` while it follows the record.
    pub(super) standalone_since: Option<Nanos>,
    /// Whether the change to standalone was logged for the operators.
    pub(super) is_standalone_logged: bool,
}

impl Lease {
    /// Returns the state before any lease was granted.
    pub(super) fn standalone(now: Nanos) -> Lease {
        Lease {
            until: None,
            standalone_since: Some(now),
            is_standalone_logged: false,
        }
    }

    pub(super) fn is_standalone(&self) -> bool {
        self.standalone_since.is_some()
    }
}

/// Returns the trusted end of a grant of `duration_ms` that answers a message sent at `sent`.
pub(super) fn believed_end(sent: Nanos, duration_ms: u32) -> Nanos {
    let duration_ms = f64::from(duration_ms.min(MAX_LEASE_MS));
    sent + (duration_ms * BELIEVED_FRACTION * MS as f64) as Nanos
}

impl SessionState {
    /// Whether the lease is held.
    pub fn holds_lease(&self, now: Nanos) -> bool {
        self.lease.until.is_some_and(|until| now < until)
    }

    /// Whether the sender acts on its own calls alone.
    pub fn is_standalone(&self) -> bool {
        self.lease.is_standalone()
    }

    /// Returns the time at which the lease expires, where the expiry has effects.
    pub(super) fn lease_deadline(&self) -> Option<Nanos> {
        let matters = !self.is_standalone() || self.documents.any_held_lease();
        self.lease.until.filter(|_| matters)
    }

    /// Checks, before anything else, whether the lease has expired. Registers are then received
    /// again on another connection, whatever still arrives on this one.
    pub(super) fn fence_if_lease_expired(&mut self, now: Nanos, effects: &mut Vec<SessionEffect>) {
        let holds_lease = self.holds_lease(now);
        let has_expired = self.documents.note_lease(holds_lease);
        if has_expired && self.connection.is_open() {
            self.reconnect(now, effects);
        }
    }

    pub(super) fn go_standalone_if_lease_expired(
        &mut self,
        now: Nanos,
        effects: &mut Vec<SessionEffect>,
    ) {
        if self.is_standalone() || self.holds_lease(now) {
            return;
        }
        self.lease.standalone_since = Some(now);
        self.lease.is_standalone_logged = false;
        self.evacuations.applied.clear();
        let evacuations = self.evacuations_in_force(now);
        effects.push(SessionEffect::SetEvacuations(evacuations));
    }

    /// Logs once for the operators that no replica answers: after an expiry, or some time after the
    /// start.
    pub(super) fn log_standalone(&mut self, now: Nanos, effects: &mut Vec<SessionEffect>) {
        let is_due = self.lease.until.is_some() || now >= self.started + START_GRACE;
        let is_news = self.is_standalone() && !self.lease.is_standalone_logged;
        if is_news && is_due && !self.holds_lease(now) {
            self.lease.is_standalone_logged = true;
            let line = "no keeper answers; goes on alone".to_string();
            effects.push(SessionEffect::Log(line));
        }
    }

    /// Handles a renewal of the lease in answer to a report, or to the opening of the session
    /// (report 0).
    pub(super) fn on_lease_renewed(
        &mut self,
        now: Nanos,
        report: u64,
        lease_ms: u32,
        effects: &mut Vec<SessionEffect>,
    ) {
        let sent = match report {
            0 => Some(self.connection.opened),
            number => self.reports.first_sent(number),
        };
        let Some(sent) = sent else { return };
        self.reports.on_answered(report);
        let until = believed_end(sent, lease_ms);
        self.lease.until = self.lease.until.max(Some(until));
        if !self.connection.is_established() {
            self.connection.establish();
            // The next report is sent at once: its answer brings the orders that were given in the
            // meantime.
            self.reports.last_sent = now.saturating_sub(self.config.report_interval);
            let line = format!("session with keeper {}", self.replica());
            effects.push(SessionEffect::Log(line));
        }
        self.evacuations.is_view_current |= report > 0;
        self.end_standalone(now, effects);
    }

    /// Follows the record again, where the lease is held and the view of the record is current.
    pub(super) fn end_standalone(&mut self, now: Nanos, effects: &mut Vec<SessionEffect>) {
        let follows_record = self.evacuations.is_view_current
            && self.connection.is_established()
            && self.holds_lease(now);
        if self.is_standalone() && follows_record {
            self.lease.standalone_since = None;
            self.apply_view(now, effects);
        }
    }
}
