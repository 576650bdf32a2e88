//! Connections to nodes over real sockets.
use mallowseam_iscsi::initiator::Payload;
use mallowseam_iscsi::login::{LoginIdentity, LoginPolicy, LoginStatus};
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::scsi::{self, Command};
use mallowseam_iscsi::target::{TargetConfig, TargetConnection, TargetEvent};
use mallowseam_iscsi_host::node_connections::{NodeRequest, Nodes};
use mallowseam_settings::config;
use mio::{Events, Poll};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

const TARGET: &str = "iqn.t:node";
/// Number of writes; together they exceed what the sockets of both sides buffer.
const WRITES: u32 = 600;
/// Length of a write in bytes: as much as is sent without a request of the node.
const WRITE_LEN: usize = 64 * 1024;
const BLOCK_SIZE: usize = 512;
/// Bound on each wait of a test.
const PATIENCE: Duration = Duration::from_secs(20);

struct AdmitAll;

impl LoginPolicy for AdmitAll {
    fn admit(&mut self, _identity: &LoginIdentity) -> Result<u16, LoginStatus> {
        Ok(1)
    }
}

/// A node that reads its socket only when it is told to, with the host's connections to it.
struct Rig {
    nodes: Nodes,
    poll: Poll,
    socket: TcpStream,
    target: TargetConnection,
    buffer: Vec<u8>,
    /// First blocks of the writes that the node has received, in order.
    received: Vec<u64>,
}

impl Rig {
    /// Connects and logs in, with a first write.
    fn logged_in(host_byte: u8) -> Rig {
        let address = SocketAddr::from(([127, 61, std::process::id() as u8, host_byte], 3260));
        let listener = TcpListener::bind(address).expect("the address is free");
        let poll = Poll::new().expect("a poll");
        let registry = poll.registry().try_clone().expect("a registry");
        let node = config::Node {
            name: "node".into(),
            address: Some(address),
            target: TARGET.into(),
            lun: 0,
            zone: String::new(),
            shard: 0,
        };
        let proposal = ProposedParams::default();
        let mut nodes = Nodes::new(&[node], "iqn.t:host".into(), proposal, registry, 0);
        nodes.submit(0, write_request(0), 0);
        nodes.flush();
        let (socket, _) = listener.accept().expect("the host connects");
        socket.set_nonblocking(true).expect("a socket option");
        let target = TargetConnection::new(Rc::new(TargetConfig {
            proposal,
            command_window: WRITES + 1,
            max_transfer_bytes: 1 << 20,
            target_names: vec![TARGET.into()],
            portal_address: address.to_string(),
        }));
        let mut rig = Rig {
            nodes,
            poll,
            socket,
            target,
            buffer: vec![0; 256 * 1024],
            received: Vec::new(),
        };
        rig.exchange_until("the first write", |rig| rig.received == [0]);
        rig
    }

    /// Lets the node read and the host write until the condition holds.
    fn exchange_until(&mut self, what: &str, is_met: impl Fn(&Rig) -> bool) {
        let began = Instant::now();
        while !is_met(self) {
            assert!(began.elapsed() < PATIENCE, "timeout: {what}");
            self.run_node();
            self.run_host();
        }
    }

    fn run_host(&mut self) {
        let mut events = Events::with_capacity(8);
        let timeout = Some(Duration::from_millis(1));
        self.poll.poll(&mut events, timeout).expect("a poll");
        let mut more = self.nodes.on_ready(0, true, &mut self.buffer, 0);
        while more {
            more = self.nodes.read(0, &mut self.buffer, 0);
        }
        self.nodes.flush();
    }

    fn run_node(&mut self) {
        match self.socket.read(&mut self.buffer) {
            Ok(len) => self
                .target
                .receive(&self.buffer[..len], &mut AdmitAll)
                .expect("the host follows the protocol"),
            Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock),
        }
        while let Some(event) = self.target.next_event() {
            if let TargetEvent::Command { task, cdb, .. } = event {
                let Ok(Command::Write { lba, .. }) = scsi::parse_cdb(&cdb) else {
                    panic!("only writes are sent");
                };
                self.received.push(lba);
                self.target.complete(task, &[]);
            }
        }
        let answers = self.target.send_buffer();
        self.socket
            .write_all(answers.unsent())
            .expect("the host reads its answers");
        answers.mark_sent(answers.unsent().len());
    }
}

/// Returns a write whose tag is its first block.
fn write_request(tag: u32) -> NodeRequest {
    let blocks = (WRITE_LEN / BLOCK_SIZE) as u32;
    NodeRequest {
        tag,
        lun: None,
        cdb: scsi::read_or_write_16(true, tag.into(), blocks, 0),
        read_len: 0,
        data: Payload::from(vec![1; WRITE_LEN]),
    }
}

/// Guards against a write whose bytes reach the node long after it was given up: it waited in a buffer for a socket
/// that took no more, and cancelling it did not take it out.
#[test]
fn a_write_that_is_cancelled_before_its_first_byte_is_written_never_reaches_the_node() {
    let mut rig = Rig::logged_in(1);
    for tag in 1..=WRITES {
        rig.nodes.submit(0, write_request(tag), 0);
    }
    // The node does not read, so its socket is full before the last write.
    rig.run_host();
    let was_unsent = rig.nodes.cancel(0, WRITES - 1, 0);
    assert!(was_unsent, "nothing of the write was sent");

    let last = u64::from(WRITES);
    rig.exchange_until("the last write", |rig| rig.received.last() == Some(&last));
    let expected: Vec<u64> = (0..=last).filter(|lba| *lba != last - 1).collect();
    assert_eq!(rig.received, expected, "all others arrive, in order");
}
