//! A small fleet to tell stories on: five hosts, three nodes, a list service of ten calls a second.
use mallowseam_lab::fleet::play::{Outcome, Stage};
use mallowseam_lab::fleet::processes::Program;
use mallowseam_lab::fleet::scene::{self, Scene};
use std::time::Duration;
use tempfile::TempDir;

pub const HEAD: &str = "day 6s\nhosts 5 known now\nzones 2\nnodes 3 cores 2 work 5ms queue 32\nlines 64 1ms\n\
    cold 25% 3s 4 1s 60 3s\nclients rate 60/s posts 30% again 1\nlist takes 100ms patience 1s lag 50ms\n";

pub fn scene(text: &str) -> Scene {
    scene::read("story", text).expect("a sound script")
}

/// Another head: what is to stand in place of what.
pub fn changed(changes: &[(&str, &str)]) -> Scene {
    let text = changes.iter().fold(HEAD.to_owned(), |text, (was, is)| {
        assert!(text.contains(was), "{was}");
        text.replace(was, is)
    });
    scene(&text)
}

/// The host that was built with these tests.
pub fn program() -> Program {
    Program { path: env!("CARGO_BIN_EXE_mallowseam-lab").into(), args: vec!["host".into(), "host".into()] }
}

pub fn stage(scene: &Scene, seed: u64) -> (Stage, TempDir) {
    let dir = tempfile::tempdir().expect("a directory");
    (Stage::open(scene, seed, &program(), dir.path()).expect("a stage"), dir)
}

/// Waits, far past any time in a story.
pub fn until(stage: &mut Stage, what: &str, holds: impl FnMut(&mut Stage) -> bool) {
    assert!(stage.until_holds(Duration::from_secs(45), holds), "waited in vain: {what}");
}

pub fn close(stage: Stage) -> Outcome {
    let outcome = stage.close().expect("an end");
    assert!(outcome.crashed.is_empty(), "{:?}", outcome.crashed);
    assert!(outcome.verdict.kept(), "{}", outcome.verdict.evidence().join("\n"));
    assert_eq!((outcome.verdict.unanswered, outcome.verdict.doubled), (0, 0));
    outcome
}
