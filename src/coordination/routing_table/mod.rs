//! A routing table that all sites of a federation agree on before any of them goes by it.
//!
//! This module owns the table's form, the federation's replicated record, the part of a site's
//! record that is about tables, and the decisions of a site's leader on both. It does no I/O and
//! reads no clock: `coordination::replica` runs the member and carries its messages, and
//! `coordination::leader` runs the cutover beside its other duties. How senders go by a table is
//! not decided here but in `agent` and `delivery::routing_tables`.
//!
//! - [`document`]: a table's text, checked and compared.
//! - [`federation`]: the record that all sites replicate; [`federation_view`]: one site's view of
//!   it.
//! - [`tables`]: what each site's own record holds of tables.
//! - [`cutover`]: what a site's leader does with both records.
//! - [`member`]: the site's member of the raft group of sites; [`durable_vote`]: what the site's
//!   record persists of it.
//!
//! Imports go one way: `cutover` and `member` use the records and the view, never each other.

pub mod cutover;
pub mod document;
pub mod durable_vote;
pub mod federation;
pub mod federation_view;
pub mod member;
pub mod tables;
