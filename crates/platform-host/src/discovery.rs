//! A call to the node list service: a watch from a version on.
use crate::{MESSAGE, tidy};
use mallowseam_connection_policy::Millis;
use mallowseam_connection_policy::watch_liveness::WatchLiveness;
use mallowseam_http1::{ChunkedDecoder, Framing, Limits, ResponseHead};
use mallowseam_platform::endpoints::{self, Endpoint, WatchEvent, WatchFrame};
use mallowseam_sockets::nonblocking::{self, ReadOutcome};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::net::SocketAddr;

/// A list is far longer than a message of clients or nodes.
const LIST: Limits = Limits { head: MESSAGE.head, body: endpoints::MAX_LIST_BYTES };

enum Stage {
    Head,
    Lines(ChunkedDecoder),
    Length(usize),
}

pub struct Call {
    socket: TcpStream,
    address: SocketAddr,
    /// The version that it was asked to go on from.
    since: Option<u64>,
    out: Vec<u8>,
    buffer: Vec<u8>,
    stage: Stage,
    pub watch: WatchLiveness,
}

/// What a call came to.
pub enum Heard {
    News(WatchEvent),
    /// A line without news.
    Alive,
    /// What a line that is refused says of nodes that want nothing new.
    Closings(Vec<Endpoint>),
    Failed(String),
}

impl Call {
    /// Asks for changes since a version, or for the whole list and then for changes.
    pub fn open(
        registry: &Registry,
        token: Token,
        address: SocketAddr,
        since: Option<u64>,
        now: Millis,
    ) -> Result<Self, String> {
        let mut socket = TcpStream::connect(address).map_err(|e| e.to_string())?;
        let interest = Interest::READABLE | Interest::WRITABLE;
        registry.register(&mut socket, token, interest).map_err(|e| e.to_string())?;
        let mut out = Vec::new();
        endpoints::write_watch_request(&mut out, address, since);
        let (buffer, stage, watch) = (Vec::new(), Stage::Head, WatchLiveness::new(now));
        Ok(Call { socket, address, since, out, buffer, stage, watch })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn since(&self) -> Option<u64> {
        self.since
    }

    /// Whether it has come through: the service may take it for a watch, though it has said nothing.
    pub fn up(&self) -> bool {
        self.out.is_empty() && self.socket.peer_addr().is_ok()
    }

    /// Reads what has come. Each thing heard is told at once; after `Failed` the call is done.
    pub fn ready(&mut self, scratch: &mut [u8], heard: &mut impl FnMut(Heard)) {
        if self.socket.peer_addr().is_err() {
            if let Ok(Some(e)) | Err(e) = self.socket.take_error() {
                heard(Heard::Failed(e.to_string()));
            }
            return;
        }
        if let Err(why) = nonblocking::write_buffer(&mut self.socket, &mut self.out) {
            return heard(Heard::Failed(why.to_string()));
        }
        loop {
            let count = match nonblocking::read(&mut self.socket, scratch) {
                ReadOutcome::Read(count) => count,
                ReadOutcome::WouldBlock => return,
                ReadOutcome::Closed(why) => return heard(Heard::Failed(why.to_string())),
            };
            self.buffer.extend_from_slice(&scratch[..count]);
            if let Err(why) = self.steps(heard) {
                return heard(Heard::Failed(why.to_string()));
            }
        }
    }

    /// Error: the call is done.
    fn steps(&mut self, heard: &mut impl FnMut(Heard)) -> Result<(), String> {
        while let Stage::Head = self.stage {
            let Some(head) = ResponseHead::parse(&self.buffer, LIST).map_err(|f| f.message().to_owned())?
            else {
                return Ok(());
            };
            if !head.is_interim() && head.status != 200 {
                return Err(format!("answered {}", head.status));
            }
            let (len, framing, ahead) = (head.len, head.framing, head.is_interim());
            drop(self.buffer.drain(..len));
            if !ahead {
                self.watch.response_started();
                self.stage = match framing {
                    Framing::Chunked => Stage::Lines(ChunkedDecoder::new(0)),
                    Framing::Length(len) => Stage::Length(len),
                    Framing::None => return Err("an answer without a list".into()),
                };
            }
        }
        match &mut self.stage {
            Stage::Head => Ok(()),
            Stage::Length(len) if self.buffer.len() < *len => Ok(()),
            // A list of a length is all that such a service says: whoever wants changes has to ask again.
            Stage::Length(len) => {
                lines(&self.buffer[..*len], true, heard)?;
                Err("the list has ended".into())
            }
            Stage::Lines(chunks) => {
                chunks.decode(&mut self.buffer, LIST.body).map_err(|f| f.message().to_owned())?;
                let over = chunks.is_complete();
                let taken = lines(&self.buffer[..chunks.decoded_end()], over, heard)?;
                chunks.discard_front(taken);
                drop(self.buffer.drain(..taken));
                if self.buffer.is_empty() {
                    tidy(&mut self.buffer);
                }
                if over { Err("the watch has ended".into()) } else { Ok(()) }
            }
        }
    }

    pub fn end(mut self, registry: &Registry) {
        let _ = registry.deregister(&mut self.socket);
    }
}

/// Hears the whole lines of a text; how many bytes they are. `over`: the last one may lack its end. Error: one of them
/// is refused, but for what it says of nodes that want nothing new.
fn lines(text: &[u8], over: bool, heard: &mut impl FnMut(Heard)) -> Result<usize, String> {
    let whole = if over { text.len() } else { text.iter().rposition(|b| *b == b'\n').map_or(0, |at| at + 1) };
    let mut at = 0;
    loop {
        match endpoints::parse_frame(&text[at..whole]) {
            WatchFrame::Incomplete if over && !text[at..].trim_ascii().is_empty() => {
                return Err("a list cut off".into());
            }
            WatchFrame::Incomplete => return Ok(at),
            WatchFrame::Heartbeat { len } => {
                heard(Heard::Alive);
                at += len;
            }
            WatchFrame::Event { event, len } => {
                heard(Heard::News(event));
                at += len;
            }
            WatchFrame::Corrupt { error, closing } => {
                heard(Heard::Closings(closing));
                return Err(error.to_string());
            }
        }
    }
}
