//! The platform's own protocol: messages by HTTP, providers by HTTP, its directory and its notices.

pub mod discovery;
pub mod http;
pub mod ingress;
pub mod list;
pub mod notices;
pub mod providers;
pub mod watch;
