//! State that the scheduler acts on, and the calls that it makes on its host.
use super::block_io::{BlockIo, NodeSlot};
use super::counters::IoCounters;
use super::event_times::EventTimes;
use crate::clients::ClientConnections;
use crate::nodes::{Completion, NodeConnections};
use mallowseam_connection_policy::executed_requests::ExecutedRequests;
use mallowseam_platform::interner::NameInterner;
use mallowseam_platform::settings::PlatformSettings;
use mallowseam_scheduler::interface::{BioId, Host, KeyId, NodeId, Tick, VolumeId};
use mallowseam_scheduler_driver::{DrivenHost, SchedulerDriver};

/// Block I/Os in flight, with the connections that carry them.
pub struct SchedulerHost {
    pub(super) times: EventTimes,
    pub(super) settings: PlatformSettings,
    pub(super) clients: ClientConnections,
    pub(super) nodes: NodeConnections,
    pub(super) names: NameInterner,
    pub(super) executed: ExecutedRequests,
    pub(super) counters: IoCounters,
    pub(super) driver: SchedulerDriver<BlockIo, NodeSlot>,
}

impl SchedulerHost {
    /// Creates a host with no block I/Os in flight. `executed`: an empty memory of the ids that were executed.
    pub fn new(
        now: Tick,
        settings: PlatformSettings,
        clients: ClientConnections,
        nodes: NodeConnections,
        executed: ExecutedRequests,
    ) -> Self {
        SchedulerHost {
            times: EventTimes::new(now),
            settings,
            clients,
            nodes,
            names: NameInterner::default(),
            executed,
            counters: IoCounters::default(),
            driver: SchedulerDriver::default(),
        }
    }
}

impl DrivenHost for SchedulerHost {
    type BlockIo = BlockIo;
    type Attempt = NodeSlot;

    fn now(&self) -> Tick {
        self.times.now()
    }

    fn driver_mut(&mut self) -> &mut SchedulerDriver<BlockIo, NodeSlot> {
        &mut self.driver
    }
}

impl Host for SchedulerHost {
    fn forward(&mut self, bio: BioId, node: NodeId, timeout: Tick) {
        if let Err(result) = self.start_attempt(bio, node, timeout) {
            self.counters.unsent_attempts += 1;
            self.queue_completion(&Completion::unsent(bio, node, result, self.times.now()));
        }
    }

    fn cancel(&mut self, bio: BioId, attempt: u32) {
        // An attempt that is no longer in flight has completed, and its completion is already queued.
        let io = self.driver.in_flight().get(bio);
        let slot = io.and_then(|io| io.attempt_numbered(attempt).copied());
        if let Some(completion) = slot.and_then(|slot| self.nodes.cancel(slot, bio)) {
            self.queue_completion(&completion);
        }
    }

    fn shed(&mut self, bio: BioId, retry_after: Option<Tick>) {
        self.respond_shed(bio, retry_after);
    }

    fn fail(&mut self, bio: BioId) {
        self.respond_failed(bio);
    }

    fn set_timer(&mut self, after: Tick) {
        self.driver.set_timer(self.times.now(), after);
    }

    /// Requests a new watch, which begins with the changes that were missed, or with a full snapshot if necessary.
    fn poll_endpoints(&mut self) {
        self.driver.request_endpoints();
    }

    fn release_bio(&mut self, bio: BioId) {
        let Some(released) = self.driver.in_flight_mut().release(bio) else {
            return;
        };
        let io = released.data;
        self.names.release_request(&io.id);
        if let Some(knowledge) = io.may_have_run.filter(|_| io.is_side_effecting) {
            let now = self.times.now_ms();
            self.executed.record(now, io.id.bytes(), knowledge);
        }
    }

    fn release_key(&mut self, key: KeyId) {
        self.names.release_key(key);
    }

    fn release_volume(&mut self, volume: VolumeId) {
        self.names.release_volume(volume);
    }

    fn release_node(&mut self, node: NodeId) {
        self.names.release_node(node);
        self.nodes.release(node);
    }
}
