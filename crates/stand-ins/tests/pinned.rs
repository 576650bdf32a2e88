//! Pinned results of the stand-ins. A test that fails means that a decision, a constant or a random draw has changed,
//! so that seeded runs are no longer reproducible.
use mallowseam_audit::block;
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_audit::trace::Trace;
use mallowseam_gateway::blocking_client::BlockingClient;
use mallowseam_iscsi::scsi::read_or_write_16;
use mallowseam_stand_ins::links::{
    ConnectOutcome, LinkFault, Links, Peer, PeerSet, Pipe, PipeOutput,
};
use mallowseam_stand_ins::node::{Node, NodeFault};
use mallowseam_stand_ins::simulated_node::{Arrival, NodeLimits, NodeRequest, SimulatedNode};
use mallowseam_test_support::Digest;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write;
use std::net::SocketAddr;

fn add_all(digest: &mut Digest, numbers: &[u64]) {
    for number in numbers {
        digest.add(*number);
    }
}

fn add_link_fault(digest: &mut Digest, fault: &LinkFault) {
    digest.add(fault.latency);
    digest.add(fault.jitter);
    digest.add(u64::from(fault.blackholed));
    digest.add(u64::from(fault.refuses_connections));
    // The digests were recorded when 0 stood for no limit.
    digest.add(fault.reset_after_bytes.unwrap_or(0));
    let bytes_per_second = fault.bytes_per_second.unwrap_or(0.0);
    for number in [bytes_per_second, fault.loss, fault.duplication] {
        digest.add(number.to_bits());
    }
}

/// First value of the last byte of the nodes' addresses. Each test program has its own range.
const FIRST_ADDRESS: u8 = 200;

/// Returns a loopback address that only this process uses under this number.
fn address(number: u8) -> SocketAddr {
    let process = std::process::id();
    let network = 100 + (process >> 8) as u8 % 60;
    SocketAddr::from(([127, network, process as u8, FIRST_ADDRESS + number], 3260))
}

#[test]
fn failures_of_a_node_by_its_seed_are_unchanged() {
    let mut out = String::new();
    for seed in 1..4u64 {
        let address = address(seed as u8);
        let model = ServiceModel::warm(2, 0.5, 64);
        let node = Node::start(0, address, "iqn.t", model, Trace::disabled(), seed)
            .expect("a running node");
        // The node applies a fault before it reads anything that is sent later.
        node.inject(NodeFault::Errors(0.3));
        let mut client = BlockingClient::open(address, Some("iqn.t"), 1).expect("a login");
        for i in 0..300u64 {
            let (write, lba) = (i % 3 == 0, i % 7 * 8);
            let data = if write {
                block::write(i + 1, lba, 8)
            } else {
                Vec::new()
            };
            let answer = client
                .execute(0, &read_or_write_16(write, lba, 8, 0), 4096, data)
                .expect("an answer");
            write!(out, "{:x}", answer.status).expect("writing to a string succeeds");
            out.extend(answer.data.chunks(block::SIZE).zip(lba..).map(|(b, at)| {
                let id = block::read(b, at).expect("the data of one write");
                format!(" {id}")
            }));
            out.push('\n');
        }
    }
    let mut digest = Digest::default();
    digest.add_bytes(out.as_bytes());
    assert_eq!(
        digest.value(),
        0x9035_2937_e099_169f,
        "the text begins with\n{}",
        &out[..out.len().min(600)]
    );
}

fn draw_peer(rng: &mut Pcg64Mcg) -> Peer {
    match rng.random_range(0..4) {
        0 => Peer::Host(rng.random_range(0..6)),
        1 => Peer::Node(rng.random_range(0..4)),
        2 => Peer::List(rng.random_range(0..2)),
        _ => Peer::Clients,
    }
}

fn draw_peer_set(rng: &mut Pcg64Mcg) -> PeerSet {
    let (from, to) = (rng.random_range(0..4), rng.random_range(2..6));
    match rng.random_range(0..8) {
        0 => PeerSet::All,
        1 => PeerSet::Hosts,
        2 => PeerSet::Nodes,
        3 => PeerSet::Lists,
        4 => PeerSet::Single(draw_peer(rng)),
        5 => PeerSet::Zone(from),
        6 => PeerSet::HostRange(from, to),
        _ => PeerSet::NodeRange(from, to),
    }
}

fn draw_fault(rng: &mut Pcg64Mcg) -> LinkFault {
    let mut draw_or_zero = |max: u64| {
        if rng.random_bool(0.4) {
            rng.random_range(0..max)
        } else {
            0
        }
    };
    let (latency, jitter, rate, reset_after_bytes) = (
        draw_or_zero(5_000),
        draw_or_zero(3_000),
        draw_or_zero(900_000),
        draw_or_zero(2_000),
    );
    LinkFault {
        latency,
        jitter,
        bytes_per_second: (rate > 0).then_some(rate as f64),
        reset_after_bytes: (reset_after_bytes > 0).then_some(reset_after_bytes),
        blackholed: rng.random_bool(0.2),
        refuses_connections: rng.random_bool(0.2),
        loss: 0.0,
        duplication: 0.0,
    }
}

#[test]
fn faults_between_peers_are_unchanged() {
    let mut digest = Digest::default();
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut links = Links::new(3);
        for _ in 0..30 {
            let (from, to) = (draw_peer_set(&mut rng), draw_peer_set(&mut rng));
            let fault = if rng.random_bool(0.3) {
                LinkFault::default()
            } else {
                draw_fault(&mut rng)
            };
            links.set(from, to, fault);
            for _ in 0..10 {
                let (from, to) = (draw_peer(&mut rng), draw_peer(&mut rng));
                add_link_fault(&mut digest, &links.fault_between(from, to));
                digest.add(match links.connect_outcome(from, to) {
                    ConnectOutcome::Accepted => 0,
                    ConnectOutcome::Refused => 1,
                    ConnectOutcome::Blackholed => 2,
                });
            }
        }
    }
    assert_eq!(format!("{:016x}", digest.value()), "b666e40e9b067225");
}

#[test]
fn delivery_of_bytes_is_unchanged() {
    let mut digest = Digest::default();
    for seed in 0..30 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut pipe = Pipe::default();
        let mut fault = draw_fault(&mut rng);
        for step in 0..200u64 {
            let now = step * 40;
            if step % 50 == 49 {
                fault = draw_fault(&mut rng);
            }
            let len = rng.random_range(1..400);
            pipe.push(now, &vec![step as u8; len], &fault, &mut rng);
            if step == 190 {
                pipe.close(now, &fault, &mut rng);
            }
            match pipe.poll(now, &fault) {
                PipeOutput::Nothing => digest.add(0),
                PipeOutput::Bytes(bytes) => digest.add_bytes(&bytes),
                PipeOutput::Closed => digest.add(2),
                PipeOutput::Reset => digest.add(3),
            }
            add_all(
                &mut digest,
                &[
                    pipe.next_due().map_or(0, |due| due + 1),
                    u64::from(pipe.is_full()),
                ],
            );
        }
    }
    assert_eq!(format!("{:016x}", digest.value()), "98a5ef2fe7411314");
}

fn draw_request(rng: &mut impl Rng, op: u64) -> NodeRequest<u32> {
    NodeRequest {
        connection: rng.random_range(0..6),
        operation: op,
        units: f64::from(rng.random_range(1..5u32)),
        first_on_connection: rng.random_bool(0.2),
        over_limit: rng.random_bool(0.1),
    }
}

#[test]
fn service_and_collapses_of_a_simulated_node_are_unchanged() {
    let mut digest = Digest::default();
    for seed in 0..30 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let model = ServiceModel {
            initial_speed: 0.25,
            warm_up: 800_000,
            overload_factor: 4.0,
            overload_window: 200_000,
            ..ServiceModel::warm(2, 10_000.0, 3)
        };
        let mut node = SimulatedNode::new(
            model,
            NodeLimits {
                max_connections: 2,
                handshake: 5_000,
                restart_after: 300_000,
            },
        );
        for op in 0..400u64 {
            let now = op * 4_000;
            match rng.random_range(0..100) {
                0 => node.start(now),
                1 => node.stop(),
                2 => node.slowdown = 1.5,
                3 => node.connection_closed(rng.random_range(0..6)),
                4 => digest.add(u64::from(node.connection_opened())),
                _ => {}
            }
            digest.add(match node.receive(now, draw_request(&mut rng, op)) {
                Arrival::Queued => 0,
                Arrival::Rejected => 1,
                Arrival::Collapsed => 2,
            });
            while let Some(done) = node.complete_next(now) {
                add_all(&mut digest, &[done.operation, u64::from(done.connection)]);
            }
            add_all(
                &mut digest,
                &[
                    node.next_due().map_or(0, |due| due + 1),
                    u64::from(node.is_up(now)),
                    node.connections as u64,
                ],
            );
            digest.add(node.speed_fraction(now).to_bits());
        }
        digest.add(node.collapses);
        digest.add(node.peak_cold_load.to_bits());
    }
    assert_eq!(format!("{:016x}", digest.value()), "40c4c261142c5026");
}
