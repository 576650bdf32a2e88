//! Benchmark of snapshots. One part measures over sockets: writes while snapshots are taken, first writes after them,
//! and reads, with few and with many snapshots. The other part measures the catalog alone, at larger sizes.
mod catalog;
mod sockets;

use crate::error::RunError;
use crate::process::Program;

/// Options of the benchmark.
#[derive(clap::Args, Clone, Debug)]
pub struct Options {
    /// Numbers of snapshots of the volume, each measured in turn
    #[arg(long, value_delimiter = ',', default_value = "1,10,1000")]
    snapshots: Vec<u32>,
    /// Duration of each phase in seconds
    #[arg(long, default_value_t = 3)]
    seconds: u64,
    /// Milliseconds between two snapshots
    #[arg(long, default_value_t = 300)]
    every: u64,
    /// Number of writes in flight
    #[arg(long, default_value_t = 4)]
    depth: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs both parts of the benchmark and returns their results as text.
///
/// # Errors
/// A process or stand-in cannot be started, a command fails, or the catalog's store fails.
pub fn run(options: &Options, program: &Program) -> Result<String, RunError> {
    let mut out = sockets::measure(options, program)?;
    for snapshots in &options.snapshots {
        out += &catalog::measure_sparse(*snapshots)?;
    }
    out += &catalog::measure_full()?;
    Ok(out)
}
