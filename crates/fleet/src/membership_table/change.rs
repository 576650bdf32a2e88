//! What a change of the table asks of its host.
use crate::event::MembershipEvent;
use crate::member::Member;
use crate::record::{MemberRecord, MemberState};

/// What becomes of a member's place in the gossip queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GossipEffect {
    /// The member's update is to be gossiped as if it had not been sent yet.
    Enqueue,
    /// The member's update is gossiped no longer.
    Withdraw,
    /// The queue stays as it is.
    Unchanged,
}

/// A change of one member of the table, to be reported and gossiped.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TableChange {
    /// Id of the member.
    pub id: u64,
    /// What the host reports; none: nothing that it reports has changed.
    pub event: Option<MembershipEvent>,
    /// What becomes of the member's place in the gossip queue.
    pub gossip: GossipEffect,
}

impl TableChange {
    /// A member was added, or its record or reachability changed.
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

    /// A member's state changed, and nothing of that is gossiped.
    pub fn reported(id: u64, member: &Member, previous: MemberState) -> Self {
        TableChange::updated(id, member, Some(previous), GossipEffect::Unchanged)
    }

    /// A member is gossiped anew, and nothing is reported.
    pub fn enqueued(id: u64) -> Self {
        TableChange {
            id,
            event: None,
            gossip: GossipEffect::Enqueue,
        }
    }

    /// A member is gossiped no longer, and nothing is reported.
    pub fn withdrawn(id: u64) -> Self {
        TableChange {
            id,
            event: None,
            gossip: GossipEffect::Withdraw,
        }
    }

    /// An unreachable member was removed.
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
