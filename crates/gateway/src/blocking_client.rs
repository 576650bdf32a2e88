//! A client with a blocking socket: for exports and imports, for the lab's bench and for tests.
use mallowseam_iscsi::initiator::{Came, InitiatorConn};
use mallowseam_iscsi::params::Wishes;
use mallowseam_iscsi::scsi::Sense;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// What a client waits for at most before it gives up on a host.
const PATIENCE: Duration = Duration::from_secs(20);

pub struct BlockingClient {
    pub socket: TcpStream,
    pub conn: InitiatorConn,
    scratch: Vec<u8>,
    tag: u32,
}

/// How a command came out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u8,
    pub sense: Option<Sense>,
    pub data: Vec<u8>,
    /// Tenths of a second.
    pub retry_after: u16,
}

impl BlockingClient {
    /// Logs in; `target` none for discovery. Errors in words: no connection, refused, closed.
    pub fn open(address: SocketAddr, target: Option<&str>, index: u32) -> Result<BlockingClient, String> {
        let socket = TcpStream::connect(address).map_err(|e| e.to_string())?;
        let _ = socket.set_nodelay(true);
        socket.set_read_timeout(Some(PATIENCE)).map_err(|e| e.to_string())?;
        let name = format!("iqn.2026-12.example.lab:client{index}");
        let conn = InitiatorConn::new(&name, target, [0x80, 0, 0, 0, 0, 0], &Wishes::default());
        let mut client = BlockingClient { socket, conn, scratch: vec![0; 128 * 1024], tag: 1 << 20 };
        while !client.conn.logged_in() {
            client.exchange()?;
        }
        client.conn.came();
        Ok(client)
    }

    pub fn flush(&mut self) -> Result<(), String> {
        let waiting = self.conn.out().waiting().len();
        self.socket.write_all(self.conn.out().waiting()).map_err(|e| e.to_string())?;
        self.conn.out().wrote(waiting);
        Ok(())
    }

    /// Writes all that waits, then reads once.
    pub fn exchange(&mut self) -> Result<(), String> {
        self.flush()?;
        let n = self.socket.read(&mut self.scratch).map_err(|e| e.to_string())?;
        if n == 0 {
            return Err("connection closed".into());
        }
        self.conn.receive(&self.scratch[..n]).map_err(|e| e.0)
    }

    /// The next thing that comes.
    pub fn next_event(&mut self) -> Result<Came, String> {
        loop {
            if let Some(came) = self.conn.came() {
                return Ok(came);
            }
            self.exchange()?;
        }
    }

    /// One command and its answer.
    pub fn execute(
        &mut self,
        lun: u32,
        cdb: &[u8; 16],
        room: usize,
        write: Vec<u8>,
    ) -> Result<Answer, String> {
        self.tag += 1;
        let wanted = self.tag;
        if !self.conn.command(wanted, lun, cdb, room, write.into()) {
            return Err("the command window is closed".into());
        }
        loop {
            match self.next_event()? {
                Came::Answer { tag, status, sense, data, come_back: retry_after } if tag == wanted => {
                    return Ok(Answer { status, sense, data, retry_after });
                }
                Came::Rejected { tag, reason } if tag == wanted => {
                    return Err(format!("rejected, reason {reason}"));
                }
                _ => {}
            }
        }
    }
}
