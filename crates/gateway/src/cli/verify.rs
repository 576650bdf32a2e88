//! `mallowseam verify`: prints what the walk over the snapshot catalog and the nodes has found.
use super::error::CommandError;
use crate::verify;
use mallowseam_files::text_file::read_configuration;
use std::path::Path;

/// Walks the catalog's store and all nodes; with `reclaim`, unmaps what nothing refers to.
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
    let sound = findings.faults.is_empty() && (reclaim || findings.leaked.is_empty());
    if sound {
        Ok(())
    } else {
        Err(CommandError::Unsound)
    }
}
