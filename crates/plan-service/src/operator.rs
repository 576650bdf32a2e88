//! Requests of operators to the plan service, on its control socket.
use crate::error::Error;
use crate::limit_change::lowers_a_limit;
use crate::rollout_text::describe_rollout;
use crate::{PlanService, is_identified, wall_clock};
use mallowseam_change_log::Error as StoreError;
use mallowseam_control_protocol::PlanRequest;
use mallowseam_control_protocol::control_socket::{self, ConnectionId};
use mallowseam_plans::change_log::{ChangeLog, LogEntry};
use mallowseam_plans::error::ChangeError;
use mallowseam_plans::messages::ServiceMessage;
use mallowseam_plans::state::Change;
use mallowseam_service_loop::Answer;

/// Maximum number of change log entries in one answer: some 3 MB.
const MAX_HISTORY_ENTRIES: usize = 10_000;

/// Reason why a request is refused or, after a failed write, the service stops.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    #[error(transparent)]
    Serialize(serde_json::Error),
    #[error(transparent)]
    Refused(#[from] ChangeError),
    #[error(transparent)]
    ReadStore(StoreError),
    #[error("no version {0}")]
    NoSuchVersion(u64),
    #[error("host `{0}` is unknown or not silent; only a silent host can be declared gone")]
    HostNotRemovable(String),
    /// A change could not be stored. The service stops, since the store accepts no more changes; hosts continue with
    /// the version that they have.
    #[error(transparent)]
    WriteStore(StoreError),
}

/// Author and reason of a change, and how to carry it out.
struct ChangeOptions {
    author: String,
    reason: String,
    dry_run: bool,
    wait: bool,
}

impl PlanService {
    /// Handles a request line from the control socket. Returns an error if the store has failed.
    pub(crate) fn on_request(
        &mut self,
        connection: ConnectionId,
        line: &str,
    ) -> Result<Answer, Error> {
        if line == "stop" {
            self.sockets.request_stop();
            return Ok(Answer::Now("stopping".to_owned()));
        }
        let request = serde_json::from_str(line).map_err(RequestError::from);
        match request.and_then(|request| self.execute(connection, request)) {
            Ok(answer) => Ok(answer),
            Err(RequestError::WriteStore(error)) => Err(Error::Store(error)),
            Err(error) => Ok(Answer::Now(control_socket::refusal(&error))),
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
            } => {
                let options = ChangeOptions {
                    author,
                    reason,
                    dry_run,
                    wait,
                };
                self.set(connection, &change, expected, options)
            }
            PlanRequest::Undo {
                version,
                author,
                reason,
                dry_run,
                wait,
            } => {
                let options = ChangeOptions {
                    author,
                    reason,
                    dry_run,
                    wait,
                };
                let change = self.reverting_change(version)?;
                self.set(connection, &change, None, options)
            }
            PlanRequest::Show { version } => self.show(version).map(Answer::Now),
            PlanRequest::History { from, limit } => self.history(from, limit).map(Answer::Now),
            PlanRequest::Diff { from, to } => self.diff(from, to).map(Answer::Now),
            PlanRequest::Hosts => {
                let text = describe_rollout(&self.rollout, self.version(), self.now);
                Ok(Answer::Now(text))
            }
            PlanRequest::RemoveHost { host } => self.remove_host(host).map(Answer::Now),
            PlanRequest::Replay => self.replay().map(Answer::Now),
        }
    }

    /// Returns the plans at a version; none: at the newest version.
    fn show(&self, version: Option<u64>) -> Result<String, RequestError> {
        match version {
            Some(version) => to_json(&self.at_version(version)?.state),
            None => to_json(&self.store.log().state),
        }
    }

    /// Returns entries of the change log, one per line.
    fn history(&self, from: u64, limit: usize) -> Result<String, RequestError> {
        let entries = self
            .store
            .entries(from, limit.min(MAX_HISTORY_ENTRIES))
            .map_err(RequestError::ReadStore)?;
        Ok(entries.join("\n"))
    }

    /// Returns the changes that lead from one version to another, one per line.
    fn diff(&self, from: u64, to: u64) -> Result<String, RequestError> {
        let from = self.at_version(from)?.state;
        let to = self.at_version(to)?.state;
        let changes = from.diff(&to);
        if changes.is_empty() {
            return Ok("no difference".to_owned());
        }
        let lines: Vec<String> = changes.iter().map(to_json).collect::<Result<_, _>>()?;
        Ok(lines.join("\n"))
    }

    /// Verifies the change log by replaying it from its first entry.
    fn replay(&self) -> Result<String, RequestError> {
        let entries = self.store.verify().map_err(RequestError::ReadStore)?;
        Ok(format!("trail replays: {entries} of {}", self.version()))
    }

    fn at_version(&self, version: u64) -> Result<ChangeLog, RequestError> {
        let found = self
            .store
            .log_at(version)
            .map_err(RequestError::ReadStore)?;
        found.ok_or(RequestError::NoSuchVersion(version))
    }

    /// Makes a change and sends it to the hosts. Answers at once or, if the operator waits for the rollout, later.
    /// `expected`: the version that the change was made for; none: the newest version.
    fn set(
        &mut self,
        connection: ConnectionId,
        change: &Change,
        expected: Option<u64>,
        options: ChangeOptions,
    ) -> Result<Answer, RequestError> {
        let ChangeOptions {
            author,
            reason,
            dry_run,
            wait,
        } = options;
        let log = self.store.log();
        let expected = expected.unwrap_or(log.state.version);
        let text = log.propose(expected, &author, &reason, wall_clock(), change.clone())?;
        if dry_run {
            return Ok(Answer::Now(format!("would be version {}", expected + 1)));
        }
        let version = self.append(change, text)?;
        if !wait {
            return Ok(Answer::Now(format!("version {version}")));
        }
        self.rollout_waits.add(connection, version, self.now);
        Ok(Answer::Later)
    }

    /// Stores the log entry of a change and sends it to the hosts. Returns its version.
    fn append(&mut self, change: &Change, text: String) -> Result<u64, RequestError> {
        let lowers_limit = lowers_a_limit(&self.store.log().state, change);
        let entry = self.store.append(&text).map_err(RequestError::WriteStore)?;
        tracing::info!(
            version = entry.version,
            author = entry.author,
            reason = entry.reason,
            "plans changed"
        );
        if lowers_limit {
            self.rollout.mark_limit_lowered(entry.version);
        }
        self.sockets
            .hosts_mut()
            .broadcast(&ServiceMessage::LogEntry { text }, is_identified);
        Ok(entry.version)
    }

    /// Returns the change that reverts the change of a version.
    fn reverting_change(&self, version: u64) -> Result<Change, RequestError> {
        let texts = self
            .store
            .entries(version, 1)
            .map_err(RequestError::ReadStore)?;
        let entry: LogEntry = texts
            .first()
            .and_then(|text| serde_json::from_str(text).ok())
            .ok_or(RequestError::NoSuchVersion(version))?;
        let before = version
            .checked_sub(1)
            .ok_or(RequestError::NoSuchVersion(version))?;
        Ok(self.at_version(before)?.state.revert(&entry.change))
    }

    /// Declares that a host has stopped permanently.
    fn remove_host(&mut self, host: String) -> Result<String, RequestError> {
        if !self.rollout.declare_removed(&host, self.now) {
            return Err(RequestError::HostNotRemovable(host));
        }
        self.store
            .remove_member(&host)
            .map_err(RequestError::WriteStore)?;
        Ok(format!("{host} is taken for gone"))
    }
}

fn to_json(value: &impl serde::Serialize) -> Result<String, RequestError> {
    serde_json::to_string(value).map_err(RequestError::Serialize)
}
