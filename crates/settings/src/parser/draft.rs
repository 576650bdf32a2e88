//! The draft of a configuration, in which sections still refer to each other by name.
use crate::config::{
    Catalog, Direction, Extent, Fleet, Host, IoClass, Node, Plan, PlanService, Volume,
};
use crate::diagnostics::Position;
use crate::tokens::Token;
use std::collections::HashSet;

/// Values of a section, and the position at which it begins.
#[derive(Default)]
pub(crate) struct Located<T> {
    pub(crate) position: Position,
    pub(crate) value: T,
}

#[derive(Default)]
pub(crate) struct Draft {
    pub(crate) host: Option<Located<Host>>,
    pub(crate) fleet: Option<Located<Fleet>>,
    pub(crate) catalog: Option<DraftCatalog>,
    pub(crate) plan_service: Option<PlanService>,
    pub(crate) plans: Vec<Located<Plan>>,
    pub(crate) io_classes: Vec<Located<IoClass>>,
    pub(crate) volumes: Vec<DraftVolume>,
    pub(crate) nodes: Vec<Located<Node>>,
    /// All valid sections in the order of the file.
    pub(crate) opened: Vec<OpenedSection>,
}

#[derive(Default)]
pub(crate) struct DraftCatalog {
    pub(crate) catalog: Catalog,
    pub(crate) copy_class: Option<Token>,
}

#[derive(Default)]
pub(crate) struct DraftVolume {
    pub(crate) position: Position,
    pub(crate) volume: Volume,
    pub(crate) plan: Option<Token>,
    /// Extents, each with the name of its node.
    pub(crate) extents: Vec<(Extent, Token)>,
    pub(crate) rules: Vec<DraftRule>,
}

pub(crate) struct DraftRule {
    pub(crate) position: Position,
    pub(crate) direction: Direction,
    /// Range of blocks that the rule applies to; none if it applies to all blocks.
    pub(crate) range: Option<BlockRange>,
    pub(crate) io_class: Token,
    /// Number of blocks that share an ordering key; 0 if there is no ordering key.
    pub(crate) blocks_per_key: u64,
}

/// Range of blocks, with the first and the last block included.
#[derive(Clone, Copy)]
pub(crate) struct BlockRange {
    pub(crate) first: u64,
    pub(crate) last: u64,
}

/// A section of the file and the names of its directives.
pub(crate) struct OpenedSection {
    pub(crate) position: Position,
    pub(crate) kind: SectionKind,
    pub(crate) directives: HashSet<String>,
}

/// Kind of a section.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum SectionKind {
    Host,
    Fleet,
    Catalog,
    PlanService,
    Plan,
    IoClass,
    Volume,
    Node,
}

impl SectionKind {
    const ALL: [SectionKind; 8] = [
        SectionKind::Host,
        SectionKind::Fleet,
        SectionKind::Catalog,
        SectionKind::PlanService,
        SectionKind::Plan,
        SectionKind::IoClass,
        SectionKind::Volume,
        SectionKind::Node,
    ];

    pub(crate) fn from_keyword(keyword: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.keyword() == keyword)
    }

    /// Returns the keyword that opens a section of this kind.
    pub(crate) fn keyword(self) -> &'static str {
        match self {
            SectionKind::Host => "host",
            SectionKind::Fleet => "fleet",
            SectionKind::Catalog => "catalog",
            SectionKind::PlanService => "tariffs",
            SectionKind::Plan => "plan",
            SectionKind::IoClass => "group",
            SectionKind::Volume => "volume",
            SectionKind::Node => "node",
        }
    }

    /// Whether a name follows the keyword.
    pub(crate) fn is_named(self) -> bool {
        !matches!(
            self,
            SectionKind::Fleet | SectionKind::Catalog | SectionKind::PlanService
        )
    }

    /// Returns the directives that a section of this kind must have.
    pub(crate) fn required_directives(self) -> &'static [&'static str] {
        match self {
            SectionKind::Host => &[
                "listen",
                "target",
                "node-list",
                "window",
                "connections",
                "longest",
            ],
            SectionKind::Fleet => &["hosts", "unit", "mean-units", "largest-units", "submits"],
            SectionKind::Catalog => &["listen", "store", "extent", "copies"],
            SectionKind::PlanService => &["listen", "store"],
            SectionKind::Plan => &[],
            SectionKind::IoClass => &["effect", "goal", "hard-limit"],
            SectionKind::Volume => &["lun", "plan", "blocks", "block-size", "hosts", "rule"],
            SectionKind::Node => &["address", "target"],
        }
    }
}

impl<T> Located<T> {
    fn new(position: Position, value: T) -> Self {
        Located { position, value }
    }
}

impl Draft {
    /// Adds a section with its defaults. Sections without a name ignore it.
    pub(crate) fn add_section(&mut self, kind: SectionKind, name: String, position: Position) {
        match kind {
            SectionKind::Host => self.host = Some(Located::new(position, default_host(name))),
            SectionKind::Fleet => self.fleet = Some(Located::new(position, Fleet::default())),
            SectionKind::Catalog => self.catalog = Some(DraftCatalog::default()),
            SectionKind::PlanService => self.plan_service = Some(PlanService::default()),
            SectionKind::Plan => self.plans.push(Located::new(position, default_plan(name))),
            SectionKind::IoClass => {
                let class = default_io_class(name);
                self.io_classes.push(Located::new(position, class));
            }
            SectionKind::Volume => self.volumes.push(default_volume(name, position)),
            SectionKind::Node => {
                // A node without a directive `shard` holds a shard of its own.
                let shard = self.nodes.len() as u32;
                let node = default_node(name, shard);
                self.nodes.push(Located::new(position, node));
            }
        }
    }

    /// Whether the file already has a section of this kind, and may have only one.
    pub(crate) fn has_single(&self, kind: SectionKind) -> bool {
        match kind {
            SectionKind::Host => self.host.is_some(),
            SectionKind::Fleet => self.fleet.is_some(),
            SectionKind::Catalog => self.catalog.is_some(),
            SectionKind::PlanService => self.plan_service.is_some(),
            SectionKind::Plan | SectionKind::IoClass | SectionKind::Volume | SectionKind::Node => {
                false
            }
        }
    }
}

fn default_host(name: String) -> Host {
    Host {
        name,
        ..Host::default()
    }
}

fn default_plan(name: String) -> Plan {
    Plan {
        name,
        weight: 1.0,
        priority_factor: 1.0,
        ..Plan::default()
    }
}

fn default_io_class(name: String) -> IoClass {
    IoClass {
        name,
        priority_weight: 1.0,
        ..IoClass::default()
    }
}

fn default_volume(name: String, position: Position) -> DraftVolume {
    let volume = Volume {
        name,
        ..Volume::default()
    };
    DraftVolume {
        position,
        volume,
        ..DraftVolume::default()
    }
}

fn default_node(name: String, shard: u32) -> Node {
    Node {
        name,
        shard,
        ..Node::default()
    }
}
