//! Event loop of a stand-in node.
mod commands;
mod events;
mod lifecycle;

use super::block_store::BlockStore;
use super::connections::{Connections, FIRST_CONNECTION};
use super::deferred::DeferredEvents;
use super::faults::{ActiveFaults, NodeFault};
use super::queue::CommandQueue;
use super::slow_start::SlowStart;
use super::write_protection::WriteProtection;
use super::{LISTENER, Lifecycle, WAKER};
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_audit::trace::{Micros, Trace, TraceEvent};
use mio::net::TcpListener;
use mio::{Events, Poll, Token};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Longest wait of the event loop, in microseconds.
const MAX_WAIT: Micros = 100_000;
const EVENT_CAPACITY: usize = 256;
/// Length of one tick of the connections' clock, in microseconds.
const TICK: Micros = 100;

/// Parts of a server, which are moved to its thread.
pub(super) struct ServerSetup {
    pub(super) index: u32,
    pub(super) address: SocketAddr,
    pub(super) target: String,
    pub(super) poll: Poll,
    pub(super) listener: TcpListener,
    pub(super) model: ServiceModel,
    pub(super) trace: Trace,
    pub(super) seed: u64,
    pub(super) lifecycle: Arc<Mutex<Lifecycle>>,
}

/// State of a node. Stored data outlives the simulated process, as on a disk.
pub(super) struct Server {
    index: u32,
    address: SocketAddr,
    poll: Poll,
    connections: Connections,
    /// Listening socket; none while the process is down.
    listener: Option<TcpListener>,
    model: ServiceModel,
    trace: Trace,
    rng: Pcg64Mcg,
    store: BlockStore,
    protection: WriteProtection,
    queue: CommandQueue,
    slow_start: SlowStart,
    faults: ActiveFaults,
    deferred: DeferredEvents,
    /// Tokens whose readiness has not been handled yet.
    ready: HashSet<usize>,
    lifecycle: Arc<Mutex<Lifecycle>>,
}

impl Server {
    pub(super) fn new(setup: ServerSetup) -> Server {
        let registry = setup.poll.registry().try_clone();
        let registry = registry.expect("a registry can be cloned");
        Server {
            connections: Connections::new(setup.target, setup.address, registry),
            queue: CommandQueue::new(setup.model.cores, setup.model.queue),
            index: setup.index,
            address: setup.address,
            poll: setup.poll,
            listener: Some(setup.listener),
            model: setup.model,
            trace: setup.trace,
            rng: Pcg64Mcg::seed_from_u64(setup.seed),
            store: BlockStore::default(),
            protection: WriteProtection::default(),
            slow_start: SlowStart::default(),
            faults: ActiveFaults::default(),
            deferred: DeferredEvents::default(),
            ready: HashSet::new(),
            lifecycle: setup.lifecycle,
        }
    }

    /// Runs until the node is stopped.
    pub(super) fn run(&mut self, faults: &Receiver<NodeFault>) {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        loop {
            // An interrupted wait is like one that ends early.
            let _ = self.poll.poll(&mut events, Some(self.wait()));
            while let Ok(fault) = faults.try_recv() {
                if fault == NodeFault::Stop {
                    return;
                }
                self.apply(fault);
            }
            self.ready
                .extend(events.iter().map(|event| event.token().0));
            if self.listener.is_none() {
                self.ready.clear();
                continue;
            }
            self.handle_ready();
            self.serve();
            if !self.faults.is_silent() {
                self.flush();
            }
            self.record_closed();
        }
    }

    /// Returns the time until the first running command is due.
    fn wait(&self) -> Duration {
        if self.faults.is_frozen() {
            return Duration::from_micros(MAX_WAIT);
        }
        let now = self.trace.now();
        let wait = self
            .queue
            .next_due()
            .map_or(MAX_WAIT, |due| due.saturating_sub(now));
        Duration::from_micros(wait.min(MAX_WAIT))
    }

    fn ticks(&self) -> i64 {
        (self.trace.now() / TICK) as i64
    }

    fn handle_ready(&mut self) {
        let mut tokens: Vec<usize> = self.ready.drain().collect();
        tokens.sort_unstable();
        for token in tokens {
            self.on_ready(Token(token));
        }
    }

    fn on_ready(&mut self, token: Token) {
        match token {
            LISTENER if !self.faults.accepts_connections() => {
                self.ready.insert(LISTENER.0);
            }
            LISTENER => self.accept(),
            WAKER => {}
            Token(token) => self.read((token - FIRST_CONNECTION) as u32),
        }
    }

    fn accept(&mut self) {
        let now = self.ticks();
        // Client ids are reused, so closed connections are recorded before new ones are accepted.
        self.record_closed();
        if let Some(listener) = &self.listener {
            self.connections.accept(listener, now);
        }
    }

    fn read(&mut self, client: u32) {
        let now = self.ticks();
        let mut more = self.connections.on_ready(client, now);
        loop {
            while let Some(event) = self.connections.next_event(client) {
                self.on_event(client, event);
            }
            if !more {
                break;
            }
            more = self.connections.read(client, now);
        }
    }

    fn flush(&mut self) {
        let unsent = self.connections.flush(self.ticks());
        let tokens = unsent
            .into_iter()
            .map(|client| FIRST_CONNECTION + client as usize);
        self.ready.extend(tokens);
    }

    /// Records the connections that have closed.
    fn record_closed(&mut self) {
        for connection in self.connections.take_closed() {
            self.trace.record(TraceEvent::ConnectionClosed {
                node: self.index,
                connection,
            });
        }
    }
}
