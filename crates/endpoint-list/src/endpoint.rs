//! Endpoints, and updates of the endpoint list.
use std::num::NonZeroU64;

/// State of an endpoint: whether it accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The node accepts requests.
    Active,
    /// The node completes its requests in flight and accepts no new ones.
    Draining,
    /// The node was removed from the fleet.
    Removed,
}

impl EndpointState {
    /// Returns the state's name on the wire.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            EndpointState::Active => "active",
            EndpointState::Draining => "leaving",
            EndpointState::Removed => "left",
        }
    }

    /// Returns the state with this name on the wire.
    pub(crate) fn from_wire(name: &str) -> Option<EndpointState> {
        let states = [
            EndpointState::Active,
            EndpointState::Draining,
            EndpointState::Removed,
        ];
        states.into_iter().find(|state| state.as_str() == name)
    }
}

/// Node as the service lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Name of the node.
    pub name: String,
    /// Whether the node accepts requests.
    pub state: EndpointState,
    /// Number of the current run of the node's process, which increases from run to run. `None` (0 on the wire): the
    /// run started long ago, before any numbered run.
    pub generation: Option<NonZeroU64>,
    /// Time for which the run had been up when the service sent the endpoint, in milliseconds.
    pub uptime_ms: u64,
}

/// Version of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListVersion {
    /// Random number that the service draws at its start.
    pub epoch: u64,
    /// Number of the version, which increases within the epoch. 0: the host has received no update on its connection.
    pub version: u64,
}

/// Kind of an update, which decides how it is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// The update contains all endpoints.
    FullSnapshot,
    /// The update contains only endpoints that have changed since the previous version.
    Incremental,
}

/// Update to a newer version of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointUpdate {
    /// Kind of the update.
    pub kind: UpdateKind,
    /// Endpoints in the order of the message.
    pub endpoints: Vec<Endpoint>,
}
