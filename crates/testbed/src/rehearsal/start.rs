//! Start of the stand-ins and processes of a rehearsal.
use super::config::{Addresses, config_text};
use super::hosts::HostProcess;
use super::selection::SeededOrder;
use super::{Rehearsal, TARGET};
use crate::error::RunError;
use crate::process::Program;
use mallowseam_audit::trace::Trace;
use mallowseam_iscsi::frame::Digests;
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_load::initiators::{Load, LoadConfig, VolumeTarget};
use mallowseam_scenarios::rehearsal::Scenario;
use mallowseam_settings::GatewayConfig;
use mallowseam_settings::config::{Direction, Volume};
use mallowseam_stand_ins::endpoint_list_service::EndpointListService;
use mallowseam_stand_ins::node::Node;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::path::Path;
use std::sync::Arc;

impl<'a> Rehearsal<'a> {
    /// Starts all stand-ins and processes, with files in `dir`. The seed draws, in this sequence: the orders of
    /// selectors, each node's speed and seed, each host's seed, and the load's seed.
    pub(super) fn start(
        scenario: &'a Scenario,
        seed: u64,
        program: &Program,
        dir: &Path,
    ) -> Result<Self, RunError> {
        let addresses = Addresses::new();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let order = SeededOrder::new(scenario, &mut rng);
        let text = config_text(scenario, &addresses, dir, 0, 0);
        let config = mallowseam_settings::parse(&scenario.name, &text)?;
        let trace = Trace::default();
        let nodes = start_nodes(scenario, &config, &addresses, &trace, &mut rng)?;
        let list = start_endpoint_list(scenario, &addresses, &trace)?;
        let hosts = write_host_configs(scenario, &addresses, dir, &mut rng)?;
        let load_config = load_config(scenario, &config, &addresses);
        let load = Load::start(load_config, trace.clone(), rng.random())
            .map_err(RunError::io("clients"))?;
        let mut rehearsal = Rehearsal {
            scenario,
            trace,
            nodes,
            list,
            load,
            hosts,
            catalog: None,
            plan_service: None,
            requested_changes: Arc::default(),
            catalog_requests: Arc::default(),
            request_threads: Vec::new(),
            host_addresses: (0..scenario.hosts)
                .map(|host| addresses.host(host))
                .collect(),
            program: program.clone(),
            dir: dir.to_owned(),
            order,
            failures: Vec::new(),
            config,
        };
        rehearsal.start_processes()?;
        Ok(rehearsal)
    }

    fn start_processes(&mut self) -> Result<(), RunError> {
        if self.scenario.catalog.is_some() {
            self.start_catalog()?;
        }
        if self.scenario.plan_change_interval.is_some() {
            self.start_plan_service()?;
        }
        for host in 0..self.scenario.hosts {
            self.start_host(host)?;
        }
        Ok(())
    }
}

fn start_endpoint_list(
    scenario: &Scenario,
    addresses: &Addresses,
    trace: &Trace,
) -> Result<EndpointListService, RunError> {
    EndpointListService::start(
        addresses.list(),
        scenario.nodes,
        scenario.list_lag,
        trace.clone(),
    )
    .map_err(RunError::io("endpoint list stand-in"))
}

fn start_nodes(
    scenario: &Scenario,
    config: &GatewayConfig,
    addresses: &Addresses,
    trace: &Trace,
    rng: &mut Pcg64Mcg,
) -> Result<Vec<Node>, RunError> {
    let mut nodes = Vec::new();
    for n in 0..scenario.nodes {
        let mut model = scenario.model.clone();
        // Node machines differ in speed.
        model.unit_work *= rng.random_range(0.85..1.15);
        let target = &config.nodes[n as usize].target;
        let node = Node::start(
            n,
            addresses.node(n),
            target,
            model,
            trace.clone(),
            rng.random(),
        );
        nodes.push(node.map_err(RunError::io("node stand-in"))?);
    }
    Ok(nodes)
}

fn write_host_configs(
    scenario: &Scenario,
    addresses: &Addresses,
    dir: &Path,
    rng: &mut Pcg64Mcg,
) -> Result<Vec<HostProcess>, RunError> {
    let mut hosts = Vec::new();
    for host in 0..scenario.hosts {
        let config_file = dir.join(format!("gw{host}.conf"));
        let text = config_text(scenario, addresses, dir, host, rng.random());
        std::fs::write(&config_file, text).map_err(RunError::io("configuration"))?;
        let control_socket = dir.join(format!("gw{host}.sock"));
        hosts.push(HostProcess {
            child: None,
            config_file,
            control_socket,
        });
    }
    Ok(hosts)
}

fn load_config(scenario: &Scenario, config: &GatewayConfig, addresses: &Addresses) -> LoadConfig {
    let deadline = |volume: &Volume, direction| {
        let applies = |r: &&mallowseam_settings::config::Rule| {
            r.direction == direction || r.direction == Direction::Any
        };
        let rule = volume
            .rules
            .iter()
            .find(applies)
            .expect("the parser checks that rules cover every volume");
        config.io_classes[rule.io_class].deadline
    };
    let volume = |volume: &Volume| VolumeTarget {
        lun: volume.lun.into(),
        blocks: volume.block_count,
        plan: config.plans[volume.plan].name.clone(),
        read_deadline: deadline(volume, Direction::Read),
        write_deadline: deadline(volume, Direction::Write),
    };
    LoadConfig {
        hosts: (0..scenario.hosts)
            .map(|host| addresses.host(host))
            .collect(),
        target: TARGET.into(),
        volumes: config.volumes.iter().map(volume).collect(),
        clients: scenario.clients,
        command_rate: scenario.command_rate,
        write_fraction: scenario.write_fraction,
        proposal: ProposedParams {
            digests: Digests {
                header: scenario.digests,
                data: scenario.digests,
            },
            ..ProposedParams::default()
        },
    }
}
