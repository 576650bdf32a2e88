//! Graceful shutdown. After SIGTERM the platform kills the process at the end of a grace period; after SIGINT no kill
//! follows, as an operator waits for the process to end.
use super::EventLoop;
use mallowseam_connection_policy::Millis;
use mallowseam_connection_policy::graceful_shutdown::GracefulShutdown;
use mallowseam_platform::settings::PlatformSettings;
use mallowseam_scheduler::interface::Tick;
use mallowseam_sockets::clock::{ticks_from_millis, ticks_to_millis};

impl EventLoop {
    /// Handles SIGTERM: the platform asks the host to stop, and kills it later.
    pub(super) fn on_sigterm(&mut self) {
        let now = self.dispatcher.now_ms();
        self.begin_shutdown(shutdown_by_platform(self.dispatcher.settings(), now));
    }

    /// Handles SIGINT: an operator asks the host to stop.
    pub(super) fn on_sigint(&mut self) {
        let now = self.dispatcher.now_ms();
        self.begin_shutdown(GracefulShutdown::by_operator(now));
    }

    /// Begins the graceful shutdown on the first signal; further signals change nothing.
    fn begin_shutdown(&mut self, shutdown: GracefulShutdown) {
        if self.dispatcher.clients().shutdown().is_some() {
            return;
        }
        tracing::info!(
            clients = self.dispatcher.clients().len(),
            in_flight = self.dispatcher.in_flight(),
            "graceful shutdown begins"
        );
        self.dispatcher.clients_mut().begin_shutdown(shutdown);
        self.fleet.announce_leaving();
    }

    /// Returns the time by which all final responses are due after SIGTERM, or `None` if there is no such limit.
    pub(super) fn responses_due(&self) -> Option<Tick> {
        let shutdown = self.dispatcher.clients().shutdown()?;
        shutdown.answer_deadline().map(ticks_from_millis)
    }

    /// Sends the final responses of all block I/Os in flight once they are due, before the host is killed.
    pub(super) fn respond_before_kill(&mut self) {
        let now = self.dispatcher.now();
        let is_due = self.responses_due().is_some_and(|due| due <= now);
        if is_due && self.dispatcher.in_flight() > 0 {
            self.dispatcher.respond_to_all();
        }
    }

    /// Closes the listener once the host accepts no more clients.
    pub(super) fn stop_accepting(&mut self) {
        let now = self.dispatcher.now_ms();
        let shutdown = self.dispatcher.clients().shutdown();
        if shutdown.is_some_and(|shutdown| !shutdown.admits_clients(now)) {
            self.close_listener();
        }
    }

    /// Returns whether the host may stop: it accepts no more clients, and all clients have disconnected.
    pub(super) fn is_finished(&self) -> bool {
        let now = self.dispatcher.now_ms();
        let clients = self.dispatcher.clients();
        let shutdown = clients.shutdown();
        shutdown.is_some_and(|shutdown| shutdown.is_complete(now, clients.len()))
    }
}

fn shutdown_by_platform(settings: &PlatformSettings, now: Millis) -> GracefulShutdown {
    let classes = settings.scheduler.classes.iter();
    let longest_objective = classes.map(|class| class.latency_objective).max();
    GracefulShutdown::by_platform(
        now,
        ticks_to_millis(settings.longest_deadline),
        ticks_to_millis(longest_objective.unwrap_or(0)),
    )
}
