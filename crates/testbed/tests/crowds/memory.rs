//! Memory of the host's process.
use crate::site::Site;

/// Returns the resident memory of the host, in MiB.
pub(crate) fn memory_mib(site: &Site) -> u64 {
    let path = format!("/proc/{}/status", site.host.id());
    let status = std::fs::read_to_string(path).expect("the process exists");
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    let kibibytes: u64 = value
        .and_then(|value| value.parse().ok())
        .expect("the status has VmRSS in kB");
    kibibytes / 1024
}
