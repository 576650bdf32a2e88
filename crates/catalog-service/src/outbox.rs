//! The replies to hosts and operators that are sent once the changes of an iteration are on disk.
use crate::subscription::Subscription;
use mallowseam_control_protocol::control_socket::{self, ConnectionId};
use mallowseam_cow::messages::{ToHost, TreeVersion};
use mallowseam_service_loop::HostId;
use mallowseam_service_loop::ServiceSockets;
use std::fmt::Display;

/// The hello of a host, with the version of its replica, if it has one.
pub(crate) struct Hello {
    pub(crate) host: HostId,
    pub(crate) replica_version: Option<TreeVersion>,
}

/// A reply that waits for the changes of the iteration to be on disk.
enum Reply {
    Operator(ConnectionId, String),
    Host(HostId, ToHost),
}

/// The hellos to answer and the replies to send, each in order.
#[derive(Default)]
pub(crate) struct Outbox {
    hellos: Vec<Hello>,
    replies: Vec<Reply>,
}

impl Outbox {
    /// Adds the hello of a host that is to be sent the changes that it lacks.
    pub(crate) fn add_hello(&mut self, hello: Hello) {
        self.hellos.push(hello);
    }

    /// Queues a message to a host. It is dropped if the host is not connected any more when the replies are sent.
    pub(crate) fn send(&mut self, host: HostId, message: ToHost) {
        self.replies.push(Reply::Host(host, message));
    }

    /// Queues an answer to an operator.
    pub(crate) fn answer(&mut self, connection: ConnectionId, text: String) {
        self.replies.push(Reply::Operator(connection, text));
    }

    /// Queues an answer that tells an operator why a request is refused, or why its operation has failed.
    pub(crate) fn refuse(&mut self, connection: ConnectionId, reason: &impl Display) {
        self.answer(connection, control_socket::refusal(reason));
    }

    /// Removes and returns the hellos of this iteration.
    pub(crate) fn take_hellos(&mut self) -> Vec<Hello> {
        std::mem::take(&mut self.hellos)
    }

    /// Moves all replies to the send queues of their connections.
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
