//! Loopback addresses and configuration files of the processes of a rehearsal.
use super::TARGET;
use mallowseam_scenarios::rehearsal::{CatalogScenario, Scenario};
use mallowseam_settings::{Diagnostics, GatewayConfig};
use mallowseam_stand_ins::endpoint_list_service::node_name;
use std::fmt::{self, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};

const PORT: u16 = 3260;

/// Number of runs started by this process.
static RUNS: AtomicU32 = AtomicU32::new(0);

/// Loopback addresses of one run, distinct from those of concurrent runs and from the address of ephemeral ports.
pub(super) struct Addresses {
    second_byte: u8,
    third_byte: u8,
}

impl Addresses {
    pub(super) fn new() -> Self {
        let n = std::process::id()
            .wrapping_mul(31)
            .wrapping_add(RUNS.fetch_add(1, Ordering::Relaxed));
        Addresses {
            second_byte: 16 + (n >> 8) as u8 % 200,
            third_byte: n as u8,
        }
    }

    fn address(&self, last: u32) -> SocketAddr {
        SocketAddr::from((
            Ipv4Addr::new(127, self.second_byte, self.third_byte, last as u8),
            PORT,
        ))
    }

    pub(super) fn node(&self, n: u32) -> SocketAddr {
        self.address(1 + n)
    }

    pub(super) fn host(&self, n: u32) -> SocketAddr {
        self.address(101 + n)
    }

    pub(super) fn list(&self) -> SocketAddr {
        self.address(201)
    }

    fn catalog(&self) -> SocketAddr {
        self.address(202)
    }

    fn plan_service(&self) -> SocketAddr {
        self.address(203)
    }
}

/// Returns the text of a host's configuration file.
pub(super) fn config_text(
    scenario: &Scenario,
    addresses: &Addresses,
    dir: &Path,
    host: u32,
    seed: u64,
) -> String {
    let writer = ConfigWriter {
        scenario,
        addresses,
        dir,
        host,
        seed,
    };
    let mut out = String::new();
    writer
        .write(&mut out)
        .expect("writing to a string does not fail");
    out
}

/// Writes the configuration file of one host.
struct ConfigWriter<'a> {
    scenario: &'a Scenario,
    addresses: &'a Addresses,
    dir: &'a Path,
    host: u32,
    seed: u64,
}

impl ConfigWriter<'_> {
    fn write(&self, out: &mut String) -> fmt::Result {
        // The script's own sections come first, so that diagnostics have the line numbers of these sections.
        writeln!(out, "{}\n", self.scenario.config_sections)?;
        if let Some(catalog) = &self.scenario.catalog {
            self.write_catalog(out, catalog)?;
        }
        if self.has_plan_service() {
            self.write_plan_service(out)?;
        }
        self.write_host(out)?;
        (0..self.scenario.nodes).try_for_each(|node| self.write_node(out, node))
    }

    fn has_plan_service(&self) -> bool {
        self.scenario.plan_change_interval.is_some()
    }

    fn write_catalog(&self, out: &mut String, catalog: &CatalogScenario) -> fmt::Result {
        let dir = self.dir.display();
        writeln!(out, "catalog")?;
        writeln!(out, "    listen {}", self.addresses.catalog())?;
        writeln!(out, "    store \"{dir}/store\"")?;
        writeln!(out, "    control \"{dir}/catalog.sock\"")?;
        writeln!(out, "    extent {}", catalog.extent)?;
        writeln!(out, "    copies {}", catalog.copy_class)
    }

    fn write_plan_service(&self, out: &mut String) -> fmt::Result {
        let dir = self.dir.display();
        writeln!(out, "tariffs")?;
        writeln!(out, "    listen {}", self.addresses.plan_service())?;
        writeln!(out, "    store \"{dir}/plans\"")?;
        writeln!(out, "    control \"{dir}/control.sock\"")
    }

    fn write_host(&self, out: &mut String) -> fmt::Result {
        let dir = self.dir.display();
        let host = self.host;
        writeln!(out, "host gw{host}")?;
        writeln!(out, "    listen {}", self.addresses.host(host))?;
        writeln!(out, "    target {TARGET}")?;
        writeln!(out, "    control \"{dir}/gw{host}.sock\"")?;
        writeln!(out, "    node-list {}", self.addresses.list())?;
        if self.has_plan_service() {
            writeln!(out, "    follow {}", self.addresses.plan_service())?;
            writeln!(out, "    kept-plans \"{dir}/gw{host}.plans\"")?;
        }
        if self.scenario.cached_list {
            writeln!(out, "    kept-list \"{dir}/gw{host}.list\"")?;
        }
        writeln!(out, "    window 32")?;
        writeln!(out, "    connections 256")?;
        writeln!(out, "    longest 1MiB")?;
        writeln!(out, "    seed {}", self.seed)?;
        if self.scenario.digests {
            writeln!(out, "    digests header data")?;
        }
        Ok(())
    }

    fn write_node(&self, out: &mut String, node: u32) -> fmt::Result {
        let name = node_name(node);
        writeln!(out, "node {name}")?;
        writeln!(out, "    address {}", self.addresses.node(node))?;
        writeln!(out, "    target iqn.2026-12.example.lab:{name}")
    }
}

/// Returns the configuration that a scenario's hosts share.
///
/// # Errors
/// The script's sections are invalid; all mistakes are reported.
pub fn shared_config(scenario: &Scenario) -> Result<GatewayConfig, Diagnostics> {
    let text = config_text(scenario, &Addresses::new(), Path::new("."), 0, 0);
    mallowseam_settings::parse(&scenario.name, &text)
}
