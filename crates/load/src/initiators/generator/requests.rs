//! Requests of the clients, their times, and the handling of answers.
use super::Generator;
use crate::initiators::client::{InFlightCommand, Retry};
use crate::initiators::{DEADLINE_GRACE, REGION_BLOCKS};
use mallowseam_audit::block;
use mallowseam_audit::trace::{Micros, TraceEvent};
use mallowseam_iscsi::scsi::status;
use rand::RngExt;
use std::num::NonZeroU16;

/// Number of regions of one client.
const REGIONS_PER_CLIENT: u64 = 6;
/// Fraction of the writes that are sent as an ordered pair to one region.
const PAIR_FRACTION: f64 = 0.2;
/// Fraction of the writes that cover a whole region.
const WHOLE_REGION_FRACTION: f64 = 0.5;
/// Size of a write that does not cover a whole region, in blocks.
const PARTIAL_WRITE_BLOCKS: u32 = 2;
/// Pause before a client that logs out checks its timer again, in microseconds.
const LOGOUT_PAUSE: Micros = 10_000;
/// Unit of a retry hint, a tenth of a second, in microseconds.
const RETRY_HINT_UNIT: Micros = 100_000;

impl Generator {
    /// Handles everything that is due for a client.
    pub(super) fn on_timer(&mut self, index: usize) {
        let now = self.trace.now();
        let client = &mut self.clients[index];
        if client.connection.is_none() {
            client.next_command_at = client.next_command_at.max(now);
            if now >= client.connect_at {
                self.connect(index);
            }
            return;
        }
        self.abort_late(index, now);
        let client = &mut self.clients[index];
        if client.logout_requested {
            if let Some(connection) = client
                .connection
                .as_mut()
                .filter(|connection| connection.session.in_flight() == 0)
            {
                connection.session.send_logout_request();
                client.logout_requested = false;
            }
            client.next_command_at = client.next_command_at.max(now + LOGOUT_PAUSE);
            return;
        }
        if client.not_reading || client.stall_after.is_some() {
            client.next_command_at = client.next_command_at.max(now);
            return;
        }
        if self.draining {
            client.retries.clear();
            client.next_command_at = Micros::MAX;
            return;
        }
        self.send_due(index, now);
    }

    /// Aborts commands past their deadline, because an answer would be late.
    fn abort_late(&mut self, index: usize, now: Micros) {
        let client = &mut self.clients[index];
        while let Some(i) = client.in_flight.iter().position(|c| c.deadline <= now) {
            let command = client.in_flight.swap_remove(i);
            if let Some(connection) = &mut client.connection {
                connection.session.abort_task(command.tag);
            }
        }
    }

    /// Sends the retries and the new command that are due.
    fn send_due(&mut self, index: usize, now: Micros) {
        while let Some(i) = self.clients[index]
            .retries
            .iter()
            .position(|retry| retry.at <= now)
        {
            let Retry { command, .. } = self.clients[index].retries.swap_remove(i);
            self.send_command(index, command.write, command.lba, command.blocks, true);
            if self.clients[index].connection.is_none() {
                return;
            }
        }
        if now < self.clients[index].next_command_at {
            return;
        }
        let client = &mut self.clients[index];
        let rate = self.config.command_rate * self.scale * self.surges[client.volume];
        // Exponentially distributed intervals of at most an hour.
        let interval = -client.rng.random::<f64>().max(1e-9).ln() / rate.max(1e-6);
        client.next_command_at = now + (interval * 1e6).min(3.6e9) as Micros;
        let write = client.rng.random::<f64>() < self.config.write_fraction;
        self.request(index, write, None);
    }

    /// Sends a read of one of the client's regions, or one or two writes to it.
    pub(super) fn request(&mut self, index: usize, write: bool, blocks: Option<u32>) {
        let client = &mut self.clients[index];
        let region =
            client.first_region + client.rng.random_range(0..REGIONS_PER_CLIENT) * REGION_BLOCKS;
        if !write {
            let blocks = blocks.unwrap_or(REGION_BLOCKS as u32 * client.rng.random_range(1..4));
            return self.send_command(index, false, region, blocks, false);
        }
        let pair = client.rng.random::<f64>() < PAIR_FRACTION;
        let whole = client.rng.random::<f64>() < WHOLE_REGION_FRACTION;
        let blocks = if whole {
            REGION_BLOCKS as u32
        } else {
            PARTIAL_WRITE_BLOCKS
        };
        let commands = if pair { 2 } else { 1 };
        for _ in 0..commands {
            self.send_command(index, true, region, blocks, false);
        }
    }

    fn send_command(&mut self, index: usize, write: bool, lba: u64, blocks: u32, retried: bool) {
        let client = &mut self.clients[index];
        let volume = &self.config.volumes[client.volume];
        if !client.can_send() {
            return;
        }
        let time_limit = if write {
            volume.write_deadline
        } else {
            volume.read_deadline
        };
        let command = InFlightCommand {
            id: self.next_command,
            tag: client.next_tag(),
            write,
            lba,
            blocks: blocks.min((volume.blocks - lba) as u32),
            group_number: client.next_group_number(),
            deadline: self.trace.now() + time_limit + DEADLINE_GRACE,
            retried,
        };
        self.next_command += 1;
        self.trace.record(TraceEvent::CommandSent {
            command: command.id,
            client: client.index,
            host: client.host as u32,
            volume: client.volume as u32,
            write,
            lba,
            blocks: command.blocks,
            group_number: command.group_number,
        });
        client.send(volume.lun, command);
    }

    /// Records an answer, and retries a command that was shed.
    pub(super) fn on_answer(
        &mut self,
        index: usize,
        tag: u32,
        code: u8,
        data: &[u8],
        retry_after: Option<NonZeroU16>,
    ) {
        let client = &mut self.clients[index];
        let Some(i) = client.in_flight.iter().position(|c| c.tag == tag) else {
            return;
        };
        let command = client.in_flight.swap_remove(i);
        let read = data
            .chunks(block::SIZE)
            .zip(command.lba..)
            .map(|(b, lba)| block::read(b, lba))
            .collect();
        self.trace.record(TraceEvent::CommandAnswered {
            command: command.id,
            status: code,
            read,
        });
        if matches!(code, status::BUSY | status::TASK_SET_FULL) && !command.retried {
            let hint = retry_after.map_or(0, |time| u64::from(time.get())) * RETRY_HINT_UNIT;
            let wait = hint + client.rng.random_range(50_000..150_000);
            client.retries.push(Retry {
                at: self.trace.now() + wait,
                command,
            });
        }
    }
}
