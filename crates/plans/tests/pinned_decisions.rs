//! Pins every decision of the package: seeded sequences of events are applied to the public interface, and a hash over
//! all resulting actions is compared with the hash recorded at commit 01f3988. A mismatch means that a decision, a
//! constant, the arithmetic or an error text has changed; the hashes are never recorded again.
use mallowseam_plans::change_log::ChangeLog;
use mallowseam_plans::host_quota::{CLOCK_SKEW_MARGIN, HostQuota, LOAN_DURATION};
use mallowseam_plans::messages::{HostMessage, ServiceMessage, VolumeLease, VolumeReport};
use mallowseam_plans::quota_pool::{LEASE_DURATION, POLL_INTERVAL, QuotaPool};
use mallowseam_plans::replica::{HostedVolume, MAX_RECONNECT_DELAY, PlanReplica, ReplicaAction};
use mallowseam_plans::rollout::{Rollout, RolloutBlocker, SILENT_AFTER};
use mallowseam_plans::state::{Change, MAX_PARAMETER, Plan};
use mallowseam_plans::{MilliUnits, Millis};
use mallowseam_test_support::SeededRng;
use std::fmt::Write;

const EVENTS_PER_SEED: usize = 2_000;
const HOSTS: u64 = 6;
const VOLUMES: [&str; 3] = ["water", "gas", "light"];
const PLANS: [&str; 3] = ["basic", "silver", "gold"];

/// A control service and its hosts, with a record of all their actions.
struct Scenario {
    rng: SeededRng,
    now: Millis,
    log: ChangeLog,
    entries: Vec<String>,
    rollout: Rollout,
    pools: Vec<QuotaPool>,
    replicas: Vec<PlanReplica>,
    quotas: Vec<HostQuota>,
    record: String,
}

impl Scenario {
    fn new(seed: u64) -> Scenario {
        let mut scenario = Scenario {
            rng: SeededRng::new(seed),
            now: 10_000,
            log: ChangeLog::default(),
            entries: Vec::new(),
            rollout: Rollout::default(),
            pools: VOLUMES
                .iter()
                .map(|_| QuotaPool::new(10_000, true))
                .collect(),
            replicas: Vec::new(),
            quotas: (0..HOSTS).map(|_| HostQuota::new(1_000_003, 7)).collect(),
            record: String::new(),
        };
        for host in 0..HOSTS {
            let replica = PlanReplica::new(&host_name(host), volumes_of(host), None, scenario.now);
            scenario.replicas.push(replica);
        }
        scenario
    }

    fn append_to_record(&mut self, text: &str) {
        self.record.push_str(text);
        self.record.push('\n');
    }

    fn run_random_event(&mut self) {
        self.now += match self.rng.below(10) {
            0 => self.rng.below(2_000),
            1..4 => self.rng.below(200),
            _ => self.rng.below(20),
        };
        match self.rng.below(12) {
            0 => self.change_plans(),
            1 | 2 => self.replicate(),
            3 | 4 => self.accept_or_reject_pending(),
            5..8 => self.lend_and_lease(),
            8 => self.restart(),
            9 => self.update_host_status(),
            10 => self.connect(),
            _ => self.exercise_host_quota(),
        }
        if self.rng.below(3) == 0 {
            self.record_quotas();
        }
    }

    fn change_plans(&mut self) {
        let expected = self.log.state.version.saturating_sub(self.rng.below(8) / 7);
        let change = self.random_change();
        let author = if self.rng.below(30) == 0 {
            " "
        } else {
            "board"
        };
        let reason = "x".repeat(if self.rng.below(10) == 0 {
            500 + self.rng.below(2) as usize
        } else {
            10
        });
        let seconds = 1_800_000_000 + self.now / 1_000;
        match self
            .log
            .propose(expected, author, &reason, seconds, change.clone())
        {
            Ok(entry) => {
                self.append_to_record(&entry);
                let revert = serde_json::to_string(&self.log.state.revert(&change))
                    .expect("the data can be encoded as JSON");
                let before = self.log.state.clone();
                self.log
                    .append(&entry)
                    .expect("the proposed entry follows the log");
                let diff = serde_json::to_string(&before.diff(&self.log.state))
                    .expect("the data can be encoded as JSON");
                let state = serde_json::to_string(&self.log.state)
                    .expect("the data can be encoded as JSON");
                self.append_to_record(&format!(
                    "undo {revert} diff {diff} state {state} last {}",
                    self.log.last_hash()
                ));
                self.entries.push(entry);
                if self.rng.below(2) == 0 {
                    self.rollout.mark_limit_lowered(self.log.state.version);
                }
            }
            Err(error) => self.append_to_record(&format!("refused {error}")),
        }
    }

    fn random_change(&mut self) -> Change {
        let plan = self.rng.pick(&PLANS).to_owned();
        let volume = match self.rng.below(12) {
            0 => "no such volume".to_owned(),
            1 => "v".repeat(63 + self.rng.below(3) as usize),
            _ => self.rng.pick(&VOLUMES).to_owned(),
        };
        match self.rng.below(10) {
            0 => Change::RemovePlan { name: plan },
            1 => Change::RemoveVolume { volume },
            2..6 => Change::AssignPlan { volume, plan },
            _ => Change::SetPlan {
                name: plan,
                plan: self.random_parameters(),
            },
        }
    }

    fn random_parameters(&mut self) -> Plan {
        let rate_limit = self.rng.below(8) * 123_457;
        let priority_factor = if self.rng.below(10) == 0 {
            MAX_PARAMETER + self.rng.below(2)
        } else {
            1_000
        };
        Plan {
            usual_rate: self.rng.below(1_000),
            reserved_rate: self.rng.below(200_000),
            rate_limit,
            burst_units: self.rng.below(20) * 500,
            weight: 1_000,
            priority_factor,
        }
    }

    /// Sends log entries or a full snapshot to a replica.
    fn replicate(&mut self) {
        let host = self.rng.below(HOSTS) as usize;
        let HostMessage::Hello { version, .. } = self.replicas[host].hello() else {
            unreachable!()
        };
        let message = if self.rng.below(5) == 0 {
            let last_hash = if self.rng.below(6) == 0 {
                "x".to_owned()
            } else {
                self.log.last_hash().to_owned()
            };
            ServiceMessage::Snapshot {
                state: Box::new(self.log.state.clone()),
                last_hash,
            }
        } else {
            let skipped = self.rng.below(8) / 7;
            let Some(text) = self.entries.get((version + skipped) as usize) else {
                return;
            };
            let mut text = text.clone();
            if self.rng.below(20) == 0 {
                text.insert(1, ' ');
            }
            ServiceMessage::LogEntry { text }
        };
        self.send_to_replica(host, message);
        let hello = serde_json::to_string(&self.replicas[host].hello())
            .expect("the data can be encoded as JSON");
        self.append_to_record(&hello);
    }

    fn send_to_replica(&mut self, host: usize, message: ServiceMessage) -> Option<HostMessage> {
        let demand: Vec<MilliUnits> = VOLUMES
            .iter()
            .map(|_| self.rng.below(4) * self.rng.below(90_000))
            .collect();
        let (text, report) = match self.replicas[host].receive(message, &demand, self.now) {
            ReplicaAction::None => ("nothing".to_owned(), None),
            ReplicaAction::ApplyPending => ("state".to_owned(), None),
            ReplicaAction::Send(message) => (
                serde_json::to_string(&message).expect("the data can be encoded as JSON"),
                Some(message),
            ),
            ReplicaAction::Disconnect(error) => (format!("lost {error}"), None),
        };
        self.append_to_record(&format!("{host} at {}: {text}", self.now));
        report
    }

    fn accept_or_reject_pending(&mut self) {
        let host = self.rng.below(HOSTS) as usize;
        let pending = self.replicas[host].pending().map(|state| state.version);
        let answer = if self.rng.below(5) == 0 {
            self.replicas[host].reject_pending("no such node".to_owned())
        } else {
            self.replicas[host].accept_pending(self.now)
        };
        match &answer {
            Some(HostMessage::Accepted { version }) => {
                self.rollout
                    .on_accepted(&host_name(host as u64), *version, self.now);
            }
            Some(HostMessage::Rejected { version, reason }) => {
                self.rollout
                    .on_rejected(&host_name(host as u64), *version, reason, self.now);
            }
            _ => {}
        }
        let answer = serde_json::to_string(&answer).expect("the data can be encoded as JSON");
        let version = self.replicas[host].state().version;
        self.append_to_record(&format!(
            "{host} next {pending:?} stands {version}: {answer}"
        ));
        let effective = self
            .rollout
            .effective_version(self.log.state.version, self.now);
        self.append_to_record(&format!("{effective} everywhere"));
    }

    /// A poll, its report and the lease, each with a random delay.
    fn lend_and_lease(&mut self) {
        let host = self.rng.below(HOSTS) as usize;
        let max_delay = if self.rng.below(10) == 0 { 3_200 } else { 200 };
        let polled_at = self.now - self.rng.below(max_delay);
        let report = self.send_to_replica(host, ServiceMessage::QuotaPoll { polled_at });
        let Some(HostMessage::QuotaReport {
            polled_at,
            sent_at,
            volumes,
            ..
        }) = report
        else {
            return;
        };
        self.now += self.rng.below(100);
        let mut granted = Vec::new();
        for VolumeReport {
            volume,
            lent,
            requested,
        } in volumes
        {
            let index = VOLUMES
                .iter()
                .position(|name| *name == volume)
                .expect("the host reports only known volumes");
            let pool = &mut self.pools[index];
            pool.on_report(host as u32, polled_at, lent, requested, self.now);
            let amount = pool.grant(host as u32, self.now);
            for borrower in [host as u32, (host as u32 + 1) % HOSTS as u32] {
                for delay in [0, 1_499, 1_500, 1_549, 1_550] {
                    let expected = pool.clone().grant(borrower, self.now + delay);
                    write!(self.record, "{expected} ").expect("writing to memory cannot fail");
                }
            }
            granted.push((volume, amount));
        }
        self.append_to_record(&format!("granted to {host}: {granted:?}"));
        self.now += self.rng.below(100);
        let duration = if self.rng.below(20) == 0 {
            self.rng.below(50)
        } else {
            1_500
        };
        let volumes = granted.into_iter().map(VolumeLease::from).collect();
        self.send_to_replica(
            host,
            ServiceMessage::QuotaLeases {
                requested_at: sent_at,
                duration,
                volumes,
            },
        );
    }

    fn restart(&mut self) {
        if self.rng.below(4) == 0 {
            let index = self.rng.below(VOLUMES.len() as u64) as usize;
            self.pools[index] = QuotaPool::new(self.now, self.rng.below(3) == 0);
            return;
        }
        let host = self.rng.below(HOSTS);
        let stored = (self.rng.below(4) > 0).then(|| self.replicas[host as usize].log().clone());
        self.replicas[host as usize] =
            PlanReplica::new(&host_name(host), volumes_of(host), stored, self.now);
    }

    fn update_host_status(&mut self) {
        let host = host_name(self.rng.below(HOSTS + 1));
        match self.rng.below(4) {
            0 => self.rollout.on_contact(&host, self.now),
            1 => {
                let removed = self.rollout.declare_removed(&host, self.now);
                self.append_to_record(&format!("{host} gone {removed}"));
            }
            2 => {
                self.rollout.on_accepted(
                    &host,
                    self.rng.below(self.log.state.version + 1),
                    self.now,
                );
            }
            _ => {
                let version = self.log.state.version + self.rng.below(2);
                self.rollout
                    .on_rejected(&host, version, "not now", self.now);
            }
        }
        let (is_member, count) = (self.rollout.is_member(&host), self.rollout.member_count());
        self.append_to_record(&format!("{host} known {is_member} of {count}"));
        self.record_rollout();
    }

    fn record_rollout(&mut self) {
        let newest = self.log.state.version;
        for delay in [0, 2_999, 3_000, 3_049, 3_050] {
            let now = self.now + delay;
            for version in newest.saturating_sub(2)..=newest {
                for blocker in self.rollout.blockers(version, now) {
                    let text = match blocker {
                        RolloutBlocker::Silent {
                            host,
                            accepted_version,
                            last_contact,
                        } => {
                            format!("silent {host} {accepted_version} {last_contact}")
                        }
                        RolloutBlocker::Behind {
                            host,
                            accepted_version,
                        } => {
                            format!("behind {host} {accepted_version}")
                        }
                        RolloutBlocker::Rejected { host, reason } => {
                            format!("against {host} {reason}")
                        }
                        RolloutBlocker::UnexpiredLeases { until } => format!("lapses {until}"),
                    };
                    self.append_to_record(&text);
                }
            }
            let effective = self.rollout.effective_version(newest, now);
            self.append_to_record(&format!("{effective} of {newest} everywhere"));
        }
    }

    fn connect(&mut self) {
        let host = self.rng.below(HOSTS) as usize;
        for step in 0..self.rng.below(300) {
            let jitter = self.rng.below(1_100);
            if self.replicas[host].should_connect(self.now + step * 17, jitter) {
                self.append_to_record(&format!("{host} connects at {}", self.now + step * 17));
            }
        }
    }

    fn exercise_host_quota(&mut self) {
        let host = self.rng.below(HOSTS) as usize;
        let amount = self.rng.below(200_000);
        let age = self.rng.below(1_600);
        let quota = &mut self.quotas[host];
        let text = match self.rng.below(6) {
            0 => {
                quota.restrict_until(self.now + age, self.now);
                format!("started {age}")
            }
            1 => {
                quota.set_limit(amount * 9, self.rng.below(8) as u32);
                format!("even {}", quota.nominal())
            }
            2 => format!("spare {}", quota.lendable(amount)),
            3 => format!("lent {}", quota.lend(amount, self.now)),
            _ => {
                quota.add_lease(amount, self.now - age, 1_500, self.now);
                format!("granted {amount}")
            }
        };
        self.append_to_record(&text);
    }

    /// Records what every host may use now, and at each time at which a loan or lease may have expired.
    fn record_quotas(&mut self) {
        let delays = [0, 500, 1_499, 1_500, 3_049, 3_050];
        for delay in delays {
            let at = self.now + delay;
            for replica in &self.replicas {
                for quota in replica.available_quotas(at) {
                    write!(
                        self.record,
                        "{} ",
                        quota.map_or("-".to_owned(), |q| q.to_string())
                    )
                    .expect("writing to memory cannot fail");
                }
            }
            for quota in &self.quotas {
                write!(self.record, "{} ", quota.available(at))
                    .expect("writing to memory cannot fail");
            }
        }
        self.record.push('\n');
    }
}

fn host_name(host: u64) -> String {
    format!("host{host}")
}

/// Returns the volumes of a host, each with the number of hosts that serve it.
fn volumes_of(host: u64) -> Vec<HostedVolume> {
    let skipped = host as usize % (VOLUMES.len() + 1);
    let own = VOLUMES
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != skipped);
    own.map(|(index, name)| HostedVolume {
        name: (*name).to_owned(),
        host_count: index as u32 + 3,
    })
    .collect()
}

fn digest(seed: u64) -> String {
    let mut scenario = Scenario::new(seed);
    for _ in 0..EVENTS_PER_SEED {
        scenario.run_random_event();
    }
    blake3::hash(scenario.record.as_bytes()).to_hex()[..16].to_owned()
}

#[test]
fn every_seed_leads_to_the_recorded_actions() {
    let expected: Vec<&str> = include_str!("fixtures/decisions.txt").lines().collect();
    assert_eq!(expected.len(), 20);
    let digests: Vec<String> = (0..20).map(digest).collect();
    assert_eq!(digests, expected);
}

#[test]
fn constants_are_the_recorded_ones() {
    assert_eq!(
        (
            LOAN_DURATION,
            CLOCK_SKEW_MARGIN,
            LEASE_DURATION,
            POLL_INTERVAL,
            SILENT_AFTER,
            MAX_RECONNECT_DELAY
        ),
        (3_000, 50, 1_500, 500, 3_000, 5_000)
    );
    assert_eq!(MAX_PARAMETER, 1_000_000_000_000);
}

/// The seeded events rarely occur at the exact millisecond at which a loan, request or lease expires; these events do.
#[test]
fn amounts_expire_at_the_recorded_millisecond() {
    let mut pool = QuotaPool::new(0, true);
    pool.on_report(0, 0, 300, 0, 10);
    // A loan of 3,000 ms backs a lease, which may be in use for 1,550 ms, if it is granted by 1,450 ms.
    for (now, amount) in [(1_450, 300), (1_451, 0)] {
        let mut pool = pool.clone();
        pool.on_report(1, now, 0, 400, now);
        assert_eq!(
            pool.grant(1, now),
            amount,
            "loan from 0 ms, request at {now} ms"
        );
    }
    // A request counts for 1,500 ms: until then it reduces the fair share of the other host.
    for (later, amount) in [(1_499, 150), (1_500, 300)] {
        let mut pool = QuotaPool::new(0, true);
        pool.on_report(1, 0, 0, 400, 0);
        pool.on_report(0, later, 300, 0, later);
        pool.on_report(2, later, 0, 400, later);
        assert_eq!(
            pool.grant(2, later),
            amount,
            "second request {later} ms after the first"
        );
    }
    // A lease of 1,500 ms counts as in use for 1,550 ms.
    for (later, amount) in [(1_549, 0), (1_550, 300)] {
        let mut pool = QuotaPool::new(0, true);
        pool.on_report(0, 0, 300, 0, 0);
        pool.on_report(1, 0, 0, 400, 0);
        assert_eq!(pool.grant(1, 0), 300);
        pool.on_report(0, later, 300, 0, later);
        pool.on_report(2, later, 0, 400, later);
        assert_eq!(
            pool.grant(2, later),
            amount,
            "second request {later} ms after the first lease"
        );
    }
    // A service that is not started for the first time grants nothing for 1,550 ms.
    for (later, amount) in [(1_549, 0), (1_550, 300)] {
        let mut pool = QuotaPool::new(0, false);
        pool.on_report(0, later, 300, 0, later);
        pool.on_report(1, later, 0, 400, later);
        assert_eq!(
            pool.grant(1, later),
            amount,
            "request {later} ms after the start"
        );
    }
}

#[test]
fn connection_attempts_are_made_at_the_recorded_milliseconds() {
    for (jitter, expected) in [
        (0, [0, 50, 150, 350, 750, 1_550, 3_150, 5_650, 8_150]),
        (
            1_000,
            [0, 100, 300, 700, 1_500, 3_100, 6_300, 11_300, 16_300],
        ),
        (
            5_000,
            [0, 100, 300, 700, 1_500, 3_100, 6_300, 11_300, 16_300],
        ),
    ] {
        let mut replica = PlanReplica::new("h", Vec::new(), None, 0);
        let attempts: Vec<Millis> = (0..20_000)
            .filter(|now| replica.should_connect(*now, jitter))
            .take(9)
            .collect();
        assert_eq!(attempts, expected, "jitter {jitter}");
    }
}
