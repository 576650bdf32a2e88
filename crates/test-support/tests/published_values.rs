//! Reference values of the generator and the digest. Guards against changes that would invalidate every recorded digest.
use mallowseam_test_support::{Digest, SeededRng};

/// Expects the first outputs of the reference implementation of `SplitMix64` for seed 1234567.
#[test]
fn generator_outputs_match_the_published_sequence() {
    let mut rng = SeededRng::new(1_234_567);
    let first: Vec<u64> = (0..3).map(|_| rng.next_u64()).collect();
    assert_eq!(
        first,
        [
            6_457_827_717_110_365_317,
            3_203_168_211_198_807_973,
            9_817_491_932_198_370_423
        ]
    );
}

/// Expects the test vectors of the FNV reference implementation.
#[test]
fn digests_match_the_published_values() {
    assert_eq!(Digest::of_text(""), "cbf29ce484222325");
    assert_eq!(Digest::of_text("a"), "af63dc4c8601ec8c");
    assert_eq!(Digest::of_text("foobar"), "85944171f73967e8");
}
