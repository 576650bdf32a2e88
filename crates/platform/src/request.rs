//! A client's request: parsed as a block I/O, and written anew for a node.
use crate::INFALLIBLE;
use crate::settings::PlatformSettings;
use mallowseam_http1::RequestHead;
use std::io::Write;
use std::str::FromStr;
use thiserror::Error;

/// Upper bound of a request id, in bytes. Ids are stored inline.
const MAX_ID_LEN: usize = 40;
/// Hex digits of a volume and of an object in the path.
const ADDRESS_DIGITS: usize = 16;
/// Upper bound of a client's timeout, in milliseconds: an hour, as nothing here lasts minutes. A larger value is taken
/// for an error of the client.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Headers that a node gets as the client sent them. `Idempotency-Key` is among them: by it a node recognizes repeated
/// requests of a class that is idempotent by key, also a client's own retries, which have other request ids.
const FORWARDED_HEADERS: [&str; 7] = [
    "Host",
    "X-Request-ID",
    "X-Priority-Class",
    "X-Qos-Policy",
    "X-Placement",
    "Content-Type",
    "Idempotency-Key",
];
/// The start of the header line that tells a node how long this host waits, in milliseconds.
const TIMEOUT_LINE: &str = "X-Timeout-Ms: ";

/// The id of a request (`X-Request-ID`), the same at clients, hosts and nodes: 1 to 40 visible ASCII characters.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestId {
    bytes: [u8; MAX_ID_LEN],
    len: u8,
}

impl RequestId {
    /// The id with this text, if it is valid.
    #[must_use]
    pub fn new(text: &str) -> Option<Self> {
        let valid =
            (1..=MAX_ID_LEN).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic());
        let mut bytes = [0; MAX_ID_LEN];
        bytes
            .get_mut(..text.len())?
            .copy_from_slice(text.as_bytes());
        valid.then_some(RequestId {
            bytes,
            len: text.len() as u8,
        })
    }

    /// Its text.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[..usize::from(self.len)]
    }
}

/// A client's request.
#[derive(Clone, Copy)]
pub enum ClientRequest {
    /// `GET /ready`: whether this host is ready to serve.
    Readiness,
    /// A read or a write.
    BlockIo(BlockRequest),
}

/// A client's block I/O request. Indices are those of [`PlatformSettings`].
#[derive(Clone, Copy)]
pub struct BlockRequest {
    /// `X-Request-ID`.
    pub id: RequestId,
    /// Index of its I/O class.
    pub io_class: u16,
    /// Index of its volume's plan.
    pub plan: u16,
    /// The volume.
    pub volume: u64,
    /// The object in the volume: the piece of data that it reads or writes.
    pub object: u64,
    /// How long the client waits for the response, in milliseconds.
    pub timeout_ms: u64,
    /// Its size in units.
    pub units: f64,
    /// The shard that holds the data; none for a new object.
    pub shard: Option<u32>,
    /// Through how many hosts the volume is served.
    pub host_count: u32,
}

/// Why a request is rejected. The client is told, and its connection goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{}", self.message())]
pub enum RequestError {
    /// The path is neither `/ready` nor `/CLASS/VOLUME/OBJECT`.
    UnknownPath,
    /// The method does not fit the path or the class.
    MethodNotAllowed,
    /// The class is not in the settings, or header and path name different ones.
    UnknownClass,
    /// The plan is not in the settings.
    UnknownPlan,
    /// Volume or object is not written in 16 hex digits.
    InvalidAddress,
    /// The timeout is absent, 0, or too large.
    InvalidTimeout,
    /// The request id is absent, or too long.
    InvalidRequestId,
    /// The placement is absent or incomplete, or the request too large.
    InvalidPlacement,
    /// A read with a body.
    UnexpectedBody,
    /// A write that does not declare its body.
    LengthRequired,
}

impl RequestError {
    /// The status of the response.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            RequestError::UnknownPath => 404,
            RequestError::MethodNotAllowed => 405,
            RequestError::LengthRequired => 411,
            _ => 400,
        }
    }

    /// The text of the error, which is the body of the response; same as `Display`, without allocating.
    #[must_use]
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

/// Parses a client's request. `body_len`: bytes of its body.
///
/// # Errors
///
/// The request is not one of the users' protocol; the first reason found.
pub fn parse(
    head: &RequestHead,
    body_len: usize,
    settings: &PlatformSettings,
) -> Result<ClientRequest, RequestError> {
    let path = head.target.split('?').next().unwrap_or_default();
    let path = path.strip_prefix('/').ok_or(RequestError::UnknownPath)?;
    if path == "ready" {
        return if head.method == "GET" {
            Ok(ClientRequest::Readiness)
        } else {
            Err(RequestError::MethodNotAllowed)
        };
    }
    let mut segments = path.split('/');
    let (Some(class), Some(volume), Some(object), None) = (
        segments.next(),
        segments.next(),
        segments.next(),
        segments.next(),
    ) else {
        return Err(RequestError::UnknownPath);
    };
    let id = required_header(head, "X-Request-ID", RequestError::InvalidRequestId)?;
    let id = RequestId::new(id).ok_or(RequestError::InvalidRequestId)?;
    let io_class = parse_class(head, class, settings)?;
    let plan = required_header(head, "X-Qos-Policy", RequestError::UnknownPlan)?;
    let plan = settings
        .plan_names
        .iter()
        .position(|p| p == plan)
        .ok_or(RequestError::UnknownPlan)?;
    let (volume, object) = parse_hex(volume)
        .zip(parse_hex(object))
        .ok_or(RequestError::InvalidAddress)?;
    check_method(head, body_len, settings.scheduler.classes[io_class].writes)?;
    let timeout_ms = parse_timeout(head)?;
    let placement = required_header(head, "X-Placement", RequestError::InvalidPlacement)?;
    let placement = Placement::parse(placement, settings.scheduler.max_io_units)
        .ok_or(RequestError::InvalidPlacement)?;
    Ok(ClientRequest::BlockIo(BlockRequest {
        id,
        io_class: io_class as u16,
        plan: plan as u16,
        volume,
        object,
        timeout_ms,
        units: placement.units,
        shard: placement.shard,
        host_count: placement.host_count,
    }))
}

fn required_header<'b>(
    head: &RequestHead<'b>,
    name: &str,
    error: RequestError,
) -> Result<&'b str, RequestError> {
    head.headers.single(name).ok().flatten().ok_or(error)
}

/// The index of the class that both the path and the header name.
fn parse_class(
    head: &RequestHead,
    in_path: &str,
    settings: &PlatformSettings,
) -> Result<usize, RequestError> {
    let unknown = RequestError::UnknownClass;
    if required_header(head, "X-Priority-Class", unknown)? != in_path {
        return Err(unknown);
    }
    settings
        .class_names
        .iter()
        .position(|class| class == in_path)
        .ok_or(unknown)
}

/// Writes of a class that writes are `PUT` with a declared body, all others `GET` without one.
fn check_method(head: &RequestHead, body_len: usize, writes: bool) -> Result<(), RequestError> {
    match head.method {
        "PUT" if writes && !head.declares_body() => Err(RequestError::LengthRequired),
        "PUT" if writes => Ok(()),
        "GET" if !writes && body_len > 0 => Err(RequestError::UnexpectedBody),
        "GET" if !writes => Ok(()),
        _ => Err(RequestError::MethodNotAllowed),
    }
}

fn parse_timeout(head: &RequestHead) -> Result<u64, RequestError> {
    let text = required_header(head, "X-Timeout-Ms", RequestError::InvalidTimeout)?;
    let timeout_ms = parse_integer(text).ok_or(RequestError::InvalidTimeout)?;
    if timeout_ms == 0 || timeout_ms > MAX_TIMEOUT_MS {
        return Err(RequestError::InvalidTimeout);
    }
    Ok(timeout_ms)
}

fn parse_hex(text: &str) -> Option<u64> {
    let valid = text.len() == ADDRESS_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
    valid.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// Digits alone; `FromStr` would accept a sign.
fn parse_integer<N: FromStr>(text: &str) -> Option<N> {
    text.bytes()
        .all(|b| b.is_ascii_digit())
        .then(|| text.parse().ok())
        .flatten()
}

/// The value of `X-Placement`.
struct Placement {
    units: f64,
    /// None for a new object.
    shard: Option<u32>,
    host_count: u32,
}

impl Placement {
    /// Each field once, in any order; unknown ones are ignored. `max_units`: of a block I/O, 0 for no bound.
    fn parse(text: &str, max_units: f64) -> Option<Self> {
        let (mut units, mut shard, mut host_count) = (None, None, None);
        for field in text.split(',') {
            let (name, value) = field.trim().split_once('=')?;
            let repeated = match name {
                "units" => units.replace(parse_integer::<u32>(value)?).is_some(),
                "shard" if value == "-1" => shard.replace(None).is_some(),
                "shard" => shard.replace(Some(parse_integer::<u32>(value)?)).is_some(),
                "hosts" => host_count.replace(parse_integer::<u32>(value)?).is_some(),
                _ => false,
            };
            if repeated {
                return None;
            }
        }
        let (units, shard, host_count) = (f64::from(units?), shard?, host_count?);
        let valid = units >= 1.0 && (max_units <= 0.0 || units <= max_units) && host_count >= 1;
        valid.then_some(Placement {
            units,
            shard,
            host_count,
        })
    }
}

/// Writes a request as a node gets it: method, target, body and the forwarded headers unchanged, the rest anew.
/// `timeout_ms`: how long this host waits, in milliseconds.
///
/// # Panics
///
/// Never: writing to memory does not fail.
pub fn write_forwarded(out: &mut Vec<u8>, head: &RequestHead, body: &[u8], timeout_ms: u64) {
    let (method, target) = (head.method, head.target);
    write!(
        out,
        "{method} {target} HTTP/1.1\r\n{TIMEOUT_LINE}{timeout_ms}\r\n"
    )
    .expect(INFALLIBLE);
    for name in FORWARDED_HEADERS {
        if let Ok(Some(value)) = head.headers.single(name) {
            write!(out, "{name}: {value}\r\n").expect(INFALLIBLE);
        }
    }
    if head.declares_body() {
        write!(out, "Content-Length: {}\r\n", body.len()).expect(INFALLIBLE);
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

/// Replaces the timeout in a request that `write_forwarded` wrote and that has not been sent yet, since some of it has
/// passed by now.
pub fn rewrite_timeout(out: &mut Vec<u8>, timeout_ms: u64) {
    let line_end = |start: usize| {
        out[start..]
            .windows(2)
            .position(|w| w == b"\r\n")
            .map(|i| start + i)
    };
    let Some(start) = line_end(0).map(|end| end + 2) else {
        return;
    };
    let is_timeout = out[start..].starts_with(TIMEOUT_LINE.as_bytes());
    if let Some(end) = line_end(start).filter(|_| is_timeout) {
        drop(out.splice(
            start + TIMEOUT_LINE.len()..end,
            timeout_ms.to_string().into_bytes(),
        ));
    }
}
