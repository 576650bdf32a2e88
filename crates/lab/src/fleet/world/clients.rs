//! The clients' side of the world: what they ask, of whom, and how they come again.
use super::*;

impl World {
    /// Clients ask from now on, or no more.
    pub fn clients_ask(&mut self, ask: bool) {
        self.asking = ask;
        let now = self.now();
        self.callers.begin(now);
    }

    /// Requests of clients that have no final answer yet.
    pub fn in_hand(&self) -> usize {
        self.ways.len()
    }

    pub(super) fn ask(&mut self, op: Op) {
        let (ready, rng) = (&self.ready, &mut self.rng);
        let host = self.callers.host(&op, |h| ready[h as usize] == Some(true), rng);
        let Some(host) = host else {
            self.note(What::NoHost { op: op.id });
            return self.again(&op, None);
        };
        let kept = self.idle.get_mut(&host).and_then(Vec::pop);
        let carries = || Carries::Client { reader: ResponseReader::default(), asked: None };
        let Some(at) = kept.or_else(|| self.dial(host, carries())) else {
            self.note(What::NoHost { op: op.id });
            return self.again(&op, None);
        };
        let (method, group) = if op.write { ("PUT", "book") } else { ("GET", "look") };
        let plan = if self.callers.volume(op.volume).limited { "basic" } else { "priority" };
        let body = if op.write { "Content-Length: 6\r\n\r\nposted" } else { "\r\n" };
        let text = format!(
            "{method} /{group}/{:016x}/{:016x} HTTP/1.1\r\nHost: lab\r\nX-Request-ID: {:016x}\r\n\
             X-Priority-Class: {group}\r\nX-Qos-Policy: {plan}\r\nX-Timeout-Ms: {}\r\n\
             X-Placement: units={},shard={},hosts={}\r\n{body}",
            op.volume,
            op.piece,
            op.id,
            op.wait / 1_000,
            op.units,
            op.shard,
            op.hosts
        );
        if let Some(conn) = self.conns.get_mut(at)
            && let Carries::Client { asked, .. } = &mut conn.carries
        {
            *asked = Some(op);
        }
        let Op { id, volume, piece, write, units, wait, .. } = op;
        self.note(What::Asked { op: id, host, volume, piece, write, units, wait });
        self.ways.insert(id, host);
        if self.way_at_fault(host) {
            self.note(What::Excused { op: id });
        }
        // A client on the same machine hears of an answer as late as the machine lets it.
        self.over_at(at, wait + SLACK);
        self.say(at, text.as_bytes());
    }

    pub(super) fn again(&mut self, op: &Op, named: Option<Micros>) {
        let now = self.now();
        if let Some((at, op)) = self.callers.again(now, op, named, &mut self.rng).filter(|_| self.asking) {
            let place = self.again.insert(op);
            self.due.push(Reverse((at, Due::Again(place as usize))));
        }
    }

    pub(super) fn answered(&mut self, at: u32, answer: &[u8], body: usize) {
        let Ok(Some(head)) = ResponseHead::parse(answer, BOUNDS) else { return self.close(at, true) };
        let (status, closes) = (head.status, head.close);
        let named = head.headers.single("Retry-After").ok().flatten().and_then(|t| t.parse::<f64>().ok());
        let Some(conn) = self.conns.get_mut(at) else { return };
        let host = conn.host;
        conn.question = 0;
        match &mut conn.carries {
            Carries::Client { asked, .. } => {
                let Some(op) = asked.take() else { return self.close(at, true) };
                let made = status == 200 && answer[body..] == *format!("{:016x}", op.id).as_bytes();
                self.ways.remove(&op.id);
                self.note(What::Answered { op: op.id, status, made });
                let idle = self.idle.entry(host).or_default();
                if closes || idle.len() >= KEPT {
                    self.close(at, false);
                } else {
                    idle.push(at);
                }
                if status != 200 {
                    self.again(&op, named.map(|s| (s * 1e6) as Micros));
                }
            }
            Carries::Ready { .. } if status == 200 && self.ready[host as usize] == Some(false) => {
                self.ready[host as usize] = Some(true);
                self.note(What::HostReady { host });
                self.close(at, false);
            }
            _ => self.close(at, false),
        }
    }

    pub(super) fn over(&mut self, at: u32, question: u64) {
        let Some(conn) = self.conns.get_mut(at).filter(|c| c.question == question) else { return };
        if let Carries::Client { asked, .. } = &mut conn.carries
            && let Some(op) = asked.take()
        {
            self.ways.remove(&op.id);
            self.note(What::Left { op: op.id });
        }
        self.close(at, false);
    }
}
