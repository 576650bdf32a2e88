//! The host in a process of its own, between the peers of a test.
use super::client::Client;
use super::endpoint_service::EndpointService;
use super::node::Node;
use super::socket_table::{SocketRow, sockets, table_address};
use super::wait_until;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::thread;

/// Value of `settings` in the configuration.
const SETTINGS: &str = r#"{"balancers": 1, "localities": ["a"], "registry_mode": "on_request",
  "profiles": [
    {"name": "look", "aim_us": 300000, "deadline_us": 1000000, "repeat": "idempotent", "worth": 3.0},
    {"name": "book", "aim_us": 300000, "deadline_us": 2000000, "repeat": "at_most_once", "worth": 3.0}],
  "service_levels": [{"name": "gold", "floor_rate": 900.0, "usual_rate": 900.0, "limit": 0.0, "weight": 1.0, "worth_factor": 1.0}],
  "extra": {"class_writes": [false, true], "largest": 8, "mean_units": 1.0, "within_share": 0.5, "spare_worth": 0.1},
  "limits": {"cancel": true, "max_attempts": 3, "retry_after": true, "max_retry_after_us": 1000000, "idle_close_us": 30000000, "connect_timeout_us": 250000},
  "rules": {"drain_grace_us": 250000, "ask_within_us": 10000000}}"#;

/// A host process, with the nodes and the endpoint list service of its configuration.
pub struct HostProcess {
    directory: tempfile::TempDir,
    child: Child,
    address: SocketAddr,
    pub nodes: Vec<Node>,
    pub endpoint_service: EndpointService,
    /// Next number for a request ID.
    numbers: AtomicU64,
}

/// Starts a host process, with a system limit of descriptors if one is given.
fn spawn(path: &Path, descriptors: Option<u64>) -> Child {
    let host = env!("CARGO_BIN_EXE_mallowseam");
    let mut command = match descriptors {
        None => Command::new(host),
        Some(limit) => {
            let mut shell = Command::new("sh");
            shell.args([
                "-c",
                &format!("ulimit -n {limit} && exec \"$0\" \"$@\""),
                host,
            ]);
            shell
        }
    };
    command
        .arg("host")
        .env("GW_CONFIG", path)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    command.spawn().expect("the host starts")
}

/// Runs a host with this configuration until it exits by itself.
pub fn run_with_config(text: &str) -> Child {
    run_with_descriptors(text, None)
}

/// Runs a host with this configuration until it exits by itself, with a system limit of descriptors if one is given.
pub fn run_with_descriptors(text: &str, descriptors: Option<u64>) -> Child {
    let dir = tempfile::tempdir().expect("a temporary directory can be created");
    let path = dir.path().join("config.json");
    std::fs::write(&path, text).expect("the file can be written");
    let mut host = spawn(&path, descriptors);
    let _ = host.wait();
    host
}

/// Returns the address of the next host, which is different for each process and host.
fn next_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let (pid, number) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    SocketAddr::from(([127, 100 + (pid >> 8) as u8 % 100, pid as u8, number], 8443))
}

fn is_ready(address: SocketAddr) -> bool {
    Client::connect(address).is_some_and(|mut client| {
        client.send("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
        client.answer().is_some_and(|(status, _)| status == 200)
    })
}

/// Returns the number of allocations of a host while it answers `count` reads and `count` writes. The host runs on a
/// thread of this process, and is stopped by a signal to the process.
pub fn allocations(count: usize) -> u64 {
    let (address, node) = (next_address(), Node::new());
    let endpoint_service = EndpointService::new(&node.entry("s-0", 0, "ready"), 41);
    let dir = tempfile::tempdir().expect("a temporary directory can be created");
    let path = dir.path().join("config.json");
    std::fs::write(
        &path,
        config(address, std::slice::from_ref(&node), &endpoint_service),
    )
    .expect("the file can be written");
    let host = thread::spawn(move || {
        allocation_counter::measure(|| mallowseam_platform_host::run(&path, None).expect("a run"))
            .count_total
    });
    wait_until("the host is ready", || is_ready(address));
    let mut client = Client::connect(address).expect("the host listens");
    for n in 0..count {
        assert_eq!(client.read(&format!("r{n}"), 0).0, 200);
        assert_eq!(client.write(&format!("w{n}"), 0, "posted").0, 200);
    }
    drop(client);
    kill(Pid::this(), Signal::SIGTERM).expect("the signal can be sent");
    host.join().expect("the host's thread does not panic")
}

impl HostProcess {
    /// Starts a host with 256 descriptors and 32 MB. All nodes hold shard 0; the cached list contains the first node.
    pub fn new(nodes: usize) -> HostProcess {
        HostProcess::with_config(nodes, |config, _| config)
    }

    /// Starts a host with a configuration that `change` derives from the usual one and the first node's entry in the
    /// list.
    pub fn with_config(nodes: usize, change: impl Fn(String, &str) -> String) -> HostProcess {
        HostProcess::with_nodes((0..nodes).map(|_| Node::new()).collect(), change)
    }

    /// Starts a host with these nodes and a changed configuration.
    pub fn with_nodes(nodes: Vec<Node>, change: impl Fn(String, &str) -> String) -> HostProcess {
        let host = HostProcess::start(nodes, change);
        wait_until("the host is ready", || is_ready(host.address));
        host
    }

    /// Starts a host without waiting until it is ready; a host that knows no node never is.
    pub fn start(nodes: Vec<Node>, change: impl Fn(String, &str) -> String) -> HostProcess {
        HostProcess::start_within(nodes, None, change)
    }

    /// Starts a host with a system limit of descriptors if one is given, without waiting until it is ready.
    pub fn start_within(
        nodes: Vec<Node>,
        descriptors: Option<u64>,
        change: impl Fn(String, &str) -> String,
    ) -> HostProcess {
        let address = next_address();
        let entry = nodes[0].entry("s-0", 0, "ready");
        let endpoint_service = EndpointService::new(&entry, 41);
        let directory = tempfile::tempdir().expect("a temporary directory can be created");
        let path = directory.path().join("config.json");
        std::fs::write(
            &path,
            change(config(address, &nodes, &endpoint_service), &entry),
        )
        .expect("the file can be written");
        let mut child = spawn(&path, descriptors);
        let mut log = child.stderr.take().expect("stderr is piped");
        thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        HostProcess {
            directory,
            child,
            address,
            nodes,
            endpoint_service,
            numbers: AtomicU64::new(0),
        }
    }

    /// Returns the usual configuration with another endpoint list service.
    pub fn config(&self, endpoint_service: &EndpointService) -> String {
        config(self.address, &self.nodes, endpoint_service)
    }

    /// Replaces the configuration file.
    pub fn write_config(&self, text: &str) {
        std::fs::write(self.directory.path().join("config.json"), text)
            .expect("the file can be written");
    }

    /// Returns the address on which the host listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens a new connection to the host.
    pub fn client(&self) -> Client {
        Client::connect(self.address).expect("the host listens")
    }

    /// Returns a number that was not returned before.
    pub fn next_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the number of open descriptors of the host.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("the process exists")
            .count()
    }

    /// Returns the resident memory of the host, in kilobytes.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .expect("the process exists");
        let line = status
            .lines()
            .find(|l| l.starts_with("VmRSS"))
            .expect("the status has a line VmRSS");
        line.split_whitespace()
            .nth(1)
            .and_then(|n| n.parse().ok())
            .expect("VmRSS is a number")
    }

    /// Suspends the host. Once it is resumed, it finds everything received meanwhile in one iteration of its event loop.
    pub fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
        let path = format!("/proc/{}/stat", self.child.id());
        wait_until("the host is suspended", || {
            let stat = std::fs::read_to_string(&path).expect("the process exists");
            stat.rsplit(')')
                .next()
                .is_some_and(|rest| rest.trim_start().starts_with('T'))
        });
    }

    /// Resumes the host once all bytes that were sent to it have arrived in its sockets.
    pub fn resume(&self) {
        let own = table_address(self.address);
        let is_undelivered = |row: &SocketRow| row.remote == own && row.undelivered;
        wait_until("all bytes are delivered", || {
            !sockets().iter().any(is_undelivered)
        });
        self.signal(Signal::SIGCONT);
    }

    /// Sends a signal to the host.
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("the process exists");
    }

    /// Waits until the host exits, and returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        let mut status = None;
        wait_until("the host exits", || {
            status = self.child.try_wait().expect("the process is a child");
            status.is_some()
        });
        status.and_then(|status| status.code())
    }
}

fn config(address: SocketAddr, nodes: &[Node], endpoint_service: &EndpointService) -> String {
    format!(
        r#"{{"name":"n0","listen":"{address}","discovery":"{}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":32,"sockets":256}},
            "known":{{"seq":41,"whole":true,"hosts":[{}]}},"settings":{SETTINGS}}}"#,
        endpoint_service.address(),
        nodes[0].entry("s-0", 0, "ready")
    )
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.nodes.iter().for_each(Node::release_held);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
