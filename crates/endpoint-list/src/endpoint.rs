//! Endpoints and updates of the list of them.
use std::num::NonZeroU64;

/// Whether an endpoint takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Active,
    /// It completes its requests in flight and takes no new ones.
    Draining,
    /// It was removed from the fleet.
    Removed,
}

impl EndpointState {
    /// The state's name on the wire.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            EndpointState::Active => "active",
            EndpointState::Draining => "leaving",
            EndpointState::Removed => "left",
        }
    }

    /// The state that has this name on the wire.
    pub(crate) fn from_wire(name: &str) -> Option<EndpointState> {
        let states = [
            EndpointState::Active,
            EndpointState::Draining,
            EndpointState::Removed,
        ];
        states.into_iter().find(|state| state.as_str() == name)
    }
}

/// A node as the service lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Name of the node.
    pub name: String,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// Number of this run of the node's process, which grows from run to run. None, which is 0 on the wire, for a run
    /// that started long ago; every other run is later.
    pub generation: Option<NonZeroU64>,
    /// How long this run has been up, in milliseconds, when the service sent it.
    pub uptime_ms: u64,
}

/// Version of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListVersion {
    /// Drawn at random by the service at its start.
    pub epoch: u64,
    /// Counts up within the epoch. A host shows 0 while it has received nothing on its connection.
    pub version: u64,
}

/// How an update relates to what was known before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// All endpoints.
    FullSnapshot,
    /// Only those that have changed since the version before.
    Incremental,
}

/// An update that leads to a newer version of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointUpdate {
    /// Full or incremental.
    pub kind: UpdateKind,
    /// The endpoints, in the order of the message.
    pub endpoints: Vec<Endpoint>,
}
