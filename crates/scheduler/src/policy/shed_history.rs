//! The history of shed block I/Os, by which retries from their clients are recognised.
use crate::interface::{Bio, Tick, VolumeId};

/// Maximum difference between the deadlines of a block I/O and of its client's retry, in ticks.
const DEADLINE_TOLERANCE: Tick = 5;

/// The block I/Os that this host has shed, kept until their deadlines have passed.
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
    /// Records a block I/O that is shed, with the end of its latency objective.
    pub(super) fn record(&mut self, bio: &Bio, objective_end: Tick) {
        self.records.push(ShedRecord {
            volume: bio.volume,
            deadline: bio.deadline,
            objective_end,
        });
    }

    /// Returns the end of the objective of the original request, if a block I/O is a client's retry. A retry is
    /// recognised by having the same deadline as the original request. A short time to the deadline is no evidence of a
    /// retry, because some clients give up early.
    pub(super) fn objective_end_of_original(&self, bio: &Bio) -> Option<Tick> {
        let same = |record: &&ShedRecord| {
            record.volume == bio.volume
                && (record.deadline - bio.deadline).abs() <= DEADLINE_TOLERANCE
        };
        let first = self.records.iter().find(same);
        first.map(|record| record.objective_end)
    }

    /// Forgets block I/Os whose deadlines have passed.
    pub(super) fn forget_expired(&mut self, now: Tick) {
        self.records.retain(|record| record.deadline > now);
    }
}
