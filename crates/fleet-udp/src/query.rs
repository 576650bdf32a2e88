//! The view of a running host, asked for page by page.
use mallowseam_fleet::MemberState;
use mallowseam_fleet::wire::{self, MAX_DATAGRAM_BYTES, MemberStatus, Message};
use std::fmt::Write;
use std::io;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A page is asked for so often, with so long a wait each.
const TRIES: u32 = 4;
const WAIT: Duration = Duration::from_millis(500);

#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSnapshot {
    pub host: String,
    pub isolated: bool,
    pub superseded: bool,
    /// The same at hosts that hold the same view.
    pub digest: u64,
    pub members: Vec<MemberStatus>,
}

/// Asks a host for its view.
///
/// # Errors
/// No answer, or one that can't be read.
pub fn query_membership(host: SocketAddr) -> io::Result<MembershipSnapshot> {
    let any: SocketAddr = match host {
        SocketAddr::V4(a) if a.ip().is_loopback() => (Ipv4Addr::LOCALHOST, 0).into(),
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(any)?;
    socket.connect(host)?;
    socket.set_read_timeout(Some(WAIT))?;
    let mut after = 0;
    let mut view = MembershipSnapshot {
        host: String::new(),
        isolated: false,
        superseded: false,
        digest: 0,
        members: Vec::new(),
    };
    loop {
        let page = page(&socket, after)?;
        view.host = page.host.as_str().to_owned();
        (view.isolated, view.superseded, view.digest) = (page.isolated, page.superseded, page.digest);
        view.members.extend(page.members);
        // Pages go forward, also where the answer says otherwise.
        match page.next_id.filter(|n| *n > after) {
            Some(next) => after = next,
            None => return Ok(view),
        }
    }
}

fn page(socket: &UdpSocket, after: u64) -> io::Result<wire::MembershipPage> {
    let mut last = io::ErrorKind::TimedOut.into();
    for _ in 0..TRIES {
        socket.send(&wire::encode_query(after))?;
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        match socket.recv(&mut buffer) {
            Ok(len) => {
                if let Ok(Message::Page(look)) = wire::decode_any_fleet(&buffer[..len]) {
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

impl MembershipSnapshot {
    /// How many stand how, in words.
    pub fn state_counts(&self) -> String {
        let all = [
            MemberState::Alive,
            MemberState::Joining,
            MemberState::Suspect,
            MemberState::Unreachable,
            MemberState::Leaving,
            MemberState::Left,
        ];
        let count = |s| self.members.iter().filter(|m| m.state == s).count();
        let some = all.into_iter().map(|s| (count(s), s.as_str())).filter(|c| c.0 > 0);
        some.map(|(n, s)| format!("{n} {s}")).collect::<Vec<_>>().join(", ")
    }

    pub fn to_table(&self) -> String {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let mut out = String::new();
        let mut members: Vec<&MemberStatus> = self.members.iter().collect();
        members.sort_by(|a, b| a.record.name.cmp(&b.record.name));
        let _ = writeln!(
            out,
            "{:<20}{:<13}{:<10}{:<22}{:>8}{:>8}{:>9}{:>9}",
            "member", "state", "zone", "address", "list", "plans", "up s", "heard s"
        );
        for m in members {
            let w = &m.record;
            let heard = m.last_heard_ms.map_or("-".to_owned(), |h| format!("{:.1}", h as f64 / 1e3));
            let _ = writeln!(
                out,
                "{:<20}{:<13}{:<10}{:<22}{:>8}{:>8}{:>9}{:>9}",
                w.name,
                m.state.as_str(),
                w.zone,
                w.address.to_string(),
                w.versions.endpoint_list,
                w.versions.plans,
                now.saturating_sub(w.started_ms) / 1_000,
                heard
            );
        }
        let alone = if self.isolated { "; hears from nobody" } else { "" };
        let displaced = if self.superseded { "; another process has its name" } else { "" };
        let _ = writeln!(
            out,
            "as {} sees it: {}{alone}{displaced}; view {:016x}",
            self.host,
            self.state_counts(),
            self.digest
        );
        out
    }

    pub fn to_json(&self) -> serde_json::Value {
        serde_json::json!({
            "own": self.host, "alone": self.isolated, "displaced": self.superseded, "view": format!("{:016x}", self.digest),
            "members": self.members.iter().map(|m| serde_json::json!({
                "name": m.record.name.as_str(), "state": m.state.as_str(), "zone": m.record.zone.as_str(),
                "address": m.record.address, "generation": m.record.generation, "incarnation": m.record.incarnation,
                "list": m.record.versions.endpoint_list, "plans": m.record.versions.plans, "started": m.record.started_ms, "heard_ms": m.last_heard_ms,
            })).collect::<Vec<_>>(),
        })
    }

    /// What changed since an earlier look, a line each.
    pub fn changes_since(&self, before: &MembershipSnapshot) -> Vec<String> {
        let find =
            |v: &'_ MembershipSnapshot, name: &str| v.members.iter().find(|m| m.record.name == name).cloned();
        let mut out = Vec::new();
        for m in &self.members {
            let was = find(before, &m.record.name).map_or("unknown", |m| m.state.as_str());
            if was != m.state.as_str() {
                out.push(format!("{}: {was} -> {}", m.record.name, m.state.as_str()));
            }
        }
        let gone = before.members.iter().filter(|m| find(self, &m.record.name).is_none());
        out.extend(gone.map(|m| format!("{}: {} -> forgotten", m.record.name, m.state.as_str())));
        out
    }

    /// Where two views differ, a line each.
    pub fn differences(&self, other: &MembershipSnapshot) -> Vec<String> {
        let mut names: Vec<&str> =
            self.members.iter().chain(&other.members).map(|m| m.record.name.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        let seen = |v: &MembershipSnapshot, name: &str| {
            v.members.iter().find(|m| m.record.name == name).map_or("unknown".to_owned(), |m| {
                format!(
                    "{} (generation {}, word {})",
                    m.state.as_str(),
                    m.record.generation,
                    m.record.incarnation
                )
            })
        };
        let line = |name: &&str| {
            let (a, b) = (seen(self, name), seen(other, name));
            (a != b).then(|| format!("{name}: {} has it {a}, {} has it {b}", self.host, other.host))
        };
        names.iter().filter_map(line).collect()
    }
}
