//! When a call to the node list service has failed, and which of two calls counts.
use crate::Millis;

/// From a call to the head of its answer: the service lets a call wait its turn for a second at most, and whoever
/// waits longer only stands in the way of others.
const ANSWERED_WITHIN: Millis = 1_200;
/// From the call to its first whole line, a list of any length, once its head has come.
const WHOLE_WITHIN: Millis = 4_000;
/// A watch with nothing to tell says so every 2 s. One sign missed and 1.2 s more for a slow one, and it is dead: what
/// it misses counts as told 6 s after it fell silent, and calling anew takes the rest.
const SILENT: Millis = 3_200;

#[derive(Clone, Copy, Debug)]
pub struct Watch {
    asked: Millis,
    answered: bool,
    /// When its last whole line came: bytes without an end are no sign of life.
    heard: Option<Millis>,
    /// It was told to have fallen silent.
    doubted: bool,
}

impl Watch {
    /// A call at this time.
    pub fn new(now: Millis) -> Self {
        Watch { asked: now, answered: false, heard: None, doubted: false }
    }

    /// The head of its answer has come.
    pub fn answered(&mut self) {
        self.answered = true;
    }

    /// A whole line has come; whether it is the first.
    pub fn heard(&mut self, now: Millis) -> bool {
        self.heard.replace(now).is_none()
    }

    /// When it has failed unless something is heard before.
    pub fn fails_at(&self) -> Millis {
        match self.heard {
            None if self.answered => self.asked + WHOLE_WITHIN,
            None => self.asked + ANSWERED_WITHIN,
            Some(heard) => heard + SILENT,
        }
    }

    /// Whether it stands as a watch: it has spoken. One that has not only waits for its turn, and given up it stands in
    /// nobody's way.
    pub fn stands(&self) -> bool {
        self.heard.is_some()
    }

    /// Whether it has failed by now; told once. Another is called beside one that stands, which is listened to until
    /// that one has spoken.
    pub fn fails(&mut self, now: Millis) -> bool {
        let fails = !self.doubted && now >= self.fails_at();
        self.doubted |= fails;
        fails
    }
}

/// Two places for calls to the list service: the last one made, and the one before it, which is listened to until the
/// last has spoken. A host whose watch has fallen silent is so never without a call on which a service that comes
/// back could tell it; a third call takes the place of the oldest.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pair {
    last: usize,
}

impl Pair {
    /// The place of the next call, which is the last one from now on: what stands there is given up. `stands`: whether
    /// the last one does.
    pub fn next(&mut self, stands: bool) -> usize {
        if stands {
            self.last = 1 - self.last;
        }
        self.last
    }

    /// Whether what befalls the call at a place decides whether the host has a watch.
    pub fn is_last(&self, at: usize) -> bool {
        at == self.last
    }

    /// The call at a place has spoken: the place of the one that it takes over from.
    pub fn spoke(&self, at: usize) -> Option<usize> {
        self.is_last(at).then_some(1 - at)
    }
}

#[cfg(test)]
mod tests;
