//! How many descriptors the system gives this process.
use nix::sys::resource::{Resource, getrlimit, setrlimit};

/// The number of descriptors that this process may have open, raised towards what is wanted as far as the system's
/// hard limit lets it.
///
/// # Errors
/// What the system says where it does not tell its limit.
pub fn given(wanted: u64) -> std::io::Result<u64> {
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE)?;
    let raised = wanted.min(hard);
    if soft < raised && setrlimit(Resource::RLIMIT_NOFILE, raised, hard).is_ok() {
        return Ok(raised);
    }
    Ok(soft)
}
