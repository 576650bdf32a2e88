//! Output of the measurements of membership protocols as a CSV table and an SVG file with plots.
use super::measurements::{Measurements, Protocol};
use crate::plots::{self, HorizontalScale, Line, WriteError};
use std::path::Path;

/// A protocol and its measurements at one number of hosts.
#[derive(Clone, Copy, Debug)]
pub struct ProtocolMeasurements {
    /// Protocol that was measured.
    pub protocol: Protocol,
    /// Measurements of the protocol.
    pub measurements: Measurements,
}

/// Writes `fleet-view.csv` and `fleet-view.svg` to `dir`. `bound_seconds` returns the time within which a number of hosts
/// must converge, in seconds.
///
/// # Errors
/// A file cannot be written.
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

/// Returns the lines of the longest of three convergence times and of its bound, by the number of hosts. Heartbeats have no
/// line, since they have no tables that converge.
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
    let mut convergence = vec![("T(N)", bound)];
    convergence.extend(lines(
        all,
        &[Protocol::Lifeguard, Protocol::PlainSwim],
        |m| m.start_s.max(m.kill_s).max(m.heal_s),
    ));
    convergence
}

/// Returns one line per protocol: a measurement by the number of hosts.
fn lines(
    all: &[ProtocolMeasurements],
    protocols: &[Protocol],
    measurement: fn(&Measurements) -> f64,
) -> Vec<Line<'static>> {
    let line = |protocol: &Protocol| {
        let measured = all.iter().filter(|m| m.protocol == *protocol);
        let points = measured.map(|m| (m.measurements.hosts as f64, measurement(&m.measurements)));
        (protocol.name(), points.collect())
    };
    protocols.iter().map(line).collect()
}
