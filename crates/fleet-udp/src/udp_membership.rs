//! A host's member of the protocol on a UDP socket of its event loop.
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

/// Datagrams received in one iteration of the event loop. The others wait in the socket's buffer; the kernel drops what
/// does not fit into it.
const MAX_DATAGRAMS_PER_ITERATION: usize = 64;
/// One byte more than the largest datagram, so that a longer one is not truncated to a valid one.
const RECEIVE_BUFFER_BYTES: usize = MAX_DATAGRAM_BYTES + 1;

/// Carries out the actions of one call of the state machine.
struct SocketActions<'a> {
    socket: &'a UdpSocket,
    event_log: &'a mut EventLog,
    now: Millis,
}

impl ActionSink for SocketActions<'_> {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        // A datagram that can't be sent counts as lost on the network; the protocol copes with that.
        let _ = self.socket.send_to(bytes, to);
    }

    fn notify(&mut self, event: MembershipEvent) {
        self.event_log.log(event, self.now);
    }
}

/// What one call of the state machine needs.
struct Call<'a> {
    membership: &'a mut Membership,
    now: Millis,
    actions: SocketActions<'a>,
}

/// A host's member of the protocol, with its socket, clock and log.
pub struct UdpMembership {
    socket: UdpSocket,
    listen: SocketAddr,
    membership: Membership,
    start: Instant,
    event_log: EventLog,
}

impl UdpMembership {
    /// Opens and registers the socket, and starts the protocol.
    ///
    /// # Errors
    /// The address can't be listened on, or the socket can't be registered.
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

    /// Milliseconds until [`tick`](UdpMembership::tick) is to be called.
    #[must_use]
    pub fn millis_until_tick(&self) -> Millis {
        self.membership.next_tick().saturating_sub(self.now())
    }

    /// Runs the timers that are due. Must be called before [`on_readable`](UdpMembership::on_readable) in each iteration
    /// of the event loop, so that the protocol notices if its process was stopped.
    pub fn tick(&mut self) {
        let now = self.now();
        if now >= self.membership.next_tick() {
            self.event_log.renew_window(now);
            let mut call = self.call();
            call.membership.tick(call.now, &mut call.actions);
        }
    }

    /// Receives datagrams after the socket became readable. Returns whether more may wait.
    pub fn on_readable(&mut self) -> bool {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            match self.socket.recv_from(&mut buffer) {
                Ok((len, from)) => self.receive(from, buffer.get(..len).unwrap_or_default()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
                // Reported by the network for an earlier datagram, such as an unreachable port.
                Err(_) => {}
            }
        }
        true
    }

    fn receive(&mut self, from: SocketAddr, datagram: &[u8]) {
        let mut call = self.call();
        call.membership
            .receive(from, datagram, call.now, &mut call.actions);
    }

    /// Publishes the versions of shared state that this host acts on.
    pub fn set_active_versions(&mut self, versions: ActiveVersions) {
        let mut call = self.call();
        call.membership
            .set_active_versions(versions, call.now, &mut call.actions);
    }

    /// Notifies other members that this host shuts down gracefully and still serves.
    pub fn announce_leaving(&mut self) {
        let mut call = self.call();
        call.membership
            .announce_leaving(call.now, &mut call.actions);
    }

    /// Notifies other members that this process ends.
    pub fn announce_left(&mut self) {
        let mut call = self.call();
        call.membership.announce_left(call.now, &mut call.actions);
    }

    /// Takes over the seeds of a reloaded configuration. Any other change of it needs a restart.
    pub fn reload(&mut self, config: Option<FleetConfig>) {
        match config {
            Some(config) if config.listen == self.listen => {
                self.membership.set_seeds(config.membership.seeds);
            }
            _ => tracing::warn!("a changed fleet configuration takes effect after a restart"),
        }
    }

    /// The state machine.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Milliseconds since the start.
    fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    /// What a call of the state machine needs, at the present time.
    fn call(&mut self) -> Call<'_> {
        let now = self.now();
        Call {
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
