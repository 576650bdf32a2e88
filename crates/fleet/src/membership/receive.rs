//! What comes in: words of members, questions and answers, and what others say of this host.
use super::*;

impl Membership {
    /// A datagram came, from this address.
    pub fn receive(&mut self, from: SocketAddr, bytes: &[u8], now: Millis, out: &mut dyn ActionSink) {
        let packet = match wire::decode(&self.config.fleet, bytes) {
            Ok(Message::Gossip(packet)) => packet,
            Ok(Message::Query { first_id: after }) => {
                return self.send_page(from, after, bytes.len(), now, out);
            }
            Ok(Message::Page(_)) | Err(DecodeError::Malformed) => return self.counters.malformed += 1,
            Err(DecodeError::OtherFleet) => return self.counters.other_fleet += 1,
            Err(DecodeError::UnsupportedVersion) => return self.counters.unsupported_version += 1,
        };
        self.counters.received += 1;
        if packet.sender.name == self.me.name {
            // Its own word come back, or another process of its name.
            if let GossipBody::Ack { .. } = packet.body
                && self
                    .name_conflict
                    .as_ref()
                    .is_some_and(|r| r.record.generation <= packet.sender.generation)
            {
                self.give_way(packet.sender.address, out);
            }
            if let GossipBody::Ping { sequence: nr } = packet.body
                && packet.sender.generation < self.me.generation
                && self.superseded_by.is_none()
            {
                // The earlier one asks whether this one lives.
                self.send(
                    from,
                    GossipBody::Ack { sequence: nr },
                    &[],
                    bytes.len().min(MAX_DATAGRAM_BYTES),
                    out,
                );
            }
            return self.of_me(&GossipUpdate { record: packet.sender, suspected_by: None }, now, out);
        }
        if self.superseded_by.is_some() {
            self.merge_updates(&packet, now, out);
            return;
        }
        let key = member_id(&packet.sender.name);
        let known = self.table.get(key).is_some_and(|m| m.last_heard.is_some() && m.record.address == from);
        let most = if known { MAX_DATAGRAM_BYTES } else { bytes.len().min(MAX_DATAGRAM_BYTES) };
        let later = self.merge_updates(&packet, now, out);
        self.sign_of_life(key, &packet.sender, now, out);
        // A speaker hears first what is doubted of it, or that another one has its name by now.
        let mut of_it: Vec<GossipUpdate> = match self.table.get(key) {
            Some(m)
                if m.suspicion != Suspicion::None || m.record.precedence() > packet.sender.precedence() =>
            {
                vec![m.update()]
            }
            Some(_) => Vec::new(),
            None => self
                .table
                .last_known(key)
                .map(|w| GossipUpdate { record: w.clone(), suspected_by: None })
                .into_iter()
                .collect(),
        };
        of_it.extend(later);
        match packet.body {
            GossipBody::Ping { sequence: nr } => {
                self.send(from, GossipBody::Ack { sequence: nr }, &of_it, most, out)
            }
            GossipBody::Ack { sequence: nr } => {
                if let Some(at) = self.indirect_pings.iter().position(|r| r.nr == nr) {
                    let relay = self.indirect_pings.swap_remove(at);
                    self.send(
                        relay.asker,
                        GossipBody::PingRequestResult { sequence: relay.asked, acknowledged: true },
                        &[],
                        MAX_DATAGRAM_BYTES,
                        out,
                    );
                }
                if self.probe.pending.take_if(|o| o.nr == nr && o.id == key).is_some() {
                    self.probe.better();
                }
            }
            GossipBody::PingRequest { sequence: nr, target_id: id, target_address: address } if known => {
                self.ask_for((from, nr), id, address, now, out)
            }
            GossipBody::PingRequestResult { sequence: nr, acknowledged: true } => {
                if self.probe.pending.take_if(|o| o.nr == nr).is_some() {
                    self.probe.better();
                }
            }
            GossipBody::PingRequestResult { sequence: nr, .. } => {
                if let Some(o) = self.probe.pending.as_mut().filter(|o| o.nr == nr) {
                    o.answers += 1;
                }
            }
            GossipBody::RangeDigests(parts) => self.compared(from, known, &parts, now, out),
            GossipBody::RangeRecords { ranges, reply_wanted: true } if known => {
                self.send_better(from, &ranges, &packet.updates, out)
            }
            // Whoever still has words of those that are over would keep them: nobody else has them in his view.
            GossipBody::RangeRecords { .. } | GossipBody::UpdatesOnly if known && !of_it.is_empty() => {
                self.send(from, GossipBody::UpdatesOnly, &of_it, MAX_DATAGRAM_BYTES, out);
            }
            GossipBody::PingRequest { .. } | GossipBody::RangeRecords { .. } | GossipBody::UpdatesOnly => {}
        }
    }

    /// What this host knows better of those that it was told of comes back.
    pub(super) fn merge_updates(
        &mut self,
        packet: &GossipMessage,
        now: Millis,
        out: &mut dyn ActionSink,
    ) -> Vec<GossipUpdate> {
        let mut better = Vec::new();
        let own = GossipUpdate { record: packet.sender.clone(), suspected_by: None };
        for told in std::iter::once(&own).chain(&packet.updates) {
            #[cfg(feature = "mutants")]
            if self.config.is_mutant(crate::config::Mutant::AcceptStaleRecords)
                && told.record.name != self.me.name
            {
                self.table.drop_record(member_id(&told.record.name));
            }
            if told.record.name == self.me.name {
                self.of_me(told, now, out);
                continue;
            }
            match self.table.merge(told, now, &mut |c| out.notify(c)) {
                MergeOutcome::TableFull => self.counters.capacity_drops += 1,
                MergeOutcome::Stale if told.record.name != packet.sender.name => {
                    let later = self
                        .table
                        .last_known(member_id(&told.record.name))
                        .filter(|w| w.precedence() > told.record.precedence());
                    better.extend(later.map(|w| GossipUpdate { record: w.clone(), suspected_by: None }));
                }
                _ => {}
            }
        }
        better
    }

    /// A member was heard: what was found while nobody was heard is void.
    pub(super) fn sign_of_life(
        &mut self,
        key: u64,
        word: &MemberRecord,
        now: Millis,
        out: &mut dyn ActionSink,
    ) {
        if let Some(m) =
            self.table.members.get_mut(&key).filter(|m| m.record.precedence() == word.precedence())
        {
            m.last_heard = Some(now);
        }
        self.last_heard = Some(now);
        if std::mem::take(&mut self.isolated) {
            out.notify(MembershipEvent::IsolationEnded);
            self.compare_at = now;
            self.table.clear_local_suspicions(now, &mut |c| out.notify(c));
        }
    }

    /// Somebody speaks of this host.
    pub(super) fn of_me(&mut self, told: &GossipUpdate, now: Millis, out: &mut dyn ActionSink) {
        let word = &told.record;
        if self.superseded_by.is_some() || word.generation < self.me.generation {
            return;
        }
        if word.generation > self.me.generation {
            // An earlier life at this very address, or one that is over, has no say; another one may be alive.
            let over = word.address == self.me.address
                || word.lifecycle == Lifecycle::Left
                || told.suspected_by.is_some();
            if over {
                return self.outlive(word.generation, now, out);
            }
            if self.name_conflict.as_ref().is_none_or(|r| r.record.generation < word.generation) {
                self.name_conflict = Some(NameConflict { record: word.clone(), asked: 0, next: now });
            }
            return;
        }
        #[cfg(feature = "mutants")]
        if self.config.is_mutant(crate::config::Mutant::NoRefutation) {
            return;
        }
        let ahead = word.incarnation > self.me.incarnation
            || word.lifecycle == Lifecycle::Left && self.me.lifecycle != Lifecycle::Left;
        if ahead || told.suspected_by.is_some() && word.incarnation == self.me.incarnation {
            self.me.incarnation = self.me.incarnation.max(word.incarnation);
            self.counters.refutations += 1;
            self.probe.worse(&self.config);
            self.say(|_| {}, now, out);
        }
    }

    /// This host is the later one under its name.
    pub(super) fn outlive(&mut self, generation: u64, now: Millis, out: &mut dyn ActionSink) {
        self.name_conflict = None;
        self.me.generation = self.me.generation.max(generation + 1);
        self.say(|_| {}, now, out);
    }

    pub(super) fn give_way(&mut self, address: SocketAddr, out: &mut dyn ActionSink) {
        if self.superseded_by.is_none() {
            (self.superseded_by, self.name_conflict) = (Some(address), None);
            out.notify(MembershipEvent::Superseded { address });
        }
    }

    /// Asks a member for another one.
    pub(super) fn ask_for(
        &mut self,
        asker: (SocketAddr, u32),
        id: u64,
        to: SocketAddr,
        now: Millis,
        out: &mut dyn ActionSink,
    ) {
        if self.indirect_pings.len() >= MAX_INDIRECT_PINGS {
            return self.counters.capacity_drops += 1;
        }
        let nr = self.next_nr();
        let until = now + self.config.protocol_period / 2;
        self.indirect_pings.push(IndirectPing { nr, asker: asker.0, asked: asker.1, until });
        // Who is suspected hears it from whoever asks.
        let of_it: Vec<GossipUpdate> = self.table.get(id).map(Member::update).into_iter().collect();
        self.send(to, GossipBody::Ping { sequence: nr }, &of_it, MAX_DATAGRAM_BYTES, out);
    }
}
