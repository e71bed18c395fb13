//! The lease of a session: how long the sender may go by what it was told.
//!
//! **Time.** A lease counts from when the message was sent that it answers, by this machine's
//! monotonic clock. Two machines' clocks may each run 1 % wrong: of a lease's length 0.98 is
//! believed. So the sender never believes its lease for longer than the leader counts it.
//!
//! **Standalone.** Once the lease has lapsed nobody may count on this sender receiving anything: it
//! goes by its own calls, as one without coordination. Zones that were evacuated must not be called
//! by all senders at one moment, though: that would be full load on cold endpoints. Each sender
//! returns at its own time, by lot, evenly over the time that endpoints need to warm up: the
//! senders' sum then grows no faster than endpoints get warm, with no message between them
//! ([`super::evacuations`]).
//!
//! **Fencing.** Before anything else is looked at, a lapse of the lease is seen: registers then
//! distrust what they received, and the connection is replaced, so that what is still on its way on
//! the old one does not count ([`crate::agent::register`]).

use super::{SessionEffect, SessionState, START_GRACE};
use crate::dispatch::statistics::MS;
use crate::Nanos;

/// The part of a lease that is believed: both clocks may be 1 % wrong.
const BELIEVED_FRACTION: f64 = 0.98;
/// The longest lease that is believed (ms), whatever was told: a sender that receives nothing for
/// longer is standalone.
const MAX_LEASE_MS: u32 = 60_000;

/// What is known of the lease.
#[derive(Debug)]
pub(super) struct Lease {
    /// Until when it is believed; kept after it has lapsed.
    pub(super) until: Option<Nanos>,
    /// The sender goes by its own calls, since then.
    pub(super) standalone_since: Option<Nanos>,
    /// Operators were told so.
    pub(super) is_standalone_logged: bool,
}

impl Lease {
    /// No lease was ever granted.
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

/// When something ends that was granted for `duration_ms` in answer to a message sent at `sent`.
pub(super) fn believed_end(sent: Nanos, duration_ms: u32) -> Nanos {
    let duration_ms = f64::from(duration_ms.min(MAX_LEASE_MS));
    sent + (duration_ms * BELIEVED_FRACTION * MS as f64) as Nanos
}

impl SessionState {
    /// Whether the lease is held.
    pub fn holds_lease(&self, now: Nanos) -> bool {
        self.lease.until.is_some_and(|until| now < until)
    }

    /// Whether the sender goes by its own calls.
    pub fn is_standalone(&self) -> bool {
        self.lease.is_standalone()
    }

    /// When the lease lapses, where something follows from that.
    pub(super) fn lease_deadline(&self) -> Option<Nanos> {
        let matters = !self.is_standalone() || self.documents.any_held_lease();
        self.lease.until.filter(|_| matters)
    }

    /// Sees, before all else, whether the lease has lapsed. Registers are then received anew on
    /// another connection, whatever this one still brings.
    pub(super) fn fence_if_lease_lapsed(&mut self, now: Nanos, effects: &mut Vec<SessionEffect>) {
        let holds_lease = self.holds_lease(now);
        let has_lapsed = self.documents.note_lease(holds_lease);
        if has_lapsed && self.connection.is_open() {
            self.reconnect(now, effects);
        }
    }

    pub(super) fn go_standalone_if_lease_lapsed(
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

    /// Tells operators, once, that no replica answers: after a lapse, or some time after the start.
    pub(super) fn log_standalone(&mut self, now: Nanos, effects: &mut Vec<SessionEffect>) {
        let is_due = self.lease.until.is_some() || now >= self.started + START_GRACE;
        let is_news = self.is_standalone() && !self.lease.is_standalone_logged;
        if is_news && is_due && !self.holds_lease(now) {
            self.lease.is_standalone_logged = true;
            let line = "no keeper answers; goes on alone".to_string();
            effects.push(SessionEffect::Log(line));
        }
    }

    /// The leader renews the lease in answer to a report, or to the opening of the session (0).
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
            // It reports at once: what was ordered meanwhile is known by the answer at the latest.
            self.reports.last_sent = now.saturating_sub(self.config.report_interval);
            let line = format!("session with keeper {}", self.replica());
            effects.push(SessionEffect::Log(line));
        }
        self.evacuations.is_view_current |= report > 0;
        self.end_standalone(now, effects);
    }

    /// Goes by the record again, where the lease is held and the view of the record is current.
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
