//! Events that the membership protocol reports to the host that runs it.
use crate::record::{ActiveVersions, MemberState, Name};
use std::net::SocketAddr;

/// Change of a host's membership table, or of the host's own participation in the membership protocol.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A member was added, its record changed, or its state changed.
    MemberUpdated {
        /// Name of the member.
        name: Name,
        /// Address at which other members reach the member.
        address: SocketAddr,
        /// Versions of shared state that the member acts on.
        versions: ActiveVersions,
        /// State before the change. `None` if the member was not in the table.
        previous: Option<MemberState>,
        /// State after the change. Equal to the previous state if only the record changed.
        current: MemberState,
    },
    /// A member was removed from the table because it was unreachable for the whole retention time.
    MemberForgotten {
        /// Name of the member.
        name: Name,
    },
    /// Another process under this host's name started later than this one, which no longer takes part in the protocol.
    Superseded {
        /// Address of the later process.
        address: SocketAddr,
    },
    /// Nothing was received from any other member for several protocol periods, so this host's own network may have
    /// failed.
    IsolationStarted,
    /// A message from another member was received after an isolation.
    IsolationEnded,
}
