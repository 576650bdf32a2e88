//! Unit tests of the policy modules. The integration tests in `tests/` cover their interaction.
mod backoff;
mod concurrency_window;
mod cost_multiplier;
mod fleet_latency;
mod idempotency;
mod latency_estimate;
mod lost_responses;
mod node_budget;
mod ordering_keys;
mod request;
mod retry_budget;
mod shed_history;
mod slow_start;
mod timers;
mod usual_rate;
mod volume;
mod warm_demand;

use crate::interface::{Bio, BioId, Host, KeyId, NodeId, Tick, VolumeId};

/// A host that records the released keys and the timers that are set.
#[derive(Default)]
struct RecordingHost {
    released_keys: Vec<KeyId>,
    timers: Vec<Tick>,
}

impl Host for RecordingHost {
    fn forward(&mut self, _bio: BioId, _node: NodeId, _timeout: Tick) {}
    fn cancel(&mut self, _bio: BioId, _attempt: u32) {}
    fn shed(&mut self, _bio: BioId, _retry_after: Option<Tick>) {}
    fn fail(&mut self, _bio: BioId) {}
    fn set_timer(&mut self, after: Tick) {
        self.timers.push(after);
    }
    fn poll_endpoints(&mut self) {}
    fn release_bio(&mut self, _bio: BioId) {}
    fn release_key(&mut self, key: KeyId) {
        self.released_keys.push(key);
    }
    fn release_volume(&mut self, _volume: VolumeId) {}
    fn release_node(&mut self, _node: NodeId) {}
}

/// Returns a block I/O of this volume with this deadline.
fn bio(volume: u32, deadline: Tick) -> Bio {
    Bio {
        volume: VolumeId(volume),
        deadline,
        ..Bio::default()
    }
}

/// Asserts that two values are equal except for rounding errors.
#[track_caller]
fn assert_close(measured: f64, expected: f64) {
    assert!(
        (measured - expected).abs() < 1e-9,
        "measured {measured}, expected {expected}"
    );
}
