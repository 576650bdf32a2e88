//! Pinned results of the load. A test that fails means that a decision, a constant or a random draw has changed, so
//! that seeded runs are no longer reproducible.
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_audit::trace::{Trace, TraceEvent};
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_load::client_load::{ClientLoad, LoadProfile, Operation};
use mallowseam_load::initiators::{Load, LoadConfig, VolumeTarget};
use mallowseam_stand_ins::node::Node;
use mallowseam_test_support::Digest;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn add_all(digest: &mut Digest, numbers: &[u64]) {
    for number in numbers {
        digest.add(*number);
    }
}

/// First value of the last byte of the nodes' addresses. Each test program has its own range.
const FIRST_ADDRESS: u8 = 220;

/// Returns a loopback address that only this process uses under this number.
fn address(number: u8) -> SocketAddr {
    let process = std::process::id();
    let network = 100 + (process >> 8) as u8 % 60;
    SocketAddr::from(([127, network, process as u8, FIRST_ADDRESS + number], 3260))
}

fn add_operation(digest: &mut Digest, op: &Operation) {
    for number in [
        op.id,
        u64::from(op.volume),
        op.extent,
        u64::from(op.write),
        u64::from(op.units),
        u64::from(op.shard),
        u64::from(op.hosts),
        op.timeout,
        u64::from(op.retries),
    ] {
        digest.add(number);
    }
}

#[test]
fn operations_of_the_client_model_are_unchanged() {
    let mut digest = Digest::default();
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let load = LoadProfile {
            operations_per_second: 4_000.0,
            write_fraction: 0.3,
            volumes: 20,
            skew: 6.0,
            max_retries: 3,
            backs_off: seed % 2 == 0,
            read_timeout: 1_000,
            write_timeout: 2_000,
            max_units: 4,
        };
        let mut client_load = ClientLoad::new(load, 9, 4, &mut rng);
        for volume in 0..20 {
            let volume = client_load.volume(volume);
            volume.hosts.iter().for_each(|h| digest.add(u64::from(*h)));
            digest.add(u64::from(volume.limited));
        }
        client_load.resume(700);
        for now in (700..60_000).step_by(100) {
            client_load.intensity = if now > 30_000 { 2.0 } else { 1.0 };
            let Some(op) = client_load.next_operation(now, &mut rng) else {
                continue;
            };
            add_operation(&mut digest, &op);
            let host = client_load.choose_host(&op, |h| h % 3 != 0, &mut rng);
            add_all(
                &mut digest,
                &[host.map_or(0, |h| u64::from(h) + 1), client_load.next_due()],
            );
            let retry_after = rng.random_bool(0.3).then_some(5_000);
            let mut previous = op;
            while let Some((at, next)) = client_load.retry(now, &previous, retry_after, &mut rng) {
                digest.add(at);
                add_operation(&mut digest, &next);
                previous = next;
            }
        }
    }
    assert_eq!(format!("{:016x}", digest.value()), "0eebf65522231b01");
}

#[test]
fn requests_of_the_initiators_by_their_seed_are_unchanged() {
    const CLIENTS: u32 = 6;
    const REQUESTS: usize = 60;
    let mut out = String::new();
    for seed in 1..3u64 {
        let address = address(seed as u8);
        let model = ServiceModel::warm(4, 0.0, 4096);
        let _node = Node::start(0, address, "iqn.t", model, Trace::disabled(), seed)
            .expect("a running node");
        let volume = |lun, plan: &str| VolumeTarget {
            lun,
            blocks: 4096,
            plan: plan.into(),
            read_deadline: 5_000_000,
            write_deadline: 5_000_000,
        };
        let config = LoadConfig {
            hosts: vec![address],
            target: "iqn.t".into(),
            volumes: vec![volume(0, "basic"), volume(1, "free")],
            clients: CLIENTS,
            command_rate: 200.0,
            write_fraction: 0.4,
            proposal: ProposedParams::default(),
        };
        let trace = Trace::default();
        let load = Load::start(config, trace.clone(), seed).expect("running clients");
        let mut requests = vec![Vec::new(); CLIENTS as usize];
        let began = Instant::now();
        while requests.iter().any(|r| r.len() < REQUESTS) {
            assert!(
                began.elapsed() < Duration::from_secs(20),
                "the clients sent too few requests within 20 s"
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
            writeln!(out, "{seed} {client} {:?}", &requests[..REQUESTS])
                .expect("writing to a string succeeds");
        }
    }
    let mut digest = Digest::default();
    digest.add_bytes(out.as_bytes());
    assert_eq!(
        digest.value(),
        0xfc2f_a47d_b713_1b6b,
        "the text begins with\n{}",
        &out[..out.len().min(600)]
    );
}
