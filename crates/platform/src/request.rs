//! A client's request: parsing as a block I/O, and writing for a node.
//!
//! - `error`: reasons for rejecting a request.
//! - `placement`: value of the header `X-Placement`.
//! - `forwarded`: request as it is written to a node.
mod error;
mod forwarded;
mod placement;

pub use error::RequestError;
pub use forwarded::{rewrite_timeout, write_forwarded};

use crate::settings::PlatformSettings;
use mallowseam_http1::RequestHead;
use placement::Placement;
use std::str::FromStr;

/// Maximum length of a request id, in bytes. Ids are stored inline.
const MAX_ID_LEN: usize = 40;
/// Number of hex digits of a volume and of an object in the path.
const ADDRESS_DIGITS: usize = 16;
/// Maximum timeout of a client, in milliseconds: an hour. No request takes minutes, so a larger value is taken for an
/// error of the client.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Id of a request (`X-Request-ID`), the same at clients, hosts and nodes: 1 to 40 visible ASCII characters.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestId {
    bytes: [u8; MAX_ID_LEN],
    len: u8,
}

impl RequestId {
    /// Creates an id from its text. `None`: the text is not a valid id.
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

    /// Returns the id's text as bytes.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[..usize::from(self.len)]
    }
}

/// A client's request.
#[derive(Clone, Copy)]
pub enum ClientRequest {
    /// `GET /ready`: asks whether this host is ready to serve.
    Readiness,
    /// A read or write of a volume.
    BlockIo(BlockRequest),
}

/// A client's block I/O request. Its indices refer to [`PlatformSettings`].
#[derive(Clone, Copy)]
pub struct BlockRequest {
    /// Id of the request (`X-Request-ID`).
    pub id: RequestId,
    /// Index of the I/O class.
    pub io_class: u16,
    /// Index of the volume's plan.
    pub plan: u16,
    /// Id of the volume.
    pub volume: u64,
    /// Id of the object in the volume that is read or written.
    pub object: u64,
    /// Time for which the client waits for the response, in milliseconds.
    pub timeout_ms: u64,
    /// Size of the request in units.
    pub units: f64,
    /// Shard that stores the data. `None`: the object is new.
    pub shard: Option<u32>,
    /// Number of hosts that serve the volume.
    pub host_count: u32,
}

/// Parses a client's request. `body_len`: length of the body in bytes.
///
/// # Errors
///
/// Returns the first error found if the request violates the users' protocol.
pub fn parse(
    head: &RequestHead,
    body_len: usize,
    settings: &PlatformSettings,
) -> Result<ClientRequest, RequestError> {
    let path = head.target.split('?').next().unwrap_or_default();
    let path = path.strip_prefix('/').ok_or(RequestError::UnknownPath)?;
    if path != "ready" {
        return parse_block_io(head, path, body_len, settings).map(ClientRequest::BlockIo);
    }
    if head.method == "GET" {
        Ok(ClientRequest::Readiness)
    } else {
        Err(RequestError::MethodNotAllowed)
    }
}

/// Segments of the path of a block I/O, `CLASS/VOLUME/OBJECT`.
struct BlockPath<'b> {
    class: &'b str,
    volume: &'b str,
    object: &'b str,
}

impl<'b> BlockPath<'b> {
    fn split(path: &'b str) -> Option<Self> {
        let mut segments = path.split('/');
        let path = BlockPath {
            class: segments.next()?,
            volume: segments.next()?,
            object: segments.next()?,
        };
        segments.next().is_none().then_some(path)
    }
}

/// Parses a block I/O. The order of the checks decides which error a client receives.
fn parse_block_io(
    head: &RequestHead,
    path: &str,
    body_len: usize,
    settings: &PlatformSettings,
) -> Result<BlockRequest, RequestError> {
    let path = BlockPath::split(path).ok_or(RequestError::UnknownPath)?;
    let id = parse_id(head)?;
    let io_class = parse_class(head, path.class, settings)?;
    let plan = parse_plan(head, settings)?;
    let volume = parse_hex(path.volume).ok_or(RequestError::InvalidAddress)?;
    let object = parse_hex(path.object).ok_or(RequestError::InvalidAddress)?;
    let class = settings.scheduler.classes.get(io_class);
    let class = class.ok_or(RequestError::UnknownClass)?;
    check_method(head, body_len, class.writes)?;
    let timeout_ms = parse_timeout(head)?;
    let placement = parse_placement(head, settings)?;
    Ok(BlockRequest {
        id,
        io_class: io_class as u16,
        plan: plan as u16,
        volume,
        object,
        timeout_ms,
        units: placement.units,
        shard: placement.shard,
        host_count: placement.host_count,
    })
}

fn required_header<'b>(
    head: &RequestHead<'b>,
    name: &str,
    error: RequestError,
) -> Result<&'b str, RequestError> {
    head.headers.single(name).ok().flatten().ok_or(error)
}

fn parse_id(head: &RequestHead) -> Result<RequestId, RequestError> {
    let text = required_header(head, "X-Request-ID", RequestError::InvalidRequestId)?;
    RequestId::new(text).ok_or(RequestError::InvalidRequestId)
}

/// Returns the index of the plan that the header names.
fn parse_plan(head: &RequestHead, settings: &PlatformSettings) -> Result<usize, RequestError> {
    let name = required_header(head, "X-Qos-Policy", RequestError::UnknownPlan)?;
    let mut plans = settings.plan_names.iter();
    plans
        .position(|plan| plan == name)
        .ok_or(RequestError::UnknownPlan)
}

fn parse_placement(
    head: &RequestHead,
    settings: &PlatformSettings,
) -> Result<Placement, RequestError> {
    let text = required_header(head, "X-Placement", RequestError::InvalidPlacement)?;
    // 0 in the settings: there is no maximum.
    let max_units = Some(settings.scheduler.max_io_units).filter(|units| *units > 0.0);
    Placement::parse(text, max_units).ok_or(RequestError::InvalidPlacement)
}

/// Returns the index of the class that both the path and the header name.
fn parse_class(
    head: &RequestHead,
    class_in_path: &str,
    settings: &PlatformSettings,
) -> Result<usize, RequestError> {
    let unknown = RequestError::UnknownClass;
    if required_header(head, "X-Priority-Class", unknown)? != class_in_path {
        return Err(unknown);
    }
    settings
        .class_names
        .iter()
        .position(|class| class == class_in_path)
        .ok_or(unknown)
}

/// Checks method and body: a class that writes requires `PUT` with a declared body, any other class `GET` without a
/// body.
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

/// Parses a number that consists of digits only; `FromStr` alone would accept a sign.
fn parse_integer<N: FromStr>(text: &str) -> Option<N> {
    text.bytes()
        .all(|b| b.is_ascii_digit())
        .then(|| text.parse().ok())
        .flatten()
}
