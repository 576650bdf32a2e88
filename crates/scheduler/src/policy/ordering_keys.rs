//! Ordering keys: block I/Os of ordered classes with the same key run one after another.
use crate::interface::{AttemptResult, BioId, Host, KeyId, SchedulerConfig, Tick};
use crate::key_queue::KeyQueue;
use crate::slab::Slab;

/// All ordering keys in use.
pub(super) struct OrderingKeys {
    keys: Slab<KeyId, OrderingKey>,
    /// Keys whose cooldown may have ended.
    cooling: Vec<KeyId>,
    /// Ticks for which other block I/Os of a key are blocked after an attempt that may still be running.
    cooldown: Tick,
}

/// An ordering key in use.
#[derive(Default)]
struct OrderingKey {
    /// Ordered block I/Os of the key; only the first one may be sent.
    queue: KeyQueue,
    /// Number of block I/Os that have the key.
    users: u32,
    /// Time before which no other block I/O of the key starts; `None` if no attempt was cut off.
    cooldown_until: Option<Tick>,
}

impl OrderingKey {
    fn is_cooling_down(&self, now: Tick) -> bool {
        self.cooldown_until.is_some_and(|end| now < end)
    }
}

impl OrderingKeys {
    /// Creates an empty set of keys with the configured cooldown.
    pub(super) fn new(config: &SchedulerConfig) -> Self {
        OrderingKeys {
            keys: Slab::default(),
            cooling: Vec::new(),
            cooldown: config.ordering_cooldown,
        }
    }

    /// Appends an ordered block I/O to the queue of its key. Any other block I/O only counts as a user of the key.
    pub(super) fn join(&mut self, key: KeyId, bio: BioId, ordered: bool) {
        let key = self.keys.get_or_insert_with(key, OrderingKey::default);
        key.users += 1;
        if ordered {
            key.queue.push(bio);
        }
    }

    /// Removes a block I/O that is finished and has no attempt in flight from its key, and releases a key that is no
    /// longer used.
    pub(super) fn leave(&mut self, host: &mut dyn Host, now: Tick, key: KeyId, bio: BioId) {
        let state = &mut self.keys[key];
        state.queue.remove(bio);
        state.users -= 1;
        if state.users == 0 && !state.is_cooling_down(now) {
            state.cooldown_until = None;
            host.release_key(key);
        }
    }

    /// Returns whether an ordered block I/O is the first of its key and the key is not in a cooldown. A cooldown does
    /// not block the retry of the block I/O that caused it.
    pub(super) fn is_first_in_order(
        &self,
        now: Tick,
        key: KeyId,
        bio: BioId,
        is_retry: bool,
    ) -> bool {
        let state = &self.keys[key];
        state.queue.first() == Some(bio) && (is_retry || !state.is_cooling_down(now))
    }

    /// Records the end of an attempt of an ordered block I/O. An attempt that was cut off may still be running, so its
    /// key enters a cooldown, whose end is returned.
    pub(super) fn on_attempt_finished(
        &mut self,
        now: Tick,
        key: KeyId,
        result: AttemptResult,
    ) -> Option<Tick> {
        use AttemptResult::{Cancelled, ConnectionReset, TimedOut};
        if !matches!(result, TimedOut | ConnectionReset | Cancelled) {
            return None;
        }
        let end = now + self.cooldown + 1;
        self.keys[key].cooldown_until = Some(end);
        self.cooling.push(key);
        Some(end)
    }

    /// Ends the cooldowns that have elapsed, and releases keys that are no longer used.
    pub(super) fn end_cooldowns(&mut self, host: &mut dyn Host, now: Tick) {
        for position in (0..self.cooling.len()).rev() {
            let key = self.cooling[position];
            let state = &mut self.keys[key];
            if state.is_cooling_down(now) {
                continue;
            }
            self.cooling.swap_remove(position);
            if state.users == 0 && state.cooldown_until.take().is_some() {
                host.release_key(key);
            }
        }
    }
}
