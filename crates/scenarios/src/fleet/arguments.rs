//! Arguments that directives and faults of fleet scripts share.
use super::IndexRange;
use mallowseam_settings::Arguments;

/// Reads a range of indexes such as `3`, `2..5` (excluding 5) or `all`.
pub(super) fn index_range(args: &mut Arguments) -> Option<IndexRange> {
    args.value("a number, a range such as 2..5, or all", |word| {
        if word == "all" {
            return Some(IndexRange::ALL);
        }
        match word.split_once("..") {
            Some((start, end)) => Some(IndexRange {
                start: start.parse().ok()?,
                end: end.parse().ok()?,
            }),
            None => word.parse().ok().map(|n: u32| IndexRange {
                start: n,
                end: n.saturating_add(1),
            }),
        }
    })
}
