//! What is sent to hosts and operators once the changes of an iteration are on disk.
use crate::subscription::Subscription;
use mallowseam_control_protocol::control_socket::{self, ConnectionId};
use mallowseam_cow::messages::{ToHost, TreeVersion};
use mallowseam_service_loop::HostId;
use mallowseam_service_loop::ServiceSockets;
use std::fmt::Display;

/// A host that has said hello, with the version of its replica, if it has one.
pub(crate) struct Hello {
    pub(crate) host: HostId,
    pub(crate) replica_version: Option<TreeVersion>,
}

enum Reply {
    Operator(ConnectionId, String),
    Host(HostId, ToHost),
}

/// Hosts to welcome and replies to send, each in order.
#[derive(Default)]
pub(crate) struct Outbox {
    hellos: Vec<Hello>,
    replies: Vec<Reply>,
}

impl Outbox {
    /// A host is to be sent what it lacks of the tree.
    pub(crate) fn add_hello(&mut self, hello: Hello) {
        self.hellos.push(hello);
    }

    /// Sends a message to a host, if it is still connected then.
    pub(crate) fn send(&mut self, host: HostId, message: ToHost) {
        self.replies.push(Reply::Host(host, message));
    }

    /// Answers an operator.
    pub(crate) fn answer(&mut self, connection: ConnectionId, text: String) {
        self.replies.push(Reply::Operator(connection, text));
    }

    /// Tells an operator why a request is refused, or why its operation failed.
    pub(crate) fn refuse(&mut self, connection: ConnectionId, reason: &impl Display) {
        self.answer(connection, control_socket::refusal(reason));
    }

    /// The hosts that have said hello in this iteration.
    pub(crate) fn take_hellos(&mut self) -> Vec<Hello> {
        std::mem::take(&mut self.hellos)
    }

    /// Queues all replies at the connections that they are for.
    pub(crate) fn send_replies(&mut self, sockets: &mut ServiceSockets<Subscription>) {
        for reply in self.replies.drain(..) {
            match reply {
                Reply::Host(host, message) => sockets.hosts_mut().send(host, &message),
                Reply::Operator(connection, text) => {
                    sockets.operators_mut().answer(connection, &text);
                }
            }
        }
    }
}
