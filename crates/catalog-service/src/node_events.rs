//! The nodes' side of the snapshot catalog: what is sent to them, and ends of commands.
use crate::node_commands::Purpose;
use crate::{CatalogService, NodeConnections};
use mallowseam_cow::tree::Change;

impl<N: NodeConnections> CatalogService<N> {
    /// Has nodes close frozen layers to writes.
    pub(crate) fn close_layers(&mut self) {
        self.node_commands.close_layers(self.tree.tree(), self.now);
    }

    /// Has nodes unmap extents that nothing refers to any more, and removes empty layers.
    pub(crate) fn reclaim_extents(&mut self) {
        let retained = self.pending_operations.layers_of_cuts();
        let unreachable = self.tree.next_unreachable(
            &retained,
            &self.leases,
            self.settings.longest_write(),
            self.now_millis(),
        );
        for extent in unreachable {
            let purpose = Purpose::UnmapExtent {
                layer: extent.layer,
                extent: extent.extent,
            };
            let blocks = self.settings.blocks_of(extent.location);
            self.node_commands
                .unmap(purpose, extent.layer, extent.location, blocks, self.now);
        }
        self.tree.remove_empty_layers(&retained);
    }

    /// Takes commands that nodes have answered, and gives up those whose time is over.
    pub(crate) fn on_ended_commands(&mut self) {
        while let Some(ended) = self.node_commands.next_ended() {
            self.crash_points.pass();
            if ended.has_succeeded {
                self.on_command_done(ended.purpose);
            } else {
                self.on_command_failed(ended.purpose);
            }
        }
        for late in self.node_commands.take_late(self.now) {
            if let Some(node) = self.node_of(late.purpose) {
                self.node_commands.cancel(node, &late, self.now);
            }
            self.crash_points.pass();
            self.on_command_failed(late.purpose);
        }
    }

    /// The node of a command, where that is still known.
    fn node_of(&self, purpose: Purpose) -> Option<u32> {
        match purpose {
            Purpose::CloseLayer { node, .. } => Some(node),
            Purpose::UnmapExtent { layer, extent } => {
                let location = self.tree.location_of(layer, extent)?;
                Some(location.node)
            }
            Purpose::UnmapLateCopy => None,
        }
    }

    fn on_command_done(&mut self, purpose: Purpose) {
        match purpose {
            Purpose::CloseLayer { layer, node } => {
                // Rejected if the tree has changed in the meantime: then there is nothing left to do.
                let _ = self.tree.propose(Change::LayerClosed { layer, node });
            }
            Purpose::UnmapExtent { layer, extent } => self.tree.on_unmapped(layer, extent),
            Purpose::UnmapLateCopy => {}
        }
    }

    fn on_command_failed(&mut self, purpose: Purpose) {
        match purpose {
            Purpose::UnmapExtent { layer, extent } => {
                let now = self.now_millis();
                self.tree.on_unmap_failed(layer, extent, now);
            }
            // `close_layers` sends its command again; a late copy is left to `verify`.
            Purpose::CloseLayer { .. } | Purpose::UnmapLateCopy => {}
        }
    }
}
