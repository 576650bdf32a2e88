//! `mallowseam shares`: problems and placements as files, and what is worked out told.
use crate::demand;
use crate::list::replace;
use mallowseam_settings::edit::Share;
use mallowseam_settings::{Arguments, Diagnostics, Position, tokenize};
use mallowseam_settings::{edit, reload};
use mallowseam_shares::bound;
use mallowseam_shares::choose::{choose, parts};
use mallowseam_shares::conflict::explain as contradict;
use mallowseam_shares::improve::Improve;
use mallowseam_shares::model::{Host, MOST, Node, Problem, SCALE, Volume};
use mallowseam_shares::moves;
use mallowseam_shares::search::{Answer, solve};
use mallowseam_shares::value::{Placement, Worth, fits, gain_of, placed, worth};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Steps of the exact search before a large problem goes on by moves, and moves between two looks at the time.
const EXACT_STEPS: u64 = 300_000;
const MOVES: u64 = 2_000;
/// No host's part of a limit is dealt below these thousandths of an even one: as much as hosts never lend.
const PART_LEAST: u64 = 250;
/// What a unit's gain is multiplied by inside: thousandths of units and of price, parts of a hundred, `SCALE`.
const GAIN: f64 = 1000.0 * 1000.0 * 100.0 * SCALE as f64;

/// How it ended.
pub enum Ended {
    Done(String),
    /// Proven that nothing fits, with why.
    Impossible(String),
    Wrong(String),
}

/// Reads a problem: sections `node NAME` and `volume NAME`, as `docs/shares.md` lists them.
pub fn read(file: &Path) -> Result<Problem, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    let mut problems = Diagnostics::new(&name);
    let (mut nodes, mut volumes): (Vec<Node>, Vec<Volume>) = (Vec::new(), Vec::new());
    let mut hosts: Vec<Host> = Vec::new();
    let mut places: Vec<(String, Position)> = Vec::new();
    let mut section = "";
    for (i, line) in text.lines().enumerate() {
        let words = tokenize(i + 1, line, &mut problems);
        let Some(first) = words.first() else { continue };
        let at = first.position;
        let word = first.text.clone();
        let mut args = Arguments::new(&words, &mut problems);
        if !line.starts_with(char::is_whitespace) {
            section = match word.as_str() {
                "node" => "node",
                "volume" => "volume",
                "host" => "host",
                other => {
                    problems.add(at, "a section: node, volume or host", format!("`{other}`"));
                    ""
                }
            };
            let mut args = Arguments::new(&words, &mut problems);
            let Some(name) = args.name("a name of letters, digits and -_.:").filter(|_| !section.is_empty())
            else {
                section = "";
                continue;
            };
            args.expect_end();
            places.push((name.text.clone(), at));
            if section == "node" {
                nodes.push(Node { name: name.text, ..Node::default() });
            } else if section == "host" {
                if hosts.iter().any(|h| h.name == name.text) {
                    problems.add(at, "one host of this name", format!("`{}`", name.text));
                }
                hosts.push(Host { name: name.text, ..Host::default() });
            } else {
                let volume =
                    Volume { name: name.text, weight: 1, price: 1000, spread: 1, ..Volume::default() };
                volumes.push(volume);
            }
            continue;
        }
        let known = match section {
            "node" => node(nodes.last_mut().expect("open"), &word, &mut args),
            "host" => host(hosts.last_mut().expect("open"), &word, &mut args),
            "volume" => volume(volumes.last_mut().expect("open"), &word, &mut args),
            _ => true,
        };
        if known {
            args.expect_end();
        } else {
            problems.add(at, format!("a directive of section `{section}`"), format!("`{word}`"));
        }
    }
    for v in &mut volumes {
        v.surge = v.surge.max(v.reserve);
    }
    if !problems.is_empty() {
        return Err(problems.sorted().to_string());
    }
    hosts.sort_by(|a, b| a.name.cmp(&b.name));
    let strange = |n: &&String| !volumes.iter().any(|v| v.name == **n);
    if let Some(name) = hosts.iter().flat_map(|h| h.sends.keys()).find(strange) {
        return Err(format!("{}: a host sends to volume {name}, which the file lacks", file.display()));
    }
    Problem::new(nodes, volumes).map(|p| Problem { hosts, ..p }).map_err(|wrong| {
        for w in wrong {
            let at = places.iter().find(|p| p.0 == w.name).map_or(Position { line: 1, column: 1 }, |p| p.1);
            problems.add(at, w.expected, format!("`{}`", w.name));
        }
        problems.sorted().to_string()
    })
}

const RATE: &str = "units a second such as 20/s or 0.125/s";

fn node(node: &mut Node, word: &str, args: &mut Arguments) -> bool {
    match word {
        "capacity" => node.capacity = args.exact_rate(RATE).unwrap_or(0),
        "cost" => node.cost = args.integer("a whole number", 0, MOST).unwrap_or(0),
        "zone" => node.zone = args.name("a name").map(|w| w.text).unwrap_or_default(),
        _ => return false,
    }
    true
}

fn host(host: &mut Host, word: &str, args: &mut Arguments) -> bool {
    if word != "sends" {
        return false;
    }
    if let (Some(volume), Some(rate)) = (args.name("the name of a volume"), args.exact_rate(RATE)) {
        host.sends.insert(volume.text, rate);
    }
    true
}

fn volume(v: &mut Volume, word: &str, args: &mut Arguments) -> bool {
    match word {
        "reserve" => v.reserve = args.exact_rate(RATE).unwrap_or(0),
        "reserve-most" => v.reserve_most = args.exact_rate(RATE).unwrap_or(0),
        "limit" => v.limit = args.exact_rate(RATE).unwrap_or(0),
        "surge" => v.surge = args.exact_rate(RATE).unwrap_or(0),
        "weight" => v.weight = args.integer("a whole number", 0, MOST).unwrap_or(0),
        "price" => v.price = args.integer("thousandths, 1000 for the plain price", 0, MOST).unwrap_or(0),
        "spread" => v.spread = args.integer("1 to 8 nodes", 1, 8).unwrap_or(1) as usize,
        "size" => v.size = args.integer("a whole number", 0, MOST).unwrap_or(0),
        "apart" => v.apart = true,
        "zone" => v.zone = args.name("a name").map(|w| w.text),
        "survives" => match args.value("node or zone", |w| matches!(w, "node" | "zone").then(|| w == "node"))
        {
            Some(true) => v.survives_node = true,
            Some(false) => v.survives_zone = true,
            None => {}
        },
        "today" => {
            while args.has_more() {
                v.today.extend(args.name("the name of a node").map(|w| w.text));
            }
        }
        _ => return false,
    }
    true
}

/// Works a problem out within about so long, and tells the placement as lines that `compare` reads.
pub fn work_out(file: &Path, within: Duration, seed: u64) -> Ended {
    let p = match read(file) {
        Ok(p) => p,
        Err(why) => return Ended::Wrong(why),
    };
    let began = Instant::now();
    let (found, proven) = match solve(&p, EXACT_STEPS) {
        Answer::Best(best) => (Some(best), true),
        Answer::None => return impossible(&p),
        Answer::Open { found, .. } => {
            let mut improve = Improve::new(&p, seed);
            improve.from_today();
            let mut placed = improve.mend();
            if !placed {
                improve = Improve::new(&p, seed);
                placed = improve.first();
            }
            while placed && began.elapsed() < within {
                improve.improve(MOVES);
            }
            let moved = improve.worth().filter(|_| placed && improve.sound());
            (found.into_iter().chain(moved).max(), false)
        }
    };
    match found {
        Some(best) => Ended::Done(tell(&p, &best, proven)),
        None => match impossible(&p) {
            Ended::Impossible(why) => Ended::Impossible(why),
            _ => Ended::Wrong("no placement was found in time, and none was proven impossible".into()),
        },
    }
}

fn impossible(p: &Problem) -> Ended {
    let Some(conflict) = contradict(p, EXACT_STEPS) else {
        return Ended::Wrong("nothing fits; the contradiction is too large to be named in time".into());
    };
    let mut out =
        String::from("nothing fits; these contradict, and without any one of them the rest would do:");
    for wish in &conflict.demands {
        write!(out, "\n  {}", p.tell(*wish)).expect("memory");
    }
    match conflict.stretch {
        Some(s) => write!(out, "\nleast relaxation: all capacities times {}.{:03}", s / 1000, s % 1000),
        None => write!(out, "\nno capacity would do"),
    }
    .expect("memory");
    Ended::Impossible(out)
}

fn tell(p: &Problem, best: &Worth, proven: bool) -> String {
    let most = bound::most(p);
    let mut out = String::new();
    let chosen = choose(p, &best.order.0);
    for (v, set) in p.volumes.iter().zip(&best.order.0) {
        let names: Vec<&str> = set.iter().map(|n| p.nodes[*n].name.as_str()).collect();
        writeln!(out, "place {} {}", v.name, names.join(" ")).expect("memory");
    }
    for (v, (reserve, weight)) in p.volumes.iter().zip(chosen.reserves.iter().zip(&chosen.weights)) {
        writeln!(out, "share {} reserve {} weight {weight}", v.name, rate(*reserve)).expect("memory");
    }
    for v in p.volumes.iter().filter(|v| v.limit > 0 && !p.hosts.is_empty()) {
        let sent: Vec<u64> = p.hosts.iter().map(|h| h.sends.get(&v.name).copied().unwrap_or(0)).collect();
        for (host, part) in p.hosts.iter().zip(parts(v.limit, &sent, PART_LEAST)) {
            writeln!(out, "part {} {} {}", v.name, host.name, rate(part)).expect("memory");
        }
    }
    if chosen.gain > chosen.before {
        let gain = |g: i128| g as f64 / GAIN;
        writeln!(
            out,
            "# with these shares {:.3} a second, with those given {:.3}",
            gain(chosen.gain),
            gain(chosen.before)
        )
        .expect("memory");
    }
    let gap = if most > 0 { 100.0 * (most - best.gain) as f64 / most as f64 } else { 0.0 };
    write!(
        out,
        "# gain {:.3} a second in a surge of all, bound {:.3}, gap {gap:.2} %{}; cost {}; data moved {}",
        best.gain as f64 / GAIN,
        most as f64 / GAIN,
        if proven { ", proven best" } else { "" },
        best.cost.0,
        best.moved.0 as f64 / SCALE as f64
    )
    .expect("memory");
    out
}

fn rate(thousandths: u64) -> String {
    format!("{}.{:03}/s", thousandths / 1000, thousandths % 1000)
}

fn placement(p: &Problem, file: &Path) -> Result<Placement, String> {
    answer(p, file).map(|a| a.0)
}

/// Reads what was worked out: lines `place VOLUME NODE …` for all volumes, and `share VOLUME reserve R weight N`.
fn answer(p: &Problem, file: &Path) -> Result<(Placement, Vec<Share>), String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    let mut problems = Diagnostics::new(&name);
    let mut at: Placement = vec![Vec::new(); p.volumes.len()];
    let mut shares: Vec<Share> = Vec::new();
    for (i, line) in text.lines().enumerate() {
        let words = tokenize(i + 1, line, &mut problems);
        let Some(first) = words.first() else { continue };
        let (start, what) = (first.position, first.text.clone());
        if what == "part" {
            // Parts are told for the operator; in service hosts lend them (`docs/living-plans.md`).
            continue;
        }
        if !matches!(what.as_str(), "place" | "share") {
            problems.add(start, "place, share or part", format!("`{what}`"));
            continue;
        }
        let mut args = Arguments::new(&words, &mut problems);
        let volume = args.value("the name of a volume", |w| p.volumes.iter().position(|v| v.name == w));
        if what == "share" {
            args.value("reserve", |w| (w == "reserve").then_some(()));
            let reserve = args.exact_rate(RATE);
            args.value("weight", |w| (w == "weight").then_some(()));
            let weight = args.integer("a whole number", 0, MOST);
            args.expect_end();
            if let (Some(v), Some(reserve), Some(weight)) = (volume, reserve, weight) {
                shares.push(Share {
                    volume: p.volumes[v].name.clone(),
                    reserved_milliunits: reserve,
                    weight,
                });
            }
            continue;
        }
        let mut set = Vec::new();
        while args.has_more() {
            set.extend(args.value("the name of a node", |w| p.nodes.iter().position(|n| n.name == w)));
        }
        set.sort_unstable();
        set.dedup();
        if let Some(v) = volume {
            if set.len() != p.volumes[v].spread {
                problems.add(start, format!("{} nodes", p.volumes[v].spread), set.len().to_string());
            }
            at[v] = set;
        }
    }
    let top = Position { line: 1, column: 1 };
    for (v, _) in at.iter().enumerate().filter(|a| a.1.is_empty()) {
        problems.add(top, format!("a line for volume {}", p.volumes[v].name), "none");
    }
    if problems.is_empty() { Ok((at, shares)) } else { Err(problems.sorted().to_string()) }
}

/// Writes the shares of an answer into a configuration, which then still has to be taken up (`reload`). What the
/// configuration contradicts is refused: volumes that it lacks, and data that lies elsewhere than the answer
/// has it. Without `write` it only tells what would change.
pub fn apply(file: &Path, answered: &Path, conf: &Path, write: bool) -> Ended {
    let done = || -> Result<String, String> {
        let p = read(file)?;
        let (at, shares) = answer(&p, answered)?;
        let name = conf.display().to_string();
        let text = std::fs::read_to_string(conf).map_err(|e| format!("{name}: {e}"))?;
        let site = mallowseam_settings::parse(&name, &text).map_err(|problems| problems.to_string())?;
        let mut against = Vec::new();
        for (v, set) in p.volumes.iter().zip(&at) {
            let Some(volume) = site.volumes.iter().find(|w| w.name == v.name && !w.mapped) else { continue };
            let lies: BTreeSet<&str> =
                volume.extents.iter().map(|e| site.nodes[e.node].name.as_str()).collect();
            let wanted: BTreeSet<&str> = set.iter().map(|n| p.nodes[*n].name.as_str()).collect();
            if lies != wanted {
                let names = |s: &BTreeSet<&str>| s.iter().copied().collect::<Vec<_>>().join(" ");
                against.push(format!(
                    "volume {}: lies on {}, and the answer has it on {}; move its data first (`shares moves`)",
                    v.name,
                    names(&lies),
                    names(&wanted)
                ));
            }
        }
        let edited = match edit::apply_shares(&text, &site, &shares) {
            Ok(edited) => edited,
            Err(mut unknown) => {
                against.append(&mut unknown);
                String::new()
            }
        };
        if !against.is_empty() {
            return Err(against.join("\n"));
        }
        let wanted = mallowseam_settings::parse(&name, &edited).map_err(|problems| problems.to_string())?;
        let taken = reload::evaluate(&site, &wanted).map_err(|against| against.join("\n"))?;
        let told =
            if taken.changes.is_empty() { "nothing is different".into() } else { taken.changes.join("\n") };
        if write && !taken.changes.is_empty() {
            replace(conf, edited.as_bytes()).map_err(|e| format!("{name}: {e}"))?;
            return Ok(format!("{told}\nwritten; `mallowseam reload {name}` has the host take it up"));
        }
        Ok(told)
    };
    match done() {
        Ok(text) => Ended::Done(text),
        Err(why) => Ended::Wrong(why),
    }
}

/// What two placements of one problem are worth, side by side.
pub fn compare(file: &Path, one: &Path, other: &Path) -> Ended {
    let read = || -> Result<String, String> {
        let p = read(file)?;
        let mut out =
            format!("{:<24}{:>16}{:>10}{:>14}{:>8}", "placement", "gain", "cost", "data moved", "fits");
        let mut sets = Vec::new();
        for file in [one, other] {
            let at = placement(&p, file)?;
            let w = worth(&p, &at);
            write!(
                out,
                "\n{:<24}{:>16.3}{:>10}{:>14.1}{:>8}",
                file.display().to_string(),
                w.gain as f64 / GAIN,
                w.cost.0,
                w.moved.0 as f64 / SCALE as f64,
                if fits(&p, &placed(&at), &|_| true, 1000) { "yes" } else { "no" }
            )
            .expect("memory");
            sets.push(at);
        }
        for (v, volume) in p.volumes.iter().enumerate().filter(|(v, _)| sets[0][*v] != sets[1][*v]) {
            let names =
                |set: &[usize]| set.iter().map(|n| p.nodes[*n].name.as_str()).collect::<Vec<_>>().join(" ");
            write!(out, "\n{}: {} | {}", volume.name, names(&sets[0][v]), names(&sets[1][v]))
                .expect("memory");
        }
        Ok(out)
    };
    match read() {
        Ok(text) => Ended::Done(text),
        Err(why) => Ended::Wrong(why),
    }
}

/// How full each node is with a placement, now and in the worst loss.
pub fn explain(file: &Path, answered: &Path) -> Ended {
    let told = || -> Result<String, String> {
        let p = read(file)?;
        let at = placement(&p, answered)?;
        let mut out = format!("{:<16}{:>12}{:>12}{:>8}  volumes", "node", "capacity", "reserved", "part");
        for (n, node) in p.nodes.iter().enumerate() {
            let here: Vec<usize> = (0..at.len()).filter(|v| at[*v].contains(&n)).collect();
            let reserved: f64 =
                here.iter().map(|v| p.volumes[*v].reserve as f64 / at[*v].len() as f64).sum::<f64>() / 1000.0;
            let capacity = node.capacity as f64 / 1000.0;
            let part = if capacity > 0.0 { 100.0 * reserved / capacity } else { 0.0 };
            let names: Vec<&str> = here.iter().map(|v| p.volumes[*v].name.as_str()).collect();
            write!(
                out,
                "\n{:<16}{capacity:>10.1}/s{reserved:>10.1}/s{part:>7.1}%  {}",
                node.name,
                names.join(" ")
            )
            .expect("memory");
        }
        let verdict =
            if fits(&p, &placed(&at), &|_| true, 1000) { "all reserves fit" } else { "reserves do not fit" };
        write!(out, "\n{verdict}").expect("memory");
        Ok(out)
    };
    match told() {
        Ok(text) => Ended::Done(text),
        Err(why) => Ended::Wrong(why),
    }
}

/// The steps to a placement, one a line: `move VOLUME FROM TO DATA`, `-` where there is none.
pub fn moves(file: &Path, placed: &Path, most: Option<u64>) -> Ended {
    let told = || -> Result<String, String> {
        let p = read(file)?;
        let to = placement(&p, placed)?;
        let most = most.map(|m| u128::from(m) * SCALE as u128);
        let moves = moves::order(&p, &moves::today(&p), &to, most);
        let name = |n: Option<usize>| n.map_or("-", |n| p.nodes[n].name.as_str());
        let mut out = String::new();
        for s in &moves.steps {
            let volume = &p.volumes[s.volume].name;
            let data = s.data as f64 / SCALE as f64;
            writeln!(out, "move {volume} {} {} {data}", name(s.from), name(s.to)).expect("memory");
        }
        let names =
            |all: &[usize]| all.iter().map(|v| p.volumes[*v].name.as_str()).collect::<Vec<_>>().join(" ");
        for (what, all) in [
            ("stays, beyond the data that may be moved", &moves.left),
            ("no order of steps was found that breaks nothing", &moves.stuck),
        ] {
            if !all.is_empty() {
                writeln!(out, "# {what}: {}", names(all)).expect("memory");
            }
        }
        write!(out, "# {} steps, data moved {}", moves.steps.len(), moves.data() as f64 / SCALE as f64)
            .expect("memory");
        Ok(out)
    };
    match told() {
        Ok(text) => Ended::Done(text),
        Err(why) => Ended::Wrong(why),
    }
}

/// What answers would have earned with the demand that was measured: gain a second of each, over all intervals,
/// in the worst of them, and how many intervals it was best in.
pub fn replay(file: &Path, record: &Path, answers: &[PathBuf]) -> Ended {
    let done = || -> Result<String, String> {
        let p = read(file)?;
        let intervals = demand::read(record)?;
        let known = |name: &String| p.volumes.iter().any(|v| v.name == *name);
        let unknown: BTreeSet<&String> =
            intervals.iter().flat_map(|i| i.keys()).filter(|n| !known(n)).collect();
        if let Some(name) = unknown.first() {
            return Err(format!("{}: volume {name} is not in {}", record.display(), file.display()));
        }
        if intervals.is_empty() {
            return Err(format!("{}: no intervals", record.display()));
        }
        let mut earned: Vec<Vec<i128>> = Vec::new();
        for path in answers {
            let (at, shares) = answer(&p, path)?;
            let figures: Vec<(u64, u64)> = p
                .volumes
                .iter()
                .map(|v| {
                    let own = shares.iter().find(|s| s.volume == v.name);
                    own.map_or((v.reserve, v.weight), |s| (s.reserved_milliunits, s.weight))
                })
                .collect();
            let moment = |i: &demand::Interval| {
                let asked =
                    |v: &Volume| (i.get(&v.name).copied().unwrap_or(0.0) * 1000.0).min(MOST as f64) as u64;
                gain_of(&p, &at, &figures, &p.volumes.iter().map(asked).collect::<Vec<_>>())
            };
            earned.push(intervals.iter().map(moment).collect());
        }
        let mut out = format!("{:<28}{:>14}{:>14}{:>10}", "answer", "gain a second", "worst", "best in");
        for (path, gains) in answers.iter().zip(&earned) {
            let mean = gains.iter().sum::<i128>() as f64 / gains.len() as f64 / GAIN;
            let worst = *gains.iter().min().expect("not empty") as f64 / GAIN;
            let best = (0..gains.len()).filter(|i| earned.iter().all(|g| g[*i] <= gains[*i])).count();
            write!(out, "\n{:<28}{mean:>14.3}{worst:>14.3}{best:>10}", path.display().to_string())
                .expect("memory");
        }
        write!(out, "\n# {} intervals; gains are the model's", intervals.len()).expect("memory");
        Ok(out)
    };
    match done() {
        Ok(text) => Ended::Done(text),
        Err(why) => Ended::Wrong(why),
    }
}
