//! Table of the benchmark's results.
use super::clients::Phase;
use super::{Options, median};
use std::fmt::{self, Write};

/// Pairs of phases, one directly at the node and one through the host.
#[derive(Default)]
pub(super) struct Pairs(Vec<Pair>);

struct Pair {
    direct: Phase,
    through_host: Phase,
}

impl Pairs {
    pub(super) fn push(&mut self, direct: Phase, through_host: Phase) {
        self.0.push(Pair {
            direct,
            through_host,
        });
    }

    /// Returns the medians of a metric over all rounds, directly and through the host.
    fn medians(&self, metric: impl Fn(&Phase) -> f64) -> [f64; 2] {
        let direct = median(self.0.iter().map(|pair| metric(&pair.direct)));
        [
            direct,
            median(self.0.iter().map(|pair| metric(&pair.through_host))),
        ]
    }

    /// Returns the median over all rounds of a metric that is computed from both phases of a pair.
    fn median_of_pairs(&self, metric: impl Fn(&Phase, &Phase) -> f64) -> f64 {
        median(
            self.0
                .iter()
                .map(|pair| metric(&pair.direct, &pair.through_host)),
        )
    }

    fn rejected_by_host(&self) -> u64 {
        self.0.iter().map(|pair| pair.through_host.rejected).sum()
    }
}

/// Measurements of all rounds.
#[derive(Default)]
pub(super) struct Measurements {
    /// Phases with one command in flight.
    pub(super) single: Pairs,
    /// Phases with many commands in flight.
    pub(super) many: Pairs,
    pub(super) host_cpu_seconds: f64,
    pub(super) host_commands: f64,
    pub(super) memory_kib: u64,
    pub(super) memory_with_idle_kib: u64,
}

fn latency_us(phase: &Phase, quantile: f64) -> f64 {
    phase.latencies.value_at_quantile(quantile) as f64 / 1000.0
}

impl Measurements {
    pub(super) fn table(&self, options: &Options) -> String {
        let mut out = String::new();
        self.write(&mut out, options)
            .expect("writing to a string does not fail");
        out
    }

    fn write(&self, out: &mut String, options: &Options) -> fmt::Result {
        writeln!(out, "{:<44}{:>12}{:>14}", "", "direct", "through host")?;
        let mut row = |name: &str, [direct, through_host]: [f64; 2], unit: &str| {
            writeln!(out, "{name:<44}{direct:>12.1}{through_host:>14.1}  {unit}")
        };
        row(
            "one command in flight: median",
            self.single.medians(|p| latency_us(p, 0.5)),
            "us",
        )?;
        row(
            "one command in flight: p99",
            self.single.medians(|p| latency_us(p, 0.99)),
            "us",
        )?;
        let name = format!(
            "{} x {} commands in flight: rate",
            options.connections, options.depth
        );
        row(&name, self.many.medians(|p| p.rate), "block I/Os a second")?;
        let added = |quantile| {
            self.single.median_of_pairs(|direct, through_host| {
                (through_host.latencies.value_at_quantile(quantile) as f64
                    - direct.latencies.value_at_quantile(quantile) as f64)
                    / 1000.0
            })
        };
        writeln!(
            out,
            "added by the host, pair by pair: median {:.1} us, p99 {:.1} us",
            added(0.5),
            added(0.99)
        )?;
        let ratio = self
            .many
            .median_of_pairs(|direct, through_host| through_host.rate / direct.rate);
        writeln!(
            out,
            "rate through the host over direct, pair by pair: {ratio:.2}"
        )?;
        let cpu_us = self.host_cpu_seconds * 1e6 / self.host_commands.max(1.0);
        writeln!(out, "CPU of the host: {cpu_us:.1} us a block I/O")?;
        let before = self.memory_kib;
        let after = self.memory_with_idle_kib;
        let idle = options.idle;
        let each = after.saturating_sub(before) as f64 / f64::from(idle.max(1));
        writeln!(
            out,
            "memory: {before} KiB, with {idle} idle connections {after} KiB: {each:.1} KiB each"
        )?;
        let rejected = self.many.rejected_by_host() + self.single.rejected_by_host();
        writeln!(out, "rejected by the host: {rejected}")
    }
}
