//! What is due by time: questions, suspicions, seeds, members out of reach.
use super::*;

impl Fleet {
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
    pub(super) fn was_stopped(&mut self, gap: Millis, now: Millis) {
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

    pub(super) fn forget(&mut self, now: Millis, out: &mut dyn Carrier) {
        let shown = SHOWN * self.settings.period;
        self.table.forget(now, shown, self.settings.keep, &mut |c| out.changed(c));
        #[cfg(feature = "mistakes")]
        if self.settings.errs(crate::settings::Mistake::NoGraves) {
            self.table.forget_graves();
        }
    }

    pub(super) fn lonely(&mut self, now: Millis, out: &mut dyn Carrier) {
        let quiet = self.heard.is_some_and(|h| now >= h + ALONE * self.settings.period);
        let others = |m: &Member| m.word.life != Life::Left && m.word.name != self.me.name;
        if quiet && !self.alone && self.table.members.values().any(others) {
            self.alone = true;
            self.table.doubt_own(self.key as u32, self.heard.unwrap_or(now));
            out.changed(Change::Alone(true));
        }
    }

    pub(super) fn conclude(&mut self, now: Millis, out: &mut dyn Carrier) {
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
    pub(super) fn relayed(&mut self, now: Millis, out: &mut dyn Carrier) {
        while let Some(at) = self.relays.iter().position(|r| now >= r.until) {
            let relay = self.relays.swap_remove(at);
            self.send(relay.asker, Body::Asked { nr: relay.asked, well: false }, &[], MOST, out);
        }
    }

    /// Whether another process of this name lives: if it answers, this one gives way, else it was an earlier life.
    pub(super) fn ask_rival(&mut self, now: Millis, out: &mut dyn Carrier) {
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

    pub(super) fn probing(&mut self, now: Millis, out: &mut dyn Carrier) {
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

    pub(super) fn ping(&mut self, key: u64, nr: u32, out: &mut dyn Carrier) {
        let Some(member) = self.table.get(key) else { return };
        let (to, of_it) = (member.word.address, member.told());
        // The doubted hears of it first, so that it can say that it lives.
        let first = if of_it.doubt.is_some() { vec![of_it] } else { Vec::new() };
        self.send(to, Body::Ping { nr }, &first, MOST, out);
    }

    /// Some who are well, one of another zone than this host's among them where there is one.
    pub(super) fn helpers(&mut self, but: u64) -> Vec<SocketAddr> {
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
    pub(super) fn some_well(&mut self, fits: impl Fn(&Member) -> bool) -> Option<SocketAddr> {
        let own = self.key;
        let some = |(k, m): &(&u64, &Member)| **k != own && m.well() && fits(m);
        let count = self.table.members.iter().filter(some).count();
        let nth = self.luck.below(count as u64) as usize;
        self.table.members.iter().filter(some).nth(nth).map(|(_, m)| m.word.address)
    }

    /// One member out of reach a tick at most, each ever more seldom.
    pub(super) fn look_for(&mut self, now: Millis, out: &mut dyn Carrier) {
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
    pub(super) fn join(&mut self, now: Millis, out: &mut dyn Carrier) {
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
