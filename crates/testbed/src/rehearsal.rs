//! Plays a scenario with real host processes between stand-ins, injects the faults of the script, and audits the run.
mod config;
mod faults;
mod hosts;
mod plan_changes;
mod read_back;
mod selection;
mod snapshots;
mod start;

pub use config::shared_config;
pub use plan_changes::plan_changes;

use crate::error::RunError;
use crate::process::{Program, terminate};
use hosts::HostProcess;
use mallowseam_audit::rehearsal::{self as audit, Layout, Verdict};
use mallowseam_audit::trace::{Micros, Trace, TraceEntry};
use mallowseam_load::initiators::{self as load, Behaviour, Load};
use mallowseam_scenarios::rehearsal::Scenario;
use mallowseam_settings::GatewayConfig;
use mallowseam_stand_ins::endpoint_list_service::EndpointListService;
use mallowseam_stand_ins::node::Node;
use nix::sys::signal::Signal;
use plan_changes::RequestedChange;
use selection::SeededOrder;
use snapshots::CatalogRequest;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// iSCSI target name of the hosts.
const TARGET: &str = "iqn.2026-12.example.lab:gateway";
/// Factor on the work of a unit at the fastest node that a seed can draw. The audit assumes this speed for every node,
/// not that of the slowest: a node that crashes from overload records the crash itself.
const FASTEST_NODE_WORK_FACTOR: f64 = 0.85;

/// Result of a rehearsal.
pub struct Outcome {
    /// Result of the audit.
    pub verdict: Verdict,
    /// Trace of the run.
    pub trace: Vec<TraceEntry>,
    /// Configuration that the hosts share.
    pub config: GatewayConfig,
    /// Failures of processes and of the testbed's own requests.
    pub failures: Vec<String>,
    /// Report on snapshots and clones.
    pub snapshots: SnapshotReport,
    /// Report on the change log of plans, or `None` without a plan service.
    pub change_log: Option<ChangeLogReport>,
    /// Plan changes that were requested, and how long they took to reach all hosts.
    pub rollouts: Rollouts,
}

impl Outcome {
    /// Returns whether all rules hold, no process or request failed, and no clone shows wrong contents.
    pub fn passed(&self) -> bool {
        self.verdict.passed() && self.failures.is_empty() && self.snapshots.wrong_clones.is_empty()
    }
}

/// Report on the snapshots and clones of a rehearsal.
#[derive(Default)]
pub struct SnapshotReport {
    /// Number of clones that were created and read.
    pub clones: u64,
    /// Number of clones that show their snapshot and their own writes, and nothing else.
    pub isolated_clones: u64,
    /// Requests for snapshots and clones that the catalog refused, with the reason.
    pub refused: Vec<String>,
    /// Clones with wrong contents, and snapshots that changed after writes to clones, each with a description.
    pub wrong_clones: Vec<String>,
    /// Number of slots without a reference that `verify` found at the end.
    pub leaked_slots: u64,
    /// Time from each request for a snapshot to its grant, in milliseconds.
    pub grant_ms: Vec<u64>,
}

/// Result of replaying the change log of plans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeLogReport {
    /// Number of versions in the log.
    pub versions: u64,
    /// Number of versions that the log replays to.
    pub replayed: u64,
}

/// Propagation of plan changes to the hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rollouts {
    /// Time from each request to the answer that all hosts apply the change, in milliseconds, ascending.
    pub durations_ms: Vec<u64>,
    /// Number of requested changes.
    pub requested: usize,
}

/// Plays a scenario. Calls `report` with the time and a line of text for each fault as it is injected.
///
/// # Errors
/// A stand-in or process cannot be started, or the script's configuration is invalid.
pub fn run(
    scenario: &Scenario,
    seed: u64,
    program: &Program,
    report: &mut dyn FnMut(Micros, &str),
) -> Result<Outcome, RunError> {
    let dir = tempfile::tempdir().map_err(RunError::io("temporary directory"))?;
    let mut rehearsal = Rehearsal::start(scenario, seed, program, dir.path())?;
    let mut events = scenario.events.clone();
    events.extend(plan_changes(scenario, &rehearsal.config, seed));
    events.sort_by_key(|e| e.at);
    for event in &events {
        rehearsal.wait_until(event.at);
        report(rehearsal.trace.now(), &format!("{:?}", event.fault));
        rehearsal.inject(&event.fault);
    }
    rehearsal.wait_until(scenario.duration);
    report(rehearsal.trace.now(), "clients stop sending commands");
    let outcome = rehearsal.finish();
    if !outcome.passed() {
        // Keeps the hosts' logs as evidence.
        let _ = dir.keep();
    }
    Ok(outcome)
}

/// Rehearsal in progress.
struct Rehearsal<'a> {
    scenario: &'a Scenario,
    trace: Trace,
    nodes: Vec<Node>,
    list: EndpointListService,
    load: Load,
    hosts: Vec<HostProcess>,
    catalog: Option<Child>,
    plan_service: Option<Child>,
    requested_changes: Arc<Mutex<Vec<RequestedChange>>>,
    catalog_requests: Arc<Mutex<Vec<CatalogRequest>>>,
    /// Threads that wait for the answers to plan changes and catalog requests.
    request_threads: Vec<JoinHandle<()>>,
    host_addresses: Vec<SocketAddr>,
    program: Program,
    dir: PathBuf,
    order: SeededOrder,
    failures: Vec<String>,
    config: GatewayConfig,
}

impl Rehearsal<'_> {
    fn wait_until(&self, at: Micros) {
        let now = self.trace.now();
        std::thread::sleep(Duration::from_micros(at.saturating_sub(now)));
    }

    fn join_request_threads(&mut self) {
        for thread in std::mem::take(&mut self.request_threads) {
            let _ = thread.join();
        }
    }

    /// Waits for commands in flight to complete, terminates the processes, and audits the run.
    fn finish(mut self) -> Outcome {
        self.drain_load();
        let mut layout = Layout::default();
        let mut snapshots = SnapshotReport::default();
        if self.scenario.catalog.is_some() {
            snapshots = self.read_back(&mut layout);
        }
        let change_log = self
            .scenario
            .plan_change_interval
            .map(|_| self.read_change_log(&mut layout));
        self.terminate_all();
        if self.scenario.catalog.is_some() {
            self.verify(&mut snapshots);
        }
        let rollouts = self.rollouts();
        // Stand-ins and load add to the trace until they are dropped.
        drop(self.load);
        drop(self.nodes);
        drop(self.list);
        let trace = self.trace.take();
        Outcome {
            verdict: judge(self.scenario, &self.config, &trace, &layout),
            trace,
            config: self.config,
            failures: self.failures,
            snapshots,
            change_log,
            rollouts,
        }
    }

    /// Stops new commands, and waits until those in flight have completed or are past their deadlines.
    fn drain_load(&self) {
        self.load.send(Behaviour::Drain);
        let deadlines = self.config.io_classes.iter().map(|class| class.deadline);
        let longest = deadlines.max().unwrap_or(0);
        std::thread::sleep(Duration::from_micros(longest + 2 * load::DEADLINE_GRACE));
    }

    fn terminate_all(&mut self) {
        if !terminate(&mut self.plan_service) {
            self.failures
                .push("plan service did not exit with code 0 after SIGTERM".into());
        }
        for n in 0..self.scenario.hosts {
            self.signal_host(n, Signal::SIGTERM);
        }
        for n in 0..self.scenario.hosts {
            self.await_host_exit(n);
        }
        if !terminate(&mut self.catalog) {
            self.failures
                .push("snapshot catalog did not exit with code 0 after SIGTERM".into());
        }
    }
}

fn judge(
    scenario: &Scenario,
    config: &GatewayConfig,
    trace: &[TraceEntry],
    layout: &Layout,
) -> Verdict {
    let mut model = scenario.model.clone();
    model.unit_work *= FASTEST_NODE_WORK_FACTOR;
    audit::judge(config, &model, trace, layout)
}
