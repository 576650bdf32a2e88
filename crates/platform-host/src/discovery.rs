//! A call to the node list service: a watch, or the whole list once.
use crate::{MESSAGE, tidy};
use mallowseam_conduct::Millis;
use mallowseam_conduct::watch::Watch;
use mallowseam_http1::{AnswerHead, Bounds, Chunks, Framing};
use mallowseam_platform::list::{self, News};
use mallowseam_sockets::wire::{self, Tried};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::net::SocketAddr;

/// A list is far longer than a message of clients or nodes.
const LIST: Bounds = Bounds { head: MESSAGE.head, body: list::BYTES };

enum Stage {
    Head,
    Lines(Chunks),
    Length(usize),
}

pub struct Call {
    socket: TcpStream,
    address: SocketAddr,
    out: Vec<u8>,
    buffer: Vec<u8>,
    stage: Stage,
    watch: Watch,
    once: bool,
}

/// What a call came to.
pub enum Heard {
    News(News),
    /// All that was asked has come.
    Over,
    Failed(String),
}

impl Call {
    /// Asks for changes since a version, or for the whole list once.
    pub fn open(
        registry: &Registry,
        token: Token,
        address: SocketAddr,
        since: Option<u64>,
        once: bool,
        now: Millis,
    ) -> Result<Self, String> {
        let mut socket = TcpStream::connect(address).map_err(|e| e.to_string())?;
        let interest = Interest::READABLE | Interest::WRITABLE;
        registry.register(&mut socket, token, interest).map_err(|e| e.to_string())?;
        let mut out = Vec::new();
        match once {
            true => list::fetch(&mut out, address),
            false => list::watch(&mut out, address, since),
        }
        let (buffer, stage, watch) = (Vec::new(), Stage::Head, Watch::new(now, once));
        Ok(Call { socket, address, out, buffer, stage, watch, once })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether it has come through: the service may take it for a watch, though it has said nothing.
    pub fn up(&self) -> bool {
        self.out.is_empty() && self.socket.peer_addr().is_ok()
    }

    pub fn fails_at(&self) -> Millis {
        self.watch.fails_at()
    }

    /// Reads what has come. Each thing heard is told at once; after `Over` or `Failed` the call is done.
    pub fn ready(&mut self, scratch: &mut [u8], now: Millis, heard: &mut impl FnMut(Heard)) {
        if self.socket.peer_addr().is_err() {
            if let Ok(Some(e)) | Err(e) = self.socket.take_error() {
                heard(Heard::Failed(e.to_string()));
            }
            return;
        }
        if let Err(why) = wire::push(&mut self.socket, &mut self.out) {
            return heard(Heard::Failed(why));
        }
        loop {
            let count = match wire::read(&mut self.socket, scratch) {
                Tried::Read(count) => count,
                Tried::Blocked => return,
                Tried::Over(why) => return heard(Heard::Failed(why)),
            };
            self.watch.heard(now);
            self.buffer.extend_from_slice(&scratch[..count]);
            match self.steps(heard) {
                Ok(false) => {}
                Ok(true) => return heard(Heard::Over),
                Err(why) => return heard(Heard::Failed(why)),
            }
        }
    }

    /// True: the call is done.
    fn steps(&mut self, heard: &mut impl FnMut(Heard)) -> Result<bool, String> {
        while let Stage::Head = self.stage {
            let Some(head) = AnswerHead::read(&self.buffer, LIST).map_err(|f| f.words().to_owned())? else {
                return Ok(false);
            };
            if !head.ahead() && head.status != 200 {
                return Err(format!("answered {}", head.status));
            }
            let (len, framing, ahead) = (head.len, head.framing, head.ahead());
            drop(self.buffer.drain(..len));
            if !ahead {
                self.stage = match framing {
                    Framing::Chunked => Stage::Lines(Chunks::new(0)),
                    Framing::Length(len) => Stage::Length(len),
                    Framing::None => return Err("an answer without a list".into()),
                };
            }
        }
        match &mut self.stage {
            Stage::Head => Ok(false),
            Stage::Length(len) if self.buffer.len() < *len => Ok(false),
            Stage::Length(len) => {
                heard(Heard::News(list::read(&self.buffer[..*len])?));
                Ok(true)
            }
            Stage::Lines(chunks) => {
                chunks.advance(&mut self.buffer, LIST.body).map_err(|f| f.words().to_owned())?;
                let decoded = &self.buffer[..chunks.at()];
                // A list asked for once may come without a line's end.
                let end = if chunks.over() { Some(decoded.len()) } else { None };
                let end = end.or_else(|| decoded.iter().rposition(|b| *b == b'\n').map(|at| at + 1));
                let Some(end) = end else { return Ok(false) };
                for line in decoded[..end].split(|b| *b == b'\n') {
                    if !line.trim_ascii().is_empty() {
                        heard(Heard::News(list::read(line)?));
                    }
                }
                chunks.taken(end);
                let over = chunks.over();
                drop(self.buffer.drain(..end));
                if self.buffer.is_empty() {
                    tidy(&mut self.buffer);
                }
                match over {
                    true if self.once => Ok(true),
                    true => Err("the watch has ended".into()),
                    false => Ok(false),
                }
            }
        }
    }

    pub fn end(mut self, registry: &Registry) {
        let _ = registry.deregister(&mut self.socket);
    }
}
