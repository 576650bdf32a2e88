//! Tests of the size of a datagram, and of the updates in it.
use super::*;
use crate::config::MembershipConfig;
use crate::local_member::LocalMember;
use crate::record::Name;

const PING: GossipBody = GossipBody::Ping { sequence: 1 };

fn record(host: &str) -> MemberRecord {
    let name = Name::try_from(host).expect("name within the length limit");
    let address = ([127, 0, 0, 1], 7_000).into();
    let config = MembershipConfig::new(name.clone(), name, address);
    LocalMember::new(&config, 1, 0).record().clone()
}

fn update(host: &str) -> GossipUpdate {
    GossipUpdate {
        record: record(host),
        suspected_by: None,
    }
}

fn datagram(body: GossipBody, max_bytes: usize) -> Option<GossipDatagram> {
    GossipDatagram::new("fleet", &record("own"), body, max_bytes)
}

fn encoded_len(datagram: GossipDatagram) -> usize {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    datagram
        .encode("fleet", &mut buffer)
        .expect("the datagram fits")
}

#[test]
fn pings_are_padded_and_those_to_unknown_addresses_are_padded_further() {
    let ping = datagram(PING, MAX_DATAGRAM_BYTES).expect("the datagram fits");
    assert_eq!(encoded_len(ping), 288);
    let first_ping = GossipDatagram::first_ping("fleet", &record("own"), 1);
    assert_eq!(encoded_len(first_ping.expect("the datagram fits")), 512);
    let updates_only = datagram(GossipBody::UpdatesOnly, MAX_DATAGRAM_BYTES);
    assert!(encoded_len(updates_only.expect("the datagram fits")) < 100);
}

#[test]
fn updates_are_added_once_for_each_member_until_one_does_not_fit() {
    assert!(datagram(GossipBody::UpdatesOnly, 20).is_none());
    let mut datagram = datagram(GossipBody::UpdatesOnly, 300).expect("the datagram fits");
    assert!(datagram.add(&update("h0")));
    assert!(datagram.add(&update("h0")));
    assert_eq!(datagram.message.updates.len(), 1);
    let added = (1..100).take_while(|host| datagram.add(&update(&format!("h{host}"))));
    assert!(added.count() > 2);
    let expected = datagram.bytes;
    assert!(expected <= 300);
    assert_eq!(encoded_len(datagram), expected);
}
