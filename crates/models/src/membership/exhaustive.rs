//! States of three members of a fleet for an exhaustive search through every order of deliveries, losses, duplicates, ticks,
//! kills, restarts and partitions. A tick is half a protocol period; a datagram that is not delivered within two ticks is
//! lost.
use super::simulation::{address, name};
use crate::search::SearchState;
use mallowseam_fleet::config::{MembershipConfig, Mutant};
use mallowseam_fleet::record::{Lifecycle, MemberRecord, Name, Precedence};
use mallowseam_fleet::{ActionSink, MemberState, Membership, MembershipEvent, Millis};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Number of hosts.
const HOSTS: usize = 3;
/// Maximum number of datagrams in flight; further ones are lost.
const MAX_IN_FLIGHT: usize = 6;
/// Age at which a datagram is lost, in ticks.
const MAX_AGE: u32 = 2;
/// Protocol period, in milliseconds.
const PERIOD: Millis = 1_000;
/// Time between two ticks, in milliseconds.
const TICK: Millis = PERIOD / 2;
/// Simulated time at which the members start, in milliseconds.
const BEGIN: Millis = 10_000;
/// Number of protocol periods within which three members must converge (docs/fleet.md, promise 1).
pub const CONVERGENCE_PERIODS: u64 = 120;
/// Number of protocol periods in which the members of an initial state join.
const JOINING_PERIODS: u64 = 30;
/// Number of protocol periods after which a member that left is no longer listed.
const FORGOTTEN_PERIODS: u64 = 130;
/// Unix time before the first start of a host, in milliseconds; each start is one millisecond after the previous one.
const EPOCH_MS: u64 = 1_000_000;

/// A datagram in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct InFlight {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
    /// Number of ticks since the datagram was sent.
    age: u32,
    /// Whether the datagram may be delayed without limit, so that it is never lost because of its age.
    delayed: bool,
}

/// An action on the fleet. A datagram is identified by its index among those in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A datagram is delivered.
    Deliver(usize),
    /// A datagram is delivered and stays in flight.
    Duplicate(usize),
    /// Half a protocol period elapses.
    Tick,
    /// A host is killed.
    Kill(usize),
    /// A host is started.
    Start(usize),
    /// A host is partitioned from the other two.
    Partition(usize),
    /// The partition ends.
    Heal,
}

/// Remaining number of actions of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Remaining ticks.
    pub ticks: u32,
    /// Remaining duplicated deliveries.
    pub duplicates: u32,
    /// Remaining kills of running hosts.
    pub kills: u32,
    /// Remaining starts of hosts that are not running.
    pub starts: u32,
    /// Remaining partitions.
    pub partitions: u32,
}

/// A violated property of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Violation {
    /// A table contains a generation of a member that never existed.
    #[error("h{observer} holds a generation of {member} that never existed")]
    UnknownGeneration {
        /// Host that holds the table.
        observer: usize,
        /// Member that the record is about.
        member: Name,
    },
    /// A table contains a record that its member did not publish.
    #[error("h{observer} holds a record of {member} that was never published")]
    UnpublishedRecord {
        /// Host that holds the table.
        observer: usize,
        /// Member that the record is about.
        member: Name,
    },
    /// A table replaced a record by an older one.
    #[error("h{observer} replaced a record of {member} by an older one")]
    RecordRegressed {
        /// Host that holds the table.
        observer: usize,
        /// Member that the record is about.
        member: Name,
    },
    /// A table contains a member that had left in another state again.
    #[error("h{observer} holds {member} as a member again after it left")]
    ReturnedAfterLeaving {
        /// Host that holds the table.
        observer: usize,
        /// Member that the record is about.
        member: Name,
    },
    /// The tables of the members do not become equal in time.
    #[error("not converged after {CONVERGENCE_PERIODS} periods: {tables}")]
    NotConverged {
        /// Tables of all members, as text.
        tables: String,
    },
}

/// State of three members and their network, with the history that is needed to check safety.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ThreeMembers {
    /// Protocol state of each host; `None` while the host is not running.
    hosts: [Option<Membership>; HOSTS],
    in_flight: Vec<InFlight>,
    now: Millis,
    /// Host that is partitioned from the other two.
    partitioned: Option<usize>,
    budget: Budget,
    config: MembershipConfig,
    /// Number of starts of hosts so far; also the seed of the last one.
    starts: u64,
    /// Last incarnation that each host published, by name and generation.
    published: BTreeMap<(Name, u64), u32>,
    /// Last precedence of each member's record in the table of each host, by host and member.
    held: BTreeMap<(usize, Name), Precedence>,
    /// Generations that each host has listed as left, by host, member and generation.
    left: BTreeSet<(usize, Name, u64)>,
    /// First safety violation so far.
    violation: Option<Violation>,
}

/// Datagrams that a member sends during one call.
#[derive(Default)]
struct SentDatagrams(Vec<(SocketAddr, Vec<u8>)>);

impl ActionSink for SentDatagrams {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        self.0.push((to, bytes.to_vec()));
    }
    fn notify(&mut self, _: MembershipEvent) {}
}

/// Returns the initial states of searches with their names. `mutant` selects a fault that is injected into the protocol.
pub fn initial_states(budget: Budget, mutant: Option<Mutant>) -> [(&'static str, ThreeMembers); 4] {
    [
        ("all joined", ThreeMembers::joined(budget, mutant)),
        (
            "one killed 14 periods ago",
            ThreeMembers::after_kill(budget, mutant, 14),
        ),
        (
            "one cut off for 40 periods",
            ThreeMembers::after_partition(budget, mutant, 40),
        ),
        (
            "one left, and an old record of it in flight",
            ThreeMembers::after_leave(budget, mutant),
        ),
    ]
}

impl ThreeMembers {
    /// Creates a state in which all members know each other and no datagram is in flight.
    fn joined(budget: Budget, mutant: Option<Mutant>) -> Self {
        let fleet = Name::try_from("small").unwrap_or_default();
        let mut config = MembershipConfig::new(fleet, Name::new(), address(0));
        config.seeds = vec![address(0), address(1)];
        config.mutant = mutant;
        let mut members = ThreeMembers {
            hosts: [None, None, None],
            in_flight: Vec::new(),
            now: BEGIN,
            partitioned: None,
            budget,
            config,
            starts: 0,
            published: BTreeMap::new(),
            held: BTreeMap::new(),
            left: BTreeSet::new(),
            violation: None,
        };
        (0..HOSTS).for_each(|host| members.start(host));
        members.run(JOINING_PERIODS);
        members
    }

    /// Creates a state in which one member was killed `periods` protocol periods ago.
    fn after_kill(budget: Budget, mutant: Option<Mutant>, periods: u64) -> Self {
        let mut members = ThreeMembers::joined(budget, mutant);
        members.hosts[2] = None;
        members.run(periods);
        members
    }

    /// Creates a state in which one member has been partitioned from the others for `periods` protocol periods.
    fn after_partition(budget: Budget, mutant: Option<Mutant>, periods: u64) -> Self {
        let mut members = ThreeMembers::joined(budget, mutant);
        members.partitioned = Some(0);
        members.run(periods);
        members
    }

    /// Creates a state in which one member left so long ago that it is no longer listed, while datagrams that it sent before
    /// are still in flight.
    fn after_leave(budget: Budget, mutant: Option<Mutant>) -> Self {
        let mut members = ThreeMembers::joined(budget, mutant);
        members.tick();
        let delayed: Vec<InFlight> = members
            .in_flight
            .iter()
            .filter(|datagram| datagram.from == 2)
            .cloned()
            .collect();
        members.run(1);
        members.act(2, Membership::announce_left);
        members.deliver_all();
        members.hosts[2] = None;
        members.run(FORGOTTEN_PERIODS);
        members.in_flight = delayed
            .into_iter()
            .map(|datagram| InFlight {
                delayed: true,
                ..datagram
            })
            .collect();
        members
    }

    /// Starts a host and forgets what its previous run had listed.
    fn start(&mut self, host: usize) {
        self.starts += 1;
        let config = MembershipConfig {
            name: name(host),
            address: address(host),
            ..self.config.clone()
        };
        self.hosts[host] = Some(Membership::new(
            config,
            self.starts,
            self.now,
            EPOCH_MS + self.starts,
        ));
        self.held.retain(|(observer, _), _| *observer != host);
        self.left.retain(|(observer, ..)| *observer != host);
        self.check_host(host);
    }

    /// Returns whether a partition separates two hosts.
    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.partitioned
            .is_some_and(|isolated| (from == isolated) != (to == isolated))
    }

    /// Calls the protocol of a host, puts the datagrams that it sends in flight, and checks the host's table.
    fn act(
        &mut self,
        host: usize,
        call: impl FnOnce(&mut Membership, Millis, &mut dyn ActionSink),
    ) {
        let mut sent = SentDatagrams::default();
        let Some(membership) = &mut self.hosts[host] else {
            return;
        };
        call(membership, self.now, &mut sent);
        for (to, bytes) in sent.0 {
            let Some(to) = (0..HOSTS).find(|other| address(*other) == to) else {
                continue;
            };
            if !self.is_partitioned(host, to) && self.in_flight.len() < MAX_IN_FLIGHT {
                self.in_flight.push(InFlight {
                    from: host,
                    to,
                    bytes,
                    age: 0,
                    delayed: false,
                });
            }
        }
        self.check_host(host);
    }

    /// Delivers a datagram unless a partition separates sender and receiver, even if it was sent before the partition.
    fn deliver(&mut self, datagram: &InFlight) {
        if !self.is_partitioned(datagram.from, datagram.to) {
            let from = address(datagram.from);
            self.act(datagram.to, |membership, now, sink| {
                membership.receive(from, &datagram.bytes, now, sink);
            });
        }
    }

    /// Delivers datagrams in order until none is in flight.
    fn deliver_all(&mut self) {
        while !self.in_flight.is_empty() {
            let datagram = self.in_flight.remove(0);
            self.deliver(&datagram);
        }
    }

    /// Advances time by one tick, drops datagrams that are too old, and ticks every host.
    fn tick(&mut self) {
        self.now += TICK;
        self.in_flight
            .iter_mut()
            .for_each(|datagram| datagram.age += 1);
        self.in_flight
            .retain(|datagram| datagram.delayed || datagram.age < MAX_AGE);
        (0..HOSTS).for_each(|host| self.act(host, Membership::tick));
    }

    /// Runs for `periods` protocol periods without external actions. Every datagram is delivered, in order.
    fn run(&mut self, periods: u64) {
        self.run_until(periods, |_| false);
    }

    /// Runs like [`ThreeMembers::run`], but only until a condition holds. Returns whether it held in time.
    fn run_until(&mut self, periods: u64, condition: impl Fn(&ThreeMembers) -> bool) -> bool {
        let end = self.now + periods * PERIOD;
        loop {
            self.deliver_all();
            if condition(self) {
                return true;
            }
            if self.now >= end {
                return false;
            }
            self.tick();
        }
    }

    /// Returns whether all running hosts hold the same table, in which exactly the running hosts are alive and no member is
    /// in a transient state.
    fn is_converged(&self) -> bool {
        let running: BTreeSet<Name> = (0..HOSTS)
            .filter(|host| self.hosts[*host].is_some())
            .map(name)
            .collect();
        let is_transient = |state| {
            matches!(
                state,
                MemberState::Joining | MemberState::Suspect | MemberState::Leaving
            )
        };
        let is_correct = |membership: &Membership| {
            let alive = membership
                .members()
                .filter(|(_, state)| *state == MemberState::Alive);
            let alive: BTreeSet<Name> = alive.map(|(record, _)| record.name.clone()).collect();
            alive == running && !membership.members().any(|(_, state)| is_transient(state))
        };
        let memberships = || self.hosts.iter().flatten();
        memberships().all(is_correct)
            && memberships()
                .all(|m| Some(m.digest()) == memberships().next().map(Membership::digest))
    }

    /// Checks a host's table against the published records and the records that it contained before.
    fn check_host(&mut self, observer: usize) {
        let Some(membership) = &self.hosts[observer] else {
            return;
        };
        let own = membership.own_record();
        self.published
            .insert((own.name.clone(), own.generation), own.incarnation);
        let mut violation = None;
        for (record, state) in membership.members() {
            let member = record.name.clone();
            violation = self.published_violation(observer, record).or(violation);
            let held = (observer, member.clone());
            if self
                .held
                .get(&held)
                .is_some_and(|before| *before > record.precedence())
            {
                violation = Some(Violation::RecordRegressed {
                    observer,
                    member: member.clone(),
                });
            }
            self.held.insert(held, record.precedence());
            let generation = (observer, member.clone(), record.generation);
            if state == MemberState::Left {
                self.left.insert(generation);
            } else if self.left.contains(&generation) {
                violation = Some(Violation::ReturnedAfterLeaving { observer, member });
            }
        }
        self.violation = self.violation.take().or(violation);
    }

    /// Returns the violation if a member did not publish a record. A record of a member that left is allowed, since other
    /// members may conclude that it left.
    fn published_violation(&self, observer: usize, record: &MemberRecord) -> Option<Violation> {
        let member = record.name.clone();
        match self.published.get(&(member.clone(), record.generation)) {
            None => Some(Violation::UnknownGeneration { observer, member }),
            Some(newest) if record.incarnation > *newest && record.lifecycle != Lifecycle::Left => {
                Some(Violation::UnpublishedRecord { observer, member })
            }
            Some(_) => None,
        }
    }

    /// Returns the tables of all running hosts as text.
    fn describe_tables(&self) -> String {
        let describe = |membership: &Membership| {
            let members = membership.members();
            let states: Vec<String> = members
                .map(|(record, state)| format!("{} {}", record.name, state.as_str()))
                .collect();
            format!("{}: {}", membership.own_record().name, states.join(", "))
        };
        self.hosts
            .iter()
            .flatten()
            .map(describe)
            .collect::<Vec<_>>()
            .join("; ")
    }
}

impl SearchState for ThreeMembers {
    type Action = Action;
    type Violation = Violation;

    fn actions(&self) -> Vec<Action> {
        let mut actions: Vec<Action> = (0..self.in_flight.len()).map(Action::Deliver).collect();
        if self.budget.duplicates > 0 {
            actions.extend((0..self.in_flight.len()).map(Action::Duplicate));
        }
        if self.budget.ticks > 0 {
            actions.push(Action::Tick);
        }
        if self.budget.kills > 0 {
            actions.extend(
                (0..HOSTS)
                    .filter(|host| self.hosts[*host].is_some())
                    .map(Action::Kill),
            );
        }
        if self.budget.starts > 0 {
            actions.extend(
                (0..HOSTS)
                    .filter(|host| self.hosts[*host].is_none())
                    .map(Action::Start),
            );
        }
        match self.partitioned {
            Some(_) => actions.push(Action::Heal),
            None if self.budget.partitions > 0 => actions.extend((0..HOSTS).map(Action::Partition)),
            None => {}
        }
        actions
    }

    fn apply(&mut self, action: &Action) {
        match *action {
            Action::Deliver(index) => {
                let datagram = self.in_flight.remove(index);
                self.deliver(&datagram);
            }
            Action::Duplicate(index) => {
                self.budget.duplicates -= 1;
                let datagram = self.in_flight[index].clone();
                self.deliver(&datagram);
            }
            Action::Tick => {
                self.budget.ticks -= 1;
                self.tick();
            }
            Action::Kill(host) => {
                self.budget.kills -= 1;
                self.hosts[host] = None;
            }
            Action::Start(host) => {
                self.budget.starts -= 1;
                self.start(host);
            }
            Action::Partition(host) => {
                self.budget.partitions -= 1;
                self.partitioned = Some(host);
            }
            Action::Heal => self.partitioned = None,
        }
    }

    fn check_safety(&self) -> Result<(), Violation> {
        self.violation.clone().map_or(Ok(()), Err)
    }

    fn check_liveness(&self) -> Result<(), Violation> {
        let mut end = self.clone();
        end.partitioned = None;
        if end.run_until(CONVERGENCE_PERIODS, ThreeMembers::is_converged) {
            return end.check_safety();
        }
        Err(Violation::NotConverged {
            tables: end.describe_tables(),
        })
    }
}
