//! Plays a scenario: real hosts as processes, stand-ins around them, faults as the script says, then the audit.
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

/// Target name of the hosts.
const TARGET: &str = "iqn.2026-12.example.lab:gateway";
/// The slowest that the stand-ins' draws allow is not what they bear: the audit assumes the fastest, and a node that
/// crashed from overload reports it itself.
const FASTEST_NODE: f64 = 0.85;

/// What a rehearsal came to.
pub struct Outcome {
    /// The audit's result.
    pub verdict: Verdict,
    /// The record of the run.
    pub trace: Vec<TraceEntry>,
    /// The configuration that the hosts share.
    pub config: GatewayConfig,
    /// Processes and requests that did not end as they should.
    pub failures: Vec<String>,
    /// Snapshots and clones.
    pub snapshots: SnapshotReport,
    /// The change log of plans; none without a plan service.
    pub change_log: Option<ChangeLogReport>,
    /// Changes of plans that were requested.
    pub rollouts: Rollouts,
}

impl Outcome {
    /// Whether all rules hold, and all processes and clones are as they should be.
    pub fn passed(&self) -> bool {
        self.verdict.passed() && self.failures.is_empty() && self.snapshots.wrong_clones.is_empty()
    }
}

/// How snapshots and clones came out.
#[derive(Default)]
pub struct SnapshotReport {
    /// Clones that were made.
    pub clones: u64,
    /// Clones that show their snapshot and their own writes, and nothing else.
    pub isolated_clones: u64,
    /// Snapshots and clones that were refused, with the reason.
    pub refused: Vec<String>,
    /// What is wrong with clones.
    pub wrong_clones: Vec<String>,
    /// Slots that nothing referred to, as `verify` found them at the end.
    pub leaked_slots: u64,
    /// Milliseconds from each request for a snapshot to its grant.
    pub grant_ms: Vec<u64>,
}

/// How the change log of plans replays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeLogReport {
    /// Versions in the log.
    pub versions: u64,
    /// Versions that the log replays to.
    pub replayed: u64,
}

/// How changes of plans reached the hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rollouts {
    /// Milliseconds from each request to the answer that all hosts apply it, ascending.
    pub durations_ms: Vec<u64>,
    /// Number of requests.
    pub requested: usize,
}

/// Plays a scenario. `report` gets the time and a line for each fault as it happens.
///
/// # Errors
/// A stand-in or process cannot be started, or the script's configuration has mistakes.
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
    report(rehearsal.trace.now(), "clients ask for nothing more");
    let outcome = rehearsal.finish();
    if !outcome.passed() {
        // The hosts' logs are evidence.
        let _ = dir.keep();
    }
    Ok(outcome)
}

/// A scenario being played.
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
    /// Threads that wait for the answers to such requests.
    requesters: Vec<JoinHandle<()>>,
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

    fn join_requesters(&mut self) {
        for requester in std::mem::take(&mut self.requesters) {
            let _ = requester.join();
        }
    }

    /// Lets commands in flight complete, terminates the processes, and judges the run.
    fn finish(mut self) -> Outcome {
        self.load.send(Behaviour::Drain);
        let longest = self
            .config
            .io_classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or(0);
        std::thread::sleep(Duration::from_micros(longest + 2 * load::DEADLINE_GRACE));
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
        let Rehearsal {
            trace,
            load,
            nodes,
            list,
            config,
            failures,
            scenario,
            ..
        } = self;
        drop((load, nodes, list));
        let trace = trace.take();
        let mut model = scenario.model.clone();
        model.unit_work *= FASTEST_NODE;
        let verdict = audit::judge(&config, &model, &trace, &layout);
        Outcome {
            verdict,
            trace,
            config,
            failures,
            snapshots,
            change_log,
            rollouts,
        }
    }

    fn terminate_all(&mut self) {
        if !terminate(&mut self.plan_service) {
            self.failures
                .push("the control service did not end well".into());
        }
        for n in 0..self.scenario.hosts {
            self.signal_host(n, Signal::SIGTERM);
        }
        for n in 0..self.scenario.hosts {
            self.await_host_end(n);
        }
        if !terminate(&mut self.catalog) {
            self.failures.push("the catalog did not end well".into());
        }
    }
}
