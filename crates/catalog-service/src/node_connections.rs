//! The interface through which the catalog uses its connections to storage nodes.
use mallowseam_scheduler::interface::Tick;

/// A SCSI command to the logical unit of a layer.
pub struct UnitCommand {
    /// Tag that is unique among the commands in flight.
    pub tag: u32,
    /// LUN of the logical unit, which is the id of the layer.
    pub lun: u32,
    /// Command descriptor block.
    pub cdb: [u8; 16],
    /// Data that is sent with the command.
    pub data: Vec<u8>,
}

/// A command that has ended without being cancelled.
pub struct FinishedCommand {
    /// Tag of the command.
    pub tag: u32,
    /// Whether the node has completed the command.
    pub has_succeeded: bool,
}

/// The connections to the nodes of the configuration, which are identified by their indices there. The event loop of
/// the catalog watches the connections. A connection is opened when a command needs it.
pub trait NodeConnections {
    /// Returns the number of nodes.
    fn count(&self) -> usize;

    /// Returns the name of a node.
    fn name(&self, node: usize) -> &str;

    /// Handles the socket of a node that is ready: for reading if `readable`, and for writing in any case.
    fn on_ready(&mut self, node: usize, readable: bool, now: Tick);

    /// Queues a command to a node.
    fn submit(&mut self, node: usize, command: UnitCommand, now: Tick);

    /// Cancels a command. If it was sent, it is aborted at the node.
    fn cancel(&mut self, node: usize, tag: u32, now: Tick);

    /// Returns the next command that has ended without being cancelled.
    fn next_finished(&mut self) -> Option<FinishedCommand>;

    /// Closes connections that have timed out.
    fn on_timer(&mut self, now: Tick);

    /// Writes the commands that are queued for the nodes.
    fn flush(&mut self);
}
