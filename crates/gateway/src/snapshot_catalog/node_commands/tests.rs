//! Commands at nodes that the configuration does not have.
use super::{COMMAND_TIMEOUT, NodeCommands, Purpose};
use mallowseam_cow::tree::Location;
use mio::Poll;

const CONFIGURATION: &str = "host gw0\n  listen 127.0.0.1:1\n  target iqn.t:gateway\n  node-list static\n  \
     window 32\n  connections 40\n  longest 1MiB\nfleet\n  hosts 1\n  unit 4KiB\n  mean-units 1\n  \
     largest-units 8\n  submits 3\nplan basic\ngroup all\n  effect idempotent\n  goal 100ms\n  hard-limit 1s\n\
     volume a\n  lun 0\n  plan basic\n  blocks 256\n  block-size 512B\n  hosts 1\n  extent 0 256 node0 at 0\n  \
     rule any all\nnode node0\n  address 127.0.0.1:2\n  target iqn.t:node0\n";

fn commands() -> NodeCommands {
    let config = mallowseam_settings::parse("conf", CONFIGURATION).expect("a configuration");
    let poll = Poll::new().expect("a poll");
    let registry = poll.registry().try_clone().expect("a registry");
    NodeCommands::new(&config, registry)
}

#[test]
fn a_command_at_an_unknown_node_times_out() {
    let mut commands = commands();
    let purpose = Purpose::UnmapExtent {
        layer: 1024,
        extent: 3,
    };
    let location = Location { node: 9, slot: 3 };
    commands.unmap(purpose, 1024, location, (0, 64), 0);
    commands.flush();
    assert!(commands.is_in_flight(purpose));
    assert!(commands.take_late(COMMAND_TIMEOUT - 1).is_empty());
    let late = commands.take_late(COMMAND_TIMEOUT).pop().expect("late");
    assert!(late.purpose == purpose);
    commands.cancel(location.node, &late, COMMAND_TIMEOUT);
    assert!(!commands.is_in_flight(purpose));
}

#[test]
fn an_unknown_node_is_named_by_its_index() {
    let commands = commands();
    assert_eq!(commands.node_name(0), "node0");
    assert_eq!(commands.node_name(9), "node 9");
}
