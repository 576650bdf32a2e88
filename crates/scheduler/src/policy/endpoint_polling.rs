//! When the endpoint list is polled.
//!
//! All hosts together poll no more than the discovery service handles, as far as the rule on draining nodes
//! lets them wait: 6 s after the service could be reached, a host must know all that it had.
use crate::interface::{EndpointEvent, SchedulerConfig, Tick};
use crate::pcg::Pcg;
use crate::state::PollSchedule;

const MIN_SPREAD: Tick = 2_000; // ticks over which hosts that start together spread their polls, at least
const SERVICE_TIME: Tick = 300; // ticks of the service's time that a poll takes, where that is not configured
const MAX_BACKOFF: Tick = 10_000; // ticks: longest backoff between failed polls where hosts are few
const DELAY_USED: f64 = 0.8; // fraction of max_poll_delay that a host waits: the rest is for the poll
const MAX_INTERVAL: Tick = 46_000; // ticks, at most, from a failed poll to the next: that needs 1.2 s of 6 s
const SERVED_IN_TIME: Tick = 54_000; // ticks of service time for all polls: with more, some take over 6 s
const SPREAD_AFTER_SILENCE: Tick = 16_000; // ticks, at most: of 6 s, 3.2 s are to notice it and 1.2 s to poll
const SPREAD_AFTER_MOVE: Tick = 20_000; // ticks, at most, over which hosts poll a service in place of another

impl PollSchedule {
    pub(super) fn new(config: &SchedulerConfig, now: Tick, rng: &Pcg) -> Self {
        let limited = config.max_poll_delay > 0;
        let max_delay = if limited {
            DELAY_USED * config.max_poll_delay as f64
        } else {
            f64::INFINITY
        };
        let max_spread = if config.endpoints_pushed {
            MIN_SPREAD
        } else {
            max_delay as Tick
        };
        let all_polls = config.poll_service_time.unwrap_or(SERVICE_TIME) * Tick::from(config.hosts);
        // To poll in a crowd is of use only where the service may be quick: where nobody says that it is not.
        let known_too_many = config.poll_service_time.is_some() && all_polls > SERVED_IN_TIME;
        let max_interval = if known_too_many {
            all_polls
        } else {
            MAX_INTERVAL
        };
        let spread = all_polls.min(max_spread).min(max_interval).max(MIN_SPREAD);
        let first = rng.below(spread as u64) as Tick;
        let next_poll = if config.endpoints_polled {
            now + first
        } else {
            Tick::MAX
        };
        PollSchedule {
            next_poll,
            spread,
            max_interval,
            backoff: spread,
            ..PollSchedule::default()
        }
    }

    /// Whether a poll is due; it then counts as made.
    pub(super) fn take_due(&mut self, now: Tick) -> bool {
        let due = now >= self.next_poll;
        if due {
            (self.next_poll, self.pending_since) = (Tick::MAX, Some(now));
        }
        due
    }

    /// The service has sent something.
    pub(super) fn on_success(&mut self) {
        (self.pending_since, self.backoff, self.silent) = (None, 0, false);
    }

    /// A poll failed, or the watch broke or went silent. Who had a watch lost it with all others and draws a
    /// turn among them; later polls keep it, so that all have polled within a spread of the service's return.
    pub(super) fn on_failure(&mut self, now: Tick, event: EndpointEvent, rng: &Pcg) {
        // Only the first silence counts: else a service that accepts polls and is silent is polled for ever.
        let newly_silent =
            event == EndpointEvent::WatchSilent && !std::mem::replace(&mut self.silent, true);
        let most = if newly_silent {
            SPREAD_AFTER_SILENCE
        } else {
            Tick::MAX
        };
        let drawn = rng.below(self.spread.min(most) as u64) as Tick;
        let wait = if newly_silent || self.backoff == 0 {
            drawn
        } else {
            self.backoff
        };
        // The service may have returned just after the failed poll began: the time since then is lost.
        let latest = self
            .pending_since
            .map_or(Tick::MAX, |t| (t + self.max_interval).max(now + 1));
        // A poll that is due sooner, of another service or after silence, is not put off.
        self.next_poll = self.next_poll.min(now + wait).min(latest);
        self.backoff = (self.backoff * 2).clamp(self.spread, self.spread.max(MAX_BACKOFF));
    }

    /// The list is served from elsewhere from now on, of which all hosts learn at about one time.
    pub(super) fn on_moved(&mut self, now: Tick, rng: &Pcg) {
        self.next_poll = now + rng.below(self.spread.min(SPREAD_AFTER_MOVE) as u64) as Tick;
    }
}
