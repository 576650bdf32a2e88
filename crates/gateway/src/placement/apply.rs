//! `shares apply`: writes the shares of an answer into a host's configuration.
use super::answer_file::Answer;
use super::error::PlacementError;
use super::{answer_file, problem_file};
use mallowseam_files::atomic_file;
use mallowseam_files::text_file::{FileError, read_text};
use mallowseam_placement::problem::Problem;
use mallowseam_settings::{GatewayConfig, edit, reload};
use std::collections::BTreeSet;
use std::path::Path;

/// Returns a description of the changes to the configuration and, with `write`, writes them; the host applies the
/// changed file when it reloads it. An answer is rejected if it names volumes that the configuration lacks, or places
/// volumes on other nodes than those that store their data.
pub(crate) fn apply(
    file: &Path,
    answer: &Path,
    configuration: &Path,
    write: bool,
) -> Result<String, PlacementError> {
    let problem = problem_file::read(file)?;
    let answer = answer_file::read(&problem, answer)?;
    let name = configuration.display().to_string();
    let text = read_text(configuration)?;
    let parse = |text: &str| {
        mallowseam_settings::parse(&name, text)
            .map_err(|problems| PlacementError::File(FileError::Malformed(problems)))
    };
    let config = parse(&text)?;
    let mut contradictions = misplaced_volumes(&problem, &answer, &config);
    let edited = edit::apply_shares(&text, &config, &answer.shares).unwrap_or_else(|unknown| {
        contradictions.push(unknown.to_string());
        String::new()
    });
    if !contradictions.is_empty() {
        return Err(PlacementError::Contradicted(contradictions));
    }
    let outcome = reload::evaluate(&config, &parse(&edited)?)
        .map_err(|error| PlacementError::Contradicted(vec![error.to_string()]))?;
    if outcome.changes.is_empty() {
        return Ok("nothing is different".to_owned());
    }
    let summary = outcome.summary();
    if !write {
        return Ok(summary);
    }
    atomic_file::replace(configuration, edited.as_bytes()).map_err(|source| {
        PlacementError::Write {
            file: configuration.to_owned(),
            source,
        }
    })?;
    Ok(format!(
        "{summary}\nwritten; run `mallowseam reload {name}` to make the host apply the changes"
    ))
}

/// Returns one line for each volume whose data is on other nodes than the answer places it on. Mapped volumes are left
/// out, since the snapshot catalog decides where their blocks are stored.
fn misplaced_volumes(problem: &Problem, answer: &Answer, config: &GatewayConfig) -> Vec<String> {
    let mut misplaced = Vec::new();
    for (volume, nodes) in problem.volumes.iter().zip(&answer.placement) {
        let configured = config
            .volumes
            .iter()
            .find(|other| other.name == volume.name && !other.mapped);
        let Some(configured) = configured else {
            continue;
        };
        let present: BTreeSet<&str> = configured
            .extents
            .iter()
            .map(|extent| config.nodes[extent.node].name.as_str())
            .collect();
        let wanted: BTreeSet<&str> = nodes
            .iter()
            .map(|node| problem.nodes[*node].name.as_str())
            .collect();
        if present != wanted {
            let names = |set: &BTreeSet<&str>| set.iter().copied().collect::<Vec<_>>().join(" ");
            misplaced.push(format!(
                "volume {}: data is on {}, but the answer places it on {}; move its data first (`shares moves`)",
                volume.name,
                names(&present),
                names(&wanted)
            ));
        }
    }
    misplaced
}
