//! The hosts' side of the snapshot catalog: leases, slots, locations of extents, and split writes during cuts.
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
    /// Handles a message from a host.
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

    /// Allocates slots of a layer to a host. The host is notified once the change is on disk, and after it is sent the
    /// change itself.
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

    /// Decides whether a host may complete a split write that has parts in a layer. If so, pending cuts of the frozen
    /// layers in between are restarted after the write.
    fn on_completion_request(&mut self, id: HostId, layer: LayerId) {
        let granted = decide_completion(self.tree(), layer).filter(|decision| decision.is_granted);
        if let Some(decision) = &granted {
            self.pending_operations.mark_stale(&decision.frozen_layers);
        }
        let granted = granted.is_some();
        self.outbox
            .send(id, ToHost::CompletionDecision { layer, granted });
    }

    /// Handles the location that a host proposes for an extent that it has copied. If another host was first or the
    /// change does not fit the tree, the copy is unmapped again.
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

    /// Gives an extent a location and notifies hosts of it. The location becomes writable once every host acts on a
    /// tree that includes it.
    fn place_extent(&mut self, change: Change, layer: LayerId, extent: u32) {
        if let Ok(version) = self.tree.propose(change) {
            self.pending_locations.add(PendingLocation {
                version,
                layer,
                extent,
            });
        }
    }

    /// Rejects the location of a copy, and has it unmapped. Nothing has ever referred to the location, and nothing
    /// will.
    fn reject_location(&mut self, id: HostId, layer: LayerId, extent: u32, location: Location) {
        self.outbox
            .send(id, ToHost::LocationRejected { layer, extent });
        if self.node_commands.has_node(location.node) {
            let blocks = self.settings.block_range(location);
            self.node_commands.unmap(
                Purpose::UnmapRejectedCopy,
                layer,
                location,
                blocks,
                self.now,
            );
        }
    }

    /// Asks the hosts for which pending cuts wait to quiesce the layers of these cuts.
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

/// Returns the name under which a host holds its lease, which is empty for a host that has not said hello.
fn lease_holder(host: &Host) -> &str {
    host.name().unwrap_or_default()
}
