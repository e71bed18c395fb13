//! Rules that are rolled out: what a policy may say, how a region goes from one to the next, and
//! when that halts by itself.
//!
//! [`document`] is what a policy is and how it lies over a sender's own settings, [`plan`] how it
//! is rolled out, [`register`] what the record holds of both, [`rollout`] what the leader does with
//! that, [`health`] what it judges by. Nothing here does I/O or reads a clock.

pub mod document;
pub mod health;
pub mod plan;
pub mod register;
pub mod rollout;
