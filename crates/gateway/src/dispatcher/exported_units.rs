//! The units that clients see: volumes of the configuration, and their snapshots and clones.
use super::{Dispatcher, Volume};
use mallowseam_cow::tree::Tree;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A logical unit.
#[derive(Clone)]
pub(super) struct ExportedUnit {
    /// Index of the volume that it is, or that it is a snapshot or clone of.
    pub(super) volume: usize,
    pub(super) lun: u32,
    /// The branch or snapshot that it shows, where the catalog knows its locations.
    pub(super) branch: Option<Rc<str>>,
    pub(super) writable: bool,
}

impl Dispatcher {
    /// The unit of a LUN.
    pub(super) fn find_unit(&mut self, lun: u32) -> Option<ExportedUnit> {
        if let Some(volume) = self.volumes.iter().position(|volume| volume.lun == lun) {
            let branch = self.volumes[volume].branch.clone();
            return Some(ExportedUnit {
                volume,
                lun,
                branch,
                writable: true,
            });
        }
        self.update_units();
        self.units.get(&lun).cloned()
    }

    /// Takes snapshots and clones from the tree, if that has changed.
    pub(super) fn update_units(&mut self) {
        let Some(tree) = self
            .catalog
            .as_ref()
            .and_then(|catalog| catalog.replica.tree())
        else {
            return;
        };
        if self.units_version != Some(tree.version) {
            self.units_version = Some(tree.version);
            self.units = snapshots_and_clones(&self.volumes, tree);
        }
    }
}

fn snapshots_and_clones(volumes: &[Volume], tree: &Tree) -> BTreeMap<u32, ExportedUnit> {
    let mut units = BTreeMap::new();
    for (name, snapshot) in &tree.snapshots {
        if let Some(volume) = volume_of(volumes, tree, &snapshot.branch) {
            let (lun, branch) = (snapshot.lun, Some(name.as_str().into()));
            units.insert(
                lun,
                ExportedUnit {
                    volume,
                    lun,
                    branch,
                    writable: false,
                },
            );
        }
    }
    for (name, branch) in tree
        .branches
        .iter()
        .filter(|(_, branch)| branch.origin.is_some())
    {
        if let Some(volume) = volume_of(volumes, tree, name) {
            let (lun, branch) = (branch.lun, Some(name.as_str().into()));
            units.insert(
                lun,
                ExportedUnit {
                    volume,
                    lun,
                    branch,
                    writable: true,
                },
            );
        }
    }
    units
}

/// The volume that a branch descends from, directly or through clones of clones.
fn volume_of(volumes: &[Volume], tree: &Tree, branch: &str) -> Option<usize> {
    let mut name = branch;
    for _ in 0..=tree.branches.len() {
        if let Some(volume) = volumes
            .iter()
            .position(|volume| volume.branch.as_deref() == Some(name))
        {
            return Some(volume);
        }
        name = tree
            .branches
            .get(name)?
            .origin
            .as_deref()?
            .split('@')
            .next()?;
    }
    None
}
