//! Requests of operators on a host's control socket.
use super::EventLoop;

impl EventLoop {
    /// Closes the host to new logins. Returns whether it was open before. `cause` is logged.
    pub(super) fn drain(&mut self, cause: &str) -> bool {
        let drained = self.dispatcher.drain();
        if drained && self.shutdown.is_requested() {
            self.membership.announce_leaving();
        }
        if drained {
            tracing::info!(cause, "draining: closed to new logins");
        }
        drained
    }

    /// Handles a line on the control socket and returns the answer.
    pub(super) fn on_request(&mut self, line: &str) -> String {
        match line {
            "status" => {
                serde_json::to_string(&self.status()).unwrap_or_else(|e| format!("error: {e}"))
            }
            "drain" if self.drain("operator") => "draining".to_owned(),
            "drain" => "draining already".to_owned(),
            "undrain" if self.shutdown.is_requested() => "error: the host is stopping".to_owned(),
            "undrain" => {
                self.dispatcher.stop_draining();
                tracing::info!("draining ended: open to logins");
                "open".to_owned()
            }
            "stop" => {
                self.shutdown.request();
                self.drain("operator");
                "stopping".to_owned()
            }
            other => match other.strip_prefix("plans ") {
                Some(file) => self.reload(file).unwrap_or_else(|e| format!("error: {e}")),
                None => {
                    format!("error: `{other}`: expected status, drain, undrain, plans FILE or stop")
                }
            },
        }
    }
}
