//! Whether a connected host is sent the changes of the tree.
use mallowseam_service_loop::HostConnection;

/// Whether a host is sent the changes of the tree.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Subscription {
    /// It has not been sent the tree.
    #[default]
    None,
    /// It has said hello and was sent the tree, and is sent every change from then on.
    Active,
}

/// A connection of a host.
pub(crate) type Host = HostConnection<Subscription>;
