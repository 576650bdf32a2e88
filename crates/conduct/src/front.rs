//! Clients that send one request at a time: whom a host lets in, when it closes a connection, and which one
//! gives way when there are no more. Requests themselves are the scheduler's, once taken.
use crate::Millis;

/// From connecting to the first whole request, and from a later one's first byte to its last. Clients with
/// something to ask send it at once; the users' pages give a connection that does not 3 s to hear of it.
const WHOLE_WITHIN: Millis = 2_000;
/// An answer is taken within this, or its client does not read: seconds, as any wait for an answer here.
const TAKEN_WITHIN: Millis = 4_000;
/// A connection with nothing in hand may be closed after this (the users' pages); it is when others need room.
const IDLE_YIELDS: Millis = 2_000;
/// One that has not been used for so long is closed anyway: half a minute, past any client's pause.
const IDLE_ENDS: Millis = 30_000;
/// A new connection whose first bytes may still be on their way.
const SILENT_YIELDS: Millis = 50;
/// What a client still sends behind an error is read so that the error reaches it, within these.
const LINGER: Millis = 500;
const LINGER_BYTES: usize = 256 * 1024;
/// Pause before the next request of a connection that has just sent one that can't be taken, doubled by each
/// further one: a client that comes back as soon as it is turned away costs little.
const WRONG_RESTS: Millis = 50;
const WRONG_RESTS_MOST: Millis = 1_600;
/// After SIGTERM clients still come for this long; then idle connections end, and no new ones are let in.
const STILL_COMES: Millis = 500;

/// What a client's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doing {
    /// Nothing has come on it yet.
    Silent,
    /// A request has begun and is not whole.
    Midway,
    /// The scheduler has its request.
    InHand,
    /// Its answer is not all written.
    Answered,
    /// Nothing since its last answer.
    Idle,
    /// It is over, and what it still sends is read and dropped.
    Lingers,
}

/// A client's connection.
#[derive(Clone, Copy, Debug)]
pub struct Guest {
    doing: Doing,
    /// Since when it does that.
    since: Millis,
    wrongs: u32,
    rests: Millis,
    dropped: usize,
}

/// What is to be done about a connection now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Care {
    Nothing,
    /// Its request is late: an error, then the end.
    Late,
    Close,
}

impl Guest {
    pub fn new(now: Millis) -> Self {
        Guest { doing: Doing::Silent, since: now, wrongs: 0, rests: 0, dropped: 0 }
    }

    pub fn doing(&self) -> Doing {
        self.doing
    }

    pub fn turns(&mut self, doing: Doing, now: Millis) {
        // A first request that comes in pieces has its time from connecting on.
        if doing == Doing::Midway && matches!(self.doing, Doing::Silent | Doing::Midway) {
            self.doing = doing;
        } else {
            (self.doing, self.since) = (doing, now);
        }
    }

    /// It sent a request that can't be taken.
    pub fn wrong(&mut self, now: Millis) {
        self.rests = now + (WRONG_RESTS << self.wrongs.min(8)).min(WRONG_RESTS_MOST);
        self.wrongs += 1;
    }

    /// It sent one that can.
    pub fn right(&mut self) {
        self.wrongs = 0;
    }

    /// Whether its next request is read now.
    pub fn reads(&self, now: Millis) -> bool {
        now >= self.rests && matches!(self.doing, Doing::Silent | Doing::Midway | Doing::Idle)
    }

    /// Until when it rests, if it does.
    pub fn rests(&self, now: Millis) -> bool {
        now < self.rests
    }

    /// So many bytes behind its end were read and dropped; whether that is enough.
    pub fn dropped(&mut self, bytes: usize) -> bool {
        self.dropped += bytes;
        self.dropped >= LINGER_BYTES
    }

    pub fn care(&self, now: Millis, leaving: Option<Millis>) -> Care {
        let age = now.saturating_sub(self.since);
        let ends = leaving.is_some_and(|since| now >= since + STILL_COMES);
        match self.doing {
            Doing::Silent if age >= WHOLE_WITHIN || ends => Care::Close,
            Doing::Midway if age >= WHOLE_WITHIN => Care::Late,
            Doing::Answered if age >= TAKEN_WITHIN => Care::Close,
            Doing::Idle if age >= IDLE_ENDS || ends => Care::Close,
            Doing::Lingers if age >= LINGER => Care::Close,
            _ => Care::Nothing,
        }
    }

    /// In which order it gives way to a new connection; none: it does not.
    fn yields(&self, now: Millis) -> Option<(u8, Millis)> {
        let age = now.saturating_sub(self.since);
        let rank = match self.doing {
            Doing::Lingers => 0,
            Doing::Idle if age >= IDLE_YIELDS => 1,
            Doing::Silent if age >= SILENT_YIELDS => 2,
            _ => return None,
        };
        Some((rank, self.since))
    }
}

/// Which connection gives way to a new one: one that is over, then the longest idle, then the longest silent.
/// None: the new one is let in and closed at once.
pub fn gives_way<'a>(guests: impl Iterator<Item = (u32, &'a Guest)>, now: Millis) -> Option<u32> {
    guests.filter_map(|(at, g)| Some((g.yields(now)?, at))).min().map(|(_, at)| at)
}

/// Whether a host that was told to end, with so many clients left, does.
pub fn ends(told: Millis, now: Millis, clients: usize) -> bool {
    now >= told + STILL_COMES && clients == 0
}

/// Whether it still lets new connections in.
pub fn lets_in(leaving: Option<Millis>, now: Millis) -> bool {
    leaving.is_none_or(|told| now < told + STILL_COMES)
}
