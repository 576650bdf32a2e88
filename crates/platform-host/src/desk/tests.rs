//! Clients that leave while the poll's last word of them is old: the poll is this story's own hand.
use super::*;
use mallowseam_connection_policy::keep_alive::KeepAlivePolicy;
use mio::net::TcpStream;
use mio::{Poll, Token};
use std::io::Write;
use std::net::{Ipv4Addr, TcpListener};
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{"balancers": 1, "localities": ["a"], "registry_mode": "on_request",
  "profiles": [{"name": "look", "aim_us": 5000000, "deadline_us": 9000000, "repeat": "idempotent", "worth": 3.0}],
  "service_levels": [{"name": "gold", "floor_rate": 900.0, "usual_rate": 900.0, "limit": 0.0, "weight": 1.0, "worth_factor": 1.0}],
  "extra": {"class_writes": [false], "largest": 8, "mean_units": 1.0, "within_share": 0.5, "spare_worth": 0.1},
  "limits": {"cancel": true, "max_attempts": 3, "retry_after": true, "max_retry_after_us": 1000000,
             "idle_close_us": 30000000, "connect_timeout_us": 250000},
  "rules": {"drain_grace_us": 250000, "ask_within_us": 10000000}}"#;

/// Ticks after which the poll's word no longer counts, and before which it does.
const OLD: Tick = 400;
const NEW: Tick = 200;

struct Scene {
    poll: Poll,
    desk: Desk,
    scheduler: Scheduler,
    node: TcpListener,
    front: TcpListener,
}

impl Scene {
    /// A host that knows one node, which takes submits some time within the next 0.3 s.
    fn new(now: Tick) -> Self {
        let poll = Poll::new().expect("a poll");
        let registry = || poll.registry().try_clone().expect("a poll");
        let named = mallowseam_platform::settings::parse(SETTINGS).expect("sound settings");
        let (listener, front) = (listen(), listen());
        let clients = Clients::new(registry(), |at| Token(2 * at as usize), 64, 1 << 20);
        let keep = KeepAlivePolicy::new(15_000, ticks_to_millis(now));
        let nodes = Nodes::new(registry(), |at| Token(2 * at as usize + 1), 64, 1 << 20, 2_500, keep);
        let mut scheduler = Scheduler::new(&named.scheduler, 7, now);
        let mut desk = Desk::new(now, named, clients, nodes);
        let dial = listener.local_addr().expect("bound");
        let line = format!(
            r#"{{"seq":1,"whole":true,"hosts":[{{"host":"s","dial":"{dial}","site":"a","class":"m","block":0,"health":"ready","share":1.0,"born_ms":0}}]}}"#
        );
        let news = mallowseam_platform::endpoints::parse(line.as_bytes()).expect("a sound list");
        desk.listed(&mut scheduler, EndpointEvent::FullSnapshot, &news);
        Scene { poll, desk, scheduler, node: listener, front }
    }

    /// A client's connection with a whole request on it, and its place. `polled`: the poll has told of it.
    fn client(&mut self, polled: bool) -> (std::net::TcpStream, u32) {
        let mut client =
            std::net::TcpStream::connect(self.front.local_addr().expect("bound")).expect("it listens");
        let (socket, _) = self.front.accept().expect("a client");
        let text = "GET /look/00000000000000aa/00000000000000bb HTTP/1.1\r\nHost: s\r\nX-Request-ID: a1\r\n\
             X-Priority-Class: look\r\nX-Qos-Policy: gold\r\nX-Timeout-Ms: 8000\r\n\
             X-Placement: units=1,shard=0,hosts=1\r\n\r\n";
        client.write_all(text.as_bytes()).expect("open");
        until("its request comes", || matches!(socket.peek(&mut [0; 1_024]), Ok(n) if n == text.len()));
        socket.set_nonblocking(true).expect("a socket");
        let now = ticks_to_millis(self.desk.now);
        self.desk.clients.enter(TcpStream::from_std(socket), now);
        let at = *self.desk.clients.turns.back().expect("its turn");
        if polled {
            assert!(self.desk.clients.ready(at, true, false, now).is_none());
        }
        (client, at)
    }

    fn asks(&mut self, at: u32) {
        let now = ticks_to_millis(self.desk.now);
        let came = self.desk.clients.turn(at, &mut [0; 4_096], now);
        assert!(matches!(came, crate::clients::Came::Request));
        self.desk.asked(&mut self.scheduler, at, true);
    }

    /// Time passes, so long after the poll.
    fn later(&mut self, after: Tick, poll: Tick) {
        self.desk.now += after;
        self.desk.polled = self.desk.now - poll;
        self.desk.wake_at = Some(self.desk.now);
        self.desk.woken(&mut self.scheduler);
    }

    /// Whether anything was begun at the node.
    fn began(&self) -> bool {
        self.node.set_nonblocking(true).expect("a socket");
        self.node.accept().is_ok()
    }
}

fn until(what: &str, holds: impl Fn() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < Duration::from_secs(5), "waited in vain: {what}");
    }
}

fn listen() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("an address")
}

/// Closed, and the host's side has it.
fn leaves(scene: &Scene, client: std::net::TcpStream) {
    let host = scene.front.local_addr().expect("bound");
    let own = client.local_addr().expect("bound");
    drop(client);
    let hex = |a: std::net::SocketAddr| match a {
        std::net::SocketAddr::V4(a) => format!("{:08X}:{:04X}", u32::from(*a.ip()).swap_bytes(), a.port()),
        std::net::SocketAddr::V6(_) => unreachable!("of the fourth version"),
    };
    // Its end has come where the host's socket waits for the close of its own side.
    let closed = format!("{} {} 08", hex(host), hex(own));
    until("its end comes", || std::fs::read_to_string("/proc/net/tcp").expect("a table").contains(&closed));
}

#[test]
fn one_that_leaves_before_the_poll_has_told_of_it_gets_nothing_done() {
    let mut scene = Scene::new(1_000_000);
    scene.later(4_000, 0);
    let (client, at) = scene.client(false);
    leaves(&scene, client);
    scene.asks(at);
    assert!(!scene.began() && scene.desk.in_hand() == 0);
}

#[test]
fn one_that_leaves_behind_the_polls_back_gets_nothing_done_once_its_word_is_old() {
    for (age, taken) in [(NEW, true), (OLD, false)] {
        let mut scene = Scene::new(1_000_000);
        scene.later(4_000, 0);
        let (client, at) = scene.client(true);
        leaves(&scene, client);
        scene.desk.polled = scene.desk.now - age;
        scene.asks(at);
        assert_eq!((scene.began(), scene.desk.in_hand() > 0), (taken, taken), "{age} ticks after the poll");
    }
}

#[test]
fn what_is_held_is_not_begun_for_one_that_left_behind_the_polls_back_once_its_word_is_old() {
    for (age, begins) in [(NEW, true), (OLD, false)] {
        let mut scene = Scene::new(1_000_000);
        let (client, at) = scene.client(true);
        scene.asks(at);
        assert!(!scene.began() && scene.desk.in_hand() == 1, "held: the node is new");
        leaves(&scene, client);
        scene.later(4_000, age);
        assert_eq!(scene.began(), begins, "{age} ticks after the poll");
        assert_eq!(scene.desk.in_hand() > 0, begins);
        assert_eq!(scene.desk.counts.left, u64::from(!begins));
    }
    // With its client there it is begun, however old the poll's word is.
    let mut scene = Scene::new(1_000_000);
    let (_client, at) = scene.client(true);
    scene.asks(at);
    scene.later(4_000, OLD);
    assert!(scene.began() && scene.desk.in_hand() == 1);
    drop(scene.poll);
}
