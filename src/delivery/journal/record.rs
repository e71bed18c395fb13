//! What the journal keeps of one message, and its bytes on disk.
//!
//! A record is postcard of [`MessageRecord`]'s fields in order, with up to three numbers behind it:
//! policy, routing table and tenant. The last ones that are 0 are left out, so a record without any
//! has the bytes that it had before there were such numbers, and an older reader, which takes what
//! it knows, reads a newer record. An older record says 0 for what it does not know: its tenant is
//! the first one, as the process that wrote it took all messages for.

use crate::delivery::{Envelope, Verdict};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;

/// When an attempt went, and to which zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStart {
    /// Unix time in milliseconds.
    pub at_unix_ms: u64,
    /// Zone of the endpoint, by name.
    pub zone: String,
}

/// What the journal knows of one message.
///
/// Postcard writes the fields in this order; names are not on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageRecord {
    /// The message.
    pub envelope: Rc<Envelope>,
    /// Unix time in milliseconds at which it was accepted.
    pub accepted_unix_ms: u64,
    /// Unix time in milliseconds at which it is given up.
    pub expires_unix_ms: u64,
    /// Attempts that went.
    pub attempts: u16,
    /// The first attempt that has ended and may have run.
    pub possible_run: Option<AttemptStart>,
    /// The attempt that has not ended.
    pub in_flight: Option<AttemptStart>,
    /// Its final answer, decided and perhaps not yet told.
    pub verdict: Option<Verdict>,
    /// Number of the policy that it was accepted under; 0 for the settings alone. On disk it stands
    /// behind the rest.
    #[serde(skip)]
    pub policy: u64,
    /// Number of the routing table that it was accepted under; 0 for the endpoint list alone. On
    /// disk it stands behind the policy.
    #[serde(skip)]
    pub table: u64,
}

impl MessageRecord {
    /// A message that is accepted now, without any attempt.
    pub(super) fn accepted(
        envelope: Envelope,
        now_unix_ms: u64,
        time_left: Duration,
        policy: u64,
        table: u64,
    ) -> MessageRecord {
        MessageRecord {
            envelope: Rc::new(envelope),
            accepted_unix_ms: now_unix_ms,
            expires_unix_ms: now_unix_ms + time_left.as_millis() as u64,
            attempts: 0,
            possible_run: None,
            in_flight: None,
            verdict: None,
            policy,
            table,
        }
    }

    /// Its bytes on disk.
    pub(super) fn encode(&self) -> Vec<u8> {
        let trailing = [self.policy, self.table, u64::from(self.envelope.tenant)];
        let written = trailing
            .iter()
            .rposition(|number| *number > 0)
            .map_or(0, |last| last + 1);
        let record = postcard::to_stdvec(self).expect("plain data always encodes");
        trailing[..written].iter().fold(record, |bytes, number| {
            postcard::to_extend(number, bytes).expect("plain data always encodes")
        })
    }

    /// Reads those bytes.
    ///
    /// # Errors
    /// They are of another form.
    pub(super) fn decode(bytes: &[u8]) -> Result<MessageRecord, postcard::Error> {
        let (mut record, mut rest) = postcard::take_from_bytes::<MessageRecord>(bytes)?;
        let mut next_trailing = || -> Result<u64, postcard::Error> {
            if rest.is_empty() {
                return Ok(0);
            }
            let (number, behind) = postcard::take_from_bytes(rest)?;
            rest = behind;
            Ok(number)
        };
        record.policy = next_trailing()?;
        record.table = next_trailing()?;
        let tenant =
            u16::try_from(next_trailing()?).map_err(|_| postcard::Error::DeserializeBadVarint)?;
        Rc::make_mut(&mut record.envelope).tenant = tenant;
        Ok(record)
    }

    /// An attempt goes. One before it that never ended may have run.
    pub(super) fn start_attempt(&mut self, start: AttemptStart) {
        self.attempts += 1;
        let unended = self.in_flight.replace(start);
        self.possible_run = self.possible_run.take().or(unended);
    }

    /// The attempt in flight has ended.
    pub(super) fn end_attempt(&mut self, may_have_run: bool) {
        let ended = self.in_flight.take().filter(|_| may_have_run);
        self.possible_run = self.possible_run.take().or(ended);
    }

    /// Its final answer is decided. The message itself goes nowhere any more, however long the
    /// answer waits for its client, so the body goes.
    pub(super) fn decide(&mut self, verdict: Verdict) {
        self.verdict = Some(verdict);
        let envelope = Rc::make_mut(&mut self.envelope);
        envelope.body = Vec::new();
        envelope.stored_body_bytes = 0;
    }

    /// Events may be lost: an attempt may have gone to any zone, at any time.
    pub(super) fn assume_may_have_run(&mut self) {
        if self.verdict.is_none() {
            self.possible_run = Some(AttemptStart {
                at_unix_ms: 0,
                zone: String::new(),
            });
        }
    }

    /// The first attempt that may have run, where one that was in flight when the process ended may
    /// have.
    pub fn may_have_run(&self) -> Option<&AttemptStart> {
        self.possible_run.as_ref().or(self.in_flight.as_ref())
    }

    /// The newest time that it has, as Unix time in milliseconds.
    pub(super) fn newest_unix_ms(&self) -> u64 {
        let attempts = self.possible_run.iter().chain(&self.in_flight);
        attempts
            .map(|attempt| attempt.at_unix_ms)
            .fold(self.accepted_unix_ms, u64::max)
    }
}

#[cfg(test)]
mod tests;
