//! The operator's side of the plan service: requests on the control socket.
use super::{PlanRequest, PlanService, RolloutWait, is_known, wall_clock};
use crate::control_socket::ConnectionId;
use crate::error::Error;
use mallowseam_change_log::Error as StoreError;
use mallowseam_plans::Millis;
use mallowseam_plans::change_log::{ChangeLog, LogEntry};
use mallowseam_plans::error::ChangeError;
use mallowseam_plans::messages::ServiceMessage;
use mallowseam_plans::rollout::RolloutBlocker;
use mallowseam_plans::state::{Change, Plan, State};

/// Longest time, in milliseconds, that an operator waits for a version to be in effect.
const MAX_ROLLOUT_WAIT: Millis = 12_000;
/// Lines of history that one answer holds at most.
const MAX_HISTORY: usize = 10_000;

/// Why a request is refused, or the service cannot go on.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    #[error(transparent)]
    Refused(#[from] ChangeError),
    #[error(transparent)]
    ReadStore(StoreError),
    #[error("no version {0}")]
    NoSuchVersion(u64),
    #[error("`{0}`: unknown, or heard of in the last seconds")]
    HostNotRemovable(String),
    /// A change could not be stored. A store that fails is no store: the service ends, and hosts go on with
    /// what they have.
    #[error(transparent)]
    WriteStore(StoreError),
}

/// Answer to a request; none: it follows once a version is in effect.
type Answer = Option<String>;

/// A change with who makes it and how.
struct ChangeRequest {
    change: Change,
    expected: Option<u64>,
    author: String,
    reason: String,
    dry_run: bool,
    wait: bool,
}

impl PlanService {
    /// Handles a line on the control socket. Error: the store has failed.
    pub(super) fn on_request(
        &mut self,
        connection: ConnectionId,
        line: &str,
    ) -> Result<Answer, Error> {
        if line == "stop" {
            self.stopping = true;
            return Ok(Some("stopping".to_owned()));
        }
        let request = serde_json::from_str(line).map_err(RequestError::from);
        match request.and_then(|request| self.execute(connection, request)) {
            Ok(answer) => Ok(answer),
            Err(RequestError::WriteStore(fault)) => Err(Error::PlanStore(fault)),
            Err(refusal) => Ok(Some(format!("error: {refusal}"))),
        }
    }

    fn execute(
        &mut self,
        connection: ConnectionId,
        request: PlanRequest,
    ) -> Result<Answer, RequestError> {
        match request {
            PlanRequest::Set {
                change,
                expected,
                author,
                reason,
                dry_run,
                wait,
            } => self.set(
                connection,
                ChangeRequest {
                    change,
                    expected,
                    author,
                    reason,
                    dry_run,
                    wait,
                },
            ),
            PlanRequest::Undo {
                version,
                author,
                reason,
                dry_run,
                wait,
            } => {
                let change = self.reverse_change(version)?;
                self.set(
                    connection,
                    ChangeRequest {
                        change,
                        expected: None,
                        author,
                        reason,
                        dry_run,
                        wait,
                    },
                )
            }
            PlanRequest::Show { version } => {
                let state = match version {
                    Some(version) => self.at_version(version)?.state,
                    None => self.store.log().state.clone(),
                };
                Ok(Some(to_json(&state)))
            }
            PlanRequest::History { from, limit } => {
                let lines = self
                    .store
                    .entries(from, limit.min(MAX_HISTORY))
                    .map_err(RequestError::ReadStore)?;
                Ok(Some(lines.join("\n")))
            }
            PlanRequest::Diff { from, to } => {
                let changes = self
                    .at_version(from)?
                    .state
                    .diff(&self.at_version(to)?.state);
                let lines: Vec<String> = changes.iter().map(to_json).collect();
                Ok(Some(if lines.is_empty() {
                    "no difference".to_owned()
                } else {
                    lines.join("\n")
                }))
            }
            PlanRequest::Hosts => Ok(Some(self.describe_hosts())),
            PlanRequest::RemoveHost { host } => self.remove_host(host).map(Some),
            PlanRequest::Replay => {
                let lines = self.store.verify().map_err(RequestError::ReadStore)?;
                Ok(Some(format!(
                    "trail replays: {lines} of {}",
                    self.version()
                )))
            }
        }
    }

    fn at_version(&self, version: u64) -> Result<ChangeLog, RequestError> {
        let found = self
            .store
            .log_at(version)
            .map_err(RequestError::ReadStore)?;
        found.ok_or(RequestError::NoSuchVersion(version))
    }

    /// Makes a change, sends it to the hosts and answers, or has the operator wait for the rollout.
    fn set(
        &mut self,
        connection: ConnectionId,
        request: ChangeRequest,
    ) -> Result<Answer, RequestError> {
        let ChangeRequest {
            change,
            expected,
            author,
            reason,
            dry_run,
            wait,
        } = request;
        let log = self.store.log();
        let expected = expected.unwrap_or(log.state.version);
        let text = log
            .propose(expected, &author, &reason, wall_clock(), change.clone())
            .map_err(RequestError::Refused)?;
        if dry_run {
            return Ok(Some(format!("would be version {}", expected + 1)));
        }
        let lowers = lowers_a_limit(&log.state, &change);
        let line = self.store.append(&text).map_err(RequestError::WriteStore)?;
        tracing::info!(
            version = line.version,
            author = line.author,
            reason = line.reason,
            "plans changed"
        );
        if lowers {
            self.rollout.mark_limit_lowered(line.version);
        }
        self.peers
            .broadcast(&ServiceMessage::LogEntry { text }, is_known);
        if !wait {
            return Ok(Some(format!("version {}", line.version)));
        }
        let deadline = self.now + MAX_ROLLOUT_WAIT;
        self.rollout_waits.push(RolloutWait {
            connection,
            version: line.version,
            deadline,
        });
        Ok(None)
    }

    /// The change that takes back the change of a version.
    fn reverse_change(&self, version: u64) -> Result<Change, RequestError> {
        let line = self
            .store
            .entries(version, 1)
            .map_err(RequestError::ReadStore)?
            .pop();
        let line: LogEntry = line
            .and_then(|text| serde_json::from_str(&text).ok())
            .ok_or(RequestError::NoSuchVersion(version))?;
        Ok(self.at_version(version - 1)?.state.revert(&line.change))
    }

    fn describe_hosts(&self) -> String {
        let newest = self.version();
        let count = self.rollout.member_count();
        let everywhere = self.rollout.effective_version(newest, self.now);
        let mut text =
            format!("version {newest}; {count} hosts; in force at all of them: {everywhere}");
        let blockers = self.rollout.blockers(newest, self.now);
        if !blockers.is_empty() {
            text += &format!("\nwaits: {}", describe_blockers(&blockers));
        }
        text
    }

    fn remove_host(&mut self, host: String) -> Result<String, RequestError> {
        if !self.rollout.declare_removed(&host, self.now) {
            return Err(RequestError::HostNotRemovable(host));
        }
        self.store
            .remove_member(&host)
            .map_err(RequestError::WriteStore)?;
        Ok(format!("{host} is taken for gone"))
    }

    /// Answers operators whose version is in effect at all hosts, or whose deadline has passed.
    pub(super) fn answer_rollout_waits(&mut self) {
        for wait in std::mem::take(&mut self.rollout_waits) {
            let version = wait.version;
            let pending = self.rollout.blockers(version, self.now);
            let text = if pending.is_empty() {
                format!(
                    "version {version} in force at all {} hosts",
                    self.rollout.member_count()
                )
            } else if self.now >= wait.deadline {
                let pending = describe_blockers(&pending);
                format!(
                    "error: version {version} stands, and is not in force everywhere: {pending}"
                )
            } else {
                self.rollout_waits.push(wait);
                continue;
            };
            if let Some(control) = &mut self.control {
                control.answer(wait.connection, &text);
            }
        }
    }
}

fn to_json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("plans are plain data")
}

/// Whether a change lowers the limit of any volume. No limit is the highest.
fn lowers_a_limit(state: &State, change: &Change) -> bool {
    let mut next = state.clone();
    if next.apply(change).is_err() {
        return false;
    }
    let limit = |plan: Option<&Plan>| plan.map_or(0, |plan| plan.rate_limit);
    state.volumes.keys().any(|volume| {
        let (old, new) = (limit(state.plan_of(volume)), limit(next.plan_of(volume)));
        new > 0 && (old == 0 || new < old)
    })
}

fn describe_blockers(blockers: &[RolloutBlocker]) -> String {
    let describe = |blocker: &RolloutBlocker| match blocker {
        RolloutBlocker::Silent {
            host,
            accepted_version,
            ..
        } => {
            format!("{host} is silent, acts on {accepted_version}")
        }
        RolloutBlocker::Behind {
            host,
            accepted_version,
        } => {
            format!("{host} acts on {accepted_version}")
        }
        RolloutBlocker::Rejected { host, reason } => format!("{host} turned it down: {reason}"),
        RolloutBlocker::UnexpiredLeases { .. } => "what was lent before lapses".to_owned(),
    };
    blockers.iter().map(describe).collect::<Vec<_>>().join("; ")
}
