//! Rules 6 and 7: retry budgets and volume limits. Too many retries or units could go unreported, or the use of the
//! whole budget or burst could be reported.
use crate::record::valid_record;
use mallowseam_audit::rehearsal::EffectiveLimit;
use mallowseam_audit::rehearsal::Layout;
use mallowseam_audit::trace::Micros;
use mallowseam_iscsi::scsi::status;

#[test]
fn retries_beyond_the_budget_are_reported() {
    for (n, expected) in [(1, vec![]), (3, vec![6])] {
        let mut run = valid_record();
        for op in 10..10 + n {
            run.send(100, op, false, 8);
            let task = run.node_receives(101, op);
            run.node_answers(102, 0, task, status::CHECK_CONDITION);
            let task = run.node_receives(103, op);
            run.node_answers(104, 0, task, status::GOOD)
                .answer(105, op, status::GOOD, Some(0));
        }
        assert_eq!(run.violated_rules(), expected, "{n} retries");
    }
}

#[test]
fn excess_over_a_volume_limit_is_reported() {
    for (n, expected) in [(6, vec![]), (7, vec![7])] {
        let mut run = valid_record();
        for op in 0..n {
            run.complete_command(100, 10 + op, false, 1, 8, 0);
        }
        assert_eq!(run.violated_rules(), expected, "{n} units");
    }
}

#[test]
fn lower_limit_is_checked_once_all_hosts_apply_it() {
    // Six units at 100 ms: the old limit has a burst of four and tolerates two more units. The new limit has a burst of
    // two, and all hosts apply it from `applied_at` on.
    for (applied_at, expected) in [(Micros::MAX, 0), (150_000, 0), (50_000, 1)] {
        let mut run = valid_record();
        for op in 0..6 {
            run.complete_command(100, 10 + op, false, 1, 8, 0);
        }
        let window = |from, until, burst| EffectiveLimit {
            from,
            until,
            limit: 2.0,
            burst,
        };
        let limits = vec![window(0, applied_at, 4.0), window(20_000, Micros::MAX, 2.0)];
        let limits = [("basic".to_owned(), limits)].into();
        let verdict = run.judge_with(&Layout {
            limits,
            ..Layout::default()
        });
        assert_eq!(
            verdict.violations[6].len(),
            expected,
            "all hosts apply the new limit at {applied_at}: {:?}",
            verdict.violations[6]
        );
    }
}
