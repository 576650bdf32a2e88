//! Descriptors at their fewest, all of them asked for by idle clients: what the host itself needs is there.
use crate::service::{HEAD, Service};
use crate::stand::{self, Client, Node, Rig, until};
use nix::sys::signal::Signal;
use std::net::{SocketAddr, TcpListener};

/// The fewest that a configuration may name.
const FEWEST: u64 = 64;

/// An address where nobody listens.
fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("an address")
}

fn with(config: &str, discovery: SocketAddr) -> String {
    let from = config.find("\"discovery\":\"").expect("a field") + "\"discovery\":\"".len();
    let to = from + config[from..].find('"').expect("its end");
    let config = format!("{}{discovery}{}", &config[..from], &config[to..]);
    config.replace("\"sockets\":256", &format!("\"sockets\":{FEWEST}"))
}

/// Clients that connect and say nothing, or that have asked once and stay, far more than there are descriptors.
fn fill(rig: &Rig, idle: &mut Vec<Client>) {
    for n in 0..120 {
        let mut client = rig.client();
        if n % 2 == 0 {
            client.send("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
        }
        idle.push(client);
    }
    assert!(rig.descriptors() as u64 <= FEWEST);
}

#[test]
fn with_all_descriptors_filled_while_the_list_service_is_away_calls_nodes_clients_and_a_new_file_have_theirs()
{
    let (service, nodes) = (Service::new(), vec![Node::new()]);
    let rig = Rig::within(nodes, Some(FEWEST), |config, _| with(&config, nobody()));
    let serves = || until("it serves", || rig.client().read(&format!("r{}", rig.serial()), 0).0 == 200);
    let mut idle = Vec::new();
    until("it listens", || std::net::TcpStream::connect(rig.at()).is_ok());
    fill(&rig, &mut idle);
    serves();
    // The file names a service that is there, and the crowd goes on.
    rig.write_config(&with(&rig.config(&rig.discovery), service.at));
    rig.signal(Signal::SIGHUP);
    fill(&rig, &mut idle);
    service.called(0);
    service.say(0, HEAD);
    service.line(0, 50, true, &rig.nodes[0].entry("s-0", 0, "ready"));
    serves();
    fill(&rig, &mut idle);
    // Its watch ends under the crowd: the next one has a descriptor, and brings the drain.
    service.end(0);
    fill(&rig, &mut idle);
    service.called(1);
    service.say(1, HEAD);
    service.line(1, 51, false, &rig.nodes[0].entry("s-0", 0, "draining"));
    until("the drain is obeyed", || rig.client().read(&format!("d{}", rig.serial()), 0).0 == 503);
    assert!(rig.descriptors() as u64 <= FEWEST);
}

#[test]
fn fewer_descriptors_than_a_host_can_part_are_refused_at_the_start_with_the_reason() {
    let config = {
        let rig = Rig::new(1);
        with(&rig.config(&rig.discovery), nobody())
    };
    let refused = |text: &str, descriptors: Option<u64>| {
        let mut host = stand::started(text, descriptors);
        let mut said = String::new();
        std::io::Read::read_to_string(&mut host.stderr.take().expect("piped"), &mut said).expect("text");
        assert_eq!(host.wait().expect("a child").code(), Some(1), "{said}");
        said
    };
    let few = refused(&config.replace("\"sockets\":64", "\"sockets\":63"), None);
    assert!(few.contains("limits.sockets: expected 64 or more"), "{few}");
    let system = refused(&config, Some(63));
    assert!(system.contains("63 descriptors"), "{system}");
}
