//! Writes worked-out shares into a configuration's own text: comments, order and all other lines stay.
use crate::config::GatewayConfig;
use crate::lines::{Diagnostics, tokenize};
use std::collections::BTreeMap;

/// Figures of one volume; the reserve in thousandths of a unit a second.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    pub volume: String,
    pub reserved_milliunits: u64,
    pub weight: u64,
}

/// A section: its first line and the lines behind it.
struct Section {
    kind: String,
    name: String,
    first: usize,
    end: usize,
}

/// The text with each volume's plan having these figures. A plan of volumes that all get the same is changed
/// where it stands; where they differ, each gets a plan of its own, named `PLAN-VOLUME`. Errors, a line each: a
/// volume that the configuration does not have.
///
/// `text` is what `site` was read from.
pub fn apply_shares(text: &str, site: &GatewayConfig, shares: &[Share]) -> Result<String, Vec<String>> {
    let unknown = |s: &&Share| !site.volumes.iter().any(|v| v.name == s.volume);
    let against: Vec<String> = shares
        .iter()
        .filter(unknown)
        .map(|s| format!("volume {}: the configuration has none of this name", s.volume))
        .collect();
    if !against.is_empty() {
        return Err(against);
    }
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    let of = |volume: &str| shares.iter().find(|s| s.volume == volume);
    let mut plans: BTreeMap<usize, Vec<&str>> = BTreeMap::new();
    for v in &site.volumes {
        plans.entry(v.plan).or_default().push(&v.name);
    }
    let mut added: Vec<String> = Vec::new();
    for (plan, volumes) in plans {
        let name = &site.plans[plan].name;
        let wanted: Vec<Option<&Share>> = volumes.iter().map(|v| of(v)).collect();
        let figures = |s: &Option<&Share>| s.map(|s| (s.reserved_milliunits, s.weight));
        if let Some(first) = wanted[0]
            && wanted.iter().all(|w| figures(w) == figures(&wanted[0]))
        {
            change(&mut lines, name, first);
            continue;
        }
        for share in wanted.into_iter().flatten() {
            let old = &site.plans[plan];
            if old.reserved_rate * 1000.0 == share.reserved_milliunits as f64
                && old.weight == share.weight as f64
            {
                continue;
            }
            let own = free_name(site, &format!("{name}-{}", share.volume));
            added.extend(copied(&lines, name, &own, share));
            repoint(&mut lines, &share.volume, &own);
        }
    }
    if !added.is_empty() {
        lines.push(String::new());
        lines.extend(added);
    }
    Ok(lines.join("\n") + "\n")
}

fn free_name(site: &GatewayConfig, wanted: &str) -> String {
    let taken = |name: &str| site.plans.iter().any(|p| p.name == name);
    let mut name = wanted.to_owned();
    let mut n = 2;
    while taken(&name) {
        name = format!("{wanted}-{n}");
        n += 1;
    }
    name
}

fn sections(lines: &[String]) -> Vec<Section> {
    let mut all: Vec<Section> = Vec::new();
    for (i, line) in lines.iter().enumerate() {
        let mut none = Diagnostics::new("");
        let words = tokenize(i + 1, line, &mut none);
        if line.starts_with(char::is_whitespace) || words.is_empty() {
            continue;
        }
        if let Some(last) = all.last_mut() {
            last.end = i;
        }
        let text = |n: usize| words.get(n).map(|w| w.text.clone()).unwrap_or_default();
        all.push(Section { kind: text(0), name: text(1), first: i, end: lines.len() });
    }
    all
}

fn section(lines: &[String], kind: &str, name: &str) -> Option<Section> {
    sections(lines).into_iter().find(|s| s.kind == kind && s.name == name)
}

/// The line of a directive in a section.
fn directive(lines: &[String], section: &Section, name: &str) -> Option<usize> {
    let mut none = Diagnostics::new("");
    (section.first + 1..section.end)
        .find(|i| tokenize(i + 1, &lines[*i], &mut none).first().is_some_and(|w| w.text == name))
}

fn indent(lines: &[String], section: &Section) -> String {
    let body = lines[section.first + 1..section.end].iter().find(|l| !l.trim().is_empty());
    let spaces = body.map_or(4, |l| l.len() - l.trim_start().len());
    " ".repeat(spaces)
}

/// `reserve` and `weight` as lines.
fn told(share: &Share, indent: &str) -> [(&'static str, String); 2] {
    let (whole, part) = (share.reserved_milliunits / 1000, share.reserved_milliunits % 1000);
    let rate = if part == 0 { format!("{whole}/s") } else { format!("{whole}.{part:03}/s") };
    [("reserve", format!("{indent}reserve {rate}")), ("weight", format!("{indent}weight {}", share.weight))]
}

fn change(lines: &mut Vec<String>, plan: &str, share: &Share) {
    let Some(found) = section(lines, "plan", plan) else { return };
    for (name, line) in told(share, &indent(lines, &found)) {
        let found = section(lines, "plan", plan).expect("just found");
        match directive(lines, &found, name) {
            Some(at) => {
                // What was noted behind the figure stays.
                let note = lines[at].find('#').map(|i| format!("  {}", &lines[at][i..])).unwrap_or_default();
                lines[at] = line + &note;
            }
            None => lines.insert(found.first + 1, line),
        }
    }
}

/// A plan like another one, with other figures.
fn copied(lines: &[String], plan: &str, own: &str, share: &Share) -> Vec<String> {
    let Some(found) = section(lines, "plan", plan) else { return Vec::new() };
    let replaced: Vec<usize> =
        ["reserve", "weight"].iter().filter_map(|d| directive(lines, &found, d)).collect();
    let mut out = vec![format!("plan {own}")];
    out.extend(told(share, &indent(lines, &found)).map(|t| t.1));
    let kept = (found.first + 1..found.end).filter(|i| !replaced.contains(i));
    out.extend(
        kept.map(|i| lines[i].clone()).filter(|l| !l.trim().is_empty() && l.starts_with(char::is_whitespace)),
    );
    out
}

fn repoint(lines: &mut [String], volume: &str, plan: &str) {
    let Some(found) = section(lines, "volume", volume) else { return };
    if let Some(at) = directive(lines, &found, "plan") {
        lines[at] = format!("{}plan {plan}", indent(lines, &found));
    }
}
