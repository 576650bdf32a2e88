//! Negotiation of operational parameters (section 13).
mod value;

pub use value::ExpectedValue;

use crate::frame::Digests;
use crate::text;
use thiserror::Error;
use value::{
    boolean_text, digest_text, parse_boolean, parse_digest, parse_length, parse_number,
    select_digest,
};

/// `MaxRecvDataSegmentLength` that applies until a side declares its own, in bytes (section 13.12).
pub(crate) const DEFAULT_MAX_RECV_DATA_SEGMENT: usize = 8192;
/// Largest `DefaultTime2Wait` and `DefaultTime2Retain`, in seconds (sections 13.15 and 13.16).
const MAX_TIME: u16 = 3600;
/// Largest `MaxConnections` and `MaxOutstandingR2T` (sections 13.2 and 13.17).
const MAX_COUNT: u16 = 65_535;
/// Largest `ErrorRecoveryLevel` (section 13.20).
const MAX_ERROR_RECOVERY_LEVEL: u16 = 2;
/// Largest `iSCSIProtocolLevel` (RFC 7144).
const MAX_PROTOCOL_LEVEL: u16 = 31;
/// Lowest `iSCSIProtocolLevel` at which responses carry a status qualifier (RFC 7144).
const STATUS_QUALIFIER_LEVEL: u8 = 2;

/// Parameters in effect on a connection once its login is complete. Lengths are in bytes, times in seconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SessionParams {
    pub digests: Digests,
    /// Maximum length of a data segment that this side accepts.
    pub max_recv_data_segment: usize,
    /// Maximum length of a data segment that the peer accepts.
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

/// Parameters that one side proposes in the negotiation of a session. Lengths are in bytes.
#[derive(Clone, Copy, Debug)]
pub struct ProposedParams {
    /// Digests to request. A target also accepts digests that it does not propose, if an initiator prefers or
    /// requires them.
    pub digests: Digests,
    /// `MaxRecvDataSegmentLength`: the maximum length of a data segment that this side accepts.
    pub max_recv_data_segment: usize,
    /// `MaxBurstLength`: the maximum length of data that one R2T requests.
    pub max_burst_len: usize,
    /// `FirstBurstLength`: the maximum length of data that an initiator sends for a command without an R2T.
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

/// Error for a key whose value is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{key}={value}: {expected}")]
pub struct ParamError {
    /// Name of the key.
    pub key: String,
    /// Value that was received.
    pub value: String,
    /// Values that are valid for the key.
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
    /// Returns the parameters in effect at the start of a login, given the proposal of this side.
    pub fn before_negotiation(proposal: &ProposedParams) -> Self {
        SessionParams {
            max_recv_data_segment: proposal.max_recv_data_segment,
            ..SessionParams::default()
        }
    }

    /// Returns whether responses carry a status qualifier.
    pub fn has_status_qualifier(&self) -> bool {
        self.protocol_level >= STATUS_QUALIFIER_LEVEL
    }

    /// Processes one key of the initiator at a target, and appends the answer if the key has one. Keys of the login
    /// itself (names, session type, authentication) are left to the caller.
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

    /// Processes one key and returns its answer, or `None` for a key that is only declared. The function is longer
    /// than others because it has one match arm for each key.
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

    /// Negotiates `MaxBurstLength`, and lowers `FirstBurstLength` to it if necessary.
    fn negotiate_max_burst(
        &mut self,
        proposal: &ProposedParams,
        value: &str,
    ) -> Result<usize, ExpectedValue> {
        self.max_burst_len = parse_length(value)?.min(proposal.max_burst_len);
        self.first_burst_len = self.first_burst_len.min(self.max_burst_len);
        Ok(self.max_burst_len)
    }

    /// Negotiates `FirstBurstLength`, which must not exceed `MaxBurstLength` (section 13.14).
    fn negotiate_first_burst(
        &mut self,
        proposal: &ProposedParams,
        value: &str,
    ) -> Result<usize, ExpectedValue> {
        let negotiated = parse_length(value)?.min(proposal.first_burst_len);
        self.first_burst_len = negotiated.min(self.max_burst_len);
        Ok(self.first_burst_len)
    }

    /// Appends the keys that an initiator proposes.
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

    /// Applies one key of the target's answer at an initiator.
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

/// Returns a target's answer to a key of which it supports only one value, or to a key that it does not know.
fn answer_fixed(key: &str, value: &str) -> Result<&'static str, ExpectedValue> {
    match key {
        "MaxConnections" | "MaxOutstandingR2T" => parse_number(value, MAX_COUNT).map(|_| "1"),
        "ErrorRecoveryLevel" => parse_number(value, MAX_ERROR_RECOVERY_LEVEL).map(|_| "0"),
        "DataPDUInOrder" | "DataSequenceInOrder" => parse_boolean(value).map(|_| "Yes"),
        "IFMarker" | "OFMarker" => Ok("No"),
        _ => Ok("NotUnderstood"),
    }
}
