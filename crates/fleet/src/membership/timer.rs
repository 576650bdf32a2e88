//! What is due by time: questions, suspicions, seeds, members out of reach.
use super::*;

impl Membership {
    /// Time has passed. Called when `due` says so; one that comes far later means that this host was stopped.
    pub fn tick(&mut self, now: Millis, out: &mut dyn ActionSink) {
        let gap = now.saturating_sub(self.ticked);
        self.ticked = now;
        if gap > self.config.protocol_period {
            self.was_stopped(gap, now);
        }
        if self.superseded_by.is_some() {
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
            let joining = self.me.lifecycle == Lifecycle::Joining;
            let wait = if joining {
                self.config.protocol_period / ANTI_ENTROPY_PER_PERIOD_JOINING
            } else {
                ANTI_ENTROPY_PERIODS * self.config.protocol_period
            };
            self.compare_at = now + wait + self.rng.below(wait / 4);
            if let Some(to) = self.some_well(|_| true) {
                self.compare(to, out);
            }
        }
    }

    /// Whatever was due meanwhile says nothing of others.
    pub(super) fn was_stopped(&mut self, gap: Millis, now: Millis) {
        self.probe.pending = None;
        self.probe.worse(&self.config);
        self.indirect_pings.clear();
        for member in self.table.members.values_mut() {
            if let Suspicion::Suspect { since, .. } = &mut member.suspicion {
                *since += gap;
            }
        }
        self.last_heard = self.last_heard.map(|h| h + gap);
        self.compare_at = self.compare_at.min(now);
    }

    pub(super) fn forget(&mut self, now: Millis, out: &mut dyn ActionSink) {
        let shown = LEFT_SHOWN_PERIODS * self.config.protocol_period;
        self.table.remove_expired(now, shown, self.config.unreachable_retention, &mut |c| out.notify(c));
        #[cfg(feature = "mutants")]
        if self.config.is_mutant(crate::config::Mutant::NoTombstones) {
            self.table.forget_tombstones();
        }
    }

    pub(super) fn lonely(&mut self, now: Millis, out: &mut dyn ActionSink) {
        let quiet =
            self.last_heard.is_some_and(|h| now >= h + ISOLATION_PERIODS * self.config.protocol_period);
        let others = |m: &Member| m.record.lifecycle != Lifecycle::Left && m.record.name != self.me.name;
        if quiet && !self.isolated && self.table.members.values().any(others) {
            self.isolated = true;
            self.table.keep_own_suspicions_local(self.key as u32, self.last_heard.unwrap_or(now));
            out.notify(MembershipEvent::IsolationStarted);
        }
    }

    pub(super) fn conclude(&mut self, now: Millis, out: &mut dyn ActionSink) {
        let count = self.table.members.len();
        let over = |m: &Member| match &m.suspicion {
            Suspicion::Suspect { since, by, .. } => {
                now >= since + self.config.suspicion_timeout(count, by.len().saturating_sub(1))
            }
            _ => false,
        };
        let over: Vec<u64> = self.table.members.iter().filter(|(_, m)| over(m)).map(|(k, _)| *k).collect();
        for key in over {
            self.table.conclude_suspicion(
                key,
                UNREACHABLE_PING_FIRST_PERIODS * self.config.protocol_period,
                now,
                &mut |c| out.notify(c),
            );
        }
    }

    /// Questions for others that nothing came of.
    pub(super) fn relayed(&mut self, now: Millis, out: &mut dyn ActionSink) {
        while let Some(at) = self.indirect_pings.iter().position(|r| now >= r.until) {
            let relay = self.indirect_pings.swap_remove(at);
            self.send(
                relay.asker,
                GossipBody::PingRequestResult { sequence: relay.asked, acknowledged: false },
                &[],
                MAX_DATAGRAM_BYTES,
                out,
            );
        }
    }

    /// Whether another process of this name lives: if it answers, this one gives way, else it was an earlier life.
    pub(super) fn ask_rival(&mut self, now: Millis, out: &mut dyn ActionSink) {
        let Some(name_conflict) = self.name_conflict.as_mut().filter(|r| now >= r.next) else { return };
        if name_conflict.asked >= NAME_CONFLICT_PINGS {
            let generation = name_conflict.record.generation;
            return self.outlive(generation, now, out);
        }
        name_conflict.asked += 1;
        name_conflict.next = now + self.config.protocol_period;
        let to = name_conflict.record.address;
        self.hail(to, out);
    }

    pub(super) fn probing(&mut self, now: Millis, out: &mut dyn ActionSink) {
        let own = self.key as u32;
        if let Some(o) = self
            .probe
            .pending
            .as_ref()
            .filter(|o| o.helpers == 0 && now >= o.ask_others_at && now < self.probe.next)
        {
            let (key, nr) = (o.id, o.nr);
            let helpers = self.helpers(key);
            if let Some(o) = &mut self.probe.pending {
                // None there: it is not asked a second time all the same.
                (o.helpers, o.ask_others_at) = (helpers.len() as u32, Millis::MAX);
            }
            if let Some(address) = self.table.get(key).map(|m| m.record.address) {
                for to in helpers {
                    self.send(
                        to,
                        GossipBody::PingRequest { sequence: nr, target_id: key, target_address: address },
                        &[],
                        MAX_DATAGRAM_BYTES,
                        out,
                    );
                }
            }
        }
        if now < self.probe.next {
            return;
        }
        if let Some(o) = self.probe.pending.take() {
            // Of several that were asked none has said a word: it may well be this host.
            if o.helpers > 0 && o.answers == 0 {
                self.probe.worse(&self.config);
            }
            self.table.suspect(o.id, own, self.isolated, now, &mut |c| out.notify(c));
        }
        self.probe.next = now + self.config.protocol_period * self.probe.stretch();
        let (table, key) = (&self.table, self.key);
        let fits = |k: u64| {
            k != key
                && table
                    .get(k)
                    .is_some_and(|m| !matches!(m.state(), MemberState::Left | MemberState::Unreachable))
        };
        let Some(to) = self.probe.turn(&mut self.rng, fits, table.members.keys().copied()) else { return };
        let nr = self.next_nr();
        self.probe.begin(to, nr, now, &self.config);
        self.ping(to, nr, out);
        // Where many are stopped or lost at once, probes alone carry less news than there is: who lives after all would
        // be heard too late.
        for _ in 0..EXTRA_GOSSIP_TARGETS {
            if self.table.queued_updates() <= 2 * RECORDS_PER_DATAGRAM {
                break;
            }
            if let Some(to) = self.some_well(|_| true) {
                self.send(to, GossipBody::UpdatesOnly, &[], MAX_DATAGRAM_BYTES, out);
            }
        }
    }

    pub(super) fn ping(&mut self, key: u64, nr: u32, out: &mut dyn ActionSink) {
        let Some(member) = self.table.get(key) else { return };
        let (to, of_it) = (member.record.address, member.update());
        // The doubted hears of it first, so that it can say that it lives.
        let first = if of_it.suspected_by.is_some() { vec![of_it] } else { Vec::new() };
        self.send(to, GossipBody::Ping { sequence: nr }, &first, MAX_DATAGRAM_BYTES, out);
    }

    /// Some who are well, one of another zone than this host's among them where there is one.
    pub(super) fn helpers(&mut self, but: u64) -> Vec<SocketAddr> {
        let mut out: Vec<SocketAddr> = Vec::new();
        let zone = self.me.zone.clone();
        out.extend(self.some_well(|m| m.record.zone != zone && member_id(&m.record.name) != but));
        for _ in 0..2 * INDIRECT_PING_MEMBERS {
            let next = self.some_well(|m| member_id(&m.record.name) != but);
            if out.len() < INDIRECT_PING_MEMBERS && next.is_some_and(|n| !out.contains(&n)) {
                out.extend(next);
            }
        }
        out
    }

    /// One drawn among the members that are well.
    pub(super) fn some_well(&mut self, fits: impl Fn(&Member) -> bool) -> Option<SocketAddr> {
        let own = self.key;
        let some = |(k, m): &(&u64, &Member)| **k != own && m.is_reachable() && fits(m);
        let count = self.table.members.iter().filter(some).count();
        let nth = self.rng.below(count as u64) as usize;
        self.table.members.iter().filter(some).nth(nth).map(|(_, m)| m.record.address)
    }

    /// One member out of reach a tick at most, each ever more seldom.
    pub(super) fn look_for(&mut self, now: Millis, out: &mut dyn ActionSink) {
        let longest = UNREACHABLE_PING_MAX_PERIODS * self.config.protocol_period;
        let due = self.table.members.iter_mut().find_map(|(k, m)| match &mut m.suspicion {
            Suspicion::Unreachable { next, wait, .. } if now >= *next => {
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
    pub(super) fn join(&mut self, now: Millis, out: &mut dyn ActionSink) {
        let nobody = self.some_well(|_| true).is_none();
        let after = if nobody { FIRST_MEMBER_PERIODS } else { JOIN_TIMEOUT_PERIODS };
        if self.me.lifecycle == Lifecycle::Joining && now >= self.began + after * self.config.protocol_period
        {
            self.say(|me| me.lifecycle = Lifecycle::Alive, now, out);
        }
        if now < self.seed_at || self.config.seeds.is_empty() {
            return;
        }
        let wait =
            if nobody { self.config.protocol_period } else { SEED_PERIODS * self.config.protocol_period };
        self.seed_at = now + wait + self.rng.below(wait / 4 + 1);
        for _ in 0..self.config.seeds.len() {
            self.seed = (self.seed + 1) % self.config.seeds.len();
            let to = self.config.seeds[self.seed];
            let member = |m: &Member| m.is_reachable() && m.record.address == to;
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
