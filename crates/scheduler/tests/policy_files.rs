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

/// The files below a folder that hold source text; folders of tests hold no decisions.
fn source_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("a folder of policy modules");
    let mut files = Vec::new();
    for entry in entries {
        let path = entry.expect("an entry").path();
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
            .expect("a path below the root");
        path.to_str().expect("a name in ASCII").to_owned()
    });
    assert_eq!(listed(), relative.collect());
}
