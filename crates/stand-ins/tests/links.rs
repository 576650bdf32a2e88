//! Faults of links. A fault could apply to the wrong peers or direction, or bytes could be lost, reordered or delivered
//! early.
use mallowseam_stand_ins::links::{
    ConnectOutcome, LinkFault, Links, Peer, PeerSet, Pipe, PipeOutput,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

#[test]
fn faults_apply_to_their_peers_and_direction_and_the_latest_takes_precedence() {
    let mut links = Links::new(2);
    let slow = LinkFault {
        latency: 300_000,
        ..LinkFault::default()
    };
    let cut = LinkFault {
        blackholed: true,
        ..LinkFault::default()
    };
    links.set(PeerSet::Lists, PeerSet::Hosts, slow);
    links.set(PeerSet::Zone(1), PeerSet::Lists, cut);
    let (even, odd, list) = (Peer::Host(2), Peer::Host(3), Peer::List(0));
    assert_eq!(links.fault_between(list, even), slow);
    assert_eq!(links.fault_between(even, list), LinkFault::default());
    assert_eq!(
        links.fault_between(odd, list),
        cut,
        "one direction is blackholed"
    );
    assert_eq!(
        links.fault_between(list, odd),
        slow,
        "the other direction is slow"
    );
    assert_eq!(links.connect_outcome(odd, list), ConnectOutcome::Blackholed);
    assert_eq!(links.connect_outcome(even, list), ConnectOutcome::Accepted);
    links.set(PeerSet::Zone(1), PeerSet::Lists, LinkFault::default());
    assert_eq!(links.connect_outcome(odd, list), ConnectOutcome::Accepted);
}

#[test]
fn bytes_are_delayed_in_order_blackholed_cut_off_and_throttled() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut pipe = Pipe::default();
    let late = LinkFault {
        latency: 100,
        jitter: 1_000,
        ..LinkFault::default()
    };
    for n in 0..20u8 {
        pipe.push(u64::from(n), &[n], &late, &mut rng);
    }
    pipe.close(20, &late, &mut rng);
    assert_eq!(pipe.poll(99, &late), PipeOutput::Nothing);
    assert_eq!(
        pipe.poll(
            9_999,
            &LinkFault {
                blackholed: true,
                ..late
            }
        ),
        PipeOutput::Nothing
    );
    for n in 0..20u8 {
        assert_eq!(pipe.poll(9_999, &late), PipeOutput::Bytes(vec![n]));
    }
    assert_eq!(pipe.poll(9_999, &late), PipeOutput::Closed);
    assert_eq!(pipe.next_due(), None);
    let cut = LinkFault {
        reset_after_bytes: Some(3),
        ..LinkFault::default()
    };
    let mut pipe = Pipe::default();
    pipe.push(0, b"ab", &cut, &mut rng);
    pipe.push(0, b"cd", &cut, &mut rng);
    assert_eq!(pipe.poll(1, &cut), PipeOutput::Bytes(b"ab".to_vec()));
    assert_eq!(pipe.poll(1, &cut), PipeOutput::Bytes(b"c".to_vec()));
    assert_eq!(pipe.poll(1, &cut), PipeOutput::Reset);
    let narrow = LinkFault {
        bytes_per_second: Some(1_000.0),
        ..LinkFault::default()
    };
    let mut pipe = Pipe::default();
    pipe.push(0, &[0; 500], &narrow, &mut rng);
    pipe.push(0, &[0; 500], &narrow, &mut rng);
    assert_eq!(pipe.poll(400_000, &narrow), PipeOutput::Nothing);
    assert!(matches!(pipe.poll(500_000, &narrow), PipeOutput::Bytes(_)));
    assert_eq!(pipe.next_due(), Some(1_000_000));
}
