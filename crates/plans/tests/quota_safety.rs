//! The quotas of all hosts never add up to more than the limit, with lost, delayed and duplicate messages, clocks with
//! offset and drift, and a control service that crashes and loses its state.
use mallowseam_plans::host_quota::HostQuota;
use mallowseam_plans::quota_pool::{LEASE_DURATION, POLL_INTERVAL, QuotaPool};
use mallowseam_plans::{MilliUnits, Millis};
use proptest::prelude::*;
use std::collections::BTreeMap;

const LIMIT: MilliUnits = 1_000_000;
const STEP: Millis = 20;
/// Added to the sequence number of a duplicate message, which orders it after all others of its millisecond.
const DUPLICATE_OFFSET: u64 = 1_000_000;

/// A host with a clock of its own, which has an offset and drifts by some thousandths.
struct Host {
    quota: HostQuota,
    clock_offset: Millis,
    drift_per_mille: i64,
}

impl Host {
    fn clock(&self, real: Millis) -> Millis {
        let drift = real as i64 * self.drift_per_mille / 1000;
        (self.clock_offset + real)
            .checked_add_signed(drift)
            .expect("drift does not set the clock before its start")
    }
}

#[derive(Clone, Copy, Debug)]
enum Message {
    Poll {
        polled_at: Millis,
    },
    Report {
        polled_at: Millis,
        sent_at: Millis,
        lent: MilliUnits,
        requested: MilliUnits,
    },
    Lease {
        requested_at: Millis,
        amount: MilliUnits,
    },
}

/// A linear congruential generator.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound.max(1)
    }
}

/// Result of a simulation.
struct Outcome {
    /// Largest sum of the quotas of all hosts that were available at one time.
    largest_sum: MilliUnits,
    /// Largest quota that one host had.
    largest_quota: MilliUnits,
}

struct Simulation {
    random: Random,
    hosts: Vec<Host>,
    pool: QuotaPool,
    service_down_until: Millis,
    /// Messages in transit with the index of their host, by arrival time and sequence number.
    in_transit: BTreeMap<(Millis, u64), (usize, Message)>,
    sent: u64,
    loss_percent: u64,
}

impl Simulation {
    fn new(hosts: usize, seed: u64, loss_percent: u64) -> Simulation {
        let mut random = Random(seed | 1);
        let hosts = (0..hosts)
            .map(|_| Host {
                quota: HostQuota::new(LIMIT, hosts as u32),
                clock_offset: random.below(1_000_000_000),
                drift_per_mille: random.below(11) as i64 - 5,
            })
            .collect();
        let (pool, in_transit) = (QuotaPool::new(0, true), BTreeMap::new());
        Simulation {
            random,
            hosts,
            pool,
            service_down_until: 0,
            in_transit,
            sent: 0,
            loss_percent,
        }
    }

    fn run(mut self, duration: Millis) -> Outcome {
        let mut outcome = Outcome {
            largest_sum: 0,
            largest_quota: 0,
        };
        for real in (0..duration).step_by(STEP as usize) {
            self.step(real);
            let quotas: Vec<MilliUnits> = self
                .hosts
                .iter()
                .map(|host| host.quota.available(host.clock(real)))
                .collect();
            outcome.largest_sum = outcome.largest_sum.max(quotas.iter().sum());
            outcome.largest_quota = outcome
                .largest_quota
                .max(quotas.into_iter().max().unwrap_or(0));
        }
        outcome
    }

    fn step(&mut self, real: Millis) {
        if self.random.below(400) == 0 {
            // The service crashes and loses its state; messages in transit to it are lost.
            self.service_down_until = real + self.random.below(6_000);
            self.pool = QuotaPool::new(self.service_down_until, false);
        }
        let is_up = real >= self.service_down_until;
        if is_up && real.is_multiple_of(POLL_INTERVAL) {
            for host in 0..self.hosts.len() {
                self.sent += 1;
                let arrival = real + self.random.below(900);
                self.in_transit.insert(
                    (arrival, self.sent),
                    (host, Message::Poll { polled_at: real }),
                );
            }
        }
        while let Some(first) = self.in_transit.first_entry() {
            if first.key().0 > real {
                break;
            }
            let (host, message) = first.remove();
            if self.random.below(100) >= self.loss_percent {
                self.deliver(host, message, real, is_up);
            }
        }
    }

    fn deliver(&mut self, index: usize, message: Message, real: Millis, is_up: bool) {
        let is_slow = self.random.below(20) == 0;
        let arrival = real + self.random.below(if is_slow { 8_000 } else { 100 });
        self.sent += 1;
        let host_time = self.hosts[index].clock(real);
        match message {
            Message::Poll { polled_at } => {
                let demand = self.demand(index, real);
                let quota = &mut self.hosts[index].quota;
                let lent = quota.lend(quota.lendable(demand), host_time);
                let requested = demand.saturating_sub(quota.nominal());
                let report = Message::Report {
                    polled_at,
                    sent_at: host_time,
                    lent,
                    requested,
                };
                self.in_transit
                    .insert((arrival, self.sent), (index, report));
                if self.random.below(10) == 0 {
                    let duplicate_arrival = arrival + self.random.below(3_000);
                    self.in_transit.insert(
                        (duplicate_arrival, self.sent + DUPLICATE_OFFSET),
                        (index, report),
                    );
                }
            }
            Message::Report {
                polled_at,
                sent_at,
                lent,
                requested,
            } if is_up => {
                self.pool
                    .on_report(index as u32, polled_at, lent, requested, real);
                let amount = self.pool.grant(index as u32, real);
                let lease = Message::Lease {
                    requested_at: sent_at,
                    amount,
                };
                self.in_transit.insert((arrival, self.sent), (index, lease));
            }
            Message::Lease {
                requested_at,
                amount,
            } => {
                self.hosts[index]
                    .quota
                    .add_lease(amount, requested_at, LEASE_DURATION, host_time);
            }
            Message::Report { .. } => {}
        }
    }

    /// Returns the demand of a host. One host after the other demands the whole limit.
    fn demand(&mut self, index: usize, real: Millis) -> MilliUnits {
        let busiest = (real / 4_000) as usize % self.hosts.len();
        if busiest == index {
            LIMIT
        } else {
            self.random.below(LIMIT / 40)
        }
    }
}

#[test]
fn quota_follows_demand_when_messages_arrive() {
    let outcome = Simulation::new(4, 1, 0).run(40_000);
    assert!(outcome.largest_sum <= LIMIT);
    assert!(
        outcome.largest_quota > LIMIT / 2,
        "largest quota of one host: {} of {LIMIT}",
        outcome.largest_quota
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn quotas_never_add_up_to_more_than_the_limit(
        hosts in 1usize..17,
        seed in any::<u64>(),
        loss_percent in 0u64..60,
    ) {
        let outcome = Simulation::new(hosts, seed, loss_percent).run(30_000);
        prop_assert!(outcome.largest_sum <= LIMIT);
    }
}
