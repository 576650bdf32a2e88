//! Write protection of a stand-in node's logical units. A request to protect one is answered once its running writes
//! are over, so that none lands later.
use super::queue::CommandQueue;
use super::transfer::TaskRef;
use std::collections::HashSet;

/// A request for write protection that waits for running writes.
struct PendingProtect {
    origin: TaskRef,
    lun: u32,
}

/// Which logical units are protected, and which requests for it have no answer yet.
#[derive(Default)]
pub(super) struct WriteProtection {
    protected: HashSet<u32>,
    pending: Vec<PendingProtect>,
}

impl WriteProtection {
    pub(super) fn is_protected(&self, lun: u32) -> bool {
        self.protected.contains(&lun)
    }

    pub(super) fn protect(&mut self, origin: TaskRef, lun: u32) {
        self.protected.insert(lun);
        self.pending.push(PendingProtect { origin, lun });
    }

    pub(super) fn unprotect(&mut self, lun: u32) {
        self.protected.remove(&lun);
    }

    /// Takes out the requests whose logical unit has no running writes left.
    pub(super) fn take_complete(&mut self, queue: &CommandQueue) -> Vec<TaskRef> {
        self.pending
            .extract_if(.., |pending| !queue.has_running_write(pending.lun))
            .map(|pending| pending.origin)
            .collect()
    }

    /// Requests of a process that ended get no answer; what it had protected stays so.
    pub(super) fn discard_pending(&mut self) {
        self.pending.clear();
    }
}
