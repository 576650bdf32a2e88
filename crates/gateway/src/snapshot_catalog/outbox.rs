//! What is sent to hosts and operators once the changes of an iteration are on disk.
use super::hosts::Subscription;
use crate::control_socket::{self, ConnectionId};
use crate::host_connections::HostId;
use crate::service::ServiceSockets;
use mallowseam_cow::messages::{ToHost, TreeVersion};
use std::fmt::Display;

/// A host that has said hello, with the version of its replica, if it has one.
pub(super) struct Hello {
    pub(super) host: HostId,
    pub(super) known: Option<TreeVersion>,
}

enum Reply {
    Operator(ConnectionId, String),
    Host(HostId, ToHost),
}

/// Hosts to welcome and replies to send, each in order.
#[derive(Default)]
pub(super) struct Outbox {
    hellos: Vec<Hello>,
    replies: Vec<Reply>,
}

impl Outbox {
    /// A host is to be sent what it lacks of the tree.
    pub(super) fn add_hello(&mut self, hello: Hello) {
        self.hellos.push(hello);
    }

    /// Sends a message to a host, if it is still connected then.
    pub(super) fn send(&mut self, host: HostId, message: ToHost) {
        self.replies.push(Reply::Host(host, message));
    }

    /// Answers an operator.
    pub(super) fn answer(&mut self, connection: ConnectionId, text: String) {
        self.replies.push(Reply::Operator(connection, text));
    }

    /// Tells an operator why a request is refused, or why its operation failed.
    pub(super) fn refuse(&mut self, connection: ConnectionId, reason: &impl Display) {
        self.answer(connection, control_socket::refusal(reason));
    }

    /// The hosts that have said hello in this iteration.
    pub(super) fn take_hellos(&mut self) -> Vec<Hello> {
        std::mem::take(&mut self.hellos)
    }

    /// Queues all replies at the connections that they are for.
    pub(super) fn send_replies(&mut self, sockets: &mut ServiceSockets<Subscription>) {
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
