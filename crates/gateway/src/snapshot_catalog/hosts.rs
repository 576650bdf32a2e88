//! The hosts' side of the snapshot catalog: leases, places of extents, and the tree that a host is sent.
use super::node_commands::Purpose;
use super::operator::Operation;
use super::{CatalogService, PendingOpen, Reply};
use crate::clock::ticks_to_millis;
use crate::json_lines::PeerId;
use mallowseam_cow::cache::settle;
use mallowseam_cow::cut::leave;
use mallowseam_cow::tree::{Change, LayerId, Place};
use mallowseam_cow::words::{ToCatalog, ToHost, whole};
use mallowseam_iscsi::scsi;

/// A host that has said hello, with the tree that it holds.
pub(super) struct Hello {
    host: PeerId,
    /// Which catalog the tree is of, and its version.
    held: Option<(u64, u64)>,
}

impl CatalogService {
    pub(super) fn read_host(&mut self, id: PeerId) {
        let mut buffer = std::mem::take(&mut self.read_buffer);
        while let Some(lines) = self.hosts.read(id, &mut buffer) {
            for line in lines {
                match serde_json::from_slice(&line) {
                    Ok(message) => self.on_message(id, message),
                    Err(e) => self.hosts.disconnect(id, &e.into()),
                }
            }
        }
        self.read_buffer = buffer;
    }

    fn on_message(&mut self, id: PeerId, message: ToCatalog) {
        let now = ticks_to_millis(self.now);
        let Some(host) = self.hosts.get_mut(id) else { return };
        match message {
            ToCatalog::Hello { host: name, have } => {
                host.name = name;
                self.hellos.push(Hello { host: id, held: have });
            }
            ToCatalog::Renew { sent, seen } => {
                let span = self.leases.renew(&host.name, seen, now);
                host.connection.send(&ToHost::Lease { sent, span });
            }
            ToCatalog::Seen { version } => self.leases.seen(&host.name, version),
            ToCatalog::Numbers { layer, count } => self.allot_numbers(id, layer, count),
            ToCatalog::Clear { layer } => {
                for pending in &mut self.pending_operations {
                    if let Operation::Cut(cut) = &mut pending.operation {
                        cut.clear(layer, &host.name);
                    }
                }
            }
            ToCatalog::Leave { layer } => self.on_leave(id, layer),
            ToCatalog::Placed { layer, extent, place } => self.on_placed(id, layer, extent, place),
        }
    }

    /// Allots place numbers of a layer to a host. It is told behind the change, once that is on disk.
    fn allot_numbers(&mut self, host: PeerId, layer: LayerId, count: u32) {
        let first = self.tree().layers.get(&layer).map_or(0, |l| l.next_number);
        if self.propose(Change::Numbers { layer, first, count }).is_ok() {
            self.replies.push(Reply::Host(host, ToHost::Numbers { layer, first, count }));
        }
    }

    /// A host asks to complete a write that has parts in a layer. Where it may, pending cuts of that layer are
    /// made anew behind the write.
    fn on_leave(&mut self, host: PeerId, layer: LayerId) {
        let Some((given, between)) = leave(self.tree(), layer) else {
            return self.replies.push(Reply::Host(host, ToHost::Leave { layer, given: false }));
        };
        if given {
            for pending in &mut self.pending_operations {
                if let Operation::Cut(cut) = &mut pending.operation
                    && between.contains(&cut.layer)
                {
                    cut.behind();
                }
            }
        }
        self.replies.push(Reply::Host(host, ToHost::Leave { layer, given }));
    }

    /// A host has copied an extent to a place. A place that came second is freed again.
    fn on_placed(&mut self, host: PeerId, layer: LayerId, extent: u32, place: Place) {
        let change = Change::Placed { layer, extent, place };
        match settle(self.tree(), &change) {
            Ok(None) => {
                if let Ok(version) = self.propose(change) {
                    self.pending_opens.push(PendingOpen { version, layer, extent });
                }
            }
            Ok(Some(first)) if first == place => {}
            _ => {
                // Nothing has ever referred to it, and nothing will.
                self.replies.push(Reply::Host(host, ToHost::NotPlaced { layer, extent }));
                if (place.node as usize) < self.nodes.len() {
                    let unmap = scsi::unmap(&[self.blocks_of(place)]);
                    self.send_command(Purpose::FreeLateCopy, place.node, layer, unmap);
                }
            }
        }
    }

    /// First block and length of a place.
    pub(super) fn blocks_of(&self, place: Place) -> (u64, u32) {
        let extent_blocks = self.extent_blocks();
        (u64::from(place.number) * extent_blocks, extent_blocks as u32)
    }

    /// Sends hosts that have said hello what they lack of what is on disk; later changes follow one by one.
    pub(super) fn welcome_hosts(&mut self) {
        for hello in std::mem::take(&mut self.hellos) {
            let Some(host) = self.hosts.get_mut(hello.host) else { continue };
            host.state = true;
            let catalog = self.catalog.id();
            let same_catalog = hello.held.filter(|(held, _)| *held == catalog);
            match same_catalog.and_then(|(_, version)| self.catalog.since(version)) {
                Some(missed) => {
                    for (version, change) in missed {
                        host.connection.send(&ToHost::Changed { version, change: change.clone() });
                    }
                    host.connection.send(&ToHost::Going);
                }
                None => whole(catalog, self.catalog.tree()).for_each(|part| host.connection.send(&part)),
            }
        }
    }
}
