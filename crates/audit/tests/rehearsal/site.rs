//! Configuration of the audited hosts: two hosts, two nodes, a volume without a limit and one with a limit.
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_settings::GatewayConfig;

/// Text of the configuration; `PLAN_LIMIT` stands for the limit of the plan `basic`.
const SITE: &str = "
host gw0
    listen 127.0.0.1:1
    target iqn.t
    node-list static
    window 8
    connections 8
    longest 1MiB
fleet
    hosts 2
    unit 4KiB
    mean-units 1
    largest-units 2
    submits 3
    order-rest 200ms
    cold 25% 4s 2 1s 2
    further 2 10% 10s
plan basic
    PLAN_LIMIT
plan free
group lookup
    effect idempotent
    goal 200ms
    hard-limit 1s
group post
    effect side-effecting
    goal 250ms
    hard-limit 2s
    ordered
volume a
    lun 0
    plan free
    blocks 64
    block-size 512B
    hosts 2
    extent 0 64 node0 at 0
    rule read lookup
    rule write post key 8
volume b
    lun 1
    plan basic
    blocks 64
    block-size 512B
    hosts 2
    extent 0 64 node1 at 0
    rule read lookup
    rule write post key 8
node node0
    address 127.0.0.1:2
    target iqn.n0
node node1
    address 127.0.0.1:3
    target iqn.n1
";

/// Returns the configuration with a limit such as `limit 2/s burst 4` in its plan `basic`.
pub(crate) fn site(plan_limit: &str) -> GatewayConfig {
    let text = SITE.replace("PLAN_LIMIT", plan_limit);
    mallowseam_settings::parse("site", &text).expect("a valid configuration")
}

/// Returns the model of a node with slow start.
pub(crate) fn service_model() -> ServiceModel {
    ServiceModel {
        cores: 1,
        unit_work: 100_000.0,
        unit_bytes: 4096,
        queue: 8,
        initial_speed: 0.25,
        warm_up: 4_000_000,
        overload_factor: 2.0,
        overload_window: 1_000_000,
        tolerated_units: 2.0,
    }
}
