//! Loopback addresses and configuration files of a rehearsal.
use super::TARGET;
use mallowseam_scenarios::rehearsal::Scenario;
use mallowseam_settings::{Diagnostics, GatewayConfig};
use mallowseam_stand_ins::endpoint_list_service::node_name;
use std::fmt::{self, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};

const PORT: u16 = 3260;

static RUNS: AtomicU32 = AtomicU32::new(0);

/// Loopback addresses of one run, so that runs beside each other and ephemeral ports never clash.
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

/// The configuration file of a host.
pub(super) fn config_text(
    scenario: &Scenario,
    addresses: &Addresses,
    dir: &Path,
    host: u32,
    seed: u64,
) -> String {
    let mut out = String::new();
    write_config(&mut out, scenario, addresses, dir, host, seed)
        .expect("a string can be written to");
    out
}

fn write_config(
    out: &mut String,
    scenario: &Scenario,
    addresses: &Addresses,
    dir: &Path,
    host: u32,
    seed: u64,
) -> fmt::Result {
    let dir = dir.display();
    // The script's own sections first: their lines keep their numbers.
    writeln!(out, "{}\n", scenario.config_sections)?;
    if let Some(catalog) = &scenario.catalog {
        writeln!(
            out,
            "catalog\n    listen {}\n    store \"{dir}/store\"",
            addresses.catalog()
        )?;
        writeln!(out, "    control \"{dir}/catalog.sock\"")?;
        writeln!(
            out,
            "    extent {}\n    copies {}",
            catalog.extent, catalog.copy_class
        )?;
    }
    if scenario.plan_change_interval.is_some() {
        writeln!(
            out,
            "tariffs\n    listen {}\n    store \"{dir}/plans\"",
            addresses.plan_service()
        )?;
        writeln!(out, "    control \"{dir}/control.sock\"")?;
    }
    writeln!(
        out,
        "host gw{host}\n    listen {}\n    target {TARGET}",
        addresses.host(host)
    )?;
    writeln!(
        out,
        "    control \"{dir}/gw{host}.sock\"\n    node-list {}",
        addresses.list()
    )?;
    if scenario.plan_change_interval.is_some() {
        let service = addresses.plan_service();
        writeln!(
            out,
            "    follow {service}\n    kept-plans \"{dir}/gw{host}.plans\""
        )?;
    }
    if scenario.cached_list {
        writeln!(out, "    kept-list \"{dir}/gw{host}.list\"")?;
    }
    writeln!(
        out,
        "    window 32\n    connections 256\n    longest 1MiB\n    seed {seed}"
    )?;
    if scenario.digests {
        writeln!(out, "    digests header data")?;
    }
    for n in 0..scenario.nodes {
        let (name, address) = (node_name(n), addresses.node(n));
        writeln!(
            out,
            "node {name}\n    address {address}\n    target iqn.2026-12.example.lab:{name}"
        )?;
    }
    Ok(())
}

/// The configuration that a scenario's hosts share.
///
/// # Errors
/// All mistakes in the script's sections.
pub fn shared_config(scenario: &Scenario) -> Result<GatewayConfig, Diagnostics> {
    let text = config_text(scenario, &Addresses::new(), Path::new("."), 0, 0);
    mallowseam_settings::parse(&scenario.name, &text)
}
