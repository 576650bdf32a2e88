//! Random fault schedules of about two minutes for a fleet whose hosts keep a membership table, drawn from a seed.
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write;

/// Start of the first fault, when all hosts have started, in milliseconds.
const FIRST_FAULT_MS: u64 = 15_000;
/// Time by which the last fault has ended, in milliseconds.
const LAST_FAULT_END_MS: u64 = 75_000;
/// Bound on the duration of a fault, in milliseconds. No fault begins later than this before [`LAST_FAULT_END_MS`].
const LONGEST_FAULT_MS: u64 = 15_000;
/// Duration of the run, in milliseconds.
const END_MS: u64 = 125_000;
/// Longest pause between the starts of two faults, in milliseconds.
const MAX_PAUSE_MS: u64 = 3_000;
/// Duration of a permanent death, in milliseconds. It exceeds the run, so the host is not started again.
const PERMANENT_MS: u64 = 10 * END_MS;
/// Time from the end of a host's fault until the host may have the next one, in milliseconds.
const HOST_RECOVERY_MS: u64 = 4_000;
/// Time from the end of a link fault until there may be another one, in milliseconds.
const LINK_RECOVERY_MS: u64 = 2_000;
/// Time from SIGTERM to the next start of a host, in milliseconds. As on the platform, a host is killed after the
/// longest deadline and started after the kill.
const RESTART_MS: u64 = 5_000;
const ZONES: u32 = 4;
/// Salt that makes these draws differ from others with the same seed.
const SEED_SALT: u64 = 0x5707;

/// Draws a script for this number of hosts. All faults but permanent deaths end by the 75th second, so that the
/// membership tables have the rest of the run to converge.
pub fn random_script(hosts: u32, seed: u64) -> String {
    let mut schedule = Schedule {
        rng: Pcg64Mcg::seed_from_u64(seed ^ SEED_SALT),
        script: header(hosts),
        host_free_at: vec![0; hosts as usize],
        links_free_at: 0,
        permanent_deaths_left: (hosts / 10).max(1),
    };
    let mut at = FIRST_FAULT_MS;
    while at < LAST_FAULT_END_MS - LONGEST_FAULT_MS {
        schedule.add_fault(at);
        at += schedule.rng.random_range(300..MAX_PAUSE_MS);
    }
    schedule.script
}

fn header(hosts: u32) -> String {
    let nodes = (hosts / 12).clamp(4, 24);
    format!(
        "day {END_MS}ms\nhosts {hosts} known now\nlimits 32 256\nzones {ZONES}\nview period 250ms seeds 3\n\
         nodes {nodes} cores 2 work 5ms queue 32\nlines 64 1ms\ncold 25% 3s 4 1s 60 3s\n\
         clients rate {}/s posts 30% again 1\nlist takes 10ms patience 1s lag 100ms\n",
        20 * nodes
    )
}

/// Script under construction.
struct Schedule {
    rng: Pcg64Mcg,
    script: String,
    /// Time from which on each host may have its next fault. A host has at most one fault of its own at a time.
    host_free_at: Vec<u64>,
    /// Time from which on there may be another link fault.
    links_free_at: u64,
    permanent_deaths_left: u32,
}

impl Schedule {
    fn add_fault(&mut self, at: u64) {
        let span = self.rng.random_range(2_000..12_000);
        let hosts = self.draw_hosts(at);
        match self.rng.random_range(0..8) {
            0 => self.add_host_faults(at, &hosts, "kill", span),
            1 if self.permanent_deaths_left > 0 => {
                self.add_permanent_death(at, hosts.first().copied().unwrap_or(0));
            }
            2 => self.add_host_faults(at, &hosts, "term", RESTART_MS),
            3 | 4 => {
                let span = self.rng.random_range(500..5_000);
                self.add_host_faults(at, &hosts, "stall", span);
            }
            kind if at >= self.links_free_at => self.add_link_fault(at, kind, span),
            _ => {}
        }
    }

    /// Draws up to a tenth of the hosts, from those without a fault. A host may be drawn twice.
    fn draw_hosts(&mut self, at: u64) -> Vec<u32> {
        let count = self
            .rng
            .random_range(1..=(self.host_free_at.len() as u32 / 10).max(1));
        let free: Vec<u32> = (0..self.host_free_at.len() as u32)
            .filter(|h| self.host_free_at[*h as usize] <= at)
            .collect();
        (0..count)
            .filter_map(|_| {
                free.get(self.rng.random_range(0..free.len().max(1)))
                    .copied()
            })
            .collect()
    }

    fn add_host_faults(&mut self, at: u64, hosts: &[u32], fault: &str, span: u64) {
        for host in hosts {
            if self.host_free_at[*host as usize] <= at {
                self.host_free_at[*host as usize] = at + span + HOST_RECOVERY_MS;
                self.add_line(at, &format!("host {host} {fault} for {span}ms"));
            }
        }
    }

    fn add_permanent_death(&mut self, at: u64, host: u32) {
        if self.host_free_at[host as usize] <= at {
            self.permanent_deaths_left -= 1;
            self.host_free_at[host as usize] = PERMANENT_MS;
            self.add_line(at, &format!("host {host} kill for {PERMANENT_MS}ms"));
        }
    }

    fn add_link_fault(&mut self, at: u64, kind: u32, span: u64) {
        self.links_free_at = at + span + LINK_RECOVERY_MS;
        let zone = self.rng.random_range(0..ZONES);
        let offset = self.rng.random_range(1..ZONES);
        let other = (zone + offset) % ZONES;
        let fault = match (kind, self.rng.random_bool(0.5)) {
            (5, true) => format!("link zone{zone} zone{other} silent"),
            (5, false) => format!("link zone{zone} zone{other} one-way silent"),
            (6, _) => "link hosts hosts loss 10% repeats 2%".to_owned(),
            (_, true) => "link hosts hosts slow 300ms spread 100ms".to_owned(),
            (_, false) => format!("link zone{zone} hosts loss 30%"),
        };
        self.add_line(at, &format!("{fault} for {span}ms"));
    }

    fn add_line(&mut self, at: u64, fault: &str) {
        writeln!(self.script, "at {at}ms {fault}").expect("writing to a string succeeds");
    }
}
