//! Event loop of the load.
use super::client::Client;
use super::{Behaviour, FIRST_CLIENT, LoadConfig};
use mallowseam_audit::trace::Trace;
use mio::{Events, Poll};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::sync::mpsc::Receiver;
use std::time::Duration;

/// Shortest and longest wait of the event loop, in microseconds.
const WAIT: (u64, u64) = (200, 20_000);
const EVENT_CAPACITY: usize = 256;
const SCRATCH_BYTES: usize = 128 * 1024;

pub(super) struct Generator {
    pub(super) config: LoadConfig,
    pub(super) trace: Trace,
    pub(super) poll: Poll,
    pub(super) clients: Vec<Client>,
    /// Per volume, the multiple of its usual commands.
    pub(super) surges: Vec<f64>,
    /// The multiple of all clients' usual commands.
    pub(super) scale: f64,
    pub(super) draining: bool,
    pub(super) next_command: u64,
    /// Connections that never log in, kept open.
    pub(super) strangers: Vec<std::net::TcpStream>,
    pub(super) scratch: Vec<u8>,
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
            strangers: Vec::new(),
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
            let wait = due.saturating_sub(now).clamp(WAIT.0, WAIT.1);
            // An interrupted wait is like an early one.
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
