//! Tests of the zones of nodes and of the start that is reported for a node's current run.
use super::KnownNodes;
use mallowseam_endpoint_list::{Endpoint, EndpointState};
use mallowseam_scheduler::interface::NodeId;
use mallowseam_settings::config;
use std::num::NonZeroU64;

fn nodes() -> KnownNodes {
    let node = |name: &str, zone: &str| config::Node {
        name: name.to_owned(),
        zone: zone.to_owned(),
        ..config::Node::default()
    };
    KnownNodes::new(&[node("a", "east"), node("b", "west"), node("c", "east")])
}

fn entry(name: &str, generation: u64, uptime_ms: u64) -> Endpoint {
    Endpoint {
        name: name.to_owned(),
        state: EndpointState::Active,
        generation: NonZeroU64::new(generation),
        uptime_ms,
    }
}

#[test]
fn zones_are_numbered_in_the_order_in_which_nodes_name_them() {
    let zones: Vec<u32> = nodes().all_active().iter().map(|node| node.zone).collect();
    assert_eq!(zones, [0, 1, 0]);
}

#[test]
fn the_start_of_a_run_is_the_earliest_one_reported_until_the_node_restarts() {
    let mut nodes = nodes();
    let mut started_at = |entry: Endpoint, now| {
        let node = nodes.update(&entry, now).expect("known");
        assert_eq!(node.node, NodeId(1));
        node.started_at
    };
    assert_eq!(started_at(entry("b", 5, 100), 3_000), Some(2_000));
    assert_eq!(
        started_at(entry("b", 5, 100), 4_000),
        Some(2_000),
        "a delayed update does not move the start of the run"
    );
    assert_eq!(started_at(entry("b", 5, 350), 5_000), Some(1_500));
    assert_eq!(
        started_at(entry("b", 6, 10), 6_000),
        Some(5_900),
        "a new generation is a restart"
    );
    assert_eq!(
        started_at(entry("b", 0, 10), 6_000),
        None,
        "a node without a generation started long ago"
    );
    assert_eq!(
        started_at(entry("b", 6, 99_999), 6_000),
        Some(1),
        "a start before that of the host is the earliest start"
    );
}

#[test]
fn an_update_of_a_node_that_the_configuration_lacks_returns_none() {
    assert!(nodes().update(&entry("d", 1, 1), 0).is_none());
}
