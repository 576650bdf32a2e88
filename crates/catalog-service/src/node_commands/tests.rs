//! What is sent to nodes, and how commands end.
use super::{COMMAND_TIMEOUT, NodeCommands, Purpose};
use crate::node_connections::{FinishedCommand, NodeConnections, UnitCommand};
use mallowseam_cow::tree::Location;
use mallowseam_scheduler::interface::Tick;

/// One node, which records the tags of what it is sent and of what is cancelled.
#[derive(Default)]
struct StandIn {
    submitted: Vec<u32>,
    cancelled: Vec<u32>,
    finished: Vec<FinishedCommand>,
}

impl NodeConnections for StandIn {
    fn count(&self) -> usize {
        1
    }

    fn name(&self, node: usize) -> &str {
        ["node0"][node]
    }

    fn on_ready(&mut self, _: usize, _: bool, _: Tick) {}

    fn submit(&mut self, node: usize, command: UnitCommand, _: Tick) {
        assert_eq!(node, 0);
        self.submitted.push(command.tag);
    }

    fn cancel(&mut self, node: usize, tag: u32, _: Tick) {
        assert_eq!(node, 0);
        self.cancelled.push(tag);
    }

    fn next_finished(&mut self) -> Option<FinishedCommand> {
        self.finished.pop()
    }

    fn on_timer(&mut self, _: Tick) {}

    fn flush(&mut self) {}
}

const UNMAP: Purpose = Purpose::UnmapExtent {
    layer: 1024,
    extent: 3,
};

/// Commands of which one, an unmap at a node, is in flight since time 0.
fn unmapping_at(node: u32) -> NodeCommands<StandIn> {
    let mut commands = NodeCommands::new(StandIn::default());
    let location = Location { node, slot: 3 };
    commands.unmap(UNMAP, 1024, location, (0, 64), 0);
    commands
}

#[test]
fn a_command_ends_once_with_what_its_node_says() {
    for has_succeeded in [true, false] {
        let mut commands = unmapping_at(0);
        assert_eq!(commands.nodes.submitted, [1]);
        let finished = |tag| FinishedCommand { tag, has_succeeded };
        commands.nodes.finished = vec![finished(1), finished(1), finished(9)];
        let ended = commands.next_ended().expect("an end");
        assert!(ended.purpose == UNMAP);
        assert_eq!(ended.has_succeeded, has_succeeded);
        assert!(commands.next_ended().is_none());
        assert!(commands.take_late(COMMAND_TIMEOUT).is_empty());
    }
}

#[test]
fn a_command_that_is_not_answered_times_out_and_is_cancelled() {
    let mut commands = unmapping_at(0);
    assert!(commands.take_late(COMMAND_TIMEOUT - 1).is_empty());
    let late = commands.take_late(COMMAND_TIMEOUT).pop().expect("late");
    assert!(late.purpose == UNMAP);
    commands.cancel(0, &late, COMMAND_TIMEOUT);
    assert_eq!(commands.nodes.cancelled, [1]);
}

#[test]
fn a_command_at_an_unknown_node_times_out() {
    let mut commands = unmapping_at(9);
    assert!(commands.is_in_flight(UNMAP));
    assert!(commands.nodes.submitted.is_empty());
    assert!(commands.take_late(COMMAND_TIMEOUT - 1).is_empty());
    let late = commands.take_late(COMMAND_TIMEOUT).pop().expect("late");
    assert!(late.purpose == UNMAP);
    commands.cancel(9, &late, COMMAND_TIMEOUT);
    assert!(commands.nodes.cancelled.is_empty());
    assert!(!commands.is_in_flight(UNMAP));
}

#[test]
fn an_unknown_node_is_named_by_its_index() {
    let commands = unmapping_at(0);
    assert_eq!(commands.node_name(0), "node0");
    assert_eq!(commands.node_name(9), "node 9");
}
