//! Operational parameters and how they are negotiated (section 13).
mod value;

pub use value::ExpectedValue;

use crate::frame::Digests;
use crate::text;
use thiserror::Error;
use value::{
    boolean_text, digest_text, parse_boolean, parse_digest, parse_length, parse_number,
    select_digest,
};

/// `MaxRecvDataSegmentLength` of a side that has not declared one, in bytes (section 13.12).
pub(crate) const DEFAULT_MAX_RECV_DATA_SEGMENT: usize = 8192;
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

impl ParamError {
    fn new(key: &str, value: &str, expected: ExpectedValue) -> ParamError {
        ParamError {
            key: key.to_owned(),
            value: value.to_owned(),
            expected,
        }
    }
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
            .map_err(|expected| ParamError::new(key, value, expected))?;
        if let Some(answer) = answer {
            text::push_pair(out, key, &answer);
        }
        Ok(())
    }

    /// Takes one key and returns its answer; none for a key that is only declared. Longer than other functions, as it
    /// has one arm for each key.
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
            .map_err(|expected| ParamError::new(key, value, expected))
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
