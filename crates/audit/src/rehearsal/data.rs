//! What reads and snapshots show: each block one that may be the last write there.
use super::Audit;
use super::commands::Command;
use crate::evidence::seconds;
use crate::trace::{Micros, TraceEntry, TraceEvent};
use mallowseam_settings::config::Idempotency;
use std::collections::HashMap;

/// The writes to each block (volume, block), in the order in which they were sent.
type Writes<'a> = HashMap<(usize, u64), Vec<&'a Command>>;

/// The time within which a read may have seen a block.
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

    /// Each block read was one last written there.
    pub(super) fn check_reads(&mut self) {
        let writes = self.writes();
        let mut lines = Vec::new();
        let mut checked = 0;
        for read in self.commands.iter().filter(|c| !c.write) {
            let Some(ended) = read.completed_at() else {
                continue;
            };
            if read.shown.len() != read.blocks as usize {
                lines.push(format!(
                    "{} came back with {} blocks",
                    read.id,
                    read.shown.len()
                ));
            }
            let span = ReadSpan {
                began: read.sent_at,
                ended,
            };
            for (lba, shown) in (read.lba..).zip(&read.shown) {
                checked += 1;
                let all = writes
                    .get(&(read.volume, lba))
                    .map_or(&[][..], Vec::as_slice);
                if let Some(why) = self.stale_or_wrong(span, *shown, all) {
                    let volume = &self.config.volumes[read.volume].name;
                    let at = seconds(ended);
                    lines.push(format!(
                        "{} of {volume} block {lba} at {at}: {why}",
                        read.id
                    ));
                }
            }
        }
        self.verdict.blocks_checked = checked;
        self.verdict.wrong_data = lines;
    }

    /// Why a block may not show this write, given all writes to it in the order in which they were sent.
    fn stale_or_wrong(
        &self,
        span: ReadSpan,
        shown: Option<u64>,
        all: &[&Command],
    ) -> Option<String> {
        let Some(id) = shown else {
            return Some("bytes that no client wrote".into());
        };
        // Completed before the read began.
        let settled = |c: &&&Command| c.completed_at().is_some_and(|at| at < span.began);
        if id == 0 {
            let lost = all.iter().find(settled)?;
            return Some(format!("never written, though {} had ended", lost.id));
        }
        let Some(writer) = all.iter().find(|c| c.id == id) else {
            return Some(format!("shows {id}, which did not write there"));
        };
        if writer.sent_at > span.ended {
            return Some(format!("shows {id} before it was asked for"));
        }
        let io_class = &self.config.io_classes[writer.io_class];
        if writer.was_shed() && io_class.idempotency == Idempotency::NonIdempotent {
            return Some(format!("shows {id}, which was shed"));
        }
        let completed = writer.completed_at();
        let supersedes = |c: &&&Command| {
            settled(c)
                && c.sent_at > writer.sent_at
                && completed.is_some_and(|at| at < c.sent_at || io_class.ordered)
        };
        let newer = all.iter().find(supersedes)?;
        Some(format!(
            "shows {id}, though {} came after it and had ended",
            newer.id
        ))
    }

    /// A snapshot shows every write that had completed before it was requested, none that began after it was
    /// granted, and of each other write all of a sub-request or none.
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
            // Like a read that began with the request and ended with the grant.
            let span = ReadSpan {
                began: *requested_at,
                ended: entry.at,
            };
            for (lba, shown) in (0u64..).zip(blocks) {
                let all = writes
                    .get(&(*volume as usize, lba))
                    .map_or(&[][..], Vec::as_slice);
                if let Some(why) = self.stale_or_wrong(span, *shown, all) {
                    lines.push(format!("{name} block {lba}: {why}"));
                }
                let Some(command) = shown.and_then(|id| all.iter().find(|c| c.id == id)) else {
                    continue;
                };
                lines.extend(self.torn_writes(name, blocks, lba, command));
            }
        }
        self.verdict.snapshots = count;
        self.verdict.snapshot_errors = lines;
    }

    /// Blocks of the same sub-request that show neither the same write nor a later one.
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
            // Of a write that did not complete, each sub-request counts for itself.
            if writer.completed_at().is_none() && other / extent != lba / extent {
                continue;
            }
            let shown = blocks.get(other as usize).copied().flatten().unwrap_or(0);
            let shown = self.commands.iter().find(|c| c.id == shown);
            if shown.is_none_or(|c| c.sent_at < writer.sent_at) {
                lines.push(format!(
                    "{snapshot} shows {} in block {lba} and not in {other}",
                    writer.id
                ));
            }
        }
        lines
    }
}
