//! What a way between two parties does to bytes: each direction has a fault of its own, which may change while
//! bytes are under way.
use crate::trace::Micros;
use rand::{Rng, RngExt};
use std::collections::VecDeque;

/// Bytes that one direction of a connection holds at most; past it nothing more is read from the sender, as with a
/// full window.
const HELD_MOST: usize = 256 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    Host(u32),
    Node(u32),
    /// A list service; there may be a second one to move to.
    List(u32),
    Clients,
}

/// One end of ways: which parties are meant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Side {
    All,
    Hosts,
    Nodes,
    Lists,
    One(Party),
    /// Hosts and nodes of a zone.
    Zone(u32),
    /// Hosts or nodes with numbers from one up to before another.
    HostRange(u32, u32),
    NodeRange(u32, u32),
}

impl Side {
    /// `zones`: how many there are; parties are dealt to them in turn.
    fn holds(self, party: Party, zones: u32) -> bool {
        match (self, party) {
            (Side::All, _)
            | (Side::Hosts, Party::Host(_))
            | (Side::Nodes, Party::Node(_))
            | (Side::Lists, Party::List(_)) => true,
            (Side::One(one), party) => one == party,
            (Side::Zone(zone), Party::Host(n) | Party::Node(n)) => n % zones.max(1) == zone,
            (Side::HostRange(from, to), Party::Host(n)) | (Side::NodeRange(from, to), Party::Node(n)) => {
                (from..to).contains(&n)
            }
            _ => false,
        }
    }
}

/// What one direction of a way does.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Bytes come so much later, and by up to the spread more; their order stays.
    pub delay: Micros,
    pub spread: Micros,
    /// Nothing comes: what is sent is held until this is over, and new connections never come up.
    pub silent: bool,
    /// New connections are refused.
    pub refuses: bool,
    /// Bytes a second; 0: as many as come.
    pub rate: f64,
    /// A connection is reset once so many bytes have passed; 0: never.
    pub cut_after: u64,
    /// Parts of datagrams that are lost, and that come twice.
    pub loss: f64,
    pub repeats: f64,
}

/// The faults in force. A later one hides those before it.
#[derive(Clone, Debug, Default)]
pub struct Links {
    zones: u32,
    faults: Vec<(Side, Side, Fault)>,
}

impl Links {
    pub fn new(zones: u32) -> Self {
        Links { zones, faults: Vec::new() }
    }

    /// From now on all that goes from one side to another meets this fault; the default one heals. Each pair of
    /// sides stands once, so that a script's sides bound the table.
    pub fn set(&mut self, from: Side, to: Side, fault: Fault) {
        self.faults.retain(|f| (f.0, f.1) != (from, to));
        if fault != Fault::default() {
            self.faults.push((from, to, fault));
        }
    }

    pub fn of(&self, from: Party, to: Party) -> Fault {
        let meets = |f: &&(Side, Side, Fault)| f.0.holds(from, self.zones) && f.1.holds(to, self.zones);
        self.faults.iter().rev().find(meets).map_or_else(Fault::default, |f| f.2)
    }

    /// How new connections from one party to another fare: a word must pass both ways.
    pub fn opening(&self, from: Party, to: Party) -> Opening {
        let (there, back) = (self.of(from, to), self.of(to, from));
        if there.silent || back.silent {
            Opening::Silent
        } else if there.refuses {
            Opening::Refused
        } else {
            Opening::Up
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    Up,
    Refused,
    Silent,
}

enum Piece {
    Bytes(Vec<u8>),
    End,
}

/// What comes out of a direction of a connection.
#[derive(Debug, PartialEq)]
pub enum Out {
    Nothing,
    Bytes(Vec<u8>),
    /// The sender has closed.
    End,
    /// The way resets the connection.
    Reset,
}

/// One direction of a connection: bytes under way.
#[derive(Default)]
pub struct Pipe {
    pieces: VecDeque<(Micros, Piece)>,
    held: usize,
    passed: u64,
    /// Nothing leaves before what was sent earlier.
    clear_at: Micros,
}

impl Pipe {
    pub fn full(&self) -> bool {
        self.held >= HELD_MOST
    }

    pub fn push(&mut self, now: Micros, bytes: &[u8], fault: &Fault, rng: &mut impl Rng) {
        let took = if fault.rate > 0.0 { (bytes.len() as f64 / fault.rate * 1e6) as Micros } else { 0 };
        self.held += bytes.len();
        self.put(now, took, Piece::Bytes(bytes.to_vec()), fault, rng);
    }

    /// The sender has closed; said behind all that it sent.
    pub fn end(&mut self, now: Micros, fault: &Fault, rng: &mut impl Rng) {
        self.put(now, 0, Piece::End, fault, rng);
    }

    fn put(&mut self, now: Micros, took: Micros, piece: Piece, fault: &Fault, rng: &mut impl Rng) {
        let spread = if fault.spread > 0 { rng.random_range(0..=fault.spread) } else { 0 };
        // A narrow way is busy with what is before this.
        let from = if took > 0 { now.max(self.clear_at) } else { now };
        self.clear_at = self.clear_at.max(from + took + fault.delay + spread);
        self.pieces.push_back((self.clear_at, piece));
    }

    pub fn take(&mut self, now: Micros, fault: &Fault) -> Out {
        if fault.silent || self.pieces.front().is_none_or(|p| p.0 > now) {
            return Out::Nothing;
        }
        match self.pieces.pop_front() {
            Some((_, Piece::Bytes(mut bytes))) => {
                self.held -= bytes.len();
                let left = fault.cut_after.saturating_sub(self.passed);
                self.passed += bytes.len() as u64;
                if fault.cut_after == 0 || bytes.len() as u64 <= left {
                    return Out::Bytes(bytes);
                }
                // What is within the count still comes; the next look finds the cut.
                bytes.truncate(left as usize);
                match bytes.is_empty() {
                    true => Out::Reset,
                    false => {
                        self.pieces.push_front((now, Piece::Bytes(vec![0])));
                        self.held += 1;
                        Out::Bytes(bytes)
                    }
                }
            }
            _ => Out::End,
        }
    }

    /// When something may come out next, unless the way is silent.
    pub fn due(&self) -> Option<Micros> {
        self.pieces.front().map(|p| p.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;
    use rand_pcg::Pcg64Mcg;

    #[test]
    fn faults_hold_for_their_sides_and_direction_alone_and_the_latest_counts() {
        let mut links = Links::new(2);
        let slow = Fault { delay: 300_000, ..Fault::default() };
        let cut = Fault { silent: true, ..Fault::default() };
        links.set(Side::Lists, Side::Hosts, slow);
        links.set(Side::Zone(1), Side::Lists, cut);
        let (even, odd, list) = (Party::Host(2), Party::Host(3), Party::List(0));
        assert_eq!((links.of(list, even), links.of(even, list)), (slow, Fault::default()));
        assert_eq!((links.of(odd, list), links.of(list, odd)), (cut, slow), "one way is cut, the other slow");
        assert_eq!((links.opening(odd, list), links.opening(even, list)), (Opening::Silent, Opening::Up));
        links.set(Side::Zone(1), Side::Lists, Fault::default());
        assert_eq!(links.opening(odd, list), Opening::Up);
    }

    #[test]
    fn bytes_come_late_in_order_held_while_silent_and_no_further_than_a_cut() {
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let mut pipe = Pipe::default();
        let late = Fault { delay: 100, spread: 1_000, ..Fault::default() };
        for n in 0..20u8 {
            pipe.push(u64::from(n), &[n], &late, &mut rng);
        }
        pipe.end(20, &late, &mut rng);
        assert_eq!(pipe.take(99, &late), Out::Nothing);
        assert_eq!(pipe.take(9_999, &Fault { silent: true, ..late }), Out::Nothing);
        for n in 0..20u8 {
            assert_eq!(pipe.take(9_999, &late), Out::Bytes(vec![n]));
        }
        assert_eq!((pipe.take(9_999, &late), pipe.due()), (Out::End, None));
        let cut = Fault { cut_after: 3, ..Fault::default() };
        let mut pipe = Pipe::default();
        pipe.push(0, b"ab", &cut, &mut rng);
        pipe.push(0, b"cd", &cut, &mut rng);
        assert_eq!(pipe.take(1, &cut), Out::Bytes(b"ab".to_vec()));
        assert_eq!(pipe.take(1, &cut), Out::Bytes(b"c".to_vec()));
        assert_eq!(pipe.take(1, &cut), Out::Reset);
        let narrow = Fault { rate: 1_000.0, ..Fault::default() };
        let mut pipe = Pipe::default();
        pipe.push(0, &[0; 500], &narrow, &mut rng);
        pipe.push(0, &[0; 500], &narrow, &mut rng);
        assert_eq!(pipe.take(400_000, &narrow), Out::Nothing);
        assert!(matches!(pipe.take(500_000, &narrow), Out::Bytes(_)));
        assert_eq!(pipe.due(), Some(1_000_000));
    }
}
