//! Two minutes of drawn faults for a fleet that keeps a view of itself: the script, by a seed.
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write;

/// Milliseconds: hosts have started; the last fault is over; the end.
const FROM: u64 = 15_000;
const UNTIL: u64 = 75_000;
const END: u64 = 125_000;
const ZONES: u32 = 4;
/// Pause between two faults, at most.
const PAUSE: u64 = 3_000;

/// Past the end: what is killed for so long stays dead.
const FOR_GOOD: u64 = 10 * END;

/// A script for so many hosts. Every fault but deaths is over by the 75th second; the views have the rest to settle.
pub fn script(hosts: u32, seed: u64) -> String {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x5707);
    let nodes = (hosts / 12).clamp(4, 24);
    let mut out = format!(
        "day {END}ms\nhosts {hosts} known now\nlimits 32 256\nzones {ZONES}\nview period 250ms seeds 3\n\
         nodes {nodes} cores 2 work 5ms queue 32\nlines 64 1ms\ncold 25% 3s 4 1s 60 3s\n\
         clients rate {}/s posts 30% again 1\nlist takes 10ms patience 1s lag 100ms\n",
        20 * nodes
    );
    let mut line = |at: u64, what: String| writeln!(out, "at {at}ms {what}").expect("memory");
    let mut at = FROM;
    // A host has one fault of its own at a time: until when it has.
    let mut busy = vec![0u64; hosts as usize];
    let mut ways_busy = 0;
    // Of ten hosts, one dies for good.
    let mut deaths = (hosts / 10).max(1);
    while at < UNTIL - 15_000 {
        let span = rng.random_range(2_000..12_000);
        let some: Vec<u32> = {
            let many = rng.random_range(1..=(hosts / 10).max(1));
            let free: Vec<u32> = (0..hosts).filter(|h| busy[*h as usize] <= at).collect();
            (0..many).filter_map(|_| free.get(rng.random_range(0..free.len().max(1))).copied()).collect()
        };
        let mut each = |what: &str, span: u64, line: &mut dyn FnMut(u64, String)| {
            for host in &some {
                // Drawn twice, it has had it.
                if busy[*host as usize] <= at {
                    busy[*host as usize] = at + span + 4_000;
                    line(at, format!("host {host} {what} for {span}ms"));
                }
            }
        };
        match rng.random_range(0..8) {
            0 => each("kill", span, &mut line),
            1 if deaths > 0 => {
                let host = some.first().copied().unwrap_or(0);
                if busy[host as usize] <= at {
                    deaths -= 1;
                    busy[host as usize] = FOR_GOOD;
                    line(at, format!("host {host} kill for {FOR_GOOD}ms"));
                }
            }
            // Restarted as on the platform: killed past the longest hard limit, started after.
            2 => each("term", 5_000, &mut line),
            3 | 4 => each("stall", rng.random_range(500..5_000), &mut line),
            kind if at >= ways_busy => {
                ways_busy = at + span + 2_000;
                let (a, b) = (rng.random_range(0..ZONES), rng.random_range(1..ZONES));
                let b = (a + b) % ZONES;
                let what = match (kind, rng.random_bool(0.5)) {
                    (5, true) => format!("link zone{a} zone{b} silent"),
                    (5, false) => format!("link zone{a} zone{b} one-way silent"),
                    (6, _) => "link hosts hosts loss 10% repeats 2%".to_owned(),
                    (_, true) => "link hosts hosts slow 300ms spread 100ms".to_owned(),
                    (_, false) => format!("link zone{a} hosts loss 30%"),
                };
                line(at, format!("{what} for {span}ms"));
            }
            _ => {}
        }
        at += rng.random_range(300..PAUSE);
    }
    out
}

#[cfg(test)]
mod tests {
    use crate::fleet::scene;

    #[test]
    fn each_seed_draws_a_sound_script_of_its_own_and_each_kind_comes_up() {
        let all: Vec<String> = (0..20).map(|seed| super::script(40, seed)).collect();
        assert!(all.iter().all(|text| scene::read("storm", text).is_ok()), "{}", all[0]);
        assert!(all.windows(2).all(|w| w[0] != w[1]));
        for word in ["kill", "term", "stall", "silent", "one-way", "loss 10%", "slow", "zone"] {
            assert!(all.iter().any(|t| t.contains(word)), "{word}");
        }
    }
}
