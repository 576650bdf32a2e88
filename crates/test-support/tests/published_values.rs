//! The generator and the digest give the values that are published for them.
use mallowseam_test_support::{Digest, SeededRng};

/// The first outputs for seed 1234567, from the reference implementation of `SplitMix64`.
#[test]
fn generator_gives_the_published_sequence() {
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

/// Test vectors of the FNV reference code.
#[test]
fn digest_gives_the_published_values() {
    assert_eq!(Digest::of_text(""), "cbf29ce484222325");
    assert_eq!(Digest::of_text("a"), "af63dc4c8601ec8c");
    assert_eq!(Digest::of_text("foobar"), "85944171f73967e8");
}
