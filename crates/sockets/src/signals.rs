//! Signals as something to read, beside all else that a poll waits for.
use mio::net::UnixStream;
use mio::{Interest, Poll, Token};
use std::io;

/// A byte comes for each of these signals.
pub fn pipe(poll: &Poll, token: Token, signals: &[i32]) -> io::Result<UnixStream> {
    let (mine, theirs) = std::os::unix::net::UnixStream::pair()?;
    mine.set_nonblocking(true)?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, theirs.try_clone()?)?;
    }
    let mut mine = UnixStream::from_std(mine);
    poll.registry().register(&mut mine, token, Interest::READABLE)?;
    Ok(mine)
}
