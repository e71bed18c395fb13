//! What a federation's record, its sites' records and the leaders of sites do with routing tables,
//! over the unchanged machines. `agreed` looks at all states of the two records' rules; `sites`
//! draws orders of events from a seed.
#![cfg(feature = "fleet")]

#[path = "common/printed.rs"]
mod printed;

#[path = "model_tables/agreed.rs"]
mod agreed;
#[path = "model_tables/sites.rs"]
mod sites;
