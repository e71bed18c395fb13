//! Models of a federation's record, its sites' records and the sites' leaders, with the production
//! state machines for routing tables. `agreed` explores all states of the rules of the federation's
//! record; `sites` draws orders of events from a seed.
#![cfg(feature = "fleet")]

#[path = "common/printed.rs"]
mod printed;

#[path = "model_tables/agreed.rs"]
mod agreed;
#[path = "model_tables/sites.rs"]
mod sites;
