//! Where hosts' connections come in: listeners that are open, refused or silent as ways and parties stand.
use super::*;

impl World {
    pub(super) fn door(&mut self, host: u32, party: Party, address: SocketAddr) -> Result<(), String> {
        let mut listener = TcpListener::bind(address).map_err(failed(address))?;
        let token = Token(2 * self.doors.len());
        self.poll.registry().register(&mut listener, token, Interest::READABLE).map_err(failed("poll"))?;
        let (listener, plug) = (Some(listener), Vec::new());
        self.doors.push(Door { host, party, address, listener, opening: Opening::Up, plug });
        Ok(())
    }

    pub(super) fn opening(&self, door: &Door) -> Opening {
        let by_link = self.links.opening(Party::Host(door.host), door.party);
        let down = match door.party {
            Party::Node(n) => !self.stores[n as usize].up(self.now()),
            Party::List(n) => self.turns[n as usize].mood == Mood::Down,
            _ => false,
        };
        if by_link == Opening::Up && down { Opening::Refused } else { by_link }
    }

    /// Opens and closes doors as ways and parties stand now.
    pub(super) fn set_doors(&mut self) {
        for at in 0..self.doors.len() {
            let opening = self.opening(&self.doors[at]);
            let door = &mut self.doors[at];
            if opening == door.opening {
                continue;
            }
            door.opening = opening;
            door.plug.clear();
            match opening {
                Opening::Refused => door.listener = None,
                Opening::Up | Opening::Silent => {
                    let mut listener = match door.listener.take() {
                        Some(listener) => listener,
                        None => {
                            let Ok(mut l) = TcpListener::bind(door.address) else { continue };
                            let interest = Interest::READABLE;
                            let _ = self.poll.registry().register(&mut l, Token(2 * at), interest);
                            l
                        }
                    };
                    if opening == Opening::Silent {
                        // One connection that nobody accepts fills a queue of none: later ones get no answer.
                        let _ = SockRef::from(&listener).listen(0);
                        while let Ok((socket, _)) = listener.accept() {
                            drop(socket);
                        }
                        door.plug.extend(std::net::TcpStream::connect(door.address).ok());
                    } else {
                        let _ = SockRef::from(&listener).listen(BACKLOG);
                        let interest = Interest::READABLE;
                        let _ = self.poll.registry().reregister(&mut listener, Token(2 * at), interest);
                    }
                    door.listener = Some(listener);
                }
            }
        }
    }

    pub(super) fn accept(&mut self, at: usize) {
        for _ in 0..ACCEPTS {
            let Some(door) = self.doors.get(at).filter(|d| d.opening == Opening::Up) else { return };
            let Some(Ok((socket, _))) = door.listener.as_ref().map(TcpListener::accept) else { return };
            let _ = socket.set_nodelay(true);
            let (host, party) = (door.host, door.party);
            let reader = RequestReader::default();
            match party {
                Party::Node(node) => {
                    let excess = self.stores[node as usize].opened();
                    self.note(What::Opened { node, host });
                    let at = self.enter(
                        host,
                        socket,
                        Carries::Line { node, reader, open: None, fresh: true, excess },
                    );
                    self.read(at);
                }
                Party::List(list) => {
                    let at = self.enter(
                        host,
                        socket,
                        Carries::Call { list, reader, watches: false, forgotten: None },
                    );
                    self.read(at);
                }
                _ => {}
            }
        }
        // More may wait: an edge-triggered poll would not say so again.
        if let Some(Some(listener)) = self.doors.get_mut(at).map(|d| d.listener.as_mut()) {
            let _ = self.poll.registry().reregister(listener, Token(2 * at), Interest::READABLE);
        }
    }
}
