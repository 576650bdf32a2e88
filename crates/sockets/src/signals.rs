//! Signals as bytes on a stream that the event loop polls (the self-pipe trick).
use mio::net::UnixStream;
use mio::{Interest, Poll, Token};
use std::io;

/// Opens a stream on which a byte arrives for each received signal of `signals`. The stream is registered with `poll`
/// under `token`.
///
/// # Errors
/// Returns the system's error if the stream or a signal handler cannot be set up.
pub fn pipe(poll: &Poll, token: Token, signals: &[i32]) -> io::Result<UnixStream> {
    let (receiver, sender) = std::os::unix::net::UnixStream::pair()?;
    receiver.set_nonblocking(true)?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, sender.try_clone()?)?;
    }
    let mut receiver = UnixStream::from_std(receiver);
    poll.registry()
        .register(&mut receiver, token, Interest::READABLE)?;
    Ok(receiver)
}
