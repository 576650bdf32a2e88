//! The command line of `mallowseam`: its subcommands with their help texts, in one module per group of subcommands.
mod control;
mod error;
mod fleet;
mod plan;
mod plan_parameters;
mod process;
mod shares;
mod snapshot;
mod verify;

use clap::{Parser, Subcommand};
use control::ControlTarget;
use error::CommandError;
use process::LogOptions;
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

/// A storage gateway that orders and paces the block I/O of many volumes over storage nodes
///
/// A host (`run`, `host`) serves volumes to clients and forwards their reads and writes to storage nodes. The
/// plan service (`control`) and the snapshot catalog (`catalog`) are separate processes, one of each for all
/// hosts. All other subcommands query or change a running process, or check files.
///
/// Exit codes: 0 success; 1 the command failed; 2 invalid command line or file; 3 (`shares work-out`) no
/// placement exists.
#[derive(Parser)]
#[command(name = "mallowseam", version, max_term_width = 100)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
#[allow(clippy::doc_markdown, reason = "the comments are the help texts")]
enum Command {
    /// Run a host that serves volumes over iSCSI, in the foreground
    ///
    /// SIGTERM or SIGINT starts a graceful shutdown; a second signal stops the host at once.
    Run {
        /// The host's configuration file
        file: PathBuf,
        #[command(flatten)]
        log: LogOptions,
    },
    /// Run a host for the users' platform (clients and nodes over HTTP/1.1), in the foreground
    ///
    /// The environment variable GW_CONFIG names the configuration file. SIGHUP reloads it; SIGTERM starts a
    /// graceful shutdown, which ends once all admitted requests have been answered.
    Host {
        #[command(flatten)]
        log: LogOptions,
        /// Milliseconds that the discovery service needs to answer one poll, 0 to 10000 (30 if not given):
        /// all hosts together spread their polls so that it keeps up
        #[arg(long, value_name = "MS", value_parser = clap::value_parser!(u16).range(..=10_000))]
        list_turn: Option<u16>,
    },
    /// Run the snapshot catalog, in the foreground until SIGTERM or SIGINT
    Catalog {
        /// A configuration file with a section `catalog`
        file: PathBuf,
        /// Abort the process at this crash point, counted from the start: for tests of crash recovery
        #[arg(long, hide = true)]
        die_at: Option<u64>,
        #[command(flatten)]
        log: LogOptions,
    },
    /// Run the plan service, in the foreground until SIGTERM or SIGINT
    Control {
        /// A configuration file with a section `tariffs`
        file: PathBuf,
        #[command(flatten)]
        log: LogOptions,
    },
    /// Show and change plans at the plan service
    ///
    /// Each change makes a new version and is recorded with its author and reason.
    Plan {
        #[command(subcommand)]
        command: plan::Command,
    },
    /// Compute on which nodes volumes are best placed
    Shares {
        #[command(subcommand)]
        command: shares::Command,
    },
    /// Check the snapshot catalog's store against all nodes; the catalog must be stopped
    ///
    /// Prints contradictions and leaked locations (space that nodes hold and no snapshot, clone or volume
    /// refers to). The exit code is 1 if there are any that were not reclaimed.
    Verify {
        /// The snapshot catalog's configuration file
        file: PathBuf,
        /// Reclaim leaked locations
        #[arg(long, visible_alias = "mend")]
        reclaim: bool,
    },
    /// Take and manage snapshots and clones of mapped volumes
    Snapshot {
        #[command(subcommand)]
        command: snapshot::Command,
    },
    /// Check a configuration file and print every error in it
    Check {
        /// The configuration file
        file: PathBuf,
    },
    /// Show the fleet's members as a running host sees them
    Fleet(fleet::Options),
    /// Show the state of a running host
    Status {
        #[command(flatten)]
        target: ControlTarget,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Record the demand of each volume, summed over several hosts, for `shares replay`
    Demand {
        /// The configuration files of the hosts
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Length of an interval in seconds, at least 1
        #[arg(long, default_value_t = 10)]
        every: u64,
        /// Number of intervals to record; 0 records until interrupted
        #[arg(long, default_value_t = 0)]
        count: u64,
    },
    /// Make a running host apply changed plans from its configuration file
    ///
    /// Applies new plans, changed parameters of plans and the plan of each volume. If anything else in the file
    /// has changed, the host says what and applies nothing.
    Reload {
        /// The host's configuration file
        file: PathBuf,
    },
    /// Stop admitting logins at a running host and ask its clients to log out
    ///
    /// Commands in flight are completed.
    Drain {
        #[command(flatten)]
        target: ControlTarget,
    },
    /// Admit logins again at a host that was drained
    Undrain {
        #[command(flatten)]
        target: ControlTarget,
    },
    /// Drain a running host, then stop it
    Stop {
        #[command(flatten)]
        target: ControlTarget,
    },
}

/// Runs the program with these arguments, the first of which is the program's name. Prints results to standard output
/// and errors to standard error.
pub fn main(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let arguments = match Arguments::try_parse_from(arguments) {
        Ok(arguments) => arguments,
        Err(e) => e.exit(),
    };
    match execute(arguments.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(e.exit_code())
        }
    }
}

fn execute(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Run { file, log } => process::run_host(&file, &log),
        Command::Host { log, list_turn } => process::run_platform_host(&log, list_turn),
        Command::Catalog { file, die_at, log } => process::run_catalog(&file, die_at, &log),
        Command::Control { file, log } => process::run_plan_service(&file, &log),
        Command::Plan { command } => plan::execute(command).map(print),
        Command::Shares { command } => shares::execute(&command).map(print),
        Command::Verify { file, reclaim } => verify::execute(&file, reclaim),
        Command::Snapshot { command } => snapshot::execute(&command).map(print),
        Command::Check { file } => process::check(&file).map(print),
        Command::Fleet(options) => Ok(fleet::execute(&options)?),
        Command::Status { target, json } => control::print_status(&target, json),
        Command::Demand {
            files,
            every,
            count,
        } => control::record_demand(&files, every, count),
        Command::Reload { file } => control::reload(&file).map(print),
        Command::Drain { target } => target.send_request("drain").map(print),
        Command::Undrain { target } => target.send_request("undrain").map(print),
        Command::Stop { target } => target.send_request("stop").map(print),
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "takes the text that a subcommand returns"
)]
fn print(text: String) {
    println!("{text}");
}
