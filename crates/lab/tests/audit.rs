//! The audit catches each broken rule in a doctored trace, and finds nothing in the sound one.
use mallowseam_iscsi::scsi::status;
use mallowseam_lab::audit::{EffectiveLimit, Layout, Verdict, judge};
use mallowseam_lab::node::Model;
use mallowseam_lab::trace::{Micros, TraceEntry, TraceEvent};
use mallowseam_settings::GatewayConfig;

const SITE: &str = "
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

const MS: Micros = 1_000;

/// A run, written down step by step.
#[derive(Default)]
struct Run {
    seen: Vec<TraceEntry>,
    asked: Vec<(u64, bool, u64, u32, u8)>,
    tasks: u32,
}

impl Run {
    fn note(&mut self, at: Micros, event: TraceEvent) -> &mut Self {
        self.seen.push(TraceEntry { at: at * MS, event });
        self
    }

    /// Command `op` of volume 0, eight blocks at `lba`.
    fn ask(&mut self, at: Micros, op: u64, write: bool, lba: u64) -> &mut Self {
        self.ask_of(at, op, write, 0, lba)
    }

    fn ask_of(&mut self, at: Micros, op: u64, write: bool, volume: u32, lba: u64) -> &mut Self {
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

    /// The node of the command's volume gets it; the number of that submit.
    fn got(&mut self, at: Micros, op: u64) -> u32 {
        let (_, write, lba, volume, group_number) = *self.asked.iter().find(|a| a.0 == op).expect("asked");
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

    fn said(&mut self, at: Micros, node: u32, task: u32, code: u8) -> &mut Self {
        self.note(at, TraceEvent::NodeAnswered { node, connection: 1, task, status: code })
    }

    fn answer(&mut self, at: Micros, op: u64, code: u8, shows: Option<u64>) -> &mut Self {
        let write = self.asked.iter().find(|a| a.0 == op).expect("asked").1;
        let read = if write || code != status::GOOD { vec![] } else { vec![shows; 8] };
        self.note(at, TraceEvent::CommandAnswered { command: op, status: code, read })
    }

    /// A command from asking to its end, in ten milliseconds.
    fn whole(&mut self, at: Micros, op: u64, write: bool, volume: u32, lba: u64, shows: u64) -> &mut Self {
        self.ask_of(at, op, write, volume, lba);
        let task = self.got(at + 1, op);
        self.said(at + 9, volume, task, status::GOOD).answer(at + 10, op, status::GOOD, Some(shows))
    }

    fn judge(&self) -> Verdict {
        self.judge_with(&Layout::default())
    }

    fn judge_with(&self, places: &Layout) -> Verdict {
        let site: GatewayConfig = mallowseam_settings::parse("site", SITE).expect("sound");
        let model = Model {
            cores: 1,
            unit_work: 100_000.0,
            unit_bytes: 4096,
            queue: 8,
            cold_from: 0.25,
            cold_span: 4_000_000,
            fall_multiple: 2.0,
            fall_span: 1_000_000,
            cold_bears: 2.0,
        };
        let mut seen = self.seen.clone();
        seen.sort_by_key(|s| s.at);
        judge(&site, &model, &seen, places)
    }

    /// Which rules the audit holds broken; 8 stands for wrong bytes.
    fn broken(&self) -> Vec<usize> {
        let v = self.judge();
        let mut rules: Vec<usize> = (1..=7).filter(|r| !v.violations[r - 1].is_empty()).collect();
        rules.extend((!v.wrong_data.is_empty()).then_some(8));
        rules
    }
}

fn sound() -> Run {
    let mut run = Run::default();
    run.whole(0, 1, true, 0, 0, 0).whole(20, 2, false, 0, 0, 1).whole(40, 3, true, 0, 0, 0);
    run.whole(60, 4, false, 0, 0, 3);
    run
}

#[test]
fn a_sound_run_keeps_all_rules() {
    let run = sound();
    assert!(run.broken().is_empty(), "{:?}", run.judge());
    let line = "rules kept: 7 of 7; taken 4, ended 4, shed 0, failed 0, unanswered 0, doubled 0";
    assert_eq!(run.judge().to_string(), line);
}

#[test]
fn a_command_without_an_answer_is_caught_and_one_left_by_its_client_is_not() {
    let mut run = sound();
    run.ask(100, 5, false, 8);
    assert_eq!((run.broken(), run.judge().unanswered), (vec![1], 1));
    run.note(150, TraceEvent::CommandAbandoned { command: 5 });
    assert!(run.broken().is_empty(), "{:?}", run.judge());
}

#[test]
fn what_a_killed_host_held_is_no_longer_its_duty() {
    let mut run = sound();
    run.ask(100, 5, false, 8).note(300, TraceEvent::HostDown { host: 0 });
    assert!(run.broken().is_empty(), "{:?}", run.judge());
}

#[test]
fn an_answer_past_the_hard_limit_is_caught() {
    let mut run = sound();
    run.ask(100, 5, false, 8);
    let task = run.got(101, 5);
    run.said(1_390, 0, task, status::GOOD).answer(1_400, 5, status::GOOD, Some(0));
    assert_eq!(run.broken(), [1]);
}

#[test]
fn a_second_answer_is_caught() {
    let mut run = sound();
    run.answer(70, 4, status::GOOD, Some(3));
    assert_eq!((run.broken(), run.judge().duplicated), (vec![1], 1));
    let mut run = sound();
    run.note(70, TraceEvent::UnexpectedAnswer { client: 0 });
    assert_eq!((run.broken(), run.judge().duplicated), (vec![1], 1));
}

#[test]
fn work_sent_after_the_answer_is_caught() {
    let mut run = sound();
    run.got(600, 4);
    assert_eq!(run.broken(), [1]);
}

#[test]
fn work_that_nobody_asked_for_is_caught() {
    let mut run = sound();
    run.ask(100, 5, false, 8).note(105, TraceEvent::CommandAbandoned { command: 5 });
    run.asked[4].4 = 30;
    run.got(110, 5);
    assert_eq!(run.broken(), [1]);
}

#[test]
fn a_post_sent_again_after_it_may_have_run_is_caught_and_after_a_full_queue_is_not() {
    let mut run = sound();
    run.ask(100, 5, true, 8);
    let task = run.got(101, 5);
    run.said(102, 0, task, status::TASK_SET_FULL);
    let task = run.got(150, 5);
    run.said(160, 0, task, status::GOOD).answer(161, 5, status::GOOD, None);
    assert!(run.broken().is_empty(), "{:?}", run.judge());
    run.got(155, 5);
    assert_eq!((run.broken(), run.judge().duplicated), (vec![2], 1));
}

#[test]
fn a_post_shed_after_it_may_have_run_is_caught_and_a_failed_one_is_not() {
    for (code, broken) in [(status::BUSY, vec![2]), (status::CHECK_CONDITION, vec![])] {
        let mut run = sound();
        run.ask(100, 5, true, 8);
        run.got(101, 5);
        run.answer(900, 5, code, None);
        assert_eq!(run.broken(), broken);
    }
}

#[test]
fn work_for_a_closed_node_is_caught_once_the_grace_is_over() {
    for (at, broken) in [(400, vec![]), (700, vec![3])] {
        let mut run = sound();
        run.note(100, TraceEvent::HostNotified { host: 0, node: 0, active: false });
        run.note(120, TraceEvent::HostNotified { host: 1, node: 0, active: true });
        run.whole(at, 5, false, 0, 8, 0);
        assert_eq!(run.broken(), broken, "at {at}");
        run.note(at - 50, TraceEvent::HostNotified { host: 0, node: 0, active: true });
        assert!(run.broken().is_empty(), "{:?}", run.judge());
    }
}

#[test]
fn a_cold_node_sent_more_than_it_bears_is_caught() {
    for (n, broken) in [(5, vec![]), (7, vec![4])] {
        let mut run = sound();
        run.note(90, TraceEvent::NodeUp { node: 0 });
        for op in 0..n {
            run.whole(100 + op, 10 + op, false, 0, 8, 0);
        }
        assert_eq!(run.broken(), broken, "{n} units");
    }
    let mut run = sound();
    run.note(90, TraceEvent::NodeOverloaded { node: 1 });
    assert_eq!(run.broken(), [4]);
}

#[test]
fn posts_of_one_account_that_overlap_or_change_places_are_caught() {
    let mut run = sound();
    run.ask(100, 5, true, 8).ask(101, 6, true, 8);
    let five = run.got(110, 5);
    let six = run.got(115, 6);
    run.said(120, 0, five, status::GOOD).said(125, 0, six, status::GOOD);
    run.answer(130, 5, status::GOOD, None).answer(131, 6, status::GOOD, None);
    assert_eq!(run.broken(), [5]);

    let mut run = sound();
    run.ask(100, 5, true, 8).ask(101, 6, true, 8);
    for (at, op) in [(110, 6), (130, 5)] {
        let task = run.got(at, op);
        run.said(at + 5, 0, task, status::GOOD).answer(at + 6, op, status::GOOD, None);
    }
    assert_eq!(run.broken(), [5]);
}

#[test]
fn a_key_that_does_not_rest_after_a_submit_is_cut_off_is_caught() {
    for (next, broken) in [(1_010, vec![5]), (1_210, vec![])] {
        let cuts = [
            TraceEvent::NodeAborted { node: 0, connection: 1, task: 5 },
            TraceEvent::ConnectionClosed { node: 0, connection: 1 },
        ];
        for cut in cuts {
            let mut run = sound();
            run.ask(100, 5, true, 8).ask(101, 6, true, 8);
            assert_eq!(run.got(110, 5), 5);
            run.note(1_000, cut).answer(1_001, 5, status::CHECK_CONDITION, None);
            let task = run.got(next, 6);
            run.said(next + 5, 0, task, status::GOOD).answer(next + 6, 6, status::GOOD, None);
            assert_eq!(run.broken(), broken, "at {next}");
        }
    }
}

#[test]
fn further_submits_past_the_budget_are_caught() {
    for (n, broken) in [(1, vec![]), (3, vec![6])] {
        let mut run = sound();
        for op in 10..10 + n {
            run.ask(100, op, false, 8);
            let task = run.got(101, op);
            run.said(102, 0, task, status::CHECK_CONDITION);
            let task = run.got(103, op);
            run.said(104, 0, task, status::GOOD).answer(105, op, status::GOOD, Some(0));
        }
        assert_eq!(run.broken(), broken, "{n} further");
    }
}

#[test]
fn a_limit_passed_by_all_hosts_together_is_caught() {
    for (n, broken) in [(6, vec![]), (7, vec![7])] {
        let mut run = sound();
        for op in 0..n {
            run.whole(100, 10 + op, false, 1, 8, 0);
        }
        assert_eq!(run.broken(), broken, "{n} units");
    }
}

#[test]
fn a_limit_passed_after_a_lower_one_is_in_force_is_caught_and_before_that_is_not() {
    // Six units at 100 ms, where four may be saved up and two are slack; then two at once, from 50 ms on or later.
    for (in_force, broken) in [(Micros::MAX, 0), (150_000, 0), (50_000, 1)] {
        let mut run = sound();
        for op in 0..6 {
            run.whole(100, 10 + op, false, 1, 8, 0);
        }
        let window = |from, until, burst| EffectiveLimit { from, until, limit: 2.0, burst };
        let limits = vec![window(0, in_force, 4.0), window(20_000, Micros::MAX, 2.0)];
        let limits = [("basic".to_owned(), limits)].into();
        let verdict = run.judge_with(&Layout { limits, ..Layout::default() });
        assert_eq!(
            verdict.violations[6].len(),
            broken,
            "in force at {in_force}: {:?}",
            verdict.violations[6]
        );
    }
}

#[test]
fn bytes_that_were_not_last_written_there_are_caught() {
    // Altered bytes, a write that was overwritten, one lost, one from elsewhere.
    for shows in [None, Some(1), Some(0), Some(9)] {
        let mut run = sound();
        run.ask(100, 5, false, 0);
        let task = run.got(101, 5);
        run.said(102, 0, task, status::GOOD).answer(103, 5, status::GOOD, shows);
        assert_eq!(run.broken(), [8], "{shows:?}");
    }
}

#[test]
fn a_post_in_hand_may_show_or_not_and_a_shed_one_may_not() {
    for (code, shows, broken) in [
        (status::CHECK_CONDITION, 5, vec![]),
        (status::CHECK_CONDITION, 3, vec![]),
        (status::BUSY, 5, vec![8]),
        (status::BUSY, 3, vec![]),
    ] {
        let mut run = sound();
        run.ask(100, 5, true, 0).answer(110, 5, code, None);
        run.whole(200, 6, false, 0, 0, shows);
        assert_eq!(run.broken(), broken, "{code:#x} {shows}");
    }
}

impl Run {
    /// A snapshot of volume 0, asked for and granted at these times; what its first eight blocks show.
    fn kept(&mut self, asked: Micros, granted: Micros, shows: [u64; 8]) -> &mut Self {
        let mut blocks = vec![Some(0); 64];
        for (block, id) in blocks.iter_mut().zip(shows) {
            *block = Some(id);
        }
        let kept = TraceEvent::SnapshotRead { volume: 0, name: "s".into(), requested_at: asked * MS, blocks };
        self.note(granted, kept)
    }

    fn inexact(&self) -> bool {
        !self.judge().inexact.is_empty()
    }
}

#[test]
fn a_snapshot_that_lacks_an_acknowledged_write_or_holds_a_later_one_is_caught() {
    // Writes 1 and 3 end at 10 and 50.
    for (asked, granted, shows, inexact) in [
        (15, 18, 1, false),
        (15, 18, 0, true),
        (15, 18, 3, true),
        (51, 55, 1, true),
        (51, 55, 3, false),
        (41, 45, 1, false),
        (41, 45, 3, false),
    ] {
        let mut run = sound();
        run.kept(asked, granted, [shows; 8]);
        assert_eq!(run.inexact(), inexact, "asked at {asked}, shows {shows}: {:?}", run.judge().inexact);
    }
}

#[test]
fn a_snapshot_that_holds_half_of_a_write_or_a_shed_post_is_caught() {
    let mut run = sound();
    run.kept(41, 45, [3, 3, 3, 3, 1, 1, 1, 1]);
    assert!(run.inexact());
    let mut run = sound();
    run.ask(100, 5, true, 0).answer(110, 5, status::BUSY, None).kept(105, 120, [5; 8]);
    assert!(run.inexact());
}

#[test]
fn a_snapshot_that_holds_a_later_post_without_the_one_before_it_is_caught() {
    // Two posts of one account under way at the cut, in order: the first touches more blocks than the second.
    for (shows, inexact) in [([6, 6, 5, 5, 5, 5, 5, 5], false), ([6, 6, 3, 3, 3, 3, 3, 3], true)] {
        let mut run = sound();
        run.ask(100, 5, true, 0);
        let five = run.got(101, 5);
        run.said(102, 0, five, status::GOOD).answer(103, 5, status::GOOD, None);
        run.note(
            104,
            TraceEvent::CommandSent {
                command: 6,
                client: 0,
                host: 0,
                volume: 0,
                write: true,
                lba: 0,
                blocks: 2,
                group_number: 6,
            },
        );
        run.kept(104, 110, shows);
        run.note(120, TraceEvent::CommandAbandoned { command: 6 });
        assert_eq!(run.inexact(), inexact, "{:?}", run.judge().inexact);
    }
}
