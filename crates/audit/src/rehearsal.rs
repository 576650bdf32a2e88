//! Audits hosts behind iSCSI by the trace of a run: seven rules over all hosts, and the content of each block that was
//! read, which must be that of a write that may be the last one to the block.
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

/// Time within which a host must act on a notification that a node drains, in microseconds.
const DRAIN_GRACE: Micros = 250_000;
/// Fraction of rate and burst by which a limit may be exceeded. The tolerance of the burst is at least one block I/O of
/// the largest size.
const LIMIT_TOLERANCE: f64 = 0.1;
/// Tolerance of the ordering cooldown, in microseconds. A node reads an abort and the command that follows the cooldown
/// from one connection, so that delays vary less than between two sockets.
const COOLDOWN_SLACK: Micros = 150_000;

/// GROUP NUMBER of extent copies and of the snapshot reads at the end of a run. No client uses it.
pub const EXTENT_COPY_GROUP: u8 = 31;

/// Limit and burst of a plan, with the interval in which some host may apply them: from the request for the limit until
/// all hosts have applied a later one.
#[derive(Clone, Copy, Debug)]
pub struct EffectiveLimit {
    /// When the limit was requested.
    pub from: Micros,
    /// When all hosts had applied a later limit.
    pub until: Micros,
    /// Limit, in units per second.
    pub limit: f64,
    /// Capacity of the token bucket, in units.
    pub burst: f64,
}

/// Context of the audit beyond the configuration: limits that changed, and extent locations.
#[derive(Clone, Debug, Default)]
pub struct Layout {
    /// Effective limits of each plan whose limit changed, by name of the plan.
    pub limits: BTreeMap<String, Vec<EffectiveLimit>>,
    /// Extent locations of the mapped volumes, where there are any.
    pub mapped: Option<MappedVolumes>,
}

/// Extent locations of mapped volumes.
#[derive(Clone, Debug)]
pub struct MappedVolumes {
    /// Number of blocks of an extent.
    pub extent_blocks: u64,
    /// Volume and extent, by layer, node and slot.
    pub locations: HashMap<(u32, u32, u64), (usize, u64)>,
}

/// Audits the trace of a run, whose entries are in order of time. `model` is the service model of all nodes.
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
    /// Returns the units of a sub-request with this number of blocks.
    fn units(&self, blocks: u32) -> f64 {
        let bytes = u64::from(blocks) * crate::block::SIZE as u64;
        bytes.div_ceil(self.config.fleet.unit_bytes).max(1) as f64
    }
}
