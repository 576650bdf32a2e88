//! Rules 3 and 4: draining nodes, and nodes in slow start. A late command for a draining node or an overload could go
//! unreported, or be reported within the grace time or the tolerance.
use crate::record::valid_record;
use mallowseam_audit::trace::TraceEvent;

#[test]
fn attempt_at_a_draining_node_is_reported_past_the_grace_time() {
    for (at, expected) in [(400, vec![]), (700, vec![3])] {
        let mut run = valid_record();
        run.add_event(
            100,
            TraceEvent::HostNotified {
                host: 0,
                node: 0,
                active: false,
            },
        );
        run.add_event(
            120,
            TraceEvent::HostNotified {
                host: 1,
                node: 0,
                active: true,
            },
        );
        run.complete_command(at, 5, false, 0, 8, 0);
        assert_eq!(run.violated_rules(), expected, "command at {at} ms");
        run.add_event(
            at - 50,
            TraceEvent::HostNotified {
                host: 0,
                node: 0,
                active: true,
            },
        );
        assert!(run.violated_rules().is_empty(), "{:?}", run.judge());
    }
}

#[test]
fn overload_of_a_node_in_slow_start_is_reported() {
    for (n, expected) in [(5, vec![]), (7, vec![4])] {
        let mut run = valid_record();
        run.add_event(90, TraceEvent::NodeUp { node: 0 });
        for op in 0..n {
            run.complete_command(100 + op, 10 + op, false, 0, 8, 0);
        }
        assert_eq!(run.violated_rules(), expected, "{n} units");
    }
    let mut run = valid_record();
    run.add_event(90, TraceEvent::NodeOverloaded { node: 1 });
    assert_eq!(run.violated_rules(), [4]);
}
