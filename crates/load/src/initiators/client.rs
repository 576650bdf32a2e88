//! State of one client.
use super::{LoadConfig, REGION_BLOCKS};
use mallowseam_audit::block;
use mallowseam_audit::rehearsal::EXTENT_COPY_GROUP;
use mallowseam_audit::trace::Micros;
use mallowseam_iscsi::initiator::InitiatorConnection;
use mallowseam_iscsi::scsi;
use mio::net::TcpStream;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Interval in which each client sends its first command, in microseconds.
const FIRST_COMMAND_WITHIN: Micros = 500_000;

/// Number of group numbers that clients use in turn. The next higher number marks extent copies.
const GROUP_NUMBERS: u8 = EXTENT_COPY_GROUP;

/// Command in flight.
#[derive(Clone, Debug)]
pub(super) struct InFlightCommand {
    pub(super) id: u64,
    pub(super) tag: u32,
    pub(super) write: bool,
    pub(super) lba: u64,
    pub(super) blocks: u32,
    pub(super) group_number: u8,
    pub(super) deadline: Micros,
    /// Whether the command is a retry, which is not retried again.
    pub(super) retried: bool,
}

/// Retry of a shed command.
pub(super) struct Retry {
    pub(super) at: Micros,
    pub(super) command: InFlightCommand,
}

/// Open connection of a client.
pub(super) struct Connection {
    pub(super) socket: TcpStream,
    pub(super) session: InitiatorConnection,
}

/// State of a client.
pub(super) struct Client {
    pub(super) index: u32,
    /// Index of the client's host.
    pub(super) host: usize,
    /// Index of the client's volume.
    pub(super) volume: usize,
    /// First block of the client's regions.
    pub(super) first_region: u64,
    pub(super) isid: [u8; 6],
    pub(super) connection: Option<Connection>,
    /// Socket of the previous connection under the same name, left open for the host to close.
    pub(super) replaced: Option<TcpStream>,
    pub(super) connect_at: Micros,
    pub(super) next_command_at: Micros,
    pub(super) in_flight: Vec<InFlightCommand>,
    pub(super) retries: Vec<Retry>,
    pub(super) last_group_number: u8,
    pub(super) last_tag: u32,
    pub(super) not_reading: bool,
    /// Whether the host requested a logout; the client then sends no new commands.
    pub(super) logout_requested: bool,
    /// Number of bytes that the client still sends before it stalls; none if it does not stall.
    pub(super) stall_after: Option<usize>,
    pub(super) unmatched_responses: u64,
    pub(super) rng: Pcg64Mcg,
}

impl Client {
    pub(super) fn new(index: u32, config: &LoadConfig, rng: &mut Pcg64Mcg) -> Self {
        let volumes = config.volumes.len();
        let volume = index as usize % volumes;
        let position = u64::from(index) / volumes as u64;
        let clients_per_volume = u64::from(config.clients).div_ceil(volumes as u64);
        let area =
            config.volumes[volume].blocks / clients_per_volume / REGION_BLOCKS * REGION_BLOCKS;
        Client {
            index,
            host: index as usize % config.hosts.len(),
            volume,
            first_region: position * area,
            isid: [0x80, 0, 1, (index >> 8) as u8, index as u8, 0],
            connection: None,
            replaced: None,
            connect_at: 0,
            next_command_at: rng.random_range(0..FIRST_COMMAND_WITHIN),
            in_flight: Vec::new(),
            retries: Vec::new(),
            last_group_number: 0,
            last_tag: 0,
            not_reading: false,
            logout_requested: false,
            stall_after: None,
            unmatched_responses: 0,
            rng: Pcg64Mcg::seed_from_u64(rng.random()),
        }
    }

    /// Returns whether the session can send a command now.
    pub(super) fn can_send(&self) -> bool {
        self.connection
            .as_ref()
            .is_some_and(|connection| connection.session.can_send())
    }

    pub(super) fn next_tag(&mut self) -> u32 {
        self.last_tag = self.last_tag.wrapping_add(1);
        self.last_tag
    }

    /// Returns a group number that no command in flight has, if there is one. The audit distinguishes reads of the same
    /// blocks in flight by their group numbers.
    pub(super) fn next_group_number(&mut self) -> u8 {
        for _ in 0..GROUP_NUMBERS {
            self.last_group_number = (self.last_group_number + 1) % GROUP_NUMBERS;
            let is_free = |c: &InFlightCommand| c.group_number != self.last_group_number;
            if self.in_flight.iter().all(is_free) {
                break;
            }
        }
        self.last_group_number
    }

    /// Sends a command; a write carries the data of its id.
    pub(super) fn send(&mut self, lun: u32, command: InFlightCommand) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        let InFlightCommand {
            id,
            tag,
            write,
            lba,
            blocks,
            group_number,
            ..
        } = command;
        let cdb = scsi::read_or_write_16(write, lba, blocks, group_number);
        if write {
            let data = block::write(id, lba, blocks);
            connection
                .session
                .send_command(tag, lun, &cdb, 0, data.into());
        } else {
            let read_len = blocks as usize * block::SIZE;
            let nothing = Vec::new().into();
            connection
                .session
                .send_command(tag, lun, &cdb, read_len, nothing);
        }
        self.in_flight.push(command);
    }

    /// Returns when the next event of the client is due.
    pub(super) fn next_timer(&self) -> Micros {
        let retry = self
            .retries
            .iter()
            .map(|r| r.at)
            .min()
            .unwrap_or(Micros::MAX);
        let deadline = self
            .in_flight
            .iter()
            .map(|c| c.deadline)
            .min()
            .unwrap_or(Micros::MAX);
        let next = if self.connection.is_some() {
            self.next_command_at
        } else {
            self.connect_at
        };
        next.min(retry).min(deadline)
    }
}
