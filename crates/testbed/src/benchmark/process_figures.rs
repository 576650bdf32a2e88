//! What the operating system reports of a process (`proc(5)`).
use crate::error::RunError;

/// Ticks a second of the times in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields behind the name in `/proc/PID/stat`.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

fn read(pid: u32, name: &str) -> Result<String, RunError> {
    let path = format!("/proc/{pid}/{name}");
    std::fs::read_to_string(&path).map_err(RunError::io(path))
}

/// User and system time of a process, in seconds.
pub(super) fn cpu_seconds(pid: u32) -> Result<f64, RunError> {
    let text = read(pid, "stat")?;
    // The name in brackets may contain blanks; the fields behind it do not.
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

/// Resident memory of a process in KiB.
pub(super) fn resident_kib(pid: u32) -> Result<u64, RunError> {
    let text = read(pid, "status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    kib.ok_or(RunError::NoProcessFigure {
        figure: "VmRSS",
        pid,
    })
}
