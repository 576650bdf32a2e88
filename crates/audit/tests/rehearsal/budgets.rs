//! Rules 6 and 7: retry budgets and limits.
use crate::record::sound_record;
use mallowseam_audit::rehearsal::EffectiveLimit;
use mallowseam_audit::rehearsal::Layout;
use mallowseam_audit::trace::Micros;
use mallowseam_iscsi::scsi::status;

#[test]
fn retries_beyond_the_budget_are_reported() {
    for (n, broken) in [(1, vec![]), (3, vec![6])] {
        let mut run = sound_record();
        for op in 10..10 + n {
            run.send(100, op, false, 8);
            let task = run.node_receives(101, op);
            run.node_answers(102, 0, task, status::CHECK_CONDITION);
            let task = run.node_receives(103, op);
            run.node_answers(104, 0, task, status::GOOD)
                .answer(105, op, status::GOOD, Some(0));
        }
        assert_eq!(run.violated_rules(), broken, "{n} further");
    }
}

#[test]
fn limit_exceeded_by_all_hosts_together_is_reported() {
    for (n, broken) in [(6, vec![]), (7, vec![7])] {
        let mut run = sound_record();
        for op in 0..n {
            run.complete_command(100, 10 + op, false, 1, 8, 0);
        }
        assert_eq!(run.violated_rules(), broken, "{n} units");
    }
}

#[test]
fn lower_limit_counts_once_all_hosts_apply_it() {
    // Six units at 100 ms, where the token bucket holds four and two are tolerance; then two at once, from 50 ms on or later.
    for (in_force, broken) in [(Micros::MAX, 0), (150_000, 0), (50_000, 1)] {
        let mut run = sound_record();
        for op in 0..6 {
            run.complete_command(100, 10 + op, false, 1, 8, 0);
        }
        let window = |from, until, burst| EffectiveLimit {
            from,
            until,
            limit: 2.0,
            burst,
        };
        let limits = vec![window(0, in_force, 4.0), window(20_000, Micros::MAX, 2.0)];
        let limits = [("basic".to_owned(), limits)].into();
        let verdict = run.judge_with(&Layout {
            limits,
            ..Layout::default()
        });
        assert_eq!(
            verdict.violations[6].len(),
            broken,
            "in force at {in_force}: {:?}",
            verdict.violations[6]
        );
    }
}
