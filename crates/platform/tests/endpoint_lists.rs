//! Valid and invalid endpoint lists.
mod common;

use common::ENDPOINT;
use mallowseam_platform::endpoints;

#[test]
fn list_is_accepted_as_a_whole_or_not_at_all() {
    let event = |entry: &str| {
        endpoints::parse(format!(r#"{{"seq":4,"whole":true,"hosts":[{entry}]}}"#).as_bytes())
    };
    let valid = event(ENDPOINT).expect("input is valid");
    assert_eq!((valid.version, valid.endpoints[0].shard), (4, 3));
    for invalid in [
        ENDPOINT.replace("ready", "asleep"),
        ENDPOINT.replace("10.1.0.18:8443", "10.1.0.18"),
        ENDPOINT.replace("\"block\":3", "\"block\":-3"),
        ENDPOINT.replace("s-1", ""),
        ENDPOINT.replace("s-1", &"x".repeat(500)),
        format!(
            "{ENDPOINT},{}",
            ENDPOINT.replace("born_ms\":5", "born_ms\":\"x\"")
        ),
        vec![ENDPOINT; 5_000].join(","),
    ] {
        assert!(event(&invalid).is_err(), "{invalid:.80}");
    }
    assert!(
        endpoints::parse(b"{\"seq\":4,\"whole\":tr").is_err() && endpoints::parse(b"[]").is_err()
    );
}
