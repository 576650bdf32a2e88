//! SWIM's failure detector: which member is pinged in which period, which ping is pending, and Lifeguard's local health
//! multiplier.
#[cfg(test)]
mod tests;

use crate::Millis;
use crate::config::MembershipConfig;
use crate::rng::SeededRng;

/// Largest local health multiplier (Lifeguard, LHA-Probe): periods are stretched by up to so many further ones.
const MAX_LOCAL_HEALTH_MULTIPLIER: u32 = 8;
/// Part of a period for which the answer to a direct ping is awaited, before other members are asked to ping.
const DIRECT_PING_TIMEOUT: f64 = 0.4;

/// The member that is pinged in a period, and the ping's sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PingTarget {
    pub id: u64,
    pub sequence: u32,
}

/// A ping that waits for its ack.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingPing {
    target: PingTarget,
    /// When other members are asked to ping the target; none: they were asked.
    indirect_at: Option<Millis>,
    /// How many members were asked to ping the target.
    requested: u32,
    /// How many of them reported a failed ping.
    failed: u32,
}

/// Protocol periods of one host, the ping that is pending in the current one, and the local health multiplier.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct FailureDetector {
    protocol_period: Millis,
    /// Whether the local health multiplier is in use.
    local_health: bool,
    /// Members still to be pinged in this round, the next one last.
    round: Vec<u64>,
    pending: Option<PendingPing>,
    /// When the next period begins.
    next_period: Millis,
    /// Lifeguard's local health multiplier. 0: healthy; each step stretches the periods by one.
    health_multiplier: u32,
}

impl FailureDetector {
    pub fn new(config: &MembershipConfig, next_period: Millis) -> Self {
        FailureDetector {
            protocol_period: config.protocol_period,
            local_health: config.local_health,
            round: Vec::new(),
            pending: None,
            next_period,
            health_multiplier: 0,
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
    pub fn await_ack(&mut self, target: PingTarget, now: Millis) {
        let timeout =
            (self.protocol_period as f64 * DIRECT_PING_TIMEOUT) as Millis * self.timeout_factor();
        self.pending = Some(PendingPing {
            target,
            indirect_at: Some(now + timeout),
            requested: 0,
            failed: 0,
        });
    }

    /// The member that did not answer in time, if others are now to be asked to ping it.
    pub fn unanswered_target(&self, now: Millis) -> Option<PingTarget> {
        let ping = self.pending.as_ref()?;
        let is_due = ping.indirect_at.is_some_and(|at| now >= at) && now < self.next_period;
        is_due.then_some(ping.target)
    }

    /// So many members were asked to ping the target: once a period, also if there was none to ask.
    pub fn indirect_pings_requested(&mut self, members: usize) {
        if let Some(ping) = &mut self.pending {
            ping.requested = members as u32;
            ping.indirect_at = None;
        }
    }

    /// Whether the period is over.
    pub fn is_period_over(&self, now: Millis) -> bool {
        now >= self.next_period
    }

    /// Begins the next period. Returns the member pinged in the last one if it did not answer: it is to be suspected.
    pub fn begin_period(&mut self, now: Millis) -> Option<u64> {
        let unanswered = self.pending.take();
        // None of the requested members reported a result: this host itself may be partitioned.
        if let Some(ping) = &unanswered
            && ping.requested > 0
            && ping.failed == 0
        {
            self.increase_health_multiplier();
        }
        self.next_period = now + self.protocol_period * self.timeout_factor();
        unanswered.map(|ping| ping.target.id)
    }

    /// A member answered a ping of this host.
    pub fn on_ack(&mut self, sender_id: u64, sequence: u32) {
        let sender = PingTarget {
            id: sender_id,
            sequence,
        };
        if self.pending.take_if(|ping| ping.target == sender).is_some() {
            self.decrease_health_multiplier();
        }
    }

    /// A member reported the result of a ping that this host requested.
    pub fn on_indirect_result(&mut self, sequence: u32, acknowledged: bool) {
        let Some(ping) = self
            .pending
            .as_mut()
            .filter(|ping| ping.target.sequence == sequence)
        else {
            return;
        };
        if acknowledged {
            self.pending = None;
            self.decrease_health_multiplier();
        } else {
            ping.failed += 1;
        }
    }

    /// This host was stopped: the ack of the pending ping could not be read.
    pub fn on_stop(&mut self) {
        self.pending = None;
        self.increase_health_multiplier();
    }

    /// Others suspected this host, and it refutes that.
    pub fn on_refutation(&mut self) {
        self.increase_health_multiplier();
    }

    /// Factor by which this host stretches its own timeouts.
    fn timeout_factor(&self) -> u64 {
        u64::from(self.health_multiplier) + 1
    }

    /// A ping was answered, so this host itself is healthy: the periods become shorter again.
    fn decrease_health_multiplier(&mut self) {
        self.health_multiplier = self.health_multiplier.saturating_sub(1);
    }

    /// A sign that this host itself is slow, stopped or partitioned: the periods become longer (Lifeguard, LHA-Probe).
    fn increase_health_multiplier(&mut self) {
        if self.local_health {
            self.health_multiplier = (self.health_multiplier + 1).min(MAX_LOCAL_HEALTH_MULTIPLIER);
        }
    }
}
