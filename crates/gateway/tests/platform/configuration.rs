//! Changes of the endpoint list and of the configuration file.
use crate::support::endpoint_service::EndpointService;
use crate::support::host_process::{HostProcess, run_with_config};
use crate::support::wait_until;
#[test]
fn a_draining_node_gets_no_new_requests_and_its_successor_does() {
    let host = HostProcess::new(2);
    let mut client = host.client();
    assert_eq!(client.read("first", 0).0, 200);
    wait_until("a watch is open", || host.endpoint_service.watchers() > 0);
    let entry = |n: usize, health: &str| host.nodes[n].entry(&format!("s-{n}"), 0, health);
    host.endpoint_service
        .publish(&format!("{},{}", entry(0, "draining"), entry(1, "ready")));
    wait_until("the successor serves", || {
        client.read(&format!("r{}", host.next_number()), 0);
        host.nodes[1].received().len() > 3
    });
    let drained = host.nodes[0].received().len();
    for _ in 0..20 {
        client.read(&format!("r{}", host.next_number()), 0);
    }
    assert_eq!(host.nodes[0].received().len(), drained);
}

#[test]
fn malformed_list_lines_change_nothing_and_the_watch_is_reopened() {
    let host = HostProcess::new(1);
    let mut client = host.client();
    wait_until("a watch is open", || host.endpoint_service.watchers() > 0);
    let before = host.endpoint_service.requests();
    host.endpoint_service
        .send_raw("{\"seq\":9,\"whole\":true,\"hosts\":[{\"host\":7}]}\n");
    wait_until("the host requests the list again", || {
        host.endpoint_service.requests() > before
    });
    assert_eq!(client.read("after", 0).0, 200);
}

#[test]
fn a_reload_moves_the_watch_and_a_malformed_one_changes_nothing() {
    let host = HostProcess::new(2);
    let mut client = host.client();
    wait_until("a watch is open", || host.endpoint_service.watchers() > 0);
    host.write_config("{\"listen\":");
    host.signal(nix::sys::signal::Signal::SIGHUP);
    assert_eq!(client.read("kept", 0).0, 200);
    let other = EndpointService::new(&host.nodes[1].entry("s-9", 0, "ready"), 50);
    host.write_config(&host.config(&other));
    host.signal(nix::sys::signal::Signal::SIGHUP);
    wait_until("the new service has a watch", || other.watchers() > 0);
    wait_until("the host uses the new service's list", || {
        client.read(&format!("r{}", host.next_number()), 0);
        !host.nodes[1].received().is_empty()
    });
    // Repeated reloads under load lose no request.
    for n in 0..10 {
        host.signal(nix::sys::signal::Signal::SIGHUP);
        assert_eq!(client.read(&format!("s{n}"), 0).0, 200);
    }
}

#[test]
fn all_configuration_faults_are_reported_and_the_program_does_not_start() {
    let host = HostProcess::new(1);
    let text = host
        .config(&host.endpoint_service)
        .replace("\"sockets\":256", "\"sockets\":1")
        .replace("at_most_once", "x");
    let output = run_with_config(&text)
        .wait_with_output()
        .expect("the output can be read");
    let log = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert!(
        log.contains("limits.sockets") && log.contains("settings"),
        "{log}"
    );
}
