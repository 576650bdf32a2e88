//! Placements by enumeration, and the bytes of a block.
use crate::digest::{hash, pinned};
use mallowseam_audit::block;
use mallowseam_lab::exhaustive_placement;
use std::fmt::Write;

#[test]
fn placements_by_enumeration() {
    let mut out = String::new();
    for seed in 0..150 {
        let (nodes, volumes) = exhaustive_placement::draw(seed);
        writeln!(
            out,
            "{:?}",
            exhaustive_placement::enumerate(&nodes, &volumes)
        )
        .expect("memory");
    }
    pinned("placements", &out, 0x31cf_0c75_d1ec_4a77);
}

#[test]
fn bytes_of_a_block() {
    let bytes: Vec<u8> = (0..50)
        .flat_map(|id| block::write(id, id * 1_000, 3))
        .collect();
    assert_eq!(
        hash(&bytes),
        0xba08_4c8b_20c4_35cc,
        "bytes: {:#018x}",
        hash(&bytes)
    );
}
