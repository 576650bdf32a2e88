//! The event loop of a service.
use mio::event::Event;
use mio::{Events, Poll};
use std::io::{self, ErrorKind};
use std::time::Duration;

/// Most events that one poll returns.
const MAX_EVENTS: usize = 256;

/// Polling for socket events failed.
#[derive(Debug, thiserror::Error)]
#[error("poll: {0}")]
pub struct PollError(#[source] pub io::Error);

/// A process with one event loop that serves hosts and operators until it is asked to stop.
pub trait Service {
    /// Why the service cannot go on.
    type Error: From<PollError>;

    /// Whether the process is to end before the next poll.
    fn is_stopping(&self) -> bool;

    /// Longest time that the next poll may wait for events.
    fn poll_timeout(&self) -> Duration;

    /// A poll has returned: reads the clock, by which all of this iteration is decided.
    fn on_poll_returned(&mut self);

    /// A socket is ready.
    ///
    /// # Errors
    /// The service cannot go on.
    fn on_event(&mut self, event: &Event) -> Result<(), Self::Error>;

    /// Does what is due after the events of one poll.
    ///
    /// # Errors
    /// The service cannot go on.
    fn after_events(&mut self) -> Result<(), Self::Error>;
}

/// Runs a service until it is asked to stop.
///
/// # Errors
/// Polling fails, or the service cannot go on.
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

/// Polls once. A poll that a signal interrupts has no events.
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
