//! Whether a connected host receives the changes of the tree.
use mallowseam_service_loop::HostConnection;

/// Whether a connected host receives the changes of the tree.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Subscription {
    /// The host has not said hello and has not been sent the tree.
    #[default]
    None,
    /// The host has said hello and has been sent the tree. It receives every change from then on.
    Active,
}

/// A connection from a host, with its subscription.
pub(crate) type Host = HostConnection<Subscription>;
