//! The error of a change that is rejected.
use super::model::{LayerId, Location};

/// Why a change cannot be applied to the tree. Operators read these texts on the control socket.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// No volume or clone has this name.
    #[error("`{0}`: no such volume or clone")]
    NoSuchBranch(String),
    /// No snapshot has this name, or the snapshot of this name is one of another branch.
    #[error("`{0}`: no such snapshot")]
    NoSuchSnapshot(String),
    /// Another branch or snapshot has this name.
    #[error("`{0}`: the name is in use")]
    NameInUse(String),
    /// The name is empty, too long, or has a character that is not allowed.
    #[error("`{0}`: expected 1 to 64 letters, digits and -_.")]
    InvalidName(String),
    /// The layer was removed or never existed.
    #[error("layer {0}: no such layer")]
    NoSuchLayer(LayerId),
    /// The state of the layer does not allow the change, for instance a new location in a frozen layer.
    #[error("layer {0}: takes no new places")]
    LayerNotAccepting(LayerId),
    /// The extent already has this location, which another host was first to propose.
    #[error("the extent lies at node {}, place {}", .0.node, .0.slot)]
    AlreadyPlaced(Location),
    /// The extent is beyond the end of the branch, or the slot was never allocated.
    #[error("past the end")]
    OutOfRange,
    /// The branch that is to be deleted still has this snapshot.
    #[error("`{0}`: still in use")]
    StillInUse(String),
    /// All layer ids have been assigned.
    #[error("no layer numbers are left")]
    LayerIdsExhausted,
}
