//! Pinned bytes of blocks. Stand-ins and audits of different versions read each other's blocks, so a change of the
//! content would make them report wrong data.
use mallowseam_audit::block;
use mallowseam_test_support::Digest;

#[test]
fn bytes_of_blocks_are_unchanged() {
    let mut digest = Digest::default();
    for id in 0..50 {
        digest.add_bytes(&block::write(id, id * 1_000, 3));
    }
    assert_eq!(
        digest.value(),
        0xba08_4c8b_20c4_35cc,
        "digest of the blocks: {:#018x}",
        digest.value()
    );
}
