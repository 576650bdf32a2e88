//! Timeouts and periodic checks.
use super::EventLoop;
use mallowseam_scheduler::interface::Tick;
use mallowseam_sockets::clock::ticks_to_duration;
use mallowseam_sockets::periodic_timer::PeriodicTimer;
use std::time::Duration;

/// Ticks between two checks of all connections: fine enough for timeouts of seconds.
const CHECK_PERIOD: Tick = 500;

/// The timer of the check of all connections.
pub(super) fn connection_check(now: Tick) -> PeriodicTimer<Tick> {
    PeriodicTimer::new(CHECK_PERIOD, now)
}

impl EventLoop {
    /// How long the poll may wait; zero while sockets may have more to read.
    pub(super) fn poll_timeout(&self) -> Duration {
        if self.listener.has_waiting() || self.dispatcher.clients().queue_len() > 0 {
            return Duration::ZERO;
        }
        let next = self.next_timer();
        let timeout = ticks_to_duration(next - self.dispatcher.clock_time());
        self.fleet.limit_timeout(timeout)
    }

    /// When the next timer is due, those of the fleet left out.
    fn next_timer(&self) -> Tick {
        let now = self.dispatcher.now();
        let timers = [
            self.dispatcher.timer_due(),
            self.dispatcher.nodes().next_deadline(),
            self.responses_due().filter(|due| *due > now),
        ];
        let due = timers.into_iter().flatten();
        due.fold(self.connection_check.next_due(), Tick::min)
    }

    /// Runs the timeouts of attempts, the scheduler's timer, and the periodic checks.
    pub(super) fn run_timers(&mut self) {
        self.dispatcher.update_now();
        self.dispatcher.expire_attempts();
        self.dispatcher.fire_timer();
        self.respond_before_kill();
        // A new watch begins with everything that was missed, as a full snapshot if needed.
        if self.dispatcher.take_watch_request() {
            self.watch.open(&mut self.dispatcher);
        }
        if self.connection_check.take_due(self.dispatcher.now()) {
            self.check_connections();
        }
    }

    /// Applies the timeouts of all connections.
    fn check_connections(&mut self) {
        self.dispatcher.check_connections();
        self.watch.check_timeouts(&mut self.dispatcher);
        self.stop_accepting();
        self.status_log.log_if_due(&mut self.dispatcher);
    }
}
