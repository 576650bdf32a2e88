//! Stand-ins of the users' platform: a node that can do bad things, the list service, clients, and the host.
use mallowseam_http1::{Limits, RequestHead, RequestReader, ResponseHead, ResponseReader};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BOUNDS: Limits = Limits { head: 16_384, body: 1 << 20 };
/// How long a story waits for what must come: far past any time in it.
const PATIENCE: Duration = Duration::from_secs(10);

pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "waited in vain: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A row of the system's table of sockets.
struct Row {
    from: String,
    to: String,
    state: String,
    /// Bytes sent that the other side's socket does not have yet.
    under_way: bool,
    /// Bytes that its own side has not read.
    unread: bool,
}

fn sockets() -> Vec<Row> {
    let all = std::fs::read_to_string("/proc/net/tcp").expect("a table");
    let row = |line: &str| {
        let mut fields = line.split_whitespace().skip(1).map(str::to_owned);
        let (from, to, state) = (fields.next()?, fields.next()?, fields.next()?);
        let queues = fields.next()?;
        let (under_way, unread) = (!queues.starts_with("00000000:"), !queues.ends_with(":00000000"));
        Some(Row { from, to, state, under_way, unread })
    };
    all.lines().skip(1).filter_map(row).collect()
}

/// An address as that table has it.
fn hex(at: SocketAddr) -> String {
    let SocketAddr::V4(at) = at else { panic!("IPv4") };
    format!("{:08X}:{:04X}", u32::from_le_bytes(at.ip().octets()), at.port())
}

/// Waits until all that was written to a socket stands in the other side's.
pub fn delivered(socket: &TcpStream) {
    let (from, to) = (socket.local_addr().expect("bound"), socket.peer_addr().expect("open"));
    let (from, to) = (hex(from), hex(to));
    until("it is delivered", || !sockets().iter().any(|s| s.from == from && s.to == to && s.under_way));
}

pub fn read_text(id: &str, shard: u32, wait: u64) -> String {
    format!(
        "GET /look/00000000000000aa/00000000000000bb HTTP/1.1\r\nHost: s\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: look\r\nX-Qos-Policy: gold\r\nX-Timeout-Ms: {wait}\r\n\
         X-Placement: units=1,shard={shard},hosts=1\r\n\r\n"
    )
}

pub fn write_text(id: &str, shard: u32, body: &str, wait: u64) -> String {
    format!(
        "PUT /book/00000000000000aa/00000000000000bb HTTP/1.1\r\nHost: s\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: book\r\nX-Qos-Policy: gold\r\nX-Timeout-Ms: {wait}\r\n\
         X-Placement: units=1,shard={shard},hosts=1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub struct Client {
    pub socket: TcpStream,
    buffer: Vec<u8>,
    /// The last answer said that it is the last.
    pub closes: bool,
    /// The time to come back that the last answer named, in seconds.
    pub come_back: Option<f64>,
}

impl Client {
    pub fn send(&mut self, text: &str) {
        let _ = self.socket.write_all(text.as_bytes());
    }

    /// The next answer; none when the host closes instead.
    pub fn answer(&mut self) -> Option<(u16, String)> {
        let mut reader = ResponseReader::default();
        loop {
            if let Some(whole) = reader.advance(&mut self.buffer, BOUNDS).expect("the host speaks HTTP") {
                let head = ResponseHead::parse(&self.buffer, BOUNDS).expect("sound").expect("whole");
                self.closes = head.close;
                let named = head.headers.single("Retry-After").expect("once at most");
                self.come_back = named.map(|n| n.parse().expect("seconds"));
                let answer =
                    (head.status, String::from_utf8_lossy(&self.buffer[whole.body..whole.end]).into_owned());
                self.buffer.drain(..whole.end);
                return Some(answer);
            }
            let mut bytes = [0; 4_096];
            match self.socket.read(&mut bytes) {
                Ok(0) => return None,
                Ok(n) => self.buffer.extend_from_slice(&bytes[..n]),
                Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock) => panic!("no answer, no close"),
                Err(_) => return None,
            }
        }
    }

    pub fn try_read(&mut self, id: &str, shard: u32) -> Option<(u16, String)> {
        self.send(&read_text(id, shard, 900));
        self.answer()
    }

    pub fn read(&mut self, id: &str, shard: u32) -> (u16, String) {
        self.try_read(id, shard).expect("an answer")
    }

    pub fn write(&mut self, id: &str, shard: u32, body: &str) -> (u16, String) {
        self.write_within(id, shard, body, 1_900)
    }

    pub fn write_within(&mut self, id: &str, shard: u32, body: &str, wait: u64) -> (u16, String) {
        self.send(&write_text(id, shard, body, wait));
        self.answer().expect("an answer")
    }
}

/// What a node does with its next request; once none is set, it answers well.
pub enum Answer {
    Raw(String),
    /// The good answer with this ahead of it and this behind it.
    GoodAnd(String, String),
    Break,
    Nothing,
    /// The good answer once it is released.
    Held,
}

#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub target: String,
    pub body: String,
    pub connection: usize,
    /// How long the host says that it waits, in milliseconds.
    pub wait: u64,
}

#[derive(Default)]
struct Work {
    seen: Mutex<Vec<Seen>>,
    next: Mutex<VecDeque<Answer>>,
    connections: AtomicUsize,
    answered: AtomicUsize,
    closed: AtomicUsize,
    released: (Mutex<bool>, Condvar),
    stopped: AtomicBool,
    /// Its connections, by number, and what is said on each before anything is read.
    open: Mutex<Vec<TcpStream>>,
    greeting: Mutex<String>,
}

pub struct Node {
    at: SocketAddr,
    work: Arc<Work>,
    /// Those who stand in its queue until it is opened, and its listener.
    queue: Mutex<Vec<TcpStream>>,
    shut: Mutex<Option<TcpListener>>,
}

impl Node {
    pub fn new() -> Self {
        let node = Node::shut();
        node.open();
        node
    }

    /// A node whose queue of connections is full until it is opened: whoever connects waits for it.
    pub fn shut() -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        listener.bind(&any.into()).expect("an address");
        listener.listen(0).expect("a queue");
        let listener = TcpListener::from(listener);
        let at = listener.local_addr().expect("bound");
        let shut = Mutex::new(Some(listener));
        Node { at, work: Arc::default(), queue: Mutex::default(), shut }
    }

    /// Fills its queue: from here on nobody's connection comes up.
    pub fn filled(self) -> Self {
        while let Ok(one) = TcpStream::connect_timeout(&self.at, Duration::from_millis(100)) {
            self.queue.lock().expect("sound").push(one);
        }
        self
    }

    /// How many wait for a connection to it.
    pub fn waiting(&self) -> usize {
        self.waiters().len()
    }

    /// Those who wait for a connection to it, as the system's table has them.
    pub fn waiters(&self) -> Vec<String> {
        let waits = |s: &Row| s.to == hex(self.at) && s.state == "02";
        sockets().into_iter().filter(waits).map(|s| s.from).collect()
    }

    /// Whether something stands unread in the socket of one of them.
    pub fn has_spoken_to(&self, waiter: &str) -> bool {
        sockets().iter().any(|s| s.from == waiter && s.to == hex(self.at) && s.unread)
    }

    /// Its connections that are up.
    pub fn established(&self) -> usize {
        sockets().iter().filter(|s| s.from == hex(self.at) && s.state == "01").count()
    }

    /// What it says on every connection before it has read a byte.
    pub fn greets(&self, text: &str) {
        text.clone_into(&mut self.work.greeting.lock().expect("sound"));
    }

    /// Says something on a connection of its own accord; it stands in the other's socket.
    pub fn push(&self, connection: usize, text: &str) {
        let open = self.work.open.lock().expect("sound");
        let mut socket = &open[connection];
        socket.write_all(text.as_bytes()).expect("open");
        delivered(socket);
    }

    /// Closes all its connections.
    pub fn hang_up(&self) {
        for socket in self.work.open.lock().expect("sound").drain(..) {
            let _ = socket.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Lets in whoever comes; those who stood in its queue leave.
    pub fn open(&self) {
        let Some(listener) = self.shut.lock().expect("sound").take() else { return };
        SockRef::from(&listener).listen(1_024).expect("a queue");
        self.queue.lock().expect("sound").clear();
        let own = self.work.clone();
        thread::spawn(move || {
            for mut socket in listener.incoming().flatten() {
                if own.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let greeting = own.greeting.lock().expect("sound").clone();
                let _ = socket.write_all(greeting.as_bytes());
                let ends = socket.try_clone().expect("a descriptor");
                let connection = {
                    let mut open = own.open.lock().expect("sound");
                    open.push(socket.try_clone().expect("a descriptor"));
                    open.len() - 1
                };
                own.connections.fetch_add(1, Ordering::SeqCst);
                let own = own.clone();
                thread::spawn(move || {
                    own.serve(socket, connection);
                    let _ = ends.shutdown(std::net::Shutdown::Both);
                    own.closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
    }

    pub fn entry(&self, name: &str, shard: u32, health: &str) -> String {
        let dial = self.at;
        format!(
            r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"m","block":{shard},"health":"{health}","share":1.0,"born_ms":0}}"#
        )
    }

    /// Answers well from now on, whatever was set.
    pub fn forget(&self) {
        self.work.next.lock().expect("sound").clear();
    }

    pub fn next(&self, answer: Answer) {
        self.work.next.lock().expect("sound").push_back(answer);
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.work.seen.lock().expect("sound").clone()
    }

    pub fn connections(&self) -> usize {
        self.work.connections.load(Ordering::SeqCst)
    }

    /// Answers that stand in the host's sockets.
    pub fn answered(&self) -> usize {
        self.work.answered.load(Ordering::SeqCst)
    }

    pub fn closed(&self) -> usize {
        self.work.closed.load(Ordering::SeqCst)
    }

    pub fn release(&self) {
        *self.work.released.0.lock().expect("sound") = true;
        self.work.released.1.notify_all();
    }

    /// From now on connections are refused, and open ones end with their next request.
    pub fn stop(&mut self) {
        self.work.stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.at);
    }
}

impl Work {
    fn serve(&self, mut socket: TcpStream, connection: usize) {
        let (mut buffer, mut reader, mut bytes) = (Vec::new(), RequestReader::default(), [0; 4_096]);
        loop {
            let Some(whole) = reader.advance(&mut buffer, BOUNDS).expect("the host speaks HTTP") else {
                match socket.read(&mut bytes) {
                    Ok(n) if n > 0 => buffer.extend_from_slice(&bytes[..n]),
                    _ => return,
                }
                continue;
            };
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            let head = RequestHead::parse(&buffer, BOUNDS).expect("sound").expect("whole");
            let id = head.headers.single("X-Request-ID").expect("sound").expect("an id").to_owned();
            let body = String::from_utf8_lossy(&buffer[whole.body..whole.end]).into_owned();
            let target = head.target.to_owned();
            let wait = head.headers.single("X-Timeout-Ms").expect("sound").expect("a time").parse();
            let wait = wait.expect("milliseconds");
            self.seen.lock().expect("sound").push(Seen { id: id.clone(), target, body, connection, wait });
            buffer.drain(..whole.end);
            reader.reset();
            let text = format!("made for {id}");
            let good = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
            let next = self.next.lock().expect("sound").pop_front();
            let held = matches!(next, Some(Answer::Held));
            let said = match next {
                None => good,
                Some(Answer::Raw(raw)) => raw,
                Some(Answer::GoodAnd(ahead, behind)) => ahead + &good + &behind,
                Some(Answer::Break) => return,
                Some(Answer::Nothing) => continue,
                Some(Answer::Held) => {
                    let released = self.released.0.lock().expect("sound");
                    drop(self.released.1.wait_while(released, |r| !*r).expect("sound"));
                    good
                }
            };
            if socket.write_all(said.as_bytes()).is_err() {
                return;
            }
            if held {
                delivered(&socket);
            }
            self.answered.fetch_add(1, Ordering::SeqCst);
        }
    }
}

#[derive(Default)]
struct Watched {
    list: String,
    seq: u64,
    watchers: Vec<TcpStream>,
}

pub struct Discovery {
    at: SocketAddr,
    watched: Arc<Mutex<Watched>>,
    calls: Arc<AtomicUsize>,
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

impl Discovery {
    pub fn new(list: &str, seq: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
        let at = listener.local_addr().expect("bound");
        let watched = Arc::new(Mutex::new(Watched { list: list.to_owned(), seq, watchers: Vec::new() }));
        let calls = Arc::new(AtomicUsize::new(0));
        let (own, count) = (watched.clone(), calls.clone());
        thread::spawn(move || {
            for mut socket in listener.incoming().flatten() {
                let mut bytes = [0; 1_024];
                if !matches!(socket.read(&mut bytes), Ok(n) if n > 0) {
                    continue;
                }
                let mut watched = own.lock().expect("sound");
                let line =
                    format!("{{\"seq\":{},\"whole\":true,\"hosts\":[{}]}}\n", watched.seq, watched.list);
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                if socket.write_all(format!("{head}{}", chunk(&line)).as_bytes()).is_ok() {
                    watched.watchers.push(socket);
                }
                count.fetch_add(1, Ordering::SeqCst);
            }
        });
        let own = Arc::downgrade(&watched);
        thread::spawn(move || {
            while let Some(watched) = own.upgrade() {
                watched
                    .lock()
                    .expect("sound")
                    .watchers
                    .retain_mut(|w| w.write_all(chunk("\n").as_bytes()).is_ok());
                drop(watched);
                thread::sleep(Duration::from_millis(500));
            }
        });
        Discovery { at, watched, calls }
    }

    pub fn watchers(&self) -> usize {
        self.watched.lock().expect("sound").watchers.len()
    }

    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }

    pub fn say(&self, line: &str) {
        self.watched
            .lock()
            .expect("sound")
            .watchers
            .retain_mut(|w| w.write_all(chunk(line).as_bytes()).is_ok());
    }

    /// Tells of changes, cut in two chunks.
    pub fn tell(&self, entries: &str) {
        let seq = {
            let mut watched = self.watched.lock().expect("sound");
            watched.seq += 1;
            watched.list = entries.to_owned();
            watched.seq
        };
        let line = format!("{{\"seq\":{seq},\"whole\":false,\"hosts\":[{entries}]}}\n");
        let (one, other) = line.split_at(line.len() / 3);
        self.say(one);
        self.say(other);
    }
}

const SETTINGS: &str = r#"{"balancers": 1, "localities": ["a"], "registry_mode": "on_request",
  "profiles": [
    {"name": "look", "aim_us": 300000, "deadline_us": 1000000, "repeat": "idempotent", "worth": 3.0},
    {"name": "book", "aim_us": 300000, "deadline_us": 2000000, "repeat": "at_most_once", "worth": 3.0}],
  "service_levels": [{"name": "gold", "floor_rate": 900.0, "usual_rate": 900.0, "limit": 0.0, "weight": 1.0, "worth_factor": 1.0}],
  "extra": {"class_writes": [false, true], "largest": 8, "mean_units": 1.0, "within_share": 0.5, "spare_worth": 0.1},
  "limits": {"cancel": true, "max_attempts": 3, "retry_after": true, "max_retry_after_us": 1000000, "idle_close_us": 30000000, "connect_timeout_us": 250000},
  "rules": {"drain_grace_us": 250000, "ask_within_us": 10000000}}"#;

pub struct Rig {
    dir: tempfile::TempDir,
    host: Child,
    at: SocketAddr,
    pub nodes: Vec<Node>,
    pub discovery: Discovery,
    count: AtomicU64,
}

/// A host to which the system gives so many descriptors.
fn start(path: &std::path::Path, descriptors: Option<u64>) -> Child {
    let host = env!("CARGO_BIN_EXE_mallowseam");
    let mut command = match descriptors {
        None => Command::new(host),
        Some(most) => {
            let mut shell = Command::new("sh");
            shell.args(["-c", &format!("ulimit -n {most} && exec \"$0\" \"$@\""), host]);
            shell
        }
    };
    command
        .arg("host")
        .env("GW_CONFIG", path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    command.spawn().expect("a host")
}

/// A host with this configuration, which is kept until it has read it.
pub fn start_with(text: &str) -> Child {
    started(text, None)
}

/// The same, with so many descriptors of the system.
pub fn started(text: &str, descriptors: Option<u64>) -> Child {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("config.json");
    std::fs::write(&path, text).expect("a file");
    let mut host = start(&path, descriptors);
    let _ = host.wait();
    host
}

/// Where a host listens, by process and run.
fn address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let (pid, run) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    SocketAddr::from(([127, 100 + (pid >> 8) as u8 % 100, pid as u8, run], 8443))
}

fn connect(at: SocketAddr) -> Option<Client> {
    let socket = TcpStream::connect(at).ok()?;
    socket.set_read_timeout(Some(PATIENCE)).expect("a time");
    socket.set_nodelay(true).expect("no delay");
    Some(Client { socket, buffer: Vec::new(), closes: false, come_back: None })
}

fn is_ready(at: SocketAddr) -> bool {
    connect(at).is_some_and(|mut client| {
        client.send("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
        client.answer().is_some_and(|a| a.0 == 200)
    })
}

/// A host on a thread of its own, ended by a signal to this process; the allocations of its thread while it
/// answers so many reads and writes.
pub fn allocations(ios: usize) -> u64 {
    let (at, node) = (address(), Node::new());
    let discovery = Discovery::new(&node.entry("s-0", 0, "ready"), 41);
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("config.json");
    std::fs::write(&path, config(at, std::slice::from_ref(&node), &discovery)).expect("a file");
    let host = thread::spawn(move || {
        allocation_counter::measure(|| mallowseam_platform_host::run(&path, None).expect("a run")).count_total
    });
    until("the host is ready", || is_ready(at));
    let mut client = connect(at).expect("the host listens");
    for n in 0..ios {
        assert_eq!(client.read(&format!("r{n}"), 0).0, 200);
        assert_eq!(client.write(&format!("w{n}"), 0, "posted").0, 200);
    }
    drop(client);
    kill(Pid::this(), Signal::SIGTERM).expect("a signal");
    host.join().expect("a host")
}

impl Rig {
    /// A host with 256 descriptors and 32 MB; all nodes hold shard 0, the first is known at the start.
    pub fn new(nodes: usize) -> Rig {
        Rig::with(nodes, |config, _| config)
    }

    /// The same with another configuration, made of the usual one and the first node's entry in the list.
    pub fn with(nodes: usize, change: impl Fn(String, &str) -> String) -> Rig {
        Rig::of((0..nodes).map(|_| Node::new()).collect(), change)
    }

    /// The same before these nodes.
    pub fn of(nodes: Vec<Node>, change: impl Fn(String, &str) -> String) -> Rig {
        let rig = Rig::unready(nodes, change);
        until("the host is ready", || is_ready(rig.at));
        rig
    }

    /// The same, not waited for: a host that knows no node is not ready.
    pub fn unready(nodes: Vec<Node>, change: impl Fn(String, &str) -> String) -> Rig {
        Rig::within(nodes, None, change)
    }

    /// The same, with so many descriptors of the system.
    pub fn within(
        nodes: Vec<Node>,
        descriptors: Option<u64>,
        change: impl Fn(String, &str) -> String,
    ) -> Rig {
        let at = address();
        let entry = nodes[0].entry("s-0", 0, "ready");
        let discovery = Discovery::new(&entry, 41);
        let dir = tempfile::tempdir().expect("a directory");
        let path = dir.path().join("config.json");
        std::fs::write(&path, change(config(at, &nodes, &discovery), &entry)).expect("a file");
        let mut host = start(&path, descriptors);
        let mut log = host.stderr.take().expect("piped");
        thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Rig { dir, host, at, nodes, discovery, count: AtomicU64::new(0) }
    }

    pub fn config(&self, discovery: &Discovery) -> String {
        config(self.at, &self.nodes, discovery)
    }

    pub fn write_config(&self, text: &str) {
        std::fs::write(self.dir.path().join("config.json"), text).expect("a file");
    }

    pub fn at(&self) -> SocketAddr {
        self.at
    }

    pub fn client(&self) -> Client {
        connect(self.at).expect("the host listens")
    }

    pub fn serial(&self) -> u64 {
        self.count.fetch_add(1, Ordering::Relaxed)
    }

    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.host.id())).expect("a process").count()
    }

    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.host.id())).expect("a process");
        let line = status.lines().find(|l| l.starts_with("VmRSS")).expect("a figure");
        line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number")
    }

    /// Holds the host: what comes meanwhile it finds in one round, once it is let go.
    pub fn stop(&self) {
        self.signal(Signal::SIGSTOP);
        let path = format!("/proc/{}/stat", self.host.id());
        until("the host stands still", || {
            let stat = std::fs::read_to_string(&path).expect("a process");
            stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T'))
        });
    }

    /// Lets it go on once all that its clients have sent stands in its sockets.
    pub fn go_on(&self) {
        let at = hex(self.at);
        until("all is delivered", || !sockets().iter().any(|s| s.to == at && s.under_way));
        self.signal(Signal::SIGCONT);
    }

    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.host.id() as i32), signal).expect("a process");
    }

    /// Waits for the host's end; its code.
    pub fn ended(&mut self) -> Option<i32> {
        let mut status = None;
        until("the host ends", || {
            status = self.host.try_wait().expect("a child");
            status.is_some()
        });
        status.and_then(|s| s.code())
    }
}

fn config(at: SocketAddr, nodes: &[Node], discovery: &Discovery) -> String {
    format!(
        r#"{{"name":"n0","listen":"{at}","discovery":"{}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":32,"sockets":256}},
            "known":{{"seq":41,"whole":true,"hosts":[{}]}},"settings":{SETTINGS}}}"#,
        discovery.at,
        nodes[0].entry("s-0", 0, "ready")
    )
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.nodes.iter().for_each(Node::release);
        let _ = self.host.kill();
        let _ = self.host.wait();
    }
}
