//! Timers of the event loop: timeouts and periodic checks.
use super::EventLoop;
use mallowseam_scheduler::interface::Tick;
use mallowseam_sockets::clock::ticks_to_duration;
use mallowseam_sockets::periodic_timer::PeriodicTimer;
use std::time::Duration;

/// Interval between two checks of all connections, in ticks: 50 ms, short enough for timeouts of seconds.
const CHECK_INTERVAL: Tick = 500;

/// Creates the timer for the periodic check of all connections.
pub(super) fn connection_check(now: Tick) -> PeriodicTimer<Tick> {
    PeriodicTimer::new(CHECK_INTERVAL, now)
}

impl EventLoop {
    /// Returns how long the poll may wait: zero while connections may be pending or clients wait to be read.
    pub(super) fn poll_timeout(&self) -> Duration {
        if self.listener.may_have_pending() || self.dispatcher.clients().queue_len() > 0 {
            return Duration::ZERO;
        }
        let next = self.next_timer();
        let timeout = ticks_to_duration(next - self.dispatcher.clock_time());
        self.fleet.limit_timeout(timeout)
    }

    /// Returns the time at which the next timer is due, not counting the timers of fleet membership.
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

    /// Runs the timers that are due: timeouts of attempts, the scheduler's timer and the periodic checks.
    pub(super) fn run_timers(&mut self) {
        self.dispatcher.update_now();
        self.dispatcher.expire_attempts();
        self.dispatcher.fire_timer();
        self.respond_before_kill();
        // A new watch begins with all changes that were missed, as a full snapshot if necessary.
        if self.dispatcher.take_watch_request() {
            self.watch.open(&mut self.dispatcher);
        }
        if self.connection_check.take_due(self.dispatcher.now()) {
            self.check_connections();
        }
    }

    /// Applies the timeouts of all connections, closes the listener if it is time, and writes the status log if it is
    /// due.
    fn check_connections(&mut self) {
        self.dispatcher.check_connections();
        self.watch.check_timeouts(&mut self.dispatcher);
        self.stop_accepting();
        self.status_log.log_if_due(&mut self.dispatcher);
    }
}
