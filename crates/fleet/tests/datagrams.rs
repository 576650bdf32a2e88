//! Whatever datagrams a member receives, it does not panic, its table and its replies stay bounded, and no member is
//! added again after it left.
use mallowseam_fleet::config::{MAX_MEMBERS, MembershipConfig};
use mallowseam_fleet::record::{
    ActiveVersions, GossipUpdate, Lifecycle, MemberRecord, Name, Precedence, Zone,
};
use mallowseam_fleet::wire::{
    self, GossipBody, GossipMessage, GossipUpdates, IdRange, MAX_DATAGRAM_BYTES, Message,
    RangeDigest,
};
use mallowseam_fleet::{ActionSink, MemberState, Membership, MembershipEvent};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Destinations and lengths of the datagrams that were sent.
#[derive(Default)]
struct SentDatagrams(Vec<(SocketAddr, usize)>);

impl ActionSink for SentDatagrams {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        self.0.push((to, bytes.len()));
    }
    fn notify(&mut self, _: MembershipEvent) {}
}

fn name(text: &str) -> Name {
    Name::try_from(text).expect("name within the length limit")
}

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], 7000))
}

fn new_member() -> Membership {
    Membership::new(
        MembershipConfig::new(name("f"), name("me"), address(1)),
        1,
        0,
        1_000,
    )
}

/// Returns the record of a member. Host 0 has the name of the member under test.
fn record(host: u8, generation: u64, incarnation: u32, lifecycle: Lifecycle) -> MemberRecord {
    MemberRecord {
        name: if host == 0 {
            name("me")
        } else {
            name(&format!("h{host}"))
        },
        generation,
        incarnation,
        lifecycle,
        address: address(host.max(2)),
        zone: Zone::new(),
        versions: ActiveVersions::default(),
        started_ms: 0,
    }
}

fn bare_message(sender: MemberRecord, body: GossipBody) -> GossipMessage {
    GossipMessage {
        sender,
        body,
        updates: GossipUpdates::new(),
    }
}

/// Encodes a message. Returns `None` if it does not fit into a datagram.
fn encode(message: GossipMessage) -> Option<Vec<u8>> {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    wire::encode("f", &Message::Gossip(message), &mut buffer).map(<[u8]>::to_vec)
}

fn records() -> impl Strategy<Value = MemberRecord> {
    let lifecycles = proptest::sample::select(vec![
        Lifecycle::Joining,
        Lifecycle::Alive,
        Lifecycle::Leaving,
        Lifecycle::Left,
    ]);
    (0..6u8, 0..4u64, 0..5u32, lifecycles).prop_map(|(host, generation, incarnation, lifecycle)| {
        record(host, generation, incarnation, lifecycle)
    })
}

fn bodies() -> impl Strategy<Value = GossipBody> {
    let range = (any::<u8>(), any::<u64>()).prop_map(|(prefix_bits, prefix)| IdRange {
        prefix_bits,
        prefix,
    });
    let digest = (range.clone(), any::<u64>(), any::<u32>()).prop_map(|(range, digest, count)| {
        RangeDigest {
            range,
            digest,
            count,
        }
    });
    prop_oneof![
        any::<u32>().prop_map(|sequence| GossipBody::Ping { sequence }),
        (0..20u32).prop_map(|sequence| GossipBody::Ack { sequence }),
        (any::<u32>(), any::<u64>()).prop_map(|(sequence, target_id)| GossipBody::PingRequest {
            sequence,
            target_id,
            target_address: address(9)
        }),
        (0..20u32, any::<bool>()).prop_map(|(sequence, acknowledged)| {
            GossipBody::PingRequestResult {
                sequence,
                acknowledged,
            }
        }),
        proptest::collection::vec(digest, 0..20)
            .prop_map(|digests| GossipBody::RangeDigests(heapless::Vec::from_iter(digests))),
        (proptest::collection::vec(range, 0..20), any::<bool>()).prop_map(
            |(ranges, reply_wanted)| {
                GossipBody::RangeRecords {
                    ranges: heapless::Vec::from_iter(ranges),
                    reply_wanted,
                }
            }
        ),
        Just(GossipBody::UpdatesOnly),
    ]
}

fn messages() -> impl Strategy<Value = GossipMessage> {
    let update = (records(), proptest::option::of(0..3u32)).prop_map(|(record, suspected_by)| {
        GossipUpdate {
            record,
            suspected_by,
        }
    });
    (records(), bodies(), proptest::collection::vec(update, 0..6)).prop_map(
        |(sender, body, updates)| GossipMessage {
            sender,
            body,
            updates: GossipUpdates::from_iter(updates),
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn malformed_datagrams_neither_panic_nor_fill_the_table(
        random_inputs in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..300), 1..20),
        truncated_to in 0..200usize,
    ) {
        let (mut member, mut sent) = (new_member(), SentDatagrams::default());
        let ping = GossipBody::Ping { sequence: 1 };
        let valid = encode(bare_message(record(1, 1, 1, Lifecycle::Alive), ping)).expect("the message fits");
        for bytes in &random_inputs {
            member.receive(address(3), bytes, 1, &mut sent);
            let mut mixed = valid.clone();
            let index = truncated_to % mixed.len();
            mixed.splice(index..index, bytes.iter().copied());
            member.receive(address(3), &mixed[..mixed.len().min(MAX_DATAGRAM_BYTES)], 1, &mut sent);
            member.receive(address(3), &valid[..truncated_to.min(valid.len() - 1)], 1, &mut sent);
        }
        prop_assert!(member.members().count() <= 2 * random_inputs.len() + 1);
    }

    #[test]
    fn records_never_regress_and_members_that_left_stay_left(
        messages in proptest::collection::vec((messages(), 0..400u64), 1..60),
    ) {
        let (mut member, mut sent) = (new_member(), SentDatagrams::default());
        let mut now = 0;
        let mut newest: BTreeMap<Name, Precedence> = BTreeMap::new();
        for (message, pause) in messages {
            now += pause;
            let from = message.sender.address;
            let Some(datagram) = encode(message) else { continue };
            let before = sent.0.len();
            member.receive(from, &datagram, now, &mut sent);
            prop_assert!(sent.0[before..].len() <= 16, "more than 16 datagrams were sent as replies");
            member.tick(now, &mut sent);
            for (record, state) in member.members() {
                let precedence = record.precedence();
                if let Some(known) = newest.insert(record.name.clone(), precedence) {
                    prop_assert!(precedence >= known, "the record of {} was replaced by an older one", record.name);
                }
                let has_left = matches!(record.lifecycle, Lifecycle::Left | Lifecycle::Leaving);
                prop_assert!(state != MemberState::Left || has_left);
            }
            prop_assert!(member.members().count() <= 7);
        }
    }

    #[test]
    fn a_reply_to_an_unknown_address_is_no_longer_than_the_datagram(message in messages(), others in 0..40u8) {
        let (mut member, mut sent) = (new_member(), SentDatagrams::default());
        // Introduces other members, so that there are many updates to gossip.
        for host in 10..10 + others {
            let introduction = bare_message(record(host, 1, 1, Lifecycle::Alive), GossipBody::UpdatesOnly);
            let datagram = encode(introduction).expect("the message fits");
            member.receive(address(host), &datagram, 1, &mut sent);
        }
        sent.0.clear();
        let Some(datagram) = encode(message) else { return Ok(()) };
        member.receive(address(250), &datagram, 2, &mut sent);
        let replied: usize = sent.0.iter().filter(|(to, _)| *to == address(250)).map(|(_, bytes)| bytes).sum();
        prop_assert!(replied <= datagram.len(), "replied with {replied} bytes to a datagram of {} bytes", datagram.len());
        prop_assert_eq!(sent.0.len(), usize::from(replied > 0), "a datagram was sent to another address");
    }
}

#[test]
fn members_beyond_the_maximum_number_are_dropped_and_counted() {
    let (mut member, mut sent) = (new_member(), SentDatagrams::default());
    for n in 0..(MAX_MEMBERS + 50) {
        let mut sender = record(1, 1, 1, Lifecycle::Alive);
        sender.name = name(&format!("x{n}"));
        let datagram =
            encode(bare_message(sender, GossipBody::UpdatesOnly)).expect("the message fits");
        member.receive(address(2), &datagram, 1, &mut sent);
    }
    assert_eq!(
        (member.members().count(), member.counters().capacity_drops),
        (MAX_MEMBERS, 51)
    );
    assert!(sent.0.is_empty());
}

/// Returns claims about the member under test with the extreme values that a datagram can contain, and with values next
/// to those of its own record.
fn extreme_claims(own: &MemberRecord) -> Vec<GossipUpdate> {
    let generations = [
        0,
        own.generation,
        own.generation + 1,
        u64::MAX / 2,
        u64::MAX - 1,
        u64::MAX,
    ];
    let incarnations = [0, 1, u32::MAX - 1, u32::MAX];
    let lifecycles = [
        Lifecycle::Joining,
        Lifecycle::Alive,
        Lifecycle::Leaving,
        Lifecycle::Left,
    ];
    let mut claims = Vec::new();
    for generation in generations {
        for incarnation in incarnations {
            for lifecycle in lifecycles {
                claims.extend([None, Some(9)].map(|suspected_by| GossipUpdate {
                    record: record(0, generation, incarnation, lifecycle),
                    suspected_by,
                }));
            }
        }
    }
    claims
}

/// Returns a member that has received a claim about itself, and whose pings to the address in the claim stayed
/// unanswered.
fn member_after(claim: &GossipUpdate) -> Membership {
    let (mut member, mut sent) = (new_member(), SentDatagrams::default());
    let sender = record(3, 1, 1, Lifecycle::Alive);
    let mut message = bare_message(sender, GossipBody::UpdatesOnly);
    message.updates = GossipUpdates::from_iter([claim.clone()]);
    let datagram = encode(message).expect("the message fits");
    member.receive(address(3), &datagram, 1, &mut sent);
    (1..100).for_each(|n| member.tick(n * 100, &mut sent));
    member
}

/// Asserts that the member's own record outranks a claim, or equals one that contains no suspicion.
fn assert_outranked(claim: &GossipUpdate, member: &Membership) {
    let (own, claimed) = (member.own_record().precedence(), claim.record.precedence());
    assert!(own >= claimed, "{claim:?}: {own:?}");
    assert!(
        claim.suspected_by.is_none() || own > claimed,
        "{claim:?}: {own:?}"
    );
}

#[test]
fn claims_with_the_highest_numbers_are_outranked_or_dropped() {
    let own_generation = new_member().own_record().generation;
    for claim in extreme_claims(new_member().own_record()) {
        let member = member_after(&claim);
        let is_dropped = member.counters().malformed == 1;
        assert_eq!(
            is_dropped,
            claim.record.generation > u64::MAX / 2,
            "only claims with a generation above the maximum are dropped: {claim:?}"
        );
        // Claims that this process has left are covered by `a_claim_that_this_very_process_has_left_is_outranked`.
        let has_left =
            claim.record.lifecycle == Lifecycle::Left && claim.record.generation == own_generation;
        if !is_dropped && !has_left {
            assert_outranked(&claim, &member);
        }
    }
}

#[test]
fn a_claim_that_this_very_process_has_left_is_outranked() {
    let generation = new_member().own_record().generation;
    let claim = GossipUpdate {
        record: record(0, generation, 1, Lifecycle::Left),
        suspected_by: None,
    };
    assert_outranked(&claim, &member_after(&claim));
}
