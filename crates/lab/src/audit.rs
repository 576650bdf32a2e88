//! Judges a run by what passed on the sockets of clients, nodes and the node list service: the seven rules
//! over all hosts, and that each byte read was one last written there. Knows nothing of the program's insides.
use crate::node::Model;
use crate::trace::{Micros, Seen, What};
use mallowseam_iscsi::scsi::status;
use mallowseam_settings::GatewayConfig;
use mallowseam_settings::config::{Direction, Idempotency};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// What the way and a busy machine may add between two sockets. The drains' own grace is the same quarter of
/// a second again.
pub const SLACK: Micros = 250_000;
const GRACE: Micros = 250_000;
/// Part by which a limit may be passed, or one of the largest block I/Os.
const LIMIT_SLACK: f64 = 0.1;
/// A node reads an abort and what is sent after the rest on the same connection: less noise lies between them.
const REST_SLACK: Micros = 150_000;
const EVIDENCE_MOST: usize = 5;

pub const RULES: [&str; 7] = [
    "one final answer",
    "no effect twice",
    "drains kept",
    "cold nodes not pushed over",
    "order kept",
    "budget kept",
    "limits kept",
];

/// One of a command's submits as a node saw it.
#[derive(Clone, Debug)]
struct Sub {
    at: Micros,
    node: u32,
    /// First block of the part, in the volume.
    lba: u64,
    blocks: u32,
    said: Option<(Micros, u8)>,
    /// When it was called off, or its connection closed: it may still run.
    cut: Option<Micros>,
}

#[derive(Clone, Debug)]
struct Op {
    id: u64,
    host: u32,
    volume: usize,
    write: bool,
    lba: u64,
    blocks: u32,
    group: usize,
    key: Option<u64>,
    asked: Micros,
    answered: Option<(Micros, u8)>,
    left: Option<Micros>,
    read: Vec<Option<u64>>,
    subs: Vec<Sub>,
}

impl Op {
    fn may_have_run(&self) -> impl Iterator<Item = &Sub> {
        let turned = |s: &Sub| matches!(s.said, Some((_, status::BUSY | status::TASK_SET_FULL)));
        self.subs.iter().filter(move |s| !turned(s))
    }

    fn good(&self) -> Option<Micros> {
        self.answered.filter(|a| a.1 == status::GOOD).map(|a| a.0)
    }
}

#[derive(Clone, Debug, Default)]
pub struct GroupCount {
    pub name: String,
    pub asked: u64,
    pub ended: u64,
    pub in_time: u64,
    pub shed: u64,
    pub failed: u64,
    pub left: u64,
    pub waits: Vec<Micros>,
}

#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Per rule, what shows that it was broken.
    pub broken: [Vec<String>; 7],
    /// Bytes that were not last written there.
    pub wrong: Vec<String>,
    pub taken: u64,
    pub ended: u64,
    pub shed: u64,
    pub failed: u64,
    pub unanswered: u64,
    pub doubled: u64,
    pub left: u64,
    pub submits: u64,
    pub further: u64,
    pub copies: u64,
    /// The furthest that any limit was passed, in parts of the slack that it is given.
    pub overshoot: f64,
    pub blocks_checked: u64,
    /// Snapshots read back, and what is wrong with them.
    pub snapshots: u64,
    pub inexact: Vec<String>,
    pub groups: Vec<GroupCount>,
    /// Each command, in the order in which they were asked.
    pub got: Vec<Got>,
}

/// How a command of a client came out.
#[derive(Clone, Copy, Debug)]
pub struct Got {
    pub volume: usize,
    pub group: usize,
    pub asked: Micros,
    /// Ended well within its goal.
    pub in_time: bool,
}

impl Verdict {
    pub fn kept(&self) -> bool {
        self.broken.iter().all(Vec::is_empty) && self.wrong.is_empty() && self.inexact.is_empty()
    }

    /// Snapshots with anything wrong in them.
    pub fn inexact_snapshots(&self) -> u64 {
        let mut names: Vec<&str> = self.inexact.iter().filter_map(|l| l.split(' ').next()).collect();
        names.dedup();
        names.len() as u64
    }

    /// Lines of evidence, a few for each rule.
    pub fn evidence(&self) -> Vec<String> {
        let mut out = broken_rules(&self.broken);
        out.extend(self.wrong.iter().take(EVIDENCE_MOST).map(|l| format!("bytes wrong: {l}")));
        out.extend(self.inexact.iter().take(EVIDENCE_MOST).map(|l| format!("snapshot: {l}")));
        out
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kept = self.broken.iter().filter(|b| b.is_empty()).count();
        write!(
            f,
            "rules kept: {kept} of 7; taken {}, ended {}, shed {}, failed {}, unanswered {}, doubled {}",
            self.taken, self.ended, self.shed, self.failed, self.unanswered, self.doubled
        )
    }
}

/// A few lines of evidence for each rule that was broken.
pub(crate) fn broken_rules(broken: &[Vec<String>; 7]) -> Vec<String> {
    let line = |rule: &str, l: &String| format!("broken: {rule}: {l}");
    let of = |(rule, lines): (_, &Vec<String>)| -> Vec<String> {
        lines.iter().take(EVIDENCE_MOST).map(|l| line(rule, l)).collect()
    };
    RULES.into_iter().zip(broken).flat_map(of).collect()
}

pub(crate) fn seconds(at: Micros) -> String {
    format!("{}.{:03} s", at / 1_000_000, at / 1000 % 1000)
}

/// A limit and its burst, from the moment at which it was asked for until all hosts acted on a later one.
#[derive(Clone, Copy, Debug)]
pub struct InForce {
    pub from: Micros,
    pub until: Micros,
    pub limit: f64,
    pub burst: f64,
}

/// Where the extents of mapped volumes lay: layer, node and place to volume and extent.
#[derive(Clone, Debug, Default)]
pub struct Places {
    /// Where limits changed: by plan, each figure that was in force.
    pub limits: BTreeMap<String, Vec<InForce>>,
    pub extent: u64,
    pub found: HashMap<(u32, u32, u64), (usize, u64)>,
}

/// Group number of copies and of what is read back at the end, which no client uses.
pub const COPY_MARK: u8 = 31;

/// Judges what was seen, in order of time, of a run with this site and these nodes.
pub fn judge(site: &GatewayConfig, model: &Model, seen: &[Seen], places: &Places) -> Verdict {
    let mut audit = Audit { site, model, places, verdict: Verdict::default(), ops: Vec::new() };
    audit.gather(seen);
    audit.answers(seen);
    audit.effects();
    audit.drains(seen);
    audit.cold(seen);
    audit.order();
    audit.budget();
    audit.limits();
    audit.bytes();
    audit.snapshots(seen);
    audit.count();
    audit.verdict
}

struct Audit<'a> {
    site: &'a GatewayConfig,
    model: &'a Model,
    places: &'a Places,
    verdict: Verdict,
    ops: Vec<Op>,
}

impl Audit<'_> {
    fn broken(&mut self, rule: usize, line: String) {
        self.verdict.broken[rule].push(line);
    }

    fn units(&self, blocks: u32) -> f64 {
        (u64::from(blocks) * crate::block::SIZE as u64).div_ceil(self.site.fleet.unit_bytes).max(1) as f64
    }

    /// Where a node's block belongs.
    fn volume_of(&self, node: u32, lun: u32, lba: u64) -> Option<(usize, u64)> {
        if lun > 0 && self.places.extent > 0 {
            let (number, rest) = (lba / self.places.extent, lba % self.places.extent);
            let (volume, extent) = self.places.found.get(&(lun, node, number))?;
            return Some((*volume, extent * self.places.extent + rest));
        }
        self.site.volumes.iter().enumerate().find_map(|(v, volume)| {
            let here = |e: &&mallowseam_settings::config::Extent| {
                e.node == node as usize
                    && (e.first_node_block..e.first_node_block + e.block_count).contains(&lba)
            };
            volume.extents.iter().find(here).map(|e| (v, e.first_block + lba - e.first_node_block))
        })
    }

    /// Puts together what belongs to each command.
    fn gather(&mut self, seen: &[Seen]) {
        let mut by_id: HashMap<u64, usize> = HashMap::new();
        let mut reads: HashMap<(usize, u8), Vec<usize>> = HashMap::new();
        let mut tasks: HashMap<(u32, u64, u32), (usize, usize)> = HashMap::new();
        for s in seen {
            match &s.what {
                What::Asked { op, host, volume, write, lba, blocks, mark, .. } => {
                    let direction = if *write { Direction::Write } else { Direction::Read };
                    let fits = |r: &&mallowseam_settings::config::Rule| {
                        (r.direction == direction || r.direction == Direction::Any)
                            && (r.first_block..=r.last_block).contains(lba)
                    };
                    let rule = self.site.volumes[*volume as usize].rules.iter().find(fits);
                    let Some(rule) = rule else { continue };
                    by_id.insert(*op, self.ops.len());
                    if !write {
                        reads.entry((*volume as usize, *mark)).or_default().push(self.ops.len());
                    }
                    self.ops.push(Op {
                        id: *op,
                        host: *host,
                        volume: *volume as usize,
                        write: *write,
                        lba: *lba,
                        blocks: *blocks,
                        group: rule.io_class,
                        key: lba.checked_div(rule.blocks_per_key),
                        asked: s.at,
                        answered: None,
                        left: None,
                        read: Vec::new(),
                        subs: Vec::new(),
                    });
                }
                What::Answered { op, status, read } => {
                    if let Some(i) = by_id.get(op) {
                        if self.ops[*i].answered.is_some() {
                            self.verdict.doubled += 1;
                            self.broken(0, format!("at {} a second answer to {op}", seconds(s.at)));
                        }
                        self.ops[*i].answered = Some((s.at, *status));
                        self.ops[*i].read.clone_from(read);
                    }
                }
                What::Left { op } => {
                    if let Some(i) = by_id.get(op) {
                        self.ops[*i].left = Some(s.at);
                    }
                }
                What::Stray { client } => {
                    self.verdict.doubled += 1;
                    self.broken(0, format!("at {} client {client} got an answer too many", seconds(s.at)));
                }
                What::Got { mark: COPY_MARK, .. } if self.places.extent > 0 => self.verdict.copies += 1,
                What::Got { node, line, task, lun, write, lba, blocks, mark, wrote, host, first } => {
                    self.verdict.submits += 1;
                    let found = self.volume_of(*node, *lun, *lba);
                    if found.is_none() && *lun > 0 {
                        // A clone's, or in a layer that no volume is read by any more.
                        continue;
                    }
                    let Some((volume, lba)) = found else {
                        self.broken(0, format!("at {} node{node} got blocks of no volume", seconds(s.at)));
                        continue;
                    };
                    if first.is_some_and(|f| *write && f != lba) {
                        let line = format!("at {} node{node} got block {first:?} as {lba}", seconds(s.at));
                        self.broken(0, line);
                    }
                    let within = |o: &Op| {
                        o.volume == volume
                            && o.lba <= lba
                            && lba + u64::from(*blocks) <= o.lba + u64::from(o.blocks)
                    };
                    let found = if *write {
                        wrote.first().and_then(|id| by_id.get(id)).copied()
                    } else {
                        let known = reads.get(&(volume, *mark));
                        known.and_then(|k| k.iter().rev().find(|i| within(&self.ops[**i])).copied())
                    };
                    let Some(i) = found.filter(|i| within(&self.ops[*i]) && self.ops[*i].host == *host)
                    else {
                        let line =
                            format!("at {} node{node} got from gw{host} what nobody asked", seconds(s.at));
                        self.broken(0, line);
                        continue;
                    };
                    tasks.insert((*node, *line, *task), (i, self.ops[i].subs.len()));
                    self.ops[i].subs.push(Sub {
                        at: s.at,
                        node: *node,
                        lba,
                        blocks: *blocks,
                        said: None,
                        cut: None,
                    });
                }
                What::Said { node, line, task, status } => {
                    if let Some((i, n)) = tasks.remove(&(*node, *line, *task)) {
                        self.ops[i].subs[n].said = Some((s.at, *status));
                    }
                }
                What::CalledOff { node, line, task } => {
                    if let Some((i, n)) = tasks.remove(&(*node, *line, *task)) {
                        self.ops[i].subs[n].cut = Some(s.at);
                    }
                }
                What::Closed { node, line } => {
                    tasks.retain(|k, (i, n)| {
                        let here = (k.0, k.1) == (*node, *line);
                        if here {
                            self.ops[*i].subs[*n].cut = Some(s.at);
                        }
                        !here
                    });
                }
                _ => {}
            }
        }
    }

    /// Rule 1: every command taken gets its one answer in time, and nothing is sent for it afterwards.
    fn answers(&mut self, seen: &[Seen]) {
        let mut downs: Vec<(u32, Micros)> = Vec::new();
        for s in seen {
            if let What::HostDown { host } = s.what {
                downs.push((host, s.at));
            }
        }
        for i in 0..self.ops.len() {
            let op = &self.ops[i];
            let limit = self.site.io_classes[op.group].deadline;
            let due = op.asked + limit + SLACK;
            let died = downs.iter().any(|d| d.0 == op.host && d.1 + SLACK >= op.asked && d.1 <= due);
            match op.answered {
                Some((at, _)) if at > due => {
                    let line = format!(
                        "{} asked at {} was answered {} ms past its hard limit",
                        op.id,
                        seconds(op.asked),
                        (at - op.asked - limit) / 1000
                    );
                    self.broken(0, line);
                }
                Some((at, _)) => {
                    if let Some(late) = op.subs.iter().find(|s| s.at > at + SLACK) {
                        let line = format!(
                            "node{} got {} at {}, answered at {}",
                            late.node,
                            op.id,
                            seconds(late.at),
                            seconds(at)
                        );
                        self.broken(0, line);
                    }
                }
                None if op.left.is_none() && !died => {
                    self.verdict.unanswered += 1;
                    let line =
                        format!("{} asked of gw{} at {} has no answer", op.id, op.host, seconds(op.asked));
                    self.broken(0, line);
                }
                None => {}
            }
        }
    }

    /// Rule 2: what has an effect is never sent again once it may have run, nor shed.
    fn effects(&mut self) {
        for i in 0..self.ops.len() {
            let op = &self.ops[i];
            if self.site.io_classes[op.group].idempotency != Idempotency::NonIdempotent {
                continue;
            }
            let mut parts: BTreeMap<u64, u32> = BTreeMap::new();
            op.may_have_run().for_each(|s| *parts.entry(s.lba).or_default() += 1);
            let shed = op.answered.is_some_and(|a| matches!(a.1, status::BUSY | status::TASK_SET_FULL));
            let (id, twice, ran) = (op.id, parts.values().any(|n| *n > 1), !parts.is_empty());
            if twice {
                self.verdict.doubled += 1;
                self.broken(1, format!("{id} was sent again after it may have run"));
            }
            if shed && ran {
                self.broken(1, format!("{id} was shed after it may have run"));
            }
        }
    }

    /// Rule 3: nothing new goes to a node that the host knows to be closed.
    fn drains(&mut self, seen: &[Seen]) {
        let mut closed: HashMap<(u32, u32), Micros> = HashMap::new();
        let mut lines = Vec::new();
        for s in seen {
            match s.what {
                What::Told { host, node, open: true } => drop(closed.remove(&(host, node))),
                What::Told { host, node, open: false } => {
                    closed.entry((host, node)).or_insert(s.at);
                }
                // A host that starts again knows what it kept, and is told anew.
                What::HostUp { host } => closed.retain(|k, _| k.0 != host),
                What::Got { host, node, .. } => {
                    if let Some(since) = closed.get(&(host, node)).filter(|t| s.at > **t + GRACE + SLACK) {
                        lines.push(format!(
                            "node{node} got work from gw{host} at {}, {} ms after that host was told",
                            seconds(s.at),
                            (s.at - since) / 1000
                        ));
                    }
                }
                _ => {}
            }
        }
        lines.into_iter().for_each(|l| self.broken(2, l));
    }

    /// Rule 4: no node falls over, and none is sent what would make it.
    fn cold(&mut self, seen: &[Seen]) {
        let mut up: HashMap<u32, Micros> = HashMap::new();
        let mut sent: HashMap<u32, Vec<(Micros, f64)>> = HashMap::new();
        let mut lines = Vec::new();
        for s in seen {
            match s.what {
                What::Up { node } => {
                    up.insert(node, s.at);
                    sent.remove(&node);
                }
                What::Down { node } => drop(up.remove(&node)),
                What::Fell { node } => lines.push(format!("node{node} fell over at {}", seconds(s.at))),
                What::Got { node, blocks, .. } => {
                    let Some(since) = up.get(&node) else { continue };
                    let age = s.at - since;
                    if age > self.model.cold_span {
                        continue;
                    }
                    let window = sent.entry(node).or_default();
                    window.push((s.at, self.units(blocks)));
                    window.retain(|w| w.0 + self.model.fall_span >= s.at);
                    let sum: f64 = window.iter().map(|w| w.1).sum();
                    if sum > self.model.bears(age) {
                        lines.push(format!(
                            "node{node} was sent {sum} units by {}, bears {:.1}",
                            seconds(s.at),
                            self.model.bears(age)
                        ));
                    }
                }
                _ => {}
            }
        }
        lines.into_iter().for_each(|l| self.broken(3, l));
    }

    /// Rule 5: block I/Os of a key run one at a time, in the order in which the host took them.
    fn order(&mut self) {
        let mut keys: BTreeMap<(u32, usize, u64), Vec<usize>> = BTreeMap::new();
        for (i, op) in self.ops.iter().enumerate() {
            if let (true, Some(key)) = (self.site.io_classes[op.group].ordered, op.key) {
                keys.entry((op.host, op.volume, key)).or_default().push(i);
            }
        }
        let rest = self.site.fleet.ordering_cooldown.saturating_sub(REST_SLACK);
        let mut lines = Vec::new();
        for ops in keys.values() {
            for (i, b) in ops.iter().enumerate() {
                let b = &self.ops[*b];
                let Some(first) = b.subs.iter().map(|s| s.at).min() else { continue };
                // Posts of one account are few: those before the last eight are long over.
                for a in &ops[i.saturating_sub(8)..i] {
                    let a = &self.ops[*a];
                    for sub in &a.subs {
                        if sub.at > first {
                            lines.push(format!("{} was sent at {} after {}", a.id, seconds(sub.at), b.id));
                        }
                        let over = match (sub.said, sub.cut) {
                            (Some((at, _)), _) => at,
                            (None, Some(at)) => at + rest,
                            (None, None) => Micros::MAX,
                        };
                        if over > first {
                            let (early, late) = (a.id, b.id);
                            lines.push(format!("{late} was sent at {} on top of {early}", seconds(first)));
                        }
                    }
                }
            }
        }
        lines.into_iter().for_each(|l| self.broken(4, l));
    }

    /// Rule 6: further submits of one host within any span.
    fn budget(&mut self) {
        let fleet = &self.site.fleet;
        let (free, part, span) =
            (fleet.retry_budget_min, fleet.retry_budget_ratio, fleet.retry_budget_window);
        let mut further: HashMap<u32, Vec<Micros>> = HashMap::new();
        let mut taken: HashMap<u32, Vec<Micros>> = HashMap::new();
        for op in &self.ops {
            taken.entry(op.host).or_default().push(op.asked);
            let mut parts: BTreeMap<u64, u32> = BTreeMap::new();
            for sub in &op.subs {
                let nth = parts.entry(sub.lba).or_default();
                *nth += 1;
                if *nth > 1 {
                    further.entry(op.host).or_default().push(sub.at);
                }
            }
        }
        self.verdict.further = further.values().map(|f| f.len() as u64).sum();
        if span == 0 {
            return;
        }
        for (host, mut sent) in further {
            sent.sort_unstable();
            let asked = taken.remove(&host).unwrap_or_default();
            for (i, end) in sent.iter().enumerate() {
                let count = sent[..=i].iter().filter(|t| **t + span >= *end + SLACK).count() as f64;
                let took =
                    asked.iter().filter(|t| **t + span + SLACK > *end && **t <= *end + SLACK).count() as f64;
                if count > free + part * took {
                    let line = format!(
                        "gw{host} sent {count} further submits by {}, {:.1} allowed",
                        seconds(*end),
                        free + part * took
                    );
                    self.broken(5, line);
                    break;
                }
            }
        }
    }

    /// Rule 7: what all hosts send for a limited volume, each block I/O counted when first sent.
    fn limits(&mut self) {
        for (v, volume) in self.site.volumes.iter().enumerate() {
            let plan = &self.site.plans[volume.plan];
            let always =
                [InForce { from: 0, until: Micros::MAX, limit: plan.rate_limit, burst: plan.burst_units }];
            let windows = self.places.limits.get(&plan.name).map_or(&always[..], Vec::as_slice);
            // Without a limit at some time, nothing can be said of what was saved up.
            if windows.iter().any(|w| w.limit <= 0.0) {
                continue;
            }
            let mut first: Vec<(Micros, f64)> = Vec::new();
            for op in self.ops.iter().filter(|o| o.volume == v) {
                let mut parts: BTreeMap<u64, &Sub> = BTreeMap::new();
                for sub in &op.subs {
                    parts.entry(sub.lba).or_insert(sub);
                }
                first.extend(parts.values().map(|sub| (sub.at, self.units(sub.blocks))));
            }
            first.sort_by_key(|f| f.0);
            let burst = windows.iter().map(|w| w.burst).fold(0.0, f64::max);
            let slack = (burst * LIMIT_SLACK).max(self.site.fleet.max_io_units);
            let (mut store, mut last) = (windows[0].burst, 0);
            for (at, units) in first {
                // The largest limit that any host may have acted on since the block I/O before.
                let may = |w: &&InForce| w.from <= at && w.until >= last;
                let most = |f: fn(&InForce) -> f64| windows.iter().filter(may).map(f).fold(0.0, f64::max);
                let rate = most(|w| w.limit) * (1.0 + LIMIT_SLACK) / 1e6;
                store = (store + (at - last) as f64 * rate).min(most(|w| w.burst)) - units;
                last = at;
                self.verdict.overshoot = self.verdict.overshoot.max(-store / slack);
                if store < -slack {
                    let line = format!(
                        "{} was sent {:.1} units past its limit by {}",
                        volume.name,
                        -store,
                        seconds(at)
                    );
                    self.broken(6, line);
                    break;
                }
            }
        }
    }

    /// The writes to each block of a volume, in the order in which they were asked for.
    fn written(&self) -> HashMap<(usize, u64), Vec<usize>> {
        let mut written: HashMap<(usize, u64), Vec<usize>> = HashMap::new();
        for (i, op) in self.ops.iter().enumerate().filter(|o| o.1.write) {
            for lba in op.lba..op.lba + u64::from(op.blocks) {
                written.entry((op.volume, lba)).or_default().push(i);
            }
        }
        written
    }

    /// Each byte read was one last written there.
    fn bytes(&mut self) {
        let written = self.written();
        let mut lines = Vec::new();
        let mut checked = 0;
        for read in self.ops.iter().filter(|o| !o.write) {
            let Some(end) = read.good() else { continue };
            if read.read.len() != read.blocks as usize {
                lines.push(format!("{} came back with {} blocks", read.id, read.read.len()));
            }
            for (n, shown) in read.read.iter().enumerate() {
                checked += 1;
                let lba = read.lba + n as u64;
                let all = written.get(&(read.volume, lba)).map_or(&[][..], Vec::as_slice);
                if let Some(why) = self.wrong(read, end, *shown, all) {
                    lines.push(format!(
                        "{} of {} block {lba} at {}: {why}",
                        read.id,
                        self.site.volumes[read.volume].name,
                        seconds(end)
                    ));
                }
            }
        }
        self.verdict.blocks_checked = checked;
        self.verdict.wrong = lines;
    }

    /// Why a block may not show this write, given all writes to it in the order they were asked for.
    fn wrong(&self, read: &Op, end: Micros, shown: Option<u64>, all: &[usize]) -> Option<String> {
        let Some(id) = shown else { return Some("bytes that no client wrote".into()) };
        // Over for good before the read began.
        let settled = |o: &&Op| o.good().is_some_and(|at| at < read.asked);
        if id == 0 {
            let lost = all.iter().map(|i| &self.ops[*i]).find(settled)?;
            return Some(format!("never written, though {} had ended", lost.id));
        }
        let Some(writer) = all.iter().map(|i| &self.ops[*i]).find(|o| o.id == id) else {
            return Some(format!("shows {id}, which did not write there"));
        };
        if writer.asked > end {
            return Some(format!("shows {id} before it was asked for"));
        }
        let group = &self.site.io_classes[writer.group];
        let shed = writer.answered.is_some_and(|a| matches!(a.1, status::BUSY | status::TASK_SET_FULL));
        if shed && group.idempotency == Idempotency::NonIdempotent {
            return Some(format!("shows {id}, which was shed"));
        }
        let over = writer.good();
        let later = |o: &&Op| {
            settled(o)
                && o.asked > writer.asked
                && (over.is_some_and(|at| at < o.asked) || over.is_some() && group.ordered)
        };
        let newer = all.iter().map(|i| &self.ops[*i]).find(later)?;
        Some(format!("shows {id}, though {} came after it and had ended", newer.id))
    }

    /// A snapshot shows every write that had ended before it was asked for, none that began after it was
    /// granted, and of each other write all of a part or none.
    fn snapshots(&mut self, seen: &[Seen]) {
        let written = self.written();
        let mut lines = Vec::new();
        let mut count = 0;
        for s in seen {
            let What::Kept { volume, name, asked, blocks } = &s.what else { continue };
            count += 1;
            let volume = *volume as usize;
            // As a read that began when it was asked for and ended when it was granted.
            let read = Op {
                id: 0,
                host: 0,
                volume,
                write: false,
                lba: 0,
                blocks: 0,
                group: 0,
                key: None,
                asked: *asked,
                answered: None,
                left: None,
                read: Vec::new(),
                subs: Vec::new(),
            };
            for (lba, shown) in (0u64..).zip(blocks) {
                let all = written.get(&(volume, lba)).map_or(&[][..], Vec::as_slice);
                if let Some(why) = self.wrong(&read, s.at, *shown, all) {
                    lines.push(format!("{name} block {lba}: {why}"));
                }
                // The rest of the same part must show the same write, or a later one.
                let Some(writer) =
                    shown.and_then(|id| all.iter().map(|i| &self.ops[*i]).find(|o| o.id == id))
                else {
                    continue;
                };
                for other in writer.lba..writer.lba + u64::from(writer.blocks) {
                    // Of a write that came to nothing each part counts for itself.
                    let extent = self.places.extent.max(1);
                    let apart = writer.good().is_none() && other / extent != lba / extent;
                    let shows = blocks.get(other as usize).copied().flatten().unwrap_or(0);
                    let later =
                        self.ops.iter().find(|o| o.id == shows).is_some_and(|o| o.asked >= writer.asked);
                    if !apart && !later {
                        lines.push(format!("{name} shows {} in block {lba} and not in {other}", writer.id));
                    }
                }
            }
        }
        self.verdict.snapshots = count;
        self.verdict.inexact = lines;
    }

    fn count(&mut self) {
        let v = &mut self.verdict;
        v.groups = self
            .site
            .io_classes
            .iter()
            .map(|g| GroupCount { name: g.name.clone(), ..GroupCount::default() })
            .collect();
        for op in &self.ops {
            let goal = self.site.io_classes[op.group].latency_objective;
            let in_time = op.good().is_some_and(|at| at - op.asked <= goal);
            v.got.push(Got { volume: op.volume, group: op.group, asked: op.asked, in_time });
            let group = &mut v.groups[op.group];
            group.asked += 1;
            match op.answered {
                Some((at, status::GOOD)) => {
                    group.ended += 1;
                    group.waits.push(at - op.asked);
                    group.in_time += u64::from(in_time);
                }
                Some((_, status::BUSY | status::TASK_SET_FULL)) => group.shed += 1,
                Some(_) => group.failed += 1,
                None => group.left += 1,
            }
        }
        let sum = |f: fn(&GroupCount) -> u64| v.groups.iter().map(f).sum::<u64>();
        (v.ended, v.shed, v.failed) = (sum(|g| g.ended), sum(|g| g.shed), sum(|g| g.failed));
        v.left = sum(|g| g.left) - v.unanswered;
        v.taken = v.ended + v.shed + v.failed + v.unanswered;
        for group in &mut v.groups {
            group.waits.sort_unstable();
        }
    }
}
