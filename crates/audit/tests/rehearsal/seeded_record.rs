//! Traces of runs drawn from a seed. The pinned digests depend on the order and the types of the draws.
use mallowseam_audit::trace::{TraceEntry, TraceEvent};
use mallowseam_iscsi::scsi::status;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Returns the trace of a run with up to thirty commands, each with attempts, answers and faults drawn from the seed.
pub(crate) fn record(seed: u64) -> Vec<TraceEntry> {
    let mut generator = RecordGenerator {
        rng: Pcg64Mcg::seed_from_u64(seed),
        entries: Vec::new(),
        last_task: 0,
        written: vec![0],
    };
    for id in 1..=generator.rng.random_range(1..=30u64) {
        let command = generator.send_command(id);
        let end = generator.run_attempts(&command);
        if command.write {
            generator.written.push(id);
        }
        generator.end_command(&command, end);
        generator.add_other_event(&command);
    }
    generator.entries.sort_by_key(|entry| entry.at);
    generator.entries
}

struct Command {
    id: u64,
    at: u64,
    host: u32,
    volume: u32,
    write: bool,
    lba: u64,
    blocks: u32,
    group_number: u8,
}

struct RecordGenerator {
    rng: Pcg64Mcg,
    entries: Vec<TraceEntry>,
    last_task: u32,
    /// Ids of the writes so far; 0 for blocks never written.
    written: Vec<u64>,
}

impl RecordGenerator {
    fn add_event(&mut self, at: u64, event: TraceEvent) {
        self.entries.push(TraceEntry { at, event });
    }

    fn written_id(&mut self) -> u64 {
        self.written[self.rng.random_range(0..self.written.len())]
    }

    fn send_command(&mut self, id: u64) -> Command {
        let rng = &mut self.rng;
        let at = id * 70_000 + rng.random_range(0..90_000u64);
        let (host, volume) = (rng.random_range(0..2u32), rng.random_range(0..2u32));
        let write = rng.random_range(0..2) == 0;
        let (lba, blocks) = (rng.random_range(0..3u64) * 8, rng.random_range(1..=8u32));
        let group_number = (id % 31) as u8;
        let (command, client) = (id, 0);
        self.add_event(
            at,
            TraceEvent::CommandSent {
                command,
                client,
                host,
                volume,
                write,
                lba,
                blocks,
                group_number,
            },
        );
        Command {
            id,
            at,
            host,
            volume,
            write,
            lba,
            blocks,
            group_number,
        }
    }

    /// Adds up to two attempts at a node. Returns the time at which the last one has ended.
    fn run_attempts(&mut self, command: &Command) -> u64 {
        let mut end = command.at + 1_000;
        for _ in 0..self.rng.random_range(0..3) {
            end = self.run_attempt(command, end) + 1_000;
        }
        end
    }

    fn run_attempt(&mut self, command: &Command, at: u64) -> u64 {
        let &Command {
            id,
            host,
            volume: node,
            write,
            lba,
            blocks,
            group_number,
            ..
        } = command;
        self.last_task += 1;
        let task = self.last_task;
        let rng = &mut self.rng;
        let connection = u64::from(rng.random_range(1..3u32));
        let write_ids = if write {
            vec![id; blocks as usize]
        } else {
            vec![]
        };
        let first_lba = write.then(|| lba + u64::from(rng.random_range(0..12u32) == 0));
        let host = if rng.random_range(0..12) == 0 {
            1 - host
        } else {
            host
        };
        let received = TraceEvent::NodeReceived {
            node,
            host,
            connection,
            task,
            lun: 0,
            write,
            lba,
            blocks,
            group_number,
            write_ids,
            first_lba,
        };
        self.add_event(at, received);
        let after = at + self.rng.random_range(1_000..200_000u64);
        match self.rng.random_range(0..8) {
            0 => self.add_event(
                after,
                TraceEvent::NodeAborted {
                    node,
                    connection,
                    task,
                },
            ),
            1 => self.add_event(after, TraceEvent::ConnectionClosed { node, connection }),
            2 => {}
            n => {
                let codes = [status::BUSY, status::TASK_SET_FULL, status::CHECK_CONDITION];
                let status = codes.get(n - 3).copied().unwrap_or(status::GOOD);
                self.add_event(
                    after,
                    TraceEvent::NodeAnswered {
                        node,
                        connection,
                        task,
                        status,
                    },
                );
            }
        }
        after
    }

    /// Adds the answer of a command, which may be missing or late, or the abort of the command.
    fn end_command(&mut self, command: &Command, end: u64) {
        let codes = [
            status::GOOD,
            status::GOOD,
            status::GOOD,
            status::BUSY,
            status::CHECK_CONDITION,
        ];
        let status = codes[self.rng.random_range(0..codes.len())];
        let read_ids: Vec<Option<u64>> = (0..command.blocks)
            .map(|_| {
                let id = self.written_id();
                (self.rng.random_range(0..20) != 0).then_some(id)
            })
            .collect();
        let read = if command.write || status != status::GOOD {
            vec![]
        } else {
            read_ids
        };
        let command = command.id;
        match self.rng.random_range(0..10) {
            0 => self.add_event(end, TraceEvent::CommandAbandoned { command }),
            1 => {}
            2 => self.add_event(
                end + 2_300_000,
                TraceEvent::CommandAnswered {
                    command,
                    status,
                    read,
                },
            ),
            _ => self.add_event(
                end,
                TraceEvent::CommandAnswered {
                    command,
                    status,
                    read,
                },
            ),
        }
    }

    /// Adds another event, or none, at the time of a command.
    fn add_other_event(&mut self, command: &Command) {
        let &Command {
            id,
            at,
            host,
            volume,
            ..
        } = command;
        let node = self.rng.random_range(0..2u32);
        match self.rng.random_range(0..24) {
            0 => self.add_event(
                at,
                TraceEvent::HostNotified {
                    host,
                    node,
                    active: false,
                },
            ),
            1 => self.add_event(
                at,
                TraceEvent::HostNotified {
                    host,
                    node,
                    active: true,
                },
            ),
            2 | 3 => self.add_event(at, TraceEvent::NodeUp { node }),
            4 => self.add_event(at, TraceEvent::NodeDown { node }),
            5 => self.add_event(at, TraceEvent::NodeOverloaded { node }),
            6 => self.add_event(at, TraceEvent::HostDown { host }),
            7 => self.add_event(at, TraceEvent::HostUp { host }),
            8 => self.add_event(at, TraceEvent::UnexpectedAnswer { client: 0 }),
            9 | 10 => {
                let mut blocks = vec![Some(0); 64];
                for block in blocks.iter_mut().take(24) {
                    *block = Some(self.written_id());
                }
                let requested_at = at - self.rng.random_range(0..60_000u64);
                let name = format!("s{id}");
                self.add_event(
                    at,
                    TraceEvent::SnapshotRead {
                        volume,
                        name,
                        requested_at,
                        blocks,
                    },
                );
            }
            _ => {}
        }
    }
}
