//! When the endpoint list is polled.
//!
//! All hosts together poll no more than the discovery service handles, as far as the rule on draining nodes lets them
//! wait: 6 s after the service could be reached, a host must know all that it had.
use crate::interface::{EndpointEvent, SchedulerConfig, Tick};
use crate::pcg::Pcg;

/// Ticks over which hosts that start together spread their polls, at least.
const MIN_SPREAD: Tick = 2_000;
/// Ticks of the service's time that a poll takes, where that is not configured.
const SERVICE_TIME: Tick = 300;
/// Ticks: longest backoff between failed polls where hosts are few.
const MAX_BACKOFF: Tick = 10_000;
/// Fraction of the longest poll delay allowed that a host waits; the rest is for the poll.
const POLL_DELAY_FRACTION: f64 = 0.8;
/// Ticks, at most, from a failed poll to the next: of the 6 s, the next poll needs 1.2 s.
const MAX_INTERVAL: Tick = 46_000;
/// Ticks of service time for the polls of all hosts: with more, some take over 6 s.
const MAX_TIMELY_SERVICE: Tick = 54_000;
/// Ticks, at most, over which polls are spread after a watch went silent: of the 6 s, 3.2 s pass until it is noticed,
/// and 1.2 s are for the poll.
const SPREAD_AFTER_SILENCE: Tick = 16_000;
/// Ticks, at most, over which hosts spread their polls of a service that takes the place of another.
const SPREAD_AFTER_MOVE: Tick = 20_000;

/// The schedule on which this host polls the endpoint list.
pub(super) struct EndpointPoller {
    next_poll: Option<Tick>,
    /// When the last poll was made, if nothing has been received since.
    pending_since: Option<Tick>,
    /// Span over which the hosts' polls are spread.
    spread: Tick,
    /// The most ticks from a failed poll to the next.
    max_interval: Tick,
    /// Wait after the next failure; none after a success, when it is drawn anew.
    backoff: Option<Tick>,
    /// The watch went silent, and nothing has been received since.
    silent: bool,
}

impl EndpointPoller {
    /// The schedule of a host that starts now.
    pub(super) fn new(config: &SchedulerConfig, now: Tick, rng: &Pcg) -> Self {
        let total_service_time =
            config.poll_service_time.unwrap_or(SERVICE_TIME) * Tick::from(config.hosts);
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

    /// When the next poll is due.
    pub(super) fn next_poll(&self) -> Option<Tick> {
        self.next_poll
    }

    /// Whether a poll is due; it then counts as made.
    pub(super) fn take_due(&mut self, now: Tick) -> bool {
        let due = self.next_poll.is_some_and(|time| now >= time);
        if due {
            self.next_poll = None;
            self.pending_since = Some(now);
        }
        due
    }

    /// The service has sent something.
    pub(super) fn on_success(&mut self) {
        self.pending_since = None;
        self.backoff = None;
        self.silent = false;
    }

    /// A poll failed, or the watch broke or went silent. A host that had a watch lost it together with all others and
    /// draws a time among theirs; later polls keep it, so that all have polled within a spread of the service's
    /// return.
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
        // The service may have returned just after the failed poll began: the time since then is lost.
        if let Some(since) = self.pending_since {
            self.poll_no_later_than((since + self.max_interval).max(now + 1));
        }
        let doubled = self.backoff.map_or(self.spread, |backoff| backoff * 2);
        self.backoff = Some(doubled.clamp(self.spread, self.spread.max(MAX_BACKOFF)));
    }

    /// Another discovery service serves the list from now on; all hosts learn it at about one time.
    pub(super) fn on_moved(&mut self, now: Tick, rng: &Pcg) {
        let spread = self.spread.min(SPREAD_AFTER_MOVE);
        self.next_poll = Some(now + rng.below(spread as u64) as Tick);
    }

    /// Whether a watch has just gone silent. Only the first silence counts: otherwise a service that accepts polls and
    /// sends nothing would be polled again and again.
    fn record_silence(&mut self, event: EndpointEvent) -> bool {
        if event != EndpointEvent::WatchSilent {
            return false;
        }
        !std::mem::replace(&mut self.silent, true)
    }

    /// A poll that is due sooner, of another service or after silence, is not put off.
    fn poll_no_later_than(&mut self, time: Tick) {
        let earlier = self.next_poll.map_or(time, |due| due.min(time));
        self.next_poll = Some(earlier);
    }
}

/// The most ticks from a failed poll to the next. To poll in a crowd is of use only where the service may be quick:
/// where it is not known to be too slow for all hosts.
fn max_interval(config: &SchedulerConfig, total_service_time: Tick) -> Tick {
    let known_too_slow =
        config.poll_service_time.is_some() && total_service_time > MAX_TIMELY_SERVICE;
    if known_too_slow {
        total_service_time
    } else {
        MAX_INTERVAL
    }
}

/// The longest span over which polls may be spread, if there is a bound.
fn max_spread(config: &SchedulerConfig) -> Option<Tick> {
    if config.endpoints_pushed {
        return Some(MIN_SPREAD);
    }
    let delay_is_limited = config.max_poll_delay > 0;
    delay_is_limited.then_some((POLL_DELAY_FRACTION * config.max_poll_delay as f64) as Tick)
}
