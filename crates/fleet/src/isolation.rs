//! Isolation: a host that receives nothing from any member assumes that its own network has failed, and not that of all
//! others.
#[cfg(test)]
mod tests;

use crate::Millis;

/// Periods without any message of another member after which this host counts as isolated.
const ISOLATION_PERIODS: u64 = 4;

/// When this host last received a message, and whether it counts as isolated.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Isolation {
    /// Time without any message after which this host counts as isolated.
    timeout: Millis,
    /// When a message of any other member was last received.
    last_message: Option<Millis>,
    is_isolated: bool,
}

impl Isolation {
    pub fn new(protocol_period: Millis) -> Self {
        Isolation {
            timeout: protocol_period * ISOLATION_PERIODS,
            last_message: None,
            is_isolated: false,
        }
    }

    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// A message of another member was received. Returns whether that ends an isolation.
    pub fn on_message(&mut self, now: Millis) -> bool {
        self.last_message = Some(now);
        std::mem::take(&mut self.is_isolated)
    }

    /// Begins an isolation when nothing was received for too long, though there are other members. Returns when the last
    /// message was received, if an isolation begins.
    pub fn begin_if_silent(&mut self, has_others: bool, now: Millis) -> Option<Millis> {
        let last_message = self.last_message?;
        if self.is_isolated || !has_others || now < last_message + self.timeout {
            return None;
        }
        self.is_isolated = true;
        Some(last_message)
    }

    /// This host was stopped for `gap`, in which nothing could be received.
    pub fn on_stop(&mut self, gap: Millis) {
        self.last_message = self.last_message.map(|last_message| last_message + gap);
    }
}
