//! The protocol between hosts and the control service: one JSON object per line. The names in the JSON text must not
//! change: a field or variant that is renamed in the code keeps its JSON name by `serde(rename)`.
use crate::state::State;
use crate::{MilliUnits, Millis};
use serde::{Deserialize, Serialize};

/// A message from a host to the control service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostMessage {
    /// First message on a connection.
    #[serde(rename = "hello")]
    Hello {
        /// Name of the host.
        host: String,
        /// Newest version that the host has, accepted or pending.
        version: u64,
        /// Hash of the log entry that led to this version; [`UNKNOWN_HASH`](crate::change_log::UNKNOWN_HASH) to
        /// request a full snapshot.
        #[serde(rename = "last")]
        last_hash: String,
    },
    /// Accepts a version (ACK): the host acts on it from now on.
    #[serde(rename = "acts-on")]
    Accepted {
        /// The accepted version.
        version: u64,
    },
    /// Rejects a version (NACK): the host continues to act on the last version that it accepted.
    #[serde(rename = "against")]
    Rejected {
        /// The rejected version.
        version: u64,
        /// Why the host cannot act on the version, for operators.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Answers a [`ServiceMessage::QuotaPoll`] with what the host lends and requests.
    #[serde(rename = "report")]
    QuotaReport {
        /// When the poll was sent, by the service's clock.
        #[serde(rename = "asked")]
        polled_at: Millis,
        /// When this report was sent, by the host's clock.
        #[serde(rename = "sent")]
        sent_at: Millis,
        /// The version that the host acts on.
        version: u64,
        /// Reports of the host's volumes that have a limit.
        volumes: Vec<VolumeReport>,
    },
}

/// A host's report of one volume. Serialized as an array: name, lent, requested.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    from = "(String, MilliUnits, MilliUnits)",
    into = "(String, MilliUnits, MilliUnits)"
)]
pub struct VolumeReport {
    /// Name of the volume.
    pub volume: String,
    /// What the host lends of its nominal quota, in thousandths of a unit a second.
    pub lent: MilliUnits,
    /// What the host needs beyond its nominal quota, in thousandths of a unit a second.
    pub requested: MilliUnits,
}

impl From<(String, MilliUnits, MilliUnits)> for VolumeReport {
    fn from((volume, lent, requested): (String, MilliUnits, MilliUnits)) -> Self {
        VolumeReport {
            volume,
            lent,
            requested,
        }
    }
}

impl From<VolumeReport> for (String, MilliUnits, MilliUnits) {
    fn from(report: VolumeReport) -> Self {
        (report.volume, report.lent, report.requested)
    }
}

/// A message from the control service to a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceMessage {
    /// A full snapshot, sent if the host cannot continue its own log with entries of the service's log.
    #[serde(rename = "whole")]
    Snapshot {
        /// All plans and volumes.
        state: Box<State>,
        /// Hash of the log entry that led to the state.
        #[serde(rename = "last")]
        last_hash: String,
    },
    /// The next entry of the change log.
    #[serde(rename = "line")]
    LogEntry {
        /// Text of the entry, as it is stored in the log.
        text: String,
    },
    /// Requests a [`HostMessage::QuotaReport`].
    #[serde(rename = "ask")]
    QuotaPoll {
        /// When the poll was sent, by the service's clock.
        #[serde(rename = "asked")]
        polled_at: Millis,
    },
    /// Answers a [`HostMessage::QuotaReport`] with what the host may use beyond its nominal quota.
    #[serde(rename = "granted")]
    QuotaLeases {
        /// When the report was sent, by the host's clock.
        #[serde(rename = "sent")]
        requested_at: Millis,
        /// Duration of the leases in milliseconds, counted from `requested_at`.
        #[serde(rename = "span")]
        duration: Millis,
        /// The granted leases, at most one for each volume.
        volumes: Vec<VolumeLease>,
    },
}

/// A quota lease for one volume. Serialized as an array: name, amount.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, MilliUnits)", into = "(String, MilliUnits)")]
pub struct VolumeLease {
    /// Name of the volume.
    pub volume: String,
    /// What the host may use beyond its nominal quota, in thousandths of a unit a second.
    pub amount: MilliUnits,
}

impl From<(String, MilliUnits)> for VolumeLease {
    fn from((volume, amount): (String, MilliUnits)) -> Self {
        VolumeLease { volume, amount }
    }
}

impl From<VolumeLease> for (String, MilliUnits) {
    fn from(lease: VolumeLease) -> Self {
        (lease.volume, lease.amount)
    }
}
