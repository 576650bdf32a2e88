//! What the services have in common: the event loop, the sockets that it watches, and requests of operators.
mod operators;
mod sockets;
mod stop_requests;

pub(crate) use mallowseam_process_io::periodic_timer::PeriodicTimer;
pub(crate) use operators::{Answer, Operators};
pub(crate) use sockets::{FIRST_NODE_TOKEN, ListeningSockets, ServiceSockets, SocketEvent};

use crate::error::{Error, ProcessError};
use mio::event::Event;
use mio::{Events, Poll};
use std::io::ErrorKind;
use std::time::Duration;

/// Most events that one poll returns.
const MAX_EVENTS: usize = 256;

/// A process with one event loop that serves hosts and operators until it is asked to stop.
pub(crate) trait Service {
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
    fn on_event(&mut self, event: &Event) -> Result<(), Error>;

    /// Does what is due after the events of one poll.
    ///
    /// # Errors
    /// The service cannot go on.
    fn after_events(&mut self) -> Result<(), Error>;
}

/// Runs a service until it is asked to stop.
///
/// # Errors
/// Polling fails, or the service cannot go on.
pub(crate) fn run(service: &mut impl Service, poll: &mut Poll) -> Result<(), Error> {
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
fn wait_for_events(poll: &mut Poll, events: &mut Events, timeout: Duration) -> Result<(), Error> {
    match poll.poll(events, Some(timeout)) {
        Err(e) if e.kind() != ErrorKind::Interrupted => Err(ProcessError::Poll(e).into()),
        _ => Ok(()),
    }
}
