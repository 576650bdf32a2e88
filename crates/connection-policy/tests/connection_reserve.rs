//! Reserve of client connections for new clients.
use mallowseam_connection_policy::connection_reserve::ConnectionReserve;
use test_case::test_case;

#[test_case(160, 16, 0, true; "the unopened connections cover the reserve")]
#[test_case(160, 10, 6, true; "unopened and evictable connections cover the reserve")]
#[test_case(160, 10, 5, false; "one connection of the reserve would be used")]
#[test_case(160, 0, 0, false; "all connections are in flight")]
#[test_case(24, 2, 0, false; "the reserve of a host with few connections is an eighth of them")]
#[test_case(24, 2, 1, true; "an evictable connection completes a small reserve")]
#[test_case(7, 0, 0, true; "a host with very few connections has no reserve")]
fn requests_are_admitted_while_the_reserve_is_unused(
    max_connections: usize,
    unopened: usize,
    evictable: usize,
    is_admitted: bool,
) {
    let reserve = ConnectionReserve::new(max_connections);
    assert_eq!(reserve.admits_request(unopened, || evictable), is_admitted);
}

#[test]
fn evictable_connections_are_not_counted_while_enough_are_unopened() {
    let reserve = ConnectionReserve::new(1_000);
    assert!(reserve.admits_request(16, || unreachable!("not counted")));
}
