//! Records of runs, written step by step.
use mallowseam_iscsi::scsi::status;
use mallowseam_lab::audit::Layout;
use mallowseam_lab::audit::Verdict;
use mallowseam_lab::audit::judge;
use mallowseam_lab::node::ServiceModel;
use mallowseam_lab::trace::Micros;
use mallowseam_lab::trace::TraceEntry;
use mallowseam_lab::trace::TraceEvent;
use mallowseam_settings::GatewayConfig;

pub(crate) const SITE: &str = "
host gw0
    listen 127.0.0.1:1
    target iqn.t
    node-list static
    window 8
    connections 8
    longest 1MiB
fleet
    hosts 2
    unit 4KiB
    mean-units 1
    largest-units 2
    submits 3
    order-rest 200ms
    cold 25% 4s 2 1s 2
    further 2 10% 10s
plan basic
    limit 2/s burst 4
plan free
group lookup
    effect idempotent
    goal 200ms
    hard-limit 1s
group post
    effect side-effecting
    goal 250ms
    hard-limit 2s
    ordered
volume a
    lun 0
    plan free
    blocks 64
    block-size 512B
    hosts 2
    extent 0 64 node0 at 0
    rule read lookup
    rule write post key 8
volume b
    lun 1
    plan basic
    blocks 64
    block-size 512B
    hosts 2
    extent 0 64 node1 at 0
    rule read lookup
    rule write post key 8
node node0
    address 127.0.0.1:2
    target iqn.n0
node node1
    address 127.0.0.1:3
    target iqn.n1
";

pub(crate) const MS: Micros = 1_000;

/// Builds the record of a run step by step; times are in milliseconds.
#[derive(Default)]
pub(crate) struct RecordBuilder {
    pub(crate) seen: Vec<TraceEntry>,
    pub(crate) asked: Vec<(u64, bool, u64, u32, u8)>,
    pub(crate) tasks: u32,
}

impl RecordBuilder {
    pub(crate) fn note(&mut self, at: Micros, event: TraceEvent) -> &mut Self {
        self.seen.push(TraceEntry { at: at * MS, event });
        self
    }

    /// Command `op` of volume 0, eight blocks at `lba`.
    pub(crate) fn send(&mut self, at: Micros, op: u64, write: bool, lba: u64) -> &mut Self {
        self.send_to(at, op, write, 0, lba)
    }

    pub(crate) fn send_to(
        &mut self,
        at: Micros,
        op: u64,
        write: bool,
        volume: u32,
        lba: u64,
    ) -> &mut Self {
        let group_number = (op % 32) as u8;
        self.asked.push((op, write, lba, volume, group_number));
        self.note(
            at,
            TraceEvent::CommandSent {
                command: op,
                client: 0,
                host: 0,
                volume,
                write,
                lba,
                blocks: 8,
                group_number,
            },
        )
    }

    /// The node of the command's volume receives it; the task tag of that attempt.
    pub(crate) fn node_receives(&mut self, at: Micros, op: u64) -> u32 {
        let (_, write, lba, volume, group_number) =
            *self.asked.iter().find(|a| a.0 == op).expect("asked");
        self.tasks += 1;
        let write_ids = if write { vec![op; 8] } else { vec![] };
        let task = self.tasks;
        let (node, connection, lun) = (volume, 1, 0);
        self.note(
            at,
            TraceEvent::NodeReceived {
                node,
                host: 0,
                connection,
                task,
                lun,
                write,
                lba,
                blocks: 8,
                group_number,
                write_ids,
                first_lba: None,
            },
        );
        task
    }

    pub(crate) fn node_answers(&mut self, at: Micros, node: u32, task: u32, code: u8) -> &mut Self {
        self.note(
            at,
            TraceEvent::NodeAnswered {
                node,
                connection: 1,
                task,
                status: code,
            },
        )
    }

    pub(crate) fn answer(
        &mut self,
        at: Micros,
        op: u64,
        code: u8,
        shows: Option<u64>,
    ) -> &mut Self {
        let write = self.asked.iter().find(|a| a.0 == op).expect("asked").1;
        let read = if write || code != status::GOOD {
            vec![]
        } else {
            vec![shows; 8]
        };
        self.note(
            at,
            TraceEvent::CommandAnswered {
                command: op,
                status: code,
                read,
            },
        )
    }

    /// A command that completes in ten milliseconds.
    pub(crate) fn complete_command(
        &mut self,
        at: Micros,
        op: u64,
        write: bool,
        volume: u32,
        lba: u64,
        shows: u64,
    ) -> &mut Self {
        self.send_to(at, op, write, volume, lba);
        let task = self.node_receives(at + 1, op);
        self.node_answers(at + 9, volume, task, status::GOOD)
            .answer(at + 10, op, status::GOOD, Some(shows))
    }

    pub(crate) fn judge(&self) -> Verdict {
        self.judge_with(&Layout::default())
    }

    pub(crate) fn judge_with(&self, places: &Layout) -> Verdict {
        let site: GatewayConfig = mallowseam_settings::parse("site", SITE).expect("sound");
        let model = ServiceModel {
            cores: 1,
            unit_work: 100_000.0,
            unit_bytes: 4096,
            queue: 8,
            initial_speed: 0.25,
            warm_up: 4_000_000,
            overload_factor: 2.0,
            overload_window: 1_000_000,
            tolerated_units: 2.0,
        };
        let mut seen = self.seen.clone();
        seen.sort_by_key(|s| s.at);
        judge(&site, &model, &seen, places)
    }

    /// Numbers of the violated rules; 8 means wrong data.
    pub(crate) fn violated_rules(&self) -> Vec<usize> {
        let v = self.judge();
        let mut rules: Vec<usize> = (1..=7)
            .filter(|r| !v.violations[r - 1].is_empty())
            .collect();
        rules.extend((!v.wrong_data.is_empty()).then_some(8));
        rules
    }
}

pub(crate) fn sound_record() -> RecordBuilder {
    let mut run = RecordBuilder::default();
    run.complete_command(0, 1, true, 0, 0, 0)
        .complete_command(20, 2, false, 0, 0, 1)
        .complete_command(40, 3, true, 0, 0, 0);
    run.complete_command(60, 4, false, 0, 0, 3);
    run
}

impl RecordBuilder {
    /// A snapshot of volume 0 with the times of its request and grant, and what its first eight blocks show.
    pub(crate) fn snapshot(
        &mut self,
        asked: Micros,
        granted: Micros,
        shows: [u64; 8],
    ) -> &mut Self {
        let mut blocks = vec![Some(0); 64];
        for (block, id) in blocks.iter_mut().zip(shows) {
            *block = Some(id);
        }
        let kept = TraceEvent::SnapshotRead {
            volume: 0,
            name: "s".into(),
            requested_at: asked * MS,
            blocks,
        };
        self.note(granted, kept)
    }

    pub(crate) fn inexact(&self) -> bool {
        !self.judge().inexact.is_empty()
    }
}
