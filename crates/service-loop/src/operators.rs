//! Operators of a service: requests on the control socket and their answers.
use mallowseam_control_protocol::control_socket::{ConnectionId, ControlSocket};

/// Answer to a request of an operator.
pub enum Answer {
    /// The text is the answer.
    Now(String),
    /// The request has started an operation, at whose end it is answered.
    Later,
}

/// Connections of operators. A service without a control socket has none.
pub struct Operators {
    control_socket: Option<ControlSocket>,
}

impl Operators {
    /// Creates the connections of operators at a control socket.
    pub(crate) fn new(control_socket: Option<ControlSocket>) -> Self {
        Operators { control_socket }
    }

    /// Accepts all pending connections.
    pub(crate) fn accept(&mut self) {
        if let Some(socket) = &mut self.control_socket {
            socket.accept();
        }
    }

    /// Reads from a connection that is ready. Returns the request once it is complete.
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
