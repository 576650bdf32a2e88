//! The stand-in node and the load by their seeds.
use crate::digest::{model_text, pinned, service_model};
use mallowseam_audit::block;
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_audit::trace::{Trace, TraceEvent};
use mallowseam_gateway::blocking_client::BlockingClient;
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_iscsi::scsi::read_or_write_16;
use mallowseam_lab::load::{Load, LoadConfig, VolumeTarget};
use mallowseam_lab::node::{Node, NodeFault};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

#[test]
fn capacity_of_a_warming_node() {
    let mut out = String::new();
    for model in [service_model(), ServiceModel::warm(8, 50.0, 64)] {
        writeln!(out, "{}", model_text(&model)).expect("memory");
        for age in (0..5_000_000).step_by(12_345) {
            writeln!(
                out,
                "{:x} {:x}",
                model.speed_fraction(age).to_bits(),
                model.overload_units(age).to_bits()
            )
            .expect("memory");
        }
    }
    pinned("capacity", &out, 0xfe30_b396_54e7_44bc);
}

/// An address of this process alone, another one at each call.
fn node_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(200);
    let process = std::process::id();
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from((
        [127, 100 + (process >> 8) as u8 % 60, process as u8, last],
        3260,
    ))
}

#[test]
fn failures_of_a_node_by_its_seed() {
    let mut out = String::new();
    for seed in 1..4 {
        let address = node_address();
        let model = ServiceModel::warm(2, 0.5, 64);
        let node =
            Node::start(0, address, "iqn.t", model, Trace::disabled(), seed).expect("a node");
        // Faults are taken up before anything that is sent after them.
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
            write!(out, "{:x}", answer.status).expect("memory");
            out.extend(answer.data.chunks(block::SIZE).zip(lba..).map(|(b, at)| {
                let id = block::read(b, at).expect("one write's bytes");
                format!(" {id}")
            }));
            out.push('\n');
        }
    }
    pinned("failures", &out, 0x9035_2937_e099_169f);
}

#[test]
fn requests_of_the_load_by_its_seed() {
    const CLIENTS: u32 = 6;
    const REQUESTS: usize = 60;
    let mut out = String::new();
    for seed in 1..3 {
        let address = node_address();
        let model = ServiceModel::warm(4, 0.0, 4096);
        let _node =
            Node::start(0, address, "iqn.t", model, Trace::disabled(), seed).expect("a node");
        let volume = |lun, plan: &str| VolumeTarget {
            lun,
            blocks: 4096,
            plan: plan.into(),
            read_deadline: 5_000_000,
            write_deadline: 5_000_000,
        };
        let plan = LoadConfig {
            hosts: vec![address],
            target: "iqn.t".into(),
            volumes: vec![volume(0, "basic"), volume(1, "free")],
            clients: CLIENTS,
            command_rate: 200.0,
            write_fraction: 0.4,
            proposal: ProposedParams::default(),
        };
        let trace = Trace::default();
        let load = Load::start(plan, trace.clone(), seed).expect("clients");
        let mut requests = vec![Vec::new(); CLIENTS as usize];
        let began = Instant::now();
        while requests.iter().any(|r| r.len() < REQUESTS) {
            assert!(
                began.elapsed() < Duration::from_secs(20),
                "too few requests"
            );
            std::thread::sleep(Duration::from_millis(20));
            for s in trace.take() {
                if let TraceEvent::CommandSent {
                    client,
                    volume,
                    write,
                    lba,
                    blocks,
                    ..
                } = s.event
                {
                    requests[client as usize].push((volume, write, lba, blocks));
                }
            }
        }
        drop(load);
        for (client, requests) in requests.iter().enumerate() {
            writeln!(out, "{seed} {client} {:?}", &requests[..REQUESTS]).expect("memory");
        }
    }
    pinned("requests", &out, 0xfc2f_a47d_b713_1b6b);
}
