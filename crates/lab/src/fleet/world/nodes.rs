//! The nodes' side of the world: their lives, requests of hosts, and what nodes say to them.
use super::*;

impl World {
    /// A node for a shard; its number. `cold`: it starts now.
    pub fn add_node(&mut self, shard: u32, cold: bool) -> Result<u32, String> {
        let node = self.stores.len() as u32;
        let now = self.now();
        let mut store = Store::new(self.scene.model.clone(), self.scene.manners);
        let born = if cold { now.max(1) } else { 0 };
        if cold {
            store.start(now);
            self.note(What::NodeUp { node });
        }
        self.stores.push(store);
        for host in 0..self.scene.hosts {
            self.door(host, Party::Node(node), self.addresses.node(host, node))?;
        }
        let entry = Listed { shard, ready: Some(true), born };
        match now < 100_000 || self.stores.len() <= self.scene.nodes as usize {
            // What stands at the beginning is known to the service.
            true => self.listed.push(entry),
            false => {
                self.listed.push(Listed { ready: None, ..entry });
                self.learns(node, entry);
            }
        }
        Ok(node)
    }

    pub fn listed(&self, node: u32) -> Listed {
        self.listed[node as usize]
    }

    pub fn nodes(&self) -> u32 {
        self.stores.len() as u32
    }

    /// The list service will know this of a node, once its lag is over.
    pub fn learns(&mut self, node: u32, entry: Listed) {
        let at = self.now() + self.scene.lag;
        self.news.push_back((at, node, entry));
        self.due.push(Reverse((at, Due::News)));
    }

    /// A node's process is gone.
    pub fn stop_node(&mut self, node: u32) {
        self.stores[node as usize].stop();
        self.cut_lines(node);
        self.note(What::NodeDown { node });
        let entry = self.listed[node as usize];
        self.learns(node, Listed { ready: None, ..entry });
        self.set_doors();
    }

    /// It starts anew, cold.
    pub fn start_node(&mut self, node: u32) {
        let now = self.now();
        self.stores[node as usize].start(now);
        self.note(What::NodeUp { node });
        let entry = self.listed[node as usize];
        self.learns(node, Listed { ready: Some(true), born: now, ..entry });
        self.set_doors();
    }

    pub(super) fn cut_lines(&mut self, node: u32) {
        let of = |c: &Conn| matches!(c.carries, Carries::Line { node: n, .. } if n == node);
        let lines: Vec<u32> = self.conns.iter().filter(|(_, c)| of(c)).map(|(at, _)| at).collect();
        lines.into_iter().for_each(|at| self.close(at, true));
        self.stores[node as usize].lines = 0;
    }

    pub(super) fn got(&mut self, at: u32, request: &[u8]) {
        let Ok(Some(head)) = RequestHead::parse(request, BOUNDS) else { return self.close(at, true) };
        let text = |name| head.headers.single(name).ok().flatten().unwrap_or_default();
        let op = u64::from_str_radix(text("X-Request-ID"), 16).unwrap_or(0);
        let placement = text("X-Placement");
        let units =
            placement.strip_prefix("units=").and_then(|t| t.split(',').next()?.parse().ok()).unwrap_or(1);
        let write = head.method == "PUT";
        let now = self.now();
        let Some(conn) = self.conns.get_mut(at) else { return };
        let (id, host) = ((at, conn.serial), conn.host);
        let Carries::Line { node, open, fresh, excess, .. } = &mut conn.carries else { return };
        let (node, first, excess) = (*node, std::mem::take(fresh), *excess);
        *open = Some(op);
        self.note(What::Got { node, host, op, units, write });
        let job = Job { from: id, op, units: f64::from(units), first, excess };
        match self.stores[node as usize].got(now, job) {
            Got::Queued => {}
            Got::Full => self.node_says(at, node, op, false),
            Got::Fell => {
                self.note(What::Fell { node });
                self.cut_lines(node);
                self.set_doors();
                let down = now + self.scene.manners.down;
                let (entry, lag) = (self.listed[node as usize], self.scene.lag);
                self.news.push_back((down + lag, node, Listed { born: down, ready: Some(true), ..entry }));
                self.due.push(Reverse((down + lag, Due::News)));
            }
        }
    }

    pub(super) fn node_says(&mut self, at: u32, node: u32, op: u64, ran: bool) {
        if let Some(conn) = self.conns.get_mut(at)
            && let Carries::Line { open, .. } = &mut conn.carries
        {
            *open = None;
        }
        self.note(What::Said { node, op, ran });
        let text = match ran {
            true => format!("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{op:016x}"),
            false => "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n".to_owned(),
        };
        self.say(at, text.as_bytes());
    }
}
