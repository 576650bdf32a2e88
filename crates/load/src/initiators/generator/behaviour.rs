//! Changes of the clients' behaviour.
use super::{Generator, RECONNECT_PAUSE};
use crate::initiators::{ACCOUNT_BLOCKS, Behaviour};
use mallowseam_audit::trace::Micros;
use mallowseam_iscsi::frame::SendBuffer;
use mallowseam_iscsi::initiator::InitiatorConnection;
use mallowseam_iscsi::pdu::{Bhs, flag, opcode};
use rand::RngExt;
use std::io::Write;
use std::net::TcpStream;

/// Pause before a client connects again after it disconnected.
const DISCONNECT_PAUSE: Micros = 300_000;
/// Bytes that a stalling client still sends: part of a command.
const STALL_AFTER_BYTES: usize = 100;
/// Reads that a client requests before it stops reading, and their blocks.
const UNREAD_COMMANDS: u32 = 12;
const UNREAD_BLOCKS: u32 = 4 * ACCOUNT_BLOCKS as u32;
/// An opcode that RFC 7143 does not define.
const UNDEFINED_OPCODE: u8 = 0x3a;

impl Generator {
    pub(super) fn apply(&mut self, behaviour: Behaviour) {
        let index = |n: u32| n as usize % self.clients.len();
        match behaviour {
            Behaviour::Disconnect(n) => self.disconnect(index(n), DISCONNECT_PAUSE),
            Behaviour::Stall(n, true) => self.stall(index(n)),
            Behaviour::Stall(n, false) => {
                let client = index(n);
                self.clients[client].stall_after = None;
                self.disconnect(client, RECONNECT_PAUSE);
            }
            Behaviour::StopReading(n, true) => self.stop_reading(index(n)),
            Behaviour::StopReading(n, false) => {
                let client = index(n);
                self.clients[client].not_reading = false;
                self.disconnect(client, RECONNECT_PAUSE);
            }
            Behaviour::LoginAgain(n) => self.login_again(index(n)),
            Behaviour::HalfLogins(n) => self.half_logins(n as usize),
            Behaviour::Garbage(n) => self.send_garbage(n as usize),
            Behaviour::Surge(plan, times) => {
                for (volume, surge) in self.config.volumes.iter().zip(&mut self.surges) {
                    if volume.plan == plan {
                        *surge = times;
                    }
                }
            }
            Behaviour::Scale(times) => self.scale = times,
            Behaviour::Drain => self.draining = true,
            Behaviour::Stop => {}
        }
    }

    /// Half a command goes out, and then nothing.
    fn stall(&mut self, client: usize) {
        self.request(client, true, None);
        self.abandon_all(client);
        self.clients[client].stall_after = Some(STALL_AFTER_BYTES);
    }

    fn stop_reading(&mut self, client: usize) {
        for _ in 0..UNREAD_COMMANDS {
            self.request(client, false, Some(UNREAD_BLOCKS));
        }
        self.flush(client);
        self.abandon_all(client);
        self.clients[client].not_reading = true;
    }

    fn login_again(&mut self, client: usize) {
        self.abandon_all(client);
        let client = &mut self.clients[client];
        client.replaced = client.link.take().map(|link| link.socket);
        if let Some(replaced) = &mut client.replaced {
            let _ = self.poll.registry().deregister(replaced);
        }
        client.connect_at = 0;
    }

    fn half_logins(&mut self, count: usize) {
        for i in 0..count {
            let Ok(mut socket) = TcpStream::connect(self.host_of_stranger(i)) else {
                continue;
            };
            let mut session =
                InitiatorConnection::new("iqn.half", Some("iqn.x"), [0; 6], &self.config.proposal);
            let bytes = session.send_buffer().unsent();
            let _ = socket.write_all(&bytes[..bytes.len() / 2]);
            self.strangers.push(socket);
        }
    }

    fn send_garbage(&mut self, count: usize) {
        for i in 0..count {
            if let Ok(mut socket) = TcpStream::connect(self.host_of_stranger(i)) {
                let _ = socket.write_all(&self.garbage(i));
                self.strangers.push(socket);
            }
        }
    }

    fn host_of_stranger(&self, i: usize) -> std::net::SocketAddr {
        self.config.hosts[i % self.config.hosts.len()]
    }

    /// A login and, behind it, a malformed PDU.
    fn garbage(&mut self, i: usize) -> Vec<u8> {
        let name = format!("iqn.garbage{i}");
        let mut session = InitiatorConnection::new(
            &name,
            Some(&self.config.target),
            [1; 6],
            &self.config.proposal,
        );
        let mut bytes = session.send_buffer().unsent().to_vec();
        let mut malformed = SendBuffer::default();
        let rng = &mut self.clients[0].rng;
        let opcodes = [
            opcode::SCSI_COMMAND,
            opcode::DATA_OUT,
            opcode::SNACK,
            UNDEFINED_OPCODE,
        ];
        let mut bhs = Bhs::new(opcodes[i % opcodes.len()], flag::WRITE);
        for byte in &mut bhs.bytes_mut()[8..] {
            *byte = rng.random();
        }
        malformed.push(bhs.with_cmd_sn(1), &[0xee; 64]);
        bytes.extend_from_slice(malformed.unsent());
        bytes
    }
}
