//! Mapped volumes: where a block I/O goes is looked up, and waited for; extents are copied before their first
//! write.
use super::*;

impl Desk {
    /// The unit of a LUN.
    pub(super) fn unit(&mut self, lun: u32) -> Option<Seen> {
        if let Some(vol) = self.volumes.iter().position(|v| v.lun == lun) {
            let branch = self.volumes[vol].branch.clone();
            return Some(Seen { vol, lun, branch, writable: true });
        }
        self.learn_units();
        self.units.get(&lun).cloned()
    }

    /// Snapshots and clones of mapped volumes, when the tree has changed.
    pub(super) fn learn_units(&mut self) {
        let Some(tree) = self.map.as_ref().and_then(|m| m.cache.tree()) else { return };
        if tree.version == self.units_of {
            return;
        }
        self.units_of = tree.version;
        self.units.clear();
        for (name, snapshot) in &tree.snapshots {
            if let Some(vol) = self.volume_of(tree, &snapshot.branch) {
                let branch = Some(name.as_str().into());
                self.units.insert(snapshot.lun, Seen { vol, lun: snapshot.lun, branch, writable: false });
            }
        }
        for (name, branch) in tree.branches.iter().filter(|b| b.1.origin.is_some()) {
            if let Some(vol) = self.volume_of(tree, name) {
                let seen = Seen { vol, lun: branch.lun, branch: Some(name.as_str().into()), writable: true };
                self.units.insert(branch.lun, seen);
            }
        }
    }

    /// The configured volume that a branch comes from, by way of clones of clones.
    pub(super) fn volume_of(&self, tree: &Tree, branch: &str) -> Option<usize> {
        let mut name = branch;
        for _ in 0..=tree.branches.len() {
            if let Some(vol) = self.volumes.iter().position(|v| v.branch.as_deref() == Some(name)) {
                return Some(vol);
            }
            name = tree.branches.get(name)?.origin.as_deref()?.split('@').next()?;
        }
        None
    }

    pub(super) fn is_write(&self, io: &Io) -> bool {
        self.commands.get(io.command).is_some_and(|c| c.write)
    }

    pub(super) fn writes_copy(&self, at: u32) -> bool {
        let copies = self.ios.get(at).and_then(|io| io.copies);
        copies.and_then(|c| self.copying.get(&c)).is_some_and(|c| c.state == Copying::Writing)
    }

    /// Puts a block I/O among those that wait, by the order in which they came.
    pub(super) fn wait(&mut self, at: u32) {
        let seq = self.ios.get(at).expect("in hand").seq;
        let ios = &self.ios;
        let place = self.waiting.partition_point(|w| ios.get(*w).is_some_and(|io| io.seq < seq));
        self.waiting.insert(place, at);
        self.looked.1 = 0;
    }

    /// Looks up where a block I/O goes. What comes behind one that waits for the same extent waits as well.
    pub(super) fn look_up(&mut self, scheduler: &mut Scheduler, at: u32) {
        let io = self.ios.get(at).expect("in hand");
        let same = |w: &u32| {
            self.ios
                .get(*w)
                .is_some_and(|o| o.lun == io.lun && o.part.shard == io.part.shard && o.seq < io.seq)
        };
        if self.waiting.iter().any(same) {
            return self.wait(at);
        }
        if !self.go(scheduler, at) {
            self.wait(at);
        }
    }

    /// Sends a block I/O on its way if that is known. False: not yet.
    pub(super) fn go(&mut self, scheduler: &mut Scheduler, at: u32) -> bool {
        let io = self.ios.get(at).expect("in hand");
        let (write, extent, vol) = (self.is_write(io), io.part.shard, io.vol);
        let Some(map) = &mut self.map else { return false };
        let now = ticks_to_millis(self.now);
        match map.cache.look_up(io.branch.as_deref().unwrap_or_default(), extent, write, now) {
            Lookup::Found(layer, place) => {
                if write && !self.may_follow(at, layer, now) {
                    // Given up, it is over; else it waits.
                    return self.ios.get(at).is_none();
                }
                self.ios.get_mut(at).expect("in hand").place = Some((layer, place));
                self.take(scheduler, at);
                true
            }
            Lookup::Zeros => {
                let bytes = io.part.blocks as usize * self.volumes[vol].block_size as usize;
                let io = self.ios.get_mut(at).expect("in hand");
                io.answered = true;
                self.figures.groups[io.part.class as usize].answers.taken += 1;
                self.done(at, vec![0; bytes]);
                self.forget(at);
                true
            }
            Lookup::CopyFirst { into, from } => {
                map.want_numbers(into, now);
                self.copy((into, extent), vol, from);
                false
            }
            Lookup::Blocked | Lookup::NoLease => false,
            Lookup::UnknownName => {
                self.give_up(BioId(at), RequestOutcome::Failed);
                self.forget(at);
                true
            }
        }
    }

    /// Whether a part of a write may go into a layer, as far as cuts are concerned. Given up, it is gone.
    fn may_follow(&mut self, at: u32, layer: LayerId, now: u64) -> bool {
        let Some(io) = self.ios.get(at) else { return false };
        let command_at = io.command;
        let Some(command) = self.commands.get(command_at).filter(|c| c.parts > 1) else { return true };
        let held = self.map.as_ref().is_some_and(|m| m.holds(io.branch.as_deref().unwrap_or_default(), now));
        let (mut elsewhere, mut begun) = (false, command.pieces.started_in_or_before(LayerId::MAX));
        let mut next = command.first;
        while let Some(other) = self.ios.get(next).filter(|o| o.command == command_at) {
            // One that is only held may be sent any moment.
            let under_way = other.handed && !other.answered;
            begun |= under_way;
            elsewhere |= under_way && other.place.is_some_and(|p| p.0 != layer);
            next = other.next;
        }
        if held && !begun {
            return false;
        }
        let command = self.commands.get_mut(command_at).expect("just seen");
        match command.pieces.admit(layer, elsewhere, now) {
            PartAdmission::Send => true,
            PartAdmission::Wait => false,
            PartAdmission::RequestPermission(older) => {
                if let Some(map) = &mut self.map {
                    map.say(&ToCatalog::RequestCompletion { layer: older });
                }
                false
            }
            PartAdmission::Reject => {
                self.give_up(BioId(at), RequestOutcome::Failed);
                self.forget(at);
                false
            }
        }
    }

    /// Takes the catalog's words about leave, and says of which layers this host is clear.
    fn tend_cuts(&mut self) {
        let Some(map) = &mut self.map else { return };
        for (layer, given) in std::mem::take(&mut map.leaves) {
            for at in self.commands.indices() {
                if let Some(command) = self.commands.get_mut(at) {
                    command.pieces.permission_decided(layer, given);
                }
            }
        }
        if map.owed.is_empty() {
            return;
        }
        let (ios, commands) = (&self.ios, &self.commands);
        let holds = |layer: LayerId, branch: &str| {
            let several =
                |at: u32| commands.get(at).filter(|c| c.write && c.parts > 1 && !c.progress.is_answered());
            ios.iter().any(|(_, io)| {
                let here = io.branch.as_deref() == Some(branch);
                let under_way = io.place.is_some_and(|p| p.0 == layer) && !io.answered;
                here && several(io.command).is_some_and(|c| under_way || c.pieces.started_in_or_before(layer))
            })
        };
        let clear: Vec<LayerId> =
            map.owed.iter().filter(|(layer, branch)| !holds(*layer, branch)).map(|o| o.0).collect();
        map.owed.retain(|o| !clear.contains(&o.0));
        for layer in clear {
            map.say(&ToCatalog::Quiesced { layer });
        }
    }

    /// Looks again at all that wait, when there is news or time has passed. True if anything has moved.
    pub(super) fn look_again(&mut self, scheduler: &mut Scheduler) -> bool {
        let news = self.map.as_ref().map_or(0, |m| m.news);
        if self.map.is_none() || self.looked.0 == news && self.now < self.looked.1 {
            return false;
        }
        self.looked = (news, self.now + ticks_from_micros_ceil(copy_budget::RETRY_DELAY * 1000));
        self.tend_copies();
        self.tend_cuts();
        let mut behind: Vec<(u32, u32)> = Vec::new();
        let mut moved = false;
        for at in std::mem::take(&mut self.waiting) {
            let Some(io) = self.ios.get(at) else { continue };
            let here = (io.lun, io.part.shard);
            if io.answered {
                self.forget(at);
                moved = true;
            } else if self.now >= io.taken + self.groups[io.part.class as usize].goal {
                // Past its goal: the answer at once. It has not been sent, so trying again is harmless.
                self.give_up(BioId(at), RequestOutcome::Shed { retry_after: 0 });
                self.forget(at);
                moved = true;
            } else if behind.contains(&here) || !self.go(scheduler, at) {
                behind.push(here);
                let seq = self.ios.get(at).map_or(0, |io| io.seq);
                let ios = &self.ios;
                let place = self.waiting.partition_point(|w| ios.get(*w).is_some_and(|io| io.seq < seq));
                self.waiting.insert(place, at);
            } else {
                moved = true;
            }
        }
        moved || !self.fresh.is_empty()
    }

    /// When those that wait are to be looked at next.
    pub fn next_look(&self) -> Option<Tick> {
        let owed = self.map.as_ref().is_some_and(|m| !m.owed.is_empty());
        (owed || !self.waiting.is_empty()).then_some(self.looked.1)
    }

    /// A node has turned a write away, as its layer is closed: it and those behind it are looked up anew.
    pub(super) fn turned_away(&mut self, at: u32) {
        let layer = self.ios.get(at).and_then(|io| io.place).map(|p| p.0);
        self.ios.get_mut(at).expect("in hand").returns = true;
        self.tell(at, AttemptResult::NotSent);
        for other in self.ios.indices() {
            let Some(io) = self.ios.get(other) else { continue };
            let here = io.place.map(|p| p.0) == layer && io.handed && io.out.is_none() && !io.returns;
            if here && !io.answered && io.copies.is_none() && self.is_write(io) {
                self.ios.get_mut(other).expect("just seen").returns = true;
                self.gone.push_back(BioId(other));
            }
        }
    }

    /// Begins to copy an extent to a new place, unless that is under way.
    pub(super) fn copy(&mut self, to: (LayerId, u32), vol: usize, from: Option<(LayerId, Location)>) {
        let now = ticks_to_millis(self.now);
        let Some(map) = &mut self.map else { return };
        let again = match self.copying.get(&to).map(|c| &c.state) {
            None => false,
            Some(Copying::Resting(until)) if now >= *until => true,
            Some(_) => return,
        };
        let resting = |c: &&Copy| matches!(c.state, Copying::Resting(_));
        let under_way = self.copying.len() - self.copying.values().filter(resting).count();
        if !self.copies.may_start(under_way, again, now) {
            return;
        }
        let mut numbers = Vec::new();
        while numbers.len() < self.submits as usize {
            let Some(number) = map.cache.take_slot(to.0) else { break };
            numbers.push(number);
        }
        if numbers.len() < self.submits as usize {
            // What was drawn is lost, which costs nothing; more are on their way.
            self.copying.remove(&to);
            return;
        }
        let state = if from.is_some() { Copying::Reading } else { Copying::Writing };
        // What was never written reads as zeros anyway: one block makes the node known to be there.
        let data = if from.is_some() { Vec::new() } else { vec![0; self.volumes[vol].block_size as usize] };
        self.copying.insert(to, Copy { vol, from, data: data.into(), numbers, state });
        self.copy_step(to);
    }

    /// The next block I/O of a copy.
    pub(super) fn copy_step(&mut self, to: (LayerId, u32)) {
        let copy = &self.copying[&to];
        let reading = copy.state == Copying::Reading;
        let blocks = if reading || copy.from.is_some() { self.extent as u32 } else { 1 };
        let part = SubRequest {
            offset: 0,
            blocks,
            shard: to.1,
            node_lba: 0,
            class: self.copy_group as u16,
            ordering_key: None,
        };
        self.seq += 1;
        let io = Io {
            command: NONE,
            next: NONE,
            vol: copy.vol,
            lun: NONE,
            branch: None,
            seq: self.seq,
            place: if reading { copy.from } else { None },
            copies: Some(to),
            returns: false,
            part,
            taken: self.now,
            handed: false,
            submits: 0,
            out: None,
            answered: false,
        };
        let at = self.ios.insert(io);
        self.fresh.push_back(at);
    }

    /// A step of a copy has ended.
    pub(super) fn copied(&mut self, at: u32, data: Vec<u8>) {
        let io = self.ios.get(at).expect("in hand");
        let (Some(to), place) = (io.copies, io.place) else { return };
        let Some(copy) = self.copying.get_mut(&to) else { return };
        match (copy.state, place) {
            (Copying::Reading, _) => {
                copy.data = data.into();
                copy.state = Copying::Writing;
                self.copy_step(to);
            }
            (Copying::Writing, Some((_, place))) => {
                copy.state = Copying::Told(place, ticks_to_millis(self.now));
                self.copies.record_success();
                self.tell_place(to, place);
            }
            _ => {}
        }
    }

    pub(super) fn tell_place(&mut self, to: (LayerId, u32), place: Location) {
        if let Some(map) = &mut self.map {
            map.say(&ToCatalog::ProposeLocation { layer: to.0, extent: to.1, location: place });
        }
    }

    /// Copies that are settled are over; places not heard of are told again.
    pub(super) fn tend_copies(&mut self) {
        let now = ticks_to_millis(self.now);
        let Some(tree) = self.map.as_ref().and_then(|m| m.cache.tree()) else { return };
        let settled = |(layer, extent): &(LayerId, u32)| {
            tree.layers.get(layer).is_none_or(|l| l.frozen || l.locations.contains_key(extent))
        };
        let mut again = Vec::new();
        self.copying.retain(|to, copy| match &mut copy.state {
            Copying::Told(place, at) => {
                if !settled(to) && now >= *at + RESEND_AFTER {
                    *at = now;
                    again.push((*to, *place));
                }
                !settled(to)
            }
            Copying::Resting(until) => !settled(to) && now < *until + copy_budget::FAILURE_MEMORY,
            Copying::Reading | Copying::Writing => true,
        });
        for (to, place) in again {
            self.tell_place(to, place);
        }
    }
}
