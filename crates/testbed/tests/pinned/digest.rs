//! Comparison of texts with pinned digests.
use mallowseam_test_support::Digest;

/// Asserts that a text has the expected digest.
pub(crate) fn assert_pinned(name: &str, text: &str, expected: u64) {
    let mut digest = Digest::default();
    digest.add_bytes(text.as_bytes());
    let found = digest.value();
    assert_eq!(
        found,
        expected,
        "{name}: digest {found:#018x}, text begins\n{}",
        &text[..text.len().min(600)]
    );
}
