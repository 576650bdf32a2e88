//! Membership protocol of a host on a UDP socket of its event loop.
use crate::event_log::EventLog;
use mallowseam_fleet::config::FleetConfig;
use mallowseam_fleet::record::ActiveVersions;
use mallowseam_fleet::wire::MAX_DATAGRAM_BYTES;
use mallowseam_fleet::{ActionSink, Membership, MembershipEvent, Millis};
use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use std::io;
use std::net::SocketAddr;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Maximum number of datagrams that are received in one iteration of the event loop. Further ones wait in the socket's
/// buffer; the kernel drops those that do not fit into it.
const MAX_DATAGRAMS_PER_ITERATION: usize = 64;
/// Size of the receive buffer, in bytes: one more than the maximum size of a datagram, so that a longer datagram is not
/// truncated to a valid one.
const RECEIVE_BUFFER_BYTES: usize = MAX_DATAGRAM_BYTES + 1;

/// Sink that executes the actions of one call of the state machine: sends datagrams, and logs events.
struct SocketActions<'a> {
    socket: &'a UdpSocket,
    event_log: &'a mut EventLog,
    now: Millis,
}

impl ActionSink for SocketActions<'_> {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        // A datagram that cannot be sent counts as lost on the network, which the protocol tolerates.
        let _ = self.socket.send_to(bytes, to);
    }

    fn notify(&mut self, event: MembershipEvent) {
        self.event_log.log(event, self.now);
    }
}

/// Arguments of one call of the state machine.
struct CallContext<'a> {
    membership: &'a mut Membership,
    now: Millis,
    actions: SocketActions<'a>,
}

/// Membership protocol of a host, with its socket, clock and log.
pub struct UdpMembership {
    socket: UdpSocket,
    listen: SocketAddr,
    membership: Membership,
    start: Instant,
    event_log: EventLog,
}

impl UdpMembership {
    /// Opens and registers the socket, and starts the membership protocol.
    ///
    /// # Errors
    /// The socket cannot be bound to the listening address, or cannot be registered.
    pub fn open(registry: &Registry, token: Token, config: FleetConfig) -> io::Result<Self> {
        let FleetConfig {
            listen,
            membership: config,
        } = config;
        let mut socket = UdpSocket::bind(listen)?;
        registry.register(&mut socket, token, Interest::READABLE)?;
        tracing::info!(
            %listen,
            advertise_address = %config.address,
            fleet = %config.fleet,
            seeds = config.seeds.len(),
            "membership protocol started"
        );
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let started_ms = unix_time.as_millis() as u64;
        Ok(UdpMembership {
            socket,
            listen,
            membership: Membership::new(config, rand::random(), 0, started_ms),
            start: Instant::now(),
            event_log: EventLog::default(),
        })
    }

    /// Returns the time until [`tick`](UdpMembership::tick) is to be called, in milliseconds.
    #[must_use]
    pub fn millis_until_tick(&self) -> Millis {
        self.membership.next_tick().saturating_sub(self.now())
    }

    /// Runs the timers that are due. Must be called before [`on_readable`](UdpMembership::on_readable) in each
    /// iteration of the event loop, so that the protocol detects a pause of its process.
    pub fn tick(&mut self) {
        let now = self.now();
        if now >= self.membership.next_tick() {
            self.event_log.renew_window(now);
            let mut call = self.call_context();
            call.membership.tick(call.now, &mut call.actions);
        }
    }

    /// Receives datagrams after the socket became readable. Returns whether more datagrams may be pending.
    pub fn on_readable(&mut self) -> bool {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            match self.socket.recv_from(&mut buffer) {
                Ok((len, from)) => self.receive(from, buffer.get(..len).unwrap_or_default()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
                // The network reports such errors for datagrams sent earlier, for example to an unreachable port.
                Err(_) => {}
            }
        }
        true
    }

    fn receive(&mut self, from: SocketAddr, datagram: &[u8]) {
        let mut call = self.call_context();
        call.membership
            .receive(from, datagram, call.now, &mut call.actions);
    }

    /// Publishes the versions of shared state that this host acts on.
    pub fn set_active_versions(&mut self, versions: ActiveVersions) {
        let mut call = self.call_context();
        call.membership
            .set_active_versions(versions, call.now, &mut call.actions);
    }

    /// Notifies other members that this host is shutting down gracefully and still serves requests.
    pub fn announce_leaving(&mut self) {
        let mut call = self.call_context();
        call.membership
            .announce_leaving(call.now, &mut call.actions);
    }

    /// Notifies other members that this process ends.
    pub fn announce_left(&mut self) {
        let mut call = self.call_context();
        call.membership.announce_left(call.now, &mut call.actions);
    }

    /// Applies the seeds of a reloaded configuration. Other changes take effect after a restart; a changed listening
    /// address, or a removed configuration, is logged.
    pub fn reload(&mut self, config: Option<FleetConfig>) {
        match config {
            Some(config) if config.listen == self.listen => {
                self.membership.set_seeds(config.membership.seeds);
            }
            _ => tracing::warn!("a changed fleet configuration takes effect after a restart"),
        }
    }

    /// Returns the state machine of the membership protocol.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the current time, in milliseconds since the start of the protocol.
    fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    /// Returns the arguments of a call of the state machine at the current time.
    fn call_context(&mut self) -> CallContext<'_> {
        let now = self.now();
        CallContext {
            membership: &mut self.membership,
            now,
            actions: SocketActions {
                socket: &self.socket,
                event_log: &mut self.event_log,
                now,
            },
        }
    }
}
