//! Whether a host is open or draining.
use crate::Millis;

/// Milliseconds that a draining host leaves its clients to log out.
pub const LOGOUT_TIMEOUT: Millis = 2_000;

/// What a host admits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HostState {
    /// Logins and commands.
    Open,
    /// No logins; commands in flight are finished.
    Draining {
        /// When it began to drain.
        since: Millis,
    },
}

impl HostState {
    pub(super) fn is_draining(self) -> bool {
        self != HostState::Open
    }

    /// Whether the host is draining, and its clients have had their time to log out.
    pub(super) fn logout_timeout_passed(self, now: Millis) -> bool {
        match self {
            HostState::Open => false,
            HostState::Draining { since } => now >= since + LOGOUT_TIMEOUT,
        }
    }
}
