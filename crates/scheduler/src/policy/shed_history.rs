//! Block I/Os that were shed, by which their clients' retries are recognised.
use crate::interface::{Bio, Tick, VolumeId};

/// Ticks, at most, between the deadlines of a block I/O and its client's retry.
const DEADLINE_TOLERANCE: Tick = 5;

/// The block I/Os shed here, kept until their deadlines are past.
#[derive(Default)]
pub(super) struct ShedHistory {
    records: Vec<ShedRecord>,
}

struct ShedRecord {
    volume: VolumeId,
    deadline: Tick,
    objective_end: Tick,
}

impl ShedHistory {
    /// Records a block I/O that is shed, and when its latency objective ends.
    pub(super) fn record(&mut self, bio: &Bio, objective_end: Tick) {
        self.records.push(ShedRecord {
            volume: bio.volume,
            deadline: bio.deadline,
            objective_end,
        });
    }

    /// When the objective of the first try ends, if a block I/O is a client's retry. A retry is recognised by the
    /// deadline of its first try. A short time left proves nothing, since some clients give up early.
    pub(super) fn objective_end_of_original(&self, bio: &Bio) -> Option<Tick> {
        let same = |record: &&ShedRecord| {
            record.volume == bio.volume
                && (record.deadline - bio.deadline).abs() <= DEADLINE_TOLERANCE
        };
        let first = self.records.iter().find(same);
        first.map(|record| record.objective_end)
    }

    /// Forgets block I/Os whose deadlines are past.
    pub(super) fn forget_expired(&mut self, now: Tick) {
        self.records.retain(|record| record.deadline > now);
    }
}
