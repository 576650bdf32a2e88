//! A write of several parts, with regard to cuts: a snapshot contains all of it or none.
//!
//! Parts in different extents may be written to different layers when a cut comes between them. A part may not follow
//! into a newer layer while another may still be written to the older one, nor after one has been, unless the catalog
//! permits it. It does if no snapshot has been granted in between, and restarts a cut that is still pending once the write is
//! complete. The permission is for one layer: after the next cut it has to be requested again. Until a host has no
//! such write in flight, it delays a grant. While a cut is pending a host begins no such write; otherwise each
//! restarted cut could be delayed by the next one.
use crate::Millis;
use crate::tree::LayerId;
use crate::tree_replica::RESEND_AFTER;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Permission {
    #[default]
    NotNeeded,
    Requested {
        at: Millis,
        into: LayerId,
    },
    Granted {
        into: LayerId,
    },
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
        if let (true, Permission::Requested { into, .. }) =
            (self.oldest_layer == Some(layer), self.permission)
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
