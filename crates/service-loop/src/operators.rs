//! The operators of a service: requests on its control socket and their answers.
use mallowseam_control_protocol::control_socket::{ConnectionId, ControlSocket};

/// The answer to a request of an operator.
pub enum Answer {
    /// The answer's text.
    Now(String),
    /// The request has begun an operation, whose end is the answer.
    Later,
}

/// The connections of operators. A service without a control socket has none.
pub struct Operators {
    control_socket: Option<ControlSocket>,
}

impl Operators {
    /// The operators at a control socket.
    pub(crate) fn new(control_socket: Option<ControlSocket>) -> Self {
        Operators { control_socket }
    }

    /// Accepts all pending connections.
    pub(crate) fn accept(&mut self) {
        if let Some(socket) = &mut self.control_socket {
            socket.accept();
        }
    }

    /// Reads from a connection that is ready. Returns its request once that is complete.
    pub(crate) fn read_request(&mut self, connection: ConnectionId) -> Option<String> {
        self.control_socket.as_mut()?.read_request(connection)
    }

    /// Answers a request.
    pub fn answer(&mut self, connection: ConnectionId, text: &str) {
        if let Some(socket) = &mut self.control_socket {
            socket.answer(connection, text);
        }
    }
}
