//! Floods stand in a program of their own: they load the machine, and what else is timed must not
//! run beside them.

// The rig has more than floods need.
#![allow(dead_code)]

mod busy_peers;
mod crowds;
mod discovery;
mod door;
mod http;
mod last_words;
mod mqtt;
mod program;
mod rig;
mod usual_clients;
