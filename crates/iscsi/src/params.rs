//! Operational parameters and how they are negotiated (RFC 7143, section 13).
use crate::frame::Digests;
use crate::text;

/// What holds on a connection once login is over. Lengths in bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Params {
    pub digests: Digests,
    /// Longest data segment this side takes, and the other side takes.
    pub max_recv_data_segment: usize,
    pub max_send_data_segment: usize,
    pub initial_r2t: bool,
    pub immediate_data: bool,
    pub max_burst_len: usize,
    pub first_burst_len: usize,
    pub time2wait: u16,
    pub time2retain: u16,
    /// iSCSIProtocolLevel (RFC 7144): from 2 on, the status qualifier of a response counts.
    pub level: u8,
}

/// Until a key says otherwise (section 13): what an unspoken `MaxRecvDataSegmentLength` means.
pub const RECV_DEFAULT: usize = 8192;
const LENGTH_RANGE: std::ops::RangeInclusive<usize> = 512..=0xff_ffff;

impl Default for Params {
    fn default() -> Self {
        Params {
            digests: Digests::default(),
            max_recv_data_segment: 64 * 1024,
            max_send_data_segment: RECV_DEFAULT,
            initial_r2t: true,
            immediate_data: true,
            max_burst_len: 256 * 1024,
            first_burst_len: 64 * 1024,
            time2wait: 2,
            time2retain: 0,
            level: 1,
        }
    }
}

/// What this side would like.
#[derive(Clone, Copy, Debug)]
pub struct ProposedParams {
    pub digests: Digests,
    pub max_recv_data_segment: usize,
    pub max_burst_len: usize,
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

fn yes_no(value: &str) -> Result<bool, String> {
    match value {
        "Yes" => Ok(true),
        "No" => Ok(false),
        _ => Err("expected Yes or No".into()),
    }
}

fn length(value: &str) -> Result<usize, String> {
    let digits = |text: &str, radix| usize::from_str_radix(text, radix).ok();
    let n = match value.strip_prefix("0x").or_else(|| value.strip_prefix("0X")) {
        Some(hex) => digits(hex, 16),
        None => digits(value, 10),
    };
    n.filter(|n| LENGTH_RANGE.contains(n)).ok_or_else(|| "expected 512 to 16777215".into())
}

fn small(value: &str, most: u16) -> Result<u16, String> {
    value.parse().ok().filter(|n| *n <= most).ok_or_else(|| format!("expected 0 to {most}"))
}

fn word(yes: bool) -> &'static str {
    if yes { "Yes" } else { "No" }
}

impl Params {
    pub fn wishing(wishes: &ProposedParams) -> Self {
        Params { max_recv_data_segment: wishes.max_recv_data_segment, ..Params::default() }
    }

    /// A target's part: takes one key of the initiator, writes the answer. Keys of login itself (names,
    /// session type, authentication) are the caller's. Error: what was expected of the value.
    pub fn answer(
        &mut self,
        wishes: &ProposedParams,
        key: &str,
        value: &str,
        out: &mut Vec<u8>,
    ) -> Result<(), String> {
        let wrong = |what: String| format!("{key}={value}: {what}");
        match key {
            "HeaderDigest" | "DataDigest" => {
                let wanted = if key == "HeaderDigest" { wishes.digests.header } else { wishes.digests.data };
                // The initiator's list is in its order of preference; ours may only ask for more care.
                let crc = value.split(',').any(|v| v == "CRC32C");
                let none = value.split(',').any(|v| v == "None");
                let first = value.split(',').next() == Some("CRC32C");
                let on = crc && (wanted || first || !none);
                if !on && !none {
                    text::put(out, key, "Reject");
                    return Err(wrong("expected CRC32C or None".into()));
                }
                let place =
                    if key == "HeaderDigest" { &mut self.digests.header } else { &mut self.digests.data };
                *place = on;
                text::put(out, key, if on { "CRC32C" } else { "None" });
            }
            "MaxRecvDataSegmentLength" => self.max_send_data_segment = length(value).map_err(wrong)?,
            "InitialR2T" => {
                self.initial_r2t = yes_no(value).map_err(wrong)?;
                text::put(out, key, word(self.initial_r2t));
            }
            "ImmediateData" => {
                self.immediate_data = yes_no(value).map_err(wrong)?;
                text::put(out, key, word(self.immediate_data));
            }
            "MaxBurstLength" => {
                self.max_burst_len = length(value).map_err(wrong)?.min(wishes.max_burst_len);
                self.first_burst_len = self.first_burst_len.min(self.max_burst_len);
                text::put(out, key, &self.max_burst_len.to_string());
            }
            "FirstBurstLength" => {
                self.first_burst_len =
                    length(value).map_err(wrong)?.min(wishes.first_burst_len).min(self.max_burst_len);
                text::put(out, key, &self.first_burst_len.to_string());
            }
            "DefaultTime2Wait" => {
                self.time2wait = self.time2wait.max(small(value, 3600).map_err(wrong)?);
                text::put(out, key, &self.time2wait.to_string());
            }
            "DefaultTime2Retain" => {
                self.time2retain = self.time2retain.min(small(value, 3600).map_err(wrong)?);
                text::put(out, key, &self.time2retain.to_string());
            }
            "MaxConnections" | "MaxOutstandingR2T" => {
                small(value, 65535).map_err(wrong)?;
                text::put(out, key, "1");
            }
            "ErrorRecoveryLevel" => {
                small(value, 2).map_err(wrong)?;
                text::put(out, key, "0");
            }
            "DataPDUInOrder" | "DataSequenceInOrder" => {
                yes_no(value).map_err(wrong)?;
                text::put(out, key, "Yes");
            }
            "iSCSIProtocolLevel" => {
                self.level = small(value, 31).map_err(wrong)?.min(2) as u8;
                text::put(out, key, &self.level.to_string());
            }
            "IFMarker" | "OFMarker" => text::put(out, key, "No"),
            _ => text::put(out, key, "NotUnderstood"),
        }
        Ok(())
    }

    /// An initiator's offer.
    pub fn offer(wishes: &ProposedParams, out: &mut Vec<u8>) {
        let digest = |on| if on { "CRC32C,None" } else { "None,CRC32C" };
        text::put(out, "HeaderDigest", digest(wishes.digests.header));
        text::put(out, "DataDigest", digest(wishes.digests.data));
        text::put(out, "MaxRecvDataSegmentLength", &wishes.max_recv_data_segment.to_string());
        text::put(out, "InitialR2T", "No");
        text::put(out, "ImmediateData", "Yes");
        text::put(out, "MaxBurstLength", &wishes.max_burst_len.to_string());
        text::put(out, "FirstBurstLength", &wishes.first_burst_len.to_string());
        text::put(out, "MaxConnections", "1");
        text::put(out, "MaxOutstandingR2T", "1");
        text::put(out, "ErrorRecoveryLevel", "0");
        text::put(out, "DefaultTime2Wait", "0");
        text::put(out, "DefaultTime2Retain", "0");
        text::put(out, "iSCSIProtocolLevel", "2");
    }

    /// An initiator's part: takes one answer of the target. Error: what was expected of the value.
    pub fn accept(&mut self, key: &str, value: &str) -> Result<(), String> {
        let wrong = |what: String| format!("{key}={value}: {what}");
        if matches!(value, "NotUnderstood" | "Irrelevant") {
            return Ok(());
        }
        let crc = |value: &str| match value {
            "CRC32C" => Ok(true),
            "None" => Ok(false),
            _ => Err("expected CRC32C or None".to_owned()),
        };
        match key {
            "HeaderDigest" => self.digests.header = crc(value).map_err(wrong)?,
            "DataDigest" => self.digests.data = crc(value).map_err(wrong)?,
            "MaxRecvDataSegmentLength" => self.max_send_data_segment = length(value).map_err(wrong)?,
            "InitialR2T" => self.initial_r2t = yes_no(value).map_err(wrong)?,
            "ImmediateData" => self.immediate_data = yes_no(value).map_err(wrong)?,
            "MaxBurstLength" => self.max_burst_len = length(value).map_err(wrong)?,
            "FirstBurstLength" => self.first_burst_len = length(value).map_err(wrong)?,
            "iSCSIProtocolLevel" => self.level = small(value, 31).map_err(wrong)? as u8,
            _ => {}
        }
        Ok(())
    }
}
