//! Pages of the membership table, as operators query them.
use crate::Millis;
use crate::member::Member;
use crate::wire::{self, MAX_DATAGRAM_BYTES, MemberStatus, MembershipPage, Message};

/// Adds as many members to a page as fit into `max_bytes`, and the id of the next member if there are more.
pub(crate) fn fill<'a>(
    mut page: MembershipPage,
    fleet: &str,
    members: impl Iterator<Item = (u64, &'a Member)>,
    max_bytes: usize,
    now: Millis,
) -> MembershipPage {
    for (id, member) in members {
        let status = member_status(member, now);
        if page.members.push(status).is_err() {
            page.next_id = Some(id);
            break;
        }
        if encoded_len(fleet, &page).is_none_or(|bytes| bytes > max_bytes) {
            page.members.pop();
            page.next_id = Some(id);
            break;
        }
    }
    page
}

fn member_status(member: &Member, now: Millis) -> MemberStatus {
    MemberStatus {
        record: member.record().clone(),
        state: member.state(),
        last_contact_ms: member
            .last_contact()
            .map(|last_contact| now.saturating_sub(last_contact)),
    }
}

fn encoded_len(fleet: &str, page: &MembershipPage) -> Option<usize> {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    wire::encode(fleet, &Message::Page(page.clone()), &mut buffer).map(<[u8]>::len)
}
