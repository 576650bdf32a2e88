//! Faults of a stand-in node.
use mallowseam_audit::trace::Micros;

/// Fault of a stand-in node, or its end. For variants with a `bool`, true begins the fault and false ends it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeFault {
    /// The node answers nothing and starts no new commands; running commands continue. Commands that arrive meanwhile
    /// are read from the sockets, so that their time is recorded, and processed later.
    Silent(bool),
    /// The process ends with all commands in flight. When it starts again, it has a slow start.
    Crash,
    /// The process starts again after a crash.
    Start,
    /// The node closes all connections.
    Reset,
    /// The node suspends the execution of all commands.
    Frozen(bool),
    /// The node is slower by this factor.
    Slow(f64),
    /// This fraction of the commands fails at once.
    Errors(f64),
    /// This fraction of the answers is never sent.
    LoseAnswers(f64),
    /// The node has no space for blocks that it does not store yet.
    Full(bool),
    /// The node accepts no new connections; open ones continue.
    NotAccepting(bool),
    /// The thread of the stand-in ends.
    Stop,
}

/// Faults that are in force.
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
    pub(super) fn unfreeze(&mut self, now: Micros) -> Option<Micros> {
        self.frozen_since.take().map(|since| now - since)
    }

    pub(super) fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor;
    }

    pub(super) fn set_error_rate(&mut self, fraction: f64) {
        self.error_rate = fraction;
    }

    pub(super) fn set_loss_rate(&mut self, fraction: f64) {
        self.loss_rate = fraction;
    }

    pub(super) fn set_not_accepting(&mut self, on: bool) {
        self.not_accepting = on;
    }

    pub(super) fn set_full(&mut self, on: bool) {
        self.full = on;
    }

    /// Ends the faults of the previous process. Errors, lost answers and a full store outlive a process.
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

    /// Returns the factor by which commands take longer than usual.
    pub(super) fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Returns the fraction of commands that fail at once.
    pub(super) fn error_rate(&self) -> f64 {
        self.error_rate
    }

    /// Returns the fraction of answers that are never sent.
    pub(super) fn loss_rate(&self) -> f64 {
        self.loss_rate
    }
}
