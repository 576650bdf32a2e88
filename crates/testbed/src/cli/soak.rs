//! Subcommand `soak`: short scenarios of host restarts, each drawn by its seed.
use super::{CommandResult, Finding};
use mallowseam_testbed::fleet::processes::Program;
use mallowseam_testbed::fleet::soak::{SeedReport, Soak};
use std::path::PathBuf;

#[derive(clap::Args)]
pub(super) struct SoakOptions {
    /// Number of consecutive seeds
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    /// First seed
    #[arg(long, value_name = "SEED", default_value_t = 1)]
    from: u64,
    /// Number of hosts, instead of the 3 to 8 that each seed draws
    #[arg(long)]
    hosts: Option<u32>,
    /// Directory in which the logs and configurations of each seed are kept
    #[arg(long, value_name = "DIR")]
    keep: Option<PathBuf>,
    /// Number of scenarios that are played concurrently
    #[arg(long, default_value_t = 2)]
    parallel: usize,
}

/// Plays the scenario of each seed, and prints a report with its findings.
pub(super) fn play(options: SoakOptions) -> CommandResult {
    let soak = Soak {
        seeds: (options.from..options.from + options.seeds).collect(),
        hosts: options.hosts,
        keep: options.keep,
        parallel: options.parallel.max(1),
        program: Program::next_to(&std::env::current_exe()?),
    };
    let mut totals = Totals::default();
    soak.play(|report| {
        print_report(&report, options.hosts);
        totals.add(&report);
    })?;
    println!(
        "{} seeds, {} with findings; {} starts of hosts, {} requests, {} crossed the close of a connection and were sent once more",
        totals.seeds, totals.with_findings, totals.host_starts, totals.requests, totals.not_taken
    );
    Ok(Finding::from(totals.with_findings == 0))
}

/// Sums over the reports of all seeds.
#[derive(Default)]
struct Totals {
    seeds: u64,
    with_findings: u64,
    host_starts: usize,
    requests: u64,
    not_taken: u64,
}

impl Totals {
    fn add(&mut self, report: &SeedReport) {
        self.seeds += 1;
        self.with_findings += u64::from(!report.findings.is_empty());
        self.host_starts += report.host_starts;
        self.requests += report.requests;
        self.not_taken += report.not_taken;
    }
}

fn print_report(report: &SeedReport, hosts: Option<u32>) {
    let seed = report.seed;
    println!(
        "seed {seed}: {} requests, {} starts, {} sent once more, peers late by {} ms at most, findings: {}",
        report.requests,
        report.host_starts,
        report.not_taken,
        report.max_lag / 1_000,
        report.findings.len()
    );
    for finding in &report.findings {
        println!("  {finding}");
    }
    if !report.findings.is_empty() {
        let hosts = hosts.map_or(String::new(), |hosts| format!(" --hosts {hosts}"));
        println!("  again: mallowseam-testbed soak --from {seed} --seeds 1{hosts} --keep DIR");
    }
}
