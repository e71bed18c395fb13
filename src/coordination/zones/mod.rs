//! Judgement of zones: whether a zone fails, how much of its traffic the others can take, and how
//! fast an evacuated zone gets its traffic back.
//!
//! - [`evidence`] collects the senders' reports and computes a verdict for each zone.
//! - [`spare_capacity`] keeps the listed capacity of each zone, and computes how much of a zone's
//!   traffic the other zones can take when it is evacuated.
//! - [`recovery_ramp`] manages the budget of calls to a returning zone, which senders get as leased
//!   grants.
//! - [`rules`] contains the settings of all three.
//!
//! This module makes no decisions. The [leader](crate::coordination::leader) combines the three,
//! keeps one of each for its term, and proposes evacuations and returns; the
//! [record](crate::coordination::record) holds the agreed orders. Only the leader calls this
//! module. It reads no clock and does no I/O: every function that depends on time takes `now`, in
//! nanoseconds of the leader's monotonic clock.

mod counts;
pub mod evidence;
pub mod recovery_ramp;
pub mod rules;
pub mod spare_capacity;

pub use counts::RecentCounts;
pub use rules::ZoneRules;

/// Converts milliseconds, the unit of the settings, to nanoseconds.
pub(super) fn ms(ms: u32) -> crate::Nanos {
    crate::Nanos::from(ms) * 1_000_000
}
