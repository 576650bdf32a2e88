//! The view of a running host, asked for page by page.
use mallowseam_fleet::State;
use mallowseam_fleet::wire::{self, MOST, Message, Shown};
use std::fmt::Write;
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A page is asked for so often, with so long a wait each.
const TRIES: u32 = 4;
const WAIT: Duration = Duration::from_millis(500);

#[derive(Clone, Debug, PartialEq)]
pub struct View {
    pub own: String,
    pub alone: bool,
    pub displaced: bool,
    /// The same at hosts that hold the same view.
    pub sum: u64,
    pub members: Vec<Shown>,
}

/// Asks a host for its view.
///
/// # Errors
/// No answer, or one that can't be read.
pub fn view(host: SocketAddr) -> io::Result<View> {
    let any: SocketAddr = match host {
        SocketAddr::V4(a) if a.ip().is_loopback() => (Ipv4Addr::LOCALHOST, 0).into(),
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(any)?;
    socket.connect(host)?;
    socket.set_read_timeout(Some(WAIT))?;
    let mut after = 0;
    let mut view = View { own: String::new(), alone: false, displaced: false, sum: 0, members: Vec::new() };
    loop {
        let page = page(&socket, after)?;
        view.own = page.own.as_str().to_owned();
        (view.alone, view.displaced, view.sum) = (page.alone, page.displaced, page.sum);
        view.members.extend(page.members);
        // Pages go forward, also where the answer says otherwise.
        match page.next.filter(|n| *n > after) {
            Some(next) => after = next,
            None => return Ok(view),
        }
    }
}

fn page(socket: &UdpSocket, after: u64) -> io::Result<wire::Look> {
    let mut last = io::ErrorKind::TimedOut.into();
    for _ in 0..TRIES {
        socket.send(&wire::look(after))?;
        let mut buffer = [0; MOST];
        match socket.recv(&mut buffer) {
            Ok(len) => {
                if let Ok(Message::Looked(look)) = wire::read_any(&buffer[..len]) {
                    return Ok(look);
                }
                last = io::Error::new(io::ErrorKind::InvalidData, "no view of this version of the program");
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(e) => last = e,
        }
    }
    Err(last)
}

impl View {
    /// How many stand how, in words.
    pub fn counts(&self) -> String {
        let all =
            [State::Alive, State::Joining, State::Suspect, State::Unreachable, State::Leaving, State::Left];
        let count = |s| self.members.iter().filter(|m| m.state == s).count();
        let some = all.into_iter().map(|s| (count(s), s.name())).filter(|c| c.0 > 0);
        some.map(|(n, s)| format!("{n} {s}")).collect::<Vec<_>>().join(", ")
    }

    pub fn table(&self) -> String {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let mut out = String::new();
        let mut members: Vec<&Shown> = self.members.iter().collect();
        members.sort_by(|a, b| a.word.name.cmp(&b.word.name));
        let _ = writeln!(
            out,
            "{:<20}{:<13}{:<10}{:<22}{:>8}{:>8}{:>9}{:>9}",
            "member", "state", "zone", "address", "list", "plans", "up s", "heard s"
        );
        for m in members {
            let w = &m.word;
            let heard = m.heard.map_or("-".to_owned(), |h| format!("{:.1}", h as f64 / 1e3));
            let _ = writeln!(
                out,
                "{:<20}{:<13}{:<10}{:<22}{:>8}{:>8}{:>9}{:>9}",
                w.name,
                m.state.name(),
                w.zone,
                w.address.to_string(),
                w.facts.list,
                w.facts.plans,
                now.saturating_sub(w.started) / 1_000,
                heard
            );
        }
        let alone = if self.alone { "; hears from nobody" } else { "" };
        let displaced = if self.displaced { "; another process has its name" } else { "" };
        let _ = writeln!(
            out,
            "as {} sees it: {}{alone}{displaced}; view {:016x}",
            self.own,
            self.counts(),
            self.sum
        );
        out
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::json!({
            "own": self.own, "alone": self.alone, "displaced": self.displaced, "view": format!("{:016x}", self.sum),
            "members": self.members.iter().map(|m| serde_json::json!({
                "name": m.word.name.as_str(), "state": m.state.name(), "zone": m.word.zone.as_str(),
                "address": m.word.address, "generation": m.word.generation, "incarnation": m.word.incarnation,
                "list": m.word.facts.list, "plans": m.word.facts.plans, "started": m.word.started, "heard_ms": m.heard,
            })).collect::<Vec<_>>(),
        })
    }

    /// What changed since an earlier look, a line each.
    pub fn changes(&self, before: &View) -> Vec<String> {
        let find = |v: &'_ View, name: &str| v.members.iter().find(|m| m.word.name == name).cloned();
        let mut out = Vec::new();
        for m in &self.members {
            let was = find(before, &m.word.name).map_or("unknown", |m| m.state.name());
            if was != m.state.name() {
                out.push(format!("{}: {was} -> {}", m.word.name, m.state.name()));
            }
        }
        let gone = before.members.iter().filter(|m| find(self, &m.word.name).is_none());
        out.extend(gone.map(|m| format!("{}: {} -> forgotten", m.word.name, m.state.name())));
        out
    }

    /// Where two views differ, a line each.
    pub fn differs(&self, other: &View) -> Vec<String> {
        let mut names: Vec<&str> =
            self.members.iter().chain(&other.members).map(|m| m.word.name.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        let seen = |v: &View, name: &str| {
            v.members.iter().find(|m| m.word.name == name).map_or("unknown".to_owned(), |m| {
                format!("{} (generation {}, word {})", m.state.name(), m.word.generation, m.word.incarnation)
            })
        };
        let line = |name: &&str| {
            let (a, b) = (seen(self, name), seen(other, name));
            (a != b).then(|| format!("{name}: {} has it {a}, {} has it {b}", self.own, other.own))
        };
        names.iter().filter_map(line).collect()
    }
}
