//! Limit on the total size of the buffers of many connections.

/// Total size of all counted buffers, and its limit. The limit is not enforced here, since a buffer's size is known
/// only once it has grown; callers check the limit before they use more.
#[derive(Clone, Copy, Debug)]
pub struct MemoryBudget {
    used: usize,
    limit: usize,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes, none of which are in use.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        MemoryBudget { used: 0, limit }
    }

    /// Returns the number of bytes in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns whether `bytes` more bytes are within the limit.
    #[must_use]
    pub fn has_room_for(&self, bytes: usize) -> bool {
        self.used + bytes <= self.limit
    }

    /// Returns whether more bytes are in use than the limit allows.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        self.used > self.limit
    }

    /// Records that the size of a counted buffer has changed from `before` to `after` bytes.
    pub fn resize(&mut self, before: usize, after: usize) {
        self.used = self.used + after - before;
    }

    /// Records that a counted buffer of `bytes` bytes was freed, or is counted elsewhere from now on.
    pub fn release(&mut self, bytes: usize) {
        self.used -= bytes;
    }
}
