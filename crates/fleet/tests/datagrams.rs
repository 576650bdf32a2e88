//! Whatever comes in: no panic, bounded tables, and nobody comes back from the dead.
use mallowseam_fleet::settings::{MEMBERS_MOST, Settings};
use mallowseam_fleet::wire::{self, Body, MOST, Message, Packet, Part, Range, Words};
use mallowseam_fleet::word::{Facts, Life, Name, Told, Word, Zone};
use mallowseam_fleet::{Carrier, Change, Fleet, State};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Default)]
struct Sent(Vec<(SocketAddr, usize)>);

impl Carrier for Sent {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        self.0.push((to, bytes.len()));
    }
    fn changed(&mut self, _: Change) {}
}

fn name(text: &str) -> Name {
    Name::try_from(text).expect("short")
}

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n], 7000))
}

fn one() -> Fleet {
    Fleet::new(Settings::new(name("f"), name("me"), address(1)), 1, 0, 1_000)
}

fn word(n: u8, generation: u64, incarnation: u32, life: Life) -> Word {
    let name = if n == 0 { name("me") } else { name(&format!("h{n}")) };
    let (zone, facts) = (Zone::new(), Facts::default());
    Word { name, generation, incarnation, life, address: address(n.max(2)), zone, facts, started: 0 }
}

fn words() -> impl Strategy<Value = Word> {
    let lives = proptest::sample::select(vec![Life::Joining, Life::Alive, Life::Leaving, Life::Left]);
    (0..6u8, 0..4u64, 0..5u32, lives).prop_map(|(n, g, i, l)| word(n, g, i, l))
}

fn bodies() -> impl Strategy<Value = Body> {
    let range = (any::<u8>(), any::<u64>()).prop_map(|(depth, prefix)| Range { depth, prefix });
    let part = (range.clone(), any::<u64>(), any::<u32>()).prop_map(|(range, sum, count)| Part {
        range,
        sum,
        count,
    });
    prop_oneof![
        any::<u32>().prop_map(|nr| Body::Ping { nr }),
        (0..20u32).prop_map(|nr| Body::Ack { nr }),
        (any::<u32>(), any::<u64>()).prop_map(|(nr, id)| Body::AskFor { nr, id, address: address(9) }),
        (0..20u32, any::<bool>()).prop_map(|(nr, well)| Body::Asked { nr, well }),
        proptest::collection::vec(part, 0..20).prop_map(|p| Body::Parts(heapless::Vec::from_iter(p))),
        (proptest::collection::vec(range, 0..20), any::<bool>())
            .prop_map(|(r, back)| Body::Range { ranges: heapless::Vec::from_iter(r), back }),
        Just(Body::Tell),
    ]
}

fn packets() -> impl Strategy<Value = Packet> {
    let told = (words(), proptest::option::of(0..3u32)).prop_map(|(word, doubt)| Told { word, doubt });
    (words(), bodies(), proptest::collection::vec(told, 0..6)).prop_map(|(from, body, news)| Packet {
        from,
        body,
        news: Words::from_iter(news),
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
        let mut good = [0; MOST];
        let packet = Packet { from: word(1, 1, 1, Life::Alive), body: Body::Ping { nr: 1 }, news: Words::new() };
        let len = wire::write("f", &Message::Member(packet), &mut good).expect("it fits").len();
        for bytes in &all {
            fleet.heard(address(3), bytes, 1, &mut sent);
            let mut mixed = good[..len].to_vec();
            let at = torn % mixed.len();
            mixed.splice(at..at, bytes.iter().copied());
            fleet.heard(address(3), &mixed[..mixed.len().min(MOST)], 1, &mut sent);
            fleet.heard(address(3), &good[..torn.min(len - 1)], 1, &mut sent);
        }
        prop_assert!(fleet.view().count() <= 2 * all.len() + 1);
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
            let from = packet.from.address;
            let mut buffer = [0; MOST];
            let Some(bytes) = wire::write("f", &Message::Member(packet), &mut buffer) else { continue };
            let before = sent.0.len();
            fleet.heard(from, bytes, now, &mut sent);
            prop_assert!(sent.0[before..].len() <= 16, "bounded answers");
            fleet.tick(now, &mut sent);
            for (word, state) in fleet.view() {
                let rank = word.rank();
                if let Some(was) = last.insert(word.name.clone(), rank) {
                    prop_assert!(rank >= was, "{} went back", word.name);
                }
                prop_assert!(state != State::Left || word.life == Life::Left || word.life == Life::Leaving);
            }
            prop_assert!(fleet.view().count() <= 7);
        }
    }

    #[test]
    fn an_answer_to_a_stranger_is_no_longer_than_its_question(packet in packets(), news in 0..40u8) {
        let (mut fleet, mut sent) = (one(), Sent::default());
        // It has plenty to tell.
        for n in 10..10 + news {
            let from = word(n, 1, 1, Life::Alive);
            let mut buffer = [0; MOST];
            let told = Packet { from, body: Body::Tell, news: Words::new() };
            let bytes = wire::write("f", &Message::Member(told), &mut buffer).expect("it fits");
            fleet.heard(address(n), bytes, 1, &mut sent);
        }
        sent.0.clear();
        let mut buffer = [0; MOST];
        let Some(bytes) = wire::write("f", &Message::Member(packet), &mut buffer).map(<[u8]>::to_vec) else { return Ok(()) };
        fleet.heard(address(250), &bytes, 2, &mut sent);
        let back: usize = sent.0.iter().filter(|s| s.0 == address(250)).map(|s| s.1).sum();
        prop_assert!(back <= bytes.len(), "{back} for {}", bytes.len());
        prop_assert_eq!(sent.0.len(), usize::from(back > 0), "and nobody else hears of it");
    }
}

#[test]
fn a_flood_of_new_names_ends_at_the_bound_and_is_counted() {
    let (mut fleet, mut sent) = (one(), Sent::default());
    for n in 0..(MEMBERS_MOST + 50) {
        let mut from = word(1, 1, 1, Life::Alive);
        from.name = name(&format!("x{n}"));
        let mut buffer = [0; MOST];
        let packet = Packet { from, body: Body::Tell, news: Words::new() };
        let bytes = wire::write("f", &Message::Member(packet), &mut buffer).expect("it fits");
        fleet.heard(address(2), bytes, 1, &mut sent);
    }
    assert_eq!((fleet.view().count(), fleet.counts().full), (MEMBERS_MOST, 51));
    assert!(sent.0.is_empty());
}
