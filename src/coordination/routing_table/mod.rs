//! Routing tables that all sites of a federation agree on before any of them uses one.
//!
//! This module owns the format of a table, the federation's replicated record, the part of a site's
//! record that concerns tables, and the decisions of a site's leader on both. It does no I/O and
//! reads no clock: `coordination::replica` runs the member and transports its messages, and
//! `coordination::leader` runs the cutover beside its other duties. How senders apply a table is
//! decided in `agent` and `delivery::routing_tables`.
//!
//! - [`document`]: parses, validates and compares the text of a table.
//! - [`federation`]: the record that all sites replicate; [`federation_view`]: one site's view of
//!   it.
//! - [`tables`]: the routing tables in a site's own record.
//! - [`cutover`]: the decisions of a site's leader on both records.
//! - [`member`]: the site's member of the raft group of sites; [`durable_vote`]: the raft state of
//!   that member in the site's record.
//!
//! Imports are one-way: `cutover` and `member` use the records and the view, never each other.

pub mod cutover;
pub mod document;
pub mod durable_vote;
pub mod federation;
pub mod federation_view;
pub mod member;
pub mod tables;
