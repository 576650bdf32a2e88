//! Valid and invalid configurations of hosts.
mod common;

use common::config_text;
use mallowseam_platform::{config, endpoints, settings};
use proptest::prelude::*;

#[test]
fn all_invalid_fields_are_reported_at_once() {
    let valid = config::parse(&config_text()).expect("input is valid");
    assert_eq!(
        (
            valid.seed,
            valid.max_sockets,
            valid.cached_list.map(|k| k.version)
        ),
        (0x8c1f_30d2_7a5b_e964, 256, Some(41))
    );
    let invalid = config_text()
        .replace("127.0.0.4:8443", "here")
        .replace("\"sockets\":256", "\"sockets\":3")
        .replace("8c1f30d27a5be964", "seed")
        .replace("\"block\":3", "\"block\":\"x\"")
        .replace("at_most_once", "often");
    let errors = config::parse(&invalid)
        .expect_err("five fields are invalid")
        .to_string();
    for field in ["listen", "limits.sockets", "seed", "known", "settings"] {
        assert!(
            errors.lines().any(|l| l.starts_with(field)),
            "{field} in {errors}"
        );
    }
    assert!(
        config::parse("").is_err() && config::parse("{}").is_err() && config::parse("[1]").is_err()
    );
}

#[test]
fn fleet_object_is_optional_and_reports_all_its_errors() {
    assert_eq!(
        config::parse(&config_text()).expect("input is valid").fleet,
        None
    );
    let with =
        |fleet: &str| config_text().replace("\"known\"", &format!("\"fleet\":{fleet},\"known\""));
    let valid = with(
        r#"{"name":"south","listen":"127.0.0.4:7000","seeds":["127.0.0.5:7000"],"zone":"z1","period_ms":500}"#,
    );
    let fleet = config::parse(&valid)
        .expect("input is valid")
        .fleet
        .expect("the configuration has a fleet object");
    assert_eq!(
        (
            fleet.membership.name.as_str(),
            fleet.membership.protocol_period
        ),
        ("n3", 500)
    );
    assert_eq!(
        fleet.membership.address, fleet.listen,
        "without reached_at, the host advertises the address that it listens on"
    );
    let invalid = r#"{"name":"","listen":"0.0.0.0:7000","seeds":["x"],"zone":"a zone of far more than its bytes","period_ms":3,"keep":1}"#;
    let errors = config::parse(&with(invalid))
        .expect_err("six fields are invalid")
        .to_string();
    for field in ["name", "reached_at", "seeds", "zone", "period", "keep"] {
        assert!(
            errors
                .lines()
                .any(|l| l.starts_with(&format!("fleet.{field}"))),
            "{field} in {errors}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_do_not_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..200),
        start in 0..2_000usize,
        removed in 0..300usize,
    ) {
        let _ = endpoints::parse(&bytes);
        let mut text = config_text().into_bytes();
        let start = start.min(text.len());
        let end = (start + removed).min(text.len());
        text.splice(start..end, bytes.iter().copied());
        let text = String::from_utf8_lossy(&text);
        let _ = config::parse(&text);
        let _ = settings::parse(&text);
    }
}
