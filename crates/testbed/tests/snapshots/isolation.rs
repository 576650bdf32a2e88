//! Contents of snapshots and clones. Guards against snapshots and clones that show writes of others, or parts of a
//! write.
use crate::site::{Site, TARGET, read_ids, write, write_good};
use mallowseam_iscsi::scsi::Sense;
use mallowseam_iscsi::scsi::status;
use mallowseam_testbed::blocking_client::BlockingClient;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::sync::atomic::Ordering;
use std::time::Duration;

#[test]
fn snapshot_is_frozen_and_clone_is_writable() {
    let site = Site::new();
    let (mut one, mut two) = (site.client(0), site.client(1));
    assert_eq!(read_ids(&mut one, 0, 0, 64), [0; 64]);
    write_good(&mut one, 0, 1, 28, 8);
    assert_eq!(
        read_ids(&mut two, 0, 26, 12),
        [0, 0, 1, 1, 1, 1, 1, 1, 1, 1, 0, 0]
    );
    let march = site.request_lun("snapshot a march");
    write_good(&mut two, 0, 2, 32, 8);
    assert_eq!(
        read_ids(&mut one, 0, 28, 12),
        [1, 1, 1, 1, 2, 2, 2, 2, 2, 2, 2, 2]
    );
    let clone = site.request_lun("clone a@march c");
    write_good(&mut one, clone, 3, 24, 8);
    for client in [&mut one, &mut two] {
        assert_eq!(
            read_ids(client, march, 26, 12),
            [0, 0, 1, 1, 1, 1, 1, 1, 1, 1, 0, 0]
        );
        assert_eq!(
            read_ids(client, clone, 24, 12),
            [3, 3, 3, 3, 3, 3, 3, 3, 1, 1, 1, 1]
        );
        assert_eq!(read_ids(client, 0, 24, 8), [0, 0, 0, 0, 1, 1, 1, 1]);
    }
    let refused = write(&mut one, march, 4, 0, 8);
    assert_eq!(refused.sense, Some(Sense::WRITE_PROTECTED));
    assert_eq!(
        site.request("diff a a@march")
            .expect("no answer to the request"),
        "32-63"
    );
    assert_eq!(
        site.request("rollback a a@march")
            .expect("no answer to the request"),
        "a shows a@march"
    );
    assert_eq!(
        read_ids(&mut two, 0, 26, 12),
        [0, 0, 1, 1, 1, 1, 1, 1, 1, 1, 0, 0]
    );
}

#[test]
fn reads_show_the_last_write_of_either_host_across_snapshots() {
    let site = Site::new();
    let mut clients = [site.client(0), site.client(1)];
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut written = vec![0; 512];
    let mut snapshots: Vec<(u32, Vec<u64>)> = Vec::new();
    for id in 1..=400 {
        let client = &mut clients[rng.random_range(0..2)];
        let lba = rng.random_range(0..60) * 8;
        if rng.random_range(0..40) == 0 {
            let lun = site.request_lun(&format!("snapshot a s{id}"));
            snapshots.push((lun, written.clone()));
        }
        write_good(client, 0, id, lba, 8);
        written[lba as usize..lba as usize + 8].fill(id);
        let lba = rng.random_range(0..60) * 8;
        let client = &mut clients[rng.random_range(0..2)];
        assert_eq!(
            read_ids(client, 0, lba, 8),
            written[lba as usize..lba as usize + 8],
            "read after write {id}"
        );
    }
    assert!(
        snapshots.len() > 3,
        "only {} snapshots were taken",
        snapshots.len()
    );
    for (lun, expected) in snapshots {
        assert_eq!(
            read_ids(&mut clients[0], lun, 0, 512),
            expected,
            "LUN {lun}"
        );
    }
}

#[test]
fn snapshot_of_a_clone_of_a_clone_shows_its_own_ancestors_only() {
    let site = Site::new();
    let mut client = site.client(1);
    write_good(&mut client, 0, 1, 0, 8);
    site.request_lun("snapshot a s");
    let one = site.request_lun("clone a@s one");
    write_good(&mut client, one, 2, 8, 8);
    site.request_lun("snapshot one s");
    let two = site.request_lun("clone one@s two");
    write_good(&mut client, two, 3, 16, 8);
    let snapshots = site.request_lun("snapshot two s");
    for (lun, id) in [(0, 4), (one, 5), (two, 6)] {
        write_good(&mut client, lun, id, 0, 8);
    }
    let first_blocks = |client: &mut BlockingClient, lun| -> Vec<u64> {
        read_ids(client, lun, 0, 24)
            .into_iter()
            .step_by(8)
            .collect()
    };
    assert_eq!(first_blocks(&mut client, snapshots), [1, 2, 3]);
    assert_eq!(first_blocks(&mut client, two), [6, 2, 3]);
    assert_eq!(first_blocks(&mut client, one), [5, 2, 0]);
    assert_eq!(first_blocks(&mut client, 0), [4, 0, 0]);
    assert!(
        site.request("delete one")
            .expect_err("clone in use was deleted")
            .contains("one@s")
    );
}

#[test]
fn write_across_extents_is_atomic_in_every_snapshot() {
    let site = Site::new();
    let is_over = std::sync::atomic::AtomicBool::new(false);
    let mut snapshots: Vec<(u32, [(u64, u64); 2])> = Vec::new();
    // Last write to each area that was acknowledged, and last one that was started.
    let written: [[std::sync::atomic::AtomicU64; 2]; 2] = Default::default();
    let order = Ordering::SeqCst;
    std::thread::scope(|scope| {
        for (area, [acknowledged, started]) in written.iter().enumerate() {
            let (at, is_over) = (site.host_addresses[area], &is_over);
            scope.spawn(move || {
                let mut client = BlockingClient::open(at, Some(TARGET), 20 + area as u32)
                    .expect("cannot log in");
                let mut id = 0;
                while !is_over.load(order) {
                    id += 2;
                    let write_id = id + area as u64;
                    started.store(write_id, order);
                    // Each write covers four extents, two of them in part.
                    if write(&mut client, 0, write_id, area as u64 * 256 + 16, 96).status
                        == status::GOOD
                    {
                        acknowledged.store(write_id, order);
                    }
                }
            });
        }
        for n in 0..25 {
            std::thread::sleep(Duration::from_millis(20));
            let before = [0, 1].map(|a: usize| written[a][0].load(order));
            match site.request(&format!("snapshot a s{n}")) {
                Ok(answer) => {
                    let lun = answer
                        .rsplit(' ')
                        .next()
                        .and_then(|u| u.parse().ok())
                        .expect("no logical unit number in the answer");
                    let after = [0, 1].map(|a: usize| written[a][1].load(order));
                    snapshots.push((lun, [(before[0], after[0]), (before[1], after[1])]));
                }
                Err(error) => assert!(error.contains("no snapshot was made"), "{error}"),
            }
        }
        is_over.store(true, order);
    });
    assert!(
        snapshots.len() > 15,
        "only {} of 25 snapshots were taken",
        snapshots.len()
    );
    let mut client = site.client(0);
    let mut distinct_writes = std::collections::BTreeSet::new();
    for (lun, areas) in snapshots {
        for (area, (before, after)) in areas.into_iter().enumerate() {
            let shown = read_ids(&mut client, lun, area as u64 * 256 + 16, 96);
            assert!(
                shown.iter().all(|id| *id == shown[0]),
                "LUN {lun} shows parts of writes: {shown:?}"
            );
            assert!(
                (before..=after).contains(&shown[0]),
                "LUN {lun}: write {}, expected one in {before}..={after}",
                shown[0]
            );
            distinct_writes.insert(shown[0]);
        }
    }
    assert!(
        distinct_writes.len() > 20,
        "only {} distinct writes are in snapshots",
        distinct_writes.len()
    );
}
