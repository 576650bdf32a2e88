//! CPU time and memory of a process, as the operating system reports them (`proc(5)`).
use crate::error::RunError;

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user time among the fields after the process name in `/proc/PID/stat`.
const USER_TIME_FIELD: usize = 11;
/// Index of the system time among the fields after the process name in `/proc/PID/stat`.
const SYSTEM_TIME_FIELD: usize = 12;

fn read(pid: u32, name: &str) -> Result<String, RunError> {
    let path = format!("/proc/{pid}/{name}");
    std::fs::read_to_string(&path).map_err(RunError::io(path))
}

/// Returns the user and system time of a process, in seconds.
pub(super) fn cpu_seconds(pid: u32) -> Result<f64, RunError> {
    let text = read(pid, "stat")?;
    // The process name in parentheses may contain spaces; the fields after it contain none.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks = |n: usize| {
        fields
            .split_whitespace()
            .nth(n)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    Ok((ticks(USER_TIME_FIELD) + ticks(SYSTEM_TIME_FIELD)) / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process, in KiB.
pub(super) fn resident_kib(pid: u32) -> Result<u64, RunError> {
    let text = read(pid, "status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    kib.ok_or(RunError::MissingProcessMetric {
        metric: "VmRSS",
        pid,
    })
}
