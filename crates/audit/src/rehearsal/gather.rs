//! Reconstructs the commands of a trace from its entries.
use super::commands::{Attempt, Command};
use super::verdict::Rule;
use super::{Audit, EXTENT_COPY_GROUP};
use crate::evidence::seconds;
use crate::trace::{Micros, TraceEntry, TraceEvent};
use mallowseam_settings::config::{self, Direction};
use std::collections::HashMap;

/// Indexes of a command and of an attempt within it.
#[derive(Clone, Copy)]
struct AttemptIndex {
    command: usize,
    attempt: usize,
}

/// Identity of a task at a node: the node, the connection and the initiator task tag.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct TaskId {
    node: u32,
    connection: u64,
    task: u32,
}

/// Indexes over the commands that have been reconstructed so far.
#[derive(Default)]
struct CommandIndex {
    by_id: HashMap<u64, usize>,
    /// Indexes of reads, by volume and group number.
    reads: HashMap<(usize, u8), Vec<usize>>,
    /// Attempts in flight at a node.
    open: HashMap<TaskId, AttemptIndex>,
}

impl CommandIndex {
    /// Adds a command with its index.
    fn add(&mut self, command: &Command, group_number: u8, i: usize) {
        self.by_id.insert(command.id, i);
        if !command.write {
            self.reads
                .entry((command.volume, group_number))
                .or_default()
                .push(i);
        }
    }

    fn open(&mut self, node: u32, connection: u64, task: u32, attempt: AttemptIndex) {
        let id = TaskId {
            node,
            connection,
            task,
        };
        self.open.insert(id, attempt);
    }

    /// Removes and returns an attempt that has ended.
    fn close(&mut self, node: u32, connection: u64, task: u32) -> Option<AttemptIndex> {
        self.open.remove(&TaskId {
            node,
            connection,
            task,
        })
    }

    /// Removes and returns all attempts on a connection that closed.
    fn close_connection(
        &mut self,
        node: u32,
        connection: u64,
    ) -> impl Iterator<Item = AttemptIndex> + '_ {
        self.open
            .extract_if(move |id, _| (id.node, id.connection) == (node, connection))
            .map(|(_, attempt)| attempt)
    }

    /// Returns the index of the command whose data a write carries.
    fn write(&self, write_ids: &[u64]) -> Option<usize> {
        write_ids.first().and_then(|id| self.by_id.get(id)).copied()
    }

    /// Returns the indexes of the reads of a volume with a group number, in order of time.
    fn reads_of(
        &self,
        volume: usize,
        group_number: u8,
    ) -> impl DoubleEndedIterator<Item = usize> + '_ {
        self.reads
            .get(&(volume, group_number))
            .into_iter()
            .flatten()
            .copied()
    }
}

impl Audit<'_> {
    /// Reconstructs all commands of a trace.
    pub(super) fn gather(&mut self, trace: &[TraceEntry]) {
        let mut index = CommandIndex::default();
        for entry in trace {
            self.gather_from_client(&mut index, entry);
            self.gather_from_node(&mut index, entry);
        }
    }

    fn gather_from_client(&mut self, index: &mut CommandIndex, entry: &TraceEntry) {
        match &entry.event {
            TraceEvent::CommandSent { .. } => self.command_sent(index, entry),
            TraceEvent::CommandAnswered {
                command,
                status,
                read,
            } => {
                if let Some(i) = index.by_id.get(command) {
                    self.command_answered(*i, (entry.at, *status), read);
                }
            }
            TraceEvent::CommandAbandoned { command } => {
                if let Some(i) = index.by_id.get(command) {
                    self.commands[*i].abandoned = true;
                }
            }
            TraceEvent::UnexpectedAnswer { client } => {
                self.verdict.duplicated += 1;
                let at = seconds(entry.at);
                let line = format!("client {client} received an answer to no open command at {at}");
                self.verdict.violation(Rule::OneAnswer, line);
            }
            _ => {}
        }
    }

    fn gather_from_node(&mut self, index: &mut CommandIndex, entry: &TraceEntry) {
        match entry.event {
            TraceEvent::NodeReceived {
                group_number: EXTENT_COPY_GROUP,
                ..
            } if self.layout.mapped.is_some() => self.verdict.extent_copies += 1,
            TraceEvent::NodeReceived { .. } => self.node_received(index, entry),
            TraceEvent::NodeAnswered {
                node,
                connection,
                task,
                status,
            } => {
                if let Some(open) = index.close(node, connection, task) {
                    self.attempt_mut(open).answered = Some((entry.at, status));
                }
            }
            TraceEvent::NodeAborted {
                node,
                connection,
                task,
            } => {
                if let Some(open) = index.close(node, connection, task) {
                    self.attempt_mut(open).interrupted_at = Some(entry.at);
                }
            }
            TraceEvent::ConnectionClosed { node, connection } => {
                for open in index.close_connection(node, connection) {
                    self.attempt_mut(open).interrupted_at = Some(entry.at);
                }
            }
            _ => {}
        }
    }

    fn attempt_mut(&mut self, index: AttemptIndex) -> &mut Attempt {
        &mut self.commands[index.command].attempts[index.attempt]
    }

    fn command_sent(&mut self, index: &mut CommandIndex, entry: &TraceEntry) {
        let TraceEvent::CommandSent {
            command,
            host,
            volume,
            write,
            lba,
            blocks,
            group_number,
            ..
        } = entry.event
        else {
            return;
        };
        let volume = volume as usize;
        let Some(rule) = self.rule_of(volume, write, lba) else {
            return;
        };
        let command = Command {
            id: command,
            host,
            volume,
            write,
            lba,
            blocks,
            io_class: rule.io_class,
            key: lba.checked_div(rule.blocks_per_key),
            sent_at: entry.at,
            answered: None,
            abandoned: false,
            read_ids: Vec::new(),
            attempts: Vec::new(),
        };
        index.add(&command, group_number, self.commands.len());
        self.commands.push(command);
    }

    /// Returns the rule of a volume that applies to a command at a block.
    fn rule_of(&self, volume: usize, write: bool, lba: u64) -> Option<&config::Rule> {
        let direction = if write {
            Direction::Write
        } else {
            Direction::Read
        };
        let applies = |rule: &&config::Rule| {
            (rule.direction == direction || rule.direction == Direction::Any)
                && (rule.first_block..=rule.last_block).contains(&lba)
        };
        self.config.volumes[volume].rules.iter().find(applies)
    }

    fn command_answered(&mut self, i: usize, answer: (Micros, u8), read_ids: &[Option<u64>]) {
        if self.commands[i].answered.is_some() {
            self.verdict.duplicated += 1;
            let at = seconds(answer.0);
            let line = format!("a second answer at {at} to command {}", self.commands[i].id);
            self.verdict.violation(Rule::OneAnswer, line);
        }
        self.commands[i].answered = Some(answer);
        self.commands[i].read_ids = read_ids.to_vec();
    }

    /// Assigns an attempt that a node received to its command. An attempt without a command violates the rule of one
    /// final answer.
    fn node_received(&mut self, index: &mut CommandIndex, entry: &TraceEntry) {
        let TraceEvent::NodeReceived {
            node,
            connection,
            task,
            lun,
            lba: node_lba,
            blocks,
            ..
        } = entry.event
        else {
            return;
        };
        self.verdict.attempts += 1;
        let located = self.volume_block(node, lun, node_lba);
        if located.is_none() && lun > 0 {
            // The block belongs to a clone, or to a layer that no volume reads any more.
            return;
        }
        let Some((volume, lba)) = located else {
            let at = seconds(entry.at);
            let line = format!("at {at} node{node} received a command for blocks of no volume");
            return self.verdict.violation(Rule::OneAnswer, line);
        };
        let Some(command) = self.attempted_command(index, entry, volume, lba) else {
            return;
        };
        let attempts = &mut self.commands[command].attempts;
        let open = AttemptIndex {
            command,
            attempt: attempts.len(),
        };
        attempts.push(Attempt {
            at: entry.at,
            node,
            lba,
            blocks,
            answered: None,
            interrupted_at: None,
        });
        index.open(node, connection, task, open);
    }

    /// Returns the index of the command that a node received an attempt of. An attempt that no client requested is a
    /// violation.
    fn attempted_command(
        &mut self,
        index: &CommandIndex,
        entry: &TraceEntry,
        volume: usize,
        lba: u64,
    ) -> Option<usize> {
        let TraceEvent::NodeReceived {
            node,
            host,
            write,
            blocks,
            group_number,
            ref write_ids,
            first_lba,
            ..
        } = entry.event
        else {
            return None;
        };
        let at = seconds(entry.at);
        if first_lba.is_some_and(|first| write && first != lba) {
            let line = format!(
                "at {at} node{node} received data of block {first_lba:?} in a write to block {lba}"
            );
            self.verdict.violation(Rule::OneAnswer, line);
        }
        let covers = |i: &usize| self.commands[*i].contains(volume, lba, blocks);
        let found = if write {
            index.write(write_ids)
        } else {
            index.reads_of(volume, group_number).rev().find(covers)
        };
        let requested = found.filter(|i| covers(i) && self.commands[*i].host == host);
        if requested.is_none() {
            let line = format!(
                "at {at} node{node} received an attempt from gw{host} that no client requested"
            );
            self.verdict.violation(Rule::OneAnswer, line);
        }
        requested
    }

    /// Returns the volume that a node's block belongs to, and its address in the volume.
    fn volume_block(&self, node: u32, lun: u32, lba: u64) -> Option<(usize, u64)> {
        if let Some(mapped) = self.layout.mapped.as_ref().filter(|_| lun > 0) {
            let slot = lba / mapped.extent_blocks;
            let offset = lba % mapped.extent_blocks;
            let (volume, extent) = mapped.locations.get(&(lun, node, slot))?;
            return Some((*volume, extent * mapped.extent_blocks + offset));
        }
        self.config
            .volumes
            .iter()
            .enumerate()
            .find_map(|(v, volume)| {
                let contains = |extent: &&config::Extent| {
                    extent.node == node as usize
                        && (extent.first_node_block..extent.first_node_block + extent.block_count)
                            .contains(&lba)
                };
                let extent = volume.extents.iter().find(contains)?;
                Some((v, extent.first_block + lba - extent.first_node_block))
            })
    }
}
