//! Sessions of clients, and their handles.
use std::num::NonZeroU16;

/// The session of a connection that has logged in.
pub(super) struct Session {
    pub(super) initiator: String,
    pub(super) isid: [u8; 6],
    pub(super) handle: NonZeroU16,
}

impl Session {
    /// Whether this session belongs to an initiator port (RFC 7143, 4.3: initiator name and ISID).
    pub(super) fn is_of(&self, initiator: &str, isid: [u8; 6]) -> bool {
        self.initiator == initiator && self.isid == isid
    }
}

/// Assigns session handles in ascending order, so that one that was in use is not soon used again.
#[derive(Default)]
pub(super) struct SessionHandles {
    last: Option<NonZeroU16>,
}

impl SessionHandles {
    /// The next handle that is not in use. None: all are.
    pub(super) fn next_free(&self, in_use: impl Fn(NonZeroU16) -> bool) -> Option<NonZeroU16> {
        let last = self.last.map_or(0, NonZeroU16::get);
        (0..=u16::MAX)
            .filter_map(|offset| NonZeroU16::new(last.wrapping_add(offset).wrapping_add(1)))
            .find(|handle| !in_use(*handle))
    }

    /// A handle was taken.
    pub(super) fn taken(&mut self, handle: NonZeroU16) {
        self.last = Some(handle);
    }
}
