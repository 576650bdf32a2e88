//! Scripts of trouble: a text file with the scene in its head, one line for each trouble, and behind a line
//! `site` the sections of a configuration that hosts share (fleet, plans, groups, volumes). `docs/rehearsals.md`
//! lists every directive.
use crate::node::Model;
use crate::trace::Micros;
use mallowseam_settings::{Arguments, Diagnostics, tokenize};

#[derive(Clone, Debug)]
pub struct Scene {
    pub name: String,
    pub length: Micros,
    pub hosts: u32,
    pub nodes: u32,
    pub model: Model,
    pub clients: u32,
    /// Commands a second of each client, and the part of them that write.
    pub rate: f64,
    pub posts: f64,
    pub list_lag: Micros,
    pub kept_list: bool,
    pub digests: bool,
    /// Blocks of an extent of mapped volumes, and the group of copies.
    pub catalog: Option<(u64, String)>,
    /// A control service runs, and limits are changed this often.
    pub tariffs: Option<Micros>,
    pub events: Vec<Event>,
    /// Sections that every host's configuration has.
    pub site: String,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    pub at: Micros,
    pub trouble: Trouble,
}

/// One of a kind, or one that the seed picks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Which {
    Number(u32),
    Any(u32),
}

/// What happens; with a bool, whether it begins or is over.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    NodeSilent(Which, bool),
    NodeStill(Which, bool),
    NodeDeaf(Which, bool),
    NodeSlow(Which, f64),
    NodeErrors(Which, f64),
    NodeLoses(Which, f64),
    NodeCrash(Which),
    NodeStart(Which),
    NodeReset(Which),
    NodeDrain(Which),
    NodeUndrain(Which),
    HostKill(Which),
    HostStart(Which),
    HostTerm(Which),
    HostStall(Which, bool),
    HostDrain(Which),
    ClientDrop(Which),
    ClientStall(Which, bool),
    ClientDeaf(Which, bool),
    ClientAgain(Which),
    HalfLogins(u32),
    Garbage(u32),
    Surge(String, f64),
    Load(f64),
    ListLag(Micros),
    ListAway(bool),
    ListBackwards,
    Snapshot(String, String),
    Clone(String, String),
    CatalogKill,
    CatalogStart,
    ControlKill,
    ControlStart,
    /// A plan's limit and burst become this multiple of the script's.
    Tariff(usize, f64),
}

/// Reads a script. All its problems come back at once.
pub fn read(file: &str, text: &str) -> Result<Scene, Diagnostics> {
    let mut problems = Diagnostics::new(file);
    let mut scene = Scene {
        name: file.to_owned(),
        length: 0,
        hosts: 0,
        nodes: 0,
        model: Model {
            cores: 1,
            unit_work: 4_000.0,
            unit_bytes: 4096,
            queue: 32,
            cold_from: 1.0,
            cold_span: 0,
            fall_multiple: 2.0,
            fall_span: 0,
            cold_bears: 0.0,
        },
        clients: 0,
        rate: 0.0,
        posts: 0.0,
        list_lag: 0,
        kept_list: true,
        digests: false,
        catalog: None,
        tariffs: None,
        events: Vec::new(),
        site: String::new(),
    };
    let mut lines = text.lines().enumerate();
    for (i, line) in lines.by_ref() {
        let words = tokenize(i + 1, line, &mut problems);
        let Some(first) = words.first() else { continue };
        if first.text == "site" {
            break;
        }
        let at = first.position;
        let name = first.text.clone();
        let mut args = Arguments::new(&words, &mut problems);
        if head(&mut scene, &name, &mut args) {
            args.expect_end();
        } else {
            let known = "day, hosts, nodes, cold, clients, list-lag, kept-list, digests, catalog, tariffs, at or site";
            problems.add(at, known, format!("`{name}`"));
        }
    }
    // The sections keep the line numbers that they have in the script.
    let start = text.lines().take_while(|l| l.trim() != "site").count() + 1;
    scene.site = text.lines().skip(start).collect::<Vec<_>>().join("\n");
    let top = mallowseam_settings::Position { line: 1, column: 1 };
    for (name, there) in [
        ("day", scene.length > 0),
        ("hosts", scene.hosts > 0),
        ("nodes", scene.nodes > 0),
        ("clients", scene.clients > 0),
    ] {
        if !there {
            problems.add(top, format!("`{name}` in the script"), "none");
        }
    }
    scene.events.sort_by_key(|e| e.at);
    if problems.is_empty() { Ok(scene) } else { Err(problems.sorted()) }
}

fn head(scene: &mut Scene, name: &str, args: &mut Arguments) -> bool {
    let span = "a duration such as 3s";
    match name {
        "day" => scene.length = args.duration(span).unwrap_or(1),
        "hosts" => scene.hosts = args.integer("1 to 64", 1, 64).unwrap_or(1) as u32,
        "nodes" => {
            scene.nodes = args.integer("1 to 64", 1, 64).unwrap_or(1) as u32;
            while args.has_more() {
                if !node_figure(&mut scene.model, args) {
                    args.value::<()>("cores, work or queue", |_| None);
                }
            }
        }
        "cold" => cold(&mut scene.model, args),
        "clients" => {
            scene.clients = args.integer("1 to 1000", 1, 1000).unwrap_or(1) as u32;
            while args.has_more() {
                if args.accept("rate") {
                    scene.rate = args.rate("commands a second such as 5/s").unwrap_or(0.0);
                } else if args.accept("posts") {
                    scene.posts = args.percent("a percentage").unwrap_or(0.0);
                } else {
                    args.value::<()>("rate or posts", |_| None);
                }
            }
        }
        "list-lag" => scene.list_lag = args.duration(span).unwrap_or(0),
        "kept-list" => {
            scene.kept_list = args
                .value("yes or no", |w| match w {
                    "yes" => Some(true),
                    "no" => Some(false),
                    _ => None,
                })
                .unwrap_or(true);
        }
        "digests" => scene.digests = true,
        "catalog" => {
            let extent = args.integer("blocks of an extent", 1, 65536);
            let copies = args.text("the name of a group");
            scene.catalog = extent.zip(copies);
        }
        "tariffs" => {
            args.value("every", |w| (w == "every").then_some(()));
            scene.tariffs = args.duration(span).filter(|n| *n > 0);
        }
        "at" => {
            if let Some((at, begins, ends)) = event(args) {
                scene.events.push(Event { at, trouble: begins });
                if let Some((after, trouble)) = ends {
                    scene.events.push(Event { at: at + after, trouble });
                }
            }
        }
        _ => return false,
    }
    true
}

/// One of the figures behind `nodes`; whether the next word names one.
pub fn node_figure(model: &mut Model, args: &mut Arguments) -> bool {
    if args.accept("cores") {
        model.cores = args.integer("1 to 64", 1, 64).unwrap_or(1) as usize;
    } else if args.accept("work") {
        model.unit_work = args.duration("the work of a unit").unwrap_or(0) as f64;
    } else if args.accept("queue") {
        model.queue = args.integer("1 to 4096", 1, 4096).unwrap_or(1) as usize;
    } else {
        return false;
    }
    true
}

/// What stands behind `cold`: part of the speed, time until warm, and what makes a node fall.
pub fn cold(model: &mut Model, args: &mut Arguments) {
    let span = "a duration such as 3s";
    model.cold_from = args.percent("a percentage").unwrap_or(1.0).max(0.01);
    model.cold_span = args.duration(span).unwrap_or(0);
    model.fall_multiple = args.number("a multiple from 1 up", 1.0, 1e6).unwrap_or(1.0);
    model.fall_span = args.duration(span).unwrap_or(0);
    model.cold_bears = args.number("units", 0.0, 1e9).unwrap_or(0.0);
}

type Begun = (Micros, Trouble, Option<(Micros, Trouble)>);

fn event(args: &mut Arguments) -> Option<Begun> {
    let span = "a duration such as 3s";
    let at = args.duration(span)?;
    const KINDS: &str =
        "node, host, client, list, surge, load, half-logins, garbage, snapshot, clone, catalog or control";
    let kind = args.value(KINDS, |w| {
        [
            "node",
            "host",
            "client",
            "list",
            "surge",
            "load",
            "half-logins",
            "garbage",
            "snapshot",
            "clone",
            "catalog",
            "control",
        ]
        .into_iter()
        .find(|k| *k == w)
    })?;
    let (begins, ends) = match kind {
        "node" => node(args)?,
        "host" => host(args)?,
        "client" => client(args)?,
        "list" => list(args)?,
        "surge" => {
            let plan = args.text("the name of a plan")?;
            let times = args.number("a multiple", 0.0, 100.0)?;
            (Trouble::Surge(plan.clone(), times), Some(Trouble::Surge(plan, 1.0)))
        }
        "snapshot" => (Trouble::Snapshot(args.text("a volume")?, args.text("a name")?), None),
        "clone" => (Trouble::Clone(args.text("VOLUME@NAME")?, args.text("a name")?), None),
        "catalog" => {
            args.value("kill", |w| (w == "kill").then_some(()))?;
            (Trouble::CatalogKill, Some(Trouble::CatalogStart))
        }
        "control" => {
            args.value("kill", |w| (w == "kill").then_some(()))?;
            (Trouble::ControlKill, Some(Trouble::ControlStart))
        }
        "load" => (Trouble::Load(args.number("a multiple", 0.0, 100.0)?), Some(Trouble::Load(1.0))),
        "half-logins" => (Trouble::HalfLogins(args.integer("a number", 1, 1000)? as u32), None),
        _ => (Trouble::Garbage(args.integer("a number", 1, 1000)? as u32), None),
    };
    let Some(end) = ends else { return Some((at, begins, None)) };
    if !args.accept("for") {
        args.value::<()>("for DURATION", |_| None);
        return None;
    }
    Some((at, begins, Some((args.duration(span)?, end))))
}

fn which(args: &mut Arguments) -> Option<Which> {
    args.value("a number, or any or anyN", |w| match w.strip_prefix("any") {
        Some("") => Some(Which::Any(0)),
        Some(n) => n.parse().ok().map(Which::Any),
        None => w.parse().ok().map(Which::Number),
    })
}

type Pair = (Trouble, Option<Trouble>);

fn node(args: &mut Arguments) -> Option<Pair> {
    let n = which(args)?;
    let what =
        args.text("silent, still, deaf, slow, errors, loses, crash, start, reset, drain or undrain")?;
    Some(match what.as_str() {
        "silent" => (Trouble::NodeSilent(n, true), Some(Trouble::NodeSilent(n, false))),
        "still" => (Trouble::NodeStill(n, true), Some(Trouble::NodeStill(n, false))),
        "deaf" => (Trouble::NodeDeaf(n, true), Some(Trouble::NodeDeaf(n, false))),
        "slow" => {
            let times = args.number("a multiple", 0.01, 1000.0)?;
            (Trouble::NodeSlow(n, times), Some(Trouble::NodeSlow(n, 1.0)))
        }
        "errors" => {
            (Trouble::NodeErrors(n, args.percent("a percentage")?), Some(Trouble::NodeErrors(n, 0.0)))
        }
        "loses" => (Trouble::NodeLoses(n, args.percent("a percentage")?), Some(Trouble::NodeLoses(n, 0.0))),
        "crash" => (Trouble::NodeCrash(n), Some(Trouble::NodeStart(n))),
        "reset" => (Trouble::NodeReset(n), None),
        "drain" => (Trouble::NodeDrain(n), Some(Trouble::NodeUndrain(n))),
        _ => {
            args.value::<()>("silent, still, deaf, slow, errors, loses, crash, reset or drain", |_| None);
            return None;
        }
    })
}

fn host(args: &mut Arguments) -> Option<Pair> {
    let n = which(args)?;
    let what = args.text("kill, term, stall or drain")?;
    Some(match what.as_str() {
        "kill" => (Trouble::HostKill(n), Some(Trouble::HostStart(n))),
        "term" => (Trouble::HostTerm(n), Some(Trouble::HostStart(n))),
        "stall" => (Trouble::HostStall(n, true), Some(Trouble::HostStall(n, false))),
        "drain" => (Trouble::HostDrain(n), None),
        _ => {
            args.value::<()>("kill, term, stall or drain", |_| None);
            return None;
        }
    })
}

fn client(args: &mut Arguments) -> Option<Pair> {
    let n = which(args)?;
    let what = args.text("drop, stall, deaf or again")?;
    Some(match what.as_str() {
        "drop" => (Trouble::ClientDrop(n), None),
        "stall" => (Trouble::ClientStall(n, true), Some(Trouble::ClientStall(n, false))),
        "deaf" => (Trouble::ClientDeaf(n, true), Some(Trouble::ClientDeaf(n, false))),
        "again" => (Trouble::ClientAgain(n), None),
        _ => {
            args.value::<()>("drop, stall, deaf or again", |_| None);
            return None;
        }
    })
}

fn list(args: &mut Arguments) -> Option<Pair> {
    let what = args.text("lag, away or backwards")?;
    Some(match what.as_str() {
        "lag" => {
            let lag = args.duration("a duration such as 5s")?;
            (Trouble::ListLag(lag), Some(Trouble::ListLag(Micros::MAX)))
        }
        "away" => (Trouble::ListAway(true), Some(Trouble::ListAway(false))),
        "backwards" => (Trouble::ListBackwards, None),
        _ => {
            args.value::<()>("lag, away or backwards", |_| None);
            return None;
        }
    })
}
