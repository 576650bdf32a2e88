//! Event loop of a service.
use mio::event::Event;
use mio::{Events, Poll};
use std::io::{self, ErrorKind};
use std::time::Duration;

/// Maximum number of events that one poll returns.
const MAX_EVENTS: usize = 256;

/// Error of a failed poll for socket events.
#[derive(Debug, thiserror::Error)]
#[error("failed to poll for socket events: {0}")]
pub struct PollError(#[source] pub io::Error);

/// Process with one event loop that serves hosts and operators until it is asked to stop.
pub trait Service {
    /// Error that ends the service.
    type Error: From<PollError>;

    /// Returns whether the process must end before the next poll.
    fn is_stopping(&self) -> bool;

    /// Returns the maximum time for which the next poll may wait for events.
    fn poll_timeout(&self) -> Duration;

    /// Reads the clock after a poll has returned. All decisions of this iteration use that time.
    fn on_poll_returned(&mut self);

    /// Handles an event of a socket that is ready.
    ///
    /// # Errors
    /// Returns an error that ends the service.
    fn on_event(&mut self, event: &Event) -> Result<(), Self::Error>;

    /// Does the work that is due after the events of one poll.
    ///
    /// # Errors
    /// Returns an error that ends the service.
    fn after_events(&mut self) -> Result<(), Self::Error>;
}

/// Runs a service until it is asked to stop.
///
/// # Errors
/// Returns an error if a poll fails, or the error that ended the service.
pub fn run<S: Service>(service: &mut S, poll: &mut Poll) -> Result<(), S::Error> {
    let mut events = Events::with_capacity(MAX_EVENTS);
    while !service.is_stopping() {
        wait_for_events(poll, &mut events, service.poll_timeout())?;
        service.on_poll_returned();
        for event in &events {
            service.on_event(event)?;
        }
        service.after_events()?;
    }
    Ok(())
}

/// Polls once. A poll that is interrupted by a signal returns no events.
fn wait_for_events(
    poll: &mut Poll,
    events: &mut Events,
    timeout: Duration,
) -> Result<(), PollError> {
    match poll.poll(events, Some(timeout)) {
        Err(e) if e.kind() != ErrorKind::Interrupted => Err(PollError(e)),
        _ => Ok(()),
    }
}
