//! Sequence numbers of pings and ping requests.

/// Generator of sequence numbers, by which this host matches acks and results to its pings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct SequenceNumbers {
    last: u32,
}

impl SequenceNumbers {
    /// Returns the next sequence number, which wraps around after the highest.
    pub fn next(&mut self) -> u32 {
        self.last = self.last.wrapping_add(1);
        self.last
    }
}
