//! Nodes that drain while block I/Os wait to be sent to them.
use crate::site::{Site, read};
use mallowseam_audit::block;
use mallowseam_audit::trace::Trace;
use mallowseam_endpoint_list::EndpointState;
use mallowseam_iscsi::initiator::InitiatorEvent;
use mallowseam_iscsi::scsi;
use mallowseam_iscsi::scsi::status;
use mallowseam_stand_ins::endpoint_list_service::{EndpointListService, Message, NodeState};
use mallowseam_stand_ins::node::NodeFault;
use std::net::SocketAddr;

/// First block of node 1.
const FIRST_BLOCK: u64 = 8_000;

/// Guards against a write that is sent to a node after its drain is told, because it waited for the node's login.
#[test]
fn a_write_that_waits_for_a_login_is_not_sent_once_its_node_drains() {
    let pid = std::process::id();
    let address = SocketAddr::from(([127, 62, (pid >> 8) as u8, pid as u8], 7000));
    let service = EndpointListService::start(address, 2, 0, Trace::disabled())
        .expect("cannot start the endpoint list service");
    let list = format!("node-list {address}");
    let site = Site::with(10.0, |_, configuration| {
        configuration.replace("node-list static", &list)
    });
    site.wait_for("the list is known", |s| {
        s.nodes.iter().all(|node| node.open)
    });
    site.nodes[1].inject(NodeFault::Silent(true));
    let mut client = site.client(1);
    let cdb = scsi::read_or_write_16(true, FIRST_BLOCK, 8, 0);
    let data = block::write(30, FIRST_BLOCK, 8);
    assert!(client.conn.send_command(30, 0, &cdb, 0, data.into()));
    client.flush().expect("cannot send to the host");
    site.wait_for("the write waits for the login", |s| {
        s.nodes[1].attempts == 1
    });
    let drain = |state| {
        service.send(Message::Node(NodeState {
            node: 1,
            state,
            incarnation: 0,
            started_at: 0,
        }));
    };
    drain(EndpointState::Draining);
    site.wait_for("the drain is told", |s| !s.nodes[1].open);
    site.nodes[1].inject(NodeFault::Silent(false));
    let Ok(InitiatorEvent::CommandCompleted { status: code, .. }) = client.next_event() else {
        panic!("no answer to the write")
    };
    assert_eq!(code, status::BUSY, "the write was sent, or failed");
    drain(EndpointState::Active);
    site.wait_for("the node is active", |s| s.nodes[1].open);
    assert_eq!(read(&mut client, FIRST_BLOCK, 8), [Some(0); 8]);
}
