//! Client sessions and the assignment of their handles.
use std::num::NonZeroU16;

/// Session of a connection whose login is finished.
pub(super) struct Session {
    pub(super) initiator: String,
    pub(super) isid: [u8; 6],
    pub(super) handle: NonZeroU16,
}

impl Session {
    /// Returns whether the session belongs to an initiator port (RFC 7143, 4.3: initiator name and ISID).
    pub(super) fn belongs_to(&self, initiator: &str, isid: [u8; 6]) -> bool {
        self.initiator == initiator && self.isid == isid
    }
}

/// Assigns session handles in ascending order, so that a released handle is not reused soon.
#[derive(Default)]
pub(super) struct SessionHandles {
    last_used: Option<NonZeroU16>,
}

impl SessionHandles {
    /// Returns the next handle that is not in use. `None`: all handles are in use.
    pub(super) fn next_free(&self, in_use: impl Fn(NonZeroU16) -> bool) -> Option<NonZeroU16> {
        let last = self.last_used.map_or(0, NonZeroU16::get);
        (0..=u16::MAX)
            .filter_map(|offset| NonZeroU16::new(last.wrapping_add(offset).wrapping_add(1)))
            .find(|handle| !in_use(*handle))
    }

    /// Records that a handle was assigned to a session.
    pub(super) fn mark_used(&mut self, handle: NonZeroU16) {
        self.last_used = Some(handle);
    }
}
