//! `mallowseam plan`: requests to the plan service.
use super::control::{self, Service};
use super::error::CommandError;
use super::plan_parameters::{new_plan, set_parameters};
use clap::{Args, Subcommand};
use mallowseam_control_protocol::PlanRequest;
use mallowseam_plans::state::{Change, State};
use std::path::PathBuf;

// No doc comments on these structs: clap would use them as the help texts of the subcommands.

#[derive(Args)]
pub(super) struct ServiceFile {
    /// The plan service's configuration file, which names its control socket
    #[arg(value_name = "FILE")]
    path: PathBuf,
}

// Options of all subcommands that change plans.
#[derive(Args)]
pub(super) struct ChangeOptions {
    /// Who makes the change; recorded in the change log
    #[arg(long)]
    author: String,
    /// Why the change is made; recorded in the change log
    #[arg(long)]
    reason: String,
    /// Check the change and show its effect, without making it
    #[arg(long)]
    dry_run: bool,
    /// Wait until the new version is in effect at all hosts, or report what blocks it
    #[arg(long)]
    wait: bool,
}

#[derive(Args)]
pub(super) struct SetArguments {
    #[command(flatten)]
    file: ServiceFile,
    /// Name of the plan
    plan: String,
    /// Parameters as NAME=NUMBER: usual, reserve and limit in units a second, burst in units, weight, price
    #[arg(required = true)]
    figures: Vec<String>,
    /// Make the change only if this is still the newest version
    #[arg(long)]
    expected: Option<u64>,
    #[command(flatten)]
    options: ChangeOptions,
}

#[derive(Args)]
pub(super) struct AssignArguments {
    #[command(flatten)]
    file: ServiceFile,
    /// Name of the volume
    volume: String,
    /// Name of the plan
    plan: String,
    #[command(flatten)]
    options: ChangeOptions,
}

#[derive(Args)]
pub(super) struct RemoveArguments {
    #[command(flatten)]
    file: ServiceFile,
    /// Name of the plan
    plan: String,
    #[command(flatten)]
    options: ChangeOptions,
}

#[derive(Args)]
pub(super) struct UndoArguments {
    #[command(flatten)]
    file: ServiceFile,
    /// The version whose change is reverted
    version: u64,
    #[command(flatten)]
    options: ChangeOptions,
}

#[derive(Args)]
pub(super) struct HistoryArguments {
    #[command(flatten)]
    file: ServiceFile,
    /// First version to print
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Maximum number of entries to print
    #[arg(long, visible_alias = "most", default_value_t = 1000)]
    limit: usize,
}

#[derive(Subcommand)]
pub(super) enum Command {
    /// Set parameters of a plan; create the plan if there is none of this name
    ///
    /// Parameters that are not named keep their values. A new plan has weight 1 and price 1, and 0 for the rest.
    Set(SetArguments),
    /// Assign a plan to a volume
    Of(AssignArguments),
    /// Remove a plan that no volume is assigned to
    Drop(RemoveArguments),
    /// Show all plans and the plan of each volume
    Show {
        #[command(flatten)]
        file: ServiceFile,
        /// Show the plans of this version, instead of the newest
        version: Option<u64>,
    },
    /// Print entries of the change log
    History(HistoryArguments),
    /// Show the changes between two versions
    Diff {
        #[command(flatten)]
        file: ServiceFile,
        /// The version to start from
        one: u64,
        /// The version to end with
        other: u64,
    },
    /// Revert the change that a version made, as a new version
    Undo(UndoArguments),
    /// Show which version is in effect at all hosts, and what blocks the newest one
    Hosts {
        #[command(flatten)]
        file: ServiceFile,
    },
    /// Declare that a host has stopped for good, so that no version waits for it
    Gone {
        #[command(flatten)]
        file: ServiceFile,
        /// Name of the host
        host: String,
    },
    /// Replay the whole change log and compare the result with the current state
    Replay {
        #[command(flatten)]
        file: ServiceFile,
    },
}

/// Sends the request to the plan service and returns the service's answer.
pub(super) fn execute(command: Command) -> Result<String, CommandError> {
    match command {
        Command::Set(arguments) => arguments.execute(),
        Command::Of(arguments) => arguments.execute(),
        Command::Drop(arguments) => arguments.execute(),
        Command::Show { file, version } => file.send_request(&PlanRequest::Show { version }),
        Command::History(arguments) => arguments.execute(),
        Command::Diff { file, one, other } => file.send_request(&PlanRequest::Diff {
            from: one,
            to: other,
        }),
        Command::Undo(arguments) => arguments.execute(),
        Command::Hosts { file } => file.send_request(&PlanRequest::Hosts),
        Command::Gone { file, host } => file.send_request(&PlanRequest::RemoveHost { host }),
        Command::Replay { file } => file.send_request(&PlanRequest::Replay),
    }
}

impl ServiceFile {
    fn send_request(&self, request: &PlanRequest) -> Result<String, CommandError> {
        let line = serde_json::to_string(request).expect("requests can be serialized");
        control::send_request(&self.path, Service::Plans, &line)
    }
}

impl ChangeOptions {
    /// Returns the request that makes a change.
    fn set_request(self, change: Change, expected: Option<u64>) -> PlanRequest {
        PlanRequest::Set {
            change,
            expected,
            author: self.author,
            reason: self.reason,
            dry_run: self.dry_run,
            wait: self.wait,
        }
    }

    /// Returns the request that reverts the change of a version.
    fn undo_request(self, version: u64) -> PlanRequest {
        PlanRequest::Undo {
            version,
            author: self.author,
            reason: self.reason,
            dry_run: self.dry_run,
            wait: self.wait,
        }
    }
}

impl SetArguments {
    /// Sets the given parameters and keeps the others. The request names the version that the others were read
    /// from, so that the plan service rejects it if there is a newer version by then.
    fn execute(self) -> Result<String, CommandError> {
        let version = self.expected;
        let answer = self.file.send_request(&PlanRequest::Show { version })?;
        let state: State =
            serde_json::from_str(&answer).map_err(|source| CommandError::Answer {
                from: "plan service",
                source,
            })?;
        let current = state.plans.get(&self.plan).cloned();
        let mut plan = current.unwrap_or_else(new_plan);
        set_parameters(&mut plan, &self.figures).map_err(CommandError::PlanParameters)?;
        let change = Change::SetPlan {
            name: self.plan,
            plan,
        };
        let expected = self.expected.unwrap_or(state.version);
        let request = self.options.set_request(change, Some(expected));
        self.file.send_request(&request)
    }
}

impl AssignArguments {
    fn execute(self) -> Result<String, CommandError> {
        let change = Change::AssignPlan {
            volume: self.volume,
            plan: self.plan,
        };
        self.file
            .send_request(&self.options.set_request(change, None))
    }
}

impl RemoveArguments {
    fn execute(self) -> Result<String, CommandError> {
        let change = Change::RemovePlan { name: self.plan };
        self.file
            .send_request(&self.options.set_request(change, None))
    }
}

impl UndoArguments {
    fn execute(self) -> Result<String, CommandError> {
        self.file
            .send_request(&self.options.undo_request(self.version))
    }
}

impl HistoryArguments {
    fn execute(self) -> Result<String, CommandError> {
        self.file.send_request(&PlanRequest::History {
            from: self.from,
            limit: self.limit,
        })
    }
}
