//! All files with scheduling decisions are listed in the deploy file (see `DEVELOPERS.md`). Without this test, a new
//! policy module could be missing from the list.
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the paths listed as `policy` in the deploy file.
fn listed_files() -> BTreeSet<String> {
    let deploy = fs::read_to_string(workspace().join("deploy/balancer.toml"))
        .expect("deploy/balancer.toml is readable");
    let line = deploy
        .lines()
        .find(|line| line.starts_with("policy = "))
        .expect("deploy/balancer.toml lists the policy files");
    line.split('"')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

/// Returns the source files in a directory and its subdirectories, except `tests`, which contains no decisions.
fn source_files(directory: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(directory).expect("the directory of policy modules is readable");
    let mut files = Vec::new();
    for entry in entries {
        let path = entry.expect("the directory entry is readable").path();
        if !path.is_dir() {
            files.push(path);
        } else if path.file_name() != Some("tests".as_ref()) {
            files.extend(source_files(&path));
        }
    }
    files
}

#[test]
fn every_policy_module_is_listed_in_the_deploy_file() {
    let files = source_files(&workspace().join("crates/scheduler/src/policy"));
    let relative = files.iter().map(|path| {
        let path = path
            .strip_prefix(workspace())
            .expect("the path is in the workspace");
        path.to_str().expect("the path is valid UTF-8").to_owned()
    });
    assert_eq!(listed_files(), relative.collect());
}
