//! Event loop of the clients.
mod behaviour;
mod requests;
mod transport;

use super::client::Client;
use super::{Behaviour, FIRST_CLIENT, LoadConfig};
use mallowseam_audit::trace::{Micros, Trace};
use mio::{Events, Poll};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::sync::mpsc::Receiver;
use std::time::Duration;

/// Shortest wait of the event loop, in microseconds.
const MIN_WAIT: Micros = 200;
/// Longest wait of the event loop, in microseconds.
const MAX_WAIT: Micros = 20_000;
const EVENT_CAPACITY: usize = 256;
/// Pause before a client connects again after a stall, or after its host closed the connection, in microseconds.
const RECONNECT_PAUSE: Micros = 100_000;
/// Size of the buffer for reads, in bytes.
const SCRATCH_BYTES: usize = 128 * 1024;

/// Clients, with the state of their event loop.
pub(super) struct Generator {
    config: LoadConfig,
    trace: Trace,
    poll: Poll,
    clients: Vec<Client>,
    /// Multiple of the usual command rate, by volume.
    surges: Vec<f64>,
    /// Multiple of the usual command rate of all clients.
    scale: f64,
    draining: bool,
    next_command: u64,
    /// Connections with incomplete logins or malformed PDUs, kept open.
    fault_connections: Vec<std::net::TcpStream>,
    scratch: Vec<u8>,
}

impl Generator {
    pub(super) fn new(config: LoadConfig, trace: Trace, poll: Poll, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let clients = (0..config.clients)
            .map(|i| Client::new(i, &config, &mut rng))
            .collect();
        Generator {
            surges: vec![1.0; config.volumes.len()],
            config,
            trace,
            poll,
            clients,
            scale: 1.0,
            draining: false,
            next_command: 1,
            fault_connections: Vec::new(),
            scratch: vec![0; SCRATCH_BYTES],
        }
    }

    /// Runs until the load is stopped.
    pub(super) fn run(&mut self, behaviours: &Receiver<Behaviour>) {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        loop {
            let now = self.trace.now();
            let due = self
                .clients
                .iter()
                .map(Client::next_timer)
                .min()
                .unwrap_or(now);
            let wait = due.saturating_sub(now).clamp(MIN_WAIT, MAX_WAIT);
            // An interrupted wait is like one that ends early.
            let _ = self
                .poll
                .poll(&mut events, Some(Duration::from_micros(wait)));
            while let Ok(behaviour) = behaviours.try_recv() {
                if behaviour == Behaviour::Stop {
                    return;
                }
                self.apply(behaviour);
            }
            for event in &events {
                if let Some(client) = event.token().0.checked_sub(FIRST_CLIENT) {
                    self.read(client);
                }
            }
            for client in 0..self.clients.len() {
                self.on_timer(client);
                self.flush(client);
            }
        }
    }
}
