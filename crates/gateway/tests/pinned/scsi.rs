//! A host's answers to SCSI commands that need no node, and to reads and writes while no node is reachable.
use crate::harness::{Process, Transcript, addresses, assert_pinned, wait_for_control};
use mallowseam_gateway::blocking_client::BlockingClient;
use mallowseam_iscsi::scsi::read_or_write_16;
use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::num::NonZeroU16;
use std::path::Path;

/// A SCSI command, the maximum length of the data that it reads, and the data that it writes.
struct Command {
    name: &'static str,
    cdb: [u8; 16],
    read_len: usize,
    data: Vec<u8>,
}

impl Command {
    /// Creates a command without data from the first bytes of its CDB; the other bytes are 0.
    fn new(name: &'static str, start: &[u8]) -> Command {
        let mut cdb = [0; 16];
        cdb[..start.len()].copy_from_slice(start);
        Command {
            name,
            cdb,
            read_len: 0,
            data: Vec::new(),
        }
    }

    fn reading(self, read_len: usize) -> Command {
        Command { read_len, ..self }
    }

    fn writing(self, data: Vec<u8>) -> Command {
        Command { data, ..self }
    }
}

fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        write!(text, "{byte:02x}").expect("writing to memory");
    }
    text
}

/// A session with the host, and the transcript of its commands.
struct Session {
    client: BlockingClient,
    transcript: Transcript,
}

impl Session {
    fn execute(&mut self, lun: u32, command: &Command) {
        let answer = self
            .client
            .execute(lun, &command.cdb, command.read_len, command.data.clone())
            .expect("the host answers");
        let sense = answer
            .sense
            .map_or("none".to_owned(), |sense| hex(&sense.to_fixed_format()));
        let text = format!(
            "status {} sense {sense} retry after {} data {}",
            answer.status,
            answer.retry_after.map_or(0, NonZeroU16::get),
            hex(&answer.data)
        );
        self.transcript
            .add(&format!("{}, LUN {lun}:", command.name), &text);
    }
}

/// Returns a configuration with a volume on a node and a mapped volume.
fn configuration(address: impl Fn(u8) -> SocketAddr, control: &Path) -> String {
    format!(
        "host gw0\n  listen {}\n  target iqn.t:gateway\n  control \"{}\"\n  node-list static\n  window 32\n  \
         connections 40\n  longest 64KiB\n  seed 1\nfleet\n  hosts 1\n  unit 4KiB\n  mean-units 1\n  largest-units 16\n  \
         submits 2\ncatalog\n  listen {}\n  store \"tree\"\n  extent 64\n  copies all\nplan free\ngroup all\n  \
         effect idempotent\n  goal 50ms\n  hard-limit 200ms\nvolume a\n  lun 0\n  plan free\n  blocks 256\n  \
         block-size 512B\n  hosts 1\n  extent 0 256 node0 at 0\n  rule any all\nvolume b\n  lun 2\n  plan free\n  \
         blocks 64\n  block-size 4KiB\n  hosts 1\n  mapped\n  rule any all\nnode node0\n  address {}\n  \
         target iqn.t:node0\n",
        address(0),
        control.display(),
        address(1),
        address(2),
    )
}

/// Returns commands that query the identity and state of a logical unit.
fn queries() -> Vec<Command> {
    vec![
        Command::new("test unit ready", &[0x00]),
        Command::new("request sense", &[0x03, 0, 0, 0, 18]).reading(18),
        Command::new("inquiry", &[0x12, 0, 0, 0, 96]).reading(96),
        Command::new("inquiry page 0", &[0x12, 1, 0, 0, 96]).reading(96),
        Command::new("inquiry page 83", &[0x12, 1, 0x83, 0, 96]).reading(96),
        Command::new("inquiry page b0", &[0x12, 1, 0xb0, 0, 96]).reading(96),
        Command::new("inquiry page ff", &[0x12, 1, 0xff, 0, 96]).reading(96),
        Command::new("read capacity 10", &[0x25]).reading(8),
        Command::new(
            "read capacity 16",
            &[0x9e, 0x10, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 32],
        )
        .reading(32),
        Command::new("mode sense 6", &[0x1a, 0, 0x3f, 0, 64]).reading(64),
        Command::new("mode sense 10", &[0x5a, 0, 0x08, 0, 0, 0, 0, 0, 64]).reading(64),
        Command::new("report luns", &[0xa0, 0, 0, 0, 0, 0, 0, 0, 0, 64]).reading(64),
    ]
}

/// Returns commands for the cache and for allocation, and an unknown command.
fn other_commands() -> Vec<Command> {
    vec![
        Command::new("synchronize cache", &[0x35]),
        Command::new(
            "synchronize cache past the end",
            &[0x35, 0, 0, 0, 1, 1, 0, 0, 1],
        ),
        Command::new("unmap", &[0x42, 0, 0, 0, 0, 0, 0, 0, 8])
            .writing(vec![0, 6, 0, 0, 0, 0, 0, 0]),
        Command::new(
            "get lba status",
            &[0x9e, 0x12, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 32],
        )
        .reading(32),
        Command::new("unknown", &[0xff]),
    ]
}

/// Returns reads and writes that the host answers without a node.
fn transfers_without_a_node(lun: u32) -> Vec<Command> {
    vec![
        Command::new("read of nothing", &read_or_write_16(false, 0, 0, 0)),
        Command::new("read past the end", &read_or_write_16(false, 255, 2, 0)).reading(8192),
        Command::new("read without room", &read_or_write_16(false, 0, 2, 0)).reading(512),
        Command::new(
            "read that is too long",
            &read_or_write_16(false, 0, if lun == 0 { 256 } else { 64 }, 0),
        )
        .reading(1 << 20),
        Command::new("write without its data", &read_or_write_16(true, 0, 2, 0))
            .writing(vec![0; 512]),
    ]
}

#[test]
fn answers_to_commands_match_the_fixture() {
    let address = addresses();
    let directory = tempfile::tempdir().expect("a temporary directory can be created");
    let (conf, control) = (
        directory.path().join("conf"),
        directory.path().join("control.sock"),
    );
    fs::write(&conf, configuration(&address, &control)).expect("the file can be written");
    let _process = Process::start(&[
        "run",
        conf.to_str().expect("the path is UTF-8"),
        "--log",
        "error",
    ]);
    wait_for_control(&control);
    let mut session = Session {
        client: BlockingClient::open(address(0), Some("iqn.t:gateway"), 1)
            .expect("the login succeeds"),
        transcript: Transcript::default(),
    };
    for lun in [0, 2, 9] {
        let commands = [queries(), other_commands(), transfers_without_a_node(lun)];
        for command in commands.iter().flatten() {
            session.execute(lun, command);
        }
    }
    session.execute(
        0,
        &Command::new("read, node away", &read_or_write_16(false, 0, 2, 0)).reading(1024),
    );
    session.execute(
        0,
        &Command::new("write, node away", &read_or_write_16(true, 0, 2, 0)).writing(vec![0; 1024]),
    );
    session.execute(
        2,
        &Command::new("read, catalog away", &read_or_write_16(false, 0, 2, 0)).reading(8192),
    );
    assert_pinned("scsi-answers.txt", session.transcript.text());
}
