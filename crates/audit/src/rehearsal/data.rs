//! Content of reads and snapshots: each block holds the data of a write that may be the last one to it.
use super::Audit;
use super::commands::Command;
use crate::evidence::seconds;
use crate::trace::{Micros, TraceEntry, TraceEvent};
use mallowseam_settings::config::Idempotency;
use std::collections::HashMap;

/// Writes by volume and block, in the order in which they were sent.
type Writes<'a> = HashMap<(usize, u64), Vec<&'a Command>>;

/// Interval in which a read may have been executed.
#[derive(Clone, Copy)]
struct ReadSpan {
    began: Micros,
    ended: Micros,
}

impl Audit<'_> {
    fn writes(&self) -> Writes<'_> {
        let mut writes = Writes::new();
        for command in self.commands.iter().filter(|c| c.write) {
            for lba in command.lba..command.lba + u64::from(command.blocks) {
                writes
                    .entry((command.volume, lba))
                    .or_default()
                    .push(command);
            }
        }
        writes
    }

    /// Checks that each block that was read holds the data of a write that may be the last one to it.
    pub(super) fn check_reads(&mut self) {
        let writes = self.writes();
        let mut lines = Vec::new();
        let mut checked = 0;
        for read in self.commands.iter().filter(|c| !c.write) {
            let Some(ended) = read.completed_at() else {
                continue;
            };
            if read.read_ids.len() != read.blocks as usize {
                lines.push(format!(
                    "read {} was answered with a wrong number of blocks: {}",
                    read.id,
                    read.read_ids.len()
                ));
            }
            let span = ReadSpan {
                began: read.sent_at,
                ended,
            };
            for (lba, read_id) in (read.lba..).zip(&read.read_ids) {
                checked += 1;
                let all = writes
                    .get(&(read.volume, lba))
                    .map_or(&[][..], Vec::as_slice);
                if let Some(why) = self.data_error(span, *read_id, all) {
                    let volume = &self.config.volumes[read.volume].name;
                    let at = seconds(ended);
                    lines.push(format!(
                        "read {} of volume {volume}, block {lba}, at {at}: {why}",
                        read.id
                    ));
                }
            }
        }
        self.verdict.blocks_checked = checked;
        self.verdict.wrong_data = lines;
    }

    /// Returns the reason for which a block must not hold the data of this write, if there is one. `all` are the writes
    /// to the block, in the order in which they were sent.
    fn data_error(&self, span: ReadSpan, read_id: Option<u64>, all: &[&Command]) -> Option<String> {
        let Some(id) = read_id else {
            return Some("holds data that no client wrote".into());
        };
        // Whether a write completed before the read began.
        let completed_before = |c: &&&Command| c.completed_at().is_some_and(|at| at < span.began);
        if id == 0 {
            let lost = all.iter().find(completed_before)?;
            return Some(format!(
                "holds no data, although write {} had completed",
                lost.id
            ));
        }
        let Some(writer) = all.iter().find(|c| c.id == id) else {
            return Some(format!(
                "holds data of command {id}, which did not write this block"
            ));
        };
        if writer.sent_at > span.ended {
            return Some(format!("holds data of write {id}, which was sent later"));
        }
        let io_class = &self.config.io_classes[writer.io_class];
        if writer.was_shed() && io_class.idempotency == Idempotency::NonIdempotent {
            return Some(format!("holds data of write {id}, which was shed"));
        }
        let completed = writer.completed_at();
        let supersedes = |c: &&&Command| {
            completed_before(c)
                && c.sent_at > writer.sent_at
                && completed.is_some_and(|at| at < c.sent_at || io_class.ordered)
        };
        let newer = all.iter().find(supersedes)?;
        Some(format!(
            "holds data of write {id}, although the later write {} had completed",
            newer.id
        ))
    }

    /// Checks that each snapshot contains every write that had completed before its request, no write that was sent
    /// after its grant, and of any other write either all or none of a sub-request.
    pub(super) fn check_snapshots(&mut self, trace: &[TraceEntry]) {
        let writes = self.writes();
        let mut lines = Vec::new();
        let mut count = 0;
        for entry in trace {
            let TraceEvent::SnapshotRead {
                volume,
                name,
                requested_at,
                blocks,
            } = &entry.event
            else {
                continue;
            };
            count += 1;
            // A snapshot is checked like a read that began with its request and ended with its grant.
            let span = ReadSpan {
                began: *requested_at,
                ended: entry.at,
            };
            for (lba, read_id) in (0u64..).zip(blocks) {
                let all = writes
                    .get(&(*volume as usize, lba))
                    .map_or(&[][..], Vec::as_slice);
                if let Some(why) = self.data_error(span, *read_id, all) {
                    lines.push(format!("{name} block {lba}: {why}"));
                }
                let Some(command) = read_id.and_then(|id| all.iter().find(|c| c.id == id)) else {
                    continue;
                };
                lines.extend(self.torn_writes(name, blocks, lba, command));
            }
        }
        self.verdict.snapshots = count;
        self.verdict.snapshot_errors = lines;
    }

    /// Returns a line for each block of the same sub-request that holds data of neither the same write nor a later one.
    fn torn_writes(
        &self,
        snapshot: &str,
        blocks: &[Option<u64>],
        lba: u64,
        writer: &Command,
    ) -> Vec<String> {
        let mapped = self.layout.mapped.as_ref();
        let extent = mapped.map_or(1, |mapped| mapped.extent_blocks);
        let mut lines = Vec::new();
        for other in writer.lba..writer.lba + u64::from(writer.blocks) {
            // The sub-requests of a write that did not complete are independent of each other.
            if writer.completed_at().is_none() && other / extent != lba / extent {
                continue;
            }
            let read_id = blocks.get(other as usize).copied().flatten().unwrap_or(0);
            let held_write = self.commands.iter().find(|c| c.id == read_id);
            if held_write.is_none_or(|c| c.sent_at < writer.sent_at) {
                lines.push(format!(
                    "{snapshot} holds data of write {} in block {lba} but not in block {other}",
                    writer.id
                ));
            }
        }
        lines
    }
}
