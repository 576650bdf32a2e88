//! Views compared with other members', and shown to whoever asks.
use super::*;

impl Fleet {
    pub(super) fn compare(&mut self, to: SocketAddr, out: &mut dyn Carrier) {
        let parts = heapless::Vec::from_iter([self.table.part(ROOT)]);
        self.send(to, Body::Parts(parts), &[], MOST, out);
    }

    /// Another one's view in parts: no part at all says that the two are the same.
    pub(super) fn compared(
        &mut self,
        from: SocketAddr,
        known: bool,
        parts: &heapless::Vec<wire::Part, PARTS>,
        now: Millis,
        out: &mut dyn Carrier,
    ) {
        if parts.is_empty() {
            if self.me.life == Life::Joining {
                self.say(|me| me.life = Life::Alive, now, out);
            }
            return;
        }
        if now >= self.answers.0 + self.settings.period {
            self.answers = (now, 0);
        }
        // Who is not known yet is by the next time: it has just said who it is.
        if !known || self.answers.1 >= ANSWERS {
            return;
        }
        self.answers.1 += 1;
        let mut deeper = heapless::Vec::<wire::Part, PARTS>::new();
        let mut told = heapless::Vec::<Range, PARTS>::new();
        for part in parts.iter().filter(|p| p.range.depth <= 60) {
            let own = self.table.part(part.range);
            if (own.sum, own.count) == (part.sum, part.count) {
                continue;
            }
            let few = own.count.min(part.count) as usize <= FEW || part.range.depth == 60;
            if few {
                let _ = told.push(part.range);
            } else if deeper.len() + 16 <= PARTS {
                deeper.extend(self.table.children(part.range));
            }
        }
        if deeper.is_empty() && told.is_empty() {
            return self.send(from, Body::Parts(heapless::Vec::new()), &[], MOST, out);
        }
        if !deeper.is_empty() {
            self.send(from, Body::Parts(deeper), &[], MOST, out);
        }
        if !told.is_empty() {
            let words: Vec<Told> = told.iter().flat_map(|r| self.table.of(*r)).map(Member::told).collect();
            self.pages(from, Body::Range { ranges: told, back: true }, &words, out);
        }
    }

    /// So many datagrams of words as one may take; the first with this body.
    pub(super) fn pages(&mut self, to: SocketAddr, body: Body, words: &[Told], out: &mut dyn Carrier) {
        let mut body = Some(body);
        let mut rest = words;
        for _ in 0..PAGES {
            if rest.is_empty() && body.is_none() {
                return;
            }
            // A word takes a hundred bytes and some; what does not fit in is told another time.
            let page = rest.len().min(FEW);
            self.send(to, body.take().unwrap_or(Body::Tell), &rest[..page], MOST, out);
            rest = &rest[page..];
        }
    }

    /// What this host knows in ranges and the other one did not tell as late.
    pub(super) fn send_better(
        &mut self,
        to: SocketAddr,
        ranges: &heapless::Vec<Range, PARTS>,
        theirs: &Words,
        out: &mut dyn Carrier,
    ) {
        let as_late = |own: &Told| {
            theirs.iter().any(|t| {
                t.word.name == own.word.name
                    && t.word.rank() >= own.word.rank()
                    && t.doubt.is_some() >= own.doubt.is_some()
            })
        };
        let all = ranges.iter().filter(|r| r.depth <= 60).flat_map(|r| self.table.of(*r)).map(Member::told);
        let better: Vec<Told> = all.filter(|t| !as_late(t)).take(PAGES * FEW).collect();
        if !better.is_empty() {
            self.pages(to, Body::Tell, &better, out);
        }
    }

    /// A page of the view for somebody who is no member.
    pub(super) fn look(
        &mut self,
        from: SocketAddr,
        after: u64,
        most: usize,
        now: Millis,
        out: &mut dyn Carrier,
    ) {
        let mut look = Look {
            own: self.me.name.clone(),
            alone: self.alone,
            displaced: self.displaced.is_some(),
            sum: self.sum(),
            members: heapless::Vec::new(),
            next: None,
        };
        let (mut buffer, mut page) = ([0; MOST], [0; MOST]);
        for (key, m) in self.table.members.range(after..) {
            let heard = m.heard.map(|h| now.saturating_sub(h));
            let shown = Shown { word: m.word.clone(), state: m.state(), heard };
            look.next = Some(*key);
            if look.members.push(shown).is_err() {
                break;
            }
            look.next = None;
            let written = self.settings.write(&Message::Looked(look.clone()), &mut buffer).map(<[u8]>::len);
            if written.is_none_or(|len| len > most) {
                look.members.pop();
                look.next = Some(*key);
                break;
            }
        }
        let written = self.settings.write(&Message::Looked(look), &mut page).map(<[u8]>::len);
        if let Some(len) = written.filter(|l| *l <= most) {
            self.put(from, &page, len, out);
        }
    }
}
