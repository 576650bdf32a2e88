//! What the peers know of host processes: whether clients use them.
use super::{ConnectionRole, Event, SimulatedPeers, Timer};
use mallowseam_audit::trace::Micros;
use mallowseam_http1::ResponseReader;
use mallowseam_scenarios::fleet::InitialList;
use rand::RngExt;
use std::cmp::Reverse;
use std::ops::RangeInclusive;

/// Pause between two readiness checks of a host.
const READINESS_INTERVAL: Micros = 20_000;
/// Timeout of a readiness check.
const READINESS_TIMEOUT: Micros = 2_000_000;

/// After SIGTERM, new connections still come for a time within these bounds, as on the users' platform.
const NEW_CONNECTIONS_AFTER_SIGTERM: RangeInclusive<Micros> = 200_000..=400_000;

/// A host as clients see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HostState {
    /// It does not run.
    Stopped,
    /// It runs and has not reported readiness.
    Starting,
    /// Clients use it.
    Ready,
}

impl SimulatedPeers {
    /// A host's process was started. Its readiness is polled from now on.
    pub(crate) fn host_started(&mut self, host: u32) {
        self.record(Event::HostStarted { host });
        // Its configuration has all that the service had by now.
        if self.scenario.initial_list == InitialList::Current {
            self.undelivered.retain(|update| update.host != host);
        }
        self.host_states[host as usize] = HostState::Starting;
        self.new_connections_until[host as usize] = None;
        self.schedule_readiness_check(host);
    }

    /// A host was sent SIGTERM: clients use the connections that they have, and soon open no more.
    pub(crate) fn host_terminated(&mut self, host: u32) {
        let until = self.now() + self.rng.random_range(NEW_CONNECTIONS_AFTER_SIGTERM);
        self.new_connections_until[host as usize].get_or_insert(until);
    }

    /// Whether clients send requests to a host: it is ready, and they have a connection to it or may open one.
    pub(super) fn takes_requests(&self, host: u32) -> bool {
        let has_idle = || {
            self.idle_connections
                .get(&host)
                .is_some_and(|idle| !idle.is_empty())
        };
        self.takes_connections(host) || (self.is_ready(host) && has_idle())
    }

    /// Whether clients open connections to a host.
    pub(super) fn takes_connections(&self, host: u32) -> bool {
        let until = self.new_connections_until[host as usize];
        self.is_ready(host) && until.is_none_or(|until| self.now() < until)
    }

    /// A host's process ended: clients use it no more.
    pub(crate) fn host_stopped(&mut self, host: u32) {
        self.host_states[host as usize] = HostState::Stopped;
        self.idle_connections.remove(&host);
    }

    /// A host was paused or resumed. Its requests in flight are excused.
    pub(crate) fn set_paused(&mut self, host: u32, paused: bool) {
        self.paused[host as usize] = paused;
        let in_flight = self.request_hosts.iter().filter(|(_, h)| **h == host);
        let in_flight: Vec<u64> = in_flight.map(|(op, _)| *op).collect();
        for op in in_flight {
            self.record(Event::Excused { op });
        }
    }

    /// Whether a host has reported readiness.
    pub fn is_ready(&self, host: u32) -> bool {
        self.host_states[host as usize] == HostState::Ready
    }

    pub(super) fn schedule_readiness_check(&mut self, host: u32) {
        let at = self.now() + READINESS_INTERVAL;
        self.timers.push(Reverse((at, Timer::CheckReadiness(host))));
    }

    pub(super) fn check_readiness(&mut self, host: u32) {
        if self.host_states[host as usize] != HostState::Starting {
            return;
        }
        let role = ConnectionRole::Readiness {
            reader: ResponseReader::default(),
        };
        if let Some(index) = self.connect(host, role) {
            self.send(index, b"GET /ready HTTP/1.1\r\nHost: lab\r\n\r\n");
            self.set_timeout(index, READINESS_TIMEOUT);
        } else {
            self.schedule_readiness_check(host);
        }
    }

    pub(super) fn on_readiness_response(&mut self, index: u32, host: u32, status: u16) {
        if status == 200 && self.host_states[host as usize] == HostState::Starting {
            self.host_states[host as usize] = HostState::Ready;
            self.record(Event::HostReady { host });
        }
        self.close(index, false);
    }
}
