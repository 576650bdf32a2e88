//! The list service's side of the world: calls in turn, watches, versions, and what hosts are configured with.
use super::*;

impl World {
    pub(super) fn called(&mut self, at: u32, request: &[u8]) {
        let Ok(Some(head)) = RequestHead::parse(request, BOUNDS) else { return self.close(at, true) };
        let follows = head.target.contains("follow=1");
        let now = self.now();
        let Some(conn) = self.conns.get_mut(at) else { return };
        let (id, host) = ((at, conn.serial), conn.host);
        let Carries::Call { list, watches, .. } = &mut conn.carries else { return };
        *watches = follows;
        conn.buffer = head.target.as_bytes().to_vec();
        let turns = &mut self.turns[*list as usize];
        let handled = turns.call(now, id, &mut self.rng);
        let waiting = turns.waiting() as u32;
        self.note(What::Called { host, waiting });
        if let Some(handled) = handled {
            self.handled(id, handled);
        }
    }

    pub(super) fn handled(&mut self, id: CallId, handled: Handled) {
        let (at, serial) = id;
        let Some(conn) = self.conns.get_mut(at).filter(|c| c.serial == serial) else { return };
        let (host, target) =
            (conn.host, String::from_utf8_lossy(&std::mem::take(&mut conn.buffer)).into_owned());
        let Carries::Call { watches, .. } = conn.carries else { return };
        if handled == Handled::TurnedAway {
            self.note(What::TurnedAway { host });
            self.say(
                at,
                b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            );
            return;
        }
        let since = target.split("since=").nth(1).and_then(|n| n.parse::<u64>().ok());
        // Changes one by one where they are remembered; a version ahead of this one is none of this service's.
        let oldest = self.history.front().map_or(self.seq, |h| h.0 - 1);
        let changed = since.filter(|s| watches && (oldest..=self.seq).contains(s));
        let nodes: Vec<u32> = match changed {
            Some(since) => {
                let mut nodes: Vec<u32> = self.history.iter().filter(|h| h.0 > since).map(|h| h.1).collect();
                nodes.sort_unstable();
                nodes.dedup();
                nodes
            }
            None => (0..self.nodes()).filter(|n| self.listed(*n).ready.is_some()).collect(),
        };
        let line = self.line(host, changed.is_none(), &nodes);
        self.note(What::Served { host, seq: self.seq });
        match watches {
            true => {
                self.say(at, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                self.say(at, chunk(&line).as_bytes());
            }
            false => {
                let head =
                    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", line.len());
                self.say(at, (head + &line).as_bytes());
            }
        }
    }

    /// A line of the list as one host gets it, which counts as told.
    pub(super) fn line(&mut self, host: u32, whole: bool, nodes: &[u32]) -> String {
        let seq = self.seq;
        for node in nodes {
            let entry = self.listed(*node);
            let open = entry.ready == Some(true);
            self.note(What::Told { host, node: *node, open, seq, born: entry.born });
        }
        self.text(host, whole, seq, nodes)
    }

    pub(super) fn text(&self, host: u32, whole: bool, seq: u64, nodes: &[u32]) -> String {
        let mut out = format!("{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[");
        for (i, node) in nodes.iter().enumerate() {
            let entry = self.listed(*node);
            let health = match entry.ready {
                Some(true) => "ready",
                Some(false) => "draining",
                None => "gone",
            };
            let born = if entry.born == 0 { 0 } else { self.unix_ms + (entry.born / 1_000) as i64 };
            let (dial, zone) = (self.addresses.node(host, *node), node % self.scene.zones);
            let comma = if i > 0 { "," } else { "" };
            write!(
                out,
                "{comma}{{\"host\":\"node{node}\",\"dial\":\"{dial}\",\"site\":\"z{zone}\",\"class\":\"m\",\
                 \"block\":{},\"health\":\"{health}\",\"share\":1.0,\"born_ms\":{born}}}",
                entry.shard
            )
            .expect("memory");
        }
        out.push_str("]}\n");
        out
    }

    pub(super) fn tell_news(&mut self) {
        let now = self.now();
        while let Some((_, node, entry)) = self.news.pop_front_if(|n| n.0 <= now) {
            self.listed[node as usize] = entry;
            self.seq += 1;
            self.history.push_back((self.seq, node));
            if self.history.len() > REMEMBERS {
                self.history.pop_front();
            }
            let mut told = Vec::new();
            for at in self.watchers() {
                let host = self.conns.get(at).map_or(0, |c| c.host);
                // What a silent way holds is not told with its writing.
                let line = if self.links.of(Party::List(0), Party::Host(host)).silent {
                    self.text(host, false, self.seq, &[node])
                } else {
                    told.push(at);
                    self.line(host, false, &[node])
                };
                self.say(at, chunk(&line).as_bytes());
            }
            self.missed(&told, node, entry);
        }
    }

    /// What was not written to a host counts as told to it some time later.
    fn missed(&mut self, told: &[u32], node: u32, entry: Listed) {
        let (now, seq, open) = (self.now(), self.seq, entry.ready == Some(true));
        for host in 0..self.scene.hosts {
            if told.iter().any(|at| self.conns.get(*at).is_some_and(|c| c.host == host)) {
                continue;
            }
            let since = |c: &Conn| match c.carries {
                Carries::Call { forgotten: Some(since), .. } if c.host == host => Some(since),
                _ => None,
            };
            // Whoever has a watch that is silent thinks that it hears all; who has none is held to what the service
            // had, some time after it could be reached, whatever failed before.
            let silent = self.conns.iter().find_map(|(_, c)| since(c));
            match silent {
                Some(since) => {
                    let from = now.max(since + TOLD_AFTER);
                    self.note(What::Missed { host, node, open, seq, from });
                }
                None => self.unreached.push((host, node, entry, seq)),
            }
        }
        self.reached();
    }

    /// Whether a host's call would come to the service, be handled and be answered.
    fn reaches_list(&self, host: u32) -> bool {
        let (host, list) = (Party::Host(host), Party::List(0));
        let whole = |from, to| {
            let fault = self.links.of(from, to);
            !fault.silent && !fault.refuses && fault.cut_after == 0
        };
        self.turns[0].mood == Mood::Well && whole(host, list) && whole(list, host)
    }

    /// What the service has is told to the hosts that can reach it by what their watches held, or counts as told some
    /// time later.
    pub(super) fn reached(&mut self) {
        let from = self.now() + TOLD_AFTER;
        let of = |at: u32| self.conns.get(at).map(|c| c.host);
        let watching: Vec<u32> = self.watchers().into_iter().filter_map(of).collect();
        for missed @ (host, node, entry, seq) in std::mem::take(&mut self.unreached) {
            let open = entry.ready == Some(true);
            if !self.reaches_list(host) {
                self.unreached.push(missed);
            } else if watching.contains(&host) {
                self.note(What::Told { host, node, open, seq, born: entry.born });
            } else {
                self.note(What::Missed { host, node, open, seq, from });
            }
        }
    }

    /// Open watches of these hosts stay open and say nothing any more; new ones are as ever.
    pub fn forget_watches(&mut self, hosts: std::ops::Range<u32>) {
        let now = self.now();
        for at in self.watchers() {
            if let Some(conn) = self.conns.get_mut(at).filter(|c| hosts.contains(&c.host))
                && let Carries::Call { forgotten, .. } = &mut conn.carries
            {
                *forgotten = Some(now);
            }
        }
    }

    pub(super) fn watchers(&self) -> Vec<u32> {
        // One whose call still waits for its turn will be told all of it then.
        let watches = |c: &Conn| {
            matches!(c.carries, Carries::Call { watches: true, forgotten: None, .. }) && c.buffer.is_empty()
        };
        self.conns.iter().filter(|(_, c)| watches(c)).map(|(at, _)| at).collect()
    }

    pub fn watching(&self) -> usize {
        self.watchers().len()
    }

    /// The version that was last written towards a host; 0: none.
    pub fn told(&self, host: u32) -> u64 {
        let to = |s: &Seen| match s.what {
            What::Told { host: h, seq, .. } if h == host => Some(seq),
            _ => None,
        };
        self.seen.iter().rev().find_map(to).unwrap_or(0)
    }

    /// By which node each host was served, from a place in the record on.
    pub fn served(&self, mark: usize) -> impl Iterator<Item = (u32, u32)> {
        let seen = &self.seen[mark.min(self.seen.len())..];
        let mut out: BTreeMap<(u32, u64), u32> = BTreeMap::new();
        seen.iter().filter_map(move |s| match s.what {
            What::Got { node, host, op, .. } => {
                out.insert((node, op), host);
                None
            }
            What::Said { node, op, ran: true } => Some((node, *out.get(&(node, op))?)),
            _ => None,
        })
    }

    /// Whether something of the list service is still under way to a host.
    pub fn waits_for_news(&self, host: u32) -> bool {
        let of = |c: &Conn| c.host == host && matches!(c.carries, Carries::Call { .. });
        self.conns.iter().any(|(_, c)| of(c) && c.outward.due().is_some())
    }

    pub fn version(&self) -> u64 {
        self.seq
    }

    /// The configuration of a host, as it is told at this start.
    pub fn config(&self, host: u32, list: u32, seed: u64) -> String {
        let known = match self.scene.known {
            Known::None => "null".to_owned(),
            known => {
                let gone = known == Known::Old;
                let alive = |n: &u32| self.listed(*n).ready.is_some();
                let nodes: Vec<u32> =
                    (0..self.nodes()).filter(|n| alive(n) && !(gone && n % 2 == 1)).collect();
                let seq = if known == Known::Ahead { self.seq + 1_000 } else { self.seq.saturating_sub(9) };
                let text = self.text(host, true, if known == Known::Now { self.seq } else { seq }, &nodes);
                // A list of the day before names nodes that are no more.
                if gone { text.replace("node0\"", "node-of-old\"") } else { text }
            }
        };
        crate::fleet::scene::config(
            &self.scene,
            (host, self.names[host as usize]),
            self.addresses,
            list,
            seed,
            &known,
        )
    }
}
