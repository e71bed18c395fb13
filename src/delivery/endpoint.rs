//! The types that describe listed endpoints: what a list says of them, and how this process knows
//! them.
//!
//! Owns no state. Whoever reads a list fills in [`EndpointListUpdate`]; [`super::endpoint_directory`] makes [`Endpoint`]s of it;
//! [`super::evacuation`], the clients of endpoints and the agent read those.

use crate::{Condition, DestinationId, EndpointAddress, Listing};
use std::net::SocketAddr;

/// One entry of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Identifies the endpoint; a machine that replaces it has another one.
    pub uid: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Name of its zone.
    pub zone: String,
    /// Name of its kind.
    pub kind: String,
    /// The destination that it serves.
    pub dest: DestinationId,
    /// Whether it wants attempts.
    pub condition: Condition,
    /// Attempts per second that it accepts, as far as the list says.
    pub rate: f32,
}

/// One update of the endpoint list by its source.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointListUpdate {
    /// Revision of the list that this update leads to.
    pub revision: u64,
    /// Whether this is the complete list, so that an endpoint that is not in it is gone.
    pub complete: bool,
    /// The complete list, or the entries that have changed.
    pub entries: Vec<EndpointEntry>,
}

/// A listed endpoint, as the rest of this process refers to it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The decision module's name for it.
    pub endpoint: EndpointAddress,
    /// What the list says of it.
    pub entry: EndpointEntry,
    /// Its zone, as a number of the directory.
    pub zone: u16,
    /// Its kind, as a position in the settings.
    pub kind: u16,
}

impl Endpoint {
    /// Whether the list says that it wants attempts.
    pub fn is_ready(&self) -> bool {
        self.entry.condition == Condition::Ready
    }

    /// What the decision module reads of it, with a condition and a rate (attempts per second) that
    /// may differ from the list's.
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
    /// Endpoints that want attempts.
    pub endpoints: u32,
    /// Attempts per second that they accept together.
    pub rate: f32,
}
