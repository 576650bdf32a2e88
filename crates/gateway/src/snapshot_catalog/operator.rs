//! The operator's side of the snapshot catalog: requests on the control socket, and operations that take a
//! while.
use super::hosts::name_of;
use super::listing::{block_runs, list};
use super::{CatalogService, Reply};
use crate::clock::ticks_to_millis;
use crate::control_socket::ConnectionId;
use crate::host_connections::HostId;
use mallowseam_cow::Millis;
use mallowseam_cow::consistent_cut::{ConsistentCut, CutFailure, CutProgress};
use mallowseam_cow::messages::ToHost;
use mallowseam_cow::tree::{Change, ChangeError, LayerId};

/// An operation whose end an operator waits for.
pub(super) struct PendingOperation {
    connection: ConnectionId,
    pub(super) operation: Operation,
}

/// What an operator waits for.
pub(super) enum Operation {
    /// A snapshot is begun once all hosts that may act are known.
    BeginCut { branch: String, name: String },
    /// A snapshot is in progress.
    Cut(ConsistentCut),
    /// A version is in effect at all hosts, and nodes have closed a layer.
    Rollout {
        version: u64,
        closing: Option<LayerId>,
        answer: String,
    },
}

impl Operation {
    fn is_cut_of(&self, branch: &str) -> bool {
        matches!(self, Operation::Cut(cut) if cut.branch == branch)
    }
}

/// Why a request is refused, or an operation failed.
#[derive(Debug, thiserror::Error)]
enum OperatorError {
    #[error(transparent)]
    Refused(#[from] ChangeError),
    /// These hosts have split writes in flight, or have not reported that their writes are quiesced.
    #[error("writes under way at {}; no snapshot was made", .0.join(", "))]
    HostsNotQuiesced(Vec<String>),
    /// These nodes have not closed their layers in time.
    #[error("not closed in time by {}; no snapshot was made", .0.join(", "))]
    NodesNotClosed(Vec<String>),
    #[error("`{0}`: a volume of the configuration")]
    ConfiguredVolume(String),
    #[error("`{0}`: no such name")]
    NoSuchName(String),
    #[error(transparent)]
    Serialize(#[from] serde_json::Error),
    #[error("`{0}`: expected snapshot, clone, rollback, delete, list, diff, tree or stop")]
    Unknown(String),
}

/// Answer to a request; none: it follows when an operation has ended.
type Answer = Option<String>;

impl CatalogService {
    /// Handles a line on the control socket.
    pub(super) fn on_request(&mut self, connection: ConnectionId, line: &str) {
        match self.execute(connection, line) {
            Ok(Some(answer)) => self.replies.push(Reply::Operator(connection, answer)),
            Ok(None) => {}
            Err(e) => self
                .replies
                .push(Reply::Operator(connection, format!("error: {e}"))),
        }
    }

    fn execute(&mut self, connection: ConnectionId, line: &str) -> Result<Answer, OperatorError> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["snapshot", branch, name] => self.request_snapshot(connection, branch, name),
            ["clone", snapshot, branch] => self.create_clone(connection, snapshot, branch),
            ["rollback", branch, snapshot] => self.roll_back(connection, branch, snapshot),
            ["delete", name] => self.delete(name).map(Some),
            ["list"] => Ok(Some(list(self.tree()))),
            ["diff", one, other] => self.diff(one, other).map(Some),
            ["tree"] => Ok(Some(serde_json::to_string(self.tree())?)),
            ["stop"] => {
                self.sockets.request_stop();
                Ok(Some("stopping".to_owned()))
            }
            _ => Err(OperatorError::Unknown(line.to_owned())),
        }
    }

    fn wait(&mut self, connection: ConnectionId, operation: Operation) {
        self.pending_operations.push(PendingOperation {
            connection,
            operation,
        });
    }

    fn request_snapshot(
        &mut self,
        connection: ConnectionId,
        branch: &str,
        name: &str,
    ) -> Result<Answer, OperatorError> {
        if self.leases.all_hosts_known(ticks_to_millis(self.now)) {
            self.begin_cut(connection, branch, name)?;
        } else {
            let (branch, name) = (branch.to_owned(), name.to_owned());
            self.wait(connection, Operation::BeginCut { branch, name });
        }
        Ok(None)
    }

    fn create_clone(
        &mut self,
        connection: ConnectionId,
        snapshot: &str,
        branch: &str,
    ) -> Result<Answer, OperatorError> {
        let change = Change::CloneCreated {
            snapshot: snapshot.to_owned(),
            branch: branch.to_owned(),
        };
        let version = self.propose(change)?;
        let answer = format!("{branch} made, LUN {}", self.tree().branches[branch].lun);
        self.wait(
            connection,
            Operation::Rollout {
                version,
                closing: None,
                answer,
            },
        );
        Ok(None)
    }

    fn roll_back(
        &mut self,
        connection: ConnectionId,
        branch: &str,
        snapshot: &str,
    ) -> Result<Answer, OperatorError> {
        let old_head = self.tree().branch(branch)?.head;
        let change = Change::BranchRolledBack {
            branch: branch.to_owned(),
            snapshot: snapshot.to_owned(),
        };
        let version = self.propose(change)?;
        let answer = format!("{branch} shows {snapshot}");
        self.wait(
            connection,
            Operation::Rollout {
                version,
                closing: Some(old_head),
                answer,
            },
        );
        self.close_layers();
        Ok(None)
    }

    fn delete(&mut self, name: &str) -> Result<String, OperatorError> {
        let change = if name.contains('@') {
            Change::SnapshotDeleted {
                snapshot: name.to_owned(),
            }
        } else if self.config.volumes.iter().any(|volume| volume.name == name) {
            return Err(OperatorError::ConfiguredVolume(name.to_owned()));
        } else {
            Change::BranchDeleted {
                branch: name.to_owned(),
            }
        };
        self.propose(change)?;
        Ok(format!(
            "{name} deleted; its space is given back in the background"
        ))
    }

    /// Runs of blocks in which two volumes, clones or snapshots may differ.
    fn diff(&self, one: &str, other: &str) -> Result<String, OperatorError> {
        let tree = self.tree();
        let layer = |name: &str| {
            tree.layer_read_by(name)
                .ok_or_else(|| OperatorError::NoSuchName(name.to_owned()))
        };
        let extents = |name: &str| {
            let branch = tree.branches.get(name).map(|branch| branch.extent_count);
            branch
                .or_else(|| {
                    tree.snapshots
                        .get(name)
                        .map(|snapshot| snapshot.extent_count)
                })
                .unwrap_or(0)
        };
        let differing = tree.diff(layer(one)?, layer(other)?, extents(one).max(extents(other)));
        Ok(block_runs(&differing, self.extent_blocks()))
    }

    /// Freezes the head of a branch; the snapshot is granted once nodes and hosts have answered.
    fn begin_cut(
        &mut self,
        connection: ConnectionId,
        branch: &str,
        name: &str,
    ) -> Result<(), OperatorError> {
        let now = ticks_to_millis(self.now);
        let begun = ConsistentCut::begin(
            self.tree(),
            branch,
            name,
            self.leases.active_hosts(now),
            now,
        );
        let (change, cut) = begun.map_err(|failure| self.failure(failure))?;
        self.propose(change)?;
        self.wait(connection, Operation::Cut(cut));
        // No time is lost: requests go to nodes and hosts in this iteration.
        self.close_layers();
        self.quiesce_hosts(now);
        Ok(())
    }

    fn failure(&self, failure: CutFailure) -> OperatorError {
        match failure {
            CutFailure::Rejected(error) => OperatorError::Refused(error),
            CutFailure::HostsNotQuiesced(hosts) => {
                OperatorError::HostsNotQuiesced(hosts.into_iter().collect())
            }
            CutFailure::NodesNotClosed(nodes) => {
                let name = |node: u32| self.nodes.name(node as usize).to_owned();
                OperatorError::NodesNotClosed(nodes.into_iter().map(name).collect())
            }
        }
    }

    /// Asks hosts that pending cuts wait for to quiesce the cut's layer.
    pub(super) fn quiesce_hosts(&mut self, now: Millis) {
        let holding = self.leases.active_hosts(now);
        let mut questions = Vec::new();
        for pending in &mut self.pending_operations {
            if let Operation::Cut(cut) = &mut pending.operation {
                let unquiesced = cut.unquiesced_hosts(&holding).clone();
                let question = ToHost::Quiesce {
                    layer: cut.layer,
                    branch: cut.branch.clone(),
                };
                questions.push((unquiesced, question));
            }
        }
        for (unquiesced, question) in questions {
            let is_unquiesced = |name: &str| unquiesced.contains(name);
            let hosts: Vec<HostId> = self
                .sockets
                .hosts()
                .iter()
                .filter(|(_, host)| is_unquiesced(name_of(host)))
                .map(|(id, _)| id)
                .collect();
            for host in hosts {
                self.replies.push(Reply::Host(host, question.clone()));
            }
        }
    }

    /// Advances pending operations as far as possible now.
    pub(super) fn advance_operations(&mut self, now: Millis) {
        let mut ended_cuts: Vec<String> = Vec::new();
        for pending in std::mem::take(&mut self.pending_operations) {
            let PendingOperation {
                connection,
                operation,
            } = pending;
            match operation {
                Operation::BeginCut { branch, name } => {
                    self.advance_begin_cut(connection, branch, name, now);
                }
                Operation::Cut(cut) => ended_cuts.extend(self.advance_cut(connection, cut, now)),
                Operation::Rollout {
                    version,
                    closing,
                    answer,
                } => {
                    let open = |layer: LayerId| {
                        self.tree().layers.contains_key(&layer)
                            && self
                                .tree()
                                .pending_closes()
                                .any(|(other, _)| other == layer)
                    };
                    if !closing.is_some_and(open) && self.leases.is_effective(version, now) {
                        self.replies.push(Reply::Operator(connection, answer));
                    } else {
                        self.wait(
                            connection,
                            Operation::Rollout {
                                version,
                                closing,
                                answer,
                            },
                        );
                    }
                }
            }
        }
        ended_cuts.iter().for_each(|branch| self.on_cut_end(branch));
    }

    fn advance_begin_cut(
        &mut self,
        connection: ConnectionId,
        branch: String,
        name: String,
        now: Millis,
    ) {
        if !self.leases.all_hosts_known(now) {
            self.wait(connection, Operation::BeginCut { branch, name });
        } else if let Err(e) = self.begin_cut(connection, &branch, &name) {
            self.replies
                .push(Reply::Operator(connection, format!("error: {e}")));
        }
    }

    /// Takes the next step of a snapshot in progress. Returns its branch if the cut has ended.
    fn advance_cut(
        &mut self,
        connection: ConnectionId,
        mut cut: ConsistentCut,
        now: Millis,
    ) -> Option<String> {
        match cut.progress(self.tree(), now) {
            CutProgress::Wait => {
                self.wait(connection, Operation::Cut(cut));
                None
            }
            CutProgress::Restart => {
                if let Some(change) = cut.restart(self.tree(), self.leases.active_hosts(now)) {
                    let _ = self.propose(change);
                }
                self.wait(connection, Operation::Cut(cut));
                self.close_layers();
                self.quiesce_hosts(now);
                None
            }
            CutProgress::Grant(change) => {
                self.grant(connection, &cut, change);
                Some(cut.branch)
            }
            CutProgress::Fail(failure) => {
                let reason = self.failure(failure);
                tracing::warn!(snapshot = format!("{}@{}", cut.branch, cut.name), %reason, "snapshot failed");
                self.replies
                    .push(Reply::Operator(connection, format!("error: {reason}")));
                Some(cut.branch)
            }
        }
    }

    /// Names the frozen layer. The operator is answered once every host knows the snapshot's unit.
    fn grant(&mut self, connection: ConnectionId, cut: &ConsistentCut, change: Change) {
        let snapshot = format!("{}@{}", cut.branch, cut.name);
        match self.propose(change) {
            Ok(version) => {
                tracing::info!(snapshot, "snapshot granted");
                let answer = format!(
                    "{snapshot} granted, LUN {}",
                    self.tree().snapshots[&snapshot].lun
                );
                self.wait(
                    connection,
                    Operation::Rollout {
                        version,
                        closing: None,
                        answer,
                    },
                );
            }
            Err(refused) => self
                .replies
                .push(Reply::Operator(connection, format!("error: {refused}"))),
        }
    }

    /// A cut has ended: hosts may begin split writes again, if no other cut of the branch is pending.
    fn on_cut_end(&mut self, branch: &str) {
        if self
            .pending_operations
            .iter()
            .any(|pending| pending.operation.is_cut_of(branch))
        {
            return;
        }
        for host in self.sockets.hosts().ids() {
            self.replies.push(Reply::Host(
                host,
                ToHost::CutFinished {
                    branch: branch.to_owned(),
                },
            ));
        }
    }
}
