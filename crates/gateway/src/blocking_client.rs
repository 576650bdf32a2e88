//! An iSCSI client on a blocking socket, for exports, imports, verification, benchmarks and tests.
use mallowseam_iscsi::ProtocolError;
use mallowseam_iscsi::initiator::{InitiatorConnection, InitiatorEvent};
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::scsi::Sense;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::num::NonZeroU16;
use std::time::Duration;

/// Timeout of a read from the socket.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Size of the buffer for reads from the socket, in bytes.
const READ_BUFFER: usize = 128 * 1024;
/// Initiator session ID (ISID) of every client (RFC 7143, section 11.12.5): random format, value 0.
const ISID: [u8; 6] = [0x80, 0, 0, 0, 0, 0];
/// First task tag of the client's commands; lower tags are for callers that build commands themselves.
const FIRST_TAG: u32 = 1 << 20;

/// Error that keeps a session from being opened or a command from being answered.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection failed, or nothing was received for 20 seconds.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The target closed the connection.
    #[error("connection closed")]
    Closed,
    /// The target violated the protocol or refused the login.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The target's command window is closed.
    #[error("command not sent: the target's command window is closed")]
    WindowClosed,
    /// The target rejected the command's PDU.
    #[error("command rejected by the target, iSCSI reason code {reason}")]
    Rejected {
        /// Reason code (RFC 7143, section 11.17.1).
        reason: u8,
    },
}

/// An iSCSI session with one connection, after its login.
pub struct BlockingClient {
    /// Socket of the connection.
    pub socket: TcpStream,
    /// State of the iSCSI protocol.
    pub conn: InitiatorConnection,
    read_buffer: Vec<u8>,
    last_tag: u32,
}

/// Outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// SCSI status code.
    pub status: u8,
    /// Sense data of a CHECK CONDITION status.
    pub sense: Option<Sense>,
    /// Data of a read.
    pub data: Vec<u8>,
    /// Time after which to retry, in tenths of a second (RFC 7144), if the target names one.
    pub retry_after: Option<NonZeroU16>,
}

impl BlockingClient {
    /// Connects and logs in to a target, or to a discovery session if no target is given. The initiator's name ends with
    /// `index`.
    ///
    /// # Errors
    /// The connection cannot be opened, or the login is refused.
    pub fn open(
        address: SocketAddr,
        target: Option<&str>,
        index: u32,
    ) -> Result<Self, ClientError> {
        let socket = TcpStream::connect(address)?;
        let _ = socket.set_nodelay(true);
        socket.set_read_timeout(Some(READ_TIMEOUT))?;
        let name = format!("iqn.2026-12.example.lab:client{index}");
        let conn = InitiatorConnection::new(&name, target, ISID, &ProposedParams::default());
        let read_buffer = vec![0; READ_BUFFER];
        let mut client = BlockingClient {
            socket,
            conn,
            read_buffer,
            last_tag: FIRST_TAG,
        };
        while !client.conn.is_logged_in() {
            client.exchange()?;
        }
        client.conn.next_event();
        Ok(client)
    }

    /// Writes all pending bytes to the socket.
    ///
    /// # Errors
    /// The connection failed.
    pub fn flush(&mut self) -> Result<(), ClientError> {
        let pending = self.conn.send_buffer().unsent().len();
        self.socket.write_all(self.conn.send_buffer().unsent())?;
        self.conn.send_buffer().mark_sent(pending);
        Ok(())
    }

    /// Writes all pending bytes to the socket, then reads once.
    ///
    /// # Errors
    /// The connection failed or was closed, or the target violated the protocol.
    pub fn exchange(&mut self) -> Result<(), ClientError> {
        self.flush()?;
        let len = self.socket.read(&mut self.read_buffer)?;
        if len == 0 {
            return Err(ClientError::Closed);
        }
        self.conn.receive(&self.read_buffer[..len])?;
        Ok(())
    }

    /// Waits for the next event of the session.
    ///
    /// # Errors
    /// Those of [`exchange`](Self::exchange).
    pub fn next_event(&mut self) -> Result<InitiatorEvent, ClientError> {
        loop {
            if let Some(event) = self.conn.next_event() {
                return Ok(event);
            }
            self.exchange()?;
        }
    }

    /// Sends a command and waits for its answer. The command may read up to `read_len` bytes and writes `data`.
    ///
    /// # Errors
    /// Those of [`exchange`](Self::exchange); also if the target rejects the command's PDU or its command window is
    /// closed.
    pub fn execute(
        &mut self,
        lun: u32,
        cdb: &[u8; 16],
        read_len: usize,
        data: Vec<u8>,
    ) -> Result<Answer, ClientError> {
        self.last_tag += 1;
        let tag = self.last_tag;
        if !self.conn.send_command(tag, lun, cdb, read_len, data.into()) {
            return Err(ClientError::WindowClosed);
        }
        self.await_answer(tag)
    }

    /// Waits until the command with this tag has ended, and drops all other events.
    fn await_answer(&mut self, own_tag: u32) -> Result<Answer, ClientError> {
        loop {
            match self.next_event()? {
                InitiatorEvent::CommandCompleted {
                    tag,
                    status,
                    sense,
                    data,
                    retry_after,
                } if tag == own_tag => {
                    return Ok(Answer {
                        status,
                        sense,
                        data,
                        retry_after,
                    });
                }
                InitiatorEvent::CommandRejected { tag, reason } if tag == own_tag => {
                    return Err(ClientError::Rejected { reason });
                }
                _ => {}
            }
        }
    }
}
