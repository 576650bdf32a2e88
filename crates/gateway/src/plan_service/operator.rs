//! The operator's side of the plan service: requests on the control socket.
use super::{PlanRequest, PlanService, RolloutWait, is_known, wall_clock};
use crate::control_socket::ConnectionId;
use crate::error::Error;
use mallowseam_plans::Millis;
use mallowseam_plans::force::Waits;
use mallowseam_plans::state::{Change, Plan, Refused, State};
use mallowseam_plans::trail::{Line, Trail};
use mallowseam_plans::words::ToMember;
use mallowseam_trail::Fault;

/// How long an operator waits at most for a version to be in effect.
const MAX_ROLLOUT_WAIT: Millis = 12_000;
/// Lines of history that one answer holds at most.
const MAX_HISTORY: usize = 10_000;

/// Why a request is refused, or the service cannot go on.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    #[error("{0}")]
    Refused(Refused),
    #[error("{0}")]
    ReadStore(Fault),
    #[error("no version {0}")]
    NoSuchVersion(u64),
    #[error("`{0}`: unknown, or heard of in the last seconds")]
    HostNotRemovable(String),
    /// A change could not be stored. A store that fails is no store: the service ends, and hosts go on with what
    /// they have.
    #[error("{0}")]
    WriteStore(Fault),
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
    pub(super) fn on_request(&mut self, caller: ConnectionId, line: &str) -> Result<Answer, Error> {
        if line == "stop" {
            self.stopping = true;
            return Ok(Some("stopping".to_owned()));
        }
        let request = serde_json::from_str(line).map_err(RequestError::from);
        match request.and_then(|request| self.execute(caller, request)) {
            Ok(answer) => Ok(answer),
            Err(RequestError::WriteStore(fault)) => Err(Error::PlanStore(fault)),
            Err(refusal) => Ok(Some(format!("error: {refusal}"))),
        }
    }

    fn execute(&mut self, caller: ConnectionId, request: PlanRequest) -> Result<Answer, RequestError> {
        match request {
            PlanRequest::Set { change, expected, author, reason, dry_run, wait } => {
                self.set(caller, ChangeRequest { change, expected, author, reason, dry_run, wait })
            }
            PlanRequest::Undo { version, author, reason, dry_run, wait } => {
                let change = self.reverse_change(version)?;
                self.set(caller, ChangeRequest { change, expected: None, author, reason, dry_run, wait })
            }
            PlanRequest::Show { version } => {
                let state = match version {
                    Some(version) => self.at_version(version)?.state,
                    None => self.store.trail().state.clone(),
                };
                Ok(Some(to_json(&state)))
            }
            PlanRequest::History { from, limit } => {
                let lines =
                    self.store.lines(from, limit.min(MAX_HISTORY)).map_err(RequestError::ReadStore)?;
                Ok(Some(lines.join("\n")))
            }
            PlanRequest::Diff { from, to } => {
                let changes = self.at_version(from)?.state.diff(&self.at_version(to)?.state);
                let lines: Vec<String> = changes.iter().map(to_json).collect();
                Ok(Some(if lines.is_empty() { "no difference".to_owned() } else { lines.join("\n") }))
            }
            PlanRequest::Hosts => Ok(Some(self.describe_hosts())),
            PlanRequest::RemoveHost { host } => self.remove_host(host).map(Some),
            PlanRequest::Replay => {
                let lines = self.store.replay().map_err(RequestError::ReadStore)?;
                Ok(Some(format!("trail replays: {lines} of {}", self.version())))
            }
        }
    }

    fn at_version(&self, version: u64) -> Result<Trail, RequestError> {
        let found = self.store.at(version).map_err(RequestError::ReadStore)?;
        found.ok_or(RequestError::NoSuchVersion(version))
    }

    /// Makes a change, sends it to the hosts and answers, or has the caller wait for the rollout.
    fn set(&mut self, caller: ConnectionId, request: ChangeRequest) -> Result<Answer, RequestError> {
        let ChangeRequest { change, expected, author, reason, dry_run, wait } = request;
        let trail = self.store.trail();
        let expected = expected.unwrap_or(trail.state.version);
        let text = trail
            .propose(expected, &author, &reason, wall_clock(), change.clone())
            .map_err(RequestError::Refused)?;
        if dry_run {
            return Ok(Some(format!("would be version {}", expected + 1)));
        }
        let lowers = lowers_a_limit(&trail.state, &change);
        let line = self.store.keep(&text).map_err(RequestError::WriteStore)?;
        tracing::info!(version = line.version, author = line.author, reason = line.reason, "plans changed");
        if lowers {
            self.rollout.lowers(line.version);
        }
        self.peers.broadcast(&ToMember::Line { text }, is_known);
        if !wait {
            return Ok(Some(format!("version {}", line.version)));
        }
        let deadline = self.now + MAX_ROLLOUT_WAIT;
        self.rollout_waits.push(RolloutWait { caller, version: line.version, deadline });
        Ok(None)
    }

    /// The change that takes back the change of a version.
    fn reverse_change(&self, version: u64) -> Result<Change, RequestError> {
        let line = self.store.lines(version, 1).map_err(RequestError::ReadStore)?.pop();
        let line: Line = line
            .and_then(|text| serde_json::from_str(&text).ok())
            .ok_or(RequestError::NoSuchVersion(version))?;
        Ok(self.at_version(version - 1)?.state.undo(&line.change))
    }

    fn describe_hosts(&self) -> String {
        let newest = self.version();
        let count = self.rollout.count();
        let everywhere = self.rollout.everywhere(newest, self.now);
        let mut text = format!("version {newest}; {count} hosts; in force at all of them: {everywhere}");
        let waits = self.rollout.waits(newest, self.now);
        if !waits.is_empty() {
            text += &format!("\nwaits: {}", describe_waits(&waits));
        }
        text
    }

    fn remove_host(&mut self, host: String) -> Result<String, RequestError> {
        if !self.rollout.gone(&host, self.now) {
            return Err(RequestError::HostNotRemovable(host));
        }
        self.store.member(&host, false).map_err(RequestError::WriteStore)?;
        Ok(format!("{host} is taken for gone"))
    }

    /// Answers callers whose version is in effect at all hosts, or whose time is up.
    pub(super) fn answer_rollout_waits(&mut self) {
        for wait in std::mem::take(&mut self.rollout_waits) {
            let version = wait.version;
            let pending = self.rollout.waits(version, self.now);
            let text = if pending.is_empty() {
                format!("version {version} in force at all {} hosts", self.rollout.count())
            } else if self.now >= wait.deadline {
                let pending = describe_waits(&pending);
                format!("error: version {version} stands, and is not in force everywhere: {pending}")
            } else {
                self.rollout_waits.push(wait);
                continue;
            };
            if let Some(control) = &mut self.control {
                control.answer(wait.caller, &text);
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
    let limit = |plan: Option<&Plan>| plan.map_or(0, |plan| plan.limit);
    state.volumes.keys().any(|volume| {
        let (old, new) = (limit(state.plan_of(volume)), limit(next.plan_of(volume)));
        new > 0 && (old == 0 || new < old)
    })
}

fn describe_waits(waits: &[Waits]) -> String {
    let describe = |wait: &Waits| match wait {
        Waits::Silent { host, acts_on, .. } => format!("{host} is silent, acts on {acts_on}"),
        Waits::Behind { host, acts_on } => format!("{host} acts on {acts_on}"),
        Waits::Against { host, why } => format!("{host} turned it down: {why}"),
        Waits::Lapses { .. } => "what was lent before lapses".to_owned(),
    };
    waits.iter().map(describe).collect::<Vec<_>>().join("; ")
}
