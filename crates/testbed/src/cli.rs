//! Subcommands of the testbed and their arguments.
mod fleet_rehearsal;
mod models;
mod placement;
mod rehearsal;
mod rehearsal_report;
mod search;
mod soak;

use clap::{Parser, Subcommand};
use mallowseam_testbed::process::Program;
use mallowseam_testbed::{benchmark, snapshot_benchmark};
use std::error::Error;
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code of a command that failed before it had a result.
const EXIT_ERROR: u8 = 2;

/// Result of a command: whether all its checks passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Finding {
    Passed,
    Failed,
}

impl From<bool> for Finding {
    fn from(passed: bool) -> Self {
        if passed {
            Finding::Passed
        } else {
            Finding::Failed
        }
    }
}

/// Finding of a command, or the error that ended it.
type CommandResult = Result<Finding, Box<dyn Error>>;

#[derive(Parser)]
#[command(
    name = "mallowseam-testbed",
    version,
    about = "Stand-ins, load, fault injection and audit for mallowseam"
)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play fifteen seconds of three hosts, six nodes and forty clients on loopback, with faults
    Demo {
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Play a scenario script through real hosts, and audit the traffic on their sockets
    Rehearse(RehearseOptions),
    /// Play and audit short scenarios in which hosts are restarted under faults, each drawn by its seed
    Soak(soak::SoakOptions),
    /// Simulate a fleet of up to thousands of hosts in simulated time, with the code that real hosts run
    Model {
        #[command(subcommand)]
        model: Model,
    },
    /// Check every order of events of a small state machine, within bounds
    Search {
        #[command(subcommand)]
        search: Search,
    },
    /// Compare the solver's optimal placements with exhaustive enumeration on small problems drawn by seeds
    SharesCheck {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 2000)]
        count: u64,
    },
    /// Play one day of surges with even weights, the script's weights and tuned ones, and compare their gains
    SharesDay {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of consecutive seeds, from the first one on
        #[arg(long, default_value_t = 1)]
        seeds: u64,
    },
    /// Compare clients that access a node directly with clients that access it through a host
    Bench(benchmark::Options),
    /// Measure snapshots: writes while they are taken, first writes, reads, and the catalog's size and times
    BenchSnapshots(snapshot_benchmark::Options),
    /// Run the gateway of this build, as rehearsals start it
    #[command(hide = true)]
    Host {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<OsString>,
    },
}

#[derive(clap::Args)]
struct RehearseOptions {
    /// Name of a script: bad-day, month-end, tariff-night, demo, short, cold-start, cold-overload, cold-sum or
    /// fleet-storm (drawn by the seed); or path of a script file (with the suffix .fleet for a fleet's script)
    script: String,
    /// Number of hosts that a fleet's script is scaled to, nodes and clients in proportion
    #[arg(long)]
    hosts: Option<u32>,
    /// For a fleet's script: hosts do not pace their polls of the discovery service by their number
    #[arg(long)]
    as_before: bool,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds, from the first one on
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    #[arg(long)]
    quiet: bool,
}

#[derive(Subcommand)]
enum Search {
    /// Check the membership protocol among three hosts: its invariants in every state, and convergence in the end
    FleetView {
        /// Maximum number of states to check from each initial state
        #[arg(long, default_value_t = 200_000)]
        states: u64,
        /// Follow one state in this many until the hosts converge
        #[arg(long, default_value_t = 20)]
        ends_every: u64,
        /// Number of ticks that may pass, each of half a protocol period
        #[arg(long, default_value_t = 8)]
        passes: u32,
    },
}

#[derive(Subcommand)]
enum Model {
    /// Compare the membership protocol as built, without Lifeguard's extensions, and heartbeats to all hosts
    FleetView(MembershipModelOptions),
    /// Simulate paced and unpaced polls of the discovery service as all hosts start within a second or after an outage
    ColdStart(ColdStartOptions),
}

#[derive(clap::Args)]
struct MembershipModelOptions {
    /// Numbers of hosts, simulated one after the other
    #[arg(long, value_delimiter = ',', default_value = "10,30,100,300")]
    hosts: Vec<usize>,
    /// Simulate only the protocol as built
    #[arg(long)]
    built: bool,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Directory for the measurements as CSV and a page of plots
    #[arg(long)]
    out: Option<PathBuf>,
}

#[derive(clap::Args)]
struct ColdStartOptions {
    /// Numbers of hosts, simulated one after the other
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "10,30,100,300,1000,3000,10000"
    )]
    hosts: Vec<u32>,
    /// Milliseconds that the discovery service takes to serve a poll
    #[arg(long, default_value_t = 25)]
    takes: u64,
    /// Seconds that the discovery service is down from the start
    #[arg(long, default_value_t = 0)]
    down: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Directory for each case's figures per second as CSV and a page of plots
    #[arg(long)]
    out: Option<PathBuf>,
}

pub(crate) fn main() -> ExitCode {
    let result = match CommandLine::parse().command {
        Command::Demo { seed } => rehearsal::demo(seed),
        Command::Rehearse(options) => rehearse(&options),
        Command::Soak(options) => soak::play(options),
        Command::Model {
            model: Model::ColdStart(options),
        } => models::cold_start(&options),
        Command::Model {
            model: Model::FleetView(options),
        } => models::membership(&options),
        Command::Search {
            search:
                Search::FleetView {
                    states,
                    ends_every,
                    passes,
                },
        } => Ok(search::membership(states, ends_every, passes)),
        Command::SharesCheck { seed, count } => Ok(placement::check(seed, count)),
        Command::SharesDay { seed, seeds } => placement::day(seed, seeds),
        Command::Bench(options) => print_table(benchmark::run(&options, &program())),
        Command::BenchSnapshots(options) => {
            print_table(snapshot_benchmark::run(&options, &program()))
        }
        Command::Host { args } => {
            return mallowseam_gateway::cli::main(std::iter::once("mallowseam".into()).chain(args));
        }
    };
    match result {
        Ok(Finding::Passed) => ExitCode::SUCCESS,
        Ok(Finding::Failed) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}

fn rehearse(options: &RehearseOptions) -> CommandResult {
    match fleet_rehearsal::script_text(&options.script)? {
        Some(text) => fleet_rehearsal::play(&text, options),
        None => rehearsal::play(&options.script, options.seed, options.seeds, options.quiet),
    }
}

fn print_table<E: Error + 'static>(table: Result<String, E>) -> CommandResult {
    print!("{}", table?);
    Ok(Finding::Passed)
}

/// Returns the command by which a rehearsal starts this executable as a host.
fn program() -> Program {
    let path = std::env::current_exe().unwrap_or_else(|_| PathBuf::from("mallowseam-testbed"));
    Program {
        path,
        args: vec!["host".into()],
    }
}
