//! Loopback addresses of runs that follow and overlap each other. Guards against a run that claims the addresses of an
//! ended one before that has closed its sockets, and then cannot open its own.
use crate::support::{HEAD, open, scenario};

/// Runs that are open at a time.
const PARALLEL: u64 = 8;
/// Runs that follow each other in each thread.
const RUNS: u64 = 40;

#[test]
fn a_run_that_follows_another_one_can_open_its_sockets() {
    std::thread::scope(|scope| {
        for thread in 0..PARALLEL {
            scope.spawn(move || {
                for run in 0..RUNS {
                    drop(open(&scenario(HEAD), thread * RUNS + run));
                }
            });
        }
    });
}
