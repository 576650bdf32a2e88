//! Clients: iSCSI initiators that post to their own accounts and look them up, at times of their own, and
//! that fail in the ways a script asks for. One thread carries all of them.
use crate::block;
use crate::trace::{Micros, Trace, What};
use mallowseam_iscsi::frame::SendBuffer;
use mallowseam_iscsi::initiator::{InitiatorConnection, InitiatorEvent};
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::pdu::{Bhs, flag, opcode};
use mallowseam_iscsi::scsi::{self, status};
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token, Waker};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;

const WAKER: Token = Token(0);
const FIRST: usize = 1;
/// Blocks of an account.
pub const ACCOUNT: u64 = 8;
const ACCOUNTS: u64 = 6;
/// What a client leaves a host beyond the hard limit, for the way and a busy machine.
pub const WAY: Micros = 250_000;

/// What clients need to know of a volume.
#[derive(Clone, Debug)]
pub struct Volume {
    pub lun: u32,
    pub blocks: u64,
    pub plan: String,
    /// Hard limits of its reads and writes.
    pub read_limit: Micros,
    pub write_limit: Micros,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub hosts: Vec<SocketAddr>,
    pub target: String,
    pub volumes: Vec<Volume>,
    pub clients: u32,
    pub rate: f64,
    pub posts: f64,
    pub wishes: ProposedParams,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    Drop(u32),
    Stall(u32, bool),
    Deaf(u32, bool),
    Again(u32),
    HalfLogins(u32),
    Garbage(u32),
    Surge(String, f64),
    Load(f64),
    /// No new commands; what is in hand ends.
    Quiet,
    End,
}

pub struct Load {
    words: Sender<Word>,
    waker: Arc<Waker>,
    thread: Option<JoinHandle<()>>,
}

impl Load {
    pub fn start(plan: Plan, trace: Trace, seed: u64) -> std::io::Result<Load> {
        let (words, receiver) = channel();
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
        let thread = std::thread::Builder::new().name("load".into()).spawn(move || {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let clients = (0..plan.clients).map(|i| Client::new(i, &plan, &mut rng)).collect();
            let surges = vec![1.0; plan.volumes.len()];
            let mut crowd = Crowd {
                plan,
                trace,
                poll,
                clients,
                surges,
                load: 1.0,
                quiet: false,
                next_op: 1,
                strangers: Vec::new(),
                scratch: vec![0; 128 * 1024],
            };
            crowd.run(&receiver);
        })?;
        Ok(Load { words, waker, thread: Some(thread) })
    }

    pub fn say(&self, word: Word) {
        let _ = self.words.send(word);
        let _ = self.waker.wake();
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.say(Word::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

#[derive(Clone, Debug)]
struct Op {
    id: u64,
    tag: u32,
    write: bool,
    lba: u64,
    blocks: u32,
    mark: u8,
    deadline: Micros,
    retried: bool,
}

struct Client {
    index: u32,
    host: usize,
    volume: usize,
    base: u64,
    isid: [u8; 6],
    link: Option<(TcpStream, InitiatorConnection)>,
    /// An older connection of the same name, left for the host to end.
    old: Option<TcpStream>,
    connect_at: Micros,
    next_at: Micros,
    ops: Vec<Op>,
    again: Vec<(Micros, Op)>,
    mark: u8,
    tag: u32,
    deaf: bool,
    /// The host asked for a logout: nothing new is asked of it.
    leaving: bool,
    /// Bytes that still go out before the client stalls.
    stall: Option<usize>,
    strays: u64,
    rng: Pcg64Mcg,
}

impl Client {
    fn new(index: u32, plan: &Plan, rng: &mut Pcg64Mcg) -> Self {
        let volume = index as usize % plan.volumes.len();
        let nth = u64::from(index) / plan.volumes.len() as u64;
        let crowd = u64::from(plan.clients).div_ceil(plan.volumes.len() as u64);
        let area = plan.volumes[volume].blocks / crowd / ACCOUNT * ACCOUNT;
        Client {
            index,
            host: index as usize % plan.hosts.len(),
            volume,
            base: nth * area,
            isid: [0x80, 0, 1, (index >> 8) as u8, index as u8, 0],
            link: None,
            old: None,
            connect_at: 0,
            next_at: rng.random_range(0..500_000),
            ops: Vec::new(),
            again: Vec::new(),
            mark: 0,
            tag: 0,
            deaf: false,
            leaving: false,
            stall: None,
            strays: 0,
            rng: Pcg64Mcg::seed_from_u64(rng.random()),
        }
    }
}

struct Crowd {
    plan: Plan,
    trace: Trace,
    poll: Poll,
    clients: Vec<Client>,
    surges: Vec<f64>,
    load: f64,
    quiet: bool,
    next_op: u64,
    strangers: Vec<std::net::TcpStream>,
    scratch: Vec<u8>,
}

impl Crowd {
    fn run(&mut self, words: &Receiver<Word>) {
        let mut events = Events::with_capacity(256);
        loop {
            let now = self.trace.now();
            let due = |c: &Client| {
                let again = c.again.iter().map(|a| a.0).min().unwrap_or(Micros::MAX);
                let over = c.ops.iter().map(|o| o.deadline).min().unwrap_or(Micros::MAX);
                let next = if c.link.is_some() { c.next_at } else { c.connect_at };
                next.min(again).min(over)
            };
            let due = self.clients.iter().map(due).min().unwrap_or(now);
            let wait = Duration::from_micros(due.saturating_sub(now).clamp(200, 20_000));
            let _ = self.poll.poll(&mut events, Some(wait));
            while let Ok(word) = words.try_recv() {
                if word == Word::End {
                    return;
                }
                self.word(word);
            }
            for event in events.iter() {
                if let Some(at) = event.token().0.checked_sub(FIRST) {
                    self.read(at);
                }
            }
            for at in 0..self.clients.len() {
                self.tend(at);
                self.flush(at);
            }
        }
    }

    fn word(&mut self, word: Word) {
        let place = |n: u32| n as usize % self.clients.len();
        match word {
            Word::Drop(n) => self.hang_up(place(n), 300_000),
            Word::Stall(n, on) => {
                let at = place(n);
                if on {
                    // Half a command goes out, and then nothing.
                    self.ask(at, true, None);
                    self.leave_all(at);
                    self.clients[at].stall = Some(100);
                } else {
                    self.clients[at].stall = None;
                    self.hang_up(at, 100_000);
                }
            }
            Word::Deaf(n, on) => {
                let at = place(n);
                if on {
                    for _ in 0..12 {
                        self.ask(at, false, Some(ACCOUNT as u32 * 4));
                    }
                    self.flush(at);
                    self.leave_all(at);
                    self.clients[at].deaf = true;
                } else {
                    self.clients[at].deaf = false;
                    self.hang_up(at, 100_000);
                }
            }
            Word::Again(n) => {
                let at = place(n);
                self.leave_all(at);
                let client = &mut self.clients[at];
                client.old = client.link.take().map(|l| l.0);
                if let Some(old) = &mut client.old {
                    let _ = self.poll.registry().deregister(old);
                }
                client.connect_at = 0;
            }
            Word::HalfLogins(n) => {
                for i in 0..n as usize {
                    let host = self.plan.hosts[i % self.plan.hosts.len()];
                    if let Ok(mut socket) = std::net::TcpStream::connect(host) {
                        let mut conn =
                            InitiatorConnection::new("iqn.half", Some("iqn.x"), [0; 6], &self.plan.wishes);
                        let bytes = conn.send_buffer().unsent();
                        let _ = socket.write_all(&bytes[..bytes.len() / 2]);
                        self.strangers.push(socket);
                    }
                }
            }
            Word::Garbage(n) => {
                for i in 0..n as usize {
                    let host = self.plan.hosts[i % self.plan.hosts.len()];
                    if let Ok(mut socket) = std::net::TcpStream::connect(host) {
                        let _ = socket.write_all(&self.garbage(i));
                        self.strangers.push(socket);
                    }
                }
            }
            Word::Surge(plan, times) => {
                for (volume, surge) in self.plan.volumes.iter().zip(&mut self.surges) {
                    if volume.plan == plan {
                        *surge = times;
                    }
                }
            }
            Word::Load(times) => self.load = times,
            Word::Quiet => self.quiet = true,
            Word::End => {}
        }
    }

    /// A login and, behind it, a PDU that no host can make sense of.
    fn garbage(&mut self, i: usize) -> Vec<u8> {
        let name = format!("iqn.garbage{i}");
        let mut conn = InitiatorConnection::new(&name, Some(&self.plan.target), [1; 6], &self.plan.wishes);
        let mut bytes = conn.send_buffer().unsent().to_vec();
        let mut out = SendBuffer::default();
        let rng = &mut self.clients[0].rng;
        let mut bhs =
            Bhs::new([opcode::SCSI_COMMAND, opcode::DATA_OUT, opcode::SNACK, 0x3a][i % 4], flag::WRITE);
        for byte in &mut bhs.bytes_mut()[8..] {
            *byte = rng.random();
        }
        out.push(bhs.with_cmd_sn(1), &[0xee; 64]);
        bytes.extend_from_slice(out.unsent());
        bytes
    }

    /// The client will hear nothing of what it has asked for.
    fn leave_all(&mut self, at: usize) {
        for op in self.clients[at].ops.drain(..) {
            self.trace.note(What::Left { op: op.id });
        }
        self.clients[at].again.clear();
    }

    /// The host has closed the connection: what it had taken from here it has left without an answer.
    fn lost(&mut self, at: usize) {
        self.clients[at].ops.clear();
        self.hang_up(at, 100_000);
    }

    fn hang_up(&mut self, at: usize, pause: Micros) {
        self.leave_all(at);
        let client = &mut self.clients[at];
        if let Some((mut socket, _)) = client.link.take() {
            let _ = self.poll.registry().deregister(&mut socket);
        }
        client.leaving = false;
        client.connect_at = self.trace.now() + pause + client.rng.random_range(0..100_000);
    }

    fn connect(&mut self, at: usize) {
        let client = &mut self.clients[at];
        client.connect_at = self.trace.now() + client.rng.random_range(100_000..300_000);
        let Ok(mut socket) = TcpStream::connect(self.plan.hosts[client.host]) else { return };
        let _ = socket.set_nodelay(true);
        let interest = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut socket, Token(FIRST + at), interest).is_err() {
            return;
        }
        let name = format!("iqn.2026-12.example.lab:counter{}", client.index);
        let conn = InitiatorConnection::new(&name, Some(&self.plan.target), client.isid, &self.plan.wishes);
        client.link = Some((socket, conn));
    }

    /// What is due for a client.
    fn tend(&mut self, at: usize) {
        let now = self.trace.now();
        let client = &mut self.clients[at];
        if client.link.is_none() {
            client.next_at = client.next_at.max(now);
            if now >= client.connect_at {
                self.connect(at);
            }
            return;
        }
        // Out of patience: whoever answers now is too late.
        while let Some(i) = client.ops.iter().position(|o| o.deadline <= now) {
            let op = client.ops.swap_remove(i);
            if let Some((_, conn)) = &mut client.link {
                conn.abort_task(op.tag);
            }
        }
        if client.leaving {
            if let Some((_, conn)) = client.link.as_mut().filter(|l| l.1.in_flight() == 0) {
                conn.send_logout_request();
                client.leaving = false;
            }
            client.next_at = client.next_at.max(now + 10_000);
            return;
        }
        if client.deaf || client.stall.is_some() {
            client.next_at = client.next_at.max(now);
            return;
        }
        if self.quiet {
            client.again.clear();
            client.next_at = Micros::MAX;
            return;
        }
        while let Some(i) = self.clients[at].again.iter().position(|a| a.0 <= now) {
            let (_, op) = self.clients[at].again.swap_remove(i);
            self.send(at, op.write, op.lba, op.blocks, true);
            if self.clients[at].link.is_none() {
                return;
            }
        }
        if now >= self.clients[at].next_at {
            let client = &mut self.clients[at];
            let rate = self.plan.rate * self.load * self.surges[client.volume];
            let wait = -client.rng.random::<f64>().max(1e-9).ln() / rate.max(1e-6);
            client.next_at = now + (wait * 1e6).min(3.6e9) as Micros;
            let post = client.rng.random::<f64>() < self.plan.posts;
            self.ask(at, post, None);
        }
    }

    fn ask(&mut self, at: usize, post: bool, blocks: Option<u32>) {
        let client = &mut self.clients[at];
        let account = client.base + client.rng.random_range(0..ACCOUNTS) * ACCOUNT;
        if !post {
            let blocks = blocks.unwrap_or(ACCOUNT as u32 * client.rng.random_range(1..4));
            return self.send(at, false, account, blocks, false);
        }
        // A fifth of the posts come as a pair for one account, in order.
        let pair = client.rng.random::<f64>() < 0.2;
        let blocks = if client.rng.random::<f64>() < 0.5 { ACCOUNT as u32 } else { 2 };
        for _ in 0..1 + usize::from(pair) {
            self.send(at, true, account, blocks, false);
        }
    }

    fn send(&mut self, at: usize, write: bool, lba: u64, blocks: u32, retried: bool) {
        let client = &mut self.clients[at];
        let volume = &self.plan.volumes[client.volume];
        let blocks = blocks.min((volume.blocks - lba) as u32);
        let Some((_, conn)) = client.link.as_mut().filter(|l| l.1.can_send()) else { return };
        // Two reads of the same blocks in hand differ in their mark, so that a trace can tell them apart.
        for _ in 0..31 {
            client.mark = (client.mark + 1) % 31;
            if !client.ops.iter().any(|o| o.mark == client.mark) {
                break;
            }
        }
        client.tag = client.tag.wrapping_add(1);
        let (id, tag, mark) = (self.next_op, client.tag, client.mark);
        self.next_op += 1;
        let limit = if write { volume.write_limit } else { volume.read_limit };
        let data = if write { block::write(id, lba, blocks) } else { Vec::new() };
        let room = if write { 0 } else { blocks as usize * block::SIZE };
        self.trace.note(What::Asked {
            op: id,
            client: client.index,
            host: client.host as u32,
            volume: client.volume as u32,
            write,
            lba,
            blocks,
            mark,
        });
        conn.send_command(
            tag,
            volume.lun,
            &scsi::read_or_write_16(write, lba, blocks, mark),
            room,
            data.into(),
        );
        let deadline = self.trace.now() + limit + WAY;
        client.ops.push(Op { id, tag, write, lba, blocks, mark, deadline, retried });
    }

    fn flush(&mut self, at: usize) {
        let client = &mut self.clients[at];
        let Some((socket, conn)) = &mut client.link else { return };
        loop {
            let out = conn.send_buffer();
            let most = client.stall.unwrap_or(usize::MAX).min(out.unsent().len());
            if most == 0 {
                return;
            }
            match socket.write(&out.unsent()[..most]) {
                Ok(n) => {
                    out.mark_sent(n);
                    if let Some(left) = &mut client.stall {
                        *left -= n;
                    }
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(_) => return self.lost(at),
            }
        }
    }

    fn read(&mut self, at: usize) {
        while let Client { deaf: false, link: Some((socket, conn)), .. } = &mut self.clients[at] {
            match socket.read(&mut self.scratch) {
                Ok(0) => return self.lost(at),
                Ok(n) => {
                    if conn.receive(&self.scratch[..n]).is_err() {
                        return self.lost(at);
                    }
                    self.heard(at);
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(_) => return self.lost(at),
            }
        }
    }

    fn heard(&mut self, at: usize) {
        while let Some(came) = self.clients[at].link.as_mut().and_then(|l| l.1.next_event()) {
            match came {
                InitiatorEvent::CommandCompleted { tag, status: code, data, retry_after, .. } => {
                    self.answered(at, tag, code, &data, retry_after);
                }
                InitiatorEvent::CommandRejected { tag, .. } => {
                    self.answered(at, tag, status::CHECK_CONDITION, &[], 0)
                }
                InitiatorEvent::LogoutRequested => self.clients[at].leaving = true,
                InitiatorEvent::LoggedOut => return self.hang_up(at, 300_000),
                InitiatorEvent::LoggedIn
                | InitiatorEvent::CommandAborted { .. }
                | InitiatorEvent::TextResponse(_) => {}
            }
        }
        let client = &mut self.clients[at];
        let strays = client.link.as_ref().map_or(0, |l| l.1.unmatched_responses());
        if strays > client.strays {
            self.trace.note(What::Stray { client: client.index });
        }
        client.strays = strays;
    }

    fn answered(&mut self, at: usize, tag: u32, code: u8, data: &[u8], come_back: u16) {
        let client = &mut self.clients[at];
        let Some(i) = client.ops.iter().position(|o| o.tag == tag) else { return };
        let op = client.ops.swap_remove(i);
        let read = |(i, b): (usize, &[u8])| block::read(b, op.lba + i as u64);
        let read = data.chunks(block::SIZE).enumerate().map(read).collect();
        self.trace.note(What::Answered { op: op.id, status: code, read });
        if matches!(code, status::BUSY | status::TASK_SET_FULL) && !op.retried {
            let wait = u64::from(come_back) * 100_000 + client.rng.random_range(50_000..150_000);
            client.again.push((self.trace.now() + wait, op));
        }
    }
}
