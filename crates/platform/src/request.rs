//! A client's request as a block I/O, and the same request as bytes for a node.
use crate::settings::Named;
use mallowseam_http1::RequestHead;
use std::io::Write;

/// A request's id, kept in place: no more than this many visible characters.
const ID: usize = 40;
/// Hex digits of a volume and of a piece of data.
const DIGITS: usize = 16;
/// Milliseconds: a client that says it waits longer than this has no sense of time. An hour, as nothing here
/// lasts minutes.
const LONGEST_WAIT: u64 = 3_600_000;

/// The id under which a request stands at clients, hosts and nodes.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Id {
    bytes: [u8; ID],
    len: u8,
}

impl Id {
    pub fn new(text: &str) -> Option<Self> {
        let fits = (1..=ID).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic());
        let mut bytes = [0; ID];
        bytes.get_mut(..text.len())?.copy_from_slice(text.as_bytes());
        fits.then_some(Id { bytes, len: text.len() as u8 })
    }

    pub fn bytes(&self) -> &[u8] {
        &self.bytes[..usize::from(self.len)]
    }
}

/// What a client asks for.
#[derive(Clone, Copy)]
pub enum Asked {
    /// Whether this host is ready.
    Ready,
    Block(Block),
}

/// A block I/O as its client words it.
#[derive(Clone, Copy)]
pub struct Block {
    pub id: Id,
    pub group: u16,
    pub plan: u16,
    pub volume: u64,
    pub piece: u64,
    /// Milliseconds that the client waits.
    pub wait: u64,
    pub units: f64,
    pub shard: Option<u32>,
    pub hosts: u32,
}

/// Why a request is not taken; its client is told, and its connection can go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    NoSuchPath,
    Method,
    Group,
    Plan,
    Address,
    Wait,
    Id,
    Placement,
    Body,
    NoLength,
}

impl Wrong {
    pub fn status(self) -> u16 {
        match self {
            Wrong::NoSuchPath => 404,
            Wrong::Method => 405,
            Wrong::NoLength => 411,
            _ => 400,
        }
    }

    pub fn words(self) -> &'static str {
        match self {
            Wrong::NoSuchPath => "no such path",
            Wrong::Method => "method does not fit",
            Wrong::Group => "no such class, or another one in the path",
            Wrong::Plan => "no such plan",
            Wrong::Address => "volume and piece are 16 hex digits each",
            Wrong::Wait => "X-Timeout-Ms is a whole number above 0",
            Wrong::Id => "one X-Request-ID of 1 to 40 visible characters",
            Wrong::Placement => "X-Placement is units=N,shard=N,hosts=N",
            Wrong::Body => "a read has no body",
            Wrong::NoLength => "a write states its length",
        }
    }
}

fn hex(text: &str) -> Option<u64> {
    let digits = text.len() == DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

fn whole<N: std::str::FromStr>(text: &str) -> Option<N> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// Units, shard (none for a new object) and hosts, each once, in any order.
fn placement(text: &str, largest: f64) -> Option<(f64, Option<u32>, u32)> {
    let (mut units, mut shard, mut hosts) = (None, None, None);
    for part in text.split(',') {
        let (name, value) = part.trim().split_once('=')?;
        let again = match name {
            "units" => units.replace(whole::<u32>(value)?).is_some(),
            "shard" if value == "-1" => shard.replace(None).is_some(),
            "shard" => shard.replace(Some(whole::<u32>(value)?)).is_some(),
            "hosts" => hosts.replace(whole::<u32>(value)?).is_some(),
            _ => false,
        };
        if again {
            return None;
        }
    }
    let units = f64::from(units?);
    let fits = units >= 1.0 && (largest <= 0.0 || units <= largest) && hosts? >= 1;
    fits.then_some((units, shard?, hosts?))
}

/// What a request asks for; `body` bytes came with it.
pub fn read(head: &RequestHead, body: usize, named: &Named) -> Result<Asked, Wrong> {
    let path = head.target.split('?').next().unwrap_or_default();
    let parts = path.strip_prefix('/').ok_or(Wrong::NoSuchPath)?;
    if parts == "ready" {
        return if head.method == "GET" { Ok(Asked::Ready) } else { Err(Wrong::Method) };
    }
    let mut parts = parts.split('/');
    let (Some(group), Some(volume), Some(piece), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(Wrong::NoSuchPath);
    };
    let one = |name, wrong| head.headers.single(name).ok().flatten().ok_or(wrong);
    let id = Id::new(one("X-Request-ID", Wrong::Id)?).ok_or(Wrong::Id)?;
    if one("X-Priority-Class", Wrong::Group)? != group {
        return Err(Wrong::Group);
    }
    let group = named.groups.iter().position(|g| g == group).ok_or(Wrong::Group)?;
    let plan = one("X-Qos-Policy", Wrong::Plan)?;
    let plan = named.plans.iter().position(|p| p == plan).ok_or(Wrong::Plan)?;
    let (volume, piece) = hex(volume).zip(hex(piece)).ok_or(Wrong::Address)?;
    let writes = named.terms.groups[group].writes;
    match head.method {
        "PUT" if writes && !head.states_length() => return Err(Wrong::NoLength),
        "PUT" if writes => {}
        "GET" if !writes && body == 0 => {}
        "GET" if !writes => return Err(Wrong::Body),
        _ => return Err(Wrong::Method),
    }
    let wait = whole::<u64>(one("X-Timeout-Ms", Wrong::Wait)?).ok_or(Wrong::Wait)?;
    if wait == 0 || wait > LONGEST_WAIT {
        return Err(Wrong::Wait);
    }
    let placement = placement(one("X-Placement", Wrong::Placement)?, named.terms.largest);
    let (units, shard, hosts) = placement.ok_or(Wrong::Placement)?;
    let (group, plan) = (group as u16, plan as u16);
    Ok(Asked::Block(Block { id, group, plan, volume, piece, wait, units, shard, hosts }))
}

/// What a node gets as the client worded it, beside method, target and body. The mark of a fingerprinted class is
/// among it: by this a node knows a repeat, the client's own ones too, which come under other ids.
const PASSED_ON: [&str; 7] = [
    "Host",
    "X-Request-ID",
    "X-Priority-Class",
    "X-Qos-Policy",
    "X-Placement",
    "Content-Type",
    "Idempotency-Key",
];

/// What tells a node how long this host waits.
const WAIT: &str = "X-Timeout-Ms: ";

/// The request as a node gets it: what passes on unchanged, the rest worded anew. `wait`: milliseconds that this host
/// waits.
pub fn write(out: &mut Vec<u8>, head: &RequestHead, body: &[u8], wait: u64) {
    let said = "writing to memory";
    write!(out, "{} {} HTTP/1.1\r\n{WAIT}{wait}\r\n", head.method, head.target).expect(said);
    for name in PASSED_ON {
        if let Ok(Some(value)) = head.headers.single(name) {
            write!(out, "{name}: {value}\r\n").expect(said);
        }
    }
    if head.states_length() {
        write!(out, "Content-Length: {}\r\n", body.len()).expect(said);
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

/// Tells another wait in a request that was written and has not begun to go out: it may have waited itself.
pub fn write_wait(out: &mut Vec<u8>, wait: u64) {
    let line = |from: usize| out[from..].windows(2).position(|w| w == b"\r\n").map(|at| from + at);
    let Some(from) = line(0).map(|end| end + 2) else { return };
    if let Some(end) = line(from).filter(|end| out[from..*end].starts_with(WAIT.as_bytes())) {
        drop(out.splice(from + WAIT.len()..end, wait.to_string().into_bytes()));
    }
}
