//! The bytes of a block, pinned: stand-ins and audits of different versions read each other's blocks.
use mallowseam_audit::block;
use mallowseam_test_support::Digest;

#[test]
fn bytes_of_a_block() {
    let mut digest = Digest::default();
    for id in 0..50 {
        digest.add_bytes(&block::write(id, id * 1_000, 3));
    }
    assert_eq!(
        digest.value(),
        0xba08_4c8b_20c4_35cc,
        "bytes: {:#018x}",
        digest.value()
    );
}
