//! Fleet membership of the host.
use super::sources::MEMBERSHIP;
use crate::error::Error;
use mallowseam_fleet::record::ActiveVersions;
use mallowseam_fleet_udp::UdpMembership;
use mallowseam_settings::GatewayConfig;
use mio::Poll;
use std::time::Duration;

/// The membership protocol of the fleet; inactive if the configuration names no fleet.
pub(super) struct Membership {
    service: Option<Box<UdpMembership>>,
    /// Whether there may be datagrams to read.
    readable: bool,
}

impl Membership {
    pub(super) fn open(config: &GatewayConfig, poll: &Poll) -> Result<Self, Error> {
        let mut service = None;
        if let Some(settings) = config.host.fleet.clone() {
            let opened = UdpMembership::open(poll.registry(), MEMBERSHIP, settings);
            service = Some(Box::new(opened.map_err(Error::Membership)?));
        }
        Ok(Membership {
            service,
            readable: false,
        })
    }

    /// Runs the timers of the membership protocol.
    pub(super) fn tick(&mut self) {
        if let Some(service) = &mut self.service {
            service.tick();
        }
    }

    /// Returns the time until the next [`tick`](Self::tick) is due.
    pub(super) fn time_until_tick(&self) -> Option<Duration> {
        let service = self.service.as_ref()?;
        Some(Duration::from_millis(service.millis_until_tick()))
    }

    /// Records that there may be datagrams to read.
    pub(super) fn mark_readable(&mut self) {
        self.readable = true;
    }

    /// Returns whether there may be datagrams to read.
    pub(super) fn is_readable(&self) -> bool {
        self.readable
    }

    /// Reads a bounded number of datagrams, if there may be any.
    pub(super) fn read(&mut self) {
        if let Some(service) = self.service.as_mut().filter(|_| self.readable) {
            self.readable = service.on_readable();
        }
    }

    /// Publishes the active versions of this host to the fleet.
    pub(super) fn publish(&mut self, versions: ActiveVersions) {
        if let Some(service) = &mut self.service {
            service.set_active_versions(versions);
        }
    }

    /// Announces to the fleet that this host is leaving.
    pub(super) fn announce_leaving(&mut self) {
        if let Some(service) = &mut self.service {
            service.announce_leaving();
        }
    }

    /// Announces to the fleet that this host has left.
    pub(super) fn announce_left(&mut self) {
        if let Some(service) = &mut self.service {
            service.announce_left();
        }
    }
}
