//! Events that arrive at a stand-in node while it is silent.
use super::transfer::TaskRef;
use mallowseam_iscsi::target::TargetEvent;
use std::collections::VecDeque;

/// Event that arrived while the node was silent.
pub(super) struct DeferredEvent {
    pub(super) client: u32,
    pub(super) connection: u64,
    pub(super) event: TargetEvent,
    /// Whether the command of the event was aborted meanwhile.
    pub(super) aborted: bool,
}

/// Deferred events, in the order of their arrival.
#[derive(Default)]
pub(super) struct DeferredEvents {
    events: VecDeque<DeferredEvent>,
}

impl DeferredEvents {
    pub(super) fn push(&mut self, client: u32, connection: u64, event: TargetEvent) {
        self.events.push_back(DeferredEvent {
            client,
            connection,
            event,
            aborted: false,
        });
    }

    pub(super) fn pop(&mut self) -> Option<DeferredEvent> {
        self.events.pop_front()
    }

    /// Marks a deferred command as aborted.
    pub(super) fn abort(&mut self, aborted: TaskRef) {
        for deferred in &mut self.events {
            let same_task = matches!(&deferred.event, TargetEvent::Command { task, .. } if *task == aborted.task);
            if deferred.connection == aborted.connection && same_task {
                deferred.aborted = true;
            }
        }
    }

    pub(super) fn clear(&mut self) {
        self.events.clear();
    }
}
