//! The steps of pending operations, whose end an operator waits for.
use crate::pending_operations::{Operation, PendingOperation, Rollout, SnapshotRequest};
use crate::{CatalogService, NodeConnections};
use mallowseam_control_protocol::control_socket::ConnectionId;
use mallowseam_cow::consistent_cut::{ConsistentCut, CutProgress};
use mallowseam_cow::messages::ToHost;
use mallowseam_cow::tree::{Change, ChangeError};

impl<N: NodeConnections> CatalogService<N> {
    /// Advances pending operations as far as possible now.
    pub(crate) fn advance_operations(&mut self) {
        let mut ended_cuts: Vec<String> = Vec::new();
        for pending in self.pending_operations.take_all() {
            let PendingOperation {
                connection,
                operation,
            } = pending;
            match operation {
                Operation::BeginCut(request) => self.advance_request(connection, request),
                Operation::Cut(cut) => ended_cuts.extend(self.advance_cut(connection, cut)),
                Operation::Rollout(rollout) => self.advance_rollout(connection, rollout),
            }
        }
        for branch in &ended_cuts {
            self.on_cut_end(branch);
        }
    }

    /// Begins a requested snapshot once all hosts that may act are known.
    fn advance_request(&mut self, connection: ConnectionId, request: SnapshotRequest) {
        if !self.leases.all_hosts_known(self.now_millis()) {
            self.pending_operations
                .add(connection, Operation::BeginCut(request));
        } else if let Err(e) = self.begin_cut(connection, &request) {
            self.outbox.refuse(connection, &e);
        }
    }

    /// Answers the operator once the change of a rollout is effective.
    fn advance_rollout(&mut self, connection: ConnectionId, rollout: Rollout) {
        if rollout.is_complete(self.tree(), &self.leases, self.now_millis()) {
            self.outbox.answer(connection, rollout.answer);
        } else {
            self.pending_operations
                .add(connection, Operation::Rollout(rollout));
        }
    }

    /// Takes the next step of a cut in progress. Returns its branch if the cut has ended.
    fn advance_cut(&mut self, connection: ConnectionId, cut: ConsistentCut) -> Option<String> {
        match cut.progress(self.tree(), self.now_millis()) {
            CutProgress::Wait => {
                self.pending_operations.add(connection, Operation::Cut(cut));
                None
            }
            CutProgress::Restart => {
                self.restart_cut(connection, cut);
                None
            }
            CutProgress::Grant(change) => {
                self.grant_snapshot(connection, &cut, change);
                Some(cut.branch)
            }
            CutProgress::Fail(failure) => {
                let reason = self.cut_error(failure);
                let snapshot = snapshot_name(&cut);
                tracing::warn!(snapshot, %reason, "snapshot failed");
                self.outbox.refuse(connection, &reason);
                Some(cut.branch)
            }
        }
    }

    /// Restarts a cut: freezes the current head in place of the layer that the cut froze before.
    fn restart_cut(&mut self, connection: ConnectionId, mut cut: ConsistentCut) {
        let active_hosts = self.leases.active_hosts(self.now_millis());
        if let Some(change) = cut.restart(self.tree(), active_hosts) {
            // If the head cannot be frozen, the cut fails at its timeout.
            let _ = self.tree.propose(change);
        }
        self.pending_operations.add(connection, Operation::Cut(cut));
        self.close_layers();
        self.quiesce_hosts();
    }

    /// Creates the snapshot of a cut. The operator is answered once every host knows the snapshot and its LUN.
    fn grant_snapshot(&mut self, connection: ConnectionId, cut: &ConsistentCut, change: Change) {
        let snapshot = snapshot_name(cut);
        match self.create_snapshot(&snapshot, change) {
            Ok(rollout) => {
                tracing::info!(snapshot, "snapshot granted");
                self.pending_operations
                    .add(connection, Operation::Rollout(rollout));
            }
            Err(error) => self.outbox.refuse(connection, &error),
        }
    }

    fn create_snapshot(&mut self, snapshot: &str, change: Change) -> Result<Rollout, ChangeError> {
        let version = self.tree.propose(change)?;
        let lun = self.tree().snapshot(snapshot)?.lun;
        Ok(Rollout {
            version,
            closing_layer: None,
            answer: format!("{snapshot} granted, LUN {lun}"),
        })
    }

    /// Lets hosts begin split writes again after a cut of a branch has ended, unless another cut of it is pending.
    fn on_cut_end(&mut self, branch: &str) {
        if self.pending_operations.has_cut_of(branch) {
            return;
        }
        for host in self.sockets.hosts().ids() {
            let finished = ToHost::CutFinished {
                branch: branch.to_owned(),
            };
            self.outbox.send(host, finished);
        }
    }
}

/// Returns the full name of the snapshot that a cut is for.
fn snapshot_name(cut: &ConsistentCut) -> String {
    format!("{}@{}", cut.branch, cut.name)
}
