//! Judges hosts behind iSCSI by the trace of a run: seven rules over all hosts, and that each block read shows a write
//! that may be the last there.
mod budgets;
mod commands;
mod counts;
mod data;
mod delivery;
mod gather;
mod nodes;
mod ordering;
mod verdict;

pub use verdict::{ClassCount, CommandOutcome, Verdict};

use crate::service_model::ServiceModel;
use crate::trace::{Micros, TraceEntry};
use commands::Command;
use mallowseam_settings::GatewayConfig;
use std::collections::{BTreeMap, HashMap};

/// How long a host may take to act on the news that a node drains.
const DRAIN_GRACE: Micros = 250_000;
/// Part by which a limit may be exceeded, or one of the largest block I/Os.
const LIMIT_SLACK: f64 = 0.1;
/// A node reads an abort and what is sent after the cooldown on one connection: less noise lies between them.
const COOLDOWN_SLACK: Micros = 150_000;

/// GROUP NUMBER of extent copies and of what is read back at the end, which no client uses.
pub const EXTENT_COPY_GROUP: u8 = 31;

/// A limit and its burst, from the request for it until all hosts apply a later one.
#[derive(Clone, Copy, Debug)]
pub struct EffectiveLimit {
    /// When it was requested.
    pub from: Micros,
    /// When all hosts applied a later one.
    pub until: Micros,
    /// Units a second.
    pub limit: f64,
    /// Units of the token bucket.
    pub burst: f64,
}

/// What the audit needs to know beyond the configuration: extent locations, and limits that changed.
#[derive(Clone, Debug, Default)]
pub struct Layout {
    /// Where limits changed: by plan, each limit that was effective.
    pub limits: BTreeMap<String, Vec<EffectiveLimit>>,
    /// The mapped volumes, where there are any.
    pub mapped: Option<MappedVolumes>,
}

/// Where the extents of mapped volumes are.
#[derive(Clone, Debug)]
pub struct MappedVolumes {
    /// Blocks of an extent.
    pub extent_blocks: u64,
    /// Layer, node and slot to volume and extent.
    pub locations: HashMap<(u32, u32, u64), (usize, u64)>,
}

/// Judges the record of a run, in order of time, with this configuration and these nodes.
pub fn judge(
    config: &GatewayConfig,
    model: &ServiceModel,
    trace: &[TraceEntry],
    layout: &Layout,
) -> Verdict {
    let mut audit = Audit {
        config,
        model,
        layout,
        verdict: Verdict::default(),
        commands: Vec::new(),
    };
    audit.gather(trace);
    audit.check_answers(trace);
    audit.check_effects();
    audit.check_drains(trace);
    audit.check_slow_start(trace);
    audit.check_order();
    audit.check_retry_budget();
    audit.check_limits();
    audit.check_reads();
    audit.check_snapshots(trace);
    audit.verdict.count(config, &audit.commands);
    audit.verdict
}

struct Audit<'a> {
    config: &'a GatewayConfig,
    model: &'a ServiceModel,
    layout: &'a Layout,
    verdict: Verdict,
    commands: Vec<Command>,
}

impl Audit<'_> {
    /// Units of a sub-request.
    fn units(&self, blocks: u32) -> f64 {
        let bytes = u64::from(blocks) * crate::block::SIZE as u64;
        bytes.div_ceil(self.config.fleet.unit_bytes).max(1) as f64
    }
}
