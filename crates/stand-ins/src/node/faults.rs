//! Faults of a stand-in node.
use mallowseam_audit::trace::Micros;

/// A fault, or its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeFault {
    /// Answers nothing and starts nothing new, while what has started goes on. Commands that come in meanwhile are
    /// read off the sockets, so that their time is known, and processed later.
    Silent(bool),
    /// The process ends with all that is in flight; it starts again cold.
    Crash,
    /// The process starts again after a crash.
    Start,
    /// Every connection is closed.
    Reset,
    /// Nothing is worked on.
    Frozen(bool),
    /// This many times slower.
    Slow(f64),
    /// Part of its commands that fail at once.
    Errors(f64),
    /// Part of its answers that never go out.
    LoseAnswers(f64),
    /// Has no space for blocks that it does not hold yet.
    Full(bool),
    /// Accepts no connections, while those it has go on.
    NotAccepting(bool),
    /// The stand-in itself ends.
    Stop,
}

/// The faults that are on.
pub(super) struct ActiveFaults {
    silent: bool,
    frozen_since: Option<Micros>,
    not_accepting: bool,
    full: bool,
    slowdown: f64,
    error_rate: f64,
    loss_rate: f64,
}

impl Default for ActiveFaults {
    fn default() -> Self {
        ActiveFaults {
            silent: false,
            frozen_since: None,
            not_accepting: false,
            full: false,
            slowdown: 1.0,
            error_rate: 0.0,
            loss_rate: 0.0,
        }
    }
}

impl ActiveFaults {
    pub(super) fn set_silent(&mut self, on: bool) {
        self.silent = on;
    }

    pub(super) fn freeze(&mut self, now: Micros) {
        self.frozen_since = self.frozen_since.or(Some(now));
    }

    /// Ends a freeze. Returns how long it lasted, if there was one.
    pub(super) fn thaw(&mut self, now: Micros) -> Option<Micros> {
        self.frozen_since.take().map(|since| now - since)
    }

    pub(super) fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor;
    }

    pub(super) fn set_error_rate(&mut self, part: f64) {
        self.error_rate = part;
    }

    pub(super) fn set_loss_rate(&mut self, part: f64) {
        self.loss_rate = part;
    }

    pub(super) fn set_not_accepting(&mut self, on: bool) {
        self.not_accepting = on;
    }

    pub(super) fn set_full(&mut self, on: bool) {
        self.full = on;
    }

    /// Ends the faults that belong to a process. Errors, lost answers and a full store outlive it.
    pub(super) fn on_restart(&mut self) {
        self.silent = false;
        self.frozen_since = None;
        self.slowdown = 1.0;
        self.not_accepting = false;
    }

    pub(super) fn is_silent(&self) -> bool {
        self.silent
    }

    pub(super) fn is_frozen(&self) -> bool {
        self.frozen_since.is_some()
    }

    pub(super) fn accepts_connections(&self) -> bool {
        !self.not_accepting && !self.silent
    }

    pub(super) fn is_full(&self) -> bool {
        self.full
    }

    /// Multiple of the usual work.
    pub(super) fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Part of the commands that fail at once.
    pub(super) fn error_rate(&self) -> f64 {
        self.error_rate
    }

    /// Part of the answers that are never sent.
    pub(super) fn loss_rate(&self) -> f64 {
        self.loss_rate
    }
}
