//! What is in hand: carries out what the scheduler asks, and tells it what came of it.
use crate::clients::Clients;
use crate::nodes::{Came, Good, Nodes, Ready};
use mallowseam_connection_policy::Millis;
use mallowseam_connection_policy::client_connection;
use mallowseam_connection_policy::graceful_shutdown::GracefulShutdown;
use mallowseam_platform::endpoints::{Health, WatchEvent};
use mallowseam_platform::interner::{InternError, NameInterner};
use mallowseam_platform::request::{self, ClientRequest, RequestId};
use mallowseam_platform::response;
use mallowseam_platform::settings::PlatformSettings;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::*;
use mallowseam_sockets::clock::{ticks_from_millis, ticks_to_millis};
use mallowseam_sockets::slab::Slab;
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// A block I/O, from its client's whole request until the scheduler releases it.
struct Held {
    id: RequestId,
    /// Its client's connection, until it has its final answer or has gone.
    client: Option<u32>,
    submits: u32,
    /// The connection that carries its submit.
    line: Option<u32>,
    hard_limit: Tick,
}

/// What came of block I/Os, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub taken: u64,
    pub ended: u64,
    pub shed: u64,
    pub failed: u64,
    pub left: u64,
    pub never_sent: u64,
    pub asked_ready: u64,
}

pub struct Desk {
    pub now: Tick,
    /// When what this round hears was there to be heard, and when the poll told of it.
    pub heard: Tick,
    pub polled: Tick,
    pub named: PlatformSettings,
    pub clients: Clients,
    pub nodes: Nodes,
    pub names: NameInterner,
    pub counts: Counts,
    held: Slab<Held>,
    came: VecDeque<Came>,
    pub wake_at: Option<Tick>,
    /// The scheduler wants the list service called.
    pub wants_watch: bool,
    listed: Vec<NodeEndpoint>,
}

impl Desk {
    pub fn new(now: Tick, named: PlatformSettings, clients: Clients, nodes: Nodes) -> Self {
        Desk {
            now,
            heard: now,
            polled: now,
            named,
            clients,
            nodes,
            names: NameInterner::default(),
            counts: Counts::default(),
            held: Slab::default(),
            came: VecDeque::new(),
            wake_at: None,
            wants_watch: false,
            listed: Vec::new(),
        }
    }

    fn millis(&self) -> Millis {
        ticks_to_millis(self.now)
    }

    pub fn in_hand(&self) -> usize {
        self.held.len()
    }

    /// The whole request of a client's connection.
    pub fn asked(&mut self, scheduler: &mut Scheduler, at: u32, ready: bool) {
        let now = self.millis();
        let Some((head, body)) = self.clients.request(at) else { return };
        match request::parse(&head, body.len(), &self.named) {
            Err(wrong) => self.clients.wrong(at, wrong.status(), wrong.message(), now),
            // Whoever asks this is no client yet, or not on this connection.
            Ok(ClientRequest::Readiness) => {
                self.counts.asked_ready += 1;
                let (status, words) =
                    if ready { (200, "ready") } else { (response::SHED_STATUS, "no list yet") };
                self.clients.last_answer(at, status, words.as_bytes(), now);
            }
            // Whoever has gone gets nothing done: no node works for it.
            Ok(ClientRequest::BlockIo(_)) if self.clients.left(at, self.polled_long_ago()) => {
                self.clients.answer(at, response::SHED_STATUS, b"", 0, now);
            }
            Ok(ClientRequest::BlockIo(block)) => {
                let id = BioId(self.held.next_index());
                let bio = match self.names.intern_request(id, &block, self.now, &self.named) {
                    Ok(bio) => bio,
                    Err(InternError::DuplicateRequestId) => {
                        return self.clients.wrong(at, 409, "this id is in hand", now);
                    }
                    Err(InternError::TooManyVolumes) => {
                        return self.clients.wrong(at, response::SHED_STATUS, "no room", now);
                    }
                };
                let (id, client, hard_limit) = (block.id, Some(at), bio.deadline);
                self.held.insert(Held { id, client, submits: 0, line: None, hard_limit });
                self.counts.taken += 1;
                self.clients.taken(at, bio.id, now);
                let now = self.now;
                scheduler.on_arrival(self, now, bio);
                self.settle(scheduler);
            }
        }
    }

    /// The client of a block I/O has gone.
    pub fn left(&mut self, scheduler: &mut Scheduler, bio: BioId) {
        if let Some(at) = self.held.get_mut(bio.0).and_then(|h| h.client.take()) {
            let now = self.now;
            self.take_back(bio);
            scheduler.on_disconnect(self, now, bio);
            self.says_farewell(at);
            self.settle(scheduler);
        }
    }

    /// A client that has left may have closed only its own side; then this still tells it.
    fn says_farewell(&mut self, at: u32) {
        self.counts.left += 1;
        self.clients.answer(at, response::FAILED_STATUS, b"", 0, self.millis());
    }

    /// Whether clients may have left unseen for so long that nothing may begin for them without a look.
    fn polled_long_ago(&self) -> bool {
        client_connection::poll_result_is_stale(ticks_to_millis(self.now - self.polled))
    }

    /// A submit of which no last byte has gone is taken back with its client, whether or not the settings allow to
    /// call off what has: nothing has run, and nobody wants it to any more.
    fn take_back(&mut self, bio: BioId) {
        let Some(held) = self.held.get_mut(bio.0) else { return };
        if let Some(line) = held.line.filter(|line| self.nodes.unsent(*line, bio)) {
            held.line = None;
            self.came.extend(self.nodes.cut(line, bio));
        }
    }

    /// The host is about to be killed: what it still has in hand gets its final answer.
    pub fn close_all(&mut self, scheduler: &mut Scheduler) {
        for at in self.held.indices() {
            let Some(held) = self.held.get(at).filter(|h| h.client.is_some()) else { continue };
            let harmless = GracefulShutdown::is_safe_to_retry(held.submits);
            self.take_back(BioId(at));
            if harmless {
                self.shed(BioId(at), 0)
            } else {
                self.fail(BioId(at))
            }
            let now = self.now;
            scheduler.on_disconnect(self, now, BioId(at));
            self.settle(scheduler);
        }
    }

    /// A connection to a node is ready.
    pub fn node_ready(&mut self, scheduler: &mut Scheduler, at: u32, ended: bool, scratch: &mut [u8]) {
        match self.nodes.ready(at, ended, scratch, self.now, self.heard) {
            Ready::Nothing => {}
            Ready::Came(came) => self.came.push_back(came),
            Ready::Good(good) => self.pass_on(&good),
        }
        self.settle(scheduler);
    }

    /// Gives a client the body that a node made for its request.
    fn pass_on(&mut self, good: &Good) {
        let client = self.held.get_mut(good.came.bio.0).and_then(|h| h.client.take());
        if let Some(at) = client {
            let now = ticks_to_millis(self.now);
            // Clients that do not read their answers may have left no room for this one.
            if !self.clients.has_room(self.nodes.body(good).len()) {
                self.counts.failed += 1;
                self.clients.answer(at, response::FAILED_STATUS, b"", 0, now);
            } else {
                self.counts.ended += 1;
                match self.nodes.take_body(good) {
                    Some((buffer, from, to)) => self.clients.hand_on(at, buffer, from, to, now),
                    None => self.clients.answer(at, 200, self.nodes.body(good), 0, now),
                }
            }
        }
        self.nodes.done(good, self.now);
        self.came.push_back(good.came);
    }

    /// Submits whose time is up.
    pub fn overdue(&mut self, scheduler: &mut Scheduler) {
        while let Some(came) = self.nodes.overdue(self.now) {
            self.came.push_back(came);
            self.settle(scheduler);
        }
    }

    /// Tells the scheduler what came of submits, until nothing more has.
    pub fn settle(&mut self, scheduler: &mut Scheduler) {
        while let Some(came) = self.came.pop_front() {
            let Some(held) = self.held.get_mut(came.bio.0) else { continue };
            held.line = None;
            let said = came.said;
            let outcome = AttemptOutcome {
                result: came.ending,
                node: came.node,
                client_answered: held.client.is_none(),
                latency: came.until.unwrap_or(self.now) - came.since,
                units_by_other_hosts: said.map_or(0.0, |s| s.by_others),
                volume_usage: said.map_or(0.0, |s| s.usage),
                load_report: said.map_or(LoadReport::default(), |s| s.load_report),
            };
            let now = self.now;
            scheduler.on_attempt_finished(self, now, came.bio, &outcome);
        }
    }

    /// The node list spoke.
    pub fn listed(&mut self, scheduler: &mut Scheduler, form: EndpointEvent, news: &WatchEvent) {
        let mut listed = std::mem::take(&mut self.listed);
        self.names.intern_endpoints(news, &self.named, &mut listed);
        for entry in &news.endpoints {
            let open = entry.health == Health::Ready;
            if let Some(node) = self.names.find_node(&entry.name) {
                self.nodes.listed(node, entry.address, open);
            }
        }
        // A drain told while a submit still waits for its connection stops it.
        let whole = form != EndpointEvent::Incremental;
        let closed = |node: NodeId| {
            let told = listed.iter().find(|l| l.node == node);
            told.map_or(whole, |l| l.state != NodeState::Active)
        };
        let nodes: Vec<NodeId> = self.nodes.ids().filter(|n| closed(*n)).collect();
        for node in nodes {
            let came = &mut self.came;
            self.nodes.call_back(node, &mut |c| came.push_back(c));
        }
        let now = self.now;
        scheduler.on_endpoints(self, now, form, &listed);
        self.listed = listed;
        self.settle(scheduler);
    }

    pub fn list_failed(&mut self, scheduler: &mut Scheduler, form: EndpointEvent) {
        let now = self.now;
        scheduler.on_endpoints(self, now, form, &[]);
        self.settle(scheduler);
    }

    pub fn list_moved(&mut self, scheduler: &mut Scheduler) {
        let now = self.now;
        scheduler.on_discovery_moved(self, now);
        self.settle(scheduler);
    }

    /// The time that the scheduler asked for has come. Nothing else wakes it: it names each time once, and would take
    /// a call past the time that is set here for that one, and wait for the next in vain.
    pub fn woken(&mut self, scheduler: &mut Scheduler) {
        if self.wake_at.is_some_and(|at| at <= self.now) {
            self.wake_at = None;
            let now = self.now;
            scheduler.on_timer(self, now);
            self.settle(scheduler);
        }
    }

    fn final_answer(&mut self, bio: BioId, status: u16, come_back: Tick) -> bool {
        let client = self.held.get_mut(bio.0).and_then(|h| h.client.take());
        if let Some(at) = client {
            self.clients.answer(at, status, b"", ticks_to_millis(come_back), self.millis());
        }
        client.is_some()
    }
}

impl Host for Desk {
    fn forward(&mut self, bio: BioId, node: NodeId, timeout: Tick) {
        let now = self.now;
        let most = self.named.scheduler.max_attempts;
        // Told to end, a host has all its answers out before it is killed; what it still holds by then is over, as
        // latency goals are.
        let by = self.clients.leaving.and_then(|l| l.answer_deadline());
        let timeout = by.map_or(timeout, |by| timeout.min(ticks_from_millis(by) - now));
        let looks = self.polled_long_ago();
        let Some(held) = self.held.get_mut(bio.0) else { return };
        if let Some(at) = held.client.filter(|at| looks && self.clients.left(*at, true)) {
            held.client = None;
            self.says_farewell(at);
        }
        let Some(held) = self.held.get_mut(bio.0) else { return };
        held.submits += 1;
        let moot = held.hard_limit <= now || timeout <= 0 || most > 0 && held.submits > most;
        let request = held.client.filter(|_| !moot).and_then(|at| self.clients.request(at));
        let sent = match request {
            // Over, past its limit, or one submit too many.
            None => Err(AttemptResult::NotSent),
            Some((head, body)) => {
                let wait = ticks_to_millis(timeout).max(1);
                self.nodes
                    .submit(bio, node, now, timeout, |out| request::write_forwarded(out, &head, body, wait))
            }
        };
        match sent {
            Ok((line, came)) => {
                held.line = Some(line);
                self.came.extend(came);
            }
            Err(ending) => {
                self.counts.never_sent += 1;
                self.came.push_back(Came { bio, node, ending, since: now, until: None, said: None });
            }
        }
    }

    fn cancel(&mut self, bio: BioId, attempt: u32) {
        let Some(held) = self.held.get_mut(bio.0).filter(|h| attempt + 1 == h.submits) else { return };
        // Without a connection its outcome is on its way already.
        let cut = held.line.take().and_then(|line| self.nodes.cut(line, bio));
        self.came.extend(cut);
    }

    fn shed(&mut self, bio: BioId, retry_after: Tick) {
        self.counts.shed += u64::from(self.final_answer(bio, response::SHED_STATUS, retry_after));
    }

    fn fail(&mut self, bio: BioId) {
        self.counts.failed += u64::from(self.final_answer(bio, response::FAILED_STATUS, 0));
    }

    fn set_timer(&mut self, after: Tick) {
        let at = self.now + after;
        self.wake_at = Some(self.wake_at.map_or(at, |w| w.min(at)));
    }

    fn poll_endpoints(&mut self) {
        self.wants_watch = true;
    }

    fn release_bio(&mut self, bio: BioId) {
        if let Some(held) = self.held.remove(bio.0) {
            self.names.release_request(&held.id);
        }
    }

    fn release_key(&mut self, key: KeyId) {
        self.names.release_key(key);
    }

    fn release_volume(&mut self, volume: VolumeId) {
        self.names.release_volume(volume);
    }

    fn release_node(&mut self, node: NodeId) {
        self.names.release_node(node);
        self.nodes.release(node);
    }
}
