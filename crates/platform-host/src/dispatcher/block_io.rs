//! A client's block I/O.
use mallowseam_platform::request::RequestId;
use mallowseam_scheduler::interface::Tick;
use mallowseam_scheduler_driver::InFlight;

/// The slot of a client's connection.
pub type ClientSlot = u32;
/// The slot of the connection to a node that carries an attempt.
pub type NodeSlot = u32;

/// A client's block I/O, from its complete request until the scheduler releases it.
pub struct BlockIo {
    /// The id of its request.
    pub id: RequestId,
    /// The client's connection.
    pub client: ClientSlot,
    /// When the client gives up.
    pub deadline: Tick,
}

/// The connection of the client that waits for the final response of a block I/O.
pub fn waiting_client(io: &InFlight<BlockIo, NodeSlot>) -> Option<ClientSlot> {
    (!io.is_answered()).then_some(io.data.client)
}
