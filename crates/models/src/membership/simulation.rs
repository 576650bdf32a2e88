//! Members of a fleet on a simulated network: delay, loss, partitions, blocked links, stops and kills. Simulated time,
//! seeded; hundreds of hosts.
use mallowseam_fleet::config::MembershipConfig;
use mallowseam_fleet::record::{Name, Zone};
use mallowseam_fleet::{ActionSink, MemberState, Membership, MembershipEvent, Millis};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};

/// Shortest delay of a datagram.
const MIN_DELAY: Millis = 1;
/// What a datagram may take longer.
const DELAY_SPREAD: Millis = 3;
/// Unix time in milliseconds at which a run begins.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// Interval in which convergence is checked.
const CHECK_INTERVAL: Millis = 100;
/// Port of each host.
const PORT: u16 = 7000;
/// Addresses of hosts are numbered from here on, in the bits of the mask.
const ADDRESS_BASE: u32 = 0x7f00_0000;
const ADDRESS_MASK: u32 = 0x00ff_ffff;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Datagram {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
    Tick {
        host: usize,
        run: u32,
    },
}

impl Event {
    /// The host to which the event happens.
    fn host(&self) -> usize {
        match self {
            Event::Datagram { to, .. } => *to,
            Event::Tick { host, .. } => *host,
        }
    }
}

struct Host {
    /// None: not running.
    membership: Option<Membership>,
    /// Number of starts and kills so far: ticks of an earlier run are void.
    run: u32,
    /// The process is stopped until then.
    stopped_until: Millis,
    /// Side of a partition: datagrams pass only between hosts of one side.
    side: u32,
}

/// An event that a host's protocol reported.
#[derive(Clone, Debug)]
pub struct ObservedEvent {
    /// Simulated time.
    pub time: Millis,
    /// The host that reported it.
    pub host: usize,
    /// What it reported.
    pub event: MembershipEvent,
}

/// A fleet in simulated time.
pub struct Simulation {
    /// Simulated time.
    pub now: Millis,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Shortest delay of a datagram.
    pub min_delay: Millis,
    /// What a datagram may take longer.
    pub delay_spread: Millis,
    /// Settings of hosts that are started from now on; name, address and zone are set for each.
    pub config: MembershipConfig,
    /// Datagrams sent so far.
    pub datagrams: u64,
    /// Bytes sent so far.
    pub bytes: u64,
    /// Events that the hosts' protocols reported, as long as they are recorded.
    pub events: Vec<ObservedEvent>,
    /// Whether events are recorded.
    pub record_events: bool,
    zones: usize,
    queue: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    /// Events queued so far: orders those of the same time.
    queued: u64,
    hosts: Vec<Host>,
    rng: Pcg64Mcg,
}

/// Collects the actions of one call.
#[derive(Default)]
struct Actions {
    sent: Vec<(SocketAddr, Vec<u8>)>,
    events: Vec<MembershipEvent>,
}

impl ActionSink for Actions {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        self.sent.push((to, bytes.to_vec()));
    }
    fn notify(&mut self, event: MembershipEvent) {
        self.events.push(event);
    }
}

/// Address of a host.
pub fn address(host: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(ADDRESS_BASE | (host as u32 + 1)), PORT))
}

/// Name of a host.
pub fn name(host: usize) -> Name {
    Name::try_from(format!("h{host}").as_str()).unwrap_or_default()
}

fn host_at(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(address) => (u32::from(*address.ip()) & ADDRESS_MASK)
            .checked_sub(1)
            .map(|host| host as usize),
        SocketAddr::V6(_) => None,
    }
}

impl Simulation {
    /// A number of hosts, none started yet. The first `seeds` of them are the seeds of all.
    pub fn new(hosts: usize, seeds: usize, zones: usize, seed: u64) -> Self {
        let fleet = Name::try_from("model").unwrap_or_default();
        let mut config = MembershipConfig::new(fleet, Name::new(), address(0));
        config.seeds = (0..seeds).map(address).collect();
        let host = |_| Host {
            membership: None,
            run: 0,
            stopped_until: 0,
            side: 0,
        };
        Simulation {
            now: 0,
            loss: 0.0,
            min_delay: MIN_DELAY,
            delay_spread: DELAY_SPREAD,
            config,
            datagrams: 0,
            bytes: 0,
            events: Vec::new(),
            record_events: true,
            zones: zones.max(1),
            queue: BinaryHeap::new(),
            queued: 0,
            hosts: (0..hosts).map(host).collect(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Number of hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether there is no host at all.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Starts a host.
    pub fn start(&mut self, host: usize) {
        self.start_as(host, host);
    }

    /// Starts a host under the name of another one, which makes a name conflict.
    pub fn start_as(&mut self, host: usize, name_of: usize) {
        let zone = Zone::try_from(format!("z{}", host % self.zones).as_str()).unwrap_or_default();
        let config = MembershipConfig {
            name: name(name_of),
            address: address(host),
            zone,
            ..self.config.clone()
        };
        let membership = Membership::new(config, self.rng.random(), self.now, EPOCH_MS + self.now);
        let slot = &mut self.hosts[host];
        slot.run += 1;
        slot.membership = Some(membership);
        slot.stopped_until = 0;
        let run = slot.run;
        self.schedule(self.now, Event::Tick { host, run });
    }

    /// Kills a host.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host].membership = None;
        self.hosts[host].run += 1;
    }

    /// A host announces that it shuts down gracefully.
    pub fn announce_leaving(&mut self, host: usize) {
        self.act(host, Membership::announce_leaving);
    }

    /// A host announces that it ends.
    pub fn announce_left(&mut self, host: usize) {
        self.act(host, Membership::announce_left);
    }

    /// Stops a host's process for a while.
    pub fn stop(&mut self, host: usize, span: Millis) {
        self.hosts[host].stopped_until = self.now + span;
    }

    /// Puts a host on a side of a partition.
    pub fn set_side(&mut self, host: usize, side: u32) {
        self.hosts[host].side = side;
    }

    /// The protocol of a host; none: it does not run.
    pub fn membership(&self, host: usize) -> Option<&Membership> {
        self.hosts[host].membership.as_ref()
    }

    /// The same, to be changed.
    pub fn membership_mut(&mut self, host: usize) -> Option<&mut Membership> {
        self.hosts[host].membership.as_mut()
    }

    /// Hosts that run, stopped ones among them.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.hosts.len()).filter(|host| self.hosts[*host].membership.is_some())
    }

    /// Whether a host's process is stopped.
    pub fn is_stopped(&self, host: usize) -> bool {
        self.hosts[host].stopped_until > self.now
    }

    /// State of a host in the table of another one.
    pub fn observed_state(&self, observer: usize, host: usize) -> Option<MemberState> {
        let name = name(host);
        self.membership(observer)?
            .members()
            .find(|(record, _)| record.name == name)
            .map(|(_, state)| state)
    }

    fn schedule(&mut self, time: Millis, event: Event) {
        self.queued += 1;
        self.queue.push(Reverse((time, self.queued, event)));
    }

    fn act(
        &mut self,
        host: usize,
        call: impl FnOnce(&mut Membership, Millis, &mut dyn ActionSink),
    ) {
        let time = self.now;
        let Some(membership) = &mut self.hosts[host].membership else {
            return;
        };
        let mut actions = Actions::default();
        call(membership, time, &mut actions);
        if self.record_events {
            let events = actions.events.into_iter();
            self.events
                .extend(events.map(|event| ObservedEvent { time, host, event }));
        }
        for (to, bytes) in actions.sent {
            self.send(host, to, bytes);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        self.datagrams += 1;
        self.bytes += bytes.len() as u64;
        let Some(to) = host_at(to).filter(|to| *to < self.hosts.len()) else {
            return;
        };
        let is_partitioned = self.hosts[from].side != self.hosts[to].side;
        if is_partitioned || self.loss > 0.0 && self.rng.random_bool(self.loss) {
            return;
        }
        let delay = self.min_delay + self.rng.random_range(0..=self.delay_spread);
        self.schedule(self.now + delay, Event::Datagram { to, from, bytes });
    }

    /// Runs until a time.
    pub fn run_until(&mut self, end: Millis) {
        while self.queue.peek().is_some_and(|next| next.0.0 <= end) {
            let Some(Reverse((time, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(time);
            self.handle(event);
        }
        self.now = self.now.max(end);
    }

    fn handle(&mut self, event: Event) {
        let stopped_until = self.hosts[event.host()].stopped_until;
        if stopped_until > self.now {
            return self.schedule(stopped_until, event);
        }
        match event {
            Event::Datagram { to, from, bytes } => {
                self.act(to, |membership, now, sink| {
                    membership.receive(address(from), &bytes, now, sink);
                });
            }
            Event::Tick { host, run } if run == self.hosts[host].run => {
                self.act(host, Membership::tick);
                if let Some(due) = self.membership(host).map(Membership::next_tick) {
                    self.schedule(due.max(self.now + 1), Event::Tick { host, run });
                }
            }
            Event::Tick { .. } => {}
        }
    }

    /// Whether all running hosts hold the same table, in which exactly they are alive.
    pub fn is_converged(&self) -> bool {
        let mut running: Vec<Name> = self.running().map(name).collect();
        running.sort();
        // Digests last: where the fleet has not converged, some host shows it before all digests are computed.
        let memberships = || self.running().filter_map(|host| self.membership(host));
        if !memberships()
            .all(|membership| is_settled(membership) && alive_names(membership) == running)
        {
            return false;
        }
        let mut digests = memberships().map(Membership::digest);
        let first = digests.next();
        digests.all(|digest| Some(digest) == first)
    }

    /// Runs until the fleet has converged: how long it took. None: it has not within this time.
    pub fn time_to_converge(&mut self, max: Millis) -> Option<Millis> {
        let begin = self.now;
        while self.now < begin + max {
            if self.is_converged() {
                return Some(self.now - begin);
            }
            self.run_until(self.now + CHECK_INTERVAL);
        }
        self.is_converged().then(|| self.now - begin)
    }
}

/// Whether no member is in a state that only passes.
fn is_settled(membership: &Membership) -> bool {
    let is_passing = |state| {
        matches!(
            state,
            MemberState::Suspect | MemberState::Joining | MemberState::Leaving
        )
    };
    !membership.members().any(|(_, state)| is_passing(state))
}

fn alive_names(membership: &Membership) -> Vec<Name> {
    let alive = membership
        .members()
        .filter(|(_, state)| *state == MemberState::Alive);
    let mut names: Vec<Name> = alive.map(|(record, _)| record.name.clone()).collect();
    names.sort();
    names
}
