//! When a call to the node list service has failed.
use crate::Millis;

/// From a call to the head of its answer: the service may let a call wait its turn for a second.
const ANSWERED_WITHIN: Millis = 2_000;
/// A whole list comes within this.
const WHOLE_WITHIN: Millis = 4_000;
/// A watch with nothing to tell says so every 2 s; three of them missed, and it is dead.
const SILENT: Millis = 6_500;

#[derive(Clone, Copy, Debug)]
pub struct Watch {
    asked: Millis,
    heard: Option<Millis>,
    once: bool,
}

impl Watch {
    /// A call at this time; `once`: for the whole list, not for changes.
    pub fn new(now: Millis, once: bool) -> Self {
        Watch { asked: now, heard: None, once }
    }

    pub fn heard(&mut self, now: Millis) {
        self.heard = Some(now);
    }

    /// When it has failed unless something is heard before.
    pub fn fails_at(&self) -> Millis {
        match self.heard {
            None => self.asked + ANSWERED_WITHIN,
            Some(_) if self.once => self.asked + WHOLE_WITHIN,
            Some(heard) => heard + SILENT,
        }
    }
}
