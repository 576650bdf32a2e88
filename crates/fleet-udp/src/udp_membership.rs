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

/// A host's member of the protocol, with its socket, clock and log.
pub struct UdpMembership {
    socket: UdpSocket,
    listen: SocketAddr,
    membership: Membership,
    start: Instant,
    event_log: EventLog,
    receive_buffer: [u8; RECEIVE_BUFFER_BYTES],
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
        let unix_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        Ok(UdpMembership {
            socket,
            listen,
            membership: Membership::new(config, rand::random(), 0, unix_ms),
            start: Instant::now(),
            event_log: EventLog::default(),
            receive_buffer: [0; RECEIVE_BUFFER_BYTES],
        })
    }

    /// Milliseconds until [`tick`](UdpMembership::tick) is to be called.
    #[must_use]
    pub fn millis_until_tick(&self) -> Millis {
        self.membership.next_tick().saturating_sub(self.now())
    }

    /// Runs the timers that are due. Must be called before [`on_readable`](UdpMembership::on_readable) in each iteration of the
    /// event loop, so that the protocol notices if its process was stopped.
    pub fn tick(&mut self) {
        let now = self.now();
        if now >= self.membership.next_tick() {
            self.event_log.renew_window(now);
            self.act(|membership, now, sink| membership.tick(now, sink));
        }
    }

    /// Receives datagrams after the socket became readable. Returns whether more may wait.
    pub fn on_readable(&mut self) -> bool {
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            match self.socket.recv_from(&mut self.receive_buffer) {
                Ok((len, from)) => {
                    let buffer = self.receive_buffer;
                    self.act(|membership, now, sink| {
                        membership.receive(from, &buffer[..len], now, sink);
                    });
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
                // Reported by the network for an earlier datagram, such as an unreachable port.
                Err(_) => {}
            }
        }
        true
    }

    /// Publishes the versions of shared state that this host acts on.
    pub fn set_active_versions(&mut self, versions: ActiveVersions) {
        self.act(|membership, now, sink| membership.set_active_versions(versions, now, sink));
    }

    /// Notifies other members that this host shuts down gracefully and still serves.
    pub fn announce_leaving(&mut self) {
        self.act(Membership::announce_leaving);
    }

    /// Notifies other members that this process ends.
    pub fn announce_left(&mut self) {
        self.act(Membership::announce_left);
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

    /// Calls the state machine and carries out its actions.
    fn act(&mut self, call: impl FnOnce(&mut Membership, Millis, &mut dyn ActionSink)) {
        let now = self.now();
        let UdpMembership {
            socket,
            membership,
            event_log,
            ..
        } = self;
        call(
            membership,
            now,
            &mut SocketActions {
                socket,
                event_log,
                now,
            },
        );
    }
}
