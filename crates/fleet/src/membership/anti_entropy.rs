//! Views compared with other members', and shown to whoever asks.
use super::*;

impl Membership {
    pub(super) fn compare(&mut self, to: SocketAddr, out: &mut dyn ActionSink) {
        let parts = heapless::Vec::from_iter([self.table.range_digest(ROOT)]);
        self.send(to, GossipBody::RangeDigests(parts), &[], MAX_DATAGRAM_BYTES, out);
    }

    /// Another one's view in parts: no part at all says that the two are the same.
    pub(super) fn compared(
        &mut self,
        from: SocketAddr,
        known: bool,
        parts: &heapless::Vec<wire::RangeDigest, MAX_RANGES>,
        now: Millis,
        out: &mut dyn ActionSink,
    ) {
        if parts.is_empty() {
            if self.me.lifecycle == Lifecycle::Joining {
                self.say(|me| me.lifecycle = Lifecycle::Alive, now, out);
            }
            return;
        }
        if now >= self.answers.0 + self.config.protocol_period {
            self.answers = (now, 0);
        }
        // Who is not known yet is by the next time: it has just said who it is.
        if !known || self.answers.1 >= MAX_DIGEST_REPLIES {
            return;
        }
        self.answers.1 += 1;
        let mut deeper = heapless::Vec::<wire::RangeDigest, MAX_RANGES>::new();
        let mut told = heapless::Vec::<IdRange, MAX_RANGES>::new();
        for part in parts.iter().filter(|p| p.range.prefix_bits <= 60) {
            let own = self.table.range_digest(part.range);
            if (own.digest, own.count) == (part.digest, part.count) {
                continue;
            }
            let few =
                own.count.min(part.count) as usize <= RECORDS_PER_DATAGRAM || part.range.prefix_bits == 60;
            if few {
                let _ = told.push(part.range);
            } else if deeper.len() + 16 <= MAX_RANGES {
                deeper.extend(self.table.child_digests(part.range));
            }
        }
        if deeper.is_empty() && told.is_empty() {
            return self.send(
                from,
                GossipBody::RangeDigests(heapless::Vec::new()),
                &[],
                MAX_DATAGRAM_BYTES,
                out,
            );
        }
        if !deeper.is_empty() {
            self.send(from, GossipBody::RangeDigests(deeper), &[], MAX_DATAGRAM_BYTES, out);
        }
        if !told.is_empty() {
            let words: Vec<GossipUpdate> =
                told.iter().flat_map(|r| self.table.members_in(*r)).map(Member::update).collect();
            self.pages(from, GossipBody::RangeRecords { ranges: told, reply_wanted: true }, &words, out);
        }
    }

    /// So many datagrams of words as one may take; the first with this body.
    pub(super) fn pages(
        &mut self,
        to: SocketAddr,
        body: GossipBody,
        words: &[GossipUpdate],
        out: &mut dyn ActionSink,
    ) {
        let mut body = Some(body);
        let mut rest = words;
        for _ in 0..MAX_REPLY_DATAGRAMS {
            if rest.is_empty() && body.is_none() {
                return;
            }
            // A word takes a hundred bytes and some; what does not fit in is told another time.
            let page = rest.len().min(RECORDS_PER_DATAGRAM);
            self.send(
                to,
                body.take().unwrap_or(GossipBody::UpdatesOnly),
                &rest[..page],
                MAX_DATAGRAM_BYTES,
                out,
            );
            rest = &rest[page..];
        }
    }

    /// What this host knows in ranges and the other one did not tell as late.
    pub(super) fn send_better(
        &mut self,
        to: SocketAddr,
        ranges: &heapless::Vec<IdRange, MAX_RANGES>,
        theirs: &GossipUpdates,
        out: &mut dyn ActionSink,
    ) {
        let as_late = |own: &GossipUpdate| {
            theirs.iter().any(|t| {
                t.record.name == own.record.name
                    && t.record.precedence() >= own.record.precedence()
                    && t.suspected_by.is_some() >= own.suspected_by.is_some()
            })
        };
        let all = ranges
            .iter()
            .filter(|r| r.prefix_bits <= 60)
            .flat_map(|r| self.table.members_in(*r))
            .map(Member::update);
        let better: Vec<GossipUpdate> =
            all.filter(|t| !as_late(t)).take(MAX_REPLY_DATAGRAMS * RECORDS_PER_DATAGRAM).collect();
        if !better.is_empty() {
            self.pages(to, GossipBody::UpdatesOnly, &better, out);
        }
    }

    /// A page of the view for somebody who is no member.
    pub(super) fn send_page(
        &mut self,
        from: SocketAddr,
        after: u64,
        most: usize,
        now: Millis,
        out: &mut dyn ActionSink,
    ) {
        let mut look = MembershipPage {
            host: self.me.name.clone(),
            isolated: self.isolated,
            superseded: self.superseded_by.is_some(),
            digest: self.digest(),
            members: heapless::Vec::new(),
            next_id: None,
        };
        let (mut buffer, mut page) = ([0; MAX_DATAGRAM_BYTES], [0; MAX_DATAGRAM_BYTES]);
        for (key, m) in self.table.members.range(after..) {
            let heard = m.last_heard.map(|h| now.saturating_sub(h));
            let shown = MemberStatus { record: m.record.clone(), state: m.state(), last_heard_ms: heard };
            look.next_id = Some(*key);
            if look.members.push(shown).is_err() {
                break;
            }
            look.next_id = None;
            let written = self.config.encode(&Message::Page(look.clone()), &mut buffer).map(<[u8]>::len);
            if written.is_none_or(|len| len > most) {
                look.members.pop();
                look.next_id = Some(*key);
                break;
            }
        }
        let written = self.config.encode(&Message::Page(look), &mut page).map(<[u8]>::len);
        if let Some(len) = written.filter(|l| *l <= most) {
            self.put(from, &page, len, out);
        }
    }
}
