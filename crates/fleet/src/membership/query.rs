//! The membership table for operators, page by page.
use super::{ActionSink, Membership};
use crate::Millis;
use crate::wire::{MAX_DATAGRAM_BYTES, MemberStatus, MembershipPage, Message};
use std::net::SocketAddr;

impl Membership {
    /// Answers a query of a program that is no member: with the members from `first_id` on that fit into `max_bytes`, the
    /// query's own length.
    pub(super) fn send_page(
        &mut self,
        to: SocketAddr,
        first_id: u64,
        max_bytes: usize,
        now: Millis,
        sink: &mut dyn ActionSink,
    ) {
        let page = self.page(first_id, max_bytes, now);
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        if let Some(len) = self
            .page_bytes(page, &mut buffer)
            .filter(|len| *len <= max_bytes)
        {
            self.send_padded(to, &mut buffer, len, 0, sink);
        }
    }

    fn page(&self, first_id: u64, max_bytes: usize, now: Millis) -> MembershipPage {
        let mut page = MembershipPage {
            host: self.own_record.name.clone(),
            isolated: self.isolated,
            superseded: self.superseded_by.is_some(),
            digest: self.digest(),
            members: heapless::Vec::new(),
            next_id: None,
        };
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        for (id, member) in self.table.members.range(first_id..) {
            let status = MemberStatus {
                record: member.record.clone(),
                state: member.state(),
                last_contact_ms: member
                    .last_contact
                    .map(|last_contact| now.saturating_sub(last_contact)),
            };
            if page.members.push(status).is_err() {
                page.next_id = Some(*id);
                break;
            }
            let bytes = self.page_bytes(page.clone(), &mut buffer);
            if bytes.is_none_or(|bytes| bytes > max_bytes) {
                page.members.pop();
                page.next_id = Some(*id);
                break;
            }
        }
        page
    }

    fn page_bytes(
        &self,
        page: MembershipPage,
        buffer: &mut [u8; MAX_DATAGRAM_BYTES],
    ) -> Option<usize> {
        self.config.encode(&Message::Page(page), buffer)
    }
}
