//! Problem files: sections `node NAME`, `host NAME` and `volume NAME`, as `docs/placement.md` lists them.
use super::error::PlacementError;
use mallowseam_files::text_file::read_text;
use mallowseam_placement::problem::{Host, MAX_NUMBER, Node, Problem, Volume};
use mallowseam_settings::{Arguments, Diagnostics, Position, Token, tokenize};
use std::path::Path;

/// Description of a rate in diagnostics.
pub(super) const RATE: &str = "units a second such as 20/s or 0.125/s";
/// Price of a volume without a directive `price`, in thousandths.
const DEFAULT_PRICE: u64 = 1000;
const NUMBER: &str = "a whole number";
/// Position of diagnostics about the file as a whole.
const TOP: Position = Position { line: 1, column: 1 };

#[derive(Clone, Copy, PartialEq)]
enum Section {
    Node,
    Host,
    Volume,
}

impl Section {
    fn of(word: &str) -> Option<Section> {
        match word {
            "node" => Some(Section::Node),
            "volume" => Some(Section::Volume),
            "host" => Some(Section::Host),
            _ => None,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Section::Node => "node",
            Section::Host => "host",
            Section::Volume => "volume",
        }
    }
}

/// Contents of a problem file, as far as it has been read.
struct Draft {
    /// The section that directives belong to. None before the first section and in an invalid one; of the lines there,
    /// only words after the directive are reported.
    section: Option<Section>,
    nodes: Vec<Node>,
    hosts: Vec<Host>,
    volumes: Vec<Volume>,
    /// Name and position of each section.
    positions: Vec<(String, Position)>,
    problems: Diagnostics,
}

/// Reads a problem file.
pub(super) fn read(file: &Path) -> Result<Problem, PlacementError> {
    let text = read_text(file)?;
    let mut draft = Draft {
        section: None,
        nodes: Vec::new(),
        hosts: Vec::new(),
        volumes: Vec::new(),
        positions: Vec::new(),
        problems: Diagnostics::new(&file.display().to_string()),
    };
    for (index, line) in text.lines().enumerate() {
        let words = tokenize(index + 1, line, &mut draft.problems);
        if words.is_empty() {
            continue;
        }
        if line.starts_with(char::is_whitespace) {
            draft.read_directive(&words);
        } else {
            draft.open_section(&words);
        }
    }
    draft.finish(file)
}

impl Draft {
    fn open_section(&mut self, words: &[Token]) {
        let first = &words[0];
        let section = Section::of(&first.text);
        if section.is_none() {
            let found = format!("`{}`", first.text);
            self.problems
                .add(first.position, "a section: node, volume or host", found);
        }
        self.section = None;
        let mut args = Arguments::new(words, &mut self.problems);
        let name = args.name("a name of letters, digits and -_.:");
        let (Some(section), Some(name)) = (section, name) else {
            return;
        };
        args.expect_end();
        self.section = Some(section);
        self.positions.push((name.text.clone(), first.position));
        self.add(section, name.text, first.position);
    }

    fn add(&mut self, section: Section, name: String, position: Position) {
        match section {
            Section::Node => self.nodes.push(Node {
                name,
                ..Node::default()
            }),
            Section::Host => self.add_host(name, position),
            Section::Volume => self.volumes.push(Volume {
                name,
                weight: 1,
                priority_factor: DEFAULT_PRICE,
                spread: 1,
                ..Volume::default()
            }),
        }
    }

    fn add_host(&mut self, name: String, position: Position) {
        if self.hosts.iter().any(|host| host.name == name) {
            self.problems.add(
                position,
                "a host name that is not in use",
                format!("`{name}`"),
            );
        }
        self.hosts.push(Host {
            name,
            ..Host::default()
        });
    }

    fn read_directive(&mut self, words: &[Token]) {
        let first = &words[0];
        let mut args = Arguments::new(words, &mut self.problems);
        let Some(section) = self.section else {
            return args.expect_end();
        };
        let is_known = match section {
            Section::Node => read_node(last(&mut self.nodes), &first.text, &mut args),
            Section::Host => read_host(last(&mut self.hosts), &first.text, &mut args),
            Section::Volume => read_volume(last(&mut self.volumes), &first.text, &mut args),
        };
        if is_known {
            args.expect_end();
        } else {
            let expected = format!("a directive of section `{}`", section.name());
            self.problems
                .add(first.position, expected, format!("`{}`", first.text));
        }
    }

    /// Returns a volume that a host sends to and that has no section.
    fn unknown_volume_sent(&self) -> Option<&str> {
        let is_unknown = |name: &&String| !self.volumes.iter().any(|volume| volume.name == **name);
        let mut sent = self.hosts.iter().flat_map(|host| host.sends.keys());
        sent.find(is_unknown).map(String::as_str)
    }

    fn finish(mut self, file: &Path) -> Result<Problem, PlacementError> {
        for volume in &mut self.volumes {
            volume.surge_rate = volume.surge_rate.max(volume.reserved_rate);
        }
        if !self.problems.is_empty() {
            return Err(PlacementError::malformed(self.problems));
        }
        self.hosts.sort_by(|a, b| a.name.cmp(&b.name));
        if let Some(volume) = self.unknown_volume_sent() {
            return Err(PlacementError::UnknownVolumeSent {
                file: file.to_owned(),
                volume: volume.to_owned(),
            });
        }
        match Problem::new(self.nodes, self.volumes) {
            Ok(problem) => Ok(Problem {
                hosts: self.hosts,
                ..problem
            }),
            Err(contradictions) => {
                for contradiction in contradictions {
                    let position = self
                        .positions
                        .iter()
                        .find(|(name, _)| *name == contradiction.name);
                    let position = position.map_or(TOP, |(_, at)| *at);
                    self.problems.add(
                        position,
                        contradiction.kind.to_string(),
                        format!("`{}`", contradiction.name),
                    );
                }
                Err(PlacementError::malformed(self.problems))
            }
        }
    }
}

/// Returns the node, host or volume of the open section, which was added when the section began.
fn last<T>(described: &mut [T]) -> &mut T {
    described.last_mut().expect("a section is open")
}

/// Reads a directive of a node; returns false if the directive is unknown.
fn read_node(node: &mut Node, directive: &str, args: &mut Arguments) -> bool {
    match directive {
        "capacity" => node.capacity = args.exact_rate(RATE).unwrap_or(0),
        "cost" => node.cost = args.integer(NUMBER, 0, MAX_NUMBER).unwrap_or(0),
        "zone" => {
            node.zone = args
                .name("a name")
                .map(|word| word.text)
                .unwrap_or_default();
        }
        _ => return false,
    }
    true
}

/// Reads a directive of a host; returns false if the directive is unknown.
fn read_host(host: &mut Host, directive: &str, args: &mut Arguments) -> bool {
    if directive != "sends" {
        return false;
    }
    if let (Some(volume), Some(rate)) = (args.name("the name of a volume"), args.exact_rate(RATE)) {
        host.sends.insert(volume.text, rate);
    }
    true
}

/// Reads a directive of a volume; returns false if the directive is unknown.
fn read_volume(volume: &mut Volume, directive: &str, args: &mut Arguments) -> bool {
    match directive {
        "reserve" => volume.reserved_rate = args.exact_rate(RATE).unwrap_or(0),
        "reserve-most" => volume.max_reserved_rate = args.exact_rate(RATE).unwrap_or(0),
        "limit" => volume.rate_limit = args.exact_rate(RATE).unwrap_or(0),
        "surge" => volume.surge_rate = args.exact_rate(RATE).unwrap_or(0),
        "weight" => volume.weight = args.integer(NUMBER, 0, MAX_NUMBER).unwrap_or(0),
        "price" => {
            volume.priority_factor = args
                .integer("thousandths, 1000 for a price of 1", 0, MAX_NUMBER)
                .unwrap_or(0);
        }
        "spread" => volume.spread = args.integer("1 to 8 nodes", 1, 8).unwrap_or(1) as usize,
        "size" => volume.size = args.integer(NUMBER, 0, MAX_NUMBER).unwrap_or(0),
        "apart" => volume.distinct_zones = true,
        "zone" => volume.zone = args.name("a name").map(|word| word.text),
        "survives" => {
            match args.value("node or zone", |word| {
                matches!(word, "node" | "zone").then(|| word == "node")
            }) {
                Some(true) => volume.survives_node_loss = true,
                Some(false) => volume.survives_zone_loss = true,
                None => {}
            }
        }
        "today" => {
            while args.has_more() {
                volume
                    .current_nodes
                    .extend(args.name("the name of a node").map(|word| word.text));
            }
        }
        _ => return false,
    }
    true
}
