//! Failures of nodes, hosts and the catalog. Guards against snapshots that miss writes, lost grants and lost writes
//! when one of them is silent, killed or full.
use crate::site::{EXTENT, Site, read_ids, write, write_good};
use mallowseam_iscsi::scsi::status;
use mallowseam_stand_ins::node::NodeFault;
use std::time::Duration;
use std::time::Instant;

#[test]
fn silent_node_fails_the_snapshot_and_a_later_one_succeeds() {
    let site = Site::new();
    let mut client = site.client(0);
    for extent in 0..8 {
        write_good(&mut client, 0, extent + 1, extent * EXTENT, 8);
    }
    let tree: serde_json::Value =
        serde_json::from_str(&site.request("tree").expect("no answer to the request"))
            .expect("invalid JSON");
    let node = tree["layers"]["1024"]["places"]["0"]["node"]
        .as_u64()
        .expect("extent 0 has no node") as usize;
    site.nodes[node].inject(NodeFault::Silent(true));
    let failed = site
        .request("snapshot a march")
        .expect_err("snapshot succeeded with a silent node");
    assert!(
        failed.contains(&format!("not closed in time by node{node}")),
        "{failed}"
    );
    assert!(
        !site
            .request("list")
            .expect("no answer to the request")
            .contains("march")
    );
    site.nodes[node].inject(NodeFault::Silent(false));
    let march = site.request_lun("snapshot a march");
    for extent in 0..8 {
        assert_eq!(
            read_ids(&mut client, march, extent * EXTENT, 8),
            [extent + 1; 8]
        );
        write_good(&mut client, 0, 100, extent * EXTENT, 8);
        assert_eq!(
            read_ids(&mut client, march, extent * EXTENT, 8),
            [extent + 1; 8]
        );
    }
}

#[test]
fn killed_catalog_interrupts_no_writes_and_remembers_its_grants() {
    let mut site = Site::new();
    let mut client = site.client(0);
    write_good(&mut client, 0, 1, 0, 8);
    let march = site.request_lun("snapshot a march");
    write_good(&mut client, 0, 2, 0, 8);
    site.kill_catalog();
    write_good(&mut client, 0, 3, 0, 8);
    assert_eq!(read_ids(&mut client, 0, 0, 8), [3; 8]);
    site.start_catalog();
    assert!(
        site.request("list")
            .expect("no answer to the request")
            .contains("a@march")
    );
    assert_eq!(read_ids(&mut client, march, 0, 8), [1; 8]);
    // A first write is shed until the leases of hosts that the restarted catalog cannot know of have expired.
    let april = site.request_lun("snapshot a april");
    loop {
        let answer = write(&mut client, 0, 4, 0, 8);
        if answer.status == status::GOOD {
            break;
        }
        assert_eq!(answer.status, status::BUSY);
    }
    assert_eq!(
        (
            read_ids(&mut client, april, 0, 8),
            read_ids(&mut client, 0, 0, 8)
        ),
        (vec![3; 8], vec![4; 8])
    );
}

#[test]
fn killed_host_blocks_others_no_longer_than_its_lease() {
    let mut site = Site::new();
    let (mut one, mut two) = (site.client(0), site.client(1));
    write_good(&mut two, 0, 1, 0, 8);
    write_good(&mut one, 0, 2, 64, 8);
    site.request_lun("snapshot a march");
    site.hosts[0].kill().expect("cannot kill the process");
    site.hosts[0].wait().expect("cannot wait for the process");
    let began = Instant::now();
    while write(&mut two, 0, 3, 0, 8).status != status::GOOD {
        assert!(
            began.elapsed() < Duration::from_secs(6),
            "{:?}",
            began.elapsed()
        );
    }
    assert_eq!(read_ids(&mut two, 0, 0, 8), [3; 8]);
}

#[test]
fn full_node_takes_no_extent_copies_and_loses_no_write() {
    let site = Site::new();
    let mut client = site.client(0);
    for extent in 0..6 {
        write_good(&mut client, 0, extent + 1, extent * EXTENT, 8);
    }
    site.request_lun("snapshot a march");
    site.nodes[2].inject(NodeFault::Full(true));
    for extent in 0..12 {
        let began = Instant::now();
        while write(&mut client, 0, extent + 50, extent * EXTENT, 8).status != status::GOOD {
            assert!(began.elapsed() < Duration::from_secs(10), "extent {extent}");
        }
    }
    for extent in 0..12 {
        assert_eq!(
            read_ids(&mut client, 0, extent * EXTENT, 8),
            [extent + 50; 8]
        );
    }
    let tree: serde_json::Value =
        serde_json::from_str(&site.request("tree").expect("no answer to the request"))
            .expect("invalid JSON");
    let placed = tree["layers"]["1025"]["places"]
        .as_object()
        .expect("layer has no locations")
        .clone();
    assert_eq!(placed.len(), 12);
    assert!(placed.values().all(|p| p["node"] != 2), "{placed:?}");
}
