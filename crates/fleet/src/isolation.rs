//! Isolation: a host that receives nothing from any other member assumes that its own network has failed, not that of
//! all other members.
#[cfg(test)]
mod tests;

use crate::Millis;

/// Protocol periods without a message from any other member after which this host counts as isolated.
const ISOLATION_PERIODS: u64 = 4;

/// Time at which this host last received a message, and whether it counts as isolated.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Isolation {
    /// Time without a message from any other member after which this host counts as isolated.
    timeout: Millis,
    /// Time at which this host last received a message from any other member.
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

    /// Records a message from another member. Returns whether it ends an isolation.
    pub fn on_message(&mut self, now: Millis) -> bool {
        self.last_message = Some(now);
        std::mem::take(&mut self.is_isolated)
    }

    /// Begins an isolation if there are other members and none of them sent a message within the timeout. Returns the
    /// time of the last message if an isolation begins.
    pub fn begin_if_silent(&mut self, has_others: bool, now: Millis) -> Option<Millis> {
        let last_message = self.last_message?;
        if self.is_isolated || !has_others || now < last_message + self.timeout {
            return None;
        }
        self.is_isolated = true;
        Some(last_message)
    }

    /// Excludes a pause of this process, in which it could receive nothing, from the time without messages.
    pub fn on_pause(&mut self, pause: Millis) {
        self.last_message = self.last_message.map(|last_message| last_message + pause);
    }
}
