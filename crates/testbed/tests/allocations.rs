//! Memory allocations of a block I/O, counted on the host's thread. Guards against a change that allocates more on the
//! path of every block I/O than the buffer for its data.
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_audit::trace::Trace;
use mallowseam_control_protocol::send_request;
use mallowseam_iscsi::scsi::{self, status};
use mallowseam_stand_ins::node::Node;
use mallowseam_testbed::blocking_client::BlockingClient;
use std::net::SocketAddr;
use std::time::Duration;

/// Runs a host on a separate thread, performs `ios` reads or writes through it, and returns the number of allocations
/// on that thread.
fn allocations(run: u8, write: bool, ios: u64) -> u64 {
    let pid = std::process::id();
    let address = |n| SocketAddr::from(([127, 252, pid as u8, run * 4 + n], 3260));
    let model = ServiceModel::warm(8, 0.0, 64);
    let _node = Node::start(0, address(1), "iqn.t:node0", model, Trace::disabled(), 1)
        .expect("cannot start the stand-in node");
    let dir = tempfile::tempdir().expect("cannot create a temporary directory");
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
    let site = mallowseam_settings::parse("conf", &text).expect("invalid configuration");
    let host = std::thread::spawn(move || {
        let counted =
            allocation_counter::measure(|| mallowseam_iscsi_host::run(site).expect("host failed"));
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
            .expect("no answer to the request");
        assert_eq!(answer.status, status::GOOD);
    }
    client.conn.send_logout_request();
    client.flush().expect("cannot send to the host");
    send_request(&control, "stop").expect("cannot stop the host");
    host.join().expect("host thread panicked")
}

#[test]
fn block_io_allocates_its_data_buffers_only() {
    // A read allocates the buffer for its data; a write also allocates the buffer's reference count. The rest is the
    // growth of collections, which becomes rarer as they grow.
    for (run, write, limit) in [(1, false, 1.05), (3, true, 2.05)] {
        let baseline = allocations(run, write, 2_000);
        let total = allocations(run + 1, write, 12_000);
        let each = total.saturating_sub(baseline) as f64 / 10_000.0;
        println!("write {write}: {each:.4} allocations per block I/O");
        assert!(
            each < limit,
            "write {write}: {each} allocations per block I/O"
        );
    }
}
