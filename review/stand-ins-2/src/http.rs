//! Clients, discovery and the host of the users' platform, over HTTP/1.1.
use crate::process::{Folder, Process, ip, wait_for};
use crate::record::not_run;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A complete HTTP message.
#[derive(Clone, Debug)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> String {
        self.header("X-Request-ID").unwrap_or_default().to_owned()
    }

    /// Status code of a response.
    pub fn status(&self) -> u16 {
        self.first_line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages with a Content-Length from a stream.
pub struct MessageReader {
    buffer: Vec<u8>,
}

impl MessageReader {
    pub fn new() -> Self {
        MessageReader { buffer: Vec::new() }
    }

    fn take(&mut self) -> Option<Message> {
        let end = self.buffer.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let first_line = lines.next()?.to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
            .collect();
        let length = headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case("content-length"));
        let length: usize = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
        if self.buffer.len() < end + length {
            return None;
        }
        let body = self.buffer[end..end + length].to_vec();
        self.buffer.drain(..end + length);
        Some(Message {
            first_line,
            headers,
            body,
        })
    }

    /// Waits for the next message. `None`: the stream has ended or failed.
    pub fn next(&mut self, stream: &mut TcpStream) -> Option<Message> {
        loop {
            if let Some(message) = self.take() {
                return Some(message);
            }
            let mut bytes = [0; 8192];
            match stream.read(&mut bytes) {
                Ok(n) if n > 0 => self.buffer.extend_from_slice(&bytes[..n]),
                _ => return None,
            }
        }
    }
}

impl Default for MessageReader {
    fn default() -> Self {
        MessageReader::new()
    }
}

/// Connection of a client to a host.
pub struct Client {
    pub stream: TcpStream,
    reader: MessageReader,
}

impl Client {
    pub fn connect(host: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&host, Duration::from_secs(2)).ok()?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        Some(Client {
            stream,
            reader: MessageReader::new(),
        })
    }

    pub fn send(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    pub fn answer(&mut self) -> Option<Message> {
        self.reader.next(&mut self.stream)
    }
}

/// A block I/O as a client sends it.
pub struct BlockIo<'a> {
    pub write: bool,
    pub class: &'a str,
    pub plan: &'a str,
    pub volume: u64,
    pub object: u64,
    pub id: &'a str,
    pub timeout_ms: u64,
    pub shard: i64,
    pub body: &'a str,
}

impl BlockIo<'_> {
    pub fn text(&self) -> String {
        let method = if self.write { "PUT" } else { "GET" };
        let length = if self.write {
            format!("Content-Length: {}\r\n", self.body.len())
        } else {
            String::new()
        };
        format!(
            "{method} /{}/{:016x}/{:016x} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {}\r\n\
             X-Priority-Class: {}\r\nX-Qos-Policy: {}\r\nX-Timeout-Ms: {}\r\n{length}\
             X-Placement: units=1,shard={},hosts=1\r\n\r\n{}",
            self.class,
            self.volume,
            self.object,
            self.id,
            self.class,
            self.plan,
            self.timeout_ms,
            self.shard,
            if self.write { self.body } else { "" }
        )
    }
}

/// Entry of the list.
pub fn entry(name: &str, dial: SocketAddr, block: u32, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"gnr-dc1","class":"std-1c","block":{block},"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// Discovery: sends the whole list on each watch, later changes as they are published, and an empty line every 2 s.
pub struct Discovery {
    pub address: SocketAddr,
    changes: Arc<Mutex<Vec<String>>>,
}

impl Discovery {
    pub fn start(party: u8, entries: &str) -> Discovery {
        let listener = TcpListener::bind((ip(party), 0))
            .unwrap_or_else(|e| not_run(&format!("discovery: {e}")));
        let address = listener.local_addr().expect("bound");
        let changes: Arc<Mutex<Vec<String>>> = Arc::default();
        let list = entries.to_owned();
        let shared = Arc::clone(&changes);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (list, changes) = (list.clone(), Arc::clone(&shared));
                std::thread::spawn(move || watch(stream, &list, &changes));
            }
        });
        Discovery { address, changes }
    }

    /// Publishes changed entries to all open watches.
    pub fn publish(&self, entries: &str) {
        self.changes
            .lock()
            .expect("not poisoned")
            .push(entries.to_owned());
    }
}

fn watch(mut stream: TcpStream, list: &str, changes: &Mutex<Vec<String>>) {
    let _ = stream.set_nodelay(true);
    if MessageReader::new().next(&mut stream).is_none() {
        return;
    }
    let head =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut sent = 0;
    let first = format!("{{\"seq\":42,\"whole\":true,\"hosts\":[{list}]}}\n");
    if stream
        .write_all(format!("{head}{}", chunk(&first)).as_bytes())
        .is_err()
    {
        return;
    }
    let mut idle = 0;
    loop {
        std::thread::sleep(Duration::from_millis(5));
        let new: Vec<String> = changes.lock().expect("not poisoned")[sent..].to_vec();
        for entries in new {
            sent += 1;
            let line = format!(
                "{{\"seq\":{},\"whole\":false,\"hosts\":[{entries}]}}\n",
                42 + sent
            );
            if stream.write_all(chunk(&line).as_bytes()).is_err() {
                return;
            }
            idle = 0;
        }
        idle += 1;
        if idle == 400 {
            idle = 0;
            if stream.write_all(chunk("\n").as_bytes()).is_err() {
                return;
            }
        }
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A host of the platform, started by the `run` line of the deploy file (`RUN`).
pub struct Host {
    pub process: Process,
    pub address: SocketAddr,
    _folder: Folder,
}

impl Host {
    /// Starts a host and waits until it is ready. `known` and `settings` are JSON.
    pub fn start(party: u8, discovery: SocketAddr, known: &str, settings: &str) -> Host {
        let folder = Folder::new();
        let address = crate::process::free_address(party);
        let config = format!(
            "{{\"name\":\"n1\",\"listen\":\"{address}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":128,\"sockets\":512}},\
             \"known\":{{\"seq\":41,\"whole\":true,\"hosts\":[{known}]}},\"settings\":{settings}}}"
        );
        let path = folder.write("config.json", &config);
        let run = std::env::var("RUN")
            .unwrap_or_else(|_| not_run("RUN is not set: start the case by its run.sh"));
        let (listen, discovery) = (address.to_string(), discovery.to_string());
        let env = [
            ("GW_NAME", "n1"),
            ("GW_LISTEN", listen.as_str()),
            ("GW_DISCOVERY", discovery.as_str()),
            ("GW_CONFIG", path.to_str().expect("a path in UTF-8")),
        ];
        let mut process = Process::start(&run, &env, &folder.path("host.log"));
        wait_for("the host is ready", Duration::from_secs(30), || {
            if !process.is_running() {
                let log = std::fs::read_to_string(folder.path("host.log")).unwrap_or_default();
                not_run(&format!("the host has ended: {log}"));
            }
            Client::connect(address).is_some_and(|mut client| {
                client.send("GET /ready HTTP/1.1\r\nHost: service.internal\r\n\r\n")
                    && client.answer().is_some_and(|answer| answer.status() == 200)
            })
        });
        Host {
            process,
            address,
            _folder: folder,
        }
    }
}

/// Settings of a small deployment like `gandhinagar-main`. `post`: further fields of the class `post`;
/// `connect_timeout_us`: that of the limits.
pub fn settings(post: &str, connect_timeout_us: u64) -> String {
    format!(
        r#"{{"balancers": 1, "clients": {{"marks_retry": false}},
 "extra": {{"class_writes": [false, true], "cold_bears": 70.0, "counts_others": false, "largest": 8, "mean_units": 1.0, "meter_us": 0, "shards": 8, "spare_worth": 0.1, "within_share": 0.35}},
 "limits": {{"cancel": true, "connect_timeout_us": {connect_timeout_us}, "idle_close_us": 30000000, "max_attempts": 3, "max_retry_after_us": 1000000, "may_duplicate": false, "open_cap": 24485, "peer_messages": false, "probes": false, "retry_after": false, "streams_per_conn": 32}},
 "localities": ["gnr-dc1"], "machine_types": ["std-1c"], "me": 0,
 "profiles": [{{"aim_us": 200000, "deadline_us": 1000000, "key_scope": "all", "key_ttl_us": 5000000, "late_share": 0.2, "name": "lookup", "repeat": "idempotent", "stream": false, "worth": 3.0}},
  {{"late_share": 0.15, "name": "post", "stream": false, "worth": 2.0, {post}}}],
 "registry_mode": "on_request", "report": {{"columns": [], "via": "off"}},
 "rules": {{"ask_within_us": 10000000, "cold_from": 0.2, "cold_us": 18000000, "drain_grace_us": 250000, "extra_ratio": 0.25, "fall_multiple": 4.0, "fall_us": 2000000, "free_resends": 3.0, "grace_to_answer_us": 8000, "look_back_us": 5000000, "order_pause_us": 200000}},
 "service_levels": [{{"floor_rate": 600.0, "limit": 0.0, "limit_burst": 0.0, "limit_slack": 0.0, "name": "standard", "usual_rate": 500.0, "weight": 3.0, "worth_factor": 0.9}}],
 "tick_us": 2000, "tier": 0, "tiers": ["ledger-store"], "weight_kind": "nominal", "workload": "stores", "zone": "gnr-dc1"}}"#
    )
}
