//! Interning of names as indices.
mod common;

use common::{ENDPOINT, block_request, settings};
use mallowseam_platform::endpoints;
use mallowseam_platform::interner::NameInterner;
use mallowseam_platform::request::{BlockRequest, RequestId};
use mallowseam_scheduler::interface::{BioId, KeyId, NodeState, VolumeId};

#[test]
fn each_endpoint_of_an_unknown_zone_gets_a_separate_zone() {
    let mut names = NameInterner::default();
    let node = |n: u32, zone: &str| {
        let entry = ENDPOINT.replace("s-1", &format!("s-{n}"));
        entry.replace("\"site\":\"a\"", &format!("\"site\":\"{zone}\""))
    };
    let all = [
        node(1, "a"),
        node(2, "a"),
        node(3, "x"),
        node(4, "x"),
        node(5, "y"),
        node(6, ""),
    ]
    .join(",");
    let text = format!(r#"{{"seq":1,"whole":true,"hosts":[{all}]}}"#);
    let mut nodes = Vec::new();
    names.intern_endpoints(
        &endpoints::parse(text.as_bytes()).expect("input is valid"),
        &settings(),
        &mut nodes,
    );
    let mut zones: Vec<u32> = nodes.iter().map(|node| node.zone).collect();
    assert_eq!(zones[0], zones[1]);
    zones.dedup();
    zones.sort_unstable();
    zones.dedup();
    assert_eq!(
        zones.len(),
        5,
        "each endpoint of an unknown zone has a separate zone"
    );
}

#[test]
fn removed_endpoint_that_was_never_known_is_ignored() {
    let mut names = NameInterner::default();
    let removed = ENDPOINT.replace("ready", "gone");
    let event =
        endpoints::parse(format!(r#"{{"seq":1,"whole":false,"hosts":[{removed}]}}"#).as_bytes())
            .expect("input is valid");
    let mut nodes = Vec::new();
    names.intern_endpoints(&event, &settings(), &mut nodes);
    assert!(nodes.is_empty() && names.counts()[0] == 0);
    let event =
        endpoints::parse(format!(r#"{{"seq":1,"whole":true,"hosts":[{ENDPOINT}]}}"#).as_bytes())
            .expect("input is valid");
    names.intern_endpoints(&event, &settings(), &mut nodes);
    assert_eq!(
        (nodes[0].started_at, nodes[0].state),
        (Some(50), NodeState::Active)
    );
}

#[test]
fn request_id_in_flight_is_rejected_until_released() {
    let (mut names, request) = (NameInterner::default(), block_request());
    let bio = names
        .intern_request(BioId(0), &request, 1_000, &settings())
        .expect("the id is not in flight");
    assert_eq!(bio.deadline, 1_000 + 4_800);
    assert!(
        names
            .intern_request(BioId(1), &request, 1_000, &settings())
            .is_err()
    );
    names.release_request(&request.id);
    assert!(
        names
            .intern_request(BioId(1), &request, 1_000, &settings())
            .is_ok()
    );
}

#[test]
fn client_timeout_is_capped_at_the_longest_deadline() {
    let (mut names, request) = (
        NameInterner::default(),
        BlockRequest {
            timeout_ms: 3_600_000,
            ..block_request()
        },
    );
    assert_eq!(
        names
            .intern_request(BioId(0), &request, 0, &settings())
            .expect("the id is not in flight")
            .deadline,
        20_000
    );
}

#[test]
fn released_names_are_removed_and_their_indices_reused() {
    let (mut names, mut request) = (NameInterner::default(), block_request());
    for n in 0..100_000u64 {
        (request.id, request.volume, request.object) = (
            RequestId::new(&format!("{n:x}")).expect("the id is valid"),
            n,
            n,
        );
        let bio = names
            .intern_request(BioId(0), &request, 0, &settings())
            .expect("the id is not in flight");
        assert_eq!(
            (bio.volume, bio.key),
            (VolumeId(0), Some(KeyId(0))),
            "indices are reused"
        );
        names.release_request(&request.id);
        names.release_key(KeyId(0));
        names.release_volume(VolumeId(0));
        let node = names.intern_node(&format!("s-{n}"));
        assert_eq!(node.0, 0);
        names.release_node(node);
    }
    assert_eq!(names.counts(), [0; 4]);
}

#[test]
fn volumes_beyond_the_limit_are_rejected() {
    let (mut names, mut request) = (NameInterner::default(), block_request());
    let mut interned = 0;
    for n in 0..10_000u64 {
        (request.id, request.volume) = (
            RequestId::new(&format!("{n:x}")).expect("the id is valid"),
            n,
        );
        interned += u64::from(
            names
                .intern_request(BioId(0), &request, 0, &settings())
                .is_ok(),
        );
    }
    assert!((1_000..9_000).contains(&interned), "{interned}");
    (request.id, request.volume) = (RequestId::new("again").expect("the id is valid"), 0);
    assert!(
        names
            .intern_request(BioId(0), &request, 0, &settings())
            .is_ok()
    );
}
