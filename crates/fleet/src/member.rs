//! One member of the membership table: its newest record, and its reachability.
#[cfg(test)]
mod tests;

use crate::Millis;
use crate::record::{GossipUpdate, Lifecycle, MemberRecord, MemberState, Precedence};
use crate::suspicion::Suspicion;
use std::cmp::Ordering;

/// Schedule of the pings to an unreachable member, by which the two sides of a healed partition find each other again.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct UnreachablePings {
    /// Time of the next ping.
    next: Millis,
    /// Interval before the next ping. Doubles with each ping, up to a maximum.
    interval: Millis,
}

/// Reachability of a member, as the failure detectors of this host and other members determined it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Reachability {
    Reachable,
    Suspect(Suspicion),
    Unreachable {
        /// Member that raised the suspicion that timed out.
        accuser: u32,
        /// Whether the suspicion was local to this host. A local suspicion is not gossiped.
        is_local: bool,
        pings: UnreachablePings,
    },
}

impl Reachability {
    /// Returns the reachability of a member that `accuser` suspects from `now` on, or that no member suspects.
    fn from_suspicion(accuser: Option<u32>, now: Millis) -> Self {
        match accuser {
            None => Reachability::Reachable,
            Some(accuser) => Reachability::Suspect(Suspicion::raised_by(accuser, false, now)),
        }
    }
}

/// Effect of an update on a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateOutcome {
    /// The update replaced the record, or raised or confirmed a suspicion.
    Applied,
    /// The update contained nothing new.
    Unchanged,
    /// The update is stale: a newer record is known.
    Stale,
}

/// Member of the fleet as this host knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Member {
    record: MemberRecord,
    reachability: Reachability,
    /// Time at which this host last received a message from the member itself that had the record known at that time.
    last_contact: Option<Millis>,
    /// Time at which the member's state last changed.
    state_since: Millis,
}

impl Member {
    /// Creates a member that was not known before, with the suspicion that came with its record.
    pub fn new(update: &GossipUpdate, now: Millis) -> Self {
        Member {
            record: update.record.clone(),
            reachability: Reachability::from_suspicion(update.suspected_by, now),
            last_contact: None,
            state_since: now,
        }
    }

    /// Returns the newest known record of the member.
    pub fn record(&self) -> &MemberRecord {
        &self.record
    }

    /// Consumes a member that was removed from the table, and returns its newest known record.
    pub fn into_record(self) -> MemberRecord {
        self.record
    }

    /// Returns when this host last received a message from the member itself.
    pub fn last_contact(&self) -> Option<Millis> {
        self.last_contact
    }

    /// Returns the state of the member as this host sees it.
    pub fn state(&self) -> MemberState {
        match (self.record.lifecycle, &self.reachability) {
            (Lifecycle::Left, _) => MemberState::Left,
            (_, Reachability::Suspect { .. }) => MemberState::Suspect,
            (_, Reachability::Unreachable { .. }) => MemberState::Unreachable,
            (Lifecycle::Joining, _) => MemberState::Joining,
            (Lifecycle::Alive, _) => MemberState::Alive,
            (Lifecycle::Leaving, _) => MemberState::Leaving,
        }
    }

    /// Returns whether the member has left: it declared so itself, or was leaving when a suspicion of it timed out.
    pub fn has_left(&self) -> bool {
        self.record.lifecycle == Lifecycle::Left
    }

    /// Returns whether the member is suspect or unreachable.
    pub fn is_accused(&self) -> bool {
        self.reachability != Reachability::Reachable
    }

    /// Returns whether the member is up as far as this host knows, and may be sent requests.
    pub fn is_reachable(&self) -> bool {
        !self.is_accused() && !self.has_left()
    }

    /// Returns whether only this host suspects the member and does not gossip the suspicion.
    pub fn is_locally_suspected(&self) -> bool {
        match &self.reachability {
            Reachability::Reachable => false,
            Reachability::Suspect(suspicion) => suspicion.is_local(),
            Reachability::Unreachable { is_local, .. } => *is_local,
        }
    }

    /// Returns whether the member has been in its state for so long that the table drops it. `left_retention` is the
    /// retention time of members that left, `unreachable_retention` that of unreachable ones.
    pub fn is_expired(
        &self,
        left_retention: Millis,
        unreachable_retention: Millis,
        now: Millis,
    ) -> bool {
        match self.state() {
            MemberState::Left => now >= self.state_since + left_retention,
            MemberState::Unreachable => now >= self.state_since + unreachable_retention,
            _ => false,
        }
    }

    /// Returns the accuser that gossip about this member names. `None` if no suspicion of the member is gossiped.
    pub fn gossiped_accuser(&self) -> Option<u32> {
        match &self.reachability {
            Reachability::Suspect(suspicion) if !suspicion.is_local() => {
                Some(suspicion.latest_accuser())
            }
            Reachability::Unreachable {
                accuser,
                is_local: false,
                ..
            } => Some(*accuser),
            _ => None,
        }
    }

    /// Returns the update that is gossiped about the member.
    pub fn to_update(&self) -> GossipUpdate {
        GossipUpdate {
            record: self.record.clone(),
            suspected_by: self.gossiped_accuser(),
        }
    }

    /// Records the time of a message from the member itself, if the message has the known record.
    pub fn record_contact(&mut self, precedence: Precedence, now: Millis) {
        if self.record.precedence() == precedence {
            self.last_contact = Some(now);
        }
    }

    /// Merges an update about this member. A newer record replaces the known one and clears its suspicion; a suspicion
    /// that came with the known record is raised or confirmed (SWIM, section 4.2).
    pub fn merge(&mut self, update: &GossipUpdate, now: Millis) -> UpdateOutcome {
        let previous = self.state();
        let outcome = match update.record.precedence().cmp(&self.record.precedence()) {
            Ordering::Less => UpdateOutcome::Stale,
            Ordering::Greater => {
                self.record = update.record.clone();
                self.reachability = Reachability::from_suspicion(update.suspected_by, now);
                UpdateOutcome::Applied
            }
            Ordering::Equal => match update.suspected_by {
                Some(accuser) if !self.has_left() => self.merge_suspicion(accuser, now),
                _ => UpdateOutcome::Unchanged,
            },
        };
        self.update_state_since(previous, now);
        outcome
    }

    fn merge_suspicion(&mut self, accuser: u32, now: Millis) -> UpdateOutcome {
        match &mut self.reachability {
            Reachability::Reachable => {
                let suspicion = Suspicion::raised_by(accuser, false, now);
                self.reachability = Reachability::Suspect(suspicion);
                UpdateOutcome::Applied
            }
            Reachability::Suspect(suspicion) => {
                if suspicion.confirm(accuser) {
                    UpdateOutcome::Applied
                } else {
                    UpdateOutcome::Unchanged
                }
            }
            Reachability::Unreachable { .. } => UpdateOutcome::Unchanged,
        }
    }

    /// Raises a suspicion of the member, which did not answer this host's pings. `is_local`: whether this host is
    /// isolated and does not gossip the suspicion.
    pub fn suspect(&mut self, accuser: u32, is_local: bool, now: Millis) {
        let previous = self.state();
        self.reachability = Reachability::Suspect(Suspicion::raised_by(accuser, is_local, now));
        self.update_state_since(previous, now);
    }

    /// Extends a pending suspicion by a pause of this process.
    pub fn extend_suspicion(&mut self, pause: Millis) {
        if let Reachability::Suspect(suspicion) = &mut self.reachability {
            suspicion.extend(pause);
        }
    }

    /// Returns the pending suspicion of the member: one that was neither refuted nor has timed out.
    pub fn suspicion(&self) -> Option<&Suspicion> {
        match &self.reachability {
            Reachability::Suspect(suspicion) => Some(suspicion),
            Reachability::Reachable | Reachability::Unreachable { .. } => None,
        }
    }

    /// Ends a suspicion that was not refuted in time. The member has left if it was leaving and the suspicion is not
    /// local to this host. Otherwise it becomes unreachable, and is pinged after `ping_interval`.
    pub fn expire_suspicion(&mut self, ping_interval: Millis, now: Millis) {
        let Reachability::Suspect(suspicion) = &self.reachability else {
            return;
        };
        let is_local = suspicion.is_local();
        if self.record.lifecycle == Lifecycle::Leaving && !is_local {
            self.record.lifecycle = Lifecycle::Left;
            self.reachability = Reachability::Reachable;
        } else {
            self.reachability = Reachability::Unreachable {
                accuser: suspicion.first_accuser(),
                is_local,
                pings: UnreachablePings {
                    next: now + ping_interval,
                    interval: ping_interval,
                },
            };
        }
        self.state_since = now;
    }

    /// Makes a suspicion local to this host, which became isolated, if only this host raised it, after its last contact
    /// with any member. Returns whether it is such a suspicion.
    pub fn keep_suspicion_local(&mut self, own_accuser: u32, last_contact: Millis) -> bool {
        match &mut self.reachability {
            Reachability::Suspect(suspicion) => suspicion.keep_local(own_accuser, last_contact),
            Reachability::Reachable | Reachability::Unreachable { .. } => false,
        }
    }

    /// Clears the local suspicion of the member, once the isolation of this host is over.
    pub fn clear_suspicion(&mut self, now: Millis) {
        self.reachability = Reachability::Reachable;
        self.state_since = now;
    }

    /// Returns whether the member is unreachable and a ping to it is due. If so, schedules the next ping after twice
    /// the interval, at most `max_interval`.
    pub fn take_due_ping(&mut self, now: Millis, max_interval: Millis) -> bool {
        match &mut self.reachability {
            Reachability::Unreachable { pings, .. } if now >= pings.next => {
                pings.interval = (pings.interval * 2).min(max_interval);
                pings.next = now + pings.interval;
                true
            }
            _ => false,
        }
    }

    fn update_state_since(&mut self, previous: MemberState, now: Millis) {
        if self.state() != previous {
            self.state_since = now;
        }
    }
}
