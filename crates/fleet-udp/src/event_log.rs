//! Log lines for membership events, with a rate limit for those about other members.
use crate::log_rate_limit::LogRateLimit;
use mallowseam_fleet::record::Name;
use mallowseam_fleet::{MemberState, MembershipEvent, Millis};
use std::net::SocketAddr;

/// Logger of membership events.
#[derive(Default)]
pub(crate) struct EventLog {
    /// Rate limit of lines about other members. Lines about this host itself are not limited.
    rate_limit: LogRateLimit,
}

impl EventLog {
    /// Logs a membership event, unless the rate limit suppresses its line.
    pub fn log(&mut self, event: MembershipEvent, now: Millis) {
        self.renew_window(now);
        match event {
            MembershipEvent::Superseded { address } => log_superseded(address),
            MembershipEvent::IsolationStarted => {
                tracing::warn!("isolated: nothing received from any other member of the fleet");
            }
            MembershipEvent::IsolationEnded => {
                tracing::info!("isolation ended: a message from another member was received");
            }
            MembershipEvent::MemberUpdated {
                name,
                address,
                previous,
                current,
                ..
            } => self.log_state(&name, address, previous, current),
            MembershipEvent::MemberForgotten { name } => {
                if self.rate_limit.admit("forgotten") {
                    tracing::info!(member = %name, "unreachable member forgotten after its retention time");
                }
            }
        }
    }

    /// Starts a new window of the rate limit if the current one is over, and logs how many lines were suppressed in the
    /// window that ended.
    pub fn renew_window(&mut self, now: Millis) {
        let counts = self.rate_limit.renew_window(now);
        if !counts.is_empty() {
            tracing::info!(?counts, "further member state changes");
        }
    }

    /// Logs the change of a member's state. A new record without a change of state is not logged.
    fn log_state(
        &mut self,
        name: &Name,
        address: SocketAddr,
        previous: Option<MemberState>,
        current: MemberState,
    ) {
        if previous != Some(current) && self.rate_limit.admit(current.as_str()) {
            let previous = previous.map_or("unknown", MemberState::as_str);
            let current = current.as_str();
            tracing::info!(member = %name, %address, previous, current, "member state changed");
        }
    }
}

fn log_superseded(address: SocketAddr) {
    tracing::error!(
        %address,
        "name conflict: a process that started later has this host's name; this process leaves the membership \
         protocol and continues to serve; give each host of the fleet a unique name"
    );
}
