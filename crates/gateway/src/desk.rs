//! The block I/Os in hand: what came from which client, what is out at which node. Carries out what the
//! scheduler decides; what comes of it is told to the scheduler once its call is over.
mod mapped;
mod unit;

use crate::clients::Clients;
use crate::clock::{ticks_from_micros_ceil, ticks_from_micros_floor, ticks_to_millis};
use crate::figures::{Figures, GroupFigures, NodeFigures, VolumeFigures};
use crate::map::Map;
use crate::nodes::{self, Nodes, Order};
use crate::slab::Slab;
use crate::terms::layout;
use mallowseam_connection_policy::command_progress::{CommandProgress, RequestOutcome};
use mallowseam_connection_policy::request_splitting::{Extent, SubRequest, VolumeLayout};
use mallowseam_cow::copy_budget::{self, CopyBudget};
use mallowseam_cow::messages::ToCatalog;
use mallowseam_cow::split_write::{PartAdmission, SplitWrite};
use mallowseam_cow::tree::{LayerId, Location, Tree};
use mallowseam_cow::tree_replica::{Lookup, RESEND_AFTER};
use mallowseam_iscsi::initiator::Payload;
use mallowseam_iscsi::scsi::{self, Command as Scsi, Sense, Unit, status};
use mallowseam_iscsi::target::Came;
use mallowseam_scheduler::Interner;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::*;
use mallowseam_settings::GatewayConfig;
use mallowseam_settings::config;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::rc::Rc;

/// A tag on the way to a node: the block I/O's place in the lower bits, above them which submit of that place
/// it is, so that an answer finds no later one.
const PLACE_BITS: u32 = 20;
const PLACES: usize = 1 << PLACE_BITS;
const NONE: u32 = u32::MAX;
/// Group number of copies, by which a trace tells them from clients' commands.
const COPY_MARK: u8 = 31;
/// Ticks in the tenth of a second in which a time to come back is told (RFC 7144).
const COME_BACK: Tick = 1_000;

struct Volume {
    name: String,
    plan: u16,
    lun: u32,
    blocks: u64,
    block_size: u32,
    hosts: u32,
    layout: VolumeLayout,
    /// The branch whose extents it shows, where the catalog says where its blocks lie.
    branch: Option<Rc<str>>,
}

/// A unit that clients see: a volume, or a snapshot or clone of one.
#[derive(Clone)]
struct Seen {
    vol: usize,
    lun: u32,
    branch: Option<Rc<str>>,
    writable: bool,
}

/// An extent on its way to a new place.
struct Copy {
    vol: usize,
    from: Option<(LayerId, Location)>,
    data: Payload,
    /// For the submits of its write, one each.
    numbers: Vec<u32>,
    state: Copying,
}

#[derive(Clone, Copy, PartialEq)]
enum Copying {
    Reading,
    Writing,
    /// Told to the catalog, at that time.
    Told(Location, u64),
    /// Came to nothing; may be begun again from then on.
    Resting(u64),
}

struct Group {
    hard_limit: Tick,
    goal: Tick,
    side_effecting: bool,
}

/// A client's command.
struct Command {
    client: u32,
    task: u32,
    progress: CommandProgress,
    /// Its block I/Os: the first of a chain, and how many still have a place.
    first: u32,
    alive: u32,
    write: bool,
    parts: u32,
    pieces: SplitWrite,
    /// The client's group number, handed on to the nodes.
    mark: u8,
    block_size: usize,
    data: Payload,
    read: Vec<u8>,
}

struct Out {
    node: u32,
    tag: u32,
    sent: Tick,
}

/// One block I/O.
struct Io {
    command: u32,
    next: u32,
    vol: usize,
    lun: u32,
    branch: Option<Rc<str>>,
    /// Order in which they came.
    seq: u64,
    place: Option<(LayerId, Location)>,
    /// The extent it copies.
    copies: Option<(LayerId, u32)>,
    /// Comes back from the scheduler to be looked up again.
    returns: bool,
    part: SubRequest,
    taken: Tick,
    handed: bool,
    submits: u32,
    out: Option<Out>,
    answered: bool,
}

pub struct Desk {
    pub now: Tick,
    pub clients: Clients,
    pub nodes: Nodes,
    pub figures: Figures,
    pub wake_at: Option<Tick>,
    pub wants_list: bool,
    volumes: Vec<Volume>,
    groups: Vec<Group>,
    unit: u64,
    longest: u64,
    ios: Slab<Io>,
    turns: Vec<u32>,
    commands: Slab<Command>,
    keys: Interner<(u32, u64)>,
    timers: BinaryHeap<Reverse<(Tick, u32)>>,
    ended: VecDeque<(BioId, AttemptOutcome)>,
    gone: VecDeque<BioId>,
    parts: Vec<SubRequest>,
    pub map: Option<Map>,
    extent: u64,
    copy_group: usize,
    submits: u32,
    shards: Vec<u32>,
    units: BTreeMap<u32, Seen>,
    units_of: u64,
    seq: u64,
    /// Block I/Os that wait for news of the map, in the order in which they came.
    waiting: Vec<u32>,
    looked: (u64, Tick),
    copies: CopyBudget,
    copying: BTreeMap<(LayerId, u32), Copy>,
    fresh: VecDeque<u32>,
}

impl Desk {
    /// Volumes have these plans from now on; the scheduler's handles of those that have another one.
    pub fn planned(&mut self, of: &[usize]) -> Vec<(VolumeId, u16)> {
        let mut changed = Vec::new();
        for (at, (volume, plan)) in self.volumes.iter_mut().zip(of).enumerate() {
            let plan = *plan as u16;
            if volume.plan != plan {
                volume.plan = plan;
                changed.push((VolumeId(at as u32), plan));
            }
        }
        changed
    }

    pub fn new(site: &GatewayConfig, clients: Clients, nodes: Nodes, map: Option<Map>) -> Self {
        let catalog = site.catalog.clone().unwrap_or_default();
        let volume = |v: &config::Volume| Volume {
            name: v.name.clone(),
            plan: v.plan as u16,
            lun: v.lun.into(),
            blocks: v.block_count,
            block_size: v.block_size,
            hosts: v.host_count,
            layout: if v.mapped { mapped(site, v, catalog.extent_blocks) } else { layout(site, v) },
            branch: v.mapped.then(|| v.name.as_str().into()),
        };
        let group = |g: &config::IoClass| Group {
            hard_limit: ticks_from_micros_floor(g.deadline),
            goal: ticks_from_micros_ceil(g.latency_objective),
            side_effecting: g.effect == config::Effect::NonIdempotent,
        };
        Desk {
            now: 0,
            clients,
            nodes,
            figures: Figures {
                groups: site.io_classes.iter().map(|_| GroupFigures::default()).collect(),
                nodes: vec![NodeFigures::default(); site.nodes.len()],
                volumes: vec![VolumeFigures::default(); site.volumes.len()],
                ..Figures::default()
            },
            wake_at: None,
            wants_list: false,
            volumes: site.volumes.iter().map(volume).collect(),
            groups: site.io_classes.iter().map(group).collect(),
            unit: site.fleet.unit_bytes,
            longest: site.host.max_transfer_bytes,
            ios: Slab::default(),
            turns: Vec::new(),
            commands: Slab::default(),
            keys: Interner::default(),
            timers: BinaryHeap::new(),
            ended: VecDeque::new(),
            gone: VecDeque::new(),
            parts: Vec::new(),
            map,
            extent: catalog.extent_blocks,
            copy_group: catalog.copy_class,
            submits: site.fleet.max_attempts,
            shards: site.nodes.iter().map(|n| n.shard).collect(),
            units: BTreeMap::new(),
            units_of: u64::MAX,
            seq: 0,
            waiting: Vec::new(),
            looked: (0, 0),
            copies: CopyBudget::default(),
            copying: BTreeMap::new(),
            fresh: VecDeque::new(),
        }
    }

    /// Block I/Os in hand.
    pub fn in_hand(&self) -> usize {
        self.ios.len()
    }

    /// When the next submit runs out of time.
    pub fn next_timer(&self) -> Option<Tick> {
        self.timers.peek().map(|t| t.0.0)
    }

    /// Takes what came from a client.
    pub fn came(&mut self, scheduler: &mut Scheduler, client: u32, came: Came) {
        match came {
            Came::LoggedIn(who) => {
                if let Some(c) = self.clients.all.get_mut(client) {
                    c.name = who.initiator;
                    tracing::info!(peer = %c.peer, name = c.name, "client logged in");
                }
                self.clients.close_replaced();
            }
            Came::Command { task, lun, cdb, room, data } => {
                self.command(scheduler, client, task, lun, &cdb, room, data);
            }
            Came::Aborted { task } => {
                let Some(c) = self.clients.all.get_mut(client) else { return };
                let Some(at) = c.commands.iter().position(|t| t.0 == task) else { return };
                let (_, command) = c.commands.swap_remove(at);
                self.leave(command);
            }
            Came::Logout | Came::Alive => {}
        }
    }

    /// The client of a command is not there for an answer any more.
    fn leave(&mut self, at: u32) {
        let Some(command) = self.commands.get_mut(at).filter(|c| !c.progress.is_answered()) else { return };
        command.progress.client_disconnected();
        command.client = NONE;
        self.figures.commands.left += 1;
        self.let_go(at);
    }

    /// The block I/Os of a command that is answered are of no more use.
    fn let_go(&mut self, at: u32) {
        let mut next = self.commands.get(at).map_or(NONE, |c| c.first);
        while let Some(io) = self.ios.get_mut(next).filter(|io| io.command == at) {
            if !io.answered {
                io.answered = true;
                if io.handed {
                    self.gone.push_back(BioId(next));
                }
                // One that waits is let go at the next look.
                self.looked.1 = 0;
            }
            next = io.next;
        }
    }

    /// The time that the scheduler asked for has come. Nothing else wakes it: it names each time once, and would take
    /// a call past the time that is set here for that one, and wait for the next in vain.
    pub fn woken(&mut self, scheduler: &mut Scheduler) {
        if self.wake_at.is_some_and(|at| at <= self.now) {
            self.wake_at = None;
            let now = self.now;
            scheduler.on_timer(self, now);
            self.settle(scheduler);
        }
    }

    /// Tells the scheduler what has come of its submits, until nothing is left to tell.
    pub fn settle(&mut self, scheduler: &mut Scheduler) {
        let now = self.now;
        loop {
            while let Some(commands) = self.clients.left() {
                for (_, command) in commands {
                    self.leave(command);
                }
            }
            if let Some((node, result)) = self.nodes.ended() {
                self.submit_ended(node, result);
            }
            // Who has left goes first: what is taken back behind a write that was turned away must not be sent
            // when that one makes room.
            if let Some(id) = self.gone.pop_front() {
                if self.ios.get(id.0).is_some() {
                    scheduler.on_disconnect(self, now, id);
                }
            } else if let Some((id, outcome)) = self.ended.pop_front() {
                scheduler.on_attempt_finished(self, now, id, &outcome);
            } else if let Some(at) = self.fresh.pop_front() {
                self.take(scheduler, at);
            } else if self.nodes.is_quiet() && self.clients.is_quiet() && !self.look_again(scheduler) {
                return;
            }
        }
    }

    fn submit_ended(&mut self, node: usize, result: nodes::Result) {
        let at = result.tag & (PLACES as u32 - 1);
        let Some(io) = self.ios.get_mut(at) else { return };
        if io.out.as_ref().is_none_or(|o| o.tag != result.tag) {
            return;
        }
        if result.closed && io.branch.is_some() {
            return self.turned_away(at);
        }
        let (block_size, write) = match self.commands.get(io.command) {
            Some(c) => (c.block_size, c.write),
            None => (self.volumes[io.vol].block_size as usize, self.writes_copy(at)),
        };
        let io = self.ios.get_mut(at).expect("just seen");
        let mut ending = if result.closed { AttemptResult::Error } else { result.ending };
        let bytes = io.part.blocks as usize * block_size;
        if ending == AttemptResult::Completed && !write && result.data.len() != bytes {
            tracing::warn!(
                node = self.nodes.all[node].name,
                bytes,
                came = result.data.len(),
                "read came back short"
            );
            ending = AttemptResult::Error;
        }
        if ending == AttemptResult::Completed && !io.answered {
            io.answered = true;
            self.done(at, result.data);
        }
        self.tell(at, ending);
    }

    /// A block I/O has ended.
    fn done(&mut self, at: u32, mut data: Vec<u8>) {
        let io = self.ios.get(at).expect("in hand");
        let group = io.part.class as usize;
        let figures = &mut self.figures.groups[group];
        figures.answers.ended += 1;
        if io.copies.is_none() {
            let bytes = u64::from(io.part.blocks) * u64::from(self.volumes[io.vol].block_size);
            self.figures.volumes[io.vol].ended += bytes.div_ceil(self.unit) as f64;
        }
        let wait = self.now - io.taken;
        figures.late += u64::from(wait > self.groups[group].goal);
        figures.waits.saturating_record(wait.max(0) as u64 * 100);
        if io.copies.is_some() {
            return self.copied(at, data);
        }
        let (from, bytes) = (io.part.offset as usize, io.part.blocks as usize);
        let (command_at, place) = (io.command, io.place);
        let Some(command) = self.commands.get_mut(command_at) else { return };
        if let Some((layer, _)) = place {
            command.pieces.part_completed(layer);
        }
        if !command.write && !command.read.is_empty() {
            let (from, bytes) = (from * command.block_size, bytes * command.block_size);
            command.read[from..from + bytes].copy_from_slice(&data);
            data = Vec::new();
        }
        self.part_over(command_at, RequestOutcome::Completed, &data);
    }

    /// A submit is over: its outcome is told to the scheduler after the present call.
    fn tell(&mut self, at: u32, ending: AttemptResult) {
        let Some(io) = self.ios.get_mut(at) else { return };
        let Some(out) = io.out.take() else { return };
        self.figures.nodes[out.node as usize].count(ending);
        if self.groups[io.part.class as usize].side_effecting
            && matches!(
                ending,
                AttemptResult::Rejected | AttemptResult::ConnectFailed | AttemptResult::NotSent
            )
            && let Some(command) = self.commands.get_mut(io.command)
        {
            command.progress.attempt_did_not_run();
        }
        let outcome = AttemptOutcome {
            result: ending,
            node: NodeId(out.node),
            client_answered: io.answered || io.returns,
            latency: self.now - out.sent,
            units_by_other_hosts: 0.0,
            volume_usage: 0.0,
            load_report: LoadReport::default(),
        };
        self.ended.push_back((BioId(at), outcome));
    }

    /// Submits out of time are given up.
    pub fn run_timers(&mut self) {
        while let Some(&Reverse((at, tag))) = self.timers.peek() {
            if at > self.now {
                break;
            }
            self.timers.pop();
            let place = tag & (PLACES as u32 - 1);
            let Some(out) = self.ios.get(place).and_then(|io| io.out.as_ref()) else { continue };
            if out.tag == tag {
                let early = self.nodes.give_up(out.node as usize, tag, self.now);
                self.tell(place, if early { AttemptResult::ConnectFailed } else { AttemptResult::TimedOut });
            }
        }
        // Most submits end long before their time is up: what is left of them here is cleared out.
        if self.timers.len() > 64 + 4 * self.ios.len() {
            let ios = &self.ios;
            let live = |t: &Reverse<(Tick, u32)>| {
                let out = ios.get(t.0.1 & (PLACES as u32 - 1)).and_then(|io| io.out.as_ref());
                out.is_some_and(|o| o.tag == t.0.1)
            };
            self.timers.retain(live);
        }
    }

    /// A part of a command is over; the client gets its answer if this decides it.
    fn part_over(&mut self, at: u32, end: RequestOutcome, data: &[u8]) {
        let Some(command) = self.commands.get_mut(at) else { return };
        let Some(answer) = command.progress.sub_request_finished(end) else { return };
        let (client, task) = (command.client, command.task);
        let read = std::mem::take(&mut command.read);
        let counts = &mut self.figures.commands;
        match answer {
            RequestOutcome::Completed => counts.ended += 1,
            RequestOutcome::Shed { .. } => counts.shed += 1,
            RequestOutcome::Failed => counts.failed += 1,
        }
        if let Some(c) = self.clients.all.get_mut(client) {
            c.commands.retain(|t| t.0 != task);
        }
        if let Some(conn) = self.clients.answer(client) {
            match answer {
                RequestOutcome::Completed if read.is_empty() => conn.good(task, data),
                RequestOutcome::Completed => conn.good(task, &read),
                RequestOutcome::Shed { retry_after: after } => {
                    let tenths = (after + COME_BACK - 1) / COME_BACK;
                    conn.other(task, status::BUSY, None, tenths.clamp(0, 0x3fef) as u16);
                }
                RequestOutcome::Failed => {
                    conn.other(task, status::CHECK_CONDITION, Some(Sense::UNKNOWN_OUTCOME), 0);
                }
            }
        }
        if answer != RequestOutcome::Completed {
            self.let_go(at);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn command(
        &mut self,
        scheduler: &mut Scheduler,
        client: u32,
        task: u32,
        lun: Option<u32>,
        cdb: &[u8; 16],
        room: usize,
        data: Vec<u8>,
    ) {
        let scsi = scsi::read_cdb(cdb);
        let seen = lun.and_then(|lun| self.unit(lun));
        let vol = seen.as_ref().map(|s| s.vol);
        let (write, lba, blocks, mark) = match scsi {
            Ok(Scsi::Read { lba, blocks, group }) => (false, lba, blocks, group),
            Ok(Scsi::Write { lba, blocks, group }) => (true, lba, blocks, group),
            scsi => return self.own(client, task, vol, scsi),
        };
        let Some(Seen { vol, lun, branch, writable }) = seen else {
            return self.refuse(client, task, Sense::NO_SUCH_LUN);
        };
        if write && !writable {
            return self.refuse(client, task, Sense::WRITE_PROTECTED);
        }
        let volume = &self.volumes[vol];
        let block_size = volume.block_size as usize;
        let bytes = u64::from(blocks) * block_size as u64;
        if lba.checked_add(blocks.into()).is_none_or(|end| end > volume.blocks) {
            return self.refuse(client, task, Sense::OUT_OF_RANGE);
        }
        if bytes > self.longest || write && data.len() as u64 != bytes || !write && (room as u64) < bytes {
            return self.refuse(client, task, Sense::INVALID_FIELD);
        }
        if blocks == 0 {
            return self.good(client, task, &[]);
        }
        let mut parts = std::mem::take(&mut self.parts);
        if volume.layout.split(write, lba, blocks, &mut parts).is_err() {
            self.parts = parts;
            return self.refuse(client, task, Sense::OUT_OF_RANGE);
        }
        if !self.clients.admission.admits_commands(crate::clock::ticks_to_millis(self.now))
            || self.ios.len() + parts.len() > PLACES
        {
            // Never taken, so trying again is harmless.
            self.parts = parts;
            if let Some(conn) = self.clients.answer(client) {
                conn.other(task, status::TASK_SET_FULL, None, 0);
            }
            return;
        }
        self.figures.commands.taken += 1;
        let read = if !write && parts.len() > 1 { vec![0; bytes as usize] } else { Vec::new() };
        let command = self.commands.insert(Command {
            client,
            task,
            progress: CommandProgress::new(parts.len() as u32),
            first: NONE,
            alive: parts.len() as u32,
            write,
            parts: parts.len() as u32,
            pieces: SplitWrite::default(),
            mark,
            block_size,
            data: data.into(),
            read,
        });
        if let Some(c) = self.clients.all.get_mut(client) {
            c.commands.push((task, command));
        }
        let mut first = NONE;
        for part in parts.iter().rev() {
            first = self.ios.insert(Io {
                command,
                next: first,
                vol,
                lun,
                branch: branch.clone(),
                seq: 0,
                place: None,
                copies: None,
                returns: false,
                part: *part,
                taken: self.now,
                handed: false,
                submits: 0,
                out: None,
                answered: false,
            });
        }
        self.commands.get_mut(command).expect("just put").first = first;
        self.parts = parts;
        let mut next = first;
        while let Some(io) = self.ios.get_mut(next) {
            let at = next;
            next = io.next;
            self.seq += 1;
            io.seq = self.seq;
            if self.commands.get(command).is_some_and(|c| c.progress.is_answered()) {
                // An earlier part has decided the answer: the scheduler never hears of this one.
                self.forget(at);
            } else if io.branch.is_some() {
                self.look_up(scheduler, at);
            } else {
                self.take(scheduler, at);
            }
        }
    }

    /// Hands a block I/O to the scheduler.
    fn take(&mut self, scheduler: &mut Scheduler, at: u32) {
        let Some(io) = self.ios.get_mut(at) else { return };
        io.handed = true;
        let part = io.part;
        let volume = &self.volumes[io.vol];
        let key = part.ordering_key.map(|key| KeyId(self.keys.intern(&(io.lun, key))));
        let bytes = u64::from(part.blocks) * u64::from(volume.block_size);
        let shard = match (io.place, io.copies) {
            (Some((_, place)), _) => Some(self.shards[place.node as usize]),
            // A new object may go to any node.
            (None, Some(_)) => None,
            (None, None) => Some(part.shard),
        };
        let bio = Bio {
            id: BioId(at),
            class: part.class,
            plan: volume.plan,
            volume: VolumeId(io.vol as u32),
            key,
            deadline: io.taken + self.groups[part.class as usize].hard_limit,
            units: bytes.div_ceil(self.unit) as f64,
            shard,
            hosts: volume.hosts,
        };
        self.figures.groups[part.class as usize].answers.taken += 1;
        if io.copies.is_none() {
            self.figures.volumes[io.vol].asked += bio.units;
        }
        let now = self.now;
        scheduler.on_arrival(self, now, bio);
    }

    /// A block I/O gives back its place, and its command with the last one.
    fn forget(&mut self, at: u32) {
        let Some(io) = self.ios.remove(at) else { return };
        if let Some(copy) = io.copies.and_then(|c| self.copying.get_mut(&c))
            && matches!(copy.state, Copying::Reading | Copying::Writing)
            && !io.answered
        {
            copy.state = Copying::Resting(ticks_to_millis(self.now) + copy_budget::RETRY_DELAY);
        }
        if let Some(command) = self.commands.get_mut(io.command) {
            command.alive -= 1;
            if command.alive == 0 {
                self.commands.remove(io.command);
            }
        }
    }

    fn good(&mut self, client: u32, task: u32, data: &[u8]) {
        if let Some(conn) = self.clients.answer(client) {
            conn.good(task, data);
        }
    }

    fn refuse(&mut self, client: u32, task: u32, sense: Sense) {
        if let Some(conn) = self.clients.answer(client) {
            conn.other(task, status::CHECK_CONDITION, Some(sense), 0);
        }
    }

    fn give_up(&mut self, bio: BioId, end: RequestOutcome) {
        let Some(io) = self.ios.get_mut(bio.0).filter(|io| !io.answered) else { return };
        // A copy that is given up has no client: its place is given back with its state as it is.
        io.answered = io.copies.is_none();
        let answers = &mut self.figures.groups[io.part.class as usize].answers;
        match end {
            RequestOutcome::Shed { .. } => answers.shed += 1,
            _ => answers.failed += 1,
        }
        let command = io.command;
        self.part_over(command, end, &[]);
    }
}

/// Extents of a mapped volume, each its own shard until it is looked up.
fn mapped(site: &GatewayConfig, v: &config::Volume, extent: u64) -> VolumeLayout {
    let count = v.block_count / extent.max(1);
    let one = |i| Extent { first_block: i * extent, blocks: extent, shard: i as u32, first_node_block: 0 };
    VolumeLayout { extents: (0..count).map(one).collect(), rules: layout(site, v).rules }
}

impl Host for Desk {
    fn forward(&mut self, bio: BioId, node: NodeId, timeout: Tick) {
        let io = self.ios.get_mut(bio.0).expect("in hand");
        if self.turns.len() <= bio.0 as usize {
            self.turns.resize(bio.0 as usize + 1, 0);
        }
        let turn = &mut self.turns[bio.0 as usize];
        *turn = (*turn + 1) & ((1 << (32 - PLACE_BITS)) - 1);
        let tag = *turn << PLACE_BITS | bio.0;
        io.submits += 1;
        io.out = Some(Out { node: node.0, tag, sent: self.now });
        let (part, vol, copies) = (io.part, io.vol, io.copies);
        let mut place = io.place;
        let block_size = self.volumes[vol].block_size as usize;
        let (from, len) = (part.offset as usize * block_size, part.blocks as usize * block_size);
        let (write, mark, data) = match (self.commands.get_mut(io.command), copies) {
            (Some(command), _) => {
                if self.groups[part.class as usize].side_effecting {
                    command.progress.attempt_sent();
                }
                let data = if command.write { command.data.piece(from, len) } else { Payload::default() };
                (command.write, command.mark, data)
            }
            (None, Some(copied)) => {
                let copy = self.copying.get_mut(&copied).expect("a copy has its state");
                let write = copy.state == Copying::Writing;
                if write {
                    // Each submit has a place of its own: one that lands late lands where nobody looks.
                    let slot = copy.numbers.pop().expect("one for each submit");
                    place = Some((copied.0, Location { node: node.0, slot }));
                }
                (write, COPY_MARK, if write { copy.data.clone() } else { Payload::default() })
            }
            (None, None) => (false, 0, Payload::default()),
        };
        if copies.is_some() {
            self.ios.get_mut(bio.0).expect("in hand").place = place;
        }
        let (lun, lba) = match place {
            Some((layer, place)) => (Some(layer), u64::from(place.slot) * self.extent + part.node_lba),
            None => (None, part.node_lba),
        };
        let order = Order {
            tag,
            lun,
            cdb: scsi::rw16(write, lba, part.blocks, mark),
            room: if write { 0 } else { len },
            data,
        };
        self.figures.nodes[node.0 as usize].submits += 1;
        self.timers.push(Reverse((self.now + timeout.max(0), tag)));
        self.nodes.submit(node.0 as usize, order, self.now);
    }

    fn cancel(&mut self, bio: BioId, attempt: u32) {
        let Some(io) = self.ios.get(bio.0).filter(|io| io.submits == attempt + 1) else { return };
        let Some(out) = &io.out else { return };
        let early = self.nodes.give_up(out.node as usize, out.tag, self.now);
        self.tell(bio.0, if early { AttemptResult::NotSent } else { AttemptResult::Cancelled });
    }

    fn shed(&mut self, bio: BioId, come_back: Tick) {
        self.give_up(bio, RequestOutcome::Shed { retry_after: come_back });
    }

    fn fail(&mut self, bio: BioId) {
        self.give_up(bio, RequestOutcome::Failed);
    }

    fn set_timer(&mut self, after: Tick) {
        let at = self.now + after;
        self.wake_at = Some(self.wake_at.map_or(at, |w| w.min(at)));
    }

    fn poll_endpoints(&mut self) {
        self.wants_list = true;
    }

    fn release_bio(&mut self, bio: BioId) {
        match self.ios.get_mut(bio.0).filter(|io| io.returns && !io.answered) {
            Some(io) => {
                (io.returns, io.handed, io.place, io.submits) = (false, false, None, 0);
                self.wait(bio.0);
            }
            None => self.forget(bio.0),
        }
    }

    fn release_key(&mut self, key: KeyId) {
        self.keys.release(key.0);
    }

    /// Volumes keep their index: there are as many as the configuration names.
    fn release_volume(&mut self, _vol: VolumeId) {}

    /// Nodes have the places that the configuration gives them.
    fn release_node(&mut self, _node: NodeId) {}
}
