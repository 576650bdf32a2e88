//! Which clients are let in, when their connections are ended, and how a host closes for good.
use crate::Millis;

/// From the first byte of a connection to the end of its login: a slow link takes a tenth of it. Guards
/// against logins never finished.
const LOGIN_WITHIN: Millis = 5_000;
/// A PDU that has begun must be whole, and what is written must be taken, within this. Longer than a link's
/// retransmissions, shorter than the time in which stalled clients could pile up.
const STALL: Millis = 10_000;
/// A connection without a sign of life for this long is asked for one, and ended after as many unanswered.
const QUIET: Millis = 30_000;
const UNANSWERED: u32 = 2;
/// Bytes waiting for a client beyond which nothing more is read from it: a few of its longest reads. What it
/// already has in hand is bounded by its window.
const WAITING_MOST: usize = 1 << 20;
/// How long a closing host leaves its clients to log out once nothing of theirs is in hand.
const LEAVE_WITHIN: Millis = 2_000;

/// A connection, by the place the program gave it.
pub type Place = usize;

/// Why a login is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shut {
    NoSuchTarget,
    /// The handle given names no session here.
    NoSession,
    Draining,
    Full,
}

/// A login let in: its handle, and the connection whose session it takes over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    pub handle: u16,
    pub replaces: Option<Place>,
}

/// Why a connection is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    NoLogin,
    Stalled,
    NotReading,
    Silent,
    Drained,
}

impl Why {
    pub fn words(self) -> &'static str {
        match self {
            Why::NoLogin => "login not finished in time",
            Why::Stalled => "stalled within a PDU",
            Why::NotReading => "does not read its answers",
            Why::Silent => "no sign of life",
            Why::Drained => "host closes",
        }
    }
}

/// What is to be done about a connection now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Care {
    Nothing,
    Ping,
    End(Why),
}

/// How a connection stands, as the program sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Standing {
    /// A PDU or the data of a command has begun and is not whole.
    pub midway: bool,
    /// Bytes that wait to be written.
    pub waiting: usize,
    pub in_hand: u32,
}

struct Client {
    name: String,
    isid: [u8; 6],
    handle: u16,
    logged_in: bool,
    opened: Millis,
    /// Last byte read, and last byte written or nothing waiting.
    heard: Millis,
    taken: Millis,
    pings: u32,
    asked: Millis,
}

/// Whether the host takes new logins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    /// Since when; no logins, and what is in hand ends.
    Draining(Millis),
}

pub struct Door {
    target: String,
    most: usize,
    clients: Vec<Option<Client>>,
    count: usize,
    handle: u16,
    state: State,
}

impl Door {
    /// The name clients must ask for, and how many connections are held at most.
    pub fn new(target: &str, most: usize) -> Self {
        Door { target: target.to_owned(), most, clients: Vec::new(), count: 0, handle: 0, state: State::Open }
    }

    /// A connection was accepted. False: there is no room, it is to be closed at once.
    pub fn opened(&mut self, at: Place, now: Millis) -> bool {
        if self.count >= self.most {
            return false;
        }
        if self.clients.len() <= at {
            self.clients.resize_with(at + 1, || None);
        }
        self.count += usize::from(self.clients[at].is_none());
        self.clients[at] = Some(Client {
            name: String::new(),
            isid: [0; 6],
            handle: 0,
            logged_in: false,
            opened: now,
            heard: now,
            taken: now,
            pings: 0,
            asked: now,
        });
        true
    }

    pub fn closed(&mut self, at: Place) {
        if self.clients.get_mut(at).and_then(Option::take).is_some() {
            self.count -= 1;
        }
    }

    /// A login asks to be let in. `handle` other than 0 names a session to go on with: none is kept without
    /// its connection, so only a new one can be had.
    pub fn login(
        &mut self,
        at: Place,
        name: &str,
        target: Option<&str>,
        isid: [u8; 6],
        handle: u16,
    ) -> Result<Entry, Shut> {
        if self.state != State::Open {
            return Err(Shut::Draining);
        }
        if target.is_some_and(|t| t != self.target) {
            return Err(Shut::NoSuchTarget);
        }
        if handle != 0 {
            return Err(Shut::NoSession);
        }
        // The same initiator port again: its old session is over (RFC 7143, 6.3.5), also where its old
        // connection still looks alive.
        let same = |c: &Client| c.logged_in && c.name == name && c.isid == isid;
        let replaces = (0..self.clients.len())
            .find(|i| *i != at && target.is_some() && self.clients[*i].as_ref().is_some_and(same));
        let free = (0..=u16::MAX)
            .map(|n| self.handle.wrapping_add(n).wrapping_add(1))
            .find(|h| *h != 0 && !self.clients.iter().flatten().any(|c| c.logged_in && c.handle == *h))
            .ok_or(Shut::Full)?;
        self.handle = free;
        let client = self.clients.get_mut(at).and_then(Option::as_mut).ok_or(Shut::Full)?;
        (client.name, client.isid, client.handle) = (name.to_owned(), isid, free);
        client.logged_in = true;
        Ok(Entry { handle: free, replaces })
    }

    /// Bytes came in, or went out; `rest` bytes still wait.
    pub fn heard(&mut self, at: Place, now: Millis) {
        if let Some(client) = self.clients.get_mut(at).and_then(Option::as_mut) {
            (client.heard, client.pings) = (now, 0);
        }
    }

    pub fn wrote(&mut self, at: Place, now: Millis) {
        if let Some(client) = self.clients.get_mut(at).and_then(Option::as_mut) {
            client.taken = now;
        }
    }

    /// Whether to read on from a connection with so many bytes waiting for it.
    pub fn reads(&self, waiting: usize) -> bool {
        waiting < WAITING_MOST
    }

    /// What a connection needs now.
    pub fn care(&mut self, at: Place, now: Millis, standing: Standing) -> Care {
        let state = self.state;
        let Some(client) = self.clients.get_mut(at).and_then(Option::as_mut) else { return Care::Nothing };
        if standing.waiting == 0 {
            client.taken = now;
        }
        if !client.logged_in {
            let late = now >= client.opened + LOGIN_WITHIN || state != State::Open;
            return if late { Care::End(Why::NoLogin) } else { Care::Nothing };
        }
        if now >= client.taken + STALL {
            return Care::End(Why::NotReading);
        }
        if standing.midway && now >= client.heard + STALL {
            return Care::End(Why::Stalled);
        }
        if let State::Draining(since) = state {
            // What is in hand has its own hard limits; nothing else keeps a client.
            if standing.in_hand == 0 && standing.waiting == 0 && now >= since + LEAVE_WITHIN {
                return Care::End(Why::Drained);
            }
        }
        if now >= client.heard.max(client.asked) + QUIET {
            if client.pings >= UNANSWERED {
                return Care::End(Why::Silent);
            }
            client.pings += 1;
            client.asked = now;
            return Care::Ping;
        }
        Care::Nothing
    }

    /// Closes the door to new logins; true if it was open.
    pub fn drain(&mut self, now: Millis) -> bool {
        let was = self.state == State::Open;
        if was {
            self.state = State::Draining(now);
        }
        was
    }

    pub fn undrain(&mut self) {
        self.state = State::Open;
    }

    pub fn draining(&self) -> bool {
        self.state != State::Open
    }

    /// Whether new commands are taken. A closing host still takes them while clients have their time to log
    /// out; later ones would keep it from ever closing.
    pub fn takes(&self, now: Millis) -> bool {
        match self.state {
            State::Open => true,
            State::Draining(since) => now < since + LEAVE_WITHIN,
        }
    }

    /// Seconds that clients are told to log out within.
    pub fn leave_within(&self) -> u16 {
        (LEAVE_WITHIN / 1000) as u16
    }

    pub fn count(&self) -> usize {
        self.count
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BUSY: Standing = Standing { midway: false, waiting: 0, in_hand: 1 };
    const IDLE: Standing = Standing { midway: false, waiting: 0, in_hand: 0 };

    fn door() -> Door {
        let mut door = Door::new("iqn.t", 3);
        assert!(door.opened(0, 0));
        let entry = door.login(0, "iqn.a", Some("iqn.t"), [1; 6], 0).expect("open");
        assert_eq!(entry.replaces, None);
        door
    }

    #[test]
    fn a_login_never_finished_is_ended_and_a_finished_one_is_not() {
        let mut door = door();
        door.opened(1, 0);
        assert_eq!(door.care(1, LOGIN_WITHIN - 1, IDLE), Care::Nothing);
        assert_eq!(door.care(1, LOGIN_WITHIN, IDLE), Care::End(Why::NoLogin));
        assert_eq!(door.care(0, LOGIN_WITHIN, IDLE), Care::Nothing);
    }

    #[test]
    fn the_same_client_again_takes_over_and_another_does_not() {
        let mut door = door();
        door.opened(1, 0);
        door.opened(2, 0);
        assert_eq!(door.login(2, "iqn.a", Some("iqn.t"), [2; 6], 0).expect("open").replaces, None);
        assert_eq!(door.login(1, "iqn.a", Some("iqn.t"), [1; 6], 0).expect("open").replaces, Some(0));
    }

    #[test]
    fn handles_differ_and_are_never_0() {
        let mut door = door();
        door.handle = u16::MAX - 1;
        door.opened(1, 0);
        door.opened(2, 0);
        let a = door.login(1, "iqn.b", Some("iqn.t"), [1; 6], 0).expect("open").handle;
        let b = door.login(2, "iqn.c", Some("iqn.t"), [1; 6], 0).expect("open").handle;
        assert!(a != b && a != 0 && b != 0 && b != 1, "{a} {b}");
    }

    #[test]
    fn no_room_and_wrong_names_are_told_apart() {
        let mut door = door();
        door.opened(1, 0);
        assert_eq!(door.login(1, "iqn.b", Some("iqn.x"), [1; 6], 0), Err(Shut::NoSuchTarget));
        assert_eq!(door.login(1, "iqn.b", Some("iqn.t"), [1; 6], 9), Err(Shut::NoSession));
        door.opened(2, 0);
        assert!(!door.opened(3, 0));
        door.closed(2);
        assert!(door.opened(3, 0));
    }

    #[test]
    fn a_client_that_stops_reading_is_ended_while_one_that_reads_slowly_is_kept() {
        let mut door = door();
        let full = Standing { waiting: 9, ..BUSY };
        assert!(door.reads(WAITING_MOST - 1) && !door.reads(WAITING_MOST));
        door.wrote(0, 4_000);
        assert_eq!(door.care(0, 4_000 + STALL - 1, full), Care::Nothing);
        assert_eq!(door.care(0, 4_000 + STALL, full), Care::End(Why::NotReading));
    }

    #[test]
    fn a_stall_within_a_pdu_ends_the_connection_and_a_pause_between_them_does_not() {
        let mut door = door();
        let midway = Standing { midway: true, ..BUSY };
        door.heard(0, 1_000);
        assert_eq!(door.care(0, 1_000 + STALL, IDLE), Care::Nothing);
        assert_eq!(door.care(0, 1_000 + STALL, midway), Care::End(Why::Stalled));
    }

    #[test]
    fn a_silent_client_is_asked_twice_and_then_ended() {
        let mut door = door();
        assert_eq!(door.care(0, QUIET, IDLE), Care::Ping);
        assert_eq!(door.care(0, QUIET + 1, IDLE), Care::Nothing);
        assert_eq!(door.care(0, 2 * QUIET, IDLE), Care::Ping);
        assert_eq!(door.care(0, 3 * QUIET, IDLE), Care::End(Why::Silent));
        door.heard(0, 3 * QUIET);
        assert_eq!(door.care(0, 4 * QUIET, IDLE), Care::Ping);
    }

    #[test]
    fn a_draining_host_lets_nobody_in_and_keeps_who_has_something_in_hand() {
        let mut door = door();
        assert!(door.drain(100) && !door.drain(200));
        door.opened(1, 100);
        assert_eq!(door.login(1, "iqn.b", Some("iqn.t"), [1; 6], 0), Err(Shut::Draining));
        assert_eq!(door.care(1, 101, IDLE), Care::End(Why::NoLogin));
        assert_eq!(door.care(0, 100 + LEAVE_WITHIN, BUSY), Care::Nothing);
        assert_eq!(door.care(0, 100 + LEAVE_WITHIN, IDLE), Care::End(Why::Drained));
        assert!(door.takes(99 + LEAVE_WITHIN) && !door.takes(100 + LEAVE_WITHIN));
        door.undrain();
        assert!(door.takes(100 + LEAVE_WITHIN));
        assert_eq!(door.care(0, 100 + LEAVE_WITHIN, IDLE), Care::Nothing);
    }
}
