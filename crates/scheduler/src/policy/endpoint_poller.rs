//! The schedule of endpoint list polls.
//!
//! All hosts together poll no faster than the discovery service can answer, as far as the rule on draining nodes
//! permits: 6 s after the service has become reachable, a host must know everything that the service had.
use crate::interface::{EndpointEvent, SchedulerConfig, Tick};
use crate::pcg::Pcg;

/// Minimum number of ticks over which hosts that start together spread their polls.
const MIN_SPREAD: Tick = 2_000;
/// Default service time of a poll, in ticks.
const DEFAULT_SERVICE_TIME: Tick = 300;
/// Maximum backoff between failed polls if the number of hosts is small, in ticks.
const MAX_BACKOFF: Tick = 10_000;
/// Fraction of the maximum poll delay for which a host waits; the rest is for the poll itself.
const POLL_DELAY_FRACTION: f64 = 0.8;
/// Maximum number of ticks from a failed poll to the next. Of the 6 s allowed, the next poll needs 1.2 s.
const MAX_INTERVAL: Tick = 46_000;
/// Total service time of one poll by each host, in ticks, above which some polls take more than 6 s.
const MAX_TOTAL_SERVICE_TIME: Tick = 54_000;
/// Maximum number of ticks over which polls are spread after a watch has become silent. Of the 6 s allowed, 3.2 s pass
/// until the silence is detected, and 1.2 s are for the poll.
const SPREAD_AFTER_SILENCE: Tick = 16_000;
/// Maximum number of ticks over which hosts spread their polls of a discovery service that replaces another.
const SPREAD_AFTER_MOVE: Tick = 20_000;

/// The schedule by which this host polls the endpoint list.
pub(super) struct EndpointPoller {
    next_poll: Option<Tick>,
    /// Time of the last poll, if nothing has been received since.
    pending_since: Option<Tick>,
    /// Ticks over which the polls of all hosts are spread.
    spread: Tick,
    /// Maximum number of ticks from a failed poll to the next.
    max_interval: Tick,
    /// Wait after the next failure, in ticks; `None` after a success, in which case a new wait is drawn.
    backoff: Option<Tick>,
    /// Whether the watch has become silent and nothing has been received since.
    silent: bool,
}

impl EndpointPoller {
    /// Creates the schedule of a host that starts at `now`.
    pub(super) fn new(config: &SchedulerConfig, now: Tick, rng: &Pcg) -> Self {
        let total_service_time =
            config.poll_service_time.unwrap_or(DEFAULT_SERVICE_TIME) * Tick::from(config.hosts);
        let max_interval = max_interval(config, total_service_time);
        let spread =
            max_spread(config).map_or(total_service_time, |max| total_service_time.min(max));
        let spread = spread.min(max_interval).max(MIN_SPREAD);
        let first_poll = now + rng.below(spread as u64) as Tick;
        EndpointPoller {
            next_poll: config.endpoints_polled.then_some(first_poll),
            pending_since: None,
            spread,
            max_interval,
            backoff: Some(spread),
            silent: false,
        }
    }

    /// Returns the time of the next poll.
    pub(super) fn next_poll(&self) -> Option<Tick> {
        self.next_poll
    }

    /// Returns whether a poll is due. If so, the poll counts as made.
    pub(super) fn take_due(&mut self, now: Tick) -> bool {
        let due = self.next_poll.is_some_and(|time| now >= time);
        if due {
            self.next_poll = None;
            self.pending_since = Some(now);
        }
        due
    }

    /// Records that the discovery service has sent something.
    pub(super) fn on_success(&mut self) {
        self.pending_since = None;
        self.backoff = None;
        self.silent = false;
    }

    /// Schedules the next poll after a poll has failed, or after the watch was disconnected or became silent. All hosts
    /// lose their watches together, so each draws a random time within the spread. Later polls keep this offset, so
    /// that all hosts have polled within one spread after the service returns.
    pub(super) fn on_failure(&mut self, now: Tick, event: EndpointEvent, rng: &Pcg) {
        let newly_silent = self.record_silence(event);
        let spread = if newly_silent {
            self.spread.min(SPREAD_AFTER_SILENCE)
        } else {
            self.spread
        };
        let drawn = rng.below(spread as u64) as Tick;
        let wait = match self.backoff {
            Some(backoff) if !newly_silent => backoff,
            _ => drawn,
        };
        self.poll_no_later_than(now + wait);
        // The service may have returned just after the failed poll began, so the interval is counted from its start.
        if let Some(since) = self.pending_since {
            self.poll_no_later_than((since + self.max_interval).max(now + 1));
        }
        let doubled = self.backoff.map_or(self.spread, |backoff| backoff * 2);
        self.backoff = Some(doubled.clamp(self.spread, self.spread.max(MAX_BACKOFF)));
    }

    /// Schedules a poll of the discovery service that replaces another one. All hosts learn of it at about the same
    /// time.
    pub(super) fn on_moved(&mut self, now: Tick, rng: &Pcg) {
        let spread = self.spread.min(SPREAD_AFTER_MOVE);
        self.next_poll = Some(now + rng.below(spread as u64) as Tick);
    }

    /// Records that a watch has become silent. Returns true only for the first silence since something was received;
    /// otherwise a service that accepts polls and sends nothing would be polled in short succession.
    fn record_silence(&mut self, event: EndpointEvent) -> bool {
        if event != EndpointEvent::WatchSilent {
            return false;
        }
        !std::mem::replace(&mut self.silent, true)
    }

    /// Schedules a poll for `time`, unless an earlier one is due, which a move of the service or a silent watch may
    /// have scheduled.
    fn poll_no_later_than(&mut self, time: Tick) {
        let earlier = self.next_poll.map_or(time, |due| due.min(time));
        self.next_poll = Some(earlier);
    }
}

/// Returns the maximum number of ticks from a failed poll to the next. Polling faster than the assumed service rate
/// helps only if the service may be faster, that is, if it is not known to be too slow for all hosts.
fn max_interval(config: &SchedulerConfig, total_service_time: Tick) -> Tick {
    let known_too_slow =
        config.poll_service_time.is_some() && total_service_time > MAX_TOTAL_SERVICE_TIME;
    if known_too_slow {
        total_service_time
    } else {
        MAX_INTERVAL
    }
}

/// Returns the maximum number of ticks over which polls may be spread, or `None` if there is no limit.
fn max_spread(config: &SchedulerConfig) -> Option<Tick> {
    if config.endpoints_pushed {
        return Some(MIN_SPREAD);
    }
    let delay_is_limited = config.max_poll_delay > 0;
    delay_is_limited.then_some((POLL_DELAY_FRACTION * config.max_poll_delay as f64) as Tick)
}
