//! Commands of the snapshot catalog at nodes: layers are closed to writes, reclaimed extents are unmapped.
use super::CatalogService;
use super::operator::Operation;
use crate::clock::ticks_to_millis;
use crate::node_connections::NodeRequest;
use mallowseam_cow::Millis;
use mallowseam_cow::tree::{Change, LayerId};
use mallowseam_iscsi::scsi;
use mallowseam_scheduler::interface::{AttemptResult, Tick};

/// Ticks that a node has to carry a command out.
const COMMAND_TIMEOUT: Tick = 20_000;
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1000;

/// What a command at a node is for.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Purpose {
    /// Close a frozen layer to writes.
    CloseLayer { layer: LayerId, node: u32 },
    /// Unmap an extent that nothing refers to any more.
    UnmapExtent { layer: LayerId, extent: u32 },
    /// Unmap a copy that came second. What is left of it if its node does not answer, `verify` finds.
    UnmapLateCopy,
}

/// A command in flight.
pub(super) struct NodeCommand {
    purpose: Purpose,
    deadline: Tick,
}

impl CatalogService {
    /// Sends a command, a descriptor block and data, to the unit of a layer at a node.
    pub(super) fn send_command(
        &mut self,
        purpose: Purpose,
        node: u32,
        layer: LayerId,
        command: ([u8; 16], Vec<u8>),
    ) {
        self.last_tag = self.last_tag.wrapping_add(1);
        let (cdb, data) = command;
        let request = NodeRequest {
            tag: self.last_tag,
            lun: Some(layer),
            cdb,
            read_len: 0,
            data: data.into(),
        };
        self.commands.insert(
            self.last_tag,
            NodeCommand {
                purpose,
                deadline: self.now + COMMAND_TIMEOUT,
            },
        );
        self.nodes.submit(node as usize, request, self.now);
    }

    /// Has every node that holds extents of a frozen layer close it to writes, however often that takes.
    pub(super) fn close_layers(&mut self) {
        for (layer, node) in self.tree().pending_closes().collect::<Vec<_>>() {
            let purpose = Purpose::CloseLayer { layer, node };
            if !self
                .commands
                .values()
                .any(|command| command.purpose == purpose)
            {
                self.send_command(purpose, node, layer, scsi::mode_select_write_protect(true));
            }
        }
    }

    /// Has nodes unmap extents that nothing refers to any more.
    pub(super) fn reclaim_extents(&mut self, now: Millis) {
        let deadlines = self
            .config
            .io_classes
            .iter()
            .map(|class| class.deadline / MICROS_PER_MILLI);
        let longest_write = deadlines.max().unwrap_or(0);
        let layer_of_cut = |operation: &Operation| match operation {
            Operation::Cut(cut) => Some(cut.layer),
            Operation::Rollout { .. } | Operation::BeginCut { .. } => None,
        };
        let in_use = self
            .pending_operations
            .iter()
            .filter_map(|pending| layer_of_cut(&pending.operation))
            .collect();
        let tree = self.catalog.tree();
        for (layer, extent) in
            self.reclaimer
                .next_batch(tree, &in_use, &self.leases, longest_write, now)
        {
            let location = self
                .tree()
                .layers
                .get(&layer)
                .and_then(|l| l.locations.get(&extent))
                .copied();
            let Some(location) = location else { continue };
            let unmap = scsi::unmap(&[self.blocks_of(location)]);
            self.send_command(
                Purpose::UnmapExtent { layer, extent },
                location.node,
                layer,
                unmap,
            );
        }
        for layer in self
            .reclaimer
            .removable_layers(self.catalog.tree(), &in_use)
        {
            let _ = self.propose(Change::ExtentsReclaimed {
                layer,
                extents: Vec::new(),
            });
        }
    }

    /// Takes commands that nodes have answered, and gives up those whose time is over.
    pub(super) fn on_completed_commands(&mut self) {
        while let Some(finished) = self.nodes.next_finished() {
            if let Some(command) = self.commands.remove(&finished.tag) {
                self.on_command_end(command.purpose, finished.result == AttemptResult::Completed);
            }
        }
        let is_late = |command: &NodeCommand| command.deadline <= self.now;
        let late: Vec<u32> = self
            .commands
            .iter()
            .filter(|(_, command)| is_late(command))
            .map(|(tag, _)| *tag)
            .collect();
        for tag in late {
            let Some(NodeCommand { purpose, .. }) = self.commands.remove(&tag) else {
                continue;
            };
            if let Some(node) = self.node_of(purpose) {
                self.nodes.cancel(node as usize, tag, self.now);
            }
            self.on_command_end(purpose, false);
        }
    }

    /// The node of a command, where that is still known.
    fn node_of(&self, purpose: Purpose) -> Option<u32> {
        match purpose {
            Purpose::CloseLayer { node, .. } => Some(node),
            Purpose::UnmapLateCopy => None,
            Purpose::UnmapExtent { layer, extent } => {
                let location = self
                    .tree()
                    .layers
                    .get(&layer)
                    .and_then(|l| l.locations.get(&extent));
                location.map(|location| location.node)
            }
        }
    }

    fn on_command_end(&mut self, purpose: Purpose, done: bool) {
        self.crash_point();
        match purpose {
            Purpose::CloseLayer { layer, node } if done => {
                let _ = self.propose(Change::LayerClosed { layer, node });
            }
            Purpose::UnmapExtent { layer, extent } if done => {
                self.reclaimer.completed((layer, extent));
                let _ = self.propose(Change::ExtentsReclaimed {
                    layer,
                    extents: vec![extent],
                });
            }
            Purpose::UnmapExtent { layer, extent } => {
                self.reclaimer
                    .failed((layer, extent), ticks_to_millis(self.now));
            }
            Purpose::CloseLayer { .. } | Purpose::UnmapLateCopy => {}
        }
    }
}
