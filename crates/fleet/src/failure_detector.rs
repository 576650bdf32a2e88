//! SWIM's failure detector: which member is pinged in which period, which ping is pending, and Lifeguard's local health
//! multiplier.
use crate::Millis;
use crate::config::MembershipConfig;
use crate::rng::SeededRng;

/// Largest local health multiplier (Lifeguard, LHA-Probe): periods are stretched by up to so many further ones.
const MAX_LOCAL_HEALTH_MULTIPLIER: u32 = 8;
/// Part of a period for which the answer to a direct ping is awaited, before other members are asked to ping.
const DIRECT_PING_TIMEOUT: f64 = 0.4;

/// A ping that waits for its ack.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingPing {
    pub target_id: u64,
    pub sequence: u32,
    /// When other members are asked to ping the target.
    pub indirect_at: Millis,
    /// How many members were asked to ping the target.
    pub requested: u32,
    /// How many of them reported a failed ping.
    pub failed: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct FailureDetector {
    /// Members still to be pinged in this round, the next one last.
    round: Vec<u64>,
    pub pending: Option<PendingPing>,
    /// When the next period begins.
    pub next_period: Millis,
    /// Lifeguard's local health multiplier. 0: healthy; each step stretches the periods by one.
    health_multiplier: u32,
}

impl FailureDetector {
    pub fn new(next_period: Millis) -> Self {
        FailureDetector {
            next_period,
            ..FailureDetector::default()
        }
    }

    /// Factor by which this host stretches its own timeouts.
    pub fn timeout_factor(&self) -> u64 {
        u64::from(self.health_multiplier) + 1
    }

    /// A ping was answered, so this host itself is healthy: the periods become shorter again.
    pub fn decrease_health_multiplier(&mut self) {
        self.health_multiplier = self.health_multiplier.saturating_sub(1);
    }

    /// A sign that this host itself is slow, stopped or partitioned: the periods become longer (Lifeguard, LHA-Probe).
    pub fn increase_health_multiplier(&mut self, config: &MembershipConfig) {
        if config.local_health {
            self.health_multiplier = (self.health_multiplier + 1).min(MAX_LOCAL_HEALTH_MULTIPLIER);
        }
    }

    /// The next member to ping. Rounds visit each eligible member once, in a new random order each (SWIM, section 4.3).
    pub fn next_target(
        &mut self,
        rng: &mut SeededRng,
        is_eligible: impl Fn(u64) -> bool,
        members: impl Iterator<Item = u64>,
    ) -> Option<u64> {
        while let Some(id) = self.round.pop() {
            if is_eligible(id) {
                return Some(id);
            }
        }
        self.round.extend(members.filter(|id| is_eligible(*id)));
        // Fisher-Yates shuffle.
        for index in (1..self.round.len()).rev() {
            self.round.swap(index, rng.index(index + 1));
        }
        self.round.pop()
    }

    /// A ping was sent: waits for its ack.
    pub fn await_ack(
        &mut self,
        target_id: u64,
        sequence: u32,
        now: Millis,
        config: &MembershipConfig,
    ) {
        let timeout =
            (config.protocol_period as f64 * DIRECT_PING_TIMEOUT) as Millis * self.timeout_factor();
        self.pending = Some(PendingPing {
            target_id,
            sequence,
            indirect_at: now + timeout,
            requested: 0,
            failed: 0,
        });
    }
}
