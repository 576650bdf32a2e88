//! `mallowseam plan`: requests to the plan service.
use super::control::{self, Service};
use super::error::CommandError;
use crate::plan_service::PlanRequest;
use clap::Subcommand;
use mallowseam_plans::state::{Change, Plan, State};
use std::path::{Path, PathBuf};

/// Figures are sent in thousandths.
const THOUSANDTHS: f64 = 1000.0;
/// Weight and price of a new plan, in thousandths.
const DEFAULT_FACTOR: u64 = 1_000;
/// Largest figure that the command line takes.
const MAX_FIGURE: f64 = 1e9;

/// Who changes a plan, and how.
#[derive(clap::Args)]
pub(super) struct ChangeOptions {
    #[arg(long)]
    author: String,
    #[arg(long)]
    reason: String,
    /// Tell what would come of it, and change nothing
    #[arg(long)]
    dry_run: bool,
    /// Wait until it is in force at all hosts, or say what it waits for
    #[arg(long)]
    wait: bool,
}

#[derive(Subcommand)]
pub(super) enum Command {
    /// Set figures of a plan (a new one starts from nothing); rates such as limit=40
    Set {
        file: PathBuf,
        plan: String,
        /// usual, reserve, limit, burst, weight or price, as NAME=NUMBER
        #[arg(required = true)]
        figures: Vec<String>,
        /// The version it is made for: refused if another one stands
        #[arg(long)]
        expected: Option<u64>,
        #[command(flatten)]
        by: ChangeOptions,
    },
    /// Give a volume another plan
    Of {
        file: PathBuf,
        volume: String,
        plan: String,
        #[command(flatten)]
        by: ChangeOptions,
    },
    /// Drop a plan that no volume has
    Drop {
        file: PathBuf,
        plan: String,
        #[command(flatten)]
        by: ChangeOptions,
    },
    /// Plans and volumes as they stand, or stood at a version
    Show { file: PathBuf, version: Option<u64> },
    /// Lines of the trail
    History {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        from: u64,
        #[arg(long, default_value_t = 1000)]
        most: usize,
    },
    /// What is different between two versions
    Diff { file: PathBuf, one: u64, other: u64 },
    /// Take a version's change back, as a new version
    Undo {
        file: PathBuf,
        version: u64,
        #[command(flatten)]
        by: ChangeOptions,
    },
    /// Which version is in force at all hosts, and what the newest one waits for
    Hosts { file: PathBuf },
    /// A host has stopped for good: no version waits for it any more
    Gone { file: PathBuf, host: String },
    /// Replay the whole trail from nothing and hold it against what stands
    Replay { file: PathBuf },
}

/// Sends the request to the plan service; its answer.
pub(super) fn execute(command: Command) -> Result<String, CommandError> {
    let (file, request) = match command {
        Command::Set {
            file,
            plan,
            figures,
            expected,
            by,
        } => {
            let (change, version) = change_of_figures(&file, plan, &figures, expected)?;
            (file, set(change, Some(version), by))
        }
        Command::Of {
            file,
            volume,
            plan,
            by,
        } => (file, set(Change::AssignPlan { volume, plan }, None, by)),
        Command::Drop { file, plan, by } => {
            (file, set(Change::RemovePlan { name: plan }, None, by))
        }
        Command::Show { file, version } => (file, PlanRequest::Show { version }),
        Command::History { file, from, most } => (file, PlanRequest::History { from, limit: most }),
        Command::Diff { file, one, other } => (
            file,
            PlanRequest::Diff {
                from: one,
                to: other,
            },
        ),
        Command::Undo { file, version, by } => {
            let ChangeOptions {
                author,
                reason,
                dry_run,
                wait,
            } = by;
            (
                file,
                PlanRequest::Undo {
                    version,
                    author,
                    reason,
                    dry_run,
                    wait,
                },
            )
        }
        Command::Hosts { file } => (file, PlanRequest::Hosts),
        Command::Gone { file, host } => (file, PlanRequest::RemoveHost { host }),
        Command::Replay { file } => (file, PlanRequest::Replay),
    };
    send_request(&file, &request)
}

fn send_request(file: &Path, request: &PlanRequest) -> Result<String, CommandError> {
    let line = serde_json::to_string(request).expect("requests are plain data");
    control::send_request(file, Service::Plans, &line)
}

fn set(change: Change, expected: Option<u64>, by: ChangeOptions) -> PlanRequest {
    let ChangeOptions {
        author,
        reason,
        dry_run,
        wait,
    } = by;
    PlanRequest::Set {
        change,
        expected,
        author,
        reason,
        dry_run,
        wait,
    }
}

/// The change that sets figures of a plan and keeps its others, and the version that it is made for: the one
/// that the unchanged figures were read from.
fn change_of_figures(
    file: &Path,
    plan: String,
    figures: &[String],
    expected: Option<u64>,
) -> Result<(Change, u64), CommandError> {
    let answer = send_request(file, &PlanRequest::Show { version: expected })?;
    let state: State = serde_json::from_str(&answer).map_err(|source| CommandError::Answer {
        from: "service",
        source,
    })?;
    let mut changed = state.plans.get(&plan).cloned().unwrap_or(Plan {
        weight: DEFAULT_FACTOR,
        priority_factor: DEFAULT_FACTOR,
        ..Plan::default()
    });
    let problems: Vec<FigureError> = figures
        .iter()
        .filter_map(|text| set_figure(&mut changed, text).err())
        .collect();
    if !problems.is_empty() {
        return Err(CommandError::PlanFigures(problems));
    }
    Ok((
        Change::SetPlan {
            name: plan,
            plan: changed,
        },
        expected.unwrap_or(state.version),
    ))
}

/// Why a figure on the command line cannot be set.
#[derive(Debug, thiserror::Error)]
pub(super) enum FigureError {
    #[error("`{0}`: expected usual, reserve, limit, burst, weight or price, =, and a number")]
    Malformed(String),
    #[error("`{0}`: expected a number from 0 to a thousand million")]
    OutOfRange(String),
}

/// Sets one figure of a plan from `NAME=NUMBER`.
fn set_figure(plan: &mut Plan, text: &str) -> Result<(), FigureError> {
    let malformed = || FigureError::Malformed(text.to_owned());
    let (name, number) = text.split_once('=').ok_or_else(malformed)?;
    let number: f64 = number.parse().map_err(|_| malformed())?;
    if !(0.0..=MAX_FIGURE).contains(&number) {
        return Err(FigureError::OutOfRange(text.to_owned()));
    }
    let figure = match name {
        "usual" => &mut plan.usual_rate,
        "reserve" => &mut plan.reserved_rate,
        "limit" => &mut plan.rate_limit,
        "burst" => &mut plan.burst_units,
        "weight" => &mut plan.weight,
        "price" => &mut plan.priority_factor,
        _ => return Err(malformed()),
    };
    *figure = (number * THOUSANDTHS).round() as u64;
    Ok(())
}
