//! The tree of snapshots and clones on disk, in `redb`: each layer, place, branch and snapshot has a row of its own,
//! and each batch of changes writes those rows that it touches, in one transaction. What `keep` has returned
//! for is there after any crash, and nothing that it has not been given. Opening reads the rows once.
use mallowseam_cow::tree::{Change, Layer, LayerId, Place, Plain, Refused, Touched, Tree};
use redb::{
    Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, Table, TableDefinition,
    WriteTransaction,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::hash::{BuildHasher, Hasher};
use std::path::Path;

mod before;

/// Format of the store, by which a later program knows an older file.
const FORMAT: u64 = 2;
const FORMATS: TableDefinition<&str, u64> = TableDefinition::new("format");
/// The catalog's own number, the tree's version, layers and units made.
const COUNTS: TableDefinition<&str, u64> = TableDefinition::new("counts");
const LAYERS: TableDefinition<LayerId, &[u8]> = TableDefinition::new("layers");
/// Node, number, and whether it may be written, by layer and extent.
const PLACES: TableDefinition<(LayerId, u32), (u32, u32, bool)> = TableDefinition::new("places");
const BRANCHES: TableDefinition<&str, &[u8]> = TableDefinition::new("branches");
const SNAPSHOTS: TableDefinition<&str, &[u8]> = TableDefinition::new("snapshots");
/// Changes that are remembered for hosts that were away for a moment: some seconds of first writes.
const RECENT: usize = 4_096;

#[derive(Debug)]
pub enum Fault {
    /// The store itself failed or cannot be read.
    Store(String),
    /// What the store holds does not fit together.
    Damaged(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Store(what) => write!(f, "catalog store: {what}"),
            Fault::Damaged(what) => write!(f, "catalog store is damaged: {what}"),
        }
    }
}

fn store(e: impl fmt::Display) -> Fault {
    Fault::Store(e.to_string())
}

fn damaged(e: impl fmt::Display) -> Fault {
    Fault::Damaged(e.to_string())
}

#[derive(Debug)]
pub struct Catalog {
    db: Database,
    id: u64,
    tree: Tree,
    /// The version that is on disk.
    kept: u64,
    /// Changes made since, and the rows that they touch.
    pending: Vec<Change>,
    rows: Rows,
    recent: VecDeque<Change>,
    /// A write failed halfway: what is on disk may be more than what is known here.
    unsure: bool,
}

/// Rows to be written as the tree has them by then.
#[derive(Debug, Default)]
struct Rows {
    layers: BTreeSet<LayerId>,
    places: BTreeSet<(LayerId, u32)>,
    branches: BTreeSet<String>,
    snapshots: BTreeSet<String>,
}

impl Rows {
    fn add(&mut self, touched: &Touched) {
        self.layers.extend(&touched.layers);
        self.places.extend(&touched.places);
        self.branches.extend(touched.branches.iter().cloned());
        self.snapshots.extend(touched.snapshots.iter().cloned());
    }

    fn all(tree: &Tree) -> Rows {
        let places = tree.layers.iter().flat_map(|(id, l)| l.places.keys().map(|e| (*id, *e)));
        Rows {
            layers: tree.layers.keys().copied().collect(),
            places: places.collect(),
            branches: tree.branches.keys().cloned().collect(),
            snapshots: tree.snapshots.keys().cloned().collect(),
        }
    }

    fn write(&self, write: &WriteTransaction, tree: &Tree) -> Result<(), Fault> {
        let mut counts = write.open_table(COUNTS).map_err(store)?;
        let (made, units) = tree.made();
        for (name, value) in [("version", tree.version), ("made", made.into()), ("units", units.into())] {
            counts.insert(name, value).map_err(store)?;
        }
        let mut layers = write.open_table(LAYERS).map_err(store)?;
        for id in &self.layers {
            match tree.layers.get(id) {
                Some(l) => {
                    let row = (l.parent, l.frozen, l.next_number, &l.closed);
                    let bytes = serde_json::to_vec(&row).map_err(store)?;
                    layers.insert(id, bytes.as_slice()).map_err(store)?;
                }
                None => drop(layers.remove(id).map_err(store)?),
            }
        }
        let mut places = write.open_table(PLACES).map_err(store)?;
        for at in &self.places {
            let layer = tree.layers.get(&at.0);
            match layer.and_then(|l| Some((l.places.get(&at.1)?, l.opened.contains(&at.1)))) {
                Some((p, opened)) => drop(places.insert(at, (p.node, p.number, opened)).map_err(store)?),
                None => drop(places.remove(at).map_err(store)?),
            }
        }
        let mut branches = write.open_table(BRANCHES).map_err(store)?;
        for name in &self.branches {
            named(&mut branches, name, tree.branches.get(name))?;
        }
        let mut snapshots = write.open_table(SNAPSHOTS).map_err(store)?;
        for name in &self.snapshots {
            named(&mut snapshots, name, tree.snapshots.get(name))?;
        }
        Ok(())
    }
}

fn named<T: serde::Serialize>(
    table: &mut Table<'_, &str, &[u8]>,
    name: &str,
    value: Option<&T>,
) -> Result<(), Fault> {
    match value {
        Some(value) => {
            let bytes = serde_json::to_vec(value).map_err(store)?;
            table.insert(name, bytes.as_slice()).map_err(store)?;
        }
        None => drop(table.remove(name).map_err(store)?),
    }
    Ok(())
}

impl Catalog {
    /// Opens a store, new if there is none.
    pub fn open(path: &Path) -> Result<Catalog, Fault> {
        Catalog::read(Builder::new().create(path).map_err(store)?)
    }

    pub fn open_on(backend: impl StorageBackend) -> Result<Catalog, Fault> {
        Catalog::read(Builder::new().create_with_backend(backend).map_err(store)?)
    }

    fn read(db: Database) -> Result<Catalog, Fault> {
        // Tables and format in one step: a store is either empty or whole.
        let start = db.begin_write().map_err(store)?;
        {
            let mut formats = start.open_table(FORMATS).map_err(store)?;
            let found = formats.get("catalog").map_err(store)?.map(|f| f.value());
            let older = match found {
                Some(FORMAT) => None,
                None => Some(Tree::default()),
                Some(before::FORMAT) => Some(before::take(&start)?),
                Some(other) => return Err(damaged(format!("format {other}, expected {FORMAT}"))),
            };
            if let Some(tree) = older {
                Rows::all(&tree).write(&start, &tree)?;
                formats.insert("catalog", FORMAT).map_err(store)?;
                // Not to be told by time or place: two stores that are made at once differ.
                let id = std::collections::hash_map::RandomState::new().build_hasher().finish().max(1);
                let mut counts = start.open_table(COUNTS).map_err(store)?;
                counts.insert("catalog", id).map_err(store)?;
            }
        }
        start.commit().map_err(store)?;
        let (id, tree) = Catalog::rows(&db)?;
        let faults = tree.faults();
        if !faults.is_empty() {
            return Err(Fault::Damaged(faults.join("; ")));
        }
        let (kept, pending) = (tree.version, Vec::new());
        let (rows, recent) = (Rows::default(), VecDeque::new());
        Ok(Catalog { db, id, tree, kept, pending, rows, recent, unsure: false })
    }

    fn rows(db: &Database) -> Result<(u64, Tree), Fault> {
        let read = db.begin_read().map_err(store)?;
        let counts = read.open_table(COUNTS).map_err(store)?;
        let count = |name: &str| {
            let found = counts.get(name).map_err(store)?;
            found.map(|v| v.value()).ok_or_else(|| damaged(format!("no count `{name}`")))
        };
        let small = |name| u32::try_from(count(name)?).map_err(damaged);
        let mut plain = Plain {
            version: count("version")?,
            made: small("made")?,
            units: small("units")?,
            ..Plain::default()
        };
        for row in read.open_table(LAYERS).map_err(store)?.iter().map_err(store)? {
            let (id, bytes) = row.map_err(store)?;
            let (parent, frozen, next_number, closed) =
                serde_json::from_slice(bytes.value()).map_err(damaged)?;
            let layer = Layer { parent, frozen, next_number, closed, ..Layer::default() };
            plain.layers.insert(id.value(), layer);
        }
        let mut run: (LayerId, Vec<(u32, Place)>, Vec<u32>) = (0, Vec::new(), Vec::new());
        for row in read.open_table(PLACES).map_err(store)?.iter().map_err(store)? {
            let (at, value) = row.map_err(store)?;
            let ((layer, extent), (node, number, opened)) = (at.value(), value.value());
            if layer != run.0 {
                put(&mut plain, std::mem::replace(&mut run, (layer, Vec::new(), Vec::new())))?;
            }
            run.1.push((extent, Place { node, number }));
            if opened {
                run.2.push(extent);
            }
        }
        put(&mut plain, run)?;
        plain.branches = names(read.open_table(BRANCHES).map_err(store)?)?;
        plain.snapshots = names(read.open_table(SNAPSHOTS).map_err(store)?)?;
        Ok((count("catalog")?, plain.into()))
    }

    /// The number of this catalog: a tree of another one has nothing to do with it.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// The tree with all changes made, kept or not.
    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// The version that is on disk.
    pub fn kept(&self) -> u64 {
        self.kept
    }

    /// Makes a change, which is on disk once `keep` returns. Refused, it changes nothing.
    pub fn propose(&mut self, change: Change) -> Result<Touched, Refused> {
        let touched = self.tree.apply(&change)?;
        self.rows.add(&touched);
        self.pending.push(change);
        Ok(touched)
    }

    /// Puts all changes made on disk, all or none, and returns them with the version of the first. After a
    /// store fault nothing more is taken: whether they are there is known only after opening anew.
    pub fn keep(&mut self) -> Result<(u64, Vec<Change>), Fault> {
        if self.unsure {
            return Err(Fault::Store("an earlier write has failed; open it anew".into()));
        }
        let first = self.kept + 1;
        if self.pending.is_empty() {
            return Ok((first, Vec::new()));
        }
        self.unsure = true;
        let write = self.db.begin_write().map_err(store)?;
        self.rows.write(&write, &self.tree)?;
        write.commit().map_err(store)?;
        self.unsure = false;
        self.kept = self.tree.version;
        self.rows = Rows::default();
        let kept = std::mem::take(&mut self.pending);
        self.recent.extend(kept.iter().cloned());
        self.recent.drain(..self.recent.len().saturating_sub(RECENT));
        Ok((first, kept))
    }

    /// The changes behind a version up to what is on disk, each with its own; none: too long ago, or not of
    /// this catalog.
    pub fn since(&self, version: u64) -> Option<impl Iterator<Item = (u64, &Change)>> {
        let missing = self.kept.checked_sub(version)?;
        let from = self.recent.len().checked_sub(usize::try_from(missing).ok()?)?;
        Some((version + 1..).zip(self.recent.range(from..)))
    }
}

/// Puts the places of a layer in, which came in order.
fn put(plain: &mut Plain, run: (LayerId, Vec<(u32, Place)>, Vec<u32>)) -> Result<(), Fault> {
    let (layer, places, opened) = run;
    if places.is_empty() {
        return Ok(());
    }
    let layer = plain.layers.get_mut(&layer).ok_or_else(|| damaged(format!("places of no layer {layer}")))?;
    (layer.places, layer.opened) = (places.into_iter().collect(), opened.into_iter().collect());
    Ok(())
}

fn names<T: serde::de::DeserializeOwned>(
    table: impl ReadableTable<&'static str, &'static [u8]>,
) -> Result<BTreeMap<String, T>, Fault> {
    let mut found = BTreeMap::new();
    for row in table.iter().map_err(store)? {
        let (name, bytes) = row.map_err(store)?;
        found.insert(name.value().to_owned(), serde_json::from_slice(bytes.value()).map_err(damaged)?);
    }
    Ok(found)
}
