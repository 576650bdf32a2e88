//! A write of several parts, with regard to cuts: a snapshot contains all of it or none.
//!
//! When a cut comes between the parts of a write, they may be sent to different layers. A part is not sent into a newer
//! layer while another part is in flight to an older one. Once a part has completed in an older layer, the others need
//! the catalog's permission to go to a newer one. The catalog grants it if no snapshot was granted in between, and
//! restarts a pending cut when the write is complete. The permission is for one layer: after the next cut it is
//! requested again.
//!
//! A host with such a write in flight delays the grant of a snapshot. While a cut is pending a host begins no such
//! write; otherwise each restarted cut could be delayed by the next one.
use crate::Millis;
use crate::tree::LayerId;
use crate::tree_replica::RESEND_AFTER;

/// The catalog's permission to go on in a newer layer than that of the parts that have completed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Permission {
    #[default]
    NotNeeded,
    /// It was requested at a time and is not decided.
    Requested { at: Millis, into: LayerId },
    /// Parts may go into this layer.
    Granted { into: LayerId },
    /// No part may be sent any more.
    Refused,
}

/// What may be done with a part of a write now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartAdmission {
    /// Send it.
    Send,
    /// Request the catalog's permission first: parts of the write are in this layer.
    RequestPermission(LayerId),
    /// Not yet.
    Wait,
    /// A snapshot already contains a part of the write: it cannot be completed.
    Reject,
}

/// The state of one write of several parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SplitWrite {
    /// The oldest layer in which a part has completed.
    oldest_layer: Option<LayerId>,
    permission: Permission,
}

impl SplitWrite {
    /// A part has completed in a layer.
    pub fn part_completed(&mut self, layer: LayerId) {
        self.oldest_layer = Some(self.oldest_layer.map_or(layer, |oldest| oldest.min(layer)));
    }

    /// Whether a part may be sent into a layer. `in_flight_elsewhere`: another part is in flight to a different layer.
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

    /// The catalog has decided about writes with parts in a layer.
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

    /// Whether a part of the write is in this layer or an older one.
    #[must_use]
    pub fn started_in_or_before(&self, layer: LayerId) -> bool {
        self.oldest_layer.is_some_and(|oldest| oldest <= layer)
    }
}
