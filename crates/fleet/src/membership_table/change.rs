//! Changes of the membership table, with the event and the gossip that each of them requires.
use crate::event::MembershipEvent;
use crate::member::Member;
use crate::record::{MemberRecord, MemberState};

/// Effect of a change on a member's entry in the gossip queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GossipEffect {
    /// The member's update is queued as if it had not been sent yet.
    Enqueue,
    /// The member's update is removed from the queue.
    Withdraw,
    /// The queue does not change.
    Unchanged,
}

/// Change of one member of the table, to be reported and gossiped.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TableChange {
    /// Id of the member.
    pub id: u64,
    /// Event to report. `None` if there is nothing to report.
    pub event: Option<MembershipEvent>,
    /// Effect on the member's entry in the gossip queue.
    pub gossip: GossipEffect,
}

impl TableChange {
    /// Creates the change of a member that was added, or whose record or reachability changed.
    pub fn updated(
        id: u64,
        member: &Member,
        previous: Option<MemberState>,
        gossip: GossipEffect,
    ) -> Self {
        TableChange {
            id,
            event: Some(updated_event(member, previous)),
            gossip,
        }
    }

    /// Creates the change of a member whose state changed, which is reported and not gossiped.
    pub fn reported(id: u64, member: &Member, previous: MemberState) -> Self {
        TableChange::updated(id, member, Some(previous), GossipEffect::Unchanged)
    }

    /// Creates a change by which a member's update is queued, and nothing is reported.
    pub fn enqueued(id: u64) -> Self {
        TableChange {
            id,
            event: None,
            gossip: GossipEffect::Enqueue,
        }
    }

    /// Creates a change by which a member's update is no longer gossiped, and nothing is reported.
    pub fn withdrawn(id: u64) -> Self {
        TableChange {
            id,
            event: None,
            gossip: GossipEffect::Withdraw,
        }
    }

    /// Creates the change of an unreachable member that was removed.
    pub fn forgotten(id: u64, record: &MemberRecord) -> Self {
        TableChange {
            id,
            event: Some(MembershipEvent::MemberForgotten {
                name: record.name.clone(),
            }),
            gossip: GossipEffect::Withdraw,
        }
    }
}

fn updated_event(member: &Member, previous: Option<MemberState>) -> MembershipEvent {
    let record = member.record();
    MembershipEvent::MemberUpdated {
        name: record.name.clone(),
        address: record.address,
        versions: record.versions,
        previous,
        current: member.state(),
    }
}
