//! The command line of `mallowseam`.
mod control;
mod error;
mod fleet;
mod plan;
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

#[derive(Parser)]
#[command(
    name = "mallowseam",
    version,
    about = "A storage gateway for small sites",
    max_term_width = 100
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
#[allow(clippy::doc_markdown, reason = "the comments are the help texts")]
enum Command {
    /// Run this host in the foreground until SIGTERM or SIGINT; a second one ends it at once
    Run {
        /// The configuration file
        file: PathBuf,
        #[command(flatten)]
        log: LogOptions,
    },
    /// Run a real host of the users' platform in the foreground, by the configuration that GW_CONFIG names;
    /// SIGHUP reads it anew, SIGTERM ends it once all it took is answered
    Host {
        /// Log lines as JSON objects
        #[arg(long)]
        json: bool,
        /// Milliseconds that one call takes of the list service, 0 to 10000: all hosts together spread their
        /// calls so that it can handle them (30 where this is not given)
        #[arg(long, value_name = "MS", value_parser = clap::value_parser!(u16).range(..=10_000))]
        list_turn: Option<u16>,
    },
    /// Run the catalog of snapshots and clones in the foreground until SIGTERM or SIGINT
    Catalog {
        /// The configuration file
        file: PathBuf,
        /// End without a word at this step, counted from the start: for tests of what a crash leaves
        #[arg(long, hide = true)]
        die_at: Option<u64>,
        #[command(flatten)]
        log: LogOptions,
    },
    /// Run the control service of plans in the foreground until SIGTERM or SIGINT
    Control {
        /// A configuration file with a section `tariffs`
        file: PathBuf,
        #[command(flatten)]
        log: LogOptions,
    },
    /// Plans at the control service: in versions, with who changed what and why
    Plan {
        #[command(subcommand)]
        command: plan::Command,
    },
    /// Work out ahead of time which nodes volumes lie on
    Shares {
        #[command(subcommand)]
        command: shares::Command,
    },
    /// With the catalog stopped, walk its store and all nodes and count references
    Verify {
        file: PathBuf,
        /// Give back what nothing refers to
        #[arg(long)]
        mend: bool,
    },
    /// Snapshots and clones of mapped volumes
    Snapshot {
        #[command(subcommand)]
        command: snapshot::Command,
    },
    /// Read a configuration and name all its problems
    Check { file: PathBuf },
    /// Show the view that a running host has of its fleet
    Fleet(fleet::Options),
    /// Tell what a running host is doing
    Status {
        #[command(flatten)]
        target: ControlTarget,
        /// As one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Record what clients ask of each volume, over all these hosts, as lines that `shares replay` reads
    Demand {
        /// The hosts' configuration files
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Seconds of an interval
        #[arg(long, default_value_t = 10)]
        every: u64,
        /// Intervals; 0: until it is ended
        #[arg(long, default_value_t = 0)]
        count: u64,
    },
    /// Have a running host take up the plans of its changed file, and which volume has which; all else must
    /// be as it was
    Reload {
        /// The host's configuration file
        file: PathBuf,
    },
    /// Close a running host to new logins; what is in hand ends
    Drain {
        #[command(flatten)]
        target: ControlTarget,
    },
    /// Open it again
    Undrain {
        #[command(flatten)]
        target: ControlTarget,
    },
    /// Drain a running host and end it
    Stop {
        #[command(flatten)]
        target: ControlTarget,
    },
}

/// Runs the program with these arguments, the first being its name. Prints results to standard output and
/// errors to standard error.
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
        Command::Host { json, list_turn } => process::run_platform_host(json, list_turn),
        Command::Catalog { file, die_at, log } => process::run_catalog(&file, die_at, &log),
        Command::Control { file, log } => process::run_plan_service(&file, &log),
        Command::Plan { command } => plan::execute(command).map(print),
        Command::Shares { command } => shares::execute(&command).map(print),
        Command::Verify { file, mend } => verify::execute(&file, mend),
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

#[allow(clippy::needless_pass_by_value)] // A sink for the text of a finished subcommand.
fn print(text: String) {
    println!("{text}");
}
