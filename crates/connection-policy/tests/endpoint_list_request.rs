//! Timeout of requests for the endpoint list.
use mallowseam_connection_policy::endpoint_list_request::{EndpointListRequest, RESPONSE_TIMEOUT};

#[test]
fn pending_request_times_out_and_finished_request_does_not() {
    let mut request = EndpointListRequest::default();
    assert!(!request.has_timed_out(9_999));
    request.sent(5);
    assert!(
        !request.has_timed_out(4 + RESPONSE_TIMEOUT) && request.has_timed_out(5 + RESPONSE_TIMEOUT)
    );
    request.finished();
    assert!(!request.has_timed_out(99_999));
}
