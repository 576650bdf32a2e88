//! Values and diagnostic texts that directives of several sections share.
use crate::arguments::Arguments;

// Expected values in diagnostics.
pub(super) const AN_ADDRESS: &str = "an address and port";
pub(super) const A_PATH: &str = "a path";
pub(super) const AN_ISCSI_NAME: &str = "an iSCSI name";
pub(super) const A_BLOCK: &str = "a block number";
pub(super) const A_BLOCK_COUNT: &str = "a number of blocks above 0";
pub(super) const A_NUMBER: &str = "a number from 0 up";
pub(super) const A_RATE: &str = "units a second such as 20/s";
pub(super) const A_DURATION: &str = "a duration such as 200ms";

/// Maximum block number, and maximum number of blocks.
pub(super) const MAX_BLOCKS: u64 = 1 << 50;
/// Maximum number of hosts.
const MAX_HOSTS: u32 = 65_536;
/// Maximum logical unit number of SCSI's flat addressing (SAM-5, section 4.7.7.3).
const MAX_LUN: u32 = 16_383;

/// Error for a directive that its section does not have.
pub(in crate::parser) struct UnknownDirective {
    /// Directives that the section has.
    pub(in crate::parser) known: &'static str,
}

/// Whether the section has a directive of this name; the error lists those that it has.
pub(in crate::parser) type Recognized = Result<(), UnknownDirective>;

/// Returns the error for an unknown directive in a section with the directives `known`.
pub(super) fn unknown(known: &'static str) -> Recognized {
    Err(UnknownDirective { known })
}

/// Sets a field if its value could be read.
pub(super) fn set<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}

/// Reads an integer from `min` to `max`, both included.
pub(super) fn small_integer(
    args: &mut Arguments,
    expected: &str,
    min: u32,
    max: u32,
) -> Option<u32> {
    args.integer(expected, min.into(), max.into())
        .and_then(|n| n.try_into().ok())
}

/// Reads a logical unit number.
pub(super) fn lun(args: &mut Arguments) -> Option<u16> {
    small_integer(args, "0 to 16383", 0, MAX_LUN).and_then(|n| n.try_into().ok())
}

/// Reads a number of hosts.
pub(super) fn host_count(args: &mut Arguments) -> Option<u32> {
    small_integer(args, "1 to 65536", 1, MAX_HOSTS)
}
