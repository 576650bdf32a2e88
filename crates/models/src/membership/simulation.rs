//! Simulation of a fleet of hundreds of members on a network with delay, loss and partitions, with stops and kills of
//! hosts. Time is simulated, and randomness is seeded.
use mallowseam_fleet::config::MembershipConfig;
use mallowseam_fleet::record::{Name, Zone};
use mallowseam_fleet::{ActionSink, MemberState, Membership, MembershipEvent, Millis};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};

/// Default of the minimum delay of a datagram, in milliseconds.
const MIN_DELAY: Millis = 1;
/// Default of the maximum jitter that is added to the minimum delay, in milliseconds.
const DELAY_SPREAD: Millis = 3;
/// Unix time at the start of a simulation, in milliseconds.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// Interval of convergence checks, in milliseconds.
const CHECK_INTERVAL: Millis = 100;
/// UDP port of each host.
const PORT: u16 = 7000;
/// IPv4 network of the hosts; the bits of [`ADDRESS_MASK`] are the host number plus one.
const ADDRESS_BASE: u32 = 0x7f00_0000;
/// Bits of an IPv4 address that identify the host.
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
    /// Returns the host that handles the event.
    fn host(&self) -> usize {
        match self {
            Event::Datagram { to, .. } => *to,
            Event::Tick { host, .. } => *host,
        }
    }
}

struct Host {
    /// Protocol state; `None` while the host is not running.
    membership: Option<Membership>,
    /// Number of starts and kills so far; ticks that were scheduled with an earlier number are ignored.
    run: u32,
    /// Time until which the process is stopped, in milliseconds.
    stopped_until: Millis,
    /// Side of a partition that the host is on; datagrams are delivered only between hosts on the same side.
    side: u32,
}

/// An event that a host's protocol reported.
#[derive(Clone, Debug)]
pub struct ObservedEvent {
    /// Simulated time of the event, in milliseconds.
    pub time: Millis,
    /// Host that reported the event.
    pub host: usize,
    /// Event that was reported.
    pub event: MembershipEvent,
}

/// A fleet in simulated time.
pub struct Simulation {
    /// Current simulated time, in milliseconds.
    pub now: Millis,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Minimum delay of a datagram, in milliseconds.
    pub min_delay: Millis,
    /// Maximum jitter that is added to the minimum delay, in milliseconds.
    pub delay_spread: Millis,
    /// Configuration of hosts that are started from now on. Name, address and zone are set for each host.
    pub config: MembershipConfig,
    /// Number of datagrams sent so far.
    pub datagrams: u64,
    /// Number of bytes sent so far.
    pub bytes: u64,
    /// Events that the hosts' protocols reported while `record_events` was set.
    pub events: Vec<ObservedEvent>,
    /// Whether events are recorded.
    pub record_events: bool,
    zones: usize,
    queue: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    /// Number of events queued so far; determines the order of simultaneous events.
    queued: u64,
    hosts: Vec<Host>,
    rng: Pcg64Mcg,
}

/// Actions of a host's protocol during one call.
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

/// Returns the address of a host.
pub fn address(host: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(ADDRESS_BASE | (host as u32 + 1)), PORT))
}

/// Returns the name of a host.
pub fn name(host: usize) -> Name {
    Name::try_from(format!("h{host}").as_str()).unwrap_or_default()
}

/// Returns the host with an address.
fn host_at(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(address) => (u32::from(*address.ip()) & ADDRESS_MASK)
            .checked_sub(1)
            .map(|host| host as usize),
        SocketAddr::V6(_) => None,
    }
}

impl Simulation {
    /// Creates a simulation of `hosts` hosts, none of which runs yet. The first `seeds` hosts are the seeds of all hosts;
    /// `seed` determines the random numbers.
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

    /// Returns the number of hosts, running or not.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Returns whether there are no hosts.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Starts a host.
    pub fn start(&mut self, host: usize) {
        self.start_as(host, host);
    }

    /// Starts a host under the name of host `name_of`, which causes a name conflict if that is another host.
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

    /// Lets a host announce that it shuts down gracefully.
    pub fn announce_leaving(&mut self, host: usize) {
        self.act(host, Membership::announce_leaving);
    }

    /// Lets a host announce that it has left the fleet.
    pub fn announce_left(&mut self, host: usize) {
        self.act(host, Membership::announce_left);
    }

    /// Stops the process of a host for `duration` milliseconds.
    pub fn stop(&mut self, host: usize, duration: Millis) {
        self.hosts[host].stopped_until = self.now + duration;
    }

    /// Sets the side of a partition that a host is on.
    pub fn set_side(&mut self, host: usize, side: u32) {
        self.hosts[host].side = side;
    }

    /// Returns the protocol state of a host, or `None` if the host is not running.
    pub fn membership(&self, host: usize) -> Option<&Membership> {
        self.hosts[host].membership.as_ref()
    }

    /// Returns the mutable protocol state of a host, or `None` if the host is not running.
    pub fn membership_mut(&mut self, host: usize) -> Option<&mut Membership> {
        self.hosts[host].membership.as_mut()
    }

    /// Returns the running hosts, including stopped ones.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.hosts.len()).filter(|host| self.hosts[*host].membership.is_some())
    }

    /// Returns whether a host's process is stopped.
    pub fn is_stopped(&self, host: usize) -> bool {
        self.hosts[host].stopped_until > self.now
    }

    /// Returns the state of a host in the table of `observer`, or `None` if the table has no such host.
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

    /// Calls the protocol of a host and carries out its actions.
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

    /// Counts a datagram and schedules its delivery unless it is lost.
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

    /// Runs the simulation until a time, in milliseconds.
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

    /// Returns whether all running hosts hold the same table, in which exactly the running hosts are alive and no member is
    /// in a transient state.
    pub fn is_converged(&self) -> bool {
        let mut running: Vec<Name> = self.running().map(name).collect();
        running.sort();
        // Digests are expensive and computed last: a fleet that has not converged mostly fails the cheaper checks.
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

    /// Runs until the fleet has converged and returns how long that took, in milliseconds. Returns `None` if the fleet does
    /// not converge within `max`.
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

/// Returns whether no member is in a transient state.
fn is_settled(membership: &Membership) -> bool {
    let is_transient = |state| {
        matches!(
            state,
            MemberState::Suspect | MemberState::Joining | MemberState::Leaving
        )
    };
    !membership.members().any(|(_, state)| is_transient(state))
}

/// Returns the names of the members that are alive, in ascending order.
fn alive_names(membership: &Membership) -> Vec<Name> {
    let alive = membership
        .members()
        .filter(|(_, state)| *state == MemberState::Alive);
    let mut names: Vec<Name> = alive.map(|(record, _)| record.name.clone()).collect();
    names.sort();
    names
}
