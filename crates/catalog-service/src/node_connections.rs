//! The connections to storage nodes, as the catalog uses them.
use mallowseam_scheduler::interface::Tick;

/// A command to the unit of a layer.
pub struct UnitCommand {
    /// Unique among the commands in flight.
    pub tag: u32,
    /// The unit.
    pub lun: u32,
    /// Command descriptor block.
    pub cdb: [u8; 16],
    /// Bytes that are written.
    pub data: Vec<u8>,
}

/// A command that has ended by itself.
pub struct FinishedCommand {
    /// The command's tag.
    pub tag: u32,
    /// Whether the node has carried it out.
    pub has_succeeded: bool,
}

/// The connections to the nodes of the configuration, which are known by their indices there. They are watched by
/// the event loop of the catalog, and opened as commands need them.
pub trait NodeConnections {
    /// How many nodes there are.
    fn count(&self) -> usize;

    /// The name of a node.
    fn name(&self, node: usize) -> &str;

    /// The socket of a node is ready, to be read if `readable`, and to be written in any case.
    fn on_ready(&mut self, node: usize, readable: bool, now: Tick);

    /// Sends a command to a node.
    fn submit(&mut self, node: usize, command: UnitCommand, now: Tick);

    /// Stops waiting for a command; one that was sent is aborted.
    fn cancel(&mut self, node: usize, tag: u32, now: Tick);

    /// The next command that has ended by itself.
    fn next_finished(&mut self) -> Option<FinishedCommand>;

    /// Closes connections that have timed out.
    fn on_timer(&mut self, now: Tick);

    /// Writes what waits for the nodes.
    fn flush(&mut self);
}
