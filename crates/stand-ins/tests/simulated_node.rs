//! Model of a node: slow start, collapse, and the limits of its queue and connections.
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_stand_ins::simulated_node::{Arrival, NodeLimits, NodeRequest, SimulatedNode};

fn node() -> SimulatedNode<u32> {
    let model = ServiceModel {
        initial_speed: 0.25,
        warm_up: 8_000_000,
        overload_factor: 4.0,
        overload_window: 2_000_000,
        ..ServiceModel::warm(1, 10_000.0, 3)
    };
    SimulatedNode::new(
        model,
        NodeLimits {
            max_connections: 2,
            handshake: 5_000,
            restart_after: 3_000_000,
        },
    )
}

fn request(connection: u32, units: f64) -> NodeRequest<u32> {
    NodeRequest {
        connection,
        operation: 0,
        units,
        first_on_connection: false,
        over_limit: false,
    }
}

#[test]
fn a_cold_node_is_slow_and_collapses_by_the_load_that_arrives() {
    let mut node = node();
    let first = NodeRequest {
        first_on_connection: true,
        ..request(1, 1.0)
    };
    assert_eq!(node.receive(0, first), Arrival::Queued);
    assert_eq!(
        node.next_due(),
        Some(15_000),
        "work and handshake of a warm node"
    );
    node.start(0);
    assert_eq!(
        (node.receive(0, request(1, 1.0)), node.next_due()),
        (Arrival::Queued, Some(40_000))
    );
    // The node sustains four times a quarter of 100 units per second, over two seconds.
    let collapsed = (1..400).find(|n| node.receive(*n, request(1, 1.0)) == Arrival::Collapsed);
    assert!(
        collapsed.is_some_and(|n| (199..=201).contains(&n)),
        "{collapsed:?}"
    );
    assert!(!node.is_up(2_000_000) && node.is_up(3_000_500) && node.next_due().is_none());
}

#[test]
fn requests_beyond_the_queue_or_the_connection_limit_are_rejected() {
    use Arrival::{Queued, Rejected};
    let mut full = node();
    let arrivals: Vec<Arrival> = (0..5).map(|n| full.receive(0, request(n, 1.0))).collect();
    assert_eq!(arrivals, [Queued, Queued, Queued, Queued, Rejected]);
    full.connection_closed(2);
    assert_eq!(full.receive(1, request(6, 1.0)), Queued);
    let mut node = node();
    let over_limit = [
        node.connection_opened(),
        node.connection_opened(),
        node.connection_opened(),
    ];
    assert_eq!(over_limit, [false, false, true]);
    assert_eq!(
        node.receive(
            1,
            NodeRequest {
                over_limit: true,
                ..request(7, 1.0)
            }
        ),
        Rejected
    );
}
