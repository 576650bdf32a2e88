//! State of host processes as clients see it, and readiness checks.
use super::{ConnectionRole, Event, SimulatedPeers, Timer};
use mallowseam_audit::trace::Micros;
use mallowseam_http1::ResponseReader;
use mallowseam_scenarios::fleet::InitialList;
use rand::RngExt;
use std::cmp::Reverse;
use std::ops::RangeInclusive;

/// Pause between two readiness checks of a host, in microseconds.
const READINESS_INTERVAL: Micros = 20_000;
/// Timeout of a readiness check, in microseconds.
const READINESS_TIMEOUT: Micros = 2_000_000;

/// Range of the time after SIGTERM in which clients still open new connections, in microseconds; as on the users'
/// platform.
const NEW_CONNECTIONS_AFTER_SIGTERM: RangeInclusive<Micros> = 200_000..=400_000;

/// State of a host as clients see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HostState {
    /// The host is not running.
    Stopped,
    /// The host is running and has not reported readiness.
    Starting,
    /// The host has reported readiness; clients use it.
    Ready,
}

impl SimulatedPeers {
    /// Records the start of a host's process, and starts its readiness checks.
    pub(crate) fn host_started(&mut self, host: u32) {
        self.record(Event::HostStarted { host });
        // The host's configuration contains all updates that the service has.
        if self.scenario.initial_list == InitialList::Current {
            self.undelivered.retain(|update| update.host != host);
        }
        self.host_states[host as usize] = HostState::Starting;
        self.new_connections_until[host as usize] = None;
        self.schedule_readiness_check(host);
    }

    /// Records that a host was sent SIGTERM: clients keep using their connections to it, and open new ones for a short
    /// time only.
    pub(crate) fn host_terminated(&mut self, host: u32) {
        let until = self.now() + self.rng.random_range(NEW_CONNECTIONS_AFTER_SIGTERM);
        self.new_connections_until[host as usize].get_or_insert(until);
    }

    /// Returns whether clients send requests to a host: it is ready, and they have an idle connection to it or may open
    /// one.
    pub(super) fn accepts_requests(&self, host: u32) -> bool {
        let has_idle = || {
            self.idle_connections
                .get(&host)
                .is_some_and(|idle| !idle.is_empty())
        };
        self.accepts_connections(host) || (self.is_ready(host) && has_idle())
    }

    /// Returns whether clients open new connections to a host.
    pub(super) fn accepts_connections(&self, host: u32) -> bool {
        let until = self.new_connections_until[host as usize];
        self.is_ready(host) && until.is_none_or(|until| self.now() < until)
    }

    /// Records the end of a host's process: clients no longer use the host.
    pub(crate) fn host_stopped(&mut self, host: u32) {
        self.host_states[host as usize] = HostState::Stopped;
        self.idle_connections.remove(&host);
    }

    /// Records that a host was paused or resumed. Its requests in flight are excused.
    pub(crate) fn set_paused(&mut self, host: u32, paused: bool) {
        self.paused[host as usize] = paused;
        let in_flight = self.request_hosts.iter().filter(|(_, h)| **h == host);
        let in_flight: Vec<u64> = in_flight.map(|(op, _)| *op).collect();
        for op in in_flight {
            self.record(Event::Excused { op });
        }
    }

    /// Returns whether a host has reported readiness.
    pub fn is_ready(&self, host: u32) -> bool {
        self.host_states[host as usize] == HostState::Ready
    }

    pub(super) fn schedule_readiness_check(&mut self, host: u32) {
        let at = self.now() + READINESS_INTERVAL;
        self.timers.push(Reverse((at, Timer::CheckReadiness(host))));
    }

    /// Sends a readiness check to a host that is starting.
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
