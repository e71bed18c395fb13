//! Staged rollout of policies: what a policy may set, how the zones of a site change from one
//! policy to the next, and when a rollout halts automatically.
//!
//! [`document`] defines a policy and how it is merged with a sender's own settings, [`plan`] how a
//! policy is rolled out, [`register`] what the record stores of both, [`rollout`] what the leader
//! does with that state, and [`health`] the statistics by which it judges a stage. None of these
//! modules does I/O or reads a clock.

pub mod document;
pub mod health;
pub mod plan;
pub mod register;
pub mod rollout;
