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
/// A new connection whose first bytes may still be on their way: clients send with the connection up, and a few
/// round trips are under this. Only where nothing else gives way, one goes sooner.
const SILENT_YIELDS: Millis = 5;
/// Who leaves is to be heard of within 0.1 s (the users' page), also in a round of the loop that has much to do or on a
/// busy machine: what the poll has said is gone by for a third of that.
const POLL_COUNTS: Millis = 30;
/// What a client still sends behind an error is read so that the error reaches it, within these.
const LINGER: Millis = 500;
const LINGER_BYTES: usize = 256 * 1024;
/// Pause before the next request of a connection that has just sent one that can't be taken, doubled by each
/// further one: a client that comes back as soon as it is turned away costs little.
const WRONG_RESTS: Millis = 50;
const WRONG_RESTS_MOST: Millis = 1_600;
/// After a word to end, clients still come, and use what they have while it stays open. By hand all goes on for this
/// long: the users' pages count what comes later than 0.7 s as the host's own loss should it stay unanswered.
const STILL_COMES: Millis = 650;
/// Told by SIGTERM, SIGKILL comes no sooner than the longest hard limit, counted as 3 s at most, and 0.7 s (the users'
/// pages).
const LONGEST_COUNTED: Millis = 3_000;
const KILLED_AFTER: Millis = 700;
/// The last answer is out so long before: a busy machine's way to the client.
const BEFORE_KILL: Millis = 60;

/// How a host that was told to end goes on: it takes block I/Os for as long as their answers can be out before it is
/// killed. A host that ends sooner leaves its clients without one until it is started anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// Until when clients are let in, and by when all that was taken is answered.
    lets_in: Millis,
    answers_by: Option<Millis>,
}

impl Leaving {
    /// Told at this time by the platform, which kills after a while. `longest`: the longest hard limit, `goal`: the
    /// longest latency goal: who has less time left than that is better turned away by a closed connection.
    pub fn platform(told: Millis, longest: Millis, goal: Millis) -> Self {
        let answers_by = told + longest.min(LONGEST_COUNTED) + KILLED_AFTER - BEFORE_KILL;
        Leaving { lets_in: answers_by - goal.min(longest), answers_by: Some(answers_by) }
    }

    /// Told by hand: nobody kills, and somebody waits for the end.
    pub fn by_hand(told: Millis) -> Self {
        Leaving { lets_in: told + STILL_COMES, answers_by: None }
    }

    /// Whether clients are still let in, and answers are not yet the last on their connections.
    pub fn lets_in(&self, now: Millis) -> bool {
        now < self.lets_in
    }

    /// By when whatever is taken has to be answered; none: within its own hard limit.
    pub fn answers_by(&self) -> Option<Millis> {
        self.answers_by
    }

    /// What is told of a block I/O that the host can't wait for any longer as it ends: whether trying it again is
    /// harmless. So many submits of it were made, and any of them may have run.
    pub fn harmless(submits: u32) -> bool {
        submits == 0
    }

    /// Whether a host with so many clients left is over.
    pub fn over(&self, now: Millis, clients: usize) -> bool {
        !self.lets_in(now) && clients == 0
    }
}

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

    /// So many bytes behind its end were read and dropped; whether that is enough.
    pub fn dropped(&mut self, bytes: usize) -> bool {
        self.dropped += bytes;
        self.dropped >= LINGER_BYTES
    }

    pub fn care(&self, now: Millis, leaving: Option<Leaving>) -> Care {
        let age = now.saturating_sub(self.since);
        let ends = leaving.is_some_and(|l| !l.lets_in(now));
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
            Doing::Silent => 3,
            // A new connection has something to ask; one that has just been answered may not ask again.
            Doing::Idle => 4,
            _ => return None,
        };
        Some((rank, self.since))
    }
}

/// Whether a client is looked at before anything begins for it, so long after the poll was asked.
pub fn looks_again(since_poll: Millis) -> bool {
    since_poll > POLL_COUNTS
}

/// Which connection gives way to a new one: one that is over, one idle for long, then the longest silent, then the
/// longest idle. A crowd that says nothing, or asks once and stays, so pushes out itself. `guests`: those that were looked at and had nothing to read.
/// None: the new one is let in and closed at once.
pub fn gives_way<'a>(guests: impl Iterator<Item = (u32, &'a Guest)>, now: Millis) -> Option<u32> {
    guests.filter_map(|(at, g)| Some((g.yields(now)?, at))).min().map(|(_, at)| at)
}

#[cfg(test)]
mod tests;
