//! Traces of runs, built step by step.
use crate::site::{service_model, site};
use mallowseam_audit::rehearsal::{Layout, Verdict, judge};
use mallowseam_audit::trace::{Micros, TraceEntry, TraceEvent};
use mallowseam_iscsi::scsi::status;

pub(crate) const MS: Micros = 1_000;
/// Limit of the plan `basic` in these traces.
const PLAN_LIMIT: &str = "limit 2/s burst 4";

/// Builds the trace of a run step by step. Times are in milliseconds.
#[derive(Default)]
pub(crate) struct RecordBuilder {
    pub(crate) entries: Vec<TraceEntry>,
    /// Commands so far: number, whether it is a write, first block, volume and group number.
    pub(crate) sent: Vec<(u64, bool, u64, u32, u8)>,
    pub(crate) tasks: u32,
}

impl RecordBuilder {
    pub(crate) fn add_event(&mut self, at: Micros, event: TraceEvent) -> &mut Self {
        self.entries.push(TraceEntry { at: at * MS, event });
        self
    }

    /// Adds command `op` of volume 0, for eight blocks at `lba`.
    pub(crate) fn send(&mut self, at: Micros, op: u64, write: bool, lba: u64) -> &mut Self {
        self.send_to(at, op, write, 0, lba)
    }

    pub(crate) fn send_to(
        &mut self,
        at: Micros,
        op: u64,
        write: bool,
        volume: u32,
        lba: u64,
    ) -> &mut Self {
        let group_number = (op % 32) as u8;
        self.sent.push((op, write, lba, volume, group_number));
        self.add_event(
            at,
            TraceEvent::CommandSent {
                command: op,
                client: 0,
                host: 0,
                volume,
                write,
                lba,
                blocks: 8,
                group_number,
            },
        )
    }

    /// Adds an attempt of a command at the node of its volume. Returns the task tag of the attempt.
    pub(crate) fn node_receives(&mut self, at: Micros, op: u64) -> u32 {
        let (_, write, lba, volume, group_number) = *self
            .sent
            .iter()
            .find(|a| a.0 == op)
            .expect("a sent command");
        self.tasks += 1;
        let write_ids = if write { vec![op; 8] } else { vec![] };
        let task = self.tasks;
        let (node, connection, lun) = (volume, 1, 0);
        self.add_event(
            at,
            TraceEvent::NodeReceived {
                node,
                host: 0,
                connection,
                task,
                lun,
                write,
                lba,
                blocks: 8,
                group_number,
                write_ids,
                first_lba: None,
            },
        );
        task
    }

    pub(crate) fn node_answers(&mut self, at: Micros, node: u32, task: u32, code: u8) -> &mut Self {
        self.add_event(
            at,
            TraceEvent::NodeAnswered {
                node,
                connection: 1,
                task,
                status: code,
            },
        )
    }

    pub(crate) fn answer(
        &mut self,
        at: Micros,
        op: u64,
        code: u8,
        read_id: Option<u64>,
    ) -> &mut Self {
        let write = self
            .sent
            .iter()
            .find(|a| a.0 == op)
            .expect("a sent command")
            .1;
        let read = if write || code != status::GOOD {
            vec![]
        } else {
            vec![read_id; 8]
        };
        self.add_event(
            at,
            TraceEvent::CommandAnswered {
                command: op,
                status: code,
                read,
            },
        )
    }

    /// Adds a command that completes in ten milliseconds.
    pub(crate) fn complete_command(
        &mut self,
        at: Micros,
        op: u64,
        write: bool,
        volume: u32,
        lba: u64,
        read_id: u64,
    ) -> &mut Self {
        self.send_to(at, op, write, volume, lba);
        let task = self.node_receives(at + 1, op);
        self.node_answers(at + 9, volume, task, status::GOOD)
            .answer(at + 10, op, status::GOOD, Some(read_id))
    }

    pub(crate) fn judge(&self) -> Verdict {
        self.judge_with(&Layout::default())
    }

    pub(crate) fn judge_with(&self, layout: &Layout) -> Verdict {
        let mut entries = self.entries.clone();
        entries.sort_by_key(|s| s.at);
        judge(&site(PLAN_LIMIT), &service_model(), &entries, layout)
    }

    /// Returns the numbers of the violated rules; 8 stands for wrong data.
    pub(crate) fn violated_rules(&self) -> Vec<usize> {
        let v = self.judge();
        let mut rules: Vec<usize> = (1..=7)
            .filter(|r| !v.violations[r - 1].is_empty())
            .collect();
        rules.extend((!v.wrong_data.is_empty()).then_some(8));
        rules
    }
}

/// Returns a trace without violations: two writes of the same blocks, each followed by a read.
pub(crate) fn valid_record() -> RecordBuilder {
    let mut run = RecordBuilder::default();
    run.complete_command(0, 1, true, 0, 0, 0)
        .complete_command(20, 2, false, 0, 0, 1)
        .complete_command(40, 3, true, 0, 0, 0);
    run.complete_command(60, 4, false, 0, 0, 3);
    run
}

impl RecordBuilder {
    /// Adds a snapshot of volume 0 with the times of its request and grant, and the writes whose data its first eight
    /// blocks hold.
    pub(crate) fn snapshot(
        &mut self,
        requested_at: Micros,
        granted_at: Micros,
        read_id: [u64; 8],
    ) -> &mut Self {
        let mut blocks = vec![Some(0); 64];
        for (block, id) in blocks.iter_mut().zip(read_id) {
            *block = Some(id);
        }
        let snapshot = TraceEvent::SnapshotRead {
            volume: 0,
            name: "s".into(),
            requested_at: requested_at * MS,
            blocks,
        };
        self.add_event(granted_at, snapshot)
    }

    pub(crate) fn has_snapshot_errors(&self) -> bool {
        !self.judge().snapshot_errors.is_empty()
    }
}
