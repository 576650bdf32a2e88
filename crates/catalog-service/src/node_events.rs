//! The nodes' side of the snapshot catalog: which commands are sent to nodes, and what happens when commands end.
use crate::node_commands::Purpose;
use crate::{CatalogService, NodeConnections};
use mallowseam_cow::tree::Change;

impl<N: NodeConnections> CatalogService<N> {
    /// Commands nodes to close frozen layers to writes.
    pub(crate) fn close_layers(&mut self) {
        self.node_commands.close_layers(self.tree.tree(), self.now);
    }

    /// Commands nodes to unmap extents that nothing refers to any more, and removes empty layers.
    pub(crate) fn reclaim_extents(&mut self) {
        let retained = self.pending_operations.layers_of_cuts();
        let unreachable = self.tree.next_unreachable(
            &retained,
            &self.leases,
            self.settings.max_write_duration(),
            self.now_millis(),
        );
        for extent in unreachable {
            let purpose = Purpose::UnmapExtent {
                layer: extent.layer,
                extent: extent.extent,
            };
            let blocks = self.settings.block_range(extent.location);
            self.node_commands
                .unmap(purpose, extent.layer, extent.location, blocks, self.now);
        }
        self.tree.remove_empty_layers(&retained);
    }

    /// Processes the commands that nodes have answered, and cancels those that have timed out.
    pub(crate) fn process_ended_commands(&mut self) {
        while let Some(ended) = self.node_commands.next_ended() {
            self.crash_points.pass();
            if ended.has_succeeded {
                self.on_command_done(ended.purpose);
            } else {
                self.on_command_failed(ended.purpose);
            }
        }
        for timed_out in self.node_commands.take_timed_out(self.now) {
            if let Some(node) = self.node_of(timed_out.purpose) {
                self.node_commands.cancel(node, &timed_out, self.now);
            }
            self.crash_points.pass();
            self.on_command_failed(timed_out.purpose);
        }
    }

    /// Returns the node of a command, if it is still known.
    fn node_of(&self, purpose: Purpose) -> Option<u32> {
        match purpose {
            Purpose::CloseLayer { node, .. } => Some(node),
            Purpose::UnmapExtent { layer, extent } => {
                let location = self.tree.location_of(layer, extent)?;
                Some(location.node)
            }
            Purpose::UnmapRejectedCopy => None,
        }
    }

    fn on_command_done(&mut self, purpose: Purpose) {
        match purpose {
            Purpose::CloseLayer { layer, node } => {
                // The change is rejected if the tree has changed in the meantime. Then nothing is left to do.
                let _ = self.tree.propose(Change::LayerClosed { layer, node });
            }
            Purpose::UnmapExtent { layer, extent } => self.tree.on_unmapped(layer, extent),
            Purpose::UnmapRejectedCopy => {}
        }
    }

    fn on_command_failed(&mut self, purpose: Purpose) {
        match purpose {
            Purpose::UnmapExtent { layer, extent } => {
                let now = self.now_millis();
                self.tree.on_unmap_failed(layer, extent, now);
            }
            // `close_layers` sends its command again. What is left of a rejected copy is found by `verify`.
            Purpose::CloseLayer { .. } | Purpose::UnmapRejectedCopy => {}
        }
    }
}
