//! Judgement of zones: whether one fails, how much of its traffic the others can take, and how
//! fast one that was evacuated gets its traffic back.
//!
//! - [`evidence`] collects what senders report and gives each zone a verdict.
//! - [`spare_capacity`] knows what each zone lists, and how much of a zone's traffic the rest
//!   can take when it is evacuated.
//! - [`recovery_ramp`] is the budget of calls to a zone that is being returned to, handed out to
//!   senders as leased grants.
//! - [`rules`] are the settings of all three.
//!
//! Nothing here decides: the [leader](crate::coordination::leader) brings the three together,
//! keeps one of each for its term, and proposes evacuations and returns; the
//! [record](crate::coordination::record) holds what was agreed. Only the leader calls this
//! module. It reads no clock and does no I/O: every function that depends on time is given `now`,
//! in nanoseconds of the leader's monotonic clock.

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
