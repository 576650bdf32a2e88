//! Admission state of a host: open or draining.
use crate::Millis;

/// Time in which the clients of a draining host can log out, in milliseconds.
pub const LOGOUT_TIMEOUT: Millis = 2_000;

/// Admission state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HostState {
    /// Logins and commands are admitted.
    Open,
    /// Logins are rejected; commands in flight are finished.
    Draining {
        /// Time at which the draining began.
        since: Millis,
    },
}

impl HostState {
    pub(super) fn is_draining(self) -> bool {
        self != HostState::Open
    }

    /// Returns whether the host has been draining for [`LOGOUT_TIMEOUT`].
    pub(super) fn logout_timeout_passed(self, now: Millis) -> bool {
        match self {
            HostState::Open => false,
            HostState::Draining { since } => now >= since + LOGOUT_TIMEOUT,
        }
    }
}
