//! Fleet membership of the host, if it is configured.
use crate::error::HostError;
use crate::tokens;
use mallowseam_fleet::config::FleetConfig;
use mallowseam_fleet::record::ActiveVersions;
use mallowseam_fleet_udp::UdpMembership;
use mio::Registry;
use std::time::Duration;

/// Fleet membership of the host. If it is not configured, all calls do nothing.
pub(super) struct Fleet {
    membership: Option<Box<UdpMembership>>,
    /// The membership socket may have datagrams to read.
    is_readable: bool,
}

impl Fleet {
    /// Opens the membership socket, if membership is configured.
    pub(super) fn open(
        registry: &Registry,
        config: Option<FleetConfig>,
    ) -> Result<Self, HostError> {
        let opened = config.map(|config| UdpMembership::open(registry, tokens::FLEET, config));
        let membership = opened.transpose().map_err(HostError::Fleet)?;
        Ok(Fleet {
            membership: membership.map(Box::new),
            is_readable: false,
        })
    }

    /// Runs the membership timers that are due.
    pub(super) fn tick(&mut self) {
        if let Some(membership) = &mut self.membership {
            membership.tick();
        }
    }

    /// Records that the poll has reported the membership socket.
    pub(super) fn on_readable(&mut self) {
        self.is_readable = true;
    }

    /// Reads a bounded number of datagrams, if there may be any.
    pub(super) fn read(&mut self) {
        if let Some(membership) = self.membership.as_mut().filter(|_| self.is_readable) {
            self.is_readable = membership.on_readable();
        }
    }

    /// Returns how long the poll may wait if all other timers allow `timeout`.
    pub(super) fn limit_timeout(&self, timeout: Duration) -> Duration {
        if self.is_readable {
            return Duration::ZERO;
        }
        match &self.membership {
            Some(membership) => timeout.min(Duration::from_millis(membership.millis_until_tick())),
            None => timeout,
        }
    }

    /// Publishes the version of the host's endpoint list to the fleet. The version of plans is 0, since this host has
    /// no plan service.
    pub(super) fn publish_list_version(&mut self, version: u64) {
        if let Some(membership) = &mut self.membership {
            membership.set_active_versions(ActiveVersions {
                endpoint_list: version,
                plans: 0,
            });
        }
    }

    /// Applies the membership section of a reloaded configuration.
    pub(super) fn reload(&mut self, config: Option<FleetConfig>) {
        match (&mut self.membership, config) {
            (None, None) => {}
            (Some(membership), config) => membership.reload(config),
            (None, Some(_)) => tracing::warn!("fleet membership needs a restart"),
        }
    }

    /// Announces to the fleet that this host is shutting down and still serves requests.
    pub(super) fn announce_leaving(&mut self) {
        if let Some(membership) = &mut self.membership {
            membership.announce_leaving();
        }
    }

    /// Announces to the fleet that this process ends.
    pub(super) fn announce_left(&mut self) {
        if let Some(membership) = &mut self.membership {
            membership.announce_left();
        }
    }
}
