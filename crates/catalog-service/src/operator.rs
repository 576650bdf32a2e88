//! The operator's side of the snapshot catalog: requests on the control socket.
use crate::listing::{format_block_ranges, list};
use crate::pending_operations::{Operation, Rollout, SnapshotRequest};
use crate::{CatalogService, NodeConnections};
use mallowseam_control_protocol::control_socket::ConnectionId;
use mallowseam_cow::consistent_cut::{ConsistentCut, CutFailure};
use mallowseam_cow::tree::{Change, ChangeError, LayerId, Tree};
use mallowseam_service_loop::Answer;

/// Why a request of an operator is refused, or an operation has failed. Operators read these texts on the control
/// socket.
#[derive(Debug, thiserror::Error)]
pub(crate) enum OperatorError {
    /// The change does not fit the tree.
    #[error(transparent)]
    Refused(#[from] ChangeError),
    /// The named hosts have split writes in flight, or have not confirmed that they have none.
    #[error("writes under way at {}; no snapshot was made", .0.join(", "))]
    HostsNotQuiesced(Vec<String>),
    /// The named nodes have not closed their layers in time.
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

impl<N: NodeConnections> CatalogService<N> {
    /// Handles a request on the control socket, which is one line.
    pub(crate) fn on_request(&mut self, connection: ConnectionId, line: &str) {
        match self.execute(connection, line) {
            Ok(Answer::Now(answer)) => self.outbox.answer(connection, answer),
            Ok(Answer::Later) => {}
            Err(e) => self.outbox.refuse(connection, &e),
        }
    }

    fn execute(&mut self, connection: ConnectionId, line: &str) -> Result<Answer, OperatorError> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["snapshot", branch, name] => self.request_snapshot(connection, branch, name),
            ["clone", snapshot, branch] => self.create_clone(connection, snapshot, branch),
            ["rollback", branch, snapshot] => self.roll_back(connection, branch, snapshot),
            ["delete", name] => self.delete(name).map(Answer::Now),
            ["list"] => Ok(Answer::Now(list(self.tree()))),
            ["diff", first, second] => self.diff(first, second).map(Answer::Now),
            ["tree"] => Ok(Answer::Now(serde_json::to_string(self.tree())?)),
            ["stop"] => {
                self.sockets.request_stop();
                Ok(Answer::Now("stopping".to_owned()))
            }
            _ => Err(OperatorError::Unknown(line.to_owned())),
        }
    }

    fn request_snapshot(
        &mut self,
        connection: ConnectionId,
        branch: &str,
        name: &str,
    ) -> Result<Answer, OperatorError> {
        let request = SnapshotRequest {
            branch: branch.to_owned(),
            name: name.to_owned(),
        };
        if self.leases.all_hosts_known(self.now_millis()) {
            self.begin_cut(connection, &request)?;
        } else {
            self.pending_operations
                .add(connection, Operation::BeginCut(request));
        }
        Ok(Answer::Later)
    }

    /// Begins a cut: freezes the head of a branch. The snapshot is granted once nodes and hosts have answered.
    pub(crate) fn begin_cut(
        &mut self,
        connection: ConnectionId,
        request: &SnapshotRequest,
    ) -> Result<(), OperatorError> {
        let now = self.now_millis();
        let active_hosts = self.leases.active_hosts(now);
        let (change, cut) = ConsistentCut::begin(
            self.tree(),
            &request.branch,
            &request.name,
            active_hosts,
            now,
        )
        .map_err(|failure| self.cut_error(failure))?;
        self.tree.propose(change)?;
        self.pending_operations.add(connection, Operation::Cut(cut));
        // Otherwise nodes and hosts would be asked only at the next periodic checks.
        self.close_layers();
        self.quiesce_hosts();
        Ok(())
    }

    /// Returns the failure of a cut as an error for operators, which gives nodes by their names.
    pub(crate) fn cut_error(&self, failure: CutFailure) -> OperatorError {
        match failure {
            CutFailure::Rejected(error) => OperatorError::Refused(error),
            CutFailure::HostsNotQuiesced(hosts) => {
                OperatorError::HostsNotQuiesced(hosts.into_iter().collect())
            }
            CutFailure::NodesNotClosed(nodes) => {
                let names = nodes.into_iter().map(|n| self.node_commands.node_name(n));
                OperatorError::NodesNotClosed(names.collect())
            }
        }
    }

    fn create_clone(
        &mut self,
        connection: ConnectionId,
        snapshot: &str,
        branch: &str,
    ) -> Result<Answer, OperatorError> {
        let version = self.tree.propose(Change::CloneCreated {
            snapshot: snapshot.to_owned(),
            branch: branch.to_owned(),
        })?;
        let lun = self.tree().branch(branch)?.lun;
        let rollout = Rollout {
            version,
            closing_layer: None,
            answer: format!("{branch} made, LUN {lun}"),
        };
        self.pending_operations
            .add(connection, Operation::Rollout(rollout));
        Ok(Answer::Later)
    }

    fn roll_back(
        &mut self,
        connection: ConnectionId,
        branch: &str,
        snapshot: &str,
    ) -> Result<Answer, OperatorError> {
        let old_head = self.tree().branch(branch)?.head;
        let version = self.tree.propose(Change::BranchRolledBack {
            branch: branch.to_owned(),
            snapshot: snapshot.to_owned(),
        })?;
        let rollout = Rollout {
            version,
            closing_layer: Some(old_head),
            answer: format!("{branch} shows {snapshot}"),
        };
        self.pending_operations
            .add(connection, Operation::Rollout(rollout));
        self.close_layers();
        Ok(Answer::Later)
    }

    /// Deletes a snapshot, or a branch that is not a volume of the configuration.
    fn delete(&mut self, name: &str) -> Result<String, OperatorError> {
        let change = if name.contains('@') {
            Change::SnapshotDeleted {
                snapshot: name.to_owned(),
            }
        } else if self.settings.has_volume(name) {
            return Err(OperatorError::ConfiguredVolume(name.to_owned()));
        } else {
            Change::BranchDeleted {
                branch: name.to_owned(),
            }
        };
        self.tree.propose(change)?;
        Ok(format!(
            "{name} deleted; its space is given back in the background"
        ))
    }

    /// Returns the ranges of blocks in which two volumes, clones or snapshots may differ, as text.
    fn diff(&self, first: &str, second: &str) -> Result<String, OperatorError> {
        let tree = self.tree();
        let first_layer = layer_read_by(tree, first)?;
        let second_layer = layer_read_by(tree, second)?;
        let extent_count = extent_count(tree, first).max(extent_count(tree, second));
        let differing = tree.diff(first_layer, second_layer, extent_count);
        Ok(format_block_ranges(
            &differing,
            self.settings.extent_blocks(),
        ))
    }
}

/// Returns the layer through which a volume, clone or snapshot is read.
fn layer_read_by(tree: &Tree, name: &str) -> Result<LayerId, OperatorError> {
    tree.layer_read_by(name)
        .ok_or_else(|| OperatorError::NoSuchName(name.to_owned()))
}

/// Returns the size in extents of a volume, clone or snapshot, or 0 if there is none of this name.
fn extent_count(tree: &Tree, name: &str) -> u32 {
    let branch = tree.branches.get(name).map(|branch| branch.extent_count);
    let snapshot = tree
        .snapshots
        .get(name)
        .map(|snapshot| snapshot.extent_count);
    branch.or(snapshot).unwrap_or(0)
}
