//! `mallowseam shares`: placement of volumes on nodes, worked out ahead of time.
use super::error::CommandError;
use crate::placement;
use clap::Subcommand;
use std::path::PathBuf;
use std::time::Duration;

#[derive(Subcommand)]
pub(super) enum Command {
    /// The best placement, or a good one with a proven gap; code 3 and the contradiction if nothing fits
    WorkOut {
        /// The problem's file
        file: PathBuf,
        /// Time for a problem too large to be searched through
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// How full each node is with a placement
    Explain { file: PathBuf, placement: PathBuf },
    /// What two placements are worth, side by side
    Compare {
        file: PathBuf,
        one: PathBuf,
        other: PathBuf,
    },
    /// Write the shares of an answer into a host's configuration; without --write, tell what would change
    Apply {
        file: PathBuf,
        /// What `work-out` told
        answer: PathBuf,
        /// The host's configuration
        conf: PathBuf,
        #[arg(long)]
        write: bool,
    },
    /// What answers would have earned with the demand that `mallowseam demand` recorded
    Replay {
        file: PathBuf,
        record: PathBuf,
        #[arg(required = true)]
        answers: Vec<PathBuf>,
    },
    /// The steps from where volumes lie today, in an order that breaks no reserve and no zone wish on the way
    Moves {
        file: PathBuf,
        placement: PathBuf,
        /// Data that may be moved at most, in the file's own unit
        #[arg(long)]
        data: Option<u64>,
    },
}

/// Carries a subcommand out; the text to print.
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
            data,
        } => placement::migration_steps(file, placement, *data),
    };
    Ok(text?)
}
