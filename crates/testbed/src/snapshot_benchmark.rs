//! Benchmark of snapshots: writes around cuts, first writes and reads behind few and many snapshots over sockets, and
//! the catalog at sizes that need no sockets.
mod catalog;
mod sockets;

use crate::error::RunError;
use crate::process::Program;

/// Options of the benchmark.
#[derive(clap::Args, Clone, Debug)]
pub struct Options {
    /// Snapshots of the volume, one measurement for each
    #[arg(long, value_delimiter = ',', default_value = "1,10,1000")]
    snapshots: Vec<u32>,
    /// Seconds of each phase
    #[arg(long, default_value_t = 3)]
    seconds: u64,
    /// Milliseconds between two cuts
    #[arg(long, default_value_t = 300)]
    every: u64,
    /// Writes in flight at once
    #[arg(long, default_value_t = 4)]
    depth: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs both parts and returns their tables.
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
