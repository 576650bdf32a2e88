//! The hosts' side of the snapshot catalog: leases, locations of extents, and the tree that a host is sent.
use super::node_commands::Purpose;
use super::operator::Operation;
use super::{CatalogService, PendingLocation, Reply, Subscribed};
use crate::clock::ticks_to_millis;
use crate::host_connections::{HostConnection, HostId};
use mallowseam_cow::consistent_cut::decide_completion;
use mallowseam_cow::messages::{ToCatalog, ToHost, TreeVersion, full_tree_messages};
use mallowseam_cow::tree::{Change, LayerId, Location};
use mallowseam_iscsi::scsi;

/// A host that has said hello, with the tree that it holds.
pub(super) struct Hello {
    host: HostId,
    known: Option<TreeVersion>,
}

impl CatalogService {
    pub(super) fn on_message(&mut self, id: HostId, message: ToCatalog) {
        let now = ticks_to_millis(self.now);
        let Some(host) = self.sockets.hosts_mut().get_mut(id) else {
            return;
        };
        match message {
            ToCatalog::Hello { host: name, known } => {
                host.set_name(&name);
                self.hellos.push(Hello { host: id, known });
            }
            ToCatalog::RenewLease {
                sent_at,
                seen_version,
            } => {
                let duration = self.leases.renew(name_of(host), seen_version, now);
                host.send(&ToHost::LeaseGranted { sent_at, duration });
            }
            ToCatalog::Acknowledge { version } => self.leases.acknowledge(name_of(host), version),
            ToCatalog::AllocateSlots { layer, count } => self.allocate_slots(id, layer, count),
            ToCatalog::Quiesced { layer } => {
                for pending in &mut self.pending_operations {
                    if let Operation::Cut(cut) = &mut pending.operation {
                        cut.host_quiesced(layer, name_of(host));
                    }
                }
            }
            ToCatalog::RequestCompletion { layer } => self.on_completion_request(id, layer),
            ToCatalog::ProposeLocation {
                layer,
                extent,
                location,
            } => {
                self.on_proposed_location(id, layer, extent, location);
            }
        }
    }

    /// Allocates slots of a layer to a host. The host is notified after the change, once that is on disk.
    fn allocate_slots(&mut self, host: HostId, layer: LayerId, count: u32) {
        let first = self.tree().layers.get(&layer).map_or(0, |l| l.next_slot);
        if self
            .propose(Change::SlotsAllocated {
                layer,
                first,
                count,
            })
            .is_ok()
        {
            self.replies.push(Reply::Host(
                host,
                ToHost::SlotsAllocated {
                    layer,
                    first,
                    count,
                },
            ));
        }
    }

    /// A host asks to complete a write that has parts in a layer. Where it may, pending cuts of that layer
    /// are restarted behind the write.
    fn on_completion_request(&mut self, host: HostId, layer: LayerId) {
        let decision = decide_completion(self.tree(), layer);
        let granted = decision
            .as_ref()
            .is_some_and(|decision| decision.is_granted);
        if let Some(decision) = decision.filter(|_| granted) {
            for pending in &mut self.pending_operations {
                if let Operation::Cut(cut) = &mut pending.operation
                    && decision.frozen_layers.contains(&cut.layer)
                {
                    cut.mark_stale();
                }
            }
        }
        self.replies.push(Reply::Host(
            host,
            ToHost::CompletionDecision { layer, granted },
        ));
    }

    /// A host has copied an extent. A copy that came second is unmapped again.
    fn on_proposed_location(
        &mut self,
        host: HostId,
        layer: LayerId,
        extent: u32,
        location: Location,
    ) {
        let change = Change::ExtentPlaced {
            layer,
            extent,
            location,
        };
        match self.tree().conflicting_location(&change) {
            Ok(None) => {
                if let Ok(version) = self.propose(change) {
                    self.pending_locations.push(PendingLocation {
                        version,
                        layer,
                        extent,
                    });
                }
            }
            Ok(Some(first)) if first == location => {}
            _ => {
                // Nothing has ever referred to it, and nothing will.
                self.replies.push(Reply::Host(
                    host,
                    ToHost::LocationRejected { layer, extent },
                ));
                if (location.node as usize) < self.nodes.len() {
                    let unmap = scsi::unmap(&[self.blocks_of(location)]);
                    self.send_command(Purpose::UnmapLateCopy, location.node, layer, unmap);
                }
            }
        }
    }

    /// First block and length of a location.
    pub(super) fn blocks_of(&self, location: Location) -> (u64, u32) {
        let extent_blocks = self.extent_blocks();
        (
            u64::from(location.slot) * extent_blocks,
            extent_blocks as u32,
        )
    }

    /// Sends hosts that have said hello what they lack of what is on disk; later changes follow one by one.
    pub(super) fn welcome_hosts(&mut self) {
        for hello in std::mem::take(&mut self.hellos) {
            let Some(host) = self.sockets.hosts_mut().get_mut(hello.host) else {
                continue;
            };
            host.set_state(true);
            let catalog = self.catalog.id();
            let known = hello.known.filter(|known| known.catalog_id == catalog);
            match known.and_then(|known| self.catalog.changes_since(known.version)) {
                Some(missed) => {
                    for (version, change) in missed {
                        host.send(&ToHost::TreeChanged {
                            version,
                            change: change.clone(),
                        });
                    }
                    host.send(&ToHost::CaughtUp);
                }
                None => full_tree_messages(catalog, self.catalog.tree())
                    .for_each(|part| host.send(&part)),
            }
        }
    }
}

/// The name under which a host holds its lease. One that has not said hello holds it under an empty name.
pub(super) fn name_of(host: &HostConnection<Subscribed>) -> &str {
    host.name().unwrap_or_default()
}
