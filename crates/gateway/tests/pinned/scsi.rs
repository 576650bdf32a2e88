//! What a host answers to SCSI commands without asking a node, and while no node can be reached.
use crate::harness::{Process, Transcript, addresses, assert_pinned, wait_for_control};
use mallowseam_gateway::blocking_client::BlockingClient;
use mallowseam_iscsi::scsi::read_or_write_16;
use std::fs;
use std::num::NonZeroU16;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn cdb(start: &[u8]) -> [u8; 16] {
    let mut cdb = [0; 16];
    cdb[..start.len()].copy_from_slice(start);
    cdb
}

#[test]
fn answers_to_commands_are_as_they_were() {
    let address = addresses();
    let directory = tempfile::tempdir().expect("a directory");
    let (conf, control) = (
        directory.path().join("conf"),
        directory.path().join("control.sock"),
    );
    let text = format!(
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
    );
    fs::write(&conf, text).expect("a file");
    let _process = Process::start(&["run", conf.to_str().expect("text"), "--log", "error"]);
    wait_for_control(&control);
    let mut client = BlockingClient::open(address(0), Some("iqn.t:gateway"), 1).expect("a login");
    let mut t = Transcript::default();
    let mut ask = |what: &str, lun: u32, cdb: [u8; 16], room: usize, data: Vec<u8>| {
        let answer = client.execute(lun, &cdb, room, data).expect("an answer");
        let sense = answer
            .sense
            .map_or("none".to_owned(), |sense| hex(&sense.to_fixed_format()));
        let text = format!(
            "status {} sense {sense} retry after {} data {}",
            answer.status,
            answer.retry_after.map_or(0, NonZeroU16::get),
            hex(&answer.data)
        );
        t.add(&format!("{what}, LUN {lun}:"), &text);
    };
    for lun in [0, 2, 9] {
        ask("test unit ready", lun, cdb(&[0x00]), 0, vec![]);
        ask("request sense", lun, cdb(&[0x03, 0, 0, 0, 18]), 18, vec![]);
        ask("inquiry", lun, cdb(&[0x12, 0, 0, 0, 96]), 96, vec![]);
        ask("inquiry page 0", lun, cdb(&[0x12, 1, 0, 0, 96]), 96, vec![]);
        ask(
            "inquiry page 83",
            lun,
            cdb(&[0x12, 1, 0x83, 0, 96]),
            96,
            vec![],
        );
        ask(
            "inquiry page b0",
            lun,
            cdb(&[0x12, 1, 0xb0, 0, 96]),
            96,
            vec![],
        );
        ask(
            "inquiry page ff",
            lun,
            cdb(&[0x12, 1, 0xff, 0, 96]),
            96,
            vec![],
        );
        ask("read capacity 10", lun, cdb(&[0x25]), 8, vec![]);
        ask(
            "read capacity 16",
            lun,
            cdb(&[0x9e, 0x10, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 32]),
            32,
            vec![],
        );
        ask(
            "mode sense 6",
            lun,
            cdb(&[0x1a, 0, 0x3f, 0, 64]),
            64,
            vec![],
        );
        ask(
            "mode sense 10",
            lun,
            cdb(&[0x5a, 0, 0x08, 0, 0, 0, 0, 0, 64]),
            64,
            vec![],
        );
        ask(
            "report luns",
            lun,
            cdb(&[0xa0, 0, 0, 0, 0, 0, 0, 0, 0, 64]),
            64,
            vec![],
        );
        ask("synchronize cache", lun, cdb(&[0x35]), 0, vec![]);
        ask(
            "synchronize cache past the end",
            lun,
            cdb(&[0x35, 0, 0, 0, 1, 1, 0, 0, 1]),
            0,
            vec![],
        );
        ask(
            "unmap",
            lun,
            cdb(&[0x42, 0, 0, 0, 0, 0, 0, 0, 8]),
            0,
            vec![0, 6, 0, 0, 0, 0, 0, 0],
        );
        ask(
            "get lba status",
            lun,
            cdb(&[0x9e, 0x12, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 32]),
            32,
            vec![],
        );
        ask("unknown", lun, cdb(&[0xff]), 0, vec![]);
        ask(
            "read of nothing",
            lun,
            read_or_write_16(false, 0, 0, 0),
            0,
            vec![],
        );
        ask(
            "read past the end",
            lun,
            read_or_write_16(false, 255, 2, 0),
            8192,
            vec![],
        );
        ask(
            "read without room",
            lun,
            read_or_write_16(false, 0, 2, 0),
            512,
            vec![],
        );
        ask(
            "read that is too long",
            lun,
            read_or_write_16(false, 0, if lun == 0 { 256 } else { 64 }, 0),
            1 << 20,
            vec![],
        );
        ask(
            "write without its data",
            lun,
            read_or_write_16(true, 0, 2, 0),
            0,
            vec![0; 512],
        );
    }
    ask(
        "read, node away",
        0,
        read_or_write_16(false, 0, 2, 0),
        1024,
        vec![],
    );
    ask(
        "write, node away",
        0,
        read_or_write_16(true, 0, 2, 0),
        0,
        vec![0; 1024],
    );
    ask(
        "read, catalog away",
        2,
        read_or_write_16(false, 0, 2, 0),
        8192,
        vec![],
    );
    assert_pinned("scsi-answers.txt", t.text());
}
