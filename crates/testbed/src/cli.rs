//! Subcommands and their arguments.
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

/// Exit code of a command that could not be carried out.
const EXIT_ERROR: u8 = 2;

/// What a command found.
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

/// A command's finding, or why it could not be carried out.
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
    /// Fifteen seconds of three hosts, six nodes and forty clients on loopback, with faults
    Demo {
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Play a scenario script through real hosts and audit it by what passed on the sockets
    Rehearse(RehearseOptions),
    /// Play short scenarios in which hosts are restarted under faults, each drawn by its seed, and audit them
    Soak(soak::SoakOptions),
    /// Play a fleet in simulated time: the same schedulers, thousands of them
    Model {
        #[command(subcommand)]
        model: Model,
    },
    /// Every order of events of a small state machine, within bounds
    Search {
        #[command(subcommand)]
        search: Search,
    },
    /// Compare optimal placements with a plain enumeration on new small problems
    SharesCheck {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 2000)]
        count: u64,
    },
    /// Play one day of surges with even, given and tuned weights, and compare their gains
    SharesDay {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds in a row, from the first on
        #[arg(long, default_value_t = 1)]
        seeds: u64,
    },
    /// Compare clients at a node directly and through a host
    Bench(benchmark::Options),
    /// Measure what snapshots cost: writes around cuts, first writes, reads, and the catalog's size and times
    BenchSnapshots(snapshot_benchmark::Options),
    /// Run a host of this build (what rehearsals start)
    #[command(hide = true)]
    Host {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<OsString>,
    },
}

#[derive(clap::Args)]
struct RehearseOptions {
    /// bad-day, month-end, tariff-night, demo, short, cold-start, cold-overload, cold-sum or fleet-storm (drawn by the seed), or
    /// a script's file (.fleet: of a fleet)
    script: String,
    /// How many hosts a fleet's script is played with, nodes and clients in proportion
    #[arg(long)]
    hosts: Option<u32>,
    /// Of a fleet: hosts poll the list service as they did before their polls were paced by their number
    #[arg(long)]
    as_before: bool,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds in a row, from the first on
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    #[arg(long)]
    quiet: bool,
}

#[derive(Subcommand)]
enum Search {
    /// The membership protocol among three hosts: its promises in every state, and convergence in the end
    FleetView {
        /// States checked from each initial state
        #[arg(long, default_value_t = 200_000)]
        states: u64,
        /// One state in so many is followed until the hosts converge
        #[arg(long, default_value_t = 20)]
        ends_every: u64,
        /// Ticks of half a period
        #[arg(long, default_value_t = 8)]
        passes: u32,
    },
}

#[derive(Subcommand)]
enum Model {
    /// The membership protocol: as built, without Lifeguard's extensions, and heartbeats to all
    FleetView(MembershipModelOptions),
    /// All hosts start within a second, or after an outage: polls of the list service, paced and as before
    ColdStart(ColdStartOptions),
}

#[derive(clap::Args)]
struct MembershipModelOptions {
    /// How many hosts, each in turn
    #[arg(long, value_delimiter = ',', default_value = "10,30,100,300")]
    hosts: Vec<usize>,
    /// The protocol as built alone
    #[arg(long)]
    built: bool,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A directory for the measurements as CSV, and a sheet of plots
    #[arg(long)]
    out: Option<PathBuf>,
}

#[derive(clap::Args)]
struct ColdStartOptions {
    /// How many hosts, each in turn
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "10,30,100,300,1000,3000,10000"
    )]
    hosts: Vec<u32>,
    /// Milliseconds that a poll takes of the list service
    #[arg(long, default_value_t = 25)]
    takes: u64,
    /// Seconds for which the list service is down at first
    #[arg(long, default_value_t = 0)]
    down: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A directory for the seconds of each case as CSV, and a sheet of plots
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

/// This executable file, as a rehearsal starts it for its hosts.
fn program() -> Program {
    let path = std::env::current_exe().unwrap_or_else(|_| PathBuf::from("mallowseam-testbed"));
    Program {
        path,
        args: vec!["host".into()],
    }
}
