//! `mallowseam verify`: verifies the snapshot catalog against the nodes and prints the findings.
use super::error::CommandError;
use crate::verify;
use mallowseam_files::text_file::read_configuration;
use std::path::Path;

/// Compares the catalog's store with all nodes and prints the findings; with `reclaim`, has the nodes unmap locations
/// that nothing refers to.
pub(super) fn execute(file: &Path, reclaim: bool) -> Result<(), CommandError> {
    let config = read_configuration(file)?;
    let findings = verify::run(&config, reclaim)?;
    findings
        .faults
        .iter()
        .for_each(|fault| println!("fault: {fault}"));
    let label = if reclaim { "given back" } else { "leaked" };
    for (layer, location) in &findings.leaked {
        let node = &config.nodes[location.node as usize].name;
        println!("{label}: layer {layer}, place {} at {node}", location.slot);
    }
    println!(
        "places {}, of which hold data {}; leaked {}; faults {}",
        findings.locations,
        findings.locations_with_data,
        findings.leaked.len(),
        findings.faults.len()
    );
    let is_consistent = findings.faults.is_empty() && (reclaim || findings.leaked.is_empty());
    if is_consistent {
        Ok(())
    } else {
        Err(CommandError::VerificationFailed)
    }
}
