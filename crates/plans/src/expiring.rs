//! Amounts that count until they expire.
use crate::{MilliUnits, Millis};

/// An amount that counts before `expires_at` and not from that moment on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ExpiringAmount {
    pub amount: MilliUnits,
    pub expires_at: Millis,
}

impl ExpiringAmount {
    pub fn is_alive(&self, now: Millis) -> bool {
        now < self.expires_at
    }
}

/// The largest amount that has not expired; 0 if there is none.
pub(crate) fn largest_alive(amounts: &[ExpiringAmount], now: Millis) -> MilliUnits {
    let alive = amounts.iter().filter(|a| a.is_alive(now));
    alive.map(|a| a.amount).max().unwrap_or(0)
}
