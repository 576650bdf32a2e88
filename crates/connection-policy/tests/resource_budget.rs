//! Division of descriptors and memory between clients and nodes.
use mallowseam_connection_policy::resource_budget::{RESERVED_DESCRIPTORS, ResourceBudget};

const MIB: u64 = 1 << 20;

#[test]
fn budget_never_exceeds_granted_resources() {
    for descriptors in [64, 256, 384, 1_024, 4_096] {
        for memory in [16, 32, 48, 192, 2_048] {
            let budget = ResourceBudget::new(descriptors, memory);
            let connections = budget.client_connections + budget.node_connections;
            assert!(
                connections <= (descriptors - RESERVED_DESCRIPTORS) as usize,
                "{descriptors} {budget:?}"
            );
            let bytes = budget.client_bytes + budget.node_bytes;
            assert!(bytes as u64 <= memory * MIB / 2, "{memory} {budget:?}");
            assert!(budget.node_connections >= 1 && budget.client_connections >= 1);
        }
    }
    // Clients get over half of all descriptors and nodes at least a quarter.
    let budget = ResourceBudget::new(256, 32);
    assert!(
        budget.client_connections > 256 / 2 && budget.node_connections >= 256 / 4,
        "{budget:?}"
    );
}
