//! Block I/Os of ordered classes that name the same key run one after another.
use crate::interface::{AttemptResult, BioId, Host, KeyId, SchedulerConfig, Tick};
use crate::key_queue::KeyQueue;
use crate::slab::Slab;

/// All ordering keys in use.
pub(super) struct OrderingKeys {
    keys: Slab<KeyId, OrderingKey>,
    /// Keys with a cooldown that may have ended.
    cooling: Vec<KeyId>,
    /// Ticks for which a key is blocked for other block I/Os after an attempt that may still be running.
    cooldown: Tick,
}

/// An ordering key in use.
#[derive(Default)]
struct OrderingKey {
    /// Its ordered block I/Os; only the first may be sent.
    queue: KeyQueue,
    /// Block I/Os that name it.
    users: u32,
    /// Until then no other block I/O of the key starts. None: no attempt was cut off.
    cooldown_until: Option<Tick>,
}

impl OrderingKey {
    fn is_cooling_down(&self, now: Tick) -> bool {
        self.cooldown_until.is_some_and(|end| now < end)
    }
}

impl OrderingKeys {
    /// No keys yet, and the cooldown of a configuration.
    pub(super) fn new(config: &SchedulerConfig) -> Self {
        OrderingKeys {
            keys: Slab::default(),
            cooling: Vec::new(),
            cooldown: config.ordering_cooldown,
        }
    }

    /// Appends a block I/O to the queue of its key, or only counts it as a user of the key.
    pub(super) fn join(&mut self, key: KeyId, bio: BioId, ordered: bool) {
        let key = self.keys.get_or_insert_with(key, OrderingKey::default);
        key.users += 1;
        if ordered {
            key.queue.push(bio);
        }
    }

    /// Takes a block I/O that is finished and has no attempt in flight out of its key's queue, and releases a key that
    /// nothing uses any more.
    pub(super) fn leave(&mut self, host: &mut dyn Host, now: Tick, key: KeyId, bio: BioId) {
        let state = &mut self.keys[key];
        state.queue.remove(bio);
        state.users -= 1;
        if state.users == 0 && !state.is_cooling_down(now) {
            state.cooldown_until = None;
            host.release_key(key);
        }
    }

    /// Whether an ordered block I/O is the first of its key, and the key is not cooling down. A cooldown does not
    /// hold back the retry of the block I/O that caused it.
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

    /// An attempt of an ordered block I/O is over. If it was cut off, it may still be running: its key cools down.
    /// Returns when the cooldown ends.
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

    /// Ends cooldowns that are over, and releases keys that nothing uses.
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
