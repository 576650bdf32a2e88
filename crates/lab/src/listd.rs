//! A stand-in for the node list service: knows what runs, and tells it late.
use crate::trace::{Micros, Trace, What};
use mallowseam_endpoint_list::{Endpoint, EndpointState, ListVersion, UpdateKind, write_update};
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Word {
    /// A node's condition from now on; told after the lag. `run` 0: long past.
    Node {
        node: u32,
        condition: EndpointState,
        run: u64,
        since: Micros,
    },
    /// How late news go out from now on.
    Lag(Micros),
    /// Gone with all connections, or back under a new epoch.
    Away(bool),
    /// Tells an old list again, as a service behind a stale copy would.
    Backwards,
    End,
}

pub struct Listd {
    words: Sender<Word>,
    thread: Option<JoinHandle<()>>,
}

impl Listd {
    pub fn start(address: SocketAddr, nodes: u32, lag: Micros, trace: Trace) -> std::io::Result<Listd> {
        let (words, receiver) = channel();
        let listener = open(address)?;
        let thread = std::thread::Builder::new().name("list".into()).spawn(move || {
            let entry = |n| Known { condition: EndpointState::Active, run: 0, since: 0, name: name(n) };
            let mut service = Service {
                address,
                listener: Some(listener),
                callers: Vec::new(),
                nodes: (0..nodes).map(entry).collect(),
                pending: VecDeque::new(),
                lag,
                epoch: 1,
                version: 1,
                old: String::new(),
                trace,
            };
            service.run(&receiver);
        })?;
        Ok(Listd { words, thread: Some(thread) })
    }

    pub fn say(&self, word: Word) {
        let _ = self.words.send(word);
    }
}

impl Drop for Listd {
    fn drop(&mut self) {
        self.say(Word::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// What node `n` is called everywhere in the lab.
pub fn name(n: u32) -> String {
    format!("node{n}")
}

fn open(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

struct Known {
    condition: EndpointState,
    run: u64,
    since: Micros,
    name: String,
}

struct Caller {
    socket: TcpStream,
    line: Vec<u8>,
    host: u32,
    watches: bool,
}

struct Service {
    address: SocketAddr,
    listener: Option<TcpListener>,
    callers: Vec<Caller>,
    nodes: Vec<Known>,
    pending: VecDeque<(Micros, Word)>,
    lag: Micros,
    epoch: u64,
    version: u64,
    old: String,
    trace: Trace,
}

impl Service {
    fn run(&mut self, words: &Receiver<Word>) {
        loop {
            while let Ok(word) = words.try_recv() {
                match word {
                    Word::End => return,
                    Word::Node { .. } => self.pending.push_back((self.trace.now() + self.lag, word)),
                    Word::Lag(lag) => self.lag = lag,
                    Word::Away(true) => {
                        self.listener = None;
                        self.callers.clear();
                    }
                    Word::Away(false) => {
                        self.listener = open(self.address).ok();
                        self.epoch += 1;
                        self.version = 1;
                    }
                    Word::Backwards => {
                        let old = self.old.clone();
                        self.callers.iter_mut().for_each(|c| drop(c.socket.write_all(old.as_bytes())));
                    }
                }
            }
            let now = self.trace.now();
            while self.pending.front().is_some_and(|p| p.0 <= now) {
                if let Some((_, Word::Node { node, condition, run, since })) = self.pending.pop_front() {
                    if self.old.is_empty() {
                        self.old = self.list(true, None);
                    }
                    let known = &mut self.nodes[node as usize];
                    (known.condition, known.run, known.since) = (condition, run, since);
                    self.version += 1;
                    let text = self.list(false, Some(node));
                    for caller in 0..self.callers.len() {
                        if self.callers[caller].watches {
                            self.tell(caller, &text, Some(node));
                        }
                    }
                }
            }
            while let Some(Ok((socket, _))) = self.listener.as_ref().map(TcpListener::accept) {
                if socket.set_nonblocking(true).is_ok() {
                    self.callers.push(Caller { socket, line: Vec::new(), host: 0, watches: false });
                }
            }
            for caller in (0..self.callers.len()).rev() {
                self.read(caller);
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn read(&mut self, at: usize) {
        let mut bytes = [0; 256];
        match self.callers[at].socket.read(&mut bytes) {
            Ok(0) => drop(self.callers.swap_remove(at)),
            Ok(n) => {
                for byte in &bytes[..n] {
                    if *byte != b'\n' {
                        self.callers[at].line.push(*byte);
                        continue;
                    }
                    let line = std::mem::take(&mut self.callers[at].line);
                    let text = String::from_utf8_lossy(&line).into_owned();
                    let (word, host) = text.split_once(' ').unwrap_or((&text, ""));
                    let caller = &mut self.callers[at];
                    caller.host = host.trim_start_matches("gw").parse().unwrap_or(0);
                    caller.watches |= word == "watch";
                    let list = self.list(true, None);
                    self.tell(at, &list, None);
                }
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock || e.kind() == ErrorKind::Interrupted => {}
            Err(_) => drop(self.callers.swap_remove(at)),
        }
    }

    fn list(&self, whole: bool, only: Option<u32>) -> String {
        let now = self.trace.now();
        let entry = |k: &Known| Endpoint {
            name: k.name.clone(),
            state: k.condition,
            generation: k.run,
            uptime_ms: (now - k.since) / 1000,
        };
        let pick = |(i, _): &(usize, &Known)| only.is_none_or(|n| n as usize == *i);
        let entries: Vec<Endpoint> =
            self.nodes.iter().enumerate().filter(pick).map(|(_, k)| entry(k)).collect();
        let mut out = String::new();
        let kind = if whole { UpdateKind::FullSnapshot } else { UpdateKind::Incremental };
        write_update(&mut out, ListVersion { epoch: self.epoch, version: self.version }, kind, &entries);
        out
    }

    fn tell(&mut self, at: usize, text: &str, only: Option<u32>) {
        let caller = &mut self.callers[at];
        let _ = caller.socket.write_all(text.as_bytes());
        let host = caller.host;
        for (i, known) in self.nodes.iter().enumerate() {
            if only.is_none_or(|n| n as usize == i) {
                let open = known.condition == EndpointState::Active;
                self.trace.note(What::Told { host, node: i as u32, open });
            }
        }
    }
}
