//! Events on the connections of a stand-in node. They are recorded when they arrive; a silent node processes them once
//! it is no longer silent.
use super::Server;
use crate::node::connections::Session;
use crate::node::deferred::DeferredEvent;
use crate::node::transfer::{TaskRef, Transfer};
use mallowseam_audit::block;
use mallowseam_audit::trace::TraceEvent;
use mallowseam_iscsi::target::TargetEvent;

impl Server {
    /// Records an event when it is read from the socket. A silent node processes it later.
    pub(super) fn on_event(&mut self, client: u32, event: TargetEvent) {
        if let TargetEvent::LoggedIn(who) = &event {
            return self.connections.on_login(client, &who.initiator);
        }
        let Some(session) = self.connections.session(client) else {
            return;
        };
        let connection = session.connection;
        self.record_event(session, &event);
        if !self.faults.is_silent() {
            return self.process(client, connection, event);
        }
        if let TargetEvent::CommandAborted { task } = event {
            self.abort_silently(TaskRef {
                client,
                connection,
                task,
            });
        } else {
            self.deferred.push(client, connection, event);
        }
    }

    fn record_event(&self, session: Session, event: &TargetEvent) {
        match event {
            TargetEvent::Command {
                task,
                lun,
                cdb,
                data,
                ..
            } => self.record_command(session, *task, lun.unwrap_or(0), cdb, data),
            TargetEvent::CommandAborted { task } => self.trace.record(TraceEvent::NodeAborted {
                node: self.index,
                connection: session.connection,
                task: *task,
            }),
            _ => {}
        }
    }

    fn record_command(&self, session: Session, task: u32, lun: u32, cdb: &[u8; 16], data: &[u8]) {
        if !self.trace.is_recording() {
            return;
        }
        let Some(transfer) = Transfer::parse(cdb) else {
            return;
        };
        let id = |bytes: &[u8]| bytes.first_chunk().map_or(0, |id| u64::from_le_bytes(*id));
        let first_lba = data
            .get(8..16)
            .and_then(|b| b.first_chunk())
            .map(|b| u64::from_le_bytes(*b));
        self.trace.record(TraceEvent::NodeReceived {
            node: self.index,
            host: session.host,
            connection: session.connection,
            task,
            lun,
            write: transfer.write,
            lba: transfer.lba,
            blocks: transfer.blocks,
            group_number: transfer.group_number,
            write_ids: data.chunks(block::SIZE).map(id).collect(),
            first_lba,
        });
    }

    /// Handles an abort that a silent node reads. The connection reuses the place of the aborted task for the next
    /// command, so the task must have no answer, even if it is executed.
    fn abort_silently(&mut self, aborted: TaskRef) {
        self.queue.orphan(aborted);
        self.deferred.abort(aborted);
    }

    fn process(&mut self, client: u32, connection: u64, event: TargetEvent) {
        match event {
            TargetEvent::Command {
                task,
                lun,
                cdb,
                read_len,
                data,
            } => {
                let origin = TaskRef {
                    client,
                    connection,
                    task,
                };
                self.on_command(origin, lun.unwrap_or(0), &cdb, read_len, data);
            }
            TargetEvent::CommandAborted { task } => self.queue.abort(TaskRef {
                client,
                connection,
                task,
            }),
            TargetEvent::LoggedIn(_) | TargetEvent::Logout | TargetEvent::NopOut => {}
        }
    }

    /// Processes the events that arrived while the node was silent.
    pub(super) fn process_deferred(&mut self) {
        while let Some(DeferredEvent {
            client,
            connection,
            event,
            aborted,
        }) = self.deferred.pop()
        {
            match event {
                // The command may have been started before its abort was read, so it is executed without an answer.
                TargetEvent::Command {
                    task,
                    lun,
                    cdb,
                    data,
                    ..
                } if aborted => {
                    let origin = TaskRef {
                        client,
                        connection,
                        task,
                    };
                    self.queue_orphan(origin, lun.unwrap_or(0), &cdb, data);
                }
                event => self.process(client, connection, event),
            }
        }
    }
}
