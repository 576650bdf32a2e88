//! One member of the table: its newest record, and the verdict of the failure detectors.
#[cfg(test)]
mod tests;

use crate::Millis;
use crate::record::{GossipUpdate, Lifecycle, MemberRecord, MemberState, Precedence};
use crate::suspicion::Suspicion;
use std::cmp::Ordering;

/// Pings of a member that is unreachable, by which the two sides of a healed partition find each other again.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct UnreachablePings {
    next: Millis,
    /// Doubles with each ping.
    interval: Millis,
}

/// Verdict of the failure detectors on a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Reachability {
    Reachable,
    Suspect(Suspicion),
    Unreachable {
        /// The member that raised the suspicion from which this was concluded.
        accuser: u32,
        /// Concluded from a local suspicion; not gossiped.
        is_local: bool,
        pings: UnreachablePings,
    },
}

impl Reachability {
    /// Suspected by a member from `now` on, or reachable where no member suspects it.
    fn from_suspicion(accuser: Option<u32>, now: Millis) -> Self {
        match accuser {
            None => Reachability::Reachable,
            Some(accuser) => Reachability::Suspect(Suspicion::raised_by(accuser, false, now)),
        }
    }
}

/// What an update did to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateOutcome {
    /// The record was replaced, or a suspicion of it raised or confirmed.
    Applied,
    /// Nothing that is known changed.
    Unchanged,
    /// A newer record is known.
    Stale,
}

/// A member as this host knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Member {
    record: MemberRecord,
    reachability: Reachability,
    /// When this host last received a message from the member itself.
    last_contact: Option<Millis>,
    /// When the member's state last changed.
    state_since: Millis,
}

impl Member {
    /// A member that this host learns of, with the suspicion that came with its record.
    pub fn new(update: &GossipUpdate, now: Millis) -> Self {
        Member {
            record: update.record.clone(),
            reachability: Reachability::from_suspicion(update.suspected_by, now),
            last_contact: None,
            state_since: now,
        }
    }

    /// The newest record known.
    pub fn record(&self) -> &MemberRecord {
        &self.record
    }

    /// The newest record known, of a member that is dropped.
    pub fn into_record(self) -> MemberRecord {
        self.record
    }

    /// When this host last received a message from the member itself.
    pub fn last_contact(&self) -> Option<Millis> {
        self.last_contact
    }

    /// State of the member as this host sees it.
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

    /// Whether it has ended by its own word, or as was concluded of a leaving member.
    pub fn has_left(&self) -> bool {
        self.record.lifecycle == Lifecycle::Left
    }

    /// Whether any failure detector's suspicion of it stands.
    pub fn is_accused(&self) -> bool {
        self.reachability != Reachability::Reachable
    }

    /// Whether it is up as far as this host knows, and may be sent requests.
    pub fn is_reachable(&self) -> bool {
        !self.is_accused() && !self.has_left()
    }

    /// Whether this host alone suspects it, and does not gossip that.
    pub fn is_locally_suspected(&self) -> bool {
        match &self.reachability {
            Reachability::Reachable => false,
            Reachability::Suspect(suspicion) => suspicion.is_local(),
            Reachability::Unreachable { is_local, .. } => *is_local,
        }
    }

    /// Whether the member has been in its state for so long that the table drops it. `left_shown`: how long members that
    /// left are shown; `retention`: how long unreachable ones are kept.
    pub fn is_expired(&self, left_shown: Millis, retention: Millis, now: Millis) -> bool {
        match self.state() {
            MemberState::Left => now >= self.state_since + left_shown,
            MemberState::Unreachable => now >= self.state_since + retention,
            _ => false,
        }
    }

    /// The accuser that gossip about this member names.
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

    /// What is gossiped about the member.
    pub fn to_update(&self) -> GossipUpdate {
        GossipUpdate {
            record: self.record.clone(),
            suspected_by: self.gossiped_accuser(),
        }
    }

    /// A message with this record was received from the member itself.
    pub fn record_contact(&mut self, precedence: Precedence, now: Millis) {
        if self.record.precedence() == precedence {
            self.last_contact = Some(now);
        }
    }

    /// Merges an update about this member: newer records replace older ones and clear their suspicions; a suspicion of
    /// the very record that is known is raised or confirmed (SWIM, section 4.2).
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
        self.note_state_change(previous, now);
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

    /// The member did not answer this host's pings. `is_local`: this host is isolated and keeps the suspicion to itself.
    pub fn suspect(&mut self, accuser: u32, is_local: bool, now: Millis) {
        let previous = self.state();
        self.reachability = Reachability::Suspect(Suspicion::raised_by(accuser, is_local, now));
        self.note_state_change(previous, now);
    }

    /// This host was stopped for `gap`: a suspicion lasts longer by that.
    pub fn extend_suspicion(&mut self, gap: Millis) {
        if let Reachability::Suspect(suspicion) = &mut self.reachability {
            suspicion.extend(gap);
        }
    }

    /// The suspicion of the member that was neither refuted nor concluded yet.
    pub fn suspicion(&self) -> Option<&Suspicion> {
        match &self.reachability {
            Reachability::Suspect(suspicion) => Some(suspicion),
            Reachability::Reachable | Reachability::Unreachable { .. } => None,
        }
    }

    /// A suspicion was not refuted in time: the member is unreachable, or has left if it was leaving. It is pinged
    /// after `ping_interval`.
    pub fn conclude_suspicion(&mut self, ping_interval: Millis, now: Millis) {
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

    /// This host became isolated: keeps a suspicion to itself that it alone raised since its last contact with any
    /// member. Returns whether it did.
    pub fn keep_suspicion_local(&mut self, own_accuser: u32, last_contact: Millis) -> bool {
        match &mut self.reachability {
            Reachability::Suspect(suspicion) => suspicion.keep_local(own_accuser, last_contact),
            Reachability::Reachable | Reachability::Unreachable { .. } => false,
        }
    }

    /// This host is no longer isolated, and drops what it alone suspected meanwhile.
    pub fn clear_suspicion(&mut self, now: Millis) {
        self.reachability = Reachability::Reachable;
        self.state_since = now;
    }

    /// Whether the member is unreachable and to be pinged now. If so, the next ping is due after twice the interval, at
    /// most `longest`.
    pub fn take_due_ping(&mut self, now: Millis, longest: Millis) -> bool {
        match &mut self.reachability {
            Reachability::Unreachable { pings, .. } if now >= pings.next => {
                pings.interval = (pings.interval * 2).min(longest);
                pings.next = now + pings.interval;
                true
            }
            _ => false,
        }
    }

    fn note_state_change(&mut self, previous: MemberState, now: Millis) {
        if self.state() != previous {
            self.state_since = now;
        }
    }
}
