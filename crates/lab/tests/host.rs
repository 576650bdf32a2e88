//! One host process between one client and one stand-in node.
use mallowseam_gateway::{Status, send_request};
use mallowseam_iscsi::frame::SendBuffer;
use mallowseam_iscsi::initiator::{InitiatorConnection, InitiatorEvent};
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::pdu::{Bhs, flag, opcode};
use mallowseam_iscsi::scsi::{self, Sense, status};
use mallowseam_lab::block;
use mallowseam_lab::blocking_client::BlockingClient;
use mallowseam_lab::node::{Model, Node, NodeFault};
use mallowseam_lab::trace::Trace;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

const TARGET: &str = "iqn.t:gateway";
const BLOCKS: u64 = 16384;

struct Rig {
    dir: tempfile::TempDir,
    host: Child,
    at: SocketAddr,
    nodes: Vec<Node>,
}

fn lab(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mallowseam-lab"));
    command.arg("host").args(args).stdin(Stdio::null());
    command
}

impl Rig {
    /// Two nodes, each with half of every volume; work of a unit in microseconds.
    fn new(work: f64) -> Rig {
        Rig::with(work, |_, conf| conf)
    }

    /// The same with another configuration, made of the usual one; the path is the rig's directory.
    fn with(work: f64, change: impl Fn(&std::path::Path, String) -> String) -> Rig {
        static NEXT: AtomicU8 = AtomicU8::new(1);
        let (pid, run) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let address =
            |n| SocketAddr::from(([127, 220 + (pid >> 8) as u8 % 30, pid as u8, run * 4 + n], 3260));
        let model = Model::quick(8, work, 64);
        let node = |n: u8| {
            let target = format!("iqn.t:node{n}");
            Node::start(n.into(), address(1 + n), &target, model.clone(), Trace::disabled(), 1)
                .expect("a node")
        };
        let dir = tempfile::tempdir().expect("a directory");
        let text = format!(
            "host gw0\n  listen {}\n  target {TARGET}\n  control \"{}\"\n  node-list static\n  window 64\n  \
             connections 40\n  longest 1MiB\n  seed 1\nfleet\n  hosts 1\n  unit 4KiB\n  mean-units 2\n  \
             largest-units 256\n  submits 3\n  come-back 500ms\n  order-rest 200ms\nplan free\n  reserve 9999/s\n\
             group read\n  effect idempotent\n  goal 1s\n  hard-limit 8s\ngroup post\n  \
             effect side-effecting\n  goal 500ms\n  hard-limit 1s\n  ordered\nvolume a\n  lun 0\n  plan free\n  \
             blocks {BLOCKS}\n  block-size 512B\n  hosts 1\n  extent 0 8000 node0 at 100\n  \
             extent 8000 8384 node1 at 0\n  rule read read\n  rule write post key 8\nvolume b\n  lun 7\n  \
             plan free\n  blocks 64\n  block-size 512B\n  hosts 1\n  extent 0 64 node1 at 9000\n  \
             rule any read\nnode node0\n  address {}\n  target iqn.t:node0\nnode node1\n  address {}\n  \
             target iqn.t:node1\n",
            address(0),
            dir.path().join("sock").display(),
            address(1),
            address(2)
        );
        std::fs::write(dir.path().join("conf"), change(dir.path(), text)).expect("a file");
        let host = start(&dir);
        Rig { at: address(0), host, nodes: vec![node(0), node(1)], dir }
    }

    fn control(&self) -> std::path::PathBuf {
        self.dir.path().join("sock")
    }

    fn status(&self) -> Status {
        Status::from_json(&send_request(&self.control(), "status").expect("a status")).expect("sound")
    }

    fn client(&self, n: u32) -> BlockingClient {
        BlockingClient::open(self.at, Some(TARGET), n).expect("a login")
    }

    /// Asks until what is told fits; a host takes a moment for what came in on another socket.
    fn wait_for(&self, what: &str, fits: impl Fn(&Status) -> bool) -> Status {
        let began = Instant::now();
        loop {
            let status = self.status();
            if fits(&status) {
                return status;
            }
            assert!(began.elapsed() < Duration::from_secs(10), "{what}: {status:?}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn end(&mut self) -> std::process::ExitStatus {
        let began = Instant::now();
        loop {
            if let Some(status) = self.host.try_wait().expect("a child") {
                return status;
            }
            assert!(began.elapsed() < Duration::from_secs(15), "the host does not end");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = self.host.kill();
        let _ = self.host.wait();
    }
}

fn start(dir: &tempfile::TempDir) -> Child {
    let file = dir.path().join("conf").display().to_string();
    let child = lab(&["run", "--log", "error", &file]).stderr(Stdio::null()).spawn().expect("a host");
    let began = Instant::now();
    while send_request(&dir.path().join("sock"), "status").is_err() {
        assert!(began.elapsed() < Duration::from_secs(10), "the host does not start");
        std::thread::sleep(Duration::from_millis(10));
    }
    child
}

fn write(client: &mut BlockingClient, id: u64, lba: u64, blocks: u32) -> u8 {
    let cdb = scsi::read_or_write_16(true, lba, blocks, 0);
    client.execute(0, &cdb, 0, block::write(id, lba, blocks)).expect("an answer").status
}

fn read(client: &mut BlockingClient, lba: u64, blocks: u32) -> Vec<Option<u64>> {
    let room = blocks as usize * 512;
    let answer =
        client.execute(0, &scsi::read_or_write_16(false, lba, blocks, 0), room, vec![]).expect("an answer");
    assert_eq!(answer.status, status::GOOD);
    let shown = answer.data.chunks(512).enumerate();
    shown.map(|(i, b)| block::read(b, lba + i as u64)).collect()
}

#[test]
fn what_is_written_across_nodes_keys_and_bursts_reads_back() {
    let rig = Rig::new(10.0);
    let mut client = rig.client(1);
    // 512 KiB across the border of two nodes: immediate data, unsolicited data and R2Ts.
    assert_eq!(write(&mut client, 5, 7_500, 1_024), status::GOOD);
    assert_eq!(write(&mut client, 6, 7_997, 6), status::GOOD);
    let shown = read(&mut client, 7_400, 1_200);
    for (i, id) in shown.iter().enumerate() {
        let lba = 7_400 + i as u64;
        let wanted = match lba {
            7_997..8_003 => 6,
            7_500..8_524 => 5,
            _ => 0,
        };
        assert_eq!(*id, Some(wanted), "block {lba}");
    }
}

#[test]
fn a_client_learns_what_units_there_are_and_what_they_hold() {
    let rig = Rig::new(10.0);
    let mut found = BlockingClient::open(rig.at, None, 1).expect("discovery");
    found.conn.send_text_request(b"SendTargets=All\0");
    let Ok(InitiatorEvent::TextResponse(text)) = found.next_event() else { panic!("a list of targets") };
    assert!(String::from_utf8_lossy(&text).starts_with(&format!("TargetName={TARGET}\0")));

    let mut client = rig.client(1);
    let mut cdb = [0; 16];
    (cdb[0], cdb[9]) = (0xa0, 64);
    let luns = client.execute(0, &cdb, 64, vec![]).expect("luns").data;
    assert_eq!((luns.len(), luns[3], luns[9], luns[17]), (24, 16, 0, 7));
    let mut cdb = [0; 16];
    (cdb[0], cdb[1], cdb[13]) = (0x9e, 0x10, 32);
    let capacity = client.execute(0, &cdb, 32, vec![]).expect("capacity").data;
    assert_eq!(capacity[..8], (BLOCKS - 1).to_be_bytes());
    let mut cdb = [0; 16];
    (cdb[0], cdb[4]) = (0x12, 36);
    assert_eq!(client.execute(0, &cdb, 36, vec![]).expect("inquiry").data[0], 0);
    assert_eq!(client.execute(3, &cdb, 36, vec![]).expect("no unit").data[0], 0x7f);
}

#[test]
fn what_cannot_be_served_is_refused_with_its_reason_and_costs_nothing() {
    let rig = Rig::new(10.0);
    let mut client = rig.client(1);
    let mut refused = |lun, cdb: [u8; 16], room, data| {
        let answer = client.execute(lun, &cdb, room, data).expect("an answer");
        assert_eq!(answer.status, status::CHECK_CONDITION);
        answer.sense.expect("sense")
    };
    assert_eq!(refused(0, scsi::read_or_write_16(false, BLOCKS, 1, 0), 512, vec![]), Sense::LBA_OUT_OF_RANGE);
    assert_eq!(
        refused(0, scsi::read_or_write_16(false, u64::MAX, 2, 0), 1024, vec![]),
        Sense::LBA_OUT_OF_RANGE
    );
    assert_eq!(
        refused(3, scsi::read_or_write_16(false, 0, 1, 0), 512, vec![]),
        Sense::LOGICAL_UNIT_NOT_SUPPORTED
    );
    assert_eq!(
        refused(0, scsi::read_or_write_16(false, 0, 4096, 0), 2 << 20, vec![]),
        Sense::INVALID_FIELD_IN_CDB
    );
    assert_eq!(
        refused(0, scsi::read_or_write_16(true, 0, 2, 0), 0, vec![1; 512]),
        Sense::INVALID_FIELD_IN_CDB
    );
    assert_eq!(refused(0, [0xfe; 16], 0, vec![]), Sense::INVALID_OPERATION_CODE);
    assert_eq!(rig.status().commands.admitted, 0);
}

#[test]
fn a_post_at_a_silent_node_fails_before_its_hard_limit_and_a_read_elsewhere_is_served() {
    let rig = Rig::new(10.0);
    let mut client = rig.client(1);
    assert_eq!(write(&mut client, 1, 0, 8), status::GOOD);
    rig.nodes[0].inject(NodeFault::Silent(true));
    let began = Instant::now();
    let cdb = scsi::read_or_write_16(true, 0, 8, 0);
    let answer = client.execute(0, &cdb, 0, block::write(2, 0, 8)).expect("an answer");
    assert_eq!((answer.status, answer.sense), (status::CHECK_CONDITION, Some(Sense::COMMUNICATION_TIMEOUT)));
    assert!(began.elapsed() < Duration::from_millis(1_250), "{:?}", began.elapsed());
    assert_eq!(read(&mut client, 9_000, 4), [Some(0); 4]);
    let status = rig.status();
    assert_eq!(status.nodes[0].attempts, 2, "the post was sent once");
}

#[test]
fn a_host_whose_first_wake_up_falls_into_its_start_goes_on_waking() {
    // By this seed the first wake-up is due at once, and to read so long a kept list takes far longer.
    let rig = Rig::with(10.0, |dir, conf| {
        let names = (0..2).map(|n| format!("node{n}")).chain((0..4_000).map(|n| format!("other{n}")));
        let lines: String = names.map(|name| format!("node {name} active 0 10\n")).collect();
        let kept = dir.join("kept");
        std::fs::write(&kept, format!("kept 4002\n{lines}end\n")).expect("a file");
        let service = format!("node-list 127.0.0.1:9\n  kept-list \"{}\"", kept.display());
        conf.replace("node-list static", &service).replace("seed 1\n", "seed 3879\n")
    });
    rig.nodes[0].inject(NodeFault::Silent(true));
    let mut client = rig.client(1);
    for id in 1..40 {
        client.conn.send_command(id, 0, &scsi::read_or_write_16(false, 0, 8, 0), 4096, vec![].into());
    }
    client.flush().expect("sent");
    let began = Instant::now();
    // What is held for the silent node is given up at its goal of 1 s, by a wake-up and by nothing else.
    for _ in 1..40 {
        let Ok(InitiatorEvent::CommandCompleted { status: code, .. }) = client.next_event() else {
            panic!("an answer")
        };
        assert_ne!(code, status::GOOD);
    }
    assert!(began.elapsed() < Duration::from_secs(4), "{:?}", began.elapsed());
}

#[test]
fn a_read_moves_on_when_its_connection_resets() {
    let rig = Rig::new(100_000.0);
    let mut client = rig.client(1);
    client.conn.send_command(1, 0, &scsi::read_or_write_16(false, 0, 8, 0), 4096, vec![].into());
    client.flush().expect("sent");
    rig.wait_for("the read is out", |s| s.nodes[0].attempts == 1 && s.nodes[0].connected);
    rig.nodes[0].inject(NodeFault::Reset);
    let Ok(InitiatorEvent::CommandCompleted { status: code, .. }) = client.next_event() else {
        panic!("an answer")
    };
    assert_eq!(code, status::GOOD);
    assert_eq!(rig.status().nodes[0].reset, 1);
}

#[test]
fn a_client_that_stops_reading_holds_up_nobody_and_loses_nothing() {
    let rig = Rig::new(10.0);
    let mut deaf = rig.client(1);
    let mut other = rig.client(2);
    for tag in 0..48 {
        assert!(deaf.conn.send_command(
            tag,
            0,
            &scsi::read_or_write_16(false, 0, 2048, 0),
            1 << 20,
            vec![].into()
        ));
    }
    deaf.flush().expect("sent");
    let full = rig.wait_for("buffers fill", |s| s.buffer_bytes > 8 << 20);
    // What one connection may hold: its window of the longest reads.
    assert!(full.buffer_bytes < 80 << 20, "{}", full.buffer_bytes);
    for _ in 0..50 {
        assert_eq!(read(&mut other, 9_000, 8), [Some(0); 8]);
    }
    let mut whole = 0;
    while whole < 48 {
        if let InitiatorEvent::CommandCompleted { status: code, data, .. } =
            deaf.next_event().expect("an answer")
        {
            assert_eq!((code, data.len()), (status::GOOD, 1 << 20));
            whole += 1;
        }
    }
    rig.wait_for("buffers are given back", |s| s.buffer_bytes < 1 << 20);
}

#[test]
fn malformed_pdus_end_their_own_connection_and_no_other() {
    let rig = Rig::new(10.0);
    let mut other = rig.client(1);
    let longest = Bhs::new(opcode::SCSI_COMMAND, flag::FINAL | flag::WRITE);
    let write = Bhs::new(opcode::SCSI_COMMAND, flag::FINAL | flag::WRITE)
        .with_cdb(&scsi::read_or_write_16(true, 0, 8, 0));
    let corpus: Vec<(&str, Bhs, usize)> = vec![
        ("a login after login", Bhs::new(opcode::LOGIN_REQUEST, 0x87), 0),
        ("a target's opcode", Bhs::new(opcode::SCSI_RESPONSE, flag::FINAL), 0),
        ("an opcode that is none", Bhs::new(0x3b, flag::FINAL), 0),
        ("a command far ahead", write.with_cmd_sn(3).with_itt(9).with_expected_data_len(4096), 0),
        ("the reserved tag", write.with_itt(0xffff_ffff).with_expected_data_len(4096), 4096),
        ("more immediate data than the write", write.with_expected_data_len(512), 4096),
        ("data nobody asked for", write.with_expected_data_len(1 << 19), 100_000),
        ("a write past the longest", longest.with_expected_data_len(64 << 20).with_byte(1, flag::WRITE), 0),
        ("a segment past the agreed length", write.with_expected_data_len(1 << 20), 600_000),
        ("a text that is none", Bhs::new(opcode::TEXT_REQUEST, flag::FINAL), 64),
    ];
    for (i, (what, bhs, len)) in corpus.into_iter().enumerate() {
        let mut client = rig.client(100 + i as u32);
        let mut out = SendBuffer::default();
        let bhs = if bhs.cmd_sn() == 0 { bhs.with_cmd_sn(1) } else { bhs };
        out.push(bhs, &vec![0xff; len]);
        let _ = client.socket.write_all(out.unsent());
        let mut rest = Vec::new();
        let closed = client.socket.read_to_end(&mut rest);
        assert!(
            closed.is_ok() || closed.is_err_and(|e| e.kind() != std::io::ErrorKind::WouldBlock),
            "{what}"
        );
        assert_eq!(read(&mut other, 0, 8), [Some(0); 8], "{what}");
    }
    // What has an answer of its own is rejected, and the connection goes on.
    let mut client = rig.client(200);
    let mut out = SendBuffer::default();
    out.push(Bhs::new(opcode::SNACK, flag::FINAL), &[]);
    client.socket.write_all(out.unsent()).expect("sent");
    let mut answer = [0; 96];
    client.socket.read_exact(&mut answer).expect("a Reject");
    assert_eq!((answer[0], answer[2]), (opcode::REJECT, 0x05));
}

#[test]
fn half_a_login_is_ended_and_the_same_client_again_takes_over() {
    let rig = Rig::new(10.0);
    let mut half = TcpStream::connect(rig.at).expect("a connection");
    let mut conn = InitiatorConnection::new("iqn.half", Some(TARGET), [0; 6], &ProposedParams::default());
    let bytes = conn.send_buffer().unsent();
    half.write_all(&bytes[..bytes.len() / 2]).expect("sent");
    half.set_read_timeout(Some(Duration::from_secs(12))).expect("a socket");
    let mut first = rig.client(1);
    let mut second = rig.client(1);
    assert_eq!(read(&mut second, 0, 1), [Some(0)]);
    assert!(first.next_event().is_err(), "the old connection is closed");
    assert_eq!(half.read(&mut [0; 8]).expect("closed"), 0);
}

#[test]
fn a_drained_host_lets_nobody_in_and_ends_what_is_in_hand() {
    let mut rig = Rig::new(400_000.0);
    let mut client = rig.client(1);
    client.conn.send_command(1, 0, &scsi::read_or_write_16(false, 0, 8, 0), 4096, vec![].into());
    client.flush().expect("sent");
    rig.wait_for("the read is out", |s| s.nodes[0].attempts == 1);
    assert_eq!(send_request(&rig.control(), "drain").expect("told"), "draining");
    let refused = BlockingClient::open(rig.at, Some(TARGET), 2).err().expect("refused");
    assert!(refused.to_string().contains("0301"), "{refused}");
    assert_eq!(send_request(&rig.control(), "undrain").expect("told"), "open");
    rig.client(3);
    kill(Pid::from_raw(rig.host.id() as i32), Signal::SIGTERM).expect("a signal");
    let mut answered = false;
    loop {
        match client.next_event() {
            Ok(InitiatorEvent::CommandCompleted { status: code, .. }) => answered = code == status::GOOD,
            Ok(InitiatorEvent::LogoutRequested) if answered => client.conn.send_logout_request(),
            Ok(InitiatorEvent::LogoutRequested | InitiatorEvent::LoggedOut) => {}
            Ok(other) => panic!("{other:?}"),
            Err(_) => break,
        }
        if answered {
            client.conn.send_logout_request();
            let _ = client.flush();
        }
    }
    assert!(answered, "what was in hand ended");
    assert!(rig.end().success());
    assert!(!rig.control().exists(), "the control socket is gone");
}

#[test]
fn a_host_that_was_killed_starts_again_and_a_second_one_beside_it_does_not() {
    let mut rig = Rig::new(10.0);
    let mut client = rig.client(1);
    assert_eq!(write(&mut client, 4, 0, 8), status::GOOD);
    let file = rig.dir.path().join("conf").display().to_string();
    let second = lab(&["run", &file]).output().expect("a run");
    assert_eq!(second.status.code(), Some(1), "{second:?}");
    rig.host.kill().expect("a child");
    rig.host.wait().expect("a child");
    rig.host = start(&rig.dir);
    assert_eq!(read(&mut rig.client(1), 0, 8), [Some(4); 8]);
}

#[test]
fn the_command_line_says_what_is_wrong_and_with_which_code() {
    let dir = tempfile::tempdir().expect("a directory");
    let file = dir.path().join("conf");
    std::fs::write(&file, "host gw0\n  listen nowhere\n  windows 3\n").expect("a file");
    let path = file.display().to_string();
    let run = |args: &[&str]| -> Output { lab(args).output().expect("a run") };
    let text = |o: &Output| String::from_utf8_lossy(&o.stderr).into_owned();
    for what in ["check", "run"] {
        let bad = run(&[what, &path]);
        assert_eq!(bad.status.code(), Some(2));
        assert!(text(&bad).contains("conf:2:10: expected an address and port"), "{}", text(&bad));
        assert!(text(&bad).contains("conf:3:3: expected a directive of section `host`"), "{}", text(&bad));
    }
    let missing = run(&["status", "--control", "/nonexistent/sock"]);
    assert_eq!(missing.status.code(), Some(1));
    assert_eq!(run(&["status"]).status.code(), Some(2));
    let rig = Rig::new(10.0);
    let path = rig.dir.path().join("conf").display().to_string();
    let status = run(&["status", &path]);
    let shown = String::from_utf8_lossy(&status.stdout).into_owned();
    assert!(status.status.success() && shown.contains("node1"), "{shown}");
}

#[test]
fn changed_plans_are_taken_up_while_clients_go_on_and_all_else_is_refused() {
    let rig = Rig::new(50.0);
    let mut client = rig.client(0);
    assert_eq!(write(&mut client, 1, 0, 8), status::GOOD);
    let file = rig.dir.path().join("conf");
    let text = std::fs::read_to_string(&file).expect("there");
    let reload = || {
        let out = lab(&["reload", &file.display().to_string()]).output().expect("a run");
        (out.status.success(), String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned())
    };
    assert_eq!(reload(), (true, "nothing is different\n".into()));
    let tight = "plan free\n  reserve 1/s\n  weight 4\n  limit 1/s burst 8\n";
    std::fs::write(&file, text.replace("plan free\n  reserve 9999/s\n", tight)).expect("a file");
    let (done, told) = reload();
    assert!(done && told.contains("plan free: reserve 1 instead of 9999, limit 1"), "{told}");
    let plan = &rig.status().plans[0];
    assert_eq!((plan.reserve, plan.limit, plan.weight), (1.0, 1.0, 4.0));
    // A unit a second from an empty store, while each of twenty in a row waits for half a second at most.
    let shed = (0..20).filter(|i| write(&mut client, 2 + i, 8 * i, 8) == status::BUSY).count();
    assert!((10..=17).contains(&shed), "{shed} of 20");
    std::fs::write(&file, text.replace("longest 1MiB", "longest 2MiB").replace("9999/s", "5/s"))
        .expect("a file");
    let (done, told) = reload();
    assert!(!done && told.contains("section host: differs"), "{told}");
    assert_eq!(rig.status().plans[0].reserve, 1.0, "nothing was taken up");
    std::fs::write(&file, &text).expect("a file");
    assert!(reload().0);
    assert!((0..20).all(|i| write(&mut client, 50 + i, 8 * i, 8) == status::GOOD));
}

#[test]
fn what_clients_ask_is_recorded_and_answers_are_held_against_it() {
    let rig = Rig::new(50.0);
    let file = rig.dir.path().join("conf").display().to_string();
    let recorder = lab(&["demand", &file, "--every", "1", "--count", "2"]).stdout(Stdio::piped()).spawn();
    let recorder = recorder.expect("a run");
    let mut client = rig.client(0);
    let began = Instant::now();
    let mut id = 0;
    while began.elapsed() < Duration::from_millis(2_500) {
        id += 1;
        assert_eq!(write(&mut client, id, 0, 8), status::GOOD);
        std::thread::sleep(Duration::from_millis(2));
    }
    let out = recorder.wait_with_output().expect("it ends");
    let record = String::from_utf8_lossy(&out.stdout).into_owned();
    let asked = record
        .lines()
        .filter(|l| l.contains(" a asked "))
        .filter_map(|l| l.split(' ').nth(4)?.trim_end_matches("/s").parse::<f64>().ok());
    let asked: Vec<f64> = asked.collect();
    assert!(asked.len() == 2 && asked.iter().all(|a| *a > 10.0), "{record}");
    let put = |name: &str, text: &str| {
        let path = rig.dir.path().join(name);
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    };
    let problem =
        put("p", "node n\n  capacity 5/s\nnode m\n  capacity 1000/s\nvolume a\n  reserve 1/s\nvolume b\n");
    let (worse, better) = (put("one", "place a n\nplace b m\n"), put("two", "place a m\nplace b n\n"));
    let record = put("log", &record);
    let out = lab(&["shares", "replay", &problem, &record, &worse, &better]).output().expect("a run");
    let told = String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned();
    let best: Vec<&str> = told.lines().skip(1).take(2).filter_map(|l| l.split_whitespace().last()).collect();
    assert_eq!(best, ["0", "2"], "{told}");
}

#[test]
fn two_hosts_see_each_other_in_the_view_of_their_fleet_and_one_that_ends_as_leaving_and_left() {
    use mallowseam_fleet::MemberState;
    use mallowseam_fleet_udp::query_membership;
    let place = |n: u8| SocketAddr::from(([127, 219, std::process::id() as u8, n], 7000));
    let with = |n: u8| {
        Rig::with(10.0, |_, conf| {
            let line =
                format!("  fleet south listen {} seed {} zone z{n} period 100ms\n", place(n), place(3 - n));
            conf.replacen("host gw0\n", &format!("host gw{n}\n{line}"), 1)
        })
    };
    let (one, mut other) = (with(1), with(2));
    let sees = |n: u8, name: &str, state: MemberState| {
        let began = Instant::now();
        loop {
            let seen = query_membership(place(n)).ok();
            let seen = seen.and_then(|v| v.members.iter().find(|m| m.record.name == name).map(|m| m.state));
            if seen == Some(state) {
                return began.elapsed();
            }
            assert!(began.elapsed() < Duration::from_secs(10), "{n} has {name} as {seen:?}, not {state:?}");
        }
    };
    sees(1, "gw2", MemberState::Alive);
    sees(2, "gw1", MemberState::Alive);
    let _client = other.client(1);
    kill(Pid::from_raw(other.host.id() as i32), Signal::SIGTERM).expect("a signal");
    assert!(sees(1, "gw2", MemberState::Leaving) < Duration::from_millis(650));
    kill(Pid::from_raw(other.host.id() as i32), Signal::SIGTERM).expect("a signal");
    assert!(other.end().success());
    sees(1, "gw2", MemberState::Left);
    let shown = |args: &[&str]| {
        let out = lab(args).output().expect("it runs");
        (out.status.success(), String::from_utf8_lossy(&out.stdout).into_owned())
    };
    let at = place(1).to_string();
    let (well, table) = shown(&["fleet", &at]);
    assert!(well && table.contains("gw2") && table.contains("left") && table.contains("1 alive"), "{table}");
    let (well, json) = shown(&["fleet", &at, "--json"]);
    let json: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert!(well && json["members"].as_array().is_some_and(|m| m.len() == 2), "{json}");
    assert!(shown(&["fleet", &at, &at, "--agree"]).0, "one agrees with itself");
    assert!(!shown(&["fleet", &place(2).to_string()]).0, "nobody is there");
    drop(one);
}
