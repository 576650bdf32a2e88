//! What the view costs and how well it tells, in simulated time, by the number of hosts.
use super::net::Net;
use mallowseam_fleet::{MemberState, MembershipEvent, Millis};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Seconds of each part of a case.
const REST: Millis = 30_000;
const ROUGH: Millis = 60_000;
const CUT: Millis = 60_000;
const MOST: Millis = 600_000;
/// In the rough part: datagrams lost, and hosts stopped at one time, each for up to so long.
const LOSS: f64 = 0.1;
const STOPPED: f64 = 0.2;
const STOP: u64 = 5_000;
/// Hosts killed at one instant.
const KILLED: f64 = 0.05;

/// How hosts find out who is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// As built.
    Built,
    /// Without a host's own health and confirmations, which Lifeguard added.
    Plain,
    /// Everybody tells everybody that it lives, each period.
    Heartbeats,
}

impl Kind {
    pub fn name(self) -> &'static str {
        match self {
            Kind::Built => "built",
            Kind::Plain => "without Lifeguard",
            Kind::Heartbeats => "heartbeats",
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Figures {
    pub kind: &'static str,
    pub hosts: usize,
    /// Seconds until one view: all started at once; some killed; healed after a cut in halves.
    pub start_s: f64,
    pub kill_s: f64,
    pub heal_s: f64,
    /// At rest, of one host.
    pub bytes_s: f64,
    pub datagrams_s: f64,
    /// Under loss and stops: running, reachable hosts held unreachable, in words an hour, and in seconds of one held
    /// by one host, as part of all.
    pub false_words_h: f64,
    pub false_part: f64,
}

/// Plays a case; NaN where it did not settle.
pub fn run(kind: Kind, hosts: usize, seed: u64) -> Figures {
    if kind == Kind::Heartbeats {
        return heartbeats(hosts, seed);
    }
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xf1e1d);
    let mut net = Net::new(hosts, 3.min(hosts), 3, seed);
    (net.settings.local_health, net.settings.suspicion_confirmations) =
        (kind == Kind::Built, kind == Kind::Built);
    let seconds = |t: Option<Millis>| t.map_or(f64::NAN, |t| t as f64 / 1e3);
    for host in 0..hosts {
        // Processes of many machines start within a second.
        net.until(net.now + 1_000 / hosts as u64);
        net.start(host);
    }
    let mut out =
        Figures { kind: kind.name(), hosts, start_s: seconds(net.settles(MOST)), ..Figures::default() };
    net.keep_changes = false;
    // What was to be told of the start has been told.
    net.until(net.now + REST);
    let (datagrams, bytes) = (net.datagrams, net.bytes);
    net.until(net.now + REST);
    let each = hosts as f64 * REST as f64 / 1e3;
    out.datagrams_s = (net.datagrams - datagrams) as f64 / each;
    out.bytes_s = (net.bytes - bytes) as f64 / each;
    (out.false_words_h, out.false_part) = rough(&mut net, &mut rng);
    net.settles(MOST);
    let killed = ((hosts as f64 * KILLED) as usize).max(1);
    (hosts - killed..hosts).for_each(|h| net.kill(h));
    out.kill_s = seconds(net.settles(MOST));
    (0..hosts).for_each(|h| net.side(h, (h % 2) as u32));
    net.until(net.now + CUT);
    (0..hosts).for_each(|h| net.side(h, 0));
    out.heal_s = seconds(net.settles(MOST));
    out
}

/// Loss and stops for a while: false words an hour, and the part of all time that a running host was held for dead by
/// a running one.
fn rough(net: &mut Net, rng: &mut Pcg64Mcg) -> (f64, f64) {
    let hosts = net.len();
    net.loss = LOSS;
    net.keep_changes = true;
    net.heard.clear();
    let end = net.now + ROUGH;
    let mut held = 0u64;
    while net.now < end {
        // As many stops a second as keep a fifth of the hosts stopped.
        let stops = hosts as f64 * STOPPED / (STOP as f64 / 2e3);
        let count = stops as usize + usize::from(rng.random_bool(stops.fract()));
        for _ in 0..count {
            let span = rng.random_range(0..STOP);
            net.stop(rng.random_range(0..hosts), span);
        }
        net.until(net.now + 1_000);
        let awake: Vec<usize> = net.running().filter(|h| !net.stopped(*h)).collect();
        let names: std::collections::BTreeSet<_> = awake.iter().map(|h| super::net::name(*h)).collect();
        for host in &awake {
            let Some(fleet) = net.fleet(*host) else { continue };
            let wrong =
                fleet.members().filter(|(w, s)| *s == MemberState::Unreachable && names.contains(&w.name));
            held += wrong.count() as u64;
        }
    }
    let words = |c: &MembershipEvent| {
        matches!(c, MembershipEvent::MemberUpdated { current: MemberState::Unreachable, .. })
    };
    let count = net.heard.iter().filter(|(_, _, c)| words(c)).count();
    (net.loss, net.keep_changes) = (0.0, false);
    net.heard.clear();
    let seconds = ROUGH as f64 / 1e3;
    (count as f64 * 3_600.0 / seconds, held as f64 / ((hosts * hosts) as f64 * seconds))
}

/// Each tells each, every period; whoever was not heard for the least of a suspicion counts as unreachable.
fn heartbeats(hosts: usize, seed: u64) -> Figures {
    const BYTES: f64 = 100.0;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let wait = (5.0 * (hosts.max(10) as f64).log10()).ceil() as usize;
    let mut last = vec![vec![0usize; hosts]; hosts];
    let mut stopped = vec![0usize; hosts];
    let (mut words, mut held) = (0u64, 0u64);
    let mut out = vec![vec![false; hosts]; hosts];
    let periods = (ROUGH / 1_000) as usize;
    for now in 1..=periods {
        let stops = hosts as f64 * STOPPED / (STOP as f64 / 2e3);
        for _ in 0..stops as usize + usize::from(rng.random_bool(stops.fract())) {
            stopped[rng.random_range(0..hosts)] = now + rng.random_range(0..=(STOP / 1_000) as usize);
        }
        for from in (0..hosts).filter(|h| stopped[*h] <= now) {
            for to in (0..hosts).filter(|t| *t != from) {
                if !rng.random_bool(LOSS) {
                    last[to][from] = now;
                }
            }
        }
        for host in (0..hosts).filter(|h| stopped[*h] <= now) {
            for other in (0..hosts).filter(|o| *o != host && stopped[*o] <= now) {
                let wrong = now - last[host][other] > wait;
                words += u64::from(wrong && !out[host][other]);
                held += u64::from(wrong);
                out[host][other] = wrong;
            }
        }
    }
    let seconds = periods as f64;
    let others = hosts as f64 - 1.0;
    Figures {
        kind: Kind::Heartbeats.name(),
        hosts,
        // Not played: of heartbeats the rough part alone is. Their cost is reckoned.
        start_s: f64::NAN,
        kill_s: f64::NAN,
        heal_s: f64::NAN,
        bytes_s: others * BYTES,
        datagrams_s: others,
        false_words_h: words as f64 * 3_600.0 / seconds,
        false_part: held as f64 / ((hosts * hosts) as f64 * seconds),
    }
}
