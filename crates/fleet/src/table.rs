//! The view: the latest word of each member, what is doubted of it, what is still to be told on, and how two views
//! are compared in ranges.
use crate::Millis;
use crate::settings::{CONFIRMED, MEMBERS_MOST};
use crate::wire::{Part, Range};
use crate::word::{Facts, Life, Name, State, Told, Word, id};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Words of members that are over or were forgotten: kept so that nothing old brings them back.
const GRAVES_MOST: usize = 4_096;
/// Bits by which a range is split in one step.
const STEP: u8 = 4;
pub(crate) const ROOT: Range = Range { depth: 0, prefix: 0 };

/// What changed in a view.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Member {
        name: Name,
        address: SocketAddr,
        facts: Facts,
        was: Option<State>,
        now: State,
    },
    /// Kept for its time and given up.
    Forgot {
        name: Name,
    },
    /// A later process of this host's name is up at that address: this one speaks no more.
    Displaced {
        address: SocketAddr,
    },
    /// Nobody is heard any more; somebody is again.
    Alone(bool),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Doubt {
    None,
    /// `by`: who confirmed it. `local`: found while this host heard from nobody; not told.
    Suspect {
        since: Millis,
        by: heapless::Vec<u32, { CONFIRMED + 1 }>,
        local: bool,
    },
    /// Looked for at `next`, then ever more seldom.
    Unreachable {
        by: u32,
        next: Millis,
        wait: Millis,
        local: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Member {
    pub word: Word,
    pub doubt: Doubt,
    /// Last heard directly; when its state last changed.
    pub heard: Option<Millis>,
    pub since: Millis,
}

impl Member {
    pub fn state(&self) -> State {
        match (self.word.life, &self.doubt) {
            (Life::Left, _) => State::Left,
            (_, Doubt::Suspect { .. }) => State::Suspect,
            (_, Doubt::Unreachable { .. }) => State::Unreachable,
            (Life::Joining, _) => State::Joining,
            (Life::Alive, _) => State::Alive,
            (Life::Leaving, _) => State::Leaving,
        }
    }

    /// Whether it is there as far as this host knows, and may be asked for things.
    pub fn well(&self) -> bool {
        self.doubt == Doubt::None && self.word.life != Life::Left
    }

    pub fn local(&self) -> bool {
        matches!(self.doubt, Doubt::Suspect { local: true, .. } | Doubt::Unreachable { local: true, .. })
    }

    fn doubted_by(&self) -> Option<u32> {
        match &self.doubt {
            Doubt::Suspect { by, local: false, .. } => by.last().copied(),
            Doubt::Unreachable { by, local: false, .. } => Some(*by),
            _ => None,
        }
    }

    pub fn told(&self) -> Told {
        Told { word: self.word.clone(), doubt: self.doubted_by() }
    }
}

/// What a word came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Learnt {
    New,
    Same,
    /// This host knows a later one.
    Old,
    /// No room.
    Full,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Table {
    pub members: BTreeMap<u64, Member>,
    graves: BTreeMap<u64, (Word, Millis)>,
    /// Members whose word is to be told, and how often it was.
    news: BTreeMap<u64, u32>,
}

impl Table {
    pub fn get(&self, id: u64) -> Option<&Member> {
        self.members.get(&id)
    }

    /// The last word known under a name, also of one that is over.
    pub fn last(&self, id: u64) -> Option<&Word> {
        self.members.get(&id).map(|m| &m.word).or_else(|| self.graves.get(&id).map(|g| &g.0))
    }

    fn changed(&self, member: &Member, was: Option<State>, tell: &mut dyn FnMut(Change)) {
        let (word, now) = (&member.word, member.state());
        tell(Change::Member { name: word.name.clone(), address: word.address, facts: word.facts, was, now });
    }

    /// A word of a member, doubted or not.
    pub fn learn(&mut self, told: &Told, now: Millis, tell: &mut dyn FnMut(Change)) -> Learnt {
        let key = id(&told.word.name);
        if self.graves.get(&key).is_some_and(|g| told.word.rank() <= g.0.rank()) {
            return Learnt::Old;
        }
        let Some(member) = self.members.get_mut(&key) else {
            // What is over gives a view nothing, and what was never known can't come back by it.
            if told.word.life == Life::Left {
                return Learnt::Same;
            }
            if self.members.len() >= MEMBERS_MOST {
                return Learnt::Full;
            }
            let word = told.word.clone();
            let member = Member { word, doubt: doubt(told.doubt, now), heard: None, since: now };
            self.graves.remove(&key);
            self.changed(&member, None, tell);
            self.members.insert(key, member);
            self.news.insert(key, 0);
            return Learnt::New;
        };
        let was = member.state();
        if told.word.rank() < member.word.rank() {
            return Learnt::Old;
        }
        if told.word.rank() > member.word.rank() {
            member.word = told.word.clone();
            member.doubt = doubt(told.doubt, now);
        } else {
            let Some(by) = told.doubt else { return Learnt::Same };
            if member.word.life == Life::Left {
                return Learnt::Same;
            }
            match &mut member.doubt {
                none @ Doubt::None => *none = doubt(Some(by), now),
                Doubt::Suspect { by: known, local, .. } => {
                    let new = !known.contains(&by) && known.push(by).is_ok();
                    if !new && !*local {
                        return Learnt::Same;
                    }
                    *local = false;
                }
                Doubt::Unreachable { .. } => return Learnt::Same,
            }
        }
        self.touch(key, was, now, tell);
        Learnt::New
    }

    /// A member's word or doubt changed: it is told on.
    fn touch(&mut self, key: u64, was: State, now: Millis, tell: &mut dyn FnMut(Change)) {
        let Some(member) = self.members.get_mut(&key) else { return };
        if member.state() != was {
            member.since = now;
        }
        let member = &self.members[&key];
        self.changed(member, Some(was), tell);
        match member.local() {
            true => drop(self.news.remove(&key)),
            false => drop(self.news.insert(key, 0)),
        }
    }

    /// This host has no sign of life of a member.
    pub fn suspect(&mut self, key: u64, by: u32, local: bool, now: Millis, tell: &mut dyn FnMut(Change)) {
        let Some(member) = self.members.get_mut(&key).filter(|m| m.well()) else { return };
        let was = member.state();
        member.doubt = doubt(Some(by), now);
        if let Doubt::Suspect { local: l, .. } = &mut member.doubt {
            *l = local;
        }
        self.touch(key, was, now, tell);
    }

    /// A suspicion has stood for its time. Who was told to end is over by that.
    pub fn conclude(&mut self, key: u64, wait: Millis, now: Millis, tell: &mut dyn FnMut(Change)) {
        let Some(member) = self.members.get_mut(&key) else { return };
        let was = member.state();
        let Doubt::Suspect { by, local, .. } = &member.doubt else { return };
        let (by, local) = (by.first().copied().unwrap_or(0), *local);
        if member.word.life == Life::Leaving && !local {
            (member.word.life, member.doubt) = (Life::Left, Doubt::None);
        } else {
            member.doubt = Doubt::Unreachable { by, next: now + wait, wait, local };
        }
        // All conclude it by themselves from the suspicion: nothing more is told.
        if let Some(member) = self.members.get_mut(&key) {
            member.since = now;
            let member = &self.members[&key];
            self.changed(member, Some(was), tell);
        }
    }

    /// What this host alone suspects since it last heard anybody is not told: it may be the one that is cut off.
    pub fn doubt_own(&mut self, own: u32, heard: Millis) {
        for (key, member) in &mut self.members {
            if let Doubt::Suspect { since, by, local } = &mut member.doubt
                && *since >= heard
                && by.iter().all(|b| *b == own)
            {
                *local = true;
                self.news.remove(key);
            }
        }
    }

    /// Doubts found while nobody was heard were about this host, not about others.
    pub fn forgive(&mut self, now: Millis, tell: &mut dyn FnMut(Change)) {
        let local: Vec<u64> = self.members.iter().filter(|(_, m)| m.local()).map(|(k, _)| *k).collect();
        for key in local {
            let Some(member) = self.members.get_mut(&key) else { continue };
            let was = member.state();
            (member.doubt, member.since) = (Doubt::None, now);
            let member = &self.members[&key];
            self.changed(member, Some(was), tell);
        }
    }

    /// Gives up members that are over, and those that were out of reach for the time they are kept.
    pub fn forget(&mut self, now: Millis, shown: Millis, keep: Millis, tell: &mut dyn FnMut(Change)) {
        let old = |m: &Member| match m.state() {
            State::Left => now >= m.since + shown,
            State::Unreachable => now >= m.since + keep,
            _ => false,
        };
        let gone: Vec<u64> = self.members.iter().filter(|(_, m)| old(m)).map(|(k, _)| *k).collect();
        for key in gone {
            let Some(member) = self.members.remove(&key) else { continue };
            self.news.remove(&key);
            if member.word.life != Life::Left {
                tell(Change::Forgot { name: member.word.name.clone() });
            }
            self.graves.insert(key, (member.word, now));
        }
        self.graves.retain(|_, g| now < g.1 + 2 * keep);
        while self.graves.len() > GRAVES_MOST {
            let oldest = self.graves.iter().min_by_key(|(_, g)| g.1).map(|(k, _)| *k);
            oldest.and_then(|k| self.graves.remove(&k));
        }
    }

    #[cfg(feature = "mistakes")]
    pub fn forget_graves(&mut self) {
        self.graves.clear();
    }

    #[cfg(feature = "mistakes")]
    pub fn drop_word(&mut self, key: u64) {
        self.members.remove(&key);
    }

    // What is told.

    pub fn say(&mut self, key: u64) {
        self.news.insert(key, 0);
    }

    pub fn news_waiting(&self) -> usize {
        self.news.len()
    }

    /// What was told least so far, up to `most` times each; `take` says whether it fits in.
    pub fn tell_news(&mut self, most: u32, mut take: impl FnMut(&Told) -> bool) {
        self.news.retain(|_, n| *n < most);
        let mut order: Vec<(u32, u64)> = self.news.iter().map(|(k, n)| (*n, *k)).collect();
        order.sort_unstable();
        for (_, key) in order {
            let Some(member) = self.members.get(&key) else { continue };
            if !take(&member.told()) {
                return;
            }
            *self.news.entry(key).or_default() += 1;
        }
    }

    // How views are compared: members that are over don't count.

    pub fn of(&self, range: Range) -> impl Iterator<Item = &Member> {
        let shift = 64 - u32::from(range.depth.min(64));
        let from = range.prefix.checked_shl(shift).unwrap_or(0);
        let last = from | u64::MAX.checked_shr(u32::from(range.depth)).unwrap_or(0);
        self.members.range(from..=last).map(|m| m.1).filter(|m| m.word.life != Life::Left)
    }

    pub fn part(&self, range: Range) -> Part {
        let (mut sum, mut count) = (0, 0);
        for member in self.of(range) {
            sum ^= member.word.sum(member.doubted_by().is_some());
            count += 1;
        }
        Part { range, sum, count }
    }

    pub fn children(&self, range: Range) -> impl Iterator<Item = Part> {
        let below = move |n| Range { depth: range.depth + STEP, prefix: range.prefix << STEP | n };
        (0..1 << STEP).map(move |n| self.part(below(n)))
    }
}

fn doubt(by: Option<u32>, now: Millis) -> Doubt {
    let one = |by| heapless::Vec::from_iter([by]);
    by.map_or(Doubt::None, |by| Doubt::Suspect { since: now, by: one(by), local: false })
}
