//! Entries that a source reports, and changes that the list passes on to its owner.

use crate::routing::events::{Endpoint, EndpointState, Id, Micros, Role};
use std::net::SocketAddr;

/// An endpoint as reported by a source.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Id of the endpoint.
    pub id: Id,
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// State of the endpoint.
    pub state: EndpointState,
    /// Role of the endpoint.
    pub role: Role,
    /// Index of the zone in the settings.
    pub zone: usize,
    /// Cell of the endpoint.
    pub cell: u32,
    /// Index of the kind in the settings.
    pub kind: u32,
    /// Weight of the endpoint.
    pub weight: f64,
    /// Time of the last start; 0 if the start was long ago or is unknown.
    pub started_at: Micros,
    /// Number of the process with this id, which grows with each new process. 0 if the source does not know the number;
    /// a new process is then detected only by a later start.
    pub incarnation: u64,
}

/// What happens to the connections to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connections {
    /// The connections are kept.
    Keep,
    /// Connections dialed before this time are replaced, because their process is gone.
    ReplaceBefore(Micros),
    /// No new request is sent on the connections, and each is closed when idle.
    End,
}

/// A change of one endpoint for the owner of the list.
#[derive(Clone, Debug)]
pub struct Change {
    /// The endpoint in the form of the router.
    pub endpoint: Endpoint,
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// What happens to the connections to the endpoint.
    pub connections: Connections,
}

/// The error for a list or entry that exceeds the maximum number of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{count} endpoints are listed, at most {max} are allowed; remove endpoints at the source of the list"
)]
pub struct TooManyEndpoints {
    /// Number of endpoints that the list would have.
    pub count: usize,
    /// Maximum number of endpoints.
    pub max: usize,
}

/// Numbers of endpoints by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Endpoints that accept new requests.
    pub ready: usize,
    /// Endpoints that are listed but accept no new requests.
    pub draining: usize,
    /// Endpoints whose address is owned by another endpoint.
    pub shadowed: usize,
    /// Endpoints whose change the owner has not taken yet.
    pub waiting: usize,
}
