//! Ids of the parts of a command.
use mallowseam_scheduler::interface::BioId;
use std::rc::Rc;

/// Ids of the parts of a command, in order. Most commands have a single part, whose id takes no allocation.
#[derive(Clone, Default)]
pub(super) enum PartIds {
    /// The parts are not added yet.
    #[default]
    None,
    /// The command has one part.
    One(BioId),
    /// The command has several parts.
    Many(Rc<[BioId]>),
}

impl PartIds {
    /// Returns the ids as a slice.
    pub(super) fn as_slice(&self) -> &[BioId] {
        match self {
            PartIds::None => &[],
            PartIds::One(id) => std::slice::from_ref(id),
            PartIds::Many(ids) => ids,
        }
    }
}
