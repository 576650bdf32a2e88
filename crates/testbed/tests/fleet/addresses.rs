//! Loopback addresses of runs that follow and overlap each other. Guards against a run that claims the addresses of an
//! ended one before that has closed its sockets, and then cannot open its own.
use crate::support::{HEAD, open, scenario};
use std::process::Command;

/// Runs that are open at a time.
const PARALLEL: u64 = 8;
/// Runs that follow each other in each thread.
const RUNS: u64 = 40;
/// Threads that start processes meanwhile.
const STARTERS: u64 = 4;
/// Processes that follow each other in each of these threads.
const PROCESSES: u64 = 100;

fn open_runs(thread: u64) {
    for run in 0..RUNS {
        drop(open(&scenario(HEAD), thread * RUNS + run));
    }
}

#[test]
fn a_run_that_follows_another_one_can_open_its_sockets() {
    std::thread::scope(|scope| {
        for thread in 0..PARALLEL {
            scope.spawn(move || open_runs(thread));
        }
    });
}

/// A process that is being started holds copies of all sockets until its exec.
#[test]
fn runs_can_open_their_sockets_while_processes_are_started() {
    std::thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                for _ in 0..PROCESSES {
                    let status = Command::new("/bin/true").status();
                    assert!(status.expect("cannot start the process").success());
                }
            });
        }
        for thread in 0..PARALLEL {
            scope.spawn(move || open_runs(thread));
        }
    });
}
