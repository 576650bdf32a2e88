//! Ids of at-most-once requests that come a second time.
use crate::support::client::{Client, write_text};
use crate::support::host_process::HostProcess;
use crate::support::node::{Behavior, Node};
use crate::support::wait_until;

/// HTTP status of a request whose id has run or may have run.
const CONFLICT: u16 = 409;

/// Returns how often the nodes have received a request with this id.
fn received(host: &HostProcess, id: &str) -> usize {
    let of_node = |node: &Node| node.received().iter().filter(|r| r.id == id).count();
    host.nodes.iter().map(of_node).sum()
}

/// Sends a write that its node holds, and leaves once the node has it.
fn send_and_leave(host: &HostProcess, id: &str) {
    host.nodes[0].behave_next(Behavior::Hold);
    let mut client = host.client();
    client.send(&write_text(id, 0, "text", 1_900));
    wait_until("the write is at its node", || received(host, id) == 1);
    drop(client);
}

/// Sends a write again until the host has noticed that the first client has left, and returns the status then.
fn status_of_return(host: &HostProcess, id: &str) -> u16 {
    let mut status = 0;
    wait_until("the first write is over", || {
        let (code, body) = host.client().write(id, 0, "text");
        status = code;
        body != "this id is in hand"
    });
    status
}

/// Guards against an at-most-once request that runs a second time when its id comes again after its client has left
/// while the first attempt was at a node: the host forgot the id with the attempt.
#[test]
fn an_id_that_comes_again_after_its_client_has_left_does_not_run_twice() {
    for cancel in ["\"cancel\": true", "\"cancel\": false"] {
        let host =
            HostProcess::with_config(1, |config, _| config.replace("\"cancel\": true", cancel));
        send_and_leave(&host, "w");
        if cancel.ends_with("false") {
            host.nodes[0].release_held();
        }
        assert_eq!(status_of_return(&host, "w"), CONFLICT);
        assert_eq!(received(&host, "w"), 1, "{cancel}");
        assert_eq!(host.client().write("next", 0, "text").0, 200);
    }
}

/// Guards against the same under ever new ids, of which the host remembers only some.
#[test]
fn ever_new_ids_do_not_make_the_host_forget_one_whose_client_has_left() {
    let host = HostProcess::new(1);
    send_and_leave(&host, "w");
    assert_eq!(status_of_return(&host, "w"), CONFLICT);
    let mut client = host.client();
    for n in 0..3_000 {
        assert_eq!(client.write(&format!("other{n}"), 0, "text").0, 200);
    }
    assert_eq!(host.client().write("w", 0, "text").0, CONFLICT);
    assert_eq!(received(&host, "w"), 1);
}

#[test]
fn an_id_that_was_answered_does_not_run_twice() {
    let host = HostProcess::new(1);
    assert_eq!(host.client().write("w", 0, "text").0, 200);
    assert_eq!(host.client().write("w", 0, "text").0, CONFLICT);
    assert_eq!(received(&host, "w"), 1);
}

#[test]
fn an_id_that_no_node_has_run_may_come_again() {
    let host = HostProcess::new(1);
    let busy = "HTTP/1.1 503 X\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
    for _ in 0..3 {
        host.nodes[0].behave_next(Behavior::Raw(busy.into()));
    }
    let mut client: Client = host.client();
    assert_eq!(client.write("w", 0, "text").0, 503);
    wait_until("the write is served", || {
        host.client().write("w", 0, "text").0 == 200
    });
}

#[test]
fn an_idempotent_id_may_come_again() {
    let host = HostProcess::new(1);
    assert_eq!(host.client().read("r", 0).0, 200);
    assert_eq!(host.client().read("r", 0).0, 200);
}
