//! The node list where two events cross: each crossing is forced, by a service that waits for the other one.
use crate::service::{HEAD, Service, chunk, line};
use crate::stand::{Node, Rig, until};
use nix::sys::signal::Signal;
use std::time::{Duration, Instant};

/// A host before this list service; all nodes are known, each with the shard of its own number.
fn rig(service: &Service, nodes: usize, change: impl Fn(String) -> String) -> Rig {
    let nodes: Vec<Node> = (0..nodes).map(|_| Node::new()).collect();
    let all = entries(&nodes, "ready");
    Rig::of(nodes, |config, entry| {
        change(moved(&config, service).replace(&format!("[{entry}]"), &format!("[{all}]")))
    })
}

/// A host and a list service whose watch stands: all nodes are told of, as version 50.
fn watched(nodes: usize) -> (Service, Rig) {
    let service = Service::new();
    let rig = rig(&service, nodes, |config| config);
    service.say(0, HEAD);
    service.line(0, 50, true, &entries(&rig.nodes, "ready"));
    (service, rig)
}

/// The configuration with another list service.
fn moved(config: &str, service: &Service) -> String {
    let from = config.find("\"discovery\":\"").expect("a field") + "\"discovery\":\"".len();
    let to = from + config[from..].find('"').expect("its end");
    format!("{}{}{}", &config[..from], service.at, &config[to..])
}

fn entry(nodes: &[Node], at: usize, health: &str) -> String {
    nodes[at].entry(&format!("s-{at}"), at as u32, health)
}

fn entries(nodes: &[Node], health: &str) -> String {
    (0..nodes.len()).map(|at| entry(nodes, at, health)).collect::<Vec<_>>().join(",")
}

/// Reads until a node's drain is obeyed: it alone has its shard, so whoever asks is turned away from then on.
fn obeys_the_drain(rig: &Rig, at: usize) {
    let mut client = rig.client();
    let mut read = || client.read(&format!("d{}", rig.serial()), at as u32).0;
    until("the node is closed", || read() == 503);
    let before = rig.nodes[at].seen().len();
    assert!((0..20).all(|_| read() == 503), "and stays so");
    assert_eq!(rig.nodes[at].seen().len(), before);
}

/// Answers the call of this number, and whichever comes in its place should this story be slower than a host waits,
/// with the drain of a node, and reads until it is obeyed.
fn tells_of_a_drain(rig: &Rig, service: &Service, call: usize, at: usize) {
    let (mut client, mut next) = (rig.client(), call);
    service.called(call);
    until("the node is closed", || {
        while next < service.calls() {
            service.say(next, HEAD);
            service.line(next, 51, false, &entry(&rig.nodes, at, "draining"));
            next += 1;
        }
        client.read(&format!("t{}", rig.serial()), at as u32).0 == 503
    });
    obeys_the_drain(rig, at);
}

/// All nodes serve.
fn serves(rig: &Rig) {
    let mut client = rig.client();
    for at in 0..rig.nodes.len() {
        until("it serves", || client.read(&format!("s{}", rig.serial()), at as u32).0 == 200);
    }
}

#[test]
fn another_service_is_asked_for_its_whole_list_whatever_the_old_one_counted() {
    let (old, new) = (Service::new(), Service::new());
    let rig = rig(&old, 2, |config| config);
    old.say(0, HEAD);
    old.line(0, 50, true, &entries(&rig.nodes, "ready"));
    // The old service's last word crosses the move; its versions mean nothing to the new one.
    rig.write_config(&moved(&rig.config(&rig.discovery), &new));
    rig.signal(Signal::SIGHUP);
    old.line(0, 51, false, &entry(&rig.nodes, 1, "ready"));
    assert!(!new.called(0).contains("since"), "{}", new.called(0));
    new.say(0, HEAD);
    new.line(0, 5, true, &entries(&rig.nodes, "ready"));
    new.line(0, 6, false, &entry(&rig.nodes, 0, "draining"));
    obeys_the_drain(&rig, 0);
    until("the old call has ended", || old.standing() == 0);
}

#[test]
fn the_old_watch_that_ends_behind_a_move_does_not_put_off_the_call_to_the_new_service() {
    let (old, new) = (Service::new(), Service::new());
    // Three hundred hosts spread their calls over as long as the rule on drains lets them wait, 4 s here.
    let many = |config: String| {
        let config = config.replace("\"balancers\": 1", "\"balancers\": 300");
        config.replace("\"ask_within_us\": 10000000", "\"ask_within_us\": 5000000")
    };
    for seed in ["1", "2", "3"] {
        let rig = rig(&old, 1, |config| many(config).replace("8c1f30d27a5be964", seed));
        let first = old.calls();
        old.say(first, HEAD);
        old.line(first, 50, true, &entries(&rig.nodes, "ready"));
        rig.write_config(&many(moved(&rig.config(&rig.discovery), &new)));
        let before = new.calls();
        rig.signal(Signal::SIGHUP);
        let told = Instant::now();
        old.end(first);
        new.called(before);
        assert!(told.elapsed() < Duration::from_millis(2_500), "seed {seed}: {:?}", told.elapsed());
    }
}

#[test]
fn one_of_many_hosts_whose_calls_fail_calls_again_in_time_to_hear_within_six_seconds_of_the_return() {
    let service = Service::new();
    let rig = rig(&service, 1, |config| config.replace("\"balancers\": 1", "\"balancers\": 300"));
    service.say(0, HEAD);
    service.line(0, 50, true, &entries(&rig.nodes, "ready"));
    service.end(0);
    // Busy or away: whoever calls just before its return must call again early enough to be answered.
    for call in 1..=2 {
        let from = Instant::now();
        service.called(call);
        assert!(from.elapsed() < Duration::from_millis(4_800), "call {call}: {:?}", from.elapsed());
        service.say(call, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
    }
    service.called(3);
    tells_of_a_drain(&rig, &service, 3, 0);
}

#[test]
fn a_service_that_counts_anew_from_below_is_asked_for_its_whole_list() {
    let (service, rig) = watched(2);
    serves(&rig);
    service.end(0);
    // Started anew, it counts from 5, and has nothing that came after 50.
    assert!(service.called(1).contains("since=50"), "{}", service.called(1));
    service.say(1, HEAD);
    service.line(1, 5, false, "");
    assert!(!service.called(2).contains("since"), "{}", service.called(2));
    service.say(2, HEAD);
    service.line(
        2,
        5,
        true,
        &format!("{},{}", entry(&rig.nodes, 0, "draining"), entry(&rig.nodes, 1, "ready")),
    );
    obeys_the_drain(&rig, 0);
}

#[test]
fn a_repeated_old_change_neither_opens_a_drained_node_nor_ends_the_watch() {
    let (service, rig) = watched(2);
    service.line(0, 51, false, &entry(&rig.nodes, 0, "draining"));
    obeys_the_drain(&rig, 0);
    service.line(0, 51, false, &entry(&rig.nodes, 0, "ready"));
    service.line(0, 52, false, &entry(&rig.nodes, 1, "draining"));
    obeys_the_drain(&rig, 1);
    obeys_the_drain(&rig, 0);
    assert_eq!((service.calls(), service.standing()), (1, 1));
}

#[test]
fn a_watch_answered_by_a_list_of_a_length_has_ended_with_it_and_is_opened_anew() {
    let service = Service::new();
    let rig = rig(&service, 2, |config| config);
    let list = line(50, true, &entries(&rig.nodes, "ready"));
    service.say(0, &format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()));
    assert!(service.called(1).contains("since=50"));
    tells_of_a_drain(&rig, &service, 1, 0);
}

#[test]
fn a_line_without_end_is_no_sign_of_life() {
    let (service, rig) = watched(2);
    // Bytes keep coming, and never a whole line.
    until("it calls anew", || {
        service.say(0, &chunk(" "));
        service.calls() > 1
    });
    tells_of_a_drain(&rig, &service, 1, 0);
}

#[test]
fn a_host_whose_watch_has_fallen_silent_is_never_without_a_call_that_could_hear() {
    let (service, rig) = watched(2);
    // The service takes calls and says nothing. Each call but one is seen to come beside one that stands.
    until("it has called several times", || {
        assert!(service.standing() > 0, "nobody could hear after {} calls", service.calls());
        service.calls() > 3
    });
    assert!(service.standing() <= 2, "{} calls at once", service.standing());
    // The first word on the last one is heard, and takes over.
    tells_of_a_drain(&rig, &service, service.calls() - 1, 0);
    until("one call stands", || service.standing() == 1);
}

#[test]
fn what_a_silent_watch_still_says_is_heard_until_the_next_has_spoken_and_not_after() {
    let (service, rig) = watched(2);
    // With its head the call has longer than this story takes until its first line.
    service.say(1, HEAD);
    service.line(0, 51, false, &entry(&rig.nodes, 0, "draining"));
    obeys_the_drain(&rig, 0);
    service.line(1, 52, false, &entry(&rig.nodes, 1, "draining"));
    until("the silent one has ended", || service.standing() == 1);
    obeys_the_drain(&rig, 1);
    assert_eq!(service.calls(), 2);
}

#[test]
fn a_drain_is_obeyed_that_stands_in_a_line_with_an_entry_that_cannot_be_read() {
    let (service, rig) = watched(2);
    serves(&rig);
    let drain = entry(&rig.nodes, 0, "draining");
    let unread = entry(&rig.nodes, 1, "ready").replace("\"block\":1", "\"block\":\"none\"");
    service.line(0, 51, false, &format!("{drain},{unread}"));
    obeys_the_drain(&rig, 0);
    // Nothing else of the line counts: what came after 50 is asked for again.
    assert!(service.called(1).contains("since=50"), "{}", service.called(1));
}

#[test]
fn an_indented_list_in_pieces_is_read_as_one_line_is() {
    let service = Service::new();
    let rig = rig(&service, 2, |config| config);
    let indented = |text: &str| text.replace(',', ",\n    ").replace('{', "{\n  ");
    service.say(0, HEAD);
    let whole = indented(&line(50, true, &entries(&rig.nodes, "ready")));
    service.say(0, &chunk(&whole[..whole.len() / 2]));
    service.say(0, &chunk(&whole[whole.len() / 2..]));
    service.say(0, &chunk("\n"));
    service.say(0, &chunk(&indented(&line(51, false, &entry(&rig.nodes, 0, "draining")))));
    obeys_the_drain(&rig, 0);
    assert_eq!((service.calls(), service.standing()), (1, 1));
}

#[test]
fn a_line_cut_off_in_its_middle_changes_nothing_and_is_asked_for_again() {
    let (service, rig) = watched(2);
    let drain = line(51, false, &entry(&rig.nodes, 0, "draining"));
    service.say(0, &chunk(&drain[..drain.len() / 2]));
    service.end(0);
    assert!(service.called(1).contains("since=50"));
    serves(&rig);
    service.say(1, HEAD);
    service.say(1, &chunk(&drain));
    obeys_the_drain(&rig, 0);
}

#[test]
fn a_last_line_and_the_end_of_its_watch_found_in_one_round_are_both_heard() {
    let (service, rig) = watched(2);
    serves(&rig);
    rig.stop();
    service.line(0, 51, false, &entry(&rig.nodes, 0, "draining"));
    service.end(0);
    rig.go_on();
    assert!(service.called(1).contains("since=51"), "{}", service.called(1));
    obeys_the_drain(&rig, 0);
}

#[test]
fn a_drain_listed_while_a_watch_was_away_is_obeyed_with_the_next_ones_first_word() {
    let (service, rig) = watched(2);
    serves(&rig);
    service.end(0);
    service.called(1);
    tells_of_a_drain(&rig, &service, 1, 0);
}

#[test]
fn a_drain_that_stands_in_the_socket_is_heard_ahead_of_a_crowd_of_requests_found_with_it() {
    let service = Service::new();
    let rig = rig(&service, 2, |config| config.replace("\"sockets\":256", "\"sockets\":2048"));
    service.say(0, HEAD);
    service.line(0, 50, true, &entries(&rig.nodes, "ready"));
    serves(&rig);
    // More than a round takes in: the list's line is the last of them to come.
    let come = |n| {
        let mut client = rig.client();
        assert!(client.try_read(&format!("a{n}"), 1).is_some());
        client
    };
    let mut crowd: Vec<_> = (0..700).map(come).collect();
    rig.stop();
    let before = rig.nodes[0].seen().len();
    for (n, client) in crowd.iter_mut().enumerate() {
        client.send(&crate::stand::read_text(&format!("c{n}"), 0, 900));
    }
    service.line(0, 51, false, &entry(&rig.nodes, 0, "draining"));
    rig.go_on();
    crowd.iter_mut().for_each(|client| assert_eq!(client.answer().map(|a| a.0), Some(503)));
    assert_eq!(rig.nodes[0].seen().len(), before, "none went to the node that drains");
}

#[test]
fn a_node_replaced_under_its_address_serves_on_under_its_new_name() {
    let (service, rig) = watched(1);
    serves(&rig);
    let (gone, new) = (entry(&rig.nodes, 0, "gone"), rig.nodes[0].entry("s-9", 0, "ready"));
    rig.stop();
    rig.nodes[0].hang_up();
    service.line(0, 51, false, &format!("{gone},{new}"));
    let mut client = rig.client();
    client.send(&crate::stand::write_text("w", 0, "x", 1_900));
    rig.go_on();
    assert_eq!(client.answer(), Some((200, "made for w".into())));
    assert_eq!(rig.nodes[0].seen().iter().filter(|s| s.id == "w").count(), 1);
}
