//! Answer files: the output of `work-out`, in lines `place`, `share` and `part`.
use super::error::PlacementError;
use super::problem_file::RATE;
use mallowseam_files::text_file::read_text;
use mallowseam_placement::Placement;
use mallowseam_placement::problem::{MAX_NUMBER, Problem};
use mallowseam_settings::edit::Share;
use mallowseam_settings::{Arguments, Diagnostics, Position, Token, tokenize};
use std::path::Path;

/// Placement and shares that an answer file contains.
pub(super) struct Answer {
    /// Nodes of each volume, in the problem's order of volumes.
    pub(super) placement: Placement,
    /// Reserve and weight of each volume with a line `share`.
    pub(super) shares: Vec<Share>,
}

/// Reads an answer to a problem. The answer has to place every volume.
pub(super) fn read(problem: &Problem, file: &Path) -> Result<Answer, PlacementError> {
    let text = read_text(file)?;
    let mut problems = Diagnostics::new(&file.display().to_string());
    let mut answer = Answer {
        placement: vec![Vec::new(); problem.volumes.len()],
        shares: Vec::new(),
    };
    for (index, line) in text.lines().enumerate() {
        let words = tokenize(index + 1, line, &mut problems);
        let Some(first) = words.first() else { continue };
        match first.text.as_str() {
            "place" => read_place(problem, &words, &mut answer, &mut problems),
            "share" => read_share(problem, &words, &mut answer, &mut problems),
            // Quotas are printed only for the operator; running hosts lease theirs (`docs/living-plans.md`).
            "part" => {}
            other => problems.add(first.position, "place, share or part", format!("`{other}`")),
        }
    }
    let top = Position { line: 1, column: 1 };
    for (volume, nodes) in problem.volumes.iter().zip(&answer.placement) {
        if nodes.is_empty() {
            problems.add(top, format!("a line for volume {}", volume.name), "none");
        }
    }
    if problems.is_empty() {
        Ok(answer)
    } else {
        Err(PlacementError::malformed(problems))
    }
}

/// Reads only the placement of an answer.
pub(super) fn read_placement(problem: &Problem, file: &Path) -> Result<Placement, PlacementError> {
    read(problem, file).map(|answer| answer.placement)
}

fn read_volume(problem: &Problem, args: &mut Arguments) -> Option<usize> {
    args.value("the name of a volume", |word| {
        problem.volumes.iter().position(|v| v.name == word)
    })
}

/// Reads a line `place VOLUME NODE …`.
fn read_place(problem: &Problem, words: &[Token], answer: &mut Answer, problems: &mut Diagnostics) {
    let mut args = Arguments::new(words, problems);
    let volume = read_volume(problem, &mut args);
    let mut nodes = Vec::new();
    while args.has_more() {
        let node = |word: &str| problem.nodes.iter().position(|n| n.name == word);
        nodes.extend(args.value("the name of a node", node));
    }
    nodes.sort_unstable();
    nodes.dedup();
    if let Some(volume) = volume {
        let spread = problem.volumes[volume].spread;
        if nodes.len() != spread {
            problems.add(
                words[0].position,
                format!("{spread} nodes"),
                nodes.len().to_string(),
            );
        }
        answer.placement[volume] = nodes;
    }
}

/// Reads a line `share VOLUME reserve RATE weight NUMBER`.
fn read_share(problem: &Problem, words: &[Token], answer: &mut Answer, problems: &mut Diagnostics) {
    let mut args = Arguments::new(words, problems);
    let volume = read_volume(problem, &mut args);
    args.value("reserve", |word| (word == "reserve").then_some(()));
    let reserve = args.exact_rate(RATE);
    args.value("weight", |word| (word == "weight").then_some(()));
    let weight = args.integer("a whole number", 0, MAX_NUMBER);
    args.expect_end();
    if let (Some(volume), Some(reserve), Some(weight)) = (volume, reserve, weight) {
        answer.shares.push(Share {
            volume: problem.volumes[volume].name.clone(),
            reserved_milliunits: reserve,
            weight,
        });
    }
}
