//! A host's part in the view of its fleet.
mod comparing;
mod hearing;
mod ticking;

use crate::Millis;
use crate::luck::Luck;
use crate::probe::Probe;
use crate::settings::Settings;
use crate::table::{Change, Doubt, Learnt, Member, ROOT, Table};
use crate::wire::{self, Body, Look, MOST, Message, PARTS, Packet, Range, Shown, Unread, Words};
use crate::word::{Facts, Life, State, Told, Word, id};
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
        let mut luck = Luck::new(seed);
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
}
