//! The files that hold decisions (`DEVELOPERS.md`) are all listed for the deployment.
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The paths listed as `policy` in the deploy file.
fn listed() -> BTreeSet<String> {
    let deploy =
        fs::read_to_string(workspace().join("deploy/balancer.toml")).expect("the deploy file");
    let line = deploy
        .lines()
        .find(|line| line.starts_with("policy = "))
        .expect("a list of policy files");
    line.split('"')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

#[test]
fn every_policy_module_is_listed_in_the_deploy_file() {
    let folder = workspace().join("crates/scheduler/src/policy");
    let entries = fs::read_dir(folder)
        .expect("the policy modules")
        .map(|entry| entry.expect("an entry"));
    let modules = entries.map(|entry| entry.file_name().into_string().expect("a name in ASCII"));
    let paths: BTreeSet<String> = modules
        .map(|name| format!("crates/scheduler/src/policy/{name}"))
        .collect();
    assert_eq!(listed(), paths);
}
