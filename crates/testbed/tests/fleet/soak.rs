//! Short soak test of host restarts, with seeds that led to findings in the past and some others. Guards against
//! requests that are lost, duplicated or left without a response when hosts restart under faults.
use crate::support::program;
use mallowseam_testbed::fleet::soak::{SeedReport, Soak};
use std::ops::Range;

/// Number of scenarios that are played concurrently.
const PARALLEL: usize = 5;

/// Seeds that led to findings. 1018, 1043, 1047 and 1055: a connection was still in the accept queue of a listener when
/// the listener was closed.
const FORMER_FINDINGS: [u64; 4] = [1_018, 1_043, 1_047, 1_055];
/// Seeds without former findings.
const OTHER_SEEDS: Range<u64> = 1..7;

/// Seed of a scenario in which a host is cut off from all nodes for 2 s while the others restart, so that requests in
/// flight fill its connections.
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
    soak.play(|report| reports.push(report))
        .expect("testbed failed");
    assert_eq!(reports.len(), count);
    for report in reports {
        let findings = report.findings.join("\n");
        assert!(findings.is_empty(), "seed {}: {findings}", report.seed);
        assert!(report.requests > 500, "only {} requests", report.requests);
        assert!(
            report.host_starts > 3,
            "only {} host starts",
            report.host_starts
        );
    }
}

#[test]
fn restarts_under_faults_cost_clients_at_most_a_retry() {
    assert_no_findings(FORMER_FINDINGS.into_iter().chain(OTHER_SEEDS).collect());
}

#[test]
fn a_host_whose_connections_are_all_in_flight_answers_new_ones() {
    assert_no_findings(vec![HOST_CUT_OFF]);
}
