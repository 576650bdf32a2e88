//! `mallowseam shares`: offline computation of the placement of volumes on nodes.
use super::error::CommandError;
use crate::placement;
use clap::Subcommand;
use std::path::PathBuf;
use std::time::Duration;

#[derive(Subcommand)]
pub(super) enum Command {
    /// Find the best placement, or a good one with a proven bound on how much better another could be
    ///
    /// Prints the answer as lines that the other subcommands read. If no placement meets all constraints, prints
    /// the constraints that contradict each other; the exit code is then 3.
    WorkOut {
        /// The problem file: nodes, hosts and volumes
        file: PathBuf,
        /// Time limit in seconds of the local search, for problems that are too large for an exact search
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// Seed of the local search
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Show the load of each node under a placement
    Explain {
        /// The problem file
        file: PathBuf,
        /// The placement: an answer of `work-out`
        placement: PathBuf,
    },
    /// Compare the value of two placements
    Compare {
        /// The problem file
        file: PathBuf,
        /// The first placement: an answer of `work-out`
        one: PathBuf,
        /// The second placement
        other: PathBuf,
    },
    /// Apply the reserves and weights of an answer to a host's configuration file
    ///
    /// Without --write, only shows what would change. The host applies the changed file on `mallowseam reload`.
    Apply {
        /// The problem file
        file: PathBuf,
        /// The answer of `work-out`
        answer: PathBuf,
        /// The host's configuration file
        conf: PathBuf,
        /// Write the changes to the configuration file
        #[arg(long)]
        write: bool,
    },
    /// Show what answers would have gained with recorded demand
    Replay {
        /// The problem file
        file: PathBuf,
        /// A record of `mallowseam demand`
        record: PathBuf,
        /// The answers of `work-out` to compare
        #[arg(required = true)]
        answers: Vec<PathBuf>,
    },
    /// Plan the migration from the current placement to another one
    ///
    /// Prints the steps in an order that at no time violates a reserve or zone constraint that is met now.
    Moves {
        /// The problem file, which states where each volume is now
        file: PathBuf,
        /// The placement to migrate to: an answer of `work-out`
        placement: PathBuf,
        /// Maximum amount of data to move, in the unit of the problem file's sizes
        #[arg(long, visible_alias = "data")]
        max_data: Option<u64>,
    },
}

/// Executes a subcommand and returns the text to print.
pub(super) fn execute(command: &Command) -> Result<String, CommandError> {
    let text = match command {
        Command::WorkOut {
            file,
            seconds,
            seed,
        } => placement::solve(file, Duration::from_secs(*seconds), *seed),
        Command::Explain { file, placement } => placement::explain(file, placement),
        Command::Compare { file, one, other } => placement::compare(file, one, other),
        Command::Apply {
            file,
            answer,
            conf,
            write,
        } => placement::apply(file, answer, conf, *write),
        Command::Replay {
            file,
            record,
            answers,
        } => placement::replay(file, record, answers),
        Command::Moves {
            file,
            placement,
            max_data,
        } => placement::migration_steps(file, placement, *max_data),
    };
    Ok(text?)
}
