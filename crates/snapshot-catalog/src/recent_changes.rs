//! The last changes on disk, for hosts that reconnect after a short interruption.
use mallowseam_cow::tree::Change;
use std::collections::VecDeque;

/// Maximum number of changes that are retained, which are those of some seconds of first writes.
const MAX_RECENT_CHANGES: usize = 4_096;

/// The last changes that were committed, oldest first.
#[derive(Debug, Default)]
pub(crate) struct RecentChanges {
    changes: VecDeque<Change>,
}

impl RecentChanges {
    /// Adds changes that were committed, and drops the oldest ones beyond [`MAX_RECENT_CHANGES`].
    pub(crate) fn extend(&mut self, committed: &[Change]) {
        self.changes.extend(committed.iter().cloned());
        let excess = self.changes.len().saturating_sub(MAX_RECENT_CHANGES);
        self.changes.drain(..excess);
    }

    /// Returns the last `count` changes, or `None` if fewer are retained.
    pub(crate) fn last(&self, count: u64) -> Option<impl Iterator<Item = &Change>> {
        let start = self
            .changes
            .len()
            .checked_sub(usize::try_from(count).ok()?)?;
        Some(self.changes.range(start..))
    }
}

#[cfg(test)]
mod tests;
