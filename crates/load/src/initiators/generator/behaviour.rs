//! Changes of the clients' behaviour.
use super::{Generator, RECONNECT_PAUSE};
use crate::initiators::{Behaviour, REGION_BLOCKS};
use mallowseam_audit::trace::Micros;
use mallowseam_iscsi::frame::SendBuffer;
use mallowseam_iscsi::initiator::InitiatorConnection;
use mallowseam_iscsi::pdu::{Bhs, flag, opcode};
use rand::RngExt;
use std::io::Write;
use std::net::TcpStream;

/// Pause before a client connects again after it disconnected, in microseconds.
const DISCONNECT_PAUSE: Micros = 300_000;
/// Number of bytes that a stalling client still sends: less than a write command with its data.
const STALL_AFTER_BYTES: usize = 100;
/// Number of read commands that a client sends before it stops receiving.
const UNREAD_COMMANDS: u32 = 12;
/// Size of each of these read commands, in blocks.
const UNREAD_BLOCKS: u32 = 4 * REGION_BLOCKS as u32;
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
            Behaviour::HalfLogins(n) => self.send_half_logins(n as usize),
            Behaviour::Garbage(n) => self.send_malformed_pdus(n as usize),
            Behaviour::Surge(plan, factor) => {
                for (volume, surge) in self.config.volumes.iter().zip(&mut self.surges) {
                    if volume.plan == plan {
                        *surge = factor;
                    }
                }
            }
            Behaviour::Scale(factor) => self.scale = factor,
            Behaviour::Drain => self.draining = true,
            Behaviour::Stop => {}
        }
    }

    /// Makes a client send part of a write, and nothing after it.
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
        client.replaced = client.connection.take().map(|connection| connection.socket);
        if let Some(replaced) = &mut client.replaced {
            let _ = self.poll.registry().deregister(replaced);
        }
        client.connect_at = 0;
    }

    fn send_half_logins(&mut self, count: usize) {
        for i in 0..count {
            let Ok(mut socket) = TcpStream::connect(self.fault_connection_host(i)) else {
                continue;
            };
            let mut session =
                InitiatorConnection::new("iqn.half", Some("iqn.x"), [0; 6], &self.config.proposal);
            let bytes = session.send_buffer().unsent();
            let _ = socket.write_all(&bytes[..bytes.len() / 2]);
            self.fault_connections.push(socket);
        }
    }

    fn send_malformed_pdus(&mut self, count: usize) {
        for i in 0..count {
            if let Ok(mut socket) = TcpStream::connect(self.fault_connection_host(i)) {
                let _ = socket.write_all(&self.login_and_malformed_pdu(i));
                self.fault_connections.push(socket);
            }
        }
    }

    fn fault_connection_host(&self, i: usize) -> std::net::SocketAddr {
        self.config.hosts[i % self.config.hosts.len()]
    }

    /// Returns the bytes of a login request followed by a malformed PDU.
    fn login_and_malformed_pdu(&mut self, i: usize) -> Vec<u8> {
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
