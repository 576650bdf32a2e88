//! Messages from hosts to the plan service: hello, acceptance and rejection of versions, and quota reports.
use crate::PlanService;
use crate::catch_up::catch_up_messages;
use crate::quotas::QuotaHostId;
use mallowseam_control_protocol::json_lines::Disconnect;
use mallowseam_plans::Millis;
use mallowseam_plans::messages::{HostMessage, ServiceMessage, VolumeReport};
use mallowseam_plans::quota_pool::LEASE_DURATION;
use mallowseam_service_loop::HostId;

impl PlanService {
    pub(crate) fn on_message(&mut self, id: HostId, message: HostMessage) {
        match message {
            HostMessage::Hello {
                host,
                version,
                last_hash,
            } => self.on_hello(id, &host, version, &last_hash),
            HostMessage::Accepted { version } => self.on_accepted(id, version),
            HostMessage::Rejected { version, reason } => self.on_rejected(id, version, &reason),
            HostMessage::QuotaReport {
                polled_at,
                sent_at,
                version: _,
                volumes,
            } => self.on_report(id, polled_at, sent_at, volumes),
        }
    }

    fn on_hello(&mut self, id: HostId, name: &str, version: u64, last_hash: &str) {
        let Some(host) = self.sockets.hosts_mut().get_mut(id) else {
            return;
        };
        if !self.rollout.is_member(name)
            && let Err(e) = self.store.add_member(name)
        {
            // Without the stored member, the next start would not know the host, and would report versions as
            // effective without it.
            let hosts = self.sockets.hosts_mut();
            return hosts.disconnect(id, &Disconnect::Store(e.into()));
        }
        host.set_state(Some(self.quotas.host_id(name)));
        host.set_name(name);
        self.rollout.on_contact(name, self.now);
        self.rollout.on_accepted(name, version, self.now);
        for message in catch_up_messages(&self.store, version, last_hash) {
            host.send(&message);
        }
    }

    fn on_accepted(&mut self, id: HostId, version: u64) {
        let Some(sender) = self.identified_host(id) else {
            return;
        };
        let host = sender.name;
        tracing::info!(host, version, "version accepted");
        self.rollout.on_accepted(&host, version, self.now);
    }

    fn on_rejected(&mut self, id: HostId, version: u64, reason: &str) {
        let Some(sender) = self.identified_host(id) else {
            return;
        };
        let host = sender.name;
        tracing::warn!(host, version, reason, "version rejected");
        self.rollout.on_rejected(&host, version, reason, self.now);
    }

    /// Handles a host's report of what it lends and requests, and sends it the leases that it is granted, if any.
    fn on_report(
        &mut self,
        id: HostId,
        polled_at: Millis,
        sent_at: Millis,
        volumes: Vec<VolumeReport>,
    ) {
        let Some(sender) = self.identified_host(id) else {
            return;
        };
        self.rollout.on_contact(&sender.name, self.now);
        let plans = &self.store.log().state;
        let granted = self
            .quotas
            .on_report(sender.id, polled_at, volumes, plans, self.now);
        if granted.is_empty() {
            return;
        }
        let leases = ServiceMessage::QuotaLeases {
            requested_at: sent_at,
            duration: LEASE_DURATION,
            volumes: granted,
        };
        self.sockets.hosts_mut().send(id, &leases);
    }

    /// Returns the host of a connection. A host that has not sent its hello message is disconnected.
    fn identified_host(&mut self, id: HostId) -> Option<IdentifiedHost> {
        let host = self.sockets.hosts_mut().get_mut(id)?;
        if let (Some(name), Some(quota_host_id)) = (host.name(), *host.state()) {
            return Some(IdentifiedHost {
                name: name.to_owned(),
                id: quota_host_id,
            });
        }
        self.sockets
            .hosts_mut()
            .disconnect(id, &Disconnect::HelloExpected);
        None
    }
}

/// A host that has sent its hello message.
struct IdentifiedHost {
    name: String,
    id: QuotaHostId,
}
