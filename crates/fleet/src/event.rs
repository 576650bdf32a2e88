//! Events that the membership protocol reports to the host that runs it.
use crate::record::{ActiveVersions, MemberState, Name};
use std::net::SocketAddr;

/// A change of a host's membership table, or of the host's own standing in the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A member was added, its record changed, or its state changed.
    MemberUpdated {
        /// Name of the member.
        name: Name,
        /// Address at which members reach it.
        address: SocketAddr,
        /// Versions that it acts on.
        versions: ActiveVersions,
        /// State before the change; none: the member was not in the table.
        previous: Option<MemberState>,
        /// State after the change; the same as before where only the record changed.
        current: MemberState,
    },
    /// A member was unreachable for the whole retention time and was removed from the table.
    MemberForgotten {
        /// Name of the member.
        name: Name,
    },
    /// A process that started later runs under this host's name. This one no longer takes part in the protocol.
    Superseded {
        /// Address of the later process.
        address: SocketAddr,
    },
    /// Nothing was received from any other member for some periods: the network of this host itself may have failed.
    IsolationStarted,
    /// A message of another member was received again.
    IsolationEnded,
}
