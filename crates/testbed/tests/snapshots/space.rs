//! Reclaim of deleted snapshots and clones, and `verify`. Guards against space that is never reclaimed, and against
//! leaked slots that `verify` does not find.
use crate::site::{EXTENT, Site, read_ids, write_good};
use mallowseam_iscsi::scsi;
use mallowseam_iscsi::scsi::status;
use mallowseam_testbed::blocking_client::BlockingClient;
use std::time::Duration;
use std::time::Instant;

#[test]
fn deleted_snapshots_and_clones_are_reclaimed() {
    let site = Site::new();
    let mut client = site.client(0);
    for round in 0..3 {
        for extent in 0..4 {
            write_good(&mut client, 0, 10 * round + extent + 1, extent * EXTENT, 8);
        }
        site.request_lun(&format!("snapshot a s{round}"));
    }
    write_good(&mut client, 0, 99, 0, 8);
    let clone = site.request_lun("clone a@s1 c");
    write_good(&mut client, clone, 50, 0, 8);
    assert_eq!(site.location_count(), 14);
    for name in ["a@s0", "a@s1", "c", "a@s2"] {
        site.request(&format!("delete {name}")).expect(name);
    }
    let began = Instant::now();
    // The four extents of the volume remain, one of them rewritten after the last snapshot.
    while site.location_count() != 4 {
        assert!(
            began.elapsed() < Duration::from_secs(20),
            "{} extent locations remain, expected 4",
            site.location_count()
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(read_ids(&mut client, 0, 0, 8), [99; 8]);
    assert_eq!(read_ids(&mut client, 0, 32, 8), [22; 8]);
}

#[test]
fn verify_counts_references_and_reclaims_leaked_slots() {
    let mut site = Site::new();
    let mut client = site.client(0);
    for extent in 0..6 {
        write_good(&mut client, 0, extent + 1, extent * EXTENT, 8);
    }
    site.request_lun("snapshot a march");
    write_good(&mut client, 0, 50, 0, 8);
    let (code, text) = site.run(&["verify"], &[]);
    assert!(
        code == 1 && !text.contains("places"),
        "verify ran beside a running catalog: {text}"
    );
    site.kill_catalog();
    let (code, text) = site.run(&["verify"], &[]);
    assert!(
        code == 0 && text.contains("places 7, of which hold data 7; leaked 0; faults 0"),
        "{text}"
    );
    // Writes a slot without a reference, as a host that crashes during an extent copy leaves it.
    let node = site.node_addresses[1];
    let mut node_client =
        BlockingClient::open(node, Some("iqn.t:node1"), 9).expect("cannot log in");
    let cdb = scsi::read_or_write_16(true, 900 * EXTENT, 8, 0);
    assert_eq!(
        node_client
            .execute(1025, &cdb, 0, vec![7; 4096])
            .expect("no answer to the request")
            .status,
        status::GOOD
    );
    let (code, text) = site.run(&["verify"], &[]);
    assert!(
        code == 1 && text.contains("leaked: layer 1025, place 900 at node1"),
        "{text}"
    );
    assert_eq!(site.run(&["verify", "--mend"], &[]).0, 0);
    let (code, text) = site.run(&["verify"], &[]);
    assert!(code == 0 && text.contains("leaked 0"), "{text}");
}
