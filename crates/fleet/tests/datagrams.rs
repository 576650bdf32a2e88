//! Whatever comes in: no panic, bounded tables, and nobody comes back from the dead.
use mallowseam_fleet::config::{MAX_MEMBERS, MembershipConfig};
use mallowseam_fleet::record::{ActiveVersions, GossipUpdate, Lifecycle, MemberRecord, Name, Zone};
use mallowseam_fleet::wire::{
    self, GossipBody, GossipMessage, GossipUpdates, IdRange, MAX_DATAGRAM_BYTES, Message, RangeDigest,
};
use mallowseam_fleet::{ActionSink, MemberState, Membership, MembershipEvent};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Default)]
struct Sent(Vec<(SocketAddr, usize)>);

impl ActionSink for Sent {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        self.0.push((to, bytes.len()));
    }
    fn notify(&mut self, _: MembershipEvent) {}
}

fn name(text: &str) -> Name {
    Name::try_from(text).expect("short")
}

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n], 7000))
}

fn one() -> Membership {
    Membership::new(MembershipConfig::new(name("f"), name("me"), address(1)), 1, 0, 1_000)
}

fn word(n: u8, generation: u64, incarnation: u32, life: Lifecycle) -> MemberRecord {
    let name = if n == 0 { name("me") } else { name(&format!("h{n}")) };
    let (zone, facts) = (Zone::new(), ActiveVersions::default());
    MemberRecord {
        name,
        generation,
        incarnation,
        lifecycle: life,
        address: address(n.max(2)),
        zone,
        versions: facts,
        started_ms: 0,
    }
}

fn words() -> impl Strategy<Value = MemberRecord> {
    let lives = proptest::sample::select(vec![
        Lifecycle::Joining,
        Lifecycle::Alive,
        Lifecycle::Leaving,
        Lifecycle::Left,
    ]);
    (0..6u8, 0..4u64, 0..5u32, lives).prop_map(|(n, g, i, l)| word(n, g, i, l))
}

fn bodies() -> impl Strategy<Value = GossipBody> {
    let range =
        (any::<u8>(), any::<u64>()).prop_map(|(depth, prefix)| IdRange { prefix_bits: depth, prefix });
    let part = (range.clone(), any::<u64>(), any::<u32>()).prop_map(|(range, sum, count)| RangeDigest {
        range,
        digest: sum,
        count,
    });
    prop_oneof![
        any::<u32>().prop_map(|nr| GossipBody::Ping { sequence: nr }),
        (0..20u32).prop_map(|nr| GossipBody::Ack { sequence: nr }),
        (any::<u32>(), any::<u64>()).prop_map(|(nr, id)| GossipBody::PingRequest {
            sequence: nr,
            target_id: id,
            target_address: address(9)
        }),
        (0..20u32, any::<bool>())
            .prop_map(|(nr, well)| GossipBody::PingRequestResult { sequence: nr, acknowledged: well }),
        proptest::collection::vec(part, 0..20)
            .prop_map(|p| GossipBody::RangeDigests(heapless::Vec::from_iter(p))),
        (proptest::collection::vec(range, 0..20), any::<bool>()).prop_map(|(r, back)| {
            GossipBody::RangeRecords { ranges: heapless::Vec::from_iter(r), reply_wanted: back }
        }),
        Just(GossipBody::UpdatesOnly),
    ]
}

fn packets() -> impl Strategy<Value = GossipMessage> {
    let told = (words(), proptest::option::of(0..3u32))
        .prop_map(|(word, doubt)| GossipUpdate { record: word, suspected_by: doubt });
    (words(), bodies(), proptest::collection::vec(told, 0..6)).prop_map(|(from, body, news)| GossipMessage {
        sender: from,
        body,
        updates: GossipUpdates::from_iter(news),
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_make_it_panic_and_none_that_is_not_of_the_fleet_is_answered(
        all in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..300), 1..20),
        torn in 0..200usize,
    ) {
        let (mut fleet, mut sent) = (one(), Sent::default());
        let mut good = [0; MAX_DATAGRAM_BYTES];
        let packet = GossipMessage { sender: word(1, 1, 1, Lifecycle::Alive), body: GossipBody::Ping { sequence: 1 }, updates: GossipUpdates::new() };
        let len = wire::encode("f", &Message::Gossip(packet), &mut good).expect("it fits").len();
        for bytes in &all {
            fleet.receive(address(3), bytes, 1, &mut sent);
            let mut mixed = good[..len].to_vec();
            let at = torn % mixed.len();
            mixed.splice(at..at, bytes.iter().copied());
            fleet.receive(address(3), &mixed[..mixed.len().min(MAX_DATAGRAM_BYTES)], 1, &mut sent);
            fleet.receive(address(3), &good[..torn.min(len - 1)], 1, &mut sent);
        }
        prop_assert!(fleet.members().count() <= 2 * all.len() + 1);
    }

    #[test]
    fn whatever_members_say_words_never_go_back_and_the_left_stay_left(
        packets in proptest::collection::vec((packets(), 0..400u64), 1..60),
    ) {
        let (mut fleet, mut sent) = (one(), Sent::default());
        let mut now = 0;
        let mut last: BTreeMap<Name, (u64, bool, u32)> = BTreeMap::new();
        for (packet, pause) in packets {
            now += pause;
            let from = packet.sender.address;
            let mut buffer = [0; MAX_DATAGRAM_BYTES];
            let Some(bytes) = wire::encode("f", &Message::Gossip(packet), &mut buffer) else { continue };
            let before = sent.0.len();
            fleet.receive(from, bytes, now, &mut sent);
            prop_assert!(sent.0[before..].len() <= 16, "bounded answers");
            fleet.tick(now, &mut sent);
            for (word, state) in fleet.members() {
                let rank = word.precedence();
                if let Some(was) = last.insert(word.name.clone(), rank) {
                    prop_assert!(rank >= was, "{} went back", word.name);
                }
                prop_assert!(state != MemberState::Left || word.lifecycle == Lifecycle::Left || word.lifecycle == Lifecycle::Leaving);
            }
            prop_assert!(fleet.members().count() <= 7);
        }
    }

    #[test]
    fn an_answer_to_a_stranger_is_no_longer_than_its_question(packet in packets(), news in 0..40u8) {
        let (mut fleet, mut sent) = (one(), Sent::default());
        // It has plenty to tell.
        for n in 10..10 + news {
            let from = word(n, 1, 1, Lifecycle::Alive);
            let mut buffer = [0; MAX_DATAGRAM_BYTES];
            let told = GossipMessage { sender: from, body: GossipBody::UpdatesOnly, updates: GossipUpdates::new() };
            let bytes = wire::encode("f", &Message::Gossip(told), &mut buffer).expect("it fits");
            fleet.receive(address(n), bytes, 1, &mut sent);
        }
        sent.0.clear();
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let Some(bytes) = wire::encode("f", &Message::Gossip(packet), &mut buffer).map(<[u8]>::to_vec) else { return Ok(()) };
        fleet.receive(address(250), &bytes, 2, &mut sent);
        let back: usize = sent.0.iter().filter(|s| s.0 == address(250)).map(|s| s.1).sum();
        prop_assert!(back <= bytes.len(), "{back} for {}", bytes.len());
        prop_assert_eq!(sent.0.len(), usize::from(back > 0), "and nobody else hears of it");
    }
}

#[test]
fn a_flood_of_new_names_ends_at_the_bound_and_is_counted() {
    let (mut fleet, mut sent) = (one(), Sent::default());
    for n in 0..(MAX_MEMBERS + 50) {
        let mut from = word(1, 1, 1, Lifecycle::Alive);
        from.name = name(&format!("x{n}"));
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let packet =
            GossipMessage { sender: from, body: GossipBody::UpdatesOnly, updates: GossipUpdates::new() };
        let bytes = wire::encode("f", &Message::Gossip(packet), &mut buffer).expect("it fits");
        fleet.receive(address(2), bytes, 1, &mut sent);
    }
    assert_eq!((fleet.members().count(), fleet.counters().capacity_drops), (MAX_MEMBERS, 51));
    assert!(sent.0.is_empty());
}
