//! Digests of texts.
use mallowseam_test_support::Digest;

pub(crate) fn pinned(name: &str, text: &str, expected: u64) {
    let mut digest = Digest::default();
    digest.add_bytes(text.as_bytes());
    let found = digest.value();
    assert_eq!(
        found,
        expected,
        "{name}: {found:#018x}, text begins\n{}",
        &text[..text.len().min(600)]
    );
}
