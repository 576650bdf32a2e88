//! The problem. Rates are whole thousandths of a unit a second, so that nothing is rounded.
use std::collections::BTreeSet;
use std::fmt;

/// Largest rate, price, cost and size: sums over thousands of volumes stay far inside 128 bits.
pub const MOST: u64 = 1_000_000_000_000;
/// Nodes that one volume may lie on, at most; rates are scaled so that each number up to it divides them.
pub const SPREAD_MOST: usize = 8;
/// Least common multiple of 1 to `SPREAD_MOST`.
pub const SCALE: i128 = 840;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Node {
    pub name: String,
    pub zone: String,
    /// Units that it does, in thousandths a second.
    pub capacity: u64,
    /// Of using it at all.
    pub cost: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Volume {
    pub name: String,
    pub reserve: u64,
    /// Its reserve may be chosen up to this; what is less than the reserve leaves no choice.
    pub reserve_most: u64,
    /// What it may use at most, over all hosts; 0: no limit.
    pub limit: u64,
    /// All that it asks for in a surge, its reserve among it.
    pub surge: u64,
    pub weight: u64,
    /// Factor of its gain, in thousandths.
    pub price: u64,
    /// Nodes that its data is spread over, evenly.
    pub spread: usize,
    /// Its reserve must fit with any one of its nodes away, or with any one zone away.
    pub survives_node: bool,
    pub survives_zone: bool,
    /// No two of its nodes in one zone.
    pub apart: bool,
    /// Only in this zone.
    pub zone: Option<String>,
    /// Data in all, in any unit, and the nodes it lies on today.
    pub size: u64,
    pub today: BTreeSet<String>,
}

/// A host, with what it sends of each volume.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Host {
    pub name: String,
    pub sends: std::collections::BTreeMap<String, u64>,
}

/// What is wrong with a problem: whose, and what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wrong {
    pub name: String,
    pub expected: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}`: expected {}", self.name, self.expected)
    }
}

/// A sound problem, nodes and volumes in order of their names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Problem {
    pub nodes: Vec<Node>,
    pub volumes: Vec<Volume>,
    /// They decide nothing of a placement; limits are dealt to them.
    pub hosts: Vec<Host>,
}

impl Problem {
    /// Checks a problem and puts it in order. Errors: all that is wrong.
    pub fn new(mut nodes: Vec<Node>, mut volumes: Vec<Volume>) -> Result<Problem, Vec<Wrong>> {
        nodes.sort_by(|a, b| a.name.cmp(&b.name));
        volumes.sort_by(|a, b| a.name.cmp(&b.name));
        let mut wrong = Vec::new();
        let mut add = |name: &str, expected: &str| {
            wrong.push(Wrong { name: name.to_owned(), expected: expected.to_owned() });
        };
        for pair in nodes.windows(2).filter(|p| p[0].name == p[1].name) {
            add(&pair[0].name, "one node of this name");
        }
        for pair in volumes.windows(2).filter(|p| p[0].name == p[1].name) {
            add(&pair[0].name, "one volume of this name");
        }
        for n in &nodes {
            if n.capacity.max(n.cost) > MOST {
                add(&n.name, "numbers up to a million million");
            }
        }
        for v in &volumes {
            if [v.reserve, v.reserve_most, v.limit, v.surge, v.weight, v.price, v.size]
                .iter()
                .any(|n| *n > MOST)
            {
                add(&v.name, "numbers up to a million million");
            }
            if v.spread == 0 || v.spread > SPREAD_MOST {
                add(&v.name, "a spread of 1 to 8 nodes");
            }
            if v.surge < v.reserve {
                add(&v.name, "a surge of at least the reserve");
            }
            if v.survives_node && v.spread < 2 {
                add(&v.name, "a spread of at least 2, since it survives the loss of a node");
            }
            if v.zone.as_ref().is_some_and(|z| !nodes.iter().any(|n| n.zone == *z)) {
                add(&v.name, "a zone that some node is in");
            }
            if let Some(gone) = v.today.iter().find(|t| !nodes.iter().any(|n| n.name == **t)) {
                add(&v.name, &format!("to lie on nodes of the problem, not on `{gone}`"));
            }
        }
        if wrong.is_empty() { Ok(Problem { nodes, volumes, hosts: Vec::new() }) } else { Err(wrong) }
    }

    /// The node sets that a volume's own wishes allow, in order of names.
    pub fn choices(&self, volume: usize, wishes: &dyn Fn(Wish) -> bool) -> Vec<Vec<usize>> {
        let v = &self.volumes[volume];
        let mut all = Vec::new();
        let mut set = Vec::new();
        self.extend(v, volume, wishes, 0, &mut set, &mut all);
        all
    }

    fn extend(
        &self,
        v: &Volume,
        volume: usize,
        wishes: &dyn Fn(Wish) -> bool,
        from: usize,
        set: &mut Vec<usize>,
        all: &mut Vec<Vec<usize>>,
    ) {
        if set.len() == v.spread {
            return all.push(set.clone());
        }
        for n in from..self.nodes.len() {
            let zone = &self.nodes[n].zone;
            let here = v.zone.as_ref().is_none_or(|z| z == zone) || !wishes(Wish::Zone(volume));
            let apart = !v.apart || !wishes(Wish::Apart(volume));
            if here && (apart || set.iter().all(|m| self.nodes[*m].zone != *zone)) {
                set.push(n);
                self.extend(v, volume, wishes, n + 1, set, all);
                set.pop();
            }
        }
    }
}

/// A demand that a placement must meet, and that can be looked at by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wish {
    /// What a node can do.
    Capacity(usize),
    /// A volume's reserve.
    Reserve(usize),
    Zone(usize),
    Apart(usize),
    SurvivesNode(usize),
    SurvivesZone(usize),
}

impl Problem {
    /// All demands of a problem, in order.
    pub fn wishes(&self) -> Vec<Wish> {
        let mut all: Vec<Wish> = (0..self.nodes.len()).map(Wish::Capacity).collect();
        for (i, v) in self.volumes.iter().enumerate() {
            let of = [
                (v.reserve > 0, Wish::Reserve(i)),
                (v.zone.is_some(), Wish::Zone(i)),
                (v.apart, Wish::Apart(i)),
                (v.survives_node, Wish::SurvivesNode(i)),
                (v.survives_zone, Wish::SurvivesZone(i)),
            ];
            all.extend(of.into_iter().filter(|w| w.0).map(|w| w.1));
        }
        all
    }

    /// A demand in words.
    pub fn tell(&self, wish: Wish) -> String {
        match wish {
            Wish::Capacity(n) => {
                let node = &self.nodes[n];
                format!("node {} does {}.{:03}/s", node.name, node.capacity / 1000, node.capacity % 1000)
            }
            Wish::Reserve(v) => {
                let volume = &self.volumes[v];
                let (whole, part) = (volume.reserve / 1000, volume.reserve % 1000);
                format!("volume {} reserves {whole}.{part:03}/s", volume.name)
            }
            Wish::Zone(v) => {
                let volume = &self.volumes[v];
                format!("volume {} lies in zone {}", volume.name, volume.zone.as_deref().unwrap_or("-"))
            }
            Wish::Apart(v) => format!("volume {} has no two nodes in one zone", self.volumes[v].name),
            Wish::SurvivesNode(v) => format!("volume {} survives the loss of a node", self.volumes[v].name),
            Wish::SurvivesZone(v) => format!("volume {} survives the loss of a zone", self.volumes[v].name),
        }
    }
}
