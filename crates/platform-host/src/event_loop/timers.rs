//! Timeouts and periodic checks.
use super::EventLoop;
use mallowseam_scheduler::interface::Tick;
use mallowseam_sockets::clock::ticks_to_duration;
use std::time::Duration;

/// Ticks between two checks of all connections: fine enough for timeouts of seconds.
const CHECK_PERIOD: Tick = 500;
/// Ticks between two status logs.
const STATUS_PERIOD: Tick = 50_000;

/// The periodic timers.
pub(super) struct PeriodicTimers {
    checked_at: Tick,
    status_logged_at: Tick,
}

impl PeriodicTimers {
    /// Both periods start now.
    pub(super) fn new(now: Tick) -> Self {
        PeriodicTimers {
            checked_at: now,
            status_logged_at: now,
        }
    }

    /// Whether the connections are to be checked; if so, the next period starts.
    fn take_check(&mut self, now: Tick) -> bool {
        let is_due = now >= self.checked_at + CHECK_PERIOD;
        if is_due {
            self.checked_at = now;
        }
        is_due
    }

    /// Whether the status is to be logged; if so, the next period starts.
    fn take_status(&mut self, now: Tick) -> bool {
        let is_due = now >= self.status_logged_at + STATUS_PERIOD;
        if is_due {
            self.status_logged_at = now;
        }
        is_due
    }
}

impl EventLoop {
    /// How long the poll may wait; zero while sockets may have more to read.
    pub(super) fn poll_timeout(&self) -> Duration {
        let dispatcher = &self.dispatcher;
        if self.listener.is_readable || self.is_fleet_readable || dispatcher.clients.queue_len() > 0
        {
            return Duration::ZERO;
        }
        let responses_due = self.responses_due().filter(|due| *due > dispatcher.now);
        let timers = [
            dispatcher.timer(),
            dispatcher.nodes.next_deadline(),
            responses_due,
        ];
        let next_check = self.periodic.checked_at + CHECK_PERIOD;
        let next = timers.into_iter().flatten().fold(next_check, Tick::min);
        let timeout = ticks_to_duration(next - self.clock.now());
        match &self.fleet {
            Some(fleet) => timeout.min(Duration::from_millis(fleet.millis_until_tick())),
            None => timeout,
        }
    }

    /// Runs the timeouts of attempts, the scheduler's timer, and the periodic checks.
    pub(super) fn run_timers(&mut self) {
        self.update_now();
        self.dispatcher.expire_attempts(&mut self.scheduler);
        self.dispatcher.run_scheduler_timer(&mut self.scheduler);
        self.respond_before_kill();
        // A new watch begins with everything that was missed, as a full snapshot if needed.
        if self.dispatcher.take_watch_request() {
            self.open_watch();
        }
        let now = self.dispatcher.now;
        if self.periodic.take_check(now) {
            self.check_connections();
        }
    }

    /// Applies the timeouts of all connections.
    fn check_connections(&mut self) {
        let (now, now_ms) = (self.dispatcher.now, self.dispatcher.now_ms());
        self.dispatcher.clients.check_timeouts(now_ms);
        self.dispatcher.nodes.close_expired_idle(now);
        self.check_watches(now_ms);
        self.stop_accepting();
        if self.periodic.take_status(now) {
            self.log_status();
        }
    }
}
