//! Commands put together from the record: what a client sent, its attempts at nodes, and its answer.
use super::verdict::{Rule, Verdict};
use super::{Audit, EXTENT_COPY_GROUP};
use crate::evidence::seconds;
use crate::trace::{Micros, TraceEntry, TraceEvent};
use mallowseam_iscsi::scsi::status;
use mallowseam_settings::config::{self, Direction};
use std::collections::HashMap;

/// One attempt of a command, as a node saw it.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) at: Micros,
    pub(super) node: u32,
    /// First block of the sub-request, in the volume.
    pub(super) lba: u64,
    pub(super) blocks: u32,
    /// When the node answered, and with which status.
    pub(super) answered: Option<(Micros, u8)>,
    /// When it was aborted, or its connection closed: it may still run.
    pub(super) cut_off: Option<Micros>,
}

/// A client's command with everything that belongs to it.
#[derive(Clone, Debug)]
pub(super) struct Command {
    pub(super) id: u64,
    pub(super) host: u32,
    pub(super) volume: usize,
    pub(super) write: bool,
    pub(super) lba: u64,
    pub(super) blocks: u32,
    pub(super) io_class: usize,
    /// Ordering key, where the rule of the volume names one.
    pub(super) key: Option<u64>,
    pub(super) sent_at: Micros,
    pub(super) answered: Option<(Micros, u8)>,
    pub(super) abandoned: bool,
    /// Per block the write that the answer shows.
    pub(super) shown: Vec<Option<u64>>,
    pub(super) attempts: Vec<Attempt>,
}

impl Command {
    /// Attempts that their node did not reject, so that they may have run.
    pub(super) fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|a| !a.answered.is_some_and(|(_, code)| is_shed(code)))
    }

    /// When it completed well.
    pub(super) fn completed_at(&self) -> Option<Micros> {
        self.answered
            .filter(|(_, code)| *code == status::GOOD)
            .map(|(at, _)| at)
    }

    pub(super) fn was_shed(&self) -> bool {
        self.answered.is_some_and(|(_, code)| is_shed(code))
    }

    fn contains(&self, volume: usize, lba: u64, blocks: u32) -> bool {
        self.volume == volume
            && self.lba <= lba
            && lba + u64::from(blocks) <= self.lba + u64::from(self.blocks)
    }
}

pub(super) fn is_shed(code: u8) -> bool {
    matches!(code, status::BUSY | status::TASK_SET_FULL)
}

/// Index of an attempt: of its command, and within the command.
#[derive(Clone, Copy)]
struct AttemptIndex {
    command: usize,
    attempt: usize,
}

/// A task at a node: the node, its connection and the task tag.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct TaskId {
    node: u32,
    connection: u64,
    task: u32,
}

/// Indexes over the commands gathered so far.
#[derive(Default)]
struct CommandIndex {
    by_id: HashMap<u64, usize>,
    /// Reads by volume and group number.
    reads: HashMap<(usize, u8), Vec<usize>>,
    /// Attempts that are open at a node.
    open: HashMap<TaskId, AttemptIndex>,
}

impl CommandIndex {
    /// The command whose data a write carries.
    fn write(&self, write_ids: &[u64]) -> Option<usize> {
        write_ids.first().and_then(|id| self.by_id.get(id)).copied()
    }

    /// Reads of a volume with a group number, in order of time.
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
    /// Puts together what belongs to each command.
    pub(super) fn gather(&mut self, trace: &[TraceEntry]) {
        let mut index = CommandIndex::default();
        for entry in trace {
            match &entry.event {
                TraceEvent::CommandSent { .. } => self.command_sent(&mut index, entry),
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
                    self.violation(
                        Rule::OneAnswer,
                        format!("at {at} client {client} got an answer too many"),
                    );
                }
                TraceEvent::NodeReceived {
                    group_number: EXTENT_COPY_GROUP,
                    ..
                } if self.layout.extent > 0 => {
                    self.verdict.extent_copies += 1;
                }
                TraceEvent::NodeReceived { .. } => self.node_received(&mut index, entry),
                TraceEvent::NodeAnswered {
                    node,
                    connection,
                    task,
                    status,
                } => {
                    let id = TaskId {
                        node: *node,
                        connection: *connection,
                        task: *task,
                    };
                    if let Some(open) = index.open.remove(&id) {
                        self.attempt_mut(open).answered = Some((entry.at, *status));
                    }
                }
                TraceEvent::NodeAborted {
                    node,
                    connection,
                    task,
                } => {
                    let id = TaskId {
                        node: *node,
                        connection: *connection,
                        task: *task,
                    };
                    if let Some(open) = index.open.remove(&id) {
                        self.attempt_mut(open).cut_off = Some(entry.at);
                    }
                }
                TraceEvent::ConnectionClosed { node, connection } => {
                    let here = |id: &TaskId| (id.node, id.connection) == (*node, *connection);
                    for (_, open) in index.open.extract_if(|id, _| here(id)) {
                        self.attempt_mut(open).cut_off = Some(entry.at);
                    }
                }
                _ => {}
            }
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
        let direction = if write {
            Direction::Write
        } else {
            Direction::Read
        };
        let applies = |rule: &&config::Rule| {
            (rule.direction == direction || rule.direction == Direction::Any)
                && (rule.first_block..=rule.last_block).contains(&lba)
        };
        let Some(rule) = self.config.volumes[volume].rules.iter().find(applies) else {
            return;
        };
        index.by_id.insert(command, self.commands.len());
        if !write {
            index
                .reads
                .entry((volume, group_number))
                .or_default()
                .push(self.commands.len());
        }
        self.commands.push(Command {
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
            shown: Vec::new(),
            attempts: Vec::new(),
        });
    }

    fn command_answered(&mut self, i: usize, answer: (Micros, u8), shown: &[Option<u64>]) {
        if self.commands[i].answered.is_some() {
            self.verdict.duplicated += 1;
            let line = format!(
                "at {} a second answer to {}",
                seconds(answer.0),
                self.commands[i].id
            );
            self.violation(Rule::OneAnswer, line);
        }
        self.commands[i].answered = Some(answer);
        self.commands[i].shown = shown.to_vec();
    }

    /// Assigns what a node received to its command, or holds it against the one-answer rule.
    fn node_received(&mut self, index: &mut CommandIndex, entry: &TraceEntry) {
        let TraceEvent::NodeReceived {
            node,
            connection,
            task,
            lun,
            write,
            lba: node_lba,
            blocks,
            group_number,
            ref write_ids,
            host,
            first_lba,
        } = entry.event
        else {
            return;
        };
        let at = seconds(entry.at);
        self.verdict.attempts += 1;
        let located = self.volume_block(node, lun, node_lba);
        if located.is_none() && lun > 0 {
            // A clone's, or in a layer that no volume is read by any more.
            return;
        }
        let Some((volume, lba)) = located else {
            let line = format!("at {at} node{node} got blocks of no volume");
            return self.violation(Rule::OneAnswer, line);
        };
        if first_lba.is_some_and(|first| write && first != lba) {
            let line = format!("at {at} node{node} got block {first_lba:?} as {lba}");
            self.violation(Rule::OneAnswer, line);
        }
        let covers = |i: &usize| self.commands[*i].contains(volume, lba, blocks);
        let found = if write {
            index.write(write_ids)
        } else {
            index.reads_of(volume, group_number).rev().find(covers)
        };
        let Some(i) = found.filter(|i| covers(i) && self.commands[*i].host == host) else {
            let line = format!("at {at} node{node} got from gw{host} what nobody asked");
            return self.violation(Rule::OneAnswer, line);
        };
        let open = AttemptIndex {
            command: i,
            attempt: self.commands[i].attempts.len(),
        };
        index.open.insert(
            TaskId {
                node,
                connection,
                task,
            },
            open,
        );
        let attempt = Attempt {
            at: entry.at,
            node,
            lba,
            blocks,
            answered: None,
            cut_off: None,
        };
        self.commands[i].attempts.push(attempt);
    }

    /// The volume and its block that a node's block belongs to.
    fn volume_block(&self, node: u32, lun: u32, lba: u64) -> Option<(usize, u64)> {
        if lun > 0 && self.layout.extent > 0 {
            let (slot, offset) = (lba / self.layout.extent, lba % self.layout.extent);
            let (volume, extent) = self.layout.locations.get(&(lun, node, slot))?;
            return Some((*volume, extent * self.layout.extent + offset));
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

    fn violation(&mut self, rule: Rule, line: String) {
        self.verdict.violation(rule, line);
    }
}

impl Verdict {
    /// Counts commands by I/O class and by how they came out.
    pub(super) fn count(
        &mut self,
        config: &mallowseam_settings::GatewayConfig,
        commands: &[Command],
    ) {
        use super::verdict::{ClassCount, CommandOutcome};
        let class = |c: &config::IoClass| ClassCount {
            name: c.name.clone(),
            ..ClassCount::default()
        };
        self.classes = config.io_classes.iter().map(class).collect();
        for command in commands {
            let objective = config.io_classes[command.io_class].latency_objective;
            let (volume, io_class, sent_at) = (command.volume, command.io_class, command.sent_at);
            let in_time = command
                .completed_at()
                .is_some_and(|at| at - sent_at <= objective);
            self.outcomes.push(CommandOutcome {
                volume,
                io_class,
                sent_at,
                in_time,
            });
            let count = &mut self.classes[io_class];
            count.sent += 1;
            match command.answered {
                Some((at, status::GOOD)) => {
                    count.completed += 1;
                    count.latencies.push(at - sent_at);
                    count.in_time += u64::from(in_time);
                }
                Some((_, code)) if is_shed(code) => count.shed += 1,
                Some(_) => count.failed += 1,
                None => count.abandoned += 1,
            }
        }
        let sum = |of: fn(&ClassCount) -> u64| self.classes.iter().map(of).sum::<u64>();
        (self.completed, self.shed, self.failed) =
            (sum(|c| c.completed), sum(|c| c.shed), sum(|c| c.failed));
        self.abandoned = sum(|c| c.abandoned) - self.unanswered;
        self.accepted = self.completed + self.shed + self.failed + self.unanswered;
        for class in &mut self.classes {
            class.latencies.sort_unstable();
        }
    }
}
