//! SWIM's failure detector: the member that is pinged in each protocol period, the pending ping, and Lifeguard's local
//! health multiplier.
#[cfg(test)]
mod tests;

use crate::Millis;
use crate::config::MembershipConfig;
use crate::rng::SeededRng;

/// Maximum of the local health multiplier (Lifeguard, LHA-Probe). At this value, periods are nine times as long.
const MAX_LOCAL_HEALTH_MULTIPLIER: u32 = 8;
/// Timeout of a direct ping, as a fraction of the protocol period. Other members are then asked to ping the target.
const DIRECT_PING_TIMEOUT: f64 = 0.4;

/// Member that is pinged in a protocol period, with the sequence number of the ping.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PingTarget {
    pub id: u64,
    pub sequence: u32,
}

/// Ping whose ack is pending.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingPing {
    target: PingTarget,
    /// Time at which other members are asked to ping the target. `None` once they were asked.
    indirect_at: Option<Millis>,
    /// Number of members that were asked to ping the target.
    requested: u32,
    /// Number of the asked members that reported a failed ping.
    failed: u32,
}

/// Protocol periods of this host, the pending ping of the current period, and the local health multiplier.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct FailureDetector {
    protocol_period: Millis,
    /// Whether the local health multiplier is in use.
    local_health: bool,
    /// Members that are still to be pinged in this round, the next one last.
    round: Vec<u64>,
    pending: Option<PendingPing>,
    /// Time at which the next period begins.
    next_period: Millis,
    /// Lifeguard's local health multiplier. 0 if this host is healthy; each step lengthens the periods by one protocol
    /// period.
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

    /// Returns the next member to ping. Each round visits every eligible member once, in a new random order (SWIM,
    /// section 4.3).
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

    /// Records a ping that was sent, whose ack is now pending.
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

    /// Returns the member that did not answer in time, if other members are now to be asked to ping it.
    pub fn unanswered_target(&self, now: Millis) -> Option<PingTarget> {
        let ping = self.pending.as_ref()?;
        let is_due = ping.indirect_at.is_some_and(|at| now >= at) && now < self.next_period;
        is_due.then_some(ping.target)
    }

    /// Records how many members were asked to ping the target. They are asked once in a period, also if there are none.
    pub fn indirect_pings_requested(&mut self, members: usize) {
        if let Some(ping) = &mut self.pending {
            ping.requested = members as u32;
            ping.indirect_at = None;
        }
    }

    /// Returns whether the current period is over.
    pub fn is_period_over(&self, now: Millis) -> bool {
        now >= self.next_period
    }

    /// Begins the next period. Returns the member that was pinged in the last period and did not answer, if any: it is
    /// to be suspected.
    pub fn begin_period(&mut self, now: Millis) -> Option<u64> {
        let unanswered = self.pending.take();
        // This host itself may be partitioned if none of the members that it asked reported a result.
        if let Some(ping) = &unanswered
            && ping.requested > 0
            && ping.failed == 0
        {
            self.increase_health_multiplier();
        }
        self.next_period = now + self.protocol_period * self.timeout_factor();
        unanswered.map(|ping| ping.target.id)
    }

    /// Handles an ack that a member sent to this host.
    pub fn on_ack(&mut self, sender_id: u64, sequence: u32) {
        let sender = PingTarget {
            id: sender_id,
            sequence,
        };
        if self.pending.take_if(|ping| ping.target == sender).is_some() {
            self.decrease_health_multiplier();
        }
    }

    /// Handles the result of a ping that another member sent at this host's request.
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

    /// Drops the pending ping after a pause of this process, in which it could not receive the ack, and lengthens the
    /// periods.
    pub fn on_pause(&mut self) {
        self.pending = None;
        self.increase_health_multiplier();
    }

    /// Records that this host refutes a suspicion of itself, which indicates that it is slow.
    pub fn on_refutation(&mut self) {
        self.increase_health_multiplier();
    }

    /// Returns the factor by which this host lengthens its own timeouts.
    fn timeout_factor(&self) -> u64 {
        u64::from(self.health_multiplier) + 1
    }

    /// Shortens the periods after an answered ping, which indicates that this host itself is healthy.
    fn decrease_health_multiplier(&mut self) {
        self.health_multiplier = self.health_multiplier.saturating_sub(1);
    }

    /// Lengthens the periods after an indication that this host itself is slow, paused or partitioned (Lifeguard,
    /// LHA-Probe).
    fn increase_health_multiplier(&mut self) {
        if self.local_health {
            self.health_multiplier = (self.health_multiplier + 1).min(MAX_LOCAL_HEALTH_MULTIPLIER);
        }
    }
}
