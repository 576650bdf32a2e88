//! What the directives of several sections share: kinds of values, and what diagnostics ask for.
use crate::arguments::Arguments;

// What diagnostics ask for.
pub(super) const AN_ADDRESS: &str = "an address and port";
pub(super) const A_PATH: &str = "a path";
pub(super) const AN_ISCSI_NAME: &str = "an iSCSI name";
pub(super) const A_BLOCK: &str = "a block number";
pub(super) const A_BLOCK_COUNT: &str = "a number of blocks above 0";
pub(super) const A_NUMBER: &str = "a number from 0 up";
pub(super) const A_RATE: &str = "units a second such as 20/s";
pub(super) const A_SPAN: &str = "a duration such as 200ms";

/// Highest block number, and most blocks.
pub(super) const MAX_BLOCKS: u64 = 1 << 50;
/// Most hosts.
const MAX_HOSTS: u32 = 65_536;
/// Highest logical unit number of SCSI's flat addressing (SAM-5, section 4.7.7.3).
const MAX_LUN: u32 = 16_383;

/// A directive that its section does not have.
pub(in crate::parser) struct UnknownDirective {
    /// Those that it has.
    pub(in crate::parser) known: &'static str,
}

/// Whether the section has a directive of this name.
pub(in crate::parser) type Recognized = Result<(), UnknownDirective>;

/// The section has only these directives.
pub(super) fn unknown(known: &'static str) -> Recognized {
    Err(UnknownDirective { known })
}

/// Sets a field if its value could be read.
pub(super) fn set<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}

/// An integer within bounds, both included.
pub(super) fn small_integer(
    args: &mut Arguments,
    expected: &str,
    min: u32,
    max: u32,
) -> Option<u32> {
    args.integer(expected, min.into(), max.into())
        .and_then(|n| n.try_into().ok())
}

/// A logical unit number.
pub(super) fn lun(args: &mut Arguments) -> Option<u16> {
    small_integer(args, "0 to 16383", 0, MAX_LUN).and_then(|n| n.try_into().ok())
}

/// A number of hosts.
pub(super) fn host_count(args: &mut Arguments) -> Option<u32> {
    small_integer(args, "1 to 65536", 1, MAX_HOSTS)
}
