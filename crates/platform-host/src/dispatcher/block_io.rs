//! A client's block I/O in flight.
use mallowseam_connection_policy::executed_requests::ClientKnowledge;
use mallowseam_platform::request::RequestId;
use mallowseam_scheduler::interface::Tick;
use mallowseam_scheduler_driver::InFlight;

/// Slot of a client's connection.
pub type ClientSlot = u32;
/// Slot of the connection to a node that carries an attempt.
pub type NodeSlot = u32;

/// A client's block I/O, from the admission of its request until the scheduler releases it.
pub struct BlockIo {
    /// Request id that the client has sent.
    pub id: RequestId,
    /// Slot of the client's connection.
    pub client: ClientSlot,
    /// Time after which the client no longer waits for the final response.
    pub deadline: Tick,
    /// Whether the block I/O must not be run again when its id comes a second time.
    pub is_side_effecting: bool,
    /// What the client knows, once a node may have run the block I/O.
    pub may_have_run: Option<ClientKnowledge>,
}

/// Returns the slot of the client that waits for the final response of a block I/O, or `None` if it was already
/// answered.
pub fn waiting_client(io: &InFlight<BlockIo, NodeSlot>) -> Option<ClientSlot> {
    (!io.is_answered()).then_some(io.data.client)
}
