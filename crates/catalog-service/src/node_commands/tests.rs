//! Tests of commands at nodes: each command ends exactly once, by the answer of its node or by its deadline.
use super::{COMMAND_TIMEOUT, NodeCommands, Purpose};
use crate::node_connections::{FinishedCommand, NodeConnections, UnitCommand};
use mallowseam_cow::tree::Location;
use mallowseam_scheduler::interface::Tick;

/// Connections to one node, which record the tags of submitted and of cancelled commands.
#[derive(Default)]
struct FakeNodeConnections {
    submitted: Vec<u32>,
    cancelled: Vec<u32>,
    finished: Vec<FinishedCommand>,
}

impl NodeConnections for FakeNodeConnections {
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

/// Returns commands of which one is in flight since time 0: an unmap at a node.
fn commands_with_unmap_at(node: u32) -> NodeCommands<FakeNodeConnections> {
    let mut commands = NodeCommands::new(FakeNodeConnections::default());
    let location = Location { node, slot: 3 };
    commands.unmap(UNMAP, 1024, location, (0, 64), 0);
    commands
}

#[test]
fn command_ends_once_with_the_result_from_its_node() {
    for has_succeeded in [true, false] {
        let mut commands = commands_with_unmap_at(0);
        assert_eq!(commands.nodes.submitted, [1]);
        let finished = |tag| FinishedCommand { tag, has_succeeded };
        commands.nodes.finished = vec![finished(1), finished(1), finished(9)];
        let ended = commands.next_ended().expect("the command has ended");
        assert!(ended.purpose == UNMAP);
        assert_eq!(ended.has_succeeded, has_succeeded);
        assert!(commands.next_ended().is_none());
        assert!(commands.take_timed_out(COMMAND_TIMEOUT).is_empty());
    }
}

#[test]
fn unanswered_command_times_out_and_is_cancelled() {
    let mut commands = commands_with_unmap_at(0);
    assert!(commands.take_timed_out(COMMAND_TIMEOUT - 1).is_empty());
    let timed_out = commands
        .take_timed_out(COMMAND_TIMEOUT)
        .pop()
        .expect("the command has timed out");
    assert!(timed_out.purpose == UNMAP);
    commands.cancel(0, &timed_out, COMMAND_TIMEOUT);
    assert_eq!(commands.nodes.cancelled, [1]);
}

#[test]
fn command_at_an_unknown_node_is_not_sent_and_times_out() {
    let mut commands = commands_with_unmap_at(9);
    assert!(commands.is_in_flight(UNMAP));
    assert!(commands.nodes.submitted.is_empty());
    assert!(commands.take_timed_out(COMMAND_TIMEOUT - 1).is_empty());
    let timed_out = commands
        .take_timed_out(COMMAND_TIMEOUT)
        .pop()
        .expect("the command has timed out");
    assert!(timed_out.purpose == UNMAP);
    commands.cancel(9, &timed_out, COMMAND_TIMEOUT);
    assert!(commands.nodes.cancelled.is_empty());
    assert!(!commands.is_in_flight(UNMAP));
}

#[test]
fn unknown_node_is_named_by_its_index() {
    let commands = commands_with_unmap_at(0);
    assert_eq!(commands.node_name(0), "node0");
    assert_eq!(commands.node_name(9), "node 9");
}
