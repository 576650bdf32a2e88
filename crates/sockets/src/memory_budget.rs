//! A limit on the bytes that the buffers of many connections hold together.

/// Bytes in use, and their limit. The limit is checked by those who would use more; it is not enforced here, since a
/// buffer's size is known only once it has grown.
#[derive(Clone, Copy, Debug)]
pub struct MemoryBudget {
    used: usize,
    limit: usize,
}

impl MemoryBudget {
    /// A budget of so many bytes, with none in use.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        MemoryBudget { used: 0, limit }
    }

    /// Bytes in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used
    }

    /// Whether so many more bytes are within the limit.
    #[must_use]
    pub fn has_room_for(&self, bytes: usize) -> bool {
        self.used + bytes <= self.limit
    }

    /// Whether more is in use than the limit allows.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        self.used > self.limit
    }

    /// A buffer that is counted has another size now.
    pub fn resize(&mut self, before: usize, after: usize) {
        self.used = self.used + after - before;
    }

    /// A buffer that is counted is freed, or counted elsewhere from now on.
    pub fn release(&mut self, bytes: usize) {
        self.used -= bytes;
    }
}
