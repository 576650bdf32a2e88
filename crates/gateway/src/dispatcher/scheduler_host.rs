//! The calls that the scheduler makes on its host.
use super::Dispatcher;
use mallowseam_connection_policy::command_progress::RequestOutcome;
use mallowseam_scheduler::interface::{AttemptResult, BioId, Host, KeyId, NodeId, Tick, VolumeId};

impl Host for Dispatcher {
    fn forward(&mut self, bio: BioId, node: NodeId, timeout: Tick) {
        self.start_attempt(bio.0, node, timeout);
    }

    fn cancel(&mut self, bio: BioId, attempt: u32) {
        let io = self.block_ios.get(bio.0);
        let is_in_flight = io.is_some_and(|io| io.attempt_numbered(attempt).is_some());
        if is_in_flight {
            self.abort_attempt(bio.0, AttemptResult::NotSent, AttemptResult::Cancelled);
        }
    }

    fn shed(&mut self, bio: BioId, retry_after: Tick) {
        self.answer_not_completed(bio, RequestOutcome::Shed { retry_after });
    }

    fn fail(&mut self, bio: BioId) {
        self.answer_not_completed(bio, RequestOutcome::Failed);
    }

    fn set_timer(&mut self, after: Tick) {
        self.queue.set_timer(self.now + after);
    }

    fn poll_endpoints(&mut self) {
        self.queue.request_endpoint_list();
    }

    fn release_bio(&mut self, bio: BioId) {
        let io = self.block_ios.get_mut(bio.0);
        match io.filter(|io| io.is_relocating() && !io.is_answered()) {
            Some(io) => {
                io.finish_relocation();
                self.wait_for_location(bio.0);
            }
            None => self.release(bio.0),
        }
    }

    fn release_key(&mut self, key: KeyId) {
        self.block_ios.release_key(key);
    }

    /// Volumes keep their index: there are as many as the configuration names.
    fn release_volume(&mut self, _volume: VolumeId) {}

    /// Nodes have the indices that the configuration gives them.
    fn release_node(&mut self, _node: NodeId) {}
}
