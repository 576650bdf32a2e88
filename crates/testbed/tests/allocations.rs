//! The ordinary path allocates nothing beyond data buffers: counted on the host's own thread.
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_audit::trace::Trace;
use mallowseam_control_protocol::send_request;
use mallowseam_iscsi::scsi::{self, status};
use mallowseam_stand_ins::node::Node;
use mallowseam_testbed::blocking_client::BlockingClient;
use std::net::SocketAddr;
use std::time::Duration;

/// Runs a host on a thread of its own for this many reads or writes; the number of allocations of that thread.
fn allocations(run: u8, write: bool, ios: u64) -> u64 {
    let pid = std::process::id();
    let address = |n| SocketAddr::from(([127, 252, pid as u8, run * 4 + n], 3260));
    let model = ServiceModel::warm(8, 0.0, 64);
    let _node =
        Node::start(0, address(1), "iqn.t:node0", model, Trace::disabled(), 1).expect("a node");
    let dir = tempfile::tempdir().expect("a directory");
    let control = dir.path().join("sock");
    let text = format!(
        "host gw0\n  listen {}\n  target iqn.t:g\n  control \"{}\"\n  node-list static\n  window 8\n  \
         connections 4\n  longest 1MiB\n  seed 1\nfleet\n  hosts 1\n  unit 4KiB\n  mean-units 1\n  \
         largest-units 2\n  submits 3\nplan free\n  reserve 9999/s\ngroup all\n  effect idempotent\n  goal 1s\n  \
         hard-limit 8s\n  ordered\nvolume a\n  lun 0\n  plan free\n  blocks 64\n  block-size 512B\n  hosts 1\n  \
         extent 0 64 node0 at 0\n  rule any all key 8\nnode node0\n  address {}\n  target iqn.t:node0\n",
        address(0),
        control.display(),
        address(1)
    );
    let site = mallowseam_settings::parse("conf", &text).expect("sound");
    let host = std::thread::spawn(move || {
        let counted =
            allocation_counter::measure(|| mallowseam_iscsi_host::run(site).expect("a run"));
        counted.count_total
    });
    let mut client = loop {
        match BlockingClient::open(address(0), Some("iqn.t:g"), 1) {
            Ok(client) => break client,
            Err(_) => std::thread::sleep(Duration::from_millis(10)),
        }
    };
    for i in 0..ios {
        let (room, data) = if write {
            (0, vec![1; 4096])
        } else {
            (4096, vec![])
        };
        let answer = client
            .execute(
                0,
                &scsi::read_or_write_16(write, i % 8 * 8, 8, 0),
                room,
                data,
            )
            .expect("an answer");
        assert_eq!(answer.status, status::GOOD);
    }
    client.conn.send_logout_request();
    client.flush().expect("sent");
    send_request(&control, "stop").expect("told");
    host.join().expect("a host")
}

#[test]
fn block_io_allocates_its_data_buffers_only() {
    // A read: the buffer that takes its data. A write: the same, and the reference count of it.
    // Collections that grow do so ever more seldom.
    for (run, write, most) in [(1, false, 1.05), (3, true, 2.05)] {
        let few = allocations(run, write, 2_000);
        let many = allocations(run + 1, write, 12_000);
        let each = many.saturating_sub(few) as f64 / 10_000.0;
        println!("write {write}: {each:.4} allocations a block I/O");
        assert!(each < most, "write {write}: {each} allocations a block I/O");
    }
}
