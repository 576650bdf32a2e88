//! The limit of descriptors that the system grants this process.
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use std::io;

/// Raises the number of descriptors that this process may have open towards `wanted`, as far as the system's hard
/// limit allows; the resulting limit, which may be lower or higher than `wanted`.
///
/// # Errors
/// The system's error where the limit cannot be read.
pub fn raise_limit(wanted: u64) -> io::Result<u64> {
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE)?;
    let raised = wanted.min(hard);
    if soft < raised && setrlimit(Resource::RLIMIT_NOFILE, raised, hard).is_ok() {
        return Ok(raised);
    }
    Ok(soft)
}
