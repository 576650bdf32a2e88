//! Operational parameters and how they are negotiated (section 13).
use crate::frame::Digests;
use crate::text;
use thiserror::Error;

/// `MaxRecvDataSegmentLength` of a side that has not declared one, in bytes (section 13.12).
pub(crate) const DEFAULT_MAX_RECV_DATA_SEGMENT: usize = 8192;
/// Values of the keys that are lengths in bytes (sections 13.12 to 13.14).
const LENGTH_RANGE: std::ops::RangeInclusive<usize> = 512..=0xff_ffff;
/// Largest `DefaultTime2Wait` and `DefaultTime2Retain` in seconds (sections 13.15 and 13.16).
const MAX_TIME: u16 = 3600;
/// Largest `MaxConnections` and `MaxOutstandingR2T` (sections 13.2 and 13.17).
const MAX_COUNT: u16 = 65_535;
/// Largest `ErrorRecoveryLevel` (section 13.20).
const MAX_ERROR_RECOVERY_LEVEL: u16 = 2;
/// Largest `iSCSIProtocolLevel` (RFC 7144).
const MAX_PROTOCOL_LEVEL: u16 = 31;
/// `iSCSIProtocolLevel` from which on responses carry a status qualifier (RFC 7144).
const STATUS_QUALIFIER_LEVEL: u8 = 2;

/// What holds on a connection once its login is complete. Lengths are in bytes, times in seconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SessionParams {
    pub digests: Digests,
    /// Longest data segment that this side accepts.
    pub max_recv_data_segment: usize,
    /// Longest data segment that the other side accepts.
    pub max_send_data_segment: usize,
    pub initial_r2t: bool,
    pub immediate_data: bool,
    pub max_burst_len: usize,
    pub first_burst_len: usize,
    pub time2wait: u16,
    pub time2retain: u16,
    /// `iSCSIProtocolLevel` (RFC 7144).
    pub protocol_level: u8,
}

impl Default for SessionParams {
    fn default() -> Self {
        SessionParams {
            digests: Digests::default(),
            max_recv_data_segment: 64 * 1024,
            max_send_data_segment: DEFAULT_MAX_RECV_DATA_SEGMENT,
            initial_r2t: true,
            immediate_data: true,
            max_burst_len: 256 * 1024,
            first_burst_len: 64 * 1024,
            time2wait: 2,
            time2retain: 0,
            protocol_level: 1,
        }
    }
}

/// What one side proposes in the negotiation of a session. Lengths are in bytes.
#[derive(Clone, Copy, Debug)]
pub struct ProposedParams {
    /// Digests to ask for. A target accepts those that an initiator insists on, too.
    pub digests: Digests,
    /// `MaxRecvDataSegmentLength`: the longest data segment that this side accepts.
    pub max_recv_data_segment: usize,
    /// `MaxBurstLength`: the longest run of data that one R2T asks for.
    pub max_burst_len: usize,
    /// `FirstBurstLength`: the most data that an initiator sends without an R2T.
    pub first_burst_len: usize,
}

impl Default for ProposedParams {
    fn default() -> Self {
        ProposedParams {
            digests: Digests::default(),
            max_recv_data_segment: 256 * 1024,
            max_burst_len: 256 * 1024,
            first_burst_len: 64 * 1024,
        }
    }
}

/// A key whose value is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{key}={value}: {expected}")]
pub struct ParamError {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: String,
    /// What would have been valid.
    pub expected: ExpectedValue,
}

/// The values that are valid for a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ExpectedValue {
    /// A boolean.
    #[error("expected Yes or No")]
    Boolean,
    /// A length in bytes, decimal or hexadecimal.
    #[error("expected {} to {}", LENGTH_RANGE.start(), LENGTH_RANGE.end())]
    Length,
    /// A number from 0 to this one.
    #[error("expected 0 to {0}")]
    UpTo(u16),
    /// A digest that is implemented here.
    #[error("expected CRC32C or None")]
    Digest,
}

fn parse_boolean(value: &str) -> Result<bool, ExpectedValue> {
    match value {
        "Yes" => Ok(true),
        "No" => Ok(false),
        _ => Err(ExpectedValue::Boolean),
    }
}

fn parse_length(value: &str) -> Result<usize, ExpectedValue> {
    let length = match value
        .strip_prefix("0x")
        .or_else(|| value.strip_prefix("0X"))
    {
        Some(digits) => usize::from_str_radix(digits, 16),
        None => value.parse(),
    };
    length
        .ok()
        .filter(|length| LENGTH_RANGE.contains(length))
        .ok_or(ExpectedValue::Length)
}

fn parse_number(value: &str, max: u16) -> Result<u16, ExpectedValue> {
    value
        .parse()
        .ok()
        .filter(|number| *number <= max)
        .ok_or(ExpectedValue::UpTo(max))
}

/// Parses the digest that a target selected.
fn parse_digest(value: &str) -> Result<bool, ExpectedValue> {
    match value {
        "CRC32C" => Ok(true),
        "None" => Ok(false),
        _ => Err(ExpectedValue::Digest),
    }
}

/// Selects from an initiator's list, which is in its order of preference: a digest if either side prefers
/// one, or the initiator accepts nothing else.
fn select_digest(proposed: bool, list: &str) -> Result<bool, ExpectedValue> {
    let has_crc = list.split(',').any(|name| name == "CRC32C");
    let has_none = list.split(',').any(|name| name == "None");
    let prefers_crc = list.split(',').next() == Some("CRC32C");
    let selected = has_crc && (proposed || prefers_crc || !has_none);
    if selected || has_none {
        Ok(selected)
    } else {
        Err(ExpectedValue::Digest)
    }
}

fn boolean_text(value: bool) -> String {
    if value { "Yes" } else { "No" }.to_owned()
}

fn digest_text(enabled: bool) -> String {
    if enabled { "CRC32C" } else { "None" }.to_owned()
}

impl SessionParams {
    /// What holds at the start of a login, by the proposal of this side.
    pub fn before_negotiation(proposal: &ProposedParams) -> Self {
        SessionParams {
            max_recv_data_segment: proposal.max_recv_data_segment,
            ..SessionParams::default()
        }
    }

    /// Whether responses carry a status qualifier.
    pub fn has_status_qualifier(&self) -> bool {
        self.protocol_level >= STATUS_QUALIFIER_LEVEL
    }

    /// At a target: takes one key of the initiator and appends the answer, if the key has one. Keys of login
    /// itself (names, session type, authentication) are the caller's.
    pub fn answer(
        &mut self,
        proposal: &ProposedParams,
        key: &str,
        value: &str,
        out: &mut Vec<u8>,
    ) -> Result<(), ParamError> {
        let answer = self
            .negotiate(proposal, key, value)
            .map_err(|expected| ParamError {
                key: key.to_owned(),
                value: value.to_owned(),
                expected,
            })?;
        if let Some(answer) = answer {
            text::push_pair(out, key, &answer);
        }
        Ok(())
    }

    /// Takes one key and returns its answer; none for a key that is only declared.
    fn negotiate(
        &mut self,
        proposal: &ProposedParams,
        key: &str,
        value: &str,
    ) -> Result<Option<String>, ExpectedValue> {
        let answer = match key {
            "HeaderDigest" => {
                self.digests.header = select_digest(proposal.digests.header, value)?;
                digest_text(self.digests.header)
            }
            "DataDigest" => {
                self.digests.data = select_digest(proposal.digests.data, value)?;
                digest_text(self.digests.data)
            }
            "MaxRecvDataSegmentLength" => {
                self.max_send_data_segment = parse_length(value)?;
                return Ok(None);
            }
            "InitialR2T" => {
                self.initial_r2t = parse_boolean(value)?;
                boolean_text(self.initial_r2t)
            }
            "ImmediateData" => {
                self.immediate_data = parse_boolean(value)?;
                boolean_text(self.immediate_data)
            }
            "MaxBurstLength" => self.negotiate_max_burst(proposal, value)?.to_string(),
            "FirstBurstLength" => self.negotiate_first_burst(proposal, value)?.to_string(),
            "DefaultTime2Wait" => {
                self.time2wait = self.time2wait.max(parse_number(value, MAX_TIME)?);
                self.time2wait.to_string()
            }
            "DefaultTime2Retain" => {
                self.time2retain = self.time2retain.min(parse_number(value, MAX_TIME)?);
                self.time2retain.to_string()
            }
            "iSCSIProtocolLevel" => {
                let offered = parse_number(value, MAX_PROTOCOL_LEVEL)?;
                self.protocol_level = offered.min(STATUS_QUALIFIER_LEVEL.into()) as u8;
                self.protocol_level.to_string()
            }
            _ => answer_fixed(key, value)?.to_owned(),
        };
        Ok(Some(answer))
    }

    fn negotiate_max_burst(
        &mut self,
        proposal: &ProposedParams,
        value: &str,
    ) -> Result<usize, ExpectedValue> {
        self.max_burst_len = parse_length(value)?.min(proposal.max_burst_len);
        self.first_burst_len = self.first_burst_len.min(self.max_burst_len);
        Ok(self.max_burst_len)
    }

    /// The first burst is at most as long as any other (section 13.14).
    fn negotiate_first_burst(
        &mut self,
        proposal: &ProposedParams,
        value: &str,
    ) -> Result<usize, ExpectedValue> {
        let negotiated = parse_length(value)?.min(proposal.first_burst_len);
        self.first_burst_len = negotiated.min(self.max_burst_len);
        Ok(self.first_burst_len)
    }

    /// At an initiator: appends the proposal.
    pub fn offer(proposal: &ProposedParams, out: &mut Vec<u8>) {
        let digest_list = |wanted| if wanted { "CRC32C,None" } else { "None,CRC32C" };
        text::push_pair(out, "HeaderDigest", digest_list(proposal.digests.header));
        text::push_pair(out, "DataDigest", digest_list(proposal.digests.data));
        text::push_pair(
            out,
            "MaxRecvDataSegmentLength",
            &proposal.max_recv_data_segment.to_string(),
        );
        text::push_pair(out, "InitialR2T", "No");
        text::push_pair(out, "ImmediateData", "Yes");
        text::push_pair(out, "MaxBurstLength", &proposal.max_burst_len.to_string());
        text::push_pair(
            out,
            "FirstBurstLength",
            &proposal.first_burst_len.to_string(),
        );
        text::push_pair(out, "MaxConnections", "1");
        text::push_pair(out, "MaxOutstandingR2T", "1");
        text::push_pair(out, "ErrorRecoveryLevel", "0");
        text::push_pair(out, "DefaultTime2Wait", "0");
        text::push_pair(out, "DefaultTime2Retain", "0");
        text::push_pair(out, "iSCSIProtocolLevel", "2");
    }

    /// At an initiator: takes one key of the target's answer.
    pub fn accept_answer(&mut self, key: &str, value: &str) -> Result<(), ParamError> {
        if matches!(value, "NotUnderstood" | "Irrelevant") {
            return Ok(());
        }
        self.apply_answer(key, value)
            .map_err(|expected| ParamError {
                key: key.to_owned(),
                value: value.to_owned(),
                expected,
            })
    }

    fn apply_answer(&mut self, key: &str, value: &str) -> Result<(), ExpectedValue> {
        match key {
            "HeaderDigest" => self.digests.header = parse_digest(value)?,
            "DataDigest" => self.digests.data = parse_digest(value)?,
            "MaxRecvDataSegmentLength" => self.max_send_data_segment = parse_length(value)?,
            "InitialR2T" => self.initial_r2t = parse_boolean(value)?,
            "ImmediateData" => self.immediate_data = parse_boolean(value)?,
            "MaxBurstLength" => self.max_burst_len = parse_length(value)?,
            "FirstBurstLength" => self.first_burst_len = parse_length(value)?,
            "iSCSIProtocolLevel" => {
                self.protocol_level = parse_number(value, MAX_PROTOCOL_LEVEL)? as u8;
            }
            _ => {}
        }
        Ok(())
    }
}

/// A target's answer to keys of which it supports one value only.
fn answer_fixed(key: &str, value: &str) -> Result<&'static str, ExpectedValue> {
    match key {
        "MaxConnections" | "MaxOutstandingR2T" => parse_number(value, MAX_COUNT).map(|_| "1"),
        "ErrorRecoveryLevel" => parse_number(value, MAX_ERROR_RECOVERY_LEVEL).map(|_| "0"),
        "DataPDUInOrder" | "DataSequenceInOrder" => parse_boolean(value).map(|_| "Yes"),
        "IFMarker" | "OFMarker" => Ok("No"),
        _ => Ok("NotUnderstood"),
    }
}
