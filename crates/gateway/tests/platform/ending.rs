//! The end of a host where two events cross.
use crate::stand::{self, Answer, Client, Node, Rig, until};
use nix::sys::signal::Signal;
use std::time::{Duration, Instant};

/// The platform counts hard limits as 3 s at most: it may kill 3.7 s after SIGTERM.
const KILL: Duration = Duration::from_millis(3_700);

/// Hard limits far longer than what the platform counts, and goals as well.
fn long(config: String) -> String {
    let config = config.replace("\"deadline_us\": 2000000", "\"deadline_us\": 30000000");
    let config = config.replace("\"deadline_us\": 1000000", "\"deadline_us\": 30000000");
    config.replace("\"aim_us\": 300000", "\"aim_us\": 20000000")
}

#[test]
fn what_is_out_and_what_is_held_when_sigterm_comes_is_answered_before_the_kill() {
    let mut rig = Rig::with(1, |config, _| long(config));
    (0..40).for_each(|_| rig.nodes[0].next(Answer::Nothing));
    let mut out = rig.client();
    out.send(&stand::write_text("w", 0, "x", 25_000));
    until("it is at the node", || rig.nodes[0].seen().len() == 1);
    let mut held: Vec<Client> = (0..12).map(|_| rig.client()).collect();
    for (n, client) in held.iter_mut().enumerate() {
        client.send(&stand::read_text(&format!("r{n}"), 0, 25_000));
    }
    // The last of them has been taken, as another with its id is turned away.
    until("all are taken", || rig.client().read("r11", 0).0 == 409);
    rig.signal(Signal::SIGTERM);
    let told = Instant::now();
    assert_eq!(out.answer(), Some((500, String::new())), "it may have run");
    for client in &mut held {
        assert!(matches!(client.answer(), Some((500 | 503, _))));
    }
    assert!(told.elapsed() < KILL, "{:?}", told.elapsed());
    drop((out, held));
    assert_eq!(rig.ended(), Some(0));
    assert!(told.elapsed() < KILL, "{:?}", told.elapsed());
}

#[test]
fn requests_that_stand_in_sockets_when_the_host_closes_them_are_answered() {
    let mut rig = Rig::with(1, |config, _| config.replace("\"sockets\":256", "\"sockets\":2048"));
    let mut idle: Vec<Client> = (0..100).map(|_| rig.client()).collect();
    for (n, client) in idle.iter_mut().enumerate() {
        assert_eq!(client.read(&format!("a{n}"), 0).0, 200);
    }
    rig.signal(Signal::SIGINT);
    let told = Instant::now();
    assert_eq!(rig.client().read("on", 0).0, 200);
    rig.stop();
    // Past the time for which it lets in, on connections old and new.
    until("it would close them", || told.elapsed() > Duration::from_millis(800));
    let mut new: Vec<Client> = (0..100).map(|_| rig.client()).collect();
    for (n, client) in idle.iter_mut().chain(&mut new).enumerate() {
        client.send(&stand::read_text(&format!("b{n}"), 0, 5_000));
    }
    rig.go_on();
    for client in idle.iter_mut().chain(&mut new) {
        assert!(matches!(client.answer(), Some((200 | 503, _))));
        assert!(client.closes, "and that is the last one");
    }
    drop((idle, new));
    assert_eq!(rig.ended(), Some(0));
}

#[test]
fn signals_that_come_again_and_others_change_nothing_about_the_end() {
    let mut rig = Rig::new(1);
    rig.nodes[0].next(Answer::Held);
    let mut client = rig.client();
    client.send(&stand::write_text("w", 0, "x", 1_900));
    until("it is at the node", || rig.nodes[0].seen().len() == 1);
    rig.stop();
    for signal in [Signal::SIGTERM, Signal::SIGHUP, Signal::SIGTERM, Signal::SIGINT] {
        rig.signal(signal);
    }
    rig.go_on();
    assert_eq!(rig.client().read("on", 0).0, 200);
    rig.nodes[0].release();
    assert_eq!(client.answer(), Some((200, "made for w".into())));
    drop(client);
    assert_eq!(rig.ended(), Some(0));
}

#[test]
fn a_host_told_to_end_before_its_first_list_ends() {
    let mut rig =
        Rig::unready(vec![Node::new()], |config, entry| config.replace(&format!("[{entry}]"), "[]"));
    until("it listens", || std::net::TcpStream::connect(rig.at()).is_ok());
    rig.signal(Signal::SIGTERM);
    assert_eq!(rig.ended(), Some(0));
}

#[test]
fn an_answer_that_its_client_takes_late_reaches_it_whole_though_the_host_ends() {
    let mut rig = Rig::new(1);
    let long: String = (0..100_000).map(|n| format!("{n:08}")).collect();
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{long}", long.len());
    rig.nodes[0].next(Answer::Raw(text));
    let mut client = rig.client();
    client.send(&stand::read_text("r", 0, 900));
    until("it is at the node", || rig.nodes[0].seen().len() == 1);
    rig.signal(Signal::SIGINT);
    let told = Instant::now();
    until("the host is past its last word", || told.elapsed() > Duration::from_millis(900));
    assert!(client.answer() == Some((200, long)), "whole");
    drop(client);
    assert_eq!(rig.ended(), Some(0));
}
