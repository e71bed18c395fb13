//! The directory as a DNS zone: read from a zone file (RFC 1035), changed by dynamic updates (RFC
//! 2136).

pub mod server;
pub mod update;
pub mod zone;
pub mod zone_cache;
pub mod zone_file;
pub mod zone_identity;
pub mod zone_text;
pub mod zones;
