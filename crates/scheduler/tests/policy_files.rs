//! The bounds of the files that hold decisions (`DEVELOPERS.md`): listed for the deployment, few and short lines.
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const MAX_LINES: usize = 1_120;
const MAX_LINE_LENGTH: usize = 110;

fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The paths listed as `policy` in the deploy file.
fn listed() -> BTreeSet<String> {
    let deploy = fs::read_to_string(workspace().join("deploy/balancer.toml")).expect("the deploy file");
    let line = deploy.lines().find(|line| line.starts_with("policy = ")).expect("a list of policy files");
    line.split('"').skip(1).step_by(2).map(str::to_owned).collect()
}

#[test]
fn every_policy_module_is_listed_in_the_deploy_file() {
    let folder = workspace().join("crates/scheduler/src/policy");
    let entries = fs::read_dir(folder).expect("the policy modules").map(|entry| entry.expect("an entry"));
    let modules = entries.map(|entry| entry.file_name().into_string().expect("a name in ASCII"));
    let paths: BTreeSet<String> = modules.map(|name| format!("crates/scheduler/src/policy/{name}")).collect();
    assert_eq!(listed(), paths);
}

#[test]
fn policy_files_keep_to_their_bounds() {
    let mut total = 0;
    for path in listed() {
        let text = fs::read_to_string(workspace().join(&path)).expect("a listed file");
        total += text.lines().filter(|line| !line.trim().is_empty()).count();
        let longest = text.lines().map(|line| line.chars().count()).max().unwrap_or(0);
        assert!(longest <= MAX_LINE_LENGTH, "{path}: a line of {longest} characters");
    }
    assert!(total <= MAX_LINES, "{total} lines that are not blank, at most {MAX_LINES}");
}
