//! The protocol between hosts and the control service: one JSON object a line. The names in the JSON text are
//! fixed by `serde(rename)`; what a field is called here may change, what it is called there may not.
use crate::state::State;
use crate::{MilliUnits, Millis};
use serde::{Deserialize, Serialize};

/// A message from a host to the control service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostMessage {
    /// Opens a connection.
    #[serde(rename = "hello")]
    Hello {
        /// Name of the host.
        host: String,
        /// Newest version that the host has.
        version: u64,
        /// Hash of the log entry that led to this version; [`UNKNOWN_HASH`](crate::change_log::UNKNOWN_HASH) to request a full snapshot.
        #[serde(rename = "last")]
        last_hash: String,
    },
    /// The host has accepted a version (ACK) and acts on it from now on.
    #[serde(rename = "acts-on")]
    Accepted {
        /// The version.
        version: u64,
    },
    /// The host has rejected a version (NACK) and continues with the one before.
    #[serde(rename = "against")]
    Rejected {
        /// The version.
        version: u64,
        /// Why the host cannot act on it, for operators.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Answers [`ServiceMessage::QuotaPoll`].
    #[serde(rename = "report")]
    QuotaReport {
        /// The poll's own time, by the service's clock.
        #[serde(rename = "asked")]
        polled_at: Millis,
        /// When this report was sent, by the host's clock.
        #[serde(rename = "sent")]
        sent_at: Millis,
        /// The version that the host acts on.
        version: u64,
        /// The host's volumes that have a limit.
        volumes: Vec<VolumeReport>,
    },
}

/// What a host reports of one volume. Written as an array: name, lent, requested.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    from = "(String, MilliUnits, MilliUnits)",
    into = "(String, MilliUnits, MilliUnits)"
)]
pub struct VolumeReport {
    /// Name of the volume.
    pub volume: String,
    /// What the host lends of its nominal quota.
    pub lent: MilliUnits,
    /// What the host needs beyond its nominal quota.
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
    /// A full snapshot, sent where the log that the host has does not lead to the service's.
    #[serde(rename = "whole")]
    Snapshot {
        /// The state.
        state: Box<State>,
        /// Hash of the log entry that led to it.
        #[serde(rename = "last")]
        last_hash: String,
    },
    /// The next entry of the change log.
    #[serde(rename = "line")]
    LogEntry {
        /// The text of the entry, as it is in the log.
        text: String,
    },
    /// Asks for a [`HostMessage::QuotaReport`].
    #[serde(rename = "ask")]
    QuotaPoll {
        /// When it was sent, by the service's clock.
        #[serde(rename = "asked")]
        polled_at: Millis,
    },
    /// Answers a report with what the host may use beyond its nominal quota.
    #[serde(rename = "granted")]
    QuotaLeases {
        /// When the report was sent, by the host's clock.
        #[serde(rename = "sent")]
        requested_at: Millis,
        /// How long the leases last from then on.
        #[serde(rename = "span")]
        duration: Millis,
        /// The volumes for which there is a lease.
        volumes: Vec<VolumeLease>,
    },
}

/// A quota lease for one volume. Written as an array: name, amount.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, MilliUnits)", into = "(String, MilliUnits)")]
pub struct VolumeLease {
    /// Name of the volume.
    pub volume: String,
    /// What may be used beyond the nominal quota, in thousandths of a unit a second.
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
