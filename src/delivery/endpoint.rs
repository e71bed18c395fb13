//! Types that describe listed endpoints: entries of the list, and their form inside this process.
//!
//! The module owns no state. Readers of an endpoint list create an [`EndpointListUpdate`], and
//! [`super::endpoint_directory`] creates [`Endpoint`]s from it, which [`super::evacuation`],
//! endpoint clients and the agent read.

use crate::{Condition, DestinationId, EndpointAddress, Listing};
use std::net::SocketAddr;

/// One entry of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Unique id of the endpoint; a machine that replaces it has a different id.
    pub uid: String,
    /// Address that the endpoint listens at.
    pub address: SocketAddr,
    /// Name of its zone.
    pub zone: String,
    /// Name of its kind.
    pub kind: String,
    /// The destination that it serves.
    pub dest: DestinationId,
    /// Condition of the endpoint; attempts are made only while it is ready.
    pub condition: Condition,
    /// Listed capacity, in attempts per second.
    pub rate: f32,
    /// When its process started, in milliseconds of Unix time, as listed; 0 where that is long ago
    /// or not told.
    pub started_unix_ms: u64,
}

/// One process of an endpoint: another one at the same address, or with the same id, is another
/// incarnation, and nothing that was connected to the one before belongs to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EndpointIncarnation {
    /// The handle of the endpoint.
    pub endpoint: EndpointAddress,
    /// The address that it listens at.
    pub address: SocketAddr,
    /// When it started, as listed.
    pub started_unix_ms: u64,
}

/// One update of the endpoint list, as received from its source.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointListUpdate {
    /// Revision of the list after this update.
    pub revision: u64,
    /// Whether this is the complete list; an endpoint that is not in it has been removed.
    pub complete: bool,
    /// The entries of the complete list, or only those that have changed.
    pub entries: Vec<EndpointEntry>,
}

/// A listed endpoint, as it is referred to inside this process.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The handle by which the dispatcher knows the endpoint.
    pub endpoint: EndpointAddress,
    /// Its entry in the list.
    pub entry: EndpointEntry,
    /// Number of its zone in the endpoint directory.
    pub zone: u16,
    /// Its kind, as a position in the settings' list of kinds.
    pub kind: u16,
}

impl Endpoint {
    /// Returns the process that is listed.
    pub fn incarnation(&self) -> EndpointIncarnation {
        EndpointIncarnation {
            endpoint: self.endpoint,
            address: self.entry.address,
            started_unix_ms: self.entry.started_unix_ms,
        }
    }

    /// Whether the endpoint is listed as ready.
    pub fn is_ready(&self) -> bool {
        self.entry.condition == Condition::Ready
    }

    /// Returns the endpoint's listing for the dispatcher, with a condition and a rate (attempts per
    /// second) that may differ from the list's.
    pub fn listing(&self, condition: Condition, rate: f32) -> Listing {
        Listing {
            endpoint: self.endpoint,
            zone: self.zone,
            kind: self.kind,
            dest: self.entry.dest,
            condition,
            rate,
        }
    }
}

/// The listed capacity of one destination in one zone.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneCapacity {
    /// Name of the zone.
    pub zone: String,
    /// The destination.
    pub dest: DestinationId,
    /// Number of endpoints that are ready.
    pub endpoints: u32,
    /// Their joint capacity, in attempts per second.
    pub rate: f32,
}
