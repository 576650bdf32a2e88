//! The control socket: one line in, one JSON object out.
use crate::figures::Answers;
use crate::slab::Slab;
use mio::net::{UnixListener, UnixStream};
use mio::{Interest, Registry, Token};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Connections at once, and bytes of a line, at most: an operator and a few scripts.
pub const MOST: usize = 16;
const LINE_MOST: usize = 8_192;

/// What a host is doing now.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    pub host: String,
    pub up_seconds: f64,
    pub draining: bool,
    pub connections: usize,
    pub in_hand: usize,
    pub buffer_bytes: usize,
    pub list_epoch: u64,
    pub list_version: u64,
    pub commands: Answers,
    pub groups: Vec<GroupStatus>,
    pub nodes: Vec<NodeStatus>,
    #[serde(default)]
    pub plans: Vec<PlanStatus>,
    #[serde(default)]
    pub volumes: Vec<VolumeStatus>,
}

/// Units since the host's start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VolumeStatus {
    pub name: String,
    pub asked_units: f64,
    pub ended_units: f64,
    /// This host's part of its limit now, in units a second; none: the even part, or no limit.
    #[serde(default)]
    pub part: Option<f64>,
}

/// A plan as it counts now: units a second, 0 for no limit.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlanStatus {
    pub name: String,
    pub reserve: f64,
    pub limit: f64,
    pub weight: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupStatus {
    pub name: String,
    pub taken: u64,
    pub ended: u64,
    pub shed: u64,
    pub failed: u64,
    pub past_goal: u64,
    pub median_ms: f64,
    pub p99_ms: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeStatus {
    pub name: String,
    pub connected: bool,
    pub open: bool,
    pub cold: bool,
    pub out: u32,
    pub held: u32,
    pub window: f64,
    pub wait_ms: f64,
    pub failures: u32,
    pub submits: u64,
    pub done: u64,
    pub busy: u64,
    pub errors: u64,
    pub timed_out: u64,
    pub no_connect: u64,
    pub reset: u64,
    pub cancelled: u64,
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let c = &self.commands;
        writeln!(
            f,
            "host {}  up {:.0} s{}  connections {}  in hand {}  buffers {} KiB  node list {}",
            self.host,
            self.up_seconds,
            if self.draining { "  draining" } else { "" },
            self.connections,
            self.in_hand,
            self.buffer_bytes / 1024,
            self.list_version
        )?;
        writeln!(
            f,
            "commands: taken {}, ended {}, shed {}, failed {}, left by their client {}",
            c.taken, c.ended, c.shed, c.failed, c.left
        )?;
        writeln!(
            f,
            "\n{:<12}{:>9}{:>9}{:>9}{:>9}{:>10}{:>11}{:>10}",
            "group", "taken", "ended", "shed", "failed", "past goal", "median ms", "p99 ms"
        )?;
        for g in &self.groups {
            writeln!(
                f,
                "{:<12}{:>9}{:>9}{:>9}{:>9}{:>10}{:>11.2}{:>10.2}",
                g.name, g.taken, g.ended, g.shed, g.failed, g.past_goal, g.median_ms, g.p99_ms
            )?;
        }
        writeln!(
            f,
            "\n{:<12}{:<12}{:>5}{:>6}{:>8}{:>9}{:>9}{:>8}{:>7}{:>9}{:>7}{:>8}",
            "node",
            "state",
            "out",
            "held",
            "window",
            "wait ms",
            "submits",
            "done",
            "busy",
            "no conn",
            "reset",
            "timeout"
        )?;
        for n in &self.nodes {
            let state = match (n.open, n.cold, n.connected) {
                (false, ..) => "closed",
                (true, true, _) => "cold",
                (true, false, true) => "connected",
                (true, false, false) => "open",
            };
            writeln!(
                f,
                "{:<12}{:<12}{:>5}{:>6}{:>8.2}{:>9.2}{:>9}{:>8}{:>7}{:>9}{:>7}{:>8}",
                n.name,
                state,
                n.out,
                n.held,
                n.window,
                n.wait_ms,
                n.submits,
                n.done,
                n.busy,
                n.no_connect,
                n.reset,
                n.timed_out
            )?;
        }
        Ok(())
    }
}

impl Status {
    /// Reads a host's answer. Error: what is wrong with it.
    pub fn read(text: &str) -> Result<Status, String> {
        serde_json::from_str(text).map_err(|e| e.to_string())
    }
}

/// What every answer ends with.
const WHOLE: &str = "\n\n";

/// Asks a running host; its answer as it came. Errors: no host there, no answer within fifteen seconds, a
/// refusal in the host's words.
pub fn ask(path: &Path, what: &str) -> io::Result<String> {
    let mut socket = std::os::unix::net::UnixStream::connect(path)?;
    // A snapshot is granted or fails within eleven seconds at the most.
    socket.set_read_timeout(Some(Duration::from_secs(15)))?;
    socket.write_all(format!("{what}\n").as_bytes())?;
    let mut answer = String::new();
    socket.read_to_string(&mut answer)?;
    // One that ends in the middle of it has not said whether it was done.
    if !answer.ends_with(WHOLE) {
        let why = "ended before its answer was whole; look whether it was done";
        return Err(io::Error::new(ErrorKind::UnexpectedEof, why));
    }
    let answer = answer.trim_end().to_owned();
    match answer.strip_prefix("error: ") {
        Some(why) => Err(io::Error::other(why.to_owned())),
        None => Ok(answer),
    }
}

struct Caller {
    socket: UnixStream,
    line: Vec<u8>,
    answer: Vec<u8>,
}

pub struct Control {
    listener: UnixListener,
    path: PathBuf,
    callers: Slab<Caller>,
    registry: Registry,
    first: usize,
}

impl Control {
    /// Listens at a path. A socket left there by a host that was killed is replaced; a live one is not.
    pub fn open(path: &Path, registry: Registry, own: Token, first: usize) -> io::Result<Self> {
        if std::os::unix::net::UnixStream::connect(path).is_ok() {
            return Err(io::Error::new(ErrorKind::AddrInUse, "another host runs here"));
        }
        match std::fs::remove_file(path) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let mut listener = UnixListener::bind(path)?;
        std::fs::set_permissions(path, std::os::unix::fs::PermissionsExt::from_mode(0o600))?;
        registry.register(&mut listener, own, Interest::READABLE)?;
        Ok(Control { listener, path: path.to_owned(), callers: Slab::default(), registry, first })
    }

    pub fn accept(&mut self) {
        while let Ok((mut socket, _)) = self.listener.accept() {
            if self.callers.len() >= MOST {
                let _ = socket.write(format!("error: too many callers{WHOLE}").as_bytes());
                continue;
            }
            let token = Token(self.first + self.callers.next_index() as usize);
            let interest = Interest::READABLE | Interest::WRITABLE;
            if self.registry.register(&mut socket, token, interest).is_ok() {
                self.callers.insert(Caller { socket, line: Vec::new(), answer: Vec::new() });
            }
        }
    }

    /// The line a caller has sent, once it is whole.
    pub fn ready(&mut self, at: u32) -> Option<String> {
        let caller = self.callers.get_mut(at)?;
        let mut bytes = [0; LINE_MOST];
        loop {
            match caller.socket.read(&mut bytes) {
                Ok(0) => break self.close(at),
                Ok(n) => {
                    caller.line.extend_from_slice(&bytes[..n]);
                    if let Some(end) = caller.line.iter().position(|b| *b == b'\n') {
                        let line = String::from_utf8_lossy(&caller.line[..end]).trim().to_owned();
                        caller.line.clear();
                        return Some(line);
                    }
                    if caller.line.len() > LINE_MOST {
                        break self.close(at);
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break self.flush(at),
                Err(_) => break self.close(at),
            }
        }
        None
    }

    pub fn answer(&mut self, at: u32, text: &str) {
        if let Some(caller) = self.callers.get_mut(at) {
            caller.answer = format!("{text}{WHOLE}").into_bytes();
            self.flush(at);
        }
    }

    fn flush(&mut self, at: u32) {
        let Some(caller) = self.callers.get_mut(at) else { return };
        if caller.answer.is_empty() {
            return;
        }
        while !caller.answer.is_empty() {
            match caller.socket.write(&caller.answer) {
                Ok(n) => drop(caller.answer.drain(..n)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => break,
            }
        }
        self.close(at);
    }

    fn close(&mut self, at: u32) {
        if let Some(mut caller) = self.callers.remove(at) {
            let _ = self.registry.deregister(&mut caller.socket);
        }
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
