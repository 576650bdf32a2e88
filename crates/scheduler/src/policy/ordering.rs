//! Block I/Os of ordered classes that name the same key run one after another.
use crate::interface::{AttemptResult, BioId, Host, KeyId, Tick};
use crate::state::{OrderingKey, Request, Scheduler};

impl Scheduler {
    /// Appends a block I/O to the queue of its key, or only counts it as a user of the key.
    pub(super) fn join_key(&mut self, key: KeyId, id: BioId, ordered: bool) {
        let key = self.keys.get_or_insert_with(key.0, OrderingKey::default);
        key.users += 1;
        if ordered {
            key.queue.push(id);
        }
    }

    /// Takes a block I/O that is finished and has no attempt in flight out of its key's queue.
    pub(super) fn leave_key(&mut self, host: &mut dyn Host, now: Tick, key: KeyId, id: BioId) {
        let state = &mut self.keys[key.0];
        state.queue.remove(id);
        state.users -= 1;
        if state.users == 0 && state.cooldown_until <= now {
            state.cooldown_until = 0;
            host.release_key(key);
        }
    }

    /// Whether a block I/O is the first of its key, and the key is not cooling down for it.
    pub(super) fn is_its_turn(&self, request: &Request, now: Tick) -> bool {
        let Some(key) = request.bio.key.filter(|_| self.class(request).ordered) else {
            return true;
        };
        let key = &self.keys[key.0];
        let cooling_down = request.attempts == 0 && now < key.cooldown_until;
        key.queue.first() == Some(request.bio.id) && !cooling_down
    }

    /// An attempt that was cut off may still run: its key cools down.
    pub(super) fn cool_key_down(&mut self, now: Tick, id: BioId, result: AttemptResult) {
        use AttemptResult::{Cancelled, ConnectionReset, TimedOut};
        let request = &self.requests[id.0];
        let cut_off = matches!(result, TimedOut | ConnectionReset | Cancelled);
        let concerned = cut_off && self.class(request).ordered;
        let Some(key) = request.bio.key.filter(|_| concerned) else {
            return;
        };
        let until = now + self.config.ordering_cooldown + 1;
        self.keys[key.0].cooldown_until = until;
        self.cooling_keys.push(key);
        // The next block I/O of the key goes when the cooldown ends, not an allocation interval later.
        self.timers.push(until, id);
    }

    /// Ends cooldowns that are over, and releases keys that nothing uses.
    pub(super) fn end_cooldowns(&mut self, host: &mut dyn Host, now: Tick) {
        for index in (0..self.cooling_keys.len()).rev() {
            let key = self.cooling_keys[index];
            let state = &mut self.keys[key.0];
            if state.cooldown_until <= now {
                self.cooling_keys.swap_remove(index);
                if state.users == 0 && state.cooldown_until > 0 {
                    state.cooldown_until = 0;
                    host.release_key(key);
                }
            }
        }
    }
}
