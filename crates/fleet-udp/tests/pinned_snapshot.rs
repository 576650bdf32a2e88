//! Pins the text and JSON renderings of a host's membership table, and the exchange of datagrams by which it is
//! queried, as recorded at commit 01f3988.
use mallowseam_fleet::MemberState;
use mallowseam_fleet::record::{ActiveVersions, Lifecycle, MemberRecord, Name, Zone};
use mallowseam_fleet::wire::{self, MAX_DATAGRAM_BYTES, MemberStatus, MembershipPage, Message};
use mallowseam_fleet_udp::{MembershipSnapshot, query_membership};
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

fn name(text: &str) -> Name {
    Name::try_from(text).expect("name within the length limit")
}

fn status(host: &str, state: MemberState, last_contact_ms: Option<u64>) -> MemberStatus {
    let record = MemberRecord {
        name: name(host),
        generation: 70_000,
        incarnation: 3,
        lifecycle: Lifecycle::Alive,
        address: "10.1.2.3:7400".parse().expect("valid address"),
        zone: Zone::try_from("east").expect("name within the length limit"),
        versions: ActiveVersions {
            endpoint_list: 12,
            plans: 4,
        },
        // The start is in the future, so that the uptime is zero whenever this test runs.
        started_ms: 9_999_999_999_999,
    };
    MemberStatus {
        record,
        state,
        last_contact_ms,
    }
}

fn sample() -> MembershipSnapshot {
    MembershipSnapshot {
        host: "host-a".into(),
        isolated: true,
        superseded: true,
        digest: 0xabcd,
        members: vec![
            status("host-c", MemberState::Unreachable, None),
            status("host-a", MemberState::Alive, Some(0)),
            status("host-b", MemberState::Suspect, Some(12_345)),
            status("host-d", MemberState::Alive, Some(99)),
        ],
    }
}

#[test]
fn the_text_and_json_renderings_of_a_table_keep_their_text() {
    let snapshot = sample();
    assert_eq!(snapshot.state_counts(), "2 alive, 1 suspect, 1 unreachable");
    assert_eq!(
        snapshot.to_table().lines().collect::<Vec<_>>(),
        vec![
            "member              state        zone      address                   list   plans     up s  heard s",
            "host-a              alive        east      10.1.2.3:7400               12       4        0      0.0",
            "host-b              suspect      east      10.1.2.3:7400               12       4        0     12.3",
            "host-c              unreachable  east      10.1.2.3:7400               12       4        0        -",
            "host-d              alive        east      10.1.2.3:7400               12       4        0      0.1",
            "as host-a sees it: 2 alive, 1 suspect, 1 unreachable; hears from nobody; another process has its name; view 000000000000abcd"
        ]
    );
    assert_eq!(
        MembershipSnapshot {
            isolated: false,
            superseded: false,
            ..sample()
        }
        .to_table()
        .lines()
        .last(),
        Some("as host-a sees it: 2 alive, 1 suspect, 1 unreachable; view 000000000000abcd")
    );
    assert_eq!(
        snapshot.to_json().to_string(),
        "{\"alone\":true,\"displaced\":true,\"members\":[{\"address\":\"10.1.2.3:7400\",\"generation\":70000,\"heard_ms\":null,\"incarnation\":3,\"list\":12,\"name\":\"host-c\",\"plans\":4,\"started\":9999999999999,\"state\":\"unreachable\",\"zone\":\"east\"},{\"address\":\"10.1.2.3:7400\",\"generation\":70000,\"heard_ms\":0,\"incarnation\":3,\"list\":12,\"name\":\"host-a\",\"plans\":4,\"started\":9999999999999,\"state\":\"alive\",\"zone\":\"east\"},{\"address\":\"10.1.2.3:7400\",\"generation\":70000,\"heard_ms\":12345,\"incarnation\":3,\"list\":12,\"name\":\"host-b\",\"plans\":4,\"started\":9999999999999,\"state\":\"suspect\",\"zone\":\"east\"},{\"address\":\"10.1.2.3:7400\",\"generation\":70000,\"heard_ms\":99,\"incarnation\":3,\"list\":12,\"name\":\"host-d\",\"plans\":4,\"started\":9999999999999,\"state\":\"alive\",\"zone\":\"east\"}],\"own\":\"host-a\",\"view\":\"000000000000abcd\"}"
    );
}

#[test]
fn changes_and_differences_keep_their_text() {
    let (before, mut after) = (sample(), sample());
    after.host = "host-b".into();
    after.members.remove(3);
    after.members[0].state = MemberState::Left;
    after.members[1].record.incarnation = 4;
    after
        .members
        .push(status("host-e", MemberState::Joining, None));
    assert_eq!(
        after.changes_since(&before),
        vec![
            "host-c: unreachable -> left",
            "host-e: unknown -> joining",
            "host-d: alive -> forgotten"
        ]
    );
    assert_eq!(
        before.differences(&after),
        vec![
            "host-a: alive (generation 70000, incarnation 3) according to host-a, alive (generation 70000, incarnation 4) according to host-b",
            "host-c: unreachable (generation 70000, incarnation 3) according to host-a, left (generation 70000, incarnation 3) according to host-b",
            "host-d: alive (generation 70000, incarnation 3) according to host-a, unknown according to host-b",
            "host-e: unknown according to host-a, joining (generation 70000, incarnation 3) according to host-b"
        ]
    );
    assert!(before.differences(&before).is_empty());
}

fn send_page(socket: &UdpSocket, page: MembershipPage, to: SocketAddr) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let bytes = wire::encode("any", &Message::Page(page), &mut buffer).expect("the page fits");
    socket.send_to(bytes, to).expect("the datagram is sent");
}

fn server() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    socket
        .set_read_timeout(Some(Duration::from_secs(10)))
        .expect("the read timeout is set");
    let address = socket.local_addr().expect("the socket is bound");
    (socket, address)
}

#[test]
fn a_table_of_several_pages_is_queried_page_by_page() {
    let (socket, address) = server();
    let client = std::thread::spawn(move || query_membership(address));
    let mut queries = Vec::new();
    for n in 0..3u64 {
        let mut buffer = [0; 2 * MAX_DATAGRAM_BYTES];
        let (len, from) = socket.recv_from(&mut buffer).expect("a query is received");
        queries.push(buffer[..len].to_vec());
        let page = MembershipPage {
            host: name("host-a"),
            isolated: n == 2,
            superseded: n != 2,
            digest: n,
            members: heapless::Vec::from_iter([status(&format!("h{n}"), MemberState::Alive, None)]),
            next_id: Some([10, 20, 20][n as usize]),
        };
        send_page(&socket, page, from);
    }
    let snapshot = client
        .join()
        .expect("the client does not panic")
        .expect("the query succeeds");
    assert_eq!(
        queries,
        vec![
            wire::encode_query(0).to_vec(),
            wire::encode_query(10).to_vec(),
            wire::encode_query(20).to_vec()
        ]
    );
    assert_eq!(
        (
            snapshot.host.as_str(),
            snapshot.isolated,
            snapshot.superseded,
            snapshot.digest
        ),
        ("host-a", true, false, 2)
    );
    assert_eq!(
        snapshot
            .members
            .iter()
            .map(|member| member.record.name.as_str())
            .collect::<Vec<_>>(),
        vec!["h0", "h1", "h2"]
    );
}

#[test]
fn a_query_is_sent_four_times_and_the_error_keeps_its_text() {
    let (socket, address) = server();
    let client = std::thread::spawn(move || query_membership(address));
    for _ in 0..4 {
        let mut buffer = [0; 2 * MAX_DATAGRAM_BYTES];
        let (_, from) = socket.recv_from(&mut buffer).expect("a query is received");
        socket
            .send_to(b"no table", from)
            .expect("the datagram is sent");
    }
    let error = client
        .join()
        .expect("the client does not panic")
        .expect_err("the answer is no page");
    assert_eq!(
        error.to_string(),
        "answer is not a membership page that this version of the program can read"
    );
    socket
        .set_nonblocking(true)
        .expect("the socket is set to non-blocking");
    assert!(
        socket.recv_from(&mut [0; 2 * MAX_DATAGRAM_BYTES]).is_err(),
        "a fifth query was received"
    );
}

#[test]
fn a_query_to_a_host_that_does_not_answer_times_out() {
    let (socket, address) = server();
    let error = query_membership(address).expect_err("the host does not answer");
    assert_eq!(error.to_string(), "membership query timed out");
    drop(socket);
}
