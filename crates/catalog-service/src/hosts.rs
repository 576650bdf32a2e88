//! The hosts' side of the snapshot catalog: leases, slots and locations of extents, and writes that cuts meet.
use crate::node_commands::Purpose;
use crate::outbox::Hello;
use crate::pending_locations::PendingLocation;
use crate::subscription::Host;
use crate::{CatalogService, NodeConnections};
use mallowseam_cow::Millis;
use mallowseam_cow::consistent_cut::decide_completion;
use mallowseam_cow::messages::{ToCatalog, ToHost, TreeVersion};
use mallowseam_cow::tree::{Change, LayerId, Location};
use mallowseam_service_loop::HostId;

impl<N: NodeConnections> CatalogService<N> {
    pub(crate) fn on_message(&mut self, id: HostId, message: ToCatalog) {
        match message {
            ToCatalog::Hello {
                host,
                replica_version,
            } => self.on_hello(id, &host, replica_version),
            ToCatalog::RenewLease {
                sent_at,
                seen_version,
            } => self.renew_lease(id, sent_at, seen_version),
            ToCatalog::Acknowledge { version } => self.on_acknowledged(id, version),
            ToCatalog::AllocateSlots { layer, count } => self.allocate_slots(id, layer, count),
            ToCatalog::Quiesced { layer } => self.on_quiesced(id, layer),
            ToCatalog::RequestCompletion { layer } => self.on_completion_request(id, layer),
            ToCatalog::ProposeLocation {
                layer,
                extent,
                location,
            } => self.on_proposed_location(id, layer, extent, location),
        }
    }

    fn on_hello(&mut self, id: HostId, name: &str, replica_version: Option<TreeVersion>) {
        if let Some(host) = self.sockets.hosts_mut().get_mut(id) {
            host.set_name(name);
            self.outbox.add_hello(Hello {
                host: id,
                replica_version,
            });
        }
    }

    fn renew_lease(&mut self, id: HostId, sent_at: Millis, seen_version: u64) {
        let now = self.now_millis();
        if let Some(host) = self.sockets.hosts_mut().get_mut(id) {
            let duration = self.leases.renew(lease_holder(host), seen_version, now);
            host.send(&ToHost::LeaseGranted { sent_at, duration });
        }
    }

    fn on_acknowledged(&mut self, id: HostId, version: u64) {
        if let Some(host) = self.sockets.hosts_mut().get_mut(id) {
            self.leases.acknowledge(lease_holder(host), version);
        }
    }

    fn on_quiesced(&mut self, id: HostId, layer: LayerId) {
        if let Some(host) = self.sockets.hosts_mut().get_mut(id) {
            self.pending_operations
                .on_host_quiesced(layer, lease_holder(host));
        }
    }

    /// Allocates slots of a layer to a host. The host is notified after the change, once that is on disk.
    fn allocate_slots(&mut self, id: HostId, layer: LayerId, count: u32) {
        let Some(first) = self.tree().layers.get(&layer).map(|layer| layer.next_slot) else {
            return;
        };
        let change = Change::SlotsAllocated {
            layer,
            first,
            count,
        };
        if self.tree.propose(change).is_ok() {
            let allocated = ToHost::SlotsAllocated {
                layer,
                first,
                count,
            };
            self.outbox.send(id, allocated);
        }
    }

    /// A host asks to complete a write that has parts in a layer. Where it may, pending cuts of that layer
    /// are restarted behind the write.
    fn on_completion_request(&mut self, id: HostId, layer: LayerId) {
        let granted = decide_completion(self.tree(), layer).filter(|decision| decision.is_granted);
        if let Some(decision) = &granted {
            self.pending_operations.mark_stale(&decision.frozen_layers);
        }
        let granted = granted.is_some();
        self.outbox
            .send(id, ToHost::CompletionDecision { layer, granted });
    }

    /// A host has copied an extent. A copy that came second is unmapped again.
    fn on_proposed_location(
        &mut self,
        id: HostId,
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
            Ok(None) => self.place_extent(change, layer, extent),
            Ok(Some(first)) if first == location => {}
            Ok(Some(_)) | Err(_) => self.reject_location(id, layer, extent, location),
        }
    }

    /// Notifies hosts of the location of an extent, which becomes writable once all of them know it.
    fn place_extent(&mut self, placed: Change, layer: LayerId, extent: u32) {
        if let Ok(version) = self.tree.propose(placed) {
            self.pending_locations.add(PendingLocation {
                version,
                layer,
                extent,
            });
        }
    }

    /// Rejects the location of a copy. Nothing has ever referred to it, and nothing will: it is unmapped.
    fn reject_location(&mut self, id: HostId, layer: LayerId, extent: u32, location: Location) {
        self.outbox
            .send(id, ToHost::LocationRejected { layer, extent });
        if self.node_commands.has_node(location.node) {
            let blocks = self.settings.blocks_of(location);
            self.node_commands
                .unmap(Purpose::UnmapLateCopy, layer, location, blocks, self.now);
        }
    }

    /// Asks hosts that pending cuts wait for to quiesce the layer of the cut.
    pub(crate) fn quiesce_hosts(&mut self) {
        let active_hosts = self.leases.active_hosts(self.now_millis());
        for request in self.pending_operations.quiesce_requests(&active_hosts) {
            let hosts = self.sockets.hosts().iter();
            for (id, _) in hosts.filter(|(_, host)| request.hosts.contains(lease_holder(host))) {
                let quiesce = ToHost::Quiesce {
                    layer: request.layer,
                    branch: request.branch.clone(),
                };
                self.outbox.send(id, quiesce);
            }
        }
    }
}

/// The name under which a host holds its lease. A host that has not said hello holds it under an empty name.
fn lease_holder(host: &Host) -> &str {
    host.name().unwrap_or_default()
}
