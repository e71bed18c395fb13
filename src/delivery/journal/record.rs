//! The journal's record of one message, and its encoding on disk.
//!
//! A record is postcard of [`MessageRecord`]'s fields in order, followed by up to three numbers:
//! policy, routing table and tenant. Trailing zeros are left out, so a record without any of them
//! has the same bytes as before these numbers were introduced, and an older reader, which ignores
//! what follows, reads a newer record. A missing number is read as 0: the tenant of an older record
//! is the first one, as which the process that wrote it treated all messages.

use crate::delivery::{Envelope, Verdict};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;

/// Time and zone of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStart {
    /// Time at which the attempt started, as Unix time in milliseconds.
    pub at_unix_ms: u64,
    /// Name of the endpoint's zone.
    pub zone: String,
}

/// The journal's record of one message.
///
/// Postcard writes the fields in this order; names are not on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageRecord {
    /// The message.
    pub envelope: Rc<Envelope>,
    /// Time of acceptance, as Unix time in milliseconds.
    pub accepted_unix_ms: u64,
    /// Time at which the message expires, as Unix time in milliseconds.
    pub expires_unix_ms: u64,
    /// Attempts started.
    pub attempts: u16,
    /// First attempt that has ended and may have run.
    pub possible_run: Option<AttemptStart>,
    /// Attempt that has not ended.
    pub in_flight: Option<AttemptStart>,
    /// Final answer, decided and perhaps not yet sent.
    pub verdict: Option<Verdict>,
    /// Number of the policy under which the message was accepted; 0 for the settings alone. On disk
    /// it follows the other fields.
    #[serde(skip)]
    pub policy: u64,
    /// Number of the routing table under which the message was accepted; 0 for the endpoint list
    /// alone. On disk it follows the policy.
    #[serde(skip)]
    pub table: u64,
}

impl MessageRecord {
    /// Returns the record of a message that is accepted now, without any attempt.
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

    /// Encodes the record for the disk.
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

    /// Decodes a record.
    ///
    /// # Errors
    /// The bytes have another format.
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

    /// Records the start of an attempt. An earlier attempt that never ended may have run.
    pub(super) fn start_attempt(&mut self, start: AttemptStart) {
        self.attempts += 1;
        let unended = self.in_flight.replace(start);
        self.possible_run = self.possible_run.take().or(unended);
    }

    /// Records the end of the attempt in flight.
    pub(super) fn end_attempt(&mut self, may_have_run: bool) {
        let ended = self.in_flight.take().filter(|_| may_have_run);
        self.possible_run = self.possible_run.take().or(ended);
    }

    /// Records the final answer and drops the body: the message itself is not sent any more,
    /// however long the answer waits for its client.
    pub(super) fn decide(&mut self, verdict: Verdict) {
        self.verdict = Some(verdict);
        let envelope = Rc::make_mut(&mut self.envelope);
        envelope.body = Vec::new();
        envelope.stored_body_bytes = 0;
    }

    /// Records that events may be lost: an attempt may have gone to any zone, at any time.
    pub(super) fn assume_may_have_run(&mut self) {
        if self.verdict.is_none() {
            self.possible_run = Some(AttemptStart {
                at_unix_ms: 0,
                zone: String::new(),
            });
        }
    }

    /// Returns the first attempt that may have run, counting one that was in flight when the
    /// process ended.
    pub fn may_have_run(&self) -> Option<&AttemptStart> {
        self.possible_run.as_ref().or(self.in_flight.as_ref())
    }

    /// Returns the newest time in the record, as Unix time in milliseconds.
    pub(super) fn newest_unix_ms(&self) -> u64 {
        let attempts = self.possible_run.iter().chain(&self.in_flight);
        attempts
            .map(|attempt| attempt.at_unix_ms)
            .fold(self.accepted_unix_ms, u64::max)
    }
}

#[cfg(test)]
mod tests;
