//! A stand-in for a storage node: an iSCSI target that keeps real bytes, serves at a set speed, queues and
//! turns away, starts cold and falls over when pushed. It fails in the ways a script asks for.
use crate::block;
use crate::trace::{Micros, Trace, What};
use mallowseam_connection_policy::admission::AdmissionController;
use mallowseam_gateway::client_connections::Clients;
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::scsi::{self, Command, LogicalUnit, Sense, status};
use mallowseam_iscsi::target::{TargetConfig, TargetEvent};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token, Waker};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);
const FIRST: usize = 2;

/// What a node can do. Times in microseconds.
#[derive(Clone, Debug)]
pub struct Model {
    pub cores: usize,
    /// Work of one unit on one core.
    pub unit_work: f64,
    pub unit_bytes: u64,
    pub queue: usize,
    /// A cold start: part of the speed, time until warm, and what makes it fall.
    pub cold_from: f64,
    pub cold_span: Micros,
    pub fall_multiple: f64,
    pub fall_span: Micros,
    pub cold_bears: f64,
}

impl Model {
    /// One that is always warm, with units of 4 KiB that take so much work.
    pub fn quick(cores: usize, unit_work: f64, queue: usize) -> Model {
        Model {
            cores,
            unit_work,
            unit_bytes: 4096,
            queue,
            cold_from: 1.0,
            cold_span: 0,
            fall_multiple: 2.0,
            fall_span: 0,
            cold_bears: 0.0,
        }
    }

    /// Part of its speed that a node has so long after its start.
    pub fn warmth(&self, age: Micros) -> f64 {
        let grown = age as f64 / self.cold_span.max(1) as f64;
        (self.cold_from + (1.0 - self.cold_from) * grown).min(1.0)
    }

    /// Units that a node so old bears within a fall span.
    pub fn bears(&self, age: Micros) -> f64 {
        let capacity = self.cores as f64 / self.unit_work * self.fall_span as f64;
        (self.fall_multiple * self.warmth(age) * capacity).max(self.cold_bears)
    }
}

/// Trouble, and its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Answers nothing and begins nothing new, while what it has begun goes on. What comes in meanwhile is
    /// read off its sockets, so that its time is known, and worked on later.
    Silent(bool),
    /// The process is gone with all it had in hand; comes back cold.
    Crash,
    Start,
    /// Every connection is closed.
    Reset,
    /// Nothing is worked on.
    Still(bool),
    /// So many times slower.
    Slow(f64),
    /// Part of its commands that fail at once; part of its answers that never go out.
    Errors(f64),
    Lose(f64),
    /// Has no room for blocks that it does not hold yet.
    Full(bool),
    /// Does not accept connections, while those it has go on.
    Deaf(bool),
    End,
}

/// What the list service would know of a node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Life {
    pub up: bool,
    /// Number of its run; 0 for the first, long past.
    pub run: u64,
    pub since: Micros,
}

pub struct Node {
    faults: Sender<Fault>,
    waker: Arc<Waker>,
    pub life: Arc<Mutex<Life>>,
    thread: Option<JoinHandle<()>>,
}

impl Node {
    pub fn start(
        index: u32,
        address: SocketAddr,
        target: &str,
        model: Model,
        trace: Trace,
        seed: u64,
    ) -> io::Result<Node> {
        let (faults, receiver) = channel();
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
        let life = Arc::new(Mutex::new(Life { up: true, run: 0, since: 0 }));
        let listener = listen(address, &poll)?;
        let target = target.to_owned();
        let shared = Arc::clone(&life);
        let thread = std::thread::Builder::new().name(format!("node{index}")).spawn(move || {
            let clients = fresh_clients(&poll, &target, address);
            let mut work = Work {
                index,
                address,
                target,
                poll,
                clients,
                listener: Some(listener),
                model,
                trace,
                rng: Pcg64Mcg::seed_from_u64(seed),
                blocks: HashMap::new(),
                closed: HashSet::new(),
                closing: Vec::new(),
                waiting: VecDeque::new(),
                running: Vec::new(),
                received: VecDeque::new(),
                lines: HashMap::new(),
                line: 0,
                silent: false,
                still: None,
                deaf: false,
                full: false,
                slow: 1.0,
                errors: 0.0,
                lose: 0.0,
                fallen: false,
                unheard: VecDeque::new(),
                missed: HashSet::new(),
                life: shared,
                scratch: vec![0; 128 * 1024],
            };
            work.run(&receiver);
        })?;
        Ok(Node { faults, waker, life, thread: Some(thread) })
    }

    pub fn fault(&self, fault: Fault) {
        let _ = self.faults.send(fault);
        let _ = self.waker.wake();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.fault(Fault::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn listen(address: SocketAddr, poll: &Poll) -> io::Result<TcpListener> {
    let mut listener = TcpListener::bind(address)?;
    poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
    Ok(listener)
}

fn read_or_write(cdb: &[u8; 16]) -> Option<(bool, u64, u32, u8)> {
    match scsi::parse_cdb(cdb) {
        Ok(Command::Read { lba, blocks, group_number: group }) => Some((false, lba, blocks, group)),
        Ok(Command::Write { lba, blocks, group_number: group }) => Some((true, lba, blocks, group)),
        _ => None,
    }
}

fn fresh_clients(poll: &Poll, target: &str, address: SocketAddr) -> Clients {
    let terms = TargetConfig {
        proposal: ProposedParams::default(),
        command_window: 64,
        max_transfer_bytes: 8 << 20,
        target_names: vec![target.to_owned()],
        portal_address: address.to_string(),
    };
    let registry = poll.registry().try_clone().expect("a registry");
    Clients::new(AdmissionController::new(target, 256), Rc::new(terms), registry, FIRST)
}

struct Item {
    client: u32,
    line: u64,
    task: u32,
    lun: u32,
    write: bool,
    lba: u64,
    blocks: u32,
    data: Vec<u8>,
    work: f64,
    /// Its command was aborted: the work goes on, nobody is told.
    orphan: bool,
}

struct Work {
    index: u32,
    address: SocketAddr,
    target: String,
    poll: Poll,
    clients: Clients,
    listener: Option<TcpListener>,
    model: Model,
    trace: Trace,
    rng: Pcg64Mcg,
    blocks: HashMap<(u32, u64), Box<[u8; block::SIZE]>>,
    /// Units closed to writes, and who waits until what runs there is over.
    closed: HashSet<u32>,
    closing: Vec<(u32, u64, u32, u32)>,
    waiting: VecDeque<Item>,
    running: Vec<(Micros, Item)>,
    received: VecDeque<(Micros, f64)>,
    /// Connection place to the number of the connection and the host on it.
    lines: HashMap<u32, (u64, u32)>,
    line: u64,
    silent: bool,
    still: Option<Micros>,
    deaf: bool,
    full: bool,
    slow: f64,
    errors: f64,
    lose: f64,
    fallen: bool,
    /// What came in while it was silent, and whether it was aborted meanwhile.
    unheard: VecDeque<(u32, u64, TargetEvent, bool)>,
    /// Sockets that have something to say.
    missed: HashSet<usize>,
    life: Arc<Mutex<Life>>,
    scratch: Vec<u8>,
}

impl Work {
    fn run(&mut self, faults: &Receiver<Fault>) {
        let mut events = Events::with_capacity(256);
        loop {
            let now = self.trace.now();
            let due = self.running.iter().map(|r| r.0).min().filter(|_| self.still.is_none());
            let wait = due.map_or(100_000, |d| d.saturating_sub(now).clamp(0, 100_000));
            let _ = self.poll.poll(&mut events, Some(Duration::from_micros(wait)));
            while let Ok(fault) = faults.try_recv() {
                if fault == Fault::End {
                    return;
                }
                self.fault(fault);
            }
            for event in events.iter() {
                self.missed.insert(event.token().0);
            }
            if self.listener.is_none() {
                self.missed.clear();
                continue;
            }
            let mut spoke: Vec<usize> = self.missed.drain().collect();
            spoke.sort_unstable();
            for token in spoke {
                self.ready(Token(token));
            }
            self.serve();
            if !self.silent {
                let again = self.clients.flush(self.ticks());
                self.missed.extend(again.into_iter().map(|c| FIRST + c as usize));
            }
            self.note_closed();
        }
    }

    fn note_closed(&mut self) {
        while self.clients.next_abandoned().is_some() {}
        let (clients, trace, node) = (&self.clients, &self.trace, self.index);
        self.lines.retain(|at, (line, _)| {
            let open = clients.is_open(*at);
            if !open {
                trace.note(What::Closed { node, line: *line });
            }
            open
        });
    }

    fn ticks(&self) -> i64 {
        (self.trace.now() / 100) as i64
    }

    fn ready(&mut self, token: Token) {
        let now = self.ticks();
        match token {
            LISTENER if self.deaf || self.silent => {
                self.missed.insert(LISTENER.0);
            }
            LISTENER => {
                // The place of a connection that has closed is used again: that it closed is noted first.
                self.note_closed();
                while let Some(Ok((socket, peer))) = self.listener.as_ref().map(|l| l.accept()) {
                    self.clients.accept(socket, peer, now);
                }
            }
            WAKER => {}
            Token(t) => {
                let at = (t - FIRST) as u32;
                let mut more = self.clients.on_ready(at, true, &mut self.scratch, now);
                loop {
                    while let Some(came) = self.clients.next_event(at) {
                        self.came(at, came);
                    }
                    if !more {
                        break;
                    }
                    more = self.clients.read(at, &mut self.scratch, now);
                }
            }
        }
    }

    /// Something came in. It is noted when it is read off the socket; a silent node works on it later.
    fn came(&mut self, at: u32, came: TargetEvent) {
        if let TargetEvent::LoggedIn(who) = &came {
            self.line += 1;
            // Hosts are named gwN by the scripts.
            let host = who.initiator.rsplit(":gw").next().and_then(|n| n.parse().ok()).unwrap_or(0);
            self.lines.insert(at, (self.line, host));
            self.clients.close_replaced();
            return;
        }
        let Some((line, host)) = self.lines.get(&at).copied() else { return };
        if let TargetEvent::Command { task, cdb, data, lun, .. } = &came
            && self.trace.is_on()
            && let Some((write, lba, blocks, mark)) = read_or_write(cdb)
        {
            let id = |b: &[u8]| b.first_chunk().map_or(0, |id| u64::from_le_bytes(*id));
            let (task, lun) = (*task, lun.unwrap_or(0));
            let (node, wrote) = (self.index, data.chunks(block::SIZE).map(id).collect());
            let first = data.get(8..16).and_then(|b| b.first_chunk()).map(|b| u64::from_le_bytes(*b));
            self.trace.note(What::Got {
                node,
                host,
                line,
                task,
                lun,
                write,
                lba,
                blocks,
                mark,
                wrote,
                first,
            });
        }
        if let TargetEvent::CommandAborted { task } = came {
            self.trace.note(What::CalledOff { node: self.index, line, task });
        }
        if let (true, TargetEvent::CommandAborted { task }) = (self.silent, &came) {
            // The connection gives the place of the task to the next command, so it must not be answered any
            // more, whatever is done of it.
            let same = |i: &&mut Item| (i.line, i.task) == (line, *task);
            let running = self.running.iter_mut().map(|r| &mut r.1);
            running.chain(&mut self.waiting).filter(same).for_each(|i| i.orphan = true);
            let unheard = self
                .unheard
                .iter_mut()
                .filter(|u| u.1 == line && matches!(&u.2, TargetEvent::Command { task: t, .. } if t == task));
            unheard.for_each(|u| u.3 = true);
        } else if self.silent {
            self.unheard.push_back((at, line, came, false));
        } else {
            self.work_on(at, line, came);
        }
    }

    fn work_on(&mut self, at: u32, line: u64, came: TargetEvent) {
        match came {
            TargetEvent::Command { task, lun, cdb, read_len: room, data } => {
                self.command(at, line, task, lun.unwrap_or(0), &cdb, room, data);
            }
            TargetEvent::CommandAborted { task } => {
                self.waiting.retain(|i| (i.line, i.task) != (line, task));
                let running = self.running.iter_mut().map(|r| &mut r.1);
                running.filter(|i| (i.line, i.task) == (line, task)).for_each(|i| i.orphan = true);
            }
            TargetEvent::LoggedIn(_) | TargetEvent::Logout | TargetEvent::NopOut => {}
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn command(
        &mut self,
        at: u32,
        line: u64,
        task: u32,
        lun: u32,
        cdb: &[u8; 16],
        room: usize,
        data: Vec<u8>,
    ) {
        let Some((write, lba, blocks, _)) = read_or_write(cdb) else {
            match scsi::parse_cdb(cdb) {
                Ok(Command::ModeSelect) => return self.close_unit(at, line, task, lun, &data),
                Ok(Command::GetLbaStatus { lba, allocation_len: room }) => {
                    return self.tell_mapped(at, task, lun, lba, room);
                }
                Ok(Command::Unmap) => return self.give_back(at, task, lun, &data),
                other => return self.own(at, task, room, other),
            }
        };
        let bytes = u64::from(blocks) * block::SIZE as u64;
        let units = bytes.div_ceil(self.model.unit_bytes).max(1) as f64;
        if self.push_over(units) {
            return;
        }
        if write && data.len() as u64 != bytes || self.rng.random::<f64>() < self.errors {
            return self.say(at, line, task, status::CHECK_CONDITION, &[]);
        }
        if write && self.full && !self.blocks.contains_key(&(lun, lba)) {
            return self.say(at, line, task, status::CHECK_CONDITION, &[]);
        }
        if self.waiting.len() >= self.model.queue {
            return self.say(at, line, task, status::TASK_SET_FULL, &[]);
        }
        let work = units * self.model.unit_work * self.rng.random_range(0.8..1.2);
        let client = at;
        self.waiting.push_back(Item {
            client,
            line,
            task,
            lun,
            write,
            lba,
            blocks,
            data,
            work,
            orphan: false,
        });
    }

    fn run_orphan(&mut self, client: u32, line: u64, task: u32, lun: u32, cdb: &[u8; 16], data: Vec<u8>) {
        let Some((write, lba, blocks, _)) = read_or_write(cdb) else { return };
        if self.waiting.len() < self.model.queue && data.len() as u64 == u64::from(blocks) * 512 {
            let work = self.model.unit_work;
            self.waiting.push_back(Item {
                client,
                line,
                task,
                lun,
                write,
                lba,
                blocks,
                data,
                work,
                orphan: true,
            });
        }
    }

    /// Closes a unit to writes, or opens it. Answered once what runs there is over, so that nothing lands later.
    fn close_unit(&mut self, at: u32, line: u64, task: u32, lun: u32, data: &[u8]) {
        match scsi::parse_write_protect(data) {
            Some(true) => {
                self.closed.insert(lun);
                self.closing.push((at, line, task, lun));
                self.closed_by_now();
            }
            Some(false) => {
                self.closed.remove(&lun);
                self.say(at, line, task, status::GOOD, &[]);
            }
            None => self.refuse(at, task, Sense::INVALID_FIELD_IN_CDB),
        }
    }

    fn closed_by_now(&mut self) {
        for (at, line, task, lun) in std::mem::take(&mut self.closing) {
            if self.running.iter().any(|r| r.1.lun == lun && r.1.write) {
                self.closing.push((at, line, task, lun));
            } else {
                self.say(at, line, task, status::GOOD, &[]);
            }
        }
    }

    fn give_back(&mut self, at: u32, task: u32, lun: u32, data: &[u8]) {
        let Some(runs) = scsi::parse_unmap(data) else {
            return self.refuse(at, task, Sense::INVALID_FIELD_IN_CDB);
        };
        for (lba, blocks) in runs {
            self.blocks.retain(|(l, b), _| *l != lun || !(lba..lba + u64::from(blocks)).contains(b));
        }
        if let Some(conn) = self.clients.session_mut(at) {
            conn.complete(task, &[]);
        }
    }

    fn tell_mapped(&mut self, at: u32, task: u32, lun: u32, from: u64, room: usize) {
        let mut held: Vec<u64> =
            self.blocks.keys().filter(|b| b.0 == lun && b.1 >= from).map(|b| b.1).collect();
        held.sort_unstable();
        let mut runs: Vec<(u64, u32)> = Vec::new();
        for lba in held {
            match runs.last_mut() {
                Some((first, count)) if *first + u64::from(*count) == lba => *count += 1,
                _ => runs.push((lba, 1)),
            }
        }
        let data = scsi::lba_status_data(&runs, room);
        if let Some(conn) = self.clients.session_mut(at) {
            conn.complete(task, &data);
        }
    }

    fn refuse(&mut self, at: u32, task: u32, sense: Sense) {
        if let Some(conn) = self.clients.session_mut(at) {
            conn.complete_with_status(task, status::CHECK_CONDITION, Some(sense), 0);
        }
    }

    fn own(&mut self, at: u32, task: u32, room: usize, command: Result<Command, Sense>) {
        let unit = LogicalUnit {
            blocks: 1 << 40,
            block_size: 512,
            product: "stand-in",
            serial: "node",
            max_transfer_blocks: 1 << 14,
        };
        let data = match command {
            Ok(Command::TestUnitReady | Command::SynchronizeCache { .. }) => Some(Vec::new()),
            Ok(Command::Inquiry { page, .. }) => unit.inquiry(page),
            Ok(Command::ReadCapacity16 { .. }) => Some(unit.read_capacity_16()),
            Ok(Command::ReadCapacity10) => Some(unit.read_capacity_10()),
            _ => None,
        };
        if let Some(conn) = self.clients.session_mut(at) {
            match data {
                Some(data) => conn.complete(task, &data[..data.len().min(room)]),
                None => conn.complete_with_status(
                    task,
                    status::CHECK_CONDITION,
                    Some(Sense::INVALID_OPERATION_CODE),
                    0,
                ),
            }
        }
    }

    /// Counts what a cold node is sent; true once it has fallen over.
    fn push_over(&mut self, units: f64) -> bool {
        let life = *self.life.lock().expect("no writer panics");
        let now = self.trace.now();
        let age = now - life.since;
        if life.run == 0 || age > self.model.cold_span {
            return false;
        }
        self.received.push_back((now, units));
        while self.received.front().is_some_and(|r| r.0 + self.model.fall_span < now) {
            self.received.pop_front();
        }
        let sum: f64 = self.received.iter().map(|r| r.1).sum();
        if sum > self.model.bears(age) {
            self.fallen = true;
            self.trace.note(What::Fell { node: self.index });
            self.fault(Fault::Crash);
        }
        self.fallen
    }

    /// Begins and finishes work.
    fn serve(&mut self) {
        if self.still.is_some() {
            return;
        }
        let now = self.trace.now();
        let mut i = 0;
        while i < self.running.len() {
            if self.running[i].0 <= now {
                let (_, item) = self.running.swap_remove(i);
                self.finish(item);
            } else {
                i += 1;
            }
        }
        while self.running.len() < self.model.cores {
            let Some(item) = self.waiting.pop_front() else { break };
            if item.write && self.closed.contains(&item.lun) {
                if self.lines.get(&item.client).is_some_and(|l| l.0 == item.line) && !item.orphan {
                    let (node, line, task) = (self.index, item.line, item.task);
                    // It has not run, and never will: as good as turned away.
                    self.trace.note(What::Said { node, line, task, status: status::BUSY });
                    self.refuse(item.client, item.task, Sense::WRITE_PROTECTED);
                }
                continue;
            }
            let life = *self.life.lock().expect("no writer panics");
            let warmth = if life.run == 0 { 1.0 } else { self.model.warmth(now - life.since) };
            let work = item.work * self.slow / warmth;
            if work < 1.0 {
                self.finish(item);
            } else {
                self.running.push((now + work as Micros, item));
            }
        }
    }

    fn finish(&mut self, item: Item) {
        let mut data = Vec::new();
        for i in 0..u64::from(item.blocks) {
            let at = i as usize * block::SIZE;
            if item.write {
                let place =
                    self.blocks.entry((item.lun, item.lba + i)).or_insert_with(|| Box::new([0; block::SIZE]));
                place.copy_from_slice(&item.data[at..at + block::SIZE]);
            } else {
                match self.blocks.get(&(item.lun, item.lba + i)) {
                    Some(block) => data.extend_from_slice(&block[..]),
                    None => data.resize(at + block::SIZE, 0),
                }
            }
        }
        self.closed_by_now();
        if !item.orphan && self.rng.random::<f64>() >= self.lose {
            self.say(item.client, item.line, item.task, status::GOOD, &data);
        }
    }

    fn say(&mut self, at: u32, line: u64, task: u32, code: u8, data: &[u8]) {
        // The connection may be another one by now.
        if self.lines.get(&at).is_none_or(|l| l.0 != line) {
            return;
        }
        let Some(conn) = self.clients.session_mut(at) else { return };
        self.trace.note(What::Said { node: self.index, line, task, status: code });
        match code {
            status::GOOD => conn.complete(task, data),
            status::CHECK_CONDITION => {
                conn.complete_with_status(task, code, Some(Sense::UNRECOVERED_READ_ERROR), 0)
            }
            _ => conn.complete_with_status(task, code, None, 0),
        }
    }

    fn close_all(&mut self) {
        self.clients = fresh_clients(&self.poll, &self.target, self.address);
        self.note_closed();
        self.missed.retain(|t| *t < FIRST);
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Silent(on) => {
                self.silent = on;
                if !on {
                    while let Some((at, line, came, orphan)) = self.unheard.pop_front() {
                        match came {
                            // It may have been begun before its abort was read: it runs, and nobody is told.
                            TargetEvent::Command { task, lun, cdb, data, .. } if orphan => {
                                self.run_orphan(at, line, task, lun.unwrap_or(0), &cdb, data);
                            }
                            came => self.work_on(at, line, came),
                        }
                    }
                }
            }
            Fault::Still(true) => self.still = self.still.or(Some(self.trace.now())),
            Fault::Still(false) => {
                if let Some(since) = self.still.take() {
                    let pause = self.trace.now() - since;
                    self.running.iter_mut().for_each(|r| r.0 += pause);
                }
            }
            Fault::Slow(times) => self.slow = times,
            Fault::Errors(part) => self.errors = part,
            Fault::Lose(part) => self.lose = part,
            Fault::Deaf(on) => self.deaf = on,
            Fault::Full(on) => self.full = on,
            Fault::Reset => self.close_all(),
            Fault::Crash => {
                if self.listener.take().is_some() {
                    self.close_all();
                    self.waiting.clear();
                    self.running.clear();
                    self.unheard.clear();
                    self.closing.clear();
                    self.life.lock().expect("no writer panics").up = false;
                    self.trace.note(What::Down { node: self.index });
                }
            }
            Fault::Start => {
                if self.listener.is_none() && !self.fallen {
                    // The address may still be held for a moment by the run before.
                    for _ in 0..100 {
                        match listen(self.address, &self.poll) {
                            Ok(listener) => {
                                self.listener = Some(listener);
                                break;
                            }
                            Err(_) => std::thread::sleep(Duration::from_millis(10)),
                        }
                    }
                    (self.silent, self.still, self.slow, self.deaf) = (false, None, 1.0, false);
                    self.received.clear();
                    let mut life = self.life.lock().expect("no writer panics");
                    *life = Life { up: true, run: life.run + 1, since: self.trace.now() };
                    self.trace.note(What::Up { node: self.index });
                }
            }
            Fault::End => {}
        }
    }
}
