//! Log lines of membership events, limited in number whatever happens in the fleet.
use mallowseam_fleet::{MemberState, MembershipEvent, Millis};
use std::collections::BTreeMap;

/// Changes of members that are logged one by one in each window; further ones are counted into one line.
const MAX_LINES_PER_WINDOW: u32 = 8;
/// Length of a window, in milliseconds.
const WINDOW: Millis = 1_000;

/// Logs membership events.
#[derive(Default)]
pub(crate) struct EventLog {
    window_start: Millis,
    lines: u32,
    /// Changes that were not logged in this window, by the member's new state.
    suppressed: BTreeMap<&'static str, u32>,
}

impl EventLog {
    /// Logs an event. What concerns this host itself is not limited.
    pub fn log(&mut self, event: MembershipEvent, now: Millis) {
        self.renew_window(now);
        match event {
            MembershipEvent::Superseded { address } => tracing::error!(
                %address,
                "name conflict: a process that started later has this host's name; this one leaves the membership \
                 protocol and continues to serve"
            ),
            MembershipEvent::IsolationStarted => {
                tracing::warn!("isolated: nothing received from any other member of the fleet");
            }
            MembershipEvent::IsolationEnded => {
                tracing::info!("isolation ended: a message of another member was received");
            }
            MembershipEvent::MemberUpdated {
                name,
                address,
                previous,
                current,
                ..
            } => {
                // A new record without a change of state is not logged.
                if previous != Some(current) && self.admit(current.as_str()) {
                    let previous = previous.map_or("unknown", MemberState::as_str);
                    let current = current.as_str();
                    tracing::info!(member = %name, %address, previous, current, "member state changed");
                }
            }
            MembershipEvent::MemberForgotten { name } => {
                if self.admit("forgotten") {
                    tracing::info!(member = %name, "unreachable member forgotten after its retention time");
                }
            }
        }
    }

    /// Starts a new window once the last one is over, and logs what was suppressed in it.
    pub fn renew_window(&mut self, now: Millis) {
        if now >= self.window_start + WINDOW {
            (self.window_start, self.lines) = (now, 0);
            if !self.suppressed.is_empty() {
                let counts = std::mem::take(&mut self.suppressed);
                tracing::info!(?counts, "further member state changes");
            }
        }
    }

    /// Whether one more line may be logged in this window; if not, it is counted.
    fn admit(&mut self, state: &'static str) -> bool {
        self.lines += 1;
        let admitted = self.lines <= MAX_LINES_PER_WINDOW;
        if !admitted {
            *self.suppressed.entry(state).or_default() += 1;
        }
        admitted
    }
}
