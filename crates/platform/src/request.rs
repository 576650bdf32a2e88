//! A client's request as a block I/O, and the same request as bytes for a node.
use crate::settings::PlatformSettings;
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
pub struct RequestId {
    bytes: [u8; ID],
    len: u8,
}

impl RequestId {
    pub fn new(text: &str) -> Option<Self> {
        let fits = (1..=ID).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic());
        let mut bytes = [0; ID];
        bytes.get_mut(..text.len())?.copy_from_slice(text.as_bytes());
        fits.then_some(RequestId { bytes, len: text.len() as u8 })
    }

    pub fn bytes(&self) -> &[u8] {
        &self.bytes[..usize::from(self.len)]
    }
}

/// What a client asks for.
#[derive(Clone, Copy)]
pub enum ClientRequest {
    /// Whether this host is ready.
    Readiness,
    BlockIo(BlockRequest),
}

/// A block I/O as its client words it.
#[derive(Clone, Copy)]
pub struct BlockRequest {
    pub id: RequestId,
    pub io_class: u16,
    pub plan: u16,
    pub volume: u64,
    pub object: u64,
    /// Milliseconds that the client waits.
    pub timeout_ms: u64,
    pub units: f64,
    pub shard: Option<u32>,
    pub host_count: u32,
}

/// Why a request is not taken; its client is told, and its connection can go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    UnknownPath,
    MethodNotAllowed,
    UnknownClass,
    UnknownPlan,
    InvalidAddress,
    InvalidTimeout,
    InvalidRequestId,
    InvalidPlacement,
    UnexpectedBody,
    LengthRequired,
}

impl RequestError {
    pub fn status(self) -> u16 {
        match self {
            RequestError::UnknownPath => 404,
            RequestError::MethodNotAllowed => 405,
            RequestError::LengthRequired => 411,
            _ => 400,
        }
    }

    pub fn message(self) -> &'static str {
        match self {
            RequestError::UnknownPath => "no such path",
            RequestError::MethodNotAllowed => "method does not fit",
            RequestError::UnknownClass => "no such class, or another one in the path",
            RequestError::UnknownPlan => "no such plan",
            RequestError::InvalidAddress => "volume and piece are 16 hex digits each",
            RequestError::InvalidTimeout => "X-Timeout-Ms is a whole number above 0",
            RequestError::InvalidRequestId => "one X-Request-ID of 1 to 40 visible characters",
            RequestError::InvalidPlacement => "X-Placement is units=N,shard=N,hosts=N",
            RequestError::UnexpectedBody => "a read has no body",
            RequestError::LengthRequired => "a write states its length",
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
pub fn parse(
    head: &RequestHead,
    body: usize,
    named: &PlatformSettings,
) -> Result<ClientRequest, RequestError> {
    let path = head.target.split('?').next().unwrap_or_default();
    let parts = path.strip_prefix('/').ok_or(RequestError::UnknownPath)?;
    if parts == "ready" {
        return if head.method == "GET" {
            Ok(ClientRequest::Readiness)
        } else {
            Err(RequestError::MethodNotAllowed)
        };
    }
    let mut parts = parts.split('/');
    let (Some(group), Some(volume), Some(piece), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(RequestError::UnknownPath);
    };
    let one = |name, wrong| head.headers.single(name).ok().flatten().ok_or(wrong);
    let id = RequestId::new(one("X-Request-ID", RequestError::InvalidRequestId)?)
        .ok_or(RequestError::InvalidRequestId)?;
    if one("X-Priority-Class", RequestError::UnknownClass)? != group {
        return Err(RequestError::UnknownClass);
    }
    let group = named.class_names.iter().position(|g| g == group).ok_or(RequestError::UnknownClass)?;
    let plan = one("X-Qos-Policy", RequestError::UnknownPlan)?;
    let plan = named.plan_names.iter().position(|p| p == plan).ok_or(RequestError::UnknownPlan)?;
    let (volume, piece) = hex(volume).zip(hex(piece)).ok_or(RequestError::InvalidAddress)?;
    let writes = named.scheduler.classes[group].writes;
    match head.method {
        "PUT" if writes && !head.declares_body() => return Err(RequestError::LengthRequired),
        "PUT" if writes => {}
        "GET" if !writes && body == 0 => {}
        "GET" if !writes => return Err(RequestError::UnexpectedBody),
        _ => return Err(RequestError::MethodNotAllowed),
    }
    let wait = whole::<u64>(one("X-Timeout-Ms", RequestError::InvalidTimeout)?)
        .ok_or(RequestError::InvalidTimeout)?;
    if wait == 0 || wait > LONGEST_WAIT {
        return Err(RequestError::InvalidTimeout);
    }
    let placement =
        placement(one("X-Placement", RequestError::InvalidPlacement)?, named.scheduler.max_io_units);
    let (units, shard, hosts) = placement.ok_or(RequestError::InvalidPlacement)?;
    let (group, plan) = (group as u16, plan as u16);
    Ok(ClientRequest::BlockIo(BlockRequest {
        id,
        io_class: group,
        plan,
        volume,
        object: piece,
        timeout_ms: wait,
        units,
        shard,
        host_count: hosts,
    }))
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
pub fn write_forwarded(out: &mut Vec<u8>, head: &RequestHead, body: &[u8], wait: u64) {
    let said = "writing to memory";
    write!(out, "{} {} HTTP/1.1\r\n{WAIT}{wait}\r\n", head.method, head.target).expect(said);
    for name in PASSED_ON {
        if let Ok(Some(value)) = head.headers.single(name) {
            write!(out, "{name}: {value}\r\n").expect(said);
        }
    }
    if head.declares_body() {
        write!(out, "Content-Length: {}\r\n", body.len()).expect(said);
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

/// Tells another wait in a request that was written and has not begun to go out: it may have waited itself.
pub fn rewrite_timeout(out: &mut Vec<u8>, wait: u64) {
    let line = |from: usize| out[from..].windows(2).position(|w| w == b"\r\n").map(|at| from + at);
    let Some(from) = line(0).map(|end| end + 2) else { return };
    if let Some(end) = line(from).filter(|end| out[from..*end].starts_with(WAIT.as_bytes())) {
        drop(out.splice(from + WAIT.len()..end, wait.to_string().into_bytes()));
    }
}
