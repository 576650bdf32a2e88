//! Event loop of a stand-in node: connections, and what comes in on them.
use super::faults::ActiveFaults;
use super::queue::{PendingProtect, QueuedCommand, Running, TaskRef};
use super::{FIRST_CONNECTION, LISTENER, Lifecycle, NodeFault, ServiceModel, WAKER};
use crate::block;
use crate::trace::{Micros, Trace, TraceEvent};
use mallowseam_connection_policy::admission::AdmissionController;
use mallowseam_gateway::client_connections::Clients;
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::scsi::{self, Command};
use mallowseam_iscsi::target::{TargetConfig, TargetEvent};
use mio::net::TcpListener;
use mio::{Events, Poll, Token};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Longest wait of the event loop, in microseconds.
const MAX_WAIT: Micros = 100_000;
const EVENT_CAPACITY: usize = 256;
const SCRATCH_BYTES: usize = 128 * 1024;
const COMMAND_WINDOW: u32 = 64;
const MAX_TRANSFER_BYTES: usize = 8 << 20;
const MAX_CONNECTIONS: usize = 256;
/// Microseconds of one tick of the connections' clock.
const TICK: Micros = 100;

/// A read or write as its command block says.
#[derive(Clone, Copy)]
pub(super) struct Transfer {
    pub(super) write: bool,
    pub(super) lba: u64,
    pub(super) blocks: u32,
    pub(super) group_number: u8,
}

impl Transfer {
    pub(super) fn parse(cdb: &[u8; 16]) -> Option<Transfer> {
        let (write, lba, blocks, group_number) = match scsi::parse_cdb(cdb) {
            Ok(Command::Read {
                lba,
                blocks,
                group_number,
            }) => (false, lba, blocks, group_number),
            Ok(Command::Write {
                lba,
                blocks,
                group_number,
            }) => (true, lba, blocks, group_number),
            _ => return None,
        };
        Some(Transfer {
            write,
            lba,
            blocks,
            group_number,
        })
    }

    pub(super) fn bytes(&self) -> u64 {
        u64::from(self.blocks) * block::SIZE as u64
    }
}

/// A logged-in connection.
#[derive(Clone, Copy)]
pub(super) struct Session {
    /// Number of the connection, unique at the node.
    pub(super) connection: u64,
    host: u32,
}

/// An event that came in while the node was silent.
struct DeferredEvent {
    client: u32,
    connection: u64,
    event: TargetEvent,
    /// Its command was aborted meanwhile.
    aborted: bool,
}

/// What a server is made of, before it has a thread.
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

pub(super) struct Server {
    pub(super) index: u32,
    pub(super) address: SocketAddr,
    target: String,
    pub(super) poll: Poll,
    pub(super) clients: Clients,
    /// None while the process is down.
    pub(super) listener: Option<TcpListener>,
    pub(super) model: ServiceModel,
    pub(super) trace: Trace,
    pub(super) rng: Pcg64Mcg,
    /// Stored blocks by logical unit and address.
    pub(super) blocks: HashMap<(u32, u64), Box<[u8; block::SIZE]>>,
    /// Logical units that are write-protected.
    pub(super) protected: HashSet<u32>,
    /// Requests for write protection that wait until running writes are over.
    pub(super) pending_protects: Vec<PendingProtect>,
    pub(super) waiting: VecDeque<QueuedCommand>,
    pub(super) running: Vec<Running>,
    /// Units received while warming up, with their times.
    pub(super) received: VecDeque<(Micros, f64)>,
    /// Sessions by client id.
    pub(super) sessions: HashMap<u32, Session>,
    last_connection: u64,
    pub(super) faults: ActiveFaults,
    /// It crashed from overload and stays down.
    pub(super) overloaded: bool,
    deferred: VecDeque<DeferredEvent>,
    /// Tokens whose readiness has not been handled yet.
    ready: HashSet<usize>,
    lifecycle: Arc<Mutex<Lifecycle>>,
    scratch: Vec<u8>,
}

impl Server {
    pub(super) fn new(setup: ServerSetup) -> Server {
        let ServerSetup {
            index,
            address,
            target,
            poll,
            listener,
            model,
            trace,
            seed,
            lifecycle,
        } = setup;
        Server {
            clients: new_clients(&poll, &target, address),
            index,
            address,
            target,
            poll,
            listener: Some(listener),
            model,
            trace,
            rng: Pcg64Mcg::seed_from_u64(seed),
            blocks: HashMap::new(),
            protected: HashSet::new(),
            pending_protects: Vec::new(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            received: VecDeque::new(),
            sessions: HashMap::new(),
            last_connection: 0,
            faults: ActiveFaults::default(),
            overloaded: false,
            deferred: VecDeque::new(),
            ready: HashSet::new(),
            lifecycle,
            scratch: vec![0; SCRATCH_BYTES],
        }
    }

    /// Runs until the node is stopped.
    pub(super) fn run(&mut self, faults: &Receiver<NodeFault>) {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        loop {
            // An interrupted wait is like an early one.
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
            let mut tokens: Vec<usize> = self.ready.drain().collect();
            tokens.sort_unstable();
            for token in tokens {
                self.on_ready(Token(token));
            }
            self.serve();
            if !self.faults.silent {
                let unsent = self.clients.flush(self.ticks());
                self.ready.extend(
                    unsent
                        .into_iter()
                        .map(|client| FIRST_CONNECTION + client as usize),
                );
            }
            self.record_closed();
        }
    }

    /// Time until the first running command is due.
    fn wait(&self) -> Duration {
        let now = self.trace.now();
        let due = self
            .running
            .iter()
            .map(|r| r.due)
            .min()
            .filter(|_| self.faults.frozen_since.is_none());
        Duration::from_micros(
            due.map_or(MAX_WAIT, |due| due.saturating_sub(now).clamp(0, MAX_WAIT)),
        )
    }

    pub(super) fn lifecycle(&self) -> MutexGuard<'_, Lifecycle> {
        self.lifecycle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn ticks(&self) -> i64 {
        (self.trace.now() / TICK) as i64
    }

    /// Forgets the sessions of closed connections.
    fn record_closed(&mut self) {
        while self.clients.next_abandoned().is_some() {}
        let (clients, trace, node) = (&self.clients, &self.trace, self.index);
        self.sessions.retain(|client, session| {
            let open = clients.is_open(*client);
            if !open {
                trace.record(TraceEvent::ConnectionClosed {
                    node,
                    connection: session.connection,
                });
            }
            open
        });
    }

    fn on_ready(&mut self, token: Token) {
        match token {
            LISTENER if self.faults.not_accepting || self.faults.silent => {
                self.ready.insert(LISTENER.0);
            }
            LISTENER => self.accept(),
            WAKER => {}
            Token(token) => self.read((token - FIRST_CONNECTION) as u32),
        }
    }

    fn accept(&mut self) {
        let now = self.ticks();
        // The id of a closed connection is used again: that it closed is recorded first.
        self.record_closed();
        while let Some(Ok((socket, peer))) = self.listener.as_ref().map(TcpListener::accept) {
            self.clients.accept(socket, peer, now);
        }
    }

    fn read(&mut self, client: u32) {
        let now = self.ticks();
        let mut more = self.clients.on_ready(client, true, &mut self.scratch, now);
        loop {
            while let Some(event) = self.clients.next_event(client) {
                self.on_event(client, event);
            }
            if !more {
                break;
            }
            more = self.clients.read(client, &mut self.scratch, now);
        }
    }

    /// Records an event when it is read off the socket. A silent node processes it later.
    fn on_event(&mut self, client: u32, event: TargetEvent) {
        if let TargetEvent::LoggedIn(who) = &event {
            return self.on_login(client, &who.initiator);
        }
        let Some(session) = self.sessions.get(&client).copied() else {
            return;
        };
        let connection = session.connection;
        match &event {
            TargetEvent::Command {
                task,
                lun,
                cdb,
                data,
                ..
            } => {
                self.record_command(session, *task, lun.unwrap_or(0), cdb, data);
            }
            TargetEvent::CommandAborted { task } => {
                let (node, task) = (self.index, *task);
                self.trace.record(TraceEvent::NodeAborted {
                    node,
                    connection,
                    task,
                });
            }
            _ => {}
        }
        match event {
            TargetEvent::CommandAborted { task } if self.faults.silent => {
                self.abort_deferred(TaskRef {
                    client,
                    connection,
                    task,
                });
            }
            event if self.faults.silent => {
                self.deferred.push_back(DeferredEvent {
                    client,
                    connection,
                    event,
                    aborted: false,
                });
            }
            event => self.process(client, connection, event),
        }
    }

    fn on_login(&mut self, client: u32, initiator: &str) {
        self.last_connection += 1;
        // Hosts are named gwN by the scripts.
        let host = initiator
            .rsplit(":gw")
            .next()
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        self.sessions.insert(
            client,
            Session {
                connection: self.last_connection,
                host,
            },
        );
        self.clients.close_replaced();
    }

    fn record_command(&self, session: Session, task: u32, lun: u32, cdb: &[u8; 16], data: &[u8]) {
        if !self.trace.is_recording() {
            return;
        }
        let Some(Transfer {
            write,
            lba,
            blocks,
            group_number,
        }) = Transfer::parse(cdb)
        else {
            return;
        };
        let id = |bytes: &[u8]| bytes.first_chunk().map_or(0, |id| u64::from_le_bytes(*id));
        let first_lba = data
            .get(8..16)
            .and_then(|b| b.first_chunk())
            .map(|b| u64::from_le_bytes(*b));
        self.trace.record(TraceEvent::NodeReceived {
            node: self.index,
            host: session.host,
            connection: session.connection,
            task,
            lun,
            write,
            lba,
            blocks,
            group_number,
            write_ids: data.chunks(block::SIZE).map(id).collect(),
            first_lba,
        });
    }

    /// An abort that a silent node reads. The connection gives the task's place to the next command, so the task
    /// must not be answered any more, whatever is done of it.
    fn abort_deferred(&mut self, aborted: TaskRef) {
        let running = self.running.iter_mut().map(|r| &mut r.command);
        running
            .chain(&mut self.waiting)
            .filter(|command| command.origin == aborted)
            .for_each(|command| command.orphan = true);
        for deferred in &mut self.deferred {
            let same_task = matches!(&deferred.event, TargetEvent::Command { task, .. } if *task == aborted.task);
            if deferred.connection == aborted.connection && same_task {
                deferred.aborted = true;
            }
        }
    }

    fn process(&mut self, client: u32, connection: u64, event: TargetEvent) {
        match event {
            TargetEvent::Command {
                task,
                lun,
                cdb,
                read_len,
                data,
            } => {
                let origin = TaskRef {
                    client,
                    connection,
                    task,
                };
                self.on_command(origin, lun.unwrap_or(0), &cdb, read_len, data);
            }
            TargetEvent::CommandAborted { task } => {
                let aborted = TaskRef {
                    client,
                    connection,
                    task,
                };
                self.waiting.retain(|command| command.origin != aborted);
                let running = self.running.iter_mut().map(|r| &mut r.command);
                running
                    .filter(|command| command.origin == aborted)
                    .for_each(|command| command.orphan = true);
            }
            TargetEvent::LoggedIn(_) | TargetEvent::Logout | TargetEvent::NopOut => {}
        }
    }

    /// Processes what came in while the node was silent.
    pub(super) fn process_deferred(&mut self) {
        while let Some(DeferredEvent {
            client,
            connection,
            event,
            aborted,
        }) = self.deferred.pop_front()
        {
            match event {
                // It may have been started before its abort was read: it runs without an answer.
                TargetEvent::Command {
                    task,
                    lun,
                    cdb,
                    data,
                    ..
                } if aborted => {
                    let origin = TaskRef {
                        client,
                        connection,
                        task,
                    };
                    self.queue_orphan(origin, lun.unwrap_or(0), &cdb, data);
                }
                event => self.process(client, connection, event),
            }
        }
    }

    pub(super) fn discard_deferred(&mut self) {
        self.deferred.clear();
    }

    pub(super) fn close_connections(&mut self) {
        self.clients = new_clients(&self.poll, &self.target, self.address);
        self.record_closed();
        self.ready.retain(|token| *token < FIRST_CONNECTION);
    }
}

fn new_clients(poll: &Poll, target: &str, address: SocketAddr) -> Clients {
    let config = TargetConfig {
        proposal: ProposedParams::default(),
        command_window: COMMAND_WINDOW,
        max_transfer_bytes: MAX_TRANSFER_BYTES,
        target_names: vec![target.to_owned()],
        portal_address: address.to_string(),
    };
    let registry = poll
        .registry()
        .try_clone()
        .expect("a registry can be cloned");
    let admission = AdmissionController::new(target, MAX_CONNECTIONS);
    Clients::new(admission, Rc::new(config), registry, FIRST_CONNECTION)
}
