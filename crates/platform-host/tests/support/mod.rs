//! Runs a host on its own thread, between raw sockets that stand for a storage node, the discovery service and clients.
//! The tests compare the bytes on them.
#![allow(dead_code, reason = "each test binary uses its own part")]
use std::fmt::Write as _;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Metadata, Subscriber};

/// Timeout of every wait, far longer than any test needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings in the platform's format, with a read class (`look`) and a write class (`book`).
pub const SETTINGS: &str = r#"{"balancers": 1, "localities": ["a"], "registry_mode": "on_request",
  "profiles": [
    {"name": "look", "aim_us": 300000, "deadline_us": 1000000, "repeat": "idempotent", "worth": 3.0},
    {"name": "book", "aim_us": 300000, "deadline_us": 2000000, "repeat": "at_most_once", "worth": 3.0}],
  "service_levels": [{"name": "gold", "floor_rate": 900.0, "usual_rate": 900.0, "limit": 0.0, "weight": 1.0, "worth_factor": 1.0}],
  "extra": {"class_writes": [false, true], "largest": 8, "mean_units": 1.0, "within_share": 0.5, "spare_worth": 0.1},
  "limits": {"cancel": true, "max_attempts": 3, "retry_after": true, "max_retry_after_us": 1000000, "idle_close_us": 30000000, "connect_timeout_us": 250000},
  "rules": {"drain_grace_us": 250000, "ask_within_us": 10000000}}"#;

pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out while waiting: {what}"
        );
        thread::sleep(Duration::from_millis(2));
    }
}

/// Returns a loopback address that no other test process uses.
fn unique_loopback_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let pid = std::process::id();
    Ipv4Addr::new(
        127,
        210 + (pid >> 8) as u8 % 40,
        pid as u8,
        NEXT.fetch_add(1, Ordering::Relaxed),
    )
}

pub fn listen() -> TcpListener {
    TcpListener::bind((unique_loopback_address(), 0)).expect("cannot listen on a loopback address")
}

/// Returns an address with a free port, for the host to listen on.
fn free_address() -> SocketAddr {
    listen().local_addr().expect("bound")
}

pub fn accept(listener: &TcpListener) -> TcpStream {
    listener
        .set_nonblocking(true)
        .expect("cannot make the listener non-blocking");
    let mut accepted = None;
    wait_until("the host opens a connection", || {
        accepted = listener.accept().ok();
        accepted.is_some()
    });
    let (socket, _) = accepted.expect("wait_until returned without a result");
    socket
        .set_nonblocking(false)
        .expect("cannot make the socket blocking");
    socket
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("cannot set the read timeout");
    socket
}

/// Returns the offset of the body in a message, once its head is complete.
fn body_offset(text: &str) -> Option<usize> {
    text.find("\r\n\r\n").map(|end| end + 4)
}

fn content_length(head: &str) -> usize {
    let value = head
        .lines()
        .find_map(|line| line.strip_prefix("Content-Length: "));
    value.map_or(0, |value| {
        value.parse().expect("Content-Length is not a number")
    })
}

/// Reads one message: its head, and a body of the length that Content-Length states. Returns what was received if the
/// connection ends before that.
pub fn read_message(socket: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    loop {
        let text = String::from_utf8_lossy(&bytes);
        if let Some(end) = body_offset(&text)
            && bytes.len() >= end + content_length(&text[..end])
        {
            return text.into_owned();
        }
        match socket.read(&mut byte) {
            Ok(0) => return text.into_owned(),
            Ok(_) => bytes.push(byte[0]),
            Err(e) => panic!("read failed: {e}; received before: {text:?}"),
        }
    }
}

/// Reads until the peer closes or resets the connection, and returns all bytes received.
pub fn read_to_close(socket: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        match socket.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => break,
            Err(e) => panic!(
                "read failed: {e}; received before: {:?}",
                String::from_utf8_lossy(&bytes)
            ),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A storage node that records every request as received, and sends the responses that were set, or a successful one
/// if none is set.
pub struct Node {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    next_responses: Arc<Mutex<Vec<&'static str>>>,
}

impl Node {
    pub fn new() -> Self {
        let listener = listen();
        let address = listener.local_addr().expect("bound");
        let (requests, next_responses) = (
            Arc::<Mutex<Vec<String>>>::default(),
            Arc::<Mutex<Vec<&str>>>::default(),
        );
        let (received, next) = (requests.clone(), next_responses.clone());
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (received, next) = (received.clone(), next.clone());
                thread::spawn(move || serve(socket, &received, &next));
            }
        });
        Node {
            address,
            requests,
            next_responses,
        }
    }

    /// Sets the response to the next request. An empty one leaves the request unanswered; if several are set, the
    /// latest is sent first.
    pub fn set_next_response(&self, response: &'static str) {
        self.next_responses
            .lock()
            .expect("a test thread panicked")
            .push(response);
    }

    /// Returns the requests received so far, with the value of `X-Timeout-Ms` in each replaced by `*`.
    pub fn requests(&self) -> Vec<String> {
        self.requests
            .lock()
            .expect("a test thread panicked")
            .iter()
            .map(|text| without_timeout(text))
            .collect()
    }

    /// Returns the node's entry in the endpoint list, in JSON.
    pub fn endpoint_json(&self) -> String {
        let dial = self.address;
        format!(
            r#"{{"host":"s-0","dial":"{dial}","site":"a","class":"m","block":0,"health":"ready","share":1.0,"born_ms":0}}"#
        )
    }
}

/// Replaces the value of `X-Timeout-Ms` by `*`, since it depends on the elapsed time. Checks that it is between 1 and
/// 900 ms, the timeout of the clients' requests.
fn without_timeout(text: &str) -> String {
    const NAME: &str = "X-Timeout-Ms: ";
    let from = text.find(NAME).expect("the request has no X-Timeout-Ms") + NAME.len();
    let to = from
        + text[from..]
            .find("\r\n")
            .expect("the X-Timeout-Ms line has no end");
    let timeout_ms: u64 = text[from..to]
        .parse()
        .expect("X-Timeout-Ms is not a whole number");
    assert!(
        (1..=900).contains(&timeout_ms),
        "X-Timeout-Ms is {timeout_ms}, not within 1 to 900"
    );
    format!("{}*{}", &text[..from], &text[to..])
}

fn serve(mut socket: TcpStream, received: &Mutex<Vec<String>>, next: &Mutex<Vec<&'static str>>) {
    loop {
        let request = read_message(&mut socket);
        if body_offset(&request).is_none() {
            return;
        }
        received
            .lock()
            .expect("a test thread panicked")
            .push(request);
        let set = next.lock().expect("a test thread panicked").pop();
        let response =
            set.unwrap_or("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Iops-Used: 3.5\r\n\r\ndata");
        if response.is_empty() {
            continue;
        }
        if socket.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// A log line, with its level, its message, and its fields in their order.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    pub level: String,
    pub message: String,
    pub fields: Vec<(String, String)>,
}

impl LogLine {
    pub fn field(&self, name: &str) -> &str {
        let field = self.fields.iter().find(|(n, _)| n == name);
        field.map_or_else(
            || panic!("no field {name} in the log line {self:?}"),
            |(_, value)| value,
        )
    }

    pub fn names(&self) -> Vec<&str> {
        self.fields.iter().map(|(name, _)| name.as_str()).collect()
    }
}

#[derive(Clone, Default)]
pub struct Log(Arc<Mutex<Vec<LogLine>>>);

impl Log {
    pub fn lines(&self) -> Vec<LogLine> {
        self.0.lock().expect("a test thread panicked").clone()
    }

    /// Waits for a log line with this message, and returns the first one.
    pub fn line(&self, message: &str) -> LogLine {
        let mut found = None;
        wait_until(message, || {
            found = self
                .lines()
                .into_iter()
                .find(|line| line.message == message);
            found.is_some()
        });
        found.expect("wait_until returned without a result")
    }
}

struct FieldVisitor<'l>(&'l mut LogLine);

impl Visit for FieldVisitor<'_> {
    fn record_debug(&mut self, field: &Field, value: &dyn std::fmt::Debug) {
        let mut text = String::new();
        write!(text, "{value:?}").expect("writing to a string cannot fail");
        if field.name() == "message" {
            self.0.message = text;
        } else {
            self.0.fields.push((field.name().to_owned(), text));
        }
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.record_debug(field, &format_args!("{value}"));
    }
}

impl Subscriber for Log {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}

    fn record_follows_from(&self, _: &Id, _: &Id) {}

    fn event(&self, event: &Event<'_>) {
        let level = event.metadata().level().to_string();
        let mut line = LogLine {
            level,
            message: String::new(),
            fields: Vec::new(),
        };
        event.record(&mut FieldVisitor(&mut line));
        self.0.lock().expect("a test thread panicked").push(line);
    }

    fn enter(&self, _: &Id) {}

    fn exit(&self, _: &Id) {}
}

/// A host that runs on a thread of the test process, until the process ends or a signal stops the host.
pub struct Host {
    pub address: SocketAddr,
    pub log: Log,
    pub thread: JoinHandle<Result<(), String>>,
    directory: tempfile::TempDir,
}

/// Returns the configuration of a host. `known`: its cached endpoint list at startup.
pub fn config(listen: SocketAddr, discovery: SocketAddr, known: Option<&str>) -> String {
    let known = known.map_or(String::new(), |list| format!(r#""known":{list},"#));
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":16,"sockets":256}},{known}"settings":{SETTINGS}}}"#
    )
}

impl Host {
    /// Starts a host that watches the discovery service at `discovery`. `known`: its cached endpoint list at startup.
    pub fn new(discovery: SocketAddr, known: Option<&str>) -> Self {
        let address = free_address();
        let directory = tempfile::tempdir().expect("cannot create a temporary directory");
        let path = directory.path().join("config.json");
        std::fs::write(&path, config(address, discovery, known))
            .expect("cannot write the configuration file");
        let log = Log::default();
        let host_log = log.clone();
        let thread = thread::spawn(move || {
            tracing::subscriber::with_default(host_log, || {
                mallowseam_platform_host::run(&path, None).map_err(|e| e.to_string())
            })
        });
        log.line("host started");
        Host {
            address,
            log,
            thread,
            directory,
        }
    }

    pub fn write_config(&self, text: &str) {
        std::fs::write(self.directory.path().join("config.json"), text)
            .expect("cannot write the configuration file");
    }

    pub fn connect(&self) -> TcpStream {
        let socket = TcpStream::connect(self.address).expect("cannot connect to the host");
        socket
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("cannot set the read timeout");
        socket.set_nodelay(true).expect("cannot set TCP_NODELAY");
        socket
    }

    /// Sends a request on a new connection, and returns the response. The host leaves the connection open.
    pub fn response_to(&self, request: &str) -> String {
        let mut socket = self.connect();
        socket.write_all(request.as_bytes()).expect("open");
        read_message(&mut socket)
    }

    /// Sends a request on a new connection, and returns all bytes that the host sends until it closes the connection.
    pub fn response_until_close(&self, request: &str) -> String {
        let mut socket = self.connect();
        socket.write_all(request.as_bytes()).expect("open");
        read_to_close(&mut socket)
    }
}

/// Starts a host that knows one node. Returns the host, the node and the listener of the discovery service.
pub fn host_with_node() -> (Host, Node, TcpListener) {
    let (node, discovery) = (Node::new(), listen());
    let known = format!(
        r#"{{"seq":41,"whole":true,"hosts":[{}]}}"#,
        node.endpoint_json()
    );
    let host = Host::new(discovery.local_addr().expect("bound"), Some(&known));
    (host, node, discovery)
}

pub fn read_request(id: &str) -> String {
    format!(
        "GET /look/00000000000000aa/00000000000000bb HTTP/1.1\r\nHost: s\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: look\r\nX-Qos-Policy: gold\r\nX-Timeout-Ms: 900\r\n\
         X-Placement: units=1,shard=0,hosts=1\r\n\r\n"
    )
}

pub fn write_request(id: &str) -> String {
    format!(
        "PUT /book/00000000000000aa/00000000000000bb HTTP/1.1\r\nHost: s\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: book\r\nX-Qos-Policy: gold\r\nX-Timeout-Ms: 900\r\n\
         X-Placement: units=1,shard=0,hosts=1\r\nContent-Length: 4\r\n\r\nbody"
    )
}
