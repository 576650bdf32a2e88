//! The catalog's commands at nodes, by which they close layers to writes and unmap extents.
#[cfg(test)]
mod tests;

use crate::node_connections::{NodeConnections, UnitCommand};
use mallowseam_cow::tree::{LayerId, Location, Tree};
use mallowseam_iscsi::scsi;
use mallowseam_scheduler::interface::Tick;
use std::collections::BTreeMap;

/// Time within which a node has to complete a command, in ticks: two seconds. A cut, which waits for nodes to close
/// layers, fails after five seconds.
const COMMAND_TIMEOUT: Tick = 20_000;

/// Purpose of a command at a node.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Purpose {
    /// Closes a frozen layer to writes.
    CloseLayer { layer: LayerId, node: u32 },
    /// Unmaps an extent that nothing refers to any more.
    UnmapExtent { layer: LayerId, extent: u32 },
    /// Unmaps a copy whose location was rejected. If its node does not answer, `verify` finds what is left of the copy.
    UnmapRejectedCopy,
}

/// A command that a node has completed or failed.
pub(crate) struct EndedCommand {
    pub(crate) purpose: Purpose,
    pub(crate) has_succeeded: bool,
}

/// A command whose node has not answered before the deadline.
pub(crate) struct TimedOutCommand {
    pub(crate) purpose: Purpose,
    tag: u32,
}

/// A command in flight at a node.
struct NodeCommand {
    purpose: Purpose,
    deadline: Tick,
}

/// A command descriptor block with the data to be sent with it.
struct CommandBlock {
    cdb: [u8; 16],
    data: Vec<u8>,
}

impl From<([u8; 16], Vec<u8>)> for CommandBlock {
    fn from((cdb, data): ([u8; 16], Vec<u8>)) -> Self {
        CommandBlock { cdb, data }
    }
}

/// The connections to nodes, and the commands in flight there.
pub(crate) struct NodeCommands<N> {
    nodes: N,
    /// Commands in flight, by tag.
    in_flight: BTreeMap<u32, NodeCommand>,
    last_tag: u32,
}

impl<N: NodeConnections> NodeCommands<N> {
    /// Returns an instance without commands in flight, which sends commands over the connections `nodes`.
    pub(crate) fn new(nodes: N) -> Self {
        NodeCommands {
            nodes,
            in_flight: BTreeMap::new(),
            last_tag: 0,
        }
    }

    /// Returns whether the configuration has a node of this index. The check is needed for locations, which name nodes
    /// by index and come from hosts.
    pub(crate) fn has_node(&self, node: u32) -> bool {
        (node as usize) < self.nodes.count()
    }

    /// Returns the name of a node for operators, or its index if the configuration does not have it.
    pub(crate) fn node_name(&self, node: u32) -> String {
        if self.has_node(node) {
            self.nodes.name(node as usize).to_owned()
        } else {
            format!("node {node}")
        }
    }

    /// Handles a connection to a node that is ready.
    pub(crate) fn on_node_ready(&mut self, node: usize, readable: bool, now: Tick) {
        self.nodes.on_ready(node, readable, now);
    }

    /// Closes connections that have timed out.
    pub(crate) fn on_timer(&mut self, now: Tick) {
        self.nodes.on_timer(now);
    }

    /// Writes the commands that are queued for the nodes.
    pub(crate) fn flush(&mut self) {
        self.nodes.flush();
    }

    /// Commands every node that holds extents of a frozen layer to close the layer to writes. A command that has failed
    /// is sent again by the next call.
    pub(crate) fn close_layers(&mut self, tree: &Tree, now: Tick) {
        for (layer, node) in tree.pending_closes() {
            let purpose = Purpose::CloseLayer { layer, node };
            if !self.is_in_flight(purpose) {
                let command = scsi::mode_select_write_protect(true);
                self.send(purpose, node, layer, command.into(), now);
            }
        }
    }

    /// Commands a node to unmap a location in the logical unit of a layer. `blocks`: the first block and the number of
    /// blocks of the location.
    pub(crate) fn unmap(
        &mut self,
        purpose: Purpose,
        layer: LayerId,
        location: Location,
        blocks: (u64, u32),
        now: Tick,
    ) {
        let command = scsi::unmap(&[blocks]);
        self.send(purpose, location.node, layer, command.into(), now);
    }

    fn is_in_flight(&self, purpose: Purpose) -> bool {
        self.in_flight
            .values()
            .any(|command| command.purpose == purpose)
    }

    /// Sends a command to the logical unit of a layer at a node. If the configuration does not have the node, the
    /// command is not sent and times out.
    fn send(
        &mut self,
        purpose: Purpose,
        node: u32,
        layer: LayerId,
        command: CommandBlock,
        now: Tick,
    ) {
        self.last_tag = self.last_tag.wrapping_add(1);
        let deadline = now + COMMAND_TIMEOUT;
        self.in_flight
            .insert(self.last_tag, NodeCommand { purpose, deadline });
        if !self.has_node(node) {
            return;
        }
        let command = UnitCommand {
            tag: self.last_tag,
            lun: layer,
            cdb: command.cdb,
            data: command.data,
        };
        self.nodes.submit(node as usize, command, now);
    }

    /// Removes and returns the next command that a node has completed or failed.
    pub(crate) fn next_ended(&mut self) -> Option<EndedCommand> {
        while let Some(finished) = self.nodes.next_finished() {
            if let Some(command) = self.in_flight.remove(&finished.tag) {
                return Some(EndedCommand {
                    purpose: command.purpose,
                    has_succeeded: finished.has_succeeded,
                });
            }
        }
        None
    }

    /// Removes and returns the commands whose deadline has passed, in the order in which they were sent.
    pub(crate) fn take_timed_out(&mut self, now: Tick) -> Vec<TimedOutCommand> {
        self.in_flight
            .extract_if(.., |_, command| command.deadline <= now)
            .map(|(tag, command)| TimedOutCommand {
                purpose: command.purpose,
                tag,
            })
            .collect()
    }

    /// Cancels a timed-out command at a node.
    pub(crate) fn cancel(&mut self, node: u32, timed_out: &TimedOutCommand, now: Tick) {
        if self.has_node(node) {
            self.nodes.cancel(node as usize, timed_out.tag, now);
        }
    }
}
