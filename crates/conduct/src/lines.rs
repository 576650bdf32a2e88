//! When connections to nodes and to the node list service are made and given up. Whether a node is well, and
//! what is sent to it, is the scheduler's: a line is made when a submit asks for it and dropped when it does
//! not do what a line must.
use crate::Millis;

/// From the start of a connection to the end of its login. Shorter than a hard limit, so that a submit behind
/// a connect that hangs is followed by a fresh connect.
const LOGIN_WITHIN: Millis = 1_000;
/// A node that is well answers an abort at once. One that leaves it this long is stuck, and what it holds of
/// the command window would never come back.
const ABORT_WITHIN: Millis = 1_000;
/// A call to the list service is answered within this, whole; after that, the call has failed.
const LIST_WITHIN: Millis = 1_000;

/// Why a line is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    NoLogin,
    AbortUnanswered,
    Left,
}

impl Why {
    pub fn words(self) -> &'static str {
        match self {
            Why::NoLogin => "login not finished in time",
            Why::AbortUnanswered => "aborts unanswered",
            Why::Left => "node has left",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Down,
    Opening(Millis),
    Up,
}

/// The line to one node.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    state: State,
    /// The oldest abort without an answer.
    abort: Option<Millis>,
    aborts: u32,
    left: bool,
}

impl Default for Line {
    fn default() -> Self {
        Line { state: State::Down, abort: None, aborts: 0, left: false }
    }
}

impl Line {
    /// A submit wants to go out: whether a connection is to be opened for it now.
    pub fn wanted(&mut self, now: Millis) -> bool {
        let open = self.state == State::Down;
        if open {
            *self = Line { state: State::Opening(now), left: self.left, ..Line::default() };
        }
        open
    }

    pub fn up(&mut self) {
        self.state = State::Up;
    }

    pub fn is_up(&self) -> bool {
        self.state == State::Up
    }

    pub fn down(&mut self) {
        *self = Line { left: self.left, ..Line::default() };
    }

    pub fn aborted(&mut self, now: Millis) {
        self.aborts += 1;
        self.abort = self.abort.or(Some(now));
    }

    /// An abort was answered: the node works on aborts, so the rest have their time from now on.
    pub fn abort_answered(&mut self, now: Millis) {
        self.aborts = self.aborts.saturating_sub(1);
        self.abort = if self.aborts > 0 { Some(now) } else { None };
    }

    /// What the list says of the node.
    pub fn listed(&mut self, left: bool) {
        self.left = left;
    }

    /// Whether the line is to be dropped, with `out` submits on it.
    pub fn care(&self, now: Millis, out: usize) -> Option<Why> {
        match self.state {
            State::Opening(since) if now >= since + LOGIN_WITHIN => Some(Why::NoLogin),
            State::Up if self.abort.is_some_and(|a| now >= a + ABORT_WITHIN) => Some(Why::AbortUnanswered),
            State::Up if self.left && out == 0 => Some(Why::Left),
            _ => None,
        }
    }
}

/// A call to the list service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListCall {
    since: Option<Millis>,
}

impl ListCall {
    pub fn asked(&mut self, now: Millis) {
        self.since = Some(now);
    }

    /// The list came whole, or the call failed otherwise.
    pub fn over(&mut self) {
        self.since = None;
    }

    pub fn failed(&self, now: Millis) -> bool {
        self.since.is_some_and(|s| now >= s + LIST_WITHIN)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_connect_that_hangs_is_given_up_and_made_anew_by_the_next_submit() {
        let mut line = Line::default();
        assert!(line.wanted(10) && !line.wanted(11));
        assert_eq!(line.care(10 + LOGIN_WITHIN - 1, 1), None);
        assert_eq!(line.care(10 + LOGIN_WITHIN, 1), Some(Why::NoLogin));
        line.down();
        assert!(line.wanted(2_000));
        line.up();
        assert_eq!(line.care(9_000, 1), None);
    }

    #[test]
    fn a_node_that_accepts_and_never_answers_loses_its_line_and_one_that_is_slow_keeps_it() {
        let mut line = Line::default();
        line.wanted(0);
        line.up();
        assert_eq!(line.care(100_000, 30), None);
        line.aborted(100);
        line.aborted(200);
        line.abort_answered(900);
        assert_eq!(line.care(900 + ABORT_WITHIN - 1, 1), None);
        assert_eq!(line.care(900 + ABORT_WITHIN, 1), Some(Why::AbortUnanswered));
        line.abort_answered(1_000);
        assert_eq!(line.care(100_000, 1), None);
    }

    #[test]
    fn the_line_of_a_node_that_left_goes_once_nothing_is_out() {
        let mut line = Line::default();
        line.wanted(0);
        line.up();
        line.listed(true);
        assert_eq!((line.care(1, 1), line.care(1, 0)), (None, Some(Why::Left)));
        line.listed(false);
        assert_eq!(line.care(1, 0), None);
    }

    #[test]
    fn a_list_service_that_never_answers_has_failed() {
        let mut call = ListCall::default();
        assert!(!call.failed(9_999));
        call.asked(5);
        assert!(!call.failed(4 + LIST_WITHIN) && call.failed(5 + LIST_WITHIN));
        call.over();
        assert!(!call.failed(99_999));
    }
}
