//! Pins the bytes of each gossip datagram and the texts of a configuration's check, as recorded at 01f3988.
use mallowseam_fleet::State;
use mallowseam_fleet::settings::{MEMBERS_MOST, PERIOD, SEEDS_MOST, Written};
use mallowseam_fleet::wire::{self, Body, Look, MOST, Message, Packet, Part, Range, Shown, Unread, VERSION};
use mallowseam_fleet::word::{Facts, Life, Name, Told, Word, Zone, id};
use std::fmt::Write;
use std::net::SocketAddr;

fn name(text: &str) -> Name {
    Name::try_from(text).expect("short")
}

fn ipv4() -> SocketAddr {
    "10.1.2.3:7400".parse().expect("an address")
}

fn ipv6() -> SocketAddr {
    "[2001:db8::7]:7400".parse().expect("an address")
}

fn record(life: Life) -> Word {
    Word {
        name: name("host-a"),
        generation: 0x0123_4567_89ab,
        incarnation: 300,
        life,
        address: ipv4(),
        zone: Zone::try_from("z1").expect("short"),
        facts: Facts { list: 5, plans: 700 },
        started: 1_700_000_000_123,
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// The datagram's bytes, read back to the same message.
fn written(message: &Message) -> String {
    let mut buffer = [0; MOST];
    let bytes = wire::write("pins", message, &mut buffer).expect("it fits");
    assert_eq!(wire::read("pins", bytes).as_ref(), Ok(message));
    assert_eq!(wire::read_any(bytes).as_ref(), Ok(message));
    hex(bytes)
}

fn body(body: Body) -> String {
    let from = Word { address: ipv6(), ..record(Life::Alive) };
    let bare = Message::Member(Packet { from, body, news: heapless::Vec::new() });
    let bytes = written(&bare);
    // The head and the sender's record are the same in each.
    let sender = "0183e5c0bb1fcb76ad0006686f73742d61ab939eabb424ac02010120010db8000000000000000000000007e839027a3105bc05fbd095ffbc31";
    bytes.strip_prefix(sender).expect("the same head").to_owned()
}

#[test]
fn each_kind_of_body_keeps_its_bytes() {
    let ranges =
        || heapless::Vec::from_iter([Range { depth: 4, prefix: 9 }, Range { depth: 60, prefix: 1 << 50 }]);
    let part = Part { range: Range { depth: 8, prefix: 200 }, sum: 0xfedc_ba98_7654_3210, count: 77 };
    let parts = heapless::Vec::from_iter([part, part]);
    assert_eq!(body(Body::Ping { nr: 1 }), "000100");
    assert_eq!(body(Body::Ack { nr: 1_000 }), "01e80700");
    assert_eq!(
        body(Body::AskFor { nr: 2, id: 0x1122_3344_5566_7788, address: ipv4() }),
        "020288ef99abc5e88c9111000a010203e83900"
    );
    assert_eq!(body(Body::Asked { nr: 3, well: true }), "03030100");
    assert_eq!(body(Body::Asked { nr: 3, well: false }), "03030000");
    assert_eq!(body(Body::Parts(parts)), "040208c80190e4d0b287d3aeeefe014d08c80190e4d0b287d3aeeefe014d00");
    assert_eq!(body(Body::Parts(heapless::Vec::new())), "040000");
    assert_eq!(body(Body::Range { ranges: ranges(), back: true }), "050204093c80808080808080020100");
    assert_eq!(body(Body::Range { ranges: ranges(), back: false }), "050204093c80808080808080020000");
    assert_eq!(body(Body::Tell), "0600");
}

#[test]
fn records_in_each_state_keep_their_bytes() {
    let lives = [Life::Joining, Life::Alive, Life::Leaving, Life::Left];
    let news = lives.into_iter().enumerate().map(|(n, life)| {
        let doubt = [None, Some(0), Some(0xdead_beef), Some(7)][n];
        Told { word: record(life), doubt }
    });
    let packet =
        Packet { from: record(Life::Joining), body: Body::Tell, news: heapless::Vec::from_iter(news) };
    assert_eq!(
        written(&Message::Member(packet)),
        "0183e5c0bb1fcb76ad0006686f73742d61ab939eabb424ac0200000a010203e839027a3105bc05fbd095ffbc31060406686f73742d61ab939eabb424ac0200000a010203e839027a3105bc05fbd095ffbc310006686f73742d61ab939eabb424ac0201000a010203e839027a3105bc05fbd095ffbc31010006686f73742d61ab939eabb424ac0202000a010203e839027a3105bc05fbd095ffbc3101effdb6f50d06686f73742d61ab939eabb424ac0203000a010203e839027a3105bc05fbd095ffbc310107"
    );
}

#[test]
fn pages_for_operators_keep_their_bytes() {
    let states =
        [State::Joining, State::Alive, State::Suspect, State::Unreachable, State::Leaving, State::Left];
    let members = states.into_iter().enumerate().map(|(n, state)| {
        let word = Word { name: name(&format!("h{n}")), ..record(Life::Alive) };
        Shown { word, state, heard: [None, Some(900)][n % 2] }
    });
    let mut page = Look {
        own: name("host-a"),
        alone: true,
        displaced: false,
        sum: 0x0102_0304_0506_0708,
        members: heapless::Vec::from_iter(members),
        next: Some(42),
    };
    assert_eq!(
        written(&Message::Looked(page.clone())),
        "0183e5c0bb1fcb76ad0206686f73742d610100888e98a8c0e080810106026830ab939eabb424ac0201000a010203e839027a3105bc05fbd095ffbc310000026831ab939eabb424ac0201000a010203e839027a3105bc05fbd095ffbc3101018407026832ab939eabb424ac0201000a010203e839027a3105bc05fbd095ffbc310200026833ab939eabb424ac0201000a010203e839027a3105bc05fbd095ffbc3103018407026834ab939eabb424ac0201000a010203e839027a3105bc05fbd095ffbc310400026835ab939eabb424ac0201000a010203e839027a3105bc05fbd095ffbc3105018407012a"
    );
    page.members.clear();
    (page.alone, page.displaced, page.next) = (false, true, None);
    assert_eq!(
        written(&Message::Looked(page)),
        "0183e5c0bb1fcb76ad0206686f73742d610001888e98a8c0e08081010000"
    );
    assert_eq!(written(&Message::Look { after: 0x0a0b_0c0d }), "0183e5c0bb1fcb76ad018d98ac50");
    let question = wire::look(5);
    assert_eq!(hex(&question[..16]), "01000000000000000001050000000000");
    assert!(question[16..].iter().all(|b| *b == 0));
}

#[test]
fn what_cannot_be_read_is_told_apart() {
    let mut buffer = [0; MOST];
    let bytes = wire::write("pins", &Message::Look { after: 1 }, &mut buffer).expect("it fits").to_vec();
    assert_eq!(wire::read("other", &bytes), Err(Unread::Fleet));
    assert_eq!(wire::read("pins", &bytes[..8]), Err(Unread::Torn));
    assert_eq!(wire::read("pins", &bytes[..9]), Err(Unread::Torn));
    assert_eq!(wire::read("pins", &[&bytes[..], &[0, 0, 1]].concat()), Err(Unread::Torn));
    assert_eq!(wire::read("pins", &[&[2], &bytes[1..]].concat()), Err(Unread::Version));
    assert!(wire::read("pins", &[&bytes[..], &[0, 0, 0]].concat()).is_ok());
    // The fleet's name may be left out by whoever only asks for the view.
    let question = wire::look(1);
    assert!(wire::read("pins", &question).is_ok() && wire::read("other", &question).is_ok());
    assert_eq!((MOST, VERSION), (1_200, 1));
}

#[test]
fn ranks_digests_and_numbers_of_names_are_as_recorded() {
    let word = record(Life::Leaving);
    assert_eq!(word.rank(), (0x0123_4567_89ab, false, 300));
    assert_eq!(record(Life::Left).rank(), (0x0123_4567_89ab, true, 300));
    assert_eq!(
        (id("host-a"), word.sum(false), word.sum(true)),
        (4472532690978852926, 945285092397138476, 14635447440896951457)
    );
}

#[test]
fn a_configuration_is_checked_with_the_same_texts() {
    let written = Written {
        fleet: String::new(),
        host: "x".repeat(49),
        listen: None,
        reached_at: Some("0.0.0.0:0".parse().expect("an address")),
        zone: "z".repeat(25),
        seeds: vec![ipv4(); SEEDS_MOST + 1],
        period: Some(49),
        keep: Some(1),
    };
    let problems = written.check().expect_err("all of it is wrong");
    assert_eq!(
        problems.iter().map(ToString::to_string).collect::<Vec<_>>(),
        vec![
            "name: expected 1 to 48 bytes",
            "the host's name: expected 1 to 48 bytes",
            "zone: expected up to 24 bytes",
            "listen: expected address:port",
            "reached_at: expected where others reach this host; it listens on every address",
            "seeds: expected 32 at most",
            "period: expected 50 to 60000 ms",
            "keep: expected 100 periods or more",
        ]
    );
    assert_eq!((MEMBERS_MOST, SEEDS_MOST, PERIOD), (16_384, 32, (50, 60_000)));
}

#[test]
fn a_configuration_that_leaves_things_out_gets_the_same_defaults() {
    let written = Written { fleet: "f".into(), host: "h".into(), listen: Some(ipv4()), ..Written::default() };
    let place = written.check().expect("it is well");
    assert_eq!((place.listen, place.settings.address), (ipv4(), ipv4()));
    assert_eq!((place.settings.period, place.settings.keep), (1_000, 3_600_000));
    assert!(place.settings.health && place.settings.confirmations);
    assert!(place.settings.seeds.is_empty() && place.settings.zone.is_empty());
    let least = Written { period: Some(60_000), keep: Some(6_000_000), ..written.clone() };
    assert!(least.check().is_ok());
    let short = Written { period: Some(60_000), keep: Some(5_999_999), ..written };
    assert_eq!(short.check().expect_err("too short").len(), 1);
}
