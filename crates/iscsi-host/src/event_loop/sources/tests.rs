//! Tests of the mapping from tokens to event sources.
use super::{FIRST_CONTROL_CONNECTION, FIRST_NODE, LISTENER, MEMBERSHIP, Source, first_client};
use mio::Token;

#[test]
fn tokens_of_control_node_and_client_connections_do_not_overlap() {
    let nodes = 3;
    let source = |token: usize| Source::of_token(Token(token), nodes);
    assert_eq!(Source::of_token(LISTENER, nodes), Source::Listener);
    assert_eq!(Source::of_token(MEMBERSHIP, nodes), Source::Membership);
    assert_eq!(
        source(FIRST_CONTROL_CONNECTION),
        Source::ControlConnection(0)
    );
    let last_connection = (FIRST_NODE - 1 - FIRST_CONTROL_CONNECTION) as u32;
    assert_eq!(
        source(FIRST_NODE - 1),
        Source::ControlConnection(last_connection)
    );
    assert_eq!(source(FIRST_NODE), Source::Node(0));
    assert_eq!(source(FIRST_NODE + 2), Source::Node(2));
    assert_eq!(source(first_client(nodes)), Source::Client(0));
    assert_eq!(source(first_client(nodes) + 40), Source::Client(40));
}
