//! The soak of restarts, short: seeds that have found something, and some others.
use crate::support::program;
use mallowseam_testbed::fleet::soak::{SeedReport, Soak};
use std::ops::Range;

/// Scenarios that are played at once.
const PARALLEL: usize = 5;

/// Seeds that have had findings. 1018, 1043, 1047, 1055: a connection that stood in the queue of a listener as it closed.
const FORMER_FINDINGS: [u64; 4] = [1_018, 1_043, 1_047, 1_055];
const OTHER_SEEDS: Range<u64> = 1..7;

/// A host is cut off from all nodes for 2 s while the others restart: its connections fill up with requests in flight.
const HOST_CUT_OFF: u64 = 123_456;

fn assert_no_findings(seeds: Vec<u64>) {
    let count = seeds.len();
    let soak = Soak {
        seeds,
        hosts: None,
        keep: None,
        parallel: PARALLEL,
        program: program(),
    };
    let mut reports: Vec<SeedReport> = Vec::new();
    soak.play(|report| reports.push(report)).expect("a run");
    assert_eq!(reports.len(), count);
    for report in reports {
        let findings = report.findings.join("\n");
        assert!(findings.is_empty(), "seed {}: {findings}", report.seed);
        assert!(report.requests > 500, "{}", report.requests);
        assert!(report.host_starts > 3, "{}", report.host_starts);
    }
}

#[test]
fn restarts_under_faults_cost_callers_no_more_than_a_retry() {
    assert_no_findings(FORMER_FINDINGS.into_iter().chain(OTHER_SEEDS).collect());
}

#[test]
fn a_host_whose_connections_are_all_in_flight_answers_new_ones() {
    assert_no_findings(vec![HOST_CUT_OFF]);
}
