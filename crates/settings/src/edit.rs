//! Writes computed shares into the text of a configuration. Comments, order and all other lines stay as they are.
use crate::config::{GatewayConfig, Plan};
use crate::diagnostics::Diagnostics;
use crate::tokens::{Token, tokenize};
use std::collections::BTreeMap;
use thiserror::Error;

/// Indentation of a directive in a section that has none yet, in spaces.
const DEFAULT_INDENT: usize = 4;

/// The computed parameters of one volume.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Name of the volume.
    pub volume: String,
    /// Reserved rate, in thousandths of a unit per second.
    pub reserved_milliunits: u64,
    /// Weight of the volume's share.
    pub weight: u64,
}

/// Error for shares of volumes that the configuration lacks. `Display` writes one line per volume.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", unknown_lines(.0))]
pub struct UnknownVolumes(pub Vec<String>);

fn unknown_lines(volumes: &[String]) -> String {
    let line = |name: &String| format!("volume {name}: not in the configuration");
    volumes.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Returns the text of a configuration with these shares in the plans of the volumes. A plan whose volumes all get the
/// same parameters is changed in place; otherwise each of its volumes with a changed share gets a plan of its own, named
/// `PLAN-VOLUME`. `config` has to be the parsed `text`.
///
/// # Errors
///
/// The configuration lacks some of the volumes.
pub fn apply_shares(
    text: &str,
    config: &GatewayConfig,
    shares: &[Share],
) -> Result<String, UnknownVolumes> {
    let is_unknown = |s: &&Share| !config.volumes.iter().any(|v| v.name == s.volume);
    let unknown: Vec<String> = shares
        .iter()
        .filter(is_unknown)
        .map(|s| s.volume.clone())
        .collect();
    if !unknown.is_empty() {
        return Err(UnknownVolumes(unknown));
    }
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    let mut added_plans: Vec<String> = Vec::new();
    for (plan, volumes) in volumes_by_plan(config) {
        let plan = &config.plans[plan];
        let wanted: Vec<Option<&Share>> = volumes
            .iter()
            .map(|volume| shares.iter().find(|s| s.volume == *volume))
            .collect();
        if let Some(share) = common_share(&wanted) {
            set_parameters(&mut lines, &plan.name, share);
            continue;
        }
        for share in wanted
            .into_iter()
            .flatten()
            .filter(|s| !has_parameters(plan, s))
        {
            let name = free_plan_name(config, &format!("{}-{}", plan.name, share.volume));
            added_plans.extend(derived_plan(&lines, &plan.name, &name, share));
            assign_plan(&mut lines, &share.volume, &name);
        }
    }
    if !added_plans.is_empty() {
        lines.push(String::new());
        lines.extend(added_plans);
    }
    Ok(lines.join("\n") + "\n")
}

/// Returns the names of the volumes of each plan, by the plan's index.
fn volumes_by_plan(config: &GatewayConfig) -> BTreeMap<usize, Vec<&str>> {
    let mut plans: BTreeMap<usize, Vec<&str>> = BTreeMap::new();
    for volume in &config.volumes {
        plans.entry(volume.plan).or_default().push(&volume.name);
    }
    plans
}

/// Returns the share of the first volume if all volumes get the same parameters.
fn common_share<'a>(wanted: &[Option<&'a Share>]) -> Option<&'a Share> {
    let parameters = |s: Option<&Share>| s.map(|s| (s.reserved_milliunits, s.weight));
    let first = wanted[0]?;
    wanted
        .iter()
        .all(|w| parameters(*w) == parameters(wanted[0]))
        .then_some(first)
}

fn has_parameters(plan: &Plan, share: &Share) -> bool {
    plan.reserved_rate * 1000.0 == share.reserved_milliunits as f64
        && plan.weight == share.weight as f64
}

/// Returns this name if no plan has it, else the name followed by a number.
fn free_plan_name(config: &GatewayConfig, wanted: &str) -> String {
    let is_taken = |name: &str| config.plans.iter().any(|p| p.name == name);
    let mut name = wanted.to_owned();
    let mut n = 2;
    while is_taken(&name) {
        name = format!("{wanted}-{n}");
        n += 1;
    }
    name
}

/// A section of the text and its range of lines.
struct Section {
    keyword: String,
    name: String,
    /// Index of the line that opens the section.
    first: usize,
    /// Index of the line after the section.
    end: usize,
}

/// Returns the tokens of a line of a valid configuration, for which there are no diagnostics.
fn tokens_of(line: &str) -> Vec<Token> {
    tokenize(1, line, &mut Diagnostics::new(""))
}

fn sections(lines: &[String]) -> Vec<Section> {
    let mut sections: Vec<Section> = Vec::new();
    for (index, line) in lines.iter().enumerate() {
        let tokens = tokens_of(line);
        if line.starts_with(char::is_whitespace) || tokens.is_empty() {
            continue;
        }
        if let Some(last) = sections.last_mut() {
            last.end = index;
        }
        let text = |n: usize| tokens.get(n).map(|t| t.text.clone()).unwrap_or_default();
        sections.push(Section {
            keyword: text(0),
            name: text(1),
            first: index,
            end: lines.len(),
        });
    }
    sections
}

fn find_section(lines: &[String], keyword: &str, name: &str) -> Option<Section> {
    sections(lines)
        .into_iter()
        .find(|s| s.keyword == keyword && s.name == name)
}

/// Returns the index of the line with a directive in a section.
fn find_directive(lines: &[String], section: &Section, directive: &str) -> Option<usize> {
    let is_directive = |index: &usize| {
        tokens_of(&lines[*index])
            .first()
            .is_some_and(|t| t.text == directive)
    };
    (section.first + 1..section.end).find(is_directive)
}

/// Returns the indentation of the first directive in a section.
fn indent(lines: &[String], section: &Section) -> String {
    let first = lines[section.first + 1..section.end]
        .iter()
        .find(|l| !l.trim().is_empty());
    let spaces = first.map_or(DEFAULT_INDENT, |l| l.len() - l.trim_start().len());
    " ".repeat(spaces)
}

/// Returns the directives `reserve` and `weight` with their lines for a share.
fn parameter_lines(share: &Share, indent: &str) -> [(&'static str, String); 2] {
    let (whole, thousandths) = (
        share.reserved_milliunits / 1000,
        share.reserved_milliunits % 1000,
    );
    let rate = if thousandths == 0 {
        format!("{whole}/s")
    } else {
        format!("{whole}.{thousandths:03}/s")
    };
    [
        ("reserve", format!("{indent}reserve {rate}")),
        ("weight", format!("{indent}weight {}", share.weight)),
    ]
}

/// Sets the parameters of a plan in place. Comments after the parameters are kept.
fn set_parameters(lines: &mut Vec<String>, plan: &str, share: &Share) {
    let Some(section) = find_section(lines, "plan", plan) else {
        return;
    };
    for (directive, line) in parameter_lines(share, &indent(lines, &section)) {
        // Inserting the previous directive may have moved the end of the section.
        let section = find_section(lines, "plan", plan).expect("the section was found before");
        match find_directive(lines, &section, directive) {
            Some(index) => {
                let old = &lines[index];
                let comment = old
                    .find('#')
                    .map(|i| format!("  {}", &old[i..]))
                    .unwrap_or_default();
                lines[index] = line + &comment;
            }
            None => lines.insert(section.first + 1, line),
        }
    }
}

/// Returns the lines of a copy of a plan with the parameters of a share.
fn derived_plan(lines: &[String], plan: &str, name: &str, share: &Share) -> Vec<String> {
    let Some(section) = find_section(lines, "plan", plan) else {
        return Vec::new();
    };
    let replaced: Vec<usize> = ["reserve", "weight"]
        .iter()
        .filter_map(|d| find_directive(lines, &section, d))
        .collect();
    let mut derived = vec![format!("plan {name}")];
    derived.extend(parameter_lines(share, &indent(lines, &section)).map(|(_, line)| line));
    let copied = (section.first + 1..section.end).filter(|index| !replaced.contains(index));
    let is_directive =
        |line: &&String| !line.trim().is_empty() && line.starts_with(char::is_whitespace);
    derived.extend(
        copied
            .map(|index| &lines[index])
            .filter(is_directive)
            .cloned(),
    );
    derived
}

/// Assigns another plan to a volume.
fn assign_plan(lines: &mut [String], volume: &str, plan: &str) {
    let Some(section) = find_section(lines, "volume", volume) else {
        return;
    };
    if let Some(index) = find_directive(lines, &section, "plan") {
        lines[index] = format!("{}plan {plan}", indent(lines, &section));
    }
}
