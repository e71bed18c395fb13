//! A model of what raildeal balances: clients, senders, a directory, partners and what lies
//! between, in virtual time.
//!
//! The senders' decisions are the program's own: [`raildeal::dispatch::dispatcher`], [`raildeal::admission_control`] and
//! [`raildeal::store::capacity`]. A day comes from one file and one seed and replays exactly.
#![forbid(unsafe_code)]

pub mod check;
pub mod day;
pub mod dice;
pub mod done;
mod due;
pub mod experiment;
pub mod journal;
pub mod load;
pub mod log;
pub mod partner;
pub mod plan;
pub mod plot;
pub mod policies;
pub mod policy;
pub mod range;
pub mod report;
pub mod run;
pub mod sender;
pub mod sim;
pub mod tables;
pub mod tally;
pub mod world;
pub mod zones;
