//! Rules of the audit on constructed observations. The audit could miss a violation, or report one in a run without
//! any.
use mallowseam_audit::fleet::record::{Event, Observation, Termination};
use mallowseam_audit::fleet::{Rule, Run, check};

const MS: u64 = 1_000;
const RUN: Run = Run {
    hosts: 5,
    max_operation_units: 4,
    overload_window: 1_000 * MS,
};
const RULES: [Rule; 7] = [
    Rule::Responses,
    Rule::Effects,
    Rule::Drains,
    Rule::ColdNodes,
    Rule::WriteOrder,
    Rule::RetryBudget,
    Rule::VolumeLimits,
];

fn request_sent(op: u64, at: u64, write: bool) -> Observation {
    let event = Event::RequestSent {
        op,
        host: 0,
        volume: 1,
        extent: 7,
        write,
        units: 1,
        timeout: 1_000 * MS,
    };
    Observation { at: at * MS, event }
}

fn observed(at: u64, event: Event) -> Observation {
    Observation { at: at * MS, event }
}

fn node_received(op: u64, node: u32, at: u64, units: u32) -> Observation {
    observed(
        at,
        Event::NodeReceived {
            node,
            host: 0,
            op,
            units,
            write: true,
            sent_at: at * MS,
        },
    )
}

fn node_responded(op: u64, node: u32, at: u64) -> Observation {
    observed(
        at,
        Event::NodeResponded {
            node,
            op,
            executed: true,
        },
    )
}

fn response_received(op: u64, at: u64) -> Observation {
    observed(
        at,
        Event::ResponseReceived {
            op,
            status: 200,
            authentic: true,
        },
    )
}

/// Returns the rules that these observations violate.
fn violated(mut record: Vec<Observation>) -> Vec<Rule> {
    record.insert(0, observed(0, Event::HostStarted { host: 0 }));
    record.sort_by_key(|o| o.at);
    let verdict = check(RUN, &record, 0);
    RULES
        .into_iter()
        .filter(|rule| !verdict.violations[*rule as usize].is_empty())
        .collect()
}

#[test]
fn a_clean_run_violates_no_rule() {
    let good = vec![
        request_sent(1, 10, true),
        node_received(1, 0, 12, 1),
        node_responded(1, 0, 20),
        response_received(1, 21),
    ];
    assert_eq!(violated(good), []);
    let killed = vec![
        request_sent(1, 10, true),
        observed(
            30,
            Event::HostStopped {
                host: 0,
                by: Termination::Killed,
            },
        ),
        observed(31, Event::ConnectionLost { op: 1 }),
    ];
    assert_eq!(
        violated(killed),
        [],
        "a killed host need not have responded"
    );
}

/// Returns observations of a request that is sent at this time, in milliseconds, to a host that receives SIGTERM at 10
/// ms and SIGKILL at 1,200 ms.
fn request_before_a_kill(at: u64) -> Vec<Observation> {
    let stopped = |at, by| observed(at, Event::HostStopped { host: 0, by });
    vec![
        stopped(10, Termination::Requested),
        request_sent(1, at, true),
        stopped(1_200, Termination::Killed),
        observed(1_201, Event::ConnectionLost { op: 1 }),
    ]
}

#[test]
fn requests_sent_after_the_shutdown_grace_need_a_response_before_the_kill() {
    assert_eq!(violated(request_before_a_kill(700)), []);
    assert_eq!(violated(request_before_a_kill(720)), [Rule::Responses]);
}

#[test]
fn requests_without_one_timely_authentic_response_violate_the_rule_on_responses() {
    assert_eq!(
        violated(vec![
            request_sent(1, 10, false),
            observed(1_011, Event::ClientTimedOut { op: 1 })
        ]),
        [Rule::Responses],
        "no response"
    );
    let twice = vec![
        request_sent(1, 10, true),
        node_received(1, 0, 12, 1),
        node_responded(1, 0, 20),
        response_received(1, 21),
        response_received(1, 22),
    ];
    assert_eq!(violated(twice), [Rule::Responses], "two responses");
    let fabricated = vec![
        request_sent(1, 10, true),
        observed(
            11,
            Event::ResponseReceived {
                op: 1,
                status: 200,
                authentic: true,
            },
        ),
    ];
    assert_eq!(
        violated(fabricated),
        [Rule::Responses],
        "a success that no node produced"
    );
    let ended = vec![
        request_sent(1, 10, true),
        observed(
            30,
            Event::HostStopped {
                host: 0,
                by: Termination::Exited(0),
            },
        ),
        observed(31, Event::ConnectionLost { op: 1 }),
    ];
    assert_eq!(
        violated(ended),
        [Rule::Responses],
        "the host exited with a request in flight"
    );
}

/// Returns observations of a request that the host leaves unread when it closes the connection at this time, in
/// milliseconds, and that the client then sends again.
fn left_unread_at_close(at: u64) -> Vec<Observation> {
    vec![
        request_sent(1, 10, true),
        observed(at, Event::RequestUnread { op: 1 }),
        request_sent(1, at, true),
        node_received(1, 0, at + 2, 1),
        node_responded(1, 0, at + 8),
        response_received(1, at + 9),
    ]
}

#[test]
fn a_request_left_unread_at_the_close_of_an_idle_connection_may_be_sent_once_more() {
    assert_eq!(violated(left_unread_at_close(11)), []);
    let mut unanswered = left_unread_at_close(11);
    unanswered.truncate(3);
    unanswered.push(observed(13, Event::ConnectionLost { op: 1 }));
    assert_eq!(
        violated(unanswered),
        [Rule::Responses],
        "the resent request has no response"
    );
    assert_eq!(
        violated(left_unread_at_close(300)),
        [Rule::Responses],
        "the host left the request unread for too long"
    );
}

#[test]
fn a_forwarded_request_does_not_count_as_left_unread() {
    let mut forwarded = left_unread_at_close(20);
    forwarded.insert(1, node_received(1, 0, 12, 1));
    forwarded.insert(
        2,
        observed(13, Event::NodeConnectionLost { node: 0, op: 1 }),
    );
    assert!(violated(forwarded.clone()).contains(&Rule::Responses));
    forwarded.truncate(4);
    assert_eq!(
        violated(forwarded),
        [Rule::Responses],
        "a forwarded request that is not sent again"
    );
}

#[test]
fn a_write_that_may_be_executed_twice_violates_the_rule_on_effects() {
    let repeated = vec![
        request_sent(1, 10, true),
        node_received(1, 0, 12, 1),
        observed(20, Event::NodeConnectionLost { node: 0, op: 1 }),
        node_received(1, 1, 90, 1),
        node_responded(1, 1, 99),
        response_received(1, 100),
    ];
    assert_eq!(
        violated(repeated),
        [Rule::Effects],
        "a write that may have been executed was sent again"
    );
}

fn notified(at: u64, accepting: bool, version: u64) -> Observation {
    observed(
        at,
        Event::EndpointSent {
            host: 0,
            node: 0,
            accepting,
            version,
            started_at: 0,
        },
    )
}

/// Returns observations of a write that the node serves at this time, in milliseconds.
fn served_write(at: u64) -> Vec<Observation> {
    vec![
        request_sent(1, at - 1, true),
        node_received(1, 0, at, 1),
        node_responded(1, 0, at + 1),
        response_received(1, at + 2),
    ]
}

/// Returns observations of a write that a node serves at this time, in milliseconds, after the host was notified at 5
/// ms that the node is draining.
fn served_while_draining(at: u64) -> Vec<Observation> {
    let mut observations = served_write(at);
    observations.insert(0, notified(5, false, 5));
    observations
}

/// Returns observations of a write that a draining node serves. The notification cannot be sent to the host, which
/// counts as notified from `effective_at` on. Times are in milliseconds.
fn served_while_undeliverable(effective_at: u64, at: u64) -> Vec<Observation> {
    let effective_at = effective_at * MS;
    let event = Event::EndpointUndeliverable {
        host: 0,
        node: 0,
        accepting: false,
        version: 7,
        effective_at,
    };
    let mut observations = served_write(at);
    observations.insert(0, observed(300, event));
    observations
}

#[test]
fn attempts_to_a_draining_node_violate_the_rule_on_drains_past_the_grace_time() {
    assert_eq!(violated(served_while_draining(400)), []);
    assert_eq!(
        violated(served_while_draining(900)),
        [Rule::Drains],
        "past the grace time"
    );
    let mut reopened = served_while_draining(900);
    reopened.push(notified(800, true, 5));
    assert_eq!(violated(reopened), []);
}

/// Sets the time at which the host had sent the first byte of each attempt, in milliseconds.
fn set_sent_at(observations: &mut [Observation], at: u64) {
    for observation in observations {
        if let Event::NodeReceived { sent_at, .. } = &mut observation.event {
            *sent_at = at * MS;
        }
    }
}

/// A link that is cut delivers an attempt when it is restored, possibly long after the node began to drain.
#[test]
fn an_attempt_counts_for_the_rule_on_drains_from_its_first_byte() {
    let mut delayed = served_while_draining(900);
    set_sent_at(&mut delayed, 400);
    assert_eq!(violated(delayed), [], "sent within the grace time");
    let mut late = served_while_draining(900);
    set_sent_at(&mut late, 800);
    assert_eq!(
        violated(late),
        [Rule::Drains],
        "sent past the grace time and delivered later"
    );
}

#[test]
fn a_host_that_counts_as_notified_is_held_to_the_rule_on_drains() {
    assert_eq!(violated(served_while_undeliverable(900, 1_000)), []);
    assert_eq!(
        violated(served_while_undeliverable(900, 1_500)),
        [Rule::Drains],
        "the host counts as notified"
    );
    let mut received = served_while_undeliverable(900, 1_500);
    received.push(notified(600, true, 8));
    assert_eq!(violated(received), [], "a newer entry was sent in time");
}

#[test]
fn a_collapse_under_informed_hosts_violates_the_rule_on_cold_nodes() {
    let started_at = 2 * MS;
    let mut collapsed = vec![
        observed(2, Event::NodeStarted { node: 0 }),
        observed(
            3,
            Event::EndpointSent {
                host: 0,
                node: 0,
                accepting: true,
                version: 6,
                started_at,
            },
        ),
    ];
    for op in 0..20 {
        collapsed.extend([
            request_sent(op, 100 + op, true),
            node_received(op, 0, 101 + op, 4),
            observed(140, Event::NodeConnectionLost { node: 0, op }),
        ]);
        collapsed.extend([observed(
            150,
            Event::ResponseReceived {
                op,
                status: 500,
                authentic: false,
            },
        )]);
    }
    collapsed.push(observed(140, Event::NodeCollapsed { node: 0 }));
    let rules = violated(collapsed.clone());
    assert!(rules.contains(&Rule::ColdNodes), "{rules:?}");
    collapsed.retain(|o| !matches!(o.event, Event::EndpointSent { .. }));
    assert!(
        !violated(collapsed).contains(&Rule::ColdNodes),
        "a collapse under hosts that did not know of the start is no violation"
    );
}

#[test]
fn two_writes_of_one_key_in_flight_violate_the_rule_on_write_order() {
    let overlapping = vec![
        request_sent(1, 10, true),
        request_sent(2, 100, true),
        node_received(1, 0, 101, 1),
        node_received(2, 0, 102, 1),
        node_responded(1, 0, 400),
        response_received(1, 401),
        node_responded(2, 0, 402),
        response_received(2, 403),
    ];
    assert_eq!(
        violated(overlapping),
        [Rule::WriteOrder],
        "two writes of one key in flight at once"
    );
}

#[test]
fn too_many_retries_violate_the_retry_budget() {
    let mut busy = Vec::new();
    for op in 0..8 {
        busy.extend([
            request_sent(op, 10 + op, false),
            node_received(op, 0, 20 + op, 1),
            observed(
                30 + op,
                Event::NodeResponded {
                    node: 0,
                    op,
                    executed: false,
                },
            ),
        ]);
        busy.extend([
            node_received(op, 1, 400 + op, 1),
            node_responded(op, 1, 500 + op),
            response_received(op, 501 + op),
        ]);
    }
    assert_eq!(
        violated(busy),
        [Rule::RetryBudget],
        "eight retries for eight admitted operations"
    );
}

#[test]
fn a_burst_beyond_the_token_bucket_violates_the_volume_limit() {
    let mut limited = Vec::new();
    for op in 0..12 {
        let event = Event::RequestSent {
            op,
            host: 0,
            volume: 3,
            extent: op,
            write: true,
            units: 4,
            timeout: 1_000 * MS,
        };
        limited.extend([
            observed(10, event),
            node_received(op, 0, 20, 4),
            node_responded(op, 0, 30),
            response_received(op, 31),
        ]);
    }
    assert_eq!(
        violated(limited),
        [Rule::VolumeLimits],
        "48 units at once exceed the burst of 24"
    );
}
