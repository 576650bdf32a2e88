//! Calls from the scheduler to its host.
use super::Dispatcher;
use super::block_io::{Attempt, BlockIo};
use mallowseam_connection_policy::command_progress::RequestOutcome;
use mallowseam_scheduler::interface::{AttemptResult, BioId, Host, KeyId, NodeId, Tick, VolumeId};
use mallowseam_scheduler_driver::{DrivenHost, SchedulerDriver};

impl DrivenHost for Dispatcher {
    type BlockIo = BlockIo;
    type Attempt = Attempt;

    fn now(&self) -> Tick {
        self.now
    }

    fn driver_mut(&mut self) -> &mut SchedulerDriver<BlockIo, Attempt> {
        self.block_ios.driver_mut()
    }
}

impl Host for Dispatcher {
    fn forward(&mut self, bio: BioId, node: NodeId, timeout: Tick) {
        self.start_attempt(bio, node, timeout);
    }

    fn cancel(&mut self, bio: BioId, attempt: u32) {
        let io = self.block_ios.get(bio);
        let is_in_flight = io.is_some_and(|io| io.attempt_numbered(attempt).is_some());
        if is_in_flight {
            self.abort_attempt(bio, AttemptResult::NotSent, AttemptResult::Cancelled);
        }
    }

    fn shed(&mut self, bio: BioId, retry_after: Option<Tick>) {
        self.answer_not_completed(bio, RequestOutcome::Shed { retry_after });
    }

    fn fail(&mut self, bio: BioId) {
        self.answer_not_completed(bio, RequestOutcome::Failed);
    }

    fn set_timer(&mut self, after: Tick) {
        let now = self.now;
        self.block_ios.driver_mut().set_timer(now, after);
    }

    fn poll_endpoints(&mut self) {
        self.block_ios.driver_mut().request_endpoints();
    }

    fn release_bio(&mut self, bio: BioId) {
        let io = self.block_ios.get_mut(bio);
        match io.filter(|io| io.is_withdrawn() && !io.is_answered()) {
            Some(io) => {
                io.reset();
                io.data.mark_unscheduled();
                self.wait_for_location(bio);
            }
            None => self.release(bio),
        }
    }

    fn release_key(&mut self, key: KeyId) {
        self.block_ios.release_key(key);
    }

    /// Does nothing: volumes are identified by their index in the configuration, which is never reused.
    fn release_volume(&mut self, _volume: VolumeId) {}

    /// Does nothing: nodes are identified by their index in the configuration, which is never reused.
    fn release_node(&mut self, _node: NodeId) {}
}
