//! Scripts of a fleet: the scene in the head, a line for each trouble, in the words of `crate::script`.
//! `docs/cold-start.md` lists every directive.
use super::callers::Wants;
use super::links::{Fault, Party, Side};
use super::store::Manners;
use super::turns::Mood;
use crate::node::Model;
use crate::script;
use crate::trace::Micros;
use mallowseam_settings::{Arguments, Diagnostics, Position, tokenize};

/// The list that hosts start with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    None,
    /// As it stands.
    Now,
    /// Half of its nodes have been replaced since.
    Old,
    /// Of a version that the service has not reached.
    Ahead,
}

#[derive(Clone, Debug)]
pub struct Scene {
    pub name: String,
    pub length: Micros,
    pub hosts: u32,
    pub known: Known,
    pub zones: u32,
    pub nodes: u32,
    pub model: Model,
    pub manners: Manners,
    /// Nodes start when hosts do, cold.
    pub cold_nodes: bool,
    pub wants: Wants,
    pub takes: Micros,
    pub patience: Micros,
    pub lag: Micros,
    pub memory_mb: u32,
    pub sockets: u32,
    /// Whether hosts keep a view of their fleet, and how.
    pub view: Option<ViewScene>,
    pub events: Vec<Event>,
}

/// How hosts keep a view: the period, how many of them are seeds, and how long one out of reach is kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ViewScene {
    pub period: Micros,
    pub seeds: u32,
    pub keep: Micros,
    /// Which hosts take part.
    pub hosts: Some2,
}

impl ViewScene {
    pub fn of(&self, host: u32) -> bool {
        (self.hosts.0..self.hosts.1).contains(&host)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    pub at: Micros,
    pub trouble: Trouble,
}

/// Hosts or nodes from one number up to before another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Some2(pub u32, pub u32);

#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    Kill(Some2),
    Start(Some2),
    Term(Some2),
    Stall(Some2, bool),
    /// SIGHUP with a configuration that names the other list service.
    Move(Some2),
    NodeStop(Some2),
    NodeStart(Some2),
    NodeSlow(Some2, f64),
    /// Another node with the same shard starts cold; this one drains, and is gone after the drain.
    NodeReplace(Some2),
    NodeGone(Some2),
    List(Mood),
    /// Open watches of these hosts fall silent.
    Forget(Some2),
    /// Calls take so many times as long.
    ListSlow(f64),
    Link(Side, Side, Fault),
    Load(f64),
}

/// Reads a script. All its problems come back at once.
pub fn read(file: &str, text: &str) -> Result<Scene, Diagnostics> {
    let mut problems = Diagnostics::new(file);
    let mut scene = Scene {
        name: file.to_owned(),
        length: 0,
        hosts: 0,
        known: Known::None,
        zones: 1,
        nodes: 0,
        model: Model::quick(1, 20_000.0, 32),
        manners: Manners { lines: 64, handshake: 1_000, down: 4_000_000 },
        cold_nodes: false,
        wants: Wants {
            rate: 0.0,
            posts: 0.3,
            volumes: 0,
            uneven: 6.0,
            again: 0,
            patient: true,
            read_wait: 1_000_000,
            write_wait: 2_000_000,
            largest: 4,
        },
        takes: 50_000,
        patience: 1_000_000,
        lag: 0,
        memory_mb: 32,
        sockets: 256,
        view: None,
        events: Vec::new(),
    };
    for (i, line) in text.lines().enumerate() {
        let words = tokenize(i + 1, line, &mut problems);
        let Some(first) = words.first() else { continue };
        let (at, name) = (first.position, first.text.clone());
        let mut args = Arguments::new(&words, &mut problems);
        if head(&mut scene, &name, &mut args) {
            args.expect_end();
        } else {
            let known = "day, hosts, limits, zones, nodes, lines, cold, clients, list, view or at";
            problems.add(at, known, format!("`{name}`"));
        }
    }
    let top = Position { line: 1, column: 1 };
    for (name, there) in [
        ("day", scene.length > 0),
        ("hosts", scene.hosts > 0),
        ("nodes", scene.nodes > 0),
        ("clients", scene.wants.rate > 0.0),
    ] {
        if !there {
            problems.add(top, format!("`{name}` in the script"), "none");
        }
    }
    scene.wants.volumes = scene.wants.volumes.max(2 * scene.hosts);
    scene.events.sort_by_key(|e| e.at);
    if problems.is_empty() { Ok(scene) } else { Err(problems.sorted()) }
}

impl Scene {
    /// The same for so many hosts: with nodes and clients in proportion, as far as one machine plays them.
    pub fn scaled(mut self, hosts: u32) -> Scene {
        let before = f64::from(self.nodes);
        self.nodes = (hosts / NODE_HOSTS).clamp(NODES.0, NODES.1);
        self.wants.rate *= f64::from(self.nodes) / before;
        (self.hosts, self.wants.volumes) = (hosts, 2 * hosts);
        self
    }
}

/// Hosts to a node of a scaled scene, and the least and most nodes: each host reaches each node at an address of its
/// own, and one process holds them all.
const NODE_HOSTS: u32 = 12;
const NODES: (u32, u32) = (4, 24);

const SPAN: &str = "a duration such as 3s";

fn head(scene: &mut Scene, name: &str, args: &mut Arguments) -> bool {
    match name {
        "day" => scene.length = args.duration(SPAN).unwrap_or(1),
        "hosts" => {
            scene.hosts = args.integer("1 to 1000", 1, 1_000).unwrap_or(1) as u32;
            if args.accept("known") {
                let lists = [
                    ("none", Known::None),
                    ("now", Known::Now),
                    ("old", Known::Old),
                    ("ahead", Known::Ahead),
                ];
                let found =
                    args.value("none, now, old or ahead", |w| lists.iter().find(|l| l.0 == w).map(|l| l.1));
                scene.known = found.unwrap_or(Known::None);
            }
        }
        "limits" => {
            scene.memory_mb = args.integer("megabytes from 16", 16, 65_536).unwrap_or(32) as u32;
            scene.sockets = args.integer("descriptors from 64", 64, 65_536).unwrap_or(256) as u32;
        }
        "zones" => scene.zones = args.integer("1 to 16", 1, 16).unwrap_or(1) as u32,
        "nodes" => nodes(scene, args),
        "lines" => {
            scene.manners.lines = args.integer("connections at a node", 1, 65_536).unwrap_or(1) as usize;
            scene.manners.handshake = args.duration("the work of a new connection").unwrap_or(0);
        }
        "cold" => {
            script::cold(&mut scene.model, args);
            scene.manners.down = args.duration("how long one that fell is down").unwrap_or(0);
        }
        "clients" => clients(scene, args),
        "list" => {
            while args.has_more() {
                if args.accept("takes") {
                    scene.takes = args.duration("the time of a call").unwrap_or(1);
                } else if args.accept("patience") {
                    scene.patience = args.duration(SPAN).unwrap_or(1);
                } else if args.accept("lag") {
                    scene.lag = args.duration(SPAN).unwrap_or(0);
                } else {
                    args.value::<()>("takes, patience or lag", |_| None);
                }
            }
        }
        "view" => {
            let mut view =
                ViewScene { period: 1_000_000, seeds: 3, keep: 3_600_000_000, hosts: Some2(0, u32::MAX) };
            while args.has_more() {
                if args.accept("period") {
                    view.period = args.duration(SPAN).unwrap_or(view.period);
                } else if args.accept("seeds") {
                    view.seeds = args.integer("hosts that are seeds", 1, 32).unwrap_or(1) as u32;
                } else if args.accept("keep") {
                    view.keep = args.duration(SPAN).unwrap_or(view.keep);
                } else if args.accept("hosts") {
                    view.hosts = some(args).unwrap_or(view.hosts);
                } else {
                    args.value::<()>("period, seeds, keep or hosts", |_| None);
                }
            }
            scene.view = Some(view);
        }
        "at" => drop(event(&mut scene.events, args)),
        _ => return false,
    }
    true
}

fn nodes(scene: &mut Scene, args: &mut Arguments) {
    scene.nodes = args.integer("1 to 500", 1, 500).unwrap_or(1) as u32;
    while args.has_more() {
        if args.accept("start-cold") {
            scene.cold_nodes = true;
        } else if !script::node_figure(&mut scene.model, args) {
            args.value::<()>("cores, work, queue or start-cold", |_| None);
        }
    }
}

fn clients(scene: &mut Scene, args: &mut Arguments) {
    while args.has_more() {
        if args.accept("rate") {
            scene.wants.rate = args.rate("block I/Os a second such as 50/s").unwrap_or(0.0);
        } else if args.accept("posts") {
            scene.wants.posts = args.percent("a percentage").unwrap_or(0.0);
        } else if args.accept("again") {
            scene.wants.again = args.integer("times from 0", 0, 16).unwrap_or(0) as u32;
        } else if args.accept("at-once") {
            scene.wants.patient = false;
        } else if args.accept("uneven") {
            scene.wants.uneven = args.number("a multiple from 1 up", 1.0, 1_000.0).unwrap_or(1.0);
        } else {
            args.value::<()>("rate, posts, again, at-once or uneven", |_| None);
        }
    }
}

/// Numbers `3`, `2..5` (5 not with it) or `all`.
fn some(args: &mut Arguments) -> Option<Some2> {
    args.value("a number, a range such as 2..5, or all", |w| {
        if w == "all" {
            return Some(Some2(0, u32::MAX));
        }
        match w.split_once("..") {
            Some((from, to)) => Some(Some2(from.parse().ok()?, to.parse().ok()?)),
            None => w.parse().ok().map(|n: u32| Some2(n, n.saturating_add(1))),
        }
    })
}

fn side(word: &str) -> Option<Side> {
    let number = |head: &str| word.strip_prefix(head).and_then(|n| n.parse::<u32>().ok());
    let range = |head: &str| {
        let (from, to) = word.strip_prefix(head)?.split_once("..")?;
        Some((from.parse().ok()?, to.parse().ok()?))
    };
    Some(match word {
        "all" => Side::All,
        "hosts" => Side::Hosts,
        "nodes" => Side::Nodes,
        "lists" => Side::Lists,
        "clients" => Side::One(Party::Clients),
        _ => {
            if let Some((from, to)) = range("host") {
                Side::HostRange(from, to)
            } else if let Some((from, to)) = range("node") {
                Side::NodeRange(from, to)
            } else if let Some(n) = number("host") {
                Side::One(Party::Host(n))
            } else if let Some(n) = number("node") {
                Side::One(Party::Node(n))
            } else if let Some(n) = number("list") {
                Side::One(Party::List(n))
            } else {
                Side::Zone(number("zone")?)
            }
        }
    })
}

fn link(args: &mut Arguments) -> Option<Vec<(Side, Side, Fault)>> {
    const SIDES: &str = "all, hosts, nodes, lists, clients, hostN, nodeN, listN, zoneN, hostN..M or nodeN..M";
    let from = args.value(SIDES, side)?;
    let to = args.value(SIDES, side)?;
    let one_way = args.accept("one-way");
    let mut fault = Fault::default();
    loop {
        if args.accept("silent") {
            fault.silent = true;
        } else if args.accept("refused") {
            fault.refuses = true;
        } else if args.accept("slow") {
            fault.delay = args.duration(SPAN)?;
        } else if args.accept("spread") {
            fault.spread = args.duration(SPAN)?;
        } else if args.accept("bytes") {
            fault.rate = args.rate("bytes a second such as 9000/s")?;
        } else if args.accept("loss") {
            fault.loss = args.percent("a percentage")?;
        } else if args.accept("repeats") {
            fault.repeats = args.percent("a percentage")?;
        } else if args.accept("cut-after") {
            fault.cut_after = args.integer("bytes", 1, 1 << 40)?;
        } else {
            break;
        }
    }
    if fault == Fault::default() {
        args.value::<()>("silent, refused, slow, spread, bytes, loss, repeats or cut-after", |_| None);
        return None;
    }
    let mut set = vec![(from, to, fault)];
    if !one_way && from != to {
        set.push((to, from, fault));
    }
    Some(set)
}

fn event(events: &mut Vec<Event>, args: &mut Arguments) -> Option<()> {
    use Trouble::*;
    const KINDS: [&str; 5] = ["host", "node", "list", "link", "load"];
    let at = args.duration(SPAN)?;
    let kind = args.value("host, node, list, link or load", |w| KINDS.into_iter().find(|k| *k == w))?;
    let (begin, end): (Vec<Trouble>, Vec<Trouble>) = match kind {
        "host" => {
            let n = some(args)?;
            let words = ["kill", "term", "stall", "move"];
            match args.value("kill, term, stall or move", |w| words.into_iter().find(|k| *k == w))? {
                "kill" => (vec![Kill(n)], vec![Start(n)]),
                "term" => (vec![Term(n)], vec![Start(n)]),
                "stall" => (vec![Stall(n, true)], vec![Stall(n, false)]),
                _ => (vec![Move(n)], vec![]),
            }
        }
        "node" => {
            let n = some(args)?;
            let words = ["kill", "slow", "replace"];
            match args.value("kill, slow or replace", |w| words.into_iter().find(|k| *k == w))? {
                "kill" => (vec![NodeStop(n)], vec![NodeStart(n)]),
                "slow" => {
                    (vec![NodeSlow(n, args.number("a multiple", 0.01, 1_000.0)?)], vec![NodeSlow(n, 1.0)])
                }
                _ => (vec![NodeReplace(n)], vec![NodeGone(n)]),
            }
        }
        "list" => {
            let words = ["away", "mute", "refuses", "forgets", "slow"];
            match args
                .value("away, mute, refuses, forgets or slow", |w| words.into_iter().find(|k| *k == w))?
            {
                "away" => (vec![List(Mood::Down)], vec![List(Mood::Well)]),
                "forgets" => (vec![Forget(some(args)?)], vec![]),
                "mute" => (vec![List(Mood::Mute)], vec![List(Mood::Well)]),
                "refuses" => {
                    (vec![List(Mood::Refuses(args.percent("a percentage")?))], vec![List(Mood::Well)])
                }
                _ => (vec![ListSlow(args.number("a multiple", 0.01, 1_000.0)?)], vec![ListSlow(1.0)]),
            }
        }
        "link" => {
            let set = link(args)?;
            let heal = set.iter().map(|s| Link(s.0, s.1, Fault::default())).collect();
            (set.into_iter().map(|s| Link(s.0, s.1, s.2)).collect(), heal)
        }
        _ => (vec![Load(args.number("a multiple", 0.0, 100.0)?)], vec![Load(1.0)]),
    };
    events.extend(begin.into_iter().map(|trouble| Event { at, trouble }));
    if !end.is_empty() {
        if !args.accept("for") {
            args.value::<()>("for DURATION", |_| None);
            return None;
        }
        let after = args.duration(SPAN)?;
        events.extend(end.into_iter().map(|trouble| Event { at: at + after, trouble }));
    }
    Some(())
}

/// The settings that hosts and nodes share, and what the audit judges by. Times in milliseconds.
pub const GRACE_MS: u64 = 250;
pub const ORDER_PAUSE_MS: u64 = 200;
pub const BUDGET: (f64, f64, u64) = (3.0, 0.25, 5_000);
pub const ASK_WITHIN_MS: u64 = 10_000;
/// Units a second and saved up at most, of each volume of the limited plan.
pub const LIMIT: (f64, f64) = (12.0, 24.0);
pub const LOOK_GOAL_MS: u64 = 300;
pub const BOOK_GOAL_MS: u64 = 400;

/// A host's configuration in the users' form.
pub fn config(
    scene: &Scene,
    (host, named): (u32, u32),
    addresses: super::addresses::Addresses,
    list: u32,
    seed: u64,
    known: &str,
) -> String {
    let (m, w) = (&scene.model, &scene.wants);
    let zones: Vec<String> = (0..scene.zones).map(|z| format!("z{z}")).collect();
    let settings = serde_json::json!({
        "balancers": scene.hosts,
        "localities": zones,
        "registry_mode": "on_request",
        "profiles": [
            {"name": "look", "aim_us": LOOK_GOAL_MS * 1_000, "deadline_us": w.read_wait, "repeat": "idempotent", "worth": 3.0},
            {"name": "book", "aim_us": BOOK_GOAL_MS * 1_000, "deadline_us": w.write_wait, "repeat": "at_most_once",
             "worth": 2.0, "keep_order": true}],
        "service_levels": [
            {"name": "basic", "floor_rate": 0.5, "usual_rate": 1.0, "weight": 1.0, "worth_factor": 0.7,
             "limit": LIMIT.0, "limit_burst": LIMIT.1},
            {"name": "priority", "floor_rate": 1.2, "usual_rate": 2.0, "limit": 0.0, "weight": 6.0, "worth_factor": 1.5}],
        "extra": {"class_writes": [false, true], "largest": w.largest, "mean_units": 1.6, "within_share": 0.35,
                  "spare_worth": 0.1, "cold_bears": m.cold_bears},
        "limits": {"cancel": true, "max_attempts": 3, "retry_after": true, "max_retry_after_us": 1_000_000,
                   "idle_close_us": 30_000_000, "connect_timeout_us": 250_000},
        "rules": {"drain_grace_us": GRACE_MS * 1_000, "ask_within_us": ASK_WITHIN_MS * 1_000,
                  "order_pause_us": ORDER_PAUSE_MS * 1_000, "free_resends": BUDGET.0, "extra_ratio": BUDGET.1,
                  "look_back_us": BUDGET.2 * 1_000, "cold_from": m.cold_from, "cold_us": m.cold_span,
                  "fall_multiple": m.fall_multiple, "fall_us": m.fall_span},
    });
    let view = scene.view.map_or("null".into(), |v| {
        let seeds: Vec<String> = (0..v.seeds.min(scene.hosts)).map(|h| addresses.way(h).to_string()).collect();
        serde_json::json!({
            "name": "rig", "listen": addresses.fleet(host).to_string(), "reached_at": addresses.way(host).to_string(),
            "zone": format!("z{}", host % scene.zones), "seeds": seeds, "period_ms": v.period / 1_000,
            "keep_s": v.keep / 1_000_000,
        })
    });
    let view =
        if scene.view.is_some_and(|v| v.of(host)) { format!(",\"fleet\":{view}") } else { String::new() };
    format!(
        "{{\"name\":\"n{named}\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"{seed:016x}\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{known},\"settings\":{settings}{view}}}",
        addresses.host(host),
        addresses.list(host, list),
        scene.memory_mb,
        scene.sockets
    )
}
