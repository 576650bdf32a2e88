//! Write protection of the logical units of a stand-in node. A request to protect one is answered once its running
//! writes have ended, so that no write is stored after the answer.
use super::queue::CommandQueue;
use super::transfer::TaskRef;
use std::collections::HashSet;

/// Request for write protection that waits for running writes.
struct PendingProtect {
    origin: TaskRef,
    lun: u32,
}

/// Protected logical units, and pending requests for protection.
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

    /// Removes and returns the requests whose logical unit has no running writes left.
    pub(super) fn take_complete(&mut self, queue: &CommandQueue) -> Vec<TaskRef> {
        self.pending
            .extract_if(.., |pending| !queue.has_running_write(pending.lun))
            .map(|pending| pending.origin)
            .collect()
    }

    /// Discards pending requests when the process ends. Protected logical units stay protected.
    pub(super) fn discard_pending(&mut self) {
        self.pending.clear();
    }
}
