//! Connections that give way to new ones, with the poll in the story's hand.
use super::*;
use mio::Poll;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream as Peer};
use std::time::{Duration, Instant};

const READ: &str = "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n";

struct House {
    _poll: Poll,
    clients: Clients,
    door: TcpListener,
}

impl House {
    /// Room for so many.
    fn new(most: usize) -> Self {
        let poll = Poll::new().expect("a poll");
        let registry = poll.registry().try_clone().expect("a poll");
        let clients = Clients::new(registry, |at| Token(at as usize), most, 1 << 20);
        let door = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("an address");
        House { _poll: poll, clients, door }
    }

    fn comes(&mut self, now: Millis) -> Peer {
        let peer = Peer::connect(self.door.local_addr().expect("bound")).expect("it listens");
        let (socket, _) = self.door.accept().expect("a client");
        socket.set_nonblocking(true).expect("a socket");
        self.clients.enter(TcpStream::from_std(socket), now);
        peer
    }

    /// Writes, and waits until it stands in the host's socket.
    fn asks(&mut self, mut peer: &Peer, at: u32) {
        peer.write_all(READ.as_bytes()).expect("open");
        let client = self.clients.all.get(at).expect("let in");
        let began = Instant::now();
        while !matches!(client.socket.peek(&mut [0; 256]), Ok(n) if n == READ.len()) {
            assert!(began.elapsed() < Duration::from_secs(5), "its request never came");
        }
    }

    /// All turns that are due: those with a whole request.
    fn turns(&mut self, now: Millis) -> Vec<u32> {
        let due: Vec<u32> = self.clients.turns.drain(..).collect();
        let clients = &mut self.clients;
        let asks = |at: &u32| matches!(clients.turn(*at, &mut [0; 4_096], now), Came::Request);
        due.into_iter().filter(asks).collect()
    }

    /// Has asked once, was answered, and stays.
    fn rests(&mut self, peer: &Peer, at: u32) {
        self.asks(peer, at);
        assert!(self.clients.ready(at, true, false, 0).is_none());
        assert!(self.turns(0).contains(&at));
        self.clients.answer(at, response::SHED_STATUS, b"", 0, 0);
        assert!(self.turns(0).is_empty());
    }
}

#[test]
fn one_that_gives_way_with_a_request_just_written_is_heard_and_another_goes() {
    let mut house = House::new(2);
    let (asking, resting) = (house.comes(0), house.comes(0));
    house.rests(&asking, 0);
    house.rests(&resting, 1);
    // The longest idle of the two, by its place; the poll has not told of what it says now.
    house.asks(&asking, 0);
    let _third = house.comes(5_000);
    assert_eq!(house.clients.counts.turned_off, 0, "there was room");
    assert_eq!(house.turns(5_000), [0], "its request is taken");
    let mut said = Vec::new();
    (&resting).read_to_end(&mut said).expect("closed in order");
    assert!(said.starts_with(b"HTTP/1.1 503"), "the other had its answer, and its end");
}

#[test]
fn with_a_request_on_each_that_could_give_way_the_new_one_is_turned_off() {
    let mut house = House::new(2);
    let (one, other) = (house.comes(0), house.comes(0));
    house.rests(&one, 0);
    house.rests(&other, 1);
    house.asks(&one, 0);
    house.asks(&other, 1);
    let third = house.comes(5_000);
    assert_eq!(house.clients.counts.turned_off, 1);
    assert_eq!((&third).read(&mut [0; 16]).expect("closed in order"), 0);
    assert_eq!(house.turns(5_000), [0, 1]);
}
