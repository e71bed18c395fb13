//! A routing table that all sites of a federation agree on before any of them goes by it.
//!
//! [`document`] is what a table says, [`federation`] what the sites' record of the federation
//! holds, [`tables`] what each site's own record does, and [`cutover`] what the leader of a site
//! does with both. [`member`] is the leader's part in the federation itself, and [`durable_vote`] what
//! the site's record holds of that. Nothing here does I/O or reads a clock.

pub mod cutover;
pub mod document;
pub mod durable_vote;
pub mod federation;
pub mod member;
pub mod tables;
