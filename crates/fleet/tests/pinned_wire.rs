//! Pins the bytes of each kind of datagram, and the error texts of the validation of a configuration, as recorded at
//! commit 01f3988.
use mallowseam_fleet::MemberState;
use mallowseam_fleet::config::{
    MAX_MEMBERS, MAX_SEEDS, PROTOCOL_PERIOD_RANGE, UncheckedFleetConfig,
};
use mallowseam_fleet::record::{
    ActiveVersions, GossipUpdate, Lifecycle, MemberRecord, Name, Precedence, Zone, member_id,
};
use mallowseam_fleet::wire::{
    self, DecodeError, FORMAT_VERSION, GossipBody, GossipMessage, IdRange, MAX_DATAGRAM_BYTES,
    MemberStatus, MembershipPage, Message, RangeDigest,
};
use std::fmt::Write;
use std::net::SocketAddr;

fn name(text: &str) -> Name {
    Name::try_from(text).expect("name within the length limit")
}

fn ipv4() -> SocketAddr {
    "10.1.2.3:7400".parse().expect("valid address")
}

fn ipv6() -> SocketAddr {
    "[2001:db8::7]:7400".parse().expect("valid address")
}

fn record(lifecycle: Lifecycle) -> MemberRecord {
    MemberRecord {
        name: name("host-a"),
        generation: 0x0123_4567_89ab,
        incarnation: 300,
        lifecycle,
        address: ipv4(),
        zone: Zone::try_from("z1").expect("name within the length limit"),
        versions: ActiveVersions {
            endpoint_list: 5,
            plans: 700,
        },
        started_ms: 1_700_000_000_123,
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut digits, byte| {
        let _ = write!(digits, "{byte:02x}");
        digits
    })
}

/// Encodes a message, checks that it is decoded to the same message, and returns the datagram in hexadecimal digits.
fn encoded(message: &Message) -> String {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let bytes = wire::encode("pins", message, &mut buffer).expect("the message fits");
    assert_eq!(wire::decode("pins", bytes).as_ref(), Ok(message));
    assert_eq!(wire::decode_any_fleet(bytes).as_ref(), Ok(message));
    hex(bytes)
}

/// Encodes a message without updates, and returns the bytes after the sender's record in hexadecimal digits.
fn encoded_body(body: GossipBody) -> String {
    let sender = MemberRecord {
        address: ipv6(),
        ..record(Lifecycle::Alive)
    };
    let message = Message::Gossip(GossipMessage {
        sender,
        body,
        updates: heapless::Vec::new(),
    });
    let bytes = encoded(&message);
    // The header and the sender's record are the same for each body.
    let prefix = "0183e5c0bb1fcb76ad0006686f73742d61ab939eabb424ac02010120010db8000000000000000000000007e839027a3105bc05fbd095ffbc31";
    bytes
        .strip_prefix(prefix)
        .expect("the same header and sender")
        .to_owned()
}

#[test]
fn each_kind_of_body_keeps_its_bytes() {
    let ranges = || {
        heapless::Vec::from_iter([
            IdRange {
                prefix_bits: 4,
                prefix: 9,
            },
            IdRange {
                prefix_bits: 60,
                prefix: 1 << 50,
            },
        ])
    };
    let digest = RangeDigest {
        range: IdRange {
            prefix_bits: 8,
            prefix: 200,
        },
        digest: 0xfedc_ba98_7654_3210,
        count: 77,
    };
    let digests = heapless::Vec::from_iter([digest, digest]);
    assert_eq!(encoded_body(GossipBody::Ping { sequence: 1 }), "000100");
    assert_eq!(
        encoded_body(GossipBody::Ack { sequence: 1_000 }),
        "01e80700"
    );
    assert_eq!(
        encoded_body(GossipBody::PingRequest {
            sequence: 2,
            target_id: 0x1122_3344_5566_7788,
            target_address: ipv4()
        }),
        "020288ef99abc5e88c9111000a010203e83900"
    );
    assert_eq!(
        encoded_body(GossipBody::PingRequestResult {
            sequence: 3,
            acknowledged: true
        }),
        "03030100"
    );
    assert_eq!(
        encoded_body(GossipBody::PingRequestResult {
            sequence: 3,
            acknowledged: false
        }),
        "03030000"
    );
    assert_eq!(
        encoded_body(GossipBody::RangeDigests(digests)),
        "040208c80190e4d0b287d3aeeefe014d08c80190e4d0b287d3aeeefe014d00"
    );
    assert_eq!(
        encoded_body(GossipBody::RangeDigests(heapless::Vec::new())),
        "040000"
    );
    assert_eq!(
        encoded_body(GossipBody::RangeRecords {
            ranges: ranges(),
            reply_wanted: true
        }),
        "050204093c80808080808080020100"
    );
    assert_eq!(
        encoded_body(GossipBody::RangeRecords {
            ranges: ranges(),
            reply_wanted: false
        }),
        "050204093c80808080808080020000"
    );
    assert_eq!(encoded_body(GossipBody::UpdatesOnly), "0600");
}

#[test]
fn records_in_each_lifecycle_state_keep_their_bytes() {
    let states = [
        Lifecycle::Joining,
        Lifecycle::Alive,
        Lifecycle::Leaving,
        Lifecycle::Left,
    ];
    let updates = states.into_iter().enumerate().map(|(n, lifecycle)| {
        let suspected_by = [None, Some(0), Some(0xdead_beef), Some(7)][n];
        GossipUpdate {
            record: record(lifecycle),
            suspected_by,
        }
    });
    let message = GossipMessage {
        sender: record(Lifecycle::Joining),
        body: GossipBody::UpdatesOnly,
        updates: updates.collect(),
    };
    assert_eq!(
        encoded(&Message::Gossip(message)),
        "0183e5c0bb1fcb76ad0006686f73742d61ab939eabb424ac0200000a010203e839027a3105bc05fbd095ffbc31060406686f73742d61ab939eabb424ac0200000a010203e839027a3105bc05fbd095ffbc310006686f73742d61ab939eabb424ac0201000a010203e839027a3105bc05fbd095ffbc31010006686f73742d61ab939eabb424ac0202000a010203e839027a3105bc05fbd095ffbc3101effdb6f50d06686f73742d61ab939eabb424ac0203000a010203e839027a3105bc05fbd095ffbc310107"
    );
}

#[test]
fn pages_for_operators_keep_their_bytes() {
    let states = [
        MemberState::Joining,
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Unreachable,
        MemberState::Leaving,
        MemberState::Left,
    ];
    let members = states.into_iter().enumerate().map(|(n, state)| {
        let record = MemberRecord {
            name: name(&format!("h{n}")),
            ..record(Lifecycle::Alive)
        };
        MemberStatus {
            record,
            state,
            last_contact_ms: [None, Some(900)][n % 2],
        }
    });
    let mut page = MembershipPage {
        host: name("host-a"),
        isolated: true,
        superseded: false,
        digest: 0x0102_0304_0506_0708,
        members: members.collect(),
        next_id: Some(42),
    };
    assert_eq!(
        encoded(&Message::Page(page.clone())),
        "0183e5c0bb1fcb76ad0206686f73742d610100888e98a8c0e080810106026830ab939eabb424ac0201000a010203e839027a3105bc05fbd095ffbc310000026831ab939eabb424ac0201000a010203e839027a3105bc05fbd095ffbc3101018407026832ab939eabb424ac0201000a010203e839027a3105bc05fbd095ffbc310200026833ab939eabb424ac0201000a010203e839027a3105bc05fbd095ffbc3103018407026834ab939eabb424ac0201000a010203e839027a3105bc05fbd095ffbc310400026835ab939eabb424ac0201000a010203e839027a3105bc05fbd095ffbc3105018407012a"
    );
    page.members.clear();
    (page.isolated, page.superseded, page.next_id) = (false, true, None);
    assert_eq!(
        encoded(&Message::Page(page)),
        "0183e5c0bb1fcb76ad0206686f73742d610001888e98a8c0e08081010000"
    );
    assert_eq!(
        encoded(&Message::Query {
            first_id: 0x0a0b_0c0d
        }),
        "0183e5c0bb1fcb76ad018d98ac50"
    );
    let query = wire::encode_query(5);
    assert_eq!(hex(&query[..16]), "01000000000000000001050000000000");
    assert!(query[16..].iter().all(|b| *b == 0));
}

#[test]
fn each_decode_error_is_distinguished() {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let bytes = wire::encode("pins", &Message::Query { first_id: 1 }, &mut buffer)
        .expect("the message fits")
        .to_vec();
    assert_eq!(wire::decode("other", &bytes), Err(DecodeError::OtherFleet));
    assert_eq!(
        wire::decode("pins", &bytes[..8]),
        Err(DecodeError::Malformed)
    );
    assert_eq!(
        wire::decode("pins", &bytes[..9]),
        Err(DecodeError::Malformed)
    );
    assert_eq!(
        wire::decode("pins", &[&bytes[..], &[0, 0, 1]].concat()),
        Err(DecodeError::Malformed)
    );
    assert_eq!(
        wire::decode("pins", &[&[2], &bytes[1..]].concat()),
        Err(DecodeError::UnsupportedVersion)
    );
    assert!(wire::decode("pins", &[&bytes[..], &[0, 0, 0]].concat()).is_ok());
    // A query for the membership table may omit the hash of the fleet's name.
    let query = wire::encode_query(1);
    assert!(wire::decode("pins", &query).is_ok() && wire::decode("other", &query).is_ok());
    assert_eq!((MAX_DATAGRAM_BYTES, FORMAT_VERSION), (1_200, 1));
}

#[test]
fn precedences_digests_and_member_ids_keep_their_values() {
    let leaving = record(Lifecycle::Leaving);
    assert_eq!(
        leaving.precedence(),
        Precedence {
            generation: 0x0123_4567_89ab,
            left: false,
            incarnation: 300
        }
    );
    assert_eq!(
        record(Lifecycle::Left).precedence(),
        Precedence {
            generation: 0x0123_4567_89ab,
            left: true,
            incarnation: 300
        }
    );
    assert_eq!(
        (
            member_id("host-a"),
            leaving.digest(false),
            leaving.digest(true)
        ),
        (
            4472532690978852926,
            945285092397138476,
            14635447440896951457
        )
    );
}

#[test]
fn problems_of_a_configuration_keep_their_texts() {
    let unchecked = UncheckedFleetConfig {
        fleet: String::new(),
        host: "x".repeat(49),
        listen: None,
        advertise_address: Some("0.0.0.0:0".parse().expect("valid address")),
        zone: "z".repeat(25),
        seeds: vec![ipv4(); MAX_SEEDS + 1],
        period: Some(49),
        unreachable_retention: Some(1),
    };
    let problems = unchecked.validate().expect_err("every setting is invalid");
    assert_eq!(
        problems.iter().map(ToString::to_string).collect::<Vec<_>>(),
        vec![
            "name: expected 1 to 48 bytes",
            "host name: expected 1 to 48 bytes",
            "zone: expected up to 24 bytes",
            "listen: expected address:port",
            "reached_at: expected an address at which other members reach this host; an unspecified address or port 0 is not reachable",
            "seeds: expected at most 32 addresses",
            "period: expected 50 to 60000 ms",
            "keep: expected 100 periods or more",
        ]
    );
    assert_eq!(
        (MAX_MEMBERS, MAX_SEEDS, PROTOCOL_PERIOD_RANGE),
        (16_384, 32, 50..=60_000)
    );
}

#[test]
fn missing_settings_keep_their_defaults() {
    let unchecked = UncheckedFleetConfig {
        fleet: "f".into(),
        host: "h".into(),
        listen: Some(ipv4()),
        ..UncheckedFleetConfig::default()
    };
    let config = unchecked.validate().expect("valid configuration");
    assert_eq!((config.listen, config.membership.address), (ipv4(), ipv4()));
    assert_eq!(
        (
            config.membership.protocol_period,
            config.membership.unreachable_retention
        ),
        (1_000, 3_600_000)
    );
    assert!(config.membership.local_health && config.membership.suspicion_confirmations);
    assert!(config.membership.seeds.is_empty() && config.membership.zone.is_empty());
    let min_retention = UncheckedFleetConfig {
        period: Some(60_000),
        unreachable_retention: Some(6_000_000),
        ..unchecked.clone()
    };
    assert!(min_retention.validate().is_ok());
    let too_short_retention = UncheckedFleetConfig {
        period: Some(60_000),
        unreachable_retention: Some(5_999_999),
        ..unchecked
    };
    assert_eq!(
        too_short_retention
            .validate()
            .expect_err("the retention time is too short")
            .len(),
        1
    );
}
