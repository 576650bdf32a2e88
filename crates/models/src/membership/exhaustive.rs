//! Three members, with every order of deliveries, losses, duplicates and ticks, a kill, a restart, a partition and its
//! healing. A datagram that is not delivered within two ticks of half a period each is lost.
use super::simulation::{address, name};
use crate::search::SearchState;
use mallowseam_fleet::config::{MembershipConfig, Mutant};
use mallowseam_fleet::record::{Lifecycle, MemberRecord, Name, Precedence};
use mallowseam_fleet::{ActionSink, MemberState, Membership, MembershipEvent, Millis};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const HOSTS: usize = 3;
/// Datagrams in flight at most; further ones are lost.
const MAX_IN_FLIGHT: usize = 6;
/// Ticks after which a datagram is lost.
const MAX_AGE: u32 = 2;
const PERIOD: Millis = 1_000;
/// Time between two ticks.
const TICK: Millis = PERIOD / 2;
/// Time at which a search begins.
const BEGIN: Millis = 10_000;
/// Periods until three members have converged (docs/fleet.md, promise 1).
pub const CONVERGENCE_PERIODS: u64 = 120;
/// Periods until the members of an initial state have joined.
const JOINING_PERIODS: u64 = 30;
/// Periods after which a member that left is no longer shown.
const FORGOTTEN_PERIODS: u64 = 130;
/// Unix time of the first start; each further one is a millisecond later.
const EPOCH_MS: u64 = 1_000_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct InFlight {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
    /// Ticks since it was sent.
    age: u32,
    /// Delayed for as long as it takes: never lost.
    delayed: bool,
}

/// What may happen to the fleet. Datagrams are named by their index among those in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A datagram is delivered.
    Deliver(usize),
    /// A datagram is delivered and stays in flight.
    Duplicate(usize),
    /// Half a period passes.
    Tick,
    /// A host is killed.
    Kill(usize),
    /// A host is started.
    Start(usize),
    /// A host is cut off from the other two.
    Partition(usize),
    /// The partition ends.
    Heal,
}

/// How often each kind of action may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Ticks.
    pub ticks: u32,
    /// Duplicates.
    pub duplicates: u32,
    /// Kills.
    pub kills: u32,
    /// Starts of hosts that do not run.
    pub starts: u32,
    /// Partitions.
    pub partitions: u32,
}

/// A promise of the protocol that does not hold.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Violation {
    /// A table holds a run of a host that never was.
    #[error("h{observer} holds a generation of {member} that never existed")]
    UnknownGeneration {
        /// Host with the table.
        observer: usize,
        /// Member in it.
        member: Name,
    },
    /// A table holds a record that its member did not publish.
    #[error("h{observer} holds a record of {member} that was never published")]
    UnpublishedRecord {
        /// Host with the table.
        observer: usize,
        /// Member in it.
        member: Name,
    },
    /// An older record replaced a newer one.
    #[error("h{observer} replaced a record of {member} by an older one")]
    RecordRegressed {
        /// Host with the table.
        observer: usize,
        /// Member in it.
        member: Name,
    },
    /// A member that had left is in another state again.
    #[error("h{observer} holds {member} as a member again after it left")]
    ReturnedAfterLeaving {
        /// Host with the table.
        observer: usize,
        /// Member in it.
        member: Name,
    },
    /// The members do not hold the same table in time.
    #[error("not converged after {CONVERGENCE_PERIODS} periods: {tables}")]
    NotConverged {
        /// Their tables.
        tables: String,
    },
}

/// Three members, and what is needed to check them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ThreeMembers {
    hosts: [Option<Membership>; HOSTS],
    in_flight: Vec<InFlight>,
    now: Millis,
    /// The host that is cut off from the other two.
    partitioned: Option<usize>,
    budget: Budget,
    config: MembershipConfig,
    starts: u64,
    /// The last incarnation that each host published, by name and generation.
    published: BTreeMap<(Name, u64), u32>,
    /// The greatest precedence that each host held of each member.
    held: BTreeMap<(usize, Name), Precedence>,
    /// The generations that each host saw leave.
    left: BTreeSet<(usize, Name, u64)>,
    violation: Option<Violation>,
}

/// Collects the datagrams of one call.
#[derive(Default)]
struct SentDatagrams(Vec<(SocketAddr, Vec<u8>)>);

impl ActionSink for SentDatagrams {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        self.0.push((to, bytes.to_vec()));
    }
    fn notify(&mut self, _: MembershipEvent) {}
}

/// Initial states of searches, with their names. `mutant`: the protocol rule that is left out.
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
    /// All know each other, and nothing is in flight.
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

    /// One was killed some periods ago.
    fn after_kill(budget: Budget, mutant: Option<Mutant>, periods: u64) -> Self {
        let mut members = ThreeMembers::joined(budget, mutant);
        members.hosts[2] = None;
        members.run(periods);
        members
    }

    /// One has been cut off from the others for some periods.
    fn after_partition(budget: Budget, mutant: Option<Mutant>, periods: u64) -> Self {
        let mut members = ThreeMembers::joined(budget, mutant);
        members.partitioned = Some(0);
        members.run(periods);
        members
    }

    /// One left so long ago that it is no longer shown, and datagrams from before are still in flight.
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

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.partitioned
            .is_some_and(|one| (from == one) != (to == one))
    }

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
            if !self.is_cut(host, to) && self.in_flight.len() < MAX_IN_FLIGHT {
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

    /// Delivers a datagram. One that was in flight when a partition began does not pass it.
    fn deliver(&mut self, datagram: &InFlight) {
        if !self.is_cut(datagram.from, datagram.to) {
            let from = address(datagram.from);
            self.act(datagram.to, |membership, now, sink| {
                membership.receive(from, &datagram.bytes, now, sink);
            });
        }
    }

    fn deliver_all(&mut self) {
        while !self.in_flight.is_empty() {
            let datagram = self.in_flight.remove(0);
            self.deliver(&datagram);
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.in_flight
            .iter_mut()
            .for_each(|datagram| datagram.age += 1);
        self.in_flight
            .retain(|datagram| datagram.delayed || datagram.age < MAX_AGE);
        (0..HOSTS).for_each(|host| self.act(host, Membership::tick));
    }

    /// Lets time pass with nothing from outside: every datagram is delivered, in order.
    fn run(&mut self, periods: u64) {
        self.run_until(periods, |_| false);
    }

    /// The same until a condition holds. Returns whether it came to hold in time.
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

    /// Whether all running hosts hold the same table, in which exactly they are alive.
    fn is_converged(&self) -> bool {
        let running: BTreeSet<Name> = (0..HOSTS)
            .filter(|host| self.hosts[*host].is_some())
            .map(name)
            .collect();
        let is_passing = |state| {
            matches!(
                state,
                MemberState::Joining | MemberState::Suspect | MemberState::Leaving
            )
        };
        let is_right = |membership: &Membership| {
            let alive = membership
                .members()
                .filter(|(_, state)| *state == MemberState::Alive);
            let alive: BTreeSet<Name> = alive.map(|(record, _)| record.name.clone()).collect();
            alive == running && !membership.members().any(|(_, state)| is_passing(state))
        };
        let memberships = || self.hosts.iter().flatten();
        memberships().all(is_right)
            && memberships()
                .all(|m| Some(m.digest()) == memberships().next().map(Membership::digest))
    }

    /// Checks a host's table against all that was published and all that it held before.
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

    /// A record that its member did not publish. That a member has left, others may conclude.
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
