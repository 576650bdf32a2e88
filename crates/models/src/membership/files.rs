//! Measurements of membership protocols as a CSV table and a sheet of plots.
use super::measurements::{Measurements, Protocol};
use crate::plots::{self, HorizontalScale, Line, WriteError};
use std::path::Path;

/// What was measured of a protocol.
#[derive(Clone, Copy, Debug)]
pub struct ProtocolMeasurements {
    /// The protocol.
    pub protocol: Protocol,
    /// What was measured of it.
    pub measurements: Measurements,
}

/// Writes `fleet-view.csv` and `fleet-view.svg` to a directory. `bound_seconds`: within how many seconds so many hosts
/// are to converge.
///
/// # Errors
/// A file can't be written.
pub fn write(
    dir: &Path,
    all: &[ProtocolMeasurements],
    bound_seconds: impl Fn(usize) -> f64,
) -> Result<(), WriteError> {
    std::fs::create_dir_all(dir).map_err(WriteError::for_path(dir))?;
    write_table(dir, all).map_err(WriteError::for_path(dir))?;
    let sheet = [
        (
            "seconds until all memberships agree, the longest of three",
            convergence_lines(all, bound_seconds),
        ),
        (
            "bytes a second and host, at rest",
            lines(all, &Protocol::ALL, |m| m.bytes_s),
        ),
        (
            "part of the time that a running host is held unreachable, under loss and stops",
            lines(all, &Protocol::ALL, |m| m.false_positive_fraction),
        ),
    ];
    plots::write(
        &dir.join("fleet-view.svg"),
        "hosts",
        HorizontalScale::Logarithmic,
        &sheet,
    )
}

fn write_table(dir: &Path, all: &[ProtocolMeasurements]) -> Result<(), csv::Error> {
    let mut table = csv::Writer::from_path(dir.join("fleet-view.csv"))?;
    for measured in all {
        table.serialize(measured.measurements)?;
    }
    Ok(table.flush()?)
}

/// The longest of three convergences by the number of hosts, and its bound. Heartbeats have no tables that converge.
fn convergence_lines(
    all: &[ProtocolMeasurements],
    bound_seconds: impl Fn(usize) -> f64,
) -> Vec<Line<'static>> {
    let mut hosts: Vec<usize> = all.iter().map(|m| m.measurements.hosts).collect();
    hosts.dedup();
    let bound = hosts
        .into_iter()
        .map(|hosts| (hosts as f64, bound_seconds(hosts)))
        .collect();
    let mut settle = vec![("T(N)", bound)];
    settle.extend(lines(
        all,
        &[Protocol::Lifeguard, Protocol::PlainSwim],
        |m| m.start_s.max(m.kill_s).max(m.heal_s),
    ));
    settle
}

/// A line of each of these protocols: a figure by the number of hosts.
fn lines(
    all: &[ProtocolMeasurements],
    protocols: &[Protocol],
    figure: fn(&Measurements) -> f64,
) -> Vec<Line<'static>> {
    let line = |protocol: &Protocol| {
        let measured = all.iter().filter(|m| m.protocol == *protocol);
        let points = measured.map(|m| (m.measurements.hosts as f64, figure(&m.measurements)));
        (protocol.name(), points.collect())
    };
    protocols.iter().map(line).collect()
}
