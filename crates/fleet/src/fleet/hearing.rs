//! What comes in: words of members, questions and answers, and what others say of this host.
use super::*;

impl Fleet {
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
    pub(super) fn learn(&mut self, packet: &Packet, now: Millis, out: &mut dyn Carrier) -> Vec<Told> {
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
    pub(super) fn sign_of_life(&mut self, key: u64, word: &Word, now: Millis, out: &mut dyn Carrier) {
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
    pub(super) fn of_me(&mut self, told: &Told, now: Millis, out: &mut dyn Carrier) {
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
    pub(super) fn outlive(&mut self, generation: u64, now: Millis, out: &mut dyn Carrier) {
        self.rival = None;
        self.me.generation = self.me.generation.max(generation + 1);
        self.say(|_| {}, now, out);
    }

    pub(super) fn give_way(&mut self, address: SocketAddr, out: &mut dyn Carrier) {
        if self.displaced.is_none() {
            (self.displaced, self.rival) = (Some(address), None);
            out.changed(Change::Displaced { address });
        }
    }

    /// Asks a member for another one.
    pub(super) fn ask_for(
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
}
