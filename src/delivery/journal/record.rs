//! What is known of one message that was taken on: what the journal keeps of it.

use crate::delivery::{Envelope, Verdict};
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// A call that may have run: when it was sent and to which zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStart {
    /// Unix time in milliseconds.
    pub at_ms: u64,
    /// Zone of the provider, by name.
    pub zone: String,
}

/// What the journal knows of one message.
///
/// On disk three numbers may stand behind it: policy, routing table and tenant, in this order. The
/// last ones that are 0 are left out, so a record without any is as it always was, and an older
/// record says 0 for what it does not know: its tenant is the first one, as the process that wrote
/// it took all messages for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageRecord {
    /// The message.
    pub envelope: Rc<Envelope>,
    /// Unix time in milliseconds at which it was taken on.
    pub taken_ms: u64,
    /// Unix time in milliseconds at which it is given up.
    pub expires_ms: u64,
    /// Calls sent.
    pub attempts: u16,
    /// The first call that may have run.
    pub ran: Option<AttemptStart>,
    /// The call that is out.
    pub out: Option<AttemptStart>,
    /// Its final answer, decided and perhaps not yet heard.
    pub verdict: Option<Verdict>,
    /// The policy that it was taken on under; 0 for the settings alone. It stands behind the rest,
    /// and only where there is one: records of senders that follow none are as they always were.
    #[serde(skip)]
    pub policy: u64,
    /// The routing table that it was taken on under; 0 for the list alone. It stands behind the
    /// policy, and only where there is one.
    #[serde(skip)]
    pub table: u64,
}

impl MessageRecord {
    /// Its form on disk.
    pub(super) fn encode(&self) -> Vec<u8> {
        let behind = [self.policy, self.table, u64::from(self.envelope.tenant)];
        let told = behind
            .iter()
            .rposition(|number| *number > 0)
            .map_or(0, |last| last + 1);
        let account = postcard::to_stdvec(self).expect("plain data always encodes");
        behind[..told].iter().fold(account, |bytes, number| {
            postcard::to_extend(number, bytes).expect("plain data always encodes")
        })
    }

    /// Reads that form.
    ///
    /// # Errors
    /// It is another one.
    pub(super) fn decode(bytes: &[u8]) -> Result<MessageRecord, postcard::Error> {
        let (mut account, mut rest) = postcard::take_from_bytes::<MessageRecord>(bytes)?;
        let mut next = || -> Result<u64, postcard::Error> {
            if rest.is_empty() {
                return Ok(0);
            }
            let (number, behind) = postcard::take_from_bytes(rest)?;
            rest = behind;
            Ok(number)
        };
        account.policy = next()?;
        account.table = next()?;
        let tenant = u16::try_from(next()?).map_err(|_| postcard::Error::DeserializeBadVarint)?;
        Rc::make_mut(&mut account.envelope).tenant = tenant;
        Ok(account)
    }

    /// A call went out. One before it that never came back may have run.
    pub(super) fn sent(&mut self, sent: AttemptStart) {
        self.attempts += 1;
        let before = self.out.replace(sent);
        self.ran = self.ran.take().or(before);
    }

    /// The call that was out has ended.
    pub(super) fn back(&mut self, may_have_run: bool) {
        let sent = self.out.take().filter(|_| may_have_run);
        self.ran = self.ran.take().or(sent);
    }

    /// Its final answer is decided; the message itself goes nowhere any more, however long that
    /// waits for its client.
    pub(super) fn ended(&mut self, verdict: Verdict) {
        self.verdict = Some(verdict);
        let envelope = Rc::make_mut(&mut self.envelope);
        (envelope.body, envelope.stored_body_bytes) = (Vec::new(), 0);
    }

    /// Lines on it may be lost: a call may have gone to any zone, at any time.
    pub(super) fn doubt(&mut self) {
        if self.verdict.is_none() {
            self.ran = Some(AttemptStart {
                at_ms: 0,
                zone: String::new(),
            });
        }
    }

    /// The first call that may have run, where a call that was out when the process ended may have.
    pub fn may_have_run(&self) -> Option<&AttemptStart> {
        self.ran.as_ref().or(self.out.as_ref())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The form before messages had a policy.
    #[derive(Serialize)]
    struct Old {
        envelope: Rc<Envelope>,
        taken_ms: u64,
        expires_ms: u64,
        attempts: u16,
        ran: Option<AttemptStart>,
        out: Option<AttemptStart>,
        verdict: Option<Verdict>,
    }

    fn account(policy: u64, table: u64, tenant: u16) -> MessageRecord {
        let notes = vec![("origin".to_string(), "x".to_string())];
        let (id, key, reply_to) = ("m1".to_string(), Some("k1".to_string()), vec![1, 2]);
        let envelope = Envelope {
            frontend: 1,
            id,
            key,
            class: 2,
            dest: 7,
            reply_to,
            notes,
            body: vec![9; 5],
            stored_body_bytes: 0,
            tenant,
        };
        MessageRecord {
            envelope: Rc::new(envelope),
            taken_ms: 1_700_000_000_000,
            expires_ms: 1_700_000_016_000,
            attempts: 3,
            ran: Some(AttemptStart {
                at_ms: 1_700_000_000_500,
                zone: "a".into(),
            }),
            out: None,
            verdict: Some(Verdict::Deferred {
                retry_after_ms: 500,
            }),
            policy,
            table,
        }
    }

    /// An account as it was written before messages had a policy.
    const WRITTEN: &str =
        "01026d3101026b31020702010201066f726967696e017805090909090980d095ffbc3180cd96ffbc310301f4d395ffbc31\
                           0161000101f403";

    #[test]
    fn without_numbers_behind_it_the_form_is_the_old_one_to_the_byte_and_with_them_an_old_reader_reads_it(
    ) {
        let MessageRecord {
            envelope,
            taken_ms,
            expires_ms,
            attempts,
            ran,
            out,
            verdict,
            ..
        } = account(0, 0, 0);
        let old = Old {
            envelope,
            taken_ms,
            expires_ms,
            attempts,
            ran,
            out,
            verdict,
        };
        let old = postcard::to_stdvec(&old).expect("encodes");
        assert_eq!(account(0, 0, 0).encode(), old);
        assert_eq!(MessageRecord::decode(&old), Ok(account(0, 0, 0)));
        let new = account(300, 0, 0).encode();
        assert_eq!(
            (new.len(), MessageRecord::decode(&new)),
            (old.len() + 2, Ok(account(300, 0, 0)))
        );
        // What stands behind an account did not count.
        assert_eq!(
            postcard::from_bytes::<MessageRecord>(&new),
            Ok(account(0, 0, 0))
        );
        for (policy, table, tenant, more) in [
            (0, 7, 0, 2),
            (300, 7, 0, 3),
            (0, 0, 1, 3),
            (300, 7, 1, 4),
            (0, 0, u16::MAX, 5),
        ] {
            let newest = account(policy, table, tenant).encode();
            assert_eq!(newest.len(), old.len() + more);
            assert_eq!(
                MessageRecord::decode(&newest),
                Ok(account(policy, table, tenant))
            );
            // Who knows policies alone reads the number that follows an account; who knows tables,
            // too, that behind it.
            let (_, behind) =
                postcard::take_from_bytes::<MessageRecord>(&newest).expect("an account");
            let (read, behind) = postcard::take_from_bytes::<u64>(behind).expect("a policy");
            assert_eq!(
                (read, postcard::from_bytes::<u64>(behind)),
                (policy, Ok(table))
            );
        }
        assert!(MessageRecord::decode(&new[..old.len() - 1]).is_err());
        assert_eq!(data_encoding::HEXLOWER.encode(&old), WRITTEN);
    }
}
