//! Limit of file descriptors that the system grants this process.
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use std::io;

/// Raises this process's limit of open file descriptors to `wanted`, as far as the system's hard limit allows. Returns
/// the resulting limit, which may be lower or higher than `wanted`.
///
/// # Errors
/// Returns the system's error if the limit cannot be read.
pub fn raise_limit(wanted: u64) -> io::Result<u64> {
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE)?;
    let raised = wanted.min(hard);
    if soft < raised && setrlimit(Resource::RLIMIT_NOFILE, raised, hard).is_ok() {
        return Ok(raised);
    }
    Ok(soft)
}
