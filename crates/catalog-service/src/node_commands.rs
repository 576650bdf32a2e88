//! The catalog's commands at nodes: layers are closed to writes, extents are unmapped.
#[cfg(test)]
mod tests;

use crate::node_connections::{NodeConnections, UnitCommand};
use mallowseam_cow::tree::{LayerId, Location, Tree};
use mallowseam_iscsi::scsi;
use mallowseam_scheduler::interface::Tick;
use std::collections::BTreeMap;

/// Ticks that a node has to carry a command out: two seconds. A cut, which waits for nodes to close layers, fails
/// after five.
const COMMAND_TIMEOUT: Tick = 20_000;

/// What a command at a node is for.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Purpose {
    /// Close a frozen layer to writes.
    CloseLayer { layer: LayerId, node: u32 },
    /// Unmap an extent that nothing refers to any more.
    UnmapExtent { layer: LayerId, extent: u32 },
    /// Unmap a copy that came second. What is left of it if its node does not answer, `verify` finds.
    UnmapLateCopy,
}

/// A command that a node has carried out or failed.
pub(crate) struct EndedCommand {
    pub(crate) purpose: Purpose,
    pub(crate) has_succeeded: bool,
}

/// A command whose node has not answered in time.
pub(crate) struct LateCommand {
    pub(crate) purpose: Purpose,
    tag: u32,
}

/// A command in flight.
struct NodeCommand {
    purpose: Purpose,
    deadline: Tick,
}

/// A command descriptor block with the data that goes with it.
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
    /// By tag.
    in_flight: BTreeMap<u32, NodeCommand>,
    last_tag: u32,
}

impl<N: NodeConnections> NodeCommands<N> {
    /// Sends commands over the connections to the nodes.
    pub(crate) fn new(nodes: N) -> Self {
        NodeCommands {
            nodes,
            in_flight: BTreeMap::new(),
            last_tag: 0,
        }
    }

    /// Whether the configuration has a node of this index. Locations name nodes by index, and come from hosts.
    pub(crate) fn has_node(&self, node: u32) -> bool {
        (node as usize) < self.nodes.count()
    }

    /// The name of a node for operators.
    pub(crate) fn node_name(&self, node: u32) -> String {
        if self.has_node(node) {
            self.nodes.name(node as usize).to_owned()
        } else {
            format!("node {node}")
        }
    }

    /// The connection to a node is ready.
    pub(crate) fn on_node_ready(&mut self, node: usize, readable: bool, now: Tick) {
        self.nodes.on_ready(node, readable, now);
    }

    /// Closes connections that have timed out.
    pub(crate) fn on_timer(&mut self, now: Tick) {
        self.nodes.on_timer(now);
    }

    /// Writes what waits for the nodes.
    pub(crate) fn flush(&mut self) {
        self.nodes.flush();
    }

    /// Has every node that holds extents of a frozen layer close it to writes. A command that fails is sent again by
    /// the next call.
    pub(crate) fn close_layers(&mut self, tree: &Tree, now: Tick) {
        for (layer, node) in tree.pending_closes() {
            let purpose = Purpose::CloseLayer { layer, node };
            if !self.is_in_flight(purpose) {
                let command = scsi::mode_select_write_protect(true);
                self.send(purpose, node, layer, command.into(), now);
            }
        }
    }

    /// Has a node unmap a location in the unit of a layer. `blocks`: its first block and number of blocks.
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

    /// Sends a command to the unit of a layer at a node. At a node that the configuration does not have it times
    /// out.
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

    /// The next command that a node has carried out or failed.
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

    /// Removes the commands whose time is over, in the order in which they were sent.
    pub(crate) fn take_late(&mut self, now: Tick) -> Vec<LateCommand> {
        self.in_flight
            .extract_if(.., |_, command| command.deadline <= now)
            .map(|(tag, command)| LateCommand {
                purpose: command.purpose,
                tag,
            })
            .collect()
    }

    /// Stops waiting for a late command at a node.
    pub(crate) fn cancel(&mut self, node: u32, late: &LateCommand, now: Tick) {
        if self.has_node(node) {
            self.nodes.cancel(node as usize, late.tag, now);
        }
    }
}
