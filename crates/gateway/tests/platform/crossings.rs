//! Clients, nodes and connections where two events cross: each crossing is forced. The peer holds one side until the
//! other has happened, or the host stands still until both wait for it.
use crate::stand::{self, Answer, Client, Node, Rig, until};
use socket2::SockRef;
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// Hard limits and connects that last for longer than any story.
fn patient(config: String) -> String {
    let config = config.replace("\"deadline_us\": 1000000", "\"deadline_us\": 60000000");
    let config = config.replace("\"aim_us\": 300000", "\"aim_us\": 30000000");
    config.replace("\"connect_timeout_us\": 250000", "\"connect_timeout_us\": 60000000")
}

/// How a client leaves.
const WAYS: [fn(Client); 4] = [
    drop,
    |client| {
        client.socket.shutdown(Shutdown::Write).expect("open");
        std::mem::forget(client);
    },
    // A reset.
    |client| SockRef::from(&client.socket).set_linger(Some(Duration::ZERO)).expect("open"),
    |mut client| client.send("GET /behind HTTP/1.1\r\n"),
];

#[test]
fn a_submit_that_waits_for_its_connection_is_taken_back_when_its_client_leaves() {
    for cancel in ["\"cancel\": true", "\"cancel\": false"] {
        let change = |config: String, _: &str| patient(config).replace("\"cancel\": true", cancel);
        let rig = Rig::of(vec![Node::shut().filled()], change);
        let node = &rig.nodes[0];
        for (n, leave) in WAYS.into_iter().enumerate() {
            let mut client = rig.client();
            client.send(&stand::read_text(&format!("gone{n}"), 0, 50_000));
            until("its submit waits for a connection", || node.waiting() == 1);
            leave(client);
            until("it is taken back", || node.waiting() == 0);
        }
        node.open();
        let mut next = rig.client();
        next.send(&stand::read_text("next", 0, 50_000));
        assert_eq!(next.answer(), Some((200, "made for next".into())));
        assert!(node.seen().iter().all(|s| s.id == "next"), "nothing of those who left");
    }
}

#[test]
fn a_submit_that_waited_for_its_connection_tells_its_node_what_is_left_of_its_time() {
    let rig = Rig::of(vec![Node::shut().filled()], |config, _| patient(config));
    let node = &rig.nodes[0];
    let mut client = rig.client();
    let from = Instant::now();
    client.send(&stand::read_text("r", 0, 50_000));
    until("it waits for a connection", || node.waiting() == 1);
    until("some time has gone", || from.elapsed() > Duration::from_millis(400));
    node.open();
    assert_eq!(client.answer(), Some((200, "made for r".into())));
    let told = node.seen()[0].wait;
    assert!(told <= 50_000 - 400 && told > 30_000, "{told} ms of 50 s, 0.4 s after they began");
}

#[test]
fn a_drain_takes_back_a_submit_that_waits_for_its_connection() {
    let rig = Rig::of(vec![Node::shut().filled(), Node::new()], |config, _| patient(config));
    let mut client = rig.client();
    client.send(&stand::read_text("r", 0, 50_000));
    until("it waits for a connection", || rig.nodes[0].waiting() == 1);
    until("the watch stands", || rig.discovery.watchers() > 0);
    let entry = |n: usize, health: &str| rig.nodes[n].entry(&format!("s-{n}"), 0, health);
    rig.discovery.tell(&format!("{},{}", entry(0, "draining"), entry(1, "ready")));
    assert_eq!(client.answer(), Some((200, "made for r".into())), "the next one serves it");
    assert_eq!(rig.nodes[0].waiting(), 0);
}

#[test]
fn a_client_that_leaves_as_its_submit_is_turned_away_gets_no_further_one() {
    let rig = Rig::new(1);
    rig.nodes[0].next(Answer::Held);
    let busy = "HTTP/1.1 503 X\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
    let mut client = rig.client();
    client.send(&stand::read_text("r", 0, 900));
    until("it is at the node", || rig.nodes[0].seen().len() == 1);
    rig.stop();
    drop(client);
    rig.nodes[0].push(0, busy);
    rig.go_on();
    assert_eq!(rig.client().read("next", 0).0, 200);
    rig.nodes[0].release();
    // Found in one round, the further submit may have begun; it is given up with its client, and none follows.
    until("its connections are closed", || rig.nodes[0].closed() >= 1);
    assert!(rig.nodes[0].seen().iter().filter(|s| s.id == "r").count() <= 2);
}

#[test]
fn nothing_is_sent_for_clients_that_came_asked_and_left_before_the_host_looked() {
    let rig = Rig::new(1);
    // Connections to its node stand idle: what is sent on them goes at once.
    (0..4).for_each(|n| assert_eq!(rig.client().read(&format!("ahead{n}"), 0).0, 200));
    rig.stop();
    for n in 0..100 {
        let mut client = rig.client();
        client.send(&stand::read_text(&format!("gone{n}"), 0, 5_000));
        WAYS[n % WAYS.len()](client);
    }
    rig.go_on();
    assert_eq!(rig.client().read("behind", 0).0, 200);
    let seen: Vec<String> = rig.nodes[0].seen().into_iter().map(|s| s.id).collect();
    assert!(seen.iter().all(|id| !id.starts_with("gone")), "{seen:?}");
}

#[test]
fn a_crowd_that_comes_while_the_host_stands_still_is_not_put_off_by_a_second() {
    let rig = Rig::with(1, |config, _| config.replace("\"sockets\":256", "\"sockets\":2048"));
    rig.stop();
    // A call that is dropped is tried again by the system no sooner than a second later.
    let crowd: Vec<_> = (0..400)
        .map(|_| TcpStream::connect_timeout(&rig.at(), Duration::from_millis(900)).expect("it is queued"))
        .collect();
    rig.go_on();
    assert_eq!(rig.client().read("behind", 0).0, 200);
    drop(crowd);
}

/// More clients than a round has turns for, all let in and looked at well before their time is up, and when the last
/// of them was.
fn crowd(rig: &Rig, says: impl Fn(usize) -> String) -> (Vec<Client>, Instant) {
    for _ in 0..20 {
        let start = Instant::now();
        let mut crowd: Vec<Client> = (0..120).map(|_| rig.client()).collect();
        crowd.iter_mut().enumerate().for_each(|(n, client)| client.send(&says(n)));
        // Clients come in their order: with the last one served, all before it have been looked at.
        let served = rig.client().try_read(&format!("last{}", rig.serial()), 0).is_some();
        if served && start.elapsed() < Duration::from_millis(1_000) {
            return (crowd, Instant::now());
        }
    }
    panic!("a crowd is never let in at once");
}

#[test]
fn what_is_held_for_clients_that_have_left_is_not_sent_once_its_node_has_room() {
    let rig = Rig::with(1, |config, _| patient(config));
    let node = &rig.nodes[0];
    (0..40).for_each(|_| node.next(Answer::Held));
    let mut crowd: Vec<Client> = (0..20).map(|_| rig.client()).collect();
    for (n, client) in crowd.iter_mut().enumerate() {
        client.send(&stand::read_text(&format!("r{n}"), 0, 50_000));
    }
    until("all are taken", || rig.client().read("r19", 0).0 == 409);
    // They leave as the node makes room, and the host finds both in one round.
    until("the host stands still with nothing half sent", || {
        rig.stop();
        let settled = node.seen().len() == node.established();
        if !settled {
            rig.go_on();
        }
        settled
    });
    let out: Vec<String> = node.seen().iter().map(|s| s.id.clone()).collect();
    assert!(!out.is_empty() && out.len() < 20, "some are held: {out:?}");
    for n in (0..20).rev().filter(|n| !out.contains(&format!("r{n}"))) {
        drop(crowd.remove(n));
    }
    node.release();
    until("the node has answered", || node.answered() == out.len());
    rig.go_on();
    for client in &mut crowd {
        assert_eq!(client.answer().map(|a| a.0), Some(200));
    }
    let mut next = rig.client();
    next.send(&stand::read_text("next", 0, 50_000));
    assert_eq!(next.answer(), Some((200, "made for next".into())));
    let seen: Vec<String> = node.seen().into_iter().map(|s| s.id).filter(|id| id != "next").collect();
    assert_eq!(seen, out, "nothing of those who left");
}

#[test]
fn requests_that_stand_in_silent_connections_when_their_time_is_up_are_answered() {
    let rig = Rig::with(1, |config, _| config.replace("\"sockets\":256", "\"sockets\":2048"));
    let (mut crowd, let_in) = crowd(&rig, |_| String::new());
    rig.stop();
    for (n, client) in crowd.iter_mut().enumerate() {
        client.send(&stand::read_text(&format!("r{n}"), 0, 5_000));
    }
    until("their time to say something is over", || let_in.elapsed() > Duration::from_millis(2_100));
    rig.go_on();
    for client in &mut crowd {
        assert!(matches!(client.answer(), Some((200 | 503, _))));
    }
}

#[test]
fn half_a_request_whose_rest_stands_in_the_socket_when_its_time_is_up_is_taken() {
    let rig = Rig::with(1, |config, _| config.replace("\"sockets\":256", "\"sockets\":2048"));
    let text = |n: usize| stand::read_text(&format!("r{n}"), 0, 5_000);
    let (mut crowd, let_in) = crowd(&rig, |n| text(n)[..60].to_owned());
    rig.stop();
    crowd.iter_mut().enumerate().for_each(|(n, client)| client.send(&text(n)[60..]));
    until("their time is over", || let_in.elapsed() > Duration::from_millis(2_100));
    rig.go_on();
    for client in &mut crowd {
        assert!(matches!(client.answer(), Some((200 | 503, _))));
    }
}

#[test]
fn what_a_node_says_ahead_of_a_request_is_no_answer_to_it() {
    let rig = Rig::of(vec![Node::shut().filled()], |config, _| patient(config));
    let node = &rig.nodes[0];
    node.greets("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
    let mut client = rig.client();
    client.send(&stand::read_text("r", 0, 50_000));
    until("it waits for a connection", || node.waiting() == 1);
    let waiter = node.waiters().remove(0);
    rig.stop();
    node.open();
    // What it says stands in the host's socket before the host has looked.
    until("the node has spoken to the host", || node.has_spoken_to(&waiter));
    node.greets("");
    rig.go_on();
    let (status, body) = client.answer().expect("an answer");
    assert!(status == 200 && body == "made for r" || status == 503, "{status} {body}");
}

#[test]
fn a_second_answer_that_crosses_the_next_request_on_an_idle_connection_is_not_taken_for_its_answer() {
    let rig = Rig::new(1);
    let mut client = rig.client();
    for n in 0..10 {
        assert_eq!(client.read(&format!("a{n}"), 0).0, 200);
        rig.stop();
        let last = rig.nodes[0].seen().last().expect("seen").connection;
        rig.nodes[0].push(last, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
        client.send(&stand::read_text(&format!("b{n}"), 0, 900));
        rig.go_on();
        assert_eq!(client.answer(), Some((200, format!("made for b{n}"))));
    }
}

#[test]
fn a_node_that_closes_idle_connections_as_a_write_comes_in_gets_it_once_on_a_new_one() {
    let rig = Rig::new(1);
    let mut client = rig.client();
    for n in 0..10 {
        assert_eq!(client.read(&format!("a{n}"), 0).0, 200);
        rig.stop();
        rig.nodes[0].hang_up();
        client.send(&stand::write_text(&format!("b{n}"), 0, "x", 1_900));
        rig.go_on();
        assert_eq!(client.answer(), Some((200, format!("made for b{n}"))));
    }
    let seen = rig.nodes[0].seen();
    assert!((0..10).all(|n| seen.iter().filter(|s| s.id == format!("b{n}")).count() == 1));
}

/// Two groups of which one may be repeated within its cell only.
fn marked(config: String) -> String {
    let marked =
        "\"repeat\": \"deduplicated\", \"key_scope\": \"cell\", \"key_ttl_us\": 20000000, \"worth\": 3.0}]";
    config.replace("\"repeat\": \"at_most_once\", \"worth\": 3.0}]", marked)
}

#[test]
fn a_new_object_that_may_have_run_in_a_cell_is_repeated_there_or_answered_at_once() {
    let nodes: Vec<Node> = (0..4).map(|_| Node::new()).collect();
    let all: Vec<String> =
        nodes.iter().enumerate().map(|(n, node)| node.entry(&format!("s-{n}"), n as u32, "ready")).collect();
    let rig = Rig::of(nodes, |config, entry| {
        let config = config.replace("\"aim_us\": 300000", "\"aim_us\": 1500000");
        marked(config).replace(&format!("[{entry}]"), &format!("[{}]", all.join(",")))
    });
    let mut client = rig.client();
    for n in 0..20 {
        rig.nodes.iter().for_each(|node| node.next(Answer::Break));
        let start = Instant::now();
        let text = stand::write_text(&format!("w{n}"), 0, "x", 1_900).replace("shard=0", "shard=-1");
        client.send(&text);
        let (status, _) = client.answer().expect("an answer");
        let ran: Vec<usize> = (0..4)
            .flat_map(|at| {
                let seen = rig.nodes[at].seen();
                let count = seen.iter().filter(|s| s.id == format!("w{n}")).count();
                std::iter::repeat_n(at, count)
            })
            .collect();
        assert!(ran.windows(2).all(|w| w[0] == w[1]), "it ran in cells {ran:?}");
        assert!(
            status == 200 || start.elapsed() < Duration::from_millis(700),
            "{status} {:?}",
            start.elapsed()
        );
        // What was set and not used is taken by others.
        rig.nodes.iter().for_each(Node::forget);
    }
}
