//! Sequence numbers of pings.

/// Numbers the pings of this host, so that it recognizes their answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct SequenceNumbers {
    last: u32,
}

impl SequenceNumbers {
    pub fn next(&mut self) -> u32 {
        self.last = self.last.wrapping_add(1);
        self.last
    }
}
