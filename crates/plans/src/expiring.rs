//! Amounts of quota that expire.
use crate::{MilliUnits, Millis};

/// An amount that is valid before `expires_at`, and expired from that moment on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ExpiringAmount {
    pub amount: MilliUnits,
    pub expires_at: Millis,
}

impl ExpiringAmount {
    pub fn is_unexpired(&self, now: Millis) -> bool {
        now < self.expires_at
    }
}

/// Returns the largest amount that has not expired; 0 if there is none.
pub(crate) fn largest_unexpired(amounts: &[ExpiringAmount], now: Millis) -> MilliUnits {
    let unexpired = amounts.iter().filter(|a| a.is_unexpired(now));
    unexpired.map(|a| a.amount).max().unwrap_or(0)
}
