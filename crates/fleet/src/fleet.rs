//! A host's part in the view of its fleet.
use crate::Millis;
use crate::probe::Probe;
use crate::settings::Settings;
use crate::table::{Change, Doubt, Learnt, Member, ROOT, State, Table};
use crate::wire::{self, Body, Look, MOST, Message, PARTS, Packet, Range, Shown, Unread, Words};
use crate::word::{Facts, Life, Told, Word, id};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;

/// Ticks to a period.
const TICKS: Millis = 10;
/// Others asked to ask a member that says nothing.
const HELPERS: usize = 3;
/// Questions that are asked for others at one time; further ones are dropped.
const RELAYS: usize = 64;
/// Periods without a word from anybody after which a host takes itself for cut off.
const ALONE: u64 = 4;
/// Periods between two comparisons of views, and of one that joins: parts of one.
const COMPARE: u64 = 10;
const COMPARE_JOINING: u64 = 5;
/// Comparisons answered in one period, and datagrams to one of them, at most.
const ANSWERS: u32 = 16;
const PAGES: usize = 4;
/// Members that are told news a period beside those asked, where more waits than two datagrams hold.
const TELLS: usize = 3;
/// Members in a range that are told and not compared any further.
const FEW: usize = 8;
/// Periods after which a host counts itself as joined, though its view is not yet another one's.
const JOINS: u64 = 20;
/// Periods after which a host whose seeds say nothing takes itself for the first.
const FIRST: u64 = 3;
/// Periods until a member out of reach is first looked for, and the longest between two looks.
const LOOK: (u64, u64) = (2, 60);
/// Periods between two looks at a seed that is no member here: so sides that have forgotten each other meet again.
const SEED: u64 = 60;
/// Periods for which one that is over is shown.
const SHOWN: u64 = 120;
/// Members told directly of this one's end.
const LEAVING_TOLD: usize = 512;
/// Times that a rival under this host's name is asked whether it lives, a period each.
const RIVAL: u32 = 3;
/// A first word to a stranger is at least so long, and so is each question: so long may the answer of one be to whom
/// the asker is a stranger. A word takes 130 bytes at most, and an answer holds two.
const FIRST_WORD: usize = 512;
const QUESTION: usize = 288;

/// What carries a host's datagrams and hears of changes.
pub trait Carrier {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]);
    fn changed(&mut self, change: Change);
}

/// Chance that can be compared and hashed: drawn by seed and count.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Luck {
    seed: u64,
    draws: u64,
}

impl Luck {
    pub fn below(&mut self, bound: u64) -> u64 {
        self.draws += 1;
        let mut rng =
            Pcg64Mcg::seed_from_u64(self.seed.wrapping_add(self.draws.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        rng.random_range(0..bound.max(1))
    }
}

/// What came in and went out, for figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub heard: u64,
    pub sent: u64,
    pub bytes_sent: u64,
    /// Dropped: not to be read, of another fleet, of another version of the format.
    pub torn: u64,
    pub foreign: u64,
    pub versions: u64,
    /// No room for one more member, or for one more question of others.
    pub full: u64,
    /// Times that this host said it lives after all.
    pub refuted: u64,
}

/// Nothing goes by them: two parts that differ in them alone are the same to a search.
impl std::hash::Hash for Counts {
    fn hash<H: std::hash::Hasher>(&self, _: &mut H) {}
}

/// A question asked for another member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Relay {
    nr: u32,
    asker: SocketAddr,
    asked: u32,
    until: Millis,
}

/// Another process under this host's name that started later, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Rival {
    word: Word,
    asked: u32,
    next: Millis,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Fleet {
    settings: Settings,
    me: Word,
    key: u64,
    table: Table,
    probe: Probe,
    luck: Luck,
    nr: u32,
    relays: Vec<Relay>,
    rival: Option<Rival>,
    displaced: Option<SocketAddr>,
    /// Last tick; last word from anybody; whether nobody is heard.
    ticked: Millis,
    heard: Option<Millis>,
    alone: bool,
    began: Millis,
    compare_at: Millis,
    answers: (Millis, u32),
    seed_at: Millis,
    seed: usize,
    counts: Counts,
}

impl Fleet {
    /// `started`: Unix time in milliseconds, of which the generation is made.
    pub fn new(settings: Settings, seed: u64, now: Millis, started: u64) -> Self {
        let mut luck = Luck { seed, draws: 0 };
        // Of two that start within one millisecond, one is the later.
        let generation = started << 12 | luck.below(1 << 12);
        let me = Word {
            name: settings.name.clone(),
            generation,
            incarnation: 0,
            life: Life::Joining,
            address: settings.address,
            zone: settings.zone.clone(),
            facts: Facts::default(),
            started,
        };
        let mut fleet = Fleet {
            key: id(&settings.name),
            me,
            table: Table::default(),
            probe: Probe::new(now + luck.below(settings.period)),
            luck,
            nr: 0,
            relays: Vec::new(),
            rival: None,
            displaced: None,
            ticked: now,
            heard: None,
            alone: false,
            began: now,
            compare_at: now,
            answers: (now, 0),
            seed_at: now,
            seed: 0,
            counts: Counts::default(),
            settings,
        };
        fleet.enter(now);
        fleet
    }

    /// This host's own word, as it stands in the view.
    fn enter(&mut self, now: Millis) {
        let (word, doubt) = (self.me.clone(), Doubt::None);
        self.table.members.insert(self.key, Member { word, doubt, heard: None, since: now });
        self.table.say(self.key);
    }

    /// This host says something new of itself.
    fn say(&mut self, change: impl FnOnce(&mut Word), now: Millis, out: &mut dyn Carrier) {
        let was = self.table.get(self.key).map(Member::state);
        change(&mut self.me);
        self.me.incarnation += 1;
        self.enter(now);
        let state = self.table.get(self.key).map(Member::state);
        if let Some(now) = state.filter(|s| Some(*s) != was) {
            let Word { name, address, facts, .. } = self.me.clone();
            out.changed(Change::Member { name, address, facts, was, now });
        }
    }

    // What whoever runs it asks.

    /// When to call `tick` next.
    pub fn due(&self) -> Millis {
        self.ticked + (self.settings.period / TICKS).max(1)
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    pub fn alone(&self) -> bool {
        self.alone
    }

    pub fn displaced(&self) -> Option<SocketAddr> {
        self.displaced
    }

    pub fn own(&self) -> &Word {
        &self.me
    }

    /// Members as this host sees them, itself among them, by the numbers of their names.
    pub fn view(&self) -> impl Iterator<Item = (&Word, State)> {
        self.table.members.values().map(|m| (&m.word, m.state()))
    }

    /// Stands for the whole view: the same at hosts that have heard the same.
    pub fn sum(&self) -> u64 {
        self.table.part(ROOT).sum
    }

    /// What this host acts on changed.
    pub fn facts(&mut self, facts: Facts, now: Millis, out: &mut dyn Carrier) {
        if facts != self.me.facts && self.displaced.is_none() {
            self.say(|me| me.facts = facts, now, out);
        }
    }

    pub fn seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.settings.seeds = seeds;
        self.seed = 0;
    }

    /// Told to end: others hear it at once. `over`: this is the last word.
    pub fn leave(&mut self, over: bool, now: Millis, out: &mut dyn Carrier) {
        if self.displaced.is_some() || self.me.life == Life::Left {
            return;
        }
        self.say(|me| me.life = if over { Life::Left } else { Life::Leaving }, now, out);
        let others = self.table.members.values().filter(|m| m.well() && m.word.name != self.me.name);
        let others: Vec<SocketAddr> = others.map(|m| m.word.address).collect();
        let (from, most) = (self.luck.below(others.len() as u64) as usize, others.len().min(LEAVING_TOLD));
        for n in 0..most {
            self.send(others[(from + n) % others.len()], Body::Tell, &[], MOST, out);
        }
    }

    // Datagrams.

    fn send(&mut self, to: SocketAddr, body: Body, first: &[Told], most: usize, out: &mut dyn Carrier) {
        let mut buffer = [0; MOST];
        let least = if matches!(body, Body::Ping { .. }) { QUESTION } else { 0 };
        let mut packet = Packet { from: self.me.clone(), body, news: Words::new() };
        let message = Message::Member(packet.clone());
        // One that would be longer than it may be is none.
        let Some(mut len) =
            self.settings.write(&message, &mut buffer).map(<[u8]>::len).filter(|l| *l <= most)
        else {
            return;
        };
        let news = &mut packet.news;
        let mut take = |told: &Told| {
            let size = postcard::to_slice(told, &mut [0; MOST]).map_or(MOST, |t| t.len());
            // What is told of its receiver or of this host stands elsewhere in the datagram.
            if len + size > most || news.iter().any(|n| n.word.name == told.word.name) {
                return len + size <= most;
            }
            len += size;
            news.push(told.clone()).is_ok()
        };
        for told in first {
            take(told);
        }
        self.table.tell_news(self.settings.told(self.table.members.len()), take);
        let mut buffer = [0; MOST];
        if let Some(len) = self.settings.write(&Message::Member(packet), &mut buffer).map(<[u8]>::len) {
            self.put(to, &buffer, len.max(least), out);
        }
    }

    /// Puts a datagram out; what stands behind the message is zeros.
    fn put(&mut self, to: SocketAddr, buffer: &[u8; MOST], len: usize, out: &mut dyn Carrier) {
        self.counts.sent += 1;
        self.counts.bytes_sent += len as u64;
        out.send(to, &buffer[..len]);
    }

    /// A first word to an address of which no member is known: padded, so that the answer may be as long.
    fn hail(&mut self, to: SocketAddr, out: &mut dyn Carrier) {
        let body = Body::Ping { nr: self.next_nr() };
        let packet = Packet { from: self.me.clone(), body, news: Words::new() };
        let mut buffer = [0; MOST];
        if let Some(len) = self.settings.write(&Message::Member(packet), &mut buffer).map(<[u8]>::len) {
            self.put(to, &buffer, len.max(FIRST_WORD), out);
        }
    }

    fn next_nr(&mut self) -> u32 {
        self.nr = self.nr.wrapping_add(1);
        self.nr
    }

    /// A datagram came, from this address.
    pub fn heard(&mut self, from: SocketAddr, bytes: &[u8], now: Millis, out: &mut dyn Carrier) {
        let packet = match wire::read(&self.settings.fleet, bytes) {
            Ok(Message::Member(packet)) => packet,
            Ok(Message::Look { after }) => return self.look(from, after, bytes.len(), now, out),
            Ok(Message::Looked(_)) | Err(Unread::Torn) => return self.counts.torn += 1,
            Err(Unread::Fleet) => return self.counts.foreign += 1,
            Err(Unread::Version) => return self.counts.versions += 1,
        };
        self.counts.heard += 1;
        if packet.from.name == self.me.name {
            // Its own word come back, or another process of its name.
            if let Body::Ack { .. } = packet.body
                && self.rival.as_ref().is_some_and(|r| r.word.generation <= packet.from.generation)
            {
                self.give_way(packet.from.address, out);
            }
            if let Body::Ping { nr } = packet.body
                && packet.from.generation < self.me.generation
                && self.displaced.is_none()
            {
                // The earlier one asks whether this one lives.
                self.send(from, Body::Ack { nr }, &[], bytes.len().min(MOST), out);
            }
            return self.of_me(&Told { word: packet.from, doubt: None }, now, out);
        }
        if self.displaced.is_some() {
            self.learn(&packet, now, out);
            return;
        }
        let key = id(&packet.from.name);
        let known = self.table.get(key).is_some_and(|m| m.heard.is_some() && m.word.address == from);
        let most = if known { MOST } else { bytes.len().min(MOST) };
        let later = self.learn(&packet, now, out);
        self.sign_of_life(key, &packet.from, now, out);
        // A speaker hears first what is doubted of it, or that another one has its name by now.
        let mut of_it: Vec<Told> = match self.table.get(key) {
            Some(m) if m.doubt != Doubt::None || m.word.rank() > packet.from.rank() => vec![m.told()],
            Some(_) => Vec::new(),
            None => self.table.last(key).map(|w| Told { word: w.clone(), doubt: None }).into_iter().collect(),
        };
        of_it.extend(later);
        match packet.body {
            Body::Ping { nr } => self.send(from, Body::Ack { nr }, &of_it, most, out),
            Body::Ack { nr } => {
                if let Some(at) = self.relays.iter().position(|r| r.nr == nr) {
                    let relay = self.relays.swap_remove(at);
                    self.send(relay.asker, Body::Asked { nr: relay.asked, well: true }, &[], MOST, out);
                }
                if self.probe.out.take_if(|o| o.nr == nr && o.id == key).is_some() {
                    self.probe.better();
                }
            }
            Body::AskFor { nr, id, address } if known => self.ask_for((from, nr), id, address, now, out),
            Body::Asked { nr, well: true } => {
                if self.probe.out.take_if(|o| o.nr == nr).is_some() {
                    self.probe.better();
                }
            }
            Body::Asked { nr, .. } => {
                if let Some(o) = self.probe.out.as_mut().filter(|o| o.nr == nr) {
                    o.answers += 1;
                }
            }
            Body::Parts(parts) => self.compared(from, known, &parts, now, out),
            Body::Range { ranges, back: true } if known => self.send_better(from, &ranges, &packet.news, out),
            // Whoever still has words of those that are over would keep them: nobody else has them in his view.
            Body::Range { .. } | Body::Tell if known && !of_it.is_empty() => {
                self.send(from, Body::Tell, &of_it, MOST, out);
            }
            Body::AskFor { .. } | Body::Range { .. } | Body::Tell => {}
        }
    }

    /// What this host knows better of those that it was told of comes back.
    fn learn(&mut self, packet: &Packet, now: Millis, out: &mut dyn Carrier) -> Vec<Told> {
        let mut better = Vec::new();
        let own = Told { word: packet.from.clone(), doubt: None };
        for told in std::iter::once(&own).chain(&packet.news) {
            #[cfg(feature = "mistakes")]
            if self.settings.errs(crate::settings::Mistake::EarlierWords) && told.word.name != self.me.name {
                self.table.drop_word(id(&told.word.name));
            }
            if told.word.name == self.me.name {
                self.of_me(told, now, out);
                continue;
            }
            match self.table.learn(told, now, &mut |c| out.changed(c)) {
                Learnt::Full => self.counts.full += 1,
                Learnt::Old if told.word.name != packet.from.name => {
                    let later = self.table.last(id(&told.word.name)).filter(|w| w.rank() > told.word.rank());
                    better.extend(later.map(|w| Told { word: w.clone(), doubt: None }));
                }
                _ => {}
            }
        }
        better
    }

    /// A member was heard: what was found while nobody was heard is void.
    fn sign_of_life(&mut self, key: u64, word: &Word, now: Millis, out: &mut dyn Carrier) {
        if let Some(m) = self.table.members.get_mut(&key).filter(|m| m.word.rank() == word.rank()) {
            m.heard = Some(now);
        }
        self.heard = Some(now);
        if std::mem::take(&mut self.alone) {
            out.changed(Change::Alone(false));
            self.compare_at = now;
            self.table.forgive(now, &mut |c| out.changed(c));
        }
    }

    /// Somebody speaks of this host.
    fn of_me(&mut self, told: &Told, now: Millis, out: &mut dyn Carrier) {
        let word = &told.word;
        if self.displaced.is_some() || word.generation < self.me.generation {
            return;
        }
        if word.generation > self.me.generation {
            // An earlier life at this very address, or one that is over, has no say; another one may be alive.
            let over = word.address == self.me.address || word.life == Life::Left || told.doubt.is_some();
            if over {
                return self.outlive(word.generation, now, out);
            }
            if self.rival.as_ref().is_none_or(|r| r.word.generation < word.generation) {
                self.rival = Some(Rival { word: word.clone(), asked: 0, next: now });
            }
            return;
        }
        #[cfg(feature = "mistakes")]
        if self.settings.errs(crate::settings::Mistake::Unrefuted) {
            return;
        }
        let ahead =
            word.incarnation > self.me.incarnation || word.life == Life::Left && self.me.life != Life::Left;
        if ahead || told.doubt.is_some() && word.incarnation == self.me.incarnation {
            self.me.incarnation = self.me.incarnation.max(word.incarnation);
            self.counts.refuted += 1;
            self.probe.worse(&self.settings);
            self.say(|_| {}, now, out);
        }
    }

    /// This host is the later one under its name.
    fn outlive(&mut self, generation: u64, now: Millis, out: &mut dyn Carrier) {
        self.rival = None;
        self.me.generation = self.me.generation.max(generation + 1);
        self.say(|_| {}, now, out);
    }

    fn give_way(&mut self, address: SocketAddr, out: &mut dyn Carrier) {
        if self.displaced.is_none() {
            (self.displaced, self.rival) = (Some(address), None);
            out.changed(Change::Displaced { address });
        }
    }

    /// Asks a member for another one.
    fn ask_for(
        &mut self,
        asker: (SocketAddr, u32),
        id: u64,
        to: SocketAddr,
        now: Millis,
        out: &mut dyn Carrier,
    ) {
        if self.relays.len() >= RELAYS {
            return self.counts.full += 1;
        }
        let nr = self.next_nr();
        let until = now + self.settings.period / 2;
        self.relays.push(Relay { nr, asker: asker.0, asked: asker.1, until });
        // Who is suspected hears it from whoever asks.
        let of_it: Vec<Told> = self.table.get(id).map(Member::told).into_iter().collect();
        self.send(to, Body::Ping { nr }, &of_it, MOST, out);
    }

    // Comparing views.

    fn compare(&mut self, to: SocketAddr, out: &mut dyn Carrier) {
        let parts = heapless::Vec::from_iter([self.table.part(ROOT)]);
        self.send(to, Body::Parts(parts), &[], MOST, out);
    }

    /// Another one's view in parts: no part at all says that the two are the same.
    fn compared(
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
    fn pages(&mut self, to: SocketAddr, body: Body, words: &[Told], out: &mut dyn Carrier) {
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
    fn send_better(
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
    fn look(&mut self, from: SocketAddr, after: u64, most: usize, now: Millis, out: &mut dyn Carrier) {
        let mut look = Look {
            own: self.me.name.clone(),
            alone: self.alone,
            displaced: self.displaced.is_some(),
            sum: self.sum(),
            members: heapless::Vec::new(),
            next: None,
        };
        let (mut buffer, mut page) = ([0; MOST], [0; MOST]);
        let mut len = 0;
        for (key, m) in self.table.members.range(after..) {
            let heard = m.heard.map(|h| now.saturating_sub(h));
            let shown = Shown { word: m.word.clone(), state: m.state(), heard };
            look.next = Some(*key);
            if look.members.push(shown).is_err() {
                break;
            }
            look.next = None;
            let fits = self.settings.write(&Message::Looked(look.clone()), &mut buffer).map(<[u8]>::len);
            let Some(fits) = fits.filter(|l| *l <= most) else {
                look.members.pop();
                look.next = Some(*key);
                break;
            };
            len = fits;
        }
        let written = self.settings.write(&Message::Looked(look), &mut page).map(<[u8]>::len);
        if let Some(len) = written.filter(|l| *l <= most.max(len)) {
            self.put(from, &page, len, out);
        }
    }

    // Time.

    /// Time has passed. Called when `due` says so; one that comes far later means that this host was stopped.
    pub fn tick(&mut self, now: Millis, out: &mut dyn Carrier) {
        let gap = now.saturating_sub(self.ticked);
        self.ticked = now;
        if gap > self.settings.period {
            self.was_stopped(gap, now);
        }
        if self.displaced.is_some() {
            return;
        }
        self.forget(now, out);
        self.lonely(now, out);
        self.conclude(now, out);
        self.relayed(now, out);
        self.ask_rival(now, out);
        self.probing(now, out);
        self.look_for(now, out);
        self.join(now, out);
        if now >= self.compare_at {
            let joining = self.me.life == Life::Joining;
            let wait =
                if joining { self.settings.period / COMPARE_JOINING } else { COMPARE * self.settings.period };
            self.compare_at = now + wait + self.luck.below(wait / 4);
            if let Some(to) = self.some_well(|_| true) {
                self.compare(to, out);
            }
        }
    }

    /// Whatever was due meanwhile says nothing of others.
    fn was_stopped(&mut self, gap: Millis, now: Millis) {
        self.probe.out = None;
        self.probe.worse(&self.settings);
        self.relays.clear();
        for member in self.table.members.values_mut() {
            if let Doubt::Suspect { since, .. } = &mut member.doubt {
                *since += gap;
            }
        }
        self.heard = self.heard.map(|h| h + gap);
        self.compare_at = self.compare_at.min(now);
    }

    fn forget(&mut self, now: Millis, out: &mut dyn Carrier) {
        let shown = SHOWN * self.settings.period;
        self.table.forget(now, shown, self.settings.keep, &mut |c| out.changed(c));
        #[cfg(feature = "mistakes")]
        if self.settings.errs(crate::settings::Mistake::NoGraves) {
            self.table.forget_graves();
        }
    }

    fn lonely(&mut self, now: Millis, out: &mut dyn Carrier) {
        let quiet = self.heard.is_some_and(|h| now >= h + ALONE * self.settings.period);
        let others = |m: &Member| m.word.life != Life::Left && m.word.name != self.me.name;
        if quiet && !self.alone && self.table.members.values().any(others) {
            self.alone = true;
            self.table.doubt_own(self.key as u32, self.heard.unwrap_or(now));
            out.changed(Change::Alone(true));
        }
    }

    fn conclude(&mut self, now: Millis, out: &mut dyn Carrier) {
        let count = self.table.members.len();
        let over = |m: &Member| match &m.doubt {
            Doubt::Suspect { since, by, .. } => {
                now >= since + self.settings.suspicion(count, by.len().saturating_sub(1))
            }
            _ => false,
        };
        let over: Vec<u64> = self.table.members.iter().filter(|(_, m)| over(m)).map(|(k, _)| *k).collect();
        for key in over {
            self.table.conclude(key, LOOK.0 * self.settings.period, now, &mut |c| out.changed(c));
        }
    }

    /// Questions for others that nothing came of.
    fn relayed(&mut self, now: Millis, out: &mut dyn Carrier) {
        while let Some(at) = self.relays.iter().position(|r| now >= r.until) {
            let relay = self.relays.swap_remove(at);
            self.send(relay.asker, Body::Asked { nr: relay.asked, well: false }, &[], MOST, out);
        }
    }

    /// Whether another process of this name lives: if it answers, this one gives way, else it was an earlier life.
    fn ask_rival(&mut self, now: Millis, out: &mut dyn Carrier) {
        let Some(rival) = self.rival.as_mut().filter(|r| now >= r.next) else { return };
        if rival.asked >= RIVAL {
            let generation = rival.word.generation;
            return self.outlive(generation, now, out);
        }
        rival.asked += 1;
        rival.next = now + self.settings.period;
        let to = rival.word.address;
        self.hail(to, out);
    }

    fn probing(&mut self, now: Millis, out: &mut dyn Carrier) {
        let own = self.key as u32;
        if let Some(o) = self
            .probe
            .out
            .as_ref()
            .filter(|o| o.helpers == 0 && now >= o.ask_others_at && now < self.probe.next)
        {
            let (key, nr) = (o.id, o.nr);
            let helpers = self.helpers(key);
            if let Some(o) = &mut self.probe.out {
                // None there: it is not asked a second time all the same.
                (o.helpers, o.ask_others_at) = (helpers.len() as u32, Millis::MAX);
            }
            if let Some(address) = self.table.get(key).map(|m| m.word.address) {
                for to in helpers {
                    self.send(to, Body::AskFor { nr, id: key, address }, &[], MOST, out);
                }
            }
        }
        if now < self.probe.next {
            return;
        }
        if let Some(o) = self.probe.out.take() {
            // Of several that were asked none has said a word: it may well be this host.
            if o.helpers > 0 && o.answers == 0 {
                self.probe.worse(&self.settings);
            }
            self.table.suspect(o.id, own, self.alone, now, &mut |c| out.changed(c));
        }
        self.probe.next = now + self.settings.period * self.probe.stretch();
        let (table, key) = (&self.table, self.key);
        let fits = |k: u64| {
            k != key && table.get(k).is_some_and(|m| !matches!(m.state(), State::Left | State::Unreachable))
        };
        let Some(to) = self.probe.turn(&mut self.luck, fits, table.members.keys().copied()) else { return };
        let nr = self.next_nr();
        self.probe.begin(to, nr, now, &self.settings);
        self.ping(to, nr, out);
        // Where many are stopped or lost at once, probes alone carry less news than there is: who lives after all would
        // be heard too late.
        for _ in 0..TELLS {
            if self.table.news_waiting() <= 2 * FEW {
                break;
            }
            if let Some(to) = self.some_well(|_| true) {
                self.send(to, Body::Tell, &[], MOST, out);
            }
        }
    }

    fn ping(&mut self, key: u64, nr: u32, out: &mut dyn Carrier) {
        let Some(member) = self.table.get(key) else { return };
        let (to, of_it) = (member.word.address, member.told());
        // The doubted hears of it first, so that it can say that it lives.
        let first = if of_it.doubt.is_some() { vec![of_it] } else { Vec::new() };
        self.send(to, Body::Ping { nr }, &first, MOST, out);
    }

    /// Some who are well, one of another zone than this host's among them where there is one.
    fn helpers(&mut self, but: u64) -> Vec<SocketAddr> {
        let mut out: Vec<SocketAddr> = Vec::new();
        let zone = self.me.zone.clone();
        out.extend(self.some_well(|m| m.word.zone != zone && id(&m.word.name) != but));
        for _ in 0..2 * HELPERS {
            let next = self.some_well(|m| id(&m.word.name) != but);
            if out.len() < HELPERS && next.is_some_and(|n| !out.contains(&n)) {
                out.extend(next);
            }
        }
        out
    }

    /// One drawn among the members that are well.
    fn some_well(&mut self, fits: impl Fn(&Member) -> bool) -> Option<SocketAddr> {
        let own = self.key;
        let some = |(k, m): &(&u64, &Member)| **k != own && m.well() && fits(m);
        let count = self.table.members.iter().filter(some).count();
        let nth = self.luck.below(count as u64) as usize;
        self.table.members.iter().filter(some).nth(nth).map(|(_, m)| m.word.address)
    }

    /// One member out of reach a tick at most, each ever more seldom.
    fn look_for(&mut self, now: Millis, out: &mut dyn Carrier) {
        let longest = LOOK.1 * self.settings.period;
        let due = self.table.members.iter_mut().find_map(|(k, m)| match &mut m.doubt {
            Doubt::Unreachable { next, wait, .. } if now >= *next => {
                *wait = (*wait * 2).min(longest);
                *next = now + *wait;
                Some(*k)
            }
            _ => None,
        });
        if let Some(key) = due {
            let nr = self.next_nr();
            self.ping(key, nr, out);
        }
    }

    /// Seeds, as long as nobody is known; now and then one that is no member here.
    fn join(&mut self, now: Millis, out: &mut dyn Carrier) {
        let nobody = self.some_well(|_| true).is_none();
        let after = if nobody { FIRST } else { JOINS };
        if self.me.life == Life::Joining && now >= self.began + after * self.settings.period {
            self.say(|me| me.life = Life::Alive, now, out);
        }
        if now < self.seed_at || self.settings.seeds.is_empty() {
            return;
        }
        let wait = if nobody { self.settings.period } else { SEED * self.settings.period };
        self.seed_at = now + wait + self.luck.below(wait / 4 + 1);
        for _ in 0..self.settings.seeds.len() {
            self.seed = (self.seed + 1) % self.settings.seeds.len();
            let to = self.settings.seeds[self.seed];
            let member = |m: &Member| m.well() && m.word.address == to;
            if to != self.me.address && !self.table.members.values().any(member) {
                self.hail(to, out);
                // With nobody known, three at a time: the first few may be dead.
                if !nobody || self.seed % 3 == 2 {
                    return;
                }
            }
        }
    }
}
