//! Keeps a split write, which is a write that is sent in several parts, atomic with regard to cuts: a snapshot contains
//! all of its parts or none.
//!
//! If a cut happens between the parts of a write, they may be sent to different layers. A part is not sent to a newer
//! layer while another part is in flight to an older one. Once a part has completed in an older layer, the other parts
//! need the catalog's permission to go to a newer layer. The catalog gives permission if no snapshot was granted in
//! between, and restarts a pending cut when the write is complete. The permission is for one layer: after the next cut
//! it is requested again.
//!
//! A host with a split write in flight delays the grant of a snapshot. While a cut is pending, a host begins no split
//! write; otherwise each restarted cut could be delayed by the next split write.
use crate::Millis;
use crate::tree::LayerId;
use crate::tree_replica::RESEND_AFTER;

/// The catalog's permission to send parts to a newer layer than that of the parts that have completed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Permission {
    /// No permission has been needed so far.
    #[default]
    NotNeeded,
    /// The permission was requested at a time, and the catalog has not decided yet.
    Requested { at: Millis, into: LayerId },
    /// Parts may be sent to this layer.
    Granted { into: LayerId },
    /// No part may be sent to a newer layer any more.
    Refused,
}

/// Whether a part of a split write may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartAdmission {
    /// Send the part.
    Send,
    /// Request the catalog's permission first. The layer is the oldest one in which a part of the write has completed.
    RequestPermission(LayerId),
    /// Do not send the part yet.
    Wait,
    /// Reject the write: a snapshot already contains a part of it, so it cannot be completed.
    Reject,
}

/// The state of one split write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SplitWrite {
    /// Oldest layer in which a part has completed.
    oldest_layer: Option<LayerId>,
    permission: Permission,
}

impl SplitWrite {
    /// Records that a part has completed in a layer.
    pub fn part_completed(&mut self, layer: LayerId) {
        self.oldest_layer = Some(self.oldest_layer.map_or(layer, |oldest| oldest.min(layer)));
    }

    /// Decides whether a part may be sent to the layer `into`. `in_flight_elsewhere`: whether another part is in flight
    /// to a different layer.
    #[must_use]
    pub fn admit(
        &mut self,
        into: LayerId,
        in_flight_elsewhere: bool,
        now: Millis,
    ) -> PartAdmission {
        if in_flight_elsewhere {
            return PartAdmission::Wait;
        }
        let Some(older) = self.oldest_layer.filter(|oldest| *oldest != into) else {
            return PartAdmission::Send;
        };
        match self.permission {
            Permission::Granted { into: granted } if granted == into => PartAdmission::Send,
            Permission::Refused => PartAdmission::Reject,
            Permission::Requested {
                at,
                into: requested,
            } if requested == into && now < at + RESEND_AFTER => PartAdmission::Wait,
            _ => {
                self.permission = Permission::Requested { at: now, into };
                PartAdmission::RequestPermission(older)
            }
        }
    }

    /// Records the catalog's decision about writes with parts in a layer.
    pub fn permission_decided(&mut self, layer: LayerId, granted: bool) {
        if self.oldest_layer == Some(layer)
            && let Permission::Requested { into, .. } = self.permission
        {
            self.permission = if granted {
                Permission::Granted { into }
            } else {
                Permission::Refused
            };
        }
    }

    /// Returns whether a part of the write has completed in a layer or an older one.
    #[must_use]
    pub fn started_in_or_before(&self, layer: LayerId) -> bool {
        self.oldest_layer.is_some_and(|oldest| oldest <= layer)
    }
}
