//! The smallest limit of descriptors, with idle clients that would use all of them: the host has to reserve the
//! descriptors that it needs for polls, nodes and reloads.
use crate::support::client::Client;
use crate::support::host_process::{HostProcess, run_with_descriptors};
use crate::support::node::Node;
use crate::support::scripted_endpoint_service::{HEAD, ScriptedEndpointService};
use crate::support::wait_until;
use nix::sys::signal::Signal;
use std::net::{SocketAddr, TcpListener};

/// Smallest limit of descriptors that a configuration may have.
const MIN_DESCRIPTORS: u64 = 64;

/// Returns an address on which no process listens.
fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("the address can be bound")
}

fn with_min_descriptors(config: &str, endpoint_service: SocketAddr) -> String {
    let from = config
        .find("\"discovery\":\"")
        .expect("the configuration has the field")
        + "\"discovery\":\"".len();
    let to = from
        + config[from..]
            .find('"')
            .expect("the value has a closing quote");
    let config = format!("{}{endpoint_service}{}", &config[..from], &config[to..]);
    config.replace("\"sockets\":256", &format!("\"sockets\":{MIN_DESCRIPTORS}"))
}

/// Connects far more clients than the host has descriptors: silent clients, and clients that are idle after a request.
fn connect_idle_clients(host: &HostProcess, idle: &mut Vec<Client>) {
    for n in 0..120 {
        let mut client = host.client();
        if n % 2 == 0 {
            client.send("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
        }
        idle.push(client);
    }
    assert!(host.descriptors() as u64 <= MIN_DESCRIPTORS);
}

#[test]
fn exhausted_descriptors_leave_room_for_polls_nodes_clients_and_reloads() {
    let (service, nodes) = (ScriptedEndpointService::new(), vec![Node::new()]);
    let host = HostProcess::start_within(nodes, Some(MIN_DESCRIPTORS), |config, _| {
        with_min_descriptors(&config, unused_address())
    });
    let wait_until_served = || {
        wait_until("the host serves", || {
            host.client().read(&format!("r{}", host.next_number()), 0).0 == 200
        });
    };
    let mut idle = Vec::new();
    wait_until("the host listens", || {
        std::net::TcpStream::connect(host.address()).is_ok()
    });
    connect_idle_clients(&host, &mut idle);
    wait_until_served();
    // The new configuration names a running service, while further idle clients connect.
    host.write_config(&with_min_descriptors(
        &host.config(&host.endpoint_service),
        service.address,
    ));
    host.signal(Signal::SIGHUP);
    connect_idle_clients(&host, &mut idle);
    service.wait_for_request(0);
    service.send(0, HEAD);
    service.send_line(0, 50, true, &host.nodes[0].entry("s-0", 0, "ready"));
    wait_until_served();
    connect_idle_clients(&host, &mut idle);
    // The watch ends meanwhile; the next one gets a descriptor, and a drain that it sends is obeyed.
    service.close(0);
    connect_idle_clients(&host, &mut idle);
    service.wait_for_request(1);
    service.send(1, HEAD);
    service.send_line(1, 51, false, &host.nodes[0].entry("s-0", 0, "draining"));
    wait_until("the drain is obeyed", || {
        host.client().read(&format!("d{}", host.next_number()), 0).0 == 503
    });
    assert!(host.descriptors() as u64 <= MIN_DESCRIPTORS);
}

#[test]
fn too_few_descriptors_are_rejected_at_startup_with_the_reason() {
    let config = {
        let host = HostProcess::new(1);
        with_min_descriptors(&host.config(&host.endpoint_service), unused_address())
    };
    let refused = |text: &str, descriptors: Option<u64>| {
        let mut host = run_with_descriptors(text, descriptors);
        let mut log = String::new();
        std::io::Read::read_to_string(&mut host.stderr.take().expect("stderr is piped"), &mut log)
            .expect("the log is UTF-8");
        assert_eq!(
            host.wait().expect("the process is a child").code(),
            Some(1),
            "{log}"
        );
        log
    };
    let few = refused(&config.replace("\"sockets\":64", "\"sockets\":63"), None);
    assert!(few.contains("limits.sockets: expected 64 or more"), "{few}");
    let system = refused(&config, Some(63));
    assert!(system.contains("63 descriptors"), "{system}");
}
